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
from .calls import Calls
from .config import Address, NodeSettings
from .directory import Directory, EndpointAddress, InvalidListError
from .discovery import Watch
from .http_frontend import HttpFrontend, Submission, answer
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

    def __init__(self, settings: NodeSettings, log: Callable[..., None]) -> None:
        self.s, self.log = settings, log
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(settings.seed)
        module = settings.module
        self.bounds = resource_limits(settings.limits.sockets, settings.limits.disk_mb * 1e6, module.max_in_flight)
        self.relay = DeliveryEngine(
            replace(module, classes=(*module.classes, unknown_class(module.classes))), settings.seed
        )
        self.directory = Directory(tuple(kind.name for kind in module.kinds), settings.zones)
        self.journal = Journal(settings.state, self.bounds.compaction_bytes)
        self.watch = Watch(self.directory, settings.discovery, self._listed, self.rng, log)
        self.finals = NoticeSender(settings.discovery, self._noticed, self.rng)
        self.calls = Calls(settings, self.bounds)
        self.front = HttpFrontend(module, self.bounds, self._take, lambda: self.ready)
        self.carried: dict[int, AcceptedMessage] = {}
        self.owed: dict[int, JournaledMessage] = {}  # notices
        self.behind: dict[int, Send] = {}  # by order: goes once the platform has the end of the one before
        self.idents = SubmissionIds()
        self.turns = EngineLoop(self.relay, self._turn)
        self._tell = self.turns.post
        self.fresh: list[AcceptedMessage] = []  # handed in since the last turn
        self.last = 0
        self.ready = False
        self.left: float | None = None  # loop time, s, of the signal to end
        self.over = asyncio.Event()
        self.counts: dict[str, int] = {}

    async def start(self) -> None:
        """Reads what is owed, listens, hears of the endpoints. Raises OSError."""
        self.s.state.mkdir(parents=True, exist_ok=True)
        kept = self.journal.open()
        self._known()
        await self.front.start(*self.s.listen)
        self.watch.start()
        if not await self._settled():  # what is owed goes on once the list is there: a known one may be old
            self.log("discovery_silent", known=len(self.directory))
        self._resume(kept)
        self.ready = True
        self.log(
            "ready",
            listening=client.shown(self.s.listen),
            endpoints=len(self.directory),
            resumed=len(self.carried),
            notices=len(self.owed),
            damaged=self.journal.damaged,
        )

    async def _settled(self) -> bool:
        """Whether discovery has told its list, as long as that may be waited for."""
        began = self.loop.time()
        while not self.watch.first.is_set():
            most = LONG_LIST_GRACE_S if self.watch.reading else DISCOVERY_GRACE_S
            left = began + most - self.loop.time()
            if left <= 0:
                return False
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.watch.first.wait(), min(left, DISCOVERY_GRACE_S / 10))
        return True

    def _known(self) -> None:
        with contextlib.suppress(InvalidListError):  # the platform knows none
            self._listed(self.directory.take(self.s.known, cached=True))
        self.s = replace(self.s, known={})  # as text it takes ten times the room of the directory

    def _resume(self, kept: dict[int, JournaledMessage]) -> None:
        """What an earlier process left: messages go to the module, notices to the platform."""
        unix, names = unix_ms(), self.front.reader
        for ident, each in kept.items():
            self.last = max(self.last, ident)
            if each.notice is not None:
                self.owed[ident] = each
                self.finals.post(ident, each.notice)
                continue
            fields = each.fields
            carried = self.carried[ident] = AcceptedMessage(each)
            self.idents.add(carried.ident)
            self.journal.live += self.journal.weight(each)
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
        return self.turns.now

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
                self.calls.close_idle(place)
        self.journal.flush()
        if self.journal.full:
            self.journal.rewrite([*(carried.kept for carried in self.carried.values()), *self.owed.values()])

    def _act(self, action: Action) -> None:
        match action:
            case Reject(ident, stay):
                self._over(ident, True, stay)
            case Fail(ident):
                self._over(ident, False, 0.0)
            case Cancel(ident, number):
                attempt = self.carried[ident].attempt if ident in self.carried else None
                if attempt and attempt.number == number and attempt.call:
                    attempt.call.abort(WireResult.CANCELLED)
            case CancelIfUnsent(ident):
                if ident in self.carried:
                    self._recall(self.carried[ident])
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
        carried = self.carried[ident]
        self.count("refused" if refused else "failed")
        if carried.exchange is not None:
            answer(
                carried.exchange,
                503 if refused else 500,
                "refused" if refused else "failed",
                close=self.front.closing,
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
        order = self.carried[ident].order
        self._forget(ident)
        self.owed[ident] = JournaledMessage(ident, {}, b"", notice=notice, order=order)
        self.journal.add(journal.owed(ident, notice, order))
        self.finals.post(ident, notice)

    def _forget(self, ident: int) -> None:
        carried = self.carried.pop(ident)
        self.idents.complete(carried.ident)
        self.journal.live -= self.journal.weight(carried.kept)

    def _noticed(self, numbers: list[int]) -> None:
        orders = {self.owed.pop(number).order for number in numbers}
        for number in numbers:
            self.journal.add(journal.ended(number))
        self.journal.flush()
        self._send_all([self.behind.pop(order) for order in orders if order in self.behind])

    def _listed(self, event: EndpointList) -> None:
        self._tell(event)
        for entry in event.endpoints:
            if entry.status is not EndpointStatus.READY and (place := self.directory.place(entry.id)):
                self.calls.close_idle(place)

    # -- intake ----------------------------------------------------------------------------------------------

    def _take(self, exchange: server.RequestContext, hand: Submission) -> None:
        """A message that could be read: refused here only where the module could not judge it."""
        left = hand.left_ms - (self.loop.time() - exchange.began) * 1000
        if not self.ready or self.front.closing:
            answer(exchange, 503, "refused: this relay is not taking messages on", close=True)
        elif hand.ident in self.idents:
            self.count("known")
            answer(exchange, 409, "X-Correlation-Id: was handed in before", close=True)
        elif not self.directory.knows(hand.destination):
            self.count("nowhere")
            answer(exchange, 503, "refused: no such destination is listed")
        elif self.journal.live + len(exchange.body) > self.bounds.max_message_bytes:
            self.count("no_room")
            answer(exchange, 503, "refused: no room to keep it")
        elif left <= 0:
            self.count("late")
            answer(exchange, 503, "refused: its time is up")
        else:
            self._carry(exchange, hand, left)

    def _carry(self, exchange: server.RequestContext, hand: Submission, left: float) -> None:
        self.last += 1
        unix, module = unix_ms(), self.s.module
        tenant = module.tenants[hand.tenant].name if module.tenants else ""
        message_class = module.classes[hand.class_]
        order = order_number(hand.order, hand.key, message_class)
        kept = JournaledMessage(
            self.last,
            {
                "ident": hand.ident,
                "class": message_class.name,
                "tenant": tenant,
                "dest": hand.destination,
                "key": hand.key,
                "order": order,
                "taken": round(unix, 1),
                "due": round(unix + left, 1),
            },
            exchange.body,
        )
        carried = AcceptedMessage(kept, exchange)
        exchange.body = b""
        self.carried[self.last] = carried
        self.journal.live += self.journal.weight(kept)
        self.idents.add(hand.ident)
        self.fresh.append(carried)
        self._tell(
            Message(
                self.last,
                hand.destination,
                hand.class_,
                left,
                hand.tenant,
                order,
                is_retry=hand.again,
                from_dead_relay=hand.from_dead,
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
                answer(exchange, 503, "refused: it can't be kept")
            elif answer(exchange, 202, close=self.front.closing):
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
            carried, place = self.carried.get(send.id), self.directory.place(send.endpoint)
            if carried is None or place is None:  # withdrawn in this turn, or the endpoint has just gone
                self._not_sent(send, carried.kept.tries if carried else 0)
                continue
            if carried.order and any(notice.order == carried.order for notice in self.owed.values()):
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
            attempt.call = self.calls.send(
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

    def move(self, discovery: Address) -> None:
        """Discovery answers at another address from now on."""
        self.log("discovery_moves", to=client.shown(discovery))
        self.watch.move(discovery)
        self.finals.move(discovery)

    def leave(self, since: float | None = None) -> None:
        """SIGTERM, which came at the loop time `since`, now if not told: see decisions/leaving.py. A second one changes
        nothing."""
        if self.left is None:
            self.left = self.loop.time() if since is None else since
            self.log("leaving", held=len(self.carried))
            self._tell(ShutdownStarted(max(0.0, graceful_shutdown.EXIT_MS - (self.loop.time() - self.left) * 1000)))
            self._leaving()

    def _leaving(self) -> None:
        assert self.left is not None
        since = (self.loop.time() - self.left) * 1000
        now = graceful_shutdown.shutdown_phase(
            since, since >= graceful_shutdown.EXIT_MS and self.front.server.unread
        )  # a look at each connection
        if not now.admits:
            self.front.turn_away()
        if not now.accepts:
            self.front.deaf()
        if now.exits:
            self.over.set()
            return
        self.loop.call_later(0.05 if now.accepts else 0.01, self._leaving)

    def close(self) -> None:
        """Ends every connection; what is owed is in the journal."""
        self.turns.close()  # what ends with the process is judged by the next one, from the journal
        self.journal.flush()
        self.watch.close()
        self.finals.close()
        self.front.server.close()
        self.calls.close()
        self.journal.close()
