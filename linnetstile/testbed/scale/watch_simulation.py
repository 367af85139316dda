"""Simulates the discovery watch of a relay, with the platform relay's rules for deadlines, backoff and reading."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from ...emulators.discovery import http_chunk
from ...engine.events import Event
from ...engine.resource_limits import WATCH_BACKOFF_MS, backoff_ms
from ...engine.watch_policy import watch_deadline
from .discovery_model import FIRST_VERSION, EndpointChange
from .relay_runtime import DiscoverySilent, RelayRuntime, WatchNotified, WatchOpens
from .trace import Count, TurnKind
from .workload import KEEPALIVE_INTERVAL_MS

MAX_LISTS_REFUSED = 3
"""Number of refused lists after which a process does not reopen its watch: it would get the same full list again."""
FULL_LIST_MARKER = b'"full":true'
FULL_LIST_MARKER_SEARCH_BYTES = 40
NO_VERSION = 0

EngineTurn = Callable[[float, list[Event], TurnKind], int]


@dataclass(frozen=True, slots=True)
class _WatchLine:
    """A line that discovery sends, and the version of the list after it has been read."""

    data: bytes
    version: int


class WatchSimulation:
    """Opens watches, reads lists and changes, and passes their events to the engine.

    Attributes:
        version: Version of the list in force; `NO_VERSION` before the first list.
    """

    def __init__(self, runtime: RelayRuntime, resumes_by_version: bool, engine_turn: EngineTurn) -> None:
        """Create the simulation of a relay's watches.

        Args:
            runtime: Shared state of the relay.
            resumes_by_version: Whether a reopened watch requests the changes since its version, not the full list.
            engine_turn: Lets the engine handle events; returns the CPU time of the engine in ns.
        """
        self.runtime = runtime
        self.resumes_by_version = resumes_by_version
        self.engine_turn = engine_turn
        self.version = NO_VERSION
        self.watch = 0
        self.failures = 0
        self.lists_refused = 0

    def start_process(self) -> None:
        """Reset the state that a new process does not inherit."""
        self.version = NO_VERSION
        self.lists_refused = 0

    def open(self, now_ms: float, failures: int) -> None:
        """Open a watch; if no answer comes before the deadline, open the next one after a backoff."""
        runtime = self.runtime
        platform = runtime.platform
        self.watch += 1
        self.failures = failures
        runtime.count(Count.WATCHES)
        deadline_ms = now_ms + 1000 * watch_deadline(0.0, False, None)
        reachable_ms = platform.discovery_reachable_at(runtime.relay, now_ms)
        first_answer_ms = platform.notified_at(runtime.relay, reachable_ms)
        if first_answer_ms >= deadline_ms:
            self._reopen_later(deadline_ms)
            return
        runtime.queue.add(first_answer_ms, WatchNotified(self.watch, None))
        unreachable_from_ms = platform.next_discovery_outage(runtime.relay, first_answer_ms)
        if unreachable_from_ms is not None:
            runtime.queue.add(unreachable_from_ms, DiscoverySilent(self.watch))

    def discovery_silent(self, now_ms: float, watch: int) -> None:
        """Handle discovery becoming unreachable: the relay opens a new watch when the silent one times out."""
        if watch != self.watch:
            return
        last_heard_ms = now_ms - self.runtime.rng.uniform(0.0, KEEPALIVE_INTERVAL_MS)
        noticed_ms = 1000 * watch_deadline(last_heard_ms / 1000, True, None)
        self.runtime.queue.add(max(now_ms, noticed_ms), WatchOpens(0))

    def receive(self, now_ms: float, watch: int, change: EndpointChange | None) -> bool:
        """Receive a change, or the first answer of a watch if `change` is None.

        Returns:
            True if data was received, even if the relay refused it; False if the watch has ended or discovery is
            unreachable.
        """
        runtime = self.runtime
        platform = runtime.platform
        if watch != self.watch or not platform.can_reach_discovery(runtime.relay, now_ms):
            return False
        if all(self._read_line(now_ms, watch_line) for watch_line in self._lines(now_ms, change)):
            self._await_next_change(now_ms)
        else:
            self.lists_refused += 1
            if self.lists_refused < MAX_LISTS_REFUSED:
                self._reopen_later(now_ms)
        return True

    def _lines(self, now_ms: float, change: EndpointChange | None) -> list[_WatchLine]:
        """Return the lines that discovery sends for a change, or as the first answer if `change` is None."""
        discovery = self.runtime.platform.discovery
        until = discovery.version_at(now_ms) if change is None else change.version
        if change is None:
            self.runtime.reader.reopen()
        if change is not None or (self.version and self.resumes_by_version):
            return [_WatchLine(sent.line, sent.version) for sent in discovery.changes_between(self.version, until)]
        return [_WatchLine(discovery.full_list(until), until)]

    def _await_next_change(self, now_ms: float) -> None:
        runtime = self.runtime
        changes = runtime.platform.discovery.changes
        if self.version <= len(changes):
            next_change = changes[self.version - FIRST_VERSION]
            notified_ms = runtime.platform.notified_at(runtime.relay, next_change.at_ms)
            runtime.queue.add(max(now_ms, notified_ms), WatchNotified(self.watch, next_change))

    def _reopen_later(self, now_ms: float) -> None:
        failures = self.failures + 1
        pause_ms = backoff_ms(failures, WATCH_BACKOFF_MS, self.runtime.rng)
        self.runtime.queue.add(now_ms + pause_ms, WatchOpens(failures))

    def _read_line(self, now_ms: float, watch_line: _WatchLine) -> bool:
        """Read one line of discovery, sent as one HTTP chunk; return False if the relay refuses the line."""
        line = watch_line.data
        trace = self.runtime.trace
        is_full = FULL_LIST_MARKER in line[:FULL_LIST_MARKER_SEARCH_BYTES]
        kind = TurnKind.FULL_LIST if is_full else TurnKind.CHANGE
        self._count_bytes(now_ms, line, is_full)
        began_ns = time.thread_time_ns()
        try:
            events: list[Event] = list(self.runtime.reader.read(line))
        except ValueError:
            trace.lists_refused += 1
            events = []
        spent_ns = time.thread_time_ns() - began_ns
        trace.cpu_ns[kind] += spent_ns
        if not events:
            return False
        spent_ns += self.engine_turn(now_ms, events, kind)
        trace.longest_list_turn_ns[kind] = max(trace.longest_list_turn_ns[kind], spent_ns)
        for version in range(max(FIRST_VERSION, self.version) + 1, watch_line.version + 1):
            trace.in_force_ms.setdefault(version, now_ms)
        self.version = watch_line.version
        return True

    def _count_bytes(self, now_ms: float, line: bytes, is_full: bool) -> None:
        size = len(http_chunk(line))
        self.runtime.trace.control_bytes[int(now_ms // 1000)] += size
        self.runtime.count(Count.FULL_LIST_BYTES if is_full else Count.CHANGE_BYTES, size)
        self.runtime.count(Count.FULL_LISTS if is_full else Count.CHANGES)
