"""Actions that the decision engine asks its host to carry out. Times in ms on the host's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; several in a row with one endpoint and one kind may share a call.

    Attributes:
        id: Id of the message.
        endpoint: Id of the endpoint to call.
        timeout_at_ms: When the attempt times out.
        last_byte_delay_ms: Delay before the last byte is written. If the connection ends before then, the message has
            certainly not run.
        send_before_ms: Time by which the last byte has to be written. If that is not possible, the attempt ends as
            NOT_SENT or CONNECT_FAILED.
    """

    id: int
    endpoint: int
    timeout_at_ms: float
    last_byte_delay_ms: float = 0.0
    send_before_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class Reject:
    """Tell the client that its message was not delivered and that it is safe to submit it again.

    Attributes:
        id: Id of the message.
        retry_after_ms: Time after which to submit it again; 0 = no Retry-After.
    """

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Tell the client that no delivery of its message is known, although the message may have run."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; its outcome stays unclear."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CancelIfUnsent:
    """Cancel the attempt of a message if its last byte was not written yet; the attempt then ends as NOT_SENT.

    An attempt whose last byte was written continues. The engine requests this when the message may no longer be sent.
    Connecting may take a second, during which a call can still be cancelled; a host that sends each call at once has
    nothing to cancel.
    """

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report `TimerFired` after a delay; replaces the timer that was set before."""

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
    """Request the endpoint list from discovery, and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line for the operators."""

    text: str


Action = Union[Send, Reject, Fail, Cancel, CancelIfUnsent, SetTimer, HealthCheck, CloseIdle, WatchEndpoints, Log]
