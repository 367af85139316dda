"""Messages that this relay has accepted and that have no result yet."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..engine.resource_limits import JOURNAL_OVERHEAD_BYTES, MESSAGE_BYTES, SubmissionIds
from ..net import client, server
from .endpoint_record import EndpointAddress
from .journal import Journal
from .records import JournaledMessage


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight.

    Attributes:
        number: Number of the attempt, from 0.
        address: Address of its endpoint.
        started_at_ms: Loop time (ms) of its start.
        call: The HTTP call; None before it is made.
        was_handed_over: Whether the engine was restarted since it started, and does not know of it.
    """

    number: int
    address: EndpointAddress
    started_at_ms: float
    call: client.Call | None = None
    was_handed_over: bool = False


@dataclass(slots=True, eq=False)
class AcceptedMessage:
    """One message from its submission to its result.

    Attributes:
        journaled: The message as the journal stores it.
        request: The client's request; None once it has been answered.
        attempt: The attempt in flight; None without one.
    """

    journaled: JournaledMessage
    request: server.RequestContext | None = None
    attempt: Attempt | None = None

    @property
    def submission_id(self) -> str:
        """The client's correlation id."""
        return self.journaled.fields.submission_id

    @property
    def ordering_key(self) -> int:
        """Messages of an ordered class that share this key keep their order; 0 for an unordered message."""
        return self.journaled.fields.ordering_key or 0


class AcceptedMessages:
    """The accepted messages by id. Also accounts for their submission ids and their space in the journal.

    Attributes:
        by_id: The messages by the relay's own id, in the order they were accepted.
        submission_ids: Submission ids of these messages, and of the messages that ended most recently.
        last_id: The id assigned most recently, by this process or an earlier one.
    """

    def __init__(self, journal: Journal, max_ended_ids: int) -> None:
        self.by_id: dict[int, AcceptedMessage] = {}
        self.submission_ids = SubmissionIds(max_ended_ids)
        self.last_id = 0
        self._journal = journal

    def __len__(self) -> int:
        return len(self.by_id)

    @property
    def memory_bytes(self) -> int:
        """The memory of all messages, by the bytes of their bodies and an upper bound for the rest of each."""
        body_bytes = self._journal.message_bytes - len(self.by_id) * JOURNAL_OVERHEAD_BYTES
        return body_bytes + len(self.by_id) * MESSAGE_BYTES

    def journaled(self) -> Iterable[JournaledMessage]:
        """Return each message as the journal stores it."""
        return (message.journaled for message in self.by_id.values())

    def next_id(self) -> int:
        """Assign and return the next message id."""
        self.last_id += 1
        return self.last_id

    def add(self, message: AcceptedMessage) -> None:
        """Add a message, and account for its submission id and its space in the journal."""
        journaled = message.journaled
        self.by_id[journaled.id] = message
        self.submission_ids.add(journaled.fields.submission_id)
        self._journal.message_bytes += self._journal.reserved_bytes(journaled)

    def restore_ended(self, submission_ids: Iterable[str]) -> None:
        """Record the ids of messages that ended in an earlier process, so that they are not accepted again."""
        for submission_id in submission_ids:
            self.submission_ids.complete(submission_id)

    def remove(self, message_id: int) -> AcceptedMessage:
        """Remove and return a message that has its result."""
        message = self.by_id.pop(message_id)
        self.submission_ids.complete(message.journaled.fields.submission_id)
        self._journal.message_bytes -= self._journal.reserved_bytes(message.journaled)
        return message
