"""The sub-command `linnetstile send`: submits one message."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .common import FILE, ExitCode, die

if TYPE_CHECKING:
    from ..emulators import messages
    from ..net.client import CallResult

MAX_TEXT_CHARACTERS = 500  # of an answer's body that is shown
FAILURE_ANSWERS = ("refused", "failed", "rejected")
GOOD_RECEIPTS = ("positive", "duplicate")

HELP = """Hand the content of FILE in as one AS2 message and show the final answer.

Exit code 0: delivered; 1: refused, failed, or a receipt that does not hold; 2: bad arguments; 3: no answer.
"""


def _receipt_fields(check: messages.ReceiptCheck, is_verified: bool) -> tuple[dict[str, object], bool]:
    """Return what is shown of a receipt, and whether it holds."""
    word, receipt = check.status.value, check.receipt
    is_good = word in GOOD_RECEIPTS
    if word == "unproven" and not is_verified:
        word, is_good = "not verified (no --receipt-from)", True
    fields: dict[str, object] = {
        "receipt": word,
        "disposition": f"{receipt.disposition_type}/{receipt.modifier}" if receipt else "unread",
        "text": receipt.text if receipt else "",
    }
    return fields, is_good


def _show(
    message_id: str, answer: CallResult, check: messages.ReceiptCheck | None, is_verified: bool, as_json: bool
) -> int:
    """Print the final answer; return the exit code."""
    assert answer.head is not None
    kind = answer.head.headers.get("linnetstile-answer") or "answered"
    fields: dict[str, object] = {"id": message_id, "answer": kind, "status": answer.head.status}
    if answer.head.headers.get("retry-after"):
        fields["retry_after_s"] = answer.head.headers.get("retry-after")
    is_good = answer.head.status == 200 and kind not in FAILURE_ANSWERS
    if check is not None:
        receipt_fields, receipt_is_good = _receipt_fields(check, is_verified)
        fields |= receipt_fields
        is_good = is_good and receipt_is_good
    elif not is_good:
        fields["text"] = answer.body.decode("utf-8", "replace").strip()[:MAX_TEXT_CHARACTERS]
    click.echo(_format(fields, as_json))
    return ExitCode.OK if is_good else ExitCode.NO


def _format(fields: Mapping[str, object], as_json: bool) -> str:
    return json.dumps(fields) if as_json else "\n".join(f"{name}: {value}" for name, value in fields.items())


@click.command(help=HELP)
@click.argument("file", type=FILE)
@click.option("--to", "address", required=True, help="Relay (or partner), as 127.0.0.1:4080.")
@click.option("--path", default="/as2", show_default=True)
@click.option("--from", "sender", required=True, help="AS2-From.")
@click.option("--partner", required=True, help="AS2-To.")
@click.option("--subject", default="", help="Rules of the relay may look at it.")
@click.option("--id", "message_id", help="Message-ID; hand the same in again to ask for its answer.")
@click.option("--sign-with", type=FILE, help="PEM with key and certificate.")
@click.option("--encrypt-to", type=FILE, help="PEM with the partner's RSA certificate.")
@click.option("--compress", is_flag=True)
@click.option("--no-receipt", is_flag=True, help="Ask for none.")
@click.option("--receipt-from", type=FILE, help="PEM with the certificate that should have signed the receipt.")
@click.option("--patience", default=60.0, show_default=True, help="Seconds to wait.")
@click.option("--json", "as_json", is_flag=True)
def command(
    file: Path,
    address: str,
    path: str,
    sender: str,
    partner: str,
    subject: str,
    message_id: str | None,
    sign_with: Path | None,
    encrypt_to: Path | None,
    compress: bool,
    no_receipt: bool,
    receipt_from: Path | None,
    patience: float,
    as_json: bool,
) -> None:
    """Submit a file as one AS2 message and show the final answer."""
    from ..codec import as2, cms, http1
    from ..config.relay import require_loopback, split_address
    from ..emulators import messages
    from ..net import client

    message_id = message_id or f"<{time.time_ns():x}@{sender.replace(' ', '-')}>"
    try:
        require_loopback(address)
        message = messages.build_message(
            sender,
            partner,
            message_id,
            subject,
            file.read_bytes(),
            sign_by=cms.load_identity(sign_with.read_bytes()) if sign_with else None,
            encrypt_to=cms.load_certificate(encrypt_to.read_bytes()) if encrypt_to else None,
            compress=compress,
            receipt=not no_receipt,
        )
        data = http1.encode_request("POST", path, [("Host", address), *message.headers], message.body)
        signer = cms.load_certificate(receipt_from.read_bytes()) if receipt_from else None
    except (as2.As2Error, ValueError) as error:
        die(ExitCode.BAD_INPUT, f"linnetstile send: {error}")

    answer = asyncio.run(client.call_once(split_address(address), "POST", data, patience))
    if answer.head is None:
        die(ExitCode.NOT_STARTED, f"{message_id}: no answer: {answer.wire_result.value}")
    check = None
    if answer.head.status == 200 and not no_receipt:
        check = messages.check_receipt(message, answer.head.headers, answer.body, signer)
    sys.exit(_show(message_id, answer, check, signer is not None, as_json))
