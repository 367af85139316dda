"""Changes of the list: bytes and processor time of each, and the time until the slowest relay acts on it.

Several real relay processes watch one platform emulator.

`at_once_small`: a number of destinations are added, drained and deleted, each step in one object, at relays that know
1,024 destinations. `at_once_large`: the same at relays that know 30,000. The processor time is that of one relay: the
median over the relays of the minimum over the rounds, less what the relay uses in the same time without a change.

`day`: single changes one after the other, a third of each kind, at relays that know 1,024 destinations.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from statistics import median

from benchmarks.slopes import inside
from benchmarks.slopes.platform_commands import ChangeSent
from benchmarks.slopes.processes import ACCEPTED, HttpClient, PlatformProcess, RelayProcess, wait_until_listed
from benchmarks.slopes.series import Measurements, Series

RELAY_COUNT = 4
ROUNDS = 5
SETTLE_S = 0.35
IN_FORCE_TIMEOUT_S = 6.0
"""A change that is not in force within this time is reported as such."""
LIST_TIMEOUT_S = 8.0
KNOWN_DESTINATIONS = 20
"""Number of destinations in the list that a relay is configured with."""
FIRST_ADDED_DESTINATION = 10**6
"""Number of the first destination that is added to the list."""
SUBMIT_INTERVAL_S = 0.001
"""Interval between two rounds of messages that test whether a change is in force."""
DAY_CHANGE_INTERVAL_S = 0.01
DAY_SETTLE_S = 0.2
IDLE_S = 2.0
CHANGE_STATES = {"comes": "SERVING", "drains": "DRAINING", "goes": "DELETED"}
"""Kinds of change, in the order in which a destination goes through them, and the state that discovery sends."""


def differences(after: Sequence[float], before: Sequence[float]) -> list[float]:
    """Return the increase of each value."""
    return [now - was for now, was in zip(after, before, strict=True)]


@dataclass(frozen=True, slots=True)
class RunningFleet:
    """Relays that have read the full list, each with a client."""

    platform: PlatformProcess
    relays: list[RelayProcess]
    clients: list[HttpClient]

    def cpu_us(self) -> list[float]:
        """Processor time of each relay so far, in microseconds."""
        return [relay.cpu_us() for relay in self.relays]

    def cpu_us_during(self, seconds: float) -> list[float]:
        """Processor time of each relay during the next `seconds`, in microseconds."""
        before = self.cpu_us()
        time.sleep(seconds)
        return differences(self.cpu_us(), before)

    def change(self, first: int, count: int, state: str) -> ChangeSent:
        """Change the state of `count` destinations with one JSON object on each watch."""
        address = self.platform.endpoint_address
        return self.platform.change(
            [inside.discovery_entry(number, number, address, state) for number in range(first, first + count)]
        )

    def ms_until_in_force(self, destination: int, since: float) -> float | None:
        """Milliseconds from `since` (monotonic clock) until all relays have accepted a message for a destination.

        Returns:
            None if that takes longer than `IN_FORCE_TIMEOUT_S`.
        """
        waiting = list(self.clients)
        while waiting and time.monotonic() - since < IN_FORCE_TIMEOUT_S:
            waiting = [client for client in waiting if client.submit(destination) != ACCEPTED]
            time.sleep(SUBMIT_INTERVAL_S)
        return None if waiting else (time.monotonic() - since) * 1000


@contextlib.contextmanager
def running_fleet(count: int) -> Iterator[RunningFleet]:
    """Run relays that have read a list of `count` destinations."""
    with contextlib.ExitStack() as stack:
        platform = stack.enter_context(PlatformProcess())
        platform.set_list(count)
        known = list(inside.discovery_entries(KNOWN_DESTINATIONS, 1, platform.endpoint_address))
        relays = [stack.enter_context(RelayProcess(platform, known)) for _ in range(RELAY_COUNT)]
        for relay in relays:
            relay.wait_ready()
        clients = [stack.enter_context(HttpClient(relay.port)) for relay in relays]
        for client in clients:
            wait_until_listed(client, count - 1, LIST_TIMEOUT_S)
        yield RunningFleet(platform, relays, clients)


def minimum_per_relay(rounds: list[list[float]]) -> list[float]:
    """Return the minimum over all rounds for each relay."""
    return [min(values) for values in zip(*rounds, strict=True)]


def measure_burst(count: int, destinations: int) -> Measurements:
    """Measure adding, draining and deleting `count` destinations, each step in one JSON object."""
    with running_fleet(destinations) as fleet:
        idle_us = minimum_per_relay([fleet.cpu_us_during(SETTLE_S) for _ in range(ROUNDS)])
        measurements: Measurements = {}
        samples: dict[str, list[list[float]]] = {name: [] for name in CHANGE_STATES}
        for round_number in range(ROUNDS):
            first = FIRST_ADDED_DESTINATION + round_number * count
            for name, state in CHANGE_STATES.items():
                before_us = fleet.cpu_us()
                sent = fleet.change(first, count, state)
                measurements[f"{name}_bytes"] = float(sent.size_bytes)
                # Testing whether a change is in force costs more processor time than the change itself. The last round
                # of `comes` is therefore used for the time until the change is in force, not for processor time.
                if name == "comes" and round_number == ROUNDS - 1:
                    measurements["in_force_wall_ms"] = _in_force_ms(fleet, first + count - 1, sent)
                    continue
                time.sleep(SETTLE_S)
                samples[name].append(differences(differences(fleet.cpu_us(), before_us), idle_us))
        for name, rounds in samples.items():
            measurements[f"{name}_us"] = max(0.0, median(minimum_per_relay(rounds)))
        measurements["idle_us_a_s"] = median(idle_us) / SETTLE_S
        return measurements


def _in_force_ms(fleet: RunningFleet, destination: int, sent: ChangeSent) -> float | str:
    in_force_ms = fleet.ms_until_in_force(destination, sent.sent_at_s)
    return in_force_ms if in_force_ms is not None else f"not within {IN_FORCE_TIMEOUT_S:g} s"


def measure_day(count: int, destinations: int) -> Measurements:
    """Measure `count` changes, 10 ms apart: a third add, a third drain and a third delete a destination."""
    states = tuple(CHANGE_STATES.values())
    with running_fleet(destinations) as fleet:
        idle_us_a_s = median(fleet.cpu_us_during(IDLE_S)) / IDLE_S
        before_us = fleet.cpu_us()
        started_at = time.monotonic()
        size_bytes = 0
        for number in range(count):
            round_number, step = divmod(number, len(states))
            size_bytes += fleet.change(FIRST_ADDED_DESTINATION + round_number, 1, states[step]).size_bytes
            time.sleep(DAY_CHANGE_INTERVAL_S)
        last = 2 * FIRST_ADDED_DESTINATION
        in_force_ms = fleet.ms_until_in_force(last, fleet.change(last, 1, "SERVING").sent_at_s)
        time.sleep(DAY_SETTLE_S)
        elapsed_s = time.monotonic() - started_at
        used_us = median(differences(fleet.cpu_us(), before_us)) - idle_us_a_s * elapsed_s
        return {
            "us": used_us,
            "us_a_change": used_us / count,
            "change_bytes": float(size_bytes),
            "bytes_a_change": size_bytes / count,
            "last_in_force_wall_ms": in_force_ms if in_force_ms is not None else "never",
            "watches_opened_anew": float(fleet.platform.counts().full_lists - RELAY_COUNT),
        }


POINTS = (1, 10, 25, 50)
CHECKS = (100,)
SERIES = {
    "at_once_small": Series("changes at once", POINTS, CHECKS, lambda count: measure_burst(count, 1024), 1),
    "at_once_large": Series("changes at once", POINTS, CHECKS, lambda count: measure_burst(count, 30_000), 1),
    "day": Series("changes one by one", (60, 120, 240, 480), (1899,), lambda count: measure_day(count, 1024), 1),
}
