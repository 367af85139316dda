"""Starts, supervises and stops the child processes of a run."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..emulators.record import now_ms
from ..errors import LinnetstileError
from .relay_lifetime import ProcessEnd, RelayLifetime

READY_TIMEOUT_S = 20.0  # how long a process may take to print its ready line
EXIT_TIMEOUT_S = 30.0  # how long a process may take to exit after its signal
LOG_TAIL_CHARACTERS = 400  # length of the end of the log that an error message quotes


class PlayError(LinnetstileError):
    """A process of the run did not start, exited unexpectedly, or did not exit in time."""


@dataclass(slots=True, eq=False)
class ManagedProcess:
    """A child process.

    Attributes:
        name: Its name in the run.
        child: The process.
        ready: The JSON object that it printed once it was ready.
    """

    name: str
    child: asyncio.subprocess.Process
    ready: dict[str, Any] = field(default_factory=dict)

    def start_script(self, start_ms: float) -> None:
        """Tell an emulator the start of its script, by the clock of the run."""
        assert self.child.stdin is not None
        self.child.stdin.write(f"{start_ms}\n".encode())
        self.child.stdin.close()

    @property
    def address(self) -> str:
        """The address on which a relay listens."""
        return str(self.ready["listening"])

    @property
    def has_exited(self) -> bool:
        """Whether the process has exited."""
        return self.child.returncode is not None


class ProcessGroup:
    """All child processes of a run and their lifetimes.

    Attributes:
        lifetimes: Lifetimes by process name, in the order of the starts; a restarted process keeps its name.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._running: list[ManagedProcess] = []
        self.lifetimes: dict[str, list[RelayLifetime]] = {}

    def log_file(self, name: str) -> Path:
        """Return the file to which the standard error of a process is written."""
        return self._folder / f"{name}.log"

    async def start(self, name: str, *arguments: str) -> ManagedProcess:
        """Start `linnetstile ARGUMENTS` and wait for its ready line.

        Raises:
            PlayError: The process did not print a valid ready line in time.
        """
        process = ManagedProcess(name, await self._spawn(name, arguments))
        self._running.append(process)
        process.ready = await self._read_ready_line(process)
        self.lifetimes.setdefault(name, []).append(RelayLifetime(now_ms()))
        return process

    async def _spawn(self, name: str, arguments: tuple[str, ...]) -> asyncio.subprocess.Process:
        with self.log_file(name).open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "linnetstile.cli.main",
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )

    async def _read_ready_line(self, process: ManagedProcess) -> dict[str, Any]:
        assert process.child.stdout is not None
        try:
            line = await asyncio.wait_for(process.child.stdout.readline(), READY_TIMEOUT_S)
            ready: dict[str, Any] = json.loads(line)
        except (TimeoutError, ValueError) as error:
            tail = self.log_file(process.name).read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
            raise PlayError(f"{process.name} did not start: {tail.strip() or error}") from error
        return ready

    def check_running(self, process: ManagedProcess) -> None:
        """Check that a process has not exited unexpectedly.

        Raises:
            PlayError: The process has exited.
        """
        if process.has_exited:
            raise PlayError(f"{process.name} exited unexpectedly; see {self.log_file(process.name)}")

    async def stop(self, process: ManagedProcess, end: ProcessEnd) -> None:
        """Signal a process through its handle, and wait until it has exited.

        The recorded lifetime ends with the exit and not with the signal, because on a busy machine a killed process
        may accept connections for about 100 ms after the signal.

        Args:
            process: The process.
            end: `KILLED` sends SIGKILL, anything else SIGTERM; recorded in the lifetime.
        """
        if not process.has_exited:
            signal_number = signal.SIGKILL if end is ProcessEnd.KILLED else signal.SIGTERM
            with contextlib.suppress(ProcessLookupError):
                process.child.send_signal(signal_number)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.child.wait(), EXIT_TIMEOUT_S)
        if lifetimes := self.lifetimes.get(process.name):
            lifetimes[-1] = replace(lifetimes[-1], end_ms=now_ms(), end=end)
        if process in self._running:
            self._running.remove(process)

    async def kill_all(self) -> None:
        """Kill the processes that are still running."""
        for process in list(self._running):
            await self.stop(process, ProcessEnd.KILLED)
