"""The structure of scale.json. Its names are stable, as docs/CAPACITY.md and earlier results use them.

Names that differ from the terms of the code:

- `scene`: a scenario
- `hollow`: a simulated relay or reference model
- `real`: a relay process
- `cold`: a slow start; `falls`: overloads in it; `breaks`: overloads that break the rule
- `members`: the membership; `asks`: polls; `bare_bytes`: bytes of an answer without claims
- `telling`: gossip; `since_told_ms`: time since a relay could be notified
- `starts`: the restarts of a scenario
- `what`: the subject of a bound, or the kind of a change; `how`: the source of the value
- `each`: the results of all slow starts, one by one
"""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict


class SpreadJson(TypedDict):
    """Number of samples; if it is not 0, their median, 99th percentile, largest (`last`) and mean."""

    n: int
    median: NotRequired[float]
    p99: NotRequired[float]
    last: NotRequired[float]
    mean: NotRequired[float]


class ChangesJson(TypedDict):
    """Changes of the list in one scenario; times from a change until it is in force at a relay."""

    changes: int
    in_force_ms: SpreadJson
    since_told_ms: SpreadJson
    never: int
    later_than_bound: int


class OutagesJson(TypedDict):
    """Outages of destinations in use that begin in one scenario."""

    outages: int
    seconds_down: float
    pairs: int
    learned: int
    without_a_message: int
    learned_ms: SpreadJson
    back_known_ms: SpreadJson


class SlowStartJson(TypedDict):
    """The worst window of calls to one destination in slow start."""

    ratio: float
    calls: int
    by_relays_that_met_it: int
    budget: float
    all: int
    falls: bool
    breaks: bool
    lasted_ms: int
    met_by: int


class SlowStartsJson(TypedDict):
    """All slow starts of one scenario; optional fields are present only if the slow starts were judged."""

    returns: int
    judged: bool
    falls: NotRequired[int]
    breaks: NotRequired[int]
    worst_of_allowed: NotRequired[float]
    calls: int
    ratios: NotRequired[SpreadJson]
    worst: NotRequired[SlowStartJson | None]
    each: NotRequired[list[SlowStartJson]]


class StartsJson(TypedDict):
    """Restarts in one scenario and the backlogs that were recovered."""

    starts: int
    ready_ms: SpreadJson
    found: int
    ended_ms: SpreadJson
    largest_second_at_one: float
    listed_rate: float


class ControlJson(TypedDict):
    """Bytes of the watches in one scenario."""

    bytes_a_second: SpreadJson
    largest_second_a_machine: int | None
    mean_a_machine: int


class ScenarioMembershipJson(TypedDict):
    """What the observers of the membership noticed in one scenario."""

    scene: str
    pairs: int
    noticed: int
    after_ms: list[float]
    asks: int
    bytes: int


class MembershipJson(TypedDict, total=False):
    """The membership of the whole fleet; empty if it was not simulated."""

    asks: int
    largest_second: int
    bare_bytes: int
    cut_at_ms: float | None


class ScenarioJson(TypedDict):
    """What happened in one scenario."""

    scene: str
    seconds: float
    relays_down: int
    changes: ChangesJson
    outages: OutagesJson
    calls_down_a_second: float
    cold: SlowStartsJson
    starts: StartsJson
    control: ControlJson
    counts: dict[str, int]
    members: ScenarioMembershipJson | None


class SimulatedJson(TypedDict):
    """The figures that depend on the options and the program alone."""

    relays_played: int
    relays: int
    in_use: int
    lists_refused: int
    known_at_the_end: SpreadJson
    scenes: list[ScenarioJson]
    members: MembershipJson


class MeasuredJson(TypedDict):
    """Processor time and memory, which differ from run to run."""

    resume_us_a_message: float | None
    ms_a_turn: dict[str, float]
    turns: dict[str, int]
    control_share_of_a_core: float
    longest_turn_ms: dict[str, float]
    costs: list[dict[str, float]]
    peak_bytes: dict[str, int]
    peak_bytes_of_all: int


class ProcessMemoryJson(TypedDict):
    """Resident memory of a relay process in bytes."""

    now: int
    largest: int


class EndpointCountJson(TypedDict):
    """Endpoints that a relay process and its reference model know."""

    real: int
    hollow: int


class ChangeResultJson(TypedDict):
    """Where messages went at reference models and relay processes after one change."""

    version: int
    what: str
    expected: str
    hollow: list[str]
    hollow_ms: list[float]
    real: list[str]
    real_ms: list[float]


class BurstJson(TypedDict):
    """How relay processes handled many changes at once."""

    changes: int
    until_next_shows_ms: float
    cpu_s: list[float]


class BurstEntryJson(TypedDict, total=False):
    """The entry of a burst in a comparison; absent if the list was not accepted."""

    burst: BurstJson


class ComparisonJson(BurstEntryJson):
    """Comparison of relay processes with their reference models."""

    relays: int
    list_bytes: int
    list_taken_by_hollow: bool
    endpoints: list[EndpointCountJson]
    start_cpu_s: list[float]
    memory: list[ProcessMemoryJson]
    memory_small: ProcessMemoryJson
    changes: list[ChangeResultJson]
    reopened: list[str]
    since_version: bool
    sent_bytes: int
    watches: int
    seconds: float
    agrees: bool


class GossipForecastJson(TypedDict, total=False):
    """Cost of gossip in one relay at the target size; empty if no relay had a claim to share."""

    claim_bytes: float
    claims_a_round: int
    claims_most: int
    bytes_a_second: int


class ControlForecastJson(TypedDict, total=False):
    """Cost of the control plane in one relay at the target size; empty if no list was accepted."""

    memory_bytes: int
    list_bytes: int
    list_ms: float
    change_ms: float
    drain_ms: float
    bytes_a_second: float
    core_share: float
    list_at_bound_s: float
    machine_day_bytes_a_second: float
    machine_zone_back_bytes: int
    machine_joined_bytes: int
    backlog_resume_s: float


class BoundJson(TypedDict):
    """A bound that the users state, and the value that is compared with it."""

    what: str
    value: float
    bound: float
    unit: str
    ratio: float
    how: str


class ReportJson(TypedDict):
    """The whole of scale.json."""

    sizes: dict[str, Any]
    target: dict[str, int]
    simulated: SimulatedJson
    measured: MeasuredJson
    telling: GossipForecastJson
    compared: ComparisonJson | None
    left_out: dict[str, int]
    forecast: ControlForecastJson
    bounds: list[BoundJson]
