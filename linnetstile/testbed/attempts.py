"""The attempts of a run, reconstructed from the traffic at the sockets of the partners."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..emulators.traffic_events import CallAnswered, CallBegan, CallClosed, CallCut, CallEvent
from ..engine.attempt_outcome import AttemptObservation, WireResult, judge_attempt
from .relay_lifetime import RelayProcesses

TRANSIT_MS = 25.0  # delay between the two ends of a socket on a busy machine: a send may cross an answer


class MessageAtProcess(NamedTuple):
    """A message as one process of a relay knows it; the memory of a relay ends with its process."""

    message_id: str
    process: str


class _ConnectionId(NamedTuple):
    partner: str
    endpoint: int
    connection: int


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as observed at the socket of the partner.

    Attributes:
        start_ms: When its first byte arrived.
        process: The process of the relay.
        partner: Name of the partner.
        endpoint: Id of the endpoint.
        connection: Identifies the connection within the partner; None in older records.
        reads_slowly: The partner read it slowly, so that it observes the end only after all unread bytes.
        is_cut: The connection ended before the request was complete.
        end_ms: When it was answered or closed; infinity if the partner observed no end.
        status: The status of its answer; 0 = none.
    """

    start_ms: float
    process: str
    partner: str
    endpoint: int
    connection: int | None = None
    reads_slowly: bool = False
    is_cut: bool = False
    end_ms: float = math.inf
    status: int = 0

    @property
    def proves_no_effect(self) -> bool:
        """Whether its end proves that nothing ran."""
        if self.is_cut:
            return True
        wire_result = WireResult.ANSWERED if self.status else WireResult.CONNECTION_LOST
        return judge_attempt(AttemptObservation(wire_result, status=self.status)).outcome.proves_no_effect

    def is_ended_by(self, event: CallEvent) -> bool:
        """Whether an answer or close belongs to this attempt, which has no end yet."""
        is_same_connection = event.connection in (None, self.connection)
        return self.endpoint == event.endpoint and is_same_connection and self.end_ms == math.inf


Attempts = dict[MessageAtProcess, list[AttemptRecord]]


def collect_attempts(events: Sequence[CallEvent], processes: RelayProcesses) -> Attempts:
    """Return the attempts by message and relay process, in the order of their first bytes.

    Args:
        events: The call events of all partners, in the order of their times.
        processes: Which process of a relay ran when.
    """
    cut_calls = _cut_calls(events)
    # A message of which a process got an answer alone has an empty list there, and is counted as checked.
    attempts: Attempts = defaultdict(list)
    for position, event in enumerate(events):
        if not event.message_id or not isinstance(event, (CallBegan, CallAnswered, CallClosed)):
            continue
        process = processes.process_at(event.relay, event.at_ms)
        known = attempts[MessageAtProcess(event.message_id, process)]
        if isinstance(event, CallBegan):
            known.append(_begun_attempt(event, process, is_cut=position in cut_calls))
        else:
            _end_attempt(known, event)
    return attempts


def _cut_calls(events: Sequence[CallEvent]) -> set[int]:
    """Return the positions of the begins of requests that never were complete: those are not in flight."""
    cut: set[int] = set()
    latest: dict[_ConnectionId, int] = {}
    for position, event in enumerate(events):
        if event.connection is None:
            continue
        connection = _ConnectionId(event.partner, event.endpoint, event.connection)
        if isinstance(event, CallBegan):
            latest[connection] = position
        elif isinstance(event, CallCut) and connection in latest:
            cut.add(latest.pop(connection))
    return cut


def _begun_attempt(event: CallBegan, process: str, is_cut: bool) -> AttemptRecord:
    return AttemptRecord(
        start_ms=event.at_ms,
        process=process,
        partner=event.partner,
        endpoint=event.endpoint,
        connection=event.connection,
        reads_slowly=bool(event.reads_slowly),
        is_cut=is_cut,
        end_ms=event.at_ms if is_cut else math.inf,
    )


def _end_attempt(known: list[AttemptRecord], event: CallAnswered | CallClosed) -> None:
    """End the first open attempt that an event belongs to; an answer that was lost does not end it."""
    status = event.status if isinstance(event, CallAnswered) else 0
    for attempt in known:
        if attempt.is_ended_by(event):
            if isinstance(event, CallClosed) or status:
                attempt.end_ms = event.at_ms
                attempt.status = status
            return
