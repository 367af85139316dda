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
    """State of an endpoint according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an endpoint list contains."""

    CHANGES = "changes"  # the changes since the previous list
    FULL = "whole"  # all endpoints
    CACHED = "cached"  # all endpoints from the relay's cache; may be out of date
    FAILED = "failed"  # no endpoints: discovery did not answer


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        id: Id of the endpoint.
        destination: The destination that it serves.
        status: Whether it accepts new calls.
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
        id: Unique id of the message.
        destination: Destination that it is to be delivered to.
        class_index: Index of its class in the settings.
        remaining_ms: Time left until its deadline.
        tenant: Index of its tenant in the settings.
        ordering_key: Messages of an in-order class with the same key are delivered in order; 0 = no key.
        estimated_work_ms: Work at the destination, if the client gives an estimate.
        is_retry: Whether its client marks it as submitted again after a rejection.
        from_dead_relay: Whether it was previously with a relay that died or did not answer.
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
    """A message that an earlier process accepted but did not end was recovered after a restart.

    Ages are measured on the wall clock.

    Attributes:
        message: The message, with the time left as of now.
        age_ms: Time since it was submitted.
        attempts: Number of attempts that were started.
        unclear_age_ms: Time since the first attempt that may have run; None = no attempt may have run.
        unclear_endpoint: Endpoint of the first attempt that may have run.
    """

    message: Message
    age_ms: float
    attempts: int = 0
    unclear_age_ms: float | None = None
    unclear_endpoint: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process is shutting down.

    Calls that are still in flight when it ends have an unclear outcome; the next process recovers pending messages.

    Attributes:
        remaining_ms: Time until the process ends.
    """

    remaining_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        id: Id of the message.
        attempt: Number of the attempt, counted from 0 for each message.
        endpoint: Id of the endpoint that was called.
        outcome: How the attempt ended.
        latency_ms: Time since the attempt started.
        is_final: Whether the message has ended with this attempt.
        retry_after_ms: Retry-After that came with `Outcome.REJECTED`; 0 = none.
        slots_exhausted: Whether the call was `Outcome.NOT_SENT` because all slots of the relay were occupied.
        load_report: Figures that the answer carried; `Settings.load_report_fields` gives their meaning.
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
    """A health check has ended."""

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
    """Knowledge from gossip about a route that this relay has not called itself.

    Attributes:
        destination: The destination.
        route: The endpoint's id where each endpoint has its own route, else -1.
        outage_age_ms: Time since its outage began; None = no outage.
        slow_start_age_ms: Time since it recovered from an outage; None = no recovery is known.
        retry_after_ms: Remaining time of a Retry-After; 0 = none applies.
        latency_mean_ms: Mean latency.
        latency_deviation_ms: Mean deviation of the latency from its mean.
        answers: Number of answers that the latency counts as; 0 = the latency is not known.
        aware_relays: Number of relays that may know of the outage.
        rate: Calls a second to which rejections throttled a relay; 0 = not throttled.
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
    """Evidence that the endpoints of one kind limit their connections.

    Attributes:
        kind: Index of the destination kind in the settings.
        ratio: Fraction of the successes of the kind that came soon after a failed connect.
    """

    kind: int
    ratio: float


class RouteKey(NamedTuple):
    """Identifies a route: its destination, and the endpoint's id where each endpoint has its own route, else -1."""

    destination: int
    route_id: int


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Gossip of other relays, or a snapshot from before a restart, as merged by `gossip.merge_claims`.

    Attributes:
        facts: Knowledge about each route.
        connection_limits: Evidence of a connection limit, by kind.
    """

    facts: tuple[RouteFacts, ...]
    connection_limits: tuple[ConnectionLimit, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipSent:
    """Another relay has received this relay's knowledge of these routes, so it is aware of their outages."""

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
