"""Connection scarcity: which rejections show it, and its effect on idle connections, endpoints and the rate."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import pytest

from linnetstile.engine.actions import Action, CloseIdle, Send
from linnetstile.engine.connection_scarcity import SCARCITY_EXIT, ConnectionScarcity
from linnetstile.engine.events import AttemptEnded, EndpointList, ListKind, Outcome
from linnetstile.engine.settings import DestinationKind

from ..conftest import IDEMPOTENT, EngineHarness, make_endpoint, make_settings


class CallRecord(NamedTuple):
    """Arguments of `ConnectionScarcity.record` for one call."""

    is_reused: bool
    is_rejected: bool = False
    has_retry_after: bool = False


NEW, NEW_REJECTED = CallRecord(is_reused=False), CallRecord(is_reused=False, is_rejected=True)
NEW_RETRY_AFTER = CallRecord(is_reused=False, is_rejected=True, has_retry_after=True)
REUSED, REUSED_REJECTED = CallRecord(is_reused=True), CallRecord(is_reused=True, is_rejected=True)


def record_calls(scarcity: ConnectionScarcity, calls: Iterable[CallRecord]) -> None:
    for call in calls:
        scarcity.record(call.is_reused, call.is_rejected, call.has_retry_after)


def is_scarce_after(*calls: CallRecord) -> bool:
    scarcity = ConnectionScarcity()
    record_calls(scarcity, calls)
    return scarcity.is_scarce


def make_scarce(harness: EngineHarness) -> None:
    """Record enough rejections on new connections of the first kind to make its connections scarce."""
    record_calls(harness.engine.connections.scarcity[0], [NEW_REJECTED] * 20)


def test_rejections_on_new_connections_alone_show_scarcity() -> None:
    assert not is_scarce_after(NEW_REJECTED)  # a single rejection shows nothing
    assert is_scarce_after(*[NEW_REJECTED] * 2)
    assert is_scarce_after(NEW, *[REUSED] * 5, *[NEW_REJECTED] * 4)


def test_rejections_on_reused_connections_or_with_a_retry_after_show_no_scarcity() -> None:
    """Such rejections are due to a rate limit or a full queue of the destination."""
    assert not is_scarce_after(*[REUSED_REJECTED] * 3, *[NEW_REJECTED] * 10)
    assert not is_scarce_after(*[NEW_RETRY_AFTER] * 20)
    assert not is_scarce_after(*[NEW, NEW_REJECTED] * 20)


def test_scarcity_ends_once_few_new_connections_are_rejected_and_does_not_flap() -> None:
    scarcity = ConnectionScarcity()
    record_calls(scarcity, [NEW_REJECTED] * 20)
    assert scarcity.is_scarce
    record_calls(scarcity, [NEW] * 10)
    assert scarcity.is_scarce  # below the entry threshold, but still above the exit threshold
    assert scarcity.new.ratio > SCARCITY_EXIT
    record_calls(scarcity, [NEW] * 60)
    assert not scarcity.is_scarce
    record_calls(scarcity, [NEW_REJECTED])
    assert not scarcity.is_scarce


def submit_and_end(
    harness: EngineHarness, destination: int, outcome: Outcome = Outcome.OK, connection_reused: bool = False
) -> list[Action]:
    """Submit a message, end it with the outcome of its first attempt, and return the actions of that outcome."""
    message_id = harness.submit(IDEMPOTENT, destination)
    for _ in range(400):
        if message_id in harness.in_flight:
            break
        harness.advance(20)
    send = harness.in_flight.pop(message_id)
    return harness.handle(
        AttemptEnded(message_id, 0, send.endpoint, outcome, 100.0, is_final=True, connection_reused=connection_reused)
    )


def test_idle_connections_are_closed_where_only_new_ones_are_rejected() -> None:
    """190 relays blocked each other: each kept a connection to endpoints that accept eight, in use 50 ms in 700."""
    harness = EngineHarness(make_settings(kinds=(DestinationKind("few"), DestinationKind("many"))))
    harness.list_endpoints((11, 1), (12, 2))
    harness.change_endpoints(make_endpoint(13, 3, kind=1))
    assert not any(isinstance(action, CloseIdle) for action in submit_and_end(harness, 1))
    for _ in range(3):
        submit_and_end(harness, 2, Outcome.REJECTED)
    assert CloseIdle(11) in submit_and_end(harness, 1, connection_reused=True)
    assert not any(isinstance(action, CloseIdle) for action in submit_and_end(harness, 3))  # kind "many"


def test_connection_that_the_next_call_reuses_at_once_is_not_closed() -> None:
    harness = EngineHarness(make_settings(max_in_flight=1))
    harness.list_endpoints((11, 1), (12, 2))
    harness.warm_up(1)
    for _ in range(20):
        submit_and_end(harness, 2, Outcome.REJECTED)
    first, second = harness.submit(IDEMPOTENT, 1), harness.submit(IDEMPOTENT, 1)
    harness.advance(100)
    actions = harness.end_attempt(first)
    assert any(isinstance(action, Send) and action.id == second for action in actions)
    assert not any(isinstance(action, CloseIdle) for action in actions)
    assert CloseIdle(11) in harness.end_attempt(second)


def test_relays_do_not_all_use_the_same_one_of_two_equal_endpoints() -> None:
    """If every relay prefers the lower id of two equal endpoints, hundreds of relays all call the same endpoint."""
    first_endpoints = []
    for seed in range(40):
        harness = EngineHarness(seed=seed)
        harness.list_endpoints((11, 1), (12, 1))
        harness.submit(IDEMPOTENT)
        harness.advance(20)
        first_endpoints.append(harness.sends[0][1].endpoint)
    assert 10 <= first_endpoints.count(11) <= 30


@pytest.mark.parametrize(
    ("is_scarce", "endpoints"),
    [
        (True, [11, 12, 11]),
        (False, [11, 11, 11]),  # a rate limit holds for the whole destination: the fee would gain nothing
    ],
)
def test_endpoint_that_rejects_for_scarcity_is_avoided_for_some_time(is_scarce: bool, endpoints: list[int]) -> None:
    harness = EngineHarness(make_settings(route_fees=(0.0, 0.02)))
    harness.handle(EndpointList(ListKind.CACHED, (make_endpoint(11, 1, zone=0), make_endpoint(12, 1, zone=1))))
    if is_scarce:
        make_scarce(harness)
    submit_and_end(harness, 1, Outcome.REJECTED)
    submit_and_end(harness, 1)
    harness.advance(5000)
    submit_and_end(harness, 1)
    assert [send.endpoint for _, send in harness.sends] == endpoints


def rate_after_a_rejection(
    is_scarce: bool = True, idle_ms: float = 0.0, connection_reused: bool = False, retry_after_ms: float = 0.0
) -> float:
    """Return the rate of a route after a rejection, as a fraction of its rate before."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up(1)
    if is_scarce:
        make_scarce(harness)
    harness.advance(idle_ms, 50)
    message_id = harness.submit(IDEMPOTENT)
    harness.advance(20)
    route = harness.route()
    rate_before = route.rate.own_rate
    harness.end_attempt(
        message_id,
        Outcome.REJECTED,
        latency_ms=5.0,
        retry_after_ms=retry_after_ms,
        connection_reused=connection_reused,
    )
    return route.rate.own_rate / rate_before


def test_rejection_for_scarcity_does_not_lower_the_rate() -> None:
    """Rejections on new connections alone (1,636, none on reused ones) once lowered rates for 4 s or more."""
    assert rate_after_a_rejection() == 1.0


def test_rejection_without_signs_of_scarcity_lowers_the_rate() -> None:
    assert rate_after_a_rejection(is_scarce=False) < 1.0  # the rejection is due to a rate limit
    assert rate_after_a_rejection(connection_reused=True) < 1.0
    assert rate_after_a_rejection(retry_after_ms=500.0) < 1.0
    assert rate_after_a_rejection(idle_ms=4000.0) < 1.0  # the destination may be down, as no answer is recent


@pytest.mark.parametrize("one_connect_fails", [False, True])
def test_idle_connections_are_closed_where_connects_of_that_kind_fail(one_connect_fails: bool) -> None:
    """Idle connections of many relays use up the connections of endpoints that accept few."""
    harness = EngineHarness(make_settings(relay_count=100))
    harness.list_endpoints((11, 1), (12, 2), (13, 3))
    for number in range(6):
        harness.submit(destination=1 + number % 3)
        harness.advance(50)
        harness.end_attempts_in_flight(Outcome.CONNECT_FAILED if one_connect_fails and number == 2 else Outcome.OK)
        harness.advance(4000, 500)
    closed = {action.endpoint for _, action in harness.other_actions if isinstance(action, CloseIdle)}
    assert bool(closed) == one_connect_fails
    assert closed <= {11, 12, 13}
