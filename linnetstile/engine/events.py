"""Events that a host reports to the decision engine. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Union


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
        """Whether it is certain that the message has not run."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an endpoint list holds."""

    CHANGES = "changes"  # what has changed since the one before
    FULL = "whole"  # all endpoints
    CACHED = "cached"  # all endpoints as the relay last had them; may be old
    FAILED = "failed"  # nothing: discovery did not answer


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        id: Its number.
        destination: The destination that it serves.
        status: Whether it takes new calls.
        kind: Index of the destination's kind in the settings.
        zone: Index of its zone.
        advertised_rate: Calls a second for its destination (or route); see `RateTrust`.
    """

    id: int
    destination: int
    status: EndpointStatus
    kind: int = 0
    zone: int = 0
    advertised_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An endpoint list, or changes to it, has arrived."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Message:
    """A client has submitted a message.

    Attributes:
        id: Its number, never used before.
        destination: Where it is to be delivered.
        class_index: Its class in the settings.
        remaining_ms: Time left until its deadline.
        tenant: Index of its tenant in the settings.
        ordering_key: Messages of a class in order that share it keep their order; 0 = none.
        estimated_work_ms: Work at the destination, if the client says so.
        is_retry: Whether its client marks it as submitted again after a rejection.
        from_dead_relay: Whether a relay that died, or did not answer, had it before.
    """

    id: int
    destination: int
    class_index: int
    remaining_ms: float
    tenant: int = 0
    ordering_key: int = 0
    estimated_work_ms: float | None = None
    is_retry: bool = False
    from_dead_relay: bool = False


@dataclass(frozen=True, slots=True)
class MessageRecovered:
    """A restart has recovered a message that an earlier process accepted and did not end. Ages are by the wall clock.

    Attributes:
        message: The message; its time left is as of now.
        age_ms: Time since it was submitted.
        attempts: Attempts that were started.
        unclear_age_ms: Time since the first attempt that may have run; None = none may have.
        unclear_endpoint: Where that was.
    """

    message: Message
    age_ms: float
    attempts: int = 0
    unclear_age_ms: float | None = None
    unclear_endpoint: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process ends soon: calls in flight then have an unclear outcome; the next process recovers pending messages.

    Attributes:
        within_ms: Time until its end.
    """

    within_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome.

    Attributes:
        id: The message.
        attempt: Which of its attempts, counted from 0.
        endpoint: Where it went.
        outcome: How it ended.
        latency_ms: Time from its start.
        is_final: Whether the message has ended with it.
        retry_after_ms: Retry-After that came with `Outcome.REJECTED`; 0 = none.
        slots_exhausted: Whether the call was `Outcome.NOT_SENT` because all slots of the relay were occupied.
        load_report: Figures that the answer carried; the settings say which is which.
        connection_reused: Whether it was sent on a connection of an earlier call.
    """

    id: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    is_final: bool = False
    retry_after_ms: float = 0.0
    slots_exhausted: bool = False
    load_report: tuple[float, ...] = ()
    connection_reused: bool = False


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has its outcome."""

    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientCancelled:
    """The client has cancelled its message."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that `SetTimer` set has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """What gossip says of a route that this relay has not called itself.

    Attributes:
        destination: The destination.
        route: The endpoint's id where endpoints have routes of their own, else -1.
        outage_age_ms: Time since its outage began; None = it has none.
        slow_start_age_ms: Time since it recovered from an outage; None = it did not.
        retry_after_ms: What is left of a Retry-After; 0 = nothing.
        latency_mean_ms: Mean latency.
        latency_deviation_ms: Mean deviation from it.
        answers: How many answers the latency counts as; 0 = it is not known.
        aware_relays: Relays that may know of the outage.
        rate: Calls a second to which rejections throttled a relay; 0 = none did.
    """

    destination: int
    route: int = -1
    outage_age_ms: float | None = None
    slow_start_age_ms: float | None = None
    retry_after_ms: float = 0.0
    latency_mean_ms: float = 0.0
    latency_deviation_ms: float = 0.0
    answers: int = 0
    aware_relays: float = 1.0
    rate: float = 0.0


class ConnectionLimit(NamedTuple):
    """How far the endpoints of one kind limit their connections.

    Attributes:
        kind: Index of the destination kind in the settings.
        ratio: Fraction of its answers that followed a failed connect.
    """

    kind: int
    ratio: float


class RouteKey(NamedTuple):
    """What identifies a route: its destination, and an endpoint's id where each endpoint has its own route, else -1."""

    destination: int
    route_id: int


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Gossip of other relays, or a snapshot from before a restart, as merged by `gossip.merge_claims`.

    Attributes:
        facts: What is known of each route.
        connection_limited: What is known of the connection limit of each kind.
    """

    facts: tuple[RouteFacts, ...]
    connection_limited: tuple[ConnectionLimit, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipSent:
    """Another relay has been notified of what this one knows of these routes, so it is aware of their outages."""

    routes: tuple[RouteKey, ...]


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
