"""Events that a host reports to the decision engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def proves_no_effect(self) -> bool:
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """What the list of endpoints says of one of them."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "whole"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    id: int
    destination: int
    status: EndpointStatus
    kind: int = 0
    zone: int = 0
    advertised_rate: float = 0.0  # listed calls a second for its destination (or route); see Rates


@dataclass(frozen=True, slots=True)
class EndpointList:
    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Message:
    id: int
    destination: int
    class_index: int
    remaining_ms: float
    tenant: int = 0
    ordering_key: int = 0  # 0 = none
    estimated_work_ms: float | None = None
    is_retry: bool = False
    from_dead_relay: bool = False


@dataclass(frozen=True, slots=True)
class MessageRecovered:
    """A message that an earlier process of this relay had taken on and not ended. Ages are by the clock on the wall."""

    message: Message  # its time left is as of now
    age_ms: float  # since it was handed in
    attempts: int = 0  # attempts that were begun
    unclear_age_ms: float | None = None  # since the first attempt that may have run began; None = none may have
    unclear_endpoint: Endpoint | None = None  # where that was


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process ends: calls that are out then have an unclear outcome; what is held goes on in the next one."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    id: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    is_final: bool = False
    retry_after_ms: float = 0.0  # told with Outcome.FULL
    slots_exhausted: bool = False  # with Outcome.NOT_SENT
    load_report: tuple[float, ...] = ()
    connection_reused: bool = False  # it went out on a connection that had been kept from an earlier call


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientCancelled:
    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """What is known of a destination (or route: its endpoint's id, else -1) that this relay has not called itself."""

    destination: int
    route: int = -1
    outage_age_ms: float | None = None  # since when it is out
    slow_start_age_ms: float | None = None  # since when it is back
    retry_after_ms: float = 0.0  # left of a told wait
    latency_mean_ms: float = 0.0
    latency_deviation_ms: float = 0.0
    answers: int = 0  # the latency counts as after so many; 0 = not known
    aware_relays: float = 1.0  # relays that may know of the outage
    rate: float = 0.0  # calls a second that a relay was held to by refusals; 0 = none were


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """From other relays or from before a restart, already weighed (knowledge.py)."""

    facts: tuple[RouteFacts, ...]
    connection_limited: tuple[
        tuple[int, float], ...
    ] = ()  # kind -> part of its answers that followed a missed connection


@dataclass(frozen=True, slots=True)
class GossipSent:
    """Another relay was told what this one knows of these (destination, route): it is a knower of their outages."""

    routes: tuple[tuple[int, int], ...]


Event = Union[
    EndpointList,
    Message,
    MessageRecovered,
    ShutdownStarted,
    AttemptEnded,
    HealthCheckEnded,
    ClientCancelled,
    TimerFired,
    GossipReceived,
    GossipSent,
]
