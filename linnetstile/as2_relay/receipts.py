"""Verifies the receipts of partners against their messages, and issues the receipts of the relay."""

from __future__ import annotations

import time

from ..codec import as2, cms, mdn, mime
from ..codec.http1 import Headers
from ..config.relay import RelaySettings
from ..engine.attempt_outcome import ReceiptStatus
from .accepted_message import AcceptedMessage
from .answers import AnswerKind, ClientAnswer

# Header fields of the partner's answer that a client needs to parse and verify the receipt.
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
    """Return an answer with the partner's receipt, unchanged byte for byte."""
    forwarded = tuple((name, value) for name, value in headers if name.lower() in FORWARDED_RECEIPT_HEADERS)
    return ClientAnswer(status, forwarded, body, kind)


class ReceiptVerifier:
    """Verifies receipts with the partners' certificates."""

    def __init__(self, settings: RelaySettings) -> None:
        """Load the certificates of the partners; raises OSError or ValueError."""
        self.accepts_sha1 = settings.receipts_sha1
        self.certificates = {
            name: cms.load_certificate(partner.certificate.read_bytes())
            for name, partner in settings.partners.items()
            if partner.certificate
        }

    def verify(self, message: AcceptedMessage, receipt_headers: Headers, receipt: bytes) -> ReceiptStatus:
        """Return what a receipt proves for a message.

        Args:
            message: The message for which the receipt was received.
            receipt_headers: Header fields of the receipt.
            receipt: Content of the receipt.
        """
        head = message.head
        if not head.receipt_to:
            return ReceiptStatus.NOT_REQUESTED
        try:
            parsed_receipt = self._read_receipt(head, receipt_headers, receipt)
        except cms.CmsError:
            return ReceiptStatus.UNVERIFIED
        except (mime.MimeError, mdn.MdnError):
            return ReceiptStatus.MISSING
        if parsed_receipt is None:
            return ReceiptStatus.UNVERIFIED
        if parsed_receipt.original_message_id != head.message_id:
            return ReceiptStatus.OTHER_MESSAGE
        if not parsed_receipt.is_positive and not parsed_receipt.is_duplicate:
            return ReceiptStatus.NEGATIVE
        if parsed_receipt.is_duplicate and not parsed_receipt.mic:
            return ReceiptStatus.DUPLICATE
        digest_status = self._compare_digest(message, parsed_receipt)
        if parsed_receipt.is_duplicate and digest_status is ReceiptStatus.POSITIVE:
            return ReceiptStatus.DUPLICATE
        return digest_status

    def _read_receipt(self, head: as2.As2Headers, headers: Headers, receipt: bytes) -> mdn.Mdn | None:
        """Parse a receipt and verify its signature; None if a signature was requested and there is none."""
        content_type = headers.get("content-type")
        content = receipt
        if headers.get("content-transfer-encoding"):
            content = mime.decode_body(receipt, headers.get("content-transfer-encoding"))
        has_required_signature = not head.receipt_options.signed
        if mime.parse_content_type(content_type).name == "multipart/signed":
            signed, signature = cms.split_signed(content_type, content)
            certificate = self.certificates.get(head.receiver)
            if certificate is not None:
                cms.verify(signed, signature, certificate, self.accepts_sha1)
            # Without a certificate the relay cannot verify the signature, and leaves that to the client.
            has_required_signature = True
            inner = mime.parse_entity(signed)
            content_type = inner.headers.get("content-type")
            content = inner.decoded_body()
        return mdn.parse(content_type, content) if has_required_signature else None

    @staticmethod
    def _compare_digest(message: AcceptedMessage, parsed_receipt: mdn.Mdn) -> ReceiptStatus:
        """Compare the digest in a receipt with that of the message."""
        headers = message.headers
        try:
            opened, _ = cms.extract_digest_input(
                content_type=headers.get("content-type", "application/octet-stream"),
                encoding=headers.get("content-transfer-encoding"),
                body=message.body,
                key=None,
            )
            if opened is None:  # encrypted and forwarded unchanged: only the client can compare its digest
                return ReceiptStatus.POSITIVE
            if not parsed_receipt.mic:
                # RFC 4130, 7.4.3: a receipt must have a digest if a signed receipt was requested.
                return ReceiptStatus.WRONG_MIC if message.head.receipt_options.signed else ReceiptStatus.POSITIVE
            # The digest of a plain message covers its body without the headers. Some partners include the headers, as
            # the wording of RFC 4130, 7.3.1 is ambiguous.
            return (
                ReceiptStatus.POSITIVE
                if cms.digest(opened, parsed_receipt.micalg) == parsed_receipt.mic
                else ReceiptStatus.WRONG_MIC
            )
        except (mime.MimeError, cms.CmsError):
            return ReceiptStatus.WRONG_MIC


class ReceiptIssuer:
    """Issues the receipts of the relay, signed if the settings name a key."""

    def __init__(self, settings: RelaySettings) -> None:
        """Load the relay's key; raises OSError or ValueError."""
        self.name = settings.identity.as2_name
        pem = settings.identity.pem
        self.identity = cms.load_identity(pem.read_bytes()) if pem else None
        self.issued_count = 0

    def failure(self, head: as2.As2Headers, text: str, kind: AnswerKind = AnswerKind.FAILED) -> ClientAnswer:
        """Return a receipt that reports the failure of a message."""
        detail = text.split("\n")[0][:MAX_FAILURE_DETAIL_CHARS]
        return self._issue(head, mdn.Mdn(head.message_id, head.receiver, "failed", "failure", detail, text=text), kind)

    def repeated(self, head: as2.As2Headers, kind: AnswerKind) -> ClientAnswer:
        """Return a receipt for a repeated message whose original receipt is no longer stored.

        Receipts are discarded when the stored answers exceed `limits.remember_bytes`.
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
