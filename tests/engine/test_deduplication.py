"""The table of submissions: the status of a repeated identifier, and what is forgotten."""

from __future__ import annotations

import pytest

from linnetstile.engine.deduplication import SubmissionStatus, SubmissionTable


def lookup(
    table: SubmissionTable[str, str], now: float, message_id: str, digest: bytes = b"", sender: str = "a"
) -> SubmissionStatus:
    return table.lookup(now, sender, message_id, digest).status


def test_identifier_names_one_message_until_its_retention_ends() -> None:
    table: SubmissionTable[str, str] = SubmissionTable(retention_ms=100, max_answers=2)
    assert lookup(table, 0, "<1>", b"x") is SubmissionStatus.NEW
    table.start("a", "<1>", b"x", "pending")
    assert lookup(table, 1, "<1>", b"x") is SubmissionStatus.OPEN
    assert lookup(table, 1, "<1>", b"y") is SubmissionStatus.CONFLICT
    assert lookup(table, 1, "<1>", b"y", sender="b") is SubmissionStatus.NEW
    table.forget_rejected("a", "<1>")
    # A rejected submission may be repeated with other content.
    assert lookup(table, 2, "<1>", b"y") is SubmissionStatus.NEW
    table.start("a", "<1>", b"y", "pending")
    table.complete(10, "a", "<1>", "receipt")
    status, submission = table.lookup(109, "a", "<1>", b"y")
    assert status is SubmissionStatus.ANSWERED
    assert submission is not None
    assert submission.answer == "receipt"
    assert lookup(table, 110, "<1>", b"y") is SubmissionStatus.NEW
    assert not table.known


def test_stored_answers_are_bounded_and_open_messages_are_never_forgotten() -> None:
    table: SubmissionTable[str, str] = SubmissionTable(retention_ms=1e9, max_answers=3)
    table.start("a", "<open>", b"", "pending")
    for number in range(50):
        table.start("a", f"<{number}>", b"", "pending")
        table.complete(number, "a", f"<{number}>", "receipt")
        assert lookup(table, number, "<none>") is SubmissionStatus.NEW
    assert len(table.known) == 4
    assert table.evicted_count == 47
    assert lookup(table, 60, "<open>") is SubmissionStatus.OPEN
    with pytest.raises(AssertionError):
        table.complete(61, "a", "<49>", "another")
