"""Handles submissions: each message is accepted and answered once, and a repeated submission gets the same answer."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..codec import as2
from ..engine.deduplication import SubmissionStatus, SubmissionTable
from ..engine.events import Message
from ..engine.routing import Rule
from ..engine.settings import MessageClass
from ..net import server
from ..telemetry import log_events
from .accepted_message import AcceptedMessage
from .admission import AdmissionController, RequestOrigin
from .answers import AnswerKind, ClientAnswer, send_answer, text_answer
from .receipt_delivery import ReceiptDelivery
from .receipts import ReceiptIssuer
from .registry import RegistryClient
from .relay_context import RelayContext
from .shutdown import GracefulShutdown

NO_LIST_RETRY_AFTER_MS = 1000.0
ORDERING_KEY_BYTES = 7  # keeps an ordering key below 2**63

KnownSubmissions = SubmissionTable[AcceptedMessage, ClientAnswer]


@dataclass(slots=True)
class Submission(RequestOrigin):
    """The parsed head of a submission; it is parsed once, before the body is read.

    Attributes:
        head: AS2 fields of the submission.
        rule: The routing rule that the submission matched.
        digest: Digest of the content, which distinguishes a repeat from another message with the same identifier.
    """

    head: as2.As2Headers = field(kw_only=True)
    rule: Rule = field(kw_only=True)
    digest: hashlib.blake2b = field(kw_only=True)


class SubmissionHandler:
    """Accepts messages, and sends exactly one final answer for each."""

    def __init__(
        self,
        context: RelayContext,
        classes: Sequence[MessageClass],
        known: KnownSubmissions,
        admission: AdmissionController,
        registry: RegistryClient,
        receipt_issuer: ReceiptIssuer,
        receipt_delivery: ReceiptDelivery,
        shutdown: GracefulShutdown,
    ) -> None:
        """Create a handler that has accepted no messages yet.

        Args:
            context: Shared state of the relay's components.
            classes: Message classes of the engine.
            known: Identifiers of submitted messages, with their answers.
            admission: Accounts for the memory of requests and messages.
            registry: Provides the listed partners.
            receipt_issuer: Issues the receipt for a repeat whose original answer is no longer stored.
            receipt_delivery: Posts the answers of messages that name a receipt URL.
            shutdown: Tells whether the relay is stopping, and is notified when a message has been answered.
        """
        self.context = context
        self.classes = classes
        self.known = known
        self.admission = admission
        self.registry = registry
        self.receipt_issuer = receipt_issuer
        self.receipt_delivery = receipt_delivery
        self.shutdown = shutdown
        self.latest_id = 0

    def submit(self, request: server.RequestContext, submission: Submission) -> None:
        """Accept a complete submission, answer it as a repeat, or refuse it."""
        head = submission.head
        partner = self.registry.partner_numbers.get(head.receiver)
        digest = submission.digest.digest()
        lookup = self.known.lookup(self.context.now_ms, head.sender, head.message_id, digest)
        status = lookup.status
        known = lookup.submission
        if status is SubmissionStatus.CONFLICT:
            text = "conflict: this Message-ID was handed in before with other content"
            self.refuse(request, 409, text, head.message_id, kind=AnswerKind.CONFLICT)
        elif status is SubmissionStatus.OPEN and known is not None and known.message is not None:
            self.context.log.info(log_events.DUPLICATE_SUBMISSION, message=head.message_id, open=True)
            self._wait_for_answer(known.message, request)
        elif status is SubmissionStatus.ANSWERED and known is not None and known.answer is not None:
            self.context.log.info(
                log_events.DUPLICATE_SUBMISSION, message=head.message_id, open=False, answer=known.answer.kind
            )
            self._repeat_answer(head, request, known.answer)
        elif partner is not None:
            self._accept(request, submission, partner, digest)
        elif self.registry.version < 0:
            text = "refused: the list of partners has not been read yet"
            self.refuse(request, 503, text, head.message_id, NO_LIST_RETRY_AFTER_MS)
        else:
            self.refuse(request, 404, f"refused: no partner {head.receiver} is listed", head.message_id)

    def refuse(
        self,
        request: server.RequestContext,
        status: int,
        text: str,
        message_id: str,
        retry_after_ms: float | None = None,
        kind: AnswerKind = AnswerKind.REFUSED,
    ) -> None:
        """Answer a submission that is not accepted, and log the reason."""
        self.context.counts["refused_at_door"] += 1
        self.context.log.info(log_events.MESSAGE_REJECTED, message=message_id, status=status, why=text)
        self._send(request, text_answer(status, text, kind, retry_after_ms))

    def _send(self, request: server.RequestContext, answer: ClientAnswer) -> None:
        send_answer(request, answer, self.shutdown.has_started)

    def _accept(self, request: server.RequestContext, submission: Submission, partner: int, digest: bytes) -> None:
        """Accept a message, which guarantees it a final answer, and pass it to the engine."""
        head = submission.head
        rule = submission.rule
        message_class = self.classes[rule.class_index]
        self.latest_id += 1
        message = AcceptedMessage(
            id=self.latest_id,
            head=head,
            headers=request.head.headers,
            body=request.body,
            deadline_ms=request.started_at * 1000 + message_class.deadline_ms,
            reservation=self.admission.take_reservation(request),
        )
        self.context.accepted[message.id] = message
        self.known.start(head.sender, head.message_id, digest, message)
        self.context.counts["taken"] += 1
        self.context.log.info(
            log_events.MESSAGE_ACCEPTED,
            message=head.message_id,
            sender=head.sender,
            partner=head.receiver,
            message_class=message_class.name,
        )
        self._wait_for_answer(message, request)
        self._post_to_engine(message, rule, partner)

    def _post_to_engine(self, message: AcceptedMessage, rule: Rule, partner: int) -> None:
        in_order = self.classes[rule.class_index].in_order
        self.context.post_event(
            Message(
                id=message.id,
                destination=partner,
                class_index=rule.class_index,
                remaining_ms=max(0.0, message.deadline_ms - self.context.now_ms),
                tenant=rule.tenant,
                ordering_key=_ordering_key(message.head) if in_order else 0,
            )
        )

    def _wait_for_answer(self, message: AcceptedMessage, request: server.RequestContext) -> None:
        """Arrange for the message's final answer to be sent on the connection of a request, or to the receipt URL."""
        request.body = b""  # the message holds the only copy
        if request.reservation is not None:
            self.admission.request_ended(request)
        if not message.head.async_receipt_url:
            message.waiting_requests.append(request)
        else:
            request.reply(202, [("Content-Type", "text/plain")], b"taken; the receipt follows\n")

    def _repeat_answer(self, head: as2.As2Headers, request: server.RequestContext, answer: ClientAnswer) -> None:
        """Send the stored final answer of a message to a client that submits it again."""
        if not answer.is_complete:
            repeated = self.receipt_issuer.repeated(head, answer.kind)
            answer = ClientAnswer(answer.status, repeated.headers, repeated.body, answer.kind)
        if not head.async_receipt_url:
            self._send(request, answer)
            return
        request.reply(202, [("Content-Type", "text/plain")], b"taken before; the receipt follows\n")
        self.receipt_delivery.deliver(head, answer)

    def complete(self, message: AcceptedMessage, answer: ClientAnswer) -> None:
        """Send the final answer of a message to all waiting requests, and to its receipt URL if it names one."""
        head = message.head
        del self.context.accepted[message.id]
        self.admission.release(message.reservation)
        if answer.kind is AnswerKind.REFUSED:
            self.known.forget_rejected(head.sender, head.message_id)
        else:
            self.known.complete(self.context.now_ms, head.sender, head.message_id, answer)
        self.context.counts[answer.kind.value] += 1
        self.context.log.info(
            log_events.MESSAGE_ANSWERED,
            message=head.message_id,
            answer=answer.kind,
            attempts=message.attempt_count,
            left_ms=round(message.deadline_ms - self.context.now_ms),
        )
        for request in message.waiting_requests:
            self._send(request, answer)
        if head.async_receipt_url:
            self.receipt_delivery.deliver(head, answer)
        self.shutdown.check_progress()


def _ordering_key(head: as2.As2Headers) -> int:
    """Return the ordering key shared by all messages from one sender to one receiver; never 0, which means no key."""
    pair = f"{head.sender}\0{head.receiver}".encode()
    return int.from_bytes(hashlib.blake2b(pair, digest_size=ORDERING_KEY_BYTES).digest(), "big") + 1
