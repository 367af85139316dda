"""AS2 header fields (RFC 4130, 6 and 7) with the message identifiers of RFC 2822."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..errors import ProtocolError
from .headers import Headers

MAX_NAME_LENGTH = 128  # characters of an AS2 name (RFC 4130, 6.2)
MAX_MESSAGE_ID_LENGTH = 998  # characters of a Message-ID: the limit of a line (RFC 2822, 2.1.1)
DEFAULT_VERSION = "1.0"  # AS2 version of a message without an AS2-Version field

MESSAGE_ID = re.compile(r"<[\x21-\x3b\x3d\x3f-\x7e]+>\Z")
QUOTED_NAME = re.compile(r'"(?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*"\Z')
PLAIN_NAME = re.compile(r"[\x21\x23-\x5b\x5d-\x7e]+\Z")
VERSION = re.compile(r"1\.\d{1,3}")  # RFC 4130, 6.1: any 1.x is accepted
RECEIPT_URL = re.compile(r"https?://[\x21-\x7e]{1,2000}\Z")
SINGLE_FIELDS = ("AS2-From", "AS2-To", "Message-ID", "AS2-Version", "Receipt-Delivery-Option")


class As2Error(ProtocolError):
    """An AS2 header field is missing or malformed; the error text names the field."""


def _field_error(field: str, expected: str, found: str = "") -> As2Error:
    return As2Error(f"{field}: expected {expected}", field=field, expected=expected, found=found)


def parse_name(text: str, field: str) -> str:
    """Return an AS2 name without quotes, the form in which names are compared, case-sensitively (RFC 4130, 6.2).

    Args:
        text: The field value as received.
        field: Name of the field, for the error text.

    Raises:
        As2Error: The value is not a plain or quoted name of 1 to 128 characters.
    """
    if QUOTED_NAME.match(text):
        unquoted = re.sub(r"\\(.)", r"\1", text[1:-1])
    elif PLAIN_NAME.match(text):
        unquoted = text
    else:
        raise _field_error(field, "an AS2 name, plain or in quotes", text)
    if not 1 <= len(unquoted) <= MAX_NAME_LENGTH:
        raise _field_error(field, f"1 to {MAX_NAME_LENGTH} characters", text)
    return unquoted


def quote_name(unquoted: str) -> str:
    """Return the form of a name for a header field: in quotes if it needs them."""
    if PLAIN_NAME.match(unquoted):
        return unquoted
    return '"' + re.sub(r'(["\\])', r"\\\1", unquoted) + '"'


def parse_message_id(text: str, field: str = "Message-ID") -> str:
    """Check a message identifier and return it unchanged.

    Raises:
        As2Error: The identifier is not in angle brackets, or is too long.
    """
    if not MESSAGE_ID.match(text) or len(text) > MAX_MESSAGE_ID_LENGTH:
        raise _field_error(field, f"an identifier in angle brackets, at most {MAX_MESSAGE_ID_LENGTH} characters", text)
    return text


@dataclass(frozen=True, slots=True)
class ReceiptOptions:
    """Options that the sender requests for the receipt (RFC 4130, 7.3).

    Attributes:
        signed: Whether the receipt should be signed.
        required: Whether the signature is required; optional otherwise.
        micalgs: Digest algorithms in order of preference, in lower case.
    """

    signed: bool = False
    required: bool = False
    micalgs: tuple[str, ...] = ()


def parse_receipt_options(text: str) -> ReceiptOptions:
    """Parse Disposition-Notification-Options: `name=importance, value, value; ...` (RFC 4130, 7.3).

    Raises:
        As2Error: A part does not have that form.
    """
    signed = False
    required = False
    micalgs: tuple[str, ...] = ()
    for part in filter(None, (part.strip() for part in text.split(";"))):
        option, equals, rest = part.partition("=")
        importance, *values = (value.strip().lower() for value in rest.split(","))
        if not equals or importance not in ("required", "optional") or not values:
            raise _field_error("Disposition-Notification-Options", "name=required|optional, value", part)
        option = option.strip().lower()
        if option == "signed-receipt-protocol":
            signed = "pkcs7-signature" in values
            required = importance == "required"
        elif option == "signed-receipt-micalg":
            micalgs = tuple(values)
    return ReceiptOptions(signed, required, micalgs)


@dataclass(frozen=True, slots=True)
class As2Headers:
    """The header fields of one AS2 message.

    Attributes:
        sender: AS2-From, unquoted.
        receiver: AS2-To, unquoted.
        message_id: Message-ID with its angle brackets.
        version: AS2-Version.
        subject: Subject.
        receipt_to: Disposition-Notification-To; empty if no receipt is requested.
        receipt_options: Disposition-Notification-Options, parsed.
        async_receipt_url: Receipt-Delivery-Option: the URL for an asynchronous receipt; empty for a synchronous one.
    """

    sender: str
    receiver: str
    message_id: str
    version: str = "1.2"
    subject: str = ""
    receipt_to: str = ""
    receipt_options: ReceiptOptions = ReceiptOptions()
    async_receipt_url: str = ""

    @classmethod
    def parse(cls, headers: Headers) -> As2Headers:
        """Parse the header fields of a message.

        Raises:
            As2Error: A field is missing, malformed or repeated; the error has the field's name and the expected value.
        """
        for field in SINGLE_FIELDS:
            if len(headers.get_all(field)) > 1:
                raise _field_error(field, "once", ", ".join(headers.get_all(field)))
        version = headers.get("as2-version", DEFAULT_VERSION)
        if not VERSION.fullmatch(version):
            raise _field_error("AS2-Version", "1.x", version)
        receipt_url = headers.get("receipt-delivery-option")
        if receipt_url and not RECEIPT_URL.match(receipt_url):
            raise _field_error("Receipt-Delivery-Option", "an http or https URL", receipt_url)
        return cls(
            sender=parse_name(headers.get("as2-from"), "AS2-From"),
            receiver=parse_name(headers.get("as2-to"), "AS2-To"),
            message_id=parse_message_id(headers.get("message-id")),
            version=version,
            subject=headers.get("subject"),
            receipt_to=headers.get("disposition-notification-to"),
            receipt_options=parse_receipt_options(headers.get("disposition-notification-options")),
            async_receipt_url=receipt_url,
        )
