"""The relay on the platform, in one process with its stand-ins: what it takes on ends once, whatever comes back."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import json
import os
import shutil
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from linnetstile.net import client, server
from linnetstile.platform_relay import journal
from linnetstile.platform_relay.http_frontend import Submission
from linnetstile.platform_relay.journal import Journal
from linnetstile.platform_relay.relay import PlatformRelay

from .world import OK, RAW, World, ask, hand_in, port_of, read, until

Story = Callable[[World], Awaitable[None]]


def play(state: Path, story: Story) -> None:
    async def run() -> None:
        world = World(state / "journal")
        try:
            await world.endpoint(1)
            await story(world)
        finally:
            world.close()
            await asyncio.sleep(0)

    asyncio.run(run())


def idle(node: PlatformRelay) -> bool:
    return not node.carried and not node.owed


def ids(world: World) -> list[str]:
    return [fields["x-correlation-id"] for _, fields, _ in world.calls]


def connect_late(monkeypatch: pytest.MonkeyPatch, node: PlatformRelay, pauses: Iterator[float]) -> None:
    """From now on each connection to an endpoint takes so many seconds more to be made."""
    opens = node.calls.pool._open

    async def late(*where: Any) -> client.ClientConnection:
        await asyncio.sleep(next(pauses))
        return await opens(*where)

    monkeypatch.setattr(node.calls.pool, "_open", late)


def test_message_goes_on_unchanged_and_is_owed_no_notice(tmp_path: Path) -> None:
    body = bytes(range(256))

    async def story(world: World) -> None:
        node = await world.node()
        assert await ask(node, b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        assert await ask(node, hand_in("m1", "order", body=body, left="2500000u")) == 202
        await until(lambda: not node.carried)
        ((destination, fields, came),) = world.calls
        assert (destination, fields["x-correlation-id"], fields["idempotency-key"], came) == (1, "m1", "key-m1", body)
        assert 0 < int(fields["x-time-left"].removesuffix("m")) <= 2500
        assert not world.notices and not node.owed

    play(tmp_path, story)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX: \x00\x01\r\n\r\n",
        b"HTTP/1.1 200 OK\nX: y\n\n",
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 9000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK,
        OK + OK,
        OK + b"\x00\xff noise",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: {{{\r\n\r\nok",
    ],
)
def test_answer_whose_first_line_says_200_counts_whatever_follows(tmp_path: Path, answer: bytes) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        world.script[1] = [answer]
        assert await ask(node, hand_in("a", "pay")) == 202
        await until(lambda: not node.carried, 1.0)
        for ident in ("b", "c"):  # the next ones have an answer of their own
            world.script[1] = [b"HTTP/1.1 429 X\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n", OK]
            assert await ask(node, hand_in(ident, "pay")) == 202
            await until(lambda: not node.carried)
        assert ids(world) == ["a", "b", "b", "c", "c"]
        assert not world.notices

    play(tmp_path, story)


@pytest.mark.parametrize(
    "answer",
    [
        b"\x16\x03\x01 noise\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nContent-Length: zero\r\n\r\n",
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_unclear_answer_is_final_for_what_may_not_be_repeated_and_repeated_for_the_rest(
    tmp_path: Path, answer: bytes
) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        world.script[1] = [answer]
        assert await ask(node, hand_in("p", "pay")) == 202
        await until(lambda: world.notices)
        assert world.notices == [{"ref": "p", "result": "dead"}]
        world.script[1] = [answer]
        assert await ask(node, hand_in("s", "order")) == 202
        await until(lambda: not node.carried)
        assert ids(world) == ["p", "s", "s"]
        assert len({fields["idempotency-key"] for _, fields, _ in world.calls[1:]}) == 1

    play(tmp_path, story)


BAD = [
    b"\x00\x01\x02 not http\r\n\r\n",
    b"POST /api HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000,
    hand_in("x", Content_Length="-1"),
    hand_in("x", Content_Length="99999999999999999999"),
    hand_in("x", Content_Length="62914560"),
    hand_in("x", Transfer_Encoding="chunked"),
    hand_in("x", "nonsense"),
    hand_in("x", destination=999),
    hand_in("x", Envelope="dest=one"),
    hand_in("x", left="soon"),
    hand_in("x", left="-5m"),
    hand_in("x", left="99999999m"),
    hand_in(""),
    hand_in("x", X_Account="nobody"),
    hand_in("x", "order", Idempotency_Key=""),
    hand_in("x").replace(b"/api", b"/other"),
    hand_in("x").replace(b"POST", b"GET"),
    hand_in("x", Content_Length="500"),
]


@pytest.mark.parametrize("number", range(len(BAD)))
def test_bad_client_gets_an_error_or_a_close_in_time_and_nothing_is_taken(tmp_path: Path, number: int) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        assert await ask(node, BAD[number], 3.0) not in (200, 202)
        assert not node.carried and not world.calls
        assert await ask(node, hand_in("good")) == 202

    play(tmp_path, story)


def test_kept_connections_of_clients_stay_below_the_third_that_clients_have(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        world.raw = RAW | {"limits": RAW["limits"] | {"open-cap": 200}}  # none is refused for want of room
        node = await world.node(sockets=120)
        kept = []
        for number in range(60):  # each asks once and stays
            reader, writer = await asyncio.open_connection("127.0.0.1", port_of(node))
            writer.write(hand_in(f"m{number}"))
            assert b" 202 " in await reader.readline()
            kept.append(writer)
            assert len(node.front.server.open) <= 40
        await asyncio.sleep(2.5)  # and none of them for good
        assert not node.front.server.open
        for writer in kept:
            writer.close()

    play(tmp_path, story)


def test_silent_clients_are_let_go_and_an_open_identifier_is_not_taken_twice(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node(sockets=128)
        silent = (
            [
                await asyncio.open_connection("127.0.0.1", node.front.server._server.sockets[0].getsockname()[1])
                for _ in range(100)
            ]
            if node.front.server._server
            else []
        )
        world.script[1] = [None]
        assert await ask(node, hand_in("m")) == 202
        assert await ask(node, hand_in("m", body=b"other")) == 409
        async with asyncio.timeout(3.0):
            for reader, _ in silent:
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""
        for _, writer in silent:
            writer.close()

    play(tmp_path, story)


@pytest.mark.parametrize(("class_", "again"), [("state", True), ("order", True), ("pay", False)])
def test_restart_goes_on_with_what_was_taken(tmp_path: Path, class_: str, again: bool) -> None:
    async def story(world: World) -> None:
        where = await world.discovery()
        first = await world.node(where)
        world.script[1] = [None]
        assert await ask(first, hand_in("m", class_)) == 202
        await until(lambda: world.calls)
        world.kill(first, tmp_path / "as killed")
        second = await world.node(where)
        assert await ask(second, hand_in("m", class_)) == 409
        await until(lambda: not second.carried and not second.owed)
        assert ids(world) == ["m"] * (1 + again)
        assert world.notices == ([] if again else [{"ref": "m", "result": "dead"}])

    play(tmp_path, story)


@pytest.mark.parametrize("class_", ["pay", "state"])
def test_killed_after_any_write_a_message_has_one_end_and_no_second_effect(
    tmp_path: Path, class_: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The folder as it is after each write of one message's life is what a kill at that moment leaves."""
    left: list[tuple[Path, int, int]] = []  # the folder, calls that had come, notices posted
    flush, original = Journal.flush, tmp_path / "journal"

    async def story(world: World) -> None:
        def flushed(kept: Journal) -> bool:
            size, done = kept.size, flush(kept)
            if kept.folder == original and kept.size != size:
                left.append((tmp_path / f"kill-{len(left)}", len(world.calls), len(world.notices)))
                shutil.copytree(kept.folder, left[-1][0])
            return done

        monkeypatch.setattr(Journal, "flush", flushed)
        where = await world.discovery()
        first = await world.node(where)
        world.script[1] = [b"garbage\r\n\r\n", OK]
        assert await ask(first, hand_in("m", class_)) == 202
        await until(lambda: not first.carried and not first.owed)
        await asyncio.sleep(0.05)
        first.close()
        world.nodes.clear()
        assert len(left) >= 4
        for folder, calls, _ in left:
            world.state, before, posted = folder, len(world.calls), len(world.notices)
            again = await world.node(where)
            await until(partial(idle, again))
            again.close()
            world.nodes.clear()
            sent, told = len(world.calls) - before, len(world.notices) - posted
            begun = calls > 0 or folder != left[0][0]  # an attempt is in the journal from the second write on
            if class_ == "pay":
                assert sent == (0 if begun else 1) and sent + told <= 1
            else:
                assert sent <= 1 and not told

    play(tmp_path, story)


def test_reload_under_load_disturbs_nothing_that_is_held_or_out(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        for number in range(30):
            if number % 10 == 5:
                node.move(await world.discovery())
            world.script[1] = [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"] if number % 7 == 6 else []
            assert await ask(node, hand_in(f"m{number}", "order")) == 202
        await until(lambda: not node.carried and not node.owed)
        told = {notice["ref"] for notice in world.notices}
        assert set(ids(world)) == {f"m{number}" for number in range(30)} and not told
        assert node.watch.opened == 4

    play(tmp_path, story)


def test_notice_is_posted_until_the_platform_has_it_also_after_a_restart_and_a_move(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        where = await world.discovery()
        node = await world.node(where)
        world.notice_status = [500, 500, 400, 400, 204]
        world.script[1] = [b"garbage\r\n\r\n"]
        assert await ask(node, hand_in("p", "pay")) == 202
        await until(lambda: node.finals.refused == 1 and not node.owed)
        world.notice_status = [500]
        world.script[1] = [b"garbage\r\n\r\n"]
        assert await ask(node, hand_in("q", "pay")) == 202
        await until(lambda: node.finals.fails > 1)
        world.end(node)
        later = await world.node(where)
        assert list(later.owed) and not world.notices
        world.notice_status = [204]
        later.move(await world.discovery())
        await until(lambda: not later.owed)
        assert [notice["ref"] for notice in world.notices] == ["q"]

    play(tmp_path, story)


def test_changes_reach_the_module_and_an_address_that_changes_hands_shares_no_connection(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        assert await ask(node, hand_in("a")) == 202
        await until(lambda: not node.carried)
        old = world.entries[0]
        world.tell(world.watches[-1], [{**old, "state": "DELETED"}, {**old, "id": "s-new"}])
        await until(lambda: node.directory.number("s-new"))
        assert not node.directory.number(old["id"])
        assert await ask(node, hand_in("b")) == 202
        await until(lambda: not node.carried)
        assert world.connections == 2
        world.tell(world.watches[-1], [{**old, "id": "s-new", "state": "DRAINING"}])
        await until(lambda: not len(node.relay.routing_table.index))

    play(tmp_path, story)


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nTransfer-Enc",
        b"HTTP/1.1 500 X\r\n\r\n",
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"version":9,"full":fal',
    ],
)
def test_watch_that_stops_in_the_middle_is_opened_anew_well_before_its_change_counts(
    tmp_path: Path, said: bytes
) -> None:
    async def story(world: World) -> None:
        world.stall = [said, said]
        node = await world.node()
        await until(lambda: len(node.directory), 3.0)
        (entry,) = world.entries
        line = json.dumps({"version": 50, "full": False, "servers": [{**entry, "state": "DRAINING"}]}).encode()
        world.watches[-1].write(b"%x\r\n%s" % (len(line) + 1, line[:-9]))  # the rest never comes
        world.entries = [{**entry, "state": "DRAINING"}]
        await until(lambda: not len(node.relay.routing_table.index), 2.0)

    play(tmp_path, story)


@pytest.mark.parametrize("listed", [1, 7])
def test_client_that_left_before_its_answer_leaves_nothing_behind(tmp_path: Path, listed: int) -> None:
    async def story(world: World) -> None:
        await world.endpoint(7, "DRAINING")  # known, and nothing may be sent there
        node = await world.node()
        _, writer = await asyncio.open_connection("127.0.0.1", port_of(node))
        await until(lambda: node.front.server.open)
        take = node.front.take

        def late(exchange: server.RequestContext, hand: Submission) -> None:
            take(exchange, hand)
            exchange.conn.transport.abort()

        node.front.take = late
        writer.write(hand_in("m", destination=listed))
        await until(lambda: node.counts.get("unheard"))
        await asyncio.sleep(0.05)
        assert (
            not node.carried and not node.relay.queues.messages and node.journal.live == 0 and not node.relay.in_flight
        )
        assert not world.calls and not world.notices
        writer.close()

    play(tmp_path, story)


def test_what_can_not_be_written_down_is_refused(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        file, node.journal._file = node.journal._file, -1
        assert await ask(node, hand_in("m")) == 503
        node.journal._file = file
        await until(lambda: not node.carried)
        assert not world.calls and not world.notices
        assert await ask(node, hand_in("n")) == 202

    play(tmp_path, story)


def test_relay_that_leaves_serves_until_shortly_before_its_end(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        world.script[1] = [b"HTTP/1.1 429 X\r\nRetry-After: 0.6\r\nContent-Length: 0\r\n\r\n"]
        assert await ask(node, hand_in("m")) == 202
        node.leave()
        assert await ask(node, hand_in("n")) == 202
        kept, writer = await asyncio.open_connection("127.0.0.1", port_of(node))
        writer.write(hand_in("o"))
        assert b" 202 " in await kept.readline()
        await until(lambda: not node.carried)
        assert sorted(ids(world)) == ["m", "m", "n", "o"]
        async with asyncio.timeout(3.6):
            await node.over.wait()
        await kept.read()  # closed in order, with no error
        writer.close()

    play(tmp_path, story)


def test_work_that_may_run_only_once_is_not_sent_again_by_a_connection_that_comes_up_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The fleet's case: a second try was decided inside the key's window, its connection took a second to be made
    (the listener's queue was full), and the request left outside the window."""
    raw = json.loads(json.dumps(RAW))
    raw["classes"][0]["window-ms"] = 1200.0
    raw["limits"]["connect-timeout-ms"] = 3000.0

    async def story(world: World) -> None:
        world.raw = raw
        world.script[1] = [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"]
        node = await world.node()
        assert await ask(node, hand_in("k", "order")) == 202
        await until(lambda: ids(world) == ["k"])
        connect_late(monkeypatch, node, itertools.repeat(1.4))
        await until(lambda: world.notices)
        await asyncio.sleep(1.6)
        assert node.counts["attempts"] == 2  # the second one was decided, and ended without a byte
        assert ids(world) == ["k"] and world.notices == [{"ref": "k", "result": "dead"}]

    play(tmp_path, story)


def test_call_whose_connection_comes_up_after_a_wait_was_told_waits_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story(world: World) -> None:
        world.script[1] = [b"HTTP/1.1 429 X\r\nRetry-After: 0.9\r\nContent-Length: 0\r\n\r\n"]
        node = await world.node()
        connect_late(monkeypatch, node, itertools.chain((0.0, 0.3), itertools.repeat(0.0)))
        told = node.loop.time()
        assert {*await asyncio.gather(ask(node, hand_in("a")), ask(node, hand_in("b")))} == {202}
        await until(lambda: node.counts.get("attempts") == 2 and len(world.calls) == 1)
        await until(lambda: len(world.calls) > 1)
        assert node.loop.time() - told >= 0.9
        await until(lambda: not node.carried)
        assert sorted(ids(world)) == ["a", "a", "b"] or sorted(ids(world)) == ["a", "b", "b"]

    play(tmp_path, story)


def test_lists_of_1024_endpoints_are_taken_whole_and_half_of_them_leave(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        world.raw = {**RAW, "balancers": 1024}
        others = [
            {
                **world.entries[0],
                "id": f"o-{number}",
                "cell": 2 + number,
                "addr": f"127.9.{number >> 8}.1:{3000 + number}",
            }
            for number in range(1023)
        ]
        world.entries += others
        node = await world.node()
        assert len(node.directory) == len(node.relay.routing_table.index) == 1024
        assert await ask(node, hand_in("a")) == 202
        await until(lambda: ids(world) == ["a"])
        world.tell(world.watches[-1], [{**entry, "state": "DELETED"} for entry in others[:512]])
        await until(lambda: len(node.relay.routing_table.index) == 512)
        world.tell(world.watches[-1], world.entries[:1], True)
        await until(lambda: len(node.directory) == len(list(node.directory)) == 1)
        await until(lambda: len(node.relay.routing_table.index) == 1)
        assert await ask(node, hand_in("b")) == 202
        await until(lambda: ids(world) == ["a", "b"])

    play(tmp_path, story)


def test_clients_are_answered_while_a_list_of_20000_is_read(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        world.entries += [
            {**world.entries[0], "id": f"o-{number}", "cell": 2 + number, "addr": "127.9.0.1:3000"}
            for number in range(20_000)
        ]
        world.tell(world.watches[-1], world.entries, True)
        await until(lambda: node.watch.reading)
        answered = 0
        while node.watch.reading:
            assert await ask(node, hand_in(f"m-{answered}", body=b"")) in (202, 503)
            answered += node.watch.reading
        assert answered >= 3 and len(node.directory) == 20_001 and len(world.watches) == 1

    play(tmp_path, story)


def test_end_that_the_disk_would_not_take_is_not_forgotten_by_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A message that was told as refused goes on nowhere: its client has come again."""
    write = os.write
    failed: list[bytes] = []

    def full(file: int, data: bytes) -> int:
        if b'"bounced"' in data and not failed:
            failed.append(data)
            raise OSError(errno.ENOSPC, "no room")
        return write(file, data)

    async def story(world: World) -> None:
        world.notice_status = [500]  # the notice stays owed
        world.script[1] = [b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"] * 9
        node = await world.node()
        monkeypatch.setattr(os, "write", full)
        assert await ask(node, hand_in("m", "pay", left="700m")) == 202
        await until(lambda: node.owed)
        await asyncio.sleep(0.05)
        (kept,) = journal.replay((world.state / "journal").read_bytes())[0].values()
        assert failed and kept.notice == {"ref": "m", "result": "bounced"}

    play(tmp_path, story)


def test_messages_of_a_class_in_order_go_one_at_a_time_by_the_key_in_their_path(tmp_path: Path) -> None:
    """Each hand-in of such a class was answered 404, so that none of it was served on other deployments."""

    async def story(world: World) -> None:
        node = await world.node()
        world.script[1] = [None]
        assert await ask(node, hand_in("a1", "charge", path="/api/0009f68e")) == 202
        await until(lambda: ids(world) == ["a1"])
        for ident, path in (("a2", "/api/0009f68e"), ("b1", "/api/000df910"), ("c1", "/api")):
            assert await ask(node, hand_in(ident, "charge", path=path)) == 202
        await until(lambda: len(world.calls) == 3)
        await asyncio.sleep(0.1)
        assert sorted(ids(world)) == ["a1", "b1", "c1"]  # a2 waits for its turn
        for path in ("/api/x/y", "/api/", "/apix", "/api/" + "k" * 129):
            assert await ask(node, hand_in("d1", "charge", path=path)) == 404
        assert await ask(node, hand_in("d1", "pay", path="/api/0009f68e")) == 404

    play(tmp_path, story)


def test_next_message_in_order_goes_once_the_platform_has_the_end_of_the_one_before(tmp_path: Path) -> None:
    """Both came out of one turn of the module, and the call overtook the notice."""

    async def story(world: World) -> None:
        where = await world.discovery()
        world.notice_status = [500]
        world.script[1] = [b"HTTP/1.1 429 X\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n"]
        node = await world.node(where)
        for ident, left in (("a1", "300m"), ("a2", "5000m")):
            assert await ask(node, hand_in(ident, "charge", path="/api/a", left=left)) == 202
        await until(lambda: node.behind and not node.finals.posting)
        await asyncio.sleep(0.1)
        assert ids(world) == ["a1"] and not world.notices
        world.kill(node, tmp_path / "as killed")
        again = await world.node(where)  # the notice is owed still, and what waits for it waits on
        await until(lambda: again.behind)
        assert ids(world) == ["a1"]
        world.notice_status = [204]
        await until(partial(idle, again))
        assert ids(world) == ["a1", "a2"] and world.notices == [{"ref": "a1", "result": "bounced"}]

    play(tmp_path, story)


def test_a_destination_that_takes_several_in_one_call_gets_no_more_calls_than_there_are_slots(tmp_path: Path) -> None:
    """Riders of a call went out as calls of their own: more at once than slots, which the platform turns away."""

    async def story(world: World) -> None:
        world.raw = RAW | {"extra": {"call-slots": 2, "per-call": [10]}, "weight-kind": "silent"}
        out: list[int] = [0]

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read(reader)
                out.append(out[-1] + 1)
                await asyncio.sleep(0.1)
                out.append(out[-1] - 1)
                writer.write(OK)

        await world.endpoint(2, serve=slowly)
        node = await world.node()
        assert set(await asyncio.gather(*(ask(node, hand_in(f"m{n}", destination=2)) for n in range(6)))) == {202}
        await until(partial(idle, node))
        assert max(out) == 2 and node.counts == {"taken": 6, "attempts": 6, "ended_ok": 6}

    play(tmp_path, story)


def test_connections_that_are_short_are_used_on_for_what_waits_and_closed_after_it(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        world.raw = RAW | {"extra": {"call-slots": 1}}
        made: list[str] = []

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            made.append("")
            while True:
                made[-1] += (await read(reader))[1]["x-correlation-id"]
                await asyncio.sleep(0.1)
                writer.write(OK)

        await world.endpoint(2, serve=slowly)
        node = await world.node()
        for _ in range(20):
            node.relay.connections.scarcity[0].record(is_reused=False, is_rejected=True, has_retry_after=False)
        assert set(await asyncio.gather(*(ask(node, hand_in(f"m{n}", destination=2)) for n in range(4)))) == {202}
        await until(partial(idle, node))
        assert len(made) == 1 and not node.calls.pool.resting  # used on while something waited
        assert await ask(node, hand_in("m4", destination=2)) == 202
        await until(partial(idle, node))
        assert len(made) == 2 and made[1] == "m4"

    play(tmp_path, story)


@pytest.mark.parametrize("whole", (True, False))
def test_start_waits_for_a_list_that_is_coming_in_but_not_for_ever(
    tmp_path: Path, whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it has not read yet would be refused as listed nowhere: longer than for a list that does not come."""
    monkeypatch.setattr("linnetstile.platform_relay.relay.DISCOVERY_GRACE_S", 0.3)
    monkeypatch.setattr("linnetstile.platform_relay.relay.LONG_LIST_GRACE_S", 4.0 if whole else 0.9)

    async def story(world: World) -> None:
        entries = [{**world.entries[0], "id": f"o-{number}", "cell": number} for number in range(1, 4001)]
        line = json.dumps({"version": 5, "full": True, "servers": entries}).encode() + b"\n"
        told = asyncio.Event()

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(line))
            writer.write(line[:200_000])
            for at in range(200_000, len(line) if whole else 300_000, 50_000):
                await asyncio.sleep(0.1 if whole else 0.2)
                writer.write(line[at : at + 50_000])
            if whole:
                writer.write(b"\r\n")
                told.set()
            await reader.read()

        began = asyncio.get_running_loop().time()
        node = await world.node(("127.0.0.1", await world.listen(slowly)))
        if whole:
            assert told.is_set() and len(node.directory) == 4000
        else:
            assert asyncio.get_running_loop().time() - began < 3.0 and 1000 < len(node.directory) < 4000
        assert await ask(node, hand_in("a")) == 202

    play(tmp_path, story)
