"""One scale run: hollow beside real first, then the fleet. Whatever ends it, its processes end with it."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

from . import relay_process, report, scenarios
from .fleet import Failed, Fleet
from .relay_process import NotStarted
from .world_model import Sizes

REPORT_S = 45.0  # of the run's time, kept for the report
__all__ = ["Ended", "Failed", "NotStarted", "run"]


class Ended(KeyboardInterrupt):
    """A signal ended the run; its number is the argument."""


def _ended(number: int, frame: FrameType | None) -> None:
    for each in (signal.SIGTERM, signal.SIGINT):  # a second one must not stop the clean-up half-way
        signal.signal(each, signal.SIG_IGN)
    raise Ended(number)


def run(sizes: Sizes, folder: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Plays and writes the report into the folder. Raises OptionError, NotStarted, Failed, OSError, Ended."""
    sizes.check()
    until = time.monotonic() + 60.0 * sizes.minutes
    folder.mkdir(parents=True, exist_ok=True)
    before = {each: signal.signal(each, _ended) for each in (signal.SIGTERM, signal.SIGINT)}
    try:
        compared = asyncio.run(relay_process.compare(sizes, folder / "real", say)) if sizes.real else None
        if compared is not None:
            compared["agrees"] = relay_process.agrees(compared)
        since_version = bool(compared and compared["since_version"])
        fleet = Fleet(sizes, since_version, until - REPORT_S * sizes.minutes / 10 - time.monotonic(), say)
        try:
            played = fleet.play()
        finally:
            fleet.close()
        world = scenarios.build(sizes)
        played.check(world)
        found, samples = report.build(world, played, compared)
        report.write(found, samples, folder, say)
        return found
    finally:
        for each, handler in before.items():
            signal.signal(each, handler)
