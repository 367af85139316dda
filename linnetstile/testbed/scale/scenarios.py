"""The scenarios of a scale run, one after the other on one time line; each draws from its own seed."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from .discovery_model import ChangeKind
from .options import (
    BACKLOG_RESTART_SCENARIO,
    DAY_SCENARIO,
    PARTITION_SCENARIO,
    RACK_FAILURE_SCENARIO,
    ZONE_FAILURE_SCENARIO,
    ScaleOptions,
)
from .workload import OUTAGE_KINDS, OUTAGE_PACKETS_LOST, ZONES, region_of, zone_of
from .world_model import Lifetime, PlannedOutage, Scenario, World

SETTLE_MS = 12_000.0
"""Before the first scenario: relays read the list, destinations in use get their first calls."""
GAP_MS = 20_000.0
"""Between scenarios: twice the time for which the engine trusts its evidence."""
FAILURE_DELAY_MS = 5_000.0
"""From the start of a scenario to its failure."""
RECOVERY_MS = 40_000.0
"""Of a scenario after its failure has ended."""
RACK_FAILURE_MS = 90_000.0
BACKLOG_RESTART_MS = 90_000.0

UNAVAILABLE_SHARE = 0.019
"""Share of the destinations that are down at any time of an ordinary day."""
MEAN_OUTAGE_MS = 60_000.0
"""Outages of an ordinary day last an exponentially distributed time, at most an hour."""
LONGEST_OUTAGE_MS = 3.6e6
RESTART_MS = 700.0, 4_000.0
"""A process that restarts is away for so long."""

DAY_FAILURE_DELAY_MS = 10_000.0
DAY_LAST_CHANGE_MS = 5_000.0
"""Before the end of the day scenario, changes stop: the last ones are to be in force within it."""
DAY_LAST_RESTART_MS = 10_000.0
SECONDS_A_DAY = 86_400
REJOIN_MS = 1_000.0
"""After a partition, discovery gets the changes of the other region within this time."""

CHANGE_MIX = (
    ChangeKind.NEW_WEIGHT,
    ChangeKind.NEW_WEIGHT,
    ChangeKind.REPLACED,
    ChangeKind.REPLACED,
    ChangeKind.DRAINED,
    ChangeKind.ADDED,
)
"""Kinds of change, in the proportion in which they are drawn."""


@dataclass(frozen=True, slots=True, order=True)
class Downtime:
    """A time in which a relay has no process, and what the next process finds.

    Attributes:
        begin_ms: End of the process before.
        end_ms: Start of the process after.
        keeps_state: The next process finds the journal.
        backlog: Messages for each destination in use that the journal holds besides.
    """

    begin_ms: float
    end_ms: float
    keeps_state: bool = False
    backlog: int = 0


Downtimes = dict[int, list[Downtime]]
ScenarioBuilder = Callable[[World, Scenario, random.Random, Downtimes], None]


def build(options: ScaleOptions, ports: tuple[int, int] | None = None) -> World:
    """Draw the world of a run.

    Args:
        options: Options of the run.
        ports: Loopback ports of all endpoints; None = at addresses that nobody calls.
    """
    world = World(options, ports)
    lengths = _scenario_lengths(options)
    downtimes: Downtimes = {relay: [] for relay in range(options.relays)}
    _choose_destinations(world, lengths[DAY_SCENARIO] if DAY_SCENARIO in options.scenes else 0.0)
    begin_ms = SETTLE_MS
    for name in options.scenes:
        scenario = Scenario(name, begin_ms, begin_ms + lengths[name])
        world.scenarios.append(scenario)
        BUILDERS[name](world, scenario, random.Random(f"{options.seed}:{name}"), downtimes)
        begin_ms = scenario.end_ms + GAP_MS
    world.end_ms = begin_ms
    for relay, downs in downtimes.items():
        world.lifetimes[relay] = _lifetimes(downs, world.end_ms)
    return world


def _scenario_lengths(options: ScaleOptions) -> dict[str, float]:
    """Length of each scenario in ms."""
    return {
        DAY_SCENARIO: options.day_s * 1e3,
        RACK_FAILURE_SCENARIO: RACK_FAILURE_MS,
        ZONE_FAILURE_SCENARIO: options.zone_s * 1e3 + RECOVERY_MS,
        PARTITION_SCENARIO: options.parted_s * 1e3 + RECOVERY_MS,
        BACKLOG_RESTART_SCENARIO: BACKLOG_RESTART_MS,
    }


def _lifetimes(downtimes: list[Downtime], end_ms: float) -> list[Lifetime]:
    """The processes between the downtimes of one relay."""
    lifetimes: list[Lifetime] = []
    begin_ms, keeps_state, backlog = 0.0, False, 0
    for down in sorted(downtimes):
        lifetimes.append(Lifetime(begin_ms, down.begin_ms, keeps_state, backlog))
        begin_ms, keeps_state, backlog = down.end_ms, down.keeps_state, down.backlog
    if begin_ms < end_ms:
        lifetimes.append(Lifetime(begin_ms, end_ms, keeps_state, backlog))
    return lifetimes


def _choose_destinations(world: World, day_ms: float) -> None:
    """Draw the outages of an ordinary day for all destinations, then the destinations that are in use.

    Half of those in use have such an outage, as far as there are so many; the others are spread over the zones.
    """
    options = world.options
    rng = random.Random(f"{options.seed}:use")
    world.planned_outages = _draw_outages(options, day_ms, rng)
    with_outage = sorted(world.planned_outages)
    chosen = rng.sample(with_outage, min(len(with_outage), options.in_use // 2))
    per_zone = Counter(zone_of(destination) for destination in chosen)
    spare: list[list[int]] = [[] for _ in range(ZONES)]
    for destination in rng.sample(range(options.destinations), options.destinations):
        if destination not in world.planned_outages:
            spare[zone_of(destination)].append(destination)
    while len(chosen) < options.in_use and any(spare):
        zone = min((zone for zone in range(ZONES) if spare[zone]), key=lambda zone: (per_zone[zone], zone))
        chosen.append(spare[zone].pop())
        per_zone[zone] += 1
    world.destinations_in_use = sorted(chosen)


def _draw_outages(options: ScaleOptions, day_ms: float, rng: random.Random) -> dict[int, PlannedOutage]:
    """The first outage of each destination that has one within the day, in ms since the day begins."""
    outages: dict[int, PlannedOutage] = {}
    mean_time_between_ms = MEAN_OUTAGE_MS * (1 / UNAVAILABLE_SHARE - 1)
    for destination in range(options.destinations if day_ms else 0):
        begin_ms = 0.0 if rng.random() < UNAVAILABLE_SHARE else rng.expovariate(1 / mean_time_between_ms)
        if begin_ms < day_ms:
            length_ms = rng.expovariate(1 / MEAN_OUTAGE_MS)
            end_ms = min(begin_ms + length_ms, day_ms + GAP_MS / 2, begin_ms + LONGEST_OUTAGE_MS)
            outages[destination] = PlannedOutage(begin_ms, end_ms, rng.choice(OUTAGE_KINDS))
    return outages


def _add_changes(
    world: World, count: int, begin_ms: float, end_ms: float, rng: random.Random, partitioned: bool = False
) -> None:
    """Change the list at random moments. While partitioned, discovery gets the changes of region 1 at the rejoining."""
    drawn = []
    for _ in range(count):
        destination = rng.randrange(world.options.destinations)
        since_ms = rng.uniform(begin_ms, end_ms)
        is_late = partitioned and region_of(destination) == 1
        at_ms = end_ms + rng.uniform(0.0, REJOIN_MS) if is_late else since_ms
        drawn.append((at_ms, since_ms, destination))
    for at_ms, since_ms, destination in sorted(drawn):
        world.discovery.change(rng.choice(CHANGE_MIX), destination, at_ms, rng, since_ms)


def _relays_of_zone(world: World, zone: int) -> list[int]:
    return [relay for relay in range(world.options.relays) if zone_of(relay) == zone]


def _build_day(world: World, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """Outages as planned. Some relays fail for good, others are restarted (their journal kept) or replaced."""
    options = world.options
    for destination, outage in sorted(world.planned_outages.items()):
        begin_ms, end_ms = scenario.begin_ms + outage.begin_ms, scenario.begin_ms + outage.end_ms
        world.add_outage(destination, begin_ms, end_ms, outage.kind)
    _add_changes(world, options.changes, scenario.begin_ms, scenario.end_ms - DAY_LAST_CHANGE_MS, rng)
    chosen = rng.sample(range(options.relays), options.failing + options.restarts)
    scenario.failed_relays = sorted(chosen[: options.failing])
    scenario.failed_at_ms = scenario.begin_ms + DAY_FAILURE_DELAY_MS
    for relay in scenario.failed_relays:
        downtimes[relay].append(Downtime(scenario.failed_at_ms, scenario.end_ms + GAP_MS / 2))
    for number, relay in enumerate(chosen[options.failing :]):
        at_ms = rng.uniform(scenario.begin_ms, scenario.end_ms - DAY_LAST_RESTART_MS)
        downtimes[relay].append(Downtime(at_ms, at_ms + rng.uniform(*RESTART_MS), keeps_state=number % 2 == 0))


def _build_rack_failure(world: World, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """Relays of one rack, so of one zone as far as it has so many, fail at once and stay away."""
    order = sorted(range(world.options.relays), key=lambda relay: (zone_of(relay), relay))
    scenario.failed_relays = order[: world.options.rack]
    scenario.failed_at_ms = scenario.begin_ms + FAILURE_DELAY_MS
    for relay in scenario.failed_relays:
        downtimes[relay].append(Downtime(scenario.failed_at_ms, scenario.end_ms))


def _build_zone_failure(world: World, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """All relays and destinations of a zone vanish at once and are back at once, the destinations cold."""
    zone = rng.randrange(ZONES)
    begin_ms = scenario.begin_ms + FAILURE_DELAY_MS
    end_ms = scenario.begin_ms + FAILURE_DELAY_MS + world.options.zone_s * 1e3
    scenario.failed_at_ms = begin_ms
    scenario.failed_relays = _relays_of_zone(world, zone)
    for relay in scenario.failed_relays:
        downtimes[relay].append(Downtime(begin_ms, end_ms, keeps_state=True))
    for destination in range(world.options.destinations):
        if zone_of(destination) == zone:
            world.add_outage(destination, begin_ms, end_ms, OUTAGE_PACKETS_LOST)


def _build_partition(world: World, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """Calls, polls and discovery do not pass between the regions.

    Discovery stands in region 0: relays of region 1 hear nothing, and it hears of the changes in region 1 as the
    regions are joined again.
    """
    options = world.options
    begin_ms = scenario.begin_ms + FAILURE_DELAY_MS
    end_ms = scenario.begin_ms + FAILURE_DELAY_MS + options.parted_s * 1e3
    scenario.failed_at_ms = begin_ms
    world.partitions.append((begin_ms, end_ms))
    world.discovery_outages.setdefault(1, []).append((begin_ms, end_ms))
    for destination in world.destinations_in_use:
        other_region = 1 - region_of(destination)
        world.add_outage(destination, begin_ms, end_ms, OUTAGE_PACKETS_LOST, region=other_region, is_cold_return=False)
    changes = max(1, int(options.changes * options.parted_s / SECONDS_A_DAY)) if options.changes else 0
    _add_changes(world, changes, begin_ms, end_ms, rng, partitioned=True)


def _build_backlog_restart(world: World, scenario: Scenario, rng: random.Random, downtimes: Downtimes) -> None:
    """All relays of a zone end at once and start again, each with a backlog in its journal."""
    zone = rng.randrange(ZONES)
    scenario.failed_at_ms = scenario.begin_ms + FAILURE_DELAY_MS
    scenario.failed_relays = _relays_of_zone(world, zone)
    for relay in scenario.failed_relays:
        back_ms = scenario.failed_at_ms + rng.uniform(*RESTART_MS)
        downtimes[relay].append(Downtime(scenario.failed_at_ms, back_ms, keeps_state=True, backlog=world.options.held))


BUILDERS: dict[str, ScenarioBuilder] = {
    DAY_SCENARIO: _build_day,
    RACK_FAILURE_SCENARIO: _build_rack_failure,
    ZONE_FAILURE_SCENARIO: _build_zone_failure,
    PARTITION_SCENARIO: _build_partition,
    BACKLOG_RESTART_SCENARIO: _build_backlog_restart,
}
"""What fills each scenario."""
