"""Recovery: resumes the messages and notices that an earlier process left in the journal."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping

from ..engine.events import Endpoint, EndpointStatus, Event, Message, MessageRecovered
from ..engine.resource_limits import DISCOVERY_GRACE_S, LONG_LIST_GRACE_S
from . import clock
from .accepted import AcceptedMessage, AcceptedMessages
from .directory import Directory
from .discovery import Watch
from .records import JournaledAttempt, JournaledMessage, JournalRecord
from .results import ResultReporter
from .submission import SubmissionReader

GRACE_CHECKS = 10  # number of checks within `DISCOVERY_GRACE_S` whether `LONG_LIST_GRACE_S` applies


async def wait_for_first_list(watch: Watch) -> bool:
    """Wait for discovery's first list; return False if it is not read within its grace time.

    A list that is being read has a longer grace time than one whose reading has not begun.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not watch.first_list_read.is_set():
        grace_s = LONG_LIST_GRACE_S if watch.is_reading_list else DISCOVERY_GRACE_S
        remaining_s = started_at + grace_s - loop.time()
        if remaining_s <= 0:
            return False
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch.first_list_read.wait(), min(remaining_s, DISCOVERY_GRACE_S / GRACE_CHECKS))
    return True


class Recovery:
    """Passes recovered messages to the engine and recovered notices to the platform."""

    def __init__(
        self,
        *,
        accepted: AcceptedMessages,
        reporter: ResultReporter,
        directory: Directory,
        submission_reader: SubmissionReader,
        post_event: Callable[[Event], None],
    ) -> None:
        self._accepted = accepted
        self._reporter = reporter
        self._directory = directory
        self._submission_reader = submission_reader
        self._post_event = post_event

    def restore(self, records: Mapping[int, JournalRecord]) -> None:
        """Restore all records of the journal, in their order."""
        unix_ms = clock.unix_ms()
        for message_id, record in records.items():
            self._accepted.last_id = max(self._accepted.last_id, message_id)
            if isinstance(record, JournaledMessage):
                self._restore_message(record, unix_ms)
            else:
                self._reporter.post(record)

    def _restore_message(self, journaled: JournaledMessage, unix_ms: float) -> None:
        message = AcceptedMessage(journaled)
        self._accepted.add(message)
        self.resume(message, unix_ms)

    def resume(self, message: AcceptedMessage, unix_ms: float) -> None:
        """Pass a message without a call in flight to an engine that does not know it."""
        journaled = message.journaled
        # An attempt whose end is not known, because the process or a turn of the engine failed, may have taken effect.
        unclear = journaled.unclear_attempt or journaled.open_attempt
        journaled.unclear_attempt = unclear
        journaled.open_attempt = None
        self._post_event(
            MessageRecovered(
                message=self._engine_message(message, unix_ms),
                age_ms=max(0.0, unix_ms - journaled.fields.accepted_at_ms),
                attempts=journaled.attempts,
                unclear_age_ms=max(0.0, unix_ms - unclear.started_at_ms) if unclear else None,
                unclear_endpoint=self._unclear_endpoint(unclear, journaled.fields.destination) if unclear else None,
            )
        )

    def _engine_message(self, message: AcceptedMessage, unix_ms: float) -> Message:
        fields = message.journaled.fields
        classes = self._submission_reader.classes
        tenants = self._submission_reader.tenants
        # Bounded by the initial remaining time, in case the wall clock was set back.
        remaining_ms = min(fields.deadline_ms - unix_ms, fields.deadline_ms - fields.accepted_at_ms)
        # The settings may have changed since the message was accepted. A class or tenant that they no longer name gets
        # the index after the last one: the engine has an unknown class there, and no quota for such a tenant.
        return Message(
            id=message.journaled.id,
            destination=fields.destination,
            class_index=classes.get(fields.class_name, len(classes)),
            remaining_ms=max(0.0, remaining_ms),
            tenant=tenants.get(fields.tenant, len(tenants)),
            ordering_key=message.ordering_key,
        )

    def _unclear_endpoint(self, unclear: JournaledAttempt, destination: int) -> Endpoint:
        endpoint_id = self._directory.id_of(unclear.endpoint_name)
        return Endpoint(endpoint_id, destination, EndpointStatus.READY, zone=unclear.zone)
