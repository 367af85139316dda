"""The journal: what was promised is there again, whatever the last write left behind."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest

from linnetstile.engine.resource_limits import resource_limits
from linnetstile.platform_relay import journal
from linnetstile.platform_relay.journal import Journal, JournaledMessage

FIELDS = {"ident": "m", "class": "order", "tenant": "acme", "dest": 3, "key": "k", "taken": 1000.5, "due": 9000.0}


def story() -> bytes:
    return b"".join(
        [
            journal.taken(1, FIELDS, b"\x00body"),
            journal.attempt(1, 1.0, 0, "a"),
            journal.outcome(1, False),
            journal.attempt(1, 2.0, 1, "b"),
            journal.outcome(1, True),
            journal.attempt(1, 3.0, 0, "c"),
            journal.taken(2, FIELDS, b""),
            journal.ended(2),
            journal.taken(3, FIELDS, b""),
            journal.owed(3, {"ref": "x", "result": "dead"}),
            journal.taken(4, FIELDS, b"y" * 100),
            journal.attempt(4, 5.0, 0, "d"),
        ]
    )


KEPT = {
    1: JournaledMessage(1, FIELDS, b"\x00body", 3, (3.0, 0, "c"), (2.0, 1, "b")),
    3: JournaledMessage(3, {}, b"", notice={"ref": "x", "result": "dead"}),
    4: JournaledMessage(4, FIELDS, b"y" * 100, 1, (5.0, 0, "d")),
}


def test_replay_tells_attempts_risk_and_what_was_out() -> None:
    assert journal.replay(story()) == (KEPT, 0)


def test_attempt_that_a_kill_left_open_stays_a_risk_after_a_later_one() -> None:
    data = b"".join(
        [
            journal.taken(1, FIELDS, b""),
            journal.attempt(1, 1.0, 0, "a"),
            journal.attempt(1, 2.0, 0, "b"),
            journal.outcome(1, False),
        ]
    )
    kept, _ = journal.replay(data)
    assert (kept[1].tries, kept[1].risk, kept[1].out) == (2, (1.0, 0, "a"), None)
    assert journal.replay(b"".join(kept[1].records()))[0] == kept


def test_torn_end_loses_the_last_record_alone() -> None:
    first = journal.taken(1, FIELDS, b"a")
    data = first + journal.taken(2, FIELDS, b"b")
    for cut in range(len(first), len(data)):
        assert journal.replay(data[:cut]) == ({1: JournaledMessage(1, FIELDS, b"a")}, cut - len(first))


def test_damaged_record_costs_itself_alone_wherever_it_is_hit() -> None:
    before, hit, after = (journal.taken(n, FIELDS, b"body %d" % n) for n in (1, 2, 3))
    for at in range(len(hit)):
        spoilt = hit[:at] + bytes([hit[at] ^ 0x41]) + hit[at + 1 :]
        kept, lost = journal.replay(before + spoilt + after)
        assert list(kept) == [1, 3] and lost == len(hit)


def test_outcome_whose_attempt_was_damaged_still_tells_a_risk() -> None:
    kept, _ = journal.replay(journal.taken(1, FIELDS, b"") + journal.outcome(1, True))
    assert kept[1].risk == (FIELDS["taken"], 0, "")


def test_written_anew_it_says_the_same_and_goes_on(tmp_path: Path) -> None:
    (tmp_path / "journal").write_bytes(story() + b"torn")
    (tmp_path / "journal.new").write_bytes(b"a rewrite that was cut short")
    first = Journal(tmp_path, 10_000)
    assert first.open() == KEPT
    first.add(journal.ended(4))
    assert first.flush()
    first.close()
    assert sorted(os.listdir(tmp_path)) == ["journal"]
    assert Journal(tmp_path, 10_000).open() == {submission_id: KEPT[submission_id] for submission_id in (1, 3)}


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
    for submission_id in range(1, 2000):
        each = JournaledMessage(submission_id, FIELDS, b"b" * 700)
        while held and sum(map(kept.weight, held.values())) + kept.weight(each) > sizes.max_message_bytes:
            gone = next(iter(held))
            del held[gone]
            kept.add(journal.ended(gone))
        held[submission_id] = each
        kept.add(journal.taken(submission_id, FIELDS, each.body))
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
    kept.add(journal.taken(1, FIELDS, b"lost"))
    assert not kept.flush() and kept.failed == 1
    monkeypatch.undo()
    kept.add(journal.taken(2, FIELDS, b"kept"))
    assert kept.flush()
    assert list(Journal(tmp_path, 10_000).open()) == [2]
