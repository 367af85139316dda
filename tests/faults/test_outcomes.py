"""End to end: faults of a partner on one message, and what the client and the partner's record show of it."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from linnetstile.codec import cms, http1, mdn
from linnetstile.codec.http1 import Headers
from linnetstile.config.relay import split_address
from linnetstile.emulators import messages
from linnetstile.engine.attempt_outcome import ReceiptStatus
from linnetstile.net import client

from .relay_testbed import RelayTestbed, answer_kind, run_test


def partner_fault(fault_kind: str, **more: Any) -> dict[str, Any]:
    return {"kind": fault_kind, "at_s": 0, "for_s": 60, "partners": ["firma"], **more}


@pytest.mark.parametrize(
    "options", [{}, {"sign_by": True}, {"compress": True}, {"sign_by": True, "compress": True}, {"receipt": False}]
)
def test_the_partners_receipt_is_forwarded_byte_for_byte(tmp_path: Path, options: dict[str, Any]) -> None:
    async def test() -> None:
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
                receipt = messages.check_receipt(
                    message, answer.head.headers, answer.body, testbed.keys["firma"].certificate
                )
                assert receipt[0] is ReceiptStatus.POSITIVE
                assert direct.head is not None
                names = ("content-type", "as2-from", "as2-to", "as2-version")
                assert all((name in direct.head.headers) == (name in answer.head.headers) for name in names)
            else:
                assert answer.body == b""
        assert testbed.broken_rules() == []

    run_test(test)


@pytest.mark.parametrize("sign", [False, True])
@pytest.mark.parametrize("compress", [False, True])
def test_an_encrypted_message_is_forwarded_unopened_with_its_receipt(
    tmp_path: Path, sign: bool, compress: bool
) -> None:
    async def test() -> None:
        opener = cms.make_identity("firma-open", rsa=True)
        (tmp_path / "open.pem").write_bytes(cms.encode_identity(opener))
        async with RelayTestbed(tmp_path, partner={"decrypt_pem": tmp_path / "open.pem"}) as testbed:
            message = testbed.make_message(
                "unsafe",
                encrypt_to=opener.certificate,
                compress=compress,
                sign_by=testbed.keys["office"] if sign else None,
            )
            answer = await testbed.submit(message)
            assert answer_kind(answer) == "delivered"
            assert answer.head is not None
            receipt = messages.check_receipt(
                message, answer.head.headers, answer.body, testbed.keys["firma"].certificate
            )
            assert receipt[0] is ReceiptStatus.POSITIVE
            assert receipt[1] is not None
            assert receipt[1].mic
        assert testbed.broken_rules() == []

    run_test(test)


@pytest.mark.parametrize("fault_kind", ["hang", "no_receipt", "wrong_mic", "forged_receipt", "reset", "answer_lost"])
def test_a_non_idempotent_message_with_an_unclear_outcome_is_never_retried(tmp_path: Path, fault_kind: str) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, faults=[partner_fault(fault_kind)]) as testbed:
            answer = await testbed.submit(testbed.make_message("unsafe"))
            assert answer_kind(answer) == "failed"
            assert answer.head is not None
            assert b"1 attempt, the last one" in answer.body
            receipt = messages.check_receipt(
                testbed.make_message("unsafe", ident="<x@office>"), answer.head.headers, answer.body, None
            )[1]
            assert receipt is not None
            assert receipt.disposition_type == "failed"
            assert "may or may not" in receipt.text
            assert len(testbed.partner_records("began")) == 1
            assert len(testbed.partner_records("effect")) <= 1
        assert testbed.broken_rules() == []

    run_test(test)


def test_a_deduplicated_message_whose_answer_was_lost_is_retried_under_its_key(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, faults=[partner_fault("answer_lost", for_s=0.3)]) as testbed:
            answer = await testbed.submit(testbed.make_message("keyed"))
            assert answer_kind(answer) == "delivered"
            assert b"duplicate-document" in answer.body
            assert len(testbed.partner_records("began")) >= 2
            assert len(testbed.partner_records("effect")) == 1
        assert testbed.broken_rules() == []

    run_test(test)


def test_a_deduplicated_message_is_not_retried_after_its_window(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, faults=[partner_fault("answer_lost")]) as testbed:
            answer = await testbed.submit(testbed.make_message("keyed"))
            began = [row["t"] for row in testbed.partner_records("began")]
            assert answer_kind(answer) == "failed"
            assert began[-1] - began[0] < 4000 + 25
            assert len(testbed.partner_records("effect")) == 1
        assert testbed.broken_rules() == []

    run_test(test)


def test_an_idempotent_message_is_delivered_after_errors(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, faults=[partner_fault("fast_errors", for_s=0.4)]) as testbed:
            assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
        assert testbed.broken_rules() == []

    run_test(test)


@pytest.mark.parametrize("fault_kind", ["garbage", "trickle", "vanish", "reset"])
def test_a_partner_that_sends_garbage_or_single_bytes_delays_no_other_message(tmp_path: Path, fault_kind: str) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, faults=[partner_fault(fault_kind, for_s=1.0, bytes=40)]) as testbed:
            assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
        assert testbed.broken_rules() == []

    run_test(test)


@pytest.mark.parametrize("tell_as", ["seconds", "date"])
def test_retry_after_binds_every_message(tmp_path: Path, tell_as: str) -> None:
    async def test() -> None:
        async with RelayTestbed(
            tmp_path, partner={"tell_as": tell_as}, faults=[partner_fault("shut", for_s=1.2)]
        ) as testbed:
            first = asyncio.create_task(testbed.submit(testbed.make_message("unsafe")))
            await testbed.sleep_until(0.3)
            others = [asyncio.create_task(testbed.submit(testbed.make_message("keyed"))) for _ in range(3)]
            answers = await asyncio.gather(first, *others)
            assert [answer_kind(answer) for answer in answers] == ["delivered"] * 4
            rejections = [row for row in testbed.partner_records("answer") if row["status"] == 503]
            assert len(rejections) == 1
            assert rejections[0]["told_ms"] > 200
        assert testbed.broken_rules() == []

    run_test(test)


def test_a_repeated_identifier_gets_the_same_answer(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, partner={"work_ms": 200}) as testbed:
            message = testbed.make_message("unsafe")
            first = asyncio.create_task(testbed.submit(message))
            await asyncio.sleep(0.05)
            during = await testbed.submit(message)
            after = await testbed.submit(message)
            assert (await first).body == during.body == after.body
            assert answer_kind(after) == "delivered"
            assert len(testbed.partner_records("began")) == 1
            conflicting = await testbed.submit(
                testbed.make_message("unsafe", b"other content", ident=message.head.message_id)
            )
            assert conflicting.head is not None
            assert (answer_kind(conflicting), conflicting.head.status) == ("conflict", 409)
            assert b"other content" in conflicting.body
        assert testbed.broken_rules() == []

    run_test(test)


def test_a_repeat_at_another_relay_is_deduplicated_by_the_partner(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, relays=2) as testbed:
            message = testbed.make_message("keyed")
            first, second = await testbed.submit(message, 0), await testbed.submit(message, 1)
            assert answer_kind(first) == answer_kind(second) == "delivered"
            assert len(testbed.partner_records("effect")) == 1
        assert testbed.broken_rules() == []

    run_test(test)


def test_after_a_refusal_the_same_identifier_is_accepted_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(
            tmp_path,
            faults=[partner_fault("crash", for_s=4.5)],
            classes={"unsafe": {"effect": "unsafe", "aim_ms": 500, "deadline_ms": 1500}},
        ) as testbed:
            message = testbed.make_message("unsafe")
            first = await testbed.submit(message)
            assert answer_kind(first) == "refused"
            assert first.head is not None
            assert first.head.status == 503
            assert int(first.head.headers.get("retry-after")) >= 1
            await testbed.sleep_until(4.6)
            for _ in range(4):
                answer = await testbed.submit(message)
                if answer_kind(answer) != "refused":
                    break
            assert answer_kind(answer) == "delivered"
            assert len(testbed.partner_records("effect")) == 1
        assert testbed.broken_rules() == []

    run_test(test)


def test_a_deduplicated_message_with_an_unclear_outcome_fails_and_is_not_refused(tmp_path: Path) -> None:
    """Once it was refused after an unclear attempt, submitted again 8 s later, and took effect twice."""

    async def test() -> None:
        classes = {"keyed": {"effect": "keyed", "aim_ms": 500, "deadline_ms": 2000, "key_window_ms": 900}}
        async with RelayTestbed(
            tmp_path, classes=classes, partner={"key_window_ms": 900}, faults=[partner_fault("answer_lost", for_s=2.2)]
        ) as testbed:
            message = testbed.make_message("keyed")
            assert answer_kind(await testbed.submit(message)) == "failed"
            await testbed.sleep_until(3.0)
            assert answer_kind(await testbed.submit(message)) == "failed"
            assert len(testbed.partner_records("effect")) == 1
        assert testbed.broken_rules() == []

    run_test(test)


@pytest.mark.parametrize(
    ("change", "status", "text"),
    [
        ({"to": "nobody"}, 404, b"no partner nobody is listed"),
        ({"cls": "other"}, 403, b"no rule takes"),
    ],
)
def test_a_message_without_rule_or_partner_is_refused_with_the_reason(
    tmp_path: Path, change: dict[str, str], status: int, text: bytes
) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path) as testbed:
            message = testbed.make_message(change.get("cls", "safe"), to=change.get("to", "firma"))
            answer = await testbed.post(testbed.relays[0].address, message)
            assert answer.head is not None
            assert answer.head.status == status
            assert text in answer.body
            assert answer_kind(answer) == "refused"
            assert not testbed.relays[0].accepted

    run_test(test)


def raw_request(headers: str, body: bytes = b"") -> bytes:
    return f"POST /as2 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (raw_request("AS2-From: a\r\nAS2-To: b\r\n"), b"400"),
        (b"\x16\x03\x01\x00\xa5\r\n\r\n", b"400"),
        (b"GET /as2 HTTP/1.1\r\nHost: x\r\n\r\n", b"405"),
        (b"POST /as2 HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 2**20, b"431"),
        (b"POST /as2 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", b"413"),
    ],
)
def test_invalid_requests_get_the_matching_http_status(tmp_path: Path, data: bytes, status: bytes) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path) as testbed:
            reader, writer = await asyncio.open_connection(*split_address(testbed.relays[0].address))
            writer.write(data)
            response = await asyncio.wait_for(reader.read(100), 5)
            assert response.split(b" ")[1] == status
            writer.close()
            assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"

    run_test(test)


def test_a_client_that_sends_one_byte_at_a_time_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path) as testbed:
            message = testbed.make_message("safe")
            reader, writer = await asyncio.open_connection(*split_address(testbed.relays[0].address))
            for index, byte in enumerate(
                http1.encode_request("POST", "/as2", [("Host", "x"), *message.headers], message.body)
            ):
                writer.write(bytes([byte]))
                if index % 8 == 0:
                    await asyncio.sleep(0)
            assert b"200 OK" in await asyncio.wait_for(reader.read(200), 5)
            writer.close()

    run_test(test)


def test_an_endless_header_is_cut_off_and_takes_no_memory(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path) as testbed:
            _, writer = await asyncio.open_connection(*split_address(testbed.relays[0].address))
            sent = 0
            with pytest.raises(ConnectionError):  # noqa: PT012 (whichever write first meets the closed connection)
                for _ in range(16_384):  # a gigabyte, if all of it were read
                    writer.write(b"X" * 65_536)
                    sent += 65_536
                    await writer.drain()
            assert sent < 64 * 2**20
            assert testbed.relays[0].listener.counts["protocol_errors"] == 1

    run_test(test)


async def send_stray_receipt(testbed: RelayTestbed, path: str, ident: str, signer: str) -> None:
    """Send the relay a receipt that no partner has issued."""
    message = testbed.make_message("unsafe", ident=ident)
    receipt = mdn.Mdn(ident, "firma", mic=b"x" * 32, micalg="sha-256")
    content_type, body = receipt.encode()
    data = http1.encode_request(
        "POST", path, [("Host", "x"), ("Content-Type", content_type), ("AS2-From", signer)], body
    )
    done: asyncio.Future[client.CallResult] = asyncio.get_running_loop().create_future()
    testbed.pool.call(split_address(testbed.relays[0].address), "POST", data, done.set_result)
    answer = await asyncio.wait_for(done, 5)
    assert message.head.message_id == ident
    assert answer.head is not None
    assert answer.head.status == 200


def test_an_async_receipt_ends_its_attempt_and_forged_or_unknown_ones_are_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, partner={"receipts": "async", "work_ms": 300}) as testbed:
            message = testbed.make_message("unsafe")
            waiting = asyncio.create_task(testbed.submit(message))
            await asyncio.sleep(0.1)
            relay = testbed.relays[0]
            (token,) = relay.delivery.receipt_endpoint.pending
            await send_stray_receipt(testbed, "/receipt/unknown", message.head.message_id, "firma")
            await send_stray_receipt(
                testbed, f"/receipt/{token}", message.head.message_id, "firma"
            )  # right address, no signature
            assert relay.accepted
            assert not waiting.done()
            answer = await waiting
            assert answer_kind(answer) == "delivered"
            assert answer.head is not None
            receipt = messages.check_receipt(
                message, answer.head.headers, answer.body, testbed.keys["firma"].certificate
            )
            assert receipt[0] is ReceiptStatus.POSITIVE
            await send_stray_receipt(testbed, f"/receipt/{token}", message.head.message_id, "firma")  # late
            assert relay.counts["receipts_without_attempt"] == 2
            assert relay.counts["receipts_not_counted"] == 1
            assert relay.counts["delivered"] == 7
            assert not relay.delivery.receipt_endpoint.pending
        assert testbed.broken_rules() == []

    run_test(test)


def test_an_attempt_fails_if_its_async_receipt_never_comes(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(
            tmp_path, partner={"receipts": "async"}, faults=[partner_fault("no_receipt")]
        ) as testbed:
            answer = await testbed.submit(testbed.make_message("unsafe"))
            assert answer_kind(answer) == "failed"
            assert len(testbed.partner_records("began")) == 1
            assert len(testbed.partner_records("effect")) == 1
            assert not testbed.relays[0].delivery.receipt_endpoint.pending
        assert testbed.broken_rules() == []

    run_test(test)


def test_a_final_answer_is_posted_to_the_clients_receipt_address(tmp_path: Path) -> None:
    async def test() -> None:
        from linnetstile.net import server

        response: asyncio.Queue[tuple[Headers, bytes]] = asyncio.Queue()
        posts: Counter[str] = Counter()

        def take(request: server.RequestContext) -> None:
            posts["all"] += 1
            request.reply(500 if posts["all"] == 1 else 200)  # the first post fails: it comes again
            response.put_nowait((request.head.headers, request.body))

        async with RelayTestbed(tmp_path) as testbed:
            made_server = server.Server(take)
            port = await made_server.start()
            message = testbed.make_message("keyed", reply_to=f"http://127.0.0.1:{port}/r")
            answer = await testbed.post(testbed.relays[0].address, message)
            assert answer.head is not None
            assert answer.head.status == 202
            for _ in range(2):
                headers, body = await asyncio.wait_for(response.get(), 5)
                assert headers.get("linnetstile-answer") == "delivered"
                receipt = messages.check_receipt(message, headers, body, testbed.keys["firma"].certificate)[0]
                assert receipt is ReceiptStatus.POSITIVE
            refused = await testbed.post(
                testbed.relays[0].address, testbed.make_message("keyed", reply_to="http://10.0.0.1:80/r")
            )
            assert refused.head is not None
            assert refused.head.status == 400
            assert b"loopback" in refused.body
            made_server.close()

    run_test(test)
