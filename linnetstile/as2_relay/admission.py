"""Room for what clients hand in: carries what decisions/shares.py says to the connections that ask, and keeps time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..config.relay import LimitSettings
from ..engine.fair_share import AdmissionDecision, FairShare, Reservation
from ..engine.slow_partners import SLOW_PARTNER_WEIGHT, SlowPartnerDetector
from ..net.server import RequestContext
from ..telemetry import log as names

OVERHEAD = 8 * 1024  # bytes that a held message takes beside its body (6.7 kB, benchmarks/results/held.json)
LOOK_S = 0.25  # how often offices are looked at


@dataclass(slots=True)
class Origin:
    """Whose room a request asks for: tenant, the client's host or certificate, its AS2 name; and the partner."""

    tenant: str
    client: str
    sender: str
    partner: str
    message: str = ""

    @property
    def paths(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        return (self.tenant, self.client, self.sender), (self.partner,)


def origin_of(exchange: RequestContext | None) -> Origin | None:
    return exchange.who if exchange is not None and isinstance(exchange.who, Origin) else None


class Room:
    """`refuse(exchange, text, advice_ms)` answers a request that waited in vain."""

    def __init__(
        self,
        limits: LimitSettings,
        hold: int,
        weights: dict[str, float],
        log: Any,
        refuse: Callable[[RequestContext, str, float], None],
    ) -> None:
        self.limits = limits
        self.shares = FairShare((limits.hold_bytes, hold))
        for tenant, weight in weights.items():
            self.shares.set_weight("from", tenant, weight)
        self.offices = SlowPartnerDetector()
        self.refuse = refuse
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[RequestContext, int] = {}  # -> bytes asked for
        self.charges: set[Reservation] = set()  # all that are not given back
        self.timer: asyncio.TimerHandle | None = None
        self.planned = False
        self.look = self.loop.call_later(LOOK_S, self._look)

    @property
    def now(self) -> float:
        return self.loop.time() * 1000

    def admit(self, exchange: RequestContext, size: int) -> bool:
        """Server.admit: whether this much of a body may be read now. If not, it waits or was refused."""
        origin = exchange.who
        if not isinstance(origin, Origin):
            return True  # answered at its head, or nobody's message
        if exchange.charge is None:
            say, charge = self.shares.request(
                self.now, origin.paths, size + OVERHEAD, self.limits.room_wait_ms, exchange, 1 if origin.sender else 0
            )
            if say is not AdmissionDecision.TOO_LARGE:
                self.charges.add(charge)
                exchange.charge = charge
        else:
            assert isinstance(exchange.charge, Reservation)
            say = self.shares.extend(self.now, exchange.charge, size, self.limits.room_wait_ms, exchange)
        if say is AdmissionDecision.QUEUED:
            self.waiting[exchange] = size
            self.log.debug(
                names.WAITS, peer=exchange.conn.peer(), message=origin.message, bytes=size, bound=self._bound()
            )
            self._plan_end()
        elif say is AdmissionDecision.TOO_LARGE:
            self._refused(exchange, size)
        return say is AdmissionDecision.GRANTED

    def _bound(self) -> str:
        """Which bound keeps a request waiting, for people."""
        return "hold_bytes" if self.shares.used[0] >= 0.99 * self.shares.capacity[0] else "share"

    def _refused(self, exchange: RequestContext, size: int) -> None:
        origin = exchange.who
        assert isinstance(origin, Origin)
        advice = self.shares.retry_after_ms(self.now, size, self.limits.longest_advice_ms)
        self.log.warning(
            names.NO_ROOM,
            peer=exchange.conn.peer(),
            message=origin.message,
            sender=origin.sender,
            partner=origin.partner,
            bytes=size,
            bound=self._bound(),
            why="no room within limits.room_wait_ms",
            advice_ms=round(advice),
        )
        self.refuse(
            exchange,
            f"refused: no room for {size} bytes from {origin.sender or origin.client} "
            f"to {origin.partner} now; nothing was taken",
            advice,
        )

    def take(self, exchange: RequestContext) -> Reservation | None:
        """The charge of a complete request goes over to its message."""
        charge, exchange.charge = exchange.charge, None
        assert charge is None or isinstance(charge, Reservation)
        return charge

    def release(self, charge: Reservation | None) -> None:
        if charge is not None:
            self.charges.remove(charge)
            self.shares.release(self.now, charge)
            self._plan()

    def ended(self, exchange: RequestContext) -> None:
        """Server.release: answered, or gone before it was complete."""
        self.waiting.pop(exchange, None)
        self.release(self.take(exchange))

    # -- time --------------------------------------------------------------------------------------------

    def _plan(self) -> None:
        if self.waiting and not self.planned:
            self.planned = True
            self.loop.call_soon(self._turn)

    def _plan_end(self) -> None:
        end = self.shares.next_expiry()
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(max(0.001, (end - self.now) / 1000), self._turn) if end is not None else None

    def _turn(self) -> None:
        self.planned = False
        good, late = self.shares.grant_waiting(self.now)
        for token in good:
            assert isinstance(token, RequestContext)
            self.waiting.pop(token, None)
            token.go()
        for token in late:
            assert isinstance(token, RequestContext)
            self._refused(token, self.waiting.pop(token, 0))
        self._plan_end()

    def _look(self) -> None:
        for office in self.offices.update(self.now):
            slow = office.slow_since is not None
            self.shares.set_weight("to", office.name, SLOW_PARTNER_WEIGHT if slow else 1.0)
            self.log.warning(names.SLOW if slow else names.TRUSTED, partner=office.name, why=office.reason)
        self.look = self.loop.call_later(LOOK_S, self._look)

    def close(self) -> None:
        self.look.cancel()
        if self.timer:
            self.timer.cancel()
