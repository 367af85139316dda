"""Keeps a watch of discovery open and publishes the endpoint list and its changes to the engine.

`watch_connection` reads one watch. This module opens watches one after the other and closes a watch that has been
silent for too long. A request without any byte of an answer stays open while the next watch is tried, as discovery may
be slow. `engine/watch_policy.py` decides whether a watch requests the full list, how long it may be silent, and how
many requests may be open.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from ..codec import http1
from ..engine.events import Endpoint, EndpointList, EndpointStatus, ListKind
from ..engine.resource_limits import WATCH_BACKOFF_MS, WATCH_CONNECT_TIMEOUT_S, backoff_ms
from ..engine.watch_policy import (
    ELEMENT_STALL_S,
    ENTRIES_PER_EVENT,
    MAX_UNANSWERED_WATCHES,
    ResumePolicy,
    watch_deadline,
)
from ..net.fault_boundary import FaultBoundary
from . import log_events
from .config import Address
from .directory import Directory
from .list_update import ListUpdate
from .log_events import EventLog
from .watch_connection import WatchConnection

WATCH_PATH = "/api/targets?follow=1"
MAX_LIST_BYTES = 8 * 1024 * 1024  # limit of a JSON value that cannot be read in parts
MAX_REASON_CHARACTERS = 200  # the logged reason for a rejected list is cut to this length


def change_events(entries: Iterable[Endpoint]) -> Iterator[EndpointList]:
    """Yield changed endpoints as events of bounded size.

    Draining and removed endpoints come first, so that the engine removes an endpoint before it adds the replacement.
    """
    changed = sorted(entries, key=lambda entry: entry.status is EndpointStatus.READY)
    for start in range(0, len(changed), ENTRIES_PER_EVENT):
        yield EndpointList(ListKind.CHANGES, tuple(changed[start : start + ENTRIES_PER_EVENT]))


class Watch:
    """Keeps one watch open at the current address of discovery.

    Logs each list that is rejected, truncated, or has entries that cannot be read.

    Attributes:
        loop: The event loop.
        directory: The endpoints; updated by the lists.
        address: Address of discovery.
        on_event: Called with each event for the engine.
        rng: Random source for the jitter of backoffs.
        log: Writes log events.
        max_list_bytes: Maximum size of a JSON value that cannot be read in parts.
        connection: The connection of the current watch; None if there is none.
        unanswered: Connections whose request has no byte of an answer yet, the oldest first.
        task: The task that opens watches; None before `start`.
        resume_policy: Decides whether the next watch requests the full list or resumes from a version.
        first_list_read: Set once a list has been read to its end.
        failures: Number of consecutive watches that delivered nothing useful.
        watches_opened: Number of watches since the start.
        lists_rejected: Number of rejected lists since the start.
    """

    def __init__(
        self,
        directory: Directory,
        address: Address,
        on_event: Callable[[EndpointList], None],
        rng: random.Random,
        log: EventLog = log_events.discard_event,
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
        self.unanswered: list[WatchConnection] = []
        self.task: asyncio.Task[None] | None = None
        self.resume_policy = ResumePolicy()
        self.first_list_read = asyncio.Event()
        self.failures = 0
        self.watches_opened = 0
        self.lists_rejected = 0
        self._late_answer: asyncio.Future[WatchConnection] = self.loop.create_future()

    @property
    def is_reading_list(self) -> bool:
        """Whether a list is being read and is not complete."""
        return self.connection is not None and self.connection.update is not None

    def start(self) -> None:
        """Open a watch, and open the next one whenever a watch ends."""
        self.task = self.loop.create_task(self._run())

    def move(self, address: Address) -> None:
        """Close the current watch and watch discovery at a new address."""
        self.close()
        self.address = address
        self.failures = 0
        self.resume_policy.discovery_address_changed()
        self.start()

    def close(self) -> None:
        """Close the current watch and stop opening watches; bytes that arrive later are ignored."""
        if self.task:
            self.task.cancel()
        if self.connection:
            self.connection.close()
        self.connection = None
        self._close_unanswered()
        if self._late_answer.done():
            self._late_answer.result().close()
            self._late_answer = self.loop.create_future()

    # -- called by the connection (`WatchListener`) ----------------------------------------------------------

    def answered(self, connection: WatchConnection) -> None:
        """Keep only this watch: two that read lists at once would mix them."""
        if self._late_answer.done():  # another one was answered while this one was being opened
            connection.close()
            return
        self.unanswered = [other for other in self.unanswered if other is not connection]
        self._close_unanswered()
        if connection is not self.connection:
            if self.connection:
                self.connection.close()
            self._late_answer.set_result(connection)

    def publish(self, entries: Iterable[Endpoint]) -> None:
        """Pass changed endpoints to the engine."""
        for event in change_events(entries):
            self.on_event(event)

    def list_read(self, update: ListUpdate, *, is_single_part: bool) -> None:
        """Record that a list has been read to its end and applied."""
        if update.entries_skipped:
            self.log(
                log_events.ENTRIES_SKIPPED,
                skipped=update.entries_skipped,
                of=update.entries_read,
                first=update.first_fault,
            )
        if update.is_full:
            self.resume_policy.full_list_read(is_single_part)
        if not self.first_list_read.is_set():
            # Without changes, too: the event tells the engine that discovery has answered.
            self.on_event(EndpointList(ListKind.CHANGES))
            self.first_list_read.set()

    def list_rejected(self, update: ListUpdate | None, error: Exception) -> None:
        """Record that the received data is not a valid list. The endpoints of earlier lists stay in use.

        Args:
            update: The list that was being read; None if there was none.
            error: Why the data was rejected.
        """
        self.lists_rejected += 1
        entries = update.entries_read if update else 0
        self.log(log_events.LIST_REJECTED, why=str(error)[:MAX_REASON_CHARACTERS], entries=entries)

    # -- watch loop ------------------------------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            with FaultBoundary("a watch of discovery") as boundary:
                await self._run_next_watch()
            if boundary.failed:
                self._discard_watch()
            backoff_s = backoff_ms(max(1, self.failures), WATCH_BACKOFF_MS, self.rng) / 1000
            await asyncio.wait([self._late_answer], timeout=backoff_s)

    async def _run_next_watch(self) -> None:
        """Open a watch, or take an earlier one that was answered since, and wait for its end."""
        connection = None
        is_useful = False
        try:
            connection = self._take_late_answer() or await self._open()
            if not self._late_answer.done():
                await self._run_watch(connection)
            if self._late_answer.done():  # an earlier watch was answered before this one
                connection.close()
                return
            is_useful = connection.is_useful
            if is_useful and connection.is_valid and (connection.list_received or not connection.is_mid_element):
                self.failures = 0
        except (OSError, TimeoutError, ValueError):  # ValueError: the host name cannot be resolved
            pass
        self._connection_ended(connection, is_useful)
        self.failures += 1

    def _discard_watch(self) -> None:
        """Close a watch that raised an unexpected exception; the next one requests the full list."""
        if self.connection:
            self.connection.close()
        self.connection = None
        self.resume_policy.watch_ended(has_delivered=False, is_valid=False, in_element=False)
        self.failures += 1

    def _take_late_answer(self) -> WatchConnection | None:
        """Return the earlier watch that was answered while or after the next one was tried; None if there is none."""
        if not self._late_answer.done():
            return None
        connection = self._late_answer.result()
        self._late_answer = self.loop.create_future()
        return connection

    async def _open(self) -> WatchConnection:
        """Connect to discovery and send the request of a watch.

        Raises:
            OSError, TimeoutError, ValueError: Discovery cannot be reached.
        """
        self._close_unanswered(keep_newest=MAX_UNANSWERED_WATCHES - 1)
        self.connection = connection = await self._connect()
        self.unanswered.append(connection)
        self.watches_opened += 1
        self._send_request(connection)
        return connection

    def _close_unanswered(self, keep_newest: int = 0) -> None:
        """Close the unanswered watches but the newest ones."""
        open_connections = [connection for connection in self.unanswered if not connection.closed.done()]
        self.unanswered = open_connections[len(open_connections) - keep_newest :] if keep_newest else []
        for connection in open_connections:
            if connection not in self.unanswered:
                connection.close()

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
            self.resume_policy.watch_ended(has_delivered=False, is_valid=True, in_element=False)
            return
        self.resume_policy.watch_ended(
            has_delivered=is_useful, is_valid=connection.is_valid, in_element=connection.is_mid_element
        )
        if connection.is_valid and connection.is_mid_list:
            entries = connection.update.entries_read if connection.update else 0
            self.log(log_events.LIST_TRUNCATED, entries=entries, why="the watch ended before the end of the list")

    async def _run_watch(self, connection: WatchConnection) -> None:
        """Wait until a watch has ended or has been silent for too long; a request without an answer stays open."""
        self.connection = connection
        requested_at = self.loop.time()
        while not connection.closed.done():
            now = self.loop.time()
            deadline = self._deadline(connection, requested_at)
            # Past the deadline, discovery is down or unreachable over this connection. While a step is scheduled, the
            # connection still has received input to process, so it stays open.
            if deadline <= now and not connection.step_scheduled:
                if connection.is_answered:
                    connection.close()
                self.connection = None
                return
            # Received bytes move the deadline, and an element may begin and stall during the wait, so the deadline is
            # checked at least every ELEMENT_STALL_S.
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
            has_delivered=connection.is_useful,
            element_started_at=connection.incomplete_since,
            opened_at=requested_at if resumes else None,
        )
