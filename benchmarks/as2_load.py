"""Settings, registry, partners and clients for benchmarks of an AS2 relay, and a histogram of latencies."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.common import announce
from linnetstile.codec import http1
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnerEmulator, PartnersSpec
from linnetstile.emulators.registry import Entry, RegistryEmulator, RegistrySpec
from linnetstile.net import client

MESSAGE_CLASS = "a"
"""Name of the only message class, and subject of all messages."""
BODY = b"ISA*00~" * 100
"""A document of usual size (700 bytes)."""
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1e6
US_PER_MS = 1000


def relay_settings(
    register_url: str, *, aim_ms: float, deadline_ms: float, limits: dict[str, Any], **more: Any
) -> dict[str, Any]:
    """The settings of a relay with one class of idempotent messages.

    Args:
        register_url: URL of the registry that the relay reads.
        aim_ms: Latency objective of the class.
        deadline_ms: Deadline of the class.
        limits: Section `limits` of the settings.
        more: Other sections of the settings.
    """
    message_class = {"effect": "safe", "aim_ms": aim_ms, "deadline_ms": deadline_ms}
    return {
        "name": "r",
        "register": register_url,
        "rules": [{"class": MESSAGE_CLASS}],
        "classes": {MESSAGE_CLASS: message_class},
        "limits": limits,
        **more,
    }


def registry_entry(endpoint: int, partner: str, port: int, rate: float, status: str = "ready") -> Entry:
    """The registry entry of an endpoint on a loopback port."""
    return {
        "id": endpoint,
        "partner": partner,
        "url": f"http://127.0.0.1:{port}/as2",
        "status": status,
        "rate": rate,
    }


@contextlib.asynccontextmanager
async def running_registry(entries: Iterable[Entry]) -> AsyncIterator[str]:
    """Serve a registry with these entries while the block runs; the block gets its URL."""
    registry = RegistryEmulator(RegistrySpec(entries=list(entries)))
    port = await registry.start()
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        registry.close()


async def start_partners(spec: PartnersSpec) -> PartnerEmulator:
    """Start the partner emulator in a child process, and announce the ports of its endpoints."""
    emulator = PartnerEmulator(spec)
    announce(ports=await emulator.start())
    return emulator


def encode_submission(message: messages.BuiltMessage, host: str = "x") -> bytes:
    """The request that submits a message to a relay."""
    return http1.encode_request("POST", "/as2", [("Host", host), *message.headers], message.body)


def answer_kind(answer: client.CallResult) -> str | None:
    """The result of a message according to the relay's answer; "lost" if no answer came."""
    return answer.head.headers.get("linnetstile-answer") if answer.head else "lost"


class RelayClient:
    """Submits messages to a relay on a loopback port, over a pool of connections."""

    def __init__(self, port: int, timeout_s: float) -> None:
        """Prepare a client that waits `timeout_s` seconds for each answer."""
        self.address = ("127.0.0.1", port)
        self.timeout_s = timeout_s
        self._loop = asyncio.get_running_loop()
        self._pool = client.ConnectionPool(min_idle_s=0.0)  # the load has to be offered without delay

    def submit(self, request: bytes, on_answer: Callable[[client.CallResult], None]) -> None:
        """Send a request; `on_answer` is called with its answer."""
        self._pool.call(self.address, "POST", request, on_answer, self._loop.time() + self.timeout_s)

    def call(self, request: bytes) -> asyncio.Future[client.CallResult]:
        """Send a request; returns a future of its answer."""
        answered: asyncio.Future[client.CallResult] = self._loop.create_future()
        self.submit(request, answered.set_result)
        return answered

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


class LatencyHistogram:
    """Histogram of latencies between 1 microsecond and 1 minute."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, elapsed_s: float) -> None:
        """Record one latency."""
        self._histogram.record_value(int(elapsed_s * US_PER_S))

    def percentile_ms(self, percentile: float, digits: int = 1) -> float:
        """A percentile in ms, rounded to `digits` decimal places; 0 if nothing was recorded."""
        return float(round(self._histogram.get_value_at_percentile(percentile) / US_PER_MS, digits))
