"""Events a second of one relay process on the platform: whole path on loopback, beside a bare pass-through.

`rate_kept`: so many events a second are handed in, over 20 destinations whose connections are kept: processor time of
the relay and of the pass-through (benchmarks/throughput.py) for the same requests in the same run. `rate_fresh`: over
20,000 destinations in turn, so that each call makes a connection, as at the target, where one relay sees a destination
every 50 s. `closed`, `closed_fresh`: the same with so many clients, each with one message out at a time: what is
carried at most.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from itertools import count
from statistics import median
from typing import Any

from benchmarks.common import child, end
from benchmarks.slopes import inside
from benchmarks.slopes.harness import Found, Series
from benchmarks.slopes.outside import Child, Client, Node, cpu_us, until_listed

SECONDS, WARM_S = 3.0, 1.0
BODY = b"x" * 212
SERIAL = count()


def hand_ins(destinations: int) -> Iterator[bytes]:
    for number in SERIAL:
        yield (
            f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {number:016x}\r\n"
            f"X-Service-Class: state\r\nX-Time-Left: 5000m\r\nEnvelope: dest={number % destinations}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        ).encode() + BODY


class One(asyncio.Protocol):
    """A client's connection with one request out at a time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.sent = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self) -> None:
        self.sent = time.perf_counter()
        self.transport.write(next(self.load.requests))

    def data_received(self, data: bytes) -> None:
        self.load.answered(self, data, time.perf_counter() - self.sent)


class Load:
    """Clients that hand in at a rate, or each as soon as it has its answer (rate 0)."""

    def __init__(self, port: int, destinations: int, rate: float, clients: int) -> None:
        self.port, self.rate, self.clients = port, rate, clients
        self.requests = hand_ins(destinations)
        self.free: list[One] = []
        self.took: list[float] = []  # s of each answer with 2xx
        self.other = self.late = 0
        self.over = False

    def answered(self, one: One, data: bytes, took: float) -> None:
        if data.startswith(b"HTTP/1.1 20"):
            self.took.append(took)
        else:
            self.other += 1
        if self.rate or self.over:
            self.free.append(one)
        else:
            one.ask()

    async def run(self, seconds: float) -> float:
        """Seconds that it took."""
        loop = asyncio.get_running_loop()
        for _ in range(self.clients - len(self.free)):
            _, made = await loop.create_connection(lambda: One(self), "127.0.0.1", self.port)
            self.free.append(made)
        began, self.over = time.perf_counter(), False
        if self.rate:
            for number in range(int(self.rate * seconds)):
                wait = began + number / self.rate - time.perf_counter()
                if wait > 0 or number % 8 == 0:
                    await asyncio.sleep(max(0.0, wait))
                while not self.free:
                    self.late += 1
                    await asyncio.sleep(0.001)
                self.free.pop(0).ask()
        else:
            starting, self.free = self.free, []
            for one in starting:
                one.ask()
            await asyncio.sleep(seconds)
        spent = time.perf_counter() - began
        self.over = True
        deadline = time.perf_counter() + 5.0
        while len(self.free) < self.clients and time.perf_counter() < deadline:
            await asyncio.sleep(0.002)
        return spent

    def close(self) -> None:
        for one in self.free:
            one.transport.close()
        self.free = []


def loaded(port: int, pid: int, destinations: int, rate: float, clients: int) -> Found:
    async def go() -> tuple[float, float, Load]:
        load = Load(port, destinations, rate, clients)
        await load.run(WARM_S)
        load.took, load.other, load.late = [], 0, 0
        before = cpu_us(pid)
        spent = await load.run(SECONDS)
        used = cpu_us(pid) - before
        load.close()
        return spent, used, load

    spent, used, load = asyncio.run(go())
    done = len(load.took)
    ordered = sorted(load.took) or [0.0]
    return {
        "us_a_s": used / spent,
        "us": used / max(1, done),
        "per_s": done / spent,
        "p50_wall_ms": median(ordered) * 1000,
        "p99_wall_ms": ordered[int(len(ordered) * 0.99)] * 1000,
        "refused": float(load.other),
        "waited_for_client": float(load.late),
    }


def measure(destinations: int, rate: float, clients: int) -> Found:
    with Child() as platform:
        platform.list(destinations, rate=1e6)
        known = list(inside.servers(20, 1, platform.sink))
        more: dict[str, Any] = {"balancers": 1, "extra": {"call-slots": 256}}
        through, port = child("throughput", "--serve-pass", platform.sink.partition(":")[2])
        with Node(platform, known, **more) as made:
            made.ready()
            with Client(made.port) as client:
                until_listed(client, destinations - 1, 8.0)
            calls = platform.do("counts")["calls"]
            relay = loaded(made.port, made.pid, destinations, rate, clients)
            time.sleep(0.5)
            delivered = platform.do("counts")["calls"] - calls
            bare = loaded(port, through.pid, destinations, rate, clients)
        end(through)
    told: Found = {f"relay_{name}": value for name, value in relay.items()}
    told |= {f"pass_{name}": value for name, value in bare.items()}
    told["relay_over_pass"] = float(relay["us"]) / float(bare["us"])
    if not rate:
        told["relay_wall_us"], told["pass_wall_us"] = 1e6 / float(relay["per_s"]), 1e6 / float(bare["per_s"])
        told["share_of_pass"] = float(relay["per_s"]) / float(bare["per_s"])
    told["delivered"] = float(delivered)
    return told


RATES, RATE_CHECK = (100, 200, 300, 400), (600,)
SERIES = {
    "rate_kept": Series("events a second", RATES, RATE_CHECK, lambda rate: measure(20, rate, 32), 1),
    "rate_fresh": Series("events a second", RATES, RATE_CHECK, lambda rate: measure(20_000, rate, 32), 1),
    "closed": Series("clients", (1, 2, 4, 8), (16,), lambda clients: measure(20, 0.0, clients), 1),
    "closed_fresh": Series("clients", (1, 2, 4, 8), (16,), lambda clients: measure(20_000, 0.0, clients), 1),
}
