"""The relay processes of a run, with their scripted crashes and rolling restarts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from ..emulators.record import now_ms
from .day import FleetFault, FleetFaultKind
from .processes import ManagedProcess, ProcessGroup
from .relay_lifetime import ProcessEnd, RelayLifetime
from .run_folder import RunFolder


def _relay_name(number: int) -> str:
    return f"r{number}"


class RelayFleet:
    """The relays, numbered from 1.

    Attributes:
        relays: The current process of each relay, by number.
    """

    def __init__(self, processes: ProcessGroup, folder: RunFolder, report: Callable[[str], None]) -> None:
        self._processes = processes
        self._folder = folder
        self._report = report
        self._registry_url = ""
        self._names: set[str] = set()
        self.relays: dict[int, ManagedProcess] = {}

    async def start(self, count: int, registry_url: str) -> None:
        """Start all relays concurrently, then configure each with the addresses of the others."""
        self._registry_url = registry_url
        numbers = range(1, count + 1)
        started = await asyncio.gather(*(self._start_relay(number) for number in numbers))
        self.relays = dict(zip(numbers, started, strict=True))
        self._folder.write_peer_addresses(self.addresses)

    @property
    def addresses(self) -> dict[str, str]:
        """The address on which each relay listens, by name."""
        return {relay.name: relay.address for relay in self.relays.values()}

    @property
    def lifetimes(self) -> dict[str, list[RelayLifetime]]:
        """The lifetimes of the processes of each relay that was started, by name."""
        lifetimes = self._processes.lifetimes
        return {name: processes for name, processes in lifetimes.items() if name in self._names}

    async def _start_relay(self, number: int) -> ManagedProcess:
        name = _relay_name(number)
        self._names.add(name)
        file = self._folder.relay_file(name)
        if not file.exists():
            self._folder.write_relay(name, self._registry_url)
        relay = await self._processes.start(name, "relay", str(file))
        is_first_start = len(self._processes.lifetimes[name]) == 1
        if is_first_start:
            self._folder.pin_address(name, relay.address)
        return relay

    async def play_faults(self, faults: Sequence[FleetFault], start_ms: float) -> None:
        """Play all scripted crashes and rolling restarts; their times count from the start of the script."""
        restarts = []
        for fault in faults:
            if fault.kind is FleetFaultKind.RELAY_CRASH:
                restarts += [
                    self._kill_and_restart(number, start_ms, fault.at_s, fault.for_s) for number in fault.relays or [1]
                ]
            elif fault.kind is FleetFaultKind.ROLLING_RESTART:
                interval_s = fault.for_s / len(self.relays)
                restarts += [
                    self._kill_and_restart(number, start_ms, fault.at_s + interval_s * (number - 1), fault.down_s)
                    for number in self.relays
                ]
        await asyncio.gather(*restarts)

    async def _kill_and_restart(self, number: int, start_ms: float, at_s: float, down_s: float) -> None:
        name = _relay_name(number)
        await asyncio.sleep(max(0.0, (start_ms - now_ms()) / 1000 + at_s))
        self._report(f"{at_s:6.1f} s  killing {name}")
        await self._processes.stop(self.relays[number], ProcessEnd.KILLED)
        await asyncio.sleep(down_s)
        self.relays[number] = await self._start_relay(number)
        self._report(f"{(now_ms() - start_ms) / 1000:6.1f} s  {name} restarted")

    def check_running(self) -> None:
        """Raise `PlayError` if a relay has exited unexpectedly."""
        for relay in self.relays.values():
            self._processes.check_running(relay)

    async def stop(self) -> None:
        """Stop the relays one after the other; raise `PlayError` if one has exited unexpectedly."""
        for relay in list(self.relays.values()):
            self._processes.check_running(relay)
            await self._processes.stop(relay, ProcessEnd.STOPPED)
