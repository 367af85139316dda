"""Verifies the receipts of partners against the messages they are for, and issues the relay's own."""

from __future__ import annotations

import time

from ..codec import as2, cms, mdn, mime
from ..codec.http1 import Headers
from ..config.relay import RelaySettings
from ..engine.attempt_outcome import ReceiptStatus
from .accepted_message import AcceptedMessage
from .answers import AnswerKind, ClientAnswer

# Of the partner's answer, what a client needs to read its receipt and to verify it.
FORWARDED_RECEIPT_HEADERS = {
    "content-type",
    "content-transfer-encoding",
    "message-id",
    "as2-from",
    "as2-to",
    "as2-version",
    "date",
    "subject",
    "mime-version",
    "ediint-features",
}
MAX_FAILURE_DETAIL_CHARS = 200


def forwarded_receipt(status: int, headers: Headers, body: bytes, kind: AnswerKind) -> ClientAnswer:
    """Return the answer that carries the partner's own receipt, byte for byte."""
    forwarded = tuple((name, value) for name, value in headers if name.lower() in FORWARDED_RECEIPT_HEADERS)
    return ClientAnswer(status, forwarded, body, kind)


class ReceiptVerifier:
    """Verifies receipts with the partners' certificates."""

    def __init__(self, settings: RelaySettings) -> None:
        """Load the certificates; raises OSError or ValueError."""
        self.accepts_sha1 = settings.receipts_sha1
        self.certificates = {
            name: cms.load_certificate(partner.certificate.read_bytes())
            for name, partner in settings.partners.items()
            if partner.certificate
        }

    def verify(self, message: AcceptedMessage, receipt_headers: Headers, receipt: bytes) -> ReceiptStatus:
        """Return what a receipt proves for a message.

        Args:
            message: The message that the receipt came for.
            receipt_headers: Header fields that came with the receipt.
            receipt: Content of the receipt.
        """
        head = message.head
        if not head.receipt_to:
            return ReceiptStatus.NOT_REQUESTED
        try:
            found = self._read_proven(head, receipt_headers, receipt)
        except cms.CmsError:
            return ReceiptStatus.UNVERIFIED
        except (mime.MimeError, mdn.MdnError):
            return ReceiptStatus.MISSING
        if found is None:
            return ReceiptStatus.UNVERIFIED
        if found.original_message_id != head.message_id:
            return ReceiptStatus.OTHER_MESSAGE
        if not found.is_positive and not found.is_duplicate:
            return ReceiptStatus.NEGATIVE
        if found.is_duplicate and not found.mic:
            return ReceiptStatus.DUPLICATE
        digest_status = self._compare_digest(message, found)
        if found.is_duplicate and digest_status is ReceiptStatus.POSITIVE:
            return ReceiptStatus.DUPLICATE
        return digest_status

    def _read_proven(self, head: as2.As2Headers, headers: Headers, receipt: bytes) -> mdn.Mdn | None:
        """Read a receipt; None if a signature was asked for and there is none."""
        content_type = headers.get("content-type")
        content = receipt
        if headers.get("content-transfer-encoding"):
            content = mime.decode_body(receipt, headers.get("content-transfer-encoding"))
        is_proven = not head.receipt_options.signed
        if mime.parse_content_type(content_type).name == "multipart/signed":
            signed, signature = cms.split_signed(content_type, content)
            certificate = self.certificates.get(head.receiver)
            if certificate is not None:
                cms.verify(signed, signature, certificate, self.accepts_sha1)
            # Without a certificate nothing can be proven here; the client verifies for itself.
            is_proven = True
            inner = mime.parse_entity(signed)
            content_type = inner.headers.get("content-type")
            content = inner.decoded_body()
        return mdn.parse(content_type, content) if is_proven else None

    @staticmethod
    def _compare_digest(message: AcceptedMessage, found: mdn.Mdn) -> ReceiptStatus:
        """Compare the digest in a receipt with that of the message."""
        headers = message.headers
        try:
            opened, _ = cms.open_layers(
                content_type=headers.get("content-type", "application/octet-stream"),
                encoding=headers.get("content-transfer-encoding"),
                body=message.body,
                key=None,
            )
            if opened is None:  # encrypted: its digest is the client's to compare, the bytes were not touched
                return ReceiptStatus.POSITIVE
            if not found.mic:
                # RFC 4130, 7.4.3: a digest is due wherever a signed receipt was asked for.
                return ReceiptStatus.WRONG_MIC if message.head.receipt_options.signed else ReceiptStatus.POSITIVE
            # Some partners digest a plain body with its headers: RFC 4130, 7.3.1 leaves room where it says so.
            return ReceiptStatus.POSITIVE if cms.digest(opened, found.micalg) == found.mic else ReceiptStatus.WRONG_MIC
        except (mime.MimeError, cms.CmsError):
            return ReceiptStatus.WRONG_MIC


class ReceiptIssuer:
    """Issues the relay's own receipts, signed if it has a key."""

    def __init__(self, settings: RelaySettings) -> None:
        """Load the relay's key; raises OSError or ValueError."""
        self.name = settings.identity.as2_name
        pem = settings.identity.pem
        self.identity = cms.load_identity(pem.read_bytes()) if pem else None
        self.issued_count = 0

    def failure(self, head: as2.As2Headers, text: str, kind: AnswerKind = AnswerKind.FAILED) -> ClientAnswer:
        """Return a receipt that says that the message failed."""
        detail = text.split("\n")[0][:MAX_FAILURE_DETAIL_CHARS]
        return self._issue(head, mdn.Mdn(head.message_id, head.receiver, "failed", "failure", detail, text=text), kind)

    def repeated(self, head: as2.As2Headers, kind: AnswerKind) -> ClientAnswer:
        """Return a receipt for a message whose original receipt is not stored any more.

        That happens when stored answers take more than `limits.remember_bytes`.
        """
        if kind is not AnswerKind.DELIVERED:
            return self.failure(head, f"{kind} before; the answer was given then", kind)
        receipt = mdn.Mdn(
            head.message_id,
            head.receiver,
            modifier="warning",
            detail="duplicate-document",
            text="delivered before; the partner's receipt was given then",
        )
        return self._issue(head, receipt, kind)

    def _issue(self, head: as2.As2Headers, receipt: mdn.Mdn, kind: AnswerKind) -> ClientAnswer:
        content_type, body = receipt.encode()
        if self.identity is not None:
            entity = f"Content-Type: {content_type}\r\n\r\n".encode() + body
            content_type, body = cms.sign(entity, self.identity)
        self.issued_count += 1
        message_id = f"<{time.time_ns():x}.{self.issued_count}@{self.name}>".replace(" ", "-")
        headers = (
            ("Content-Type", content_type),
            ("AS2-Version", "1.2"),
            ("AS2-From", as2.quote_name(self.name)),
            ("AS2-To", as2.quote_name(head.sender)),
            ("Message-ID", message_id),
        )
        return ClientAnswer(200, headers, body, kind)
