"""Writes the answers of an emulated partner: complete, lost, cut off, byte by byte, or not HTTP at all."""

from __future__ import annotations

import asyncio
import email.utils
import time
import urllib.parse

from ..codec import http1
from ..net import client
from .messages import HeaderField
from .partner_call import PartnerCall
from .partner_receipts import Response
from .record import Recorder
from .traffic_events import CallAnswered, ReceiptPosted

DEFAULT_HOST = "127.0.0.1"
DEFAULT_HTTP_PORT = 80
RESET_DELAY_S = 0.02  # lets the bytes already written be sent before the connection is reset
DRIP_FEED_INTERVAL_S = 0.05  # between two bytes of an answer
RECEIPT_TIMEOUT_S = 5.0
NOT_HTTP = b"\x16\x03\x01 no http here\r\n\r\n"


def wants_posted_receipt(call: PartnerCall) -> bool:
    """Whether the message asks for its receipt in a separate request."""
    return "receipt-delivery-option" in call.exchange.head.headers


def _advertised_wait_ms(headers: list[HeaderField]) -> float | None:
    """Return the wait in a Retry-After field as the relay reads it, or None without one."""
    for name, value in headers:
        if name == "Retry-After":
            is_date = "," in value
            wait_s = email.utils.parsedate_to_datetime(value).timestamp() - time.time() if is_date else float(value)
            return round(1000 * wait_s)
    return None


class AnswerWriter:
    """Writes and records the answers to calls of one endpoint."""

    def __init__(self, recorder: Recorder, pool: client.ConnectionPool) -> None:
        self._recorder = recorder
        self._pool = pool

    def answer(self, call: PartnerCall, response: Response) -> None:
        """Write a complete answer, unless the call has ended."""
        if not call.can_be_answered:
            return
        self._recorder.write(
            CallAnswered(
                **call.identity,
                status=response.status,
                is_repeat_of_key=call.is_repeat_of_key,
                retry_after_ms=_advertised_wait_ms(response.headers),
            )
        )
        call.exchange.reply(response.status, response.headers, response.body)

    def write_garbage(self, call: PartnerCall) -> None:
        """Write bytes that are not HTTP."""
        self._recorder.write(CallAnswered(**call.identity, status=0, how="garbage"))
        call.exchange.connection.transport.write(NOT_HTTP)

    def withhold(self, call: PartnerCall, *, with_reset: bool) -> None:
        """Write no answer; with `with_reset`, reset the connection."""
        self._record_lost(call, "lost")
        if with_reset:
            call.exchange.connection.transport.abort()

    def reset_within(self, call: PartnerCall, response: Response, *, after_bytes: int) -> None:
        """Reset the connection after the first bytes of an answer."""
        data = http1.encode_response(response.status, response.headers, response.body)[:after_bytes]
        self._record_lost(call, "reset")
        transport = call.exchange.connection.transport
        transport.write(data)
        if data:
            asyncio.get_running_loop().call_later(RESET_DELAY_S, transport.abort)
        else:
            transport.abort()

    def _record_lost(self, call: PartnerCall, how: str) -> None:
        lost = CallAnswered(**call.identity, status=0, how=how, is_repeat_of_key=call.is_repeat_of_key)
        self._recorder.write(lost)

    async def drip_feed(self, call: PartnerCall, response: Response) -> None:
        """Write an answer byte by byte."""
        data = http1.encode_response(response.status, response.headers, response.body)
        connection = call.exchange.connection
        for position in range(len(data)):
            if connection.is_closing:
                return
            connection.transport.write(data[position : position + 1])
            await asyncio.sleep(DRIP_FEED_INTERVAL_S)
        connection.transport.close()

    def post_receipt(self, call: PartnerCall, receipt: Response) -> None:
        """Post a receipt to the address that the message names."""
        url = urllib.parse.urlsplit(call.exchange.head.headers.get("receipt-delivery-option"))
        data = http1.encode_request("POST", url.path or "/", [("Host", url.netloc), *receipt.headers], receipt.body)
        identity = call.identity  # read now: the connection of the call may be closed when the post ends
        is_repeat_of_key = call.is_repeat_of_key

        def record(result: client.CallResult) -> None:
            posted = ReceiptPosted(**identity, how=result.wire_result.value, is_repeat_of_key=is_repeat_of_key)
            self._recorder.write(posted)

        address = (url.hostname or DEFAULT_HOST, url.port or DEFAULT_HTTP_PORT)
        timeout_at_s = asyncio.get_running_loop().time() + RECEIPT_TIMEOUT_S
        self._pool.call(address, "POST", data, record, timeout_at_s)
