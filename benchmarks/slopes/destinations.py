"""Destinations that a relay knows, with one or two endpoints each: memory, reading a list, a change, a message, start.

`memory`, `memory_two`: bytes by tracemalloc in one process, for the directory and the engine.

`list`, `list_two`: processor time of reading the full list (parser, directory and engine) and of its longest step; then
of one change (the minimum of 7) and of a message with its answer.

`node`: a real relay that is configured with 20 destinations gets the list by its watch. Measured are its memory beyond
that of a relay with 20 destinations, the time until the last destination of the list is in force, and the longest time
that a client waits for an answer meanwhile; then the same after the watch was cut.

`connections`: memory of a real relay by the number of connections to endpoints that it keeps.
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
from benchmarks.slopes.processes import (
    SUBMIT_AFTER_LISTED_S,
    HttpClient,
    PlatformProcess,
    RelayProcess,
    wait_until_listed,
)
from benchmarks.slopes.series import Measurements, Series

SIZES = (1024, 7500, 15_000, 30_000, 60_000)
TARGET_SIZES = (120_000,)
SMALL_SIZES = (1024, 3750, 7500, 15_000)
"""Sizes for measurements that tracemalloc slows down."""
HALF_OF_TARGET = (60_000,)
BASELINE_DESTINATIONS = 20
"""Number of destinations of the relay that others are compared with."""
BASELINE_TIMEOUT_S = 3.0
CONNECTIONS_TIMEOUT_S = 5.0
LIST_TIMEOUT_S = 8.0
SETTLE_S = 0.2
TRACKED_MESSAGES = 40
MESSAGE_INTERVAL_S = 0.01
LAST_CALL_WAIT_S = 0.1
FIRST_ADDED_ENDPOINT = 10**6
"""Endpoints that are added after the list was set are numbered from here."""


@dataclass(frozen=True, slots=True)
class Baseline:
    """A relay with `BASELINE_DESTINATIONS`: seconds until it was ready, then its memory and processor time."""

    ready_s: float
    resident_mb: float
    cpu_us: float


def measure_baseline(platform: PlatformProcess) -> Baseline:
    """Measure a relay that gets a list of `BASELINE_DESTINATIONS`."""
    platform.set_list(BASELINE_DESTINATIONS)
    with RelayProcess(platform, _baseline_entries(platform)) as relay:
        ready_s = relay.wait_ready()
        with HttpClient(relay.port) as client:
            wait_until_listed(client, BASELINE_DESTINATIONS - 1, BASELINE_TIMEOUT_S)
        return Baseline(ready_s, relay.resident_mb(), relay.cpu_us())


def measure_relay(count: int) -> Measurements:
    """Measure a real relay that gets a list of `count` destinations, less one that gets `BASELINE_DESTINATIONS`."""
    with PlatformProcess() as platform:
        baseline = measure_baseline(platform)
        list_bytes = platform.set_list(count)
        with RelayProcess(platform, _baseline_entries(platform)) as relay:
            ready_s = relay.wait_ready()
            measurements: Measurements = {
                "list_bytes": float(list_bytes),
                "ready_wall_ms": ready_s * 1000,
                "ready_over_20_wall_ms": max(0.0, ready_s - baseline.ready_s) * 1000,
            }
            with HttpClient(relay.port) as client:
                return measurements | measure_after_start(platform, relay, client, count, baseline)


def measure_after_start(
    platform: PlatformProcess, relay: RelayProcess, client: HttpClient, count: int, baseline: Baseline
) -> Measurements:
    """Wait until the list is in force; then measure the first messages, and a watch that is reopened."""
    listed_s, longest_wait_ms = wait_until_listed(client, count - 1, LIST_TIMEOUT_S)
    listed_ms = (time.monotonic() - relay.started_at - SUBMIT_AFTER_LISTED_S) * 1000
    measurements: Measurements = {
        "listed_wall_ms": listed_ms if listed_s is not None else "refused: not in force within 8 s",
        "start_longest_wait_wall_ms": longest_wait_ms,
        "over_20_mb": relay.resident_mb() - baseline.resident_mb,
    }
    if listed_s is None:
        return measurements | {"watches": float(platform.counts().full_lists)}
    measurements["start_over_20_us"] = relay.cpu_us() - baseline.cpu_us
    measurements |= measure_first_messages(platform, client, count)
    measurements |= measure_reopened_watch(platform, relay, client, count)
    measurements["over_20_after_again_mb"] = relay.resident_mb() - baseline.resident_mb
    return measurements


def _baseline_entries(platform: PlatformProcess) -> list[Entry]:
    return list(inside.discovery_entries(BASELINE_DESTINATIONS, 1, platform.endpoint_address))


def measure_connections(count: int) -> Measurements:
    """Measure the memory of a real relay that has called `count` destinations and keeps a connection to each.

    The memory of the same relay after calls to `BASELINE_DESTINATIONS` other destinations is subtracted.
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
    """Median time from submission to the call, over 40 idle destinations, then over the same destinations again."""
    measurements: Measurements = {}
    platform.track_calls(True)
    destinations = [(number * STRIDE) % (count - 1) for number in range(min(TRACKED_MESSAGES, count - 1))]
    for name in ("first_message_wall_ms", "next_message_wall_ms"):
        sent_at_s = {}
        for destination in destinations:
            identifier = f"{name[:5]}-{destination}"
            sent_at_s[identifier] = time.monotonic()
            client.submit(destination, identifier=identifier)
            time.sleep(MESSAGE_INTERVAL_S)
        time.sleep(LAST_CALL_WAIT_S)
        arrived_at_s = platform.first_calls()
        measurements[name] = median(
            (arrived_at_s[identifier] - sent_s) * 1000
            for identifier, sent_s in sent_at_s.items()
            if identifier in arrived_at_s
        )
    platform.track_calls(False)
    return measurements


def measure_reopened_watch(
    platform: PlatformProcess, relay: RelayProcess, client: HttpClient, count: int
) -> Measurements:
    """Cut the watch once, and measure how the relay reopens it while a client submits messages.

    One destination is added before the watch is reopened.
    """
    before_us = relay.cpu_us()
    bytes_before = platform.counts().full_list_bytes
    platform.cut_watches([inside.discovery_entry(FIRST_ADDED_ENDPOINT + count, count, platform.endpoint_address)])
    listed_s, longest_wait_ms = wait_until_listed(client, count, LIST_TIMEOUT_S)
    measurements: Measurements = {
        "again_longest_wait_wall_ms": longest_wait_ms,
        "again_us": relay.cpu_us() - before_us,
        "again_list_bytes": float(platform.counts().full_list_bytes - bytes_before),
    }
    measurements["again_listed_wall_ms"] = listed_s * 1000 if listed_s is not None else "not in force within 8 s"
    return measurements


TWO_ENDPOINTS_UNIT = "destinations of two endpoints"
SERIES = {
    "memory": Series("destinations", SMALL_SIZES, TARGET_SIZES, measure_memory, 1),
    "memory_two": Series(TWO_ENDPOINTS_UNIT, SMALL_SIZES, HALF_OF_TARGET, lambda count: measure_memory(count, 2), 1),
    "list": Series("destinations", SIZES, TARGET_SIZES, measure_reading, 2),
    "list_two": Series(TWO_ENDPOINTS_UNIT, SIZES[:-1], TARGET_SIZES, lambda count: measure_reading(count, 2), 1),
    "connections": Series("connections kept", (40, 80, 120, 160), (220,), measure_connections, 1),
    "node": Series("destinations", SIZES[:-1], (50_000, 60_000, 120_000), measure_relay, 1),
}
