"""The simulated platform over time: destinations, outages, list changes, relay lifetimes and partitions.

The model does not depend on the decisions of the relays. Times are simulated ms since the start of the run. The same
seed and options draw the same platform on any machine.
"""

from __future__ import annotations

import random
import zlib
from bisect import bisect_right
from dataclasses import dataclass, field
from typing import Any

from ...config.platform import parse_platform_settings
from ...engine.settings import Settings
from ...platform_relay.config import without_batches
from .discovery_model import DiscoveryModel
from .options import ScaleOptions as ScaleOptions
from .workload import NOTIFICATION_DELAY_MS, SETTINGS_DOCUMENT, OutageKind, region_of, zone_of


@dataclass(frozen=True, slots=True)
class TimeSpan:
    """A half-open span of time."""

    begin_ms: float
    end_ms: float

    def contains(self, at_ms: float) -> bool:
        """Whether a point in time lies in the span."""
        return self.begin_ms <= at_ms < self.end_ms


@dataclass(frozen=True, slots=True)
class Outage:
    """A span of time in which calls to a destination fail.

    Attributes:
        number: Number of the outage, unique in the model.
        destination: The destination that is down or cannot be reached.
        begin_ms: Begin of the outage.
        end_ms: End of the outage.
        kind: How calls fail.
        region: The only region whose calls fail; None = calls from all regions fail.
        has_slow_start: Whether the destination itself is down, so that a slow start follows the outage.
    """

    number: int
    destination: int
    begin_ms: float
    end_ms: float
    kind: OutageKind
    region: int | None = None
    has_slow_start: bool = True

    def affects_calls_from(self, region: int) -> bool:
        """Whether calls of relays in a region fail."""
        return self.region in (None, region)


@dataclass(frozen=True, slots=True)
class PlannedOutage:
    """An outage of the day scenario; times are in ms since the start of that scenario."""

    begin_ms: float
    end_ms: float
    kind: OutageKind


@dataclass(frozen=True, slots=True)
class Lifetime:
    """The lifetime of one process of a relay.

    Attributes:
        begin_ms: Start of the process.
        end_ms: End of the process.
        keeps_state: Whether the process finds the journal of the previous process.
        backlog: Number of messages, for each destination in use, that are added to the journal before the start.
    """

    begin_ms: float
    end_ms: float
    keeps_state: bool = False
    backlog: int = 0

    def contains(self, at_ms: float) -> bool:
        """Whether the process runs at a given time."""
        return self.begin_ms <= at_ms < self.end_ms


@dataclass(slots=True)
class Scenario:
    """One scenario on the time line of the run.

    Attributes:
        name: Name of the scenario in the option `--scenes` and in the report.
        begin_ms: Start of the scenario.
        end_ms: End of the scenario.
        failed_relays: Relays that fail or restart together in the scenario.
        failed_at_ms: Time at which they fail.
    """

    name: str
    begin_ms: float
    end_ms: float
    failed_relays: list[int] = field(default_factory=list)
    failed_at_ms: float = 0.0

    def contains(self, at_ms: float) -> bool:
        """Whether a point in time lies in the scenario."""
        return self.begin_ms <= at_ms < self.end_ms


class PlatformModel:
    """The simulated platform.

    Attributes:
        options: Options of the run.
        settings_document: Settings document that the platform gives each relay, without the zone of the relay.
        discovery: The endpoint list and its changes.
        outages: All outages; the index is the number of the outage.
        lifetimes: Lifetimes of the processes of each relay in order of time, by relay number.
        discovery_outages: Spans in which discovery is unreachable from a region, by region.
        partitions: Spans in which the regions are cut off from each other.
        scenarios: Scenarios of the run in order of time.
        destinations_in_use: Destinations that receive traffic, in ascending order.
        planned_outages: Outage of each destination that has one in the day scenario, by destination.
        end_ms: End of the run.
    """

    def __init__(self, options: ScaleOptions, ports: tuple[int, int] | None = None) -> None:
        """Create a platform without events, which `scenarios.build` adds; see `DiscoveryModel` for `ports`."""
        self.options = options
        self.settings_document: dict[str, Any] = {**SETTINGS_DOCUMENT, "balancers": options.relays}
        self.discovery = DiscoveryModel(options.destinations, ports)
        self.outages: list[Outage] = []
        self.lifetimes: dict[int, list[Lifetime]] = {}
        self.discovery_outages: dict[int, list[TimeSpan]] = {}
        self.partitions: list[TimeSpan] = []
        self.scenarios: list[Scenario] = []
        self.destinations_in_use: list[int] = []
        self.planned_outages: dict[int, PlannedOutage] = {}
        self.end_ms = 0.0
        self._outages_by_destination: dict[int, list[Outage]] = {}

    def fingerprint(self) -> int:
        """Return a checksum that is the same in all processes that have drawn the same platform."""
        changes = zlib.crc32(b"".join(change.line for change in self.discovery.changes))
        events = (self.outages, self.lifetimes, self.destinations_in_use, self.end_ms)
        return zlib.crc32(repr(events).encode(), changes)

    def settings(self, relay: int) -> Settings:
        """Return the engine settings of a relay."""
        return without_batches(parse_platform_settings({**self.settings_document, "az": zone_of(relay)}))

    def scenario_at(self, at_ms: float) -> int:
        """Return the number of the latest scenario that has begun by a given time; -1 before the first."""
        return bisect_right(self.scenarios, at_ms, key=lambda scenario: scenario.begin_ms) - 1

    # -- discovery --

    def can_reach_discovery(self, relay: int, at_ms: float) -> bool:
        """Whether a relay reaches discovery."""
        return not any(outage.contains(at_ms) for outage in self._discovery_outages_of(relay))

    def discovery_reachable_at(self, relay: int, at_ms: float) -> float:
        """Return the earliest time at which a relay reaches discovery: `at_ms` or the end of a discovery outage."""
        outages = self._discovery_outages_of(relay)
        return next((outage.end_ms for outage in outages if outage.contains(at_ms)), at_ms)

    def next_discovery_outage(self, relay: int, at_ms: float) -> float | None:
        """Return the time at which discovery next becomes unreachable for a relay; None if it stays reachable."""
        outages = self._discovery_outages_of(relay)
        return next((outage.begin_ms for outage in outages if outage.begin_ms > at_ms), None)

    def _discovery_outages_of(self, relay: int) -> list[TimeSpan]:
        return self.discovery_outages.get(region_of(relay), [])

    def notified_at(self, relay: int, at_ms: float) -> float:
        """Return the time at which a relay that can reach discovery is notified of a change made at `at_ms`.

        The seed, the relay and the time determine the random delay.
        """
        return at_ms + random.Random(f"{self.options.seed}:{relay}:{at_ms}").uniform(*NOTIFICATION_DELAY_MS)

    # -- outages --

    def add_outage(
        self,
        destination: int,
        begin_ms: float,
        end_ms: float,
        kind: OutageKind,
        region: int | None = None,
        has_slow_start: bool = True,
    ) -> None:
        """Add an outage and assign its number; see `Outage` for the arguments."""
        outage = Outage(len(self.outages), destination, begin_ms, end_ms, kind, region, has_slow_start)
        self.outages.append(outage)
        self._outages_by_destination.setdefault(destination, []).append(outage)

    def outages_of(self, destination: int) -> list[Outage]:
        """Return the outages of a destination, in the order in which they were added."""
        return self._outages_by_destination.get(destination, [])

    def current_outage(self, destination: int, region: int, at_ms: float) -> Outage | None:
        """Return the outage in which calls from a region fail at a given time; None if there is none."""
        for outage in self.outages_of(destination):
            if outage.begin_ms <= at_ms < outage.end_ms and outage.affects_calls_from(region):
                return outage
        return None

    def next_outage_at(self, destination: int, region: int, at_ms: float) -> float:
        """Return the begin of the next outage in which calls from a region fail; infinity if there is none."""
        return min(
            (
                outage.begin_ms
                for outage in self.outages_of(destination)
                if outage.begin_ms > at_ms and outage.affects_calls_from(region)
            ),
            default=float("inf"),
        )

    # -- relays --

    def can_reach_relay(self, relay: int, other: int, at_ms: float) -> bool:
        """Whether the other relay is up and no partition separates the regions of the two relays."""
        is_partitioned = region_of(relay) != region_of(other) and any(span.contains(at_ms) for span in self.partitions)
        return not is_partitioned and any(lifetime.contains(at_ms) for lifetime in self.lifetimes[other])

    def is_up_throughout(self, relay: int, begin_ms: float, end_ms: float) -> bool:
        """Whether one process of a relay runs without interruption from `begin_ms` to `end_ms`."""
        return any(lifetime.begin_ms <= begin_ms and end_ms <= lifetime.end_ms for lifetime in self.lifetimes[relay])

    def seconds_up(self, relay: int, begin_ms: float, end_ms: float) -> float:
        """Return for how many seconds between `begin_ms` and `end_ms` a relay is up."""
        milliseconds_up = sum(
            max(0.0, min(end_ms, lifetime.end_ms) - max(begin_ms, lifetime.begin_ms))
            for lifetime in self.lifetimes[relay]
        )
        return milliseconds_up / 1000
