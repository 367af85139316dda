"""Changes of the list: bytes and processor time of each, and the time until the last of some relays acts on it.

Real node processes that watch one stand-in discovery. `at_once_small`: so many destinations come, drain and go in one
object each, at relays that know 1,024; `at_once_large`: at relays that know 30,000. Processor time is of one relay (the
median of all, of each its least round), less what it uses in the same time without a change. `day`: changes one after
the other, a third of each kind, at relays that know 1,024.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from statistics import median
from typing import Any

from benchmarks.slopes import inside
from benchmarks.slopes.harness import Found, Series
from benchmarks.slopes.outside import Child, Client, Node, until_listed

RELAYS = 4
ROUNDS = 5
SETTLE_S = 0.35
TOLD_S = 6.0  # a change counts as told by then


@contextlib.contextmanager
def fleet(count: int) -> Iterator[tuple[Child, list[Node], list[Client]]]:
    """Relays that have read the list of so many destinations."""
    with contextlib.ExitStack() as stack:
        child = stack.enter_context(Child())
        child.list(count)
        known = list(inside.servers(20, 1, child.sink))
        nodes = [stack.enter_context(Node(child, known)) for _ in range(RELAYS)]
        for node in nodes:
            node.ready()
        clients = [stack.enter_context(Client(node.port)) for node in nodes]
        for client in clients:
            until_listed(client, count - 1, 8.0)
        yield child, nodes, clients


def spent(nodes: list[Node], seconds: float) -> list[float]:
    before = [node.cpu() for node in nodes]
    time.sleep(seconds)
    return [node.cpu() - was for node, was in zip(nodes, before, strict=True)]


def in_force(clients: list[Client], destination: int, since: float) -> float | None:
    """Ms of the monotonic clock from `since` until the last relay takes a message for a destination that has come."""
    left = list(clients)
    while left and time.monotonic() - since < TOLD_S:
        left = [client for client in left if client.hand_in(destination) != 202]
        time.sleep(0.001)
    return None if left else (time.monotonic() - since) * 1000


def batch(child: Child, first: int, count: int, state: str) -> list[dict[str, Any]]:
    return [inside.server(number, number, child.sink, state) for number in range(first, first + count)]


def at_once(count: int, destinations: int) -> Found:
    with fleet(destinations) as (child, nodes, clients):
        quiet = [spent(nodes, SETTLE_S) for _ in range(ROUNDS)]
        idle = [min(each) for each in zip(*quiet, strict=True)]
        told: Found = {}
        samples: dict[str, list[list[float]]] = {}
        first = 10**6
        for each in range(ROUNDS):
            for name, state in (("comes", "SERVING"), ("drains", "DRAINING"), ("goes", "DELETED")):
                before = [node.cpu() for node in nodes]
                done = child.do("change", servers=batch(child, first, count, state))
                told[f"{name}_bytes"] = float(done["bytes"])
                if name == "comes" and each == ROUNDS - 1:  # its polls cost more than it: only its time counts
                    force = in_force(clients, first + count - 1, done["at"])
                    told["in_force_wall_ms"] = force if force is not None else f"not within {TOLD_S:g} s"
                    continue
                time.sleep(SETTLE_S)
                samples.setdefault(name, []).append(
                    [node.cpu() - was - rest for node, was, rest in zip(nodes, before, idle, strict=True)]
                )
            first += count
        for name, rounds in samples.items():
            told[f"{name}_us"] = max(0.0, median(map(min, zip(*rounds, strict=True))))
        told["idle_us_a_s"] = median(idle) / SETTLE_S
        return told


def day(count: int, destinations: int) -> Found:
    """So many changes, 10 ms apart: a third come, a third drain, a third go."""
    with fleet(destinations) as (child, nodes, clients):
        idle = median(spent(nodes, 2.0)) / 2.0
        before, began = [node.cpu() for node in nodes], time.monotonic()
        size = 0
        for number in range(count):
            state = ("SERVING", "DRAINING", "DELETED")[number % 3]
            done = child.do("change", servers=batch(child, 10**6 + number // 3, 1, state))
            size += done["bytes"]
            time.sleep(0.01)
        at = child.do("change", servers=batch(child, 2 * 10**6, 1, "SERVING"))["at"]
        force = in_force(clients, 2 * 10**6, at)
        time.sleep(0.2)
        wall = time.monotonic() - began
        used = median(node.cpu() - was for node, was in zip(nodes, before, strict=True)) - idle * wall
        return {
            "us": used,
            "us_a_change": used / count,
            "change_bytes": float(size),
            "bytes_a_change": size / count,
            "last_in_force_wall_ms": force if force is not None else "never",
            "watches_opened_anew": float(child.do("counts")["wholes"] - RELAYS),
        }


POINTS, CHECKS = (1, 10, 25, 50), (100,)
SERIES = {
    "at_once_small": Series("changes at once", POINTS, CHECKS, lambda count: at_once(count, 1024), 1),
    "at_once_large": Series("changes at once", POINTS, CHECKS, lambda count: at_once(count, 30_000), 1),
    "day": Series("changes one by one", (60, 120, 240, 480), (1899,), lambda count: day(count, 1024), 1),
}
