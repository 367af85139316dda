"""Eviction of idle routes: which routes stay resident, and that delivery rules still apply to evicted routes."""

from __future__ import annotations

import pytest

from linnetstile.engine import idle_routes
from linnetstile.engine.actions import CancelIfUnsent, Send
from linnetstile.engine.destinations import KnownRoute
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import (
    AttemptEnded,
    ClientCancelled,
    EndpointList,
    EndpointStatus,
    GossipReceived,
    GossipSent,
    ListKind,
    Message,
    Outcome,
    RouteFacts,
    RouteKey,
)
from linnetstile.engine.route_state import RouteState

from ..conftest import IDEMPOTENT, NON_IDEMPOTENT, EngineHarness, make_endpoint, make_list_changes, make_settings

SEED = 1
REPLACEMENT_COUNTS_AS_RECOVERY_MS = 10_000.0


@pytest.fixture
def evict_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the engine evict each route in the next turn in which it may be evicted."""
    monkeypatch.setattr(idle_routes, "MAX_RESIDENT_ROUTES", 0)


def advance_until_evicted(harness: EngineHarness, destination: int = 1) -> None:
    for _ in range(200):
        if destination not in harness.engine.routes:
            break
        harness.advance(20, 20)
    assert destination not in harness.engine.routes
    assert not harness.engine.endpoints


def known_route(harness: EngineHarness, destination: int = 1) -> KnownRoute:
    """Return a route, resident or evicted, without restoring it."""
    return harness.engine.routing_table.known_routes(destination)[-1]


def open_route(harness: EngineHarness, destination: int = 1) -> RouteState:
    """Return a route after bringing it into use, which restores it if it is evicted."""
    return harness.engine.routing_table.open(harness.now, destination)[-1]


# -- which routes stay resident ------------------------------------------------------------------------------


def engine_with_destinations(destination_count: int) -> DeliveryEngine:
    """Return an engine with one endpoint for each destination; its id is the number of the destination."""
    engine = DeliveryEngine(make_settings(max_pending_messages=10**6), SEED)
    engine.handle(0.0, [make_list_changes(*(make_endpoint(number, number) for number in range(destination_count)))])
    return engine


def test_resident_routes_are_bounded_to_the_most_recently_used() -> None:
    destination_count = 3 * idle_routes.MAX_RESIDENT_ROUTES
    engine = engine_with_destinations(destination_count)
    for number in range(destination_count):
        now = 1.0 + number
        actions = engine.handle(now, [Message(number, number, IDEMPOTENT, 5000.0)])
        (send,) = [action for action in actions if isinstance(action, Send)]
        engine.handle(now + 0.5, [AttemptEnded(number, 0, send.endpoint, Outcome.OK, 0.5, is_final=True)])
    assert len(engine.routes) <= idle_routes.MAX_RESIDENT_ROUTES + 2
    assert len(engine.endpoints) == len(engine.routes)
    assert max(engine.routes) == destination_count - 1
    assert min(engine.routes) >= 2 * idle_routes.MAX_RESIDENT_ROUTES - 2
    assert not engine.routing_table.evicted  # no rule needs a record of the evicted routes


def test_1024_destinations_with_pending_messages_are_not_evicted() -> None:
    engine = engine_with_destinations(1024)
    for number in range(1024):
        engine.handle(1.0 + number, [Message(number, number, IDEMPOTENT, 1e5)])
    assert len(engine.routes) == 1024


# -- delivery rules across eviction --------------------------------------------------------------------------


def test_retry_after_still_applies_after_eviction(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    rejected = harness.submit(IDEMPOTENT)
    harness.end_attempt(rejected, Outcome.REJECTED, retry_after_ms=2000.0)
    rejected_at = harness.now
    harness.handle(ClientCancelled(rejected))
    advance_until_evicted(harness)
    assert harness.engine.routing_table.evicted
    later = harness.submit(IDEMPOTENT)
    harness.advance(1950 - (harness.now - rejected_at))
    assert harness.attempts.get(later) is None
    harness.advance(3000)
    assert harness.attempts[later] == 1
    assert harness.last_send(later)[0] >= rejected_at + 2000.0


def harness_after_failures(outcome: Outcome) -> EngineHarness:
    """Return a harness whose destination was healthy, and whose next three messages ended with this outcome."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    for _ in range(3):
        message_id = harness.submit(IDEMPOTENT)
        while not harness.attempts.get(message_id):
            harness.advance(50, 50)
        harness.end_attempt(message_id, outcome)
        harness.handle(ClientCancelled(message_id))
    return harness


def sends_after_an_outage(idle_ms: float, is_evicted: bool) -> int:
    """Return how many calls a recovering destination gets in 2 s, after an outage and an idle time."""
    harness = harness_after_failures(Outcome.CONNECT_FAILED)
    assert known_route(harness).state.health.ejected
    harness.advance(idle_ms, 50)
    if is_evicted:
        assert not harness.engine.routes
        assert known_route(harness).state.health.ejected
    start = len(harness.sends)
    for _ in range(40):
        harness.submit(IDEMPOTENT)
        harness.advance(50, 50)
        harness.end_attempts_in_flight()
    return len(harness.sends) - start


@pytest.mark.parametrize("idle_ms", [100.0, 60_000.0])
def test_outage_persists_across_eviction_and_recovery_stays_within_the_slow_start_budget(
    idle_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After an outage, an evicted route gets at most one call more than a route that was never evicted."""
    monkeypatch.setattr(idle_routes, "MAX_RESIDENT_ROUTES", 0)
    sends_of_evicted = sends_after_an_outage(idle_ms, is_evicted=True)
    monkeypatch.setattr(idle_routes, "MAX_RESIDENT_ROUTES", 2048)
    sends_of_resident = sends_after_an_outage(idle_ms, is_evicted=False)
    assert sends_of_evicted <= sends_of_resident + 1


def test_non_idempotent_message_waits_for_an_ejected_destination_across_eviction(evict_at_once: None) -> None:
    harness = harness_after_failures(Outcome.TIMEOUT)
    failed_at = harness.now
    advance_until_evicted(harness)
    message_id = harness.submit(NON_IDEMPOTENT, remaining_ms=20_000.0)
    harness.advance(9900 - (harness.now - failed_at))
    assert harness.attempts.get(message_id) is None


@pytest.mark.parametrize(
    "event",
    [
        make_list_changes(make_endpoint(11, 1, EndpointStatus.DRAINING)),
        make_list_changes(make_endpoint(11, 1, EndpointStatus.GONE)),
        EndpointList(ListKind.FULL, (make_endpoint(12, 1), make_endpoint(21, 2))),
    ],
    ids=["draining", "gone", "missing in a full list"],
)
def test_endpoint_removed_while_evicted_is_not_called(evict_at_once: None, event: EndpointList) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1), (21, 2))
    harness.warm_up()
    advance_until_evicted(harness)
    harness.handle(event)
    start = len(harness.sends)
    for _ in range(8):
        message_id = harness.submit()
        harness.advance(100)
        harness.end_attempt(message_id)
    assert {send.endpoint for send in harness.sends_since(start)} == {12}


@pytest.mark.parametrize("gap_ms", [3000.0, 30_000.0])
def test_destination_replaced_while_evicted_is_in_slow_start_if_that_may_be_its_recovery(
    evict_at_once: None, gap_ms: float
) -> None:
    """The last endpoint leaves the list and another is listed after a gap: the same rule as for a resident route."""
    is_recovery = gap_ms < REPLACEMENT_COUNTS_AS_RECOVERY_MS
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (21, 2))
    harness.warm_up()
    advance_until_evicted(harness)
    harness.change_endpoints(make_endpoint(11, 1, EndpointStatus.GONE))
    advance_until_evicted(harness)
    assert harness.engine.routing_table.evicted
    harness.advance(gap_ms, 100)
    assert bool(harness.engine.routing_table.evicted) == is_recovery  # an expired record is dropped
    harness.change_endpoints(make_endpoint(12, 1))
    route = open_route(harness)
    assert (route.health.slow_start_since == harness.now) == is_recovery
    assert set(route.endpoints) == {12}


@pytest.mark.parametrize("is_used", [True, False])
def test_destination_replaced_at_once_while_evicted_gets_its_first_call_at_once(is_used: bool) -> None:
    """Tokens accumulated while a destination was idle must count, whether or not it had a route.

    Without them, the first message waits for the slow-start budget of one of many relays, which takes longer than its
    deadline.
    """
    harness = EngineHarness(make_settings(relay_count=400))
    harness.list_endpoints((11, 1))
    if is_used:
        harness.warm_up()
    harness.advance(30_000, 500)
    harness.change_endpoints(make_endpoint(11, 1, EndpointStatus.GONE), make_endpoint(12, 1))
    start = harness.now
    message_ids = [harness.submit(IDEMPOTENT) for _ in range(4)]
    harness.advance(20)
    assert [sent_at for sent_at, _ in harness.sends if sent_at >= start] == [start]  # slow start delays the others
    assert harness.route().health.slow_start_since == start
    assert harness.attempts.get(message_ids[0]) == 1


# -- changes and gossip for evicted routes -------------------------------------------------------------------


def test_change_during_a_call_applies_to_the_route_of_the_call(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_id = harness.submit(IDEMPOTENT)
    harness.advance(100)
    assert harness.attempts[message_id] == 1
    assert 1 in harness.engine.routes
    actions = harness.change_endpoints(make_endpoint(11, 1, EndpointStatus.DRAINING))
    assert [action.id for action in actions if isinstance(action, CancelIfUnsent)] == [message_id]
    harness.advance(100)
    harness.change_endpoints(make_endpoint(12, 1))
    harness.end_attempt(message_id, Outcome.TIMEOUT)
    assert not harness.engine.in_flight
    assert not any(route.calls for route in harness.engine.routing_table.open(harness.now, 1).values())
    harness.advance(3000)
    assert harness.last_send(message_id)[1].endpoint == 12
    assert harness.attempts[message_id] == 2


def test_message_for_an_unlisted_destination_is_sent_once_it_is_listed(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((21, 2))
    message_id = harness.submit(IDEMPOTENT, destination=1)
    harness.advance(500)
    assert harness.attempts.get(message_id) is None
    harness.change_endpoints(make_endpoint(11, 1))
    assert harness.attempts[message_id] == 1


def test_advertised_rate_that_changes_while_evicted_applies_at_the_next_use(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    advance_until_evicted(harness)
    harness.change_endpoints(make_endpoint(11, 1, advertised_rate=80.0))
    assert open_route(harness).rate.fleet_rate == 80.0


def test_gossip_about_an_evicted_destination_applies(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    facts = (RouteFacts(1, outage_age_ms=500.0, aware_relays=2.0), RouteFacts(99, outage_age_ms=500.0))
    harness.handle(GossipReceived(facts))
    advance_until_evicted(harness)
    harness.handle(GossipSent((RouteKey(1, -1),)))
    route, endpoint_ids = known_route(harness)
    assert route.health.ejected
    assert route.health.from_gossip
    assert route.health.notified_relays == 3.0
    assert endpoint_ids == (11,)
    assert 99 not in harness.engine.routes
    assert 99 not in harness.engine.routing_table.evicted
