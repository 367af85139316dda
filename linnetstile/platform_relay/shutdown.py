"""Graceful shutdown: carries out the phases that `engine/graceful_shutdown.py` decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..engine.events import Event, ShutdownStarted
from ..engine.graceful_shutdown import EXIT_MS, shutdown_phase
from .http_frontend import HttpFrontend

CHECK_INTERVAL_S = 0.05
FINAL_CHECK_INTERVAL_S = 0.01  # once nobody is let in any more


class GracefulShutdown:
    """Begins with `begin`.

    Attributes:
        started_at: Loop time, s, of the signal; None before it.
        stopped: Set when the process may end.
    """

    def __init__(self, frontend: HttpFrontend, post: Callable[[Event], None]) -> None:
        self.started_at: float | None = None
        self.stopped = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._frontend = frontend
        self._post = post

    def begin(self, signalled_at: float) -> None:
        """Begin; the time to the kill counts from the loop time `signalled_at`, in s."""
        self.started_at = signalled_at
        self._post(ShutdownStarted(max(0.0, EXIT_MS - self._elapsed_ms())))
        self._advance()

    def _elapsed_ms(self) -> float:
        assert self.started_at is not None
        return (self._loop.time() - self.started_at) * 1000

    def _advance(self) -> None:
        elapsed_ms = self._elapsed_ms()
        # Whether requests are unread is a look at each connection: asked at the end alone.
        unread = elapsed_ms >= EXIT_MS and self._frontend.server.has_unread_input
        phase = shutdown_phase(elapsed_ms, unread)
        if not phase.admits:
            self._frontend.stop_admitting()
        if not phase.accepts:
            self._frontend.stop_accepting()
        if phase.exits:
            self.stopped.set()
            return
        self._loop.call_later(CHECK_INTERVAL_S if phase.accepts else FINAL_CHECK_INTERVAL_S, self._advance)
