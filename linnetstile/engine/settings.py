"""Settings of the decision engine: message classes, destination kinds, limits and safety rules.

Error texts name the fields of the settings object as users write them, not the attributes here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..errors import ConfigError


class Effect(Enum):
    """What a second run of the same message does at its destination."""

    IDEMPOTENT = "safe"  # a second run changes nothing
    DEDUPLICATED = "keyed"  # the destination drops a repeated key within the deduplication window
    NON_IDEMPOTENT = "unsafe"  # every run has an effect


class DeduplicationScope(Enum):
    """Which endpoints of a destination share the remembered deduplication keys."""

    ALL = "all"
    ZONE = "zone"
    ENDPOINT = "endpoint"


class RateTrust(Enum):
    """How accurate the rates in the endpoint list are."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"


class ValueDecay(Enum):
    """How the value of a message falls once its latency objective has passed."""

    LINEAR = "line"
    HALF_LIFE = "halves"


def _require(condition: bool, field: str, expected: str) -> None:
    if not condition:
        raise ConfigError(f"{field}: {expected}", field=field, expected=expected)


@dataclass(frozen=True, slots=True)
class MessageClass:
    """Settings of all messages of one class.

    Attributes:
        name: The class name that clients send.
        effect: Whether a message may be repeated after an unclear outcome.
        latency_objective_ms: Latency up to which a delivery has its full value.
        deadline_ms: Time from the submission within which a message must get its final answer.
        priority_weight: Value of one delivery within the latency objective.
        late_value_fraction: Fraction of the full value that a delivery just before the deadline still has.
        deduplication_window_ms: Time for which a destination remembers a key.
        deduplication_scope: Which endpoints of a destination share the remembered keys.
        in_order: Whether messages with the same ordering key are delivered in the order of arrival.
    """

    name: str
    effect: Effect
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0
    deduplication_window_ms: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    in_order: bool = False

    def __post_init__(self) -> None:
        _require(self.latency_objective_ms > 0, "classes.aim_ms", "must be above 0")
        _require(self.deadline_ms > 0, "classes.deadline_ms", "must be above 0")
        _require(self.priority_weight >= 0, "classes.worth", "must not be negative")
        _require(0 <= self.late_value_fraction <= 1, "classes.late_share", "must lie in 0 to 1")
        _require(self.deduplication_window_ms >= 0, "classes.key_window_ms", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a quota of messages a second over all relays."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        is_valid = isinstance(self.quota_per_s, (int, float)) and self.quota_per_s >= 0
        _require(is_valid, "tenants.quota_per_s", "must be a number that is not negative")


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """Settings of all destinations of one kind.

    Attributes:
        name: The name in the settings.
        max_batch: Messages that one call may carry.
        separate_routes: Whether each endpoint has its own limit, rate and outages.
    """

    name: str
    max_batch: int = 1
    separate_routes: bool = False

    def __post_init__(self) -> None:
        _require(self.max_batch >= 1, "kinds.batch", "must be 1 or more")


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Limits of the delivery rules, all from the operators' settings.

    Attributes:
        answer_slack_ms: Time after the deadline within which a final answer still counts.
        drain_grace_ms: Time for which a call to a draining endpoint is still allowed.
        slow_start_fraction: Capacity of a destination right after an outage, as a fraction of its full capacity.
        slow_start_ms: Time after an outage until a destination has its full capacity again.
        overload_multiple: Load, as a multiple of the slow-start capacity, that makes the destination fail again.
        overload_window_ms: Window over which the load of a destination in slow start is counted.
        poll_within_ms: Time within which discovery has to be polled again after a failed poll.
        ordering_pause_ms: Pause of an ordering key after a call that the destination may still be working on.
    """

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_fraction: float = 1.0
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 1000.0
    poll_within_ms: float = 0.0
    ordering_pause_ms: float = 0.0

    def __post_init__(self) -> None:
        for field, value in (
            ("answer_slack_ms", self.answer_slack_ms),
            ("drain_grace_ms", self.drain_grace_ms),
            ("cold_share", self.slow_start_fraction),
            ("cold_ms", self.slow_start_ms),
            ("fall_multiple", self.overload_multiple),
            ("fall_ms", self.overload_window_ms),
            ("ask_within_ms", self.poll_within_ms),
            ("key_rest_ms", self.ordering_pause_ms),
        ):
            _require(value >= 0, f"safety.{field}", "must not be negative")


@dataclass(frozen=True, slots=True)
class ScoreWeights:
    """Weights of the components of the operators' score."""

    whole_day: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


class LoadReportFields(NamedTuple):
    """Indexes of the figures in a load report that the engine uses.

    Attributes:
        remaining: Index of the fraction of the rate limit that is left.
        limit: Index of the rate limit in calls a second.
    """

    remaining: int
    limit: int


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a decision engine.

    Attributes:
        classes: Message classes; a message names one by its index.
        kinds: Destination kinds; an endpoint names one by its index.
        max_in_flight: Calls that may be in flight at once.
        max_pending_messages: Messages that may be pending at once.
        max_attempts: Maximum number of attempts for one message.
        relay_count: Number of relays that share the destinations.
        zone: Index of the relay's own zone.
        tenants: Tenants; a message names one by its index.
        over_quota_value_factor: Factor on the value of a message above its tenant's quota.
        value_decay: How the value of a message falls after the latency objective.
        rate_trust: How accurate the rates in the endpoint list are.
        polls_for_list: Whether the engine has to poll for the endpoint list.
        probing: Whether health checks are possible.
        cancelling: Whether calls can be cancelled.
        streams_per_connection: Calls that one connection carries at once.
        idle_timeout_ms: Idle time after which an endpoint closes a connection.
        connect_timeout_ms: Time after which a connection attempt has failed.
        tick_ms: Resolution of the host's clock and timers.
        clients_mark_retries: Whether clients mark a message that they submit again.
        max_retry_after_ms: Longest Retry-After that clients honour; 0 = clients ignore Retry-After.
        cross_zone_price: Fee of a call into another zone.
        route_fees: Fee of a call, by zone index.
        load_report_fields: Indexes of the figures that are read from a load report; None = load reports are not used.
        safety: Limits of the delivery rules.
        score_weights: Weights of the components of the score.
    """

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    max_in_flight: int
    max_pending_messages: int
    max_attempts: int
    relay_count: int = 1
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_value_factor: float = 1.0
    value_decay: ValueDecay = ValueDecay.LINEAR
    rate_trust: RateTrust = RateTrust.NONE
    polls_for_list: bool = False
    probing: bool = False
    cancelling: bool = False
    streams_per_connection: int = 1
    idle_timeout_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    tick_ms: float = 1.0
    clients_mark_retries: bool = False
    max_retry_after_ms: float = 0.0
    cross_zone_price: float = 0.0
    route_fees: tuple[float, ...] = ()
    load_report_fields: LoadReportFields | None = None
    safety: SafetyLimits = SafetyLimits()
    score_weights: ScoreWeights = ScoreWeights()

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "there must be at least one")
        for field, count in (
            ("slots", self.max_in_flight),
            ("hold", self.max_pending_messages),
            ("attempts", self.max_attempts),
            ("relays", self.relay_count),
            ("streams_per_connection", self.streams_per_connection),
        ):
            _require(count >= 1, field, "must be 1 or more")
        for field, value in (
            ("idle_ms", self.idle_timeout_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("longest_advice_ms", self.max_retry_after_ms),
            ("over_share_worth", self.over_quota_value_factor),
        ):
            _require(value >= 0, field, "must not be negative")
        _require(self.tick_ms > 0, "tick_ms", "must be above 0")
