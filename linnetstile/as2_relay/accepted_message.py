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
        endpoint: Identifier of the endpoint that it goes to.
        started_at_ms: Loop time at which it started.
        call: The HTTP call, until it has ended.
        receipt_token: Token of the receipt address, if the receipt comes on a connection of its own.
        receipt_timer: Ends the attempt if no such receipt comes in time.
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
        head: Its AS2 fields.
        headers: All header fields as the client sent them.
        body: Its content.
        deadline_ms: Loop time by which its final answer is due.
        waiting_requests: Requests whose clients wait for the final answer on their connection.
        attempt_count: Number of attempts that were started.
        attempt: The attempt in flight.
        last_verdict: What the latest attempt proved, for people.
        reservation: The memory that it holds.
    """

    id: int
    head: as2.As2Headers
    headers: http1.Headers
    body: bytes
    deadline_ms: float
    waiting_requests: list[server.RequestContext] = field(default_factory=list)
    attempt_count: int = 0
    attempt: Attempt | None = None
    last_verdict: str = ""
    reservation: Reservation | None = None
