"""The state of the simulated platform at each moment: destinations, outages, changes, relay lifetimes, partitions.

It does not depend on the decisions of the relays. Times are simulated ms since the run began; the same seed and options
draw the same platform on any machine.
"""

from __future__ import annotations

import random
import zlib
from bisect import bisect_right
from dataclasses import dataclass, field
from typing import Any

from ...config.platform import settings_from
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
        """Whether a moment lies in it."""
        return self.begin_ms <= at_ms < self.end_ms


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which calls to a destination fail.

    Attributes:
        number: Number of the outage, unique in the model.
        destination: The destination that is down.
        begin_ms: When it begins.
        end_ms: When it is over.
        kind: How calls fail.
        region: Only calls from this region fail; None = all calls do.
        has_slow_start: The destination itself was down, and begins a slow start when it is back.
    """

    number: int
    destination: int
    begin_ms: float
    end_ms: float
    kind: OutageKind
    region: int | None = None
    has_slow_start: bool = True

    def affects_calls_from(self, region: int) -> bool:
        """Whether calls of the relays of a region fail."""
        return self.region in (None, region)


@dataclass(frozen=True, slots=True)
class PlannedOutage:
    """An outage of the day scenario, in ms since that scenario begins."""

    begin_ms: float
    end_ms: float
    kind: OutageKind


@dataclass(frozen=True, slots=True)
class Lifetime:
    """One process of a relay, from its start to its end.

    Attributes:
        begin_ms: Start of the process.
        end_ms: End of the process.
        keeps_state: It finds the journal of the process before it.
        backlog: Messages for each destination in use that are added to its journal.
    """

    begin_ms: float
    end_ms: float
    keeps_state: bool = False
    backlog: int = 0

    def contains(self, at_ms: float) -> bool:
        """Whether the process runs at a moment."""
        return self.begin_ms <= at_ms < self.end_ms


@dataclass(slots=True)
class Scenario:
    """One scenario on the time line of the run.

    Attributes:
        name: Name as the option `--scenes` and the report have it.
        begin_ms: When it begins.
        end_ms: When it is over.
        failed_relays: Relays that fail or restart together in it.
        failed_at_ms: When they fail.
    """

    name: str
    begin_ms: float
    end_ms: float
    failed_relays: list[int] = field(default_factory=list)
    failed_at_ms: float = 0.0

    def contains(self, at_ms: float) -> bool:
        """Whether a moment lies in it."""
        return self.begin_ms <= at_ms < self.end_ms


class PlatformModel:
    """The simulated platform.

    Attributes:
        options: Options of the run.
        settings_document: Settings of a relay as the platform writes them, without its zone.
        discovery: The endpoint list and its changes.
        outages: All outages, by their number.
        lifetimes: Processes of each relay, in their order.
        discovery_outages: By region, when discovery cannot be reached from it.
        partitions: When the regions are cut off from each other.
        scenarios: Scenarios of the run, one after the other.
        destinations_in_use: Destinations that get traffic.
        planned_outages: By destination, its outage in the day scenario.
        end_ms: End of the run.
    """

    def __init__(self, options: ScaleOptions, ports: tuple[int, int] | None = None) -> None:
        """Make a platform without events; `scenarios.build` adds them. `ports` as in `DiscoveryModel`."""
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
        """Return a number that two processes share if they have drawn the same platform."""
        changes = zlib.crc32(b"".join(change.line for change in self.discovery.changes))
        events = (self.outages, self.lifetimes, self.destinations_in_use, self.end_ms)
        return zlib.crc32(repr(events).encode(), changes)

    def settings(self, relay: int) -> Settings:
        """Return the engine settings of a relay."""
        return without_batches(settings_from({**self.settings_document, "az": zone_of(relay)}))

    def scenario_at(self, at_ms: float) -> int:
        """Return the number of the scenario at a moment; -1 before the first."""
        return bisect_right(self.scenarios, at_ms, key=lambda scenario: scenario.begin_ms) - 1

    # -- discovery --

    def can_reach_discovery(self, relay: int, at_ms: float) -> bool:
        """Whether a relay reaches discovery."""
        return not any(outage.contains(at_ms) for outage in self._discovery_outages_of(relay))

    def discovery_reachable_at(self, relay: int, at_ms: float) -> float:
        """Return when a relay can first be notified of a change: at once, or at the end of a discovery outage."""
        outages = self._discovery_outages_of(relay)
        return next((outage.end_ms for outage in outages if outage.contains(at_ms)), at_ms)

    def next_discovery_outage(self, relay: int, at_ms: float) -> float | None:
        """Return when discovery next becomes unreachable for a relay; None if it does not."""
        outages = self._discovery_outages_of(relay)
        return next((outage.begin_ms for outage in outages if outage.begin_ms > at_ms), None)

    def _discovery_outages_of(self, relay: int) -> list[TimeSpan]:
        return self.discovery_outages.get(region_of(relay), [])

    def notified_at(self, relay: int, at_ms: float) -> float:
        """Return when a relay that reaches discovery is notified of a change that was made at a moment."""
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
        """Add an outage; see `Outage` for the arguments."""
        outage = Outage(len(self.outages), destination, begin_ms, end_ms, kind, region, has_slow_start)
        self.outages.append(outage)
        self._outages_by_destination.setdefault(destination, []).append(outage)

    def outages_of(self, destination: int) -> list[Outage]:
        """Return the outages of a destination, in the order in which they were added."""
        return self._outages_by_destination.get(destination, [])

    def current_outage(self, destination: int, region: int, at_ms: float) -> Outage | None:
        """Return the outage that calls from a region meet at a moment; None if there is none."""
        for outage in self.outages_of(destination):
            if outage.begin_ms <= at_ms < outage.end_ms and outage.affects_calls_from(region):
                return outage
        return None

    def next_outage_at(self, destination: int, region: int, at_ms: float) -> float:
        """Return the begin of the next outage that calls from a region meet; infinite if there is none."""
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
        """Whether the other relay is up and in a region that is not cut off."""
        is_partitioned = region_of(relay) != region_of(other) and any(span.contains(at_ms) for span in self.partitions)
        return not is_partitioned and any(lifetime.contains(at_ms) for lifetime in self.lifetimes[other])

    def is_up_throughout(self, relay: int, begin_ms: float, end_ms: float) -> bool:
        """Whether one process of a relay runs from begin to end."""
        return any(lifetime.begin_ms <= begin_ms and end_ms <= lifetime.end_ms for lifetime in self.lifetimes[relay])

    def seconds_up(self, relay: int, begin_ms: float, end_ms: float) -> float:
        """Return the seconds between begin and end in which a relay is up."""
        milliseconds_up = sum(
            max(0.0, min(end_ms, lifetime.end_ms) - max(begin_ms, lifetime.begin_ms))
            for lifetime in self.lifetimes[relay]
        )
        return milliseconds_up / 1000
