"""Message disposition notifications: the receipts of AS2 (RFC 8098; RFC 4130, 7.4)."""

from __future__ import annotations

import base64
import re
from dataclasses import dataclass

from ..errors import LinnetstileError, ProtocolError
from . import as2, mime
from .headers import Headers

DISPOSITION = re.compile(r"([\w-]+)/([\w-]+)\s*;\s*([\w-]+)\s*(?:/\s*([\w-]+)\s*(?::\s*(.*))?)?\Z")
RECEIVED_MIC = re.compile(r"([A-Za-z0-9+/=]{4,128})\s*,\s*([A-Za-z0-9-]{3,16})\Z")
DEFAULT_TEXT = "The message was processed."


class MdnError(ProtocolError):
    """The input is not a disposition notification, or can't be read."""


@dataclass(frozen=True, slots=True)
class Mdn:
    """The receipt for one message.

    Attributes:
        original_message_id: Message-ID of the message that was received.
        recipient: AS2 name of the receiver of that message, as it is in the field.
        disposition_type: `processed` or `failed`.
        modifier: `error`, `warning`, `failure` or empty.
        detail: The detail of the modifier, such as `authentication-failed`.
        mic: Digest of the received content; empty if there is none.
        micalg: Algorithm of the digest, in lower case.
        text: Explanation for human readers.
    """

    original_message_id: str
    recipient: str
    disposition_type: str = "processed"
    modifier: str = ""
    detail: str = ""
    mic: bytes = b""
    micalg: str = ""
    text: str = ""

    @property
    def is_positive(self) -> bool:
        """Whether the message was processed."""
        return self.disposition_type == "processed" and self.modifier in ("", "warning")

    @property
    def is_duplicate(self) -> bool:
        """Whether the receiver reports that it already had the message (RFC 4130, 7.5.4)."""
        return self.modifier in ("warning", "error") and "duplicate-document" in self.detail.lower()

    def encode(self) -> mime.EncodedEntity:
        """Encode the receipt as a multipart/report."""
        text = (self.text or DEFAULT_TEXT).replace("\n", "\r\n")
        human_part = b"Content-Type: text/plain; charset=utf-8\r\n\r\n" + text.encode() + b"\r\n"
        machine_head = "Content-Type: message/disposition-notification\r\n\r\n"
        machine_part = (machine_head + "\r\n".join(self._field_lines()) + "\r\n").encode()
        return mime.encode_multipart("report", [human_part, machine_part], {"report-type": "disposition-notification"})

    def _field_lines(self) -> list[str]:
        recipient = as2.quote_name(self.recipient)
        lines = [
            "Reporting-UA: linnetstile",
            f"Original-Recipient: rfc822; {recipient}",
            f"Final-Recipient: rfc822; {recipient}",
            f"Original-Message-ID: {self.original_message_id}",
            f"Disposition: {self._disposition()}",
        ]
        if self.mic:
            lines.append(f"Received-Content-MIC: {base64.b64encode(self.mic).decode()}, {self.micalg}")
        return lines

    def _disposition(self) -> str:
        disposition = f"automatic-action/MDN-sent-automatically; {self.disposition_type}"
        if self.modifier:
            disposition += f"/{self.modifier}"
            if self.detail:
                disposition += f": {self.detail}"
        return disposition


def parse(content_type: str, body: bytes) -> Mdn:
    """Parse a multipart/report that contains a disposition notification.

    Raises:
        MdnError: The body is not such a report, or can't be read.
    """
    try:
        return _parse_report(content_type, body)
    except MdnError:
        raise
    except LinnetstileError as error:
        raise MdnError(str(error), field=error.field, expected=error.expected, found=error.found) from error
    except ValueError as error:
        raise MdnError(str(error)) from error


def _parse_report(content_type: str, body: bytes) -> Mdn:
    media_type = mime.parse_content_type(content_type)
    if media_type.name != "multipart/report":
        raise MdnError(
            "not a multipart/report", field="Content-Type", expected="multipart/report", found=media_type.name
        )
    entities = [mime.parse_entity(part) for part in mime.split_multipart(body, media_type.params.get("boundary", ""))]
    notifications = [part for part in entities if part.content_type.name == "message/disposition-notification"]
    if len(notifications) != 1:
        raise MdnError("not one message/disposition-notification", expected="1 part", found=str(len(notifications)))
    notification = notifications[0]
    fields = mime.parse_entity(notification.decoded_body().strip(b"\r\n") + b"\r\n\r\n").headers
    first = entities[0]
    text = first.decoded_body().decode("utf-8", "replace").strip() if first is not notification else ""
    return _parse_notification(fields, text)


def _parse_notification(fields: Headers, text: str) -> Mdn:
    disposition_text = fields.get("disposition")
    disposition = DISPOSITION.match(disposition_text)
    if not disposition:
        raise MdnError(
            "a missing or malformed Disposition",
            field="Disposition",
            expected="mode; type/modifier",
            found=disposition_text,
        )
    mic = RECEIVED_MIC.match(fields.get("received-content-mic"))
    return Mdn(
        original_message_id=as2.parse_message_id(fields.get("original-message-id"), "Original-Message-ID"),
        recipient=fields.get("final-recipient").rpartition(";")[2].strip(),
        disposition_type=disposition[3].lower(),
        modifier=(disposition[4] or "").lower(),
        detail=(disposition[5] or "").strip(),
        mic=base64.b64decode(mic[1]) if mic else b"",
        micalg=mic[2].lower() if mic else "",
        text=text,
    )
