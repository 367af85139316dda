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
from typing import Any, BinaryIO, NamedTuple

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
ENDPOINT = struct.Struct("<BfdHBHI")  # status, rate, start, kind, zone, destination, id
INSTANCE_STARTED = struct.Struct("<QI")  # seed, size of the settings
MESSAGE = struct.Struct("<IBIQddfB")
ATTEMPT_ENDED = struct.Struct("<IHIBdBIB")
LIST_CHANGED = struct.Struct("<BQB")
TIMER_FIRED = struct.Struct("<Q")
HEALTH_CHECK_ENDED = struct.Struct("<IBdB")
CLIENT_CANCELLED = struct.Struct("<I")
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
        """Take one frame of events in; return the frame of actions.

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
        code, body = record
        if code == EventCode.ENDPOINTS:
            self._take_endpoints(body)
            return
        (instance,) = INSTANCE.unpack_from(body)
        if code == EventCode.INSTANCE_STARTED:
            self._start_instance(instance, body)
            events[instance] = []
        elif code == EventCode.INSTANCE_ENDED:
            self.engines.pop(instance, None)
            events.pop(instance, None)
        elif code not in IGNORED_EVENTS:
            event = self._event(code, body)
            self._check_class(instance, event)
            events.setdefault(instance, []).append(event)

    def _take_endpoints(self, body: bytes) -> None:
        number, count = ENDPOINTS_HEADER.unpack_from(body)
        if len(body) != ENDPOINTS_HEADER.size + count * ENDPOINT.size:
            raise WireFormatError("list of endpoints is cut short")
        rows = ENDPOINT.iter_unpack(body[ENDPOINTS_HEADER.size :])
        self.lists[number] = tuple(endpoint_from(row) for row in rows)

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
    fields = MESSAGE.unpack_from(body, INSTANCE.size)
    message_id, class_index, tenant, ordering_key, remaining_ms, work_ms, destination, options = fields
    return Message(
        id=message_id,
        destination=int(destination),
        class_index=class_index,
        remaining_ms=remaining_ms,
        tenant=tenant,
        ordering_key=ordering_key,
        estimated_work_ms=work_ms if options & HAS_WORK_ESTIMATE else None,
        is_retry=bool(options & IS_RETRY),
        from_dead_relay=bool(options & FROM_DEAD_RELAY),
    )


def _attempt_ended(body: bytes) -> AttemptEnded:
    fields = ATTEMPT_ENDED.unpack_from(body, INSTANCE.size)
    message_id, attempt, endpoint, outcome_code, latency_ms, is_final, wait, report_size = fields
    outcome = outcome_from(outcome_code)
    return AttemptEnded(
        id=message_id,
        attempt=attempt,
        endpoint=endpoint,
        outcome=outcome,
        latency_ms=latency_ms,
        is_final=bool(is_final),
        retry_after_ms=wait if outcome is Outcome.REJECTED else 0.0,
        slots_exhausted=bool(wait) and outcome is Outcome.NOT_SENT,
        load_report=_load_report(body, INSTANCE.size + ATTEMPT_ENDED.size, report_size),
    )


def _health_check_ended(body: bytes) -> HealthCheckEnded:
    endpoint, outcome_code, latency_ms, report_size = HEALTH_CHECK_ENDED.unpack_from(body, INSTANCE.size)
    report = _load_report(body, INSTANCE.size + HEALTH_CHECK_ENDED.size, report_size)
    return HealthCheckEnded(endpoint, outcome_from(outcome_code), latency_ms, report)


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


def endpoint_from(row: tuple[Any, ...]) -> Endpoint:
    """Return the endpoint of one unpacked `ENDPOINT` row.

    Raises:
        WireFormatError: Its status is unknown.
    """
    status_code, rate, _, kind, zone, destination, endpoint_id = row
    if status_code not in ENDPOINT_STATUSES:
        raise WireFormatError(f"unknown endpoint status {status_code}")
    return Endpoint(endpoint_id, destination, ENDPOINT_STATUSES[status_code], kind, zone, rate)


def encode(instance: int, action: Action) -> bytes:
    """Return the record of one action."""
    code, body = _encode_body(action)
    body = INSTANCE.pack(instance) + body
    return RECORD_HEADER.pack(code, len(body)) + body


def _encode_body(action: Action) -> tuple[ActionCode, bytes]:
    match action:
        case Send():
            return ActionCode.SEND, struct.pack("<IId", action.id, action.endpoint, action.timeout_at_ms)
        case Reject():
            return ActionCode.REJECT, struct.pack("<Id", action.id, action.retry_after_ms)
        case Fail():
            return ActionCode.FAIL, struct.pack("<I", action.id)
        case Cancel():
            return ActionCode.CANCEL, struct.pack("<IH", action.id, action.attempt)
        case SetTimer():
            return ActionCode.SET_TIMER, struct.pack("<dQ", action.delay_ms, action.token)
        case HealthCheck():
            return ActionCode.HEALTH_CHECK, struct.pack("<I", action.endpoint)
        case CloseIdle():
            return ActionCode.CLOSE_IDLE, struct.pack("<I", action.endpoint)
        case WatchEndpoints():
            return ActionCode.WATCH_ENDPOINTS, struct.pack("<B", 1)
        case Log():
            line = action.text.encode()[:MAX_LOG_BYTES]
            return ActionCode.LOG, struct.pack("<H", len(line)) + line
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
