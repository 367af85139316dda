"""Actions that the decision engine asks its host to carry out. Times in ms on the host's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; several in a row with one endpoint and one kind may share a call.

    Attributes:
        id: The message.
        endpoint: Where it goes.
        timeout_at_ms: When the attempt times out.
        last_byte_delay_ms: Delay of its last byte: if the connection ends before, the message has surely not run.
        send_before_ms: When its last byte has to be written; if that is not possible, the attempt ends as NOT_SENT or
            CONNECT_FAILED.
    """

    id: int
    endpoint: int
    timeout_at_ms: float
    last_byte_delay_ms: float = 0.0
    send_before_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class Reject:
    """Tell the client that its message is not delivered and that submitting it again is harmless.

    Attributes:
        id: The message.
        retry_after_ms: Time after which to submit it again; 0 = no Retry-After.
    """

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Tell the client that its message is not delivered as far as known; it may have run."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; its outcome stays unclear."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CancelIfUnsent:
    """Cancel the attempt of a message if its last byte was not written; it then ends as NOT_SENT, else it goes on.

    The message may no longer be sent. A connection may take a second to be made; a host that sends calls at once has
    nothing to cancel.
    """

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report `TimerFired` after a time; replaces the timer that is set."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of an endpoint; the outcome is reported as `HealthCheckEnded`."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Request the endpoint list and its changes from discovery from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line for the operators."""

    text: str


Action = Union[Send, Reject, Fail, Cancel, CancelIfUnsent, SetTimer, HealthCheck, CloseIdle, WatchEndpoints, Log]
