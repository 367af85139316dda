"""Deduplication of submissions: recognizes repeats, and decides which answer they get.

A submission is identified by its sender and Message-ID (RFC 4130, 7.2: unique to the sender). While the message is
open, a repeat waits for the same final answer. After a final answer other than a rejection (delivered, failed), a
repeat gets the stored answer again. After a rejection it is a new submission, as a rejection says that a retry is
harmless. The same identifier with other content is a conflict: of two messages under one key, a destination could drop
one as a repeat of the other.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")  # an open message
A = TypeVar("A")  # a final answer


class SubmissionStatus(Enum):
    """How a submission relates to earlier ones."""

    NEW = "new"
    OPEN = "open"  # a repeat of a message without a final answer
    ANSWERED = "answered"  # a repeat of a message with a final answer
    CONFLICT = "conflict"  # the identifier of an earlier message with other content


class SubmissionKey(NamedTuple):
    """What identifies a submission."""

    sender: str
    message_id: str


@dataclass(slots=True)
class KnownSubmission(Generic[T, A]):
    """A submission that was accepted.

    Attributes:
        digest: Digest of the content.
        message: The message while it is open; None once it has its final answer.
        answer: The final answer, perhaps shortened.
        expires_at: Time (ms) at which an answered submission is forgotten.
    """

    digest: bytes
    message: T | None
    answer: A | None = None
    expires_at: float = 0.0


class SubmissionLookup(NamedTuple, Generic[T, A]):
    """Result of a lookup: the status, and the earlier submission unless the status is NEW."""

    status: SubmissionStatus
    submission: KnownSubmission[T, A] | None


class CompleteAnswerSizes(Generic[A]):
    """Tracks the bytes of the complete answers; above the limit, the oldest ones are to be shortened first.

    Invariant: `total_bytes` is the sum of `sizes`, the sizes of the answers that are still complete.
    """

    def __init__(self, max_bytes: float, size: Callable[[A], int]) -> None:
        self.max_bytes = max_bytes
        self.size = size
        self.total_bytes = 0
        self.sizes: OrderedDict[SubmissionKey, int] = OrderedDict()

    def add(self, key: SubmissionKey, answer: A) -> None:
        """Count a complete answer."""
        size = self.size(answer)
        self.sizes[key] = size
        self.total_bytes += size

    def discard(self, key: SubmissionKey) -> None:
        """Stop counting an answer, if it is still counted."""
        self.total_bytes -= self.sizes.pop(key, 0)
        assert self.total_bytes >= 0, "more bytes of answers removed than added"

    def pop_over_limit(self) -> SubmissionKey | None:
        """Stop counting the oldest complete answer if the bytes are above the limit, and return its key."""
        if self.total_bytes <= self.max_bytes:
            return None
        key, size = self.sizes.popitem(last=False)
        self.total_bytes -= size
        return key


class SubmissionTable(Generic[T, A]):
    """The submissions that are open, and those answered within the retention time.

    Open submissions are never forgotten. Answered ones are forgotten after `retention_ms`, or earlier, the oldest
    first, where there are more than `max_answers`. The retention has to cover the longest deduplication window and
    the time for which a client repeats a submission, as a forgotten submission counts as new.

    Attributes:
        known: All known submissions.
        answered: Keys of the answered ones, the oldest answer first.
        evicted_count: Answers that were forgotten within the retention time because there were too many.
        shortened_count: Answers that were shortened because they had too many bytes.
    """

    def __init__(
        self,
        retention_ms: float,
        max_answers: int,
        max_answer_bytes: float = float("inf"),
        size: Callable[[A], int] = lambda answer: 0,
        shorten: Callable[[A], A] = lambda answer: answer,
    ) -> None:
        """Create an empty table.

        Args:
            retention_ms: Time (ms) for which an answer is kept.
            max_answers: Maximum number of answers that are kept.
            max_answer_bytes: Maximum bytes of complete answers; above it the oldest ones are shortened.
            size: Returns the bytes of an answer.
            shorten: Returns the short form of an answer, whose bytes are not counted.
        """
        self.retention_ms = retention_ms
        self.max_answers = max_answers
        self.shorten = shorten
        self.complete_answers = CompleteAnswerSizes(max_answer_bytes, size)
        self.shortened_count = 0
        self.known: dict[SubmissionKey, KnownSubmission[T, A]] = {}
        self.answered: OrderedDict[SubmissionKey, None] = OrderedDict()
        self.evicted_count = 0

    def lookup(self, now_ms: float, sender: str, message_id: str, digest: bytes) -> SubmissionLookup[T, A]:
        """Return how a submission relates to earlier ones.

        For a NEW one that is accepted, `start` has to follow at once.
        """
        self._forget_expired(now_ms)
        submission = self.known.get(SubmissionKey(sender, message_id))
        if submission is None:
            return SubmissionLookup(SubmissionStatus.NEW, None)
        if submission.digest != digest:
            return SubmissionLookup(SubmissionStatus.CONFLICT, submission)
        if submission.message is not None:
            return SubmissionLookup(SubmissionStatus.OPEN, submission)
        return SubmissionLookup(SubmissionStatus.ANSWERED, submission)

    def start(self, sender: str, message_id: str, digest: bytes, message: T) -> None:
        """Record a new submission that was accepted."""
        key = SubmissionKey(sender, message_id)
        assert key not in self.known, "an identifier was accepted twice"
        self.known[key] = KnownSubmission(digest, message)

    def forget_rejected(self, sender: str, message_id: str) -> None:
        """Forget a submission that was rejected after `start`, so that the client may submit it again."""
        del self.known[SubmissionKey(sender, message_id)]

    def complete(self, now_ms: float, sender: str, message_id: str, answer: A) -> None:
        """Record the final answer of an open submission, which repeats will get."""
        key = SubmissionKey(sender, message_id)
        submission = self.known[key]
        assert submission.message is not None, "a submission got a second final answer"
        submission.message = None
        submission.answer = answer
        submission.expires_at = now_ms + self.retention_ms
        self.answered[key] = None
        self.complete_answers.add(key, answer)
        self._shorten_oldest()

    def _shorten_oldest(self) -> None:
        # An answer is never forgotten early because of too many bytes: only its body is dropped.
        while (key := self.complete_answers.pop_over_limit()) is not None:
            submission = self.known[key]
            if submission.answer is not None:
                submission.answer = self.shorten(submission.answer)
            self.shortened_count += 1

    def _forget_expired(self, now_ms: float) -> None:
        while self.answered:
            oldest = next(iter(self.answered))
            has_expired = self.known[oldest].expires_at <= now_ms
            if not has_expired and len(self.answered) <= self.max_answers:
                return
            self.evicted_count += not has_expired
            del self.answered[oldest]
            del self.known[oldest]
            self.complete_answers.discard(oldest)
