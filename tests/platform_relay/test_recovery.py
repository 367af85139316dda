"""Recovery: every accepted message without an attempt is sent after a restart, whatever has changed meanwhile."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import pytest

from linnetstile.platform_relay import clock

from .relay_testbed import (
    CLASSES,
    SETTINGS,
    RelayTestbed,
    delivered_ids,
    is_idle,
    request_status,
    run_scenario,
    submission,
    wait_until,
)

COUNT = 12


def renamed(raw: dict[str, Any], part: str, name: str) -> dict[str, Any]:
    return raw | {part: [{**each, "name": "new"} if each["name"] == name else each for each in raw[part]]}


CHANGES: dict[str, dict[str, Any]] = {
    "nothing": SETTINGS,
    "classes in another order": SETTINGS | {"classes": CLASSES[::-1]},
    "a class gone": renamed(SETTINGS, "classes", "state"),
    "all classes gone": SETTINGS | {"classes": [{**CLASSES[1], "name": "other"}]},
    "the tenant gone": renamed(SETTINGS, "orgs", "acme"),
    "no tenants": {key: value for key, value in SETTINGS.items() if key != "orgs"},
    "another zone": SETTINGS | {"zones": ["y", "z"]},
    "other kinds": SETTINGS | {"kinds": ["j"]},
    "fewer slots": SETTINGS | {"extra": {"call-slots": 1}},
    "a smaller hold": SETTINGS | {"limits": SETTINGS["limits"] | {"open-cap": 14}},
}


async def kill_with_untried_messages(testbed: RelayTestbed, state: Path) -> tuple[str, int]:
    """Kill a relay that accepted messages of each class and sent none; return discovery's address."""
    discovery_address = await testbed.start_discovery()
    first = await testbed.start_relay(discovery_address)
    testbed.send_list(testbed.watch_writers[-1], [{**each, "state": "DRAINING"} for each in testbed.entries])
    await wait_until(lambda: not len(first.engine.routing_table.index))
    for n in range(COUNT):
        assert (
            await request_status(first, submission(f"m{n}", str(CLASSES[n % len(CLASSES)]["name"]), left="5500m"))
            == 202
        )
    testbed.kill_relay(first, state / "as killed")
    assert not testbed.endpoint_calls
    return discovery_address


@pytest.mark.parametrize("change", CHANGES)
def test_accepted_message_without_an_attempt_is_sent_after_a_restart(tmp_path: Path, change: str) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_untried_messages(testbed, tmp_path)
        testbed.settings = CHANGES[change]
        second = await testbed.start_relay(discovery_address)
        assert len(second.accepted) == COUNT
        await wait_until(lambda: is_idle(second))
        assert sorted(set(delivered_ids(testbed))) == sorted(f"m{n}" for n in range(COUNT))
        assert not testbed.notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("listed", ["later", "draining at first"])
def test_destination_that_is_not_there_yet_is_waited_for(tmp_path: Path, listed: str) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_untried_messages(testbed, tmp_path)
        entries = testbed.entries
        testbed.entries = [] if listed == "later" else [{**each, "state": "DRAINING"} for each in entries]
        second = await testbed.start_relay(discovery_address)
        assert len(second.accepted) == COUNT
        assert not testbed.endpoint_calls
        testbed.send_list(testbed.watch_writers[-1], entries)
        await wait_until(lambda: is_idle(second))
        assert len(set(delivered_ids(testbed))) == COUNT
        assert not testbed.notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("moved_ms", [-3_600_000.0, 0.0])
def test_clock_that_was_set_back_gives_no_message_more_time_than_it_had(
    tmp_path: Path, moved_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_untried_messages(testbed, tmp_path)
        unix_ms = clock.unix_ms
        monkeypatch.setattr(clock, "unix_ms", lambda: unix_ms() + moved_ms)
        testbed.entries = [{**each, "state": "DRAINING"} for each in testbed.entries]
        second = await testbed.start_relay(discovery_address)
        await asyncio.sleep(0)
        held = second.engine.queues.messages.values()
        assert len(held) == COUNT
        assert all(0 < each.deadline - second.engine_loop.now_ms <= 5500 for each in held)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("risky", [True, False])
def test_message_of_a_removed_class_is_sent_but_never_retried_once_it_may_have_run(tmp_path: Path, risky: bool) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        testbed.scripted_answers[1] = [
            None if risky else b"HTTP/1.1 429 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
        ]
        assert await request_status(first, submission("m", "state")) == 202
        await wait_until(lambda: testbed.endpoint_calls if risky else first.counts.get("ended_full"))
        testbed.kill_relay(first, tmp_path / "as killed")
        testbed.settings = renamed(SETTINGS, "classes", "state")
        second = await testbed.start_relay(discovery_address)
        assert await request_status(second, submission("n", "")) == 400  # nobody can name that class
        await wait_until(lambda: is_idle(second))
        assert delivered_ids(testbed) == (["m"] if risky else ["m", "m"])
        assert testbed.notices == ([{"ref": "m", "result": "dead"}] if risky else [])

    run_scenario(tmp_path, scenario)


def test_relay_starts_on_what_there_is_where_the_disk_takes_no_new_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_untried_messages(testbed, tmp_path)
        rename = os.rename

        def full(*names: Any) -> None:
            raise OSError(28, "No space left on device")

        monkeypatch.setattr(os, "rename", full)
        second = await testbed.start_relay(discovery_address)
        assert len(second.accepted) == COUNT
        assert second.journal.failed_writes
        monkeypatch.setattr(os, "rename", rename)
        await wait_until(lambda: is_idle(second))
        assert len(set(delivered_ids(testbed))) == COUNT
        assert not testbed.notices
        assert second.journal.size <= second.journal.compaction_bytes  # rewritten as soon as there was room

    run_scenario(tmp_path, scenario)


def test_identifier_that_ended_before_a_restart_is_a_new_one_after_it(tmp_path: Path) -> None:
    """What it costs that ended identifiers are not kept: work that may run only once runs again for a client that
    hands in the same identifier after the end and after a restart, which the platform's page rules out."""

    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        assert await request_status(first, submission("m", "pay")) == 202
        await wait_until(lambda: is_idle(first))
        assert await request_status(first, submission("m", "pay")) == 409
        testbed.stop_relay(first)
        second = await testbed.start_relay(discovery_address)
        assert await request_status(second, submission("m", "pay")) == 202
        await wait_until(lambda: is_idle(second))
        assert delivered_ids(testbed) == ["m", "m"]
        assert await request_status(second, submission("m", "pay")) == 409

    run_scenario(tmp_path, scenario)
