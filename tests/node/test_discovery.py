"""Watches of discovery and what they tell: whatever a watch does, the list ends as discovery's own."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import pytest

from linnetstile.decisions import interface as api
from linnetstile.decisions import lists
from linnetstile.decisions.lists import FIRST_S, QUIET_S, STALL_S, Versions, watch_until
from linnetstile.node import discovery
from linnetstile.node.discovery import Directory, NoList, Watch

from .world import until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def entry(name: str, state: str = "SERVING", cell: Any = 1, **more: Any) -> dict[str, Any]:
    return {"id": name, "addr": "127.0.0.1:9", "zone": "z", "kind": "k", "cell": cell, "state": state,
            "weight": 5.0} | more


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Told:
    """Discovery: holds entries, tells them to each watch, which then does as `script` says: bytes before its list, or
    in its place, and whether the list follows."""

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = 40
        self.script: list[tuple[bytes, bool]] = []
        self.asked: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.indent: int | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "127.0.0.1", int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        self.watches.append(writer)
        said, listed = self.script.pop(0) if self.script else (HEAD, True)
        writer.write(said)
        if listed:
            writer.write(chunk(self.whole()))
        await reader.read()
        writer.close()

    def whole(self) -> bytes:
        return self.text({"version": self.version, "full": True, "servers": list(self.entries.values())})

    def text(self, told: object) -> bytes:
        return json.dumps(told, indent=self.indent).encode() + b"\n"

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


class Rig:
    """A watch, and the module's view as the events make it."""

    def __init__(self, told: Told, where: tuple[str, int]) -> None:
        self.told = told
        self.directory = Directory(("k",), ("z",))
        self.view: dict[int, api.Endpoint] = {}
        self.watch = Watch(self.directory, where, self.hear, random.Random(1))
        self.watch.start()

    def hear(self, event: api.EndpointList) -> None:
        if event.kind is api.ListKind.WHOLE:
            self.view = {}
        for each in event.entries:
            self.view[each.id] = each
            if each.listing is api.Listing.GONE:
                del self.view[each.id]

    def agrees(self) -> bool:
        mine = {place.name: (discovery_state(self.view.get(number)), place.destination)
                for number, place in self.directory.places.items()}
        return (mine == {name: (each["state"], each["cell"]) for name, each in self.told.entries.items()}
                and self.view.keys() == self.directory.places.keys() == self.directory.listed.keys())


def discovery_state(each: api.Endpoint | None) -> str:
    return {api.Listing.READY: "SERVING", api.Listing.DRAINING: "DRAINING"}[each.listing] if each else "?"


def play(story: Callable[[Told, Rig], Any], *script: tuple[bytes, bool], indent: int | None = None) -> None:
    async def run() -> None:
        told = Told()
        told.script, told.indent = list(script), indent
        told.entries = {"a": entry("a"), "b": entry("b", cell=2)}
        rig = Rig(told, await told.start())
        try:
            await story(told, rig)
        finally:
            rig.watch.close()
            told.close()
            await asyncio.sleep(0)

    asyncio.run(run())


@pytest.mark.parametrize("indent", [None, 0, 2])
@pytest.mark.parametrize("step", [1, 7, 4000])
def test_list_is_read_however_it_is_indented_and_cut(indent: int | None, step: int) -> None:
    async def story(told: Told, rig: Rig) -> None:
        await until(rig.agrees)
        stream = told.change(entry("a", "DRAINING")) + b"\n" + told.change(entry("c", cell=3), entry("b", "DELETED"))
        for at in range(0, len(stream), step):  # changes in chunks that begin and end anywhere, several in one
            told.watches[0].write(chunk(stream[at : at + step]))
        await until(rig.agrees)
        assert len(told.watches) == 1 and not rig.watch.spoilt

    play(story, indent=indent)


SILENT = [
    b"", HEAD[:20], HEAD, HEAD + b"5", HEAD + b"40\r\n", HEAD + b'40\r\n{"version":41,"full":true,"servers":[',
    HEAD + chunk(b"\n"), HEAD + chunk(b'{"version": 4') + b"1",
]
SPOILT = [
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", b"\x16\x03 noise\r\n\r\n", HEAD + b"zz\r\n",
    HEAD + chunk(b"17\n"), HEAD + chunk(b"[]\n"), HEAD + chunk(b"{}\n"), HEAD + chunk(b'{"servers":7}\n'),
    HEAD + chunk(b"[" * 100_000), HEAD + chunk(b'{"version":41,"full":true,"servers":[{"id":"a"\n{'),
    HEAD + chunk(b'"\xff"'), HEAD + b"0\r\n\r\n",
]


@pytest.mark.parametrize("said", SILENT + SPOILT)
def test_watch_that_stops_or_is_spoilt_anywhere_is_opened_anew_and_asks_for_all(said: bytes) -> None:
    async def story(told: Told, rig: Rig) -> None:
        await until(rig.agrees, 4.0)
        assert len(told.watches) == 3 and set(told.asked) == {"/api/targets?follow=1"}
        told.watches[2].write(chunk(told.change(entry("a", "DELETED"))))
        await until(rig.agrees)

    play(story, (said, False), (said, False))


@pytest.mark.parametrize("rest", [b"", b"4", b'9\r\n{"version', chunk(b'{"version":41,"full":false,"servers":[{"id":')])
def test_watch_that_falls_silent_later_loses_no_change(rest: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lists, "QUIET_S", 0.4)

    async def story(told: Told, rig: Rig) -> None:
        await until(rig.agrees)
        told.watches[0].write(rest)
        told.change(entry("a", "DRAINING"), entry("b", "DELETED"), entry("c", cell=3))  # never told on that watch
        await until(rig.agrees, 2.0)

    play(story)


def test_quiet_watch_with_an_empty_line_now_and_then_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lists, "QUIET_S", 0.3)
    monkeypatch.setattr(discovery, "STALL_S", 0.02)

    async def story(told: Told, rig: Rig) -> None:
        await until(rig.agrees)
        for _ in range(8):
            told.watches[0].write(chunk(b"\n"))
            await asyncio.sleep(0.1)
        assert len(told.watches) == 1

    play(story)


def test_watch_of_the_address_before_a_move_is_heard_no_more() -> None:
    async def story(told: Told, rig: Rig) -> None:
        await until(rig.agrees)
        before, told.watches = told.watches[0], []
        rig.watch.move(await told.start())
        before.write(chunk(b'{"version":99,"full":true,"servers":[]}\n'))  # it is on its way as the move begins
        await until(lambda: told.watches and rig.agrees())
        told.watches[-1].write(chunk(told.change(entry("c", cell=3))))
        await until(rig.agrees)

    play(story)


def test_older_list_is_not_taken_unless_discovery_says_it_twice() -> None:
    async def story(told: Told, rig: Rig) -> None:
        await until(rig.agrees)
        told.watches[0].write(chunk(told.change(entry("b", "DELETED"))))
        await until(rig.agrees)
        older = json.dumps({"version": 40, "full": True, "servers": [entry("a"), entry("b", cell=2)]}).encode()
        told.script = [(HEAD + chunk(older), False)]
        told.watches[0].close()
        await until(lambda: len(told.watches) == 3)
        assert "b" not in rig.directory.numbers  # also between the two
        await until(rig.agrees)
        told.version, told.entries = 3, {"d": entry("d", cell=4)}  # it has begun anew
        told.watches[-1].close()
        await until(rig.agrees)
        assert len(told.watches) == 5

    play(story)


def test_versions_take_what_is_newer_and_what_is_said_twice() -> None:
    versions = Versions()
    assert [versions.takes(*told) for told in [(5, True), (6, False), (6, False), (4, False), (4, False), (None, True),
                                               (4, True), (7, False), (3, True), (3, True), (4, False)]] == [
        True, True, True, False, False, True, False, True, False, True, True]


def test_watch_is_waited_for_by_what_it_has_shown() -> None:
    assert watch_until(10.0, False, None) == 10 + FIRST_S and watch_until(10.0, True, None) == 10 + QUIET_S
    assert watch_until(10.0, True, 9.9) == 10 + STALL_S
    assert watch_until(10.0, True, 7.8) == 7.8 + QUIET_S  # in drops


ODD: list[Any] = [
    7, None, [], "s", {}, {"id": "x"}, entry("x", "WARMING"), entry("x", state=["SERVING"]), entry("x", addr=7),  # type: ignore[arg-type]
    entry("x", addr="nowhere"), entry("x", addr="a\nb:1"), entry("x", addr="10.0.0.1:99999"), entry("x", cell=None),
    entry("x", cell=float("inf")), entry("x", cell=True), entry("x", cell=-1), entry("x", cell="1"),
    entry("x", cell=1e300), entry("\ud800"), entry(""), entry("x" * 300), entry("x", cell={"a": 1}),
    entry("x") | {"id": 5},
]


@pytest.mark.parametrize("odd", ODD, ids=repr)
@pytest.mark.parametrize("whole", [True, False])
def test_entry_that_can_not_be_read_is_left_out_alone(odd: Any, whole: bool) -> None:
    directory = Directory(("k",), ("z",))
    event = directory.take({"version": 1, "full": whole, "servers": [entry("a"), odd, entry("b")]})
    assert [place.name for place in directory.places.values()] == ["a", "b"] and directory.skipped == 1
    assert [each.id for each in event.entries] == list(directory.places)


@pytest.mark.parametrize("weight", [None, "5", float("inf"), float("nan"), [1], True])
def test_weight_that_is_no_number_tells_no_rate(weight: Any) -> None:
    (each,) = Directory(("k",), ("z",)).take({"full": True, "servers": [entry("a", weight=weight)]}).entries
    assert each.rate in (0.0, 1.0)


def test_what_ends_an_endpoint_needs_its_name_alone_and_a_spoilt_entry_ends_none() -> None:
    directory = Directory(("k",), ("z",))
    directory.take({"full": True, "servers": [entry("a"), entry("b"), entry("c")]})
    event = directory.take({"full": True, "servers": [{"id": "a", "state": "DRAINING"}, entry("b", "?"), entry("c")]})
    assert [each.listing for each in event.entries] == [api.Listing.DRAINING, api.Listing.READY, api.Listing.READY]
    event = directory.take({"servers": [{"id": "a", "state": "DELETED"}, {"id": "z", "state": "DELETED"}]})
    assert [(each.id, each.listing) for each in event.entries] == [(1, api.Listing.GONE)]
    assert list(directory.places) == [2, 3]


@pytest.mark.parametrize("servers", [
    [entry("a", "DELETED"), entry("a", cell=2)], [entry("a"), entry("a", "DELETED"), entry("a", cell=2)]])
@pytest.mark.parametrize("whole", [True, False])
def test_endpoint_that_comes_back_under_its_name_in_one_list_is_another(servers: list[Any], whole: bool) -> None:
    directory = Directory(("k",), ("z",))
    directory.take({"full": True, "servers": [entry("a")]})
    event = directory.take({"full": whole, "servers": servers})
    assert {each.id: each.listing for each in event.entries} == {1: api.Listing.GONE, 2: api.Listing.READY}
    assert [(place.number, place.destination) for place in directory.places.values()] == [(2, 2)]


def test_last_word_on_an_endpoint_counts() -> None:
    directory = Directory(("k",), ("z",))
    directory.take({"full": True, "servers": [entry("a")]})
    event = directory.take({"servers": [entry("a"), entry("a", "DELETED")]})
    assert [each.listing for each in event.entries] == [api.Listing.GONE] and not directory.places


@pytest.mark.parametrize("told", [None, 7, [], "x", {}, {"servers": None}, {"servers": {}}, {"version": 1}])
def test_what_is_no_list_changes_nothing(told: object) -> None:
    directory = Directory(("k",), ("z",))
    directory.take({"version": 1, "full": True, "servers": [entry("a")]})
    with pytest.raises(NoList):
        directory.take(told)
    assert list(directory.places) == [1]
