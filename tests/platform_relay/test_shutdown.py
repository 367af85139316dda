"""Graceful shutdown: which requests are accepted, rejected and answered in each phase."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from linnetstile.engine.graceful_shutdown import EXIT_MS, STOP_ACCEPTING_MS, STOP_ADMITTING_MS
from linnetstile.net import server
from linnetstile.platform_relay.relay import PlatformRelay
from linnetstile.platform_relay.submission import Submission

from .http_messages import connect, connect_and_submit, read_status, request_status, submission, too_many_requests
from .relay_testbed import RelayTestbed, delivered_ids, run_scenario, wait_until, wait_until_idle


def test_draining_relay_serves_until_shortly_before_its_exit(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_responses[1] = [too_many_requests(retry_after_s=0.6)]
        assert await request_status(relay, submission("m")) == 202
        relay.begin_shutdown()
        assert await request_status(relay, submission("n")) == 202
        reader, writer = await connect(relay)
        writer.write(submission("o"))
        assert b" 202 " in await reader.readline()
        await wait_until(lambda: not relay.accepted)
        assert sorted(delivered_ids(testbed)) == ["m", "m", "n", "o"]
        async with asyncio.timeout(3.6):
            await relay.shutdown.stopped.wait()
        await reader.read()  # raises if the connection was reset
        writer.close()

    run_scenario(tmp_path, scenario)


def test_client_whose_connection_was_closed_as_it_wrote_is_answered_on_a_new_one(tmp_path: Path) -> None:
    """Guards against a relay that no longer listens when such a client submits again on a new connection."""

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        reader, writer = await connect_and_submit(relay)
        relay.frontend.stop_admitting()
        assert await reader.read() == b""  # closed without a reset
        assert await request_status(relay, submission("again")) == 503
        assert not relay.accepted or "again" not in relay.accepted.submission_ids
        writer.close()

    run_scenario(tmp_path, scenario)


def phases_of_clients(relay: PlatformRelay) -> list[str]:
    """Return what each client's connection is waiting for, sorted."""
    return sorted(connection.phase for connection in relay.frontend.server.connections)


def test_request_that_is_incomplete_at_the_exit_is_rejected(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        clients = [await connect_and_submit(relay, f"m{number}") for number in range(3)]
        request = submission("incomplete", body=b"x" * 1000)
        for (_, writer), sent_bytes in zip(clients, (20, len(request) - 1, 0), strict=True):
            writer.write(request[:sent_bytes])
        await wait_until(lambda: phases_of_clients(relay) == ["body", "head", "idle"])
        relay.frontend.stop_admitting()
        relay.frontend.stop_accepting()
        assert [await read_status(reader) for reader, _ in clients[:2]] == [503, 503]
        idle_reader, _ = clients[2]
        assert await idle_reader.read() == b""
        assert "incomplete" not in relay.accepted.submission_ids
        for _, writer in clients:
            writer.close()

    run_scenario(tmp_path, scenario)


def test_exit_waits_for_requests_that_have_arrived_and_are_not_read(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        reader, writer = await connect_and_submit(relay)
        await wait_until_idle(relay)
        relay.shutdown.started_at = relay.loop.time() - EXIT_MS / 1000  # the exit is due
        writer.write(submission("last"))
        relay.shutdown._advance()
        assert not relay.shutdown.stopped.is_set()
        assert await read_status(reader) == 503
        async with asyncio.timeout(1):
            await relay.shutdown.stopped.wait()
        writer.close()

    run_scenario(tmp_path, scenario)


def test_signal_during_the_start_counts_from_its_arrival_and_a_second_one_changes_nothing(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        relay.begin_shutdown(relay.loop.time() - (EXIT_MS - STOP_ADMITTING_MS) / 1000)
        relay.begin_shutdown()
        assert await request_status(relay, submission("m")) == 503  # no message is admitted any more
        assert relay.engine.retry_policy.shutdown_at < relay.engine_loop.now_ms + STOP_ADMITTING_MS
        async with asyncio.timeout(STOP_ADMITTING_MS / 1000 + 0.2):
            await relay.shutdown.stopped.wait()
        assert STOP_ACCEPTING_MS < STOP_ADMITTING_MS

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(("closes_after", "statuses"), [(0, [503, 503, 503]), (1, [202, 503, 503])])
def test_requests_that_arrived_together_are_all_answered_at_the_end_of_admission(
    tmp_path: Path, closes_after: int, statuses: list[int]
) -> None:
    """Guards against requests that were read and got no answer, as the response to the first one closed."""

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        reader, writer = await connect_and_submit(relay)
        on_submission = relay.frontend.on_submission
        submitted: list[str] = []

        def submit_and_stop_admitting(request: server.RequestContext, read: Submission) -> None:
            if len(submitted) == closes_after:
                relay.frontend.stop_admitting()
            submitted.append(read.submission_id)
            on_submission(request, read)
            if len(submitted) == closes_after:
                relay.frontend.stop_admitting()

        relay.frontend.on_submission = submit_and_stop_admitting
        writer.write(b"".join(submission(f"m{number}") for number in range(3)))
        responses = (await reader.read()).split(b"HTTP/1.1 ")[1:]  # until the relay closes the connection
        assert [int(response[:3]) for response in responses] == statuses
        assert [b"Connection: close" in response for response in responses] == [False, False, True]
        writer.close()

    run_scenario(tmp_path, scenario)
