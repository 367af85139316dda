"""Builds AS2 messages as a client's program would, and checks the receipts for them."""

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
        opened: The content that the digest in its receipt is over.
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
    """Build one message: plain, compressed, signed, encrypted, or a mix.

    Compression goes first, then the signature, then encryption (RFC 5402, 2; RFC 8551, 3.7).

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
        signed_receipt: Whether it has to be signed.
        reply_to: URL for an asynchronous receipt; empty = on the connection.
        micalg: Digest algorithm of the signature and of the receipt.
    """
    entity = _binary_entity(content_type, content)
    body_type, body, opened = content_type, content, content
    if compress:
        body_type, body = cms.compress(entity)
        opened = entity
        entity = _binary_entity(body_type, body)
    if sign_by is not None:
        opened = entity
        body_type, body = cms.sign(entity, sign_by, micalg)
        entity = f"Content-Type: {body_type}\r\n\r\n".encode() + body
    if encrypt_to is not None:
        if sign_by is None and not compress:
            opened = entity
        body_type, body = cms.encrypt(entity, encrypt_to)  # type: ignore[arg-type]
    headers: list[HeaderField] = [
        ("AS2-Version", "1.2"),
        ("AS2-From", as2.quote_name(sender)),
        ("AS2-To", as2.quote_name(receiver)),
        ("Message-ID", message_id),
        ("Subject", subject),
        ("MIME-Version", "1.0"),
        ("Content-Type", body_type),
    ]
    if receipt:
        headers += _receipt_request(sender, micalg if signed_receipt else None)
    if reply_to:
        headers.append(("Receipt-Delivery-Option", reply_to))
    return BuiltMessage(as2.As2Headers.parse(Headers(headers)), headers, body, opened)


def _receipt_request(sender: str, signed_with: str | None) -> list[HeaderField]:
    fields = [("Disposition-Notification-To", sender)]
    if signed_with is not None:
        options = f"signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, {signed_with}"
        fields.append(("Disposition-Notification-Options", options))
    return fields


def check_receipt(made: BuiltMessage, headers: Headers, body: bytes, signer: object | None) -> ReceiptCheck:
    """Find out what a receipt proves to the program of the client.

    Args:
        made: The message that it should be for.
        headers: The header fields of the answer.
        body: The body of the answer.
        signer: The certificate of who should have signed it.
    """
    content_type, content, proven = headers.get("content-type"), body, not made.head.receipt_options.signed
    try:
        if mime.parse_content_type(content_type).name == "multipart/signed":
            signed, signature = cms.split_signed(content_type, content)
            if signer is not None:
                cms.verify(signed, signature, signer)  # type: ignore[arg-type]
                proven = True
            inner = mime.parse_entity(signed)
            content_type, content = inner.headers.get("content-type"), inner.decoded_body()
        receipt = mdn.parse(content_type, content)
    except cms.CmsError:
        return ReceiptCheck(ReceiptStatus.UNVERIFIED, None)
    except (mime.MimeError, mdn.MdnError):
        return ReceiptCheck(ReceiptStatus.MISSING, None)
    return ReceiptCheck(_receipt_status(made, receipt, proven), receipt)


def _receipt_status(made: BuiltMessage, receipt: mdn.Mdn, proven: bool) -> ReceiptStatus:
    if receipt.original_message_id != made.head.message_id:
        return ReceiptStatus.OTHER_MESSAGE
    if not proven:
        return ReceiptStatus.UNVERIFIED
    if not receipt.is_positive:
        return ReceiptStatus.NEGATIVE
    if receipt.mic and cms.digest(made.digested_content, receipt.micalg) != receipt.mic:
        return ReceiptStatus.WRONG_MIC
    return ReceiptStatus.POSITIVE
