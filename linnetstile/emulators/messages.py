"""Makes AS2 messages as a client's program would: plain, signed, encrypted, compressed, or a mix."""

from __future__ import annotations

from dataclasses import dataclass

from ..codec import as2, cms, mdn, mime
from ..codec.http1 import Headers
from ..engine.attempt_outcome import ReceiptStatus

Field = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Made:
    """A message ready to be posted, and what its receipt must hold."""

    head: as2.Head
    headers: list[Field]
    body: bytes
    opened: bytes  # what the receipt's digest is over


def make(
    sender: str,
    receiver: str,
    ident: str,
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
) -> Made:
    """One message. Compression goes first, then the signature, then encryption (RFC 5402, 2; RFC 8551, 3.7)."""
    entity = f"Content-Type: {content_type}\r\nContent-Transfer-Encoding: binary\r\n\r\n".encode() + content
    kind, body, opened = content_type, content, content
    if compress:
        kind, body = cms.compress(entity)
        opened = entity
        entity = f"Content-Type: {kind}\r\nContent-Transfer-Encoding: binary\r\n\r\n".encode() + body
    if sign_by is not None:
        opened = entity
        kind, body = cms.sign(entity, sign_by, micalg)
        entity = f"Content-Type: {kind}\r\n\r\n".encode() + body
    if encrypt_to is not None:
        if sign_by is None and not compress:
            opened = entity
        kind, body = cms.encrypt(entity, encrypt_to)  # type: ignore[arg-type]
    headers: list[Field] = [
        ("AS2-Version", "1.2"),
        ("AS2-From", as2.quoted(sender)),
        ("AS2-To", as2.quoted(receiver)),
        ("Message-ID", ident),
        ("Subject", subject),
        ("MIME-Version", "1.0"),
        ("Content-Type", kind),
    ]
    if receipt:
        headers.append(("Disposition-Notification-To", sender))
        if signed_receipt:
            headers.append(
                (
                    "Disposition-Notification-Options",
                    f"signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, {micalg}",
                )
            )
    if reply_to:
        headers.append(("Receipt-Delivery-Option", reply_to))
    return Made(as2.Head.of(Headers(headers)), headers, body, opened)


def check(made: Made, headers: Headers, body: bytes, signer: object | None) -> tuple[ReceiptStatus, mdn.Mdn | None]:
    """What a client's own program finds in a receipt; `signer` is the certificate of who should have signed it."""
    kind, content, proven = headers.get("content-type"), body, not made.head.wish.signed
    try:
        if mime.content_type(kind).name == "multipart/signed":
            signed, signature = cms.signed_content(kind, content)
            if signer is not None:
                cms.verify(signed, signature, signer)  # type: ignore[arg-type]
                proven = True
            inner = mime.entity(signed)
            kind, content = inner.headers.get("content-type"), inner.decoded()
        found = mdn.parse(kind, content)
    except cms.CmsError:
        return ReceiptStatus.UNPROVEN, None
    except (mime.MimeError, mdn.MdnError):
        return ReceiptStatus.MISSING, None
    if found.original_id != made.head.id:
        return ReceiptStatus.OTHER_MESSAGE, found
    if not proven:
        return ReceiptStatus.UNPROVEN, found
    if not found.positive:
        return ReceiptStatus.NEGATIVE, found
    right = not found.mic or cms.digest(made.opened, found.micalg) == found.mic
    return (ReceiptStatus.POSITIVE if right else ReceiptStatus.WRONG_MIC), found
