"""Handles all requests on the relay's listener, and checks the heads of submissions before their bodies are read."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from ..codec import as2, http1
from ..config.relay import RelaySettings, require_loopback_url
from ..engine.routing import Router, Rule
from ..engine.settings import MessageClass
from ..net import server
from .answers import AnswerKind, ClientAnswer, text_answer
from .async_receipts import AsyncReceiptEndpoint
from .gossip_service import GossipService
from .registry import RegistryClient
from .shutdown import GracefulShutdown
from .submissions import Submission, SubmissionHandler

DIGEST_BYTES = 16
MAX_LOGGED_ID_CHARS = 200
GOSSIP_PATHS = ("/knowledge", "/knowledge/state")
HEALTH_PATH = "/health"
STOPPING_TEXT = "refused: this relay is stopping; try another"
STOPPING_RETRY_AFTER_MS = 1000.0


class Intake:
    """Routes requests to their handlers: submissions, receipts of partners, gossip and health checks."""

    def __init__(
        self,
        settings: RelaySettings,
        classes: Sequence[MessageClass],
        submissions: SubmissionHandler,
        receipt_endpoint: AsyncReceiptEndpoint,
        gossip: GossipService,
        registry: RegistryClient,
        shutdown: GracefulShutdown,
    ) -> None:
        """Create an intake that passes requests on to these components.

        Args:
            settings: Settings of the relay.
            classes: Message classes of the engine.
            submissions: Handles submissions whose body is complete.
            receipt_endpoint: Handles the asynchronous receipts of partners.
            gossip: Answers the gossip requests of other relays.
            registry: Tells whether an endpoint list has been received.
            shutdown: Tells whether the relay is stopping.
        """
        self.tenants = list(settings.tenants)
        self.router = Router(settings.routing_rules())
        self.classes = classes
        self.submissions = submissions
        self.receipt_endpoint = receipt_endpoint
        self.gossip = gossip
        self.registry = registry
        self.shutdown = shutdown

    def on_head(self, request: server.RequestContext) -> None:
        """Answer before the body is read if the head is sufficient; otherwise prepare the body to be read."""
        if self.receipt_endpoint.is_receipt(request.head):
            self.receipt_endpoint.check_head(request)
            return
        path = request.head.target.partition("?")[0]
        if path in GOSSIP_PATHS and request.head.method == "GET":
            self.gossip.serve(request)
        elif request.head.method != "POST":
            answer = self._health(request.head)
            if answer is None:
                answer = text_answer(405, "messages are handed in by POST", AnswerKind.UNSPECIFIED)
            request.reply(answer.status, answer.headers, answer.body)
        elif self.shutdown.has_started:
            self.submissions.refuse(request, 503, STOPPING_TEXT, "", STOPPING_RETRY_AFTER_MS)
        else:
            self._classify(request)

    def _health(self, head: http1.Request) -> ClientAnswer | None:
        """Return the answer to a health check, or None if the request is not a health check."""
        if head.method not in ("GET", "HEAD") or head.target != HEALTH_PATH:
            return None
        if self.shutdown.has_started:
            return text_answer(503, "draining", AnswerKind.UNSPECIFIED)
        has_list = self.registry.version >= 0
        text = "ready" if has_list else "starting: no list of endpoints yet"
        return text_answer(200, text, AnswerKind.UNSPECIFIED)

    def _classify(self, request: server.RequestContext) -> None:
        """Determine the tenant, class and client of a submission, before memory is reserved for its body."""
        headers = request.head.headers
        head = self._read_head(request)
        if head is None:
            return
        rule = self.router.match(head.sender, head.receiver, head.subject, headers.get("content-type"))
        if rule is None:
            text = f"refused: no rule takes a message from {head.sender} to {head.receiver} of this subject and type"
            self.submissions.refuse(request, 403, text, head.message_id)
            return
        # The deadline counts from the first byte of the request: a body that is complete only after the deadline
        # cannot be delivered in time.
        request.body_deadline = request.started_at + self.classes[rule.class_index].deadline_ms / 1000
        submission = self._make_submission(request, head, rule)
        request.submission = submission
        request.on_body_data = submission.digest.update  # in pieces: hashing 200 MB at once blocks the event loop

    def _read_head(self, request: server.RequestContext) -> as2.As2Headers | None:
        """Parse the AS2 fields; if they are invalid, refuse the submission and return None."""
        headers = request.head.headers
        try:
            head = as2.As2Headers.parse(headers)
            if head.async_receipt_url:
                require_loopback_url(head.async_receipt_url)
            return head
        except as2.As2Error as error:
            text = f"refused: {error}"
        except ValueError as error:
            text = f"refused: Receipt-Delivery-Option: {error}"
        message_id = headers.get("message-id")[:MAX_LOGGED_ID_CHARS]
        self.submissions.refuse(request, 400, text, message_id)
        return None

    def _make_submission(self, request: server.RequestContext, head: as2.As2Headers, rule: Rule) -> Submission:
        connection = request.connection
        certificate_name = connection.tls.peer_subject() if connection.tls else ""
        content_type = request.head.headers.get("content-type")
        content_key = content_type.encode() + b"\0" + head.receiver.encode() + b"\0"
        return Submission(
            tenant=self.tenants[rule.tenant] if rule.tenant < len(self.tenants) else "",
            client=certificate_name or connection.host,
            sender=head.sender,
            partner=head.receiver,
            message_id=head.message_id,
            head=head,
            rule=rule,
            digest=hashlib.blake2b(content_key, digest_size=DIGEST_BYTES),
        )

    def on_request(self, request: server.RequestContext) -> None:
        """Handle a request whose body is complete."""
        if request.answered:
            return
        if self.receipt_endpoint.is_receipt(request.head):
            self.receipt_endpoint.handle(request)
            return
        submission = request.submission
        assert isinstance(submission, Submission)
        self.submissions.submit(request, submission)
