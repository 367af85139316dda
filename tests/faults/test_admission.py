"""Admission control: memory for bodies is shared fairly between clients."""

from __future__ import annotations

import asyncio
from pathlib import Path

from linnetstile.codec import http1
from linnetstile.config.relay import split_address

from .relay_testbed import RelayTestbed, answer_kind, async_test
from .testbed_settings import STRICT_RATES, partner_fault


@async_test
async def test_a_client_over_its_fair_share_waits_or_is_refused_and_blocks_no_other_client(tmp_path: Path) -> None:
    limits = {**STRICT_RATES, "body_bytes": 400_000, "hold_bytes": 500_000, "room_wait_ms": 400}
    async with RelayTestbed(tmp_path, limits=limits, faults=[partner_fault("hang", for_s=4)]) as testbed:
        submissions = [
            asyncio.create_task(testbed.submit(testbed.make_message("safe", b"x" * 100_000))) for _ in range(12)
        ]
        await asyncio.sleep(0.2)
        admission = testbed.relays[0].admission
        assert admission.fair_share.used[0] <= 500_000
        assert admission.waiting
        # Another sender, far below its fair share, is admitted at once, although requests are waiting.
        message = testbed.make_message("safe", b"y" * 1000)
        other_headers = [(name, "other" if name == "AS2-From" else value) for name, value in message.headers]
        data = http1.encode_request("POST", "/as2", [("Host", "x"), *other_headers], message.body)
        testbed.pool.call(split_address(testbed.relays[0].address), "POST", data, lambda answer: None)
        await asyncio.sleep(0.15)
        assert any(accepted.head.sender == "other" for accepted in testbed.relays[0].accepted.values())
        answers = await asyncio.gather(*submissions)
        refused = [answer for answer in answers if answer.head is not None and answer.head.status == 503]
        assert refused
        assert all(int(answer.head.headers.get("retry-after")) >= 1 for answer in refused if answer.head)
        assert testbed.relays[0].counts["refused_no_room"] >= 1
        assert {answer_kind(answer) for answer in answers} <= {"refused", "delivered", "failed"}
    assert not testbed.broken_rules()


@async_test
async def test_a_large_body_and_many_small_ones_are_delivered_side_by_side(tmp_path: Path) -> None:
    limits = {"body_bytes": 64 * 2**20, "hold_bytes": 80 * 2**20, "slots": 16, "hold": 500}
    async with RelayTestbed(
        tmp_path,
        limits=limits,
        partner={"rate": 2000.0, "work_ms": 2, "servers": 64},
        classes={"safe": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 15_000}},
    ) as testbed:
        large_message = testbed.make_message("safe", b"x" * (48 * 2**20))
        large_submission = asyncio.create_task(testbed.submit(large_message))
        small_answers = await testbed.submit_evenly("safe", 200, 3)
        assert all(answer_kind(answer) == "delivered" for answer in small_answers)
        assert answer_kind(await large_submission) == "delivered"
        assert not testbed.relays[0].admission.reservations
