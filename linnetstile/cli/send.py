"""linnetstile send"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

import click

from .common import FILE, die


@click.command()
@click.argument("file", type=FILE)
@click.option("--to", "address", required=True, help="Relay (or partner), as 127.0.0.1:4080.")
@click.option("--path", default="/as2", show_default=True)
@click.option("--from", "sender", required=True, help="AS2-From.")
@click.option("--partner", required=True, help="AS2-To.")
@click.option("--subject", default="", help="Rules of the relay may look at it.")
@click.option("--id", "ident", help="Message-ID; hand the same in again to ask for its answer.")
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
    ident: str | None,
    sign_with: Path | None,
    encrypt_to: Path | None,
    compress: bool,
    no_receipt: bool,
    receipt_from: Path | None,
    patience: float,
    as_json: bool,
) -> None:
    """Hand the content of FILE in as one AS2 message and show the final answer.

    Exit code 0: delivered; 1: refused, failed, or a receipt that does not hold; 2: bad arguments; 3: no answer.
    """
    from ..codec import as2, cms, http1
    from ..config.relay import loopback, split
    from ..emulators import messages
    from ..net import client

    ident = ident or f"<{time.time_ns():x}@{sender.replace(' ', '-')}>"
    try:
        loopback(address)
        made = messages.make(
            sender,
            partner,
            ident,
            subject,
            file.read_bytes(),
            sign_by=cms.load(sign_with.read_bytes()) if sign_with else None,
            encrypt_to=cms.load_certificate(encrypt_to.read_bytes()) if encrypt_to else None,
            compress=compress,
            receipt=not no_receipt,
        )
        data = http1.request("POST", path, [("Host", address), *made.headers], made.body)
        signer = cms.load_certificate(receipt_from.read_bytes()) if receipt_from else None
    except (as2.As2Error, ValueError) as error:
        die(2, f"linnetstile send: {error}")

    answer = asyncio.run(client.once(split(address), "POST", data, patience))
    if answer.head is None:
        die(3, f"{ident}: no answer: {answer.sight.value}")
    kind = answer.head.headers.get("linnetstile-answer") or "answered"
    shown: dict[str, object] = {"id": ident, "answer": kind, "status": answer.head.status}
    if answer.head.headers.get("retry-after"):
        shown["retry_after_s"] = answer.head.headers.get("retry-after")
    good = answer.head.status == 200 and kind not in ("refused", "failed", "rejected")
    if answer.head.status == 200 and not no_receipt:
        receipt, found = messages.check(made, answer.head.headers, answer.body, signer)
        checked = receipt.value
        if receipt.value == "unproven" and signer is None:
            checked = "not verified (no --receipt-from)"
        elif receipt.value not in ("positive", "duplicate"):
            good = False
        shown |= {
            "receipt": checked,
            "disposition": f"{found.kind}/{found.modifier}" if found else "unread",
            "text": found.text if found else "",
        }
    elif not good:
        shown["text"] = answer.body.decode("utf-8", "replace").strip()[:500]
    click.echo(json.dumps(shown) if as_json else "\n".join(f"{name}: {value}" for name, value in shown.items()))
    sys.exit(0 if good else 1)
