"""Message disposition notifications: the receipts of AS2 (RFC 8098; RFC 4130, 7.4)."""

from __future__ import annotations

import base64
import re
from dataclasses import dataclass

from . import as2, mime

DISPOSITION = re.compile(r"([\w-]+)/([\w-]+)\s*;\s*([\w-]+)\s*(?:/\s*([\w-]+)\s*(?::\s*(.*))?)?\Z")
MIC = re.compile(r"([A-Za-z0-9+/=]{4,128})\s*,\s*([A-Za-z0-9-]{3,16})\Z")


class MdnError(ValueError):
    """Not a disposition notification that can be read."""


@dataclass(frozen=True, slots=True)
class Mdn:
    """One receipt. `kind` is processed or failed, `modifier` error, warning, failure or empty."""

    original_id: str
    recipient: str
    kind: str = "processed"
    modifier: str = ""
    detail: str = ""
    mic: bytes = b""
    micalg: str = ""
    text: str = ""

    @property
    def positive(self) -> bool:
        return self.kind == "processed" and self.modifier in ("", "warning")

    @property
    def duplicate(self) -> bool:
        return self.modifier in ("warning", "error") and "duplicate-document" in self.detail.lower()

    def build(self) -> tuple[str, bytes]:
        """Content type and body of the multipart/report."""
        disposition = f"automatic-action/MDN-sent-automatically; {self.kind}"
        if self.modifier:
            disposition += f"/{self.modifier}" + (f": {self.detail}" if self.detail else "")
        lines = [
            "Reporting-UA: linnetstile",
            f"Original-Recipient: rfc822; {as2.quoted(self.recipient)}",
            f"Final-Recipient: rfc822; {as2.quoted(self.recipient)}",
            f"Original-Message-ID: {self.original_id}",
            f"Disposition: {disposition}",
        ]
        if self.mic:
            lines.append(f"Received-Content-MIC: {base64.b64encode(self.mic).decode()}, {self.micalg}")
        text = (self.text or "The message was processed.").replace("\n", "\r\n")
        human = b"Content-Type: text/plain; charset=utf-8\r\n\r\n" + text.encode() + b"\r\n"
        machine = ("Content-Type: message/disposition-notification\r\n\r\n" + "\r\n".join(lines) + "\r\n").encode()
        return mime.multipart("report", [human, machine], {"report-type": "disposition-notification"})


def parse(content_type: str, body: bytes) -> Mdn:
    """Reads a multipart/report that holds a disposition notification; raises `MdnError`."""
    try:
        kind = mime.content_type(content_type)
        if kind.name != "multipart/report":
            raise MdnError("not a multipart/report")
        found = [mime.entity(part) for part in mime.parts(body, kind.params.get("boundary", ""))]
        machine = [part for part in found if part.type.name == "message/disposition-notification"]
        if len(machine) != 1:
            raise MdnError("not one message/disposition-notification")
        fields = mime.entity(machine[0].decoded().strip(b"\r\n") + b"\r\n\r\n").headers
        text = found[0].decoded().decode("utf-8", "replace").strip() if found[0] is not machine[0] else ""
        disposition = DISPOSITION.match(fields.get("disposition"))
        if not disposition:
            raise MdnError("no readable Disposition")
        mic = MIC.match(fields.get("received-content-mic"))
        recipient = fields.get("final-recipient").rpartition(";")[2].strip()
        return Mdn(
            as2.message_id(fields.get("original-message-id"), "Original-Message-ID"),
            recipient,
            disposition[3].lower(),
            (disposition[4] or "").lower(),
            (disposition[5] or "").strip(),
            base64.b64decode(mic[1]) if mic else b"",
            mic[2].lower() if mic else "",
            text,
        )
    except (mime.MimeError, as2.As2Error, ValueError) as error:
        raise error if isinstance(error, MdnError) else MdnError(str(error)) from error
