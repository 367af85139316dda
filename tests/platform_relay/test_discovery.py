"""Watches of discovery and what they tell: whatever a watch does, the list ends as discovery's own."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import pytest

from linnetstile.engine import watch_policy
from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, ListKind
from linnetstile.engine.watch_policy import (
    ELEMENT_STALL_S,
    ENTRIES_PER_EVENT,
    FIRST_ELEMENT_S,
    WATCH_SILENCE_S,
    ListVersionGuard,
    ResumePolicy,
    watch_deadline,
)
from linnetstile.platform_relay import discovery
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.discovery import Watch
from linnetstile.platform_relay.endpoint_record import EndpointAddress
from linnetstile.platform_relay.list_update import InvalidListError

from .relay_testbed import wait_until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def entry(name: str, state: str = "SERVING", cell: Any = 1, **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "addr": "127.0.0.1:9",
        "zone": "z",
        "kind": "k",
        "cell": cell,
        "state": state,
        "weight": 5.0,
    } | more


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class DiscoveryEmulator:
    """Discovery: holds entries and sends them to each watch.

    `script` has, for each watch to come, the bytes before its list, or in its place, and whether the list follows.
    """

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = 40
        self.script: list[tuple[bytes, bool]] = []
        self.asked: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.indent: int | None = None
        self.changed: list[dict[str, Any]] = []  # told to a watch that goes on from an older version
        self.forgets = False  # and tells it the whole list instead
        self.server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "127.0.0.1", int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        self.watches.append(writer)
        said, listed = self.script.pop(0) if self.script else (HEAD, True)
        writer.write(said)
        since = self.asked[-1].partition("&since=")[2]
        if listed and since and not self.forgets:
            if int(since) < self.version:
                writer.write(chunk(self.text({"version": self.version, "full": False, "servers": self.changed})))
        elif listed:
            writer.write(chunk(self.full_list()))
        await reader.read()
        writer.close()

    def full_list(self) -> bytes:
        return self.text({"version": self.version, "full": True, "servers": list(self.entries.values())})

    def text(self, value: object) -> bytes:
        return json.dumps(value, indent=self.indent).encode() + b"\n"

    def change(self, *entries: dict[str, Any]) -> bytes:
        """Changes what discovery knows; the bytes that tell it."""
        self.version += 1
        for each in entries:
            if each["state"] == "DELETED":
                self.entries.pop(each["id"], None)
            else:
                self.entries[each["id"]] = each
        return self.text({"version": self.version, "full": False, "servers": list(entries)})

    def close(self) -> None:
        for writer in self.watches:
            writer.transport.abort()
        if self.server:
            self.server.close()


class WatchTestbed:
    """A watch, and the engine's view as the events make it."""

    def __init__(self, emulator: DiscoveryEmulator, discovery_address: tuple[str, int], max_list_bytes: int) -> None:
        self.emulator = emulator
        self.directory = Directory(("k",), ("z",))
        self.view: dict[int, Endpoint] = {}
        self.events: list[EndpointList] = []
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.watch = Watch(
            self.directory, discovery_address, self.hear, random.Random(1), self.log, max_list_bytes=max_list_bytes
        )
        self.watch.start()

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append((event, fields))

    def hear(self, event: EndpointList) -> None:
        assert event.kind is ListKind.CHANGES
        assert len(event.endpoints) <= ENTRIES_PER_EVENT
        self.events.append(event)
        for each in event.endpoints:
            self.view[each.id] = each
            if each.status is EndpointStatus.GONE:
                del self.view[each.id]

    def agrees(self) -> bool:
        mine = {
            address.name: (discovery_state(self.view.get(address.id)), address.destination)
            for address in addresses(self.directory)
        }
        return mine == {
            name: (each["state"], each["cell"]) for name, each in self.emulator.entries.items()
        } and self.view == {number: self.directory.endpoint(number) for number in self.directory}


def addresses(directory: Directory) -> list[EndpointAddress]:
    return [address for address in map(directory.address_of, directory) if address]


def discovery_state(each: Endpoint | None) -> str:
    return {EndpointStatus.READY: "SERVING", EndpointStatus.DRAINING: "DRAINING"}[each.status] if each else "?"


def run_watch_scenario(
    scenario: Callable[[DiscoveryEmulator, WatchTestbed], Any],
    *script: tuple[bytes, bool],
    indent: int | None = None,
    more: int = 0,
    max_list_bytes: int = discovery.MAX_LIST_BYTES,
) -> None:
    async def run() -> None:
        emulator = DiscoveryEmulator()
        emulator.script, emulator.indent = list(script), indent
        emulator.entries = {"a": entry("a"), "b": entry("b", cell=2)}
        emulator.entries |= {
            name: entry(name, cell=number % 50) for number, name in enumerate(f"s-{number}" for number in range(more))
        }
        testbed = WatchTestbed(emulator, await emulator.start(), max_list_bytes)
        try:
            await scenario(emulator, testbed)
        finally:
            testbed.watch.close()
            emulator.close()
            await asyncio.sleep(0)

    asyncio.run(run())


@pytest.mark.parametrize("indent", [None, 0, 2])
@pytest.mark.parametrize("step", [1, 7, 4000])
def test_list_is_read_however_it_is_indented_and_cut(indent: int | None, step: int) -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(testbed.agrees)
        stream = (
            emulator.change(entry("a", "DRAINING")) + b"\n" + emulator.change(entry("c", cell=3), entry("b", "DELETED"))
        )
        for at in range(0, len(stream), step):  # changes in chunks that begin and end anywhere, several in one
            emulator.watches[0].write(chunk(stream[at : at + step]))
        await wait_until(testbed.agrees)
        assert len(emulator.watches) == 1
        assert not testbed.watch.lists_rejected

    run_watch_scenario(scenario, indent=indent)


SILENT = [
    b"",
    HEAD[:20],
    HEAD,
    HEAD + b"5",
    HEAD + b"40\r\n",
    HEAD + b'40\r\n{"version":41,"full":true,"servers":[',
    HEAD + chunk(b"\n"),
    HEAD + chunk(b'{"version": 4') + b"1",
]
SPOILT = [
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    b"\x16\x03 noise\r\n\r\n",
    HEAD + b"zz\r\n",
    HEAD + chunk(b"17\n"),
    HEAD + chunk(b"[]\n"),
    HEAD + chunk(b"{}\n"),
    HEAD + chunk(b'{"servers":7}\n'),
    HEAD + chunk(b"[" * 100_000),
    HEAD + chunk(b'{"version":41,"full":true,"servers":[{"id":"a"\n{'),
    HEAD + chunk(b'"\xff"'),
    HEAD + b"0\r\n\r\n",
]


@pytest.mark.parametrize("said", SILENT + SPOILT)
def test_watch_that_stops_or_is_malformed_anywhere_is_opened_anew_and_asks_for_all(said: bytes) -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(testbed.agrees, 4.0)
        assert len(emulator.watches) == 3
        assert set(emulator.asked) == {"/api/targets?follow=1"}
        emulator.watches[2].write(chunk(emulator.change(entry("a", "DELETED"))))
        await wait_until(testbed.agrees)

    run_watch_scenario(scenario, (said, False), (said, False))


@pytest.mark.parametrize("rest", [b"", b"4", b'9\r\n{"version', chunk(b'{"version":41,"full":false,"servers":[{"id":')])
def test_watch_that_falls_silent_later_loses_no_change(rest: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_policy, "WATCH_SILENCE_S", 0.4)

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(testbed.agrees)
        emulator.watches[0].write(rest)
        emulator.change(entry("a", "DRAINING"), entry("b", "DELETED"), entry("c", cell=3))  # never told on that watch
        await wait_until(testbed.agrees, 2.0)

    run_watch_scenario(scenario)


def test_quiet_watch_with_an_empty_line_now_and_then_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_policy, "WATCH_SILENCE_S", 0.3)
    monkeypatch.setattr(discovery, "ELEMENT_STALL_S", 0.02)

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(testbed.agrees)
        for _ in range(8):
            emulator.watches[0].write(chunk(b"\n"))
            await asyncio.sleep(0.1)
        assert len(emulator.watches) == 1

    run_watch_scenario(scenario)


def test_watch_of_the_address_before_a_move_is_ignored() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(testbed.agrees)
        before, emulator.watches = emulator.watches[0], []
        testbed.watch.move(await emulator.start())
        before.write(chunk(b'{"version":99,"full":true,"servers":[]}\n'))  # it is on its way as the move begins
        await wait_until(lambda: emulator.watches and testbed.agrees())
        emulator.watches[-1].write(chunk(emulator.change(entry("c", cell=3))))
        await wait_until(testbed.agrees)

    run_watch_scenario(scenario)


def test_older_list_is_rejected_unless_discovery_sends_it_twice() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(testbed.agrees)
        emulator.watches[0].write(chunk(emulator.change(entry("b", "DELETED"))))
        await wait_until(testbed.agrees)
        older = json.dumps({"version": 40, "full": True, "servers": [entry("a"), entry("b", cell=2)]}).encode()
        emulator.script = [(HEAD + chunk(older), False)]
        emulator.watches[0].close()
        await wait_until(lambda: len(emulator.watches) == 3)
        assert not testbed.directory.id_of("b")  # also between the two
        await wait_until(testbed.agrees)
        emulator.version, emulator.entries = 3, {"d": entry("d", cell=4)}  # it has begun anew
        emulator.watches[-1].close()
        await wait_until(testbed.agrees)
        assert len(emulator.watches) == 5

    run_watch_scenario(scenario)


def test_version_guard_accepts_newer_lists_and_older_ones_sent_twice() -> None:
    versions = ListVersionGuard()

    def accepts(version: int | None, whole: bool) -> bool:
        counts = versions.accepts(version, whole)
        if counts:  # and it is read to its end
            versions.list_read(version)
        return counts

    assert [
        accepts(*list_head)
        for list_head in [
            (5, True),
            (6, False),
            (6, False),
            (4, False),
            (4, False),
            (None, True),
            (4, True),
            (7, False),
            (3, True),
            (3, True),
            (4, False),
        ]
    ] == [True, True, True, False, False, True, False, True, False, True, True]


def test_watch_is_waited_for_by_what_it_has_shown() -> None:
    assert watch_deadline(10.0, False, None) == 10 + FIRST_ELEMENT_S
    assert watch_deadline(10.0, True, None) == 10 + WATCH_SILENCE_S
    assert watch_deadline(10.0, True, 9.9) == 10 + ELEMENT_STALL_S
    assert watch_deadline(10.0, True, 7.8) == 7.8 + WATCH_SILENCE_S  # in drops


ODD: list[Any] = [
    7,
    None,
    [],
    "s",
    {},
    {"id": "x"},
    entry("x", "WARMING"),
    entry("x", state=["SERVING"]),  # type: ignore[arg-type]
    entry("x", addr=7),
    entry("x", addr="nowhere"),
    entry("x", addr="a\nb:1"),
    entry("x", addr="10.0.0.1:99999"),
    entry("x", cell=None),
    entry("x", cell=float("inf")),
    entry("x", cell=True),
    entry("x", cell=-1),
    entry("x", cell="1"),
    entry("x", cell=1e300),
    entry("\ud800"),
    entry(""),
    entry("x" * 300),
    entry("x", cell={"a": 1}),
    entry("x") | {"id": 5},
]


@pytest.mark.parametrize("odd", ODD, ids=repr)
@pytest.mark.parametrize("whole", [True, False])
def test_malformed_entry_is_skipped_alone(odd: Any, whole: bool) -> None:
    directory = Directory(("k",), ("z",))
    event = directory.apply_list({"version": 1, "full": whole, "servers": [entry("a"), odd, entry("b")]})
    assert [address.name for address in addresses(directory)] == ["a", "b"]
    assert directory.skipped_entries == 1
    assert [each.id for each in event.endpoints] == list(directory)


@pytest.mark.parametrize("weight", [None, "5", float("inf"), float("nan"), [1], True])
def test_weight_that_is_no_number_advertises_no_rate(weight: Any) -> None:
    (each,) = Directory(("k",), ("z",)).apply_list({"full": True, "servers": [entry("a", weight=weight)]}).endpoints
    assert each.advertised_rate in (0.0, 1.0)


def test_entry_that_ends_an_endpoint_needs_its_name_alone_and_a_malformed_one_ends_none() -> None:
    directory = Directory(("k",), ("z",))
    directory.apply_list({"full": True, "servers": [entry("a"), entry("b"), entry("c")]})
    event = directory.apply_list(
        {"full": True, "servers": [{"id": "a", "state": "DRAINING"}, entry("b", "?"), entry("c")]}
    )
    assert [(each.id, each.status) for each in event.endpoints] == [(1, EndpointStatus.DRAINING)]  # all that changes
    assert [address.name for address in addresses(directory)] == ["a", "b", "c"]
    assert directory.skipped_entries == 1
    event = directory.apply_list({"servers": [{"id": "a", "state": "DELETED"}, {"id": "z", "state": "DELETED"}]})
    assert [(each.id, each.status) for each in event.endpoints] == [(1, EndpointStatus.GONE)]
    assert list(directory) == [2, 3]


@pytest.mark.parametrize(
    "servers", [[entry("a", "DELETED"), entry("a", cell=2)], [entry("a"), entry("a", "DELETED"), entry("a", cell=2)]]
)
@pytest.mark.parametrize("whole", [True, False])
def test_endpoint_that_comes_back_under_its_name_in_one_list_is_another(servers: list[Any], whole: bool) -> None:
    directory = Directory(("k",), ("z",))
    directory.apply_list({"full": True, "servers": [entry("a")]})
    event = directory.apply_list({"full": whole, "servers": servers})
    (address,) = addresses(directory)
    assert address.id != 1
    assert address.destination == 2
    assert {each.id: each.status for each in event.endpoints} == {
        1: EndpointStatus.GONE,
        address.id: EndpointStatus.READY,
    }
    assert directory.address_of(1) is None
    assert directory.endpoint(1) is None


def test_last_entry_of_an_endpoint_counts() -> None:
    directory = Directory(("k",), ("z",))
    directory.apply_list({"full": True, "servers": [entry("a")]})
    event = directory.apply_list({"servers": [entry("a"), entry("a", "DELETED")]})
    assert [each.status for each in event.endpoints] == [EndpointStatus.GONE]
    assert not len(directory)


@pytest.mark.parametrize("raw_list", [None, 7, [], "x", {}, {"servers": None}, {"servers": {}}, {"version": 1}])
def test_object_that_is_no_list_changes_nothing(raw_list: object) -> None:
    directory = Directory(("k",), ("z",))
    directory.apply_list({"version": 1, "full": True, "servers": [entry("a")]})
    with pytest.raises(InvalidListError):
        directory.apply_list(raw_list)
    assert list(directory) == [1]


# -- long lists ----------------------------------------------------------------------------------------------------

LONG = 5000  # endpoints: some 600 KB


def opened(emulator: DiscoveryEmulator, number: int) -> Callable[[], bool]:
    return lambda: len(emulator.watches) == number


ALL = "/api/targets?follow=1"


@pytest.mark.parametrize("indent", [None, 2])
def test_long_list_is_published_in_bounded_events_and_a_watch_resumes_from_its_version(indent: int | None) -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(testbed.agrees)
        await wait_until(testbed.watch.first_list_read.is_set)
        assert len(testbed.events) > LONG / ENTRIES_PER_EVENT
        assert not testbed.logged
        testbed.events.clear()
        emulator.watches[0].write(chunk(emulator.change(entry("a", "DRAINING"), entry("s-7", "DELETED"))))
        await wait_until(testbed.agrees)
        assert [len(event.endpoints) for event in testbed.events] == [2]
        emulator.watches[0].close()
        await wait_until(opened(emulator, 2))  # it has nothing to tell
        emulator.watches[1].write(chunk(b"\n"))
        await wait_until(
            lambda: (
                testbed.watch.connection and testbed.watch.connection.is_useful and testbed.watch.watches_opened == 2
            )
        )
        emulator.changed = [entry("b", "DELETED"), entry("new", cell=9)]
        emulator.change(*emulator.changed)
        emulator.watches[1].close()
        await wait_until(testbed.agrees)
        assert emulator.asked == [ALL, f"{ALL}&since=41", f"{ALL}&since=41"]
        assert sum(len(event.endpoints) for event in testbed.events) == 4
        assert not testbed.logged

    run_watch_scenario(scenario, indent=indent, more=LONG)


def test_resumed_watch_may_get_the_full_list_and_one_that_changes_nothing_publishes_nothing() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(lambda: testbed.agrees() and testbed.watch.first_list_read.is_set())
        emulator.forgets = True
        testbed.events.clear()
        emulator.version = 47
        emulator.watches[0].close()
        await wait_until(lambda: testbed.directory.version_guard.newest_version == 47)
        assert not testbed.events
        assert testbed.agrees()
        emulator.change(entry("s-9", "DELETED"), entry("new", cell=9))
        emulator.watches[1].close()
        await wait_until(testbed.agrees)
        assert emulator.asked == [ALL, f"{ALL}&since=40", f"{ALL}&since=47"]
        assert sum(len(event.endpoints) for event in testbed.events) == 2

    run_watch_scenario(scenario, more=LONG)


def test_short_list_is_requested_in_full_each_time() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        for number in (1, 2, 3):
            await wait_until(opened(emulator, number))
            await wait_until(
                lambda: testbed.watch.connection and testbed.watch.connection.is_useful and testbed.agrees()
            )
            emulator.watches[-1].close()
        assert {*emulator.asked} == {ALL}

    run_watch_scenario(scenario)


HALF = 300_000


def half(text: bytes) -> bytes:
    return b"%x\r\n%s" % (len(text), text[:HALF])


def spoilt(text: bytes) -> bytes:
    at = text.index(b"},", HALF) + 1
    return chunk(text[:at] + b"}" + text[at:])


def broken_off(text: bytes) -> bytes:
    return chunk(text[:HALF]) + b"0\r\n\r\n"


def short(text: bytes) -> bytes:
    return chunk(text[: text.index(b"{", 2) + 9])


@pytest.mark.parametrize(
    ("said", "closes", "log"),
    [
        (half, True, "list_truncated"),
        (half, False, "list_truncated"),
        (spoilt, False, "list_rejected"),
        (broken_off, False, "list_truncated"),
        (short, True, "list_truncated"),
        (short, False, "list_truncated"),
    ],
)
@pytest.mark.parametrize("since", [False, True])
def test_truncated_long_list_removes_nothing_and_its_version_does_not_count(
    said: Callable[[bytes], bytes], closes: bool, log: str, since: bool
) -> None:
    """Each is told in one line, and asked for whole after growing pauses."""

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(lambda: testbed.agrees() and testbed.watch.first_list_read.is_set())
        before = dict(emulator.entries)
        emulator.forgets = since
        emulator.change(entry("s-1", "DRAINING"), entry("s-2", "DELETED"), entry("s-3", cell=77), entry("a", "DELETED"))
        emulator.script = [(HEAD + said(emulator.full_list()), False)] * 3
        emulator.watches[0].close()
        for again in (1, 2, 3):
            await wait_until(opened(emulator, 1 + again))
            if closes:
                await asyncio.sleep(0.2)  # the kernel has it
                emulator.watches[-1].close()
            if again < 3:
                await wait_until(opened(emulator, 2 + again))
                assert testbed.directory.version_guard.newest_version == 40
                mine = {address.name for address in addresses(testbed.directory)}
                assert mine == set(before), "an endpoint that was not named has gone"
                listed = testbed.directory.endpoint(testbed.directory.id_of("s-1"))
                assert listed
                assert (listed.status is EndpointStatus.DRAINING) == (said is not short)
        await wait_until(lambda: testbed.agrees() and testbed.directory.version_guard.newest_version == 41)
        assert [event for event, _ in testbed.logged] == [log] * 3
        assert all(fields["why"] and (fields["entries"] > 1000 or said is short) for _, fields in testbed.logged)
        assert emulator.asked == [ALL, f"{ALL}&since=40", ALL, ALL, ALL]
        assert testbed.watch.failures == 4

    run_watch_scenario(scenario, more=LONG)


def test_older_long_list_is_rejected_before_any_entry_and_requested_again() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(lambda: testbed.agrees() and testbed.watch.first_list_read.is_set())
        testbed.events.clear()
        older = emulator.text(
            {"version": 39, "full": True, "servers": [entry(name, "DRAINING") for name in emulator.entries]}
        )
        emulator.script = [(HEAD + chunk(older), False)]
        emulator.watches[0].close()
        await wait_until(lambda: len(emulator.watches) == 3)
        await wait_until(lambda: testbed.watch.connection and testbed.watch.connection.is_useful)
        assert testbed.agrees()
        assert not testbed.events
        assert emulator.asked == [ALL, f"{ALL}&since=40", ALL]
        assert testbed.logged == [("list_rejected", {"why": "version: expected 40 or later, found 39", "entries": 0})]

    run_watch_scenario(scenario, more=LONG)


def test_broken_entries_among_many_are_one_line() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(lambda: testbed.agrees() and testbed.watch.first_list_read.is_set())
        held = dict(emulator.entries)
        emulator.entries["s-3000"] = entry("s-3000", cell="x")
        emulator.entries["s-4000"] = entry("s-4000", addr="nowhere")
        emulator.version = 41
        emulator.watches[0].write(chunk(emulator.full_list()))
        await wait_until(lambda: testbed.directory.version_guard.newest_version == 41)
        emulator.entries = held
        assert testbed.agrees()
        assert len(emulator.watches) == 1
        assert testbed.logged == [
            (
                "entries_skipped",
                {
                    "skipped": 2,
                    "of": LONG + 2,
                    "first": "servers[3002]: cell: expected a whole number from 0 to 999999999, found 'x'",
                },
            )
        ]

    run_watch_scenario(scenario, more=LONG)


def test_long_list_that_can_not_be_read_in_parts_is_bounded() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(lambda: testbed.agrees() and testbed.watch.first_list_read.is_set())
        late = json.dumps({"servers": list(emulator.entries.values()), "version": 50, "full": True}).encode()
        emulator.watches[0].write(chunk(late))
        await wait_until(lambda: testbed.logged)
        assert testbed.logged == [("list_rejected", {"why": "a value of more than 200000 bytes", "entries": 0})]
        await wait_until(lambda: len(emulator.watches) == 2)
        assert testbed.agrees()

    run_watch_scenario(scenario, more=LONG, max_list_bytes=200_000)


def test_changes_behind_a_long_list_wait_until_its_sweep_is_over() -> None:
    """All but two endpoints go, and one comes again under its name in the object behind: were it looked at before, the
    sweep would take it away."""

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(lambda: testbed.agrees() and testbed.watch.first_list_read.is_set())
        testbed.events.clear()
        emulator.version += 1
        emulator.entries = {"a": entry("a"), "b": entry("b", cell=2)}
        whole = emulator.full_list()
        change = emulator.change(entry("s-4999", cell=3), entry("a", "DRAINING"))
        emulator.watches[0].write(chunk(whole + change))
        await wait_until(testbed.agrees)
        *sweeps, last = testbed.events
        assert [len(event.endpoints) for event in sweeps][:-1] == [ENTRIES_PER_EVENT] * (LONG // ENTRIES_PER_EVENT)
        assert {each.status for event in sweeps for each in event.endpoints} == {EndpointStatus.GONE}
        assert [(each.status, each.destination) for each in last.endpoints] == [
            (EndpointStatus.DRAINING, 1),
            (EndpointStatus.READY, 3),
        ]

    run_watch_scenario(scenario, more=LONG)


def test_move_in_the_middle_of_a_long_list_ignores_the_rest_of_it() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await wait_until(lambda: testbed.agrees() and testbed.watch.first_list_read.is_set())
        emulator.version += 1
        held = dict(emulator.entries)
        emulator.entries = {"z": entry("z", "DRAINING")} | held
        del emulator.entries["s-4"]
        emulator.watches[0].write(half(emulator.full_list()))
        await wait_until(lambda: testbed.directory.id_of("z"))
        assert testbed.watch.is_reading_list
        emulator.entries = held
        testbed.watch.move(await emulator.start())
        assert not testbed.watch.is_reading_list
        await wait_until(testbed.agrees)
        assert emulator.asked == [ALL, ALL]

    run_watch_scenario(scenario, more=LONG)


def test_resume_policy_decides_what_the_next_watch_asks_for() -> None:
    asking = ResumePolicy()
    assert asking.resume_version(None) is None
    assert asking.resume_version(5) is None
    asking.full_list_read(small=True)
    asking.watch_ended(True, True, False)
    assert asking.resume_version(5) is None  # it costs less than the doubt
    for ended in [(False, True, False), (True, False, False), (True, True, True)]:
        asking.full_list_read(small=False)
        asking.watch_ended(True, True, False)
        assert asking.resume_version(5) == 5
        assert asking.resume_version(None) is None
        asking.watch_ended(*ended)
        assert asking.resume_version(5) is None
        asking.watch_ended(True, True, False)
        assert asking.resume_version(5) is None, "before a whole list has made up for it"
    asking.full_list_read(small=False)
    asking.discovery_moved()
    assert asking.resume_version(5) is None


def test_list_counts_by_its_head_and_its_version_once_it_has_been_read() -> None:
    versions = ListVersionGuard()
    assert versions.accepts(5, True)
    assert versions.newest_version is None
    versions.list_read(5)
    assert not versions.accepts(4, False)
    assert not versions.accepts(4, True)
    assert versions.accepts(4, True)
    assert versions.accepts(3, True)
    assert versions.newest_version == 5
    versions.list_read(3)
    versions.list_read(None)
    assert versions.newest_version == 3
    assert not versions.accepts(2, True)


def test_resumed_watch_is_waited_for_once_its_head_has_come() -> None:
    assert watch_deadline(10.0, False, None, opened_at=9.2) == 9.2 + WATCH_SILENCE_S
    assert watch_deadline(10.0, True, None, opened_at=9.2) == 10 + WATCH_SILENCE_S
    assert watch_deadline(10.0, False, 9.9, opened_at=9.2) == 10 + ELEMENT_STALL_S


# -- the clock ----------------------------------------------------------------------------------------------------

Said = list[tuple[float, bytes]]  # s after it was asked, and what comes then


class Ends(asyncio.Transport):
    """A connection to a discovery that says what its script tells."""

    def __init__(self, loop: Clock, protocol: asyncio.BufferedProtocol) -> None:
        super().__init__()
        self.loop, self.protocol, self.closing = loop, protocol, False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.loop.asked.append((self.loop.now, bytes(data).split()[1].decode()))
        for after, said in self.loop.script.pop(0):
            for at in range(0, len(said), 16_000):
                self.loop.call_later(after + at * 1e-9, self.say, said[at : at + 16_000])  # equal times have no order

    def say(self, data: bytes) -> None:
        if not self.closing:
            memoryview(self.protocol.get_buffer(-1))[: len(data)] = data
            self.protocol.buffer_updated(len(data))

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


class Clock(asyncio.SelectorEventLoop):
    """A loop whose time goes on when nothing else is to be done, with connections that `script` plays in turn."""

    def __init__(self, script: list[Said]) -> None:
        super().__init__()
        self.now, self.script = 0.0, script
        self.asked: list[tuple[float, str]] = []
        select = self._selector.select  # type: ignore[attr-defined]

        def wait(timeout: float | None) -> Any:
            self.now += timeout or 0.0
            assert timeout is not None, "nothing goes on"
            assert self.now < 60, "nothing goes on"
            return select(0)

        self._selector.select = wait  # type: ignore[attr-defined]

    def time(self) -> float:
        return self.now

    async def create_connection(self, factory: Any, *discovery_address: Any, **more: Any) -> Any:  # type: ignore[override]
        protocol = factory()
        transport = Ends(self, protocol)
        protocol.connection_made(transport)
        return transport, protocol


def listed(*entries: dict[str, Any], version: int = 41) -> bytes:
    return chunk(json.dumps({"version": version, "full": True, "servers": list(entries)}).encode() + b"\n")


MANY = [entry(f"s-{number}") for number in range(1000)]
CHANGED = [*MANY[1:], entry("s-0", "DRAINING")]
NOTHING: Said = []


@pytest.mark.parametrize(
    ("chain", "asks"),
    [
        ([NOTHING], [True, False]),
        ([NOTHING, NOTHING], [True, False, False]),
        ([[(0.0, HEAD)]], [True, False]),
        ([[(0.99, HEAD)]], [True, False]),
        ([[(0.49, HEAD[:9])], NOTHING], [True, False, False]),
        ([[(0.99, HEAD + b"5")]], [True, False]),
        ([[(0.99, HEAD), (2.59, b"\r")]], [True, False]),
    ],
)
def test_worst_chain_of_silences_is_recovered_before_its_change_is_due(chain: list[Said], asks: list[bool]) -> None:
    """The first watch tells a long list and falls silent; a change is made then. Each of `chain` says no more than
    that; `asks` tells which of those that follow may go on from the version."""
    loop = Clock([[(0.0, HEAD + listed(*MANY))], *chain, [(0.0, HEAD + listed(*CHANGED, version=42))]])
    heard: list[float] = []

    def hear(event: EndpointList) -> None:
        heard.extend(loop.now for each in event.endpoints if each.status is EndpointStatus.DRAINING)

    async def run() -> None:
        rng = random.Random(1)
        rng.uniform = lambda low, high: high  # type: ignore[method-assign, assignment]  # the longest
        watch = Watch(Directory(("k",), ("z",)), ("h", 1), hear, rng)
        watch.start()
        while not heard:  # noqa: ASYNC110  the loop's time is simulated and moves by sleeps
            await asyncio.sleep(0.01)
        watch.close()

    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    assert heard[0] < 6.0, "told too late"
    assert ["since=41" in asked for _, asked in loop.asked[1:]] == asks
    assert loop.asked[1][0] < 2.7


def test_long_list_that_comes_slowly_is_waited_for_and_one_that_stops_is_not() -> None:
    text = HEAD + listed(*(entry(f"s-{number}") for number in range(LONG)))
    pieces = [text[at : at + 24_000] for at in range(0, len(text), 24_000)]  # the first step is over in 0.9 s
    slow: Said = [(0.3 * number, piece) for number, piece in enumerate(pieces)]
    assert slow[-1][0] > 6
    loop = Clock([slow[:-1], slow])
    directory_of: list[Directory] = []

    async def run() -> None:
        watch = Watch(Directory(("k",), ("z",)), ("h", 1), lambda event: None, random.Random(1))
        directory_of.append(watch.directory)
        watch.start()
        await watch.first_list_read.wait()
        watch.close()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    (begun, _), (again, _) = loop.asked
    assert begun == 0
    assert slow[-2][0] + ELEMENT_STALL_S <= again < slow[-2][0] + ELEMENT_STALL_S + 0.2
    assert len(directory_of[0]) == LONG
    assert directory_of[0].version_guard.newest_version == 41
