"""Events a second of one platform relay process: the whole path on loopback, compared with a bare pass-through.

`rate_kept`: events are submitted at a fixed rate over 20 destinations, whose connections are reused. Measured is the
processor time of the relay and of the pass-through (benchmarks/pass_through.py) for the same requests in the same run.

`rate_fresh`: the same over 20,000 destinations in turn, so that each call opens a connection. This is the case at the
target, where one relay calls a destination only every 50 s.

`closed`, `closed_fresh`: the same in a closed loop of clients, each with one outstanding message: the largest
throughput.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from itertools import count
from statistics import median
from typing import Any

from benchmarks.pass_through import start_pass_through
from benchmarks.slopes import inside
from benchmarks.slopes.processes import (
    HttpClient,
    PlatformProcess,
    RelayProcess,
    cpu_us,
    submit_request,
    wait_until_listed,
)
from benchmarks.slopes.series import Measurements, Series

MEASURED_S = 3.0
WARM_UP_S = 1.0
BODY = b"x" * 212
MESSAGE_NUMBERS = count()
CLIENTS = 32
REUSED_DESTINATIONS = 20
"""Number of destinations that is small enough for calls to reuse connections."""
RECONNECTED_DESTINATIONS = 20_000
"""Number of destinations that is large enough for each call to open a connection."""
KNOWN_DESTINATIONS = 20
"""Number of destinations in the list that a relay is configured with."""
LIST_TIMEOUT_S = 8.0
LAST_ANSWER_TIMEOUT_S = 5.0
ANSWER_POLL_S = 0.002
IDLE_CONNECTION_POLL_S = 0.001
REQUESTS_BETWEEN_YIELDS = 8
SETTLE_S = 0.5


def requests(destinations: int) -> Iterator[bytes]:
    """Generate requests that submit messages for a number of destinations in turn."""
    for number in MESSAGE_NUMBERS:
        yield submit_request(number % destinations, f"{number:016x}", BODY)


class LoadConnection(asyncio.Protocol):
    """A client's connection with one outstanding request at a time."""

    def __init__(self, load: LoadGenerator) -> None:
        """Create a connection that takes its requests from a generator and reports the answers to it."""
        self.load = load
        self.sent_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the requests."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def send_next(self) -> None:
        """Send the next request."""
        self.sent_at = time.perf_counter()
        self.transport.write(next(self.load.requests))

    def data_received(self, data: bytes) -> None:
        """Report an answer, which arrives in one piece."""
        self.load.on_answer(self, data, time.perf_counter() - self.sent_at)


class LoadGenerator:
    """Clients that submit at a rate, or each as soon as it has its answer (rate 0).

    Attributes:
        latencies_s: Time until each successful answer (status 20x).
        rejected: Number of other answers.
        waits_for_connection: Number of waits because no connection was idle.
    """

    def __init__(self, port: int, destinations: int, rate: float, clients: int) -> None:
        """Prepare clients of a loopback port, which connect at the first run."""
        self.port = port
        self.rate = rate
        self.clients = clients
        self.requests = requests(destinations)
        self.idle_connections: list[LoadConnection] = []
        self.is_stopped = False
        self.reset()

    def reset(self) -> None:
        """Reset the counts."""
        self.latencies_s: list[float] = []
        self.rejected = 0
        self.waits_for_connection = 0

    def on_answer(self, connection: LoadConnection, data: bytes, elapsed_s: float) -> None:
        """Count an answer; in a closed loop, send the next request on its connection."""
        if data.startswith(b"HTTP/1.1 20"):
            self.latencies_s.append(elapsed_s)
        else:
            self.rejected += 1
        if self.rate or self.is_stopped:
            self.idle_connections.append(connection)
        else:
            connection.send_next()

    async def run(self, seconds: float) -> float:
        """Generate load for a number of seconds; returns the seconds that it took."""
        await self._connect()
        self.is_stopped = False
        started_at = time.perf_counter()
        if self.rate:
            await self._send_at_rate(started_at, seconds)
        else:
            await self._send_in_closed_loop(seconds)
        elapsed_s = time.perf_counter() - started_at
        self.is_stopped = True
        deadline = time.perf_counter() + LAST_ANSWER_TIMEOUT_S
        # Polls instead of waiting for an event, for the reason given in `_send_at_rate`.
        while len(self.idle_connections) < self.clients and time.perf_counter() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(ANSWER_POLL_S)
        return elapsed_s

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(self.clients - len(self.idle_connections)):
            _, connection = await loop.create_connection(lambda: LoadConnection(self), "127.0.0.1", self.port)
            self.idle_connections.append(connection)

    async def _send_at_rate(self, started_at: float, seconds: float) -> None:
        for number in range(int(self.rate * seconds)):
            wait_s = started_at + number / self.rate - time.perf_counter()
            if wait_s > 0 or number % REQUESTS_BETWEEN_YIELDS == 0:
                await asyncio.sleep(max(0.0, wait_s))
            while not self.idle_connections:  # noqa: ASYNC110 (an event would add measured CPU time to each answer)
                self.waits_for_connection += 1
                await asyncio.sleep(IDLE_CONNECTION_POLL_S)
            self.idle_connections.pop(0).send_next()

    async def _send_in_closed_loop(self, seconds: float) -> None:
        connections = self.idle_connections
        self.idle_connections = []
        for connection in connections:
            connection.send_next()
        await asyncio.sleep(seconds)

    def close(self) -> None:
        """Close all connections."""
        for connection in self.idle_connections:
            connection.transport.close()
        self.idle_connections = []


def run_load(port: int, pid: int, destinations: int, rate: float, clients: int) -> Measurements:
    """Generate load on a port, and measure the processor time of the process that listens there."""

    async def generate() -> tuple[float, float, LoadGenerator]:
        load = LoadGenerator(port, destinations, rate, clients)
        await load.run(WARM_UP_S)
        load.reset()
        before_us = cpu_us(pid)
        elapsed_s = await load.run(MEASURED_S)
        used_us = cpu_us(pid) - before_us
        load.close()
        return elapsed_s, used_us, load

    elapsed_s, used_us, load = asyncio.run(generate())
    accepted_count = len(load.latencies_s)
    sorted_latencies_s = sorted(load.latencies_s) or [0.0]
    return {
        "us_a_s": used_us / elapsed_s,
        "us": used_us / max(1, accepted_count),
        "per_s": accepted_count / elapsed_s,
        "p50_wall_ms": median(sorted_latencies_s) * 1000,
        "p99_wall_ms": sorted_latencies_s[int(len(sorted_latencies_s) * 0.99)] * 1000,
        "refused": float(load.rejected),
        "waited_for_client": float(load.waits_for_connection),
    }


def measure(destinations: int, rate: float, clients: int) -> Measurements:
    """Measure the same load on a relay and on a pass-through, one after the other."""
    with PlatformProcess() as platform:
        platform.set_list(destinations, rate=1e6)
        known = list(inside.discovery_entries(KNOWN_DESTINATIONS, 1, platform.endpoint_address))
        settings: dict[str, Any] = {"balancers": 1, "extra": {"call-slots": 256}}
        endpoint_port = int(platform.endpoint_address.partition(":")[2])
        with (
            start_pass_through(endpoint_port) as pass_through,
            RelayProcess(platform, known, **settings) as process,
        ):
            process.wait_ready()
            with HttpClient(process.port) as client:
                wait_until_listed(client, destinations - 1, LIST_TIMEOUT_S)
            calls_before = platform.counts().calls
            relay = run_load(process.port, process.pid, destinations, rate, clients)
            time.sleep(SETTLE_S)
            delivered = platform.counts().calls - calls_before
            passed = run_load(pass_through.port, pass_through.pid, destinations, rate, clients)
    measurements: Measurements = {f"relay_{name}": value for name, value in relay.items()}
    measurements |= {f"pass_{name}": value for name, value in passed.items()}
    measurements["relay_over_pass"] = float(relay["us"]) / float(passed["us"])
    if not rate:
        relay_per_s = float(relay["per_s"])
        passed_per_s = float(passed["per_s"])
        measurements["relay_wall_us"] = 1e6 / relay_per_s
        measurements["pass_wall_us"] = 1e6 / passed_per_s
        measurements["share_of_pass"] = relay_per_s / passed_per_s
    measurements["delivered"] = float(delivered)
    return measurements


def measure_at_rate(destinations: int, rate: int) -> Measurements:
    """Measure a number of events a second."""
    return measure(destinations, rate, CLIENTS)


def measure_closed_loop(destinations: int, clients: int) -> Measurements:
    """Measure a number of clients, each with one outstanding message."""
    return measure(destinations, 0.0, clients)


RATES = (100, 200, 300, 400)
CHECK_RATES = (600,)
CLIENT_COUNTS = (1, 2, 4, 8)
CHECK_CLIENT_COUNTS = (16,)
SERIES = {
    "rate_kept": Series(
        "events a second", RATES, CHECK_RATES, lambda rate: measure_at_rate(REUSED_DESTINATIONS, rate), 1
    ),
    "rate_fresh": Series(
        "events a second", RATES, CHECK_RATES, lambda rate: measure_at_rate(RECONNECTED_DESTINATIONS, rate), 1
    ),
    "closed": Series(
        "clients",
        CLIENT_COUNTS,
        CHECK_CLIENT_COUNTS,
        lambda clients: measure_closed_loop(REUSED_DESTINATIONS, clients),
        1,
    ),
    "closed_fresh": Series(
        "clients",
        CLIENT_COUNTS,
        CHECK_CLIENT_COUNTS,
        lambda clients: measure_closed_loop(RECONNECTED_DESTINATIONS, clients),
        1,
    ),
}
