"""HTTP/1.1 codec: valid and invalid messages, and the same events for any split of the bytes."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.codec import http1

LIMITS = http1.Limits(
    max_line_bytes=200, max_head_bytes=400, max_fields=8, max_body_bytes=1000, max_chunk_line_bytes=32
)
HOST = b"Host: a\r\n"


def read_all(
    data: bytes, split_at: list[int] | None = None, client: bool = False, methods: tuple[str, ...] = ()
) -> tuple[list[http1.Event], int]:
    """Return the events, with adjacent `Data` events joined, and the status of the error (0 = none)."""
    parser = http1.Parser(client, LIMITS)
    for method in methods:
        parser.expect_response(method)
    events: list[http1.Event] = []
    boundaries = [0, *sorted(split_at or []), len(data)]
    for start, end in itertools.pairwise(boundaries):
        try:
            events += parser.feed(data[start:end])
        except http1.Http1Error:
            break
    joined: list[http1.Event] = []
    for event in events:
        if isinstance(event, http1.Data) and joined and isinstance(joined[-1], http1.Data):
            joined[-1] = http1.Data(joined[-1].data + event.data)
        else:
            joined.append(event)
    return joined, parser.error.status if parser.error else 0


def every_position(data: bytes) -> list[int]:
    """Return the positions that split the data into single bytes."""
    return list(range(len(data)))


def body_of(events: list[http1.Event]) -> bytes:
    return b"".join(event.data for event in events if isinstance(event, http1.Data))


VALID_REQUESTS = [
    (b"GET /x HTTP/1.1\r\n" + HOST + b"\r\n", b""),
    (b"\r\nPOST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nabc", b"abc"),
    (
        b"POST / HTTP/1.1\r\n"
        + HOST
        + b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\n\r\n",
        b"abc0123456789",
    ),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: Chunked\r\n\r\n0\r\nX: y\r\n\r\n", b""),
    (b"POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nz", b"z"),
    (b"OPTIONS * HTTP/1.1\r\nHOST:a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", b""),
]
INVALID_HEADERS = [
    (400, HOST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
    (400, HOST + b"Content-Length: 3\r\nContent-Length: 4\r\n"),
    (400, HOST + b"Content-Length: 3, 3\r\n"),
    (400, HOST + b"Content-Length: +3\r\n"),
    (400, HOST + b"Content-Length: -1\r\n"),
    (400, HOST + b"Content-Length: 0x3\r\n"),
    (413, HOST + b"Content-Length: 1001\r\n"),
    (413, HOST + b"Content-Length: 999999999999999999\r\n"),
    (400, HOST + b"Content-Length: 99999999999999999999999\r\n"),
    (501, HOST + b"Transfer-Encoding: gzip, chunked\r\n"),
    (501, HOST + b"Transfer-Encoding: xchunked\r\n"),
    (501, HOST + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
    (400, HOST + b"X: a\r\n folded\r\n"),
    (400, HOST + b"X : a\r\n"),
    (400, HOST + b": a\r\n"),
    (400, HOST + b"X\r\n"),
    (400, HOST + b"X: a\rb\r\n"),
    (400, HOST + b"X: a\n"),
    (400, HOST + b"X: a\x00b\r\n"),
    (400, b""),
    (400, HOST + HOST),
    (417, HOST + b"Expect: tea\r\n"),
    (431, HOST + b"X: " + b"a" * 250 + b"\r\n"),
    (431, HOST + b"X: y\r\n" * 9),
    (431, HOST + (b"X: " + b"a" * 100 + b"\r\n") * 5),
]
INVALID_REQUEST_LINES = [
    (400, b"GET  / HTTP/1.1"),
    (400, b"GET /"),
    (400, b"G(T / HTTP/1.1"),
    (400, b"GET /\x7f HTTP/1.1"),
    (505, b"GET / HTTP/2.0"),
    (400, b"GET / http/1.1"),
    (400, b" GET / HTTP/1.1"),
    (400, b"GET / HTTP/1.1 "),
    (431, b"GET /" + b"a" * 250 + b" HTTP/1.1"),
]
INVALID_CHUNKS = [
    (400, b"g\r\n"),
    (400, b"\r\n"),
    (400, b"-1\r\n"),
    (400, b"0x1\r\n"),
    (400, b"1 1\r\n"),
    (400, b"3\nabc\r\n"),
    (400, b"3\r\nabcd\r\n"),
    (400, b"3\r\nabc\n"),
    (400, b"1;" + b"a" * 40 + b"\r\n"),
    (413, b"fffffff\r\n"),
    (400, b"11111111111111111111\r\n"),
    (400, b"0\r\nX : y\r\n\r\n"),
    (400, b"0\r\nX: y\n\r\n"),
]


@pytest.mark.parametrize(("data", "body"), VALID_REQUESTS)
def test_valid_request_is_read_the_same_for_any_split(data: bytes, body: bytes) -> None:
    events, status = read_all(data)
    assert status == 0
    assert isinstance(events[0], http1.Request)
    assert isinstance(events[-1], http1.EndOfMessage)
    assert body_of(events) == body
    assert read_all(data, every_position(data)) == (events, 0)


@pytest.mark.parametrize(
    ("status", "data"),
    [
        *((status, b"POST / HTTP/1.1\r\n" + lines + b"\r\n") for status, lines in INVALID_HEADERS),
        *((status, request_line + b"\r\n" + HOST + b"\r\n") for status, request_line in INVALID_REQUEST_LINES),
        *(
            (status, b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n" + rest)
            for status, rest in INVALID_CHUNKS
        ),
    ],
)
def test_invalid_request_is_rejected_with_its_status(status: int, data: bytes) -> None:
    assert read_all(data)[1] == status
    assert read_all(data, every_position(data))[1] == status


def test_transfer_encoding_in_http_1_0_is_rejected() -> None:
    assert read_all(b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")[1] == 400


def test_head_without_end_is_rejected_at_the_limit() -> None:
    parser = http1.Parser(limits=LIMITS)

    def feed_without_end() -> None:
        for _ in range(10_000):
            parser.feed(b"GET /" + b"a" * 50)
            assert parser.buffered_bytes <= LIMITS.max_head_bytes + 55

    with pytest.raises(http1.Http1Error) as caught:
        feed_without_end()
    assert caught.value.status == 431
    assert parser.buffered_bytes == 0


def test_pipelined_requests_are_read_in_order() -> None:
    request = b"POST /%d HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n\r\nx"
    events, _ = read_all(b"".join(request % number for number in range(5)))
    targets = [event.target for event in events if isinstance(event, http1.Request)]
    assert targets == [f"/{number}" for number in range(5)]


RESPONSES = [
    (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "POST", 200, b"hi", True),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "POST", 200, b"", True),
    (b"HTTP/1.1 204 No Content\r\n\r\n", "POST", 204, b"", True),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", "HEAD", 200, b"", True),
    (b"HTTP/1.1 503 \r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "POST", 503, b"", False),
    (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "POST", 200, b"", False),
    (b"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "POST", 200, b"a", True),
]


@pytest.mark.parametrize(("data", "method", "status", "body", "keep_alive"), RESPONSES)
def test_response_is_read_the_same_for_any_split(
    data: bytes, method: str, status: int, body: bytes, keep_alive: bool
) -> None:
    for split_at in ([], every_position(data)):
        events, error_status = read_all(data, split_at, client=True, methods=(method,))
        response = events[0]
        assert error_status == 0
        assert isinstance(response, http1.Response)
        assert isinstance(events[-1], http1.EndOfMessage)
        assert (response.status, response.keep_alive) == (status, keep_alive)
        assert body_of(events) == body


def test_response_without_a_length_ends_with_the_stream() -> None:
    parser = http1.Parser(True, LIMITS)
    parser.expect_response("POST")
    events = parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert isinstance(events[0], http1.Response)
    assert not events[0].keep_alive
    assert events[1:] == [http1.Data(b"abc")]
    assert parser.eof() == [http1.EndOfMessage()]


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 99 no\r\n\r\n",
        b"ICY 200 OK\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"\x16\x03\x01\x02\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_invalid_response_is_an_error(data: bytes) -> None:
    assert read_all(data, client=True, methods=("POST",))[1] == 400


def test_response_without_a_request_is_an_error() -> None:
    assert read_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", client=True)[1] == 400


def test_end_of_stream_inside_a_message_is_an_error() -> None:
    parser = http1.Parser(True, LIMITS)
    parser.expect_response("POST")
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")
    with pytest.raises(http1.Http1Error):
        parser.eof()


@pytest.mark.parametrize("field", [("X", "a\r\nY: b"), ("X\r\nY", "b"), ("X", "a\nb"), ("", "a")])
def test_header_field_that_would_split_a_message_is_not_sent(field: tuple[str, str]) -> None:
    with pytest.raises(http1.UnsendableMessageError, match="can't be sent"):
        http1.encode_request("POST", "/", [field])


def mutate(valid: bytes, data: st.DataObject) -> bytes:
    """Return the bytes with up to four replacements, insertions and deletions."""
    mutated = bytearray(valid)
    for _ in range(data.draw(st.integers(0, 4))):
        position = data.draw(st.integers(0, len(mutated) - 1))
        mutation = data.draw(st.sampled_from(["replace", "insert", "delete"]))
        if mutation == "replace":
            mutated[position] = data.draw(st.integers(0, 255))
        elif mutation == "insert":
            mutated[position:position] = data.draw(st.binary(max_size=6))
        else:
            del mutated[position : position + data.draw(st.integers(1, 5))]
    return bytes(mutated)


@settings(max_examples=300)
@given(
    st.sampled_from(
        [
            *(data for data, _ in VALID_REQUESTS),
            *(b"POST / HTTP/1.1\r\n" + lines + b"\r\n" for _, lines in INVALID_HEADERS),
        ]
    ),
    st.data(),
)
def test_mutated_request_is_read_the_same_for_any_split(request_bytes: bytes, data: st.DataObject) -> None:
    mutated = mutate(request_bytes * 2, data)
    split_at = data.draw(st.lists(st.integers(0, len(mutated)), max_size=8))
    assert read_all(mutated, split_at) == read_all(mutated)
    error_status = read_all(mutated, split_at, client=True, methods=("POST", "GET"))[1]
    assert error_status in (0, 400, 413, 431, 501, 505)
