"""Recovery from a failed turn of the engine: ends all accepted messages, and passes the endpoint list to the engine.

The relay keeps no journal from which messages could be resumed (docs/CAPACITY.md), so each gets its final answer now.
"""

from __future__ import annotations

import asyncio

from ..engine.attempt_outcome import AttemptObservation, WireResult
from ..engine.turn_recovery import TurnRecoveryPlan
from ..net.fault_boundary import FaultBoundary
from ..telemetry import log_events
from .accepted_message import AcceptedMessage
from .action_dispatcher import ActionDispatcher
from .delivery import Delivery
from .registry import RegistryClient
from .relay_context import RelayContext


class TurnRecovery:
    """Restores the state of the engine after a failed turn."""

    def __init__(
        self, context: RelayContext, delivery: Delivery, dispatcher: ActionDispatcher, registry: RegistryClient
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._context = context
        self._delivery = delivery
        self._dispatcher = dispatcher
        self._registry = registry

    def recover(self, plan: TurnRecoveryPlan) -> None:
        """End all messages, and pass the list to the engine, which has been restarted."""
        self._context.counts["engine_restarts"] += 1
        self._context.log.error(
            log_events.ENGINE_RESTARTED, accepted=len(self._context.accepted), backoff_ms=plan.backoff_ms
        )
        for message in list(self._context.accepted.values()):
            with FaultBoundary("the end of a message"):
                self._end(message)
        self._loop.call_later(plan.backoff_ms / 1000, self._post_list)

    def _end(self, message: AcceptedMessage) -> None:
        if message.attempt is not None:
            self._delivery.end_attempt(message, message.attempt, AttemptObservation(WireResult.CANCELLED), None)
        self._dispatcher.end(message)

    def _post_list(self) -> None:
        if self._registry.version >= 0:  # otherwise the first list is still to come
            self._context.post_event(self._registry.current_list())
