"""Lists applied by a running relay: changes, interrupted watches, long lists and moves of discovery."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from .http_messages import SERVER_ERROR_RESPONSE, WATCH_RESPONSE_HEAD, read_http, request_status, submission
from .relay_testbed import (
    SETTINGS,
    RelayTestbed,
    delivered_ids,
    run_scenario,
    wait_until,
    wait_until_idle,
    with_state,
)


def test_list_changes_reach_the_engine_and_a_reused_address_shares_no_connection(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        assert await request_status(relay, submission("a")) == 202
        await wait_until(lambda: not relay.accepted)
        old_entry = testbed.entries[0]
        new_entry = {**old_entry, "id": "s-new"}
        testbed.send_list([{**old_entry, "state": "DELETED"}, new_entry])
        await wait_until(lambda: relay.directory.id_of("s-new"))
        assert not relay.directory.id_of(old_entry["id"])
        assert await request_status(relay, submission("b")) == 202
        await wait_until(lambda: not relay.accepted)
        assert testbed.endpoint_connections == 2
        testbed.send_list(with_state([new_entry], "DRAINING"))
        await wait_until(lambda: not len(relay.engine.routing_table.index))

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nTransfer-Enc",
        b"HTTP/1.1 500 X\r\n\r\n",
        WATCH_RESPONSE_HEAD + b'40\r\n{"version":9,"full":fal',
    ],
)
def test_stalled_watch_is_reopened_well_before_its_change_is_due(tmp_path: Path, response: bytes) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.stalled_watch_responses = [response, response]
        relay = await testbed.start_relay()
        await wait_until(lambda: len(relay.directory), 3.0)
        testbed.entries = with_state(testbed.entries, "DRAINING")
        line = json.dumps({"version": 50, "full": False, "servers": testbed.entries}).encode()
        testbed.watch_writers[-1].write(b"%x\r\n%s" % (len(line) + 1, line[:-9]))  # the end is never sent
        await wait_until(lambda: not len(relay.engine.routing_table.index), 2.0)

    run_scenario(tmp_path, scenario)


def test_list_of_1024_endpoints_is_applied_and_half_of_them_are_removed(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = {**SETTINGS, "balancers": 1024}
        other_entries = [
            {
                **testbed.entries[0],
                "id": f"o-{number}",
                "cell": 2 + number,
                "addr": f"127.9.{number >> 8}.1:{3000 + number}",
            }
            for number in range(1023)
        ]
        testbed.entries += other_entries
        relay = await testbed.start_relay()
        await asyncio.sleep(0)  # the engine applies the list in its next turn, within one pass of the event loop
        assert len(relay.directory) == len(relay.engine.routing_table.index) == 1024
        assert await request_status(relay, submission("a")) == 202
        await wait_until(lambda: delivered_ids(testbed) == ["a"])
        testbed.send_list(with_state(other_entries[:512], "DELETED"))
        await wait_until(lambda: len(relay.engine.routing_table.index) == 512)
        testbed.send_list(testbed.entries[:1], full=True)
        await wait_until(lambda: len(relay.directory) == len(list(relay.directory)) == 1)
        await wait_until(lambda: len(relay.engine.routing_table.index) == 1)
        assert await request_status(relay, submission("b")) == 202
        await wait_until(lambda: delivered_ids(testbed) == ["a", "b"])

    run_scenario(tmp_path, scenario)


def test_clients_are_answered_while_a_list_of_20000_is_read(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.entries += [
            {**testbed.entries[0], "id": f"o-{number}", "cell": 2 + number, "addr": "127.9.0.1:3000"}
            for number in range(20_000)
        ]
        testbed.send_list(testbed.entries, full=True)
        await wait_until(lambda: relay.watch.is_reading_list)
        answered_count = 0
        while relay.watch.is_reading_list:
            assert await request_status(relay, submission(f"m-{answered_count}", body=b"")) in (202, 503)
            answered_count += relay.watch.is_reading_list
        assert answered_count >= 3
        assert len(relay.directory) == 20_001
        assert len(testbed.watch_writers) == 1

    run_scenario(tmp_path, scenario)


def test_discovery_moves_under_load_disturb_no_message_and_no_attempt(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        for number in range(30):
            if number % 10 == 5:
                relay.move_discovery(await testbed.start_discovery())
            testbed.scripted_responses[1] = [SERVER_ERROR_RESPONSE] if number % 7 == 6 else []
            assert await request_status(relay, submission(f"m{number}", "order")) == 202
        await wait_until_idle(relay)
        assert set(delivered_ids(testbed)) == {f"m{number}" for number in range(30)}
        assert not testbed.notices
        assert relay.watch.watches_opened == 4

    run_scenario(tmp_path, scenario)


FIRST_PIECE_BYTES = 200_000
PIECE_BYTES = 50_000


def long_list(entry: dict[str, Any]) -> bytes:
    """Return a full list of 4,000 copies of `entry`, each with its own id and destination."""
    entries = [{**entry, "id": f"o-{number}", "cell": number} for number in range(1, 4001)]
    return json.dumps({"version": 5, "full": True, "servers": entries}).encode() + b"\n"


def test_start_waits_for_a_list_that_is_being_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a start before a long list has been read, as messages for unread endpoints would be rejected.

    The start therefore waits longer for a list that is being read than for discovery to answer.
    """
    monkeypatch.setattr("linnetstile.platform_relay.recovery.DISCOVERY_GRACE_S", 0.3)
    monkeypatch.setattr("linnetstile.platform_relay.recovery.LONG_LIST_GRACE_S", 4.0)

    async def scenario(testbed: RelayTestbed) -> None:
        line = long_list(testbed.entries[0])
        list_sent = asyncio.Event()

        async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_http(reader)
            writer.write(WATCH_RESPONSE_HEAD + b"%x\r\n" % len(line))
            writer.write(line[:FIRST_PIECE_BYTES])
            for start in range(FIRST_PIECE_BYTES, len(line), PIECE_BYTES):
                await asyncio.sleep(0.1)
                writer.write(line[start : start + PIECE_BYTES])
            writer.write(b"\r\n")
            list_sent.set()
            await reader.read()

        relay = await testbed.start_relay(("127.0.0.1", await testbed.listen(serve_slowly)))
        assert list_sent.is_set()
        assert len(relay.directory) == 4000
        assert await request_status(relay, submission("a")) == 202

    run_scenario(tmp_path, scenario)


def test_start_does_not_wait_forever_for_a_list_that_stalls(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("linnetstile.platform_relay.recovery.DISCOVERY_GRACE_S", 0.3)
    monkeypatch.setattr("linnetstile.platform_relay.recovery.LONG_LIST_GRACE_S", 0.9)

    async def scenario(testbed: RelayTestbed) -> None:
        line = long_list(testbed.entries[0])

        async def serve_and_stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_http(reader)
            writer.write(WATCH_RESPONSE_HEAD + b"%x\r\n" % len(line))
            writer.write(line[:FIRST_PIECE_BYTES])
            for start in range(FIRST_PIECE_BYTES, 300_000, PIECE_BYTES):
                await asyncio.sleep(0.2)
                writer.write(line[start : start + PIECE_BYTES])
            await reader.read()

        began_at = asyncio.get_running_loop().time()
        relay = await testbed.start_relay(("127.0.0.1", await testbed.listen(serve_and_stall)))
        assert asyncio.get_running_loop().time() - began_at < 3.0
        assert 1000 < len(relay.directory) < 4000
        assert await request_status(relay, submission("a")) == 202

    run_scenario(tmp_path, scenario)
