"""The structure of scale.json: its names are stable, as docs/CAPACITY.md and earlier results use them.

Names that differ from the terms of the code: `scene` is a scenario, `hollow` a simulated relay or reference model,
`real` a relay process, `members` the membership, `telling` gossip, `starts` what the restarts of a scenario did.
"""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

SpreadJson = dict[str, Any]
"""`n`, and if it is not 0 `median`, `p99`, `last` and `mean`."""


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


class ColdReturnJson(TypedDict):
    """The worst window of calls to one destination that came back cold."""

    ratio: float
    calls: int
    by_relays_that_met_it: int
    budget: float
    all: int
    falls: bool
    breaks: bool
    lasted_ms: int
    met_by: int


class ColdReturnsJson(TypedDict):
    """All cold returns of one scenario; what is not required is there only if they are judged."""

    returns: int
    judged: bool
    falls: NotRequired[int]
    breaks: NotRequired[int]
    worst_of_allowed: NotRequired[float]
    calls: int
    ratios: NotRequired[SpreadJson]
    worst: NotRequired[ColdReturnJson | None]
    each: NotRequired[list[ColdReturnJson]]


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


class ScenarioJson(TypedDict):
    """One scenario."""

    scene: str
    seconds: float
    relays_down: int
    changes: ChangesJson
    outages: OutagesJson
    calls_down_a_second: float
    cold: ColdReturnsJson
    starts: StartsJson
    control: ControlJson
    counts: dict[str, int]
    members: dict[str, Any] | None


class SimulatedJson(TypedDict):
    """The figures that follow from options and program alone."""

    relays_played: int
    relays: int
    in_use: int
    lists_refused: int
    known_at_the_end: SpreadJson
    scenes: list[ScenarioJson]
    members: dict[str, Any]


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


class BoundJson(TypedDict):
    """A bound that the users state, beside what was found."""

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
    telling: dict[str, float]
    compared: dict[str, Any] | None
    left_out: dict[str, int]
    forecast: dict[str, float]
    bounds: list[BoundJson]
