"""Runs a watch against the discovery emulator, and tracks the endpoints that its events publish."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, ListKind
from linnetstile.engine.watch_policy import ENTRIES_PER_EVENT
from linnetstile.platform_relay import discovery
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.discovery import Watch

from .discovery_emulator import DiscoveryEmulator
from .list_factories import list_entry, listed_addresses
from .relay_testbed import wait_until

SHORT_LIST_WAIT_S = 5.0
LONG_LIST_WAIT_S = 30.0
"""Emulator, watch and checks share one thread, so reading a long list takes some seconds on a busy machine."""
STATE_NAMES = {EndpointStatus.READY: "SERVING", EndpointStatus.DRAINING: "DRAINING"}


class WatchTestbed:
    """A started watch, and the events that it published and logged.

    Attributes:
        engine_view: The endpoints that result from the published events, by id.
        events: All published events.
        log_events: Name and fields of each log event.
        wait_s: Default time limit (s) of the waits.
    """

    def __init__(
        self, emulator: DiscoveryEmulator, discovery_address: tuple[str, int], max_list_bytes: int, wait_s: float
    ) -> None:
        self.emulator = emulator
        self.wait_s = wait_s
        self.directory = Directory(("k",), ("z",))
        self.engine_view: dict[int, Endpoint] = {}
        self.events: list[EndpointList] = []
        self.log_events: list[tuple[str, dict[str, Any]]] = []
        self.watch = Watch(
            self.directory,
            discovery_address,
            self.apply_event,
            random.Random(1),
            self.log,
            max_list_bytes=max_list_bytes,
        )
        self.watch.start()

    def log(self, event: str, **fields: Any) -> None:
        self.log_events.append((event, fields))

    def apply_event(self, event: EndpointList) -> None:
        assert event.kind is ListKind.CHANGES
        assert len(event.endpoints) <= ENTRIES_PER_EVENT
        self.events.append(event)
        for endpoint in event.endpoints:
            self.engine_view[endpoint.id] = endpoint
            if endpoint.status is EndpointStatus.GONE:
                del self.engine_view[endpoint.id]

    def matches_discovery(self) -> bool:
        """Return whether the directory and the engine view match the endpoints of discovery."""
        if len(self.directory) != len(self.emulator.entries):
            return False  # avoids a comparison of all endpoints, which would block the watch from reading
        directory_entries = {
            address.name: (self._state_name(address.id), address.destination)
            for address in listed_addresses(self.directory)
        }
        discovery_entries = {name: (entry["state"], entry["cell"]) for name, entry in self.emulator.entries.items()}
        directory_endpoints = {endpoint_id: self.directory.endpoint(endpoint_id) for endpoint_id in self.directory}
        return directory_entries == discovery_entries and self.engine_view == directory_endpoints

    def _state_name(self, endpoint_id: int) -> str:
        endpoint = self.engine_view.get(endpoint_id)
        return STATE_NAMES[endpoint.status] if endpoint else "unknown"

    def is_watch_useful(self) -> bool:
        return self.watch.connection is not None and self.watch.connection.is_useful

    async def wait_until(self, condition: Callable[[], object], seconds: float | None = None) -> None:
        """Wait until a condition holds; raise TimeoutError after `seconds`, or after `wait_s` if it is None."""
        await wait_until(condition, self.wait_s if seconds is None else seconds)

    async def wait_for_match(self, seconds: float | None = None) -> None:
        await self.wait_until(self.matches_discovery, seconds)

    async def wait_for_first_list(self) -> None:
        """Wait until the first list has been read to its end."""
        await self.wait_until(lambda: self.watch.first_list_read.is_set() and self.matches_discovery())

    async def wait_for_watches(self, count: int) -> None:
        """Wait until exactly `count` watches have been opened."""
        await self.wait_until(lambda: len(self.emulator.watch_writers) == count)

    async def wait_for_version(self, version: int) -> None:
        await self.wait_until(lambda: self.directory.version_guard.newest_version == version)


WatchScenario = Callable[[DiscoveryEmulator, WatchTestbed], Awaitable[None]]


def run_watch_scenario(
    scenario: WatchScenario,
    *scripted_responses: tuple[bytes, bool],
    indent: int | None = None,
    extra_endpoints: int = 0,
    max_list_bytes: int = discovery.MAX_LIST_BYTES,
) -> None:
    """Run a scenario in which discovery lists the endpoints a and b, and `extra_endpoints` more named s-0, s-1, ..."""

    async def run() -> None:
        emulator = DiscoveryEmulator()
        emulator.scripted_responses, emulator.indent = list(scripted_responses), indent
        emulator.entries = {"a": list_entry("a"), "b": list_entry("b", destination=2)}
        for number in range(extra_endpoints):
            emulator.entries[f"s-{number}"] = list_entry(f"s-{number}", destination=number % 50)
        wait_s = LONG_LIST_WAIT_S if extra_endpoints else SHORT_LIST_WAIT_S
        testbed = WatchTestbed(emulator, await emulator.start(), max_list_bytes, wait_s)
        try:
            await scenario(emulator, testbed)
        finally:
            testbed.watch.close()
            emulator.close()
            await asyncio.sleep(0)

    asyncio.run(run())
