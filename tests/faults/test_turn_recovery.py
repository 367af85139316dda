"""A turn of the engine that raises an exception in the AS2 relay: each message is answered, and the relay goes on."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from linnetstile.as2_relay.receipts import ReceiptVerifier
from linnetstile.as2_relay.registry import RegistryClient
from linnetstile.engine.scheduler import Scheduler

from .relay_testbed import RelayTestbed, answer_kind, async_test, wait_until
from .testbed_settings import partner_fault


@async_test
async def test_failed_turn_answers_each_accepted_message_and_later_ones_are_delivered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against messages without an answer: one exception lost all events and actions of its turn.
    dispatch = Scheduler.dispatch
    failures = [True]

    def failing_dispatch(self: Scheduler, now: float, actions: list[Any]) -> None:
        if failures:
            failures.pop()
            raise ZeroDivisionError("a decision")
        dispatch(self, now, actions)

    async with RelayTestbed(tmp_path, faults=[partner_fault("hang", for_s=0.5)]) as testbed:
        in_flight = asyncio.create_task(testbed.submit(testbed.make_message("unsafe")))
        await wait_until(lambda: testbed.relays[0].engine.in_flight > 0)
        monkeypatch.setattr(Scheduler, "dispatch", failing_dispatch)
        untried = await testbed.submit(testbed.make_message("keyed"))
        assert answer_kind(await in_flight) == "failed"
        assert answer_kind(untried) == "refused"
        await testbed.sleep_until(0.6)
        assert answer_kind(await testbed.submit(testbed.make_message("keyed"))) == "delivered"
        assert testbed.relays[0].counts["engine_restarts"] == 1
        testbed.relays[0].verify_invariants()
        assert len(testbed.loop_errors) == 1
        testbed.loop_errors.clear()
    assert testbed.broken_rules() == []


@async_test
async def test_attempt_whose_answer_raises_an_exception_ends(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a message that waits for its deadline, and its slot: the engine heard of no outcome.
    verify = ReceiptVerifier.verify
    failures = [True]

    def failing_verify(self: ReceiptVerifier, *arguments: Any) -> Any:
        if failures:
            failures.pop()
            raise KeyError("a receipt")
        return verify(self, *arguments)

    async with RelayTestbed(tmp_path) as testbed:
        monkeypatch.setattr(ReceiptVerifier, "verify", failing_verify)
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
        assert len(testbed.partner_records("began")) == 2
        testbed.relays[0].verify_invariants()
        assert len(testbed.loop_errors) == 1
        testbed.loop_errors.clear()
    assert testbed.broken_rules() == []


@async_test
async def test_list_that_raises_an_exception_is_followed_by_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a relay that hears of no partner any more: the watch counted as active.
    read = RegistryClient._read
    failures = [True]

    def failing_read(self: RegistryClient, answer: Any) -> Any:
        if failures:
            failures.pop()
            raise KeyError("a list")
        return read(self, answer)

    async with RelayTestbed(tmp_path) as testbed:
        monkeypatch.setattr(RegistryClient, "_read", failing_read)
        full_lists = testbed.relays[0].registry.list_counts.full
        testbed.change_endpoint(1, "draining")
        await wait_until(lambda: testbed.relays[0].registry.list_counts.full > full_lists)
        assert testbed.relays[0].registry.list_counts.failed == 1
        assert len(testbed.loop_errors) == 1
        testbed.loop_errors.clear()
    assert testbed.broken_rules() == []
