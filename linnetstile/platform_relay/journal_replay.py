"""Reads a whole journal: applies its records in order and skips damaged ones.

An incomplete or damaged record is lost, and no other one: reading continues at the next valid record.
"""

from __future__ import annotations

from typing import NamedTuple

from .journal_codec import decode_record, stated_record_end, valid_record_end
from .records import (
    AttemptEndRecord,
    AttemptStartRecord,
    CompletionRecord,
    DecodedRecord,
    EndedIdRecord,
    JournaledAttempt,
    JournaledMessage,
    JournalRecord,
    PendingNotice,
)


class ReplayedJournal(NamedTuple):
    """Result of the replay of a journal.

    Attributes:
        records: Messages and notices that are not complete, by message id, in the order they were accepted.
        damaged_bytes: Number of bytes that belong to no valid record.
    """

    records: dict[int, JournalRecord]
    damaged_bytes: int


def replay(data: bytes, ended_ids: list[str] | None = None) -> ReplayedJournal:
    """Replay the content of a journal file.

    Args:
        data: The content.
        ended_ids: Gets the submission ids of complete messages that the file still has, the one that ended first first.
    """
    ended_ids = [] if ended_ids is None else ended_ids
    records: dict[int, JournalRecord] = {}
    damaged_bytes = 0
    start = 0
    while start < len(data):
        end = valid_record_end(data, start)
        if end is not None:
            _apply(records, decode_record(data, start, end), ended_ids)
        else:
            end = _end_of_damage(data, start)
            damaged_bytes += end - start
        start = end
    return ReplayedJournal(records, damaged_bytes)


def _end_of_damage(data: bytes, start: int) -> int:
    """Return the offset at which reading continues after the damaged record at `start`.

    The record's stated length is used if the journal ends there or a valid record follows. Otherwise the length is
    damaged too, and the next valid record is searched for.
    """
    stated_end = stated_record_end(data, start)
    if stated_end is not None and (stated_end == len(data) or valid_record_end(data, stated_end) is not None):
        return stated_end
    candidates = range(start + 1, len(data))
    return next((at for at in candidates if valid_record_end(data, at) is not None), len(data))


def _apply(records: dict[int, JournalRecord], record: DecodedRecord, ended_ids: list[str]) -> None:
    match record:
        case JournaledMessage() | PendingNotice():
            records[record.id] = record
        case AttemptStartRecord():
            _apply_attempt_start(records, record)
        case AttemptEndRecord():
            _apply_attempt_end(records, record)
        case CompletionRecord():
            completed = records.pop(record.message_id, None)
            if completed is not None:
                ended_ids.append(_submission_id(completed))
        case EndedIdRecord():
            ended_ids.append(record.submission_id)


def _submission_id(record: JournalRecord) -> str:
    return record.notice.submission_id if isinstance(record, PendingNotice) else record.fields.submission_id


def _apply_attempt_start(records: dict[int, JournalRecord], record: AttemptStartRecord) -> None:
    message = records.get(record.message_id)
    if not isinstance(message, JournaledMessage):
        return
    message.attempts += 1
    # An attempt that is still open was interrupted by the end of an earlier process: it may have taken effect.
    message.unclear_attempt = message.unclear_attempt or message.open_attempt
    message.open_attempt = record.attempt


def _apply_attempt_end(records: dict[int, JournalRecord], record: AttemptEndRecord) -> None:
    message = records.get(record.message_id)
    if not isinstance(message, JournaledMessage):
        return
    if record.may_have_effect and message.unclear_attempt is None:
        # If the record of the attempt's start was damaged, the earliest possible start is assumed.
        earliest = JournaledAttempt(started_at_ms=float(message.fields.accepted_at_ms), zone=0, endpoint_name="")
        message.unclear_attempt = message.open_attempt or earliest
    message.open_attempt = None
