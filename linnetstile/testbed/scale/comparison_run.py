"""Sends changes of the list to relay processes and reference models, and compares their deliveries."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field

from ...emulators.discovery import DiscoveryEmulator
from .comparison_bench import CHANGE_TIMEOUT_S, ComparisonBench, PlatformSource
from .comparison_result import BurstResult, ChangeResult, Comparison
from .discovery_model import NO_GENERATION, ChangeKind, EndpointChange
from .reference_model import NO_ENDPOINT, ReferenceModel
from .relay_process import RelayProcess

SINGLE_CHANGES = (ChangeKind.REPLACED, ChangeKind.DRAINED, ChangeKind.ADDED) * 3 + (ChangeKind.REMOVED,)
"""Changes that are sent one by one."""
BURST_CHANGES = 100
"""Changes that are sent at once."""
START_MS = 1000.0
CHANGE_INTERVAL_MS = 5_000.0
"""Time between two changes on the simulated clock."""
REOPEN_POLL_S = 0.02


@dataclass(slots=True)
class ComparisonRun:
    """Changes the list and compares where reference models and relay processes then deliver messages.

    Attributes:
        bench: Emulators and processes.
        discovery: Discovery of the relay processes.
        source: The endpoint list that discovery sends.
        processes: Relay processes, without the baseline.
        models: Their reference models, in the same order.
        rng: Random generator for destinations and changes.
        result: Collects the results.
        now_ms: Current time on the simulated clock of the reference models.
        destinations: Destinations of the changes that are compared.
    """

    bench: ComparisonBench
    discovery: DiscoveryEmulator
    source: PlatformSource
    processes: list[RelayProcess]
    models: list[ReferenceModel]
    rng: random.Random
    result: Comparison
    now_ms: float = START_MS
    destinations: list[int] = field(default_factory=list)

    async def play_changes(self) -> None:
        """Send some changes one by one, then many at once and a last one that shows when those have been handled."""
        platform = self.source.platform
        self.destinations = self.rng.sample(range(platform.options.destinations), len(SINGLE_CHANGES) + 2)
        for kind, destination in zip(SINGLE_CHANGES, self.destinations, strict=False):
            await self._send_change(kind, destination)
        cpu_before_s = [process.cpu_s() for process in self.processes]
        for _ in range(BURST_CHANGES):
            destination = self.rng.randrange(platform.options.destinations)
            self._announce(platform.discovery.change(ChangeKind.NEW_WEIGHT, destination, self.now_ms, self.rng))
        began = time.monotonic()
        await self._send_change(ChangeKind.REPLACED, self.destinations[-1])
        self.result.burst = BurstResult(
            changes=BURST_CHANGES,
            until_next_shows_ms=round((time.monotonic() - began) * 1000, 1),
            cpu_s=[
                round(process.cpu_s() - before, 3) for process, before in zip(self.processes, cpu_before_s, strict=True)
            ],
        )

    async def break_watches(self) -> None:
        """Break all watches so that the relays miss a change; compare the deliveries once they are open again."""
        is_list_accepted = self.result.is_list_accepted
        missed = self._change(ChangeKind.REPLACED, self.destinations[-2]) if is_list_accepted else None
        requests_before = len(self.discovery.requested_targets)
        self.discovery.drop_watches()
        await self._wait_reopened(requests_before + len(self.processes))
        reopened = self.discovery.requested_targets[requests_before:]
        self.result.reopened_watches = reopened
        self.result.resumes_by_version = bool(reopened) and all("since=" in target for target in reopened)
        if missed is None:
            return
        for model in self.models:
            model.reader.reopen()
            model.read(missed.line if self.result.resumes_by_version else self.source.full_list(), self.now_ms)
        await self._compare_change(missed)

    async def _wait_reopened(self, watches: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                # The emulator records the requests, but has no event to wait for.
                while len(self.discovery.requested_targets) < watches:  # noqa: ASYNC110 (see above)
                    await asyncio.sleep(REOPEN_POLL_S)

    def _change(self, kind: ChangeKind, destination: int) -> EndpointChange:
        self.now_ms += CHANGE_INTERVAL_MS
        change = self.source.platform.discovery.change(kind, destination, self.now_ms, self.rng)
        self.source.version = change.version
        return change

    def _announce(self, change: EndpointChange) -> None:
        for model in self.models:
            model.read(change.line, self.now_ms)
        self.discovery.publish(change.line)

    async def _send_change(self, kind: ChangeKind, destination: int) -> None:
        change = self._change(kind, destination)
        self._announce(change)
        await self._compare_change(change)

    async def _compare_change(self, change: EndpointChange) -> None:
        """Submit messages to the destination of a change at all models and processes, and record where they go."""
        expected = self._expected_endpoint(change.destination)
        by_model = [model.find_endpoint(change.destination, self.now_ms) for model in self.models]
        by_process = await asyncio.gather(
            *(self.bench.await_endpoint(process, change.destination, expected) for process in self.processes)
        )
        self.result.changes.append(
            ChangeResult(
                version=change.version,
                kind=change.kind,
                expected=self._label(expected),
                models=[self._label(delivery.endpoint) for delivery in by_model],
                model_ms=[round(delivery.after_ms, 1) for delivery in by_model],
                processes=[self._label(delivery.endpoint) for delivery in by_process],
                process_ms=[round(delivery.after_ms, 1) for delivery in by_process],
            )
        )

    def _expected_endpoint(self, destination: int) -> str:
        discovery = self.source.platform.discovery
        generation = discovery.generation(destination, self.now_ms)
        if generation == NO_GENERATION:
            return NO_ENDPOINT
        assert discovery.ports is not None
        return str(discovery.ports[generation % 2])

    def _label(self, endpoint: str) -> str:
        """Return the name of a port in the report, as its number differs from run to run."""
        ports = [str(port) for port in self.source.platform.discovery.ports or ()]
        return f"port-{ports.index(endpoint)}" if endpoint in ports else endpoint
