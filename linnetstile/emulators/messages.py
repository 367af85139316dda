"""Builds AS2 messages as a client does, and checks the receipts for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..codec import as2, cms, mdn, mime
from ..codec.http1 import Headers
from ..engine.attempt_outcome import ReceiptStatus

HeaderField = tuple[str, str]  # name, value


@dataclass(frozen=True, slots=True)
class BuiltMessage:
    """A message ready to be posted.

    Attributes:
        head: Its AS2 fields.
        headers: All header fields.
        body: The body of the request.
        digested_content: What the digest in its receipt is calculated from.
    """

    head: as2.As2Headers
    headers: list[HeaderField]
    body: bytes
    digested_content: bytes


class ReceiptCheck(NamedTuple):
    """What a receipt proves, and the receipt itself where one could be read."""

    status: ReceiptStatus
    receipt: mdn.Mdn | None


def _binary_entity(content_type: str, content: bytes) -> bytes:
    return f"Content-Type: {content_type}\r\nContent-Transfer-Encoding: binary\r\n\r\n".encode() + content


@dataclass(slots=True)
class _Layers:
    """The body of a message while layers are wrapped around its content, innermost first.

    Attributes:
        content_type: Media type of the outermost layer so far.
        body: The outermost layer without its MIME headers.
        entity: The outermost layer with its MIME headers, which the next layer encloses.
        digested_content: What the digest in the receipt is calculated from.
        is_plain: Whether the content has no layer around it yet.
    """

    content_type: str
    body: bytes
    entity: bytes
    digested_content: bytes
    is_plain: bool = True

    @classmethod
    def plain(cls, content_type: str, content: bytes) -> _Layers:
        return cls(content_type, content, _binary_entity(content_type, content), content)

    def compress(self) -> None:
        self.is_plain = False
        self.digested_content = self.entity
        self.content_type, self.body = cms.compress(self.entity)
        self.entity = _binary_entity(self.content_type, self.body)

    def sign(self, identity: cms.Identity, micalg: str) -> None:
        self.is_plain = False
        self.digested_content = self.entity
        self.content_type, self.body = cms.sign(self.entity, identity, micalg)
        self.entity = f"Content-Type: {self.content_type}\r\n\r\n".encode() + self.body

    def encrypt(self, certificate: object) -> None:
        if self.is_plain:  # otherwise the digest stays that of the signed or compressed entity
            self.digested_content = self.entity
        self.content_type, self.body = cms.encrypt(self.entity, certificate)  # type: ignore[arg-type]


def build_message(
    sender: str,
    receiver: str,
    message_id: str,
    subject: str,
    content: bytes,
    *,
    content_type: str = "application/edi-x12",
    sign_by: cms.Identity | None = None,
    encrypt_to: object | None = None,
    compress: bool = False,
    receipt: bool = True,
    signed_receipt: bool = True,
    reply_to: str = "",
    micalg: str = "sha-256",
) -> BuiltMessage:
    """Build one message: plain, compressed, signed, encrypted, or a combination of these.

    Compression is applied first, then the signature, then encryption (RFC 5402, 2; RFC 8551, 3.7).

    Args:
        sender: AS2 name of the sender.
        receiver: AS2 name of the partner.
        message_id: The Message-ID, with its angle brackets.
        subject: The Subject.
        content: The business document.
        content_type: Its media type.
        sign_by: Signs the message if given.
        encrypt_to: Certificate to encrypt for, if given.
        compress: Whether to compress.
        receipt: Whether to ask for a receipt.
        signed_receipt: Whether the receipt has to be signed.
        reply_to: URL for an asynchronous receipt; empty = the receipt comes in the response.
        micalg: Digest algorithm of the signature and of the receipt.
    """
    layers = _Layers.plain(content_type, content)
    if compress:
        layers.compress()
    if sign_by is not None:
        layers.sign(sign_by, micalg)
    if encrypt_to is not None:
        layers.encrypt(encrypt_to)
    headers: list[HeaderField] = [
        ("AS2-Version", "1.2"),
        ("AS2-From", as2.quote_name(sender)),
        ("AS2-To", as2.quote_name(receiver)),
        ("Message-ID", message_id),
        ("Subject", subject),
        ("MIME-Version", "1.0"),
        ("Content-Type", layers.content_type),
    ]
    if receipt:
        headers += _receipt_request(sender, micalg if signed_receipt else None)
    if reply_to:
        headers.append(("Receipt-Delivery-Option", reply_to))
    return BuiltMessage(as2.As2Headers.parse(Headers(headers)), headers, layers.body, layers.digested_content)


def _receipt_request(sender: str, receipt_micalg: str | None) -> list[HeaderField]:
    fields = [("Disposition-Notification-To", sender)]
    if receipt_micalg is not None:
        options = f"signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, {receipt_micalg}"
        fields.append(("Disposition-Notification-Options", options))
    return fields


def check_receipt(expected_message: BuiltMessage, headers: Headers, body: bytes, signer: object | None) -> ReceiptCheck:
    """Check what a receipt proves to the client.

    Args:
        expected_message: The message that the receipt should be for.
        headers: The header fields of the answer.
        body: The body of the answer.
        signer: Certificate that should have signed the receipt; None = the signature is not verified.
    """
    content_type = headers.get("content-type")
    content = body
    is_proven = not expected_message.head.receipt_options.signed
    try:
        if mime.parse_content_type(content_type).name == "multipart/signed":
            signed, signature = cms.split_signed(content_type, content)
            if signer is not None:
                cms.verify(signed, signature, signer)  # type: ignore[arg-type]
                is_proven = True
            inner = mime.parse_entity(signed)
            content_type = inner.headers.get("content-type")
            content = inner.decoded_body()
        receipt = mdn.parse(content_type, content)
    except cms.CmsError:
        return ReceiptCheck(ReceiptStatus.UNVERIFIED, None)
    except (mime.MimeError, mdn.MdnError):
        return ReceiptCheck(ReceiptStatus.MISSING, None)
    return ReceiptCheck(_receipt_status(expected_message, receipt, is_proven), receipt)


def _receipt_status(expected_message: BuiltMessage, receipt: mdn.Mdn, is_proven: bool) -> ReceiptStatus:
    if receipt.original_message_id != expected_message.head.message_id:
        return ReceiptStatus.OTHER_MESSAGE
    if not is_proven:
        return ReceiptStatus.UNVERIFIED
    if not receipt.is_positive:
        return ReceiptStatus.NEGATIVE
    if receipt.mic and cms.digest(expected_message.digested_content, receipt.micalg) != receipt.mic:
        return ReceiptStatus.WRONG_MIC
    return ReceiptStatus.POSITIVE
