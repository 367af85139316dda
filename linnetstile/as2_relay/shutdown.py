"""Graceful shutdown: rejects new messages, and waits until all accepted ones are answered or the time-out expires."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..telemetry import log_events
from .relay_context import RelayContext

ANSWER_POLL_INTERVAL_S = 0.05  # between checks whether all clients have read their answers
DEADLINE_MARGIN_MS = 1000.0  # added to the longest deadline for the default time-out


class GracefulShutdown:
    """Ends the relay when no work is left or the time-out expires.

    Attributes:
        has_started: Whether the shutdown has started; from then on no message is accepted.
        completed: Set when the process may exit.
    """

    def __init__(
        self,
        context: RelayContext,
        timeout_ms: float,
        is_idle: Callable[[], bool],
        has_unsent_answers: Callable[[], bool],
    ) -> None:
        """Create a shutdown that has not started.

        Args:
            context: Shared state of the relay's components.
            timeout_ms: Maximum duration of the shutdown.
            is_idle: Returns whether no message and no receipt delivery is left.
            has_unsent_answers: Returns whether an answer has not been completely sent to its client.
        """
        self.context = context
        self.timeout_ms = timeout_ms
        self.is_idle = is_idle
        self.has_unsent_answers = has_unsent_answers
        self.has_started = False
        self.completed = asyncio.Event()

    def start(self) -> None:
        """Stop accepting messages, and start the time-out."""
        self.has_started = True
        self.context.log.info(log_events.STOPPING, accepted=len(self.context.accepted), within_ms=self.timeout_ms)
        self.context.loop.call_later(self.timeout_ms / 1000, self._on_timeout)

    def _on_timeout(self) -> None:
        self.completed.set()
        for message in self.context.accepted.values():
            self.context.log.error(
                log_events.UNFINISHED_AT_SHUTDOWN,
                message=message.head.message_id,
                partner=message.head.receiver,
                attempts=message.attempt_count,
                in_flight=message.attempt is not None,
            )

    def check_progress(self) -> None:
        """Complete the shutdown if no work is left; called after each answered message and each receipt post."""
        if self.has_started and self.is_idle():
            self.context.loop.call_later(ANSWER_POLL_INTERVAL_S, self._wait_for_clients)

    def _wait_for_clients(self) -> None:
        """Complete the shutdown when all answers are sent; a client that reads below the minimum rate is evicted."""
        if self.has_unsent_answers():
            self.context.loop.call_later(ANSWER_POLL_INTERVAL_S, self._wait_for_clients)
        else:
            self.completed.set()
