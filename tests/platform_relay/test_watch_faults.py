"""Watches that stall, deliver malformed data, resume or move: the endpoints match those of discovery afterwards."""

from __future__ import annotations

import asyncio
import json

import pytest

from linnetstile.engine import watch_policy
from linnetstile.platform_relay import discovery

from .discovery_emulator import FULL_LIST_REQUEST, DiscoveryEmulator
from .http_messages import WATCH_RESPONSE_HEAD, chunk
from .list_factories import list_entry
from .relay_testbed import wait_until
from .watch_testbed import WatchTestbed, run_watch_scenario

STALLED_RESPONSES = [
    b"",
    WATCH_RESPONSE_HEAD[:20],
    WATCH_RESPONSE_HEAD,
    WATCH_RESPONSE_HEAD + b"5",
    WATCH_RESPONSE_HEAD + b"40\r\n",
    WATCH_RESPONSE_HEAD + b'40\r\n{"version":41,"full":true,"servers":[',
    WATCH_RESPONSE_HEAD + chunk(b"\n"),
    WATCH_RESPONSE_HEAD + chunk(b'{"version": 4') + b"1",
]
MALFORMED_RESPONSES = [
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    b"\x16\x03 noise\r\n\r\n",
    WATCH_RESPONSE_HEAD + b"zz\r\n",
    WATCH_RESPONSE_HEAD + chunk(b"17\n"),
    WATCH_RESPONSE_HEAD + chunk(b"[]\n"),
    WATCH_RESPONSE_HEAD + chunk(b"{}\n"),
    WATCH_RESPONSE_HEAD + chunk(b'{"servers":7}\n'),
    WATCH_RESPONSE_HEAD + chunk(b"[" * 100_000),
    WATCH_RESPONSE_HEAD + chunk(b'{"version":41,"full":true,"servers":[{"id":"a"\n{'),
    WATCH_RESPONSE_HEAD + chunk(b'"\xff"'),
    WATCH_RESPONSE_HEAD + b"0\r\n\r\n",
]


@pytest.mark.parametrize("indent", [None, 0, 2])
@pytest.mark.parametrize("chunk_bytes", [1, 7, 4000])
def test_list_is_read_at_any_indentation_and_chunk_size(indent: int | None, chunk_bytes: int) -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_match()
        first_change = emulator.change(list_entry("a", "DRAINING"))
        second_change = emulator.change(list_entry("c", destination=3), list_entry("b", "DELETED"))
        stream = first_change + b"\n" + second_change
        for start in range(0, len(stream), chunk_bytes):  # a chunk may end inside a list or hold several
            emulator.watch_writers[0].write(chunk(stream[start : start + chunk_bytes]))
        await testbed.wait_for_match()
        assert len(emulator.watch_writers) == 1
        assert not testbed.watch.lists_rejected

    run_watch_scenario(scenario, indent=indent)


@pytest.mark.parametrize("response", STALLED_RESPONSES + MALFORMED_RESPONSES)
def test_stalled_or_malformed_watch_is_reopened_and_requests_the_full_list(response: bytes) -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_match(4.0)
        assert len(emulator.watch_writers) == 3
        assert set(emulator.requested_paths) == {FULL_LIST_REQUEST}
        emulator.watch_writers[2].write(chunk(emulator.change(list_entry("a", "DELETED"))))
        await testbed.wait_for_match()

    run_watch_scenario(scenario, (response, False), (response, False))


@pytest.mark.parametrize(
    "last_bytes", [b"", b"4", b'9\r\n{"version', chunk(b'{"version":41,"full":false,"servers":[{"id":')]
)
def test_watch_that_stalls_after_its_list_loses_no_change(last_bytes: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_policy, "WATCH_SILENCE_S", 0.4)

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_match()
        emulator.watch_writers[0].write(last_bytes)
        # These changes are not sent on the stalled watch, so the next one has to deliver them.
        emulator.change(list_entry("a", "DRAINING"), list_entry("b", "DELETED"), list_entry("c", destination=3))
        await testbed.wait_for_match(2.0)

    run_watch_scenario(scenario)


def test_quiet_watch_with_keep_alive_lines_stays_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_policy, "WATCH_SILENCE_S", 0.3)
    monkeypatch.setattr(discovery, "ELEMENT_STALL_S", 0.02)

    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_match()
        for _ in range(8):
            emulator.watch_writers[0].write(chunk(b"\n"))
            await asyncio.sleep(0.1)
        assert len(emulator.watch_writers) == 1

    run_watch_scenario(scenario)


def test_watch_of_the_previous_address_is_ignored_after_a_move() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_match()
        previous_writer, emulator.watch_writers = emulator.watch_writers[0], []
        testbed.watch.move(await emulator.start())
        # A list from the previous address that arrives after the move.
        previous_writer.write(chunk(b'{"version":99,"full":true,"servers":[]}\n'))
        await wait_until(lambda: emulator.watch_writers and testbed.matches_discovery())
        emulator.watch_writers[-1].write(chunk(emulator.change(list_entry("c", destination=3))))
        await testbed.wait_for_match()

    run_watch_scenario(scenario)


def test_older_list_is_rejected_unless_discovery_sends_it_twice() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        await testbed.wait_for_match()
        emulator.watch_writers[0].write(chunk(emulator.change(list_entry("b", "DELETED"))))
        await testbed.wait_for_match()
        older_entries = [list_entry("a"), list_entry("b", destination=2)]
        older_list = json.dumps({"version": 40, "full": True, "servers": older_entries}).encode()
        emulator.scripted_responses = [(WATCH_RESPONSE_HEAD + chunk(older_list), False)]
        emulator.watch_writers[0].close()
        await testbed.wait_for_watches(3)
        assert not testbed.directory.id_of("b")  # the older list was rejected
        await testbed.wait_for_match()
        # Discovery restarts at a lower version.
        emulator.version, emulator.entries = 3, {"d": list_entry("d", destination=4)}
        emulator.watch_writers[-1].close()
        await testbed.wait_for_match()
        assert len(emulator.watch_writers) == 5

    run_watch_scenario(scenario)


def test_short_list_is_requested_in_full_each_time() -> None:
    async def scenario(emulator: DiscoveryEmulator, testbed: WatchTestbed) -> None:
        for watch_count in (1, 2, 3):
            await testbed.wait_for_watches(watch_count)
            await wait_until(lambda: testbed.is_watch_useful() and testbed.matches_discovery())
            emulator.watch_writers[-1].close()
        assert {*emulator.requested_paths} == {FULL_LIST_REQUEST}

    run_watch_scenario(scenario)
