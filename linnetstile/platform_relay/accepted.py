"""The messages that this relay has accepted and that have no result yet."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..engine.resource_limits import SubmissionIds
from ..net import client, server
from .endpoint_record import EndpointAddress
from .journal import Journal
from .records import JournaledMessage


@dataclass(slots=True, eq=False)
class Attempt:
    """The attempt of a message that is in flight.

    Attributes:
        number: How many attempts of the message came before it.
        address: Where it goes.
        started_at_ms: Loop time.
        call: None until the call has begun.
    """

    number: int
    address: EndpointAddress
    started_at_ms: float
    call: client.Call | None = None


@dataclass(slots=True, eq=False)
class AcceptedMessage:
    """One message from its submission to its result.

    Attributes:
        journaled: What the journal holds of it.
        request: The client's request, until it has its response.
        attempt: The attempt in flight.
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
        """What it shares with others of an ordered class; 0 = nothing."""
        return self.journaled.fields.ordering_key or 0


class AcceptedMessages:
    """Accepted messages by the relay's own number, their submission ids, and the space they take in the journal.

    Attributes:
        by_id: The messages, in the order they were accepted.
        submission_ids: Ids of all open submissions and of the latest that ended.
        last_id: The number given last; numbers of earlier processes count too.
    """

    def __init__(self, journal: Journal) -> None:
        self.by_id: dict[int, AcceptedMessage] = {}
        self.submission_ids = SubmissionIds()
        self.last_id = 0
        self._journal = journal

    def __len__(self) -> int:
        return len(self.by_id)

    def journaled(self) -> Iterable[JournaledMessage]:
        """Return what the journal holds of each message."""
        return (message.journaled for message in self.by_id.values())

    def next_id(self) -> int:
        """Return a number that no message had before."""
        self.last_id += 1
        return self.last_id

    def add(self, message: AcceptedMessage) -> None:
        """Take a message in; it takes space in the journal from now on."""
        journaled = message.journaled
        self.by_id[journaled.id] = message
        self.submission_ids.add(journaled.fields.submission_id)
        self._journal.message_bytes += self._journal.weight(journaled)

    def remove(self, message_id: int) -> AcceptedMessage:
        """Drop a message that has its result, and return it."""
        message = self.by_id.pop(message_id)
        self.submission_ids.complete(message.journaled.fields.submission_id)
        self._journal.message_bytes -= self._journal.weight(message.journaled)
        return message
