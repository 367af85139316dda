"""The vocabulary of linnetstile: what a relay is told (settings, events) and what it may do (actions)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union


class Effect(Enum):
    """What repeating a message may do at its destination."""

    SAFE = "safe"  # repeating changes nothing
    KEYED = "keyed"  # the destination drops repeats of its key for a while
    UNSAFE = "unsafe"  # every run has an effect


class Scope(Enum):
    """Which endpoints of a destination share the memory of a key."""

    ALL = "all"
    ZONE = "zone"
    ENDPOINT = "endpoint"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def proves_no_effect(self) -> bool:
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Listing(Enum):
    """What the list of endpoints says of one of them."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class Rates(Enum):
    """What the listed rates are worth."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"


class Decay(Enum):
    """How worth falls once the aim has passed."""

    LINE = "line"
    HALVES = "halves"


def _need(ok: bool, field: str, text: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {text}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    name: str
    effect: Effect
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.0
    key_window_ms: float = 0.0
    key_scope: Scope = Scope.ALL
    in_order: bool = False

    def __post_init__(self) -> None:
        _need(self.aim_ms > 0, "classes.aim_ms", "must be above 0")
        _need(self.deadline_ms > 0, "classes.deadline_ms", "must be above 0")
        _need(self.worth >= 0, "classes.worth", "must not be negative")
        _need(0 <= self.late_share <= 1, "classes.late_share", "must lie in 0 to 1")
        _need(self.key_window_ms >= 0, "classes.key_window_ms", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float  # over all relays

    def __post_init__(self) -> None:
        _need(
            isinstance(self.quota_per_s, (int, float)) and self.quota_per_s >= 0,
            "tenants.quota_per_s",
            "must be a number, not negative",
        )


@dataclass(frozen=True, slots=True)
class DestinationKind:
    name: str
    batch: int = 1  # messages in one call, at most
    routes_apart: bool = False  # each endpoint has its own limit, pace and outages

    def __post_init__(self) -> None:
        _need(self.batch >= 1, "kinds.batch", "must be 1 or more")


@dataclass(frozen=True, slots=True)
class Safety:
    """Figures of the rules."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0  # capacity left right after an outage
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1000.0
    ask_within_ms: float = 0.0
    key_rest_ms: float = 0.0

    def __post_init__(self) -> None:
        for field in self.__slots__:
            _need(getattr(self, field) >= 0, f"safety.{field}", "must not be negative")


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the parts of the result."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    slots: int  # calls out at once
    hold: int  # messages held at once
    attempts: int  # tries of one message
    relays: int = 1
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    decay: Decay = Decay.LINE
    rates: Rates = Rates.NONE
    ask_for_list: bool = False
    probing: bool = False
    cancelling: bool = False
    streams_per_connection: int = 1
    idle_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    tick_ms: float = 1.0
    marks_repeats: bool = False  # clients mark what they hand in again
    longest_advice_ms: float = 0.0  # longest stay-away a client heeds; 0 = no advice
    cross_zone_price: float = 0.0
    route_fees: tuple[float, ...] = ()  # by zone
    limit_report: tuple[int, int] | None = None  # where a report holds share left and limit a second
    safety: Safety = Safety()
    goal: Goal = Goal()

    def __post_init__(self) -> None:
        _need(bool(self.classes), "classes", "there must be at least one")
        for field in ("slots", "hold", "attempts", "relays", "streams_per_connection"):
            _need(getattr(self, field) >= 1, field, "must be 1 or more")
        for field in ("idle_ms", "connect_timeout_ms", "longest_advice_ms", "over_share_worth"):
            _need(getattr(self, field) >= 0, field, "must not be negative")
        _need(self.tick_ms > 0, "tick_ms", "must be above 0")


@dataclass(frozen=True, slots=True)
class Endpoint:
    id: int
    destination: int
    listing: Listing
    kind: int = 0
    zone: int = 0
    rate: float = 0.0  # listed calls a second for its destination (or route); see Rates


@dataclass(frozen=True, slots=True)
class EndpointList:
    kind: ListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Message:
    id: int
    destination: int
    class_: int
    left_ms: float
    tenant: int = 0
    key: int = 0  # 0 = none
    work_ms: float | None = None
    again: bool = False
    from_dead_relay: bool = False


@dataclass(frozen=True, slots=True)
class Resumed:
    """A message that an earlier process of this relay had taken on and not ended. Ages are by the clock on the wall."""

    message: Message  # its time left is as of now
    age_ms: float  # since it was handed in
    tries: int = 0  # attempts that were begun
    risk_ms: float | None = None  # since the first attempt that may have run began; None = none may have
    risk: Endpoint | None = None  # where that was


@dataclass(frozen=True, slots=True)
class Leaving:
    """This process ends: calls that are out then have an unclear outcome; what is held goes on in the next one."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    id: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    finished: bool = False
    wait_ms: float = 0.0  # told with Outcome.FULL
    no_slot: bool = False  # with Outcome.NOT_SENT
    report: tuple[float, ...] = ()
    reused: bool = False  # it went out on a connection that had been kept from an earlier call


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    endpoint: int
    outcome: Outcome
    latency_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Withdrawn:
    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class LaneFacts:
    """What is known of a destination (or route: its endpoint's id, else -1) that this relay has not called itself."""

    destination: int
    route: int = -1
    out_ms: float | None = None  # since when it is out
    cold_ms: float | None = None  # since when it is back
    wait_ms: float = 0.0  # left of a told wait
    mean_ms: float = 0.0
    dev_ms: float = 0.0
    answers: int = 0  # the latency counts as after so many; 0 = not known
    knowers: float = 1.0  # relays that may know of the outage
    pace: float = 0.0  # calls a second that a relay was held to by refusals; 0 = none were


@dataclass(frozen=True, slots=True)
class Learned:
    """From other relays or from before a restart, already weighed (knowledge.py)."""

    facts: tuple[LaneFacts, ...]
    few: tuple[tuple[int, float], ...] = ()  # kind -> part of its answers that followed a missed connection


@dataclass(frozen=True, slots=True)
class Shared:
    """Another relay was told what this one knows of these (destination, route): it is a knower of their outages."""

    lanes: tuple[tuple[int, int], ...]


Event = Union[EndpointList, Message, Resumed, Leaving, AttemptEnded, ProbeEnded, Withdrawn, TimerFired, Learned, Shared]


@dataclass(frozen=True, slots=True)
class Send:
    id: int
    endpoint: int
    give_up_at_ms: float
    hold_ms: float = 0.0  # its last byte is held back so long: a connection that ends before carried no call
    begin_by_ms: float = float("inf")  # its last byte leaves by then or not at all: NOT_SENT, or CONNECT_FAILED


@dataclass(frozen=True, slots=True)
class Refuse:
    """Not delivered, and trying again is harmless."""

    id: int
    stay_away_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Not delivered as far as known; promises nothing."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Recall:
    """The reason to send this one is gone: its attempt ends as NOT_SENT if its last byte has not left, or goes on. A
    connection can take a second to be made; where a call leaves at once, there is nothing to recall."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask discovery for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Union[Send, Refuse, Fail, Cancel, Recall, SetTimer, Probe, CloseIdle, WatchList, Log]
