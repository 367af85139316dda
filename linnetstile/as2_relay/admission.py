"""Admission control: grants memory for request bodies as `engine/fair_share.py` decides, and runs its timers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..config.relay import LimitSettings
from ..engine.fair_share import BYTES, AdmissionDecision, FairShare, Reservation
from ..engine.slow_partners import SLOW_PARTNER_WEIGHT, SlowPartnerDetector
from ..net.periodic_timers import PeriodicTimers
from ..net.server import RequestContext
from ..telemetry import log_events
from ..telemetry.log import Logger

# Memory of an accepted message besides its body: 6.7 kB (benchmarks/results/held.json), rounded up.
MESSAGE_OVERHEAD_BYTES = 8 * 1024
SLOW_PARTNER_CHECK_S = 0.25
FULL_FRACTION = 0.99  # in logs, `hold_bytes` is the binding limit if at least this fraction of it is in use
MIN_TIMER_S = 0.001
WAITING_REQUEST = "a request that waited for memory"  # in the log, if its next step raises an exception

RejectHandler = Callable[[RequestContext, str, float], None]


@dataclass(slots=True)
class RequestOrigin:
    """The parties to which the memory of a request is charged.

    Attributes:
        tenant: Name of the tenant; empty if it has none.
        client: Host of the client, or the name on its certificate.
        sender: AS2 name of the sender; empty for receipts of partners.
        partner: AS2 name of the partner that the message is for.
        message_id: Message-ID, for the log.
    """

    tenant: str
    client: str
    sender: str
    partner: str
    message_id: str = ""

    @property
    def paths(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """The leaves of the fair-share trees "from" and "to"."""
        return (self.tenant, self.client, self.sender), (self.partner,)


def origin_of(request: RequestContext | None) -> RequestOrigin | None:
    """Return the origin of a request; None if its head has not been classified."""
    return request.submission if request is not None and isinstance(request.submission, RequestOrigin) else None


class AdmissionController:
    """Grants memory to requests and messages, and makes requests over their fair share wait.

    Attributes:
        fair_share: Decides who may hold how much.
        slow_partners: Detects partners whose attempts take long; these get a lower weight in `fair_share`.
        waiting: Requests that wait for memory, with the bytes that each one asked for.
        reservations: All reservations that have not been released.
    """

    def __init__(
        self,
        limits: LimitSettings,
        max_messages: int,
        tenant_weights: dict[str, float],
        log: Logger,
        reject: RejectHandler,
    ) -> None:
        """Start with all memory free.

        Args:
            limits: Limits of the relay.
            max_messages: Messages that may hold memory at the same time.
            tenant_weights: Weight of each tenant against the others.
            log: Logger of the relay.
            reject: Rejects a request that was not granted memory; takes the request, the reason and Retry-After in ms.
        """
        self.limits = limits
        self.fair_share = FairShare((limits.hold_bytes, max_messages))
        for tenant, weight in tenant_weights.items():
            self.fair_share.set_weight("from", tenant, weight)
        self.slow_partners = SlowPartnerDetector()
        self.reject = reject
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[RequestContext, int] = {}
        self.reservations: set[Reservation] = set()
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.is_grant_scheduled = False
        self.timers = PeriodicTimers()
        self.timers.run_every(SLOW_PARTNER_CHECK_S * 1000, self._check_slow_partners)

    @property
    def now_ms(self) -> float:
        """The loop's time in ms."""
        return self.loop.time() * 1000

    def admit(self, request: RequestContext, size: int) -> bool:
        """Return whether `size` more bytes of a body may be read now; if not, it waits or was rejected."""
        origin = request.submission
        if not isinstance(origin, RequestOrigin):
            return True  # answered after its head, or not a message, so that no memory is reserved
        decision = self._decide(request, origin, size)
        if decision is AdmissionDecision.QUEUED:
            self.waiting[request] = size
            self.log.debug(
                log_events.ADMISSION_QUEUED,
                peer=request.connection.peer_address(),
                message=origin.message_id,
                bytes=size,
                bound=self._binding_limit(),
            )
            self._schedule_expiry()
        elif decision is AdmissionDecision.TOO_LARGE:
            self._reject(request, size)
        return decision is AdmissionDecision.GRANTED

    def _decide(self, request: RequestContext, origin: RequestOrigin, size: int) -> AdmissionDecision:
        wait_ms = self.limits.room_wait_ms
        if request.reservation is not None:
            assert isinstance(request.reservation, Reservation)
            return self.fair_share.extend(self.now_ms, request.reservation, size, wait_ms, request)
        message_count = 1 if origin.sender else 0
        result = self.fair_share.request(
            self.now_ms, origin.paths, size + MESSAGE_OVERHEAD_BYTES, wait_ms, request, message_count
        )
        if result.decision is not AdmissionDecision.TOO_LARGE:
            self.reservations.add(result.reservation)
            request.reservation = result.reservation
        return result.decision

    def _binding_limit(self) -> str:
        """Return the name of the limit that keeps requests waiting, for the log."""
        used_bytes = self.fair_share.used[BYTES]
        capacity_bytes = self.fair_share.capacity[BYTES]
        return "hold_bytes" if used_bytes >= FULL_FRACTION * capacity_bytes else "share"

    def _reject(self, request: RequestContext, size: int) -> None:
        origin = request.submission
        assert isinstance(origin, RequestOrigin)
        retry_after_ms = self.fair_share.retry_after_ms(self.now_ms, size, self.limits.longest_advice_ms)
        self.log.warning(
            log_events.ADMISSION_REJECTED,
            peer=request.connection.peer_address(),
            message=origin.message_id,
            sender=origin.sender,
            partner=origin.partner,
            bytes=size,
            bound=self._binding_limit(),
            why="memory not granted within limits.room_wait_ms",
            advice_ms=round(retry_after_ms),
        )
        self.reject(
            request,
            f"refused: no room for {size} bytes from {origin.sender or origin.client} "
            f"to {origin.partner} now; nothing was taken",
            retry_after_ms,
        )

    def take_reservation(self, request: RequestContext) -> Reservation | None:
        """Detach the reservation from a complete request and return it, for the message to hold from now on."""
        reservation = request.reservation
        request.reservation = None
        assert reservation is None or isinstance(reservation, Reservation)
        return reservation

    def release(self, reservation: Reservation | None) -> None:
        """Release the memory of a reservation, and schedule grants to the waiting requests that fit now."""
        if reservation is not None:
            self.reservations.remove(reservation)
            self.fair_share.release(self.now_ms, reservation)
            self._schedule_grants()

    def request_ended(self, request: RequestContext) -> None:
        """Release the memory of a request that was answered, or that ended before it was complete."""
        self.waiting.pop(request, None)
        self.release(self.take_reservation(request))

    def _schedule_grants(self) -> None:
        if self.waiting and not self.is_grant_scheduled:
            self.is_grant_scheduled = True
            self.loop.call_soon(self._grant_waiting)

    def _schedule_expiry(self) -> None:
        expires_at_ms = self.fair_share.next_expiry()
        if self.expiry_timer:
            self.expiry_timer.cancel()
        self.expiry_timer = None
        if expires_at_ms is not None:
            delay_s = max(MIN_TIMER_S, (expires_at_ms - self.now_ms) / 1000)
            self.expiry_timer = self.loop.call_later(delay_s, self._grant_waiting)

    def _grant_waiting(self) -> None:
        """Resume the waiting requests for which there is memory now, and reject those that waited too long."""
        self.is_grant_scheduled = False
        result = self.fair_share.grant_waiting(self.now_ms)
        for request in result.granted:
            assert isinstance(request, RequestContext)
            self.waiting.pop(request, None)
            request.connection.run_or_abort(WAITING_REQUEST, request.resume_body)
        for request in result.expired:
            assert isinstance(request, RequestContext)
            reject = partial(self._reject, request, self.waiting.pop(request, 0))
            request.connection.run_or_abort(WAITING_REQUEST, reject)
        self._schedule_expiry()

    def _check_slow_partners(self) -> None:
        for partner in self.slow_partners.update(self.now_ms):
            is_slow = partner.slow_since is not None
            self.fair_share.set_weight("to", partner.name, SLOW_PARTNER_WEIGHT if is_slow else 1.0)
            event = log_events.PARTNER_SLOW if is_slow else log_events.PARTNER_RECOVERED
            self.log.warning(event, partner=partner.name, why=partner.reason)

    def close(self) -> None:
        """Cancel all timers."""
        self.timers.close()
        if self.expiry_timer:
            self.expiry_timer.cancel()
