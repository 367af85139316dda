"""Classes whose messages are delivered in order, by the ordering key in the request's path."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .http_messages import request_status, submission, too_many_requests
from .relay_testbed import RelayTestbed, delivered_ids, run_scenario, wait_until, wait_until_idle


def test_messages_with_the_same_key_are_sent_one_at_a_time(tmp_path: Path) -> None:
    """Guards against answering every submission of an ordered class 404."""

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_responses[1] = [None]
        assert await request_status(relay, submission("a1", "charge", path="/api/0009f68e")) == 202
        await wait_until(lambda: delivered_ids(testbed) == ["a1"])
        for submission_id, path in (("a2", "/api/0009f68e"), ("b1", "/api/000df910"), ("c1", "/api")):
            assert await request_status(relay, submission(submission_id, "charge", path=path)) == 202
        await wait_until(lambda: len(testbed.endpoint_calls) == 3)
        await asyncio.sleep(0.1)
        assert sorted(delivered_ids(testbed)) == ["a1", "b1", "c1"]  # a2 waits for a1

    run_scenario(tmp_path, scenario)


def test_path_with_a_malformed_key_or_of_a_class_without_order_is_not_found(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        for path in ("/api/x/y", "/api/", "/apix", "/api/" + "k" * 129):
            assert await request_status(relay, submission("d1", "charge", path=path)) == 404
        assert await request_status(relay, submission("d1", "pay", path="/api/0009f68e")) == 404

    run_scenario(tmp_path, scenario)


def test_next_message_is_sent_only_after_the_platform_accepted_the_notice_of_the_previous_one(tmp_path: Path) -> None:
    """Guards against a call that overtakes the notice if both result from one turn of the engine."""

    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        testbed.notice_statuses = [500]
        testbed.scripted_responses[1] = [too_many_requests(retry_after_s=0.4)]
        first = await testbed.start_relay(discovery_address)
        for submission_id, time_left in (("a1", "300m"), ("a2", "5000m")):
            request = submission(submission_id, "charge", path="/api/a", time_left=time_left)
            assert await request_status(first, request) == 202
        await wait_until(lambda: first.delivery.waiting_for_order and not first.notice_sender.in_flight)
        await asyncio.sleep(0.1)
        assert delivered_ids(testbed) == ["a1"]
        assert not testbed.notices
        testbed.kill_relay(first, tmp_path / "as killed")
        second = await testbed.start_relay(discovery_address)  # the notice is still pending, and a2 still waits for it
        await wait_until(lambda: second.delivery.waiting_for_order)
        assert delivered_ids(testbed) == ["a1"]
        testbed.notice_statuses = [204]
        await wait_until_idle(second)
        assert delivered_ids(testbed) == ["a1", "a2"]
        assert testbed.notices == [{"ref": "a1", "result": "bounced"}]

    run_scenario(tmp_path, scenario)
