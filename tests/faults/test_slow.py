"""Slow readers and writers: who is let go, in which way, and what it costs the others."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile.codec import http1
from linnetstile.config.relay import split
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.engine.events import Outcome
from linnetstile.net import client, server
from linnetstile.net.client import Answer, Pool, Rates

from .rig import Rig, kind, run

SLOW = {
    "body_rate": 2000,
    "answer_rate": 2000,
    "request_rate": 2000,
    "response_rate": 2000,
    "stall_ms": 600,
    "head_ms": 800,
}


async def dial(rig: Rig) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(*split(rig.services[0].address))


def head(rig: Rig, length: int, message_class: str = "safe", **fields: str) -> bytes:
    made = rig.make(message_class)
    told = {"Content-Length": str(length), **fields}
    lines = [f"{n}: {v}" for n, v in [("Host", "x"), *made.headers, *told.items()]]
    return ("POST /as2 HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()


async def drip(writer: asyncio.StreamWriter, data: bytes, pause: float = 0.05) -> None:
    """One byte at a time, until the other side has had enough."""
    try:
        for n in range(len(data)):
            writer.write(data[n : n + 1])
            await writer.drain()
            await asyncio.sleep(pause)
    except ConnectionError:
        pass


@pytest.mark.parametrize("where", ["head", "body", "chunks"])
def test_a_client_that_drips_is_told_that_nothing_was_taken(tmp_path: Path, where: str) -> None:
    async def test() -> None:
        async with Rig(tmp_path, limits=SLOW) as rig:
            reader, writer = await dial(rig)
            if where == "chunks":
                whole = head(rig, 0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                writer.write(whole + b"1000\r\n")
            elif where == "body":
                writer.write(head(rig, 4000))
            dripping = asyncio.create_task(drip(writer, head(rig, 100) * 20))
            said = await asyncio.wait_for(reader.read(), 8)
            assert said.startswith(b"HTTP/1.1 408") and b"nothing of this request was taken" in said
            dripping.cancel()
            writer.close()
            service = rig.services[0]
            assert service.counts["let_go_head" if where == "head" else "let_go_body_rate"] == 1
            assert not service.room.charges and service.counts["taken"] == 6  # what warmed it up
            assert kind(await rig.hand(rig.make("safe"))) == "delivered"
        assert not rig.broken()

    run(test)


def test_a_client_that_stalls_now_and_then_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, limits=SLOW) as rig:
            reader, writer = await dial(rig)
            body = b"ISA*00~" * 1500
            writer.write(head(rig, len(body)))
            for at in range(0, len(body), 2000):  # 400 ms of stall in each 450
                writer.write(body[at : at + 2000])
                await asyncio.sleep(0.4)
            assert (await asyncio.wait_for(reader.readline(), 8)).startswith(b"HTTP/1.1 200")
            writer.close()

    run(test)


def big_answers(size: int) -> Callable[[server.RequestContext], None]:
    def take(exchange: server.RequestContext) -> None:
        exchange.reply(200, body=b"x" * size)

    return take


def test_a_reader_that_stops_after_the_status_line_is_let_go_and_its_answer_counted() -> None:
    async def test() -> None:
        size, gone = 8 * 2**20, []
        listener = server.Server(
            big_answers(size),
            bounds=server.Bounds(answer_rate=2000, grace_s=0.5, sweep_s=0.1),
            on_slow=lambda conn, why: gone.append((why, conn.unsent > 0)),
        )
        port = await listener.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 4)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.2)
        (conn,) = listener.open
        # The second request is not begun before the first answer is read: one body is held, not four.
        assert conn.phase == "answer" and conn.requests == 1 and conn.unsent <= size + 4096
        while listener.open:
            await asyncio.sleep(0.05)
        assert gone == [("answer_rate", True)] and listener.counts["let_go_answer_rate"] == 1
        writer.close()
        # One that reads slowly, and fast enough, gets all of it.
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        got = 0
        while piece := await reader.read(512 * 1024):
            got += len(piece)
            await asyncio.sleep(0.05)
        assert got > size
        listener.close()

    run(test)


def test_a_request_that_never_left_whole_can_not_have_run(tmp_path: Path) -> None:
    """A partner that does not read: until the last byte is with the kernel, Content-Length is not complete."""

    async def test() -> None:
        done: list[Answer] = []
        stop = asyncio.Event()

        async def never_reads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await stop.wait()
            writer.close()

        listener = await asyncio.start_server(never_reads, "127.0.0.1", 0, limit=1024)
        address = listener.sockets[0].getsockname()[:2]
        slow: list[str] = []
        pool = Pool(rates=Rates(request=10_000, response=10_000, grace_s=0.5), on_slow=lambda _, why: slow.append(why))
        for size in (100, 64 * 2**20):
            pool.call(
                address,
                "POST",
                http1.request_parts("POST", "/", [("Host", "x")], b"x" * size),
                done.append,
                asyncio.get_running_loop().time() + 3,
            )
        while len(done) < 2:
            await asyncio.sleep(0.02)
        # The big one is let go by its rate, long before its time; the small one is all with the kernel: unclear.
        assert [answer.sight for answer in done] == [WireResult.REQUEST_INCOMPLETE, WireResult.TIMED_OUT] and slow == [
            "request_rate"
        ]
        stop.set()
        pool.close()
        listener.close()

    run(test)


def test_an_answer_before_the_request_was_whole_proves_that_nothing_ran() -> None:
    async def test() -> None:
        async def refuses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

        listener = await asyncio.start_server(refuses, "127.0.0.1", 0, limit=1024)
        done: list[Answer] = []
        pool = Pool()
        pool.call(
            listener.sockets[0].getsockname()[:2],
            "POST",
            http1.request_parts("POST", "/", [("Host", "x")], b"x" * (64 * 2**20)),
            done.append,
        )
        while not done:
            await asyncio.sleep(0.02)
        assert done[0].head is not None and done[0].head.status == 413 and not done[0].whole
        pool.close()
        listener.close()

    run(test)


def test_a_partner_that_reads_slowly_is_tried_again_even_for_an_unsafe_message(tmp_path: Path) -> None:
    """Its attempt ended before it was whole: no effect is possible, so another try is none too many."""

    async def test() -> None:
        faults = [{"kind": "crawl", "at_s": 0, "for_s": 3, "partners": ["firma"], "bytes": 20_000}]
        classes = {
            "unsafe": {"effect": "unsafe", "aim_ms": 4000, "deadline_ms": 15_000},
            "safe": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 8000},
        }
        async with Rig(tmp_path, faults=faults, classes=classes, limits={**SLOW, "request_rate": 2_000_000}) as rig:
            answer = await rig.hand(rig.make("unsafe", b"ISA*00~" * 2_000_000))
            assert kind(answer) == "delivered"
            service = rig.services[0]
            assert service.counts["partner_let_go_request_rate"] >= 1
            assert service.counts[f"outcome_{Outcome.CONNECT_FAILED.value}"] >= 1
            assert len(rig.rows("effect")) == 1
        assert not rig.broken()

    run(test)


def test_a_receipt_that_drips_is_let_go_by_its_rate(tmp_path: Path) -> None:
    async def test() -> None:
        faults = [{"kind": "trickle", "at_s": 0, "for_s": 2, "partners": ["firma"]}]
        async with Rig(tmp_path, faults=faults, limits=SLOW) as rig:
            assert kind(await rig.hand(rig.make("keyed"))) == "delivered"
            assert rig.services[0].counts["partner_let_go_response_rate"] >= 1
        assert not rig.broken()

    run(test)


def test_a_client_over_its_share_waits_is_refused_with_advice_and_keeps_nobody_out(tmp_path: Path) -> None:
    async def test() -> None:
        limits = {**SLOW, "body_bytes": 400_000, "hold_bytes": 500_000, "room_wait_ms": 400}
        async with Rig(
            tmp_path, limits=limits, faults=[{"kind": "hang", "at_s": 0, "for_s": 4, "partners": ["firma"]}]
        ) as rig:
            many = [asyncio.create_task(rig.hand(rig.make("safe", b"x" * 100_000))) for _ in range(12)]
            await asyncio.sleep(0.2)
            room = rig.services[0].room
            assert room.shares.used[0] <= 500_000 and room.waiting
            # Another sender, far below its part: it is let in at once, beside twelve that wait.
            made = rig.make("safe", b"y" * 1000)
            other = made.headers[:]
            other = [(n, "other" if n == "AS2-From" else v) for n, v in other]
            data = http1.request("POST", "/as2", [("Host", "x"), *other], made.body)
            rig.pool.call(split(rig.services[0].address), "POST", data, lambda answer: None)
            await asyncio.sleep(0.15)
            assert any(carried.head.sender == "other" for carried in rig.services[0].carried.values())
            answers = await asyncio.gather(*many)
            refused = [a for a in answers if a.head is not None and a.head.status == 503]
            assert refused and all(int(a.head.headers.get("retry-after")) >= 1 for a in refused if a.head)
            assert rig.services[0].counts["refused_no_room"] >= 1
            assert {kind(a) for a in answers} <= {"refused", "delivered", "failed"}
        assert not rig.broken()

    run(test)


def test_a_big_body_beside_thousands_of_small_ones(tmp_path: Path) -> None:
    async def test() -> None:
        limits = {"body_bytes": 64 * 2**20, "hold_bytes": 80 * 2**20, "slots": 16, "hold": 500}
        async with Rig(
            tmp_path,
            limits=limits,
            partner={"rate": 2000.0, "work_ms": 2, "servers": 64},
            classes={"safe": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 15_000}},
        ) as rig:
            big = asyncio.create_task(rig.hand(rig.make("safe", b"x" * (48 * 2**20))))
            small = await rig.load("safe", 200, 3)
            assert all(kind(a) == "delivered" for a in small)
            assert kind(await big) == "delivered"
            assert not rig.services[0].room.charges

    run(test)


def test_a_slow_client_and_a_slow_partner_on_one_message_at_a_stop(tmp_path: Path) -> None:
    """The body is still coming in when the relay is told to stop: it is taken or told, and the stop ends in time."""

    async def test() -> None:
        faults = [{"kind": "crawl", "at_s": 0, "for_s": 20, "partners": ["firma"], "bytes": 4000}]
        async with Rig(tmp_path, faults=faults, limits={**SLOW, "stop_ms": 9000}) as rig:
            reader, writer = await dial(rig)
            body = b"ISA*00~" * 300
            writer.write(head(rig, len(body)) + body[:1000])
            await asyncio.sleep(0.2)
            rig.services[0].stop()
            idle = await dial(rig)
            await asyncio.sleep(0.2)
            writer.write(body[1000:])
            said = await asyncio.wait_for(reader.read(), 10)
            assert said.startswith(b"HTTP/1.1 ") and b"Linnetstile-Answer" in said
            await asyncio.wait_for(rig.services[0].stopped.wait(), 9)
            idle[1].close()

    run(test)


def test_a_thousand_half_open_connections_and_one_client(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path, limits={"connections": 300, "head_ms": 4000}) as rig:
            host, port = split(rig.services[0].address)
            half = []
            for n in range(1000):
                half.append(await asyncio.open_connection(host, port))
                half[-1][1].write(b"POST / HTTP/1.1\r\n" if n % 2 else b"")
            answers = [await rig.hand(rig.make("safe")) for _ in range(10)]
            assert [kind(a) for a in answers] == ["delivered"] * 10
            assert len(rig.services[0].server.open) <= 300
            for _, writer in half:
                writer.close()

    run(test)


def test_a_connection_for_each_message(tmp_path: Path) -> None:
    async def test() -> None:
        async with Rig(tmp_path) as rig:
            for _ in range(60):
                made = rig.make("safe")
                data = http1.request("POST", "/as2", [("Host", "x"), ("Connection", "close"), *made.headers], made.body)
                answer = await client.once(split(rig.services[0].address), "POST", data, 5.0)
                assert kind(answer) == "delivered"
            await asyncio.sleep(0.1)
            service = rig.services[0]
            assert len(service.server.open) <= 2 and not service.room.charges and not service.carried

    run(test)


def test_want_of_descriptors_is_no_failure_of_a_partner(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Rig(tmp_path) as rig:
            service, loop = rig.services[0], asyncio.get_running_loop()
            made, fails = loop.create_connection, [3]

            async def short(*args: Any, **more: Any) -> Any:
                if fails[0]:
                    fails[0] -= 1
                    raise OSError(24, "Too many open files")
                return await made(*args, **more)

            for address in list(service.pool.idle):
                service.pool.close_idle(address)
            monkeypatch.setattr(loop, "create_connection", short)
            made_ = rig.make("safe")
            data = http1.request("POST", "/as2", [("Host", "x"), *made_.headers], made_.body)
            done: asyncio.Future[Answer] = loop.create_future()
            rig.pool.call(split(service.address), "POST", data, done.set_result)  # on a kept connection
            assert kind(await done) == "delivered"
            assert service.pool.counts["no_descriptors"] >= 1 and service.counts["outcome_not_sent"] >= 1
            assert "outcome_connect_failed" not in service.counts

    run(test)


def test_show_tells_what_a_live_relay_holds(tmp_path: Path) -> None:
    async def test() -> None:
        faults = [{"kind": "hang", "at_s": 0, "for_s": 30, "partners": ["firma"]}]
        async with Rig(tmp_path, faults=faults) as rig:
            service = rig.services[0]
            from linnetstile.as2_relay.admin import Admin

            admin = Admin(service, tmp_path / "admin", "127.0.0.1:0")
            await admin.start()
            assert (tmp_path / "admin").stat().st_mode & 0o777 == 0o600
            waiting = asyncio.create_task(rig.hand(rig.make("safe", b"x" * 5000)))
            _, writer = await dial(rig)
            writer.write(head(rig, 5000) + b"half")
            await asyncio.sleep(0.3)

            async def show(what: str, path: Any = str(tmp_path / "admin")) -> bytes:
                answer = await client.once(path, "GET", http1.request("GET", f"/{what}", [("Host", "x")]), 3)
                assert answer.head is not None and answer.head.status == 200
                return answer.body

            connections, queues = json.loads(await show("connections")), json.loads(await show("queues"))
            assert {"client held", "client body", "partner work"} <= connections["phases"].keys()
            assert [row["sender"] for row in connections["rows"] if row["phase"] == "body"] == ["office"]
            assert queues["room"]["held_messages"] == 2 and queues["room"]["held_bytes"] > 10_000
            assert {row["party"] for row in queues["parties"]} >= {"firma", "-/127.0.0.1/office"}
            assert json.loads(await show("slow"))["rows"][0]["partner"] == "firma"
            page = (await show("metrics", split(admin.address or ""))).decode()
            assert "linnetstile_held_messages 2.0" in page and 'what="taken"' in page
            answer = await client.once(str(tmp_path / "admin"), "GET", http1.request("GET", "/x", [("Host", "x")]), 3)
            assert answer.head is not None and answer.head.status == 404
            admin.close()
            assert not (tmp_path / "admin").exists()
            writer.close()
            waiting.cancel()

    run(test)
