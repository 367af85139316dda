"""Actions that the decision engine asks its host to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class Send:
    id: int
    endpoint: int
    timeout_at_ms: float
    last_byte_delay_ms: float = 0.0  # its last byte is held back so long: a connection that ends before carried no call
    send_before_ms: float = float("inf")  # its last byte leaves by then or not at all: NOT_SENT, or CONNECT_FAILED


@dataclass(frozen=True, slots=True)
class Reject:
    """Not delivered, and trying again is harmless."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Not delivered as far as known; promises nothing."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CancelIfUnsent:
    """The reason to send this one is gone: its attempt ends as NOT_SENT if its last byte has not left, or goes on. A
    connection can take a second to be made; where a call leaves at once, there is nothing to recall."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask discovery for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Union[Send, Reject, Fail, Cancel, CancelIfUnsent, SetTimer, HealthCheck, CloseIdle, WatchEndpoints, Log]
