"""State of an earlier version: this version recovers it, and writes records that the earlier version reads."""

from __future__ import annotations

import asyncio
import json
import shutil
import time
from pathlib import Path
from typing import Any

import pytest

from linnetstile.platform_relay import clock
from linnetstile.platform_relay.journal import Journal
from linnetstile.platform_relay.journal_codec import (
    encode_accepted,
    encode_attempt_ended,
    encode_attempt_started,
    encode_compacted,
    encode_completed,
    encode_pending_notice,
)
from linnetstile.platform_relay.journal_replay import replay
from linnetstile.platform_relay.records import (
    JournaledAttempt,
    JournaledMessage,
    MessageFields,
    Notice,
    NoticeResult,
    PendingNotice,
)

from .relay_testbed import RelayTestbed, delivered_ids, is_idle, run_scenario, wait_until, wait_until_idle

DATA = Path(__file__).parent.parent / "data" / "platform_state"
KILL: dict[str, Any] = json.loads((DATA / "kill.json").read_text())
RECORDS = {name: bytes.fromhex(text) for name, text in json.loads((DATA / "records.json").read_text()).items()}
KILLED_JOURNAL = (DATA / "killed" / "journal").read_bytes()
REWRITTEN_JOURNAL = (DATA / "rewritten" / "journal").read_bytes()

DESTINATIONS = range(1, 10)
RESTART_DELAY_MS = 100.0
DELIVERED_ONCE = [
    "behind-charge",
    "no-effect-order",
    "no-effect-pay",
    "no-effect-state",
    "open-state",
    "unclear-order",
    "untried-order",
    "untried-pay",
    "untried-state",
]
PENDING_AT_KILL = {"failed-pay": "dead", "rejected-state": "bounced", "rejected-charge": "bounced"}


def fields(ordering_key: int | None) -> MessageFields:
    return MessageFields("m-é", "order", "acme", 3, "k", ordering_key, 1000.5, 9000.0)


def pending(result: NoticeResult, ordering_key: int, retry_after_ms: int | None = None) -> PendingNotice:
    return PendingNotice(1, Notice("m-é", result, retry_after_ms), ordering_key)


ENCODED = {
    "accepted": encode_accepted(JournaledMessage(1, fields(7), b"\x00body")),
    "accepted without ordering key": encode_accepted(JournaledMessage(1, fields(None), b"")),
    "attempt started": encode_attempt_started(1, JournaledAttempt(1001.25, 2, "s-0000é")),
    "attempt ended without effect": encode_attempt_ended(1, may_have_effect=False),
    "attempt ended unclear": encode_attempt_ended(1, may_have_effect=True),
    "notice failed": encode_pending_notice(pending(NoticeResult.FAILED, 7)),
    "notice rejected": encode_pending_notice(pending(NoticeResult.REJECTED, 0)),
    "notice rejected with advice": encode_pending_notice(pending(NoticeResult.REJECTED, 7, 250)),
    "completed": encode_completed(1),
}


@pytest.mark.parametrize("name", RECORDS)
def test_each_kind_of_record_is_encoded_as_by_the_old_version(name: str) -> None:
    assert ENCODED[name] == RECORDS[name]


@pytest.mark.parametrize("name", [name for name in RECORDS if name.startswith(("accepted", "notice"))])
def test_record_of_the_old_version_is_decoded_and_encoded_again_unchanged(name: str) -> None:
    records, damaged_bytes = replay(RECORDS[name])
    assert damaged_bytes == 0
    assert b"".join(encode_compacted(records[1])) == RECORDS[name]


def test_old_journal_is_compacted_to_the_bytes_of_the_old_version(tmp_path: Path) -> None:
    shutil.copyfile(DATA / "killed" / "journal", tmp_path / "journal")
    journal = Journal(tmp_path, 100_000)
    assert len(journal.open()) == 13
    journal.close()
    assert journal.damaged_bytes == 0
    assert (tmp_path / "journal").read_bytes() == REWRITTEN_JOURNAL


def test_old_journal_has_the_same_records_before_and_after_its_compaction() -> None:
    assert replay(KILLED_JOURNAL) == replay(REWRITTEN_JOURNAL)


async def prepare_platform(testbed: RelayTestbed, tmp_path: Path, folder: str) -> None:
    """Set up the platform as it was at the kill, and the state folder for the next relay."""
    for destination in DESTINATIONS[1:]:  # each testbed already has an endpoint of the first destination
        await testbed.add_endpoint(destination)
    testbed.settings = KILL["settings"]
    testbed.state_folder = tmp_path / folder
    shutil.copytree(DATA / folder, testbed.state_folder)


@pytest.fixture
def clock_after_kill(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the Unix time continue from shortly after the kill."""
    offset_ms = KILL["killed_at_ms"] + RESTART_DELAY_MS - time.time() * 1000
    monkeypatch.setattr(clock, "unix_ms", lambda: time.time() * 1000 + offset_ms)


@pytest.mark.usefixtures("clock_after_kill")
@pytest.mark.parametrize("folder", ["killed", "rewritten"])
def test_each_message_of_an_old_state_has_its_result_and_each_notice_arrives_once(tmp_path: Path, folder: str) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        await prepare_platform(testbed, tmp_path, folder)
        relay = await testbed.start_relay()
        await wait_until_idle(relay)
        assert sorted(delivered_ids(testbed)) == DELIVERED_ONCE
        notices = sorted((notice["ref"], notice["result"]) for notice in testbed.notices)
        # The attempt of open-pay was in flight at the kill: it may have run, and the class may not be retried.
        assert notices == sorted([*PENDING_AT_KILL.items(), ("open-pay", "dead")])

    run_scenario(tmp_path, scenario)


@pytest.mark.usefixtures("clock_after_kill")
def test_message_ordered_after_an_old_notice_waits_until_the_platform_accepts_it(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        await prepare_platform(testbed, tmp_path, "killed")
        testbed.notice_statuses = [500]
        relay = await testbed.start_relay()
        await wait_until(lambda: relay.delivery.waiting_for_order)
        await asyncio.sleep(0.1)
        assert "behind-charge" not in delivered_ids(testbed)
        testbed.notice_statuses = [204]
        await wait_until(lambda: "behind-charge" in delivered_ids(testbed))
        assert "rejected-charge" in {notice["ref"] for notice in testbed.notices}

    run_scenario(tmp_path, scenario)


@pytest.mark.usefixtures("clock_after_kill")
def test_relay_that_completed_an_old_state_leaves_no_message_to_the_next_one(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        await prepare_platform(testbed, tmp_path, "killed")
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        await wait_until_idle(first)
        await asyncio.sleep(0.05)
        testbed.stop_relay(first)
        second = await testbed.start_relay(discovery_address)
        assert is_idle(second)
        assert second.accepted.last_id == 0

    run_scenario(tmp_path, scenario)
