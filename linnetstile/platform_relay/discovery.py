"""Discovery: the watch that brings the list of endpoints and its changes. Publishes to the engine; decides nothing."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from ..codec import http1
from ..codec.json_stream import JsonStreamReader, ObjectPart
from ..engine.events import Endpoint, EndpointList, EndpointStatus, ListKind
from ..engine.resource_limits import WATCH_BACKOFF_MS, WATCH_CONNECT_TIMEOUT_S, backoff_ms
from ..engine.watch_policy import ELEMENT_STALL_S, ENTRIES_PER_EVENT, ResumePolicy, watch_deadline
from ..net.connection import BufferedConnection
from . import log_events
from .config import Address
from .directory import Directory, InvalidListError, ListUpdate
from .log_events import EventLog

MAX_LIST_BYTES = 8 * 1024 * 1024  # bytes: a longer object is no list, where it can't be read in parts
UNBOUNDED_BODY_BYTES = 1 << 60  # a watch's answer has no end
MAX_REASON_CHARACTERS = 200  # of a rejected list in the log


def change_events(entries: Iterable[Endpoint]) -> Iterator[EndpointList]:
    """Yield what has changed, in events of bounded size: first what ends, so that none is replaced before it has."""
    changed = sorted(entries, key=lambda entry: entry.status is EndpointStatus.READY)
    for at in range(0, len(changed), ENTRIES_PER_EVENT):
        yield EndpointList(ListKind.CHANGES, tuple(changed[at : at + ENTRIES_PER_EVENT]))


class _WatchConnection(BufferedConnection):
    """One connection with a watch on it.

    What has come waits in `pending_values` until its step: a long list ends in steps, and nothing behind it is looked
    at, nor read from the kernel, before it is over.

    Attributes:
        resume_version: The version that the watch goes on from; None = it asks for all.
        last_byte_at: Loop time, s.
        incomplete_since: Loop time since when a part of something waits for its rest.
        head_received: The head of an answer that goes well came.
        list_received: A list came.
        is_useful: That, or it goes on from a version, and is alive.
        is_valid: Nothing came that could not be read.
        pending_values: Objects, parts of them, faults, and None for the end; a JSON null ends a watch too.
        update: The list that is coming in.
        list_complete: All of it has come: what it did not name goes.
        is_small: It came in one piece.
        step_scheduled: The next step follows.
        reading_paused: Nothing is read meanwhile.
        closed: Done once nothing more is heard of it.
    """

    def __init__(self, watch: Watch, resume_version: int | None) -> None:
        self.watch = watch
        self.resume_version = resume_version
        self.parser = http1.Parser(client=True, limits=http1.Limits(max_body_bytes=UNBOUNDED_BODY_BYTES))
        self.parser.expect_response("GET")
        self.objects = JsonStreamReader(watch.max_list_bytes, "servers", ("version", "full"))
        self.last_byte_at = watch.loop.time()
        self.incomplete_since: float | None = None
        self.head_received = False
        self.list_received = False
        self.is_useful = False
        self.is_valid = True
        self.pending_values: deque[object] = deque()
        self.update: ListUpdate | None = None
        self.list_complete = False
        self.is_small = True
        self.step_scheduled = self.reading_paused = False
        self.closed: asyncio.Future[None] = watch.loop.create_future()

    @property
    def is_midway(self) -> bool:
        """Whether something has begun and is not complete."""
        return self.parser.has_partial_input or self.objects.is_mid_value or self.update is not None

    def received(self, data: memoryview) -> None:
        """Take bytes of the answer."""
        if self.closed.done():
            return
        self.last_byte_at = self.watch.loop.time()
        try:
            self._parse(self.parser.feed(data))
            if self.parser.error:
                raise self.parser.error
        except (http1.Http1Error, ValueError) as error:
            self.pending_values.append(error)
        if not self.step_scheduled:
            self._run_steps()
        if not self.is_midway:
            self.incomplete_since = None
        elif self.incomplete_since is None:
            self.incomplete_since = self.last_byte_at

    def _parse(self, events: list[http1.Event]) -> None:
        """Queue the values of the body. Raises ValueError."""
        for event in events:
            if isinstance(event, http1.Response):
                if event.status != 200:
                    raise ValueError(f"the watch was answered {event.status}, expected 200")
                self.head_received = True
            elif isinstance(event, http1.Data):
                self.is_useful = self.is_useful or self.resume_version is not None
                self.pending_values.extend(self.objects.feed(event.data))
                if self.objects.error:
                    raise self.objects.error
            elif isinstance(event, http1.EndOfMessage):
                self.pending_values.append(None)

    # -- steps -----------------------------------------------------------------------------------------------

    def _run_steps(self) -> None:
        """Run until all that has come is done with, or the end of a list goes on in the next pass of the loop."""
        self.step_scheduled = False
        try:
            while not self.closed.done():
                if self.update is not None and self.list_complete:
                    self._finish_list(self.update)
                    if self.update is not None:
                        self._schedule_step()
                        return
                elif self.pending_values:
                    self._apply_value(self.pending_values.popleft())
                else:
                    break
        except (http1.Http1Error, ValueError) as error:
            self.watch.list_rejected(self, error)
            self.is_valid = False
            self.close()

    def _schedule_step(self) -> None:
        if not self.reading_paused and not self.is_closing:
            self.transport.pause_reading()
            self.reading_paused = True
        self.step_scheduled = True
        self.watch.loop.call_soon(self._run_scheduled_step)

    def _run_scheduled_step(self) -> None:
        self.last_byte_at = self.watch.loop.time()  # it was not listened to
        self._run_steps()
        if self.reading_paused and not self.step_scheduled and not self.is_closing:
            self.transport.resume_reading()
            self.reading_paused = False
        if not self.step_scheduled:
            self.incomplete_since = self.last_byte_at if self.is_midway else None

    def _apply_value(self, value: object) -> None:
        """Take one value of those that came. Raises ValueError."""
        if value is None:
            self.close()
        elif isinstance(value, Exception):
            raise value
        elif isinstance(value, ObjectPart):
            self._apply_part(value)
        else:
            self._apply_object(value)

    def _apply_part(self, part: ObjectPart) -> None:
        if part.is_first:
            self.update = self.watch.directory.begin_update(part.members)
            self.is_small = False
        assert self.update is not None
        self.watch.publish(self.update.add_entries(part.elements))
        self.list_complete = part.is_last
        self.incomplete_since = None  # it goes forward

    def _apply_object(self, value: object) -> None:
        servers = value.get("servers") if isinstance(value, dict) else None
        if not isinstance(servers, list):
            raise InvalidListError("servers: expected an object with a list of them", field="servers")
        self.update, self.is_small = self.watch.directory.begin_update(value), True
        changed = self.update.add_entries(servers)
        if len(changed) <= ENTRIES_PER_EVENT:
            changed += self.update.remove_missing()  # what replaces one and what it replaces are published together
        self.watch.publish(changed)
        self.list_complete = True
        self.incomplete_since = None

    def _finish_list(self, update: ListUpdate) -> None:
        if not update.is_complete:
            self.watch.publish(update.remove_missing())
        if update.is_complete:
            self.update = None
            self.is_useful = self.list_received = True
            self.watch.list_read(update, self.is_small)

    # -- end -------------------------------------------------------------------------------------------------

    def close(self) -> None:
        """End it: whatever comes on it from now on is not heard."""
        if not self.closed.done():
            self.closed.set_result(None)
        if not self.is_lost:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Take note that discovery, or the network, has ended it."""
        super().connection_lost(exc)
        self.close()


class Watch:
    """Keeps one watch open at the address that is in force.

    The log has a line for each list that was rejected, was left in the middle, or had entries that could not be read.

    Attributes:
        directory: Where lists go.
        address: Discovery's.
        on_event: Gets each event for the engine.
        connection: The one that is open.
        resume_policy: What the next watch asks for.
        failures: Watches in a row that brought nothing of use.
        watches_opened: Since the start.
        lists_rejected: Since the start.
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
        self.connection: _WatchConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.resume_policy = ResumePolicy()
        self.first_list_read = asyncio.Event()  # set once a list was read to its end
        self.failures = 0
        self.watches_opened = self.lists_rejected = 0

    @property
    def is_reading_list(self) -> bool:
        """Whether a list is coming in."""
        return self.connection is not None and self.connection.update is not None

    def start(self) -> None:
        """Open the watch, and open it anew whenever it ends."""
        self.task = self.loop.create_task(self._run())

    def move(self, address: Address) -> None:
        """Watch discovery at another address from now on."""
        self.close()
        self.address, self.failures = address, 0
        self.resume_policy.discovery_moved()
        self.start()

    def close(self) -> None:
        """End the watch; what comes on it is not heard any more."""
        if self.task:
            self.task.cancel()
        if self.connection:
            self.connection.close()
        self.connection = None

    # -- what a connection tells -----------------------------------------------------------------------------

    def publish(self, entries: Iterable[Endpoint]) -> None:
        """Tell the engine of endpoints that changed."""
        for event in change_events(entries):
            self.on_event(event)

    def list_read(self, update: ListUpdate, is_small: bool) -> None:
        """Take note that a list has been read to its end, and is in force."""
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
            self.on_event(EndpointList(ListKind.CHANGES))  # discovery has answered, whatever it said
            self.first_list_read.set()

    def list_rejected(self, connection: _WatchConnection, why: Exception) -> None:
        """Take note that what came is no list, or none that counts: the latest good one stays in force."""
        self.lists_rejected += 1
        update = connection.update
        entries = update.entries_read if update else 0
        self.log(log_events.LIST_REJECTED, why=str(why)[:MAX_REASON_CHARACTERS], entries=entries)

    # -- the loop --------------------------------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            is_useful, connection = False, None
            since = self.resume_policy.resume_version(self.directory.version_guard.newest_version)
            try:
                async with asyncio.timeout(WATCH_CONNECT_TIMEOUT_S):
                    _, connection = await self.loop.create_connection(
                        partial(_WatchConnection, self, since), *self.address
                    )
                await self._follow(connection)
                is_useful = connection.is_useful
                if is_useful and connection.is_valid and (connection.list_received or not connection.is_midway):
                    self.failures = 0
            except (OSError, TimeoutError, ValueError):  # the last: a name that can't be looked up
                pass
            self._connection_ended(connection, is_useful)
            self.failures += 1
            await asyncio.sleep(backoff_ms(self.failures, WATCH_BACKOFF_MS, self.rng) / 1000)

    def _connection_ended(self, connection: _WatchConnection | None, is_useful: bool) -> None:
        if connection is None:  # discovery could not be reached
            self.resume_policy.watch_ended(False, True, False)
            return
        self.resume_policy.watch_ended(is_useful, connection.is_valid, connection.is_midway)
        if connection.is_valid and (connection.update is not None or connection.objects.is_mid_value):
            entries = connection.update.entries_read if connection.update else 0
            self.log(log_events.LIST_TRUNCATED, entries=entries, why="expected the rest of the list")

    async def _follow(self, connection: _WatchConnection) -> None:
        """Return once the connection has ended, or has been silent for too long."""
        self.connection = connection
        self.watches_opened += 1
        self._send_request(connection)
        asked_at = self.loop.time()
        while not connection.closed.done():
            now = self.loop.time()
            until = self._deadline(connection, asked_at)
            # Discovery is down, or this connection leads nowhere: it may stop in the middle of a line.
            if until <= now and not connection.step_scheduled:
                connection.close()
                return
            # Looked at again that often: a line may begin, and stop, at any moment.
            await asyncio.wait([connection.closed], timeout=min(max(0.0, until - now), ELEMENT_STALL_S))

    def _send_request(self, connection: _WatchConnection) -> None:
        host, port = self.address
        since = "" if connection.resume_version is None else f"&since={connection.resume_version}"
        connection.write(http1.encode_request("GET", f"/api/targets?follow=1{since}", [("Host", f"{host}:{port}")]))

    @staticmethod
    def _deadline(connection: _WatchConnection, asked_at: float) -> float:
        resumes = connection.resume_version is not None and connection.head_received
        return watch_deadline(
            connection.last_byte_at, connection.is_useful, connection.incomplete_since, asked_at if resumes else None
        )
