"""Posts notices to the platform, and retries until it confirms them.

A notice is the result of a message that was accepted and not delivered.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..codec import http1
from ..engine.attempt_outcome import WireResult
from ..engine.resource_limits import MAX_BODY_BYTES, NOTICE_BACKOFF_MS, NOTICE_TIMEOUT_S, backoff_ms
from ..net import client
from ..net.fault_boundary import FaultBoundary
from .config import Address
from .journal_codec import encode_notice
from .records import Notice

NOTICES_PATH = "/v2/finals"
IDLE_TIMEOUT_S = 30.0  # of the connection to the platform
HTTP_BAD_REQUEST = 400
NO_STATUS = 0  # no answer arrived


class NoticeSender:
    """Posts pending notices in batches: one post at a time, with as many notices as fit into its body.

    Attributes:
        address: Address of the platform.
        on_delivered: Called with the message ids of notices that the platform has confirmed or rejected as invalid.
        pool: The connection to the platform.
        pending: Encoded notices that are not confirmed, by message id.
        in_flight: Message ids of the notices in the current post; empty without one.
        failures: Number of posts in a row that failed.
        sends_singly: Whether each post carries a single notice. Set after the platform rejected a post as invalid, to
            find the invalid notice among several.
        rejected_count: Number of posts of a single notice that the platform rejected as invalid.
        delivered_count: Number of posts that the platform has confirmed.
    """

    def __init__(self, address: Address, on_delivered: Callable[[list[int]], None], rng: random.Random) -> None:
        self.address = address
        self.on_delivered = on_delivered
        self.pool = client.ConnectionPool(NOTICE_TIMEOUT_S, IDLE_TIMEOUT_S)
        self.pending: dict[int, bytes] = {}
        self.in_flight: list[int] = []
        self.failures = 0
        self.sends_singly = False
        self.rejected_count = 0
        self.delivered_count = 0
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._timer: asyncio.TimerHandle | None = None

    def post(self, message_id: int, notice: Notice) -> None:
        """Add a notice to the next post."""
        self.pending[message_id] = encode_notice(notice) + b"\n"
        if not self.in_flight and self._timer is None:
            self._schedule(0)

    def move(self, address: Address) -> None:
        """Post to another address from now on. A post that waits for its retry is made immediately."""
        self.pool.close_idle(self.address)
        self.address = address
        self.failures = 0
        if self._timer is not None:
            self._timer.cancel()
            self._schedule(0)

    def close(self) -> None:
        """Stop posting. Pending notices stay in the journal."""
        if self._timer:
            self._timer.cancel()
        self.pool.close()

    def _schedule(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._send)

    def _send(self) -> None:
        """Post the next batch; if that raises an exception, the batch has failed and is posted again."""
        self._timer = None
        with FaultBoundary("a post of notices") as boundary:
            self._post_batch()
        if boundary.failed:
            self._batch_failed()

    def _post_batch(self) -> None:
        self._choose_batch()
        if not self.in_flight:
            return
        host, port = self.address
        body = b"".join(self.pending[message_id] for message_id in self.in_flight)
        headers = [("Host", f"{host}:{port}"), ("Content-Type", "application/x-ndjson")]
        request = http1.encode_request("POST", NOTICES_PATH, headers, body)
        timeout_at = self._loop.time() + NOTICE_TIMEOUT_S
        self.pool.call(self.address, "POST", request, self._on_answer, timeout_at)

    def _choose_batch(self) -> None:
        """Put the notices of the next post in flight: at least one if any is pending."""
        body_bytes = 0
        for message_id, line in self.pending.items():
            body_bytes += len(line)
            if self.in_flight and (body_bytes > MAX_BODY_BYTES or self.sends_singly):
                break
            self.in_flight.append(message_id)

    def _batch_failed(self) -> None:
        self.in_flight = []
        self.failures += 1
        self._schedule(self._backoff_s())

    def _on_answer(self, answer: client.CallResult) -> None:
        message_ids = self.in_flight
        self.in_flight = []
        with FaultBoundary("the answer to a post of notices"):
            self._judge(answer, message_ids)
        if self.pending:
            self._schedule(self._backoff_s())
        else:
            self.sends_singly = False

    def _judge(self, answer: client.CallResult, message_ids: list[int]) -> None:
        """Record whether the platform has confirmed the notices of a post."""
        status = answer.head.status if answer.wire_result is WireResult.ANSWERED and answer.head else NO_STATUS
        is_bad_request = status == HTTP_BAD_REQUEST
        if 200 <= status < 300 or (is_bad_request and len(message_ids) == 1):
            self._on_confirmed(message_ids, is_invalid=is_bad_request)
        else:
            self.sends_singly = is_bad_request
            self.failures += 1

    def _on_confirmed(self, message_ids: list[int], *, is_invalid: bool) -> None:
        self.failures = 0
        if is_invalid:
            self.rejected_count += 1
        else:
            self.delivered_count += 1
        for message_id in message_ids:
            del self.pending[message_id]
        self.on_delivered(message_ids)

    def _backoff_s(self) -> float:
        """Return the time in seconds until the next post."""
        if not self.failures or self.sends_singly:
            return 0.0
        return backoff_ms(self.failures, NOTICE_BACKOFF_MS, self._rng) / 1000
