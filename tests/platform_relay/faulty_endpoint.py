"""An endpoint that ends its calls at a given stage, and records them for the checks of the delivery rules."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

from .http_messages import BUSY_RESPONSE, OK_RESPONSE, read_http

PARTIAL_REQUEST_BYTES = 60
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0


class FaultStage(Enum):
    """Stage at which a call ends."""

    CONNECTED = "connected"  # before a byte was read
    REQUEST_PARTLY_READ = "request partly read"
    REQUEST_READ = "request read"
    RESPONSE_WRITTEN = "response written"  # after the fault's response, which may be incomplete


class CallEnding(Enum):
    """How a call ends."""

    RESET = "reset"
    CLOSE = "close"
    SILENCE = "silence"
    LATE_RESPONSE = "late response"  # after the relay has closed the connection


@dataclass(frozen=True)
class Fault:
    """How an endpoint handles a call; without an ending it keeps the connection and reads the next request."""

    stage: FaultStage
    ending: CallEnding | None
    response: bytes = b""


NO_FAULT = Fault(FaultStage.RESPONSE_WRITTEN, None, OK_RESPONSE)
REJECTION = Fault(FaultStage.RESPONSE_WRITTEN, None, BUSY_RESPONSE)


@dataclass
class ReceivedCall:
    """A call whose request arrived completely.

    Attributes:
        submission_id: The client's identifier of the message.
        body: Body of the request.
        received_at: Loop time (s) at which the last byte of the request arrived.
        may_have_run: Whether the call may have taken effect, by the platform's rules.
        ended_at: Loop time (s) at which the call was answered or its connection closed.
        is_delivered: Whether the call was answered 200.
    """

    submission_id: str
    body: bytes
    received_at: float
    may_have_run: bool = True
    ended_at: float | None = None
    is_delivered: bool = False


@dataclass
class FaultyEndpoint:
    """An endpoint that applies a list of faults to its next calls, one each, and answers all later calls 200."""

    faults: list[Fault] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        if self.faults and self.faults[0].stage is FaultStage.CONNECTED:
            await self._end_connection(self.faults.pop(0), reader, writer)
            return
        while await reader.read(1):
            fault = self.faults.pop(0) if self.faults else NO_FAULT
            if fault.stage is FaultStage.REQUEST_PARTLY_READ:
                await reader.read(PARTIAL_REQUEST_BYTES)
                await self._end_connection(fault, reader, writer)
            else:
                await self._serve_request(fault, reader, writer)
            if fault.ending:
                return

    async def _serve_request(self, fault: Fault, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        clock = asyncio.get_running_loop().time
        _, fields, body = await read_http(reader)
        call = ReceivedCall(fields["x-correlation-id"], body, clock(), fault.response != BUSY_RESPONSE)
        self.calls.append(call)
        call.is_delivered = fault.response.startswith(b"HTTP/1.1 200 ")
        try:
            writer.write(fault.response)
            await self._end_connection(fault, reader, writer)
        finally:
            call.ended_at = clock()

    @staticmethod
    async def _end_connection(fault: Fault, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if fault.ending is CallEnding.RESET:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        elif fault.ending is CallEnding.CLOSE:
            writer.close()
        elif fault.ending:
            while await reader.read(1000):  # until the relay closes the connection
                pass
            if fault.ending is CallEnding.LATE_RESPONSE:
                writer.write(OK_RESPONSE)
