"""Client emulator: programs that submit messages, wait, follow Retry-After, submit again, and read receipts.

What it does is drawn from its seed before the run starts; only what answers make it do depends on those.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
from dataclasses import dataclass

from ..codec import cms, http1
from ..config.relay import split_address
from ..engine.attempt_outcome import WireResult
from ..net import client, server
from . import messages
from .client_script import PlannedMessage, draw_script
from .client_settings import ClassSpec, ClientSpec
from .record import Recorder, now_ms
from .traffic_events import (
    MessageSubmitted,
    StrayReceipt,
    SubmissionAccepted,
    SubmissionAnswered,
    SubmissionLost,
)

CONNECT_TIMEOUT_S = 1.0
# It waits a little longer than the relay may: an answer that comes late is to be seen as late.
PATIENCE_BEYOND_DEADLINE_S = 3.0
RETRY_AFTER_LOSS_S = (0.36, 1.9)  # range of the backoff after a submission without an answer
LAST_ANSWER_DELAY_S = 0.3  # what may still come once all messages have ended
CONTENT_UNIT_BYTES = 15
RELAY_ANSWERS = ("failed", "refused")  # kinds of answer that the relay signs itself


@dataclass(slots=True, eq=False)
class OpenMessage:
    """A message and how far it has come.

    Attributes:
        plan: The message as drawn.
        message: The message as built.
        created_ms: When it was first submitted.
        submissions: Submissions that reached a relay, without the repeats of the script.
        relay: Number of the relay that got it last.
        is_done: Whether it has its final answer, or is given up.
    """

    plan: PlannedMessage
    message: messages.BuiltMessage
    created_ms: float
    submissions: int = 0
    relay: int = -1
    is_done: bool = False

    @property
    def message_id(self) -> str:
        """The Message-ID."""
        return self.message.head.message_id

    @property
    def latest_submission(self) -> str:
        """The identifier of its latest submission."""
        return f"{self.plan.number}.{self.submissions}"


@dataclass(frozen=True, slots=True)
class Submission:
    """One submission of a message: to which relay, under which identifier, and whether it is the scripted repeat."""

    item: OpenMessage
    relay: int
    identifier: str
    is_repeat: bool


class ClientEmulator:
    """Plays the script of one process.

    Attributes:
        spec: Its settings.
        recorder: Where its traffic goes.
        script: What it submits.
    """

    def __init__(self, spec: ClientSpec) -> None:
        self.spec = spec
        self.recorder = Recorder(spec.record)
        self.script = draw_script(spec)
        self._rng = random.Random(spec.seed + 1)
        self._loop = asyncio.get_running_loop()
        self._start_ms = spec.t0_ms if spec.t0_ms is not None else now_ms()
        self._pool = client.ConnectionPool(connect_timeout_s=CONNECT_TIMEOUT_S)
        self._identities = {name: cms.load_identity(path.read_bytes()) for name, path in spec.senders_pem.items()}
        self._partners = {name: cms.load_certificate(path.read_bytes()) for name, path in spec.partners_pem.items()}
        self._relay = cms.load_certificate(spec.relay_pem.read_bytes()) if spec.relay_pem else None
        self._server = server.Server(self._receipt_arrived)
        self._port = 0
        self._items: dict[int, OpenMessage] = {}
        self._unfinished = len(self.script)
        self._done = asyncio.Event()
        self._run_tag = f"{spec.seed:x}.{int(self._start_ms):x}"

    async def run(self, wait_s: float = 40.0) -> None:
        """Play the script, then wait for open answers, `wait_s` at most."""
        self._port = await self._server.start()
        for plan in self.script:
            self._loop.call_at(self._start_ms / 1000 + plan.at_s, self._begin, plan)
        end_s = self._start_ms / 1000 + self.spec.seconds + wait_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end_s):
                if self.script:
                    await self._done.wait()
        self._server.close()
        self._pool.close()
        self.recorder.flush()

    # -- submissions -----------------------------------------------------------------------------------------

    def _begin(self, plan: PlannedMessage) -> None:
        item = OpenMessage(plan, self._build(plan), now_ms())
        self._items[plan.number] = item
        self._submit(item, plan.relay)
        # A receipt in a request of its own can't be told apart from that to a repeat: those are not repeated.
        if plan.repeat_after_s is not None and not plan.asynchronous:
            self._loop.call_later(plan.repeat_after_s, self._repeat, item, plan.relay)

    def _build(self, plan: PlannedMessage) -> messages.BuiltMessage:
        flow = plan.flow
        content_unit = f"ISA*{plan.number:010d}*".encode()
        return messages.build_message(
            flow.sender,
            flow.receiver,
            f"<{plan.number}.{self._run_tag}@{flow.sender}>",
            flow.subject,
            content_unit * (self.spec.bytes // CONTENT_UNIT_BYTES + 1),
            sign_by=self._identities.get(flow.sender) if plan.signed else None,
            compress=plan.compressed,
            receipt=plan.receipt,
            reply_to=f"http://127.0.0.1:{self._port}/r/{plan.number}" if plan.asynchronous else "",
        )

    def _class(self, item: OpenMessage) -> ClassSpec:
        return self.spec.classes[item.plan.flow.message_class]

    def _patience_s(self, item: OpenMessage) -> float:
        return self._class(item).deadline_ms / 1000 + PATIENCE_BEYOND_DEADLINE_S

    def _repeat(self, item: OpenMessage, relay: int) -> None:
        """Submit the same message once more, while it may be open or after its end."""
        # Only where it is: at two relays at once, an unsafe message would be the client's own second effect.
        if item.submissions == 1 and item.relay == relay:
            self._submit(item, relay, is_repeat=True)

    def _submit(self, item: OpenMessage, relay: int, is_repeat: bool = False) -> None:
        item.submissions += not is_repeat
        item.relay = relay
        submission = Submission(item, relay, item.latest_submission + ("r" if is_repeat else ""), is_repeat)
        target = self.spec.relays[relay % len(self.spec.relays)]
        self._record_submission(submission, target.name)
        fields = [("Host", target.address), *item.message.headers]
        data = http1.encode_request("POST", "/as2", fields, item.message.body)
        timeout_at_s = self._loop.time() + self._patience_s(item)
        self._pool.call(
            split_address(target.address), "POST", data, lambda answer: self._answered(submission, answer), timeout_at_s
        )

    def _record_submission(self, submission: Submission, relay: str) -> None:
        plan = submission.item.plan
        self.recorder.write(
            MessageSubmitted(
                submission=submission.identifier,
                message_id=submission.item.message_id,
                relay=relay,
                message_class=plan.flow.message_class,
                is_repeat=submission.is_repeat,
                sender=plan.flow.sender,
                receiver=plan.flow.receiver,
                answer_by="post" if plan.asynchronous else "",
            )
        )

    # -- answers ---------------------------------------------------------------------------------------------

    def _answered(self, submission: Submission, answer: client.CallResult) -> None:
        item = submission.item
        if answer.head is None:
            self._lost(submission, answer.wire_result)
        elif answer.head.status == 202 and item.plan.asynchronous:
            self.recorder.write(SubmissionAccepted(submission=submission.identifier, message_id=item.message_id))
            self._loop.call_later(self._patience_s(item), self._receipt_overdue, submission)
        else:
            self._final_answer(submission, answer.head.status, answer.head.headers, answer.body)

    def _record_lost(self, submission: Submission, wire_result: WireResult) -> SubmissionLost:
        lost = SubmissionLost(
            submission=submission.identifier,
            message_id=submission.item.message_id,
            wire_result=wire_result.value,
        )
        self.recorder.write(lost)
        return lost

    def _lost(self, submission: Submission, wire_result: WireResult) -> None:
        lost = self._record_lost(submission, wire_result)
        if submission.is_repeat:
            return
        may_retry = lost.reached_nobody or self._class(submission.item).may_repeat
        backoff_s = self._rng.uniform(*RETRY_AFTER_LOSS_S)
        self._retry_later(submission, backoff_s, may_retry=may_retry, reached_nobody=lost.reached_nobody)

    def _receipt_overdue(self, submission: Submission) -> None:
        """The relay accepted it and no receipt came in its time."""
        item = submission.item
        if not item.is_done and submission.identifier == item.latest_submission:
            self._record_lost(submission, WireResult.TIMED_OUT)
            backoff_s = self._rng.uniform(*RETRY_AFTER_LOSS_S)
            self._retry_later(submission, backoff_s, may_retry=self._class(item).may_repeat)

    def _final_answer(self, submission: Submission, status: int, headers: http1.Headers, body: bytes) -> None:
        item = submission.item
        kind = headers.get("linnetstile-answer")
        self.recorder.write(
            SubmissionAnswered(
                submission=submission.identifier,
                message_id=item.message_id,
                kind=kind,
                status=status,
                receipt=self._receipt_status(item, kind, status, headers, body),
                digest=hashlib.blake2b(body, digest_size=8).hexdigest(),
            )
        )
        if submission.is_repeat:
            return
        if kind != "refused":
            self._finish(item)
            return
        retry_after_ms = float(headers.get("retry-after", "0")) * 1000
        backoff_ms = max(retry_after_ms, self._rng.uniform(*self.spec.back_ms))
        self._retry_later(submission, backoff_ms / 1000, may_retry=status == 503)

    def _receipt_status(self, item: OpenMessage, kind: str, status: int, headers: http1.Headers, body: bytes) -> str:
        if status != 200 or not item.plan.receipt:
            return "none"
        signer = self._relay if kind in RELAY_ANSWERS else self._partners.get(item.plan.flow.receiver)
        return messages.check_receipt(item.message, headers, body, signer).status.value

    def _retry_later(
        self, submission: Submission, backoff_s: float, *, may_retry: bool, reached_nobody: bool = False
    ) -> None:
        """Submit to the next relay after a backoff, if that is allowed and time is left.

        A submission that reached nobody does not count.
        """
        item = submission.item
        item.submissions -= reached_nobody
        age_ms = ((now_ms() - item.created_ms) / 1000 + backoff_s) * 1000
        is_exhausted = item.submissions >= self.spec.tries or age_ms > self._class(item).deadline_ms
        if not may_retry or is_exhausted:
            self._finish(item)
        else:
            self._loop.call_later(backoff_s, self._submit, item, submission.relay + 1)

    def _finish(self, item: OpenMessage) -> None:
        if not item.is_done:
            item.is_done = True
            self._unfinished -= 1
            if self._unfinished == 0:
                self._loop.call_later(LAST_ANSWER_DELAY_S, self._done.set)

    def _receipt_arrived(self, exchange: server.RequestContext) -> None:
        """A receipt came in a request of its own."""
        head = exchange.head
        number = head.target.rpartition("/")[2]
        item = self._items.get(int(number)) if number.isdigit() else None
        exchange.reply(200)
        if item is None:
            self.recorder.write(StrayReceipt(target=head.target[:100]))
            return
        submission = Submission(item, item.plan.relay, item.latest_submission, is_repeat=item.is_done)
        status = 503 if head.headers.get("linnetstile-answer") == "refused" else 200
        self._final_answer(submission, status, head.headers, exchange.body)
