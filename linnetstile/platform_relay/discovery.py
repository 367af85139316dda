"""Discovery: keeps a watch open, which brings the list of endpoints and its changes, and publishes them to the engine.

`watch_connection` reads one watch; this module opens watches, one after the other, and limits how long each may be
silent. `engine/watch_policy.py` decides what a watch asks for and how long that is.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from ..codec import http1
from ..engine.events import Endpoint, EndpointList, EndpointStatus, ListKind
from ..engine.resource_limits import WATCH_BACKOFF_MS, WATCH_CONNECT_TIMEOUT_S, backoff_ms
from ..engine.watch_policy import ELEMENT_STALL_S, ENTRIES_PER_EVENT, ResumePolicy, watch_deadline
from . import log_events
from .config import Address
from .directory import Directory
from .list_update import ListUpdate
from .log_events import EventLog
from .watch_connection import WatchConnection

WATCH_PATH = "/api/targets?follow=1"
MAX_LIST_BYTES = 8 * 1024 * 1024  # of a JSON value that cannot be read in parts: a longer one is rejected
MAX_REASON_CHARACTERS = 200  # of the reason why a list was rejected, in the log


def change_events(entries: Iterable[Endpoint]) -> Iterator[EndpointList]:
    """Yield changed endpoints as events of bounded size.

    Endpoints that end come first, so that the engine has removed one before it gets its replacement.
    """
    changed = sorted(entries, key=lambda entry: entry.status is EndpointStatus.READY)
    for start in range(0, len(changed), ENTRIES_PER_EVENT):
        yield EndpointList(ListKind.CHANGES, tuple(changed[start : start + ENTRIES_PER_EVENT]))


class Watch:
    """Keeps one watch open at the present address of discovery.

    Each list that was rejected, was truncated, or had entries that could not be read is logged.

    Attributes:
        loop: The event loop.
        directory: The endpoints, which the lists update.
        address: Address of discovery.
        on_event: Called with each event for the engine.
        rng: Source of the jitter of backoffs.
        log: Writes log events.
        max_list_bytes: Bound on a JSON value that cannot be read in parts.
        connection: The connection of the present watch; None without one.
        task: The task that opens watches; None before `start`.
        resume_policy: Decides what the next watch asks for.
        first_list_read: Set once a list has been read to its end.
        failures: Watches in a row that delivered nothing useful.
        watches_opened: Number of watches since the start.
        lists_rejected: Number of rejected lists since the start.
    """

    def __init__(
        self,
        directory: Directory,
        address: Address,
        on_event: Callable[[EndpointList], None],
        rng: random.Random,
        log: EventLog = log_events.discard,
        *,
        max_list_bytes: int = MAX_LIST_BYTES,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.directory = directory
        self.address = address
        self.on_event = on_event
        self.rng = rng
        self.log = log
        self.max_list_bytes = max_list_bytes
        self.connection: WatchConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.resume_policy = ResumePolicy()
        self.first_list_read = asyncio.Event()
        self.failures = 0
        self.watches_opened = 0
        self.lists_rejected = 0

    @property
    def is_reading_list(self) -> bool:
        """Whether a list has begun to arrive and is not complete."""
        return self.connection is not None and self.connection.update is not None

    def start(self) -> None:
        """Open a watch, and another one whenever it ends."""
        self.task = self.loop.create_task(self._run())

    def move(self, address: Address) -> None:
        """Watch discovery at another address from now on."""
        self.close()
        self.address = address
        self.failures = 0
        self.resume_policy.discovery_moved()
        self.start()

    def close(self) -> None:
        """End the watch: whatever still arrives is ignored."""
        if self.task:
            self.task.cancel()
        if self.connection:
            self.connection.close()
        self.connection = None

    # -- called by the connection (`WatchListener`) ----------------------------------------------------------

    def publish(self, entries: Iterable[Endpoint]) -> None:
        """Pass changed endpoints to the engine."""
        for event in change_events(entries):
            self.on_event(event)

    def list_read(self, update: ListUpdate, *, is_small: bool) -> None:
        """Record that a list has been read to its end, and is in force."""
        if update.entries_skipped:
            self.log(
                log_events.ENTRIES_SKIPPED,
                skipped=update.entries_skipped,
                of=update.entries_read,
                first=update.first_fault,
            )
        if update.is_full:
            self.resume_policy.full_list_read(is_small)
        if not self.first_list_read.is_set():
            self.on_event(EndpointList(ListKind.CHANGES))  # also without changes: the engine learns of the answer
            self.first_list_read.set()

    def list_rejected(self, update: ListUpdate | None, error: Exception) -> None:
        """Record that what arrived is no valid list: the last good one stays in force.

        Args:
            update: The list that was being read; None without one.
            error: Why it was rejected.
        """
        self.lists_rejected += 1
        entries = update.entries_read if update else 0
        self.log(log_events.LIST_REJECTED, why=str(error)[:MAX_REASON_CHARACTERS], entries=entries)

    # -- the loop --------------------------------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            connection = None
            is_useful = False
            try:
                connection = await self._connect()
                await self._follow(connection)
                is_useful = connection.is_useful
                if is_useful and connection.is_valid and (connection.list_received or not connection.is_midway):
                    self.failures = 0
            except (OSError, TimeoutError, ValueError):  # ValueError: a host name that cannot be looked up
                pass
            self._connection_ended(connection, is_useful)
            self.failures += 1
            await asyncio.sleep(backoff_ms(self.failures, WATCH_BACKOFF_MS, self.rng) / 1000)

    async def _connect(self) -> WatchConnection:
        """Open a connection for the next watch.

        Raises:
            OSError, TimeoutError, ValueError: Discovery cannot be reached.
        """
        resume_version = self.resume_policy.resume_version(self.directory.version_guard.newest_version)
        make_connection = partial(
            WatchConnection, self, self.directory, resume_version=resume_version, max_list_bytes=self.max_list_bytes
        )
        async with asyncio.timeout(WATCH_CONNECT_TIMEOUT_S):
            _, connection = await self.loop.create_connection(make_connection, *self.address)
        return connection

    def _connection_ended(self, connection: WatchConnection | None, is_useful: bool) -> None:
        if connection is None:  # discovery could not be reached
            self.resume_policy.watch_ended(useful=False, sound=True, in_element=False)
            return
        self.resume_policy.watch_ended(useful=is_useful, sound=connection.is_valid, in_element=connection.is_midway)
        if connection.is_valid and connection.is_in_list:
            entries = connection.update.entries_read if connection.update else 0
            self.log(log_events.LIST_TRUNCATED, entries=entries, why="expected the rest of the list")

    async def _follow(self, connection: WatchConnection) -> None:
        """Return once the connection has ended, or has been silent for too long."""
        self.connection = connection
        self.watches_opened += 1
        self._send_request(connection)
        requested_at = self.loop.time()
        while not connection.closed.done():
            now = self.loop.time()
            deadline = self._deadline(connection, requested_at)
            # Discovery is down, or this connection leads nowhere. A step that is scheduled still has input to read.
            if deadline <= now and not connection.step_scheduled:
                connection.close()
                return
            # The deadline moves with each byte: an element may begin, and stall, at any moment.
            await asyncio.wait([connection.closed], timeout=min(max(0.0, deadline - now), ELEMENT_STALL_S))

    def _send_request(self, connection: WatchConnection) -> None:
        host, port = self.address
        since = "" if connection.resume_version is None else f"&since={connection.resume_version}"
        connection.write(http1.encode_request("GET", f"{WATCH_PATH}{since}", [("Host", f"{host}:{port}")]))

    @staticmethod
    def _deadline(connection: WatchConnection, requested_at: float) -> float:
        resumes = connection.resume_version is not None and connection.head_received
        return watch_deadline(
            connection.last_byte_at,
            useful=connection.is_useful,
            element_started_at=connection.incomplete_since,
            opened_at=requested_at if resumes else None,
        )
