"""Destinations that a relay knows of, and two endpoints of each: memory, reading a list, a change, a message, starting.

`memory`: bytes by tracemalloc, in one process: directory, then engine. `list` and `list_two`: processor time of reading
the full list in text, directory and engine, and the longest of its steps; then of one change (the best of 7) and of a
message with its answer. `node`: a real relay that knows 20 destinations gets the list by its watch: memory over the
same relay with 20, time until the last destination of the list is in force, and the longest time that a client
waited for an answer meanwhile; then all once more as the watch is cut. `connections`: memory of a real relay by
the connections to endpoints that it keeps.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from benchmarks.common import BYTES_PER_MB
from benchmarks.slopes import inside
from benchmarks.slopes.destination_lists import STRIDE, measure_memory, measure_reading
from benchmarks.slopes.platform_commands import Entry
from benchmarks.slopes.processes import AFTER_LIST_S, HttpClient, PlatformProcess, RelayProcess, wait_until_listed
from benchmarks.slopes.series import Measurements, Series

SIZES = (1024, 7500, 15_000, 30_000, 60_000)
TARGET_SIZES = (120_000,)
SMALL_SIZES = (1024, 3750, 7500, 15_000)
"""Where tracing makes it slow."""
HALF_OF_TARGET = (60_000,)
BASELINE_DESTINATIONS = 20
"""Destinations of the relay that others are compared with."""
BASELINE_TIMEOUT_S = 3.0
CONNECTIONS_TIMEOUT_S = 5.0
LIST_TIMEOUT_S = 8.0
SETTLE_S = 0.2
TRACKED_MESSAGES = 40
MESSAGE_INTERVAL_S = 0.01
LAST_MESSAGE_S = 0.1
FIRST_NEW = 10**6
"""Number of the first endpoint that comes besides the list."""


@dataclass(frozen=True, slots=True)
class Baseline:
    """A relay with `BASELINE_DESTINATIONS`: seconds until it is ready, then its memory and processor time."""

    ready_s: float
    resident_mb: float
    cpu_us: float


def measure_baseline(platform: PlatformProcess) -> Baseline:
    """Start a relay that gets a short list."""
    platform.set_list(BASELINE_DESTINATIONS)
    with RelayProcess(platform, _baseline_entries(platform)) as relay:
        ready_s = relay.wait_ready()
        with HttpClient(relay.port) as client:
            wait_until_listed(client, BASELINE_DESTINATIONS - 1, BASELINE_TIMEOUT_S)
        return Baseline(ready_s, relay.resident_mb(), relay.cpu_us())


def measure_relay(count: int) -> Measurements:
    """A real relay that gets a list of so many destinations, over one with `BASELINE_DESTINATIONS`."""
    with PlatformProcess() as platform:
        baseline = measure_baseline(platform)
        list_bytes = platform.set_list(count)
        with RelayProcess(platform, _baseline_entries(platform)) as relay:
            ready_s = relay.wait_ready()
            found: Measurements = {
                "list_bytes": float(list_bytes),
                "ready_wall_ms": ready_s * 1000,
                "ready_over_20_wall_ms": max(0.0, ready_s - baseline.ready_s) * 1000,
            }
            with HttpClient(relay.port) as client:
                return found | measure_after_start(platform, relay, client, count, baseline)


def measure_after_start(
    platform: PlatformProcess, relay: RelayProcess, client: HttpClient, count: int, baseline: Baseline
) -> Measurements:
    """Wait until the list is in force; then the first messages, and a watch that is opened anew."""
    listed_s, longest_wait_ms = wait_until_listed(client, count - 1, LIST_TIMEOUT_S)
    listed_ms = (time.monotonic() - relay.began - AFTER_LIST_S) * 1000
    found: Measurements = {
        "listed_wall_ms": listed_ms if listed_s is not None else "refused: not in force within 8 s",
        "start_longest_wait_wall_ms": longest_wait_ms,
        "over_20_mb": relay.resident_mb() - baseline.resident_mb,
    }
    if listed_s is None:
        return found | {"watches": float(platform.counts().full_lists)}
    found["start_over_20_us"] = relay.cpu_us() - baseline.cpu_us
    found |= measure_first_messages(platform, client, count)
    found |= measure_reopened_watch(platform, relay, client, count)
    found["over_20_after_again_mb"] = relay.resident_mb() - baseline.resident_mb
    return found


def _baseline_entries(platform: PlatformProcess) -> list[Entry]:
    return list(inside.discovery_entries(BASELINE_DESTINATIONS, 1, platform.endpoint_address))


def measure_connections(count: int) -> Measurements:
    """Memory of a real relay that has just called so many destinations and keeps a connection to each.

    It is compared with the same relay once `BASELINE_DESTINATIONS` others have been called.
    """
    total = count + BASELINE_DESTINATIONS
    with PlatformProcess() as platform:
        platform.set_list(total)
        with RelayProcess(platform, _baseline_entries(platform)) as relay:
            relay.wait_ready()
            with HttpClient(relay.port) as client:
                wait_until_listed(client, total - 1, CONNECTIONS_TIMEOUT_S)
                _call_all(client, 0, BASELINE_DESTINATIONS)
                before_mb = relay.resident_mb()
                _call_all(client, BASELINE_DESTINATIONS, total)
                descriptors = len(list(Path(f"/proc/{relay.pid}/fd").iterdir()))
                grown_bytes = (relay.resident_mb() - before_mb) * BYTES_PER_MB
                return {"over_before_bytes": grown_bytes, "descriptors": float(descriptors)}


def _call_all(client: HttpClient, first: int, end: int) -> None:
    """Submit a message for each destination, and wait until they are sent."""
    for destination in range(first, end):
        client.submit(destination)
    time.sleep(SETTLE_S)


def measure_first_messages(platform: PlatformProcess, client: HttpClient, count: int) -> Measurements:
    """From submission to the endpoint, over 40 idle destinations, then over the same ones again; the medians."""
    found: Measurements = {}
    platform.track_calls(True)
    destinations = [(number * STRIDE) % (count - 1) for number in range(min(TRACKED_MESSAGES, count - 1))]
    for name in ("first_message_wall_ms", "next_message_wall_ms"):
        sent_at_s = {}
        for destination in destinations:
            identifier = f"{name[:5]}-{destination}"
            sent_at_s[identifier] = time.monotonic()
            client.submit(destination, identifier=identifier)
            time.sleep(MESSAGE_INTERVAL_S)
        time.sleep(LAST_MESSAGE_S)
        arrived_at_s = platform.first_calls()
        found[name] = median(
            (arrived_at_s[identifier] - sent_s) * 1000
            for identifier, sent_s in sent_at_s.items()
            if identifier in arrived_at_s
        )
    platform.track_calls(False)
    return found


def measure_reopened_watch(
    platform: PlatformProcess, relay: RelayProcess, client: HttpClient, count: int
) -> Measurements:
    """The watch ends once and is opened anew: what that takes beside clients; one destination has come meanwhile."""
    before_us = relay.cpu_us()
    bytes_before = platform.counts().full_list_bytes
    platform.cut_watches([inside.discovery_entry(FIRST_NEW + count, count, platform.endpoint_address)])
    listed_s, longest_wait_ms = wait_until_listed(client, count, LIST_TIMEOUT_S)
    found: Measurements = {
        "again_longest_wait_wall_ms": longest_wait_ms,
        "again_us": relay.cpu_us() - before_us,
        "again_list_bytes": float(platform.counts().full_list_bytes - bytes_before),
    }
    found["again_listed_wall_ms"] = listed_s * 1000 if listed_s is not None else "not in force within 8 s"
    return found


TWO_ENDPOINTS = "destinations of two endpoints"
SERIES = {
    "memory": Series("destinations", SMALL_SIZES, TARGET_SIZES, measure_memory, 1),
    "memory_two": Series(TWO_ENDPOINTS, SMALL_SIZES, HALF_OF_TARGET, lambda count: measure_memory(count, 2), 1),
    "list": Series("destinations", SIZES, TARGET_SIZES, measure_reading, 2),
    "list_two": Series(TWO_ENDPOINTS, SIZES[:-1], TARGET_SIZES, lambda count: measure_reading(count, 2), 1),
    "connections": Series("connections kept", (40, 80, 120, 160), (220,), measure_connections, 1),
    "node": Series("destinations", SIZES[:-1], (50_000, 60_000, 120_000), measure_relay, 1),
}
