"""What one simulated relay did: the record that a worker process sends to the report."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Count(StrEnum):
    """Counters of each scenario; the values are their names in the report.

    Outcomes of attempts are counted as well, under the values of `Outcome`.
    """

    WATCHES = "watches"
    FULL_LISTS = "wholes"
    CHANGES = "changes"
    FULL_LIST_BYTES = "whole_bytes"
    CHANGE_BYTES = "change_bytes"
    MESSAGES = "messages"
    NOT_LISTED = "not_listed"
    LOST_WITH_STATE = "lost_with_folder"
    REJECTED = "refused"
    FAILED = "failed"
    CALLS = "calls"
    CALLS_DOWN = "calls_down"
    CALLS_DOWN_KNOWN = "calls_down_known"
    CALLS_GONE = "calls_gone"


class ScenarioCount(NamedTuple):
    """The key of a counter: the number of the scenario and the name of what is counted."""

    scenario: int
    name: str


class DestinationSecond(NamedTuple):
    """One second of the simulated clock at one destination."""

    destination: int
    second: int


class TurnKind(StrEnum):
    """What a turn of the engine was for; the values are the names in the report."""

    FULL_LIST = "whole"
    CHANGE = "change"
    MESSAGE = "message"
    ATTEMPT_ENDED = "ended"
    TIMER = "timer"
    RECOVERY = "resume"


@dataclass(frozen=True, slots=True)
class SlowStartCall:
    """A call to a destination in slow start after an outage.

    Attributes:
        outage: Number of the outage.
        at_ms: When the call began.
        had_met_outage: Whether an earlier call of the same relay had failed in the outage.
    """

    outage: int
    at_ms: float
    had_met_outage: bool


@dataclass(frozen=True, slots=True)
class RelayStart:
    """A start of a relay process that received its first list.

    Attributes:
        begin_ms: Start of the process.
        ready_ms: When it had read its first list.
        recovered: Messages that it recovered from its journal.
    """

    begin_ms: float
    ready_ms: float
    recovered: int


@dataclass(frozen=True, slots=True)
class BacklogEnd:
    """The end of a message of the backlog: the number of the scenario in which it ended, and the time."""

    scenario: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class GossipSize:
    """Number and size of the claims that a relay could advertise to its peers."""

    claims: int = 0
    bytes: int = 0


@dataclass(slots=True)
class RelayTrace:
    """What one relay did; times are simulated ms since the run began.

    Attributes:
        relay: Number of the relay.
        platform_fingerprint: Fingerprint of the platform model that it was simulated with.
        in_force_ms: By version of the list, when it was in force.
        believed_down_ms: By outage, when the engine took the destination to be down.
        believed_up_ms: By outage, the first success after it, if the relay had believed the destination down.
        outages_with_message: Outages in which it had a message for the destination.
        outages_met: Outages in which a call of this relay failed.
        slow_start_calls: Calls to destinations in slow start.
        starts: Starts of its process.
        backlog_ends: Ends of the messages of the backlog.
        backlog_calls: Calls for the backlog by destination and second.
        counts: What was counted, by scenario.
        control_bytes: Bytes of the watches by second.
        lists_refused: Lists that it refused.
        endpoint_count: Endpoints that it knew at the end.
        gossip: Claims that it could advertise to peers at the end.
        cpu_ns: Measured processor time by kind of turn.
        turns: Number of turns by kind.
        longest_list_turn_ns: Measured processor time of the longest turn with a list, by kind.
        is_cut_short: Whether the time limit of the run was reached before the end of the simulation.
    """

    relay: int
    platform_fingerprint: int
    in_force_ms: dict[int, float] = field(default_factory=dict)
    believed_down_ms: dict[int, float] = field(default_factory=dict)
    believed_up_ms: dict[int, float] = field(default_factory=dict)
    outages_with_message: set[int] = field(default_factory=set)
    outages_met: set[int] = field(default_factory=set)
    slow_start_calls: list[SlowStartCall] = field(default_factory=list)
    starts: list[RelayStart] = field(default_factory=list)
    backlog_ends: list[BacklogEnd] = field(default_factory=list)
    backlog_calls: Counter[DestinationSecond] = field(default_factory=Counter)
    counts: Counter[ScenarioCount] = field(default_factory=Counter)
    control_bytes: Counter[int] = field(default_factory=Counter)
    lists_refused: int = 0
    endpoint_count: int = 0
    gossip: GossipSize = field(default_factory=GossipSize)
    cpu_ns: Counter[TurnKind] = field(default_factory=Counter)
    turns: Counter[TurnKind] = field(default_factory=Counter)
    longest_list_turn_ns: Counter[TurnKind] = field(default_factory=Counter)
    is_cut_short: bool = False
