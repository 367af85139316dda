"""The directory against plain dicts, lists that come in pieces, and what is told of them: no more than has changed."""

from __future__ import annotations

import random
from typing import Any

import pytest

from linnetstile.engine.events import Endpoint, EndpointStatus, ListKind
from linnetstile.engine.watch_policy import ENTRIES_PER_EVENT
from linnetstile.platform_relay import endpoint_record, endpoint_table
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.endpoint_record import EndpointAddress
from linnetstile.platform_relay.list_update import InvalidListError, ListUpdate
from linnetstile.platform_relay.listed_destinations import ListedDestinations

KINDS, ZONES = ("k", "l"), ("y", "z")


def entry(name: str, state: str = "SERVING", cell: Any = 1, **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "addr": "10.0.0.1:9",
        "zone": "z",
        "kind": "k",
        "cell": cell,
        "state": state,
        "weight": 5.0,
    } | more


def raw_list(*entries: Any, version: int = 1, full: bool = True) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": list(entries)}


def fleet(size: int, **more: Any) -> list[Any]:
    return [entry(f"s-{number}", cell=number % 1000, **more) for number in range(size)]


def addresses(directory: Directory) -> dict[str, EndpointAddress]:
    return {address.name: address for address in map(directory.address_of, directory) if address}


def piecewise(
    directory: Directory, servers: list[Any], size: int, version: int = 1, full: bool = True, upto: int | None = None
) -> tuple[ListUpdate, list[list[Endpoint]]]:
    """The steps of a list; of its first `upto` entries, and then no more, where that is told."""
    reading = directory.begin_update({"version": version, "full": full})
    steps = [reading.add_entries(servers[:upto][at : at + size]) for at in range(0, len(servers[:upto]), size)]
    while upto is None and not reading.is_complete:
        steps.append(reading.remove_missing())
    return reading, steps


def flat(steps: list[list[Endpoint]]) -> list[Endpoint]:
    return [each for step in steps for each in step]


class Model:
    """What a directory is to hold and to tell, in dicts: a number there stands for a life of an endpoint here."""

    def __init__(self) -> None:
        self.lives: dict[str, dict[str, Any]] = {}
        self.known: set[int] = set()

    def take(self, servers: list[Any], full: bool) -> None:
        named = set()
        for raw in servers:
            name, state = raw["id"], raw["state"]
            life = self.lives.get(name)
            if state == "DELETED":
                self.lives.pop(name, None)
                continue
            named.add(name)
            if state == "?":
                continue
            if life and state == "DRAINING":
                self.lives[name] = life | {"state": state}
                continue
            self.lives[name] = dict(raw)
            self.known.add(raw["cell"])
        if full:
            self.lives = {name: life for name, life in self.lives.items() if name in named}


ADDRESSES = ["10.0.0.1:9", "10.0.0.2:9", "a.example:80", "255.255.255.255:65535", "1.2.3:7", "01.2.3.4:1"]


@pytest.mark.parametrize("seed", range(6))
def test_directory_agrees_with_a_reference_model(seed: int) -> None:
    rng = random.Random(seed)
    directory, model = Directory(KINDS, ZONES), Model()
    view: dict[int, Endpoint] = {}  # as the module has it
    lives: dict[int, str] = {}  # numbers ever seen, by name
    for version in range(250):
        servers = []
        for _ in range(rng.randrange(25)):
            servers.append(
                entry(
                    f"s{'x' * rng.randrange(3)}{rng.randrange(12)}ü",
                    rng.choice(["SERVING"] * 4 + ["DRAINING", "DELETED", "?"]),
                    rng.randrange(5),
                    addr=rng.choice(ADDRESSES),
                    kind=rng.choice(["k", "l", "?"]),
                    zone=rng.choice(["y", "z", "?"]),
                    weight=rng.choice([1.5, 0, 3]),
                )
            )
        full = rng.random() < 0.3
        before = dict(view)
        _, steps = piecewise(directory, servers, rng.choice([1, 3, 100]), version, full)
        model.take(servers, full)
        for step in steps:
            assert len({each.id for each in step}) == len(step)
            for each in step:
                assert each.status is EndpointStatus.GONE or each != view.get(each.id), "told again"
                view[each.id] = each
                if each.status is EndpointStatus.GONE:
                    gone = before.get(each.id)
                    assert gone is None or gone.destination == each.destination
                    del view[each.id]
        found = addresses(directory)
        assert found.keys() == model.lives.keys()
        assert len(directory) == len(found)
        assert view == {number: directory.endpoint(number) for number in directory}
        for name, address in found.items():
            life = model.lives[name]
            listed = view[address.id]
            assert f"{address.host}:{address.port}" == life["addr"]
            assert address.destination == life["cell"]
            assert (listed.kind, listed.zone, listed.advertised_rate) == (
                {"k": 0, "l": 1}.get(life["kind"], 2),
                {"y": 0, "z": 1}.get(life["zone"], 2),
                life["weight"],
            )
            assert address.zone == listed.zone
            assert directory.id_of(name) == address.id
            assert (listed.status is EndpointStatus.DRAINING) == (life["state"] == "DRAINING")
            assert lives.setdefault(address.id, name) == name, "a number is used twice"
        assert all(directory.address_of(number) is None for number in lives.keys() - set(directory))
        assert {cell for cell in range(6) if directory.knows_destination(cell)} == model.known


@pytest.mark.parametrize("piece", [1, 100, 5000])
def test_full_list_read_again_changes_nothing_and_a_change_is_reported_alone(piece: int) -> None:
    directory, servers = Directory(KINDS, ZONES), fleet(5000)
    _, steps = piecewise(directory, servers, piece)
    assert [each.id for each in flat(steps)] == list(directory)
    assert len(directory) == 5000
    numbers = list(directory)
    assert not flat(piecewise(directory, servers, piece, 2)[1])
    assert list(directory) == numbers
    servers[77] = entry("s-77", "DRAINING", 77)
    servers[78] = entry("s-78", cell=78, weight=6.0)
    servers[79] = entry("s-79", cell=79, addr="10.0.0.9:9")  # the module knows no addresses
    gone = servers.pop()
    changed = flat(piecewise(directory, servers, piece, 3)[1])
    assert [(each.id, each.status, each.destination) for each in changed] == [
        (numbers[77], EndpointStatus.DRAINING, 77),
        (numbers[78], EndpointStatus.READY, 78),
        (numbers[-1], EndpointStatus.GONE, gone["cell"]),
    ]
    moved = directory.address_of(numbers[79])
    assert moved
    assert moved.host == "10.0.0.9"


def test_change_touches_the_rows_that_it_names(monkeypatch: pytest.MonkeyPatch) -> None:
    looked = 0
    name = endpoint_record.record_name

    def counted(record: bytes) -> bytes:
        nonlocal looked
        looked += 1
        return name(record)

    monkeypatch.setattr(endpoint_table, "record_name", counted)
    work = {}
    for size in (100, 10_000):
        directory = Directory(KINDS, ZONES)
        piecewise(directory, fleet(size), 500)
        looked = 0
        for version in range(2, 102):
            piecewise(
                directory,
                [
                    entry(f"s-{version - 2}", "DRAINING"),
                    entry(f"new-{version}", cell=2000),
                    entry(f"s-{version - 2}", "DELETED"),
                ],
                3,
                version,
                False,
            )
        work[size] = looked
    assert work[10_000] < 1.5 * work[100] < 100 * 40


def test_missing_endpoints_are_removed_in_bounded_steps() -> None:
    directory = Directory(KINDS, ZONES)
    piecewise(directory, fleet(5000), 500)
    _, (first, *sweeps) = piecewise(directory, [entry("s-4999", cell=999)], 500, 2)
    assert not first
    assert max(map(len, sweeps)) == ENTRIES_PER_EVENT
    assert len(flat(sweeps)) == 4999
    assert len(directory) == 1
    assert not any(directory.address_of(each.id) for each in flat(sweeps))
    assert directory.knows_destination(7)


@pytest.mark.parametrize("upto", [0, 1, 2500, 5000])
def test_truncated_list_removes_nothing_and_the_next_one_makes_up_for_it(upto: int) -> None:
    directory = Directory(KINDS, ZONES)
    piecewise(directory, fleet(5000), 500, 5)
    servers = [*fleet(2500), *(entry(f"n-{number}", cell=7) for number in range(2500))]
    servers[10] = entry("s-10", "DRAINING")
    reading, steps = piecewise(directory, servers, 500, 6, upto=upto)
    assert not reading.is_complete
    assert directory.version_guard.newest_version == 5
    assert len(directory) == 5000 + max(0, upto - 2500)
    drained = directory.endpoint(directory.id_of("s-10"))
    assert drained
    assert (drained.status is EndpointStatus.DRAINING) == (upto > 10)
    assert not any(each.status is EndpointStatus.GONE for each in flat(steps))
    piecewise(directory, servers, 500, 6)
    assert addresses(directory).keys() == {each["id"] for each in servers}
    assert directory.version_guard.newest_version == 6


def test_older_list_is_rejected_at_its_head_before_any_entry() -> None:
    directory = Directory(KINDS, ZONES)
    piecewise(directory, fleet(3), 500, 5)
    for full in (False, True):
        with pytest.raises(InvalidListError, match="version: expected 5 or later, found 4"):
            directory.begin_update({"version": 4, "full": full})
    # Told twice: discovery has begun anew. It is in force as it is read, and newest once it has been.
    reading, _ = piecewise(directory, [entry("n")], 1, 3, upto=1)
    assert not reading.is_complete
    assert directory.version_guard.newest_version == 5
    assert len(directory) == 4
    piecewise(directory, [entry("n")], 1, 3)
    assert directory.version_guard.newest_version == 3
    assert [*addresses(directory)] == ["n"]


def test_broken_entries_of_a_long_list_leave_theirs_as_they_were_and_the_first_is_named() -> None:
    directory = Directory(KINDS, ZONES)
    piecewise(directory, fleet(5000), 500)
    servers = fleet(5000)
    servers[1234] = entry("s-1234", "SERVING", "x" * 1000)
    servers[1235] = 7
    servers[4000] = entry("s-4000", addr="nowhere")
    reading, steps = piecewise(directory, servers, 500, 2)
    assert (reading.entries_skipped, reading.entries_read, directory.skipped_entries) == (3, 5000, 3)
    assert reading.first_fault.startswith("servers[1234]: cell: expected a whole number from 0")
    assert len(reading.first_fault) < 200
    assert [each.destination for each in flat(steps)] == [235]
    assert len(directory) == 4999


@pytest.mark.parametrize(
    ("raw", "why"),
    [
        (entry("x", "WARMING"), "state: expected one of SERVING, DRAINING, DELETED, found 'WARMING'"),
        (entry("x", addr="nowhere"), "addr: expected HOST:PORT, found 'nowhere'"),
        ({"id": "x"}, "state: missing"),
        (entry(""), "id: expected a name of 1 to 256 bytes"),
        (7, "expected an object"),
    ],
)
def test_fault_names_the_field_and_what_was_expected(raw: Any, why: str) -> None:
    reading, _ = piecewise(Directory(KINDS, ZONES), [entry("a"), raw], 1)
    assert reading.first_fault == f"servers[1]: {why}"


def test_endpoint_whose_destination_changes_is_another_one_as_is_one_that_takes_a_name_or_an_address() -> None:
    directory = Directory(KINDS, ZONES)
    directory.apply_list(raw_list(entry("a"), entry("b", cell=2)))
    event = directory.apply_list(raw_list(entry("a", cell=3), version=2, full=False))
    assert event.kind is ListKind.CHANGES
    gone, new = event.endpoints
    assert (gone.id, gone.status, gone.destination) == (1, EndpointStatus.GONE, 1)
    assert (new.id, new.status, new.destination) == (directory.id_of("a"), EndpointStatus.READY, 3)
    assert new.id != 1
    assert directory.address_of(1) is None
    assert directory.knows_destination(1)
    seen = {1, 2, new.id}
    for version in range(3, 40):  # the same name, address and row again and again
        directory.apply_list(raw_list(entry("a", "DELETED"), entry("a", cell=3), version=version, full=False))
        number = directory.id_of("a")
        assert number not in seen
        seen.add(number)
    assert len(directory.table.records) == 2


def test_draining_endpoint_is_reported_once_keeps_its_id_and_may_come_back() -> None:
    directory = Directory(KINDS, ZONES)
    directory.apply_list(raw_list(entry("a")))
    drains = raw_list(entry("a", "DRAINING", cell=9), full=False)  # that it ends is all that is read
    assert [(each.id, each.status, each.destination) for each in directory.apply_list(drains).endpoints] == [
        (1, EndpointStatus.DRAINING, 1)
    ]
    assert not directory.apply_list(drains).endpoints
    assert len(directory) == 1
    address = directory.address_of(1)
    assert address
    assert address.destination == 1
    assert [(each.id, each.status) for each in directory.apply_list(raw_list(entry("a"))).endpoints] == [
        (1, EndpointStatus.READY)
    ]


def test_cached_list_is_one_event_and_its_version_counts_for_nothing() -> None:
    directory = Directory(KINDS, ZONES)
    event = directory.apply_list(raw_list(*fleet(600), version=50), cached=True)
    assert event.kind is ListKind.CACHED
    assert len(event.endpoints) == 600
    assert directory.version_guard.newest_version is None
    assert not directory.apply_list(raw_list(*fleet(600), version=3)).endpoints


def test_unlisted_destinations_stay_known_for_a_while() -> None:
    destinations = ListedDestinations(3)
    for number in range(6):
        destinations.add(number)
        destinations.add(number)
    for number in range(6):
        destinations.remove(number)
    assert len(destinations) == 6
    assert not destinations.recently_unlisted
    for number in (5, 4, 3, 2, 1):
        destinations.remove(number)
    assert [number in destinations for number in range(7)] == [True, True, True, True, False, False, False]
    destinations.add(3)
    destinations.remove(3)  # the latest one to leave now
    destinations.add(9)
    destinations.remove(9)
    assert list(destinations.recently_unlisted) == [1, 3, 9]
    assert 0 in destinations
    assert len(destinations.ids) == 6


def test_more_kinds_zones_and_longer_names_than_most_have() -> None:
    many = tuple(f"k{number}" for number in range(70_000))
    directory = Directory(many, ("z",))
    long = "n" * 250 + "ü"
    directory.apply_list(raw_list(entry(long, kind="k69999", addr="h" * 200 + ".example:1"), entry("b", kind="k300")))
    address, listed = directory.address_of(1), directory.endpoint(1)
    assert address
    assert listed
    assert (address.name, address.host, address.port) == (long, "h" * 200 + ".example", 1)
    assert listed.kind == 69_999
    two = directory.endpoint(2)
    assert two
    assert two.kind == 300
    assert directory.id_of(long) == 1
    assert not directory.id_of("\ud800")
