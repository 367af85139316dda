"""The journal: what was promised is there again, whatever the last write left behind."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from linnetstile.node import journal
from linnetstile.node.journal import Journal, Kept

FIELDS = {"ident": "m", "class": "order", "tenant": "acme", "dest": 3, "key": "k", "taken": 1000.5, "due": 9000.0}


def story() -> bytes:
    return b"".join([
        journal.taken(1, FIELDS, b"\x00body"), journal.attempt(1, 1.0, 0, "a"), journal.outcome(1, False),
        journal.attempt(1, 2.0, 1, "b"), journal.outcome(1, True), journal.attempt(1, 3.0, 0, "c"),
        journal.taken(2, FIELDS, b""), journal.ended(2),
        journal.taken(3, FIELDS, b""), journal.owed(3, {"ref": "x", "result": "dead"}),
        journal.taken(4, FIELDS, b"y" * 100), journal.attempt(4, 5.0, 0, "d")])


KEPT = {
    1: Kept(1, FIELDS, b"\x00body", 3, (3.0, 0, "c"), (2.0, 1, "b")),
    3: Kept(3, {}, b"", notice={"ref": "x", "result": "dead"}),
    4: Kept(4, FIELDS, b"y" * 100, 1, (5.0, 0, "d")),
}


def test_replay_tells_attempts_risk_and_what_was_out() -> None:
    assert journal.replay(story()) == (KEPT, len(story()))


def test_attempt_that_a_kill_left_open_stays_a_risk_after_a_later_one() -> None:
    data = b"".join([journal.taken(1, FIELDS, b""), journal.attempt(1, 1.0, 0, "a"),
                     journal.attempt(1, 2.0, 0, "b"), journal.outcome(1, False)])
    kept, _ = journal.replay(data)
    assert (kept[1].tries, kept[1].risk, kept[1].out) == (2, (1.0, 0, "a"), None)
    assert journal.replay(b"".join(kept[1].records()))[0] == kept


def test_any_cut_or_flipped_byte_loses_only_what_comes_after_it() -> None:
    data = story()
    ends = [journal.replay(data[:cut])[1] for cut in range(len(data) + 1)]
    assert ends == sorted(ends) and set(ends) >= {0, len(data)}
    for at in range(0, len(data), 7):
        spoilt = data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :]
        kept, read = journal.replay(spoilt)
        assert read <= at and kept == journal.replay(data[:read])[0]


def test_written_anew_it_says_the_same_and_goes_on(tmp_path: Path) -> None:
    (tmp_path / "journal").write_bytes(story() + b"torn")
    (tmp_path / "journal.new").write_bytes(b"a rewrite that was cut short")
    first = Journal(tmp_path, 10_000)
    assert first.open() == KEPT
    first.add(journal.ended(4))
    assert first.flush()
    first.close()
    assert sorted(os.listdir(tmp_path)) == ["journal"]
    assert Journal(tmp_path, 10_000).open() == {ident: KEPT[ident] for ident in (1, 3)}


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
