"""The places where the slopes touch the program inside its stable surfaces, each in one small function.

Where one of them changes its form, it is adapted here and nowhere else. All else goes through `DeliveryEngine.handle`
with the events of `engine/events.py`, or through a real relay process.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from linnetstile.codec.json_stream import JsonStreamReader, ObjectPart
from linnetstile.engine.events import Event
from linnetstile.platform_relay import discovery
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.journal import Journal
from linnetstile.platform_relay.journal_codec import (
    encode_accepted,
    encode_attempt_ended,
    encode_attempt_started,
)
from linnetstile.platform_relay.journal_replay import replay
from linnetstile.platform_relay.list_update import ListUpdate
from linnetstile.platform_relay.records import JournaledAttempt, JournaledMessage, JournalRecord, MessageFields

UNBOUNDED = 1 << 40
READ_BYTES = 16384
"""Bytes that a socket brings at a time."""

_current_update: list[ListUpdate] = []  # the list whose parts are coming


class RewrittenJournal(NamedTuple):
    """A journal that was written anew: its size in bytes, writes that failed, and the error."""

    size_bytes: int
    failed: int
    error: str


def new_directory() -> Directory:
    """The relay's directory, with the one kind and zone of `inside`. Touches platform_relay.directory."""
    return Directory(("k",), ("z",))


class ParsedStream(NamedTuple):
    """The values of a watch's stream, and the processor time of the longest step in microseconds."""

    values: list[Any]
    longest_step_us: float


def parse_stream(data: bytes) -> ParsedStream:
    """Read the JSON values of a watch's stream, long ones in parts as the relay does. Touches codec.json_stream."""
    objects = JsonStreamReader(UNBOUNDED, "servers", ("version", "full"))
    values: list[Any] = []
    longest_s = 0.0
    for start in range(0, len(data), READ_BYTES):
        began = time.process_time()
        values += objects.feed(data[start : start + READ_BYTES])
        longest_s = max(longest_s, time.process_time() - began)
    return ParsedStream(values, longest_s * 1e6)


def read_value(directory: Directory, value: Any) -> list[Event]:
    """One value of discovery, or a part of one, as events for the engine.

    Touches platform_relay.directory and discovery.
    """
    if not isinstance(value, ObjectPart):
        return [directory.apply_list(value)]
    if value.is_first:
        _current_update[:] = [directory.begin_update(value.members)]
    return list(discovery.change_events(_current_update[0].add_entries(value.elements)))


def remove_missing(value: Any) -> list[Event] | None:
    """One step of the end of a list behind its last part, which the relay takes in a turn of its own.

    Touches platform_relay.directory.

    Returns:
        Events for the engine; None = there is no other step.
    """
    if not isinstance(value, ObjectPart) or not value.is_last or _current_update[0].is_complete:
        return None
    return list(discovery.change_events(_current_update[0].remove_missing()))


def list_bound_bytes() -> int:
    """The longest value of discovery that is read. Touches platform_relay.discovery."""
    return discovery.MAX_LIST_BYTES


def message_fields(stored: dict[str, Any]) -> MessageFields:
    """What a client said of a message, from the names that the journal stores. Touches platform_relay.records."""
    return MessageFields(
        submission_id=stored["ident"],
        class_name=stored["class"],
        tenant=stored.get("tenant", ""),
        destination=stored["dest"],
        idempotency_key=stored.get("key", ""),
        ordering_key=stored.get("order"),
        accepted_at_ms=stored["taken"],
        deadline_ms=stored["due"],
    )


def journal_records(messages: Iterable[tuple[int, dict[str, Any], bytes]]) -> bytes:
    """The journal of messages (number, fields, body) with one attempt each, which proved to have had no effect.

    Touches platform_relay.journal_codec.
    """
    return b"".join(
        encode_accepted(JournaledMessage(number, message_fields(fields), body))
        + encode_attempt_started(number, JournaledAttempt(fields["taken"], 0, "s-00000001"))
        + encode_attempt_ended(number, may_have_effect=False)
        for number, fields, body in messages
    )


def replay_journal(data: bytes) -> dict[int, JournalRecord]:
    """The messages without a final notice in a journal's bytes, by number. Touches platform_relay.journal_replay."""
    return replay(data).records


def rewrite_journal(folder: Path, messages: Iterable[JournalRecord], max_bytes: int) -> RewrittenJournal:
    """Write the journal anew. Touches platform_relay.journal."""
    opened = Journal(folder, max_bytes)
    opened.open()
    opened.rewrite(messages)
    result = RewrittenJournal(opened.size, opened.failed_writes, opened.last_error)
    opened.close()
    return result


def journaled_messages(count: int, body: bytes) -> list[JournaledMessage]:
    """Messages as the journal knows them, which share one body. Touches platform_relay.journal."""
    fields = message_fields({"ident": "a", "class": "state", "dest": 1, "taken": 0.0, "due": 0.0})
    return [JournaledMessage(number, fields, body) for number in range(count)]


def discovery_line(servers: Iterable[dict[str, Any]], version: int, full: bool) -> bytes:
    """One value of discovery as the protocol has it: a line of JSON."""
    return json.dumps({"version": version, "full": full, "servers": list(servers)}).encode() + b"\n"
