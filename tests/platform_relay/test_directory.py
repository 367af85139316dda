"""The directory with lists that are applied in steps: it publishes only the endpoints that changed."""

from __future__ import annotations

from typing import Any

import pytest

from linnetstile.engine.events import Endpoint, EndpointStatus, ListKind
from linnetstile.engine.watch_policy import ENTRIES_PER_EVENT
from linnetstile.platform_relay import endpoint_record, endpoint_table
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.list_update import InvalidListError

from .list_factories import LONG_LIST_SIZE, apply_in_batches, list_entry, listed_addresses, raw_list

KINDS, ZONES = ("k", "l"), ("y", "z")
DEFAULT_BATCH = 500


@pytest.fixture
def directory() -> Directory:
    """Return an empty directory."""
    return Directory(KINDS, ZONES)


def long_list(size: int = LONG_LIST_SIZE) -> list[Any]:
    return [list_entry(f"s-{number}", destination=number % 1000) for number in range(size)]


def names_in(directory: Directory) -> list[str]:
    return [address.name for address in listed_addresses(directory)]


def flatten(steps: list[list[Endpoint]]) -> list[Endpoint]:
    return [endpoint for step in steps for endpoint in step]


@pytest.mark.parametrize("batch_size", [1, 100, 5000])
def test_unchanged_full_list_publishes_nothing_and_a_changed_one_only_its_changes(
    directory: Directory, batch_size: int
) -> None:
    entries = long_list()
    _, steps = apply_in_batches(directory, entries, batch_size)
    assert [endpoint.id for endpoint in flatten(steps)] == list(directory)
    assert len(directory) == LONG_LIST_SIZE
    ids = list(directory)
    _, steps = apply_in_batches(directory, entries, batch_size, version=2)
    assert not flatten(steps)
    assert list(directory) == ids
    entries[77] = list_entry("s-77", "DRAINING", 77)
    entries[78] = list_entry("s-78", destination=78, weight=6.0)
    entries[79] = list_entry("s-79", destination=79, addr="10.0.0.9:9")  # it gets a new id
    removed_entry = entries.pop()
    _, steps = apply_in_batches(directory, entries, batch_size, version=3)
    assert directory.id_of("s-79") not in ids
    assert [(endpoint.id, endpoint.status, endpoint.destination) for endpoint in flatten(steps)] == [
        (ids[77], EndpointStatus.DRAINING, 77),
        (ids[78], EndpointStatus.READY, 78),
        (ids[79], EndpointStatus.GONE, 79),
        (directory.id_of("s-79"), EndpointStatus.READY, 79),
        (ids[-1], EndpointStatus.GONE, removed_entry["cell"]),
    ]
    moved_address = directory.address_of(directory.id_of("s-79"))
    assert moved_address
    assert moved_address.host == "10.0.0.9"


def test_list_of_changes_reads_only_the_records_of_its_endpoints(monkeypatch: pytest.MonkeyPatch) -> None:
    record_name = endpoint_record.record_name
    read_count = 0

    def count_and_read(record: bytes) -> bytes:
        nonlocal read_count
        read_count += 1
        return record_name(record)

    monkeypatch.setattr(endpoint_table, "record_name", count_and_read)
    reads_by_size = {}
    for size in (100, 10_000):
        directory = Directory(KINDS, ZONES)
        apply_in_batches(directory, long_list(size), DEFAULT_BATCH)
        read_count = 0
        for version in range(2, 102):
            name = f"s-{version - 2}"
            changes = [
                list_entry(name, "DRAINING"),
                list_entry(f"new-{version}", destination=2000),
                list_entry(name, "DELETED"),
            ]
            apply_in_batches(directory, changes, len(changes), version, full=False)
        reads_by_size[size] = read_count
    assert reads_by_size[10_000] < 1.5 * reads_by_size[100] < 100 * 40


def test_missing_endpoints_are_removed_in_bounded_steps(directory: Directory) -> None:
    apply_in_batches(directory, long_list(), DEFAULT_BATCH)
    entries = [list_entry("s-4999", destination=999)]
    _, (first_step, *removals) = apply_in_batches(directory, entries, DEFAULT_BATCH, version=2)
    assert not first_step
    assert max(map(len, removals)) == ENTRIES_PER_EVENT
    assert len(flatten(removals)) == 4999
    assert len(directory) == 1
    assert not any(directory.address_of(endpoint.id) for endpoint in flatten(removals))
    assert directory.knows_destination(7)


@pytest.mark.parametrize("entry_limit", [0, 1, 2500, 5000])
def test_truncated_list_removes_nothing_and_the_next_full_list_is_applied_completely(
    directory: Directory, entry_limit: int
) -> None:
    apply_in_batches(directory, long_list(), DEFAULT_BATCH, version=5)
    entries = [*long_list(2500), *(list_entry(f"n-{number}", destination=7) for number in range(2500))]
    entries[10] = list_entry("s-10", "DRAINING")
    update, steps = apply_in_batches(directory, entries, DEFAULT_BATCH, version=6, entry_limit=entry_limit)
    assert not update.is_complete
    assert directory.version_guard.newest_version == 5
    assert len(directory) == LONG_LIST_SIZE + max(0, entry_limit - 2500)
    draining_endpoint = directory.endpoint(directory.id_of("s-10"))
    assert draining_endpoint
    assert (draining_endpoint.status is EndpointStatus.DRAINING) == (entry_limit > 10)
    assert not any(endpoint.status is EndpointStatus.GONE for endpoint in flatten(steps))
    apply_in_batches(directory, entries, DEFAULT_BATCH, version=6)
    assert set(names_in(directory)) == {entry["id"] for entry in entries}
    assert directory.version_guard.newest_version == 6


def test_older_list_is_rejected_before_any_entry_is_read(directory: Directory) -> None:
    apply_in_batches(directory, long_list(3), DEFAULT_BATCH, version=5)
    for full in (False, True):
        with pytest.raises(InvalidListError, match="version: expected 5 or later, found 4"):
            directory.begin_update({"version": 4, "full": full})


def test_older_list_sent_twice_is_applied_and_its_version_is_recorded_at_its_end(
    directory: Directory,
) -> None:
    apply_in_batches(directory, long_list(3), DEFAULT_BATCH, version=5)
    with pytest.raises(InvalidListError, match="version: expected 5 or later, found 4"):
        directory.begin_update({"version": 4, "full": True})
    entries = [list_entry("n")]
    # Discovery has restarted at a lower version.
    update, _ = apply_in_batches(directory, entries, 1, version=3, entry_limit=1)
    assert not update.is_complete
    assert directory.version_guard.newest_version == 5
    assert len(directory) == 4
    apply_in_batches(directory, entries, 1, version=3)
    assert directory.version_guard.newest_version == 3
    assert names_in(directory) == ["n"]


def test_malformed_entries_of_a_long_list_are_skipped_and_the_first_fault_is_reported(directory: Directory) -> None:
    apply_in_batches(directory, long_list(), DEFAULT_BATCH)
    entries = long_list()
    entries[1234] = list_entry("s-1234", "SERVING", "x" * 1000)
    entries[1235] = 7
    entries[4000] = list_entry("s-4000", addr="nowhere")
    update, steps = apply_in_batches(directory, entries, DEFAULT_BATCH, version=2)
    assert update.entries_skipped == 3
    assert update.entries_read == LONG_LIST_SIZE
    assert directory.skipped_entry_count == 3
    assert update.first_fault.startswith("servers[1234]: cell: expected a whole number from 0")
    assert len(update.first_fault) < 200
    assert [endpoint.destination for endpoint in flatten(steps)] == [235]  # s-1235 is removed: its entry has no name
    assert len(directory) == 4999


@pytest.mark.parametrize(
    ("malformed_entry", "fault"),
    [
        (list_entry("x", "WARMING"), "state: expected one of SERVING, DRAINING, DELETED, found 'WARMING'"),
        (list_entry("x", addr="nowhere"), "addr: expected HOST:PORT, found 'nowhere'"),
        ({"id": "x"}, "state: missing"),
        (list_entry(""), "id: expected a name of 1 to 256 bytes"),
        (7, "expected an object"),
    ],
)
def test_fault_names_the_field_and_what_was_expected(directory: Directory, malformed_entry: Any, fault: str) -> None:
    update, _ = apply_in_batches(directory, [list_entry("a"), malformed_entry], 1)
    assert update.first_fault == f"servers[1]: {fault}"


def test_endpoint_whose_destination_changes_gets_a_new_id(directory: Directory) -> None:
    directory.apply_list(raw_list(list_entry("a"), list_entry("b", destination=2)))
    event = directory.apply_list(raw_list(list_entry("a", destination=3), version=2, full=False))
    assert event.kind is ListKind.CHANGES
    removed, added = event.endpoints
    assert removed.id == 1
    assert removed.status is EndpointStatus.GONE
    assert removed.destination == 1
    assert added.id == directory.id_of("a")
    assert added.status is EndpointStatus.READY
    assert added.destination == 3
    assert added.id != 1
    assert directory.address_of(1) is None
    assert directory.knows_destination(1)


def test_endpoint_that_reuses_a_name_and_an_address_gets_a_new_id_and_the_same_row(directory: Directory) -> None:
    directory.apply_list(raw_list(list_entry("a"), list_entry("b", destination=2)))
    directory.apply_list(raw_list(list_entry("a", destination=3), version=2, full=False))
    used_ids = {1, 2, directory.id_of("a")}
    for version in range(3, 40):
        changes = raw_list(list_entry("a", "DELETED"), list_entry("a", destination=3), version=version, full=False)
        directory.apply_list(changes)
        endpoint_id = directory.id_of("a")
        assert endpoint_id not in used_ids
        used_ids.add(endpoint_id)
    assert len(directory.table.records) == 2


def test_draining_endpoint_is_published_once_keeps_its_id_and_may_return(directory: Directory) -> None:
    directory.apply_list(raw_list(list_entry("a")))
    draining = raw_list(list_entry("a", "DRAINING", 9), full=False)  # the destination is ignored
    event = directory.apply_list(draining)
    assert [(endpoint.id, endpoint.status, endpoint.destination) for endpoint in event.endpoints] == [
        (1, EndpointStatus.DRAINING, 1)
    ]
    assert not directory.apply_list(draining).endpoints
    assert len(directory) == 1
    address = directory.address_of(1)
    assert address
    assert address.destination == 1
    event = directory.apply_list(raw_list(list_entry("a")))
    assert [(endpoint.id, endpoint.status) for endpoint in event.endpoints] == [(1, EndpointStatus.READY)]


def test_cached_list_is_one_event_and_its_version_is_not_recorded(directory: Directory) -> None:
    event = directory.apply_list(raw_list(*long_list(600), version=50), cached=True)
    assert event.kind is ListKind.CACHED
    assert len(event.endpoints) == 600
    assert directory.version_guard.newest_version is None
    assert not directory.apply_list(raw_list(*long_list(600), version=3)).endpoints


def test_many_kinds_and_long_names_and_hosts_are_stored() -> None:
    directory = Directory(tuple(f"k{number}" for number in range(70_000)), ("z",))
    long_name, long_host = "n" * 250 + "ü", "h" * 200 + ".example"
    directory.apply_list(
        raw_list(
            list_entry(long_name, kind="k69999", addr=f"{long_host}:1"),
            list_entry("b", kind="k300"),
        )
    )
    address, first_endpoint = directory.address_of(1), directory.endpoint(1)
    assert address
    assert first_endpoint
    assert (address.name, address.host, address.port) == (long_name, long_host, 1)
    assert first_endpoint.kind == 69_999
    second_endpoint = directory.endpoint(2)
    assert second_endpoint
    assert second_endpoint.kind == 300
    assert directory.id_of(long_name) == 1
    assert not directory.id_of("\ud800")
