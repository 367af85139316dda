"""The journal: what was promised is there again, whatever the last write left behind."""

from __future__ import annotations

import os
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
PENDING = PendingNotice(3, Notice("x", NoticeResult.FAILED))


def accepted(message_id: int, body: bytes = b"") -> bytes:
    return encode_accepted(JournaledMessage(message_id, FIELDS, body))


def started(message_id: int, at_ms: float, zone: int, endpoint_name: str) -> bytes:
    return encode_attempt_started(message_id, JournaledAttempt(at_ms, zone, endpoint_name))


def ended(message_id: int, may_have_effect: bool) -> bytes:
    return encode_attempt_ended(message_id, may_have_effect=may_have_effect)


def replayed_message(data: bytes) -> JournaledMessage:
    message = replay(data)[0][1]
    assert isinstance(message, JournaledMessage)
    return message


def history() -> bytes:
    return b"".join(
        [
            accepted(1, b"\x00body"),
            started(1, 1.0, 0, "a"),
            ended(1, False),
            started(1, 2.0, 1, "b"),
            ended(1, True),
            started(1, 3.0, 0, "c"),
            accepted(2),
            encode_completed(2),
            accepted(3),
            encode_pending_notice(PENDING),
            accepted(4, b"y" * 100),
            started(4, 5.0, 0, "d"),
        ]
    )


KEPT: dict[int, JournalRecord] = {
    1: JournaledMessage(1, FIELDS, b"\x00body", 3, JournaledAttempt(3.0, 0, "c"), JournaledAttempt(2.0, 1, "b")),
    3: PENDING,
    4: JournaledMessage(4, FIELDS, b"y" * 100, 1, JournaledAttempt(5.0, 0, "d")),
}


def test_replay_restores_attempts_unclear_and_open_ones() -> None:
    assert replay(history()) == (KEPT, 0)


def test_attempt_that_a_kill_left_open_stays_unclear_after_a_later_one() -> None:
    message = replayed_message(accepted(1) + started(1, 1.0, 0, "a") + started(1, 2.0, 0, "b") + ended(1, False))
    assert message.attempts == 2
    assert message.unclear_attempt == JournaledAttempt(1.0, 0, "a")
    assert message.open_attempt is None
    assert replayed_message(b"".join(encode_compacted(message))) == message


def test_torn_end_loses_the_last_record_alone() -> None:
    first = accepted(1, b"a")
    data = first + accepted(2, b"b")
    for cut in range(len(first), len(data)):
        assert replay(data[:cut]) == ({1: JournaledMessage(1, FIELDS, b"a")}, cut - len(first))


def test_damaged_record_costs_itself_alone_wherever_it_is_hit() -> None:
    before, hit, after = (accepted(n, b"body %d" % n) for n in (1, 2, 3))
    for at in range(len(hit)):
        damaged = hit[:at] + bytes([hit[at] ^ 0x41]) + hit[at + 1 :]
        records, damaged_bytes = replay(before + damaged + after)
        assert list(records) == [1, 3]
        assert damaged_bytes == len(hit)


def test_attempt_end_whose_start_was_damaged_still_counts_as_unclear() -> None:
    message = replayed_message(accepted(1) + ended(1, True))
    assert message.unclear_attempt == JournaledAttempt(FIELDS.accepted_at_ms, 0, "")


def test_rewritten_journal_says_the_same_and_goes_on(tmp_path: Path) -> None:
    (tmp_path / "journal").write_bytes(history() + b"torn")
    (tmp_path / "journal.new").write_bytes(b"a rewrite that was cut short")
    first = Journal(tmp_path, 10_000)
    assert first.open() == KEPT
    first.add(encode_completed(4))
    assert first.flush()
    first.close()
    assert sorted(os.listdir(tmp_path)) == ["journal"]
    assert Journal(tmp_path, 10_000).open() == {message_id: KEPT[message_id] for message_id in (1, 3)}


def test_folder_stays_within_the_disk_at_every_instant(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = 100_000
    sizes = resource_limits(1024, disk, 8)
    kept = Journal(tmp_path, sizes.compaction_bytes)
    kept.open()
    most = 0

    def measured(*args: Any) -> None:
        nonlocal most
        most = max(most, sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir()))

    rename = os.rename

    def renamed(*names: Any) -> None:  # both files are there
        measured()
        rename(*names)

    monkeypatch.setattr(os, "rename", renamed)
    held: dict[int, JournaledMessage] = {}
    for message_id in range(1, 2000):
        each = JournaledMessage(message_id, FIELDS, b"b" * 700)
        while held and sum(map(kept.weight, held.values())) + kept.weight(each) > sizes.max_message_bytes:
            gone = next(iter(held))
            del held[gone]
            kept.add(encode_completed(gone))
        held[message_id] = each
        kept.add(encode_accepted(each))
        assert kept.flush()
        measured()
        if kept.needs_rewrite:
            kept.rewrite(held.values())
    assert disk / 2 < most <= disk
    kept.close()
    assert Journal(tmp_path, sizes.compaction_bytes).open() == held


def test_half_a_write_hides_nothing_that_comes_later(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    kept = Journal(tmp_path, 10_000)
    kept.open()
    write = os.write
    monkeypatch.setattr(os, "write", lambda file, data: write(file, data[: len(data) // 2]))
    kept.add(accepted(1, b"lost"))
    assert not kept.flush()
    assert kept.failed_writes == 1
    monkeypatch.undo()
    kept.add(accepted(2, b"kept"))
    assert kept.flush()
    assert list(Journal(tmp_path, 10_000).open()) == [2]
