"""Reads a partner's receipt against the message it is for, and writes the relay's own."""

from __future__ import annotations

import time
from dataclasses import dataclass

from ..codec import as2, cms, mdn, mime
from ..codec.http1 import Headers
from ..config.relay import RelaySettings
from ..engine.attempt_outcome import ReceiptStatus

# Of the partner's answer, what its receipt needs to be read and proven by the client.
HANDED_ON = {
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


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client gets: status, header fields, body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kind: str = ""
    whole: bool = True  # False: that it was given, and which kind it was, is all that is kept


class Receipts:
    def __init__(self, settings: RelaySettings) -> None:
        self.sha1 = settings.receipts_sha1
        self.name = settings.identity.as2_name
        self.certificates = {
            name: cms.load_certificate(partner.certificate.read_bytes())
            for name, partner in settings.partners.items()
            if partner.certificate
        }
        pem = settings.identity.pem
        self.identity = cms.load(pem.read_bytes()) if pem else None
        self.count = 0

    def judge(self, head: as2.Head, sent: Headers, body: bytes, got: Headers, receipt: bytes) -> ReceiptStatus:
        """What a receipt is worth for the message `head` with the fields `sent` and `body`."""
        if not head.notify:
            return ReceiptStatus.NOT_ASKED
        try:
            kind, content = got.get("content-type"), receipt
            if got.get("content-transfer-encoding"):
                content = mime.decode(receipt, got.get("content-transfer-encoding"))
            proven = not head.wish.signed
            if mime.content_type(kind).name == "multipart/signed":
                signed, signature = cms.signed_content(kind, content)
                certificate = self.certificates.get(head.receiver)
                if certificate is not None:
                    cms.verify(signed, signature, certificate, self.sha1)
                    proven = True
                # Without a certificate nothing can be proven here; the client verifies for itself.
                proven = proven or certificate is None
                inner = mime.entity(signed)
                kind, content = inner.headers.get("content-type"), inner.decoded()
            if not proven:
                return ReceiptStatus.UNPROVEN
            found = mdn.parse(kind, content)
        except cms.CmsError:
            return ReceiptStatus.UNPROVEN
        except (mime.MimeError, mdn.MdnError):
            return ReceiptStatus.MISSING
        if found.original_id != head.id:
            return ReceiptStatus.OTHER_MESSAGE
        if not found.positive and not found.duplicate:
            return ReceiptStatus.NEGATIVE
        if found.duplicate and not found.mic:
            return ReceiptStatus.DUPLICATE
        right = self._mic(head, sent, body, found)
        return ReceiptStatus.DUPLICATE if found.duplicate and right is ReceiptStatus.POSITIVE else right

    @staticmethod
    def _mic(head: as2.Head, sent: Headers, body: bytes, found: mdn.Mdn) -> ReceiptStatus:
        try:
            opened, plain = cms.opened(
                sent.get("content-type", "application/octet-stream"), sent.get("content-transfer-encoding"), body, None
            )
            if opened is None:  # encrypted: its digest is the client's to compare, the bytes were not touched
                return ReceiptStatus.POSITIVE
            if not found.mic:
                # RFC 4130, 7.4.3: a digest is due wherever a signed receipt was asked for.
                return ReceiptStatus.WRONG_MIC if head.wish.signed else ReceiptStatus.POSITIVE
            # Some partners digest a plain body with its headers: RFC 4130, 7.3.1 leaves room where it says so.
            return ReceiptStatus.POSITIVE if cms.digest(opened, found.micalg) == found.mic else ReceiptStatus.WRONG_MIC
        except (mime.MimeError, cms.CmsError):
            return ReceiptStatus.WRONG_MIC

    def own(self, head: as2.Head, text: str) -> Answer:
        """The relay's receipt that says failed, signed where it has a key."""
        return self._made(
            head, mdn.Mdn(head.id, head.receiver, "failed", "failure", text.split("\n")[0][:200], text=text)
        )

    def again(self, head: as2.Head, kind: str) -> Answer:
        """What is said of a message whose receipt was given and is not kept any more (limits.remember_bytes)."""
        if kind == "delivered":
            return self._made(
                head,
                mdn.Mdn(
                    head.id,
                    head.receiver,
                    modifier="warning",
                    detail="duplicate-document",
                    text="delivered before; the partner's receipt was given then",
                ),
            )
        return self.own(head, f"{kind} before; the answer was given then")

    def _made(self, head: as2.Head, found: mdn.Mdn) -> Answer:
        kind, body = found.build()
        if self.identity is not None:
            entity = f"Content-Type: {kind}\r\n\r\n".encode() + body
            kind, body = cms.sign(entity, self.identity)
        self.count += 1
        ident = f"<{time.time_ns():x}.{self.count}@{self.name}>".replace(" ", "-")
        return Answer(
            200,
            (
                ("Content-Type", kind),
                ("AS2-Version", "1.2"),
                ("AS2-From", as2.quoted(self.name)),
                ("AS2-To", as2.quoted(head.sender)),
                ("Message-ID", ident),
            ),
            body,
        )

    @staticmethod
    def handed_on(status: int, got: Headers, body: bytes) -> Answer:
        """The partner's own receipt, byte for byte."""
        return Answer(status, tuple((n, v) for n, v in got if n.lower() in HANDED_ON), body)
