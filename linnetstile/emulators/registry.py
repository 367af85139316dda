"""Registry emulator: the full list and a watch on changes over HTTP, with lag, failures and stale answers.

GET /list                           {"version": 7, "entries": [...]}
GET /changes?since=5&wait_ms=10000  the entries changed since version 5; 410 if they are no longer known
"""

from __future__ import annotations

import asyncio
import json
import math
import urllib.parse
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any, Literal

from pydantic import Field

from ..config.files import StrictModel
from ..net import server
from .record import Recorder, now_ms
from .traffic_events import ListSent

Entry = dict[str, Any]  # as JSON: id, partner, url, status and more

IDLE_TIMEOUT_S = 120.0
STALE_RETRY_S = 0.2  # between two attempts to apply a change that is held back
SLOW_ANSWER_S = 3.0
MAX_POLL_MS = 60_000
INVALID_LIST = b'{"version": "seven", "entries": 5'


class RegistryFaultKind(StrEnum):
    """What a fault of the registry does; the values are those of the settings file."""

    FAIL = "fail"  # requests are answered with status 500
    STALE = "stale"  # changes are held back
    SLOW = "slow"  # requests are answered late
    GARBAGE = "garbage"  # the list is not valid JSON


class Change(StrictModel):
    """A change of the entry `id` at `at_s`; a new id adds an endpoint."""

    at_s: float = Field(ge=0)
    id: int
    status: Literal["ready", "draining", "gone"]
    entry: Entry | None = None  # the full entry of an added endpoint


class RegistryFault(StrictModel):
    """One fault of the registry: from `at_s` for `for_s`, counted from the start of the run."""

    kind: RegistryFaultKind
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)

    def is_active(self, elapsed_s: float) -> bool:
        """Whether the fault is active at this time after the start of the run."""
        return self.at_s <= elapsed_s < self.at_s + self.for_s


class RegistrySpec(StrictModel):
    """The settings file of the registry emulator; the alias is the key of the file."""

    port: int = 0
    # Start of the script by the clock of the run; None = now, infinite = it is told later.
    t0_ms: float | None = None
    record: Path | None = None
    lag_ms: float = Field(1000.0, ge=0)
    keep: int = Field(1000, ge=1)  # number of changes that it remembers
    entries: list[Entry] = []
    changes: list[Change] = []
    faults: list[RegistryFault] = Field([], alias="troubles")


@dataclass(frozen=True, slots=True)
class _LoggedChange:
    version: int
    endpoint: int


@dataclass(frozen=True, slots=True, eq=False)
class _Poll:
    """A request that waits for a change."""

    exchange: server.RequestContext
    since: int


def _can_be_answered(exchange: server.RequestContext) -> bool:
    return not exchange.answered and not exchange.connection.is_closing


class RegistryEmulator:
    """Serves the list of endpoints.

    Attributes:
        spec: Its settings.
        recorder: Records its traffic.
        script_start_ms: Start of the script by the clock of the run; infinite until it is known.
        version: Version of the list.
        entries: The list, by endpoint id.
        port: The port that it listens on once it is started.
    """

    def __init__(self, spec: RegistrySpec) -> None:
        self.spec = spec
        self.recorder = Recorder(spec.record)
        self.script_start_ms = spec.t0_ms if spec.t0_ms is not None else now_ms()
        self.version = 1
        self.entries: dict[int, Entry] = {entry["id"]: dict(entry) for entry in spec.entries}
        self.port = spec.port
        self._changes: list[_LoggedChange] = []
        self._polls: list[_Poll] = []
        self._server: server.Server | None = None

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = server.Server(self._request_arrived, limits=server.ServerLimits(idle_timeout_s=IDLE_TIMEOUT_S))
        self.port = await self._server.start(port=self.spec.port)
        if math.isfinite(self.script_start_ms):
            self._schedule_changes()
        return self.port

    def start_script(self, start_ms: float) -> None:
        """Set the start of a script that was not known at the start of the process."""
        self.script_start_ms = start_ms
        self._schedule_changes()

    def _schedule_changes(self) -> None:
        loop = asyncio.get_running_loop()
        for change in self.spec.changes:
            delay_s = change.at_s + self.spec.lag_ms / 1000 - self._elapsed_s()
            loop.call_later(max(0.0, delay_s), self.apply_change, change)

    def _elapsed_s(self) -> float:
        return (now_ms() - self.script_start_ms) / 1000

    def _fault(self) -> RegistryFaultKind | None:
        elapsed_s = self._elapsed_s()
        return next((fault.kind for fault in self.spec.faults if fault.is_active(elapsed_s)), None)

    def apply_change(self, change: Change) -> None:
        """Apply a change now, or once the registry is no longer stale."""
        if self._fault() is RegistryFaultKind.STALE:
            asyncio.get_running_loop().call_later(STALE_RETRY_S, self.apply_change, change)
            return
        self.version += 1
        self.entries.setdefault(change.id, {}).update(change.entry or {"id": change.id}, status=change.status)
        self._changes = [*self._changes, _LoggedChange(self.version, change.id)][-self.spec.keep :]
        polls = self._polls
        self._polls = []
        for poll in polls:
            self._send_changes(poll.exchange, poll.since)

    # -- requests --------------------------------------------------------------------------------------------

    def _request_arrived(self, exchange: server.RequestContext) -> None:
        fault = self._fault()
        if fault is RegistryFaultKind.FAIL:
            exchange.reply(500, [], b"register failed\n")
        elif fault is RegistryFaultKind.GARBAGE:
            exchange.reply(200, [], INVALID_LIST)
        elif fault is RegistryFaultKind.SLOW:
            asyncio.get_running_loop().call_later(SLOW_ANSWER_S, self._answer, exchange)
        else:
            self._answer(exchange)

    def _answer(self, exchange: server.RequestContext) -> None:
        if not _can_be_answered(exchange):
            return
        url = urllib.parse.urlsplit(exchange.head.target)
        if url.path.endswith("/list"):
            self._send_full_list(exchange)
        else:
            query = dict(urllib.parse.parse_qsl(url.query))
            self._answer_poll(exchange, query)

    def _answer_poll(self, exchange: server.RequestContext, query: dict[str, str]) -> None:
        since = int(query.get("since", "-1"))
        oldest = self._changes[0].version if self._changes else self.version + 1
        is_forgotten = since < oldest - 1 and since != self.version
        if since > self.version or is_forgotten:
            exchange.reply(410)
        elif since < self.version:
            self._send_changes(exchange, since)
        else:
            poll = _Poll(exchange, since)
            self._polls.append(poll)
            wait_ms = min(MAX_POLL_MS, int(query.get("wait_ms", "0")))
            asyncio.get_running_loop().call_later(wait_ms / 1000, self._end_poll, poll)

    def _end_poll(self, poll: _Poll) -> None:
        if poll in self._polls:
            self._polls.remove(poll)
            self._send_changes(poll.exchange, poll.since)

    def _send_full_list(self, exchange: server.RequestContext) -> None:
        listed = [entry for entry in self.entries.values() if entry["status"] != "gone"]
        self._send(exchange, listed, is_full=True)

    def _send_changes(self, exchange: server.RequestContext, since: int) -> None:
        endpoints = dict.fromkeys(change.endpoint for change in self._changes if change.version > since)
        self._send(exchange, [self.entries[endpoint] for endpoint in endpoints], is_full=False)

    def _send(self, exchange: server.RequestContext, entries: list[Entry], is_full: bool) -> None:
        if not _can_be_answered(exchange):
            return
        sent = ListSent(
            relay=exchange.head.headers.get("via").removeprefix("1.1 "),
            version=self.version,
            is_full=is_full,
            statuses={str(entry["id"]): entry["status"] for entry in entries},
        )
        self.recorder.write(sent)
        body = json.dumps({"version": self.version, "entries": entries}).encode()
        exchange.reply(200, [("Content-Type", "application/json")], body)

    def close(self) -> None:
        """End the listener and flush the record."""
        if self._server:
            self._server.close()
        self.recorder.flush()
