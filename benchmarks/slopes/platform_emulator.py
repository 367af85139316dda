"""Emulator of the platform for a real relay, as a separate process: discovery with its watch, and all endpoints.

All endpoints share one address. The process reads one command per line from standard input, and writes one line with
the answer to each (see platform_commands.py).

    python -m benchmarks.slopes.platform_emulator
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.slopes import platform_commands as commands
from benchmarks.slopes.inside import discovery_entries
from benchmarks.slopes.internals import discovery_line
from linnetstile.emulators.discovery import DiscoveryEmulator, Source

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD_END = b"\r\n\r\n"
BACKLOG = 1024
LIFETIME_S = 240.0
MAX_COMMAND_BYTES = 1 << 26


class EndpointProtocol(asyncio.Protocol):
    """A connection to the endpoints: answers each call as soon as its last byte has arrived."""

    def __init__(self, record_call: Callable[[str], None]) -> None:
        """Create a connection; `record_call` is called with the correlation identifier of each call."""
        self.record_call = record_call
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answers."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer all calls that have arrived completely."""
        self.buffer += data
        while (head_end := self.buffer.find(HEAD_END)) >= 0:
            lines = self.buffer[:head_end].decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:])
            end = head_end + len(HEAD_END) + int(fields.get("content-length", "0"))
            if len(self.buffer) < end:
                return
            self.buffer = self.buffer[end:]
            self.record_call(fields.get("x-correlation-id", ""))
            self.transport.write(OK_RESPONSE)


@dataclass(frozen=True, slots=True)
class LoggedChange:
    """A version of the list, and the entries that it changed."""

    version: int
    entries: list[commands.Entry]


class PlatformEmulator(Source):
    """The list that discovery sends, its changes, and the calls that the endpoints have received."""

    def __init__(self) -> None:
        self.entries: dict[str, commands.Entry] = {}
        self.version = 1
        self.change_log: list[LoggedChange] = []  # changes since the list was last set
        self.oldest_version = 1  # version of the list when it was last set
        self.cached_list = b""  # the encoded full list; empty = not yet encoded
        self.discovery = DiscoveryEmulator(self)
        self.full_lists_sent = 0
        self.full_list_bytes_sent = 0
        self.calls = 0
        self.first_calls: dict[str, float] = {}  # by identifier, time of its first call, s of the monotonic clock
        self.is_tracking = False

    async def start(self) -> dict[str, int]:
        """Listen on two free loopback ports; returns the port of discovery and that of the endpoints."""
        self.endpoint_server = await asyncio.get_running_loop().create_server(
            lambda: EndpointProtocol(self.record_call), "127.0.0.1", 0, backlog=BACKLOG
        )
        endpoint_port = self.endpoint_server.sockets[0].getsockname()[1]
        return {"port": await self.discovery.start(), "sink": endpoint_port}

    def record_call(self, identifier: str) -> None:
        """Count a call; while tracking, record the time of the first call with its identifier."""
        self.calls += 1
        if self.is_tracking:
            self.first_calls.setdefault(identifier, time.monotonic())

    def full_list(self) -> bytes:
        """Return the encoded full list for the discovery emulator."""
        self.cached_list = self.cached_list or discovery_line(self.entries.values(), self.version, True)
        self.full_lists_sent += 1
        self.full_list_bytes_sent += len(self.cached_list)
        return self.cached_list

    def changes_since(self, version: int) -> bytes | None:
        """Return the encoded changes after a version for the discovery emulator; None if that version is not known."""
        if not self.oldest_version <= version <= self.version:
            return None
        entries = [entry for change in self.change_log if change.version > version for entry in change.entries]
        return discovery_line(entries, self.version, False)

    def change(self, entries: list[commands.Entry]) -> int:
        """Send a change to every watch; returns the bytes that each was sent."""
        self.version += 1
        line = discovery_line(entries, self.version, False)
        self.change_log.append(LoggedChange(self.version, entries))
        self.discovery.publish(line)
        for entry in entries:
            if entry["state"] == "DELETED":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        self.cached_list = b""
        return len(line)

    def handle(self, command: commands.Command) -> commands.Answer:
        """Execute one command; returns its answer."""
        match command:
            case commands.SetList():
                return self._set_list(command)
            case commands.ChangeEntries(entries):
                sent_at_s = time.monotonic()
                return commands.ChangeSent(self.change(entries), sent_at_s)
            case commands.CutWatches(entries):
                self._cut_watches(entries)
            case commands.TrackCalls(is_on):
                self.is_tracking = is_on
                self.first_calls = {}
            case commands.GetFirstCalls():
                return commands.FirstCalls(self.first_calls)
            case commands.GetCounts():
                pass
        return commands.PlatformCounts(self.full_lists_sent, self.full_list_bytes_sent, self.calls)

    def _set_list(self, command: commands.SetList) -> commands.ListSet:
        """Set the full list for watches that are opened from now on."""
        entries = discovery_entries(
            command.destinations, command.endpoints_per_destination, command.address, command.rate
        )
        self.entries = {entry["id"]: entry for entry in entries}
        self.entries.update((entry["id"], entry) for entry in command.changed)
        self.version += 1
        self.oldest_version = self.version
        self.change_log = []
        self.cached_list = discovery_line(self.entries.values(), self.version, True)
        return commands.ListSet(len(self.cached_list))

    def _cut_watches(self, entries: list[commands.Entry]) -> None:
        """End every watch, and change entries before the next one is opened."""
        self.discovery.drop_watches()
        self.change(entries)
        self.cached_list = discovery_line(self.entries.values(), self.version, True)


async def main() -> None:
    """Serve commands until standard input ends, but not longer than `LIFETIME_S`."""
    emulator = PlatformEmulator()
    print(json.dumps(await emulator.start()), flush=True)
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async with asyncio.timeout(LIFETIME_S):
        while line := await reader.readline():
            print(commands.encode_answer(emulator.handle(commands.decode_command(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
