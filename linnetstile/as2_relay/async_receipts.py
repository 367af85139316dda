"""The endpoint `/receipt/TOKEN`, to which partners post asynchronous receipts (RFC 4130, 7.2.1)."""

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
TOKEN_BYTES = 18  # random bytes, so that a receipt URL cannot be guessed
MAX_LOGGED_SENDER_CHARS = 200
# Tenant to which the memory for the bodies of receipts is charged.
RECEIPT_TENANT = "receipts"
# A receipt with one of these statuses does not end its attempt: it may be forged or misdirected because the receipt
# URL leaked, and the genuine receipt may still arrive.
UNTRUSTED_STATUSES = (ReceiptStatus.UNVERIFIED, ReceiptStatus.MISSING, ReceiptStatus.OTHER_MESSAGE)


@dataclass(frozen=True, slots=True)
class PendingReceipt:
    """An attempt whose receipt has not arrived yet."""

    message: AcceptedMessage
    attempt: Attempt


ReceiptHandler = Callable[[AcceptedMessage, Attempt, AttemptObservation, ClientAnswer], None]


class AsyncReceiptEndpoint:
    """Accepts asynchronous receipts; each attempt in flight has its own token in the receipt URL.

    Attributes:
        pending: The attempts whose receipts have not arrived yet, by token.
        base_url: URL of the endpoint up to the token; empty before `set_address`.
    """

    def __init__(
        self,
        context: RelayContext,
        verifier: ReceiptVerifier,
        on_receipt: ReceiptHandler,
        max_receipt_bytes: int,
    ) -> None:
        """Create an endpoint that expects no receipts yet.

        Args:
            context: Shared state of the relay's components.
            verifier: Verifies receipts.
            on_receipt: Called with each receipt that ends its attempt.
            max_receipt_bytes: Maximum size of a receipt; larger ones are not read.
        """
        self.context = context
        self.verifier = verifier
        self.on_receipt = on_receipt
        self.max_receipt_bytes = max_receipt_bytes
        self.pending: dict[str, PendingReceipt] = {}
        self.base_url = ""

    def set_address(self, address: str) -> None:
        """Set the host and port under which partners reach the relay."""
        self.base_url = f"http://{address}{PATH_PREFIX}"

    @staticmethod
    def is_receipt(head: http1.Request) -> bool:
        """Return whether a request is for this endpoint."""
        return head.target.startswith(PATH_PREFIX)

    def expect(self, message: AcceptedMessage, attempt: Attempt) -> str:
        """Start to expect the receipt for an attempt, and return the URL to which the partner is to post it."""
        attempt.receipt_token = secrets.token_urlsafe(TOKEN_BYTES)
        self.pending[attempt.receipt_token] = PendingReceipt(message, attempt)
        return self.base_url + attempt.receipt_token

    def forget(self, attempt: Attempt) -> None:
        """Stop expecting a receipt for an attempt."""
        self.pending.pop(attempt.receipt_token, None)

    def check_head(self, request: server.RequestContext) -> None:
        """Answer before the body is read if the request cannot be the receipt for an attempt in flight."""
        pending_receipt = self.pending.get(request.head.target.removeprefix(PATH_PREFIX))
        if pending_receipt is None or (request.content_length or 0) > self.max_receipt_bytes:
            self.handle(request)
        else:
            head = pending_receipt.message.head
            request.submission = RequestOrigin(
                tenant=RECEIPT_TENANT,
                client=request.connection.host,
                sender="",
                partner=head.receiver,
                message_id=head.message_id,
            )

    def handle(self, request: server.RequestContext) -> None:
        """Answer a receipt, and pass it on if its token belongs to an attempt in flight."""
        pending_receipt = self.pending.get(request.head.target.removeprefix(PATH_PREFIX))
        if request.head.method != "POST" or pending_receipt is None:
            self.context.counts["receipts_without_attempt"] += 1
            self.context.log.warning(
                log_events.RECEIPT_IGNORED,
                why="expected a POST to the receipt URL of an attempt in flight; the receipt may be late or repeated",
                sender=request.head.headers.get("as2-from")[:MAX_LOGGED_SENDER_CHARS],
            )
            # The status is 200 although the receipt is ignored, as a partner would resend it after an error.
            request.reply(200)
            return
        message = pending_receipt.message
        headers = request.head.headers
        status = self.verifier.verify(message, headers, request.body)
        request.reply(200)
        if status in UNTRUSTED_STATUSES:
            self.context.counts["receipts_not_counted"] += 1
            self.context.log.warning(log_events.RECEIPT_IGNORED, message=message.head.message_id, why=status.value)
            return
        observation = AttemptObservation(WireResult.ANSWERED, status=200, receipt=status)
        answer = forwarded_receipt(200, headers, request.body, AnswerKind.UNSPECIFIED)
        self.on_receipt(message, pending_receipt.attempt, observation, answer)
