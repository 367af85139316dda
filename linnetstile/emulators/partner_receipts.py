"""The receipts (MDN) of an emulated partner."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from ..codec import as2, cms, mdn
from .faults import FaultKind
from .messages import HeaderField
from .record import now_ms

DEFAULT_DIGEST = "sha-256"
SIGNATURE_DIGESTS = ("sha-256", "sha-384", "sha-512")
OTHER_CONTENT = b"other"  # digested in place of the message for a receipt with a wrong digest


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response before it is written."""

    status: int
    headers: list[HeaderField]
    body: bytes = b""


class ReceiptBuilder:
    """Builds the receipts of one partner."""

    def __init__(self, partner: str, identity: cms.Identity | None, forger: cms.Identity | None) -> None:
        self._partner = partner
        self._identity = identity
        self._forger = forger
        self._serial = itertools.count(1)

    def build(
        self, head: as2.As2Headers, content: bytes | None, is_duplicate: bool, fault: FaultKind | None
    ) -> Response:
        """Build the receipt for a message.

        Args:
            head: The fields of the message.
            content: What the digest is calculated from; None if the message could not be decrypted.
            is_duplicate: Whether it was processed before.
            fault: Kind of the fault that the call meets; some kinds make the receipt invalid.
        """
        micalg = head.receipt_options.micalgs[0] if head.receipt_options.micalgs else DEFAULT_DIGEST
        digested = content if content is not None and fault is not FaultKind.WRONG_MIC else OTHER_CONTENT
        receipt = mdn.Mdn(
            head.message_id,
            head.receiver,
            modifier="warning" if is_duplicate else "",
            detail="duplicate-document" if is_duplicate else "",
            mic=cms.digest(digested, micalg),
            micalg=micalg,
        )
        content_type, body = receipt.encode()
        identity = self._forger if fault is FaultKind.FORGED_RECEIPT else self._identity
        if head.receipt_options.signed and identity is not None:
            entity = f"Content-Type: {content_type}\r\n\r\n".encode() + body
            signature_digest = micalg if micalg in SIGNATURE_DIGESTS else DEFAULT_DIGEST
            content_type, body = cms.sign(entity, identity, signature_digest)
        return Response(200, self._headers(head, content_type), body)

    def _headers(self, head: as2.As2Headers, content_type: str) -> list[HeaderField]:
        return [
            ("Content-Type", content_type),
            ("AS2-Version", "1.2"),
            ("AS2-From", as2.quote_name(head.receiver)),
            ("AS2-To", as2.quote_name(head.sender)),
            ("Message-ID", f"<{int(now_ms())}.{next(self._serial)}@{self._partner}>"),
        ]
