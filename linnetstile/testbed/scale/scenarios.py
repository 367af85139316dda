"""Builds the scenarios of a scale run in sequence on one time line; each has its own random number generator."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from .discovery_model import ChangeKind
from .downtime import Downtime, Downtimes, lifetimes_between
from .options import (
    BACKLOG_RESTART_SCENARIO,
    DAY_SCENARIO,
    PARTITION_SCENARIO,
    RACK_FAILURE_SCENARIO,
    ZONE_FAILURE_SCENARIO,
    ScaleOptions,
)
from .platform_model import PlannedOutage, PlatformModel, Scenario, TimeSpan
from .workload import OUTAGE_KIND_MIX, ZONES, OutageKind, region_of, zone_of

SETTLE_MS = 12_000.0
"""Time before the first scenario, in which relays read the list and destinations in use get their first calls."""
GAP_MS = 20_000.0
"""Time between two scenarios: twice the time for which the engine trusts its evidence."""
FAILURE_DELAY_MS = 5_000.0
"""Time from the start of a scenario to its failure."""
RECOVERY_MS = 40_000.0
"""Time from the end of a failure to the end of its scenario."""
RACK_FAILURE_MS = 90_000.0
BACKLOG_RESTART_MS = 90_000.0

UNAVAILABLE_SHARE = 0.019
"""Share of the destinations that are down at any time of an ordinary day."""
MEAN_OUTAGE_MS = 60_000.0
"""Mean length of the outages of an ordinary day; exponentially distributed, at most `LONGEST_OUTAGE_MS` (an hour)."""
LONGEST_OUTAGE_MS = 3.6e6
RESTART_MS = 700.0, 4_000.0
"""Range of the time between the end of a process and its restart."""

DAY_FAILURE_DELAY_MS = 10_000.0
DAY_LAST_CHANGE_MS = 5_000.0
"""Time before the end of the day scenario without changes, so that the last ones come into force within it."""
DAY_LAST_RESTART_MS = 10_000.0
SECONDS_A_DAY = 86_400
REJOIN_MS = 1_000.0
"""Time after the end of a partition within which discovery receives the changes made in the other region."""

CHANGE_MIX = (
    ChangeKind.NEW_WEIGHT,
    ChangeKind.NEW_WEIGHT,
    ChangeKind.REPLACED,
    ChangeKind.REPLACED,
    ChangeKind.DRAINED,
    ChangeKind.ADDED,
)
"""Kinds of the random changes, in the proportion in which they are drawn."""


ScenarioBuilder = Callable[[PlatformModel, Scenario, random.Random, Downtimes], None]


def build(options: ScaleOptions, ports: tuple[int, int] | None = None) -> PlatformModel:
    """Draw the simulated platform of a run.

    Args:
        options: Options of the run.
        ports: Loopback ports of all endpoints; None = the endpoints have made-up addresses that are never called.
    """
    platform = PlatformModel(options, ports)
    lengths = _scenario_lengths(options)
    downtimes: Downtimes = {relay: [] for relay in range(options.relays)}
    _choose_destinations(platform, lengths[DAY_SCENARIO] if DAY_SCENARIO in options.scenes else 0.0)
    begin_ms = SETTLE_MS
    for name in options.scenes:
        scenario = Scenario(name, begin_ms, begin_ms + lengths[name])
        platform.scenarios.append(scenario)
        BUILDERS[name](platform, scenario, random.Random(f"{options.seed}:{name}"), downtimes)
        begin_ms = scenario.end_ms + GAP_MS
    platform.end_ms = begin_ms
    for relay, relay_downtimes in downtimes.items():
        platform.lifetimes[relay] = lifetimes_between(relay_downtimes, platform.end_ms)
    return platform


def _scenario_lengths(options: ScaleOptions) -> dict[str, float]:
    """Return the length of each scenario in ms."""
    return {
        DAY_SCENARIO: options.day_s * 1e3,
        RACK_FAILURE_SCENARIO: RACK_FAILURE_MS,
        ZONE_FAILURE_SCENARIO: options.zone_s * 1e3 + RECOVERY_MS,
        PARTITION_SCENARIO: options.parted_s * 1e3 + RECOVERY_MS,
        BACKLOG_RESTART_SCENARIO: BACKLOG_RESTART_MS,
    }


def _choose_destinations(platform: PlatformModel, day_ms: float) -> None:
    """Draw the outages of an ordinary day for all destinations, then the destinations that are in use.

    Half of the destinations in use have such an outage, or fewer if there are not enough outages; the others are chosen
    so that the zones have about equal numbers of destinations in use.
    """
    options = platform.options
    rng = random.Random(f"{options.seed}:use")
    platform.planned_outages = _draw_outages(options, day_ms, rng)
    with_outage = sorted(platform.planned_outages)
    chosen = rng.sample(with_outage, min(len(with_outage), options.in_use // 2))
    chosen_per_zone = Counter(zone_of(destination) for destination in chosen)
    candidates: list[list[int]] = [[] for _ in range(ZONES)]  # by zone
    for destination in rng.sample(range(options.destinations), options.destinations):
        if destination not in platform.planned_outages:
            candidates[zone_of(destination)].append(destination)
    while len(chosen) < options.in_use and any(candidates):
        zones = [zone for zone in range(ZONES) if candidates[zone]]
        zone = min(zones, key=lambda zone: (chosen_per_zone[zone], zone))
        chosen.append(candidates[zone].pop())
        chosen_per_zone[zone] += 1
    platform.destinations_in_use = sorted(chosen)


def _draw_outages(options: ScaleOptions, day_ms: float, rng: random.Random) -> dict[int, PlannedOutage]:
    """Draw the first outage of each destination that has one within the day; return these outages by destination."""
    outages: dict[int, PlannedOutage] = {}
    mean_time_between_ms = MEAN_OUTAGE_MS * (1 / UNAVAILABLE_SHARE - 1)
    for destination in range(options.destinations if day_ms else 0):
        begin_ms = 0.0 if rng.random() < UNAVAILABLE_SHARE else rng.expovariate(1 / mean_time_between_ms)
        if begin_ms < day_ms:
            length_ms = rng.expovariate(1 / MEAN_OUTAGE_MS)
            end_ms = min(begin_ms + length_ms, day_ms + GAP_MS / 2, begin_ms + LONGEST_OUTAGE_MS)
            outages[destination] = PlannedOutage(begin_ms, end_ms, rng.choice(OUTAGE_KIND_MIX))
    return outages


@dataclass(frozen=True, slots=True, order=True)
class _DrawnChange:
    """A change whose kind has not been drawn yet.

    Attributes:
        at_ms: Time at which discovery receives the change.
        since_ms: Time at which the change takes effect at the destination.
        destination: The destination that changes.
    """

    at_ms: float
    since_ms: float
    destination: int


def _add_changes(
    platform: PlatformModel, count: int, begin_ms: float, end_ms: float, rng: random.Random, partitioned: bool = False
) -> None:
    """Add changes to the list at random times.

    If the regions are partitioned, discovery receives the changes of region 1 only after the end of the partition.
    """
    drawn: list[_DrawnChange] = []
    for _ in range(count):
        destination = rng.randrange(platform.options.destinations)
        since_ms = rng.uniform(begin_ms, end_ms)
        is_delayed = partitioned and region_of(destination) == 1
        at_ms = end_ms + rng.uniform(0.0, REJOIN_MS) if is_delayed else since_ms
        drawn.append(_DrawnChange(at_ms, since_ms, destination))
    for change in sorted(drawn):
        kind = rng.choice(CHANGE_MIX)
        platform.discovery.change(kind, change.destination, change.at_ms, rng, change.since_ms)


def _relays_of_zone(platform: PlatformModel, zone: int) -> list[int]:
    return [relay for relay in range(platform.options.relays) if zone_of(relay) == zone]


def _build_day(platform: PlatformModel, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """Add the planned outages and the list changes; some relays fail until after the day, others restart.

    Every second restart keeps the journal; the others stand for a replaced machine, which starts without one.
    """
    options = platform.options
    for destination, outage in sorted(platform.planned_outages.items()):
        begin_ms = scenario.begin_ms + outage.begin_ms
        end_ms = scenario.begin_ms + outage.end_ms
        platform.add_outage(destination, begin_ms, end_ms, outage.kind)
    _add_changes(platform, options.changes, scenario.begin_ms, scenario.end_ms - DAY_LAST_CHANGE_MS, rng)
    chosen = rng.sample(range(options.relays), options.failing + options.restarts)
    scenario.failed_relays = sorted(chosen[: options.failing])
    scenario.failed_at_ms = scenario.begin_ms + DAY_FAILURE_DELAY_MS
    for relay in scenario.failed_relays:
        downtimes[relay].append(Downtime(scenario.failed_at_ms, scenario.end_ms + GAP_MS / 2))
    for number, relay in enumerate(chosen[options.failing :]):
        at_ms = rng.uniform(scenario.begin_ms, scenario.end_ms - DAY_LAST_RESTART_MS)
        downtimes[relay].append(Downtime(at_ms, at_ms + rng.uniform(*RESTART_MS), keeps_state=number % 2 == 0))


def _build_rack_failure(platform: PlatformModel, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """Let the relays of one rack fail at the same time until the end of the scenario.

    The rack takes relays of one zone, and of the next zones if it has more relays than the zone.
    """
    order = sorted(range(platform.options.relays), key=lambda relay: (zone_of(relay), relay))
    scenario.failed_relays = order[: platform.options.rack]
    scenario.failed_at_ms = scenario.begin_ms + FAILURE_DELAY_MS
    for relay in scenario.failed_relays:
        downtimes[relay].append(Downtime(scenario.failed_at_ms, scenario.end_ms))


def _build_zone_failure(platform: PlatformModel, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """Let all relays and destinations of a zone fail and return together; the destinations return in slow start."""
    zone = rng.randrange(ZONES)
    begin_ms = scenario.begin_ms + FAILURE_DELAY_MS
    end_ms = scenario.begin_ms + FAILURE_DELAY_MS + platform.options.zone_s * 1e3
    scenario.failed_at_ms = begin_ms
    scenario.failed_relays = _relays_of_zone(platform, zone)
    for relay in scenario.failed_relays:
        downtimes[relay].append(Downtime(begin_ms, end_ms, keeps_state=True))
    for destination in range(platform.options.destinations):
        if zone_of(destination) == zone:
            platform.add_outage(destination, begin_ms, end_ms, OutageKind.PACKETS_LOST)


def _build_partition(platform: PlatformModel, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """Partition the regions, so that calls, polls and watches between them fail.

    Discovery is in region 0. Until the end of the partition it does not notify the relays of region 1, and receives no
    changes made in region 1.
    """
    options = platform.options
    begin_ms = scenario.begin_ms + FAILURE_DELAY_MS
    end_ms = scenario.begin_ms + FAILURE_DELAY_MS + options.parted_s * 1e3
    scenario.failed_at_ms = begin_ms
    partition = TimeSpan(begin_ms, end_ms)
    platform.partitions.append(partition)
    platform.discovery_outages.setdefault(1, []).append(partition)
    for destination in platform.destinations_in_use:
        other_region = 1 - region_of(destination)
        platform.add_outage(
            destination, begin_ms, end_ms, OutageKind.PACKETS_LOST, region=other_region, has_slow_start=False
        )
    changes = max(1, int(options.changes * options.parted_s / SECONDS_A_DAY)) if options.changes else 0
    _add_changes(platform, changes, begin_ms, end_ms, rng, partitioned=True)


def _build_backlog_restart(
    platform: PlatformModel, scenario: Scenario, rng: random.Random, downtimes: Downtimes
) -> None:
    """Let all relays of a zone end at the same time and restart, each with a backlog in its journal."""
    zone = rng.randrange(ZONES)
    scenario.failed_at_ms = scenario.begin_ms + FAILURE_DELAY_MS
    scenario.failed_relays = _relays_of_zone(platform, zone)
    for relay in scenario.failed_relays:
        back_ms = scenario.failed_at_ms + rng.uniform(*RESTART_MS)
        downtimes[relay].append(
            Downtime(scenario.failed_at_ms, back_ms, keeps_state=True, backlog=platform.options.held)
        )


BUILDERS: dict[str, ScenarioBuilder] = {
    DAY_SCENARIO: _build_day,
    RACK_FAILURE_SCENARIO: _build_rack_failure,
    ZONE_FAILURE_SCENARIO: _build_zone_failure,
    PARTITION_SCENARIO: _build_partition,
    BACKLOG_RESTART_SCENARIO: _build_backlog_restart,
}
"""Functions that add the events of a scenario to the platform, by the name of the scenario."""
