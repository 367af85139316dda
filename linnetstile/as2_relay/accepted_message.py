"""One accepted message and its current delivery attempt."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from ..codec import as2, http1
from ..engine.fair_share import Reservation
from ..net import client, server


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to deliver a message.

    Attributes:
        number: Zero-based number of the attempt.
        endpoint: Identifier of the endpoint that the message is sent to.
        started_at_ms: Loop time at which the attempt started.
        call: The HTTP call; None before it starts and after it has ended.
        receipt_token: Token in the receipt URL if the partner posts the receipt asynchronously, else empty.
        receipt_timer: Ends the attempt if the asynchronous receipt does not arrive in time.
    """

    number: int
    endpoint: int
    started_at_ms: float
    call: client.Call | None = None
    receipt_token: str = ""
    receipt_timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class AcceptedMessage:
    """One message from its acceptance to its final answer.

    Attributes:
        id: Number of the message in the delivery engine.
        head: AS2 fields of the message.
        headers: All header fields as the client sent them.
        body: Content of the message.
        deadline_ms: Loop time by which the final answer is due.
        waiting_requests: Requests whose clients wait for the final answer on their connection.
        attempt_count: Number of attempts started so far.
        attempt: The attempt in flight, if any.
        last_verdict_reason: Reason for the verdict on the latest attempt, as readable text.
        reservation: The memory reserved for the message.
    """

    id: int
    head: as2.As2Headers
    headers: http1.Headers
    body: bytes
    deadline_ms: float
    waiting_requests: list[server.RequestContext] = field(default_factory=list)
    attempt_count: int = 0
    attempt: Attempt | None = None
    last_verdict_reason: str = ""
    reservation: Reservation | None = None
