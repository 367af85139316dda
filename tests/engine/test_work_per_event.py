"""The engine's work depends on the events of a turn and what is due, not on the number of endpoints or queues."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import pytest

from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import (
    AttemptEnded,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    ListKind,
    Message,
    Outcome,
    TimerFired,
)

from ..conftest import IDEMPOTENT, make_endpoint, make_list_changes, make_settings

SEED = 1


def list_one_endpoint_per_destination(destination_count: int) -> EndpointList:
    """Return the event that lists one endpoint for each destination; its id is the number of the destination."""
    return make_list_changes(*(make_endpoint(number, number) for number in range(destination_count)))


def count_work(engine: DeliveryEngine, monkeypatch: pytest.MonkeyPatch, now: float, *events: Event) -> int:
    """Return how many index rows and queues a turn reads plus how many endpoints it attaches to routes."""
    count = 0

    def counting(method: Callable[..., Any]) -> Callable[..., Any]:
        def counted_method(*args: Any) -> Any:
            nonlocal count
            count += 1
            return method(*args)

        return counted_method

    for owner, name in (
        (engine.routing_table.index, "_endpoint_at"),
        (engine.routing_table.index, "_id_hash"),
        (engine.routing_table.index, "_destination_hash"),
        (engine.routing_table, "_attach"),
        (engine.scheduler, "pick_candidate"),
    ):
        monkeypatch.setattr(owner, name, counting(getattr(owner, name)))
    engine.handle(now, list(events))
    monkeypatch.undo()
    return count


@pytest.mark.parametrize(
    "event",
    [
        make_list_changes(make_endpoint(7, 7, EndpointStatus.DRAINING)),
        make_list_changes(make_endpoint(7, 7, EndpointStatus.GONE)),
        make_list_changes(make_endpoint(7, 7, advertised_rate=9.0)),
        make_list_changes(make_endpoint(10**6, 7)),
        make_list_changes(make_endpoint(7, 8)),
        Message(1, 7, IDEMPOTENT, 5000.0),
        TimerFired(0),
    ],
)
def test_work_of_an_event_is_independent_of_the_number_of_listed_endpoints(
    event: Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    work = []
    for destination_count in (64, 4096):
        engine = DeliveryEngine(make_settings(), SEED)
        engine.handle(0.0, [list_one_endpoint_per_destination(destination_count)])
        assert not engine.routes
        assert len(engine.routing_table.index) == destination_count
        work.append(count_work(engine, monkeypatch, 10.0, event))
    assert work[1] <= work[0] + 4  # a chain of the larger index may be longer


def reject_in_flight(engine: DeliveryEngine, now: float, retry_after_ms: float) -> None:
    """End each attempt that is in flight as rejected with a Retry-After."""
    for message_id, message in list(engine.queues.messages.items()):
        if message.call is not None:
            rejection = AttemptEnded(
                message_id,
                message.attempts - 1,
                message.call.endpoint.listed.id,
                Outcome.REJECTED,
                latency_ms=1.0,
                retry_after_ms=retry_after_ms,
            )
            engine.handle(now, [rejection])


def engine_with_throttled_queues(queue_count: int) -> DeliveryEngine:
    """Return an engine with one queued message for each destination, after each has sent a Retry-After of 9 s."""
    engine = DeliveryEngine(make_settings(max_pending_messages=10_000), SEED)
    engine.handle(0.0, [list_one_endpoint_per_destination(queue_count + 1)])
    engine.handle(1.0, [Message(number, number, IDEMPOTENT, 1e4) for number in range(queue_count)])
    for step in range(200):  # each step rejects only as many messages as there are slots
        reject_in_flight(engine, 2.0 + step, retry_after_ms=9000.0)
        if not engine.in_flight and not engine.queues.due_now:
            break
    return engine


@pytest.mark.parametrize("queue_count", [8, 1000])
def test_queues_that_are_not_due_cost_no_work(queue_count: int, monkeypatch: pytest.MonkeyPatch) -> None:
    engine = engine_with_throttled_queues(queue_count)
    assert len(engine.queues.queues) == queue_count
    assert not engine.queues.due_now
    first_due_at = engine.queues.due_heap[0][0]
    assert count_work(engine, monkeypatch, first_due_at - 1.0, TimerFired(0)) == 0


def seconds_to_apply_a_full_list(engine: DeliveryEngine, now: float, first_id: int) -> float:
    """Return how long it takes to apply a full list of the endpoints `first_id` to 1023, two for each destination."""
    entries: tuple[Endpoint, ...] = tuple(
        make_endpoint(endpoint_id, endpoint_id // 2) for endpoint_id in range(first_id, 1024)
    )
    started_at = time.perf_counter()
    engine.handle(now, [EndpointList(ListKind.FULL, entries)])
    return time.perf_counter() - started_at


def test_list_that_removes_half_of_1024_endpoints_costs_less_than_ten_that_add_them() -> None:
    """Removing an endpoint must not cost a pass over all destinations.

    Such passes once made the removal of 512 endpoints cost as much as 50 lists that add endpoints. Both times are
    measured in the same run, so that their ratio does not depend on the speed of the machine.
    """
    engines = [DeliveryEngine(make_settings(relay_count=1024), SEED) for _ in range(3)]
    adding_s = min(seconds_to_apply_a_full_list(engine, 0.0, 0) for engine in engines)
    removing_s = min(seconds_to_apply_a_full_list(engine, 10.0, 512) for engine in engines)
    assert removing_s < 10 * adding_s
    assert all(len(engine.routing_table.index) == 512 for engine in engines)
