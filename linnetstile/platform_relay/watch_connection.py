"""One connection with a watch of discovery: an HTTP response with JSON values in, changed endpoints out."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import Any, Protocol

from ..codec import http1
from ..codec.json_stream import JsonStreamReader, ObjectPart
from ..engine.events import Endpoint
from ..engine.watch_policy import ENTRIES_PER_EVENT
from ..net.connection import BufferedConnection
from .directory import Directory
from .list_entry import ENTRIES_KEY, FULL_KEY, VERSION_KEY
from .list_update import InvalidListError, ListUpdate

HTTP_OK = 200
UNBOUNDED_BODY_BYTES = 1 << 60  # the response of a watch has no end
KEYS_BEFORE_ENTRIES = (VERSION_KEY, FULL_KEY)  # of a list that is read in parts


class WatchListener(Protocol):
    """What a connection reports the content of its watch to."""

    def publish(self, entries: Iterable[Endpoint]) -> None:
        """Pass changed endpoints to the engine."""

    def list_read(self, update: ListUpdate, *, is_small: bool) -> None:
        """Record that a list has been read to its end; `is_small` if it came in one piece."""

    def list_rejected(self, update: ListUpdate | None, error: Exception) -> None:
        """Record that what arrived is no valid list; `update` is the list that was being read, if any."""


class _EndOfResponse:
    """Stands behind the last value of a response that has ended."""


# What a step takes: a list that came in one piece, a part of a longer one, a fault in the input, or its end.
WatchInput = dict[str, Any] | list[Any] | ObjectPart | Exception | _EndOfResponse


class WatchConnection(BufferedConnection):
    """Reads the response of one watch.

    Input waits in `pending_input` until a step takes it. The end of a long list takes several steps, each in a pass of
    the event loop of its own. Until it is over, nothing behind the list is looked at, and no more is read from the
    socket.

    Attributes:
        resume_version: Version from which the watch resumes; None if it asks for the full list.
        last_byte_at: Loop time (s) of the last byte.
        incomplete_since: Loop time (s) since which an element is incomplete; None between elements.
        head_received: Whether the head of a successful response has arrived.
        list_received: Whether a list was read to its end.
        is_useful: Whether a list was read to its end, or the watch resumes from a version and its body has begun.
        is_valid: Whether nothing was rejected.
        pending_input: Input that no step has taken yet.
        update: The list that is being read; None without one.
        step_scheduled: Whether a step is scheduled for the next pass of the event loop.
        closed: Done once the watch has ended; whatever arrives later is ignored.
    """

    def __init__(
        self, listener: WatchListener, directory: Directory, *, resume_version: int | None, max_list_bytes: int
    ) -> None:
        self.resume_version = resume_version
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self._directory = directory
        self._parser = http1.Parser(client=True, limits=http1.Limits(max_body_bytes=UNBOUNDED_BODY_BYTES))
        self._parser.expect_response("GET")
        self._objects = JsonStreamReader(max_list_bytes, ENTRIES_KEY, KEYS_BEFORE_ENTRIES)
        self.last_byte_at = self._loop.time()
        self.incomplete_since: float | None = None
        self.head_received = False
        self.list_received = False
        self.is_useful = False
        self.is_valid = True
        self.pending_input: deque[WatchInput] = deque()
        self.update: ListUpdate | None = None
        self._list_complete = False  # all entries of `update` have arrived
        self._is_small = True  # `update` came in one piece
        self.step_scheduled = False
        self._reading_paused = False
        self.closed: asyncio.Future[None] = self._loop.create_future()

    @property
    def is_midway(self) -> bool:
        """Whether an element of the response has begun and is not complete."""
        return self._parser.has_partial_input or self.is_in_list

    @property
    def is_in_list(self) -> bool:
        """Whether a list has begun and is not complete."""
        return self._objects.is_mid_value or self.update is not None

    def received(self, data: memoryview) -> None:
        """Take bytes of the response."""
        if self.closed.done():
            return
        self.last_byte_at = self._loop.time()
        try:
            self._parse(self._parser.feed(data))
            if self._parser.error:
                raise self._parser.error
        except (http1.Http1Error, ValueError) as error:
            self.pending_input.append(error)
        if not self.step_scheduled:
            self._run_steps()
        if not self.is_midway:
            self.incomplete_since = None
        elif self.incomplete_since is None:
            self.incomplete_since = self.last_byte_at

    def _parse(self, events: list[http1.Event]) -> None:
        """Add the values of the body to the pending input.

        Raises:
            ValueError: The response is no watch, or its body is not valid.
        """
        for event in events:
            if isinstance(event, http1.Response):
                if event.status != HTTP_OK:
                    raise ValueError(f"the watch was answered {event.status}, expected 200")
                self.head_received = True
            elif isinstance(event, http1.Data):
                self.is_useful = self.is_useful or self.resume_version is not None
                self.pending_input.extend(self._objects.feed(event.data))
                if self._objects.error:
                    raise self._objects.error
            elif isinstance(event, http1.EndOfMessage):
                self.pending_input.append(_EndOfResponse())

    # -- steps -----------------------------------------------------------------------------------------------

    def _run_steps(self) -> None:
        """Take pending input, until there is none or the end of a long list needs another pass of the event loop."""
        self.step_scheduled = False
        try:
            while not self.closed.done():
                if self.update is not None and self._list_complete:
                    self._finish_list(self.update)
                    if self.update is not None:
                        self._schedule_step()
                        return
                elif self.pending_input:
                    self._take_input(self.pending_input.popleft())
                else:
                    break
        except (http1.Http1Error, ValueError) as error:
            self._listener.list_rejected(self.update, error)
            self.is_valid = False
            self.close()

    def _schedule_step(self) -> None:
        if not self._reading_paused and not self.is_closing:
            self.transport.pause_reading()
            self._reading_paused = True
        self.step_scheduled = True
        self._loop.call_soon(self._run_scheduled_step)

    def _run_scheduled_step(self) -> None:
        self.last_byte_at = self._loop.time()  # the silence is our own: reading was paused
        self._run_steps()
        if self._reading_paused and not self.step_scheduled and not self.is_closing:
            self.transport.resume_reading()
            self._reading_paused = False
        if not self.step_scheduled:
            self.incomplete_since = self.last_byte_at if self.is_midway else None

    def _take_input(self, item: WatchInput) -> None:
        """Act on one item of the pending input.

        Raises:
            ValueError: It is a fault, or no valid list.
        """
        if isinstance(item, _EndOfResponse):
            self.close()
        elif isinstance(item, Exception):
            raise item
        elif isinstance(item, ObjectPart):
            self._apply_part(item)
        else:
            self._apply_object(item)

    def _apply_part(self, part: ObjectPart) -> None:
        """Apply a part of a list that is too long to be read in one piece."""
        if part.is_first:
            self.update = self._directory.begin_update(part.members)
            self._is_small = False
        assert self.update is not None
        self._listener.publish(self.update.add_entries(part.elements))
        self._list_complete = part.is_last
        self.incomplete_since = None  # each part is progress

    def _apply_object(self, value: dict[str, Any] | list[Any]) -> None:
        """Apply a list that came in one piece."""
        servers = value.get(ENTRIES_KEY) if isinstance(value, dict) else None
        if not isinstance(servers, list):
            raise InvalidListError("servers: expected an object with a list of them", field=ENTRIES_KEY)
        self.update = self._directory.begin_update(value)
        self._is_small = True
        changed = self.update.add_entries(servers)
        if len(changed) <= ENTRIES_PER_EVENT:
            changed += self.update.remove_missing()  # an endpoint and its replacement are published together
        self._listener.publish(changed)
        self._list_complete = True
        self.incomplete_since = None

    def _finish_list(self, update: ListUpdate) -> None:
        """Take one step of the end of a list."""
        if not update.is_complete:
            self._listener.publish(update.remove_missing())
        if update.is_complete:
            self.update = None
            self.list_received = True
            self.is_useful = True
            self._listener.list_read(update, is_small=self._is_small)

    # -- end -------------------------------------------------------------------------------------------------

    def close(self) -> None:
        """End the watch; whatever still arrives is ignored."""
        if not self.closed.done():
            self.closed.set_result(None)
        if not self.is_lost:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that discovery or the network has ended the connection. Called by asyncio."""
        super().connection_lost(exc)
        self.close()
