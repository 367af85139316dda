"""Posts final answers to the receipt URLs of clients (RFC 4130, 7.1); `engine/receipt_retry.py` has the delays."""

from __future__ import annotations

import asyncio
import urllib.parse
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..codec import as2, http1
from ..config.relay import split_address
from ..engine import receipt_retry
from ..net import client
from ..telemetry import log_events
from .answers import ANSWER_KIND_HEADER, AnswerKind, ClientAnswer
from .receipts import ReceiptIssuer
from .relay_context import RelayContext

TIMEOUT_MARGIN_S = 1.0  # the time-out of the call expires before the placeholder timer


@dataclass(frozen=True, slots=True)
class ReceiptPost:
    """The POST request of a final answer to a client.

    Attributes:
        address: Host and port of the client's receipt URL.
        data: The complete HTTP request.
        message_id: Message-ID of the message, for the log.
        failed_attempts: Number of failed attempts so far.
    """

    address: tuple[str, int]
    data: bytes
    message_id: str
    failed_attempts: int = 0


class ReceiptDelivery:
    """Posts final answers, retries failed posts, and limits how many are in flight.

    Attributes:
        post_timers: One timer for each post in flight or to be retried; a shutdown waits until there are none.
        queued: Posts that wait until fewer than `max_in_flight` are in flight.
    """

    def __init__(
        self,
        context: RelayContext,
        pool: client.ConnectionPool,
        issuer: ReceiptIssuer,
        max_in_flight: int,
        on_progress: Callable[[], None],
    ) -> None:
        """Create a receipt delivery that has nothing to post yet.

        Args:
            context: Shared state of the relay's components.
            pool: Connections for the posts.
            issuer: Issues the receipts that report refusals.
            max_in_flight: Maximum number of simultaneous posts. Limits the open descriptors, as a thousand answers may
                become due at the same time.
            on_progress: Called after each attempt.
        """
        self.context = context
        self.pool = pool
        self.issuer = issuer
        self.max_in_flight = max_in_flight
        self.on_progress = on_progress
        self.post_timers: set[asyncio.TimerHandle] = set()
        self.in_flight = 0
        self.queued: deque[ReceiptPost] = deque()

    @property
    def is_idle(self) -> bool:
        """Whether no post is in flight, queued or to be retried."""
        return not self.post_timers and not self.queued

    def deliver(self, head: as2.As2Headers, answer: ClientAnswer) -> None:
        """Post a final answer to the receipt URL of its message.

        AS2 defines no content for a refusal, so it is sent as a receipt of the relay with a Retry-After field.
        """
        if answer.kind is AnswerKind.REFUSED:
            receipt = self.issuer.failure(head, answer.body.decode().strip())
            retry_after_headers = [(name, value) for name, value in answer.headers if name == "Retry-After"]
            answer = ClientAnswer(200, (*receipt.headers, *retry_after_headers), receipt.body, AnswerKind.REFUSED)
        url = urllib.parse.urlsplit(head.async_receipt_url)
        target = (url.path or "/") + (f"?{url.query}" if url.query else "")
        headers = [("Host", url.netloc), *answer.headers, (ANSWER_KIND_HEADER, answer.kind)]
        data = http1.encode_request("POST", target, headers, answer.body)
        self._post(ReceiptPost(split_address(url.netloc), data, head.message_id))

    def _post(self, post: ReceiptPost) -> None:
        if self.in_flight >= self.max_in_flight:
            self.queued.append(post)
            return
        self.in_flight += 1
        timeout_at = self.context.loop.time() + receipt_retry.ATTEMPT_TIMEOUT_MS / 1000
        placeholder = self.context.loop.call_at(timeout_at + TIMEOUT_MARGIN_S, _do_nothing)
        self.post_timers.add(placeholder)

        def on_answer(answer: client.CallResult) -> None:
            self._attempt_ended(post, answer, placeholder)

        self.pool.call(post.address, "POST", post.data, on_answer, timeout_at)

    def _attempt_ended(self, post: ReceiptPost, answer: client.CallResult, placeholder: asyncio.TimerHandle) -> None:
        self.in_flight -= 1
        if self.queued:
            self._post(self.queued.popleft())
        attempts = post.failed_attempts + 1
        was_delivered = answer.head is not None and 200 <= answer.head.status < 300
        backoff_ms = receipt_retry.next_backoff_ms(attempts, was_delivered)
        self.post_timers.discard(placeholder)
        placeholder.cancel()
        if backoff_ms is not None:
            self._retry_later(post, attempts, backoff_ms)
        elif not was_delivered:
            self.context.counts["handbacks_given_up"] += 1
            self.context.log.warning(
                log_events.RECEIPT_DELIVERY_FAILED,
                message=post.message_id,
                attempts=attempts,
                why=answer.wire_result.value,
            )
        self.on_progress()

    def _retry_later(self, post: ReceiptPost, attempts: int, backoff_ms: float) -> None:
        def retry() -> None:
            self.post_timers.discard(timer)
            self._post(replace(post, failed_attempts=attempts))

        timer = self.context.loop.call_later(backoff_ms / 1000, retry)
        self.post_timers.add(timer)

    def close(self) -> None:
        """Cancel all timers, and with them all retries."""
        for timer in self.post_timers:
            timer.cancel()


def _do_nothing() -> None:
    """Serve as the callback of a placeholder timer, which only counts a post in flight."""
