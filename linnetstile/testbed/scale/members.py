"""What relays would know of each other: the shipped membership on the simulated clock, all relays in one process.

Relays on the platform run no membership (UDP and TCP between them are allowed, nothing uses them); the relay service
does. Each ask takes a way there and back; one that is not reached has missed it when the service gives up."""

from __future__ import annotations

import heapq
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from ...as2_relay.gossip import ASK_S, FORMAT
from ...engine.membership import Membership, PeerStatus
from .world_model import BEGIN_MS, World

WAY_MS = 30.0, 60.0  # there and back
REQUEST_BYTES = 180  # an ask with its head, as the service writes it; its answer's head
SAMPLE = 64  # relays that are looked at for what they know of others
LOOK_MS = 1000.0


def address(relay: int) -> str:
    return f"10.0.{relay >> 8}.{relay & 255}:4080"


def bare(alive: list[str]) -> int:
    """Bytes of a document without claims."""
    return len(
        json.dumps(
            {
                "format": FORMAT,
                "relay": "relay-000",
                "run": "0" * 16,
                "version": 1,
                "since": 0,
                "relays": 460,
                "peers": alive,
                "few_connections": {},
                "claims": [],
            }
        )
    )


def play(world: World, overdue: Callable[[], bool]) -> dict[str, Any]:
    """Plays all scenes. For each with relays that fail: when those that stay have noticed each of them (ms since), and
    how many pairs never did; asks and bytes of the whole fleet, by scene and in the largest second."""
    rng = random.Random(f"{world.sizes.seed}:members")
    relays = range(world.sizes.relays)
    listed = [address(relay) for relay in relays]
    numbers = {name: relay for relay, name in enumerate(listed)}
    members: dict[int, Membership] = {}
    runs: dict[int, int] = {}
    heap: list[tuple[float, int, str, int, Any]] = []
    order = 0
    asks: Counter[int] = Counter()
    seconds: Counter[int] = Counter()
    sent: Counter[int] = Counter()
    watched = rng.sample(relays, min(SAMPLE, len(relays)))
    noticed: dict[tuple[int, int, int], float] = {}  # scene, who, of whom -> after so long
    cut_at: float | None = None

    def put(at: float, what: str, relay: int, about: Any = None) -> None:
        nonlocal order
        order += 1
        heapq.heappush(heap, (at, order, what, relay, about))

    for relay in relays:
        for life in world.lives[relay]:
            put(life.begin + BEGIN_MS, "start", relay, life)
    while heap and heap[0][0] < world.end:
        now, count, what, relay, about = heapq.heappop(heap)
        if count % 512 == 0 and overdue():
            cut_at = now
            break
        scene = world.scene(now)
        if what == "start":
            members[relay] = Membership(listed[relay], listed, now, rng.getrandbits(32))
            runs[relay] = runs.get(relay, 0) + 1
            put(now, "due", relay, (runs[relay], about.end))
            continue
        run, end = about[0], about[1]
        if run != runs[relay] or now >= end:
            continue
        member = members[relay]
        if what == "due":
            peer = member.next_peer(now)
            if peer is None:
                put(max(member.next_poll_at, now + LOOK_MS), "due", relay, about)
                continue
            asks[scene] += 1
            seconds[int(now // 1000)] += 1
            other = numbers[peer]
            if other in members and world.reaches(relay, other, now):
                put(now + rng.uniform(*WAY_MS), "heard", relay, (run, end, other))
            else:
                put(now + 1000 * ASK_S, "missed", relay, (run, end, other))
            continue
        other = about[2]
        if what == "heard":
            alive = members[other].alive_peers()[:32]
            sent[scene] += 2 * REQUEST_BYTES + bare(alive)
            member.poll_answered(now, listed[other], str(runs[other]), alive)
        else:
            member.poll_failed(now, listed[other])
            if (
                scene >= 0
                and relay in watched
                and other in world.scenes[scene].down
                and now >= world.scenes[scene].failed_at
            ):
                noticed.setdefault((scene, relay, other), now - world.scenes[scene].failed_at)
        put(member.next_poll_at, "due", relay, (run, end))
    rows = []
    for number, each in enumerate(world.scenes):
        stay = [relay for relay in watched if relay not in each.down]
        found = sorted(ms for (scene, _, _), ms in noticed.items() if scene == number)
        rows.append(
            {
                "scene": each.name,
                "pairs": len(stay) * len(each.down),
                "noticed": len(found),
                "after_ms": [round(ms, 1) for ms in found],
                "asks": asks[number],
                "bytes": sent[number],
            }
        )
    standing = Counter(peer.status.value for member in members.values() for peer in member.peers.values())
    assert set(standing) <= {each.value for each in PeerStatus}
    return {
        "scenes": rows,
        "asks": asks.total(),
        "largest_second": max(seconds.values(), default=0),
        "bare_bytes": bare(listed[:32]),
        "cut_at_ms": cut_at,
    }
