"""Timeouts of watches, in virtual time and with the longest backoff."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import pytest

from linnetstile.engine.events import EndpointList, EndpointStatus
from linnetstile.engine.watch_policy import ELEMENT_STALL_S, FIRST_ELEMENT_S, MAX_UNANSWERED_WATCHES
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


def run_watch_until(
    loop: VirtualTimeLoop,
    has_ended: Callable[[Watch], bool],
    on_event: Callable[[EndpointList], None] = lambda event: None,
) -> Watch:
    """Run a watch with the longest backoff until a condition holds; return it, closed."""
    watches: list[Watch] = []

    async def run() -> None:
        rng = random.Random(1)
        rng.uniform = lambda low, high: high  # type: ignore[method-assign, assignment]
        watch = Watch(Directory(("k",), ("z",)), ("h", 1), on_event, rng)
        watches.append(watch)
        watch.start()
        while not has_ended(watch):  # noqa: ASYNC110  virtual time advances by timers, such as those of sleeps
            await asyncio.sleep(0.01)
        watch.close()
        await asyncio.sleep(0)

    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    return watches[0]


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

    run_watch_until(loop, lambda watch: bool(change_times), record_change)
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


SLOW_RESPONSE = WATCH_RESPONSE_HEAD + full_list_chunk(ENTRIES)


@pytest.mark.parametrize("delay_s", [0.9, FIRST_ELEMENT_S, 1.02, 1.1, 1.5, 2.0, 3.0])
def test_slow_discovery_is_heard_when_it_answers_its_first_request(delay_s: float) -> None:
    """Guards against a discovery that is never heard, as each request is given up before its answer (review/3)."""
    loop = VirtualTimeLoop([[(delay_s, SLOW_RESPONSE)]] * 10)
    run_watch_until(loop, lambda watch: watch.first_list_read.is_set())
    assert delay_s <= loop.now < delay_s + 0.05


def test_slow_answer_after_a_lost_watch_and_long_silence_is_heard() -> None:
    """While discovery is down, no request is answered; then it answers each one after 4 s, with the longest backoff."""
    silent_requests = 8
    loop = VirtualTimeLoop([NO_RESPONSE] * silent_requests + [[(4.0, SLOW_RESPONSE)]] * 10)
    run_watch_until(loop, lambda watch: watch.first_list_read.is_set())
    first_answered_at = loop.requests[silent_requests][0] + 4.0
    assert first_answered_at <= loop.now < first_answered_at + 0.05


def test_only_the_first_watch_that_is_answered_stays_open() -> None:
    loop = VirtualTimeLoop([[(2.5, SLOW_RESPONSE)], [(1.6, SLOW_RESPONSE)], [(0.6, SLOW_RESPONSE)], NO_RESPONSE])
    open_counts: list[int] = []

    def has_ended(watch: Watch) -> bool:
        if watch.first_list_read.is_set():
            open_counts.append(loop.open_count)
        return len(open_counts) > 5

    watch = run_watch_until(loop, has_ended)
    assert set(open_counts) == {1}
    assert watch.watches_opened == len(loop.requests) == 3
    assert loop.open_count == 0


def test_silent_discovery_gets_a_bounded_number_of_open_requests() -> None:
    loop = VirtualTimeLoop([NO_RESPONSE] * 40)
    open_counts: set[int] = set()

    def has_ended(watch: Watch) -> bool:
        open_counts.add(loop.open_count)
        return loop.now > 20

    run_watch_until(loop, has_ended)
    assert max(open_counts) == MAX_UNANSWERED_WATCHES
    assert loop.open_count == 0


def test_a_request_is_open_at_every_time_of_an_outage() -> None:
    """Guards against calls to an endpoint that is gone when discovery returns between two watches.

    What discovery has at its return counts as known at once, so a request must be there for it to answer.
    """
    first_response: TimedResponse = [(0.0, SLOW_RESPONSE)]
    loop = VirtualTimeLoop([first_response, *[NO_RESPONSE] * 40])
    times_without_request: list[float] = []

    def has_ended(watch: Watch) -> bool:
        if loop.requests[1:] and loop.open_count == 0:
            times_without_request.append(loop.now)
        return loop.now > 20

    run_watch_until(loop, has_ended)
    assert not times_without_request


def test_move_while_an_answer_is_late_leaves_no_watch_at_the_old_address() -> None:
    loop = VirtualTimeLoop([[(1.02, SLOW_RESPONSE)], [(0.5, SLOW_RESPONSE)]])
    moved: list[float] = []

    def has_ended(watch: Watch) -> bool:
        if loop.now > 1.01 and not moved:
            loop.call_at(1.02, watch.move, ("h", 2))  # as the answer of the old address arrives
            moved.append(loop.now)
        return loop.now > 1.7

    watch = run_watch_until(loop, has_ended)
    assert watch.first_list_read.is_set()
    assert loop.open_count == 0
