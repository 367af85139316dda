"""The traffic of a run as the rules need it: submissions, their answers, attempts and effects."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any, TypeVar

from ..emulators.traffic_events import (
    CallAnswered,
    CallBegan,
    CallClosed,
    CallCut,
    CallEvent,
    EffectApplied,
    ListSent,
    MessageSubmitted,
    OutageChanged,
    SubmissionAnswered,
    SubmissionLost,
    TrafficEvent,
)
from ..engine.settings import MessageClass
from .attempts import MessageAtProcess, collect_attempts
from .run_facts import RunFacts

Row = dict[str, Any]  # a JSON object of a record
SubmissionEnd = SubmissionAnswered | SubmissionLost
E = TypeVar("E", bound=TrafficEvent)

# The event classes of each record that the rules need; rows with other events are ignored.
PARTNER_EVENTS: dict[str, type[TrafficEvent]] = {
    event.EVENT: event for event in (CallBegan, CallCut, CallClosed, CallAnswered, EffectApplied, OutageChanged)
}
CLIENT_EVENTS: dict[str, type[TrafficEvent]] = {
    event.EVENT: event for event in (MessageSubmitted, SubmissionAnswered, SubmissionLost)
}
REGISTRY_EVENTS: dict[str, type[TrafficEvent]] = {ListSent.EVENT: ListSent}


def _parse_events(rows: Sequence[Row], kinds: dict[str, type[TrafficEvent]]) -> list[TrafficEvent]:
    return [kinds[row["ev"]].from_row(row) for row in rows if row["ev"] in kinds]


def _of_kind(events: Sequence[TrafficEvent], kind: type[E]) -> list[E]:
    return [event for event in events if isinstance(event, kind)]


class RecordedTraffic:
    """The recorded traffic of a run, as typed events.

    Attributes:
        facts: The facts about the whole run.
        submissions: Submissions by their identifiers.
        ends: Answers and losses of each submission, in the order of the times.
        submission_counts: Number of submissions of each message.
        attempts: Attempts by message and relay process.
        effects: Effects that the partners recorded, by message and relay process.
        call_answers: Answers of the partners to calls.
        outages: Begins and ends of outages of whole partners.
        lists: Full lists and changes that the registry sent.
    """

    def __init__(self, facts: Row, partners: Sequence[Row], clients: Sequence[Row], registry: Sequence[Row]) -> None:
        """Read the rows of a record.

        Args:
            facts: The content of `run.json`.
            partners: Rows of the partner emulator; all rows are in the order of their times.
            clients: Rows of the client emulator.
            registry: Rows of the registry emulator.

        Raises:
            KeyError: A field is missing.
            ValueError: A field has no valid value.
        """
        self.facts = RunFacts.from_json(facts)
        client_events = _parse_events(clients, CLIENT_EVENTS)
        submissions = _of_kind(client_events, MessageSubmitted)
        self.submissions = {submission.submission: submission for submission in submissions}
        self.submission_counts = Counter(submission.message_id for submission in self.submissions.values())
        self._class_names = {
            submission.message_id: submission.message_class for submission in self.submissions.values()
        }
        self.ends: dict[str, list[SubmissionEnd]] = defaultdict(list)
        for event in client_events:
            if isinstance(event, (SubmissionAnswered, SubmissionLost)):
                self.ends[event.submission].append(event)

        partner_events = _parse_events(partners, PARTNER_EVENTS)
        self.attempts = collect_attempts(_of_kind(partner_events, CallEvent), self.facts.processes)
        self.effects: dict[MessageAtProcess, list[EffectApplied]] = defaultdict(list)
        for effect in _of_kind(partner_events, EffectApplied):
            self.effects[self.message_at_process(effect)].append(effect)
        self.call_answers = _of_kind(partner_events, CallAnswered)
        self.outages = _of_kind(partner_events, OutageChanged)
        self.lists = _of_kind(_parse_events(registry, REGISTRY_EVENTS), ListSent)

    def process_of(self, event: CallEvent | MessageSubmitted | ListSent) -> str:
        """Return the process that a relay had at the time of an event."""
        return self.facts.processes.process_at(event.relay, event.at_ms)

    def message_at_process(self, event: CallEvent | MessageSubmitted) -> MessageAtProcess:
        """Return the message of an event and its relay process."""
        return MessageAtProcess(event.message_id, self.process_of(event))

    def class_of(self, message_id: str) -> MessageClass | None:
        """Return the class of a message; None if no client submitted it."""
        return self.facts.classes.get(self._class_names.get(message_id, ""))
