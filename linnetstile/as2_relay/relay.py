"""One relay: intake, the module and its clock, delivery, answers. Nothing here decides about a message."""

from __future__ import annotations

import asyncio
import email.utils
import hashlib
import math
import secrets
import time
import urllib.parse
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from linnetstile.engine.actions import (
    Action,
    Cancel,
    CancelIfUnsent,
    CloseIdle,
    Fail,
    Log,
    Reject,
    Send,
    WatchEndpoints,
)
from linnetstile.engine.events import AttemptEnded, EndpointList, EndpointStatus, Event, Message

from ..codec import as2, http1
from ..config.relay import RelaySettings, loopback_url, split
from ..engine import receipt_retry
from ..engine.attempt_outcome import AttemptObservation, ReceiptStatus, WireResult, judge_attempt
from ..engine.deduplication import SubmissionStatus, SubmissionTable
from ..engine.engine import DeliveryEngine
from ..engine.fair_share import Reservation
from ..engine.routing import Router, Rule
from ..net import client, server
from ..net.engine_loop import EngineLoop
from ..net.tls import Keys, TlsError
from ..telemetry import log as names
from .admin import Admin
from .admission import Origin, Room, origin_of
from .gossip import Knowledge
from .receipts import Answer, Receipts
from .registry import Place, Register

# Hop by hop (RFC 9110, 7.6.1) or ours to say; all else of the client's head goes on as it came.
NOT_FORWARDED = {
    "host",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "receipt-delivery-option",
    "via",
}
# What kind of final answer this is: delivered, rejected (by the partner), refused, failed; or conflict, which is an
# answer to the identifier and not to the message.
ANSWER = "Linnetstile-Answer"


@dataclass(slots=True, eq=False)
class Attempt:
    number: int
    endpoint: int
    began: float
    call: client.Call | None = None
    token: str = ""  # of the receipt address, where the receipt comes on its own
    awaiting: bool = False  # answered, and the receipt is still to come
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class Sorted(Origin):
    """A request's head, read once."""

    head: as2.Head = field(kw_only=True)
    rule: Rule = field(kw_only=True)
    hash: hashlib.blake2b = field(kw_only=True)  # of its content, for a repeat under the same identifier


@dataclass(slots=True, eq=False)
class AcceptedMessage:
    """One message from its acceptance to its final answer."""

    id: int
    head: as2.Head
    headers: http1.Headers
    body: bytes
    class_: int
    due: float  # loop time, ms
    waiters: list[server.RequestContext] = field(default_factory=list)
    tries: int = 0
    attempt: Attempt | None = None
    last: str = ""  # what the latest attempt proved, for people
    charge: Reservation | None = None  # the room that it holds


def retry_after(headers: http1.Headers) -> float | None:
    """Retry-After in ms: seconds, or a date against this clock, past ones 0 (RFC 9110, 10.2.3)."""
    text = headers.get("retry-after")
    if text.isascii() and text.isdigit() and len(text) < 12:
        return int(text) * 1000.0
    try:
        return max(0.0, (email.utils.parsedate_to_datetime(text).timestamp() - time.time()) * 1000) if text else None
    except (ValueError, TypeError, OverflowError):
        return None


def plain(status: int, text: str, kind: str, stay_ms: float | None = None) -> Answer:
    headers = [("Content-Type", "text/plain; charset=utf-8")]
    if stay_ms is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(stay_ms / 1000)))))
    return Answer(status, tuple(headers), (text + "\n").encode(), kind)


def load_keys(settings: RelaySettings) -> tuple[Keys | None, dict[str, Keys]]:
    """The listener's, and by partner. Raises TlsError."""
    tls = settings.tls
    return (
        Keys(True, tls.certificate, tls.key, tls.client_authorities, tls.need_client) if tls else None,
        {
            name: Keys(False, each.tls.certificate, each.tls.key, each.tls.authorities)
            for name, each in settings.partners.items()
            if each.tls
        },
    )


class As2Relay:
    """Start with `start`, stop with `stop`; `stopped` is set once nothing is held."""

    def __init__(self, settings: RelaySettings, log: Any, seed: int | None = None) -> None:
        self.s = settings
        self.log = log
        self.loop = asyncio.get_running_loop()
        limits, module = settings.limits, settings.module()
        self.classes = module.classes
        self.relay = DeliveryEngine(module, settings.seed if seed is None else seed)
        self.router = Router(settings.router_rules())
        self.identifiers: SubmissionTable[AcceptedMessage, Answer] = SubmissionTable(
            limits.remember_ms,
            limits.remember,
            limits.remember_bytes,
            lambda answer: len(answer.body),
            lambda answer: Answer(answer.status, (), b"", answer.kind, False),
        )
        self.receipts = Receipts(settings)
        self.register = Register(
            settings.register_url, settings.name, list(settings.kinds), list(settings.zones), self._listed, log
        )
        bounds = http1.Limits(body=limits.body_bytes, head=limits.head_bytes)
        stall_s = limits.stall_ms / 1000
        self.pool = client.Pool(
            limits.connect_timeout_ms / 1000,
            limits.idle_ms / 1000,
            http1.Limits(body=limits.receipt_bytes),
            client.Rates(limits.request_rate, limits.response_rate, stall_s),
            self._slow_partner,
        )
        self.room = Room(
            limits,
            module.max_pending_messages,
            {name: t.weight for name, t in settings.tenants.items()},
            log,
            self._no_room,
        )
        self.keys, self.partner_keys = load_keys(settings)
        self.server = server.Server(
            self._request,
            self._head,
            bounds,
            server.Bounds(
                limits.connections,
                limits.head_ms / 1000,
                body_rate=limits.body_rate,
                answer_rate=limits.answer_rate,
                grace_s=stall_s,
                sweep_s=0.25,
            ),
            self._bad_peer,
            self.room.admit,
            self.room.ended,
            self._slow_client,
            self.keys,
        )
        self.periodic: list[asyncio.TimerHandle] = []
        self.admin = Admin(self, settings.admin, settings.metrics) if settings.admin or settings.metrics else None
        self.carried: dict[int, AcceptedMessage] = {}
        self.tokens: dict[str, tuple[AcceptedMessage, Attempt]] = {}
        self.counts: dict[str, int] = {}
        self.turns = EngineLoop(self.relay, self._turn)
        self._tell = self.turns.post
        self.ids = 0
        self.stopping = False
        self.stopped = asyncio.Event()
        self.address = ""
        self.handbacks: set[asyncio.TimerHandle] = set()
        self.posting = 0
        self.to_post: deque[tuple[tuple[str, int], bytes, str, int]] = deque()
        self.knowledge = Knowledge(
            settings.knowledge, self.relay, settings.name, secrets.token_hex(6), self.register.partners, self._tell, log
        )

    async def start(self) -> str:
        """Listens and asks for the list; returns the address."""
        host, port = split(self.s.listen)
        self.address = f"{host}:{await self.server.start(host, port)}"
        self.knowledge.start(self.address)
        if self.admin:
            await self.admin.start()
        if self.s.limits.self_check_ms:
            self._every(self.s.limits.self_check_ms, self.verify)
        if self.keys or self.partner_keys:
            self._every(1000.0, self._renew)
        self.turns.schedule_turn()
        return self.address

    def stop(self) -> None:
        """Takes no more from now on; ends once what is held has its answer, at the latest after `stop_ms`."""
        if self.stopping:
            return
        self.stopping = True
        longest = max(message_class.deadline_ms for message_class in self.classes) + 1000.0
        grace = self.s.limits.stop_ms if self.s.limits.stop_ms is not None else longest
        self.log.info(names.STOPPING, held=len(self.carried), within_ms=grace)
        self.loop.call_later(grace / 1000, self._overtime)
        for exchange in list(self.room.waiting):
            self._no_room(exchange, "refused: this relay is stopping; try another", 1000.0)
        self._maybe_stopped()

    def _overtime(self) -> None:
        for carried in self.carried.values():
            self.log.error(
                names.UNFINISHED,
                message=carried.head.id,
                partner=carried.head.receiver,
                attempts=carried.tries,
                out=carried.attempt is not None,
            )
        self.stopped.set()

    def _maybe_stopped(self) -> None:
        if self.stopping and not self.carried and not self.handbacks and not self.to_post:
            self.loop.call_later(0.05, self._read_out)

    def _read_out(self) -> None:
        """Ends once the last answers have left; a client that reads one too slowly is let go by its rate."""
        if any(conn.unsent for conn in self.server.open if not conn.dead):
            self.loop.call_later(0.05, self._read_out)
        else:
            self.stopped.set()

    def _every(self, ms: float, what: Callable[[], None]) -> None:
        slot = len(self.periodic)

        def go() -> None:
            self.periodic[slot] = self.loop.call_later(ms / 1000, go)
            what()

        self.periodic.append(self.loop.call_later(ms / 1000, go))

    def _renew(self) -> None:
        """Reads keys and certificates again that have changed; what can't be used leaves the old ones in service."""
        for name, keys in [("listener", self.keys), *self.partner_keys.items()]:
            try:
                if keys is not None and keys.reload():
                    self.log.info(names.KEYS, of=name, result="renewed")
            except TlsError as error:
                self.count("tls_keys_refused")
                self.log.error(names.KEYS, of=name, result="the old ones stay", why=str(error))

    def verify(self) -> None:
        """Asserts that no room, slot, token, timer or connection is held by nobody (limits.self_check_ms)."""
        self.room.shares.verify_invariants()
        reading = {id(c.current.charge) for c in self.server.open if c.current is not None and c.current.charge}
        held = {id(carried.charge) for carried in self.carried.values() if carried.charge is not None}
        owned = {id(charge) for charge in self.room.charges}
        told = f"{len(owned)} charges, {len(reading)} read, {len(held)} held"
        assert owned == reading | held, f"room held by nobody: {told}"
        out = [carried.attempt for carried in self.carried.values() if carried.attempt is not None]
        assert len(out) <= self.relay.in_flight + len(self.turns.events), (
            f"{len(out)} attempts, {self.relay.in_flight} slots"
        )
        assert set(self.tokens) == {a.token for a in out if a.token}, "a receipt address without attempt"
        calls = {id(conn.call) for conn in self.pool.open if conn.call is not None and conn.call.done is not None}
        ours = {id(attempt.call) for attempt in out if attempt.call is not None}
        assert len(calls - ours) <= len(self.handbacks), "a call that no attempt waits for"
        slots = sum(len(office.in_flight) for office in self.room.offices.partners.values())
        assert slots == len(out), f"{slots} attempts counted by office, {len(out)} out"

    def _slow_client(self, conn: server.Connection, why: str) -> None:
        self.count(f"let_go_{why}")
        origin = origin_of(conn.current)
        self.log.warning(
            names.LET_GO,
            peer=conn.peer(),
            bound=why,
            phase=conn.phase,
            read=conn.came,
            message=origin.message if origin else "",
            sender=origin.sender if origin else "",
        )

    def _slow_partner(self, conn: client.ClientConnection, why: str) -> None:
        self.count(f"partner_let_go_{why.partition(':')[0]}")
        self.log.warning(names.LET_GO, peer=client.shown(conn.address), bound=why, unsent=conn.queued, read=conn.came)

    def _no_room(self, exchange: server.RequestContext, text: str, advice_ms: float) -> None:
        self.count("refused_no_room")
        self._reply(exchange, plain(503, text, "refused", advice_ms))

    def close(self) -> None:
        """Ends every connection at once."""
        for handle in self.periodic:
            handle.cancel()
        self.room.close()
        if self.admin:
            self.admin.close()
        self.turns.stop()
        for handle in self.handbacks:
            handle.cancel()
        self.server.close()
        self.pool.close()
        self.register.close()
        self.knowledge.close()

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    @property
    def now(self) -> float:
        return self.turns.now

    # -- the module ------------------------------------------------------------------------------------------

    def _turn(self, events: list[Event], actions: list[Action]) -> None:
        """One turn of the module: all that happened since the last one, in its order."""
        for action in actions:
            self._act(action)
        if any(isinstance(event, EndpointList) and event.endpoints for event in events):
            self.knowledge.learn()  # lanes that came with this list may be known to others

    def _act(self, action: Action) -> None:
        match action:
            case Send(ident, endpoint, until, send_before_ms=begin_by):
                self._send(self.carried[ident], endpoint, until, begin_by)
            case Reject(ident, stay):
                carried = self.carried[ident]
                text = f"refused: {self._why(carried)}; nothing was done, it may be handed in again"
                self._final(carried, plain(503, text, "refused", stay))
            case Fail(ident):
                carried = self.carried[ident]
                text = f"failed: {self._why(carried)}; it may or may not have taken effect"
                own = self.receipts.own(carried.head, text)
                self._final(carried, Answer(own.status, own.headers, own.body, "failed"))
            case Cancel(ident, number):
                attempt = self.carried[ident].attempt if ident in self.carried else None
                if attempt and attempt.number == number and attempt.call:
                    attempt.call.abort(WireResult.CANCELLED)
            case CancelIfUnsent(ident):
                attempt = self.carried[ident].attempt if ident in self.carried else None
                if attempt and attempt.call:
                    attempt.call.recall()
            case CloseIdle(endpoint):
                if endpoint in self.register.places:
                    self.pool.close_idle(self.register.places[endpoint].address)
            case WatchEndpoints():
                self.register.ask()
            case Log(text):
                self.log.info("module", text=text)

    @staticmethod
    def _why(carried: AcceptedMessage) -> str:
        if not carried.tries:
            return "no room, or no way to deliver it in time"
        return f"{carried.tries} attempt{'s' * (carried.tries > 1)}, the last one: {carried.last}"

    def _listed(self, event: EndpointList) -> None:
        self._tell(event)
        for entry in event.endpoints:
            if entry.status is not EndpointStatus.READY and entry.id in self.register.places:
                self.pool.close_idle(self.register.places[entry.id].address)

    # -- intake ----------------------------------------------------------------------------------------------

    def _bad_peer(self, peer: str, error: http1.ProtocolError) -> None:
        self.log.warning(names.BAD_PEER, peer=peer, status=error.status, why=error.text)

    def _head(self, exchange: server.RequestContext) -> None:
        """Before the body is read: what can be refused by its head alone."""
        if exchange.head.target.startswith("/receipt/"):
            carried, _ = self.tokens.get(exchange.head.target.removeprefix("/receipt/"), (None, None))
            if carried is None or (exchange.length or 0) > self.s.limits.receipt_bytes:
                self._receipt(exchange)
            else:
                exchange.who = Origin("receipts", exchange.conn.where, "", carried.head.receiver, carried.head.id)
            return
        path = exchange.head.target.partition("?")[0]
        if path in ("/knowledge", "/knowledge/state") and exchange.head.method == "GET":
            self.knowledge.serve(exchange)
        elif exchange.head.method != "POST":
            answer = self._status(exchange.head) or plain(405, "messages are handed in by POST", "")
            exchange.reply(answer.status, answer.headers, answer.body)
        elif self.stopping:
            self._refuse(exchange, plain(503, "refused: this relay is stopping; try another", "refused", 1000.0), "")
        else:
            self._sorted(exchange)

    def _sorted(self, exchange: server.RequestContext) -> None:
        """Whose message it is, by its head: its tenant and class, and whose room its body takes."""
        headers = exchange.head.headers
        try:
            head = as2.Head.of(headers)
            if head.reply_to:
                loopback_url(head.reply_to)
        except as2.As2Error as error:
            self._refuse(exchange, plain(400, f"refused: {error}", "refused"), headers.get("message-id")[:200])
            return
        except ValueError as error:
            text = f"refused: Receipt-Delivery-Option: {error}"
            self._refuse(exchange, plain(400, text, "refused"), headers.get("message-id")[:200])
            return
        rule = self.router.match(head.sender, head.receiver, head.subject, headers.get("content-type"))
        if rule is None:
            text = f"refused: no rule takes a message from {head.sender} to {head.receiver} of this subject and type"
            self._refuse(exchange, plain(403, text, "refused"), head.id)
            return
        # Its time counts from its first byte: a body that comes in later than that could not be delivered.
        exchange.until = exchange.began + self.classes[rule.class_index].deadline_ms / 1000
        tenants = list(self.s.tenants)
        tenant = tenants[rule.tenant] if rule.tenant < len(tenants) else ""
        shown = exchange.conn.tls.certificate() if exchange.conn.tls else ""
        exchange.who = found = Sorted(
            tenant,
            shown or exchange.conn.where,
            head.sender,
            head.receiver,
            head.id,
            head=head,
            rule=rule,
            hash=hashlib.blake2b(
                headers.get("content-type").encode() + b"\0" + head.receiver.encode() + b"\0", digest_size=16
            ),
        )
        exchange.sink = found.hash.update  # as it comes: 200 MB in one go would hold up everybody

    def _status(self, head: http1.Request) -> Answer | None:
        if head.method not in ("GET", "HEAD") or head.target != "/health":
            return None
        if self.stopping:
            return plain(503, "draining", "")
        return plain(200, "ready" if self.register.version >= 0 else "starting: no list of endpoints yet", "")

    def _refuse(self, exchange: server.RequestContext, answer: Answer, ident: str) -> None:
        self.count("refused_at_door")
        self.log.info(names.REFUSED_AT_DOOR, message=ident, status=answer.status, why=answer.body.decode().strip())
        self._reply(exchange, answer)

    def _request(self, exchange: server.RequestContext) -> None:
        if exchange.answered:
            return
        if exchange.head.target.startswith("/receipt/"):
            self._receipt(exchange)
            return
        found = exchange.who
        assert isinstance(found, Sorted)
        head, rule = found.head, found.rule
        partner = self.register.partners.get(head.receiver)
        digest = found.hash.digest()
        hand, known = self.identifiers.lookup(self.now, head.sender, head.id, digest)
        if hand is SubmissionStatus.CONFLICT:
            text = "conflict: this Message-ID was handed in before with other content"
            self._refuse(exchange, plain(409, text, "conflict"), head.id)
        elif hand is SubmissionStatus.OPEN and known is not None and known.message is not None:
            self.log.info(names.REPEATED, message=head.id, open=True)
            self._join(known.message, exchange)
        elif hand is SubmissionStatus.ANSWERED and known is not None and known.answer is not None:
            self.log.info(names.REPEATED, message=head.id, open=False, answer=known.answer.kind)
            self._give(head, exchange, known.answer)
        elif partner is None:
            if self.register.version < 0:
                text = "refused: the list of partners has not been read yet"
                self._refuse(exchange, plain(503, text, "refused", 1000.0), head.id)
            else:
                self._refuse(exchange, plain(404, f"refused: no partner {head.receiver} is listed", "refused"), head.id)
        else:
            self._take(exchange, head, rule.class_index, rule.tenant, partner, digest)

    def _take(
        self, exchange: server.RequestContext, head: as2.Head, class_: int, tenant: int, partner: int, digest: bytes
    ) -> None:
        self.ids += 1
        message_class = self.classes[class_]
        due = exchange.began * 1000 + message_class.deadline_ms
        carried = AcceptedMessage(self.ids, head, exchange.head.headers, exchange.body, class_, due)
        carried.charge = self.room.take(exchange)
        self.carried[carried.id] = carried
        self.identifiers.start(head.sender, head.id, digest, carried)
        self.count("taken")
        self.log.info(names.TAKEN, message=head.id, sender=head.sender, partner=head.receiver, cls=message_class.name)
        key = 0
        if message_class.in_order:
            pair = f"{head.sender}\0{head.receiver}".encode()
            key = int.from_bytes(hashlib.blake2b(pair, digest_size=7).digest(), "big") + 1
        self._join(carried, exchange)
        self._tell(Message(carried.id, partner, class_, max(0.0, due - self.now), tenant, key))

    def _join(self, carried: AcceptedMessage, exchange: server.RequestContext) -> None:
        """Waits for the final answer, on this connection or by the receipt address."""
        exchange.body = b""  # held once, by the message
        if exchange.charge is not None:
            self.room.ended(exchange)
        if not carried.head.reply_to:
            carried.waiters.append(exchange)
        else:
            exchange.reply(202, [("Content-Type", "text/plain")], b"taken; the receipt follows\n")

    # -- delivery --------------------------------------------------------------------------------------------

    def _send(self, carried: AcceptedMessage, endpoint: int, until: float, begin_by: float) -> None:
        assert carried.attempt is None, "two attempts at once"
        attempt = Attempt(carried.tries, endpoint, self.now)
        carried.tries += 1
        carried.attempt = attempt
        self.room.offices.attempt_started(self.now, carried.head.receiver, id(attempt))
        place = self.register.places.get(endpoint)
        if place is None:
            self._outcome(carried, attempt, AttemptObservation(WireResult.NOT_SENT), None)
            return
        self.log.debug(
            names.ATTEMPT,
            message=carried.head.id,
            attempt=attempt.number,
            endpoint=endpoint,
            until_ms=round(until - self.now),
        )
        secure = None
        if place.secure:
            keys, own = self.partner_keys.get(carried.head.receiver), self.s.partners.get(carried.head.receiver)
            if keys is None or own is None or own.tls is None:
                self.log.error(names.FAULT, why=f"partners.{carried.head.receiver}.tls is not set, its URL is https")
                self._outcome(carried, attempt, AttemptObservation(WireResult.NO_CONNECTION), None)
                return
            secure = keys, own.tls.name or place.address[0]
        data = http1.request_parts("POST", place.target, self._fields(carried, attempt, place), carried.body)
        attempt.call = self.pool.call(
            place.address,
            "POST",
            data,
            lambda answer: self._answered(carried, attempt, answer),
            until / 1000,
            secure,
            begin_by=begin_by / 1000,
        )
        if attempt.token:
            attempt.timer = self.loop.call_at(until / 1000, self._no_receipt, carried, attempt)

    def _fields(self, carried: AcceptedMessage, attempt: Attempt, place: Place) -> list[tuple[str, str]]:
        fields = [("Host", place.host), ("Via", f"1.1 {self.s.name}")]
        dropped = NOT_FORWARDED | set(carried.headers.tokens("connection"))
        fields += [(name, value) for name, value in carried.headers if name.lower() not in dropped]
        partner = self.s.partners.get(carried.head.receiver)
        if carried.head.notify and partner is not None and partner.receipts == "async":
            attempt.token = secrets.token_urlsafe(18)
            self.tokens[attempt.token] = carried, attempt
            fields.append(("Receipt-Delivery-Option", f"http://{self.address}/receipt/{attempt.token}"))
        return fields

    def _answered(self, carried: AcceptedMessage, attempt: Attempt, answer: client.Answer) -> None:
        attempt.call = None
        if carried.attempt is not attempt:
            return
        if answer.head is None:
            self._outcome(carried, attempt, AttemptObservation(answer.sight), None)
            return
        status, headers = answer.head.status, answer.head.headers
        if 200 <= status < 300 and attempt.token and not answer.body:
            attempt.awaiting = True  # the receipt comes on a connection of its own (RFC 4130, 7.2.1)
            return
        receipt = ReceiptStatus.NOT_ASKED
        if 200 <= status < 300:
            receipt = self.receipts.judge(carried.head, carried.headers, carried.body, headers, answer.body)
        self._outcome(
            carried,
            attempt,
            AttemptObservation(WireResult.ANSWERED, status, retry_after(headers), receipt, answer.whole),
            Receipts.handed_on(status, headers, answer.body),
        )

    def _no_receipt(self, carried: AcceptedMessage, attempt: Attempt) -> None:
        if carried.attempt is attempt:
            self._outcome(carried, attempt, AttemptObservation(WireResult.TIMED_OUT), None)

    def _receipt(self, exchange: server.RequestContext) -> None:
        """A receipt on its own: it counts for the attempt whose address it was sent to, while that is out."""
        token = exchange.head.target.removeprefix("/receipt/")
        carried, attempt = self.tokens.get(token, (None, None))
        if exchange.head.method != "POST" or carried is None or attempt is None:
            self.count("receipts_without_attempt")
            self.log.warning(
                names.RECEIPT_ODD,
                why="late, repeated or unknown receipt address",
                sender=exchange.head.headers.get("as2-from")[:200],
            )
            # Still 200: it was read, and a partner that gets an error would only send it again.
            exchange.reply(200)
            return
        got = exchange.head.headers
        receipt = self.receipts.judge(carried.head, carried.headers, carried.body, got, exchange.body)
        exchange.reply(200)
        if receipt in (ReceiptStatus.UNPROVEN, ReceiptStatus.MISSING, ReceiptStatus.OTHER_MESSAGE):
            # Forged or misdirected: the address may have leaked. The true receipt may still come.
            self.count("receipts_not_counted")
            self.log.warning(names.RECEIPT_ODD, message=carried.head.id, why=receipt.value)
            return
        self._outcome(
            carried,
            attempt,
            AttemptObservation(WireResult.ANSWERED, 200, None, receipt),
            Receipts.handed_on(200, got, exchange.body),
        )

    def _outcome(
        self, carried: AcceptedMessage, attempt: Attempt, seen: AttemptObservation, answer: Answer | None
    ) -> None:
        carried.attempt = None
        self.room.offices.attempt_ended(self.now, carried.head.receiver, id(attempt))
        self.tokens.pop(attempt.token, None)
        if attempt.timer:
            attempt.timer.cancel()
        if attempt.call:  # its receipt came, or is not waited for, before its response did
            attempt.call.forget() if seen.wire_result is WireResult.ANSWERED else attempt.call.abort(seen.wire_result)
        found = judge_attempt(seen)
        carried.last = found.reason
        took = self.now - attempt.began
        self.count(f"outcome_{found.outcome.value}")
        self.log.info(
            names.ENDED,
            message=carried.head.id,
            attempt=attempt.number,
            endpoint=attempt.endpoint,
            outcome=found.outcome.value,
            why=found.reason,
            took_ms=round(took, 1),
        )
        self._tell(
            AttemptEnded(
                carried.id, attempt.number, attempt.endpoint, found.outcome, took, found.is_final, found.retry_after_ms
            )
        )
        if found.is_final and answer is not None:
            rejected = seen.receipt is ReceiptStatus.NEGATIVE
            kind = "rejected" if rejected else "delivered"
            self._final(carried, Answer(200, answer.headers, answer.body, kind))

    # -- answers ---------------------------------------------------------------------------------------------

    def _final(self, carried: AcceptedMessage, answer: Answer) -> None:
        """The one final answer, on every connection that waits and to the receipt address."""
        del self.carried[carried.id]
        self.room.release(carried.charge)
        head = carried.head
        if answer.kind == "refused":
            self.identifiers.forget_rejected(head.sender, head.id)
        else:
            self.identifiers.complete(self.now, head.sender, head.id, answer)
        self.count(answer.kind)
        self.log.info(
            names.ANSWERED,
            message=head.id,
            answer=answer.kind,
            attempts=carried.tries,
            left_ms=round(carried.due - self.now),
        )
        for exchange in carried.waiters:
            self._reply(exchange, answer)
        if head.reply_to:
            self._hand_back(head, answer)
        self._maybe_stopped()

    def _reply(self, exchange: server.RequestContext, answer: Answer) -> None:
        fields = [*answer.headers, (ANSWER, answer.kind)] if answer.kind else answer.headers
        exchange.reply(answer.status, fields, answer.body, close=self.stopping)

    def _give(self, head: as2.Head, exchange: server.RequestContext, answer: Answer) -> None:
        if not answer.whole:
            again = self.receipts.again(head, answer.kind)
            answer = Answer(answer.status, again.headers, again.body, answer.kind)
        if not head.reply_to:
            self._reply(exchange, answer)
            return
        exchange.reply(202, [("Content-Type", "text/plain")], b"taken before; the receipt follows\n")
        self._hand_back(head, answer)

    def _hand_back(self, head: as2.Head, answer: Answer) -> None:
        """Posts a final answer to the client's receipt address. A refusal has no body that AS2 knows: it goes as
        a receipt of the relay's, with the advice beside it."""
        if answer.kind == "refused":
            own = self.receipts.own(head, answer.body.decode().strip())
            advice = [(n, v) for n, v in answer.headers if n == "Retry-After"]
            answer = Answer(200, (*own.headers, *advice), own.body, "refused")
        parts = urllib.parse.urlsplit(head.reply_to)
        target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        data = http1.request(
            "POST", target, [("Host", parts.netloc), *answer.headers, (ANSWER, answer.kind)], answer.body
        )
        self._post(split(parts.netloc), data, head.id, 0)

    def _post(self, address: tuple[str, int], data: bytes, ident: str, tries: int) -> None:
        def again() -> None:
            self.handbacks.discard(planned[0])
            self._post(address, data, ident, tries + 1)

        if self.posting >= self.s.limits.slots:  # guards descriptors: a thousand answers may be due at once
            self.to_post.append((address, data, ident, tries))
            return
        self.posting += 1

        def done(answer: client.Answer) -> None:
            self.posting -= 1
            if self.to_post:
                self._post(*self.to_post.popleft())
            good = answer.head is not None and 200 <= answer.head.status < 300
            pause = receipt_retry.next_attempt_ms(tries + 1, good)
            self.handbacks.discard(guard)
            guard.cancel()
            if pause is not None:
                planned.append(self.loop.call_later(pause / 1000, again))
                self.handbacks.add(planned[0])
            elif not good:
                self.count("handbacks_given_up")
                self.log.warning(names.HANDBACK, message=ident, tries=tries + 1, why=answer.sight.value)
            self._maybe_stopped()

        planned: list[asyncio.TimerHandle] = []
        until = self.loop.time() + receipt_retry.ATTEMPT_TIMEOUT_MS / 1000
        guard = self.loop.call_at(until + 1.0, lambda: None)  # counts as work that a stop waits for
        self.handbacks.add(guard)
        self.pool.call(address, "POST", data, done, until)
