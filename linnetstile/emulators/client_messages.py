"""The messages of the client emulator: how they are built, their state, and what their receipts prove."""

from __future__ import annotations

from dataclasses import dataclass

from ..codec import cms, http1
from . import messages
from .client_script import PlannedMessage
from .client_settings import ClientSpec

CONTENT_UNIT_BYTES = 15
RELAY_ANSWERS = ("failed", "refused")  # kinds of answer that the relay signs itself
NO_RECEIPT = "none"


@dataclass(slots=True, eq=False)
class OpenMessage:
    """A message from its first submission to its final answer.

    Attributes:
        plan: The message as drawn.
        content: The message as built.
        created_ms: When it was first submitted.
        submissions: Submissions that may have reached a relay, not counting scripted repeats.
        relay: Number of the relay that it was last submitted to.
        is_done: Whether it has its final answer or will not be retried.
    """

    plan: PlannedMessage
    content: messages.BuiltMessage
    created_ms: float
    submissions: int = 0
    relay: int = -1
    is_done: bool = False

    @property
    def message_id(self) -> str:
        """The Message-ID."""
        return self.content.head.message_id

    @property
    def latest_submission(self) -> str:
        """The identifier of its latest submission."""
        return f"{self.plan.number}.{self.submissions}"


@dataclass(frozen=True, slots=True)
class Submission:
    """One submission of a message: to which relay, under which identifier, and whether it is the scripted repeat."""

    message: OpenMessage
    relay: int
    identifier: str
    is_repeat: bool


class MessageBuilder:
    """Builds messages with the keys of their senders, and checks receipts with the certificates of their signers."""

    def __init__(self, spec: ClientSpec, run_tag: str) -> None:
        self._spec = spec
        self._run_tag = run_tag
        self._identities = {name: cms.load_identity(path.read_bytes()) for name, path in spec.senders_pem.items()}
        self._partners = {name: cms.load_certificate(path.read_bytes()) for name, path in spec.partners_pem.items()}
        self._relay = cms.load_certificate(spec.relay_pem.read_bytes()) if spec.relay_pem else None

    def build(self, plan: PlannedMessage, receipt_port: int) -> messages.BuiltMessage:
        """Build a message; an asynchronous receipt is requested at `receipt_port` on loopback."""
        flow = plan.flow
        content_unit = f"ISA*{plan.number:010d}*".encode()
        return messages.build_message(
            flow.sender,
            flow.receiver,
            f"<{plan.number}.{self._run_tag}@{flow.sender}>",
            flow.subject,
            content_unit * (self._spec.bytes // CONTENT_UNIT_BYTES + 1),
            sign_by=self._identities.get(flow.sender) if plan.signed else None,
            compress=plan.compressed,
            receipt=plan.receipt,
            reply_to=f"http://127.0.0.1:{receipt_port}/r/{plan.number}" if plan.asynchronous else "",
        )

    def receipt_status(self, message: OpenMessage, kind: str, status: int, headers: http1.Headers, body: bytes) -> str:
        """Return what the receipt in a final answer proves, in the form that the traffic record stores.

        Args:
            message: The message that was answered.
            kind: The kind of the answer.
            status: Its HTTP status.
            headers: Its header fields.
            body: Its body.
        """
        if status != 200 or not message.plan.receipt:
            return NO_RECEIPT
        signer = self._relay if kind in RELAY_ANSWERS else self._partners.get(message.plan.flow.receiver)
        return messages.check_receipt(message.content, headers, body, signer).status.value
