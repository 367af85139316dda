"""One scale run: the comparison with relay processes first, then the simulated fleet.

The processes of a run are killed at its end, also after an error or a signal. The printed text and the report call
reference models and simulated relays `hollow`, and relay processes `real`.
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
"""Time reserved for the report in a run of `REPORT_RUN_MINUTES`; a shorter run reserves proportionally less."""
REPORT_RUN_MINUTES = 10
COMPARISON_FOLDER = "real"
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RunInterrupted(KeyboardInterrupt):
    """A signal ended the run; its number is the argument."""


def _interrupt(number: int, frame: FrameType | None) -> None:
    for ignored in END_SIGNALS:  # a second signal must not interrupt the clean-up
        signal.signal(ignored, signal.SIG_IGN)
    raise RunInterrupted(number)


@contextmanager
def _interrupted_by_signals() -> Iterator[None]:
    """Raise `RunInterrupted` on SIGTERM or SIGINT; restore the previous handlers afterwards."""
    previous_handlers = {end_signal: signal.signal(end_signal, _interrupt) for end_signal in END_SIGNALS}
    try:
        yield
    finally:
        for end_signal, handler in previous_handlers.items():
            signal.signal(end_signal, handler)


def run(options: ScaleOptions, folder: Path, report_progress: Callable[[str], None]) -> ReportJson:
    """Execute a scale run and write its report into a folder.

    Args:
        options: Options of the run.
        folder: Folder of the report; created if it does not exist.
        report_progress: Receives progress lines.

    Returns:
        The report in the structure of scale.json.

    Raises:
        OptionError: An option has a value that cannot be used.
        RelayStartError: A relay process did not become ready in time, or exited early.
        RunFailedError: A worker process failed, exited early or did not end in time.
        OSError: Files or sockets cannot be used.
        RunInterrupted: A signal ended the run.
    """
    options.check()
    deadline = time.monotonic() + 60.0 * options.minutes
    folder.mkdir(parents=True, exist_ok=True)
    with _interrupted_by_signals():
        comparison = None
        if options.real:
            comparison = asyncio.run(compare(options, folder / COMPARISON_FOLDER, report_progress))
        resumes_by_version = bool(comparison and comparison.resumes_by_version)
        seconds_left = deadline - REPORT_S * options.minutes / REPORT_RUN_MINUTES - time.monotonic()
        fleet_result = _play_fleet(options, resumes_by_version, seconds_left, report_progress)
        platform = scenarios.build(options)
        fleet_result.check(platform)
        result, samples = report.build(platform, fleet_result, comparison)
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
