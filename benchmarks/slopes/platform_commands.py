"""Commands to the platform emulator and its answers, each a JSON object on one line."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

Entry = dict[str, Any]
"""An endpoint as discovery sends it."""


@dataclass(frozen=True)
class SetList:
    """Set the full list for watches that are opened from now on; answered by `ListSet`.

    Attributes:
        destinations: Number of destinations.
        endpoints_per_destination: Number of endpoints of each destination.
        rate: Calls a second that each endpoint advertises.
        address: Address of all endpoints.
        changed: Entries that replace those with the same identifier.
    """

    destinations: int
    endpoints_per_destination: int
    rate: float
    address: str
    changed: list[Entry] = field(default_factory=list)


@dataclass(frozen=True)
class ListSet:
    """The full list was set; `size_bytes` is its size."""

    size_bytes: int


@dataclass(frozen=True)
class ChangeEntries:
    """Send all changes in one object to every watch; answered by `ChangeSent`."""

    entries: list[Entry]


@dataclass(frozen=True)
class ChangeSent:
    """A change was sent.

    Attributes:
        size_bytes: Bytes that each watch was sent.
        sent_at_s: Time of sending, by the monotonic clock.
    """

    size_bytes: int
    sent_at_s: float


@dataclass(frozen=True)
class CutWatches:
    """End every watch, and change entries before the next one is opened; answered by `PlatformCounts`."""

    entries: list[Entry]


@dataclass(frozen=True)
class TrackCalls:
    """Start or stop recording the time of each message's first call; answered by `PlatformCounts`."""

    is_on: bool


@dataclass(frozen=True)
class GetFirstCalls:
    """Ask for the first calls that were recorded; answered by `FirstCalls`."""


@dataclass(frozen=True)
class FirstCalls:
    """Time of each message's first call by message identifier, in seconds of the monotonic clock."""

    at_s: dict[str, float]


@dataclass(frozen=True)
class GetCounts:
    """Ask for the counts; answered by `PlatformCounts`."""


@dataclass(frozen=True)
class PlatformCounts:
    """Counts of the platform since its start.

    Attributes:
        full_lists: Number of full lists sent.
        full_list_bytes: Bytes of the full lists sent.
        calls: Number of calls that the endpoints have received.
    """

    full_lists: int = 0
    full_list_bytes: int = 0
    calls: int = 0


Command = SetList | ChangeEntries | CutWatches | TrackCalls | GetFirstCalls | GetCounts
Answer = ListSet | ChangeSent | FirstCalls | PlatformCounts

_COMMANDS: dict[str, type[Command]] = {
    command.__name__: command for command in (SetList, ChangeEntries, CutWatches, TrackCalls, GetFirstCalls, GetCounts)
}


def encode_command(command: Command) -> str:
    """Return the line of a command, without its line feed."""
    return json.dumps({"command": type(command).__name__, **vars(command)})


def decode_command(line: bytes | str) -> Command:
    """Return the command of a line."""
    fields = json.loads(line)
    return _COMMANDS[fields.pop("command")](**fields)


def encode_answer(answer: Answer) -> str:
    """Return the line of an answer, without its line feed."""
    return json.dumps(vars(answer))
