"""Notices: the result of each message that was accepted and not delivered, posted to the platform until it has it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ..codec import http1
from ..engine.attempt_outcome import WireResult
from ..engine.resource_limits import MAX_BODY_BYTES, NOTICE_BACKOFF_MS, NOTICE_TIMEOUT_S, backoff_ms
from ..net import client
from .config import Address
from .journal_codec import encode_notice
from .records import Notice

NOTICES_PATH = "/v2/finals"
IDLE_TIMEOUT_S = 30.0
BAD_REQUEST = 400


class NoticeSender:
    """Sends one post at a time, with all notices that wait as far as they fit.

    Attributes:
        address: Where the platform takes notices.
        on_delivered: Gets the message ids of notices that the platform has, or that it cannot read.
        pending: Lines still to be confirmed, by message id.
        in_flight: Message ids of the post on its way.
        failures: Posts that failed in a row.
        sends_singly: A post was rejected as unreadable: the notice at fault is found alone.
        rejected_count: Notices that the platform could not read.
        delivered_count: Notices that it took.
    """

    def __init__(self, address: Address, on_delivered: Callable[[list[int]], None], rng: random.Random) -> None:
        self.address = address
        self.on_delivered = on_delivered
        self.pool = client.ConnectionPool(NOTICE_TIMEOUT_S, IDLE_TIMEOUT_S)
        self.pending: dict[int, bytes] = {}
        self.in_flight: list[int] = []
        self.failures = 0
        self.sends_singly = False
        self.rejected_count = self.delivered_count = 0
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._timer: asyncio.TimerHandle | None = None

    def post(self, message_id: int, notice: Notice) -> None:
        """Owe a notice to the platform; it goes with the next post."""
        self.pending[message_id] = encode_notice(notice) + b"\n"
        if not self.in_flight and self._timer is None:
            self._schedule(0)

    def move(self, address: Address) -> None:
        """Post to another address from now on; a post that waits for its retry goes now."""
        self.pool.close_idle(self.address)
        self.address, self.failures = address, 0
        if self._timer is not None:
            self._timer.cancel()
            self._schedule(0)

    def close(self) -> None:
        """Stop; what is pending is in the journal."""
        if self._timer:
            self._timer.cancel()
        self.pool.close()

    def _schedule(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._send)

    def _send(self) -> None:
        self._timer = None
        self._choose_batch()
        if not self.in_flight:
            return
        host, port = self.address
        body = b"".join(self.pending[message_id] for message_id in self.in_flight)
        headers = [("Host", f"{host}:{port}"), ("Content-Type", "application/x-ndjson")]
        request = http1.encode_request("POST", NOTICES_PATH, headers, body)
        self.pool.call(self.address, "POST", request, self._on_answer, self._loop.time() + NOTICE_TIMEOUT_S)

    def _choose_batch(self) -> None:
        size = 0
        for message_id, line in self.pending.items():
            size += len(line)
            if self.in_flight and (size > MAX_BODY_BYTES or self.sends_singly):
                break
            self.in_flight.append(message_id)

    def _on_answer(self, answer: client.CallResult) -> None:
        message_ids, self.in_flight = self.in_flight, []
        status = answer.head.status if answer.wire_result is WireResult.ANSWERED and answer.head else 0
        if 200 <= status < 300 or (status == BAD_REQUEST and len(message_ids) == 1):
            self._on_confirmed(message_ids, unreadable=status == BAD_REQUEST)
        else:
            self.sends_singly = status == BAD_REQUEST
            self.failures += 1
        if self.pending:
            self._schedule(self._pause_s())
        else:
            self.sends_singly = False

    def _on_confirmed(self, message_ids: list[int], unreadable: bool) -> None:
        self.failures = 0
        if unreadable:
            self.rejected_count += 1
        else:
            self.delivered_count += 1
        for message_id in message_ids:
            del self.pending[message_id]
        self.on_delivered(message_ids)

    def _pause_s(self) -> float:
        if not self.failures or self.sends_singly:
            return 0.0
        return backoff_ms(self.failures, NOTICE_BACKOFF_MS, self._rng) / 1000
