"""The journal: accepted messages are recovered, also after a torn or failed write."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from linnetstile.engine.resource_limits import resource_limits
from linnetstile.platform_relay.journal import Journal
from linnetstile.platform_relay.journal_codec import (
    encode_accepted,
    encode_attempt_ended,
    encode_attempt_started,
    encode_compacted,
    encode_completed,
    encode_pending_notice,
)
from linnetstile.platform_relay.journal_replay import replay
from linnetstile.platform_relay.records import (
    JournaledAttempt,
    JournaledMessage,
    JournalRecord,
    MessageFields,
    Notice,
    NoticeResult,
    PendingNotice,
)

FIELDS = MessageFields(
    submission_id="m",
    class_name="order",
    tenant="acme",
    destination=3,
    idempotency_key="k",
    ordering_key=None,
    accepted_at_ms=1000.5,
    deadline_ms=9000.0,
)
COMPACTION_BYTES = 10_000
BLOCK_BYTES = 512
PENDING = PendingNotice(3, Notice("x", NoticeResult.FAILED))


def accepted_record(message_id: int, body: bytes = b"") -> bytes:
    return encode_accepted(JournaledMessage(message_id, FIELDS, body))


def started_record(message_id: int, started_at_ms: float, zone: int, endpoint_name: str) -> bytes:
    return encode_attempt_started(message_id, JournaledAttempt(started_at_ms, zone, endpoint_name))


def ended_record(message_id: int, *, may_have_effect: bool) -> bytes:
    return encode_attempt_ended(message_id, may_have_effect=may_have_effect)


def replayed_message(data: bytes) -> JournaledMessage:
    message = replay(data)[0][1]
    assert isinstance(message, JournaledMessage)
    return message


def example_journal() -> bytes:
    return b"".join(
        [
            accepted_record(1, b"\x00body"),
            started_record(1, 1.0, 0, "a"),
            ended_record(1, may_have_effect=False),
            started_record(1, 2.0, 1, "b"),
            ended_record(1, may_have_effect=True),
            started_record(1, 3.0, 0, "c"),
            accepted_record(2),
            encode_completed(2),
            accepted_record(3),
            encode_pending_notice(PENDING),
            accepted_record(4, b"y" * 100),
            started_record(4, 5.0, 0, "d"),
        ]
    )


RECOVERED: dict[int, JournalRecord] = {
    1: JournaledMessage(1, FIELDS, b"\x00body", 3, JournaledAttempt(3.0, 0, "c"), JournaledAttempt(2.0, 1, "b")),
    3: PENDING,
    4: JournaledMessage(4, FIELDS, b"y" * 100, 1, JournaledAttempt(5.0, 0, "d")),
}


def test_replay_recovers_messages_with_their_unclear_and_open_attempts() -> None:
    assert replay(example_journal()) == (RECOVERED, 0)


def test_attempt_that_a_kill_left_open_stays_unclear_after_a_later_one() -> None:
    message = replayed_message(
        accepted_record(1)
        + started_record(1, 1.0, 0, "a")
        + started_record(1, 2.0, 0, "b")
        + ended_record(1, may_have_effect=False)
    )
    assert message.attempts == 2
    assert message.unclear_attempt == JournaledAttempt(1.0, 0, "a")
    assert message.open_attempt is None
    assert replayed_message(b"".join(encode_compacted(message))) == message


def test_torn_write_loses_only_the_last_record() -> None:
    first_record = accepted_record(1, b"a")
    data = first_record + accepted_record(2, b"b")
    for cut_at in range(len(first_record), len(data)):
        torn_bytes = cut_at - len(first_record)
        assert replay(data[:cut_at]) == ({1: JournaledMessage(1, FIELDS, b"a")}, torn_bytes)


def test_damaged_byte_loses_only_its_record() -> None:
    before, record, after = (accepted_record(message_id, b"body %d" % message_id) for message_id in (1, 2, 3))
    for damaged_at in range(len(record)):
        damaged = bytearray(record)
        damaged[damaged_at] ^= 0x41
        records, damaged_bytes = replay(before + bytes(damaged) + after)
        assert list(records) == [1, 3]
        assert damaged_bytes == len(record)


def test_attempt_end_whose_start_was_damaged_still_counts_as_unclear() -> None:
    message = replayed_message(accepted_record(1) + ended_record(1, may_have_effect=True))
    assert message.unclear_attempt == JournaledAttempt(FIELDS.accepted_at_ms, 0, "")


def test_rewritten_journal_has_the_same_records_and_accepts_more(tmp_path: Path) -> None:
    (tmp_path / "journal").write_bytes(example_journal() + b"torn")
    (tmp_path / "journal.new").write_bytes(b"a rewrite that was cut short")
    journal = Journal(tmp_path, COMPACTION_BYTES)
    assert journal.open() == RECOVERED
    journal.add(encode_completed(4))
    assert journal.flush()
    journal.close()
    assert sorted(os.listdir(tmp_path)) == ["journal"]
    assert Journal(tmp_path, COMPACTION_BYTES).open() == {1: RECOVERED[1], 3: RECOVERED[3]}


def disk_use(folder: Path) -> int:
    """Return the disk space of all files in a folder, each rounded up to whole blocks."""
    sizes = [path.stat().st_size for path in folder.iterdir()]
    return sum(-(-size // BLOCK_BYTES) * BLOCK_BYTES for size in sizes)


def test_folder_never_exceeds_the_disk_limit(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk_bytes = 100_000
    limits = resource_limits(1024, disk_bytes, 8, 192e6, 24e6)
    journal = Journal(tmp_path, limits.compaction_bytes)
    journal.open()
    disk_uses: list[int] = []
    rename = os.rename

    def measure_and_rename(*paths: Any) -> None:  # called during a rewrite, when both files exist
        disk_uses.append(disk_use(tmp_path))
        rename(*paths)

    monkeypatch.setattr(os, "rename", measure_and_rename)
    pending: dict[int, JournaledMessage] = {}
    for message_id in range(1, 2000):
        message = JournaledMessage(message_id, FIELDS, b"b" * 700)
        while pending and sum(map(journal.reserved_bytes, [*pending.values(), message])) > limits.max_message_bytes:
            oldest_id = next(iter(pending))
            del pending[oldest_id]
            journal.add(encode_completed(oldest_id))
        pending[message_id] = message
        journal.add(encode_accepted(message))
        assert journal.flush()
        disk_uses.append(disk_use(tmp_path))
        if journal.needs_rewrite:
            journal.rewrite(pending.values())
    assert disk_bytes / 2 < max(disk_uses) <= disk_bytes
    journal.close()
    assert Journal(tmp_path, limits.compaction_bytes).open() == pending


def test_partial_write_does_not_hide_later_records(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = Journal(tmp_path, COMPACTION_BYTES)
    journal.open()
    write = os.write
    monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[: len(data) // 2]))
    journal.add(accepted_record(1, b"lost"))
    assert not journal.flush()
    assert journal.failed_writes == 1
    monkeypatch.undo()
    journal.add(accepted_record(2, b"written"))
    assert journal.flush()
    assert list(Journal(tmp_path, COMPACTION_BYTES).open()) == [2]


def test_ids_of_complete_messages_outlive_compactions_and_the_latest_are_kept(tmp_path: Path) -> None:
    # Guards against an id that runs twice: a restart forgot the ids of messages that had ended.
    journal = Journal(tmp_path, COMPACTION_BYTES)
    journal.open()
    for message_id in range(1, 4):
        fields = replace(FIELDS, submission_id=f"id-{message_id}")
        journal.add(encode_accepted(JournaledMessage(message_id, fields, b"")))
        journal.add(encode_completed(message_id))
    assert journal.flush()
    journal.close()
    for _ in range(2):  # read from the records of the messages, then from a compacted journal
        journal = Journal(tmp_path, COMPACTION_BYTES)
        assert journal.open() == {}
        assert journal.ended_ids == ["id-1", "id-2", "id-3"]
        journal.close()
    many = [f"{number:0128}" for number in range(1000)]
    journal = Journal(tmp_path, COMPACTION_BYTES)
    journal.open()
    journal.rewrite([], many)
    assert 0 < journal.size <= COMPACTION_BYTES / 8
    journal.close()
    journal = Journal(tmp_path, COMPACTION_BYTES)
    journal.open()
    kept = len(journal.ended_ids)
    assert journal.ended_ids == many[-kept:]
