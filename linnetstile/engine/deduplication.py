"""A client that hands in an identifier again: what is it, and which answer is it owed?

An identifier is the pair of sender and Message-ID (RFC 4130, 7.2: unique to the sender). While the message is open
a repeat waits for the same final answer. After one that promises nothing more (delivered, failed) the stored answer
is given again; after a refusal it is a new try, for a refusal says that coming again is harmless. The same
identifier with other content is refused: two messages under one key would let a destination drop one as a repeat."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")  # a message that is open
A = TypeVar("A")  # a final answer


class SubmissionStatus(Enum):
    NEW = "new"
    OPEN = "open"
    ANSWERED = "answered"
    CONFLICT = "conflict"


@dataclass(slots=True)
class KnownSubmission(Generic[T, A]):
    digest: bytes
    message: T | None
    answer: A | None = None
    expires_at: float = 0.0


class SubmissionTable(Generic[T, A]):
    """Holds answers for `keep_ms` after they were given, and at most `most` of them, the oldest given up first.

    `keep_ms` is to cover the longest key window and a client's patience: what is forgotten is new."""

    def __init__(
        self,
        retention_ms: float,
        max_answers: int,
        max_answer_bytes: float = float("inf"),
        size: Callable[[A], int] = lambda answer: 0,
        shorten: Callable[[A], A] = lambda answer: answer,
    ) -> None:
        self.retention_ms = retention_ms
        self.max_answers = max_answers
        self.max_answer_bytes = max_answer_bytes
        self.size, self.shorten = size, shorten
        self.answer_bytes = 0  # of the answers kept whole
        self.full_answers: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.shortened_count = 0
        self.known: dict[tuple[str, str], KnownSubmission[T, A]] = {}
        self.answered: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.evicted_count = 0  # answers forgotten for want of room, before their time

    def lookup(
        self, now: float, sender: str, ident: str, digest: bytes
    ) -> tuple[SubmissionStatus, KnownSubmission[T, A] | None]:
        """What a message just handed in is; `open` must follow at once where it is NEW and taken."""
        self._forget(now)
        known = self.known.get((sender, ident))
        if known is None:
            return SubmissionStatus.NEW, None
        if known.digest != digest:
            return SubmissionStatus.CONFLICT, known
        return (SubmissionStatus.OPEN if known.message is not None else SubmissionStatus.ANSWERED), known

    def start(self, sender: str, ident: str, digest: bytes, message: T) -> None:
        assert (sender, ident) not in self.known, "an identifier was taken twice"
        self.known[sender, ident] = KnownSubmission(digest, message)

    def forget_rejected(self, sender: str, ident: str) -> None:
        del self.known[sender, ident]

    def complete(self, now: float, sender: str, ident: str, answer: A) -> None:
        """The final answer that repeats will get."""
        known = self.known[sender, ident]
        assert known.message is not None, "a second final answer"
        known.message, known.answer, known.expires_at = None, answer, now + self.retention_ms
        self.answered[sender, ident] = None
        self.full_answers[sender, ident] = self.size(answer)
        self.answer_bytes += self.full_answers[sender, ident]
        # Big answers go first in part: that there was one, and which, is never forgotten before its time for bytes.
        while self.answer_bytes > self.max_answer_bytes:
            oldest, size = self.full_answers.popitem(last=False)
            self.answer_bytes -= size
            shortened = self.known[oldest]
            if shortened.answer is not None:
                shortened.answer = self.shorten(shortened.answer)
            self.shortened_count += 1

    def _forget(self, now: float) -> None:
        while self.answered:
            oldest = next(iter(self.answered))
            late = self.known[oldest].expires_at <= now
            if not late and len(self.answered) <= self.max_answers:
                return
            self.evicted_count += not late
            del self.answered[oldest], self.known[oldest]
            self.answer_bytes -= self.full_answers.pop(oldest, 0)
