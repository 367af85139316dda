"""The state of the world at each moment, drawn by a seed: destinations, zones, regions, outages, changes, lives.

Nothing here knows of relays' decisions. Times are simulated ms since the run began; the same seed and sizes draw the
same world, whatever machine plays it."""

from __future__ import annotations

import json
import random
import zlib
from bisect import bisect_right
from dataclasses import dataclass, field
from typing import Any

from linnetstile.engine.settings import Settings

from ...config import platform
from ...platform_relay.config import one_a_call

REGIONS, ZONES = 2, 6
TARGET_RELAYS, TARGET_DESTINATIONS, TARGET_EVENTS = 460, 120_000, 1_100_000.0  # events a second, of the whole fleet
CHANGES_A_DAY, MACHINES = 1_900, 5
EACH_PER_S = TARGET_EVENTS / TARGET_DESTINATIONS  # what one destination gets from all relays
RATE = 1.6 * EACH_PER_S  # calls a second that a destination lists
SETTLE_MS = 12_000.0  # before the first scene: relays read the list, destinations in use get their first calls
TOLD_MS = 5.0, 50.0  # from discovery's change to the relay's agent, drawn for each relay and change
BEGIN_MS = 300.0  # from a process's start to its first watch
EMPTY_MS, EMPTY_BYTES = 2_000.0, 6  # an empty line of the watch, as a chunk
KINDS, HOW = ("office",), ("refused", "refused", "lost", "hangs", "errors")
RAW: dict[str, Any] = {
    "classes": [
        {"name": "state", "effect": "repeatable", "aim-ms": 5_000.0, "deadline-ms": 120_000.0},
        {"name": "order", "effect": "by_key", "aim-ms": 5_000.0, "deadline-ms": 120_000.0, "window-ms": 30_000.0},
        {"name": "pay", "effect": "once", "aim-ms": 5_000.0, "deadline-ms": 120_000.0},
    ],
    "kinds": list(KINDS),
    "zones": [f"z{n}" for n in range(ZONES)],
    "orgs": [{"name": "all", "quota-per-s": 1e9}],
    "extra": {"call-slots": 256},
    "weight-kind": "nominal",
    "limits": {
        "open-cap": 20_000,
        "try-limit": 16,
        "conn-idle-ms": 10_000.0,
        "connect-timeout-ms": 500.0,
        "cancelling": True,
    },
    "safety": {
        "drain-grace-ms": 250.0,
        "cold-from": 0.2,
        "cold-ms": 10_000.0,
        "fall-multiple": 2.0,
        "fall-ms": 1_500.0,
    },
}


class OptionError(ValueError):
    """One line: the option, what was expected, what was found."""

    def __init__(self, option: str, expected: str, found: object) -> None:
        super().__init__(f"--{option}: expected {expected}, found {found!r}")


RANGES: dict[str, tuple[int, int]] = {  # of the options that are whole numbers
    "seed": (0, 2**31),
    "relays": (2, 2_000),
    "destinations": (12, 200_000),
    "real": (0, 8),
    "played": (0, 2_000),
    "in_use": (2, 2_000),
    "workers": (1, 16),
    "minutes": (1, 10),
    "changes": (0, 20_000),
    "failing": (0, 2_000),
    "restarts": (0, 2_000),
    "rack": (1, 2_000),
    "day_s": (20, 3_600),
    "zone_s": (20, 3_600),
    "parted_s": (20, 3_600),
    "held": (0, 1_000),
    "cost_most": (100, 200_000),
}
SCENES = ("day", "rack", "zone", "parted", "hands")


@dataclass(frozen=True, slots=True)
class Sizes:
    """What the options say. `played` = 0: all relays are."""

    seed: int = 1
    relays: int = TARGET_RELAYS
    destinations: int = 2_000
    real: int = 2
    played: int = 0
    in_use: int = 32  # destinations that get their traffic, each of them all of it
    workers: int = 4
    minutes: int = 10
    changes: int = CHANGES_A_DAY
    failing: int = 2
    restarts: int = 84
    rack: int = 20
    day_s: int = 240
    zone_s: int = 120
    parted_s: int = 600
    held: int = 20  # messages a destination in use that a relay of the last scene finds in its folder
    cost_most: int = 16_000  # destinations of the longest list whose cost is measured
    scenes: tuple[str, ...] = SCENES

    def check(self) -> None:
        """Raises OptionError."""
        for name, (least, most) in RANGES.items():
            if not least <= getattr(self, name) <= most:
                raise OptionError(name.replace("_", "-"), f"a whole number from {least} to {most}", getattr(self, name))
        for name, most, why in (
            ("played", self.relays, "--relays"),
            ("in_use", self.destinations, "--destinations"),
            ("rack", self.relays - 1, "--relays less one"),
            ("restarts", self.relays - self.failing, "--relays less --failing"),
        ):
            if getattr(self, name) > most:
                raise OptionError(name.replace("_", "-"), f"no more than {why} ({most})", getattr(self, name))
        if not self.scenes or len(set(self.scenes)) < len(self.scenes) or not set(self.scenes) <= set(SCENES):
            raise OptionError("scenes", f"some of {','.join(SCENES)}, each once", ",".join(self.scenes))

    @property
    def hollow(self) -> list[int]:
        """The relays that are played, spread over the zones."""
        step = self.relays / (self.played or self.relays)
        return [int(n * step) for n in range(self.played or self.relays)]


@dataclass(frozen=True, slots=True)
class Outage:
    number: int
    destination: int
    begin: float
    end: float
    how: str
    region: int | None = None  # only relays of this region see it; None = all
    cold: bool = True  # the destination itself was down, and is cold when it is back


@dataclass(frozen=True, slots=True)
class Change:
    """One change of discovery. `cell` is the destination that it is about."""

    version: int
    at: float
    what: str
    cell: int
    line: bytes
    entry: bytes  # of the endpoint that is in force from now on


@dataclass(frozen=True, slots=True)
class Life:
    """A relay's process: from its start to its end. `keeps`: it finds what the one before held."""

    begin: float
    end: float
    keeps: bool = False
    hands: int = 0  # messages a destination in use that its folder holds beside


@dataclass(slots=True)
class Scene:
    name: str
    begin: float
    end: float
    down: list[int] = field(default_factory=list)  # relays that fail in it
    failed_at: float = 0.0


class World:
    """Zones by number: relay or destination n lies in zone n % 6, zones 0 to 2 in region 0. `ports`: all endpoints lie
    on these two ports of loopback, by turns; else at addresses that nobody calls."""

    def __init__(self, sizes: Sizes, ports: tuple[int, int] | None = None) -> None:
        self.sizes, self.ports = sizes, ports
        self.raw: dict[str, Any] = {**RAW, "balancers": sizes.relays}
        self.cells = sizes.destinations  # grows with the changes that add one
        self.turns: dict[int, list[tuple[float, int]]] = {}  # destination -> when its endpoint became which
        self.weights: dict[int, list[tuple[float, float]]] = {}  # destination -> since when it lists which rate
        self.drained: set[tuple[int, int]] = set()  # destination and endpoint that only drains, beside its successor
        self.base: list[bytes] = [self.entry(cell, 0) for cell in range(self.cells)]
        self.changes: list[Change] = []
        self.outages: list[Outage] = []
        self.by_cell: dict[int, list[Outage]] = {}
        self.lives: dict[int, list[Life]] = {}
        self.silent: dict[int, list[tuple[float, float]]] = {}  # region -> when discovery can't be reached from it
        self.cuts: list[tuple[float, float]] = []  # regions parted
        self.scenes: list[Scene] = []
        self.in_use: list[int] = []
        self.troubled: dict[int, tuple[float, float, str]] = {}  # by destination: an outage of the scene day, in its ms
        self.end = 0.0
        self._whole: tuple[int, bytes] = (0, b"")

    def mark(self) -> int:
        """The same for the same world: guards against processes that have drawn another one."""
        found = zlib.crc32(b"".join(change.line for change in self.changes))
        return zlib.crc32(repr((self.outages, self.lives, self.in_use, self.end)).encode(), found)

    # -- places ----------------------------------------------------------------------------------------------

    @staticmethod
    def zone(number: int) -> int:
        return number % ZONES

    @staticmethod
    def region(number: int) -> int:
        return number % ZONES * REGIONS // ZONES

    def settings(self, relay: int) -> Settings:
        return one_a_call(platform.settings_from({**self.raw, "az": self.zone(relay)}))

    # -- discovery -------------------------------------------------------------------------------------------

    @staticmethod
    def name(cell: int, turn: int) -> str:
        return f"s-{cell:06x}{turn % 256:02x}"

    def entry(self, cell: int, turn: int, state: str = "SERVING") -> bytes:
        """One entry of discovery, as it travels."""
        address = (
            f"127.0.0.1:{self.ports[turn % 2]}"
            if self.ports
            else f"127.{1 + (cell >> 16) % 200}.{cell >> 8 & 255}.{cell & 255}:{3000 + turn % 100}"
        )
        return json.dumps(
            {
                "id": self.name(cell, turn),
                "addr": address,
                "zone": f"z{self.zone(cell)}",
                "kind": KINDS[0],
                "cell": cell,
                "state": state,
                "weight": self.rate(cell, float("inf")),
                "started_ms": 0,
            },
            separators=(",", ":"),
        ).encode()

    def rate(self, cell: int, at: float) -> float:
        """Calls a second that a destination lists."""
        told = [rate for since, rate in self.weights.get(cell, ()) if since <= at]
        return told[-1] if told else round(RATE, 3)

    def turn(self, cell: int, at: float) -> int:
        """Which endpoint of a destination is in force; the n-th has replaced the one before. -1: none yet."""
        turns = self.turns.get(cell)
        if turns is None:
            return 0 if cell < self.sizes.destinations else -1
        found = bisect_right(turns, at, key=lambda each: each[0])
        return turns[found - 1][1] if found else (0 if cell < self.sizes.destinations else -1)

    def change(self, what: str, cell: int, at: float, rng: random.Random, since: float | None = None) -> Change:
        """Appends a change that discovery has `at`, and that happened `since`. A new weight; an endpoint replaced at
        once, or drained beside its successor; a new destination; one that is left without."""
        since = at if since is None else since
        if what == "add":
            cell, turn = self.cells, 0
            self.cells += 1
            entries = [self.entry(cell, 0)]
            self.turns[cell] = [(since, 0)]
        elif what == "weight":
            self.weights.setdefault(cell, []).append((since, round(RATE * rng.uniform(0.8, 1.25), 3)))
            entries = [self.entry(cell, self.turn(cell, at))]
        elif what == "gone":
            entries = [self.entry(cell, self.turn(cell, at), "DELETED")]
            self.turns.setdefault(cell, []).append((since, -1))
        else:
            turn = self.turn(cell, at)
            entries = [
                self.entry(cell, turn, "DELETED" if what == "replace" else "DRAINING"),
                self.entry(cell, turn + 1),
            ]
            self.turns.setdefault(cell, []).append((since, turn + 1))
            if what == "drain":
                self.drained.add((cell, turn))
        version = 2 + len(self.changes)
        line = b'{"version":%d,"full":false,"servers":[%s]}\n' % (version, b",".join(entries))
        made = Change(version, at, what, cell, line, entries[-1])
        self.changes.append(made)
        return made

    def version(self, at: float) -> int:
        return 1 + bisect_right(self.changes, at, key=lambda change: change.at)

    def whole(self, version: int) -> bytes:
        """The line with the whole list as of a version. Drained endpoints that were replaced are out of it."""
        if self._whole[0] != version:
            last: dict[int, bytes] = {}
            for change in self.changes[: version - 1]:
                last[change.cell] = b"" if change.what == "gone" else change.entry
            entries = [last.pop(cell, entry) for cell, entry in enumerate(self.base)] + list(last.values())
            entries = [entry for entry in entries if entry]
            self._whole = version, b'{"version":%d,"full":true,"servers":[%s]}\n' % (version, b",".join(entries))
        return self._whole[1]

    def after(self, version: int, until: int) -> list[Change]:
        return self.changes[max(0, version - 1) : until - 1]

    def hears(self, relay: int, at: float) -> bool:
        """Whether discovery can be reached by a relay's agent."""
        return not any(begin <= at < end for begin, end in self.silent.get(self.region(relay), ()))

    def told_at(self, relay: int, at: float) -> float:
        """When a relay's agent has what discovery had at a moment, both reachable."""
        return at + random.Random(f"{self.sizes.seed}:{relay}:{at}").uniform(*TOLD_MS)

    # -- destinations ----------------------------------------------------------------------------------------

    def fail(self, cell: int, begin: float, end: float, how: str, region: int | None = None, cold: bool = True) -> None:
        outage = Outage(len(self.outages), cell, begin, end, how, region, cold)
        self.outages.append(outage)
        self.by_cell.setdefault(cell, []).append(outage)

    def down(self, cell: int, region: int, at: float) -> Outage | None:
        """The outage that calls from a region meet now."""
        for outage in self.by_cell.get(cell, ()):
            if outage.begin <= at < outage.end and outage.region in (None, region):
                return outage
        return None

    def next_down(self, cell: int, region: int, at: float) -> float:
        return min(
            (o.begin for o in self.by_cell.get(cell, ()) if o.begin > at and o.region in (None, region)),
            default=float("inf"),
        )

    def reaches(self, one: int, other: int, at: float) -> bool:
        """Whether two relays are up and their regions joined."""
        cut = self.region(one) != self.region(other) and any(begin <= at < end for begin, end in self.cuts)
        return not cut and any(life.begin <= at < life.end for life in self.lives[other])

    def scene(self, at: float) -> int:
        """Number of the scene of a moment; -1 before the first."""
        return bisect_right(self.scenes, at, key=lambda scene: scene.begin) - 1
