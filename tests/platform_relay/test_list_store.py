"""The list of endpoints in the state folder, by which a process starts while discovery is silent."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.list_store import ListStore, StoredNames, newer_list

from .http_messages import request_status, submission
from .list_factories import list_entry
from .relay_process import free_port
from .relay_testbed import RelayTestbed, run_scenario, wait_until, wait_until_idle, with_state

MAX_BYTES = 10_000
ENTRIES = [
    list_entry("s-1", addr="10.0.0.1:3000", weight=2.5, kind="k", zone="z"),
    list_entry("s-2", "DRAINING", 7, addr="host.internal:80", kind="unknown", zone="unknown"),
    list_entry("n\u00e4me", destination=9, addr="10.0.0.3:3000"),
]


def make_directory(entries: list[dict[str, Any]]) -> Directory:
    directory = Directory(("k",), ("z",))
    directory.apply_list({"version": 5, "full": True, "servers": entries})
    return directory


def store_list(folder: Path, entries: list[dict[str, Any]], max_bytes: int = MAX_BYTES) -> ListStore:
    directory = make_directory(entries)
    store = ListStore(folder, max_bytes)
    store.write(StoredNames(directory.version_guard.newest_version, ("k",), ("z",)), directory.records())
    return store


def test_stored_list_gives_the_same_endpoints(tmp_path: Path) -> None:
    stored = store_list(tmp_path, ENTRIES).read()
    assert stored is not None
    assert stored["version"] == 5
    assert list(make_directory(stored["servers"]).records()) == list(make_directory(ENTRIES).records())


def test_damaged_missing_or_cut_list_is_not_used(tmp_path: Path) -> None:
    store = store_list(tmp_path, ENTRIES)
    path = tmp_path / "endpoints"
    content = path.read_bytes()
    for damaged in (b"", content[:5], content[:-1], content[:40] + b"?" + content[41:], b"?" + content[1:]):
        path.write_bytes(damaged)
        assert store.read() is None
    path.unlink()
    assert store.read() is None


def test_list_that_is_too_long_leaves_no_older_one(tmp_path: Path) -> None:
    store_list(tmp_path, ENTRIES)
    many = [list_entry(f"s-{number}", destination=number) for number in range(1000)]
    assert store_list(tmp_path, many).read() is None
    assert not list(tmp_path.iterdir())


def test_list_that_cannot_be_written_is_counted(tmp_path: Path) -> None:
    store = store_list(tmp_path / "missing", ENTRIES)
    assert store.failed_writes == 1
    assert store.read() is None


@pytest.mark.parametrize(
    ("stored", "known", "expected"),
    [
        (None, {"version": 3}, {"version": 3}),
        ({"version": 3}, {"version": 3, "full": True}, {"version": 3}),
        ({"version": 3}, {"version": 4}, {"version": 4}),
        ({"version": None}, {"version": 4}, {"version": None}),
        ({"version": 3}, {}, {"version": 3}),
    ],
)
def test_later_of_the_stored_and_the_known_list_is_used(
    stored: dict[str, Any] | None, known: dict[str, Any], expected: dict[str, Any]
) -> None:
    assert newer_list(stored, known) == expected


def test_process_that_starts_while_discovery_is_silent_goes_by_what_the_one_before_was_told(tmp_path: Path) -> None:
    # Guards against messages for an endpoint of another destination, which has the address of one that has gone.
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(2)  # its process has the address that destination 1's had
        await testbed.add_endpoint(1)
        first, at_old_address, replacement = testbed.entries
        old = {**first, "addr": at_old_address["addr"]}
        testbed.entries = [old]
        testbed.known_list = {"version": 1, "full": True, "servers": [old]}
        relay = await testbed.start_relay()
        testbed.send_list([replacement, *with_state([old], "DELETED")])
        await wait_until(lambda: len(relay.directory) == 1 and not relay.directory.id_of(old["id"]))
        testbed.send_list([at_old_address])
        await wait_until(lambda: len(relay.directory) == 2)
        assert await request_status(relay, submission("before")) == 202
        await wait_until_idle(relay)
        testbed.kill_relay(relay, tmp_path / "restart" / "journal")
        relay = await testbed.start_relay(discovery_address=("127.0.0.1", free_port()))  # nobody listens there
        assert await request_status(relay, submission("after")) == 202
        await wait_until_idle(relay)
        assert [(call.destination, call.submission_id) for call in testbed.endpoint_calls] == [
            (1, "before"),
            (1, "after"),
        ]

    run_scenario(tmp_path, scenario)
