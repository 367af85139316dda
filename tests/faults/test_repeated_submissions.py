"""End to end: messages that are submitted again with the same identifier."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .relay_testbed import RelayTestbed, answer_kind, async_test
from .testbed_settings import partner_fault


@async_test
async def test_a_repeated_identifier_gets_the_same_answer(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, partner={"work_ms": 200}) as testbed:
        message = testbed.make_message("unsafe")
        first = asyncio.create_task(testbed.submit(message))
        await asyncio.sleep(0.05)
        during = await testbed.submit(message)
        after = await testbed.submit(message)
        assert (await first).body == during.body == after.body
        assert answer_kind(after) == "delivered"
        assert len(testbed.partner_records("began")) == 1
        other_message = testbed.make_message("unsafe", b"other content", ident=message.head.message_id)
        conflicting = await testbed.submit(other_message)
        assert conflicting.head is not None
        assert (answer_kind(conflicting), conflicting.head.status) == ("conflict", 409)
        assert b"other content" in conflicting.body
    assert testbed.broken_rules() == []


@async_test
async def test_a_repeat_at_another_relay_is_deduplicated_by_the_partner(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, relays=2) as testbed:
        message = testbed.make_message("keyed")
        first = await testbed.submit(message, 0)
        second = await testbed.submit(message, 1)
        assert answer_kind(first) == answer_kind(second) == "delivered"
        assert len(testbed.partner_records("effect")) == 1
    assert testbed.broken_rules() == []


@async_test
async def test_after_a_refusal_the_same_identifier_is_accepted_again(tmp_path: Path) -> None:
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


@async_test
async def test_a_deduplicated_message_with_an_unclear_outcome_fails_and_is_not_refused(tmp_path: Path) -> None:
    """After a refusal the client would submit the message again, and it could take effect twice."""
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
