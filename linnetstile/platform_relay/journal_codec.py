"""The journal's stored form: records to bytes and back. The one place that knows the stored names.

A record is a head (kind, length, CRC-32 of kind and content) and its content. One that is torn or damaged costs
itself alone: reading goes on at the next sound one. Times are Unix times in ms.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

from .records import (
    NO_EFFECT_ATTEMPT,
    JournaledAttempt,
    JournaledMessage,
    JournalRecord,
    MessageFields,
    Notice,
    NoticeResult,
    PendingNotice,
)

RECORD_HEAD = struct.Struct("<cII")  # kind, bytes of the content, CRC-32
ACCEPTED, ATTEMPT_STARTED, ATTEMPT_ENDED, NOTICE_PENDING, COMPLETED = b"T", b"A", b"O", b"N", b"E"
RECORD_KINDS = (ACCEPTED, ATTEMPT_STARTED, ATTEMPT_ENDED, NOTICE_PENDING, COMPLETED)
MAX_CONTENT_BYTES = 256 * 1024  # a body of 64 KiB and its head

METADATA_LENGTH = struct.Struct("<I")  # bytes of the JSON that stands before the body
ATTEMPT_LAYOUT = struct.Struct("<Qdi")  # message, when it began, zone of the endpoint; the endpoint's name follows
MESSAGE_FLAG = struct.Struct("<Q?")  # message, whether the attempt may have taken effect

_encode_json = json.JSONEncoder(separators=(",", ":")).encode


# -- stored names ----------------------------------------------------------------------------------------------


def _stored_fields(fields: MessageFields) -> dict[str, Any]:
    stored = {
        "ident": fields.submission_id,
        "class": fields.class_name,
        "tenant": fields.tenant,
        "dest": fields.destination,
        "key": fields.idempotency_key,
        "order": fields.ordering_key,
        "taken": fields.accepted_at_ms,
        "due": fields.deadline_ms,
    }
    if fields.ordering_key is None:
        del stored["order"]
    return stored


def _fields_from_stored(stored: dict[str, Any]) -> MessageFields:
    return MessageFields(
        submission_id=stored["ident"],
        class_name=stored["class"],
        tenant=stored["tenant"],
        destination=stored["dest"],
        idempotency_key=stored["key"],
        ordering_key=stored.get("order"),
        accepted_at_ms=stored["taken"],
        deadline_ms=stored["due"],
    )


def _stored_notice(notice: Notice) -> dict[str, Any]:
    stored: dict[str, Any] = {"ref": notice.submission_id, "result": notice.result.value}
    if notice.retry_after_ms is not None:
        stored["wait_ms"] = notice.retry_after_ms
    return stored


def _notice_from_stored(stored: dict[str, Any]) -> Notice:
    return Notice(stored["ref"], NoticeResult(stored["result"]), stored.get("wait_ms"))


def encode_notice(notice: Notice) -> bytes:
    """Return the notice as the platform gets it, one JSON object without a line end; the journal stores the same."""
    return _encode_json(_stored_notice(notice)).encode()


# -- records to bytes ------------------------------------------------------------------------------------------


def _record(kind: bytes, content: bytes) -> bytes:
    return RECORD_HEAD.pack(kind, len(content), zlib.crc32(kind + content)) + content


def encode_accepted(message: JournaledMessage) -> bytes:
    """Return the record that a message was accepted."""
    metadata = _encode_json([message.id, _stored_fields(message.fields)]).encode()
    return _record(ACCEPTED, METADATA_LENGTH.pack(len(metadata)) + metadata + message.body)


def encode_attempt_started(message_id: int, attempt: JournaledAttempt) -> bytes:
    """Return the record that an attempt begins."""
    content = ATTEMPT_LAYOUT.pack(message_id, attempt.started_at_ms, attempt.zone)
    return _record(ATTEMPT_STARTED, content + attempt.endpoint_name.encode())


def encode_attempt_ended(message_id: int, *, may_have_effect: bool) -> bytes:
    """Return the record that the open attempt ended and the message goes on."""
    return _record(ATTEMPT_ENDED, MESSAGE_FLAG.pack(message_id, may_have_effect))


def encode_pending_notice(pending: PendingNotice) -> bytes:
    """Return the record that a message has ended and the platform has to be notified."""
    stored = [pending.id, _stored_notice(pending.notice), pending.ordering_key]
    return _record(NOTICE_PENDING, _encode_json(stored).encode())


def encode_completed(message_id: int) -> bytes:
    """Return the record that nothing is owed for a message any more."""
    return _record(COMPLETED, MESSAGE_FLAG.pack(message_id, False))


def encode_compacted(record: JournalRecord) -> Iterator[bytes]:
    """Yield the fewest records that say the same again, for a journal that is rewritten."""
    if isinstance(record, PendingNotice):
        yield encode_pending_notice(record)
        return
    unclear, open_attempt = record.unclear_attempt, record.open_attempt
    yield encode_accepted(record)
    for _ in range(record.attempts - (unclear is not None) - (open_attempt is not None)):
        yield encode_attempt_started(record.id, NO_EFFECT_ATTEMPT)
        yield encode_attempt_ended(record.id, may_have_effect=False)
    if unclear is not None:
        yield encode_attempt_started(record.id, unclear)
        yield encode_attempt_ended(record.id, may_have_effect=True)
    if open_attempt is not None:
        yield encode_attempt_started(record.id, open_attempt)


# -- bytes to records ------------------------------------------------------------------------------------------


def _end_of_sound_record(data: bytes, at: int) -> int:
    """Return where the record at `at` ends; 0 if there is none that is complete and undamaged."""
    if at + RECORD_HEAD.size > len(data):
        return 0
    kind, size, crc = RECORD_HEAD.unpack_from(data, at)
    end = at + RECORD_HEAD.size + size
    if kind not in RECORD_KINDS or size > MAX_CONTENT_BYTES or end > len(data):
        return 0
    return end if zlib.crc32(kind + data[at + RECORD_HEAD.size : end]) == crc else 0


def _end_of_damage(data: bytes, at: int) -> int:
    """Return where reading goes on after a damaged record.

    That is where its length says if that holds, or at the next sound record.
    """
    if at + RECORD_HEAD.size <= len(data):
        end = at + RECORD_HEAD.size + int(RECORD_HEAD.unpack_from(data, at)[1])
        if end == len(data) or _end_of_sound_record(data, end):
            return end
    return next((there for there in range(at + 1, len(data)) if _end_of_sound_record(data, there)), len(data))


def replay(data: bytes) -> tuple[dict[int, JournalRecord], int]:
    """Read a journal.

    Returns:
        What is still owed, by message id in the order it was accepted, and how many bytes were no sound record.
    """
    records: dict[int, JournalRecord] = {}
    at = damaged_bytes = 0
    while at < len(data):
        end = _end_of_sound_record(data, at)
        if end:
            _apply(records, data[at : at + 1], data[at + RECORD_HEAD.size : end])
        else:
            end = _end_of_damage(data, at)
            damaged_bytes += end - at
        at = end
    return records, damaged_bytes


def _apply(records: dict[int, JournalRecord], kind: bytes, content: bytes) -> None:
    if kind == ACCEPTED:
        message = _decode_accepted(content)
        records[message.id] = message
    elif kind == NOTICE_PENDING:
        pending = _decode_pending_notice(content)
        records[pending.id] = pending
    elif kind == ATTEMPT_STARTED:
        _apply_attempt_started(records, content)
    elif kind == ATTEMPT_ENDED:
        _apply_attempt_ended(records, content)
    else:
        message_id, _ = MESSAGE_FLAG.unpack_from(content)
        records.pop(message_id, None)


def _decode_accepted(content: bytes) -> JournaledMessage:
    (size,) = METADATA_LENGTH.unpack_from(content)
    body_at = METADATA_LENGTH.size + size
    message_id, stored = json.loads(content[METADATA_LENGTH.size : body_at])
    return JournaledMessage(message_id, _fields_from_stored(stored), content[body_at:])


def _decode_pending_notice(content: bytes) -> PendingNotice:
    message_id, stored, *ordering_key = json.loads(content)  # the key is missing in journals of earlier versions
    return PendingNotice(message_id, _notice_from_stored(stored), ordering_key[0] if ordering_key else 0)


def _apply_attempt_started(records: dict[int, JournalRecord], content: bytes) -> None:
    message_id, started_at_ms, zone = ATTEMPT_LAYOUT.unpack_from(content)
    message = records.get(message_id)
    if not isinstance(message, JournaledMessage):
        return
    message.attempts += 1
    # Its process ended before the attempt before this one did: that one may have taken effect.
    message.unclear_attempt = message.unclear_attempt or message.open_attempt
    message.open_attempt = JournaledAttempt(started_at_ms, zone, content[ATTEMPT_LAYOUT.size :].decode())


def _apply_attempt_ended(records: dict[int, JournalRecord], content: bytes) -> None:
    message_id, may_have_effect = MESSAGE_FLAG.unpack_from(content)
    message = records.get(message_id)
    if not isinstance(message, JournaledMessage):
        return
    if may_have_effect and message.unclear_attempt is None:
        # Without its attempt, whose record was damaged: as early as can be.
        earliest = JournaledAttempt(float(message.fields.accepted_at_ms), 0, "")
        message.unclear_attempt = message.open_attempt or earliest
    message.open_attempt = None
