"""Timeouts of watches, in virtual time and with the longest backoff."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest

from linnetstile.engine.events import EndpointList, EndpointStatus
from linnetstile.engine.watch_policy import ELEMENT_STALL_S
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.discovery import Watch

from .http_messages import WATCH_RESPONSE_HEAD, chunk
from .list_factories import LONG_LIST_SIZE, list_entry
from .virtual_time import NO_RESPONSE, TimedResponse, VirtualTimeLoop

CHANGE_DUE_S = 6.0
"""Discovery treats a change as known to the relay after this time, whether it has arrived or not."""


def full_list_chunk(entries: list[dict[str, Any]], version: int = 41) -> bytes:
    return chunk(json.dumps({"version": version, "full": True, "servers": entries}).encode() + b"\n")


ENTRIES = [list_entry(f"s-{number}") for number in range(1000)]
CHANGED_ENTRIES = [*ENTRIES[1:], list_entry("s-0", "DRAINING")]


@pytest.mark.parametrize(
    ("stalled_responses", "resumes"),
    [
        ([NO_RESPONSE], [True, False]),
        ([NO_RESPONSE, NO_RESPONSE], [True, False, False]),
        ([[(0.0, WATCH_RESPONSE_HEAD)]], [True, False]),
        ([[(0.99, WATCH_RESPONSE_HEAD)]], [True, False]),
        ([[(0.49, WATCH_RESPONSE_HEAD[:9])], NO_RESPONSE], [True, False, False]),
        ([[(0.99, WATCH_RESPONSE_HEAD + b"5")]], [True, False]),
        ([[(0.99, WATCH_RESPONSE_HEAD), (2.59, b"\r")]], [True, False]),
    ],
)
def test_change_arrives_before_it_is_due_after_the_worst_sequence_of_stalled_watches(
    stalled_responses: list[TimedResponse], resumes: list[bool]
) -> None:
    """The first watch delivers a long list and stalls. The change that follows must arrive on a later watch in time.

    Args:
        stalled_responses: The incomplete responses of the next watches.
        resumes: For each watch after the first one, whether it resumes from the known version.
    """
    first_response = [(0.0, WATCH_RESPONSE_HEAD + full_list_chunk(ENTRIES))]
    last_response = [(0.0, WATCH_RESPONSE_HEAD + full_list_chunk(CHANGED_ENTRIES, version=42))]
    loop = VirtualTimeLoop([first_response, *stalled_responses, last_response])
    change_times: list[float] = []

    def record_change(event: EndpointList) -> None:
        change_times.extend(loop.now for endpoint in event.endpoints if endpoint.status is EndpointStatus.DRAINING)

    async def run() -> None:
        rng = random.Random(1)
        rng.uniform = lambda low, high: high  # type: ignore[method-assign, assignment]  # the longest backoff
        watch = Watch(Directory(("k",), ("z",)), ("h", 1), record_change, rng)
        watch.start()
        while not change_times:  # noqa: ASYNC110  virtual time advances by timers, such as those of sleeps
            await asyncio.sleep(0.01)
        watch.close()

    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    assert change_times[0] < CHANGE_DUE_S
    assert ["since=41" in path for _, path in loop.requests[1:]] == resumes
    assert loop.requests[1][0] < 2.7


def test_slow_long_list_is_awaited_but_a_stalled_one_is_not() -> None:
    response = WATCH_RESPONSE_HEAD + full_list_chunk([list_entry(f"s-{number}") for number in range(LONG_LIST_SIZE)])
    pieces = [response[start : start + 24_000] for start in range(0, len(response), 24_000)]
    slow_response: TimedResponse = [(0.3 * number, piece) for number, piece in enumerate(pieces)]
    assert slow_response[-1][0] > 6
    stalled_response = slow_response[:-1]
    loop = VirtualTimeLoop([stalled_response, slow_response])
    directory = Directory(("k",), ("z",))

    async def run() -> None:
        watch = Watch(directory, ("h", 1), lambda event: None, random.Random(1))
        watch.start()
        await watch.first_list_read.wait()
        watch.close()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    (first_request_at, _), (second_request_at, _) = loop.requests
    assert first_request_at == 0
    last_byte_at = stalled_response[-1][0]
    assert last_byte_at + ELEMENT_STALL_S <= second_request_at < last_byte_at + ELEMENT_STALL_S + 0.2
    assert len(directory) == LONG_LIST_SIZE
    assert directory.version_guard.newest_version == 41
