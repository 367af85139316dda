"""Long lists, which are read in parts: bounded events, resumed watches and truncated lists."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest

from linnetstile.engine.events import EndpointStatus
from linnetstile.engine.watch_policy import ENTRIES_PER_EVENT

from .discovery_emulator import FULL_LIST_REQUEST, DiscoveryEmulator, resume_request
from .http_messages import WATCH_RESPONSE_HEAD, chunk
from .list_factories import LONG_LIST_SIZE, list_entry, listed_addresses
from .watch_testbed import WatchTestbed, run_watch_scenario

CUT_AT_BYTE = 300_000


@pytest.mark.parametrize("indent", [None, 2])
def test_long_list_is_published_in_bounded_events(indent: int | None) -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_match()
        await testbed.wait_until(testbed.watch.first_list_read.is_set)
        assert len(testbed.events) > LONG_LIST_SIZE / ENTRIES_PER_EVENT
        assert not testbed.log_events
        testbed.events.clear()
        emulator.watch_writers[0].write(
            chunk(emulator.change(list_entry("a", "DRAINING"), list_entry("s-7", "DELETED")))
        )
        await testbed.wait_for_match()
        assert [len(event.endpoints) for event in testbed.events] == [2]

    run_watch_scenario(scenario, indent=indent, extra_endpoints=LONG_LIST_SIZE)


@pytest.mark.parametrize("indent", [None, 2])
def test_watch_resumes_from_the_version_of_a_long_list(indent: int | None) -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        testbed.events.clear()
        emulator.watch_writers[0].write(
            chunk(emulator.change(list_entry("a", "DRAINING"), list_entry("s-7", "DELETED")))
        )
        await testbed.wait_for_match()
        emulator.watch_writers[0].close()
        await testbed.wait_for_watches(2)  # nothing has changed, so the second watch gets no list
        emulator.watch_writers[1].write(chunk(b"\n"))
        await testbed.wait_until(lambda: testbed.is_watch_useful() and testbed.watch.watches_opened == 2)
        emulator.resumed_changes = [list_entry("b", "DELETED"), list_entry("new", destination=9)]
        emulator.change(*emulator.resumed_changes)
        emulator.watch_writers[1].close()
        await testbed.wait_for_match()
        assert emulator.requested_paths == [FULL_LIST_REQUEST, resume_request(41), resume_request(41)]
        assert sum(len(event.endpoints) for event in testbed.events) == 4
        assert not testbed.log_events

    run_watch_scenario(scenario, indent=indent, extra_endpoints=LONG_LIST_SIZE)


def test_resumed_watch_accepts_a_full_list_and_publishes_only_its_changes() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        emulator.sends_full_list_on_resume = True
        testbed.events.clear()
        emulator.version = 47
        emulator.watch_writers[0].close()
        await testbed.wait_for_version(47)
        assert not testbed.events
        assert testbed.matches_discovery()
        emulator.change(list_entry("s-9", "DELETED"), list_entry("new", destination=9))
        emulator.watch_writers[1].close()
        await testbed.wait_for_match()
        assert emulator.requested_paths == [FULL_LIST_REQUEST, resume_request(40), resume_request(47)]
        assert sum(len(event.endpoints) for event in testbed.events) == 2

    run_watch_scenario(scenario, extra_endpoints=LONG_LIST_SIZE)


def chunk_that_stops_in_the_middle(full_list: bytes) -> bytes:
    return b"%x\r\n%s" % (len(full_list), full_list[:CUT_AT_BYTE])


def list_with_a_syntax_error_in_the_middle(full_list: bytes) -> bytes:
    error_at = full_list.index(b"},", CUT_AT_BYTE) + 1
    return chunk(full_list[:error_at] + b"}" + full_list[error_at:])


def body_that_ends_in_the_middle(full_list: bytes) -> bytes:
    return chunk(full_list[:CUT_AT_BYTE]) + b"0\r\n\r\n"


def list_that_stops_in_its_first_entry(full_list: bytes) -> bytes:
    return chunk(full_list[: full_list.index(b"{", 2) + 9])


@pytest.mark.parametrize(
    ("truncate", "closes_connection", "log_event"),
    [
        (chunk_that_stops_in_the_middle, True, "list_truncated"),
        (chunk_that_stops_in_the_middle, False, "list_truncated"),
        (list_with_a_syntax_error_in_the_middle, False, "list_rejected"),
        (body_that_ends_in_the_middle, False, "list_truncated"),
        (list_that_stops_in_its_first_entry, True, "list_truncated"),
        (list_that_stops_in_its_first_entry, False, "list_truncated"),
    ],
)
@pytest.mark.parametrize("is_resumed", [False, True])
def test_truncated_long_list_removes_nothing_and_its_version_is_not_recorded(
    truncate: Callable[[bytes], bytes], closes_connection: bool, log_event: str, is_resumed: bool
) -> None:
    """Each truncated list causes one log event, and the full list is requested again after a growing backoff."""
    has_entries = truncate is not list_that_stops_in_its_first_entry

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        names_before = set(emulator.entries)
        emulator.sends_full_list_on_resume = is_resumed
        emulator.change(
            list_entry("s-1", "DRAINING"),
            list_entry("s-2", "DELETED"),
            list_entry("s-3", destination=77),
            list_entry("a", "DELETED"),
        )
        emulator.scripted_responses = [(WATCH_RESPONSE_HEAD + truncate(emulator.full_list()), False)] * 3
        emulator.watch_writers[0].close()
        for truncated_count in (1, 2, 3):
            await testbed.wait_for_watches(1 + truncated_count)
            if closes_connection:
                await asyncio.sleep(0.2)  # lets the bytes reach the watch before the connection closes
                emulator.watch_writers[-1].close()
            if truncated_count < 3:
                await testbed.wait_for_watches(2 + truncated_count)
                assert testbed.directory.version_guard.newest_version == 40
                names = {address.name for address in listed_addresses(testbed.directory)}
                assert names == names_before, "an endpoint that was not in the truncated list was removed"
                endpoint = testbed.directory.endpoint(testbed.directory.id_of("s-1"))
                assert endpoint
                assert (endpoint.status is EndpointStatus.DRAINING) == has_entries
        await testbed.wait_for_version(41)
        await testbed.wait_for_match()
        assert [event for event, _ in testbed.log_events] == [log_event] * 3
        assert all(fields["why"] for _, fields in testbed.log_events)
        assert all(fields["entries"] > 1000 or not has_entries for _, fields in testbed.log_events)
        assert emulator.requested_paths == [FULL_LIST_REQUEST, resume_request(40), *[FULL_LIST_REQUEST] * 3]
        assert testbed.watch.failures == 4

    run_watch_scenario(scenario, extra_endpoints=LONG_LIST_SIZE)


def test_older_long_list_is_rejected_before_any_entry_is_read_and_requested_again() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        testbed.events.clear()
        older_list = emulator.encode(
            {"version": 39, "full": True, "servers": [list_entry(name, "DRAINING") for name in emulator.entries]}
        )
        emulator.scripted_responses = [(WATCH_RESPONSE_HEAD + chunk(older_list), False)]
        emulator.watch_writers[0].close()
        await testbed.wait_for_watches(3)
        await testbed.wait_until(testbed.is_watch_useful)
        assert testbed.matches_discovery()
        assert not testbed.events
        assert emulator.requested_paths == [FULL_LIST_REQUEST, resume_request(40), FULL_LIST_REQUEST]
        assert testbed.log_events == [
            ("list_rejected", {"why": "version: expected 40 or later, found 39", "entries": 0})
        ]

    run_watch_scenario(scenario, extra_endpoints=LONG_LIST_SIZE)


def test_malformed_entries_of_a_long_list_cause_one_log_event() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        valid_entries = dict(emulator.entries)
        emulator.entries["s-3000"] = list_entry("s-3000", destination="x")
        emulator.entries["s-4000"] = list_entry("s-4000", addr="nowhere")
        emulator.version = 41
        emulator.watch_writers[0].write(chunk(emulator.full_list()))
        await testbed.wait_for_version(41)
        emulator.entries = valid_entries
        assert testbed.matches_discovery()
        assert len(emulator.watch_writers) == 1
        assert testbed.log_events == [
            (
                "entries_skipped",
                {
                    "skipped": 2,
                    "of": LONG_LIST_SIZE + 2,
                    "first": "servers[3002]: cell: expected a whole number from 0 to 999999999, found 'x'",
                },
            )
        ]

    run_watch_scenario(scenario, extra_endpoints=LONG_LIST_SIZE)


def test_long_list_that_cannot_be_read_in_parts_is_limited_in_bytes() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        # The version comes after the entries, so the whole list has to be buffered.
        list_with_late_version = {"servers": list(emulator.entries.values()), "version": 50, "full": True}
        emulator.watch_writers[0].write(chunk(json.dumps(list_with_late_version).encode()))
        await testbed.wait_until(lambda: testbed.log_events)
        assert testbed.log_events == [("list_rejected", {"why": "a value of more than 200000 bytes", "entries": 0})]
        await testbed.wait_for_watches(2)
        assert testbed.matches_discovery()

    run_watch_scenario(scenario, extra_endpoints=LONG_LIST_SIZE, max_list_bytes=200_000)


def test_changes_after_a_long_list_wait_until_missing_endpoints_are_removed() -> None:
    """A full list removes all but two endpoints, and the changes after it add one of them again under its old name.

    If the changes were applied before the removal is complete, the removal would delete the new endpoint.
    """

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        testbed.events.clear()
        emulator.version += 1
        emulator.entries = {"a": list_entry("a"), "b": list_entry("b", destination=2)}
        full_list = emulator.full_list()
        changes = emulator.change(list_entry("s-4999", destination=3), list_entry("a", "DRAINING"))
        emulator.watch_writers[0].write(chunk(full_list + changes))
        await testbed.wait_for_match()
        *removals, last_event = testbed.events
        full_events = LONG_LIST_SIZE // ENTRIES_PER_EVENT
        assert [len(event.endpoints) for event in removals][:-1] == [ENTRIES_PER_EVENT] * full_events
        removed = [endpoint for event in removals for endpoint in event.endpoints]
        assert {endpoint.status for endpoint in removed} == {EndpointStatus.GONE}
        assert [(endpoint.status, endpoint.destination) for endpoint in last_event.endpoints] == [
            (EndpointStatus.DRAINING, 1),
            (EndpointStatus.READY, 3),
        ]

    run_watch_scenario(scenario, extra_endpoints=LONG_LIST_SIZE)


def test_discovery_move_during_a_long_list_discards_the_rest_of_it() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_first_list()
        emulator.version += 1
        entries_after_move = dict(emulator.entries)
        emulator.entries = {"z": list_entry("z", "DRAINING")} | entries_after_move
        del emulator.entries["s-4"]
        emulator.watch_writers[0].write(chunk_that_stops_in_the_middle(emulator.full_list()))
        await testbed.wait_until(lambda: testbed.directory.id_of("z"))
        assert testbed.watch.is_reading_list
        emulator.entries = entries_after_move
        testbed.watch.move(await emulator.start())
        assert not testbed.watch.is_reading_list
        await testbed.wait_for_match()
        assert emulator.requested_paths == [FULL_LIST_REQUEST, FULL_LIST_REQUEST]

    run_watch_scenario(scenario, extra_endpoints=LONG_LIST_SIZE)
