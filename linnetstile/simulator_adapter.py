"""Speaks the operators' wire on standard input and output; every decision is left to `control.Relay`."""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Iterator
from typing import Any, BinaryIO

from linnetstile.engine.actions import (
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
from linnetstile.engine.events import (
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
from linnetstile.engine.settings import Settings

from .config import platform
from .engine.engine import DeliveryEngine

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
LISTINGS = {1: EndpointStatus.READY, 2: EndpointStatus.GONE, 3: EndpointStatus.DRAINING}
LIST_KINDS = (ListKind.CHANGES, ListKind.FULL, ListKind.CACHED, ListKind.FAILED)
ENTRY = struct.Struct("<BfdHBHI")
IGNORED = (10, 90)  # Begun (no class here streams) and NeighbourSays (peers share nothing)


class WireFormatError(Exception):
    """What came in does not follow the wire."""


def settings_from(text: bytes) -> Settings:
    """Translates the settings text; keys that are not known are skipped."""
    try:
        return platform.settings_from(json.loads(text))
    except ValueError as error:
        raise WireFormatError(f"settings: {error}") from error


class SimulatorAdapter:
    """One `Relay` an instance, and the numbered lists that the whole process shares."""

    def __init__(self) -> None:
        self.relays: dict[int, DeliveryEngine] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}

    def batch(self, now: float, count: int, body: bytes) -> bytes:
        """One batch of events in, one reply frame out."""
        events: dict[int, list[Event]] = {}
        for code, data in self._records(count, body):
            self._take(code, data, events)
        out: list[bytes] = []
        for instance, mine in events.items():
            if instance in self.relays:
                out += [
                    encode(instance, now, action)
                    for action in self.relays[instance].handle(now, mine)
                    if not isinstance(action, CancelIfUnsent)
                ]  # a call leaves at once here
        return struct.pack("<II", sum(map(len, out)), len(out)) + b"".join(out)

    @staticmethod
    def _records(count: int, body: bytes) -> Iterator[tuple[int, bytes]]:
        at = 0
        for _ in range(count):
            if at + 5 > len(body):
                raise WireFormatError("frame ends inside a record")
            code, size = struct.unpack_from("<BI", body, at)
            if at + 5 + size > len(body):
                raise WireFormatError(f"record {code} is longer than its frame")
            yield code, body[at + 5 : at + 5 + size]
            at += 5 + size
        if at != len(body):
            raise WireFormatError(f"frame holds {len(body) - at} bytes after its last record")

    def _take(self, code: int, data: bytes, events: dict[int, list[Event]]) -> None:
        if code == 20:
            number, size = struct.unpack_from("<BI", data)
            if len(data) != 5 + size * ENTRY.size:
                raise WireFormatError("list of endpoints is cut short")
            self.lists[number] = tuple(endpoint_from(row) for row in ENTRY.iter_unpack(data[5:]))
            return
        (instance,) = struct.unpack_from("<I", data)
        if code == 80:
            seed, size = struct.unpack_from("<QI", data, 4)
            if len(data) != 16 + size:
                raise WireFormatError("settings are cut short")
            self.relays[instance] = DeliveryEngine(settings_from(data[16:]), seed)
            events[instance] = []
        elif code == 50:
            self.relays.pop(instance, None)
            events.pop(instance, None)
        elif code not in IGNORED:
            event = self._event(code, data)
            relay = self.relays.get(instance)
            if isinstance(event, Message) and relay and event.class_index >= len(relay.settings.classes):
                raise WireFormatError(f"message {event.id} is of class {event.class_index}, which the settings lack")
            events.setdefault(instance, []).append(event)

    def _event(self, code: int, data: bytes) -> Event:
        if code == 110:
            tid, route, tenant, key, left, hint, destination, opts = struct.unpack_from("<IBIQddfB", data, 4)
            return Message(
                tid,
                int(destination),
                route,
                left,
                tenant,
                key,
                hint if opts & 1 else None,
                bool(opts & 2),
                bool(opts & 16),
            )
        if code == 100:
            tid, go, endpoint, result, cost, done, wait, n = struct.unpack_from("<IHIBdBIB", data, 4)
            report = struct.unpack_from(f"<{n}f", data, 29)
            outcome = outcome_of(result)
            full = outcome is Outcome.REJECTED
            return AttemptEnded(
                tid,
                go,
                endpoint,
                outcome,
                cost,
                bool(done),
                wait if full else 0.0,
                bool(wait) and outcome is Outcome.NOT_SENT,
                report,
            )
        if code == 30:
            kind, _, number = struct.unpack_from("<BQB", data, 4)
            if kind >= len(LIST_KINDS):
                raise WireFormatError(f"unknown list kind {kind}")
            listed = LIST_KINDS[kind]
            if listed is ListKind.FAILED:
                return EndpointList(listed)
            if number not in self.lists:
                raise WireFormatError(f"list {number} was never sent")
            return EndpointList(listed, self.lists[number])
        if code == 40:
            return TimerFired(struct.unpack_from("<Q", data, 4)[0])
        if code == 60:
            endpoint, result, cost, n = struct.unpack_from("<IBdB", data, 4)
            return HealthCheckEnded(endpoint, outcome_of(result), cost, struct.unpack_from(f"<{n}f", data, 18))
        if code == 70:
            return ClientCancelled(struct.unpack_from("<I", data, 4)[0])
        raise WireFormatError(f"unknown event code {code}")


def outcome_of(code: int) -> Outcome:
    if code >= len(OUTCOMES):
        raise WireFormatError(f"unknown outcome {code}")
    return OUTCOMES[code]


def endpoint_from(row: tuple[Any, ...]) -> Endpoint:
    status, weight, _, kind, zone, destination, ident = row
    if status not in LISTINGS:
        raise WireFormatError(f"unknown endpoint status {status}")
    return Endpoint(ident, destination, LISTINGS[status], kind, zone, weight)


def encode(instance: int, now: float, action: Action) -> bytes:
    """One action as a record."""
    match action:
        case Send(ident, endpoint, until):
            code, body = 10, struct.pack("<IIId", instance, ident, endpoint, until)
        case Reject(ident, stay):
            code, body = 20, struct.pack("<IId", instance, ident, stay)
        case Fail(ident):
            code, body = 30, struct.pack("<II", instance, ident)
        case Cancel(ident, attempt):
            code, body = 40, struct.pack("<IIH", instance, ident, attempt)
        case SetTimer(delay, token):
            code, body = 50, struct.pack("<IdQ", instance, delay, token)
        case HealthCheck(endpoint):
            code, body = 60, struct.pack("<II", instance, endpoint)
        case CloseIdle(endpoint):
            code, body = 70, struct.pack("<II", instance, endpoint)
        case WatchEndpoints():
            code, body = 110, struct.pack("<IB", instance, 1)
        case Log(text):
            line = text.encode()[:65535]
            code, body = 90, struct.pack("<IH", instance, len(line)) + line
    return struct.pack("<BI", code, len(body)) + body


def exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise WireFormatError("input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = SimulatorAdapter()
    while head := source.read(16):
        if len(head) != 16:
            raise WireFormatError("input ends inside a frame header")
        size, now, count = struct.unpack("<IdI", head)
        sink.write(host.batch(now, count, exactly(source, size)))
        sink.flush()


def main() -> int:
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
