"""The endpoint `/receipt/TOKEN`, where partners send receipts on a connection of their own (RFC 4130, 7.2.1)."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass

from ..codec import http1
from ..engine.attempt_outcome import AttemptObservation, ReceiptStatus, WireResult
from ..net import server
from ..telemetry import log_events
from .accepted_message import AcceptedMessage, Attempt
from .admission import RequestOrigin
from .answers import AnswerKind, ClientAnswer
from .receipts import ReceiptVerifier, forwarded_receipt
from .relay_context import RelayContext

PATH_PREFIX = "/receipt/"
TOKEN_BYTES = 18  # random bytes: an address that cannot be guessed
MAX_LOGGED_SENDER_CHARS = 200
# The tenant under which the bodies of receipts take memory.
RECEIPT_TENANT = "receipts"
# A receipt of these does not end its attempt: it is forged or misdirected, as the address may have leaked, and the
# true receipt may still come.
UNTRUSTED_STATUSES = (ReceiptStatus.UNVERIFIED, ReceiptStatus.MISSING, ReceiptStatus.OTHER_MESSAGE)


@dataclass(frozen=True, slots=True)
class PendingReceipt:
    """An attempt whose receipt is to come."""

    message: AcceptedMessage
    attempt: Attempt


ReceiptHandler = Callable[[AcceptedMessage, Attempt, AttemptObservation, ClientAnswer], None]


class AsyncReceiptEndpoint:
    """Accepts receipts for the attempts in flight, each under a token of its own.

    Attributes:
        pending: The attempts whose receipts are to come, by token.
        base_url: URL of the endpoint up to the token; empty before `set_address`.
    """

    def __init__(
        self,
        context: RelayContext,
        verifier: ReceiptVerifier,
        on_receipt: ReceiptHandler,
        max_receipt_bytes: int,
    ) -> None:
        """Expect no receipts yet.

        Args:
            context: What all parts of the relay share.
            verifier: Verifies receipts.
            on_receipt: Takes each receipt that ends its attempt.
            max_receipt_bytes: Size beyond which a receipt is not read.
        """
        self.context = context
        self.verifier = verifier
        self.on_receipt = on_receipt
        self.max_receipt_bytes = max_receipt_bytes
        self.pending: dict[str, PendingReceipt] = {}
        self.base_url = ""

    def set_address(self, address: str) -> None:
        """Take the relay's address, under which partners reach the endpoint."""
        self.base_url = f"http://{address}{PATH_PREFIX}"

    @staticmethod
    def is_receipt(head: http1.Request) -> bool:
        """Whether a request is for this endpoint."""
        return head.target.startswith(PATH_PREFIX)

    def expect(self, message: AcceptedMessage, attempt: Attempt) -> str:
        """Return the URL to which the receipt for an attempt is to be sent."""
        attempt.receipt_token = secrets.token_urlsafe(TOKEN_BYTES)
        self.pending[attempt.receipt_token] = PendingReceipt(message, attempt)
        return self.base_url + attempt.receipt_token

    def forget(self, attempt: Attempt) -> None:
        """Expect no receipt for an attempt any more."""
        self.pending.pop(attempt.receipt_token, None)

    def check_head(self, request: server.RequestContext) -> None:
        """Before the body is read: answer what cannot be the receipt of an attempt in flight."""
        found = self.pending.get(request.head.target.removeprefix(PATH_PREFIX))
        if found is None or (request.content_length or 0) > self.max_receipt_bytes:
            self.handle(request)
        else:
            head = found.message.head
            request.submission = RequestOrigin(
                tenant=RECEIPT_TENANT,
                client=request.connection.host,
                sender="",
                partner=head.receiver,
                message_id=head.message_id,
            )

    def handle(self, request: server.RequestContext) -> None:
        """Answer a receipt; it counts for the attempt whose address it was sent to, while that is in flight."""
        found = self.pending.get(request.head.target.removeprefix(PATH_PREFIX))
        if request.head.method != "POST" or found is None:
            self.context.counts["receipts_without_attempt"] += 1
            self.context.log.warning(
                log_events.RECEIPT_IGNORED,
                why="late, repeated or unknown receipt address",
                sender=request.head.headers.get("as2-from")[:MAX_LOGGED_SENDER_CHARS],
            )
            # Still 200: it was read, and a partner that gets an error would only send it again.
            request.reply(200)
            return
        message = found.message
        headers = request.head.headers
        status = self.verifier.verify(message, headers, request.body)
        request.reply(200)
        if status in UNTRUSTED_STATUSES:
            self.context.counts["receipts_not_counted"] += 1
            self.context.log.warning(log_events.RECEIPT_IGNORED, message=message.head.message_id, why=status.value)
            return
        observation = AttemptObservation(WireResult.ANSWERED, status=200, receipt=status)
        answer = forwarded_receipt(200, headers, request.body, AnswerKind.UNSPECIFIED)
        self.on_receipt(message, found.attempt, observation, answer)
