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
"""Time reserved for the report in a run of `REPORT_RUN_MINUTES`; less in proportion in a shorter one."""
REPORT_RUN_MINUTES = 10
COMPARISON_FOLDER = "real"
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RunInterrupted(KeyboardInterrupt):
    """A signal ended the run; its number is the argument."""


def _end(number: int, frame: FrameType | None) -> None:
    for ignored in END_SIGNALS:  # a second one must not stop the clean-up half-way
        signal.signal(ignored, signal.SIG_IGN)
    raise RunInterrupted(number)


@contextmanager
def _ended_by_signals() -> Iterator[None]:
    """Raise `RunInterrupted` on a signal; restore the handlers afterwards."""
    previous_handlers = {end_signal: signal.signal(end_signal, _end) for end_signal in END_SIGNALS}
    try:
        yield
    finally:
        for end_signal, handler in previous_handlers.items():
            signal.signal(end_signal, handler)


def run(options: ScaleOptions, folder: Path, report_progress: Callable[[str], None]) -> ReportJson:
    """Play a run and write the report into the folder.

    Args:
        options: The options.
        folder: Folder of the report; made if there is none.
        report_progress: Gets lines of progress.

    Returns:
        The report, as scale.json has it.

    Raises:
        OptionError: An option has a value that cannot be used.
        RelayStartError: A relay process did not start, or ended by itself.
        RunFailedError: Another process ended by itself.
        OSError: Files or sockets cannot be used.
        RunInterrupted: A signal ended the run.
    """
    options.check()
    until = time.monotonic() + 60.0 * options.minutes
    folder.mkdir(parents=True, exist_ok=True)
    with _ended_by_signals():
        comparison = None
        if options.real:
            comparison = asyncio.run(compare(options, folder / COMPARISON_FOLDER, report_progress))
        resumes_by_version = bool(comparison and comparison.resumes_by_version)
        seconds_left = until - REPORT_S * options.minutes / REPORT_RUN_MINUTES - time.monotonic()
        played = _play_fleet(options, resumes_by_version, seconds_left, report_progress)
        platform = scenarios.build(options)
        played.check(platform)
        result, samples = report.build(platform, played, comparison)
        report.write(result, samples, folder, report_progress)
        return result


def _play_fleet(
    options: ScaleOptions, resumes_by_version: bool, seconds_left: float, report_progress: Callable[[str], None]
) -> FleetResult:
    fleet = Fleet(options, resumes_by_version, seconds_left, report_progress)
    try:
        return fleet.play()
    finally:
        fleet.close()
