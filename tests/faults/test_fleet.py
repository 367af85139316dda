"""End to end: drains, returns, restarts, the register and the stop, over several messages and relays."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
import yaml

from linnetstile.as2_relay.relay import As2Relay
from linnetstile.codec import http1
from linnetstile.config.relay import split
from linnetstile.net import client, server
from linnetstile.telemetry.log import logger

from .rig import Rig, kind, run


@pytest.mark.parametrize("status", ["draining", "gone"])
def test_nothing_new_goes_to_an_endpoint_that_leaves_under_load(tmp_path: Path, status: str) -> None:
    async def test() -> None:
        async with Rig(tmp_path, relays=2, endpoints=2) as rig:
            load = asyncio.create_task(rig.load("safe", 30, 2.0))
            await rig.until(0.7)
            used = rig.rows("began")[-1]["endpoint"]  # by chance: both relays may use the same
            rig.change(used, status)
            await rig.until(1.4)
            rig.change(used, "ready")
            assert Counter(map(kind, await load)) == {"delivered": 60}
            gap = [row for row in rig.rows("began") if row["endpoint"] == used and 800 < row["t"] - rig.stand.t0 < 1400]
            assert not gap and {row["endpoint"] for row in rig.rows("began")} == {1, 2}
        assert rig.broken() == []

    run(test)


@pytest.mark.parametrize("what", ["shut", "hang", "crash"])
def test_a_partner_that_comes_back_cold_is_not_pushed_over_by_several_relays(tmp_path: Path, what: str) -> None:
    async def test() -> None:
        faults = [{"kind": what, "at_s": 0.3, "for_s": 2.5, "partners": ["firma"]}]
        async with Rig(tmp_path, relays=3, faults=faults, partner={"rate": 15.0}) as rig:
            await rig.load("safe", 12, 7.0)
            assert not rig.rows("fallen")
            assert [row for row in rig.rows("began") if row["t"] - rig.stand.t0 > 4000]
        assert rig.broken() == []

    run(test)


def test_a_register_that_fails_or_garbles_its_list_is_asked_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(
            tmp_path,
            register={
                "troubles": [{"kind": "fail", "at_s": 0, "for_s": 0.6}, {"kind": "garbage", "at_s": 0.6, "for_s": 0.5}]
            },
        ) as rig:
            late = await rig.relay(wait=False)
            answer = await rig.hand(rig.make("safe"), 1)
            assert kind(answer) == "refused" and answer.head is not None and answer.head.status == 503
            await rig.until(3.0)
            assert late.register.version == 1 and late.register.lists["failed"] >= 2
            assert kind(await rig.hand(rig.make("safe"), 1)) == "delivered"
        assert rig.broken() == []

    run(test)


def test_an_older_list_does_not_bring_back_what_is_gone(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, endpoints=2) as rig:
            rig.change(2, "gone")
            await asyncio.sleep(0.1)
            service = rig.services[0]
            assert service.register.version == 2
            rig.register.version, rig.register.entries[2]["status"] = 1, "ready"
            service.register.busy = False
            service.register.ask()
            await asyncio.sleep(0.1)
            assert service.register.version == 2 and service.register.lists["failed"] >= 1
            rig.register.version = 3

    run(test)


def test_stop_takes_no_more_and_finishes_what_it_holds(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, partner={"work_ms": 400}) as rig:
            service = rig.services[0]
            held = [asyncio.create_task(rig.hand(rig.make("unsafe"))) for _ in range(3)]
            await asyncio.sleep(0.1)
            service.stop()
            late = await rig.hand(rig.make("safe"))
            assert late.head is not None and late.head.status == 503 and b"stopping" in late.body
            assert [kind(answer) for answer in await asyncio.gather(*held)] == ["delivered"] * 3
            await asyncio.wait_for(service.stopped.wait(), 5)
            assert not service.carried
        assert rig.broken() == []

    run(test)


def test_a_stop_with_a_bound_ends_in_it_and_names_what_it_left(tmp_path: Path) -> None:
    async def test() -> None:
        faults = [{"kind": "hang", "at_s": 0, "for_s": 60, "partners": ["firma"]}]
        async with Rig(tmp_path, faults=faults, limits={"stop_ms": 300}) as rig:
            waiting = asyncio.create_task(rig.hand(rig.make("unsafe")))
            await asyncio.sleep(0.1)
            rig.services[0].stop()
            await asyncio.wait_for(rig.services[0].stopped.wait(), 2)
            assert len(rig.services[0].carried) == 1
            rig.kill(0)
            assert kind(await waiting) == "lost"

    run(test)


def test_a_relay_killed_outright_and_one_that_is_started_again(tmp_path: Path) -> None:
    """What it held is the client's to hand in again; the partner's key keeps the effect single."""

    async def test() -> None:
        async with Rig(tmp_path, partner={"work_ms": 600}) as rig:
            settings = rig.settings("r1").model_dump(mode="json", by_alias=True)
            (tmp_path / "relay.yaml").write_text(yaml.safe_dump(settings))

            async def start() -> tuple[asyncio.subprocess.Process, str]:
                child = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "linnetstile.cli.main",
                    "relay",
                    str(tmp_path / "relay.yaml"),
                    "--log-level",
                    "error",
                    stdout=asyncio.subprocess.PIPE,
                )
                assert child.stdout is not None
                return child, json.loads(await asyncio.wait_for(child.stdout.readline(), 20))["listening"]

            child, address = await start()
            made, unsafe = rig.make("keyed"), rig.make("unsafe")

            async def handed(each: Any) -> Any:
                answer = await rig.post(address, each)
                while kind(answer) == "refused":  # it listens before it has the register's list
                    await asyncio.sleep(0.05)
                    answer = await rig.post(address, each)
                return answer

            answers = [asyncio.create_task(handed(each)) for each in (made, unsafe)]
            while len(rig.rows("began")) < 2:
                await asyncio.sleep(0.02)
            child.send_signal(signal.SIGKILL)
            await child.wait()
            assert [kind(answer) for answer in await asyncio.gather(*answers)] == ["lost", "lost"]
            child, address = await start()
            again = await rig.post(address, made)
            while kind(again) == "refused":
                again = await rig.post(address, made)
            assert kind(again) == "delivered" and b"duplicate-document" in again.body
            assert Counter(row["mid"] for row in rig.rows("effect")) == {made.head.id: 1, unsafe.head.id: 1}
            child.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(child.wait(), 20) == 0

    run(test)


def test_a_listener_at_its_bound_refuses_connections_and_goes_on(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, limits={"connections": 8}) as rig:
            host, port = split(rig.services[0].address)
            idle = [await asyncio.open_connection(host, port) for _ in range(20)]
            await asyncio.sleep(0.1)
            assert len(rig.services[0].server.open) <= 8
            # Half-open ones give way, the oldest first: they can't keep a client out.
            assert rig.services[0].server.counts["let_go_full"] >= 12
            assert kind(await rig.hand(rig.make("safe"))) == "delivered"
            for _, writer in idle:
                writer.close()

    run(test)


def test_a_silent_client_is_let_go() -> None:
    async def test() -> None:
        listener = server.Server(
            lambda exchange: None,
            bounds=server.Bounds(head_s=0.2, idle_s=0.3, body_rate=100, grace_s=0.2, sweep_s=0.05),
        )
        port = await listener.start()
        for first in (b"", b"GET / HT", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(first)
            said = b""
            with contextlib.suppress(ConnectionError):
                said = await asyncio.wait_for(reader.read(), 3)
            assert said[:12] == (b"HTTP/1.1 408" if first else b"")  # never taken, and told so
            writer.close()
        assert listener.counts == {"let_go_head": 2, "let_go_body_rate": 1}
        listener.close()

    run(test)


def test_a_kept_connection_that_has_died_is_no_attempt() -> None:
    """The reuse race: not a byte left on the dead one, so the request goes out on another, once."""

    async def test() -> None:
        seen: list[str] = []

        def take(exchange: server.RequestContext) -> None:
            seen.append(exchange.head.target)
            exchange.reply(200)

        listener = server.Server(take)
        port = await listener.start()
        pool = client.Pool()

        async def call(target: str) -> client.Answer:
            done: asyncio.Future[client.Answer] = asyncio.get_running_loop().create_future()
            pool.call(("127.0.0.1", port), "POST", http1.request("POST", target, [("Host", "x")]), done.set_result)
            return await asyncio.wait_for(done, 5)

        await call("/1")
        (kept,) = pool.idle[("127.0.0.1", port)]
        kept.transport.abort()  # dead, and connection_lost has not run yet
        assert (await call("/2")).head is not None and seen == ["/1", "/2"]
        for conn in list(listener.open):
            conn.transport.abort()
        await asyncio.sleep(0.05)
        assert (await call("/3")).head is not None and seen == ["/1", "/2", "/3"] and pool.counts["connects"] == 3
        pool.close()
        listener.close()

    run(test)


def test_a_port_in_use_is_one_clear_error(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path) as rig:
            taken = rig.settings("r9", listen=rig.services[0].address)
            with pytest.raises(OSError, match="address already in use"):
                await As2Relay(taken, logger("error")).start()

    run(test)
