"""Compares the directory with a reference model of plain dicts, using random lists."""

from __future__ import annotations

import random
from typing import Any

import pytest

from linnetstile.engine.events import Endpoint, EndpointStatus
from linnetstile.platform_relay.directory import Directory

from .list_factories import apply_in_batches, list_entry, listed_addresses

KINDS, ZONES = ("k", "l"), ("y", "z")
KIND_INDEXES, UNKNOWN_KIND = {"k": 0, "l": 1}, 2
ZONE_INDEXES, UNKNOWN_ZONE = {"y": 0, "z": 1}, 2
ADDRESSES = ["10.0.0.1:9", "10.0.0.2:9", "a.example:80", "255.255.255.255:65535", "1.2.3:7", "01.2.3.4:1"]
STATES = ["SERVING"] * 4 + ["DRAINING", "DELETED", "?"]
MAX_ENTRIES = 25
DESTINATION_COUNT = 5
LIST_COUNT = 250


class ReferenceModel:
    """The endpoints that a directory must contain after the same lists.

    Attributes:
        entries: The latest valid entry of each endpoint, by name.
        known_destinations: Destinations that have been listed at any time.
    """

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.known_destinations: set[int] = set()

    def apply_list(self, entries: list[dict[str, Any]], full: bool) -> None:
        listed_names = {entry["id"] for entry in self._apply_entries(entries)}
        if full:
            self.entries = {name: entry for name, entry in self.entries.items() if name in listed_names}

    def _apply_entries(self, entries: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Apply entries in order; return those that do not delete their endpoint."""
        listed = []
        for entry in entries:
            if entry["state"] == "DELETED":
                self.entries.pop(entry["id"], None)
                continue
            listed.append(entry)
            if entry["state"] != "?":
                self._apply_valid_entry(entry)
        return listed

    def _apply_valid_entry(self, entry: dict[str, Any]) -> None:
        known = self.entries.get(entry["id"])
        if known and entry["state"] == "DRAINING":
            self.entries[entry["id"]] = known | {"state": "DRAINING"}
            return
        self.entries[entry["id"]] = dict(entry)
        self.known_destinations.add(entry["cell"])


class EngineView:
    """The endpoints that result from the changes that the directory published.

    Attributes:
        endpoints: The endpoints by id.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}

    def apply_list(self, steps: list[list[Endpoint]]) -> None:
        """Apply the changes from the steps of one list, and check that each published endpoint has changed."""
        endpoints_before = dict(self.endpoints)
        for step in steps:
            assert len({endpoint.id for endpoint in step}) == len(step)
            for endpoint in step:
                is_gone = endpoint.status is EndpointStatus.GONE
                assert is_gone or endpoint != self.endpoints.get(endpoint.id), "an unchanged endpoint was published"
                self.endpoints[endpoint.id] = endpoint
                if is_gone:
                    known = endpoints_before.get(endpoint.id)
                    assert known is None or known.destination == endpoint.destination
                    del self.endpoints[endpoint.id]


def random_list(rng: random.Random) -> list[dict[str, Any]]:
    """Return random entries with few names, so that endpoints change, drain, are removed and return."""
    return [
        list_entry(
            f"s{'x' * rng.randrange(3)}{rng.randrange(12)}ü",
            rng.choice(STATES),
            rng.randrange(DESTINATION_COUNT),
            addr=rng.choice(ADDRESSES),
            kind=rng.choice(["k", "l", "?"]),
            zone=rng.choice(["y", "z", "?"]),
            weight=rng.choice([1.5, 0, 3]),
        )
        for _ in range(rng.randrange(MAX_ENTRIES))
    ]


def check_agreement(directory: Directory, model: ReferenceModel, view: EngineView) -> None:
    """Check that directory, model and engine view contain the same endpoints."""
    addresses = {address.name: address for address in listed_addresses(directory)}
    assert addresses.keys() == model.entries.keys()
    assert len(directory) == len(addresses)
    assert view.endpoints == {endpoint_id: directory.endpoint(endpoint_id) for endpoint_id in directory}
    for name, address in addresses.items():
        entry = model.entries[name]
        endpoint = view.endpoints[address.id]
        assert f"{address.host}:{address.port}" == entry["addr"]
        assert address.destination == entry["cell"]
        assert endpoint.kind == KIND_INDEXES.get(entry["kind"], UNKNOWN_KIND)
        assert endpoint.zone == ZONE_INDEXES.get(entry["zone"], UNKNOWN_ZONE)
        assert endpoint.advertised_rate == entry["weight"]
        assert address.zone == endpoint.zone
        assert directory.id_of(name) == address.id
        assert (endpoint.status is EndpointStatus.DRAINING) == (entry["state"] == "DRAINING")
    destinations = range(DESTINATION_COUNT + 1)  # the last one is never listed
    known_destinations = {number for number in destinations if directory.knows_destination(number)}
    assert known_destinations == model.known_destinations


@pytest.mark.parametrize("seed", range(6))
def test_directory_agrees_with_a_reference_model(seed: int) -> None:
    rng = random.Random(seed)
    directory, model, view = Directory(KINDS, ZONES), ReferenceModel(), EngineView()
    name_by_id: dict[int, str] = {}
    for version in range(LIST_COUNT):
        entries = random_list(rng)
        full = rng.random() < 0.3
        batch_size = rng.choice([1, 3, 100])
        _, steps = apply_in_batches(directory, entries, batch_size, version, full)
        model.apply_list(entries, full)
        view.apply_list(steps)
        check_agreement(directory, model, view)
        for address in listed_addresses(directory):
            assert name_by_id.setdefault(address.id, address.name) == address.name, "an id was reused"
        assert all(directory.address_of(former_id) is None for former_id in name_by_id.keys() - set(directory))
