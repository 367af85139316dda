"""Shared helpers of the benchmarks: child processes that announce their ports, process figures, options, results."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from types import TracebackType
from typing import IO, Any

USER_TIME_FIELD = 11
"""Index of the user time in /proc/PID/stat, counted from the field after the program name."""
SYSTEM_TIME_FIELD = 12  # index of the system time in /proc/PID/stat, counted from the field after the program name
RESIDENT_PAGES_FIELD = 1
"""Index of the number of resident pages in /proc/PID/statm."""
BYTES_PER_MB = 2**20
END_TIMEOUT_S = 20
CHILD_LIFETIME_S = 600
"""Time after which a child process ends by itself."""


class ChildProcess:
    """A child process that has announced its ports. As a context manager, it stops the process at the end of the block.

    Attributes:
        pid: Its process identifier.
        port: Its loopback port; 0 if it has several.
        ports: Its loopback ports by the identifier of the endpoint; empty if it has only one.
    """

    def __init__(self, process: subprocess.Popen[str], announced: Mapping[str, Any]) -> None:
        """Wrap a process that has printed this announcement (see `announce`)."""
        self._process = process
        self._cpu_s: float | None = None
        self.pid = process.pid
        self.port = int(announced["port"])
        self.ports = {int(endpoint): int(port) for endpoint, port in announced["ports"].items()}

    def stop(self) -> float:
        """Stop the process if it still runs; returns the processor time that it used, in seconds."""
        if self._cpu_s is None:
            self._cpu_s = processor_time_s(self.pid)
            self._process.terminate()
            self._process.wait(END_TIMEOUT_S)
        return self._cpu_s

    def __enter__(self) -> ChildProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.stop()


def start_child(module: str, *args: str, log: IO[bytes] | None = None) -> ChildProcess:
    """Start `python -m benchmarks.MODULE ARGS` and read its announcement.

    Raises:
        RuntimeError: The process ended without an announcement.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", f"benchmarks.{module}", *args], stdout=subprocess.PIPE, stderr=log, text=True
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(
            f"benchmarks.{module} ended with exit code {process.wait(END_TIMEOUT_S)} before its announcement"
        )
    return ChildProcess(process, json.loads(line))


def announce(port: int = 0, ports: Mapping[int, int] | None = None) -> None:
    """Announce the port of this child process, or its ports by endpoint, to the parent process on stdout."""
    print(json.dumps({"port": port, "ports": dict(ports or {})}), flush=True)


def serve_forever(start: Callable[[], Awaitable[Any]]) -> None:
    """Start the server of a child process, and keep it alive until SIGTERM, at most for `CHILD_LIFETIME_S`."""

    async def serve() -> None:
        emulator = await start()
        await asyncio.sleep(CHILD_LIFETIME_S)
        del emulator

    asyncio.run(serve())


def processor_time_s(pid: int) -> float:
    """Processor time that a process has used so far, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Resident memory of a process in MB."""
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        pages = int(file.read().split()[RESIDENT_PAGES_FIELD])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def argument_parser(description: str | None) -> argparse.ArgumentParser:
    """A command-line parser with the options that all benchmarks share."""
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--json")
    return parser


def print_result(result: Any, file: str | None) -> None:
    """Print a result as JSON, and write it to a file if one is given."""
    text = json.dumps(result, indent=1)
    print(text)
    if file:
        Path(file).write_text(text + "\n", encoding="utf-8")
