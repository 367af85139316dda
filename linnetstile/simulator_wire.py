"""The binary protocol of the operators' simulator: record codes and layouts, decoding of events, encoding of actions.

A frame has a header and records; a record has a code, the length of its body, and the body. Numbers are little-endian.
No I/O.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

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
from .engine.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    HealthCheckEnded,
    ListKind,
    Message,
    Outcome,
)
from .errors import ProtocolError


class EventCode(IntEnum):
    """Codes of incoming records."""

    ATTEMPT_STARTED = 10
    ENDPOINTS = 20
    LIST_CHANGED = 30
    TIMER_FIRED = 40
    INSTANCE_ENDED = 50
    HEALTH_CHECK_ENDED = 60
    CLIENT_CANCELLED = 70
    INSTANCE_STARTED = 80
    PEER_MESSAGE = 90
    ATTEMPT_ENDED = 100
    MESSAGE = 110


class ActionCode(IntEnum):
    """Codes of outgoing records."""

    SEND = 10
    REJECT = 20
    FAIL = 30
    CANCEL = 40
    SET_TIMER = 50
    HEALTH_CHECK = 60
    CLOSE_IDLE = 70
    LOG = 90
    WATCH_ENDPOINTS = 110


# Not used by the adapter: no message class here streams, and the relays of a simulation share no knowledge.
IGNORED_EVENTS = (EventCode.ATTEMPT_STARTED, EventCode.PEER_MESSAGE)
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
INSTANCE = struct.Struct("<I")  # instance: the first field of each record body, except in an endpoint list
ENDPOINTS_HEADER = struct.Struct("<BI")  # number of the list, number of entries
ENDPOINT = struct.Struct("<BfdHBHI")  # see `EndpointRow`
INSTANCE_STARTED = struct.Struct("<QI")  # seed, size of the settings text in bytes
MESSAGE = struct.Struct("<IBIQddfB")  # see `MessageRecord`
ATTEMPT_ENDED = struct.Struct("<IHIBdBIB")  # see `AttemptEndedRecord`
LIST_CHANGED = struct.Struct("<BQB")  # kind, not used, number of the list
TIMER_FIRED = struct.Struct("<Q")  # token
HEALTH_CHECK_ENDED = struct.Struct("<IBdB")  # see `HealthCheckRecord`
CLIENT_CANCELLED = struct.Struct("<I")  # message
# The layouts from here to LOG_HEADER are bodies of actions, after the instance.
SEND = struct.Struct("<IId")  # message, endpoint, time (ms) at which the attempt times out
REJECT = struct.Struct("<Id")  # message, Retry-After in ms
FAIL = struct.Struct("<I")  # message
CANCEL = struct.Struct("<IH")  # message, attempt
SET_TIMER = struct.Struct("<dQ")  # delay in ms, token
HEALTH_CHECK = struct.Struct("<I")  # endpoint
CLOSE_IDLE = struct.Struct("<I")  # endpoint
WATCH_ENDPOINTS = struct.Struct("<B")  # 1 = watch from now on
LOG_HEADER = struct.Struct("<H")  # size of the line in bytes
# HAS_WORK_ESTIMATE, IS_RETRY and FROM_DEAD_RELAY are bits of `MessageRecord.options`.
HAS_WORK_ESTIMATE = 1
IS_RETRY = 2
FROM_DEAD_RELAY = 16
MAX_LOG_BYTES = 65535


class WireFormatError(ProtocolError):
    """Input does not follow the simulator's protocol."""


class Record(NamedTuple):
    """One record of a frame."""

    code: int
    body: bytes


class EndpointRow(NamedTuple):
    """Fields of one entry of an endpoint list, in the order of the wire."""

    status_code: int
    rate: float
    start: float
    kind: int
    zone: int
    destination: int
    endpoint_id: int


class MessageRecord(NamedTuple):
    """Fields of the record of a message; `options` holds bits such as `IS_RETRY`."""

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

    With REJECTED, `wait` is a Retry-After in ms. With NOT_SENT, any value but 0 means that all slots of the relay were
    occupied. `report_size` is the number of figures in the load report that follows.
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
    """Fields of the record of a health check's outcome.

    `report_size` is the number of figures in the load report that follows.
    """

    endpoint: int
    outcome_code: int
    latency_ms: float
    report_size: int


def message_from(body: bytes) -> Message:
    """Decode the record of a new message."""
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


def attempt_ended_from(body: bytes) -> AttemptEnded:
    """Decode the record of an attempt's outcome."""
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


def health_check_ended_from(body: bytes) -> HealthCheckEnded:
    """Decode the record of a health check's outcome."""
    record = HealthCheckRecord(*HEALTH_CHECK_ENDED.unpack_from(body, INSTANCE.size))
    report = _load_report(body, INSTANCE.size + HEALTH_CHECK_ENDED.size, record.report_size)
    return HealthCheckEnded(record.endpoint, outcome_from(record.outcome_code), record.latency_ms, report)


def _load_report(body: bytes, offset: int, count: int) -> tuple[float, ...]:
    return struct.unpack_from(f"<{count}f", body, offset)


def outcome_from(code: int) -> Outcome:
    """Return the outcome with this code.

    Raises:
        WireFormatError: No outcome has this code.
    """
    if code >= len(OUTCOMES):
        raise WireFormatError(f"unknown outcome code {code}")
    return OUTCOMES[code]


def endpoint_from(row: EndpointRow) -> Endpoint:
    """Return the endpoint of one row of an endpoint list.

    Raises:
        WireFormatError: The status code of the row is unknown.
    """
    if row.status_code not in ENDPOINT_STATUSES:
        raise WireFormatError(f"unknown endpoint status code {row.status_code}")
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
    """Return the record of an action, without the instance at the start of the body."""
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
            raise TypeError("CancelIfUnsent has no record: the simulator sends each call at once")
