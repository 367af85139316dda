"""All destinations that a relay knows: the endpoints of each in a compact index, lanes for those in use alone, and of
the others what resting.py says is to be kept. No I/O, no clock: times in ms come in.

Work follows what changed or is used, never what exists: a change costs the lanes of its destination, a turn looks at as
many lanes at rest as it had events."""

from __future__ import annotations

from collections.abc import Callable, Container
from itertools import islice

from . import resting
from .interface import Endpoint, EndpointList, Listing, ListKind, Settings
from .state import Door, Index, Lane

Attach = Callable[[float, Endpoint, bool], None]


class Destinations:
    """`attach` puts an endpoint into its lane: one that was listed just now, or (False) one that comes into use with
    its destination. `queued` has the destinations for which messages wait. A failure fades in `fade_ms`."""

    def __init__(self, settings: Settings, fade_ms: float, queued: Container[int], attach: Attach) -> None:
        self.kinds, self.cold_ms, self.fade_ms = settings.kinds, settings.safety.cold_ms, fade_ms
        self.queued, self.attach = queued, attach
        self.index = Index()  # of all endpoints that take new calls
        self.lanes: dict[int, dict[int, Lane]] = {}  # destination in use -> its lanes; the latest used last
        self.doors: dict[int, Door] = {}  # of these
        self.bare: set[int] = set()  # destinations in use with a lane that may have no endpoint
        self.rests: dict[int, bytes] = {}  # destination not in use -> its record

    def key(self, entry: Endpoint) -> tuple[int, int]:
        """What is one lane: a destination, or a route of it where routes are apart."""
        apart = entry.kind < len(self.kinds) and self.kinds[entry.kind].routes_apart
        return entry.destination, entry.id if apart else -1

    def listed(self, now: float, event: EndpointList) -> list[Door]:
        """Takes a list or changes in; the endpoints in use to which nothing new goes from now on."""
        ready = {entry.id: entry for entry in event.entries if entry.listing is Listing.READY}
        if event.kind is ListKind.CHANGES:
            known = [entry for entry in map(self.index.get, {entry.id for entry in event.entries}) if entry is not None]
        else:
            known = list(self.index)
        gone = self._drop(
            now,
            sorted(
                (old for old in known if old.id not in ready or self.key(ready[old.id]) != self.key(old)),
                key=lambda old: old.id,
            ),
        )
        for entry in ready.values():
            self._add(now, entry)
        return gone

    def _drop(self, now: float, gone: list[Endpoint]) -> list[Door]:
        quiet = {entry.destination for entry in gone} - self.lanes.keys()
        dropped = []
        for entry in gone:
            self.open(now, entry.destination)
            self.index.pop(entry.id)
            door = self.doors.pop(entry.id)
            dropped.append(door)
            del door.lane.doors[entry.id]
            if not door.lane.doors:
                door.lane.left_at = now
                door.lane.bad_since = now if door.lane.bad_since is None else door.lane.bad_since
                self.bare.add(entry.destination)
        for dest in quiet:
            self._rest(now, dest)
        for dest in self.bare - {entry.destination for entry in gone} if gone else ():
            if dest not in self.queued:
                self._prune(now, dest)
        return dropped

    def _prune(self, now: float, dest: int) -> None:
        """A lane without endpoints goes with its last trace."""
        lanes = self.lanes[dest]
        for route, lane in list(lanes.items()):
            if not lane.doors and not lane.out and now > resting.binds_until(lane, True, self.fade_ms, self.cold_ms):
                del lanes[route]
        if all(lane.doors for lane in lanes.values()):
            self.bare.discard(dest)
        if not lanes:
            del self.lanes[dest]

    def _add(self, now: float, entry: Endpoint) -> None:
        dest = entry.destination
        used = dest in self.lanes or dest in self.rests or dest in self.queued
        if used:
            self.open(now, dest)  # before it is listed: it may come back to a lane that has none
        self.index.put(entry)
        if used:
            self.attach(now, entry, True)

    def open(self, now: float, dest: int) -> dict[int, Lane]:
        """The lanes of a destination that is used now: as they were, as they went to rest, or new."""
        if dest in self.lanes:
            self.lanes[dest] = self.lanes.pop(dest)
        else:
            if dest in self.rests:
                self.lanes[dest], bare = resting.wake(self.rests.pop(dest))
                if bare:
                    self.bare.add(dest)
            for entry in self.index.at(dest):
                self.attach(now, entry, False)
        return self.lanes.get(dest, {})

    def _rest(self, now: float, dest: int) -> None:
        """Its lanes go, but for what a rule may still need, unless something of it is here."""
        lanes = self.lanes.pop(dest)
        kept = None if dest in self.queued else resting.keep(lanes, now, self.fade_ms, self.cold_ms)
        if kept is None:
            self.lanes[dest] = lanes  # its turn comes again
            return
        for lane in lanes.values():
            for ident in lane.doors:
                del self.doors[ident]
        self.bare.discard(dest)
        if kept:
            self.rests[dest] = kept

    def lay_to_rest(self, now: float, events: int) -> None:
        """A turn's part: the lanes used longest ago go to rest, and records of which nothing binds go."""
        looks = resting.LOOKS * events
        if len(self.lanes) > resting.IN_USE:
            for dest in list(islice(self.lanes, min(looks, len(self.lanes) - resting.IN_USE))):
                self._rest(now, dest)
        for dest in list(islice(self.rests, looks)) if self.rests else ():
            kept = self.rests.pop(dest)
            if not resting.lapsed(kept, now):
                self.rests[dest] = kept

    def known(self, dest: int) -> dict[int, tuple[Lane, tuple[int, ...]]]:
        """By route: the lane and its endpoints, also of a destination at rest, which goes on resting. Where nothing was
        ever seen of it there is none."""
        lanes = self.lanes.get(dest)
        if lanes is not None:
            return {route: (lane, tuple(sorted(lane.doors))) for route, lane in lanes.items()}
        entries = self.index.at(dest)
        return {
            route: (lane, tuple(entry.id for entry in entries if self.key(entry) == (dest, route)))
            for route, lane in resting.wake(self.rests.get(dest, b""))[0].items()
        }
