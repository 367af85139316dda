"""One scale run: the comparison with relay processes first, then the fleet. Its processes end with it, however it ends.

The printed text and the report name reference models and simulated relays `hollow`, relay processes `real`.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import FrameType

from . import report, scenarios
from .comparison import compare
from .fleet import Fleet, FleetResult
from .options import ScaleOptions
from .report_schema import ReportJson

REPORT_S = 45.0
"""Kept for the report, of a run of `REPORT_RUN_MINUTES`; less of a shorter one."""
REPORT_RUN_MINUTES = 10
COMPARISON_FOLDER = "real"
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RunInterrupted(KeyboardInterrupt):
    """A signal ended the run; its number is the argument."""


def _end(number: int, frame: FrameType | None) -> None:
    for each in END_SIGNALS:  # a second one must not stop the clean-up half-way
        signal.signal(each, signal.SIG_IGN)
    raise RunInterrupted(number)


@contextmanager
def _ended_by_signals() -> Iterator[None]:
    """Raise `Ended` on a signal; restores the handlers afterwards."""
    before = {each: signal.signal(each, _end) for each in END_SIGNALS}
    try:
        yield
    finally:
        for each, handler in before.items():
            signal.signal(each, handler)


def run(sizes: ScaleOptions, folder: Path, say: Callable[[str], None]) -> ReportJson:
    """Play a run and write the report into the folder.

    Args:
        sizes: The options.
        folder: Folder of the report; made if there is none.
        say: Gets lines of progress.

    Returns:
        The report, as scale.json has it.

    Raises:
        OptionError: An option has a value that cannot be used.
        NotStarted: A relay process did not start, or ended by itself.
        Failed: Another process ended by itself.
        OSError: Files or sockets cannot be used.
        Ended: A signal ended the run.
    """
    sizes.check()
    until = time.monotonic() + 60.0 * sizes.minutes
    folder.mkdir(parents=True, exist_ok=True)
    with _ended_by_signals():
        comparison = asyncio.run(compare(sizes, folder / COMPARISON_FOLDER, say)) if sizes.real else None
        resumes_by_version = bool(comparison and comparison.resumes_by_version)
        seconds_left = until - REPORT_S * sizes.minutes / REPORT_RUN_MINUTES - time.monotonic()
        played = _play_fleet(sizes, resumes_by_version, seconds_left, say)
        world = scenarios.build(sizes)
        played.check(world)
        found, samples = report.build(world, played, comparison)
        report.write(found, samples, folder, say)
        return found


def _play_fleet(
    options: ScaleOptions, resumes_by_version: bool, seconds_left: float, report_progress: Callable[[str], None]
) -> FleetResult:
    fleet = Fleet(options, resumes_by_version, seconds_left, report_progress)
    try:
        return fleet.play()
    finally:
        fleet.close()
