"""End to end: synchronous and asynchronous receipts of partners, and how they are forwarded to clients."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from linnetstile.codec import cms, http1, mdn
from linnetstile.emulators import messages
from linnetstile.engine.attempt_outcome import ReceiptStatus
from linnetstile.net import server

from .relay_testbed import RelayTestbed, answer_kind, async_test
from .testbed_settings import partner_fault


@dataclass(frozen=True)
class ReceiptPost:
    """A receipt that the relay posted to a client."""

    headers: http1.Headers
    body: bytes


async def send_forged_receipt(testbed: RelayTestbed, path: str, message_id: str, sender: str) -> None:
    """Send the relay an unsigned receipt that the partner did not issue."""
    message = testbed.make_message("unsafe", ident=message_id)
    receipt = mdn.Mdn(message_id, "firma", mic=b"x" * 32, micalg="sha-256")
    content_type, body = receipt.encode()
    headers = [("Host", "x"), ("Content-Type", content_type), ("AS2-From", sender)]
    data = http1.encode_request("POST", path, headers, body)
    answer = await asyncio.wait_for(testbed.call(testbed.relays[0].address, data), 5)
    assert message.head.message_id == message_id
    assert answer.head is not None
    assert answer.head.status == 200


@pytest.mark.parametrize(
    "options", [{}, {"sign_by": True}, {"compress": True}, {"sign_by": True, "compress": True}, {"receipt": False}]
)
@async_test
async def test_the_partners_receipt_is_forwarded_byte_for_byte(tmp_path: Path, options: dict[str, Any]) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        if "sign_by" in options:
            options["sign_by"] = testbed.keys["office"]
        message = testbed.make_message("keyed", **options)
        direct = await testbed.post(f"127.0.0.1:{testbed.ports[1]}", testbed.make_message("safe", **options))
        answer = await testbed.submit(message)
        assert answer_kind(answer) == "delivered"
        assert answer.head is not None
        assert answer.head.status == 200
        if message.head.receipt_to:
            certificate = testbed.keys["firma"].certificate
            receipt_status, _ = messages.check_receipt(message, answer.head.headers, answer.body, certificate)
            assert receipt_status is ReceiptStatus.POSITIVE
            assert direct.head is not None
            names = ("content-type", "as2-from", "as2-to", "as2-version")
            assert all((name in direct.head.headers) == (name in answer.head.headers) for name in names)
        else:
            assert answer.body == b""
    assert testbed.broken_rules() == []


@pytest.mark.parametrize("sign", [False, True])
@pytest.mark.parametrize("compress", [False, True])
@async_test
async def test_an_encrypted_message_is_forwarded_unopened_with_its_receipt(
    tmp_path: Path, sign: bool, compress: bool
) -> None:
    decryption_identity = cms.generate_identity("firma-open", rsa=True)
    (tmp_path / "open.pem").write_bytes(cms.encode_identity(decryption_identity))
    async with RelayTestbed(tmp_path, partner={"decrypt_pem": tmp_path / "open.pem"}) as testbed:
        message = testbed.make_message(
            "unsafe",
            encrypt_to=decryption_identity.certificate,
            compress=compress,
            sign_by=testbed.keys["office"] if sign else None,
        )
        answer = await testbed.submit(message)
        assert answer_kind(answer) == "delivered"
        assert answer.head is not None
        certificate = testbed.keys["firma"].certificate
        receipt_status, receipt = messages.check_receipt(message, answer.head.headers, answer.body, certificate)
        assert receipt_status is ReceiptStatus.POSITIVE
        assert receipt is not None
        assert receipt.mic
    assert testbed.broken_rules() == []


@async_test
async def test_an_async_receipt_ends_its_attempt_and_forged_or_unknown_ones_are_ignored(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, partner={"receipts": "async", "work_ms": 300}) as testbed:
        message = testbed.make_message("unsafe")
        waiting = asyncio.create_task(testbed.submit(message))
        await asyncio.sleep(0.1)
        relay = testbed.relays[0]
        (token,) = relay.delivery.receipt_endpoint.pending
        message_id = message.head.message_id
        await send_forged_receipt(testbed, "/receipt/unknown", message_id, "firma")
        await send_forged_receipt(testbed, f"/receipt/{token}", message_id, "firma")  # valid token, no signature
        assert relay.accepted
        assert not waiting.done()
        answer = await waiting
        assert answer_kind(answer) == "delivered"
        assert answer.head is not None
        certificate = testbed.keys["firma"].certificate
        receipt_status, _ = messages.check_receipt(message, answer.head.headers, answer.body, certificate)
        assert receipt_status is ReceiptStatus.POSITIVE
        await send_forged_receipt(testbed, f"/receipt/{token}", message_id, "firma")  # after the attempt has ended
        assert relay.counts["receipts_without_attempt"] == 2
        assert relay.counts["receipts_not_counted"] == 1
        assert relay.counts["delivered"] == 7
        assert not relay.delivery.receipt_endpoint.pending
    assert testbed.broken_rules() == []


@async_test
async def test_an_attempt_fails_if_its_async_receipt_never_comes(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, partner={"receipts": "async"}, faults=[partner_fault("no_receipt")]) as testbed:
        answer = await testbed.submit(testbed.make_message("unsafe"))
        assert answer_kind(answer) == "failed"
        assert len(testbed.partner_records("began")) == 1
        assert len(testbed.partner_records("effect")) == 1
        assert not testbed.relays[0].delivery.receipt_endpoint.pending
    assert testbed.broken_rules() == []


@async_test
async def test_a_final_answer_is_posted_to_the_clients_receipt_address(tmp_path: Path) -> None:
    statuses = [200, 500]  # popped from the end: the first post fails and is retried
    posts: asyncio.Queue[ReceiptPost] = asyncio.Queue()

    def accept_post(request: server.RequestContext) -> None:
        request.reply(statuses.pop())
        posts.put_nowait(ReceiptPost(request.head.headers, request.body))

    async with RelayTestbed(tmp_path) as testbed:
        listener = server.Server(accept_post)
        port = await listener.start()
        message = testbed.make_message("keyed", reply_to=f"http://127.0.0.1:{port}/r")
        answer = await testbed.post(testbed.relays[0].address, message)
        assert answer.head is not None
        assert answer.head.status == 202
        for _ in range(2):
            post = await asyncio.wait_for(posts.get(), 5)
            assert post.headers.get("linnetstile-answer") == "delivered"
            certificate = testbed.keys["firma"].certificate
            receipt_status, _ = messages.check_receipt(message, post.headers, post.body, certificate)
            assert receipt_status is ReceiptStatus.POSITIVE
        message_to_other_host = testbed.make_message("keyed", reply_to="http://10.0.0.1:80/r")
        refused = await testbed.post(testbed.relays[0].address, message_to_other_host)
        assert refused.head is not None
        assert refused.head.status == 400
        assert b"loopback" in refused.body
        listener.close()
