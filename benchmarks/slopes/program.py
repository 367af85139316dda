"""The places where the slopes touch the program inside its stable surfaces, each in one small function: where one of
them changes its form, it is adapted here and nowhere else. All else goes through `Relay.handle` with the events of
decisions/interface.py, or through a real node process."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from linnetstile.codec.objects import Objects, Part
from linnetstile.engine.events import Event
from linnetstile.platform_relay import directory, discovery, journal


def new_directory() -> Any:
    """The node's directory, with the one kind and zone of `inside.settings`. Internal: node/directory.py."""
    return directory.Directory(("k",), ("z",))


def parsed(data: bytes) -> tuple[list[Any], float]:
    """The JSON texts of a watch's stream, long ones in parts as the node reads them, and the processor time of the
    longest step of it in us. Internal: codec/objects.py."""
    objects, found, longest = Objects(1 << 40, "servers", ("version", "full")), list[Any](), 0.0
    for at in range(0, len(data), 16384):
        began = time.process_time()
        found += objects.feed(data[at : at + 16384])
        longest = max(longest, time.process_time() - began)
    return found, longest * 1e6


READING: list[Any] = []  # the list whose parts are coming


def taken(into: Any, told: Any) -> list[Event]:
    """One object of discovery, or a part of one, as events for the module. Internal: node/directory.py and
    discovery.py."""
    if not isinstance(told, Part):
        return [into.take(told)]
    if told.first:
        READING[:] = [into.begin(told.head)]
    return list(discovery.told(READING[0].take(told.elements)))


def swept(told: Any) -> list[Event] | None:
    """One step of the end of a list behind its last part, which the node takes in a turn of its own; None = there is no
    other one. Internal: node/directory.py."""
    if not isinstance(told, Part) or not told.last or READING[0].over:
        return None
    return list(discovery.told(READING[0].sweep()))


def bound_bytes() -> int | None:
    """The longest object of discovery that is read; None = there is no such bound. Internal: node/discovery.py."""
    found = getattr(discovery, "LIST", None)
    return found if isinstance(found, int) else None


def records(messages: Iterable[tuple[int, dict[str, Any], bytes]]) -> bytes:
    """The journal of messages that were taken on (number, fields, body) and of one attempt each, which proved to have
    had no effect. Internal: node/journal.py."""
    return b"".join(
        journal.taken(number, fields, body)
        + journal.attempt(number, fields["taken"], 0, "s-00000001")
        + journal.outcome(number, False)
        for number, fields, body in messages
    )


def replayed(data: bytes) -> dict[int, Any]:
    """What is still owed by a journal's bytes, by number. Internal: node/journal.py."""
    return journal.replay(data)[0]


def rewritten(folder: Path, kept: Iterable[Any], most: int) -> tuple[int, int, str]:
    """Writes the journal anew; its size in bytes, writes that failed, and the error. Internal: node/journal.py."""
    made = journal.Journal(folder, most)
    made.open()
    made.rewrite(kept)
    size, failed, error = made.size, made.failed, made.error
    made.close()
    return size, failed, error


def filler(count: int, body: bytes) -> list[Any]:
    """Messages as the journal knows them, which share one body. Internal: node/journal.py."""
    fields = {"ident": "a", "class": "state", "dest": 1, "taken": 0.0, "due": 0.0}
    return [journal.JournaledMessage(number, fields, body) for number in range(count)]


def told(servers: Iterable[dict[str, Any]], version: int, full: bool) -> bytes:
    """One object of discovery, as PROTOCOL has it: a line of JSON."""
    return json.dumps({"version": version, "full": full, "servers": list(servers)}).encode() + b"\n"
