"""The emulators and relay processes of one comparison, and the messages that are submitted to the relays."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

from ...codec import http1
from ...emulators.discovery import DiscoveryEmulator, Source
from ...net import client, server
from .discovery_model import FIRST_VERSION
from .errors import RelayStartError
from .platform_model import PlatformModel
from .reference_model import MESSAGE_DEADLINE_MS, NO_ENDPOINT, Delivery
from .relay_process import RelayConfig, RelayProcess

MEMORY_BYTES = 3 * 1000**3
"""Address space of all relay processes together."""
START_TIMEOUT_S = 20.0
START_POLL_S = 0.02
CHANGE_TIMEOUT_S = 6.0
"""Time limit for a relay to act on a change."""
MESSAGE_INTERVAL_S = 0.06
"""Pause between two messages that find out which endpoint is in force."""
HTTP_TIMEOUT_S = 2.0
LOG_TAIL_CHARS = 300
"""Characters from the end of the log that go into the error of a relay that did not become ready."""
LOST = "lost"
"""Used in place of an endpoint for a message without a result in time."""
ACCEPTED_STATUSES = (200, 202)


@dataclass(slots=True)
class PlatformSource(Source):
    """The endpoint list of a platform model, which the discovery emulator serves."""

    platform: PlatformModel
    version: int = FIRST_VERSION

    def full_list(self) -> bytes:
        """Return the full list."""
        return self.platform.discovery.full_list(self.version)

    def changes_since(self, version: int) -> bytes | None:
        """Return the changes after a version, up to the current one."""
        return b"".join(change.line for change in self.platform.discovery.changes_between(version, self.version))


class ComparisonBench:
    """Owns the emulators and processes of one comparison; `close` ends them."""

    def __init__(self, folder: Path, memory_bytes: int) -> None:
        """Make a bench without emulators and processes.

        Args:
            folder: Where the files of the processes go.
            memory_bytes: Address space that each process may use.
        """
        self.folder = folder
        self.memory_bytes = memory_bytes
        self.relays: list[RelayProcess] = []
        self.discoveries: list[DiscoveryEmulator] = []
        self.endpoints: list[server.Server] = []
        self.pool = client.ConnectionPool(min_idle_s=0.0)
        self._arrivals: dict[str, asyncio.Future[str]] = {}  # by message: its port or `NO_ENDPOINT`
        self._sent = 0

    async def start_endpoint(self) -> int:
        """Start an endpoint that accepts every call; return its port."""

        def answer(request: server.RequestContext) -> None:
            self._arrived(request.head.headers.get("x-correlation-id"), str(port))
            request.reply(200, [], b"ok")

        endpoint = server.Server(answer)
        self.endpoints.append(endpoint)
        port = await endpoint.start()
        return port

    def _arrived(self, message: str, endpoint: str) -> None:
        arrival = self._arrivals.pop(message, None)
        if arrival is not None and not arrival.done():
            arrival.set_result(endpoint)

    async def start_discovery(self, source: PlatformSource) -> tuple[DiscoveryEmulator, int]:
        """Start a discovery emulator; return it and its port."""
        discovery = DiscoveryEmulator(source)
        discovery.on_notice = lambda message, result: self._arrived(message, NO_ENDPOINT)
        self.discoveries.append(discovery)
        return discovery, await discovery.start()

    def start_relay(
        self, platform: PlatformModel, relay: int, name: str, discovery_port: int, seed: int
    ) -> RelayProcess:
        """Start a relay process; `wait_ready` waits until it serves."""
        config = RelayConfig(name, relay, discovery_port, seed, self.memory_bytes)
        process = RelayProcess.start(config, platform, self.folder)
        self.relays.append(process)
        return process

    async def wait_ready(self, relay: RelayProcess) -> None:
        """Wait until a relay is ready.

        Raises:
            RelayStartError: The relay exited, or was not ready in time.
        """
        until = time.monotonic() + START_TIMEOUT_S
        while (event := relay.find_ready_event()) is None:
            if relay.process.poll() is not None or time.monotonic() > until:
                tail = relay.log.read_text(errors="replace")[-LOG_TAIL_CHARS:].strip()
                raise RelayStartError(f"{relay.name} did not become ready; end of its log: {tail or '(empty)'}")
            await asyncio.sleep(START_POLL_S)
        relay.ready = event

    async def find_endpoint(self, relay: RelayProcess, destination: int) -> str:
        """Submit one message; return the port that it was delivered to, `NO_ENDPOINT` or `LOST`."""
        self._sent += 1
        message = f"{self._sent:016x}"
        arrival = self._arrivals[message] = asyncio.get_running_loop().create_future()
        if await self._submit(relay, destination, message) not in ACCEPTED_STATUSES:
            self._arrivals.pop(message, None)
            return NO_ENDPOINT
        try:
            return await asyncio.wait_for(arrival, 2 * MESSAGE_DEADLINE_MS / 1000)
        except TimeoutError:
            return LOST

    async def _submit(self, relay: RelayProcess, destination: int, message: str) -> int:
        """Send a message to a relay; return the status, 0 if there was no answer."""
        loop = asyncio.get_running_loop()
        status: asyncio.Future[int] = loop.create_future()

        def done(answer: client.CallResult) -> None:
            if not status.done():
                status.set_result(answer.head.status if answer.head else 0)

        headers = [
            ("Host", "api.internal"),
            ("X-Correlation-Id", message),
            ("X-Service-Class", "state"),
            ("X-Account", "all"),
            ("X-Time-Left", f"{MESSAGE_DEADLINE_MS:.0f}m"),
            ("Envelope", f"dest={destination}"),
        ]
        request = http1.encode_request("POST", "/api", headers, b"hello")
        self.pool.call(("127.0.0.1", relay.port), "POST", request, done, loop.time() + HTTP_TIMEOUT_S)
        return await status

    async def await_endpoint(self, relay: RelayProcess, destination: int, expected: str) -> Delivery:
        """Submit messages until one is delivered to the expected endpoint or the time is up; return the last result."""
        began = time.monotonic()
        while True:
            endpoint = await self.find_endpoint(relay, destination)
            elapsed_s = time.monotonic() - began
            if endpoint == expected or elapsed_s > CHANGE_TIMEOUT_S:
                return Delivery(endpoint, elapsed_s * 1000)
            await asyncio.sleep(MESSAGE_INTERVAL_S)

    def check_running(self) -> None:
        """Check that all relay processes still run.

        Raises:
            RelayStartError: A relay process has exited.
        """
        for relay in self.relays:
            if relay.process.poll() is not None:
                raise RelayStartError(
                    f"{relay.name}: expected to run until the end of the comparison, ended by itself with return code "
                    f"{relay.process.returncode}"
                )

    def close(self) -> None:
        """Kill the processes, each by its handle, and close all connections; open messages are dropped."""
        for relay in self.relays:
            relay.process.kill()
        for relay in self.relays:
            relay.process.wait()
        for discovery in self.discoveries:
            discovery.close()
        for endpoint in self.endpoints:
            endpoint.close()
        self.pool.close()
