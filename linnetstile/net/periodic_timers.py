"""Jobs that run periodically on the event loop, whatever a single run of them raises."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class PeriodicTimers:
    """Runs jobs at fixed intervals until `close`.

    An exception of a job goes to the exception handler of the event loop, and ends only the current run.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._timers: list[asyncio.TimerHandle] = []

    def run_every(self, interval_ms: float, job: Callable[[], None]) -> None:
        """Run a job every `interval_ms`, the first time after that interval."""
        timer_index = len(self._timers)

        def run() -> None:
            self._timers[timer_index] = self._loop.call_later(interval_ms / 1000, run)  # first: the job may raise
            job()

        self._timers.append(self._loop.call_later(interval_ms / 1000, run))

    def close(self) -> None:
        """Cancel all jobs."""
        for timer in self._timers:
            timer.cancel()
