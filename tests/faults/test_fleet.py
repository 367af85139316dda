"""End to end: draining endpoints, recovering partners, restarts, the registry and shutdown, over several relays."""

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
from linnetstile.config.relay import split_address
from linnetstile.net import client, server
from linnetstile.telemetry.log import logger

from .relay_testbed import RelayTestbed, answer_kind, run_test, wait_until


@pytest.mark.parametrize("status", ["draining", "gone"])
def test_a_draining_or_removed_endpoint_gets_no_new_requests_under_load(tmp_path: Path, status: str) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, relays=2, endpoints=2) as testbed:
            load = asyncio.create_task(testbed.submit_evenly("safe", 30, 2.0))
            await testbed.sleep_until(0.7)
            used = testbed.partner_records("began")[-1]["endpoint"]  # by chance: both relays may use the same
            testbed.change_endpoint(used, status)
            await testbed.sleep_until(1.4)
            testbed.change_endpoint(used, "ready")
            assert Counter(map(answer_kind, await load)) == {"delivered": 60}
            gap = [
                row
                for row in testbed.partner_records("began")
                if row["endpoint"] == used and 800 < row["t"] - testbed.partner_emulator.script_start_ms < 1400
            ]
            assert not gap
            assert {row["endpoint"] for row in testbed.partner_records("began")} == {1, 2}
        assert testbed.broken_rules() == []

    run_test(test)


@pytest.mark.parametrize("what", ["shut", "hang", "crash"])
def test_several_relays_do_not_overload_a_recovering_partner_in_slow_start(tmp_path: Path, what: str) -> None:
    async def test() -> None:
        faults = [{"kind": what, "at_s": 0.3, "for_s": 2.5, "partners": ["firma"]}]
        async with RelayTestbed(tmp_path, relays=3, faults=faults, partner={"rate": 15.0}) as testbed:
            await testbed.submit_evenly("safe", 12, 7.0)
            assert not testbed.partner_records("fallen")
            assert [
                row
                for row in testbed.partner_records("began")
                if row["t"] - testbed.partner_emulator.script_start_ms > 4000
            ]
        assert testbed.broken_rules() == []

    run_test(test)


def test_a_registry_that_fails_or_sends_an_invalid_list_is_polled_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(
            tmp_path,
            register={
                "troubles": [{"kind": "fail", "at_s": 0, "for_s": 0.6}, {"kind": "garbage", "at_s": 0.6, "for_s": 0.5}]
            },
        ) as testbed:
            late_relay = await testbed.start_relay(wait=False)
            answer = await testbed.submit(testbed.make_message("safe"), 1)
            assert answer_kind(answer) == "refused"
            assert answer.head is not None
            assert answer.head.status == 503
            await testbed.sleep_until(3.0)
            assert late_relay.registry.version == 1
            assert late_relay.registry.list_counts.failed >= 2
            assert answer_kind(await testbed.submit(testbed.make_message("safe"), 1)) == "delivered"
        assert testbed.broken_rules() == []

    run_test(test)


def test_an_older_list_does_not_restore_removed_endpoints(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, endpoints=2) as testbed:
            testbed.change_endpoint(2, "gone")
            await asyncio.sleep(0.1)
            relay = testbed.relays[0]
            assert relay.registry.version == 2
            testbed.registry.version, testbed.registry.entries[2]["status"] = 1, "ready"
            relay.registry.is_watching = False
            relay.registry.watch()
            await asyncio.sleep(0.1)
            assert relay.registry.version == 2
            assert relay.registry.list_counts.failed >= 1
            testbed.registry.version = 3

    run_test(test)


def test_shutdown_rejects_new_messages_and_finishes_accepted_ones(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, partner={"work_ms": 400}) as testbed:
            relay = testbed.relays[0]
            submissions = [asyncio.create_task(testbed.submit(testbed.make_message("unsafe"))) for _ in range(3)]
            await asyncio.sleep(0.1)
            relay.stop()
            rejected = await testbed.submit(testbed.make_message("safe"))
            assert rejected.head is not None
            assert rejected.head.status == 503
            assert b"stopping" in rejected.body
            assert [answer_kind(answer) for answer in await asyncio.gather(*submissions)] == ["delivered"] * 3
            await asyncio.wait_for(relay.stopped.wait(), 5)
            assert not relay.accepted
        assert testbed.broken_rules() == []

    run_test(test)


def test_shutdown_with_a_timeout_ends_in_time_and_reports_unfinished_messages(tmp_path: Path) -> None:
    async def test() -> None:
        faults = [{"kind": "hang", "at_s": 0, "for_s": 60, "partners": ["firma"]}]
        async with RelayTestbed(tmp_path, faults=faults, limits={"stop_ms": 300}) as testbed:
            waiting = asyncio.create_task(testbed.submit(testbed.make_message("unsafe")))
            await asyncio.sleep(0.1)
            testbed.relays[0].stop()
            await asyncio.wait_for(testbed.relays[0].stopped.wait(), 2)
            assert len(testbed.relays[0].accepted) == 1
            testbed.kill_relay(0)
            assert answer_kind(await waiting) == "lost"

    run_test(test)


def test_after_a_kill_and_restart_a_resubmitted_message_takes_effect_once(tmp_path: Path) -> None:
    """What it had accepted is the client's to submit again; the partner deduplicates it by its key."""

    async def test() -> None:
        async with RelayTestbed(tmp_path, partner={"work_ms": 600}) as testbed:
            settings = testbed.relay_settings("r1").model_dump(mode="json", by_alias=True)
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
            deduplicated, non_idempotent = testbed.make_message("keyed"), testbed.make_message("unsafe")

            async def submit_until_accepted(message: Any) -> Any:
                answer = await testbed.post(address, message)
                while answer_kind(answer) == "refused":  # it listens before it has the endpoint list
                    await asyncio.sleep(0.05)
                    answer = await testbed.post(address, message)
                return answer

            answers = [
                asyncio.create_task(submit_until_accepted(message)) for message in (deduplicated, non_idempotent)
            ]
            await wait_until(lambda: len(testbed.partner_records("began")) >= 2, poll_s=0.02)
            child.send_signal(signal.SIGKILL)
            await child.wait()
            assert [answer_kind(answer) for answer in await asyncio.gather(*answers)] == ["lost", "lost"]
            child, address = await start()
            retried = await testbed.post(address, deduplicated)
            while answer_kind(retried) == "refused":
                retried = await testbed.post(address, deduplicated)
            assert answer_kind(retried) == "delivered"
            assert b"duplicate-document" in retried.body
            assert Counter(row["mid"] for row in testbed.partner_records("effect")) == {
                deduplicated.head.message_id: 1,
                non_idempotent.head.message_id: 1,
            }
            child.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(child.wait(), 20) == 0

    run_test(test)


def test_a_full_listener_evicts_half_open_connections_and_serves_on(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path, limits={"connections": 8}) as testbed:
            host, port = split_address(testbed.relays[0].address)
            idle = [await asyncio.open_connection(host, port) for _ in range(20)]
            await asyncio.sleep(0.1)
            assert len(testbed.relays[0].listener.connections) <= 8
            # Half-open connections are evicted, the oldest first: they can't keep a client out.
            assert testbed.relays[0].listener.counts["let_go_full"] >= 12
            assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
            for _, writer in idle:
                writer.close()

    run_test(test)


def test_a_silent_client_is_evicted() -> None:
    async def test() -> None:
        listener = server.Server(
            lambda request: None,
            limits=server.ServerLimits(
                head_timeout_s=0.2, idle_timeout_s=0.3, min_body_rate=100, rate_grace_s=0.2, sweep_interval_s=0.05
            ),
        )
        port = await listener.start()
        for first in (b"", b"GET / HT", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(first)
            response = b""
            with contextlib.suppress(ConnectionError):
                response = await asyncio.wait_for(reader.read(), 3)
            assert response[:12] == (b"HTTP/1.1 408" if first else b"")  # not accepted, and answered so
            writer.close()
        assert listener.counts == {"let_go_head": 2, "let_go_body_rate": 1}
        listener.close()

    run_test(test)


def test_a_dead_idle_connection_costs_no_attempt() -> None:
    """The race of connection reuse: not a byte left on the dead one, so the request goes out once, on another."""

    async def test() -> None:
        seen: list[str] = []

        def take(request: server.RequestContext) -> None:
            seen.append(request.head.target)
            request.reply(200)

        listener = server.Server(take)
        port = await listener.start()
        pool = client.ConnectionPool()

        async def call(target: str) -> client.CallResult:
            done: asyncio.Future[client.CallResult] = asyncio.get_running_loop().create_future()
            pool.call(
                ("127.0.0.1", port), "POST", http1.encode_request("POST", target, [("Host", "x")]), done.set_result
            )
            return await asyncio.wait_for(done, 5)

        await call("/1")
        (kept,) = pool.idle_connections.by_address[("127.0.0.1", port)]
        kept.transport.abort()  # dead, and connection_lost has not run yet
        assert (await call("/2")).head is not None
        assert seen == ["/1", "/2"]
        for conn in list(listener.connections):
            conn.transport.abort()
        await asyncio.sleep(0.05)
        assert (await call("/3")).head is not None
        assert seen == ["/1", "/2", "/3"]
        assert pool.counts["connects"] == 3
        pool.close()
        listener.close()

    run_test(test)


def test_a_port_in_use_is_reported_as_one_clear_error(tmp_path: Path) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path) as testbed:
            settings = testbed.relay_settings("r9", listen=testbed.relays[0].address)
            with pytest.raises(OSError, match="address already in use"):
                await As2Relay(settings, logger("error")).start()

    run_test(test)
