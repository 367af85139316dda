"""The AS2 header fields (RFC 4130, 6 and 7; RFC 2822 identifiers)."""

from __future__ import annotations

import re
from dataclasses import dataclass

from .http1 import Headers

NAME_MAX = 128  # RFC 4130, 6.2
ID_MAX = 998
ID = re.compile(r"<[\x21-\x3b\x3d\x3f-\x7e]+>\Z")
QUOTED = re.compile(r'"(?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*"\Z')
ATOM = re.compile(r"[\x21\x23-\x5b\x5d-\x7e]+\Z")


class As2Error(ValueError):
    """An AS2 field is missing or malformed; the text names it."""


def name(text: str, field: str) -> str:
    """An AS2 name, unquoted; names are compared so, with regard to case (RFC 4130, 6.2)."""
    if QUOTED.match(text):
        found = re.sub(r"\\(.)", r"\1", text[1:-1])
    elif ATOM.match(text):
        found = text
    else:
        raise As2Error(f"{field}: expected an AS2 name, plain or in quotes")
    if not 1 <= len(found) <= NAME_MAX:
        raise As2Error(f"{field}: expected 1 to {NAME_MAX} characters")
    return found


def quoted(plain: str) -> str:
    """A name as a field holds it."""
    if ATOM.match(plain):
        return plain
    return '"' + re.sub(r'(["\\])', r"\\\1", plain) + '"'


def message_id(text: str, field: str = "Message-ID") -> str:
    if not ID.match(text) or len(text) > ID_MAX:
        raise As2Error(f"{field}: expected an identifier in angle brackets, at most {ID_MAX} characters")
    return text


@dataclass(frozen=True, slots=True)
class ReceiptWish:
    """What the sender asks of the receipt (RFC 4130, 7.3)."""

    signed: bool = False
    required: bool = False
    micalgs: tuple[str, ...] = ()


def receipt_wish(text: str) -> ReceiptWish:
    """Disposition-Notification-Options: `name=importance, value, value; ...` (RFC 4130, 7.3)."""
    signed, required, algs = False, False, tuple[str, ...]()
    for part in filter(None, (part.strip() for part in text.split(";"))):
        key, equals, rest = part.partition("=")
        values = [value.strip().lower() for value in rest.split(",")]
        if not equals or values[0] not in ("required", "optional") or len(values) < 2:
            raise As2Error("Disposition-Notification-Options: expected name=required|optional, value")
        if key.strip().lower() == "signed-receipt-protocol":
            signed, required = "pkcs7-signature" in values[1:], values[0] == "required"
        elif key.strip().lower() == "signed-receipt-micalg":
            algs = tuple(values[1:])
    return ReceiptWish(signed, required, algs)


@dataclass(frozen=True, slots=True)
class Head:
    """The fields of one AS2 message."""

    sender: str
    receiver: str
    id: str
    version: str = "1.2"
    subject: str = ""
    notify: str = ""  # Disposition-Notification-To; empty = no receipt is asked for
    wish: ReceiptWish = ReceiptWish()
    reply_to: str = ""  # Receipt-Delivery-Option: a URL for an asynchronous receipt

    @classmethod
    def of(cls, headers: Headers) -> Head:
        """Reads the fields; raises `As2Error` with the field's name and what was expected."""
        for field in ("AS2-From", "AS2-To", "Message-ID", "AS2-Version", "Receipt-Delivery-Option"):
            if len(headers.all(field)) > 1:
                raise As2Error(f"{field}: expected once")
        version = headers.get("as2-version", "1.0")
        if not re.fullmatch(r"1\.\d{1,3}", version):  # RFC 4130, 6.1: any 1.x is taken
            raise As2Error("AS2-Version: expected 1.x")
        reply = headers.get("receipt-delivery-option")
        if reply and not re.match(r"https?://[\x21-\x7e]{1,2000}\Z", reply):
            raise As2Error("Receipt-Delivery-Option: expected an http or https URL")
        return cls(
            name(headers.get("as2-from"), "AS2-From"),
            name(headers.get("as2-to"), "AS2-To"),
            message_id(headers.get("message-id")),
            version,
            headers.get("subject"),
            headers.get("disposition-notification-to"),
            receipt_wish(headers.get("disposition-notification-options")),
            reply,
        )
