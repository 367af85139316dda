"""Uses of the platform relay's internal interfaces in the slopes, one small function each.

If one of these interfaces changes, only this module is adapted. The series use it, `DeliveryEngine.handle` with the
events of `engine/events.py`, or a real relay process. Only `relays` also uses the membership and the gossip of AS2
relays directly.
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
"""Number of bytes that are read from a socket at a time."""

_current_update: list[ListUpdate] = []  # the list whose parts are being read; empty before the first


class RewrittenJournal(NamedTuple):
    """A rewritten journal: its size in bytes, the number of failed writes, and the last error."""

    size_bytes: int
    failed: int
    error: str


def new_directory() -> Directory:
    """Return a relay's empty directory with the kind and zone of `inside`. Uses platform_relay.directory."""
    return Directory(("k",), ("z",))


class ParsedStream(NamedTuple):
    """The values of a watch's stream, and the processor time of the longest parsing step in microseconds."""

    values: list[Any]
    longest_step_us: float


def parse_stream(data: bytes) -> ParsedStream:
    """Parse the JSON values of a watch's stream, long ones in parts as the relay does. Uses codec.json_stream."""
    objects = JsonStreamReader(UNBOUNDED, "servers", ("version", "full"))
    values: list[Any] = []
    longest_s = 0.0
    for start in range(0, len(data), READ_BYTES):
        started_at = time.process_time()
        values += objects.feed(data[start : start + READ_BYTES])
        longest_s = max(longest_s, time.process_time() - started_at)
    return ParsedStream(values, longest_s * 1e6)


def read_value(directory: Directory, value: Any) -> list[Event]:
    """Convert one JSON value of a watch's stream, or a part of one, to events for the engine.

    Uses platform_relay.directory and platform_relay.discovery.
    """
    if not isinstance(value, ObjectPart):
        return [directory.apply_list(value)]
    if value.is_first:
        _current_update[:] = [directory.begin_update(value.members)]
    return list(discovery.change_events(_current_update[0].add_entries(value.elements)))


def remove_missing(value: Any) -> list[Event] | None:
    """Take one step of removing endpoints that a full list lacks, after its last part.

    The relay takes each of these steps in a separate turn. Uses platform_relay.discovery and list_update.

    Returns:
        Events for the engine; None = no step is left.
    """
    if not isinstance(value, ObjectPart) or not value.is_last or _current_update[0].is_complete:
        return None
    return list(discovery.change_events(_current_update[0].remove_missing()))


def list_bound_bytes() -> int:
    """Return the bytes of the longest value of a watch's stream that a relay reads. Uses platform_relay.discovery."""
    return discovery.MAX_LIST_BYTES


def message_fields(stored: dict[str, Any]) -> MessageFields:
    """Return a message's fields from the names that the journal stores. Uses platform_relay.records."""
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
    """Encode the journal of messages (number, fields, body) with one attempt each that is known to have had no effect.

    Uses platform_relay.journal_codec.
    """
    return b"".join(
        encode_accepted(JournaledMessage(number, message_fields(fields), body))
        + encode_attempt_started(number, JournaledAttempt(fields["taken"], 0, "s-00000001"))
        + encode_attempt_ended(number, may_have_effect=False)
        for number, fields, body in messages
    )


def replay_journal(data: bytes) -> dict[int, JournalRecord]:
    """Return the messages without a final notice in a journal, by number. Uses platform_relay.journal_replay."""
    return replay(data).records


def rewrite_journal(folder: Path, messages: Iterable[JournalRecord], max_bytes: int) -> RewrittenJournal:
    """Rewrite the journal of a folder with these messages. Uses platform_relay.journal."""
    journal = Journal(folder, max_bytes)
    journal.open()
    journal.rewrite(messages)
    result = RewrittenJournal(journal.size, journal.failed_writes, journal.last_error)
    journal.close()
    return result


def journaled_messages(count: int, body: bytes) -> list[JournaledMessage]:
    """Return messages as the journal stores them, all with the same body. Uses platform_relay.records."""
    fields = message_fields({"ident": "a", "class": "state", "dest": 1, "taken": 0.0, "due": 0.0})
    return [JournaledMessage(number, fields, body) for number in range(count)]


def discovery_line(servers: Iterable[dict[str, Any]], version: int, full: bool) -> bytes:
    """Encode a full list or changes as one line of a watch's stream."""
    return json.dumps({"version": version, "full": full, "servers": list(servers)}).encode() + b"\n"
