"""A turn of the engine that raises an exception: every message still has one end, and the relay goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile.engine.scheduler import Scheduler
from linnetstile.platform_relay.delivery import Delivery
from linnetstile.platform_relay.relay import PlatformRelay

from .http_messages import OK_RESPONSE, SERVER_ERROR_RESPONSE, request_status, submission
from .relay_testbed import RelayTestbed, delivered_ids, run_scenario, wait_until, wait_until_idle, with_state

DRAINING = 7  # a known destination to which nothing may be sent
Failure = Callable[[pytest.MonkeyPatch, Callable[[], bool]], None]


def fail_in_the_engine(monkeypatch: pytest.MonkeyPatch, is_failing: Callable[[], bool]) -> None:
    """Let each turn raise an exception in the engine while `is_failing` says so."""
    dispatch = Scheduler.dispatch

    def failing_dispatch(self: Scheduler, now: float, actions: list[Any]) -> None:
        if is_failing():
            raise ZeroDivisionError("a decision")
        dispatch(self, now, actions)

    monkeypatch.setattr(Scheduler, "dispatch", failing_dispatch)


def fail_in_the_relay(monkeypatch: pytest.MonkeyPatch, is_failing: Callable[[], bool]) -> None:
    """Let each turn raise an exception as its actions are carried out while `is_failing` says so."""
    send_all = Delivery.send_all

    def failing_send_all(self: Delivery, sends: Any) -> None:
        if is_failing():
            raise KeyError("an action")
        send_all(self, sends)

    monkeypatch.setattr(Delivery, "send_all", failing_send_all)


def fail_after_the_journal(monkeypatch: pytest.MonkeyPatch, is_failing: Callable[[], bool]) -> None:
    """Let each call raise an exception when its attempt is in the journal already while `is_failing` says so."""
    call = Delivery._call

    def failing_call(self: Delivery, started: Any, unix_ms: float) -> None:
        if is_failing():
            raise KeyError("a call")
        call(self, started, unix_ms)

    monkeypatch.setattr(Delivery, "_call", failing_call)


FAILURES: dict[str, Failure] = {"engine": fail_in_the_engine, "relay": fail_in_the_relay}


def fail_next_turn(monkeypatch: pytest.MonkeyPatch, failure: Failure) -> None:
    """Let the next turn raise an exception."""
    failures = [True]
    failure(monkeypatch, lambda: bool(failures and failures.pop()))


def make_relay_loop_quiet(relay: PlatformRelay) -> None:
    relay.loop.set_exception_handler(lambda _, context: None)


@pytest.mark.parametrize("failure", FAILURES)
def test_failed_turn_costs_no_accepted_message_and_no_later_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failure: str
) -> None:
    # Guards against lost messages and a relay without answers: one exception lost all events and actions of its turn.
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(DRAINING, "DRAINING")
        relay = await testbed.start_relay()
        make_relay_loop_quiet(relay)
        assert await request_status(relay, submission("waiting", destination=DRAINING, time_left="1500m")) == 202
        fail_next_turn(monkeypatch, FAILURES[failure])
        statuses = [await request_status(relay, submission("unanswered"), 0.4)]
        statuses.append(await request_status(relay, submission("later"), 0.4))
        assert statuses[0] in (202, 503)
        assert statuses[1] == 202
        assert relay.counts["engine_restarts"] == 1
        await wait_until_idle(relay)
        delivered = delivered_ids(testbed)
        assert delivered.count("later") == 1
        assert delivered.count("unanswered") == (statuses[0] == 202)
        assert [notice["ref"] for notice in testbed.notices] == ["waiting"]
        assert not relay.engine.in_flight

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("class_name", ["state", "order", "pay", "charge"])
@pytest.mark.parametrize("answer", [OK_RESPONSE, SERVER_ERROR_RESPONSE])
def test_call_in_flight_at_a_failed_turn_is_never_doubled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, class_name: str, answer: bytes
) -> None:
    # Guards against a second attempt beside the one in flight, of which the restarted engine does not know.
    async def scenario(testbed: RelayTestbed) -> None:
        open_calls: list[int] = []
        most_at_once = 0
        answers = [answer]
        may_answer = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal most_at_once
            while True:
                await reader.readuntil(b"\r\n\r\nhello")
                open_calls.append(1)
                most_at_once = max(most_at_once, sum(open_calls))
                aborted = asyncio.create_task(reader.read(1))
                answered = asyncio.create_task(may_answer.wait())
                await asyncio.wait([aborted, answered], return_when=asyncio.FIRST_COMPLETED)
                open_calls.append(-1)
                if aborted.done():
                    return
                aborted.cancel()
                await asyncio.sleep(0)
                writer.write(answers.pop() if answers else OK_RESPONSE)

        await testbed.add_endpoint(5, serve=serve)
        relay = await testbed.start_relay()
        make_relay_loop_quiet(relay)
        path = "/api/key" if class_name == "charge" else "/api"
        message = submission("m", class_name, destination=5, path=path)
        assert await request_status(relay, message) == 202
        await wait_until(lambda: open_calls)
        fail_next_turn(monkeypatch, fail_in_the_engine)
        await request_status(relay, submission("other"))
        await wait_until(lambda: relay.counts["engine_restarts"])
        await asyncio.sleep(0.2)
        may_answer.set()
        await wait_until_idle(relay)
        assert most_at_once == 1
        is_unclear = answer is SERVER_ERROR_RESPONSE or class_name == "charge"
        is_final = not is_unclear or class_name in ("pay", "charge")
        assert open_calls.count(1) == (1 if is_final else 2)
        results = [(notice["ref"], notice["result"]) for notice in testbed.notices]
        assert results == ([("m", "dead")] if is_unclear and is_final else [])

    run_scenario(tmp_path, scenario)


def test_message_whose_attempt_was_journaled_but_not_made_is_treated_as_unclear(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        make_relay_loop_quiet(relay)
        fail_next_turn(monkeypatch, fail_after_the_journal)
        assert await request_status(relay, submission("m", "pay")) == 202
        await wait_until(lambda: testbed.notices)
        assert [notice["result"] for notice in testbed.notices] == ["dead"]
        assert not testbed.endpoint_calls

    run_scenario(tmp_path, scenario)


def test_message_that_fails_each_turn_ends_and_others_are_accepted_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a relay that fails for as long as the message that is the cause is pending.
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(DRAINING, "DRAINING")
        relay = await testbed.start_relay()
        make_relay_loop_quiet(relay)
        assert await request_status(relay, submission("cause", destination=DRAINING)) == 202
        is_pending: Callable[[], bool] = lambda: DRAINING in relay.engine.queues.queues  # noqa: E731
        fail_in_the_engine(monkeypatch, is_pending)
        await request_status(relay, submission("first"))
        await wait_until(lambda: testbed.notices)
        assert testbed.notices == [{"ref": "cause", "result": "bounced"}]
        await wait_until(lambda: relay.engine.endpoints or len(relay.engine.routing_table.index))
        assert await request_status(relay, submission("later"), 0.4) == 202
        await wait_until_idle(relay)
        assert "later" in delivered_ids(testbed)
        assert relay.counts["engine_restarts"] == 2

    run_scenario(tmp_path, scenario)


def test_restarted_engine_knows_of_the_list_and_of_an_ongoing_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        make_relay_loop_quiet(relay)
        testbed.send_list(with_state(testbed.entries, "DRAINING"))
        await wait_until(lambda: not len(relay.engine.routing_table.index))
        await testbed.add_endpoint(2)
        testbed.send_list(testbed.entries[1:])
        await wait_until(lambda: len(relay.engine.routing_table.index))
        relay.begin_shutdown()
        fail_next_turn(monkeypatch, fail_in_the_engine)
        relay.engine_loop.schedule_turn()
        await wait_until(lambda: relay.counts["engine_restarts"])
        await wait_until(lambda: len(relay.engine.routing_table.index))
        assert [endpoint.destination for endpoint in relay.engine.routing_table.index] == [2]
        assert relay.engine.retry_policy.shutdown_at is not None

    run_scenario(tmp_path, scenario)
