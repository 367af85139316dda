"""Graceful shutdown: no new messages, until all accepted ones are answered or the time for that is over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..telemetry import log_events
from .relay_context import RelayContext

ANSWER_POLL_S = 0.05  # how often the listener is asked whether clients have read their answers
DEADLINE_MARGIN_MS = 1000.0  # beyond the longest deadline, if the settings name no time


class GracefulShutdown:
    """Ends the relay once nothing is left to do.

    Attributes:
        has_started: Whether the relay accepts no more messages.
        completed: Set once the process may end.
    """

    def __init__(
        self,
        context: RelayContext,
        timeout_ms: float,
        is_idle: Callable[[], bool],
        has_unsent_answers: Callable[[], bool],
    ) -> None:
        """Take what tells that work is left.

        Args:
            context: What all parts of the relay share.
            timeout_ms: How long the relay may take.
            is_idle: Whether no message and no receipt delivery is left.
            has_unsent_answers: Whether a client has not read its answer.
        """
        self.context = context
        self.timeout_ms = timeout_ms
        self.is_idle = is_idle
        self.has_unsent_answers = has_unsent_answers
        self.has_started = False
        self.completed = asyncio.Event()

    def start(self) -> None:
        """Accept no more messages from now on."""
        self.has_started = True
        self.context.log.info(log_events.STOPPING, accepted=len(self.context.accepted), within_ms=self.timeout_ms)
        self.context.loop.call_later(self.timeout_ms / 1000, self._on_timeout)

    def _on_timeout(self) -> None:
        for message in self.context.accepted.values():
            self.context.log.error(
                log_events.UNFINISHED_AT_SHUTDOWN,
                message=message.head.message_id,
                partner=message.head.receiver,
                attempts=message.attempt_count,
                in_flight=message.attempt is not None,
            )
        self.completed.set()

    def check_progress(self) -> None:
        """Complete the shutdown if no work is left; called whenever some of it has ended."""
        if self.has_started and self.is_idle():
            self.context.loop.call_later(ANSWER_POLL_S, self._wait_for_clients)

    def _wait_for_clients(self) -> None:
        """Complete once the last answers have left; a client that reads too slowly is evicted by its rate."""
        if self.has_unsent_answers():
            self.context.loop.call_later(ANSWER_POLL_S, self._wait_for_clients)
        else:
            self.completed.set()
