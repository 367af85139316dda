"""Notices: the end of each message that was taken on and not delivered, posted to the platform until it has it."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from ..codec import http1
from ..engine.attempt_outcome import WireResult
from ..engine.resource_limits import MAX_BODY_BYTES, NOTICE_BACKOFF_MS, NOTICE_TIMEOUT_S, backoff_ms
from ..net import client
from .config import Address


class NoticeSender:
    """One post at a time, with all notices that wait as far as they fit; `done` gets the numbers that it has."""

    def __init__(self, where: Address, done: Callable[[list[int]], None], rng: random.Random) -> None:
        self.loop = asyncio.get_running_loop()
        self.address, self.on_delivered, self.rng = where, done, rng
        self.pool = client.Pool(NOTICE_TIMEOUT_S, 30.0)
        self.pending: dict[int, bytes] = {}
        self.in_flight: list[int] = []
        self.failures = 0
        self.sends_singly = False  # a post was refused as unreadable: the notice at fault is found alone
        self.rejected_count = self.delivered_count = 0
        self.timer: asyncio.TimerHandle | None = None

    def post(self, number: int, notice: dict[str, Any]) -> None:
        self.pending[number] = json.dumps(notice, separators=(",", ":")).encode() + b"\n"
        if not self.in_flight and self.timer is None:
            self.timer = self.loop.call_later(0, self._send)

    def move(self, where: Address) -> None:
        """Another address is in force: the next post goes there, one that waits goes now."""
        self.pool.close_idle(self.address)
        self.address, self.failures = where, 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = self.loop.call_later(0, self._send)

    def _send(self) -> None:
        self.timer = None
        size = 0
        for number, line in self.pending.items():
            size += len(line)
            if self.in_flight and (size > MAX_BODY_BYTES or self.sends_singly):
                break
            self.in_flight.append(number)
        if not self.in_flight:
            return
        body = b"".join(self.pending[number] for number in self.in_flight)
        headers = [("Host", f"{self.address[0]}:{self.address[1]}"), ("Content-Type", "application/x-ndjson")]
        self.pool.call(
            self.address,
            "POST",
            http1.request("POST", "/v2/finals", headers, body),
            self._on_answer,
            self.loop.time() + NOTICE_TIMEOUT_S,
        )

    def _on_answer(self, answer: client.Answer) -> None:
        posted, self.in_flight = self.in_flight, []
        status = answer.head.status if answer.sight is WireResult.ANSWERED and answer.head else 0
        if 200 <= status < 300 or status == 400 and len(posted) == 1:
            self.failures = 0
            self.rejected_count += status == 400
            self.delivered_count += status != 400
            for number in posted:
                del self.pending[number]
            self.on_delivered(posted)
        else:
            self.sends_singly = status == 400
            self.failures += 1
        if not self.pending:
            self.sends_singly = False
            return
        pause = (
            backoff_ms(self.failures, NOTICE_BACKOFF_MS, self.rng) / 1000 if self.failures and not self.sends_singly else 0.0
        )
        self.timer = self.loop.call_later(pause, self._send)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.pool.close()
