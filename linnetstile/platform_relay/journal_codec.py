"""The format of the journal: encodes and decodes its records. Only this module knows the stored names.

A record is a head (kind, length of the content, CRC-32 of kind and content) and its content. Times are Unix times in
ms. `journal_replay` reads a whole journal.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

from .records import (
    NO_EFFECT_ATTEMPT,
    AttemptEndRecord,
    AttemptStartRecord,
    CompletionRecord,
    DecodedRecord,
    EndedIdRecord,
    JournaledAttempt,
    JournaledMessage,
    JournalRecord,
    MessageFields,
    Notice,
    NoticeResult,
    PendingNotice,
)

RECORD_HEAD = struct.Struct("<cII")  # kind, length of the content in bytes, CRC-32
ACCEPTED = b"T"
ATTEMPT_STARTED = b"A"
ATTEMPT_ENDED = b"O"
NOTICE_PENDING = b"N"
COMPLETED = b"E"
ENDED_ID = b"I"  # earlier versions skip it
RECORD_KINDS = (ACCEPTED, ATTEMPT_STARTED, ATTEMPT_ENDED, NOTICE_PENDING, COMPLETED, ENDED_ID)
MAX_CONTENT_BYTES = 256 * 1024  # ample for a body of 64 KiB and its metadata: a larger length shows damage

METADATA_LENGTH = struct.Struct("<I")  # length in bytes of the JSON metadata, which precedes the body
ATTEMPT_LAYOUT = struct.Struct("<Qdi")  # message id, start time, zone of the endpoint; the name of the endpoint follows
MESSAGE_FLAG = struct.Struct("<Q?")  # message id, whether the attempt may have taken effect

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
    return Notice(
        submission_id=stored["ref"],
        result=NoticeResult(stored["result"]),
        retry_after_ms=stored.get("wait_ms"),
    )


def encode_notice(notice: Notice) -> bytes:
    """Return a notice as it is posted to the platform and stored in the journal: a JSON object without a line end."""
    return _encode_json(_stored_notice(notice)).encode()


# -- records to bytes ------------------------------------------------------------------------------------------


def _record(kind: bytes, content: bytes) -> bytes:
    return RECORD_HEAD.pack(kind, len(content), zlib.crc32(kind + content)) + content


def encode_accepted(message: JournaledMessage) -> bytes:
    """Encode the record of an accepted message."""
    metadata = _encode_json([message.id, _stored_fields(message.fields)]).encode()
    return _record(ACCEPTED, METADATA_LENGTH.pack(len(metadata)) + metadata + message.body)


def encode_attempt_started(message_id: int, attempt: JournaledAttempt) -> bytes:
    """Encode the record of the start of an attempt."""
    content = ATTEMPT_LAYOUT.pack(message_id, attempt.started_at_ms, attempt.zone)
    return _record(ATTEMPT_STARTED, content + attempt.endpoint_name.encode())


def encode_attempt_ended(message_id: int, *, may_have_effect: bool) -> bytes:
    """Encode the record of the end of the open attempt of a message that stays pending."""
    return _record(ATTEMPT_ENDED, MESSAGE_FLAG.pack(message_id, may_have_effect))


def encode_pending_notice(pending: PendingNotice) -> bytes:
    """Encode the record of a message that has ended and whose notice the platform has not confirmed."""
    stored = [pending.id, _stored_notice(pending.notice), pending.ordering_key]
    return _record(NOTICE_PENDING, _encode_json(stored).encode())


def encode_completed(message_id: int) -> bytes:
    """Encode the record that a message is completed: a replay then drops all earlier records of the message."""
    return _record(COMPLETED, MESSAGE_FLAG.pack(message_id, False))


def encode_ended_id(submission_id: str) -> bytes:
    """Encode the record of the submission id of a message that is complete."""
    return _record(ENDED_ID, submission_id.encode())


def encode_compacted(record: JournalRecord) -> Iterator[bytes]:
    """Yield the shortest sequence of records with the same meaning, for a compacted journal."""
    if isinstance(record, PendingNotice):
        yield encode_pending_notice(record)
        return
    unclear = record.unclear_attempt
    open_attempt = record.open_attempt
    attempts_without_effect = record.attempts - (unclear is not None) - (open_attempt is not None)
    yield encode_accepted(record)
    for _ in range(attempts_without_effect):
        yield encode_attempt_started(record.id, NO_EFFECT_ATTEMPT)
        yield encode_attempt_ended(record.id, may_have_effect=False)
    if unclear is not None:
        yield encode_attempt_started(record.id, unclear)
        yield encode_attempt_ended(record.id, may_have_effect=True)
    if open_attempt is not None:
        yield encode_attempt_started(record.id, open_attempt)


# -- bytes to records ------------------------------------------------------------------------------------------


def valid_record_end(data: bytes, start: int) -> int | None:
    """Return the offset after the record at `start`; None if there is no complete and undamaged record."""
    content_start = start + RECORD_HEAD.size
    if content_start > len(data):
        return None
    kind, size, crc = RECORD_HEAD.unpack_from(data, start)
    end: int = content_start + size
    if kind not in RECORD_KINDS or size > MAX_CONTENT_BYTES or end > len(data):
        return None
    return end if zlib.crc32(kind + data[content_start:end]) == crc else None


def stated_record_end(data: bytes, start: int) -> int | None:
    """Return the offset after the record at `start` by its stated length alone; None if its head is incomplete."""
    content_start = start + RECORD_HEAD.size
    if content_start > len(data):
        return None
    _, size, _ = RECORD_HEAD.unpack_from(data, start)
    return content_start + int(size)


def decode_record(data: bytes, start: int, end: int) -> DecodedRecord:
    """Decode the valid record from `start` to `end`."""
    kind = data[start : start + 1]
    content = data[start + RECORD_HEAD.size : end]
    if kind == ACCEPTED:
        return _decode_accepted(content)
    if kind == NOTICE_PENDING:
        return _decode_pending_notice(content)
    if kind == ATTEMPT_STARTED:
        return _decode_attempt_started(content)
    if kind == ENDED_ID:
        return EndedIdRecord(content.decode())
    message_id, may_have_effect = MESSAGE_FLAG.unpack_from(content)
    if kind == ATTEMPT_ENDED:
        return AttemptEndRecord(message_id, may_have_effect)
    return CompletionRecord(message_id)


def _decode_accepted(content: bytes) -> JournaledMessage:
    (size,) = METADATA_LENGTH.unpack_from(content)
    body_start = METADATA_LENGTH.size + size
    message_id, stored = json.loads(content[METADATA_LENGTH.size : body_start])
    return JournaledMessage(id=message_id, fields=_fields_from_stored(stored), body=content[body_start:])


def _decode_pending_notice(content: bytes) -> PendingNotice:
    message_id, stored, *ordering_key = json.loads(content)  # earlier versions wrote no ordering key
    return PendingNotice(
        id=message_id,
        notice=_notice_from_stored(stored),
        ordering_key=ordering_key[0] if ordering_key else 0,
    )


def _decode_attempt_started(content: bytes) -> AttemptStartRecord:
    message_id, started_at_ms, zone = ATTEMPT_LAYOUT.unpack_from(content)
    endpoint_name = content[ATTEMPT_LAYOUT.size :].decode()
    return AttemptStartRecord(message_id, JournaledAttempt(started_at_ms, zone, endpoint_name))
