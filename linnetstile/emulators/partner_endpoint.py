"""One endpoint of an emulated partner: its listener, its workers and its queue."""

from __future__ import annotations

import asyncio
import socket
from collections import deque

from ..codec import http1
from ..net import server
from .faults import Fault, FaultKind
from .partner_answers import AnswerWriter, wants_posted_receipt
from .partner_behavior import PartnerBehavior
from .partner_call import PartnerCall
from .partner_receipts import Response
from .partner_settings import EndpointSpec
from .slow_reading import read_slowly
from .traffic_events import CallBegan, CallClosed, CallCut

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 256 << 20
CONNECTION_TIMEOUT_S = 120.0  # to receive a request head, and between two requests
MAX_READ_DELAY_BYTES = 16384  # a body received at once delays its work as if it had at most these bytes


class Endpoint:
    """Serves one port for a partner.

    Attributes:
        behavior: How its partner behaves.
        spec: Its settings.
        port: The port that it listens on once it is open; kept across a crash.
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
        self._answers = AnswerWriter(self._record, behavior.environment.pool)

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
        """End the listener and all calls; keep the port reserved and refuse connections until it opens again."""
        self.close()
        self._reserved_port = socket.socket()
        self._reserved_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved_port.bind((LOOPBACK, self.port))  # bound but not listening: connections are refused

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
        reads_slowly = fault is not None and fault.kind is FaultKind.SLOW_READ
        began = CallBegan(
            at_ms=exchange.started_at * 1000, **call.identity, subject=call.subject, reads_slowly=reads_slowly or None
        )
        self._record.write(began)
        exchange.on_disconnect = lambda: self._record.write(CallCut(**call.identity))
        if fault is not None and reads_slowly:
            read_slowly(exchange, fault.slow_read_bytes_per_s, lambda: self._reads_slowly(call))

    def _reads_slowly(self, call: PartnerCall) -> bool:
        fault = self._fault(call)
        return fault is not None and fault.kind is FaultKind.SLOW_READ

    def _request_arrived(self, exchange: server.RequestContext) -> None:
        call = self._call(exchange)
        exchange.on_disconnect = lambda: self._caller_closed(call)
        fault = self._fault(call)
        self.behavior.record_arrival()
        if self.behavior.is_overloaded or not self._passes_fault(call, fault):
            return
        is_unavailable = fault is not None and fault.kind is FaultKind.UNAVAILABLE
        wait_ms = self.behavior.rejection_wait_ms(is_unavailable)
        if wait_ms is None and self._is_full():
            wait_ms = 0.0
        if wait_ms is not None:
            self._answers.answer(call, Response(503, self.behavior.retry_after(wait_ms), b"full\n"))
        elif self._busy < self.behavior.spec.servers:
            self._begin_work(call)
        else:
            self.waiting.append(call)

    def _passes_fault(self, call: PartnerCall, fault: Fault | None) -> bool:
        """Apply a fault to a call on its arrival; return whether the limits apply to it next."""
        kind = fault.kind if fault else None
        if kind in (FaultKind.HANG, FaultKind.VANISH, FaultKind.CLASS_FAILURE):
            return False  # never answered
        if kind is FaultKind.GARBAGE:
            self._answers.write_garbage(call)
            return False
        if fault is not None and kind is FaultKind.SLOW_READ:
            # A body received at once was not slowed down: the work begins when a slow read would have ended.
            delay_s = min(len(call.exchange.body), MAX_READ_DELAY_BYTES) / fault.slow_read_bytes_per_s
            asyncio.get_running_loop().call_later(delay_s, self._begin_work, call)
            return False
        if kind is FaultKind.FAST_ERRORS:
            self._answers.answer(call, Response(500, [], b"quick error\n"))
            return False
        return True

    def _is_full(self) -> bool:
        spec = self.behavior.spec
        return len(self.waiting) >= spec.queue and self._busy >= spec.servers

    def _caller_closed(self, call: PartnerCall) -> None:
        """Record that the caller closed the connection before its answer; work that has begun continues."""
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
            if not call.is_repeat_of_key:  # the endpoint crashed before the effect: the key is not remembered
                self.behavior.keys.forget(call.message_id)
            return
        self._busy -= 1
        if self.waiting:
            self._begin_work(self.waiting.popleft())
        fault = self._fault(call)
        kind = fault.kind if fault else None
        if kind in (FaultKind.HANG, FaultKind.VANISH):
            return
        self._answer_work(call, fault)

    def _answer_work(self, call: PartnerCall, fault: Fault | None) -> None:
        """Process a message and answer the call as its fault prescribes."""
        kind = fault.kind if fault else None
        response = self.behavior.process(call, fault)
        if fault is not None and kind is FaultKind.ANSWER_LOST:
            self._answers.withhold(call, with_reset=fault.how == "reset")
        elif wants_posted_receipt(call) and response.status == 200 and response.body:
            self._answers.answer(call, Response(200, []))
            self._answers.post_receipt(call, response)
        elif fault is not None and kind is FaultKind.RESET:
            self._answers.reset_within(call, response, after_bytes=fault.bytes)
        elif kind is FaultKind.DRIP_FEED:
            asyncio.get_running_loop().create_task(self._answers.drip_feed(call, response))
        else:
            self._answers.answer(call, response)
