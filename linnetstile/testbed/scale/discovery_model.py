"""The endpoint list of the simulated platform and its changes, as discovery sends them."""

from __future__ import annotations

import json
import random
from bisect import bisect_right
from dataclasses import dataclass
from enum import StrEnum

from .workload import DESTINATION_KINDS, LISTED_RATE, zone_of

FIRST_VERSION = 1
NO_GENERATION = -1
"""Generation of a destination that has no endpoint."""
LISTED_RATE_SPREAD = 0.8, 1.25
"""Range of the random factor by which a new advertised rate differs from `LISTED_RATE`."""


class ChangeKind(StrEnum):
    """What a change does to its destination; the values appear in the report."""

    NEW_WEIGHT = "weight"
    REPLACED = "replace"
    DRAINED = "drain"
    ADDED = "add"
    REMOVED = "gone"


class EntryState(StrEnum):
    """State of an endpoint; the values are those of the discovery protocol."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """One change of the endpoint list.

    Attributes:
        version: First version of the list that includes the change.
        at_ms: Time at which discovery receives the change.
        kind: Kind of the change.
        destination: The destination that changes.
        line: The watch event, a line of JSON.
        entry: List entry of the endpoint that is in force after the change.
    """

    version: int
    at_ms: float
    kind: ChangeKind
    destination: int
    line: bytes
    entry: bytes


@dataclass(frozen=True, slots=True)
class GenerationChange:
    """The generation of a destination's endpoint that is in force from `since_ms` on."""

    since_ms: float
    generation: int


@dataclass(frozen=True, slots=True)
class RateChange:
    """The rate, in calls a second, that a destination advertises from `since_ms` on."""

    since_ms: float
    rate: float


def endpoint_name(destination: int, generation: int) -> str:
    """Return the identifier of the n-th endpoint of a destination."""
    return f"s-{destination:06x}{generation % 256:02x}"


class DiscoveryModel:
    """The endpoint list at each version, and the changes between versions.

    A destination has one endpoint in force at a time. Its endpoints are numbered by `generation`: each replacement
    raises the number by one. Times are simulated ms.

    Attributes:
        ports: Two loopback ports between which the generations alternate; None = the entries have made-up addresses,
            because no calls are sent to them.
        destination_count: Number of destinations so far; each change of the kind `ADDED` raises it.
        changes: All changes, in the order of their versions.
        drained_endpoints: Destination and generation of the endpoints that drain beside their successor.
    """

    def __init__(self, destinations: int, ports: tuple[int, int] | None = None) -> None:
        """Create the initial list: destinations 0 to `destinations` - 1, each with its first endpoint."""
        self.ports = ports
        self.initial_count = self.destination_count = destinations
        self.changes: list[EndpointChange] = []
        self.drained_endpoints: set[tuple[int, int]] = set()
        self._generations: dict[int, list[GenerationChange]] = {}  # by destination, in order of time
        self._rates: dict[int, list[RateChange]] = {}  # by destination, in the order in which they were added
        self._initial_entries = [self._entry(destination, 0) for destination in range(destinations)]
        self._cached_list: tuple[int, bytes] = (0, b"")

    def rate(self, destination: int, at_ms: float) -> float:
        """Return the rate, in calls a second, that a destination advertises at a given time."""
        rates = [change.rate for change in self._rates.get(destination, ()) if change.since_ms <= at_ms]
        return rates[-1] if rates else round(LISTED_RATE, 3)

    def generation(self, destination: int, at_ms: float) -> int:
        """Return the generation that is in force at a destination at a given time; `NO_GENERATION` if there is none."""
        initial = 0 if destination < self.initial_count else NO_GENERATION
        generations = self._generations.get(destination)
        if generations is None:
            return initial
        changes_so_far = bisect_right(generations, at_ms, key=lambda change: change.since_ms)
        return generations[changes_so_far - 1].generation if changes_so_far else initial

    def is_reachable(self, name: str, destination: int, at_ms: float) -> bool:
        """Return whether an endpoint still accepts calls: it is in force, or drains beside its successor."""
        generation = self.generation(destination, at_ms)
        if name == endpoint_name(destination, generation):
            return True
        previous = generation - 1
        return (destination, previous) in self.drained_endpoints and name == endpoint_name(destination, previous)

    def change(
        self, kind: ChangeKind, destination: int, at_ms: float, rng: random.Random, since_ms: float | None = None
    ) -> EndpointChange:
        """Append a change to the list.

        Args:
            kind: Kind of the change: a new rate; an endpoint that is replaced at once, or drained beside its
                successor; a new destination; a destination left without endpoint.
            destination: The destination that changes; `ADDED` ignores it and takes the next free number.
            at_ms: Time at which discovery receives the change.
            rng: Draws the new rate.
            since_ms: Time at which the change took effect at the destination; None = at `at_ms`.
        """
        since_ms = at_ms if since_ms is None else since_ms
        if kind is ChangeKind.ADDED:
            destination = self.destination_count
            entries = [self._add(since_ms)]
        elif kind is ChangeKind.NEW_WEIGHT:
            entries = [self._change_rate(destination, at_ms, since_ms, rng)]
        elif kind is ChangeKind.REMOVED:
            entries = [self._remove(destination, at_ms, since_ms)]
        else:
            entries = self._replace(destination, at_ms, since_ms, drained=kind is ChangeKind.DRAINED)
        version = FIRST_VERSION + 1 + len(self.changes)
        line = b'{"version":%d,"full":false,"servers":[%s]}\n' % (version, b",".join(entries))
        change = EndpointChange(version, at_ms, kind, destination, line, entries[-1])
        self.changes.append(change)
        return change

    def version_at(self, at_ms: float) -> int:
        """Return the version of the list at a given time."""
        return FIRST_VERSION + bisect_right(self.changes, at_ms, key=lambda change: change.at_ms)

    def full_list(self, version: int) -> bytes:
        """Return the line with the full list at a version; it omits replaced endpoints, even while they drain."""
        if self._cached_list[0] != version:
            self._cached_list = version, self._build_full_list(version)
        return self._cached_list[1]

    def changes_between(self, version: int, until: int) -> list[EndpointChange]:
        """Return the changes after a version, up to and including version `until`."""
        return self.changes[max(0, version - FIRST_VERSION) : until - FIRST_VERSION]

    def _add(self, since_ms: float) -> bytes:
        destination = self.destination_count
        self.destination_count += 1
        entry = self._entry(destination, 0)
        self._generations[destination] = [GenerationChange(since_ms, 0)]
        return entry

    def _change_rate(self, destination: int, at_ms: float, since_ms: float, rng: random.Random) -> bytes:
        rate = round(LISTED_RATE * rng.uniform(*LISTED_RATE_SPREAD), 3)
        self._rates.setdefault(destination, []).append(RateChange(since_ms, rate))
        return self._entry(destination, self.generation(destination, at_ms))

    def _remove(self, destination: int, at_ms: float, since_ms: float) -> bytes:
        entry = self._entry(destination, self.generation(destination, at_ms), EntryState.DELETED)
        self._generations.setdefault(destination, []).append(GenerationChange(since_ms, NO_GENERATION))
        return entry

    def _replace(self, destination: int, at_ms: float, since_ms: float, drained: bool) -> list[bytes]:
        generation = self.generation(destination, at_ms)
        old_state = EntryState.DRAINING if drained else EntryState.DELETED
        entries = [self._entry(destination, generation, old_state), self._entry(destination, generation + 1)]
        self._generations.setdefault(destination, []).append(GenerationChange(since_ms, generation + 1))
        if drained:
            self.drained_endpoints.add((destination, generation))
        return entries

    def _build_full_list(self, version: int) -> bytes:
        latest: dict[int, bytes] = {}
        for change in self.changes[: version - FIRST_VERSION]:
            latest[change.destination] = b"" if change.kind is ChangeKind.REMOVED else change.entry
        entries = [latest.pop(number, entry) for number, entry in enumerate(self._initial_entries)]
        entries += list(latest.values())
        listed = b",".join(entry for entry in entries if entry)
        return b'{"version":%d,"full":true,"servers":[%s]}\n' % (version, listed)

    def _entry(self, destination: int, generation: int, state: EntryState = EntryState.SERVING) -> bytes:
        """Return an entry of the list in the format of discovery, with the latest rate of the destination."""
        return json.dumps(
            {
                "id": endpoint_name(destination, generation),
                "addr": self._address(destination, generation),
                "zone": f"z{zone_of(destination)}",
                "kind": DESTINATION_KINDS[0],
                "cell": destination,
                "state": state.value,
                "weight": self.rate(destination, float("inf")),
                "started_ms": 0,
            },
            separators=(",", ":"),
        ).encode()

    def _address(self, destination: int, generation: int) -> str:
        if self.ports:
            return f"127.0.0.1:{self.ports[generation % 2]}"
        network = 1 + (destination >> 16) % 200
        return f"127.{network}.{destination >> 8 & 255}.{destination & 255}:{3000 + generation % 100}"
