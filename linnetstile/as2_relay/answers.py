"""The answers that clients get: their kinds, and how they are written."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..net import server

ANSWER_KIND_HEADER: Final = "Linnetstile-Answer"


class AnswerKind(StrEnum):
    """What an answer says about the message; the value travels in `ANSWER_KIND_HEADER`."""

    UNSPECIFIED = ""  # no answer to a message: health checks and wrong methods
    DELIVERED = "delivered"
    REJECTED = "rejected"  # by the partner
    REFUSED = "refused"  # by this relay: nothing was done, and a new submission is harmless
    FAILED = "failed"  # it may or may not have taken effect
    CONFLICT = "conflict"  # an answer to the identifier and not to the message


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """A response to a client, with what it says about the message.

    Attributes:
        status: HTTP status code.
        headers: Header fields without `ANSWER_KIND_HEADER`.
        body: The content.
        kind: What the answer says about the message.
        is_complete: False if only the status and the kind of an earlier answer are still stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kind: AnswerKind = AnswerKind.UNSPECIFIED
    is_complete: bool = True

    def shortened(self) -> ClientAnswer:
        """Return the answer without its content, for when memory for stored answers is short."""
        return ClientAnswer(self.status, (), b"", self.kind, is_complete=False)


def text_answer(status: int, text: str, kind: AnswerKind, retry_after_ms: float | None = None) -> ClientAnswer:
    """Return an answer of one line of plain text, with Retry-After in whole seconds if `retry_after_ms` is given."""
    headers = [("Content-Type", "text/plain; charset=utf-8")]
    if retry_after_ms is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(retry_after_ms / 1000)))))
    return ClientAnswer(status, tuple(headers), (text + "\n").encode(), kind)


def send_answer(request: server.RequestContext, answer: ClientAnswer, close_connection: bool) -> None:
    """Write an answer on the connection of a request."""
    headers = [*answer.headers, (ANSWER_KIND_HEADER, answer.kind)] if answer.kind else answer.headers
    request.reply(answer.status, headers, answer.body, close=close_connection)
