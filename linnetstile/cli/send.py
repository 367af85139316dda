"""The sub-command `linnetstile send`: submits one message."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .common import FILE, ExitCode, die

if TYPE_CHECKING:
    from cryptography import x509

    from ..emulators import messages
    from ..net.client import CallResult

OK_STATUS = 200
MAX_TEXT_CHARACTERS = 500  # shown of the body of an answer
FAILURE_ANSWERS = ("refused", "failed", "rejected")
VALID_RECEIPTS = ("positive", "duplicate")

HELP = """Submit the content of FILE as one AS2 message and show the final answer.

Exit code 0: delivered; 1: refused, failed, or a receipt that is not valid; 2: bad arguments; 3: no answer.
"""


@dataclass(frozen=True, slots=True)
class SendOptions:
    """The arguments and options of `send`; the help text of each says what it means."""

    file: Path
    address: str
    path: str
    sender: str
    partner: str
    subject: str
    message_id: str | None
    sign_with: Path | None
    encrypt_to: Path | None
    compress: bool
    no_receipt: bool
    receipt_from: Path | None
    patience: float


@dataclass(frozen=True, slots=True)
class Submission:
    """A message that is ready to be sent.

    Attributes:
        message: What its receipt is checked against.
        request: The bytes of the HTTP request.
        receipt_signer: Certificate that should have signed the receipt; None = the signature is not verified.
    """

    message: messages.BuiltMessage
    request: bytes
    receipt_signer: x509.Certificate | None


@dataclass(frozen=True, slots=True)
class ShownReceipt:
    """What is shown of a receipt, and whether it counts as valid."""

    fields: dict[str, object]
    is_valid: bool


def _describe_receipt(check: messages.ReceiptCheck, is_verified: bool) -> ShownReceipt:
    """Return what is shown of a receipt; without --receipt-from, an unverified receipt counts as valid."""
    shown_status = check.status.value
    is_valid = shown_status in VALID_RECEIPTS
    if shown_status == "unproven" and not is_verified:
        shown_status = "not verified (no --receipt-from)"
        is_valid = True
    receipt = check.receipt
    fields: dict[str, object] = {
        "receipt": shown_status,
        "disposition": f"{receipt.disposition_type}/{receipt.modifier}" if receipt else "unread",
        "text": receipt.text if receipt else "",
    }
    return ShownReceipt(fields, is_valid)


def _show(
    message_id: str, answer: CallResult, check: messages.ReceiptCheck | None, is_verified: bool, as_json: bool
) -> int:
    """Print the final answer; return the exit code."""
    assert answer.head is not None
    kind = answer.head.headers.get("linnetstile-answer") or "answered"
    fields: dict[str, object] = {"id": message_id, "answer": kind, "status": answer.head.status}
    if answer.head.headers.get("retry-after"):
        fields["retry_after_s"] = answer.head.headers.get("retry-after")
    is_success = answer.head.status == OK_STATUS and kind not in FAILURE_ANSWERS
    if check is not None:
        receipt = _describe_receipt(check, is_verified)
        fields |= receipt.fields
        is_success = is_success and receipt.is_valid
    elif not is_success:
        fields["text"] = answer.body.decode("utf-8", "replace").strip()[:MAX_TEXT_CHARACTERS]
    click.echo(_format(fields, as_json))
    return ExitCode.OK if is_success else ExitCode.NEGATIVE


def _format(fields: Mapping[str, object], as_json: bool) -> str:
    return json.dumps(fields) if as_json else "\n".join(f"{name}: {value}" for name, value in fields.items())


@click.command(help=HELP)
@click.argument("file", type=FILE)
@click.option("--to", "address", required=True, help="Relay (or partner), as 127.0.0.1:4080.")
@click.option("--path", default="/as2", show_default=True)
@click.option("--from", "sender", required=True, help="AS2-From.")
@click.option("--partner", required=True, help="AS2-To.")
@click.option("--subject", default="", help="Subject of the message; rules of the relay can match it.")
@click.option("--id", "message_id", help="Message-ID; submit the same ID again to ask for the answer to that message.")
@click.option("--sign-with", type=FILE, help="PEM with key and certificate.")
@click.option("--encrypt-to", type=FILE, help="PEM with the partner's RSA certificate.")
@click.option("--compress", is_flag=True)
@click.option("--no-receipt", is_flag=True, help="Do not ask for a receipt.")
@click.option("--receipt-from", type=FILE, help="PEM with the certificate that should have signed the receipt.")
@click.option("--patience", default=60.0, show_default=True, help="Seconds to wait for the answer.")
@click.option("--json", "as_json", is_flag=True)
def command(as_json: bool, **options: Any) -> None:
    """Submit a file as one AS2 message and show the final answer."""
    sys.exit(send(SendOptions(**options), as_json))


def send(options: SendOptions, as_json: bool) -> int:
    """Submit a message and print its final answer; return the exit code."""
    from ..codec import as2

    message_id = options.message_id or _new_message_id(options.sender)
    try:
        submission = _prepare(options, message_id)
    except (as2.As2Error, ValueError) as error:
        die(ExitCode.BAD_INPUT, f"linnetstile send: {error}")
    answer = _submit(options, submission, message_id)
    check = _check_receipt(options, submission, answer)
    return _show(message_id, answer, check, submission.receipt_signer is not None, as_json)


def _new_message_id(sender: str) -> str:
    return f"<{time.time_ns():x}@{sender.replace(' ', '-')}>"


def _prepare(options: SendOptions, message_id: str) -> Submission:
    """Build, sign and encrypt the message.

    Raises:
        As2Error: The names or the content can't be sent.
        ValueError: The address is not loopback, or a PEM file can't be used.
    """
    from ..codec import cms, http1
    from ..config.relay import require_loopback
    from ..emulators import messages

    require_loopback(options.address)
    message = messages.build_message(
        options.sender,
        options.partner,
        message_id,
        options.subject,
        options.file.read_bytes(),
        sign_by=cms.load_identity(options.sign_with.read_bytes()) if options.sign_with else None,
        encrypt_to=cms.load_certificate(options.encrypt_to.read_bytes()) if options.encrypt_to else None,
        compress=options.compress,
        receipt=not options.no_receipt,
    )
    headers = [("Host", options.address), *message.headers]
    request = http1.encode_request("POST", options.path, headers, message.body)
    signer = cms.load_certificate(options.receipt_from.read_bytes()) if options.receipt_from else None
    return Submission(message, request, signer)


def _submit(options: SendOptions, submission: Submission, message_id: str) -> CallResult:
    """Return the answer, or exit with an error if there is none."""
    from ..config.relay import split_address
    from ..net import client

    address = split_address(options.address)
    answer = asyncio.run(client.call_once(address, "POST", submission.request, options.patience))
    if answer.head is None:
        die(ExitCode.NOT_STARTED, f"{message_id}: no answer: {answer.wire_result.value}")
    return answer


def _check_receipt(options: SendOptions, submission: Submission, answer: CallResult) -> messages.ReceiptCheck | None:
    """Return what the receipt in an answer proves; None if none was requested or the status is not 200."""
    from ..emulators import messages

    if answer.head is None or answer.head.status != OK_STATUS or options.no_receipt:
        return None
    return messages.check_receipt(submission.message, answer.head.headers, answer.body, submission.receipt_signer)
