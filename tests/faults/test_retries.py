"""End to end: faults of a partner during one message, and after which of them the message is retried."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from linnetstile.emulators import messages

from .relay_testbed import RelayTestbed, answer_kind, async_test
from .testbed_settings import partner_fault


@pytest.mark.parametrize("fault_kind", ["hang", "no_receipt", "wrong_mic", "forged_receipt", "reset", "answer_lost"])
@async_test
async def test_a_non_idempotent_message_with_an_unclear_outcome_is_never_retried(
    tmp_path: Path, fault_kind: str
) -> None:
    async with RelayTestbed(tmp_path, faults=[partner_fault(fault_kind)]) as testbed:
        answer = await testbed.submit(testbed.make_message("unsafe"))
        assert answer_kind(answer) == "failed"
        assert answer.head is not None
        assert b"1 attempt, the last one" in answer.body
        other_message = testbed.make_message("unsafe", ident="<x@office>")
        _, receipt = messages.check_receipt(other_message, answer.head.headers, answer.body, None)
        assert receipt is not None
        assert receipt.disposition_type == "failed"
        assert "may or may not" in receipt.text
        assert len(testbed.partner_records("began")) == 1
        assert len(testbed.partner_records("effect")) <= 1
    assert testbed.broken_rules() == []


@async_test
async def test_a_deduplicated_message_whose_answer_was_lost_is_retried_under_its_key(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, faults=[partner_fault("answer_lost", for_s=0.3)]) as testbed:
        answer = await testbed.submit(testbed.make_message("keyed"))
        assert answer_kind(answer) == "delivered"
        assert b"duplicate-document" in answer.body
        assert len(testbed.partner_records("began")) >= 2
        assert len(testbed.partner_records("effect")) == 1
    assert testbed.broken_rules() == []


@async_test
async def test_a_deduplicated_message_is_not_retried_after_its_window(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, faults=[partner_fault("answer_lost")]) as testbed:
        answer = await testbed.submit(testbed.make_message("keyed"))
        began = [row["t"] for row in testbed.partner_records("began")]
        assert answer_kind(answer) == "failed"
        assert began[-1] - began[0] < 4000 + 25
        assert len(testbed.partner_records("effect")) == 1
    assert testbed.broken_rules() == []


@async_test
async def test_an_idempotent_message_is_delivered_after_errors(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, faults=[partner_fault("fast_errors", for_s=0.4)]) as testbed:
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
    assert testbed.broken_rules() == []


@pytest.mark.parametrize("fault_kind", ["garbage", "trickle", "vanish", "reset"])
@async_test
async def test_a_partner_that_sends_garbage_or_single_bytes_delays_no_other_message(
    tmp_path: Path, fault_kind: str
) -> None:
    async with RelayTestbed(tmp_path, faults=[partner_fault(fault_kind, for_s=1.0, bytes=40)]) as testbed:
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
    assert testbed.broken_rules() == []


@pytest.mark.parametrize("tell_as", ["seconds", "date"])
@async_test
async def test_retry_after_of_a_partner_delays_all_its_messages(tmp_path: Path, tell_as: str) -> None:
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
