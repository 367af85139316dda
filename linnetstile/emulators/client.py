"""Client emulator: programs that submit messages, wait, follow Retry-After, retry, and read receipts.

Its submissions are drawn from its seed before the run starts; only its reactions depend on the answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random

from ..codec import http1
from ..config.relay import split_address
from ..engine.attempt_outcome import WireResult
from ..net import client, server
from .client_messages import MessageBuilder, OpenMessage, Submission
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
# Clients wait longer than the relay may take, so that a late answer is recorded as late.
WAIT_BEYOND_DEADLINE_S = 3.0
RETRY_AFTER_LOSS_S = (0.36, 1.9)  # range of the backoff after a submission without an answer
LAST_ANSWER_DELAY_S = 0.3  # time for further answers to arrive after all messages have ended
REFUSED = "refused"  # kind of answer: the relay rejected the message, and it may be submitted again


class ClientEmulator:
    """Submits the scripted messages of one emulator process and handles their answers.

    Attributes:
        spec: Its settings.
        recorder: Records its traffic.
        script: The messages that it submits.
    """

    def __init__(self, spec: ClientSpec) -> None:
        self.spec = spec
        self.recorder = Recorder(spec.record)
        self.script = draw_script(spec)
        self._rng = random.Random(spec.seed + 1)
        self._loop = asyncio.get_running_loop()
        self._start_ms = spec.t0_ms if spec.t0_ms is not None else now_ms()
        self._pool = client.ConnectionPool(connect_timeout_s=CONNECT_TIMEOUT_S, min_idle_s=0.0)
        self._builder = MessageBuilder(spec, run_tag=f"{spec.seed:x}.{int(now_ms()):x}")
        self._server = server.Server(self._receipt_arrived)
        self._port = 0
        self._messages: dict[int, OpenMessage] = {}  # by number in the script
        self._unfinished = len(self.script)
        self._done = asyncio.Event()

    def start_script(self, start_ms: float) -> None:
        """Set the start of a script that was not known at the start of the process; before `run`."""
        self._start_ms = start_ms

    async def run(self, wait_s: float = 40.0) -> None:
        """Play the script, then wait up to `wait_s` for outstanding answers."""
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
        message = OpenMessage(plan, self._builder.build(plan, self._port), now_ms())
        self._messages[plan.number] = message
        self._submit(message, plan.relay)
        # An asynchronous receipt does not show which submission it is for: such messages are not repeated.
        if plan.repeat_after_s is not None and not plan.asynchronous:
            self._loop.call_later(plan.repeat_after_s, self._repeat, message, plan.relay)

    def _class(self, message: OpenMessage) -> ClassSpec:
        return self.spec.classes[message.plan.flow.message_class]

    def _answer_timeout_s(self, message: OpenMessage) -> float:
        return self._class(message).deadline_ms / 1000 + WAIT_BEYOND_DEADLINE_S

    def _repeat(self, message: OpenMessage, relay: int) -> None:
        """Submit the same message once more, whether it is still open or has ended."""
        # Relays do not recognize each other's messages: a repeat to another relay could take effect a second time.
        if message.submissions == 1 and message.relay == relay:
            self._submit(message, relay, is_repeat=True)

    def _submit(self, message: OpenMessage, relay: int, is_repeat: bool = False) -> None:
        message.submissions += not is_repeat
        message.relay = relay
        submission = Submission(message, relay, message.latest_submission + ("r" if is_repeat else ""), is_repeat)
        target = self.spec.relays[relay % len(self.spec.relays)]
        self._record_submission(submission, target.name)
        fields = [("Host", target.address), *message.content.headers]
        data = http1.encode_request("POST", "/as2", fields, message.content.body)
        timeout_at_s = self._loop.time() + self._answer_timeout_s(message)
        self._pool.call(
            split_address(target.address), "POST", data, lambda answer: self._answered(submission, answer), timeout_at_s
        )

    def _record_submission(self, submission: Submission, relay: str) -> None:
        plan = submission.message.plan
        self.recorder.write(
            MessageSubmitted(
                submission=submission.identifier,
                message_id=submission.message.message_id,
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
        message = submission.message
        if answer.head is None:
            self._submission_lost(submission, answer.wire_result)
        elif answer.head.status == 202 and message.plan.asynchronous:
            self.recorder.write(SubmissionAccepted(submission=submission.identifier, message_id=message.message_id))
            self._loop.call_later(self._answer_timeout_s(message), self._receipt_overdue, submission)
        else:
            self._final_answer(submission, answer.head.status, answer.head.headers, answer.body)

    def _record_lost(self, submission: Submission, wire_result: WireResult) -> SubmissionLost:
        lost = SubmissionLost(
            submission=submission.identifier,
            message_id=submission.message.message_id,
            wire_result=wire_result.value,
        )
        self.recorder.write(lost)
        return lost

    def _submission_lost(self, submission: Submission, wire_result: WireResult) -> None:
        lost = self._record_lost(submission, wire_result)
        if submission.is_repeat:
            return
        may_retry = lost.reached_no_relay or self._class(submission.message).may_repeat
        backoff_s = self._rng.uniform(*RETRY_AFTER_LOSS_S)
        self._retry_later(submission, backoff_s, may_retry=may_retry, reached_no_relay=lost.reached_no_relay)

    def _receipt_overdue(self, submission: Submission) -> None:
        """Treat an accepted message as lost if its receipt has not arrived in time."""
        message = submission.message
        if not message.is_done and submission.identifier == message.latest_submission:
            self._record_lost(submission, WireResult.TIMED_OUT)
            backoff_s = self._rng.uniform(*RETRY_AFTER_LOSS_S)
            self._retry_later(submission, backoff_s, may_retry=self._class(message).may_repeat)

    def _final_answer(self, submission: Submission, status: int, headers: http1.Headers, body: bytes) -> None:
        message = submission.message
        kind = headers.get("linnetstile-answer")
        self.recorder.write(
            SubmissionAnswered(
                submission=submission.identifier,
                message_id=message.message_id,
                kind=kind,
                status=status,
                receipt=self._builder.receipt_status(message, kind, status, headers, body),
                digest=hashlib.blake2b(body, digest_size=8).hexdigest(),
            )
        )
        if submission.is_repeat:
            return
        if kind != REFUSED:
            self._finish(message)
            return
        retry_after_ms = float(headers.get("retry-after", "0")) * 1000
        backoff_ms = max(retry_after_ms, self._rng.uniform(*self.spec.min_backoff_ms))
        self._retry_later(submission, backoff_ms / 1000, may_retry=status == 503)

    def _retry_later(
        self, submission: Submission, backoff_s: float, *, may_retry: bool, reached_no_relay: bool = False
    ) -> None:
        """Submit to the next relay after a backoff, if a retry is allowed and within the deadline.

        A submission that reached no relay does not count towards `max_submissions`.
        """
        message = submission.message
        message.submissions -= reached_no_relay
        age_ms = ((now_ms() - message.created_ms) / 1000 + backoff_s) * 1000
        is_exhausted = message.submissions >= self.spec.max_submissions or age_ms > self._class(message).deadline_ms
        if not may_retry or is_exhausted:
            self._finish(message)
        else:
            self._loop.call_later(backoff_s, self._submit, message, submission.relay + 1)

    def _finish(self, message: OpenMessage) -> None:
        if not message.is_done:
            message.is_done = True
            self._unfinished -= 1
            if self._unfinished == 0:
                self._loop.call_later(LAST_ANSWER_DELAY_S, self._done.set)

    def _receipt_arrived(self, exchange: server.RequestContext) -> None:
        """Handle an asynchronous receipt."""
        head = exchange.head
        number = head.target.rpartition("/")[2]
        message = self._messages.get(int(number)) if number.isdigit() else None
        exchange.reply(200)
        if message is None:
            self.recorder.write(StrayReceipt(target=head.target[:100]))
            return
        submission = Submission(message, message.plan.relay, message.latest_submission, is_repeat=message.is_done)
        status = 503 if head.headers.get("linnetstile-answer") == REFUSED else 200
        self._final_answer(submission, status, head.headers, exchange.body)
