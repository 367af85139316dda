"""The scenes of a scale run, one after the other on one time line; each draws from its own seed."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from .world_model import HOW, SETTLE_MS, ZONES, Life, Scene, Sizes, World

DOWN = 0.019  # part of the destinations that are down at any time of an ordinary day
DOWN_MS = 60_000.0  # mean length of such an outage: an exponential one, at most an hour
REST_MS = 20_000.0  # between scenes: twice the time that evidence counts
RESTART_MS = 700.0, 4_000.0  # a process is away for so long
RACK_MS, HANDS_MS = 90_000.0, 90_000.0
WHAT = ("weight", "weight", "replace", "replace", "drain", "add")


def build(sizes: Sizes, ports: tuple[int, int] | None = None) -> World:
    """The world of these sizes."""
    world = World(sizes, ports)
    begin = SETTLE_MS
    spans = {relay: list[tuple[float, float, bool, int]]() for relay in range(sizes.relays)}  # away, and what is found
    fills: dict[str, Callable[[World, Scene, random.Random, dict[int, list[tuple[float, float, bool, int]]]], None]] = {
        "day": _day,
        "rack": _rack,
        "zone": _zone,
        "parted": _parted,
        "hands": _hands,
    }
    lengths = {
        "day": sizes.day_s * 1e3,
        "rack": RACK_MS,
        "zone": sizes.zone_s * 1e3 + 40_000.0,
        "parted": sizes.parted_s * 1e3 + 40_000.0,
        "hands": HANDS_MS,
    }
    _use(world, sizes, lengths["day"] if "day" in sizes.scenes else 0.0)
    for name in sizes.scenes:
        scene = Scene(name, begin, begin + lengths[name])
        world.scenes.append(scene)
        fills[name](world, scene, random.Random(f"{sizes.seed}:{name}"), spans)
        begin = scene.end + REST_MS
    world.end = begin
    for relay, away in spans.items():
        up, found = 0.0, (False, 0)
        world.lives[relay] = []
        for gone, back, keeps, hands in sorted(away):
            world.lives[relay].append(Life(up, gone, *found))
            up, found = back, (keeps, hands)
        if up < world.end:
            world.lives[relay].append(Life(up, world.end, *found))
    return world


def _use(world: World, sizes: Sizes, day_ms: float) -> None:
    """Draws the outages of an ordinary day for all destinations, then those that get their traffic: half of them with
    such an outage, as far as there are."""
    rng = random.Random(f"{sizes.seed}:use")
    troubled: dict[int, tuple[float, float, str]] = {}
    rise = DOWN_MS * (1 / DOWN - 1)  # mean time between two outages of one destination
    for cell in range(sizes.destinations if day_ms else 0):
        at = 0.0 if rng.random() < DOWN else rng.expovariate(1 / rise)
        if at < day_ms:
            end = min(at + rng.expovariate(1 / DOWN_MS), day_ms + REST_MS / 2, at + 3.6e6)
            troubled[cell] = at, end, rng.choice(HOW)
    chosen = rng.sample(sorted(troubled), min(len(troubled), sizes.in_use // 2))
    zones = Counter(world.zone(cell) for cell in chosen)
    spare = [list[int]() for _ in range(ZONES)]  # by zone, in an order by chance
    for cell in rng.sample(range(sizes.destinations), sizes.destinations):
        if cell not in troubled:
            spare[world.zone(cell)].append(cell)
    while len(chosen) < sizes.in_use and any(spare):  # zones as even as they can be
        zone = min((zone for zone in range(ZONES) if spare[zone]), key=lambda zone: (zones[zone], zone))
        chosen.append(spare[zone].pop())
        zones[zone] += 1
    world.in_use = sorted(chosen)
    world.troubled = troubled


Spans = dict[int, list[tuple[float, float, bool, int]]]


def _changes(world: World, count: int, begin: float, end: float, rng: random.Random, parted: bool = False) -> None:
    """Changes at random moments. While the regions are parted, discovery gets those of region 1 at the joining."""
    drawn = []
    for _ in range(count):
        cell = rng.randrange(world.sizes.destinations)
        since = rng.uniform(begin, end)
        late = parted and world.region(cell) == 1
        drawn.append((end + rng.uniform(0.0, 1_000.0) if late else since, since, cell))
    for at, since, cell in sorted(drawn):
        world.change(rng.choice(WHAT), cell, at, rng, since)


def _day(world: World, scene: Scene, rng: random.Random, spans: Spans) -> None:
    """Outages as drawn by `_use`. Some relays fail for good, others are restarted (their folder kept) or replaced."""
    sizes = world.sizes
    for cell, (begin, end, how) in sorted(world.troubled.items()):
        world.fail(cell, scene.begin + begin, scene.begin + end, how)
    _changes(world, sizes.changes, scene.begin, scene.end - 5_000.0, rng)
    chosen = rng.sample(range(sizes.relays), sizes.failing + sizes.restarts)
    scene.down, scene.failed_at = sorted(chosen[: sizes.failing]), scene.begin + 10_000.0
    for relay in scene.down:
        spans[relay].append((scene.failed_at, scene.end + REST_MS / 2, False, 0))
    for n, relay in enumerate(chosen[sizes.failing :]):
        at = rng.uniform(scene.begin, scene.end - 10_000.0)
        spans[relay].append((at, at + rng.uniform(*RESTART_MS), n % 2 == 0, 0))


def _rack(world: World, scene: Scene, rng: random.Random, spans: Spans) -> None:
    """Relays that stand in one rack, so in one zone as far as it has so many, go at once and stay away."""
    order = sorted(range(world.sizes.relays), key=lambda relay: (world.zone(relay), relay))
    scene.down, scene.failed_at = order[: world.sizes.rack], scene.begin + 5_000.0
    for relay in scene.down:
        spans[relay].append((scene.failed_at, scene.end, False, 0))


def _zone(world: World, scene: Scene, rng: random.Random, spans: Spans) -> None:
    """All relays and destinations of a zone vanish at once, and are back at once, the destinations cold."""
    gone = rng.randrange(ZONES)
    begin, end = scene.begin + 5_000.0, scene.begin + 5_000.0 + world.sizes.zone_s * 1e3
    scene.failed_at = begin
    scene.down = [relay for relay in range(world.sizes.relays) if world.zone(relay) == gone]
    for relay in scene.down:
        spans[relay].append((begin, end, True, 0))
    for cell in range(world.sizes.destinations):
        if world.zone(cell) == gone:
            world.fail(cell, begin, end, "lost")


def _parted(world: World, scene: Scene, rng: random.Random, spans: Spans) -> None:
    """Calls, asks and discovery do not pass between the regions. Discovery stands in region 0: relays of
    region 1 hear nothing, and it hears of the changes there as the regions are joined."""
    begin, end = scene.begin + 5_000.0, scene.begin + 5_000.0 + world.sizes.parted_s * 1e3
    scene.failed_at = begin
    world.cuts.append((begin, end))
    world.silent.setdefault(1, []).append((begin, end))
    for cell in world.in_use:
        world.fail(cell, begin, end, "lost", region=1 - world.region(cell), cold=False)
    _changes(
        world,
        max(1, int(world.sizes.changes * world.sizes.parted_s / 86_400)) if world.sizes.changes else 0,
        begin,
        end,
        rng,
        parted=True,
    )


def _hands(world: World, scene: Scene, rng: random.Random, spans: Spans) -> None:
    """All relays of a zone end at once and start again, each with a backlog in its folder."""
    zone = rng.randrange(ZONES)
    scene.failed_at = scene.begin + 5_000.0
    scene.down = [relay for relay in range(world.sizes.relays) if world.zone(relay) == zone]
    for relay in scene.down:
        spans[relay].append((scene.failed_at, scene.failed_at + rng.uniform(*RESTART_MS), True, world.sizes.held))
