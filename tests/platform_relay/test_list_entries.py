"""Entries of a list: a malformed entry is skipped without affecting the others, and each state is applied."""

from __future__ import annotations

from typing import Any

import pytest

from linnetstile.engine.events import EndpointStatus
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.list_update import InvalidListError

from .list_factories import list_entry, listed_addresses

MALFORMED_ENTRIES: list[Any] = [
    7,
    None,
    [],
    "s",
    {},
    {"id": "x"},
    list_entry("x", "WARMING"),
    list_entry("x", state=["SERVING"]),  # type: ignore[arg-type]
    list_entry("x", addr=7),
    list_entry("x", addr="nowhere"),
    list_entry("x", addr="a\nb:1"),
    list_entry("x", addr="10.0.0.1:99999"),
    list_entry("x", destination=None),
    list_entry("x", destination=float("inf")),
    list_entry("x", destination=True),
    list_entry("x", destination=-1),
    list_entry("x", destination="1"),
    list_entry("x", destination=1e300),
    list_entry("\ud800"),
    list_entry(""),
    list_entry("x" * 300),
    list_entry("x", destination={"a": 1}),
    list_entry("x") | {"id": 5},
]


@pytest.fixture
def directory() -> Directory:
    """Return an empty directory."""
    return Directory(("k",), ("z",))


@pytest.mark.parametrize("malformed_entry", MALFORMED_ENTRIES, ids=repr)
@pytest.mark.parametrize("is_full", [True, False])
def test_malformed_entry_is_skipped_without_affecting_the_others(
    directory: Directory, malformed_entry: Any, is_full: bool
) -> None:
    event = directory.apply_list(
        {"version": 1, "full": is_full, "servers": [list_entry("a"), malformed_entry, list_entry("b")]}
    )
    assert [address.name for address in listed_addresses(directory)] == ["a", "b"]
    assert directory.skipped_entry_count == 1
    assert [endpoint.id for endpoint in event.endpoints] == list(directory)


@pytest.mark.parametrize("weight", [None, "5", float("inf"), float("nan"), [1], True])
def test_weight_that_is_not_a_number_advertises_no_rate(directory: Directory, weight: Any) -> None:
    (endpoint,) = directory.apply_list({"full": True, "servers": [list_entry("a", weight=weight)]}).endpoints
    assert endpoint.advertised_rate in (0.0, 1.0)


def test_draining_entry_needs_only_a_name_and_a_malformed_one_removes_no_endpoint(directory: Directory) -> None:
    directory.apply_list({"full": True, "servers": [list_entry("a"), list_entry("b"), list_entry("c")]})
    event = directory.apply_list(
        {"full": True, "servers": [{"id": "a", "state": "DRAINING"}, list_entry("b", "?"), list_entry("c")]}
    )
    assert [(endpoint.id, endpoint.status) for endpoint in event.endpoints] == [(1, EndpointStatus.DRAINING)]
    assert [address.name for address in listed_addresses(directory)] == ["a", "b", "c"]
    assert directory.skipped_entry_count == 1


def test_deleted_entry_needs_only_a_name_and_an_unknown_one_is_ignored(directory: Directory) -> None:
    directory.apply_list({"full": True, "servers": [list_entry("a"), list_entry("b"), list_entry("c")]})
    directory.apply_list({"servers": [{"id": "a", "state": "DRAINING"}]})
    event = directory.apply_list({"servers": [{"id": "a", "state": "DELETED"}, {"id": "z", "state": "DELETED"}]})
    assert [(endpoint.id, endpoint.status) for endpoint in event.endpoints] == [(1, EndpointStatus.GONE)]
    assert list(directory) == [2, 3]


@pytest.mark.parametrize(
    "entries",
    [
        [list_entry("a", "DELETED"), list_entry("a", destination=2)],
        [list_entry("a"), list_entry("a", "DELETED"), list_entry("a", destination=2)],
    ],
)
@pytest.mark.parametrize("is_full", [True, False])
def test_endpoint_deleted_and_listed_again_in_one_list_gets_a_new_id(
    directory: Directory, entries: list[Any], is_full: bool
) -> None:
    directory.apply_list({"full": True, "servers": [list_entry("a")]})
    event = directory.apply_list({"full": is_full, "servers": entries})
    (address,) = listed_addresses(directory)
    assert address.id != 1
    assert address.destination == 2
    assert {endpoint.id: endpoint.status for endpoint in event.endpoints} == {
        1: EndpointStatus.GONE,
        address.id: EndpointStatus.READY,
    }
    assert directory.address_of(1) is None
    assert directory.endpoint(1) is None


def test_last_entry_of_an_endpoint_wins(directory: Directory) -> None:
    directory.apply_list({"full": True, "servers": [list_entry("a")]})
    event = directory.apply_list({"servers": [list_entry("a"), list_entry("a", "DELETED")]})
    assert [endpoint.status for endpoint in event.endpoints] == [EndpointStatus.GONE]
    assert not len(directory)


@pytest.mark.parametrize("value", [None, 7, [], "x", {}, {"servers": None}, {"servers": {}}, {"version": 1}])
def test_value_that_is_not_a_list_of_endpoints_changes_nothing(directory: Directory, value: object) -> None:
    directory.apply_list({"version": 1, "full": True, "servers": [list_entry("a")]})
    with pytest.raises(InvalidListError):
        directory.apply_list(value)
    assert list(directory) == [1]
