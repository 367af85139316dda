"""Hosts decision engines for the operators' simulator, over its binary protocol on standard input and output.

Every decision is made by `DeliveryEngine`; the records of the protocol are in `simulator_wire.py`.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Iterator
from typing import BinaryIO

from .config import platform
from .engine.actions import CancelIfUnsent
from .engine.engine import DeliveryEngine
from .engine.events import (
    ClientCancelled,
    Endpoint,
    EndpointList,
    Event,
    ListKind,
    Message,
    TimerFired,
)
from .engine.settings import Settings
from .simulator_wire import (
    CLIENT_CANCELLED,
    ENDPOINT,
    ENDPOINTS_HEADER,
    FRAME_HEADER,
    IGNORED_EVENTS,
    INSTANCE,
    INSTANCE_STARTED,
    LIST_CHANGED,
    LIST_KINDS,
    RECORD_HEADER,
    REPLY_HEADER,
    TIMER_FIRED,
    EndpointRow,
    EventCode,
    Record,
    WireFormatError,
    attempt_ended_from,
    encode,
    endpoint_from,
    health_check_ended_from,
    message_from,
)


def settings_from(text: bytes) -> Settings:
    """Parse the settings text; unknown keys are ignored.

    Raises:
        WireFormatError: The text is not valid JSON, a field is missing, or a value is invalid.
    """
    try:
        return platform.parse_platform_settings(json.loads(text))
    except ValueError as error:
        raise WireFormatError(f"settings: {error}") from error


class SimulatorAdapter:
    """Runs one engine for each instance of the simulator.

    Attributes:
        engines: The engines by instance.
        lists: Endpoint lists by number, shared by all instances.
    """

    def __init__(self) -> None:
        self.engines: dict[int, DeliveryEngine] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}

    def handle_frame(self, now: float, count: int, body: bytes) -> bytes:
        """Handle one frame of events; return the frame of actions.

        Args:
            now: Time in ms.
            count: Number of records in the frame.
            body: The records.

        Raises:
            WireFormatError: The frame does not follow the protocol.
        """
        events: dict[int, list[Event]] = {}
        for record in self._split_records(count, body):
            self._apply_record(record, events)
        replies: list[bytes] = []
        for instance, instance_events in events.items():
            if instance not in self.engines:
                continue
            for action in self.engines[instance].handle(now, instance_events):
                if not isinstance(action, CancelIfUnsent):  # the simulator sends each call at once: nothing to cancel
                    replies.append(encode(instance, action))
        return REPLY_HEADER.pack(sum(map(len, replies)), len(replies)) + b"".join(replies)

    @staticmethod
    def _split_records(count: int, body: bytes) -> Iterator[Record]:
        offset = 0
        for _ in range(count):
            start = offset + RECORD_HEADER.size
            if start > len(body):
                raise WireFormatError("frame ends inside a record header")
            code, size = RECORD_HEADER.unpack_from(body, offset)
            offset = start + size
            if offset > len(body):
                raise WireFormatError(f"record with code {code} extends beyond the end of its frame")
            yield Record(code, body[start:offset])
        if offset != len(body):
            raise WireFormatError(f"frame has {len(body) - offset} bytes after its last record")

    def _apply_record(self, record: Record, events: dict[int, list[Event]]) -> None:
        """Store an endpoint list, start or end an instance, or add an event to the events of its instance."""
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
            event = self._decode_event(record.code, record.body)
            self._check_message_class(instance, event)
            events.setdefault(instance, []).append(event)

    def _store_list(self, body: bytes) -> None:
        number, count = ENDPOINTS_HEADER.unpack_from(body)
        if len(body) != ENDPOINTS_HEADER.size + count * ENDPOINT.size:
            raise WireFormatError("size of the endpoint list does not match its number of entries")
        rows = ENDPOINT.iter_unpack(body[ENDPOINTS_HEADER.size :])
        self.lists[number] = tuple(endpoint_from(EndpointRow(*row)) for row in rows)

    def _start_instance(self, instance: int, body: bytes) -> None:
        seed, size = INSTANCE_STARTED.unpack_from(body, INSTANCE.size)
        start = INSTANCE.size + INSTANCE_STARTED.size
        if len(body) != start + size:
            raise WireFormatError("size of the settings does not match the size in their record")
        self.engines[instance] = DeliveryEngine(settings_from(body[start:]), seed)

    def _check_message_class(self, instance: int, event: Event) -> None:
        engine = self.engines.get(instance)
        if engine is None or not isinstance(event, Message):
            return
        if event.class_index >= len(engine.settings.classes):
            raise WireFormatError(f"message {event.id} has class {event.class_index}, which is not in the settings")

    def _decode_event(self, code: int, body: bytes) -> Event:
        match code:
            case EventCode.MESSAGE:
                return message_from(body)
            case EventCode.ATTEMPT_ENDED:
                return attempt_ended_from(body)
            case EventCode.LIST_CHANGED:
                return self._decode_list_change(body)
            case EventCode.TIMER_FIRED:
                return TimerFired(*TIMER_FIRED.unpack_from(body, INSTANCE.size))
            case EventCode.HEALTH_CHECK_ENDED:
                return health_check_ended_from(body)
            case EventCode.CLIENT_CANCELLED:
                return ClientCancelled(*CLIENT_CANCELLED.unpack_from(body, INSTANCE.size))
        raise WireFormatError(f"unknown event code {code}")

    def _decode_list_change(self, body: bytes) -> EndpointList:
        kind_code, _, number = LIST_CHANGED.unpack_from(body, INSTANCE.size)
        if kind_code >= len(LIST_KINDS):
            raise WireFormatError(f"unknown list kind code {kind_code}")
        kind = LIST_KINDS[kind_code]
        if kind is ListKind.FAILED:
            return EndpointList(kind)
        if number not in self.lists:
            raise WireFormatError(f"list {number} was never sent")
        return EndpointList(kind, self.lists[number])


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Return the next `size` bytes.

    Raises:
        WireFormatError: The stream ends earlier.
    """
    data = stream.read(size)
    if len(data) != size:
        raise WireFormatError("input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the source ends.

    Raises:
        WireFormatError: The input does not follow the protocol.
    """
    adapter = SimulatorAdapter()
    while header := source.read(FRAME_HEADER.size):
        if len(header) != FRAME_HEADER.size:
            raise WireFormatError("input ends inside a frame header")
        size, now, count = FRAME_HEADER.unpack(header)
        sink.write(adapter.handle_frame(now, count, read_exactly(source, size)))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireFormatError, struct.error) as error:
        print(f"simulator_adapter: malformed input: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("simulator_adapter: standard output was closed before the reply was written", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
