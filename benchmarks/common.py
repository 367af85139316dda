"""What the benchmarks share: child processes that announce their ports, and the tail of each command line."""

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
"""User time in /proc/PID/stat, counted behind the name of the program."""
SYSTEM_TIME_FIELD = 12
RESIDENT_PAGES_FIELD = 1
"""Resident pages in /proc/PID/statm."""
BYTES_PER_MB = 2**20
END_TIMEOUT_S = 20
CHILD_LIFETIME_S = 600
"""A child ends by itself after so long."""


class ChildProcess:
    """A process of this run that has announced how it is reached; as a context manager, it is ended with the block.

    Attributes:
        pid: Its process identifier.
        port: Its loopback port; 0 = it has several.
        ports: Its loopback ports by the identifier of the endpoint; empty = it has one.
    """

    def __init__(self, process: subprocess.Popen[str], announced: Mapping[str, Any]) -> None:
        """Take over a process that has printed this announcement (see `announce`)."""
        self._process = process
        self._cpu_s: float | None = None
        self.pid = process.pid
        self.port = int(announced["port"])
        self.ports = {int(endpoint): int(port) for endpoint, port in announced["ports"].items()}

    def stop(self) -> float:
        """End the process; returns the processor time that it used, in seconds."""
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
        RuntimeError: It has ended without one.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", f"benchmarks.{module}", *args], stdout=subprocess.PIPE, stderr=log, text=True
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"benchmarks.{module} has ended with {process.wait(END_TIMEOUT_S)} before it was reached")
    return ChildProcess(process, json.loads(line))


def announce(port: int = 0, ports: Mapping[int, int] | None = None) -> None:
    """Print the port of a child, or its ports by endpoint, for the process that has started it."""
    print(json.dumps({"port": port, "ports": dict(ports or {})}), flush=True)


def serve_forever(start: Callable[[], Awaitable[Any]]) -> None:
    """Run a child's coroutine until it is ended, for `CHILD_LIFETIME_S` at the most; what it returns is kept alive."""

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


def argument_parser(text: str | None) -> argparse.ArgumentParser:
    """A parser with the options that all benchmarks have."""
    parser = argparse.ArgumentParser(description=text, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--json")
    return parser


def print_result(result: Any, file: str | None) -> None:
    """Print a result as JSON, and write it to a file if there is one."""
    text = json.dumps(result, indent=1)
    print(text)
    if file:
        Path(file).write_text(text + "\n", encoding="utf-8")
