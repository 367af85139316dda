"""Client stand-in: case programs that hand messages in, wait, heed advice, hand in again, and read receipts.

What it does is drawn from its seed before the run starts; only what answers make it do depends on those."""

from __future__ import annotations

import asyncio
import hashlib
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from pydantic import Field

from ..codec import cms, http1
from ..config.files import Strict
from ..config.relay import Address, split
from ..engine.attempt_outcome import WireResult
from ..net import client, server
from . import messages
from .record import Recorder, now_ms


class RelaySpec(Strict):
    name: str
    address: Address


class FlowSpec(Strict):
    """Messages of one class from one sender to one partner."""

    sender: str
    receiver: str
    cls: str
    subject: str
    per_s: float = Field(gt=0)


class Surge(Strict):
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    times: float = Field(gt=0)
    receivers: list[str] = []  # none = all


class ClassSpec(Strict):
    effect: Literal["safe", "keyed", "unsafe"]
    deadline_ms: float


class ClientSpec(Strict):
    seed: int = 1
    t0_ms: float | None = None
    seconds: float = Field(gt=0)
    record: Path | None = None
    relays: list[RelaySpec] = Field(min_length=1)
    classes: dict[str, ClassSpec]
    flows: list[FlowSpec] = Field(min_length=1)
    surges: list[Surge] = []
    senders_pem: dict[str, Path] = {}
    partners_pem: dict[str, Path] = {}
    relay_pem: Path | None = None
    signed: float = Field(0.3, ge=0, le=1)
    compressed: float = Field(0.1, ge=0, le=1)
    receipts: float = Field(0.9, ge=0, le=1)  # share that asks for a receipt, signed
    asynchronous: float = Field(0.0, ge=0, le=1)  # of those, to a receipt address
    repeats: float = Field(0.02, ge=0, le=1)  # handed in twice to the same relay
    bytes: int = Field(600, ge=1)
    tries: int = Field(3, ge=1)
    back_ms: tuple[float, float] = (300.0, 900.0)  # pause before another hand-in, at least


@dataclass(slots=True)
class Plan:
    """One message as drawn before the run."""

    at_s: float
    flow: FlowSpec
    number: int
    signed: bool
    compressed: bool
    receipt: bool
    asynchronous: bool
    repeat_after: float | None
    relay: int


def draw(spec: ClientSpec) -> list[Plan]:
    """The script of a run: the same for the same seed."""
    rng, plans = random.Random(spec.seed), list[Plan]()
    for flow in spec.flows:
        at = 0.0
        while True:
            times = 1.0
            for surge in spec.surges:
                if surge.at_s <= at < surge.at_s + surge.for_s and (
                    not surge.receivers or flow.receiver in surge.receivers
                ):
                    times *= surge.times
            at += rng.expovariate(flow.per_s * times)
            if at >= spec.seconds:
                break
            receipt = rng.random() < spec.receipts
            plans.append(
                Plan(
                    at,
                    flow,
                    0,
                    rng.random() < spec.signed,
                    rng.random() < spec.compressed,
                    receipt,
                    receipt and rng.random() < spec.asynchronous,
                    rng.uniform(0.01, 3.0) if rng.random() < spec.repeats else None,
                    rng.randrange(len(spec.relays)),
                )
            )
    plans.sort(key=lambda plan: plan.at_s)
    for number, plan in enumerate(plans):
        plan.number = number
    return plans


@dataclass(slots=True, eq=False)
class Open:
    plan: Plan
    made: messages.Made
    first: float
    tries: int = 0
    relay: int = -1  # where it was handed in last
    over: bool = False


class ClientStand:
    def __init__(self, spec: ClientSpec) -> None:
        self.spec = spec
        self.record = Recorder(spec.record)
        self.rng = random.Random(spec.seed + 1)
        self.plans = draw(spec)
        self.loop = asyncio.get_running_loop()
        self.t0 = spec.t0_ms if spec.t0_ms is not None else now_ms()
        self.pool = client.Pool(connect_s=1.0)
        self.keys = {name: cms.load(path.read_bytes()) for name, path in spec.senders_pem.items()}
        self.partners = {name: cms.load_certificate(p.read_bytes()) for name, p in spec.partners_pem.items()}
        self.relay = cms.load_certificate(spec.relay_pem.read_bytes()) if spec.relay_pem else None
        self.server = server.Server(self._receipt)
        self.port = 0
        self.open: dict[int, Open] = {}
        self.left = len(self.plans)
        self.done = asyncio.Event()
        self.tag = f"{spec.seed:x}.{int(self.t0):x}"

    async def run(self, wait_s: float = 40.0) -> None:
        """Plays the script, then waits for open answers, `wait_s` at most."""
        self.port = await self.server.start()
        for plan in self.plans:
            self.loop.call_at(self.t0 / 1000 + plan.at_s, self._begin, plan)
        end = self.t0 / 1000 + self.spec.seconds + wait_s
        try:
            async with asyncio.timeout_at(end):
                if self.plans:
                    await self.done.wait()
        except TimeoutError:
            pass
        self.server.close()
        self.pool.close()
        self.record.flush()

    def _begin(self, plan: Plan) -> None:
        spec, flow = self.spec, plan.flow
        ident = f"<{plan.number}.{self.tag}@{flow.sender}>"
        reply = f"http://127.0.0.1:{self.port}/r/{plan.number}" if plan.asynchronous else ""
        made = messages.make(
            flow.sender,
            flow.receiver,
            ident,
            flow.subject,
            f"ISA*{plan.number:010d}*".encode() * (spec.bytes // 15 + 1),
            sign_by=self.keys.get(flow.sender) if plan.signed else None,
            compress=plan.compressed,
            receipt=plan.receipt,
            reply_to=reply,
        )
        self.open[plan.number] = Open(plan, made, now_ms())
        self._hand_in(self.open[plan.number], plan.relay)
        # An answer that comes on its own can't be told apart from that to a repeat: those are not repeated.
        if plan.repeat_after is not None and not plan.asynchronous:
            self.loop.call_later(plan.repeat_after, self._repeat, self.open[plan.number], plan.relay)

    def _repeat(self, item: Open, relay: int) -> None:
        """The same message once more, while it may be open or after its end."""
        # Only where it is: at two relays at once, an unsafe message would be the client's own second effect.
        if item.tries == 1 and item.relay == relay:
            self._hand_in(item, relay, again=True)

    def _hand_in(self, item: Open, relay: int, again: bool = False) -> None:
        spec, plan = self.spec, item.plan
        item.tries += not again
        item.relay = relay
        to = spec.relays[relay % len(spec.relays)]
        message_class = spec.classes[plan.flow.cls]
        mark = f"{plan.number}.{item.tries}{'r' if again else ''}"
        self.record(
            "hand",
            hand=mark,
            mid=item.made.head.id,
            relay=to.name,
            cls=plan.flow.cls,
            again=again,
            sender=plan.flow.sender,
            receiver=plan.flow.receiver,
            wait="post" if plan.asynchronous else "",
        )
        address = split(to.address)
        data = http1.request("POST", "/as2", [("Host", to.address), *item.made.headers], item.made.body)
        # It waits a little longer than the relay may: an answer that comes late is to be seen as late.
        until = self.loop.time() + message_class.deadline_ms / 1000 + 3.0
        self.pool.call(address, "POST", data, lambda answer: self._answered(item, relay, mark, again, answer), until)

    def _answered(self, item: Open, relay: int, mark: str, again: bool, answer: client.Answer) -> None:
        mid = item.made.head.id
        if answer.head is None:
            self.record("lost", hand=mark, mid=mid, sight=answer.sight.value)
            if not again:
                nothing_left = answer.sight in (WireResult.NO_CONNECTION, WireResult.NOT_SENT)
                may = nothing_left or self.spec.classes[item.plan.flow.cls].effect != "unsafe"
                self._later(item, relay + 1, self.rng.uniform(0.36, 1.9), may, free=nothing_left)
            return
        if answer.head.status == 202 and item.plan.asynchronous:
            self.record("taken", hand=mark, mid=mid)
            left = self.spec.classes[item.plan.flow.cls].deadline_ms / 1000 + 3.0
            self.loop.call_later(left, self._no_receipt, item, relay, mark)
            return
        self._final(item, relay, mark, again, answer.head.status, answer.head.headers, answer.body)

    def _no_receipt(self, item: Open, relay: int, mark: str) -> None:
        """The relay took it and no receipt came in its time."""
        if not item.over and mark == f"{item.plan.number}.{item.tries}":
            self.record("lost", hand=mark, mid=item.made.head.id, sight=WireResult.TIMED_OUT.value)
            may = self.spec.classes[item.plan.flow.cls].effect != "unsafe"
            self._later(item, relay + 1, self.rng.uniform(0.36, 1.9), may)

    def _final(
        self, item: Open, relay: int, mark: str, again: bool, status: int, headers: http1.Headers, body: bytes
    ) -> None:
        kind = headers.get("linnetstile-answer")
        signer = self.relay if kind in ("failed", "refused") else self.partners.get(item.plan.flow.receiver)
        receipt = "none"
        if status == 200 and item.plan.receipt:
            receipt = messages.check(item.made, headers, body, signer)[0].value
        self.record(
            "final",
            hand=mark,
            mid=item.made.head.id,
            kind=kind,
            status=status,
            receipt=receipt,
            digest=hashlib.blake2b(body, digest_size=8).hexdigest(),
        )
        if again:
            return
        if kind != "refused":
            self._end(item)
            return
        stay = float(headers.get("retry-after", "0")) * 1000
        self._later(item, relay + 1, max(stay, self.rng.uniform(*self.spec.back_ms)) / 1000, status == 503)

    def _later(self, item: Open, relay: int, seconds: float, may: bool, free: bool = False) -> None:
        """Another hand-in, if it may be one and time is left; one that reached nobody is no try."""
        item.tries -= free
        age = (now_ms() - item.first) / 1000 + seconds
        if not may or item.tries >= self.spec.tries or age * 1000 > self.spec.classes[item.plan.flow.cls].deadline_ms:
            self._end(item)
        else:
            self.loop.call_later(seconds, self._hand_in, item, relay)

    def _end(self, item: Open) -> None:
        if not item.over:
            item.over = True
            self.left -= 1
            if self.left == 0:
                self.loop.call_later(0.3, self.done.set)

    def _receipt(self, exchange: server.RequestContext) -> None:
        """An answer that comes on its own."""
        number = exchange.head.target.rpartition("/")[2]
        item = self.open.get(int(number)) if number.isdigit() else None
        exchange.reply(200)
        if item is None:
            self.record("stray", target=exchange.head.target[:100])
        else:
            mark = f"{item.plan.number}.{item.tries}"
            self._final(
                item,
                item.plan.relay,
                mark,
                item.over,
                200 if exchange.head.headers.get("linnetstile-answer") != "refused" else 503,
                exchange.head.headers,
                exchange.body,
            )
