"""End to end: draining endpoints, recovering partners and restarts, over several relays."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

import pytest

from linnetstile.as2_relay.relay import As2Relay
from linnetstile.telemetry.log import create_logger

from .relay_process import RelayProcess, write_settings
from .relay_testbed import RelayTestbed, answer_kind, async_test, wait_until
from .testbed_settings import partner_fault


@pytest.mark.parametrize("status", ["draining", "gone"])
@async_test
async def test_a_draining_or_removed_endpoint_gets_no_new_requests_under_load(tmp_path: Path, status: str) -> None:
    async with RelayTestbed(tmp_path, relays=2, endpoints=2) as testbed:
        load = asyncio.create_task(testbed.submit_evenly("safe", 30, 2.0))
        await testbed.sleep_until(0.7)
        used_endpoint = testbed.partner_records("began")[-1]["endpoint"]  # either one: both relays may use the same
        testbed.change_endpoint(used_endpoint, status)
        await testbed.sleep_until(1.4)
        testbed.change_endpoint(used_endpoint, "ready")
        assert Counter(map(answer_kind, await load)) == {"delivered": 60}
        attempts_while_withdrawn = [
            row
            for row in testbed.partner_records("began")
            if row["endpoint"] == used_endpoint and 800 < row["t"] - testbed.partner_emulator.script_start_ms < 1400
        ]
        assert not attempts_while_withdrawn
        assert {row["endpoint"] for row in testbed.partner_records("began")} == {1, 2}
    assert testbed.broken_rules() == []


@pytest.mark.parametrize("fault_kind", ["shut", "hang", "crash"])
@async_test
async def test_several_relays_do_not_overload_a_recovering_partner_in_slow_start(
    tmp_path: Path, fault_kind: str
) -> None:
    faults = [partner_fault(fault_kind, at_s=0.3, for_s=2.5)]
    async with RelayTestbed(tmp_path, relays=3, faults=faults, partner={"rate": 15.0}) as testbed:
        await testbed.submit_evenly("safe", 12, 7.0)
        assert not testbed.partner_records("fallen")
        assert [
            row
            for row in testbed.partner_records("began")
            if row["t"] - testbed.partner_emulator.script_start_ms > 4000
        ]
    assert testbed.broken_rules() == []


@async_test
async def test_after_a_kill_and_restart_a_resubmitted_message_takes_effect_once(tmp_path: Path) -> None:
    """The client resubmits what the killed relay had accepted; the partner deduplicates it by its key."""
    async with RelayTestbed(tmp_path, partner={"work_ms": 600}) as testbed:
        settings_file = write_settings(testbed.relay_settings("r1"), tmp_path / "relay.yaml")
        first_run = await RelayProcess.start(settings_file, "--log-level", "error")
        deduplicated = testbed.make_message("keyed")
        non_idempotent = testbed.make_message("unsafe")
        submissions = [
            asyncio.create_task(first_run.submit_until_accepted(testbed, message))
            for message in (deduplicated, non_idempotent)
        ]
        await wait_until(lambda: len(testbed.partner_records("began")) >= 2, poll_s=0.02)
        first_run.child.send_signal(signal.SIGKILL)
        await first_run.child.wait()
        assert [answer_kind(answer) for answer in await asyncio.gather(*submissions)] == ["lost", "lost"]
        second_run = await RelayProcess.start(settings_file, "--log-level", "error")
        retried = await second_run.submit_until_accepted(testbed, deduplicated)
        assert answer_kind(retried) == "delivered"
        assert b"duplicate-document" in retried.body
        assert Counter(row["mid"] for row in testbed.partner_records("effect")) == {
            deduplicated.head.message_id: 1,
            non_idempotent.head.message_id: 1,
        }
        second_run.child.send_signal(signal.SIGTERM)
        assert await second_run.wait_for_exit() == 0


@async_test
async def test_a_port_in_use_is_reported_as_one_clear_error(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        settings = testbed.relay_settings("r9", listen=testbed.relays[0].address)
        with pytest.raises(OSError, match="address already in use"):
            await As2Relay(settings, create_logger("error")).start()
