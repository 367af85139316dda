"""Register stand-in: the whole list and a watch on changes over HTTP, with lag, failures and stale answers.

GET /list                           {"version": 7, "entries": [...]}
GET /changes?since=5&wait_ms=10000  the entries changed since then; 410 where it no longer knows them
"""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from pathlib import Path
from typing import Any, Literal

from pydantic import Field

from ..config.files import Strict
from ..net import server
from .record import Recorder, now_ms


class Change(Strict):
    """At `at_s` the entry `id` gets these values; a new id is an added endpoint."""

    at_s: float = Field(ge=0)
    id: int
    status: Literal["ready", "draining", "gone"]
    entry: dict[str, Any] | None = None  # the whole entry, for an added one


class Trouble(Strict):
    kind: Literal["fail", "stale", "slow", "garbage"]
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)


class RegisterSpec(Strict):
    port: int = 0
    t0_ms: float | None = None
    record: Path | None = None
    lag_ms: float = Field(1000.0, ge=0)
    keep: int = Field(1000, ge=1)  # changes it remembers
    entries: list[dict[str, Any]] = []
    changes: list[Change] = []
    troubles: list[Trouble] = []


class RegisterStand:
    def __init__(self, spec: RegisterSpec) -> None:
        self.spec = spec
        self.record = Recorder(spec.record)
        self.t0 = spec.t0_ms if spec.t0_ms is not None else now_ms()
        self.version = 1
        self.entries = {entry["id"]: dict(entry) for entry in spec.entries}
        self.log: list[tuple[int, int]] = []  # version, id
        self.waiting: list[tuple[server.RequestContext, int]] = []
        self.held: list[Change] = []  # kept back while it is stale
        self.server: server.Server | None = None
        self.port = spec.port

    async def start(self) -> int:
        self.server = server.Server(self._request, bounds=server.Bounds(idle_s=120.0))
        self.port = await self.server.start(port=self.spec.port)
        self.plan()
        return self.port

    def plan(self) -> None:
        """Sets the timers of all changes, from `t0` on."""
        loop = asyncio.get_running_loop()
        for change in self.spec.changes:
            after = change.at_s + self.spec.lag_ms / 1000 - (now_ms() - self.t0) / 1000
            loop.call_later(max(0.0, after), self.change, change)

    def trouble(self) -> str:
        at = (now_ms() - self.t0) / 1000
        return next((t.kind for t in self.spec.troubles if t.at_s <= at < t.at_s + t.for_s), "")

    def change(self, change: Change) -> None:
        """Makes it known now, or once the register is no longer stale."""
        if self.trouble() == "stale":
            asyncio.get_running_loop().call_later(0.2, self.change, change)
            return
        self.version += 1
        self.entries.setdefault(change.id, {}).update(change.entry or {"id": change.id}, status=change.status)
        self.log = [*self.log, (self.version, change.id)][-self.spec.keep :]
        waiting, self.waiting = self.waiting, []
        for exchange, since in waiting:
            self._changes(exchange, since)

    def _send(self, exchange: server.RequestContext, entries: list[dict[str, Any]], whole: bool = False) -> None:
        if exchange.answered or exchange.conn.dead:
            return
        relay = exchange.head.headers.get("via").removeprefix("1.1 ")
        self.record(
            "told",
            relay=relay,
            version=self.version,
            whole=whole,
            states={str(entry["id"]): entry["status"] for entry in entries},
        )
        body = json.dumps({"version": self.version, "entries": entries}).encode()
        exchange.reply(200, [("Content-Type", "application/json")], body)

    def _changes(self, exchange: server.RequestContext, since: int) -> None:
        ids = dict.fromkeys(ident for version, ident in self.log if version > since)
        self._send(exchange, [self.entries[ident] for ident in ids])

    def _request(self, exchange: server.RequestContext) -> None:
        parts = urllib.parse.urlsplit(exchange.head.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        trouble, loop = self.trouble(), asyncio.get_running_loop()
        if trouble == "fail":
            exchange.reply(500, [], b"register failed\n")
        elif trouble == "garbage":
            exchange.reply(200, [], b'{"version": "seven", "entries": 5')
        elif trouble == "slow":
            loop.call_later(3.0, self._route, exchange, parts.path, query)
        else:
            self._route(exchange, parts.path, query)

    def _route(self, exchange: server.RequestContext, path: str, query: dict[str, str]) -> None:
        if exchange.answered or exchange.conn.dead:
            return
        if path.endswith("/list"):
            self._send(exchange, [e for e in self.entries.values() if e["status"] != "gone"], True)
            return
        since = int(query.get("since", "-1"))
        oldest = self.log[0][0] if self.log else self.version + 1
        if since > self.version or since < oldest - 1 and since != self.version:
            exchange.reply(410)
        elif since < self.version:
            self._changes(exchange, since)
        else:
            self.waiting.append((exchange, since))
            asyncio.get_running_loop().call_later(
                min(60_000, int(query.get("wait_ms", "0"))) / 1000, self._over, exchange, since
            )

    def _over(self, exchange: server.RequestContext, since: int) -> None:
        if (exchange, since) in self.waiting:
            self.waiting.remove((exchange, since))
            self._changes(exchange, since)

    def close(self) -> None:
        if self.server:
            self.server.close()
        self.record.flush()
