"""Hosts decision engines on the operators' simulator: its binary wire on standard input and output.

Every decision is left to `DeliveryEngine`; this module only maps records to events and actions to records. A frame
holds a header and records; a record is a code, the length of its body, and the body. Numbers are little-endian.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Iterator
from enum import IntEnum
from typing import BinaryIO, NamedTuple

from .config import platform
from .engine.actions import (
    Action,
    Cancel,
    CancelIfUnsent,
    CloseIdle,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from .engine.engine import DeliveryEngine
from .engine.events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    HealthCheckEnded,
    ListKind,
    Message,
    Outcome,
    TimerFired,
)
from .engine.settings import Settings
from .errors import ProtocolError


class EventCode(IntEnum):
    """Codes of the records that come in."""

    ATTEMPT_BEGUN = 10
    ENDPOINTS = 20
    LIST_CHANGED = 30
    TIMER_FIRED = 40
    INSTANCE_ENDED = 50
    HEALTH_CHECK_ENDED = 60
    CLIENT_CANCELLED = 70
    INSTANCE_STARTED = 80
    NEIGHBOUR_SAYS = 90
    ATTEMPT_ENDED = 100
    MESSAGE = 110


class ActionCode(IntEnum):
    """Codes of the records that go out."""

    SEND = 10
    REJECT = 20
    FAIL = 30
    CANCEL = 40
    SET_TIMER = 50
    HEALTH_CHECK = 60
    CLOSE_IDLE = 70
    LOG = 90
    WATCH_ENDPOINTS = 110


# No class of ours streams, and relays here share nothing.
IGNORED_EVENTS = (EventCode.ATTEMPT_BEGUN, EventCode.NEIGHBOUR_SAYS)
OUTCOMES = (
    Outcome.ERROR,
    Outcome.OK,
    Outcome.REJECTED,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)
ENDPOINT_STATUSES = {1: EndpointStatus.READY, 2: EndpointStatus.GONE, 3: EndpointStatus.DRAINING}
LIST_KINDS = (ListKind.CHANGES, ListKind.FULL, ListKind.CACHED, ListKind.FAILED)

FRAME_HEADER = struct.Struct("<IdI")  # size of the records, time in ms, number of records
REPLY_HEADER = struct.Struct("<II")  # size of the records, number of records
RECORD_HEADER = struct.Struct("<BI")  # code, size of the body
INSTANCE = struct.Struct("<I")  # begins the body of each record but the list of endpoints
ENDPOINTS_HEADER = struct.Struct("<BI")  # number of the list, number of entries
ENDPOINT = struct.Struct("<BfdHBHI")  # see `EndpointRow`
INSTANCE_STARTED = struct.Struct("<QI")  # seed, size of the settings
MESSAGE = struct.Struct("<IBIQddfB")  # see `MessageRecord`
ATTEMPT_ENDED = struct.Struct("<IHIBdBIB")  # see `AttemptEndedRecord`
LIST_CHANGED = struct.Struct("<BQB")  # kind, not used, number of the list
TIMER_FIRED = struct.Struct("<Q")
HEALTH_CHECK_ENDED = struct.Struct("<IBdB")  # see `HealthCheckRecord`
CLIENT_CANCELLED = struct.Struct("<I")
# Bodies of actions, after the instance.
SEND = struct.Struct("<IId")  # message, endpoint, time at which it is given up
REJECT = struct.Struct("<Id")  # message, Retry-After
FAIL = struct.Struct("<I")  # message
CANCEL = struct.Struct("<IH")  # message, attempt
SET_TIMER = struct.Struct("<dQ")  # delay, token
HEALTH_CHECK = struct.Struct("<I")  # endpoint
CLOSE_IDLE = struct.Struct("<I")  # endpoint
WATCH_ENDPOINTS = struct.Struct("<B")  # 1 = from now on
LOG_HEADER = struct.Struct("<H")  # size of the line
# Bits of a message's options.
HAS_WORK_ESTIMATE = 1
IS_RETRY = 2
FROM_DEAD_RELAY = 16
MAX_LOG_BYTES = 65535


class WireFormatError(ProtocolError):
    """What came in does not follow the wire."""


class Record(NamedTuple):
    """One record of a frame."""

    code: int
    body: bytes


class EndpointRow(NamedTuple):
    """One entry of a list of endpoints."""

    status_code: int
    rate: float
    start: float
    kind: int
    zone: int
    destination: int
    endpoint_id: int


class MessageRecord(NamedTuple):
    """Fields of the record of a message, with option bits such as `IS_RETRY`."""

    message_id: int
    class_index: int
    tenant: int
    ordering_key: int
    remaining_ms: float
    work_ms: float
    destination: float
    options: int


class AttemptEndedRecord(NamedTuple):
    """Fields of the record of an attempt's outcome.

    `wait` is a Retry-After (ms) with REJECTED. With NOT_SENT it is not 0 if all slots of the relay were occupied.
    """

    message_id: int
    attempt: int
    endpoint: int
    outcome_code: int
    latency_ms: float
    is_final: int
    wait: int
    report_size: int


class HealthCheckRecord(NamedTuple):
    """Fields of the record of a health check's outcome."""

    endpoint: int
    outcome_code: int
    latency_ms: float
    report_size: int


def settings_from(text: bytes) -> Settings:
    """Translate the settings text; unknown keys are skipped.

    Raises:
        WireFormatError: The text is not JSON, or lacks a field.
    """
    try:
        return platform.settings_from(json.loads(text))
    except ValueError as error:
        raise WireFormatError(f"settings: {error}") from error


class SimulatorAdapter:
    """One engine an instance, and the numbered endpoint lists that the whole process shares."""

    def __init__(self) -> None:
        self.engines: dict[int, DeliveryEngine] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}

    def batch(self, now: float, count: int, body: bytes) -> bytes:
        """Handle one frame of events; return the frame of actions.

        Args:
            now: Time in ms.
            count: Number of records in the frame.
            body: The records.

        Raises:
            WireFormatError: The frame does not follow the wire.
        """
        events: dict[int, list[Event]] = {}
        for record in self._records(count, body):
            self._take(record, events)
        replies: list[bytes] = []
        for instance, own_events in events.items():
            if instance not in self.engines:
                continue
            for action in self.engines[instance].handle(now, own_events):
                if not isinstance(action, CancelIfUnsent):  # a call leaves at once here
                    replies.append(encode(instance, action))
        return REPLY_HEADER.pack(sum(map(len, replies)), len(replies)) + b"".join(replies)

    @staticmethod
    def _records(count: int, body: bytes) -> Iterator[Record]:
        at = 0
        for _ in range(count):
            start = at + RECORD_HEADER.size
            if start > len(body):
                raise WireFormatError("frame ends inside a record")
            code, size = RECORD_HEADER.unpack_from(body, at)
            at = start + size
            if at > len(body):
                raise WireFormatError(f"record {code} is longer than its frame")
            yield Record(code, body[start:at])
        if at != len(body):
            raise WireFormatError(f"frame holds {len(body) - at} bytes after its last record")

    def _take(self, record: Record, events: dict[int, list[Event]]) -> None:
        """Apply a record to lists or engines, or add its event to those of its instance."""
        if record.code == EventCode.ENDPOINTS:
            self._store_list(record.body)
            return
        (instance,) = INSTANCE.unpack_from(record.body)
        if record.code == EventCode.INSTANCE_STARTED:
            self._start_instance(instance, record.body)
            events[instance] = []
        elif record.code == EventCode.INSTANCE_ENDED:
            self.engines.pop(instance, None)
            events.pop(instance, None)
        elif record.code not in IGNORED_EVENTS:
            event = self._event(record.code, record.body)
            self._check_class(instance, event)
            events.setdefault(instance, []).append(event)

    def _store_list(self, body: bytes) -> None:
        number, count = ENDPOINTS_HEADER.unpack_from(body)
        if len(body) != ENDPOINTS_HEADER.size + count * ENDPOINT.size:
            raise WireFormatError("list of endpoints is cut short")
        rows = ENDPOINT.iter_unpack(body[ENDPOINTS_HEADER.size :])
        self.lists[number] = tuple(endpoint_from(EndpointRow(*row)) for row in rows)

    def _start_instance(self, instance: int, body: bytes) -> None:
        seed, size = INSTANCE_STARTED.unpack_from(body, INSTANCE.size)
        start = INSTANCE.size + INSTANCE_STARTED.size
        if len(body) != start + size:
            raise WireFormatError("settings are cut short")
        self.engines[instance] = DeliveryEngine(settings_from(body[start:]), seed)

    def _check_class(self, instance: int, event: Event) -> None:
        engine = self.engines.get(instance)
        if engine is None or not isinstance(event, Message):
            return
        if event.class_index >= len(engine.settings.classes):
            raise WireFormatError(f"message {event.id} is of class {event.class_index}, which the settings lack")

    def _event(self, code: int, body: bytes) -> Event:
        match code:
            case EventCode.MESSAGE:
                return _message(body)
            case EventCode.ATTEMPT_ENDED:
                return _attempt_ended(body)
            case EventCode.LIST_CHANGED:
                return self._list_changed(body)
            case EventCode.TIMER_FIRED:
                return TimerFired(*TIMER_FIRED.unpack_from(body, INSTANCE.size))
            case EventCode.HEALTH_CHECK_ENDED:
                return _health_check_ended(body)
            case EventCode.CLIENT_CANCELLED:
                return ClientCancelled(*CLIENT_CANCELLED.unpack_from(body, INSTANCE.size))
        raise WireFormatError(f"unknown event code {code}")

    def _list_changed(self, body: bytes) -> EndpointList:
        kind_code, _, number = LIST_CHANGED.unpack_from(body, INSTANCE.size)
        if kind_code >= len(LIST_KINDS):
            raise WireFormatError(f"unknown list kind {kind_code}")
        kind = LIST_KINDS[kind_code]
        if kind is ListKind.FAILED:
            return EndpointList(kind)
        if number not in self.lists:
            raise WireFormatError(f"list {number} was never sent")
        return EndpointList(kind, self.lists[number])


def _message(body: bytes) -> Message:
    record = MessageRecord(*MESSAGE.unpack_from(body, INSTANCE.size))
    return Message(
        id=record.message_id,
        destination=int(record.destination),
        class_index=record.class_index,
        remaining_ms=record.remaining_ms,
        tenant=record.tenant,
        ordering_key=record.ordering_key,
        estimated_work_ms=record.work_ms if record.options & HAS_WORK_ESTIMATE else None,
        is_retry=bool(record.options & IS_RETRY),
        from_dead_relay=bool(record.options & FROM_DEAD_RELAY),
    )


def _attempt_ended(body: bytes) -> AttemptEnded:
    record = AttemptEndedRecord(*ATTEMPT_ENDED.unpack_from(body, INSTANCE.size))
    outcome = outcome_from(record.outcome_code)
    return AttemptEnded(
        id=record.message_id,
        attempt=record.attempt,
        endpoint=record.endpoint,
        outcome=outcome,
        latency_ms=record.latency_ms,
        is_final=bool(record.is_final),
        retry_after_ms=record.wait if outcome is Outcome.REJECTED else 0.0,
        slots_exhausted=bool(record.wait) and outcome is Outcome.NOT_SENT,
        load_report=_load_report(body, INSTANCE.size + ATTEMPT_ENDED.size, record.report_size),
    )


def _health_check_ended(body: bytes) -> HealthCheckEnded:
    record = HealthCheckRecord(*HEALTH_CHECK_ENDED.unpack_from(body, INSTANCE.size))
    report = _load_report(body, INSTANCE.size + HEALTH_CHECK_ENDED.size, record.report_size)
    return HealthCheckEnded(record.endpoint, outcome_from(record.outcome_code), record.latency_ms, report)


def _load_report(body: bytes, at: int, size: int) -> tuple[float, ...]:
    return struct.unpack_from(f"<{size}f", body, at)


def outcome_from(code: int) -> Outcome:
    """Return the outcome that a code stands for.

    Raises:
        WireFormatError: No outcome has this code.
    """
    if code >= len(OUTCOMES):
        raise WireFormatError(f"unknown outcome {code}")
    return OUTCOMES[code]


def endpoint_from(row: EndpointRow) -> Endpoint:
    """Return the endpoint of one row.

    Raises:
        WireFormatError: Its status is unknown.
    """
    if row.status_code not in ENDPOINT_STATUSES:
        raise WireFormatError(f"unknown endpoint status {row.status_code}")
    return Endpoint(
        id=row.endpoint_id,
        destination=row.destination,
        status=ENDPOINT_STATUSES[row.status_code],
        kind=row.kind,
        zone=row.zone,
        advertised_rate=row.rate,
    )


def encode(instance: int, action: Action) -> bytes:
    """Return the record of one action."""
    record = _encode_action(action)
    body = INSTANCE.pack(instance) + record.body
    return RECORD_HEADER.pack(record.code, len(body)) + body


def _encode_action(action: Action) -> Record:
    """Return the record of an action, without the instance that its body begins with."""
    match action:
        case Send():
            return Record(ActionCode.SEND, SEND.pack(action.id, action.endpoint, action.timeout_at_ms))
        case Reject():
            return Record(ActionCode.REJECT, REJECT.pack(action.id, action.retry_after_ms))
        case Fail():
            return Record(ActionCode.FAIL, FAIL.pack(action.id))
        case Cancel():
            return Record(ActionCode.CANCEL, CANCEL.pack(action.id, action.attempt))
        case SetTimer():
            return Record(ActionCode.SET_TIMER, SET_TIMER.pack(action.delay_ms, action.token))
        case HealthCheck():
            return Record(ActionCode.HEALTH_CHECK, HEALTH_CHECK.pack(action.endpoint))
        case CloseIdle():
            return Record(ActionCode.CLOSE_IDLE, CLOSE_IDLE.pack(action.endpoint))
        case WatchEndpoints():
            return Record(ActionCode.WATCH_ENDPOINTS, WATCH_ENDPOINTS.pack(1))
        case Log():
            line = action.text.encode()[:MAX_LOG_BYTES]
            return Record(ActionCode.LOG, LOG_HEADER.pack(len(line)) + line)
        case CancelIfUnsent():
            raise TypeError("a call leaves at once here: there is nothing to cancel")


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Return the next `size` bytes.

    Raises:
        WireFormatError: The stream ends before.
    """
    data = stream.read(size)
    if len(data) != size:
        raise WireFormatError("input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the source ends.

    Raises:
        WireFormatError: What comes does not follow the wire.
    """
    adapter = SimulatorAdapter()
    while header := source.read(FRAME_HEADER.size):
        if len(header) != FRAME_HEADER.size:
            raise WireFormatError("input ends inside a frame header")
        size, now, count = FRAME_HEADER.unpack(header)
        sink.write(adapter.batch(now, count, read_exactly(source, size)))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireFormatError, struct.error) as error:
        print(f"wirehost: malformed input: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("wirehost: the other side went away", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
