"""What the measurements share: child processes that tell their port, and the tail of each command line."""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any


def spawn(module: str, *args: str, log: IO[bytes] | None = None) -> tuple[subprocess.Popen[str], dict[str, Any]]:
    """Starts `python -m benchmarks.MODULE ARGS` and reads the JSON line that tells how it is reached."""
    process = subprocess.Popen(
        [sys.executable, "-m", f"benchmarks.{module}", *args], stdout=subprocess.PIPE, stderr=log, text=True
    )
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def child(module: str, *args: str, log: IO[bytes] | None = None) -> tuple[subprocess.Popen[str], int]:
    process, told = spawn(module, *args, log=log)
    return process, told["port"]


def end(process: subprocess.Popen[str]) -> float:
    """Ends a child of this run; returns the CPU seconds that it used."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    process.terminate()
    process.wait(20)
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def parser(text: str | None) -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(description=text, formatter_class=argparse.RawTextHelpFormatter)
    made.add_argument("--json")
    return made


def tell(found: Any, file: str | None) -> None:
    text = json.dumps(found, indent=1)
    print(text)
    if file:
        Path(file).write_text(text + "\n", encoding="utf-8")


def serve_forever(start: Callable[[], Any]) -> None:
    """Runs a child's coroutine until it is ended, for ten minutes at most."""
    import asyncio

    async def go() -> None:
        kept = await start()
        await asyncio.sleep(600)
        del kept

    asyncio.run(go())
