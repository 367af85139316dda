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


class Hand(Enum):
    NEW = "new"
    OPEN = "open"
    ANSWERED = "answered"
    CONFLICT = "conflict"


@dataclass(slots=True)
class Known(Generic[T, A]):
    digest: bytes
    open: T | None
    answer: A | None = None
    until: float = 0.0


class Identifiers(Generic[T, A]):
    """Holds answers for `keep_ms` after they were given, and at most `most` of them, the oldest given up first.

    `keep_ms` is to cover the longest key window and a client's patience: what is forgotten is new."""

    def __init__(
        self,
        keep_ms: float,
        most: int,
        most_bytes: float = float("inf"),
        size: Callable[[A], int] = lambda answer: 0,
        short: Callable[[A], A] = lambda answer: answer,
    ) -> None:
        self.keep_ms = keep_ms
        self.most = most
        self.most_bytes = most_bytes
        self.size, self.short = size, short
        self.bytes = 0  # of the answers kept whole
        self.whole: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.shortened = 0
        self.known: dict[tuple[str, str], Known[T, A]] = {}
        self.answered: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.given_up = 0  # answers forgotten for want of room, before their time

    def look(self, now: float, sender: str, ident: str, digest: bytes) -> tuple[Hand, Known[T, A] | None]:
        """What a message just handed in is; `open` must follow at once where it is NEW and taken."""
        self._forget(now)
        known = self.known.get((sender, ident))
        if known is None:
            return Hand.NEW, None
        if known.digest != digest:
            return Hand.CONFLICT, known
        return (Hand.OPEN if known.open is not None else Hand.ANSWERED), known

    def open(self, sender: str, ident: str, digest: bytes, message: T) -> None:
        assert (sender, ident) not in self.known, "an identifier was taken twice"
        self.known[sender, ident] = Known(digest, message)

    def refused(self, sender: str, ident: str) -> None:
        del self.known[sender, ident]

    def close(self, now: float, sender: str, ident: str, answer: A) -> None:
        """The final answer that repeats will get."""
        known = self.known[sender, ident]
        assert known.open is not None, "a second final answer"
        known.open, known.answer, known.until = None, answer, now + self.keep_ms
        self.answered[sender, ident] = None
        self.whole[sender, ident] = self.size(answer)
        self.bytes += self.whole[sender, ident]
        # Big answers go first in part: that there was one, and which, is never forgotten before its time for bytes.
        while self.bytes > self.most_bytes:
            oldest, size = self.whole.popitem(last=False)
            self.bytes -= size
            shortened = self.known[oldest]
            if shortened.answer is not None:
                shortened.answer = self.short(shortened.answer)
            self.shortened += 1

    def _forget(self, now: float) -> None:
        while self.answered:
            oldest = next(iter(self.answered))
            late = self.known[oldest].until <= now
            if not late and len(self.answered) <= self.most:
                return
            self.given_up += not late
            del self.answered[oldest], self.known[oldest]
            self.bytes -= self.whole.pop(oldest, 0)
