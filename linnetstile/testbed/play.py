"""Plays a day: runs registry, partners, relays and clients as separate processes, and faults at their times."""

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

START_NOTICE_MS = 1000.0  # from when the emulators are told the start of the script until the start
CLIENT_MARGIN_S = 60.0  # time for the clients to exit after the end of the day and the longest deadline


class Player:
    """One run of a day in a folder.

    Args:
        day: The day to play.
        folder: The folder for keys, settings, logs and records.
        report: Called with each line of progress.
    """

    def __init__(self, day: Day, folder: Path, report: Callable[[str], None]) -> None:
        self._day = day
        self._report = report
        self._fleet = plan_fleet(day)
        self._folder = RunFolder(day, self._fleet, folder)
        self._processes = ProcessGroup(folder)
        self._relays = RelayFleet(self._processes, self._folder, report)

    async def play(self) -> None:
        """Play the day to its end, and write its records into the folder.

        Raises:
            PlayError: A process did not start, exited unexpectedly, or did not exit in time.
        """
        try:
            await self._play()
        except TimeoutError as error:
            raise PlayError("the clients did not exit in time after the end of the day") from error
        finally:
            await self._processes.kill_all()
            self._folder.write_facts(self._relays.lifetimes)

    async def _play(self) -> None:
        partners = await self._start_emulator("partners", "partner", self._folder.write_partners())
        registry_file = self._folder.write_registry(partners.ready["ports"])
        registry = await self._start_emulator("register", "register", registry_file)
        await self._relays.start(self._day.relays, f"http://127.0.0.1:{registry.ready['port']}")
        clients_file = self._folder.write_clients(self._relays.addresses)
        clients = await self._start_emulator("clients", "client", clients_file)
        self._start_script(partners, registry, clients)
        self._report_start(clients.ready["messages"])
        await self._play_script(clients)
        await self._relays.stop()
        await self._processes.stop(partners, ProcessEnd.STOPPED)
        await self._processes.stop(registry, ProcessEnd.STOPPED)

    async def _start_emulator(self, name: str, kind: str, settings: Path) -> ManagedProcess:
        return await self._processes.start(name, "standin", kind, str(settings))

    def _start_script(self, *emulators: ManagedProcess) -> None:
        """Start the script, now that all processes are ready, however long that took."""
        self._folder.start_ms = now_ms() + START_NOTICE_MS
        for emulator in emulators:
            emulator.start_script(self._folder.start_ms)

    def _report_start(self, messages: int) -> None:
        self._report(
            f"   0.0 s  {messages} messages over {self._day.seconds:.0f} s, "
            f"{self._day.relays} relays, {self._fleet.endpoint_count} endpoints"
        )

    async def _play_script(self, clients: ManagedProcess) -> None:
        """Play the faults of the relays, and wait until the clients have exited."""
        faults = asyncio.create_task(self._relays.play_faults(self._day.fleet_faults, self._folder.start_ms))
        self._relays.check_running()
        last_deadline_s = max(message_class.deadline_ms for message_class in self._day.classes.values()) / 1000
        await asyncio.wait_for(clients.child.wait(), self._day.seconds + last_deadline_s + CLIENT_MARGIN_S)
        await faults


def play(day: Day, folder: Path, report: Callable[[str], None]) -> None:
    """Play a day to its end.

    Args:
        day: The day to play.
        folder: The folder for keys, settings, logs and records.
        report: Called with each line of progress.

    Raises:
        PlayError: A process did not start, exited unexpectedly, or did not exit in time.
    """

    async def run() -> None:
        await Player(day, folder, report).play()

    asyncio.run(run())
