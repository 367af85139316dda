"""What the benchmarks share: child processes that announce their port, and the tail of each command line."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import IO, Any

CPU_FIELDS = 11, 12
"""User and system time in /proc/PID/stat, counted behind the name of the program."""
END_TIMEOUT_S = 20
CHILD_LIFETIME_S = 600
"""A child ends by itself after so long."""


def start_child(module: str, *args: str, log: IO[bytes] | None = None) -> tuple[subprocess.Popen[str], dict[str, Any]]:
    """Start `python -m benchmarks.MODULE ARGS` and read the JSON line that says how it is reached."""
    process = subprocess.Popen(
        [sys.executable, "-m", f"benchmarks.{module}", *args], stdout=subprocess.PIPE, stderr=log, text=True
    )
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def start_child_with_port(module: str, *args: str, log: IO[bytes] | None = None) -> tuple[subprocess.Popen[str], int]:
    """Start a child that has one port; returns it and the port."""
    process, announced = start_child(module, *args, log=log)
    return process, announced["port"]


async def start_relay(
    settings: dict[str, Any], profile: str = "", log: IO[bytes] | None = None
) -> tuple[subprocess.Popen[str], int]:
    """Start an AS2 relay as a child, while the event loop goes on: it serves the registry that the relay reads.

    Args:
        settings: Settings of the relay.
        profile: File for a profile of the relay; empty = none.
        log: File for what it logs.

    Returns:
        The process and its port.
    """
    return await asyncio.get_running_loop().run_in_executor(
        None,
        lambda: start_child_with_port("throughput", "--serve-relay", json.dumps(settings), profile, log=log),
    )


def stop_child(process: subprocess.Popen[str]) -> float:
    """End a child of this run; returns the processor time that it used, in seconds."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    process.terminate()
    process.wait(END_TIMEOUT_S)
    return sum(int(fields[number]) for number in CPU_FIELDS) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Resident memory of a process in MB."""
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


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


def serve_forever(start: Callable[[], Awaitable[Any]]) -> None:
    """Run a child's coroutine until it is ended, for `CHILD_LIFETIME_S` at the most; what it returns is kept alive."""

    async def serve() -> None:
        kept = await start()
        await asyncio.sleep(CHILD_LIFETIME_S)
        del kept

    asyncio.run(serve())
