"""The input of a server connection: received bytes, parsed into events a few at a time."""

from __future__ import annotations

from collections import deque

from ..codec import http1

EVENTS_PER_PARSE = 8  # limit of one parse; further input waits as bytes instead of parsed objects
BYTES_PER_EVENT = 512  # number of unparsed bytes that count as one waiting event


class RequestInput:
    """The requests that a client has sent and that have not been handled yet.

    Attributes:
        parser: Holds the bytes that have not been parsed; its `error` applies after the last parsed event.
    """

    __slots__ = ("_event_bytes", "_events", "parser")

    def __init__(self, limits: http1.Limits) -> None:
        self.parser = http1.Parser(limits=limits)
        self._events: deque[http1.Event] = deque()  # parsed, and not handled yet
        self._event_bytes = 0  # bytes of bodies in these events

    def feed(self, data: bytes | memoryview) -> None:
        """Add bytes and parse a limited number of events; a parse error is recorded as the parser's `error`."""
        try:
            events = self.parser.feed(data, EVENTS_PER_PARSE)
        except http1.Http1Error:
            return  # reported by the parser's `error`, after the events before it
        self._events.extend(events)
        self._event_bytes += sum(_data_bytes(event) for event in events)

    def take_event(self) -> http1.Event | None:
        """Remove and return the next event; None if it was not received yet."""
        if not self._events and self.parser.buffered_bytes and not self.parser.error:
            self.feed(b"")
        if not self._events:
            return None
        event = self._events.popleft()
        self._event_bytes -= _data_bytes(event)
        return event

    def put_back(self, event: http1.Event) -> None:
        """Return an event that can't be handled yet: `take_event` returns it again."""
        self._events.appendleft(event)
        self._event_bytes += _data_bytes(event)

    def clear(self) -> None:
        """Drop the events that have been parsed, and the bytes that have not."""
        self._events.clear()
        self._event_bytes = 0
        self.parser.drop_input()

    @property
    def held_bytes(self) -> int:
        """Number of received bytes that are kept in memory here."""
        return self._event_bytes + self.parser.buffered_bytes

    @property
    def event_count(self) -> int:
        """Number of parsed events."""
        return len(self._events)

    @property
    def is_exhausted(self) -> bool:
        """Whether there is nothing left to handle: no event, no unparsed bytes and no error."""
        return not (self._events or self.parser.buffered_bytes or self.parser.error)

    @property
    def waiting_events(self) -> int:
        """Number of waiting events, including the unparsed bytes at one event for `BYTES_PER_EVENT`."""
        return len(self._events) + self.parser.buffered_bytes // BYTES_PER_EVENT


def _data_bytes(event: http1.Event) -> int:
    return len(event.data) if isinstance(event, http1.Data) else 0
