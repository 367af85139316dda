"""Recovery: accepted messages after a kill or a restart, also with other settings, endpoints or another clock."""

from __future__ import annotations

import asyncio
import errno
import os
import shutil
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from linnetstile.platform_relay import clock

from .http_messages import MALFORMED_RESPONSE, OK_RESPONSE, request_status, submission, too_many_requests
from .journal_hooks import call_after_each_write
from .relay_testbed import (
    CLASSES,
    SETTINGS,
    Address,
    RelayTestbed,
    delivered_ids,
    run_scenario,
    wait_until,
    wait_until_idle,
    with_limits,
    with_state,
)

MESSAGE_COUNT = 12


def with_renamed(part: str, name: str) -> dict[str, Any]:
    """Return the settings with another name for the item `name` of a part."""
    return SETTINGS | {part: [{**item, "name": "new"} if item["name"] == name else item for item in SETTINGS[part]]}


SETTINGS_AFTER_RESTART: dict[str, dict[str, Any]] = {
    "unchanged": SETTINGS,
    "classes in another order": SETTINGS | {"classes": CLASSES[::-1]},
    "one class removed": with_renamed("classes", "state"),
    "all classes removed": SETTINGS | {"classes": [{**CLASSES[1], "name": "other"}]},
    "tenant removed": with_renamed("orgs", "acme"),
    "no tenants": {key: value for key, value in SETTINGS.items() if key != "orgs"},
    "another zone": SETTINGS | {"zones": ["y", "z"]},
    "other kinds": SETTINGS | {"kinds": ["j"]},
    "fewer calls in flight": SETTINGS | {"extra": {"call-slots": 1}},
    "fewer pending messages": with_limits(open_cap=14),
}


async def kill_with_unsent_messages(testbed: RelayTestbed, folder: Path) -> Address:
    """Kill a relay that accepted messages of each class and sent none; return discovery's address."""
    discovery_address = await testbed.start_discovery()
    first = await testbed.start_relay(discovery_address)
    testbed.send_list(with_state(testbed.entries, "DRAINING"))
    await wait_until(lambda: not len(first.engine.routing_table.index))
    for number in range(MESSAGE_COUNT):
        class_name = str(CLASSES[number % len(CLASSES)]["name"])
        assert await request_status(first, submission(f"m{number}", class_name, time_left="5500m")) == 202
    testbed.kill_relay(first, folder / "as killed")
    assert not testbed.endpoint_calls
    return discovery_address


@pytest.mark.parametrize("change", SETTINGS_AFTER_RESTART)
def test_accepted_message_without_an_attempt_is_sent_after_a_restart(tmp_path: Path, change: str) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_unsent_messages(testbed, tmp_path)
        testbed.settings = SETTINGS_AFTER_RESTART[change]
        second = await testbed.start_relay(discovery_address)
        assert len(second.accepted) == MESSAGE_COUNT
        await wait_until_idle(second)
        assert sorted(set(delivered_ids(testbed))) == sorted(f"m{number}" for number in range(MESSAGE_COUNT))
        assert not testbed.notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(("class_name", "is_retried"), [("state", True), ("order", True), ("pay", False)])
def test_message_in_flight_at_a_kill_is_retried_or_notified_after_it(
    tmp_path: Path, class_name: str, is_retried: bool
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        testbed.scripted_responses[1] = [None]
        assert await request_status(first, submission("m", class_name)) == 202
        await wait_until(lambda: testbed.endpoint_calls)
        testbed.kill_relay(first, tmp_path / "as killed")
        second = await testbed.start_relay(discovery_address)
        assert await request_status(second, submission("m", class_name)) == 409
        await wait_until_idle(second)
        assert delivered_ids(testbed) == ["m"] * (1 + is_retried)
        assert testbed.notices == ([] if is_retried else [{"ref": "m", "result": "dead"}])

    run_scenario(tmp_path, scenario)


@dataclass(frozen=True)
class JournalSnapshot:
    """The state folder after a write, and how many calls endpoints had received until then."""

    folder: Path
    call_count: int


async def record_snapshots(
    testbed: RelayTestbed, class_name: str, monkeypatch: pytest.MonkeyPatch
) -> list[JournalSnapshot]:
    """Deliver a message whose first attempt is unclear; return the state after each write."""
    snapshots: list[JournalSnapshot] = []
    recorded_folder = testbed.state_folder

    def record(folder: Path) -> None:
        if folder == recorded_folder:
            copy = folder.parent / f"kill-{len(snapshots)}"
            shutil.copytree(folder, copy)
            snapshots.append(JournalSnapshot(copy, len(testbed.endpoint_calls)))

    call_after_each_write(monkeypatch, record)
    relay = await testbed.start_relay()
    testbed.scripted_responses[1] = [MALFORMED_RESPONSE, OK_RESPONSE]
    assert await request_status(relay, submission("m", class_name)) == 202
    await wait_until_idle(relay)
    await asyncio.sleep(0.05)
    testbed.stop_relay(relay)
    return snapshots


@pytest.mark.parametrize("class_name", ["pay", "state"])
def test_message_has_one_result_and_no_second_effect_after_a_kill_at_any_write(
    tmp_path: Path, class_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A kill leaves the folder as it is after one of the writes that a message causes."""

    async def scenario(testbed: RelayTestbed) -> None:
        snapshots = await record_snapshots(testbed, class_name, monkeypatch)
        assert len(snapshots) >= 4
        discovery_address = await testbed.start_discovery()
        for number, snapshot in enumerate(snapshots):
            testbed.state_folder = snapshot.folder
            testbed.endpoint_calls.clear()
            testbed.notices.clear()
            relay = await testbed.start_relay(discovery_address)
            await wait_until_idle(relay)
            testbed.stop_relay(relay)
            sent_count, notice_count = len(testbed.endpoint_calls), len(testbed.notices)
            is_attempted = snapshot.call_count > 0 or number > 0  # the second write has the start of an attempt
            if class_name == "pay":
                assert sent_count == (0 if is_attempted else 1)
                assert sent_count + notice_count <= 1
            else:
                assert sent_count <= 1
                assert not notice_count

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("listed", ["later", "draining at first"])
def test_message_waits_for_a_destination_that_has_no_endpoint_yet(tmp_path: Path, listed: str) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_unsent_messages(testbed, tmp_path)
        entries = testbed.entries
        testbed.entries = [] if listed == "later" else with_state(entries, "DRAINING")
        second = await testbed.start_relay(discovery_address)
        assert len(second.accepted) == MESSAGE_COUNT
        assert not testbed.endpoint_calls
        testbed.send_list(entries)
        await wait_until_idle(second)
        assert len(set(delivered_ids(testbed))) == MESSAGE_COUNT
        assert not testbed.notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("clock_shift_ms", [-3_600_000.0, 0.0])
def test_clock_that_was_set_back_gives_no_message_more_time_than_it_had(
    tmp_path: Path, clock_shift_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_unsent_messages(testbed, tmp_path)
        unix_ms = clock.unix_ms
        monkeypatch.setattr(clock, "unix_ms", lambda: unix_ms() + clock_shift_ms)
        testbed.entries = with_state(testbed.entries, "DRAINING")
        second = await testbed.start_relay(discovery_address)
        await asyncio.sleep(0)
        messages = second.engine.queues.messages.values()
        assert len(messages) == MESSAGE_COUNT
        assert all(0 < message.deadline - second.engine_loop.now_ms <= 5500 for message in messages)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("may_have_run", [True, False])
def test_message_of_a_removed_class_is_sent_but_never_retried_once_it_may_have_run(
    tmp_path: Path, may_have_run: bool
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        testbed.scripted_responses[1] = [None if may_have_run else too_many_requests(retry_after_s=1)]
        assert await request_status(first, submission("m", "state")) == 202
        await wait_until(lambda: testbed.endpoint_calls if may_have_run else first.counts.get("ended_full"))
        testbed.kill_relay(first, tmp_path / "as killed")
        testbed.settings = with_renamed("classes", "state")
        second = await testbed.start_relay(discovery_address)
        assert await request_status(second, submission("n", "")) == 400  # no client can name the removed class
        await wait_until_idle(second)
        assert delivered_ids(testbed) == (["m"] if may_have_run else ["m", "m"])
        assert testbed.notices == ([{"ref": "m", "result": "dead"}] if may_have_run else [])

    run_scenario(tmp_path, scenario)


def test_relay_starts_with_the_old_journal_if_the_disk_has_no_room_for_a_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await kill_with_unsent_messages(testbed, tmp_path)
        rename = os.rename

        def fail(*paths: Any) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        monkeypatch.setattr(os, "rename", fail)
        second = await testbed.start_relay(discovery_address)
        assert len(second.accepted) == MESSAGE_COUNT
        assert second.journal.failed_writes
        monkeypatch.setattr(os, "rename", rename)
        await wait_until_idle(second)
        assert len(set(delivered_ids(testbed))) == MESSAGE_COUNT
        assert not testbed.notices
        assert second.journal.size <= second.journal.compaction_bytes  # rewritten once the disk had space again

    run_scenario(tmp_path, scenario)


def test_submission_id_of_a_completed_message_is_not_accepted_again_after_a_restart(tmp_path: Path) -> None:
    """Completed ids are journaled, so that a non-idempotent message does not run twice."""

    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        assert await request_status(first, submission("m", "pay")) == 202
        await wait_until_idle(first)
        assert await request_status(first, submission("m", "pay")) == 409
        testbed.stop_relay(first)
        second = await testbed.start_relay(discovery_address)
        assert await request_status(second, submission("m", "pay")) == 409
        await wait_until_idle(second)
        assert delivered_ids(testbed) == ["m"]
        assert await request_status(second, submission("m", "pay")) == 409

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("ends", ["delivered", "with a notice"])
def test_id_of_an_ended_message_is_not_accepted_again_after_a_kill(tmp_path: Path, ends: str) -> None:
    # Guards against an id that runs twice when it comes again after its client has left and the relay was killed.
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(7, "DRAINING")
        destination, time_left = (1, "5000m") if ends == "delivered" else (7, "100m")
        relay = await testbed.start_relay()
        message = submission("m", destination=destination, time_left=time_left)
        assert await request_status(relay, message) == 202
        await wait_until_idle(relay)
        for number in range(2):
            testbed.kill_relay(relay, tmp_path / f"restart-{number}" / "journal")
            relay = await testbed.start_relay()
            assert await request_status(relay, submission("m")) == 409
        assert await request_status(relay, submission("other")) == 202
        await wait_until_idle(relay)
        assert delivered_ids(testbed).count("m") == (ends == "delivered")

    run_scenario(tmp_path, scenario)
