"""Two things in one moment: each pair in the order that is the worse one, made to happen each time."""

from __future__ import annotations

import asyncio
import math
import random
import socket
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from linnetstile.engine.attempt_outcome import AttemptVerdict, WireResult
from linnetstile.engine.events import Outcome
from linnetstile.engine.graceful_shutdown import EXIT_MS, STOP_ACCEPTING_MS, STOP_ADMITTING_MS
from linnetstile.net import client, server
from linnetstile.platform_relay.http_frontend import Submission
from linnetstile.platform_relay.relay import PlatformRelay

from .test_relay import idle, ids, play
from .world import OK, RAW, World, ask, hand_in, port_of, read, until

Client = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def resting(node: PlatformRelay, ident: str = "first") -> Client:
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
    tmp_path: Path, class_: str, result: str
) -> None:
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
        assert await ask(node, hand_in("m", class_, destination=2, left="400m")) == 202
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


def idle_time_over(node: PlatformRelay) -> None:
    for conn in node.front.server.open:
        conn.let_go("idle")


CLOSES: dict[str, Callable[[PlatformRelay], object]] = {
    "it is told to end": lambda node: node.front.turn_away(),
    "its idle time is over": idle_time_over,
    "another one needs its place": lambda node: node.front.server.room_for(next(iter(node.front.server.open))),
}


@pytest.mark.parametrize("why", CLOSES)
def test_request_that_arrives_as_its_resting_connection_is_closed_has_its_answer(tmp_path: Path, why: str) -> None:
    async def story(world: World) -> None:
        node = await world.node(sockets=64)
        clients = [
            await resting(node, f"m{n}") for n in range(node.bounds.max_client_connections if "place" in why else 1)
        ]
        for n, (_, writer) in enumerate(clients):
            writer.write(hand_in(f"next{n}"))
        CLOSES[why](node)
        told = [await status(reader) for reader, _ in clients]
        assert told == ([503] if "end" in why else [202] * len(clients))
        for _, writer in clients:
            writer.close()

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
        node.left = node.loop.time() - EXIT_MS / 1000  # its last moment
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
        node.leave(node.loop.time() - (EXIT_MS - STOP_ADMITTING_MS) / 1000)
        node.leave()
        assert await ask(node, hand_in("m")) == 503  # it takes nothing on any more
        assert node.relay.retry_policy.shutdown_at < node.turns.now + STOP_ADMITTING_MS
        async with asyncio.timeout(STOP_ADMITTING_MS / 1000 + 0.2):
            await node.over.wait()
        assert STOP_ACCEPTING_MS < STOP_ADMITTING_MS

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


def test_notice_whose_connection_leads_nowhere_arrives_in_time(tmp_path: Path) -> None:
    """An end told in the last moment of its message: the platform counts it up to 0.3 s after."""

    async def story(world: World) -> None:
        where = await world.discovery()
        node = await world.node(where)
        silent = [True]

        async def front(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first, _, body = await read(reader)
            if silent.pop(0) if silent else False:
                await reader.read()  # until the relay gives it up
            else:
                world.notices.append({"at": time.monotonic(), "body": body.decode()})
                writer.write(b"HTTP/1.1 204 X\r\n\r\n")
                await reader.read()

        node.finals.move(("127.0.0.1", await world.listen(front)))
        world.script[1] = [None]
        assert await ask(node, hand_in("m", "pay", left="500m")) == 202
        due = time.monotonic() + 0.5
        await until(lambda: idle(node))
        (told,) = world.notices
        assert '"ref":"m"' in told["body"] and told["at"] < due + 0.3

    play(tmp_path, story)


def test_connection_that_comes_up_as_its_call_is_given_up_is_not_left_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        made = client.ClientConnection.connection_made

        def given_up(conn: client.ClientConnection, transport: asyncio.BaseTransport) -> None:
            made(conn, transport)
            for carried in list(node.carried.values()):  # the task that waits for it has not run again yet
                if carried.attempt and carried.attempt.call:
                    carried.attempt.call.abort(WireResult.TIMED_OUT)

        monkeypatch.setattr(client.ClientConnection, "connection_made", given_up)
        assert await ask(node, hand_in("m", "pay")) == 202
        await until(lambda: node.counts.get("ended_connect_failed"))
        monkeypatch.setattr(client.ClientConnection, "connection_made", made)
        await until(lambda: idle(node))  # it proved no effect: the message goes out once
        assert ids(world) == ["m"] and not world.notices
        await until(lambda: len(node.calls.pool.open) == node.calls.pool.resting)

    play(tmp_path, story)


def test_idle_connection_that_its_peer_closes_between_the_check_and_the_write_may_have_had_the_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        assert await ask(node, hand_in("first")) == 202
        await until(lambda: idle(node) and node.calls.pool.resting)
        (number,) = node.directory
        place = node.directory.place(number)
        assert place is not None
        ended: list[AttemptVerdict] = []
        (peer,) = world.writers - set(world.watches)
        with monkeypatch.context() as patch:
            patch.setattr(client.ClientConnection, "speaks", False)  # the check came before
            peer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)  # its end is in our kernel, and not read
            node.calls.send(
                place,
                [("X-Correlation-Id", "m")],
                b"",
                1000.0,
                0.0,
                math.inf,
                1000.0,
                lambda proof, report, reused: ended.append(proof),
            )
        await until(lambda: ended)
        assert ended[0].outcome is Outcome.RESET and not ended[0].outcome.proves_no_effect

    play(tmp_path, story)


def test_early_200_whose_rest_never_comes_keeps_no_connection_and_no_message(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        world.script[1] = [b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nhalf"]
        assert await ask(node, hand_in("m", "pay")) == 202
        await until(lambda: idle(node))
        assert len(node.calls.pool.open) == 1 and not node.calls.pool.resting
        assert await ask(node, hand_in("n", "pay")) == 202  # on a connection of its own
        await until(lambda: idle(node))
        await until(lambda: len(node.calls.pool.open) == node.calls.pool.resting == 1)
        assert ids(world) == ["m", "n"] and not world.notices

    play(tmp_path, story)


def test_client_that_closes_as_it_is_told_is_owed_nothing_more_than_the_end(tmp_path: Path) -> None:
    """Its close has arrived and is not read as the 202 is written: taken on, and it has one end all the same."""

    async def story(world: World) -> None:
        node = await world.node()
        _, writer = await resting(node)
        await until(lambda: idle(node))
        take = node.front.take

        def crossed(exchange: server.RequestContext, hand: Submission) -> None:
            take(exchange, hand)
            writer.close()  # arrives before the turn that answers

        node.front.take = crossed
        writer.write(hand_in("m", "pay"))
        await until(lambda: "m" in node.idents)
        await until(lambda: idle(node))
        assert ids(world).count("m") == 1 and not world.notices and not node.relay.queues.messages

    play(tmp_path, story)


def test_flood_of_requests_on_one_connection_costs_the_others_nothing(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        world.raw = RAW | {"limits": RAW["limits"] | {"open-cap": 100_000}}
        node = await world.node()
        _, flood = await asyncio.open_connection("127.0.0.1", port_of(node))
        flood.write(b"".join(hand_in(f"f{n}", destination=9, left="500m") for n in range(3000)))
        for n in range(20):
            assert await ask(node, hand_in(f"m{n}"), 0.4) == 202
            assert all(conn.parser.buffered < 200_000 and len(conn.pending) < 100 for conn in node.front.server.open)
        flood.transport.abort()
        await until(lambda: idle(node) and not node.front.server.open)
        assert len([each for each in ids(world) if each.startswith("m")]) == 20

    play(tmp_path, story)


def other(name: str, effects: list[str]) -> dict[str, Any]:
    """Settings that share no name and no order with another's."""
    classes = [
        {"name": f"{name}-{effect}", "effect": effect, "aim-ms": 1000.0, "deadline-ms": 4000.0, "window-ms": 900.0}
        for effect in effects
    ]
    return RAW | {"classes": classes, "orgs": [{"name": f"{name}-org", "quota-per-s": 9.0}], "zones": [f"{name}-zone"]}


def containers(owner: object) -> set[int]:
    """The identities of all dicts, lists and sets that an engine and the parts of its own hold."""
    found: set[int] = set()
    parts, known = [owner], {id(owner)}
    while parts:
        for value in vars(parts.pop()).values():
            if isinstance(value, (dict, list, set)):
                found.add(id(value))
            elif type(value).__module__.startswith("linnetstile.engine") and hasattr(value, "__dict__"):
                if id(value) not in known:
                    known.add(id(value))
                    parts.append(value)
    return found


def test_two_relays_of_two_customers_in_one_process_share_nothing(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        where = await world.discovery()
        customers = {"a": ["once", "by_key", "repeatable"], "b": ["repeatable", "once", "by_key"]}
        nodes = {}
        for name, effects in customers.items():
            world.raw, world.state = other(name, effects), tmp_path / name
            nodes[name] = await world.node(where)
        for name, effects in customers.items():
            for effect in effects:
                for asked in customers:
                    ident = f"{name}-{effect}-{asked}"
                    told = await ask(
                        nodes[asked],
                        hand_in(ident, f"{name}-{effect}", X_Account=f"{name}-org", Idempotency_Key="k" + ident),
                    )
                    assert told == (202 if asked == name else 400)
            await until(partial(idle, nodes[name]))
        assert not world.notices and len(ids(world)) == 6
        assert nodes["a"].relay.settings.classes[0].effect is not nodes["b"].relay.settings.classes[0].effect
        mine, theirs = (containers(nodes[name].relay) for name in customers)
        assert mine
        assert not mine & theirs

    play(tmp_path, story)


@pytest.mark.parametrize("seed", range(12))
def test_any_settings_that_can_be_read_start_take_deliver_and_restart(tmp_path: Path, seed: int) -> None:
    """Generated settings: names, effects, counts and figures by chance, optional parts left out by chance."""
    rng = random.Random(seed)

    def name() -> str:
        return "".join(rng.choice("abcXYZ019-._") for _ in range(rng.randint(1, 12)))

    classes: list[dict[str, Any]] = [
        {
            "name": f"{n}{name()}",
            "effect": rng.choice(["repeatable", "by_key", "once"]),
            "aim-ms": rng.uniform(50, 3000),
            "deadline-ms": rng.uniform(3000, 30_000),
        }
        for n in range(rng.randint(1, 5))
    ]
    for each in classes:
        optional: dict[str, Any] = {
            "worth": rng.uniform(0, 9),
            "late-share": rng.random(),
            "window-ms": rng.uniform(500, 9000),
            "dedup-scope": rng.choice(["all", "zone", "cell"]),
            "by-arrival": rng.random() < 0.3,
        }
        each.update({key: value for key, value in optional.items() if rng.random() < 0.6})
    raw: dict[str, Any] = {
        "classes": classes,
        "kinds": ["k", name()][: rng.randint(1, 2)],
        "zones": ["z"],
        "extra": {"call-slots": rng.randint(1, 9)},
        "safety": {},
        "limits": {"open-cap": rng.randint(8, 90), "try-limit": rng.randint(1, 9)},
    }
    optional = {
        "orgs": [{"name": f"{n}{name()}", "quota-per-s": rng.uniform(0, 50)} for n in range(rng.randint(1, 20))],
        "balancers": rng.randint(1, 300),
        "weight-kind": rng.choice(["silent", "rough", "nominal"]),
        "registry-mode": rng.choice(["ask", "push"]),
        "prices": {},
        "goal": {},
        "feedback": {"fields": ["x0", "x1"]},
        "over-share-worth": rng.random(),
        "client-habits": {"marks-retry": True},
        "tick-ms": rng.choice([1.0, 5.0]),
    }
    raw |= {key: value for key, value in optional.items() if rng.random() < 0.6}

    async def story(world: World) -> None:
        world.raw = raw
        where = await world.discovery()
        first = await world.node(where)
        account = raw["orgs"][0]["name"] if "orgs" in raw else "anyone"
        for each in classes:
            assert await ask(first, hand_in(each["name"], each["name"], X_Account=account, Idempotency_Key="k")) == 202
        await until(lambda: idle(first))
        world.tell(world.watches[-1], [{**each, "state": "DRAINING"} for each in world.entries])
        await until(lambda: not len(first.relay.routing_table.index))
        for each in classes:
            again = hand_in("r" + each["name"], each["name"], X_Account=account, Idempotency_Key="r")
            assert await ask(first, again) == 202
        world.end(first)
        second = await world.node(where)
        assert len(second.carried) == len(classes)
        await until(lambda: idle(second))
        assert sorted(ids(world)) == sorted([e["name"] for e in classes] + ["r" + e["name"] for e in classes])
        assert not world.notices

    play(tmp_path, story)
