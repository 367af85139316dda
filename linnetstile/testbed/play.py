"""Plays a day: registry, partners, relays and clients as processes of their own, faults by the clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from ..emulators.record import now_ms
from .day import Day
from .fleet_plan import plan_fleet
from .processes import ManagedProcess, PlayError, ProcessGroup
from .relay_fleet import RelayFleet
from .relay_lifetime import ProcessEnd
from .run_folder import RunFolder

# A margin for start-up: no event is scripted before the start, which is in the settings of all processes.
STARTUP_MS = 4000.0
STARTUP_MS_PER_RELAY = 700.0
CLIENT_MARGIN_S = 60.0  # beyond the day and the last deadline, for the clients to end


class Player:
    """One run of a day in a folder.

    Args:
        day: What to play.
        folder: Where keys, settings, logs and records go.
        report: Gets a line of progress at a time.
    """

    def __init__(self, day: Day, folder: Path, report: Callable[[str], None]) -> None:
        self._day = day
        self._report = report
        self._fleet = plan_fleet(day)
        start_ms = now_ms() + STARTUP_MS + STARTUP_MS_PER_RELAY * day.relays
        self._folder = RunFolder(day, self._fleet, folder, start_ms)
        self._processes = ProcessGroup(folder)
        self._relays = RelayFleet(self._processes, self._folder, report)

    async def play(self) -> None:
        """Run the day to its end; the records are then in the folder.

        Raises:
            PlayError: A process did not start, or ended by itself, or not in time.
        """
        try:
            await self._play()
        except TimeoutError as error:
            raise PlayError("the clients did not end in time") from error
        finally:
            await self._processes.kill_all()
            self._folder.write_facts(self._relays.lifetimes)

    async def _play(self) -> None:
        partners = await self._start_emulator("partners", "partner", self._folder.write_partners())
        registry_file = self._folder.write_registry(partners.ready["ports"])
        registry = await self._start_emulator("register", "register", registry_file)
        await self._relays.start(self._day.relays, f"http://127.0.0.1:{registry.ready['port']}")
        if now_ms() > self._folder.start_ms:
            raise PlayError("the processes took too long to start; fewer relays, or a less busy machine")
        clients_file = self._folder.write_clients(self._relays.addresses)
        clients = await self._start_emulator("clients", "client", clients_file)
        self._report_start(clients.ready["messages"])
        await self._play_script(clients)
        await self._relays.stop()
        await self._processes.stop(partners, ProcessEnd.STOPPED)
        await self._processes.stop(registry, ProcessEnd.STOPPED)

    async def _start_emulator(self, name: str, kind: str, settings: Path) -> ManagedProcess:
        return await self._processes.start(name, "standin", kind, str(settings))

    def _report_start(self, messages: int) -> None:
        self._report(
            f"   0.0 s  {messages} messages over {self._day.seconds:.0f} s, "
            f"{self._day.relays} relays, {self._fleet.endpoint_count} endpoints"
        )

    async def _play_script(self, clients: ManagedProcess) -> None:
        """Play the faults of the relays until the clients have ended."""
        faults = asyncio.create_task(self._relays.play_faults(self._day.fleet_faults, self._folder.start_ms))
        self._relays.check_running()
        last_deadline_s = max(message_class.deadline_ms for message_class in self._day.classes.values()) / 1000
        await asyncio.wait_for(clients.child.wait(), self._day.seconds + last_deadline_s + CLIENT_MARGIN_S)
        await faults


def play(day: Day, folder: Path, report: Callable[[str], None]) -> None:
    """Play a day to its end.

    Args:
        day: What to play.
        folder: Where keys, settings, logs and records go.
        report: Gets a line of progress at a time.

    Raises:
        PlayError: A process did not start or ended by itself.
    """

    async def run() -> None:
        await Player(day, folder, report).play()

    asyncio.run(run())
