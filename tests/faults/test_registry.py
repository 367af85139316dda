"""End to end: a partner registry that fails, sends invalid lists, or sends an outdated list."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .relay_testbed import RelayTestbed, answer_kind, async_test


@async_test
async def test_a_registry_that_fails_or_sends_an_invalid_list_is_polled_again(tmp_path: Path) -> None:
    registry_faults = [
        {"kind": "fail", "at_s": 0, "for_s": 0.6},
        {"kind": "garbage", "at_s": 0.6, "for_s": 0.5},
    ]
    async with RelayTestbed(tmp_path, registry_fields={"troubles": registry_faults}) as testbed:
        late_relay = await testbed.start_relay(wait=False)
        answer = await testbed.submit(testbed.make_message("safe"), 1)
        assert answer_kind(answer) == "refused"
        assert answer.head is not None
        assert answer.head.status == 503
        await testbed.sleep_until(3.0)
        assert late_relay.registry.version == 1
        assert late_relay.registry.list_counts.failed >= 2
        assert answer_kind(await testbed.submit(testbed.make_message("safe"), 1)) == "delivered"
    assert testbed.broken_rules() == []


@async_test
async def test_an_older_list_does_not_restore_removed_endpoints(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, endpoints=2) as testbed:
        testbed.change_endpoint(2, "gone")
        await asyncio.sleep(0.1)
        relay = testbed.relays[0]
        assert relay.registry.version == 2
        testbed.registry.version = 1
        testbed.registry.entries[2]["status"] = "ready"
        relay.registry.is_watching = False
        relay.registry.watch()
        await asyncio.sleep(0.1)
        assert relay.registry.version == 2
        assert relay.registry.list_counts.failed >= 1
        testbed.registry.version = 3
