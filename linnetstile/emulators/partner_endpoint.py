"""One endpoint of an emulated partner: its listener, its workers and its queue."""

from __future__ import annotations

import asyncio
import email.utils
import socket
import time
import urllib.parse
from collections import deque

from ..codec import http1
from ..net import server
from .faults import Fault
from .messages import HeaderField
from .partner_behavior import PartnerBehavior
from .partner_call import PartnerCall
from .partner_receipts import Response
from .partner_settings import EndpointSpec
from .slow_reading import read_slowly
from .traffic_events import CallAnswered, CallBegan, CallClosed, CallCut, ReceiptPosted

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 256 << 20
CONNECTION_TIMEOUT_S = 120.0  # for a head, and between two requests
CRAWL_DELAY_BYTES = 16384  # a body that came in one piece delays the work of a crawling partner by no more than these
RESET_DELAY_S = 0.02  # what was written of an answer leaves before the connection is reset
TRICKLE_INTERVAL_S = 0.05  # between two bytes of a trickling answer
RECEIPT_TIMEOUT_S = 5.0
NOT_HTTP = b"\x16\x03\x01 no http here\r\n\r\n"


def _advertised_wait_ms(headers: list[HeaderField]) -> float | None:
    """Return the wait in a Retry-After field as the relay reads it, or None without one."""
    for name, value in headers:
        if name == "Retry-After":
            is_date = "," in value
            wait_s = email.utils.parsedate_to_datetime(value).timestamp() - time.time() if is_date else float(value)
            return round(1000 * wait_s)
    return None


class Endpoint:
    """Serves one port for a partner.

    Attributes:
        behavior: How its partner behaves.
        spec: Its settings.
        port: Where it listens, once it does; kept over a crash.
        waiting: Calls that wait for a worker.
    """

    def __init__(self, behavior: PartnerBehavior, spec: EndpointSpec) -> None:
        self.behavior = behavior
        self.spec = spec
        self.port = spec.port
        self.waiting: deque[PartnerCall] = deque()
        self._server: server.Server | None = None
        self._reserved_port: socket.socket | None = None
        self._busy = 0
        self._record = behavior.environment.recorder

    async def open(self) -> None:
        """Listen on the port."""
        listener = server.Server(
            self._request_arrived,
            self._head_arrived,
            http1.Limits(max_body_bytes=MAX_BODY_BYTES),
            server.ServerLimits(head_timeout_s=CONNECTION_TIMEOUT_S, idle_timeout_s=CONNECTION_TIMEOUT_S),
            tls=self.behavior.tls,
        )
        self.port = await listener.start(port=self.port)
        self._server = listener
        self._release_port()

    def close(self) -> None:
        """End the listener and all calls."""
        if self._server:
            self._server.close()
        self._server = None
        self._busy = 0
        self.waiting.clear()
        self._release_port()

    def crash(self) -> None:
        """End the listener and all calls; until it opens again, connections are refused and the port is kept."""
        self.close()
        self._reserved_port = socket.socket()
        self._reserved_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved_port.bind((LOOPBACK, self.port))  # bound and not listening

    def _release_port(self) -> None:
        if self._reserved_port:
            self._reserved_port.close()
        self._reserved_port = None

    # -- a call arrives --------------------------------------------------------------------------------------

    def _call(self, exchange: server.RequestContext) -> PartnerCall:
        return PartnerCall(exchange, self.behavior.spec.name, self.spec.id)

    def _fault(self, call: PartnerCall) -> Fault | None:
        return self.behavior.fault_of_call(self.spec.id, call.subject)

    def _head_arrived(self, exchange: server.RequestContext) -> None:
        call = self._call(exchange)
        fault = self._fault(call)
        crawls = fault is not None and fault.kind == "crawl"
        began = CallBegan(
            at_ms=exchange.started_at * 1000, **call.identity, subject=call.subject, reads_slowly=crawls or None
        )
        self._record.write(began)
        exchange.on_disconnect = lambda: self._record.write(CallCut(**call.identity))
        if fault is not None and crawls:
            read_slowly(exchange, fault.crawl_bytes_per_s, lambda: self._crawls(call))

    def _crawls(self, call: PartnerCall) -> bool:
        fault = self._fault(call)
        return fault is not None and fault.kind == "crawl"

    def _request_arrived(self, exchange: server.RequestContext) -> None:
        call = self._call(exchange)
        exchange.on_disconnect = lambda: self._caller_gone(call)
        fault = self._fault(call)
        self.behavior.record_arrival()
        if self.behavior.is_overloaded or not self._meets_fault(call, fault):
            return
        wait_ms = self.behavior.rejection_wait_ms(is_shut=fault is not None and fault.kind == "shut")
        if wait_ms is None and self._is_full():
            wait_ms = 0.0
        if wait_ms is not None:
            self._answer(call, Response(503, self.behavior.retry_after(wait_ms), b"full\n"))
        elif self._busy < self.behavior.spec.servers:
            self._begin_work(call)
        else:
            self.waiting.append(call)

    def _meets_fault(self, call: PartnerCall, fault: Fault | None) -> bool:
        """Do what a fault does to a call as it arrives; return whether the call goes on to the limits."""
        kind = fault.kind if fault else None
        if kind in ("hang", "vanish", "class_fail"):
            return False  # never answered
        if kind == "garbage":
            self._record.write(CallAnswered(**call.identity, status=0, how="garbage"))
            call.exchange.connection.transport.write(NOT_HTTP)
            return False
        if fault is not None and kind == "crawl":
            # A body that came in one piece has not been read before its time either.
            delay_s = min(len(call.exchange.body), CRAWL_DELAY_BYTES) / fault.crawl_bytes_per_s
            asyncio.get_running_loop().call_later(delay_s, self._begin_work, call)
            return False
        if kind == "fast_errors":
            self._answer(call, Response(500, [], b"quick error\n"))
            return False
        return True

    def _is_full(self) -> bool:
        spec = self.behavior.spec
        return len(self.waiting) >= spec.queue and self._busy >= spec.servers

    def _caller_gone(self, call: PartnerCall) -> None:
        """The caller closed before it was answered: it gave the call up. What was begun may run on."""
        self._record.write(CallClosed(**call.identity))
        call.exchange.connection.transport.abort()

    # -- its work --------------------------------------------------------------------------------------------

    def _begin_work(self, call: PartnerCall) -> None:
        self._busy += 1
        listener = self._server
        call.is_repeat_of_key = self.behavior.is_repeat_of_key(call)
        work_s = self.behavior.work_s(self.spec.id)
        asyncio.get_running_loop().call_later(work_s, self._work_done, call, listener)

    def _work_done(self, call: PartnerCall, listener: server.Server | None) -> None:
        if listener is not self._server or listener is None:
            if not call.is_repeat_of_key:  # it crashed meanwhile: nothing ran, and nothing is remembered
                self.behavior.keys.forget(call.message_id)
            return
        self._busy -= 1
        if self.waiting:
            self._begin_work(self.waiting.popleft())
        fault = self._fault(call)
        kind = fault.kind if fault else None
        if kind in ("hang", "vanish"):
            return
        response = self.behavior.process(call, fault)
        if fault is not None and kind == "answer_lost":
            self._lose_answer(call, fault)
        elif self._wants_posted_receipt(call) and response.status == 200 and response.body:
            self._answer(call, Response(200, []))
            self._post_receipt(call, response)
        elif fault is not None and kind == "reset":
            self._reset_within_answer(call, response, fault.bytes)
        elif kind == "trickle":
            asyncio.get_running_loop().create_task(self._trickle(call, response))
        else:
            self._answer(call, response)

    # -- its answer ------------------------------------------------------------------------------------------

    def _answer(self, call: PartnerCall, response: Response) -> None:
        if not call.can_be_answered:
            return
        self._record.write(
            CallAnswered(
                **call.identity,
                status=response.status,
                is_repeat_of_key=call.is_repeat_of_key,
                retry_after_ms=_advertised_wait_ms(response.headers),
            )
        )
        call.exchange.reply(response.status, response.headers, response.body)

    def _record_lost(self, call: PartnerCall, how: str) -> None:
        lost = CallAnswered(**call.identity, status=0, how=how, is_repeat_of_key=call.is_repeat_of_key)
        self._record.write(lost)

    def _lose_answer(self, call: PartnerCall, fault: Fault) -> None:
        self._record_lost(call, "lost")
        if fault.how == "reset":
            call.exchange.connection.transport.abort()

    def _reset_within_answer(self, call: PartnerCall, response: Response, after_bytes: int) -> None:
        data = http1.encode_response(response.status, response.headers, response.body)[:after_bytes]
        self._record_lost(call, "reset")
        transport = call.exchange.connection.transport
        transport.write(data)
        if data:
            asyncio.get_running_loop().call_later(RESET_DELAY_S, transport.abort)
        else:
            transport.abort()

    async def _trickle(self, call: PartnerCall, response: Response) -> None:
        """Write the answer byte by byte."""
        data = http1.encode_response(response.status, response.headers, response.body)
        connection = call.exchange.connection
        for position in range(len(data)):
            if connection.is_closing:
                return
            connection.transport.write(data[position : position + 1])
            await asyncio.sleep(TRICKLE_INTERVAL_S)
        connection.transport.close()

    @staticmethod
    def _wants_posted_receipt(call: PartnerCall) -> bool:
        return "receipt-delivery-option" in call.exchange.head.headers

    def _post_receipt(self, call: PartnerCall, receipt: Response) -> None:
        url = urllib.parse.urlsplit(call.exchange.head.headers.get("receipt-delivery-option"))
        data = http1.encode_request("POST", url.path or "/", [("Host", url.netloc), *receipt.headers], receipt.body)
        identity, is_repeat_of_key = call.identity, call.is_repeat_of_key
        self.behavior.environment.pool.call(
            (url.hostname or "127.0.0.1", url.port or 80),
            "POST",
            data,
            lambda answer: self._record.write(
                ReceiptPosted(**identity, how=answer.wire_result.value, is_repeat_of_key=is_repeat_of_key)
            ),
            asyncio.get_running_loop().time() + RECEIPT_TIMEOUT_S,
        )
