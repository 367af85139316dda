"""One relay on the platform: hosts the module and carries out its actions. Nothing here decides about a message."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from linnetstile.engine.actions import Action, Cancel, CancelIfUnsent, CloseIdle, Fail, Log, Reject, Send
from linnetstile.engine.events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    Message,
    MessageRecovered,
    Outcome,
    ShutdownStarted,
)
from linnetstile.engine.settings import MessageClass

from ..engine import graceful_shutdown
from ..engine.attempt_outcome import AttemptVerdict, WireResult
from ..engine.engine import DeliveryEngine
from ..engine.resource_limits import DISCOVERY_GRACE_S, LONG_LIST_GRACE_S, SubmissionIds, resource_limits
from ..engine.unknown_class import unknown_class
from ..net import client, server
from ..net.engine_loop import EngineLoop
from . import journal
from .endpoint_client import EndpointClient
from .config import Address, RelaySettings
from .directory import Directory, EndpointAddress, InvalidListError
from .discovery import Watch
from .http_frontend import HttpFrontend, Submission, reply
from .journal import Journal, JournaledMessage
from .notices import NoticeSender


def unix_ms() -> float:
    return time.time() * 1000


def order_number(order: str, key: str, message_class: MessageClass) -> int:
    """What a message of a class in order shares with others, as the module knows it: 0 is nothing. Where the path names
    no key, the idempotency key stands for it."""
    if not message_class.in_order or not (order or key):
        return 0
    return int.from_bytes(hashlib.blake2b((order or key).encode(), digest_size=7).digest(), "big") + 1


@dataclass(slots=True, eq=False)
class Attempt:
    number: int
    place: EndpointAddress
    began: float  # loop time, ms
    call: client.Call | None = None


@dataclass(slots=True, eq=False)
class AcceptedMessage:
    """One message from its hand-in to its end. `exchange` is there until the client has its answer."""

    kept: JournaledMessage
    exchange: server.RequestContext | None = None
    attempt: Attempt | None = None

    @property
    def ident(self) -> str:
        return str(self.kept.fields["ident"])

    @property
    def key(self) -> str:
        return str(self.kept.fields["key"])

    @property
    def order(self) -> int:
        """What it shares with others of a class in order; 0 = nothing."""
        return int(self.kept.fields.get("order", 0))


class PlatformRelay:
    """Start with `start`, end with `leave`; `over` is set when the process may end."""

    def __init__(self, settings: RelaySettings, log: Callable[..., None]) -> None:
        self.settings, self.log = settings, log
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(settings.seed)
        module = settings.engine_settings
        self.limits = resource_limits(settings.limits.sockets, settings.limits.disk_mb * 1e6, module.max_in_flight)
        self.engine = DeliveryEngine(
            replace(module, classes=(*module.classes, unknown_class(module.classes))), settings.seed
        )
        self.directory = Directory(tuple(kind.name for kind in module.kinds), settings.zones)
        self.journal = Journal(settings.state, self.limits.compaction_bytes)
        self.watch = Watch(self.directory, settings.discovery, self._listed, self.rng, log)
        self.notice_sender = NoticeSender(settings.discovery, self._noticed, self.rng)
        self.endpoint_client = EndpointClient(settings, self.limits)
        self.frontend = HttpFrontend(module, self.limits, self._take, lambda: self.ready)
        self.accepted: dict[int, AcceptedMessage] = {}
        self.pending_notices: dict[int, JournaledMessage] = {}  # notices
        self.behind: dict[int, Send] = {}  # by order: goes once the platform has the end of the one before
        self.idents = SubmissionIds()
        self.engine_loop = EngineLoop(self.engine, self._turn)
        self._tell = self.engine_loop.post
        self.fresh: list[AcceptedMessage] = []  # handed in since the last turn
        self.last = 0
        self.ready = False
        self.left: float | None = None  # loop time, s, of the signal to end
        self.stopped = asyncio.Event()
        self.counts: dict[str, int] = {}

    async def start(self) -> None:
        """Reads what is owed, listens, hears of the endpoints. Raises OSError."""
        self.settings.state.mkdir(parents=True, exist_ok=True)
        kept = self.journal.open()
        self._known()
        await self.frontend.start(*self.settings.listen)
        self.watch.start()
        if not await self._settled():  # what is owed goes on once the list is there: a known one may be old
            self.log("discovery_silent", known=len(self.directory))
        self._resume(kept)
        self.ready = True
        self.log(
            "ready",
            listening=client.shown(self.settings.listen),
            endpoints=len(self.directory),
            resumed=len(self.accepted),
            notices=len(self.pending_notices),
            damaged=self.journal.damaged_bytes,
        )

    async def _settled(self) -> bool:
        """Whether discovery has told its list, as long as that may be waited for."""
        began = self.loop.time()
        while not self.watch.first.is_set():
            most = LONG_LIST_GRACE_S if self.watch.is_reading_list else DISCOVERY_GRACE_S
            left = began + most - self.loop.time()
            if left <= 0:
                return False
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.watch.first.wait(), min(left, DISCOVERY_GRACE_S / 10))
        return True

    def _known(self) -> None:
        with contextlib.suppress(InvalidListError):  # the platform knows none
            self._listed(self.directory.take(self.settings.known_list, cached=True))
        self.settings = replace(self.settings, known_list={})  # as text it takes ten times the room of the directory

    def _resume(self, kept: dict[int, JournaledMessage]) -> None:
        """What an earlier process left: messages go to the module, notices to the platform."""
        unix, names = unix_ms(), self.frontend.reader
        for ident, each in kept.items():
            self.last = max(self.last, ident)
            if each.notice is not None:
                self.pending_notices[ident] = each
                self.notice_sender.post(ident, each.notice)
                continue
            fields = each.fields
            carried = self.accepted[ident] = AcceptedMessage(each)
            self.idents.add(carried.ident)
            self.journal.message_bytes += self.journal.weight(each)
            # The settings may have changed since: names go by what they are now, and what has none charges nobody.
            class_ = names.classes.get(fields["class"], len(names.classes))
            tenant = names.tenants.get(fields["tenant"], len(names.tenants))
            risk = each.risk or each.out  # what was out when the process ended may have run
            each.risk, each.out = risk, None
            # A clock that was set back gives no message more time than it had.
            left = min(fields["due"] - unix, fields["due"] - fields["taken"])
            message = Message(ident, fields["dest"], class_, max(0.0, left), tenant, carried.order)
            where = (
                Endpoint(self.directory.number(risk[2]), fields["dest"], EndpointStatus.READY, zone=risk[1])
                if risk
                else None
            )
            self._tell(
                MessageRecovered(
                    message,
                    max(0.0, unix - fields["taken"]),
                    each.tries,
                    max(0.0, unix - risk[0]) if risk else None,
                    where,
                )
            )

    @property
    def now(self) -> float:
        return self.engine_loop.now

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # -- the module ------------------------------------------------------------------------------------------

    def _turn(self, events: list[Event], actions: list[Action]) -> None:
        """One turn of the module. What it takes on is in the journal before its client hears of it, and an attempt is
        in the journal before its call begins."""
        fresh, self.fresh = self.fresh, []
        sends = [action for action in actions if isinstance(action, Send)]
        for action in actions:
            if not isinstance(action, (Send, CloseIdle)):
                self._act(action)
        self._promise([carried for carried in fresh if carried.exchange is not None])
        self._send_all(sends)
        for action in actions:  # what has just gone out may be on a connection that was idle
            if isinstance(action, CloseIdle) and (place := self.directory.place(action.endpoint)):
                self.endpoint_client.close_idle(place)
        self.journal.flush()
        if self.journal.needs_rewrite:
            self.journal.rewrite([*(carried.kept for carried in self.accepted.values()), *self.pending_notices.values()])

    def _act(self, action: Action) -> None:
        match action:
            case Reject(ident, stay):
                self._over(ident, True, stay)
            case Fail(ident):
                self._over(ident, False, 0.0)
            case Cancel(ident, number):
                attempt = self.accepted[ident].attempt if ident in self.accepted else None
                if attempt and attempt.number == number and attempt.call:
                    attempt.call.abort(WireResult.CANCELLED)
            case CancelIfUnsent(ident):
                if ident in self.accepted:
                    self._recall(self.accepted[ident])
            case Log(text):
                self.log("module", text=text)

    def _recall(self, carried: AcceptedMessage) -> None:
        waiting = self.behind.get(carried.order)
        if waiting is not None and waiting.id == carried.kept.id:
            del self.behind[carried.order]
            self._not_sent(waiting, carried.kept.tries)
        elif carried.attempt and carried.attempt.call:
            carried.attempt.call.recall()

    def _over(self, ident: int, refused: bool, stay_ms: float) -> None:
        """The module has given it up: its client is told, or the platform where the client has its answer already."""
        carried = self.accepted[ident]
        self.count("refused" if refused else "failed")
        if carried.exchange is not None:
            reply(
                carried.exchange,
                503 if refused else 500,
                "refused" if refused else "failed",
                close=self.frontend.is_closing,
                wait_ms=stay_ms,
            )
            carried.exchange = None
            self._forget(ident)
            return
        notice: dict[str, object] = {"ref": carried.ident, "result": "bounced" if refused else "dead"}
        if refused and stay_ms > 0:
            notice["wait_ms"] = int(stay_ms)
        self._final(ident, notice)

    def _final(self, ident: int, notice: dict[str, object]) -> None:
        order = self.accepted[ident].order
        self._forget(ident)
        self.pending_notices[ident] = JournaledMessage(ident, {}, b"", notice=notice, order=order)
        self.journal.add(journal.owed(ident, notice, order))
        self.notice_sender.post(ident, notice)

    def _forget(self, ident: int) -> None:
        carried = self.accepted.pop(ident)
        self.idents.complete(carried.ident)
        self.journal.message_bytes -= self.journal.weight(carried.kept)

    def _noticed(self, numbers: list[int]) -> None:
        orders = {self.pending_notices.pop(number).order for number in numbers}
        for number in numbers:
            self.journal.add(journal.ended(number))
        self.journal.flush()
        self._send_all([self.behind.pop(order) for order in orders if order in self.behind])

    def _listed(self, event: EndpointList) -> None:
        self._tell(event)
        for entry in event.endpoints:
            if entry.status is not EndpointStatus.READY and (place := self.directory.place(entry.id)):
                self.endpoint_client.close_idle(place)

    # -- intake ----------------------------------------------------------------------------------------------

    def _take(self, exchange: server.RequestContext, hand: Submission) -> None:
        """A message that could be read: refused here only where the module could not judge it."""
        left = hand.remaining_ms - (self.loop.time() - exchange.began) * 1000
        if not self.ready or self.frontend.is_closing:
            reply(exchange, 503, "refused: this relay is not taking messages on", close=True)
        elif hand.submission_id in self.idents:
            self.count("known")
            reply(exchange, 409, "X-Correlation-Id: was handed in before", close=True)
        elif not self.directory.knows(hand.destination):
            self.count("nowhere")
            reply(exchange, 503, "refused: no such destination is listed")
        elif self.journal.message_bytes + len(exchange.body) > self.limits.max_message_bytes:
            self.count("no_room")
            reply(exchange, 503, "refused: no room to keep it")
        elif left <= 0:
            self.count("late")
            reply(exchange, 503, "refused: its time is up")
        else:
            self._carry(exchange, hand, left)

    def _carry(self, exchange: server.RequestContext, hand: Submission, left: float) -> None:
        self.last += 1
        unix, module = unix_ms(), self.settings.engine_settings
        tenant = module.tenants[hand.tenant_index].name if module.tenants else ""
        message_class = module.classes[hand.class_index]
        order = order_number(hand.ordering_key, hand.idempotency_key, message_class)
        kept = JournaledMessage(
            self.last,
            {
                "ident": hand.submission_id,
                "class": message_class.name,
                "tenant": tenant,
                "dest": hand.destination,
                "key": hand.idempotency_key,
                "order": order,
                "taken": round(unix, 1),
                "due": round(unix + left, 1),
            },
            exchange.body,
        )
        carried = AcceptedMessage(kept, exchange)
        exchange.body = b""
        self.accepted[self.last] = carried
        self.journal.message_bytes += self.journal.weight(kept)
        self.idents.add(hand.submission_id)
        self.fresh.append(carried)
        self._tell(
            Message(
                self.last,
                hand.destination,
                hand.class_index,
                left,
                hand.tenant_index,
                order,
                is_retry=hand.is_retry,
                from_dead_relay=hand.from_dead_relay,
            )
        )

    def _promise(self, fresh: list[AcceptedMessage]) -> None:
        """Taken on: written down first, then told. What its client can't hear of is withdrawn."""
        for carried in fresh:
            self.journal.add(journal.taken(carried.kept.id, carried.kept.fields, carried.kept.body))
        written = self.journal.flush()
        for carried in fresh:
            exchange, carried.exchange = carried.exchange, None
            assert exchange is not None
            if not written:
                self.count("not_written")
                reply(exchange, 503, "refused: it can't be kept")
            elif reply(exchange, 202, close=self.frontend.is_closing):
                self.count("taken")
                continue
            else:
                self.count("unheard")
                self.journal.add(journal.ended(carried.kept.id))
            self._forget(carried.kept.id)
            self._tell(ClientCancelled(carried.kept.id))

    # -- delivery --------------------------------------------------------------------------------------------

    def _send_all(self, sends: list[Send]) -> None:
        begun: list[tuple[Send, AcceptedMessage, Attempt]] = []
        unix = unix_ms()
        for send in sends:
            carried, place = self.accepted.get(send.id), self.directory.place(send.endpoint)
            if carried is None or place is None:  # withdrawn in this turn, or the endpoint has just gone
                self._not_sent(send, carried.kept.tries if carried else 0)
                continue
            if carried.order and any(notice.order == carried.order for notice in self.pending_notices.values()):
                # The end of the one before is on its way: this call must not overtake it.
                self.behind[carried.order] = send
                continue
            if self.now >= min(send.timeout_at_ms, send.send_before_ms):  # it waited for such an end too long
                self._not_sent(send, carried.kept.tries)
                continue
            assert carried.attempt is None, "two attempts at once"
            kept = carried.kept
            carried.attempt = Attempt(kept.tries, place, self.now)
            kept.tries += 1
            kept.out = unix, place.zone, place.name
            self.journal.add(journal.attempt(kept.id, *kept.out))
            begun.append((send, carried, carried.attempt))
        written = self.journal.flush()
        for send, carried, attempt in begun:
            if not written:
                carried.kept.out = carried.attempt = None
                self._not_sent(send, attempt.number)
                continue
            self.count("attempts")
            fields = [("X-Correlation-Id", carried.ident)]
            if carried.key:
                fields.append(("Idempotency-Key", carried.key))
            attempt.call = self.endpoint_client.send(
                attempt.place,
                fields,
                carried.kept.body,
                send.timeout_at_ms - self.now,
                send.last_byte_delay_ms,
                send.send_before_ms - self.now,
                carried.kept.fields["due"] - unix,
                partial(self._ended, send, carried, attempt),
            )

    def _ended(
        self,
        send: Send,
        carried: AcceptedMessage,
        attempt: Attempt,
        proof: AttemptVerdict,
        report: tuple[float, ...],
        reused: bool,
    ) -> None:
        kept, outcome = carried.kept, proof.outcome
        attempt.call = None
        carried.attempt = None
        self.count(f"ended_{outcome.value}")
        risky = not outcome.proves_no_effect
        if risky and kept.risk is None:
            kept.risk = kept.out
        kept.out = None
        self.journal.add(journal.ended(kept.id) if proof.is_final else journal.outcome(kept.id, risky))
        self._tell(
            AttemptEnded(
                send.id,
                attempt.number,
                send.endpoint,
                outcome,
                self.now - attempt.began,
                proof.is_final,
                proof.retry_after_ms,
                proof.slots_exhausted,
                report,
                reused,
            )
        )
        if proof.is_final:
            self._forget(kept.id)

    def _not_sent(self, send: Send, number: int) -> None:
        self._tell(AttemptEnded(send.id, number, send.endpoint, Outcome.NOT_SENT))

    # -- signals ---------------------------------------------------------------------------------------------

    def move_discovery(self, discovery: Address) -> None:
        """Discovery answers at another address from now on."""
        self.log("discovery_moves", to=client.shown(discovery))
        self.watch.move(discovery)
        self.notice_sender.move(discovery)

    def begin_shutdown(self, since: float | None = None) -> None:
        """SIGTERM, which came at the loop time `since`, now if not told: see decisions/leaving.py. A second one changes
        nothing."""
        if self.left is None:
            self.left = self.loop.time() if since is None else since
            self.log("leaving", held=len(self.accepted))
            self._tell(ShutdownStarted(max(0.0, graceful_shutdown.EXIT_MS - (self.loop.time() - self.left) * 1000)))
            self._leaving()

    def _leaving(self) -> None:
        assert self.left is not None
        since = (self.loop.time() - self.left) * 1000
        now = graceful_shutdown.shutdown_phase(
            since, since >= graceful_shutdown.EXIT_MS and self.frontend.server.unread
        )  # a look at each connection
        if not now.admits:
            self.frontend.stop_admitting()
        if not now.accepts:
            self.frontend.stop_accepting()
        if now.exits:
            self.stopped.set()
            return
        self.loop.call_later(0.05 if now.accepts else 0.01, self._leaving)

    def close(self) -> None:
        """Ends every connection; what is owed is in the journal."""
        self.engine_loop.close()  # what ends with the process is judged by the next one, from the journal
        self.journal.flush()
        self.watch.close()
        self.notice_sender.close()
        self.frontend.server.close()
        self.endpoint_client.close()
        self.journal.close()
