"""Speaks the operators' wire on standard input and output; every decision is left to `control.Relay`."""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Iterator
from typing import Any, BinaryIO

from .config import platform
from .decisions import interface as api
from .decisions.control import Relay

OUTCOMES = (
    api.Outcome.ERROR,
    api.Outcome.OK,
    api.Outcome.FULL,
    api.Outcome.TIMEOUT,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.RESET,
    api.Outcome.CANCELLED,
    api.Outcome.NOT_SENT,
)
LISTINGS = {1: api.Listing.READY, 2: api.Listing.GONE, 3: api.Listing.DRAINING}
LIST_KINDS = (api.ListKind.CHANGES, api.ListKind.WHOLE, api.ListKind.CACHED, api.ListKind.FAILED)
ENTRY = struct.Struct("<BfdHBHI")
IGNORED = (10, 90)  # Begun (no class here streams) and NeighbourSays (peers share nothing)


class WireError(Exception):
    """What came in does not follow the wire."""


def settings_from(text: bytes) -> api.Settings:
    """Translates the settings text; keys that are not known are skipped."""
    try:
        return platform.settings_from(json.loads(text))
    except ValueError as error:
        raise WireError(f"settings: {error}") from error


class Host:
    """One `Relay` an instance, and the numbered lists that the whole process shares."""

    def __init__(self) -> None:
        self.relays: dict[int, Relay] = {}
        self.lists: dict[int, tuple[api.Endpoint, ...]] = {}

    def batch(self, now: float, count: int, body: bytes) -> bytes:
        """One batch of events in, one reply frame out."""
        events: dict[int, list[api.Event]] = {}
        for code, data in self._records(count, body):
            self._take(code, data, events)
        out: list[bytes] = []
        for instance, mine in events.items():
            if instance in self.relays:
                out += [
                    encode(instance, now, action)
                    for action in self.relays[instance].handle(now, mine)
                    if not isinstance(action, api.Recall)
                ]  # a call leaves at once here
        return struct.pack("<II", sum(map(len, out)), len(out)) + b"".join(out)

    @staticmethod
    def _records(count: int, body: bytes) -> Iterator[tuple[int, bytes]]:
        at = 0
        for _ in range(count):
            if at + 5 > len(body):
                raise WireError("frame ends inside a record")
            code, size = struct.unpack_from("<BI", body, at)
            if at + 5 + size > len(body):
                raise WireError(f"record {code} is longer than its frame")
            yield code, body[at + 5 : at + 5 + size]
            at += 5 + size
        if at != len(body):
            raise WireError(f"frame holds {len(body) - at} bytes after its last record")

    def _take(self, code: int, data: bytes, events: dict[int, list[api.Event]]) -> None:
        if code == 20:
            number, size = struct.unpack_from("<BI", data)
            if len(data) != 5 + size * ENTRY.size:
                raise WireError("list of endpoints is cut short")
            self.lists[number] = tuple(entry(row) for row in ENTRY.iter_unpack(data[5:]))
            return
        (instance,) = struct.unpack_from("<I", data)
        if code == 80:
            seed, size = struct.unpack_from("<QI", data, 4)
            if len(data) != 16 + size:
                raise WireError("settings are cut short")
            self.relays[instance] = Relay(settings_from(data[16:]), seed)
            events[instance] = []
        elif code == 50:
            self.relays.pop(instance, None)
            events.pop(instance, None)
        elif code not in IGNORED:
            event = self._event(code, data)
            relay = self.relays.get(instance)
            if isinstance(event, api.Message) and relay and event.class_ >= len(relay.s.classes):
                raise WireError(f"message {event.id} is of class {event.class_}, which the settings lack")
            events.setdefault(instance, []).append(event)

    def _event(self, code: int, data: bytes) -> api.Event:
        if code == 110:
            tid, lane, tenant, key, left, hint, dest, opts = struct.unpack_from("<IBIQddfB", data, 4)
            return api.Message(
                tid, int(dest), lane, left, tenant, key, hint if opts & 1 else None, bool(opts & 2), bool(opts & 16)
            )
        if code == 100:
            tid, go, endpoint, result, cost, done, wait, n = struct.unpack_from("<IHIBdBIB", data, 4)
            report = struct.unpack_from(f"<{n}f", data, 29)
            outcome = outcome_of(result)
            full = outcome is api.Outcome.FULL
            return api.AttemptEnded(
                tid,
                go,
                endpoint,
                outcome,
                cost,
                bool(done),
                wait if full else 0.0,
                bool(wait) and outcome is api.Outcome.NOT_SENT,
                report,
            )
        if code == 30:
            kind, _, number = struct.unpack_from("<BQB", data, 4)
            if kind >= len(LIST_KINDS):
                raise WireError(f"unknown list kind {kind}")
            listed = LIST_KINDS[kind]
            if listed is api.ListKind.FAILED:
                return api.EndpointList(listed)
            if number not in self.lists:
                raise WireError(f"list {number} was never sent")
            return api.EndpointList(listed, self.lists[number])
        if code == 40:
            return api.TimerFired(struct.unpack_from("<Q", data, 4)[0])
        if code == 60:
            endpoint, result, cost, n = struct.unpack_from("<IBdB", data, 4)
            return api.ProbeEnded(endpoint, outcome_of(result), cost, struct.unpack_from(f"<{n}f", data, 18))
        if code == 70:
            return api.Withdrawn(struct.unpack_from("<I", data, 4)[0])
        raise WireError(f"unknown event code {code}")


def outcome_of(code: int) -> api.Outcome:
    if code >= len(OUTCOMES):
        raise WireError(f"unknown outcome {code}")
    return OUTCOMES[code]


def entry(row: tuple[Any, ...]) -> api.Endpoint:
    status, weight, _, kind, zone, destination, ident = row
    if status not in LISTINGS:
        raise WireError(f"unknown endpoint status {status}")
    return api.Endpoint(ident, destination, LISTINGS[status], kind, zone, weight)


def encode(instance: int, now: float, action: api.Action) -> bytes:
    """One action as a record."""
    match action:
        case api.Send(ident, endpoint, until):
            code, body = 10, struct.pack("<IIId", instance, ident, endpoint, until)
        case api.Refuse(ident, stay):
            code, body = 20, struct.pack("<IId", instance, ident, stay)
        case api.Fail(ident):
            code, body = 30, struct.pack("<II", instance, ident)
        case api.Cancel(ident, attempt):
            code, body = 40, struct.pack("<IIH", instance, ident, attempt)
        case api.SetTimer(delay, token):
            code, body = 50, struct.pack("<IdQ", instance, delay, token)
        case api.Probe(endpoint):
            code, body = 60, struct.pack("<II", instance, endpoint)
        case api.CloseIdle(endpoint):
            code, body = 70, struct.pack("<II", instance, endpoint)
        case api.WatchList():
            code, body = 110, struct.pack("<IB", instance, 1)
        case api.Log(text):
            line = text.encode()[:65535]
            code, body = 90, struct.pack("<IH", instance, len(line)) + line
    return struct.pack("<BI", code, len(body)) + body


def exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise WireError("input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while head := source.read(16):
        if len(head) != 16:
            raise WireError("input ends inside a frame header")
        size, now, count = struct.unpack("<IdI", head)
        sink.write(host.batch(now, count, exactly(source, size)))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, struct.error) as error:
        print(f"wirehost: malformed input: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("wirehost: the other side went away", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
