"""Received requests wait as bytes, and are parsed a few events at a time."""

from __future__ import annotations

from linnetstile.codec import http1
from linnetstile.net.request_input import BYTES_PER_EVENT, EVENTS_PER_PARSE, RequestInput

REQUEST = http1.encode_request("GET", "/", [("Host", "x")])


def take_events(request_input: RequestInput) -> list[http1.Event]:
    events = []
    while event := request_input.take_event():
        events.append(event)
    return events


def test_pipelined_requests_are_parsed_a_few_at_a_time() -> None:
    request_input = RequestInput(http1.Limits())
    request_input.feed(REQUEST * 100)
    assert EVENTS_PER_PARSE <= request_input.event_count <= EVENTS_PER_PARSE + 1
    unparsed_bytes = request_input.parser.buffered_bytes
    assert unparsed_bytes > 90 * len(REQUEST)
    assert request_input.waiting_events == request_input.event_count + unparsed_bytes // BYTES_PER_EVENT
    assert sum(isinstance(event, http1.Request) for event in take_events(request_input)) == 100
    assert request_input.is_exhausted


def test_error_follows_the_events_before_it() -> None:
    request_input = RequestInput(http1.Limits())
    request_input.feed(REQUEST + b"no request\r\n\r\n")
    assert request_input.parser.error is not None
    assert [type(event) for event in take_events(request_input)] == [http1.Request, http1.EndOfMessage]
    assert request_input.event_count == 0
    assert not request_input.is_exhausted
