"""Requests that are not accepted: without a matching rule, for an unknown partner, or not valid HTTP."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from .relay_testbed import RelayTestbed, answer_kind, async_test


@pytest.mark.parametrize(
    ("message_class", "receiver", "status", "reason"),
    [
        ("safe", "nobody", 404, b"no partner nobody is listed"),
        ("other", "firma", 403, b"no rule takes"),
    ],
)
@async_test
async def test_a_message_without_rule_or_partner_is_refused_with_the_reason(
    tmp_path: Path, message_class: str, receiver: str, status: int, reason: bytes
) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        message = testbed.make_message(message_class, to=receiver)
        answer = await testbed.post(testbed.relays[0].address, message)
        assert answer.head is not None
        assert answer.head.status == status
        assert reason in answer.body
        assert answer_kind(answer) == "refused"
        assert not testbed.relays[0].accepted


def raw_request(headers: str, body: bytes = b"") -> bytes:
    """Return a submission with these additional header fields, each of which must end with CRLF."""
    return f"POST /as2 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (raw_request("AS2-From: a\r\nAS2-To: b\r\n"), b"400"),
        (b"\x16\x03\x01\x00\xa5\r\n\r\n", b"400"),
        (b"GET /as2 HTTP/1.1\r\nHost: x\r\n\r\n", b"405"),
        (b"POST /as2 HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 2**20, b"431"),
        (b"POST /as2 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", b"413"),
    ],
)
@async_test
async def test_invalid_requests_get_the_matching_http_status(tmp_path: Path, data: bytes, status: bytes) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        reader, writer = await testbed.connect()
        writer.write(data)
        response = await asyncio.wait_for(reader.read(100), 5)
        assert response.split(b" ")[1] == status
        writer.close()
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"


@async_test
async def test_an_endless_header_is_cut_off_and_takes_no_memory(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        _, writer = await testbed.connect()
        sent = 0
        with pytest.raises(ConnectionError):  # noqa: PT012 (any of the writes may find the connection closed)
            for _ in range(16_384):  # 1 GiB in total
                writer.write(b"X" * 65_536)
                sent += 65_536
                await writer.drain()
        assert sent < 64 * 2**20
        assert testbed.relays[0].listener.counts["protocol_errors"] == 1
