"""Graceful shutdown: carries out the phases that `engine/graceful_shutdown.py` defines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..engine.events import Event, ShutdownStarted
from ..engine.graceful_shutdown import EXIT_MS, shutdown_phase
from .http_frontend import HttpFrontend

CHECK_INTERVAL_S = 0.05  # between checks of the phase while connections are accepted
FINAL_CHECK_INTERVAL_S = 0.01  # between checks of the phase once no connection is accepted, shortly before the exit


class GracefulShutdown:
    """The graceful shutdown of one relay; `begin` starts it.

    Attributes:
        started_at: Loop time (s) of the signal; None before it.
        stopped: Set when the process may exit.
    """

    def __init__(self, *, frontend: HttpFrontend, post_event: Callable[[Event], None]) -> None:
        self.started_at: float | None = None
        self.stopped = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._frontend = frontend
        self._post_event = post_event

    def begin(self, signalled_at: float) -> None:
        """Start the shutdown.

        Args:
            signalled_at: Loop time (s) of the signal: the platform kills the process a fixed time after it.
        """
        self.started_at = signalled_at
        self.repeat_event()
        self._advance()

    def repeat_event(self) -> None:
        """Tell the engine of the shutdown, if it has started; also for an engine that was restarted since."""
        if self.started_at is not None:
            self._post_event(ShutdownStarted(max(0.0, EXIT_MS - self._elapsed_ms())))

    def _elapsed_ms(self) -> float:
        assert self.started_at is not None
        return (self._loop.time() - self.started_at) * 1000

    def _advance(self) -> None:
        elapsed_ms = self._elapsed_ms()
        # Checked only once the exit is due, as it examines every connection.
        has_unread_input = elapsed_ms >= EXIT_MS and self._frontend.server.has_unread_input
        phase = shutdown_phase(elapsed_ms, has_unread_input)
        if phase.exits:
            self.stopped.set()
        else:  # before the steps, so that an exception in one of them does not end the shutdown
            self._loop.call_later(CHECK_INTERVAL_S if phase.accepts else FINAL_CHECK_INTERVAL_S, self._advance)
        if not phase.admits:
            self._frontend.stop_admitting()
        if not phase.accepts:
            self._frontend.stop_accepting()
