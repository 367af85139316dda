"""Two things in one moment: each pair in the order that is the worse one, made to happen each time."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from linnetstile.decisions.leaving import DEAF_MS, END_MS, LAST_MS
from linnetstile.node.relay import Node

from .test_relay import ids, idle, play
from .world import OK, World, ask, hand_in, port_of, read, until

Client = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def resting(node: Node, ident: str = "first") -> Client:
    """A client's connection on which one request was answered. What it writes from now on is in the relay's kernel at
    once, and read in the next pass of the loop."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port_of(node))
    writer.write(hand_in(ident))
    assert b" 202 " in await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def status(reader: asyncio.StreamReader) -> int:
    async with asyncio.timeout(3):
        return int((await reader.readline()).split()[1])


@pytest.mark.parametrize(("class_", "result"), [("pay", "dead"), ("order", "dead"), ("state", "bounced")])
def test_answer_that_crosses_the_end_of_its_time_leaves_no_message_without_an_end(
        tmp_path: Path, class_: str, result: str) -> None:
    """The endpoint says 200 as the message's time is up, and the relay is busy until then: the platform may have
    counted it or not."""
    async def story(world: World) -> None:
        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            _, fields, _ = await read(reader)
            world.calls.append((2, fields, b""))
            time.sleep(0.45)  # the loop is busy: relay and endpoint are one process here
            writer.write(OK)

        await world.endpoint(2, serve=late)
        node = await world.node()
        assert await ask(node, hand_in("m", class_, dest=2, left="400m")) == 202
        await until(lambda: idle(node))
        assert world.notices == [{"ref": "m", "result": result}] and ids(world) == ["m"]

    play(tmp_path, story)


def test_call_is_given_up_before_the_message_has_no_time_left(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        world.script[1] = [None]
        began = time.monotonic()
        assert await ask(node, hand_in("m", "pay", left="400m")) == 202
        await until(lambda: world.notices)
        assert time.monotonic() - began < 0.4 and world.notices == [{"ref": "m", "result": "dead"}]

    play(tmp_path, story)


def idle_time_over(node: Node) -> None:
    for conn in node.front.server.open:
        conn.let_go("idle")


CLOSES: dict[str, Callable[[Node], object]] = {
    "it is told to end": lambda node: node.front.turn_away(),
    "its idle time is over": idle_time_over,
    "another one needs its place": lambda node: node.front.server.room_for(next(iter(node.front.server.open))),
}


@pytest.mark.parametrize("why", CLOSES)
def test_request_that_arrives_as_its_resting_connection_is_closed_has_its_answer(tmp_path: Path, why: str) -> None:
    async def story(world: World) -> None:
        node = await world.node(sockets=64)
        reader, writer = await resting(node)
        others = [await resting(node, f"o{n}") for n in range(node.bounds.clients - 1)] if "place" in why else []
        for n, (_, each) in enumerate([(reader, writer), *others]):
            each.write(hand_in(f"next{n}"))
        CLOSES[why](node)
        told = [await status(each) for each, _ in [(reader, writer), *others]]
        assert told == ([503] if "end" in why else [202] * (1 + len(others)))
        for _, each in [(reader, writer), *others]:
            each.close()

    play(tmp_path, story)


def test_client_whose_connection_was_closed_as_it_wrote_is_answered_on_a_new_one(tmp_path: Path) -> None:
    """It may hand in once more on a new connection, and there was nobody to let it in."""
    async def story(world: World) -> None:
        node = await world.node()
        reader, writer = await resting(node)
        node.front.turn_away()
        assert await reader.read() == b""  # closed in order
        assert await ask(node, hand_in("again")) == 503
        assert not node.carried or "again" not in node.idents
        writer.close()

    play(tmp_path, story)


def test_request_half_read_at_the_end_hears_that_it_was_not_taken(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        clients = [await resting(node, f"m{n}") for n in range(3)]
        whole = hand_in("half", body=b"x" * 1000)
        for (_, writer), size in zip(clients, (20, len(whole) - 1, 0), strict=True):
            writer.write(whole[:size])
        await until(lambda: sorted(conn.phase for conn in node.front.server.open) == ["body", "head", "idle"])
        node.front.turn_away()
        node.front.deaf()
        assert [await status(reader) for reader, _ in clients[:2]] == [503, 503]
        assert await clients[2][0].read() == b""
        assert "half" not in node.idents
        for _, writer in clients:
            writer.close()

    play(tmp_path, story)


def test_end_waits_for_what_has_arrived_and_is_not_read(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        reader, writer = await resting(node)
        await until(lambda: idle(node))
        node.left = node.loop.time() - END_MS / 1000  # its last moment
        writer.write(hand_in("last"))
        node._leaving()
        assert not node.over.is_set()
        assert await status(reader) == 503
        async with asyncio.timeout(1):
            await node.over.wait()
        writer.close()

    play(tmp_path, story)


def test_signal_that_came_during_the_start_counts_from_then_and_a_second_one_changes_nothing(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        node.leave(node.loop.time() - (END_MS - LAST_MS) / 1000)
        node.leave()
        assert await ask(node, hand_in("m")) == 503  # it takes nothing on any more
        assert node.relay.end_at < node.turns.now + LAST_MS
        async with asyncio.timeout(LAST_MS / 1000 + 0.2):
            await node.over.wait()
        assert DEAF_MS < LAST_MS

    play(tmp_path, story)


def test_small_writes_are_not_held_back_by_the_system(tmp_path: Path) -> None:
    """A close over unread bytes resets a connection, and takes with it what the system still held."""
    async def story(world: World) -> None:
        node = await world.node()
        _, writer = await resting(node)
        await until(lambda: idle(node))
        ends = [*node.front.server.open, *node.calls.pool.open]
        assert len(ends) == 2
        for end in ends:
            connection = end.transport.get_extra_info("socket")
            assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)  # type: ignore[attr-defined]
        writer.close()

    play(tmp_path, story)
