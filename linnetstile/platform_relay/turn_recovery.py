"""Recovery from a failed turn of the engine: passes all that the relay knows to the restarted engine.

`engine/turn_recovery.py` decides whether messages are resumed. The knowledge of endpoints' health and rates is lost, as
it is by a restart of the process.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from ..engine.events import EndpointList, Event, ListKind
from ..engine.turn_recovery import TurnRecoveryPlan
from ..net.fault_boundary import FaultBoundary
from . import clock, counters, log_events
from .accepted import AcceptedMessage, AcceptedMessages
from .delivery import Delivery
from .directory import Directory
from .discovery import change_events
from .intake import Intake
from .log_events import EventLog
from .recovery import Recovery
from .results import ResultReporter
from .shutdown import GracefulShutdown


class TurnRecovery:
    """Restores the state of the engine after a failed turn."""

    def __init__(
        self,
        *,
        accepted: AcceptedMessages,
        intake: Intake,
        delivery: Delivery,
        reporter: ResultReporter,
        recovery: Recovery,
        directory: Directory,
        shutdown: GracefulShutdown,
        post_event: Callable[[Event], None],
        counts: Counter[str],
        log: EventLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._accepted = accepted
        self._intake = intake
        self._delivery = delivery
        self._reporter = reporter
        self._recovery = recovery
        self._directory = directory
        self._shutdown = shutdown
        self._post_event = post_event
        self._counts = counts
        self._log = log

    def recover(self, plan: TurnRecoveryPlan) -> None:
        """Pass endpoints, messages and an ongoing shutdown to the engine, which has been restarted.

        Messages whose clients have no answer yet are rejected, as nothing of them was sent. A message with a call in
        flight is passed on when the call has ended, so that it never has two at once.
        """
        self._counts[counters.ENGINE_RESTARTS] += 1
        self._intake.reject_unanswered()
        self._delivery.hand_over()
        if plan.backoff_ms:
            self._loop.call_later(plan.backoff_ms / 1000, self._post_list)
        else:
            self._post_list()
        self._shutdown.repeat_event()
        waiting = [message for message in self._accepted.by_id.values() if message.attempt is None]
        self._log(
            log_events.ENGINE_RESTARTED,
            held=len(self._accepted),
            resumed=len(waiting) if plan.resumes_messages else 0,
            backoff_ms=plan.backoff_ms,
        )
        for message in waiting:
            self._resume_or_end(message, plan)

    def _post_list(self) -> None:
        """Pass all listed endpoints to the engine; the empty event says that there is a list, even without any."""
        self._post_event(EndpointList(ListKind.CHANGES))
        for event in change_events(self._directory.endpoints()):
            self._post_event(event)

    def _resume_or_end(self, message: AcceptedMessage, plan: TurnRecoveryPlan) -> None:
        with FaultBoundary("the recovery of a message") as boundary:
            if plan.resumes_messages:
                self._recovery.resume(message, clock.unix_ms())
        if boundary.failed or not plan.resumes_messages:
            self._end(message)

    def _end(self, message: AcceptedMessage) -> None:
        """End a message with what its attempts prove."""
        journaled = message.journaled
        if journaled.unclear_attempt or journaled.open_attempt:
            self._reporter.fail(journaled.id)
        else:
            self._reporter.reject(journaled.id, retry_after_ms=0.0)
