"""One watch connection to discovery: reads JSON lists from an HTTP response and publishes the changed endpoints."""

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
from ..net.fault_boundary import FaultBoundary
from .directory import Directory
from .list_entry import ENTRIES_KEY, FULL_KEY, VERSION_KEY
from .list_update import InvalidListError, ListUpdate

HTTP_OK = 200
UNBOUNDED_BODY_BYTES = 1 << 60  # the response of a watch is unlimited
KEYS_BEFORE_ENTRIES = (VERSION_KEY, FULL_KEY)  # a list is read in parts only if these keys come first


class WatchListener(Protocol):
    """Receives the endpoints and lists that a watch connection has read."""

    def answered(self, connection: WatchConnection) -> None:
        """Record that the first bytes of a response have arrived; called before they are processed."""

    def publish(self, entries: Iterable[Endpoint]) -> None:
        """Pass changed endpoints to the engine."""

    def list_read(self, update: ListUpdate, *, is_single_part: bool) -> None:
        """Record that a list has been read to its end; `is_single_part` tells whether it came in one piece."""

    def list_rejected(self, update: ListUpdate | None, error: Exception) -> None:
        """Record that the received data is not a valid list; `update` is the list that was being read, if any."""


class _EndOfResponse:
    """Marks the end of the response in the pending input."""


# One item of the pending input: a list in one piece, a part of a longer list, an error in the input, or the end of the
# response.
WatchInput = dict[str, Any] | list[Any] | ObjectPart | Exception | _EndOfResponse


class WatchConnection(BufferedConnection):
    """Reads the response of one watch.

    Input is queued in `pending_input` until a step processes it. Removing the missing endpoints at the end of a long
    list takes several steps, one per pass of the event loop. Until the list is finished, the input after it is not
    processed, and reading from the socket is paused.

    Attributes:
        resume_version: Version from which the watch resumes; None if it requests the full list.
        last_byte_at: Loop time (s) at which the last bytes were received, or at which the last scheduled step ran.
        is_answered: Whether any byte of the response has arrived.
        incomplete_since: Loop time (s) since which an element has been incomplete; None between elements.
        head_received: Whether the head of a successful response has arrived.
        list_received: Whether a list has been read to its end.
        is_useful: Whether a list has been read to its end, or the watch resumes from a version and its body has begun.
        is_valid: Whether no input has been rejected.
        pending_input: Input that no step has processed yet.
        update: The list that is being read; None if there is none.
        step_scheduled: Whether a step is scheduled for the next pass of the event loop.
        closed: Done once the watch has ended; input that arrives later is ignored.
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
        self.is_answered = False
        self.incomplete_since: float | None = None
        self.head_received = False
        self.list_received = False
        self.is_useful = False
        self.is_valid = True
        self.pending_input: deque[WatchInput] = deque()
        self.update: ListUpdate | None = None
        self._list_complete = False  # all entries of `update` have arrived
        self._is_single_part = True  # `update` came in one piece
        self.step_scheduled = False
        self._reading_paused = False
        self.closed: asyncio.Future[None] = self._loop.create_future()

    @property
    def is_mid_element(self) -> bool:
        """Whether an HTTP element or a list of the response has begun and is not complete."""
        return self._parser.has_partial_input or self.is_mid_list

    @property
    def is_mid_list(self) -> bool:
        """Whether a list has begun and is not complete."""
        return self._objects.is_mid_value or self.update is not None

    def received(self, data: memoryview) -> None:
        """Process received bytes of the response."""
        if self.closed.done():
            return
        with FaultBoundary("a list of discovery") as boundary:
            self._read(data)
        if boundary.failed:
            self._discard()

    def _read(self, data: memoryview) -> None:
        self.last_byte_at = self._loop.time()
        if not self.is_answered:
            self.is_answered = True
            self._listener.answered(self)
            if self.closed.done():
                return
        try:
            self._parse(self._parser.feed(data))
            if self._parser.error:
                raise self._parser.error
        except (http1.Http1Error, ValueError) as error:
            self.pending_input.append(error)
        if not self.step_scheduled:
            self._run_steps()
        if not self.is_mid_element:
            self.incomplete_since = None
        elif self.incomplete_since is None:
            self.incomplete_since = self.last_byte_at

    def _parse(self, events: list[http1.Event]) -> None:
        """Add the values of the body to the pending input.

        Raises:
            ValueError: The response has an error status, or its body is not valid.
        """
        for event in events:
            if isinstance(event, http1.Response):
                if event.status != HTTP_OK:
                    raise ValueError(f"watch response: expected status 200, found {event.status}")
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
        """Process pending input until it is empty or the end of a long list needs another pass of the event loop."""
        self.step_scheduled = False
        try:
            while not self.closed.done():
                if self.update is not None and self._list_complete:
                    self._finish_list(self.update)
                    if self.update is not None:
                        self._schedule_step()
                        return
                elif self.pending_input:
                    self._process_item(self.pending_input.popleft())
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
        with FaultBoundary("a list of discovery") as boundary:
            self._continue()
        if boundary.failed:
            self._discard()

    def _continue(self) -> None:
        """Run the next steps, and read further input once no more are needed."""
        self.last_byte_at = self._loop.time()  # reading was paused, so the silence is not discovery's
        self._run_steps()
        if self._reading_paused and not self.step_scheduled and not self.is_closing:
            self.transport.resume_reading()
            self._reading_paused = False
        if not self.step_scheduled:
            self.incomplete_since = self.last_byte_at if self.is_mid_element else None

    def _process_item(self, item: WatchInput) -> None:
        """Process one item of the pending input.

        Raises:
            ValueError: The item is an error or is not a valid list.
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
        """Apply one part of a list that is too long to be read in one piece."""
        if part.is_first:
            self.update = self._directory.begin_update(part.members)
            self._is_single_part = False
        assert self.update is not None
        self._listener.publish(self.update.add_entries(part.elements))
        self._list_complete = part.is_last
        self.incomplete_since = None  # each part of a list restarts the stall time

    def _apply_object(self, value: dict[str, Any] | list[Any]) -> None:
        """Apply a list that came in one piece."""
        servers = value.get(ENTRIES_KEY) if isinstance(value, dict) else None
        if not isinstance(servers, list):
            raise InvalidListError("expected an object with a list of servers", field=ENTRIES_KEY)
        self.update = self._directory.begin_update(value)
        self._is_single_part = True
        changed = self.update.add_entries(servers)
        if len(changed) <= ENTRIES_PER_EVENT:
            changed += self.update.remove_missing()  # publishes an endpoint and its replacement together
        self._listener.publish(changed)
        self._list_complete = True
        self.incomplete_since = None

    def _finish_list(self, update: ListUpdate) -> None:
        """Remove the next missing endpoints; after the last step, report that the list has been read."""
        if not update.is_complete:
            self._listener.publish(update.remove_missing())
        if update.is_complete:
            self.update = None
            self.list_received = True
            self.is_useful = True
            self._listener.list_read(update, is_single_part=self._is_single_part)

    # -- end -------------------------------------------------------------------------------------------------

    def _discard(self) -> None:
        """End the watch after an unexpected exception: a list that was half read is not continued."""
        self.is_valid = False
        self.close()

    def close(self) -> None:
        """End the watch; bytes that arrive later are ignored."""
        if not self.closed.done():
            self.closed.set_result(None)
        if not self.is_lost:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch after its connection was lost. Called by asyncio."""
        super().connection_lost(exc)
        self.close()
