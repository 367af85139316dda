"""Reconstructs the attempts of a run from the traffic at the sockets of the partners."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..emulators.traffic_events import CallAnswered, CallBegan, CallClosed, CallCut, CallEvent
from ..engine.attempt_outcome import AttemptObservation, WireResult, judge_attempt
from .relay_lifetime import RelayProcesses

TRANSIT_MS = 25.0  # delay between the ends of a socket on a busy machine, in which a request and an answer may cross


class MessageAtProcess(NamedTuple):
    """A message at one relay process; a restarted relay does not remember the messages of its earlier processes."""

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
        process: Name of the relay process.
        partner: Name of the partner.
        endpoint: Id of the endpoint.
        connection: Identifies the connection within the partner; None in older records.
        reads_slowly: Whether the partner read it slowly; it then observes the end only after reading all earlier bytes.
        is_cut: Whether the connection ended before the request was complete.
        end_ms: When it was answered or closed; infinity if the partner observed no end.
        status: HTTP status of its answer; 0 if there was none.
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
        """Whether its end proves that the message took no effect."""
        if self.is_cut:
            return True
        wire_result = WireResult.ANSWERED if self.status else WireResult.CONNECTION_LOST
        return judge_attempt(AttemptObservation(wire_result, status=self.status)).outcome.proves_no_effect

    def is_ended_by(self, event: CallEvent) -> bool:
        """Whether this attempt has no end yet, and an answer or close belongs to it."""
        is_same_connection = event.connection in (None, self.connection)
        return self.endpoint == event.endpoint and is_same_connection and self.end_ms == math.inf


Attempts = dict[MessageAtProcess, list[AttemptRecord]]


def collect_attempts(events: Sequence[CallEvent], processes: RelayProcesses) -> Attempts:
    """Return the attempts by message and relay process, in the order of their first bytes.

    Args:
        events: The call events of all partners, in the order of their times.
        processes: The relay processes and when each of them ran.
    """
    cut_calls = _cut_calls(events)
    # An answer without a recorded begin leaves an empty list, so that the rules count its message as checked.
    attempts: Attempts = defaultdict(list)
    for position, event in enumerate(events):
        if not event.message_id or not isinstance(event, (CallBegan, CallAnswered, CallClosed)):
            continue
        process = processes.process_at(event.relay, event.at_ms)
        message_attempts = attempts[MessageAtProcess(event.message_id, process)]
        if isinstance(event, CallBegan):
            message_attempts.append(_begun_attempt(event, process, is_cut=position in cut_calls))
        else:
            _end_attempt(message_attempts, event)
    return attempts


def _cut_calls(events: Sequence[CallEvent]) -> set[int]:
    """Return the positions of the `CallBegan` events of incomplete requests, which count as not in flight."""
    cut: set[int] = set()
    last_begin: dict[_ConnectionId, int] = {}
    for position, event in enumerate(events):
        if event.connection is None:
            continue
        connection = _ConnectionId(event.partner, event.endpoint, event.connection)
        if isinstance(event, CallBegan):
            last_begin[connection] = position
        elif isinstance(event, CallCut) and connection in last_begin:
            cut.add(last_begin.pop(connection))
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


def _end_attempt(message_attempts: list[AttemptRecord], event: CallAnswered | CallClosed) -> None:
    """End the first open attempt that an event belongs to; an answer lost by a fault (status 0) does not end it."""
    status = event.status if isinstance(event, CallAnswered) else 0
    for attempt in message_attempts:
        if attempt.is_ended_by(event):
            if isinstance(event, CallClosed) or status:
                attempt.end_ms = event.at_ms
                attempt.status = status
            return
