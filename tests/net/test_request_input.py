"""Received requests wait as bytes: they are parsed a few events at a time."""

from __future__ import annotations

from linnetstile.codec import http1
from linnetstile.net.request_input import BYTES_PER_EVENT, EVENTS_PER_PARSE, RequestInput

REQUEST = http1.encode_request("GET", "/", [("Host", "x")])


def take_events(requests: RequestInput) -> list[http1.Event]:
    events = []
    while event := requests.take_event():
        events.append(event)
    return events


def test_pipelined_requests_are_parsed_a_few_at_a_time() -> None:
    requests = RequestInput(http1.Limits())
    requests.feed(REQUEST * 100)
    assert EVENTS_PER_PARSE <= requests.event_count <= EVENTS_PER_PARSE + 1
    unparsed_bytes = requests.parser.buffered_bytes
    assert unparsed_bytes > 90 * len(REQUEST)
    assert requests.waiting_events == requests.event_count + unparsed_bytes // BYTES_PER_EVENT
    assert sum(isinstance(event, http1.Request) for event in take_events(requests)) == 100
    assert requests.is_exhausted


def test_error_follows_the_events_before_it() -> None:
    requests = RequestInput(http1.Limits())
    requests.feed(REQUEST + b"no request\r\n\r\n")
    assert requests.parser.error is not None
    assert [type(event) for event in take_events(requests)] == [http1.Request, http1.EndOfMessage]
    assert requests.event_count == 0
    assert not requests.is_exhausted
