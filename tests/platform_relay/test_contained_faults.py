"""An unexpected exception ends the work that raised it, and nothing else: notices, lists and attempts go on."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile.codec import http1
from linnetstile.platform_relay import directory, endpoint_client
from linnetstile.platform_relay.discovery import Watch

from .http_messages import BUSY_RESPONSE, request_status, submission
from .relay_testbed import RelayTestbed, delivered_ids, run_scenario, wait_until, wait_until_idle, with_state


def raise_once(original: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that raises an exception in its first call, and then does what the original does."""
    calls: list[object] = []

    def function(*arguments: Any, **keywords: Any) -> Any:
        calls.append(arguments)
        if len(calls) == 1:
            raise KeyError("state that is half changed")
        return original(*arguments, **keywords)

    return function


def test_notice_whose_post_raises_an_exception_is_posted_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against notices that are never posted again: the batch stayed in flight.
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(7, "DRAINING")
        relay = await testbed.start_relay()
        monkeypatch.setattr(http1, "encode_request", raise_once(http1.encode_request))
        assert await request_status(relay, submission("m", destination=7, time_left="200m")) == 202
        await wait_until(lambda: testbed.notices)
        assert testbed.notices[0]["ref"] == "m"

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("failing", ["the wait for a watch", "a list"])
def test_watch_that_raises_an_exception_is_followed_by_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: str
) -> None:
    # Guards against a relay that follows discovery no longer: the task that opens watches ended.
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        if failing == "a list":
            update = raise_once(directory.Directory.begin_update)
            monkeypatch.setattr(directory.Directory, "begin_update", lambda *arguments: update(*arguments))
        else:
            monkeypatch.setattr(Watch, "_deadline", staticmethod(raise_once(Watch._deadline)))
            testbed.watch_writers[0].close()
            await wait_until(lambda: len(testbed.watch_writers) > 1)
        watches = len(testbed.watch_writers)
        testbed.send_list(with_state(testbed.entries, "DRAINING"))
        testbed.watch_writers[-1].close()
        await wait_until(lambda: len(testbed.watch_writers) > watches)
        testbed.send_list(with_state(testbed.entries, "DELETED"))
        await wait_until(lambda: not len(relay.directory))

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("response", "calls"), [(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1), (BUSY_RESPONSE, 2)]
)
def test_attempt_whose_answer_raises_an_exception_has_an_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, response: bytes, calls: int
) -> None:
    # Guards against messages without an end, and slots that are never free again: the engine heard of no outcome.
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_responses[1] = [response]
        reader = raise_once(endpoint_client.parse_load_report)
        monkeypatch.setattr(endpoint_client, "parse_load_report", reader)
        assert await request_status(relay, submission("m")) == 202
        await wait_until_idle(relay)
        assert delivered_ids(testbed) == ["m"] * calls
        assert not testbed.notices
        assert not relay.engine.in_flight

    run_scenario(tmp_path, scenario)
