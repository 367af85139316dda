"""The simulated section of the report: what happened in each scenario. The same seed gives the same values."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .fleet import FleetResult
from .platform_model import Outage, PlatformModel, Scenario
from .report_schema import (
    ChangesJson,
    ControlJson,
    OutagesJson,
    ScenarioJson,
    ScenarioMembershipJson,
    SimulatedJson,
    StartsJson,
)
from .report_statistics import spread
from .slow_start_returns import evaluate_slow_starts
from .trace import Count, DestinationSecond, RelayTrace
from .workload import DISCOVERY_MACHINES, KEEPALIVE_BYTES_PER_S, LISTED_RATE, region_of

CHANGE_IN_FORCE_BOUND_MS = 4_000.0
"""The users' bound on the time from a change until it is in force at a relay."""
WHOLE_FLEET_SHARE = 0.95
"""Share of the relays that has to be simulated for the load of the whole fleet to be judged."""
CHANGE_GRACE_MS = 6_000.0
"""Relays that end within this time after a change are not counted for it: they may not have received it."""
BACKLOG_TAIL_MS = 60_000
"""Time after the end of a scenario for which calls for its backlog are still counted."""


@dataclass(slots=True)
class ScenarioSamples:
    """Samples of one scenario for the plots, in ms."""

    notified_ms: list[float] = field(default_factory=list)
    believed_down_ms: list[float] = field(default_factory=list)


@dataclass(slots=True)
class FleetView:
    """What the sections of the report are calculated from.

    Attributes:
        platform: The simulated platform.
        traces: Traces of the relays that were simulated to the end.
        scale: Number of relays of the fleet per simulated relay.
    """

    platform: PlatformModel
    traces: list[RelayTrace]
    scale: float

    @classmethod
    def of(cls, platform: PlatformModel, fleet_result: FleetResult) -> FleetView:
        """Return the view of a simulated fleet."""
        traces = [trace for trace in fleet_result.traces if not trace.is_cut_short]
        return cls(platform, traces, platform.options.relays / max(1, len(traces)))

    @property
    def is_whole_fleet(self) -> bool:
        """Whether enough relays were simulated for the whole fleet to be judged."""
        return len(self.traces) >= WHOLE_FLEET_SHARE * self.platform.options.relays


def build_simulated(
    platform: PlatformModel, fleet_result: FleetResult
) -> tuple[SimulatedJson, dict[str, ScenarioSamples]]:
    """Return the simulated section, and samples for the plots by scenario."""
    view = FleetView.of(platform, fleet_result)
    samples = {scenario.name: ScenarioSamples() for scenario in platform.scenarios}
    membership = fleet_result.membership
    rows = [
        _scenario(view, fleet_result, number, samples[scenario.name])
        for number, scenario in enumerate(platform.scenarios)
    ]
    return {
        "relays_played": len(view.traces),
        "relays": platform.options.relays,
        "in_use": len(platform.destinations_in_use),
        "lists_refused": sum(trace.lists_refused for trace in view.traces),
        "known_at_the_end": spread(trace.endpoint_count for trace in view.traces),
        "scenes": rows,
        "members": membership.to_json() if membership else {},
    }, samples


def _scenario(view: FleetView, fleet_result: FleetResult, number: int, samples: ScenarioSamples) -> ScenarioJson:
    scenario = view.platform.scenarios[number]
    outages = _outages(view, scenario, samples)
    counts = _counts(view.traces, number)
    seconds_down = outages["seconds_down"]
    calls_down = counts.get(Count.CALLS_DOWN.value, 0)
    return {
        "scene": scenario.name,
        "seconds": (scenario.end_ms - scenario.begin_ms) / 1000,
        "relays_down": len(scenario.failed_relays),
        "changes": _changes(view, scenario, samples),
        "outages": outages,
        "calls_down_a_second": round(view.scale * calls_down / seconds_down, 3) if seconds_down else 0.0,
        "cold": evaluate_slow_starts(
            view.platform, _outages_in_use(view.platform, scenario), view.traces, view.is_whole_fleet
        ),
        "starts": _starts(view, scenario),
        "control": _control(view, scenario),
        "counts": counts,
        "members": _membership(fleet_result, scenario),
    }


def _counts(traces: list[RelayTrace], number: int) -> dict[str, int]:
    """Return the counts of all relays in a scenario, by name."""
    counts: Counter[str] = Counter()
    for trace in traces:
        for counted, count in trace.counts.items():
            if counted.scenario == number:
                counts[str(counted.name)] += count
    return dict(sorted(counts.items()))


def _membership(fleet_result: FleetResult, scenario: Scenario) -> ScenarioMembershipJson | None:
    rows = fleet_result.membership.scenarios if fleet_result.membership else []
    return next((row.to_json() for row in rows if row.scenario == scenario.name), None)


def _changes(view: FleetView, scenario: Scenario, samples: ScenarioSamples) -> ChangesJson:
    """Report the time from each change until it is in force at each relay that was up.

    `since_told_ms` and the samples for the plot count from the moment at which the relay could reach discovery, if that
    is later than the change.
    """
    platform = view.platform
    changes = [change for change in platform.discovery.changes if scenario.contains(change.at_ms)]
    in_force_ms: list[float] = []
    never = 0
    for change in changes:
        for trace in view.traces:
            if not platform.is_up_throughout(trace.relay, change.at_ms, change.at_ms + CHANGE_GRACE_MS):
                continue
            if change.version in trace.in_force_ms:
                at_ms = trace.in_force_ms[change.version]
                in_force_ms.append(at_ms - change.at_ms)
                samples.notified_ms.append(at_ms - platform.discovery_reachable_at(trace.relay, change.at_ms))
            else:
                never += 1
    return {
        "changes": len(changes),
        "in_force_ms": spread(in_force_ms),
        "since_told_ms": spread(samples.notified_ms),
        "never": never,
        "later_than_bound": sum(ms > CHANGE_IN_FORCE_BOUND_MS for ms in samples.notified_ms),
    }


def _outages_in_use(platform: PlatformModel, scenario: Scenario) -> list[Outage]:
    in_use = set(platform.destinations_in_use)
    return [
        outage for outage in platform.outages if outage.destination in in_use and scenario.contains(outage.begin_ms)
    ]


def _outages(view: FleetView, scenario: Scenario, samples: ScenarioSamples) -> OutagesJson:
    """Report when the relays learned of outages, each relay from its own calls.

    A pair is an outage and a relay that was up throughout it and whose calls could meet it.
    """
    believed_up_ms: list[float] = []
    pairs = 0
    without_message = 0
    seconds_down = 0.0
    outages = _outages_in_use(view.platform, scenario)
    for outage in outages:
        seconds_down += (outage.end_ms - outage.begin_ms) / 1000
        for trace in _relays_that_could_meet(view, outage):
            pairs += 1
            if outage.number in trace.believed_down_ms:
                samples.believed_down_ms.append(trace.believed_down_ms[outage.number] - outage.begin_ms)
            elif outage.number not in trace.outages_with_message:
                without_message += 1
            if outage.number in trace.believed_up_ms:
                believed_up_ms.append(trace.believed_up_ms[outage.number] - outage.end_ms)
    return {
        "outages": len(outages),
        "seconds_down": round(seconds_down, 1),
        "pairs": pairs,
        "learned": len(samples.believed_down_ms),
        "without_a_message": without_message,
        "learned_ms": spread(samples.believed_down_ms),
        "back_known_ms": spread(believed_up_ms),
    }


def _relays_that_could_meet(view: FleetView, outage: Outage) -> list[RelayTrace]:
    return [
        trace
        for trace in view.traces
        if outage.affects_calls_from(region_of(trace.relay))
        and view.platform.is_up_throughout(trace.relay, outage.begin_ms, outage.end_ms)
    ]


def _starts(view: FleetView, scenario: Scenario) -> StartsJson:
    """Report the restarts in a scenario, the recovered messages, and the calls for backlogs."""
    starts = [
        start
        for trace in view.traces
        for start in trace.starts
        if start.begin_ms > 0 and scenario.contains(start.begin_ms)
    ]
    ends_ms = [
        end.at_ms - scenario.failed_at_ms
        for trace in view.traces
        for end in trace.backlog_ends
        if view.platform.scenarios[end.scenario] is scenario
    ]
    return {
        "starts": len(starts),
        "ready_ms": spread(start.ready_ms - start.begin_ms for start in starts),
        "found": sum(start.recovered for start in starts),
        "ended_ms": spread(ends_ms),
        "largest_second_at_one": round(view.scale * _peak_backlog_calls(view.traces, scenario), 1),
        "listed_rate": round(LISTED_RATE, 1),
    }


def _peak_backlog_calls(traces: list[RelayTrace], scenario: Scenario) -> int:
    """Return the most calls for backlogs that one destination got in one second from the simulated relays."""
    calls: Counter[DestinationSecond] = Counter()
    for trace in traces:
        for key, count in trace.backlog_calls.items():
            if scenario.begin_ms <= key.second * 1000 < scenario.end_ms + BACKLOG_TAIL_MS:
                calls[key] += count
    return max(calls.values(), default=0)


def _control(view: FleetView, scenario: Scenario) -> ControlJson:
    """Report the bytes of the watches.

    The rate of a relay is its mean over the seconds in which it was up. The rates of a machine of discovery are scaled
    up to the whole fleet.
    """
    rates: list[float] = []
    by_second: Counter[int] = Counter()
    for trace in view.traces:
        received = 0
        for second, size in trace.control_bytes.items():
            if scenario.contains(second * 1000):
                received += size
                by_second[second] += size
        if seconds_up := view.platform.seconds_up(trace.relay, scenario.begin_ms, scenario.end_ms):
            rates.append(received / seconds_up + KEEPALIVE_BYTES_PER_S)
    largest = max(by_second.values(), default=0)
    mean = sum(by_second.values()) * 1000 / (scenario.end_ms - scenario.begin_ms)
    # The largest second of a part of the fleet can't be scaled up: the start of one relay would count as several starts
    # at once.
    is_whole_fleet = view.scale * WHOLE_FLEET_SHARE <= 1
    return {
        "bytes_a_second": spread(rates),
        "largest_second_a_machine": round(view.scale * largest / DISCOVERY_MACHINES) if is_whole_fleet else None,
        "mean_a_machine": round(view.scale * mean / DISCOVERY_MACHINES),
    }
