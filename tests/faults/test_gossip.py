"""A relay that starts anew beside others: what it learns, from whom, and whom it does not let harm it."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile.as2_relay.gossip import FORMAT, parse
from linnetstile.as2_relay.relay import As2Relay
from linnetstile.net import server
from linnetstile.storage import snapshot

from .rig import Rig, kind, run


def with_token(folder: Path) -> dict[str, Any]:
    (folder / "token").write_text("secret\n")
    return {"token_file": folder / "token"}


def claim(**more: Any) -> dict[str, Any]:
    return {
        "partner": "firma",
        "route": -1,
        "endpoints": [1],
        "answered_age": 9000,
        "failed_age": 50,
        "out_age": 5000,
        "mean_ms": 40,
        "dev_ms": 10,
        "answers": 9,
        "knowers": 2,
        **more,
    }


def document(*claims: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {
        "format": FORMAT,
        "relay": "peer",
        "run": "x",
        "version": 1,
        "since": 0,
        "relays": 3,
        "peers": [],
        "claims": list(claims),
        **more,
    }


async def peer(reply: Callable[[server.RequestContext], None]) -> tuple[server.Server, str]:
    made = server.Server(reply)
    return made, f"127.0.0.1:{await made.start()}"


def says(body: dict[str, Any] | bytes) -> Callable[[server.RequestContext], None]:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()

    def reply(exchange: server.RequestContext) -> None:
        exchange.reply(200, [("Content-Type", "application/json")], data)

    return reply


async def asked(service: As2Relay, count: int = 1, seconds: float = 4.0) -> None:
    """Until a relay has heard or missed so many peers."""
    for _ in range(int(seconds / 0.02)):
        counts = service.knowledge.counts
        if counts["answered"] + counts["no_answer"] + counts["unreadable"] >= count:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"no peer was asked: {service.knowledge.counts}")


def test_a_fresh_relay_spares_a_partner_that_others_know_to_be_out(tmp_path: Path) -> None:
    async def test() -> None:
        faults = [{"kind": "fast_errors", "at_s": 0, "for_s": 4, "partners": ["firma"]}]
        async with Rig(
            tmp_path, relays=2, fleet=3, faults=faults, partner={"rate": 15.0}, knowledge=with_token(tmp_path)
        ) as rig:
            before = asyncio.create_task(rig.load("safe", 8, 2.0))
            await rig.until(2.0)
            old = rig.services[0]
            assert old.relay.routes[0][-1].health.ejected
            fresh = await rig.relay(knowledge=with_token(tmp_path) | {"peers": [old.address]})
            await asked(fresh)
            await asyncio.sleep(0.05)
            route = fresh.relay.routes[0][-1]
            assert (
                route.health.ejected
                and route.health.from_gossip
                and fresh.knowledge.taken["firma", -1]["out_ms"] > 1000
            )
            assert old.relay.routes[0][-1].health.notified_relays >= 1  # it is a knower now, and the old one counts it
            assert fresh.knowledge.document()["claims"] == []  # nothing of its own to tell
            began = len(rig.rows("began"))
            task = asyncio.create_task(rig.load("safe", 20, 1.0, 3))
            await asyncio.sleep(0.9)
            mine = [row for row in rig.rows("began")[began:] if row["relay"] == "r3"]
            assert len(mine) <= 5
            assert all(kind(answer) in ("delivered", "refused") for answer in [*await task, *await before])
        assert rig.broken() == []

    run(test)


def test_a_restarted_relay_remembers_from_its_snapshot(tmp_path: Path) -> None:
    async def test() -> None:
        keep = {"snapshot": tmp_path / "know", "snapshot_every_ms": 200}
        faults = [{"kind": "shut", "at_s": 0, "for_s": 6, "partners": ["firma"]}]
        async with Rig(tmp_path, faults=faults, knowledge=keep) as rig:
            waiting = asyncio.create_task(rig.hand(rig.make("safe")))
            await asyncio.sleep(0.8)
            rig.kill(0)
            await waiting
            again = await rig.relay(knowledge=keep)
            await asyncio.sleep(0.05)
            left = again.relay.routes[0][-1].retry_after_until - again.now
            assert 3000 < left < 6000  # told to this relay before it was killed: it binds still
            answer = await rig.hand(rig.make("safe"), 1)
            assert kind(answer) == "delivered" and rig.seconds() > 5.9
        assert rig.broken() == []

    run(test)


@pytest.mark.parametrize(
    ("data", "text"),
    [(b"garbage", "not a snapshot"), (None, "checksum"), (b'{"linnetstile":"snapshot","format":9}\n', "format 9")],
)
def test_a_torn_or_foreign_snapshot_is_set_aside_and_the_relay_starts(
    tmp_path: Path, data: bytes | None, text: str
) -> None:
    async def test() -> None:
        path = tmp_path / "know"
        snapshot.write(path, document(claim()))
        path.write_bytes(path.read_bytes()[:-3] if data is None else data)
        with pytest.raises(snapshot.SnapshotError, match=text):
            snapshot.read(path)
        async with Rig(tmp_path, knowledge={"snapshot": path}) as rig:
            assert (tmp_path / "know.bad").exists() and rig.services[0].knowledge.before is None
            assert kind(await rig.hand(rig.make("safe"))) == "delivered"

    run(test)


def test_a_snapshot_that_can_not_be_written_is_told_and_costs_no_message(tmp_path: Path) -> None:
    async def test() -> None:
        keep = {"snapshot": tmp_path / "none" / "know", "snapshot_every_ms": 200}
        async with Rig(tmp_path, knowledge=keep) as rig:
            await asyncio.sleep(0.5)
            assert rig.services[0].knowledge.counts["snapshots_failed"] >= 1
            assert kind(await rig.hand(rig.make("safe"))) == "delivered"

    run(test)


def hang(exchange: server.RequestContext) -> None:
    """Never answers."""


def broken(exchange: server.RequestContext) -> None:
    exchange.reply(500)


def half(exchange: server.RequestContext) -> None:
    exchange.conn.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{")
    asyncio.get_running_loop().call_later(0.05, exchange.conn.transport.abort)


@pytest.mark.parametrize(
    ("reply", "counted"),
    [
        (hang, "no_answer"),
        (half, "no_answer"),
        (says(b"{not json"), "unreadable"),
        (says(b"[" * 10_000), "unreadable"),
        (says(document(claim(), format=2)), "unreadable"),
        (says(document(claim(out_age=-5))), "unreadable"),
        (says(document(claim(partner="x" * 500))), "unreadable"),
        (says(b"x" * (5 * 1024 * 1024)), "no_answer"),
        (says(document(peers=["10.0.0.1:80"])), "unreadable"),
        (broken, "no_answer"),
    ],
)
def test_a_slow_lying_older_or_newer_peer_stands_in_nobodys_way(
    tmp_path: Path, reply: Callable[[server.RequestContext], None], counted: str
) -> None:
    async def test() -> None:
        listener, address = await peer(reply)
        async with Rig(tmp_path, warm=False) as rig:
            fresh = await rig.relay(knowledge={"peers": [address]})
            for _ in range(3):  # traffic goes on meanwhile
                assert kind(await rig.hand(rig.make("safe"), 1)) == "delivered"
            await asked(fresh)
            assert fresh.knowledge.counts[counted] == 1 and not fresh.knowledge.taken
            assert fresh.knowledge.state()["peers"][0]["standing"] == "suspected"
        listener.close()

    run(test)


def test_a_peer_that_is_wrong_costs_some_time_and_no_message(tmp_path: Path) -> None:
    """It says out of a partner that is well: the first own answer ends what it said."""

    async def test() -> None:
        listener, address = await peer(says(document(claim(out_age=8_000, wait_ms=700))))
        async with Rig(tmp_path, warm=False, partner={"rate": 200.0}) as rig:
            fresh = await rig.relay(knowledge={"peers": [address]})
            await asked(fresh)
            await asyncio.sleep(0.05)
            assert fresh.relay.routes[0][-1].health.ejected
            assert kind(await rig.hand(rig.make("safe"), 1)) == "delivered"
            assert not fresh.relay.routes[0][-1].health.ejected and fresh.relay.routes[0][-1].health.failure_score < 0.5
            assert kind(await rig.hand(rig.make("unsafe"), 1)) == "delivered"
        listener.close()
        assert rig.broken() == []

    run(test)


def test_all_fresh_at_once_and_peers_of_peers(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, knowledge=with_token(tmp_path)) as rig:
            first = rig.services[0]
            know = with_token(tmp_path)
            second = await rig.relay(knowledge=know | {"peers": [first.address]})
            await asked(second)
            third = await rig.relay(knowledge=know | {"peers": [second.address]})
            await asked(third, 2)  # the second named the first
            assert first.address in third.knowledge.members.peers  # type: ignore[union-attr]
            for n in range(3):
                assert kind(await rig.hand(rig.make("safe"), n)) == "delivered"
        assert rig.broken() == []

    run(test)


def test_a_delta_holds_what_changed_and_another_process_starts_anew(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, knowledge=with_token(tmp_path)) as rig:
            know = rig.services[0].knowledge
            whole = parse(know.document())
            assert len(whole.claims) == 1 and whole.claims[0].answers >= 6
            assert parse(know.document(whole.version)).claims == []
            await asyncio.sleep(2.1)
            await rig.hand(rig.make("safe"))
            changed = parse(know.document(whole.version))
            assert len(changed.claims) == 1 and changed.version > whole.version

    run(test)


def test_strangers_are_told_nothing_and_operators_are_no_relays(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, knowledge=with_token(tmp_path)) as rig:
            service = rig.services[0]
            (tmp_path / "wrong").write_text("guess")

            async def command(*args: str) -> subprocess.CompletedProcess[str]:
                return await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "linnetstile.cli.main", "knowledge", *args],
                    capture_output=True,
                    text=True,
                    timeout=30,
                )

            refused = await command("show", service.address, "--token-file", str(tmp_path / "wrong"))
            assert refused.returncode == 1 and "403" in refused.stderr and "firma" not in refused.stdout
            token = ("--token-file", str(tmp_path / "token"))
            shown = await command("show", service.address, *token)
            assert shown.returncode == 0 and "firma" in shown.stdout and "well" in shown.stdout
            assert service.relay.routes[0][-1].health.notified_relays == 0
            kept = await command("export", service.address, str(tmp_path / "kept"), *token)
            assert kept.returncode == 0
            assert (await command("diff", str(tmp_path / "kept"), service.address, *token)).returncode == 0
            moved = await command("import", str(tmp_path / "kept"), str(tmp_path / "other"))
            assert moved.returncode == 0 and snapshot.read(tmp_path / "other")[0]["relay"] == "r1"
            (tmp_path / "kept").write_bytes(b"x")
            bad = await command("import", str(tmp_path / "kept"), str(tmp_path / "other"))
            assert bad.returncode == 2 and "not a snapshot" in bad.stderr

    run(test)


def test_operators_see_what_was_taken_of_whom_and_what_was_doubted(tmp_path: Path) -> None:
    async def test() -> None:
        listener, address = await peer(says(document(claim(out_age=8_000), claim(partner="other"), relays=9)))
        async with Rig(tmp_path, warm=False) as rig:
            fresh = await rig.relay(knowledge=with_token(tmp_path) | {"peers": [address]})
            await asked(fresh)
            done = await asyncio.to_thread(
                subprocess.run,
                [
                    sys.executable,
                    "-m",
                    "linnetstile.cli.main",
                    "knowledge",
                    "learned",
                    fresh.address,
                    "--token-file",
                    str(tmp_path / "token"),
                ],
                capture_output=True,
                text=True,
                timeout=30,
            )
            told = json.loads(done.stdout)
            assert {row["why"] for row in told["doubted"]} >= {"no such partner or route now"}
            assert told["peers"][0]["standing"] == "alive" and told["counts"]["answered"] == 1
            (taken,) = told["taken"]  # it says there are nine relays: the larger number counts
            assert taken["knowers"] == 9 and taken["sources"] == [address] and taken["out_ms"] >= 8000
        listener.close()

    run(test)


def test_a_partner_replaced_since_and_a_claim_of_an_hour_ago_are_not_believed(tmp_path: Path) -> None:
    async def test() -> None:
        listener, address = await peer(says(document(claim(endpoints=[77], out_age=5000))))
        old, old_address = await peer(
            says(document(claim(failed_age=3_600_000, out_age=3_600_500, answered_age=3_700_000)))
        )
        async with Rig(tmp_path, warm=False) as rig:
            fresh = await rig.relay(knowledge={"peers": [address, old_address]})
            await asked(fresh, 2)
            await asyncio.sleep(0.05)
            assert not any(route.health.ejected for route, _ in fresh.relay.routing_table.known_routes(0).values())
            reasons = {doubt.reason for doubt in fresh.knowledge.doubts}
            assert reasons == {"learned from endpoints that are not its own now", "says out, too long ago"}
            assert kind(await rig.hand(rig.make("unsafe"), 1)) == "delivered"
        listener.close()
        old.close()
        assert rig.broken() == []

    run(test)


def test_without_a_token_nobody_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path) as rig:
            reader, writer = await asyncio.open_connection(*rig.services[0].address.split(":"))
            writer.write(b"GET /knowledge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer \r\n\r\n")
            assert b" 404 " in await reader.read(100)
            writer.close()

    run(test)
