"""Answers to clients: their kinds, their content, and how they are sent."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..net import server

ANSWER_KIND_HEADER: Final = "Linnetstile-Answer"


class AnswerKind(StrEnum):
    """Outcome of the message that an answer reports; the value is sent in the header field `ANSWER_KIND_HEADER`."""

    UNSPECIFIED = ""  # the response is not about a message: health checks and wrong methods
    DELIVERED = "delivered"
    REJECTED = "rejected"  # by the partner, in a negative receipt
    REFUSED = "refused"  # by this relay: the message had no effect and can safely be submitted again
    FAILED = "failed"  # the message may or may not have taken effect
    CONFLICT = "conflict"  # the Message-ID was submitted before with other content


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """A response to a client, with the outcome of the message that it reports.

    Attributes:
        status: HTTP status code.
        headers: Header fields without `ANSWER_KIND_HEADER`.
        body: The content.
        kind: The reported outcome of the message.
        is_complete: False if header fields and content were discarded, so that only status and kind are left.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kind: AnswerKind = AnswerKind.UNSPECIFIED
    is_complete: bool = True

    def shortened(self) -> ClientAnswer:
        """Return the answer without header fields and content, which reduces the memory for stored answers."""
        return ClientAnswer(self.status, (), b"", self.kind, is_complete=False)


def text_answer(status: int, text: str, kind: AnswerKind, retry_after_ms: float | None = None) -> ClientAnswer:
    """Return an answer with one line of plain text, and Retry-After in whole seconds if `retry_after_ms` is given."""
    headers = [("Content-Type", "text/plain; charset=utf-8")]
    if retry_after_ms is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(retry_after_ms / 1000)))))
    return ClientAnswer(status, tuple(headers), (text + "\n").encode(), kind)


def send_answer(request: server.RequestContext, answer: ClientAnswer, close_connection: bool) -> None:
    """Send an answer on the connection of a request."""
    headers = [*answer.headers, (ANSWER_KIND_HEADER, answer.kind)] if answer.kind else answer.headers
    request.reply(answer.status, headers, answer.body, close=close_connection)
