"""The relay on the platform, in one process with its emulators: each accepted message has one result."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import json
import os
import shutil
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from linnetstile.net import client, server
from linnetstile.platform_relay import journal_replay
from linnetstile.platform_relay.journal import Journal
from linnetstile.platform_relay.records import Notice, NoticeResult, PendingNotice
from linnetstile.platform_relay.relay import PlatformRelay
from linnetstile.platform_relay.submission import Submission

from .relay_testbed import (
    OK_RESPONSE,
    SETTINGS,
    RelayTestbed,
    delivered_ids,
    is_idle,
    port_of,
    read_http,
    request_status,
    run_scenario,
    submission,
    wait_until,
)


def delay_connects(monkeypatch: pytest.MonkeyPatch, relay: PlatformRelay, pauses: Iterator[float]) -> None:
    """From now on each connection to an endpoint takes so many seconds more to be made."""
    opens = relay.endpoint_client.pool._open

    async def late(*discovery_address: Any) -> client.ClientConnection:
        await asyncio.sleep(next(pauses))
        return await opens(*discovery_address)

    monkeypatch.setattr(relay.endpoint_client.pool, "_open", late)


def test_message_is_forwarded_unchanged_and_owes_no_notice(tmp_path: Path) -> None:
    body = bytes(range(256))

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        assert await request_status(relay, b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        assert await request_status(relay, submission("m1", "order", body=body, left="2500000u")) == 202
        await wait_until(lambda: not relay.accepted)
        ((destination, fields, came),) = testbed.endpoint_calls
        assert (destination, fields["x-correlation-id"], fields["idempotency-key"], came) == (1, "m1", "key-m1", body)
        assert 0 < int(fields["x-time-left"].removesuffix("m")) <= 2500
        assert not testbed.notices
        assert not relay.reporter.pending_notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX: \x00\x01\r\n\r\n",
        b"HTTP/1.1 200 OK\nX: y\n\n",
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 9000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE,
        OK_RESPONSE + OK_RESPONSE,
        OK_RESPONSE + b"\x00\xff noise",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: {{{\r\n\r\nok",
    ],
)
def test_answer_whose_first_line_says_200_counts_whatever_follows(tmp_path: Path, answer: bytes) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_answers[1] = [answer]
        assert await request_status(relay, submission("a", "pay")) == 202
        await wait_until(lambda: not relay.accepted, 1.0)
        for submission_id in ("b", "c"):  # the next ones have an answer of their own
            testbed.scripted_answers[1] = [
                b"HTTP/1.1 429 X\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n",
                OK_RESPONSE,
            ]
            assert await request_status(relay, submission(submission_id, "pay")) == 202
            await wait_until(lambda: not relay.accepted)
        assert delivered_ids(testbed) == ["a", "b", "b", "c", "c"]
        assert not testbed.notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "answer",
    [
        b"\x16\x03\x01 noise\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nContent-Length: zero\r\n\r\n",
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_unclear_answer_is_final_for_non_idempotent_classes_and_retried_for_the_rest(
    tmp_path: Path, answer: bytes
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_answers[1] = [answer]
        assert await request_status(relay, submission("p", "pay")) == 202
        await wait_until(lambda: testbed.notices)
        assert testbed.notices == [{"ref": "p", "result": "dead"}]
        testbed.scripted_answers[1] = [answer]
        assert await request_status(relay, submission("s", "order")) == 202
        await wait_until(lambda: not relay.accepted)
        assert delivered_ids(testbed) == ["p", "s", "s"]
        assert len({fields["idempotency-key"] for _, fields, _ in testbed.endpoint_calls[1:]}) == 1

    run_scenario(tmp_path, scenario)


BAD_REQUESTS = [
    b"\x00\x01\x02 not http\r\n\r\n",
    b"POST /api HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000,
    submission("x", Content_Length="-1"),
    submission("x", Content_Length="99999999999999999999"),
    submission("x", Content_Length="62914560"),
    submission("x", Transfer_Encoding="chunked"),
    submission("x", "nonsense"),
    submission("x", destination=999),
    submission("x", Envelope="dest=one"),
    submission("x", left="soon"),
    submission("x", left="-5m"),
    submission("x", left="99999999m"),
    submission(""),
    submission("x", X_Account="nobody"),
    submission("x", "order", Idempotency_Key=""),
    submission("x").replace(b"/api", b"/other"),
    submission("x").replace(b"POST", b"GET"),
    submission("x", Content_Length="500"),
]


@pytest.mark.parametrize("number", range(len(BAD_REQUESTS)))
def test_bad_client_gets_an_error_or_a_close_in_time_and_nothing_is_accepted(tmp_path: Path, number: int) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        assert await request_status(relay, BAD_REQUESTS[number], 3.0) not in (200, 202)
        assert not relay.accepted
        assert not testbed.endpoint_calls
        assert await request_status(relay, submission("good")) == 202

    run_scenario(tmp_path, scenario)


def test_idle_client_connections_stay_below_the_clients_third_of_descriptors(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = SETTINGS | {
            "limits": SETTINGS["limits"] | {"open-cap": 200}
        }  # none is refused for want of room
        relay = await testbed.start_relay(sockets=120)
        kept = []
        for number in range(60):  # each asks once and stays
            reader, writer = await asyncio.open_connection("127.0.0.1", port_of(relay))
            writer.write(submission(f"m{number}"))
            assert b" 202 " in await reader.readline()
            kept.append(writer)
            assert len(relay.frontend.server.connections) <= 40
        await asyncio.sleep(2.5)  # and none of them for good
        assert not relay.frontend.server.connections
        for writer in kept:
            writer.close()

    run_scenario(tmp_path, scenario)


def test_silent_clients_are_closed_and_an_open_submission_id_is_not_accepted_twice(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay(sockets=128)
        silent = (
            [
                await asyncio.open_connection("127.0.0.1", relay.frontend.server._server.sockets[0].getsockname()[1])
                for _ in range(100)
            ]
            if relay.frontend.server._server
            else []
        )
        testbed.scripted_answers[1] = [None]
        assert await request_status(relay, submission("m")) == 202
        assert await request_status(relay, submission("m", body=b"other")) == 409
        async with asyncio.timeout(3.0):
            for reader, _ in silent:
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""
        for _, writer in silent:
            writer.close()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(("class_", "again"), [("state", True), ("order", True), ("pay", False)])
def test_restart_goes_on_with_accepted_messages(tmp_path: Path, class_: str, again: bool) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        testbed.scripted_answers[1] = [None]
        assert await request_status(first, submission("m", class_)) == 202
        await wait_until(lambda: testbed.endpoint_calls)
        testbed.kill_relay(first, tmp_path / "as killed")
        second = await testbed.start_relay(discovery_address)
        assert await request_status(second, submission("m", class_)) == 409
        await wait_until(lambda: not second.accepted and not second.reporter.pending_notices)
        assert delivered_ids(testbed) == ["m"] * (1 + again)
        assert testbed.notices == ([] if again else [{"ref": "m", "result": "dead"}])

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("class_", ["pay", "state"])
def test_message_has_one_result_and_no_second_effect_after_a_kill_at_any_write(
    tmp_path: Path, class_: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The folder as it is after each write of one message's life is what a kill at that moment leaves."""
    left: list[tuple[Path, int, int]] = []  # the folder, calls that had come, notices posted
    flush, original = Journal.flush, tmp_path / "journal"

    async def scenario(testbed: RelayTestbed) -> None:
        def flushed(kept: Journal) -> bool:
            size, done = kept.size, flush(kept)
            if kept.folder == original and kept.size != size:
                left.append((tmp_path / f"kill-{len(left)}", len(testbed.endpoint_calls), len(testbed.notices)))
                shutil.copytree(kept.folder, left[-1][0])
            return done

        monkeypatch.setattr(Journal, "flush", flushed)
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        testbed.scripted_answers[1] = [b"garbage\r\n\r\n", OK_RESPONSE]
        assert await request_status(first, submission("m", class_)) == 202
        await wait_until(lambda: not first.accepted and not first.reporter.pending_notices)
        await asyncio.sleep(0.05)
        first.close()
        testbed.relays.clear()
        assert len(left) >= 4
        for folder, calls, _ in left:
            testbed.state, before, posted = folder, len(testbed.endpoint_calls), len(testbed.notices)
            again = await testbed.start_relay(discovery_address)
            await wait_until(partial(is_idle, again))
            again.close()
            testbed.relays.clear()
            sent = len(testbed.endpoint_calls) - before
            notified = len(testbed.notices) - posted
            begun = calls > 0 or folder != left[0][0]  # an attempt is in the journal from the second write on
            if class_ == "pay":
                assert sent == (0 if begun else 1)
                assert sent + notified <= 1
            else:
                assert sent <= 1
                assert not notified

    run_scenario(tmp_path, scenario)


def test_reload_under_load_disturbs_no_pending_message_and_no_attempt(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        for number in range(30):
            if number % 10 == 5:
                relay.move_discovery(await testbed.start_discovery())
            testbed.scripted_answers[1] = [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"] if number % 7 == 6 else []
            assert await request_status(relay, submission(f"m{number}", "order")) == 202
        await wait_until(lambda: not relay.accepted and not relay.reporter.pending_notices)
        notified_ids = {notice["ref"] for notice in testbed.notices}
        assert set(delivered_ids(testbed)) == {f"m{number}" for number in range(30)}
        assert not notified_ids
        assert relay.watch.watches_opened == 4

    run_scenario(tmp_path, scenario)


def test_notice_is_posted_until_the_platform_has_it_also_after_a_restart_and_a_move(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        relay = await testbed.start_relay(discovery_address)
        testbed.notice_status = [500, 500, 400, 400, 204]
        testbed.scripted_answers[1] = [b"garbage\r\n\r\n"]
        assert await request_status(relay, submission("p", "pay")) == 202
        await wait_until(lambda: relay.notice_sender.rejected_count == 1 and not relay.reporter.pending_notices)
        testbed.notice_status = [500]
        testbed.scripted_answers[1] = [b"garbage\r\n\r\n"]
        assert await request_status(relay, submission("q", "pay")) == 202
        await wait_until(lambda: relay.notice_sender.failures > 1)
        testbed.stop_relay(relay)
        later = await testbed.start_relay(discovery_address)
        assert list(later.reporter.pending_notices)
        assert not testbed.notices
        testbed.notice_status = [204]
        later.move_discovery(await testbed.start_discovery())
        await wait_until(lambda: not later.reporter.pending_notices)
        assert [notice["ref"] for notice in testbed.notices] == ["q"]

    run_scenario(tmp_path, scenario)


def test_list_changes_reach_the_engine_and_a_reused_address_shares_no_connection(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        assert await request_status(relay, submission("a")) == 202
        await wait_until(lambda: not relay.accepted)
        old = testbed.entries[0]
        testbed.send_list(testbed.watch_writers[-1], [{**old, "state": "DELETED"}, {**old, "id": "s-new"}])
        await wait_until(lambda: relay.directory.id_of("s-new"))
        assert not relay.directory.id_of(old["id"])
        assert await request_status(relay, submission("b")) == 202
        await wait_until(lambda: not relay.accepted)
        assert testbed.endpoint_connections == 2
        testbed.send_list(testbed.watch_writers[-1], [{**old, "id": "s-new", "state": "DRAINING"}])
        await wait_until(lambda: not len(relay.engine.routing_table.index))

    run_scenario(tmp_path, scenario)


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
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.stalled_answers = [said, said]
        relay = await testbed.start_relay()
        await wait_until(lambda: len(relay.directory), 3.0)
        (entry,) = testbed.entries
        line = json.dumps({"version": 50, "full": False, "servers": [{**entry, "state": "DRAINING"}]}).encode()
        testbed.watch_writers[-1].write(b"%x\r\n%s" % (len(line) + 1, line[:-9]))  # the rest never comes
        testbed.entries = [{**entry, "state": "DRAINING"}]
        await wait_until(lambda: not len(relay.engine.routing_table.index), 2.0)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("listed", [1, 7])
def test_client_that_left_before_its_answer_leaves_nothing_behind(tmp_path: Path, listed: int) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(7, "DRAINING")  # known, and nothing may be sent there
        relay = await testbed.start_relay()
        _, writer = await asyncio.open_connection("127.0.0.1", port_of(relay))
        await wait_until(lambda: relay.frontend.server.connections)
        take = relay.frontend.on_submission

        def late(request: server.RequestContext, submitted: Submission) -> None:
            take(request, submitted)
            request.connection.transport.abort()

        relay.frontend.on_submission = late
        writer.write(submission("m", destination=listed))
        await wait_until(lambda: relay.counts.get("unheard"))
        await asyncio.sleep(0.05)
        assert not relay.accepted
        assert not relay.engine.queues.messages
        assert relay.journal.message_bytes == 0
        assert not relay.engine.in_flight
        assert not testbed.endpoint_calls
        assert not testbed.notices
        writer.close()

    run_scenario(tmp_path, scenario)


def test_message_that_can_not_be_journaled_is_rejected(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        file, relay.journal._descriptor = relay.journal._descriptor, -1
        assert await request_status(relay, submission("m")) == 503
        relay.journal._descriptor = file
        await wait_until(lambda: not relay.accepted)
        assert not testbed.endpoint_calls
        assert not testbed.notices
        assert await request_status(relay, submission("n")) == 202

    run_scenario(tmp_path, scenario)


def test_draining_relay_serves_until_shortly_before_its_end(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_answers[1] = [b"HTTP/1.1 429 X\r\nRetry-After: 0.6\r\nContent-Length: 0\r\n\r\n"]
        assert await request_status(relay, submission("m")) == 202
        relay.begin_shutdown()
        assert await request_status(relay, submission("n")) == 202
        kept, writer = await asyncio.open_connection("127.0.0.1", port_of(relay))
        writer.write(submission("o"))
        assert b" 202 " in await kept.readline()
        await wait_until(lambda: not relay.accepted)
        assert sorted(delivered_ids(testbed)) == ["m", "m", "n", "o"]
        async with asyncio.timeout(3.6):
            await relay.shutdown.stopped.wait()
        await kept.read()  # closed in order, with no error
        writer.close()

    run_scenario(tmp_path, scenario)


def test_non_idempotent_message_is_not_sent_again_by_a_connection_that_comes_up_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The fleet's case: a second try was decided inside the key's window, its connection took a second to be made
    (the listener's queue was full), and the request left outside the window."""
    raw = json.loads(json.dumps(SETTINGS))
    raw["classes"][0]["window-ms"] = 1200.0
    raw["limits"]["connect-timeout-ms"] = 3000.0

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = raw
        testbed.scripted_answers[1] = [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"]
        relay = await testbed.start_relay()
        assert await request_status(relay, submission("k", "order")) == 202
        await wait_until(lambda: delivered_ids(testbed) == ["k"])
        delay_connects(monkeypatch, relay, itertools.repeat(1.4))
        await wait_until(lambda: testbed.notices)
        await asyncio.sleep(1.6)
        assert relay.counts["attempts"] == 2  # the second one was decided, and ended without a byte
        assert delivered_ids(testbed) == ["k"]
        assert testbed.notices == [{"ref": "k", "result": "dead"}]

    run_scenario(tmp_path, scenario)


def test_attempt_whose_connection_comes_up_after_a_retry_after_waits_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.scripted_answers[1] = [b"HTTP/1.1 429 X\r\nRetry-After: 0.9\r\nContent-Length: 0\r\n\r\n"]
        relay = await testbed.start_relay()
        delay_connects(monkeypatch, relay, itertools.chain((0.0, 0.3), itertools.repeat(0.0)))
        submitted_at = relay.loop.time()
        assert {
            *await asyncio.gather(request_status(relay, submission("a")), request_status(relay, submission("b")))
        } == {202}
        await wait_until(lambda: relay.counts.get("attempts") == 2 and len(testbed.endpoint_calls) == 1)
        await wait_until(lambda: len(testbed.endpoint_calls) > 1)
        assert relay.loop.time() - submitted_at >= 0.9
        await wait_until(lambda: not relay.accepted)
        assert sorted(delivered_ids(testbed)) == ["a", "a", "b"] or sorted(delivered_ids(testbed)) == ["a", "b", "b"]

    run_scenario(tmp_path, scenario)


def test_list_of_1024_endpoints_is_applied_and_half_of_them_leave(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = {**SETTINGS, "balancers": 1024}
        others = [
            {
                **testbed.entries[0],
                "id": f"o-{number}",
                "cell": 2 + number,
                "addr": f"127.9.{number >> 8}.1:{3000 + number}",
            }
            for number in range(1023)
        ]
        testbed.entries += others
        relay = await testbed.start_relay()
        await asyncio.sleep(0)  # the engine takes the list in its next turn, at the latest one pass of the loop later
        assert len(relay.directory) == len(relay.engine.routing_table.index) == 1024
        assert await request_status(relay, submission("a")) == 202
        await wait_until(lambda: delivered_ids(testbed) == ["a"])
        testbed.send_list(testbed.watch_writers[-1], [{**entry, "state": "DELETED"} for entry in others[:512]])
        await wait_until(lambda: len(relay.engine.routing_table.index) == 512)
        testbed.send_list(testbed.watch_writers[-1], testbed.entries[:1], True)
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
        testbed.send_list(testbed.watch_writers[-1], testbed.entries, True)
        await wait_until(lambda: relay.watch.is_reading_list)
        answered = 0
        while relay.watch.is_reading_list:
            assert await request_status(relay, submission(f"m-{answered}", body=b"")) in (202, 503)
            answered += relay.watch.is_reading_list
        assert answered >= 3
        assert len(relay.directory) == 20_001
        assert len(testbed.watch_writers) == 1

    run_scenario(tmp_path, scenario)


def test_result_that_the_disk_would_not_take_is_not_forgotten_by_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A message whose rejection was notified is not sent any more: its client has submitted it again."""
    write = os.write
    failed: list[bytes] = []

    def full(file: int, data: bytes) -> int:
        if b'"bounced"' in data and not failed:
            failed.append(data)
            raise OSError(errno.ENOSPC, "no room")
        return write(file, data)

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.notice_status = [500]  # the notice stays owed
        testbed.scripted_answers[1] = [b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"] * 9
        relay = await testbed.start_relay()
        monkeypatch.setattr(os, "write", full)
        assert await request_status(relay, submission("m", "pay", left="700m")) == 202
        await wait_until(lambda: relay.reporter.pending_notices)
        await asyncio.sleep(0.05)
        (record,) = journal_replay.replay((testbed.state / "journal").read_bytes())[0].values()
        assert failed
        assert isinstance(record, PendingNotice)
        assert record.notice == Notice("m", NoticeResult.REJECTED)

    run_scenario(tmp_path, scenario)


def test_messages_of_a_class_in_order_go_one_at_a_time_by_the_key_in_their_path(tmp_path: Path) -> None:
    """Each hand-in of such a class was answered 404, so that none of it was served on other deployments."""

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_answers[1] = [None]
        assert await request_status(relay, submission("a1", "charge", path="/api/0009f68e")) == 202
        await wait_until(lambda: delivered_ids(testbed) == ["a1"])
        for submission_id, path in (("a2", "/api/0009f68e"), ("b1", "/api/000df910"), ("c1", "/api")):
            assert await request_status(relay, submission(submission_id, "charge", path=path)) == 202
        await wait_until(lambda: len(testbed.endpoint_calls) == 3)
        await asyncio.sleep(0.1)
        assert sorted(delivered_ids(testbed)) == ["a1", "b1", "c1"]  # a2 waits for its turn
        for path in ("/api/x/y", "/api/", "/apix", "/api/" + "k" * 129):
            assert await request_status(relay, submission("d1", "charge", path=path)) == 404
        assert await request_status(relay, submission("d1", "pay", path="/api/0009f68e")) == 404

    run_scenario(tmp_path, scenario)


def test_next_message_in_order_is_sent_once_the_platform_has_the_notice_of_the_one_before(tmp_path: Path) -> None:
    """Both came out of one turn of the module, and the call overtook the notice."""

    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        testbed.notice_status = [500]
        testbed.scripted_answers[1] = [b"HTTP/1.1 429 X\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n"]
        relay = await testbed.start_relay(discovery_address)
        for submission_id, left in (("a1", "300m"), ("a2", "5000m")):
            assert await request_status(relay, submission(submission_id, "charge", path="/api/a", left=left)) == 202
        await wait_until(lambda: relay.delivery.waiting_for_order and not relay.notice_sender.in_flight)
        await asyncio.sleep(0.1)
        assert delivered_ids(testbed) == ["a1"]
        assert not testbed.notices
        testbed.kill_relay(relay, tmp_path / "as killed")
        again = await testbed.start_relay(discovery_address)  # the notice is owed still, and what waits for it waits on
        await wait_until(lambda: again.delivery.waiting_for_order)
        assert delivered_ids(testbed) == ["a1"]
        testbed.notice_status = [204]
        await wait_until(partial(is_idle, again))
        assert delivered_ids(testbed) == ["a1", "a2"]
        assert testbed.notices == [{"ref": "a1", "result": "bounced"}]

    run_scenario(tmp_path, scenario)


def test_destination_that_takes_batches_gets_no_more_calls_than_max_in_flight(tmp_path: Path) -> None:
    """The messages of a batch went out as calls of their own: more at once than slots, which the platform rejects."""

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = SETTINGS | {"extra": {"call-slots": 2, "per-call": [10]}, "weight-kind": "silent"}
        out: list[int] = [0]

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_http(reader)
                out.append(out[-1] + 1)
                await asyncio.sleep(0.1)
                out.append(out[-1] - 1)
                writer.write(OK_RESPONSE)

        await testbed.add_endpoint(2, serve=slowly)
        relay = await testbed.start_relay()
        assert set(
            await asyncio.gather(*(request_status(relay, submission(f"m{n}", destination=2)) for n in range(6)))
        ) == {202}
        await wait_until(partial(is_idle, relay))
        assert max(out) == 2
        assert relay.counts == {"taken": 6, "attempts": 6, "ended_ok": 6}

    run_scenario(tmp_path, scenario)


def test_scarce_connections_are_reused_for_waiting_messages_and_closed_after_them(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = SETTINGS | {"extra": {"call-slots": 1}}
        made: list[str] = []

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            made.append("")
            while True:
                made[-1] += (await read_http(reader))[1]["x-correlation-id"]
                await asyncio.sleep(0.1)
                writer.write(OK_RESPONSE)

        await testbed.add_endpoint(2, serve=slowly)
        relay = await testbed.start_relay()
        for _ in range(20):
            relay.engine.connections.scarcity[0].record(is_reused=False, is_rejected=True, has_retry_after=False)
        assert set(
            await asyncio.gather(*(request_status(relay, submission(f"m{n}", destination=2)) for n in range(4)))
        ) == {202}
        await wait_until(partial(is_idle, relay))
        assert len(made) == 1
        assert not relay.endpoint_client.pool.idle_count
        assert await request_status(relay, submission("m4", destination=2)) == 202
        await wait_until(partial(is_idle, relay))
        assert len(made) == 2
        assert made[1] == "m4"

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("whole", [True, False])
def test_start_waits_for_a_list_that_is_coming_in_but_not_for_ever(
    tmp_path: Path, whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it has not read yet would be refused as listed nowhere: longer than for a list that does not come."""
    monkeypatch.setattr("linnetstile.platform_relay.recovery.DISCOVERY_GRACE_S", 0.3)
    monkeypatch.setattr("linnetstile.platform_relay.recovery.LONG_LIST_GRACE_S", 4.0 if whole else 0.9)

    async def scenario(testbed: RelayTestbed) -> None:
        entries = [{**testbed.entries[0], "id": f"o-{number}", "cell": number} for number in range(1, 4001)]
        line = json.dumps({"version": 5, "full": True, "servers": entries}).encode() + b"\n"
        list_sent = asyncio.Event()

        async def slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_http(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(line))
            writer.write(line[:200_000])
            for at in range(200_000, len(line) if whole else 300_000, 50_000):
                await asyncio.sleep(0.1 if whole else 0.2)
                writer.write(line[at : at + 50_000])
            if whole:
                writer.write(b"\r\n")
                list_sent.set()
            await reader.read()

        began = asyncio.get_running_loop().time()
        relay = await testbed.start_relay(("127.0.0.1", await testbed.listen(slowly)))
        if whole:
            assert list_sent.is_set()
            assert len(relay.directory) == 4000
        else:
            assert asyncio.get_running_loop().time() - began < 3.0
            assert 1000 < len(relay.directory) < 4000
        assert await request_status(relay, submission("a")) == 202

    run_scenario(tmp_path, scenario)
