"""Recovery: what an earlier process left in the journal goes on, once discovery has sent its list."""

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
from .http_frontend import SubmissionReader
from .records import JournaledAttempt, JournaledMessage, JournalRecord
from .results import ResultReporter


async def wait_for_first_list(watch: Watch) -> bool:
    """Wait for discovery's list; return False if it does not come within the grace time."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not watch.first_list_read.is_set():
        grace_s = LONG_LIST_GRACE_S if watch.is_reading_list else DISCOVERY_GRACE_S
        left_s = began + grace_s - loop.time()
        if left_s <= 0:
            return False
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch.first_list_read.wait(), min(left_s, DISCOVERY_GRACE_S / 10))
    return True


class Recovery:
    """Restores what the journal holds: messages go to the engine, notices to the platform."""

    def __init__(
        self,
        *,
        accepted: AcceptedMessages,
        reporter: ResultReporter,
        directory: Directory,
        reader: SubmissionReader,
        post: Callable[[Event], None],
    ) -> None:
        self._accepted = accepted
        self._reporter = reporter
        self._directory = directory
        self._reader = reader
        self._post = post

    def restore(self, records: Mapping[int, JournalRecord]) -> None:
        """Restore all records of an earlier process, in their order."""
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
        # What was in flight when the process ended may have taken effect.
        unclear = journaled.unclear_attempt or journaled.open_attempt
        journaled.unclear_attempt, journaled.open_attempt = unclear, None
        self._post(
            MessageRecovered(
                self._engine_message(message, unix_ms),
                max(0.0, unix_ms - journaled.fields.accepted_at_ms),
                journaled.attempts,
                max(0.0, unix_ms - unclear.started_at_ms) if unclear else None,
                self._unclear_endpoint(unclear, journaled.fields.destination) if unclear else None,
            )
        )

    def _engine_message(self, message: AcceptedMessage, unix_ms: float) -> Message:
        fields, reader = message.journaled.fields, self._reader
        # A clock that was set back gives no message more time than it had.
        remaining_ms = min(fields.deadline_ms - unix_ms, fields.deadline_ms - fields.accepted_at_ms)
        # The settings may have changed since: names go by what they are now, and what has none charges nobody.
        return Message(
            message.journaled.id,
            fields.destination,
            reader.classes.get(fields.class_name, len(reader.classes)),
            max(0.0, remaining_ms),
            reader.tenants.get(fields.tenant, len(reader.tenants)),
            message.ordering_key,
        )

    def _unclear_endpoint(self, unclear: JournaledAttempt, destination: int) -> Endpoint:
        endpoint_id = self._directory.id_of(unclear.endpoint_name)
        return Endpoint(endpoint_id, destination, EndpointStatus.READY, zone=unclear.zone)
