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
        self.where, self.done, self.rng = where, done, rng
        self.pool = client.Pool(NOTICE_TIMEOUT_S, 30.0)
        self.owed: dict[int, bytes] = {}
        self.posting: list[int] = []
        self.fails = 0
        self.one_by_one = False  # a post was refused as unreadable: the notice at fault is found alone
        self.refused = self.posted = 0
        self.timer: asyncio.TimerHandle | None = None

    def post(self, number: int, notice: dict[str, Any]) -> None:
        self.owed[number] = json.dumps(notice, separators=(",", ":")).encode() + b"\n"
        if not self.posting and self.timer is None:
            self.timer = self.loop.call_later(0, self._go)

    def move(self, where: Address) -> None:
        """Another address is in force: the next post goes there, one that waits goes now."""
        self.pool.close_idle(self.where)
        self.where, self.fails = where, 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = self.loop.call_later(0, self._go)

    def _go(self) -> None:
        self.timer = None
        size = 0
        for number, line in self.owed.items():
            size += len(line)
            if self.posting and (size > MAX_BODY_BYTES or self.one_by_one):
                break
            self.posting.append(number)
        if not self.posting:
            return
        body = b"".join(self.owed[number] for number in self.posting)
        headers = [("Host", f"{self.where[0]}:{self.where[1]}"), ("Content-Type", "application/x-ndjson")]
        self.pool.call(
            self.where,
            "POST",
            http1.request("POST", "/v2/finals", headers, body),
            self._answered,
            self.loop.time() + NOTICE_TIMEOUT_S,
        )

    def _answered(self, answer: client.Answer) -> None:
        posted, self.posting = self.posting, []
        status = answer.head.status if answer.sight is WireResult.ANSWERED and answer.head else 0
        if 200 <= status < 300 or status == 400 and len(posted) == 1:
            self.fails = 0
            self.refused += status == 400
            self.posted += status != 400
            for number in posted:
                del self.owed[number]
            self.done(posted)
        else:
            self.one_by_one = status == 400
            self.fails += 1
        if not self.owed:
            self.one_by_one = False
            return
        pause = (
            backoff_ms(self.fails, NOTICE_BACKOFF_MS, self.rng) / 1000 if self.fails and not self.one_by_one else 0.0
        )
        self.timer = self.loop.call_later(pause, self._go)

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.pool.close()
