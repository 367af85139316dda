"""Destinations that are not in use: what a rule needs of them is kept, the rest costs a row of an index."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from typing import Any

import pytest

from linnetstile.engine import idle_routes
from linnetstile.engine.actions import CancelIfUnsent, Send
from linnetstile.engine.endpoint_index import EndpointIndex
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    GossipReceived,
    GossipSent,
    ListKind,
    Message,
    Outcome,
    RouteFacts,
    RouteKey,
    TimerFired,
)
from linnetstile.engine.message_queues import MessageQueues
from linnetstile.engine.route_state import HealthState, LatencyEstimate, RateState, RouteState
from linnetstile.engine.time_points import NEVER

from ..conftest import IDEMPOTENT, NON_IDEMPOTENT, EngineHarness, make_settings

READY, DRAINING, GONE = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE


def entry(
    identifier: int, destination: int, listing: EndpointStatus = READY, rate: float = 20.0, **more: Any
) -> Endpoint:
    return Endpoint(identifier, destination, listing, advertised_rate=rate, **more)


def changes(*entries: Endpoint) -> EndpointList:
    return EndpointList(ListKind.CHANGES, entries)


@pytest.fixture
def evict_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every route that may be evicted is evicted in its next turn."""
    monkeypatch.setattr(idle_routes, "MAX_RESIDENT_ROUTES", 0)


def let_evict(harness: EngineHarness, destination: int = 1) -> None:
    """Turns pass until the destination is at rest."""
    for _ in range(200):
        if destination not in harness.engine.routes:
            break
        harness.advance(20, 20)
    assert destination not in harness.engine.routes
    assert not harness.engine.endpoints


# -- the index ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(3))
def test_the_index_behaves_like_a_dict(seed: int) -> None:
    rng, index = random.Random(seed), EndpointIndex()
    model: dict[int, Endpoint] = {}
    for _ in range(3000):
        identifier = rng.randrange(1, 400) << (24 if seed else 0)
        if identifier in model and rng.random() < 0.4:
            index.pop(identifier)
            del model[identifier]
        else:
            made = entry(
                identifier,
                rng.randrange(60),
                rate=float(rng.randrange(9)),
                kind=rng.randrange(3),
                zone=rng.randrange(9),
            )
            index.put(made)
            model[identifier] = made
        destination = rng.randrange(60)
        assert index.get(identifier) == model.get(identifier)
        assert len(index) == len(model)
        assert index.endpoints_of(destination) == sorted(
            (e for e in model.values() if e.destination == destination), key=lambda e: e.id
        )
        assert index.destination_count == len({e.destination for e in model.values()})
    assert sorted(index, key=lambda e: e.id) == sorted(model.values(), key=lambda e: e.id)


def test_the_index_keeps_no_object_for_an_endpoint() -> None:
    index = EndpointIndex()
    for identifier in range(20_000):
        index.put(entry(identifier, identifier // 2))
    columns = (
        index.ids,
        index.destination_ids,
        index.kinds,
        index.zones,
        index.rates,
        index.by_id.heads,
        index.by_id.next_row,
        index.by_destination.heads,
        index.by_destination.next_row,
    )
    assert sum(map(sys.getsizeof, columns)) < 64 * 20_000


# -- work --------------------------------------------------------------------------------------------------


def work_of_a_turn(relay: DeliveryEngine, monkeypatch: pytest.MonkeyPatch, now: float, *events: Event) -> int:
    """Rows of the index that a turn looks at, with the routes that it makes and the queues that it looks at."""
    count = 0

    def counted(owner: Any, name: str) -> None:
        inner = getattr(owner, name)

        def outer(*args: Any) -> Any:
            nonlocal count
            count += 1
            return inner(*args)

        monkeypatch.setattr(owner, name, outer)

    for owner, name in (
        (relay.routing_table.index, "_entry"),
        (relay.routing_table.index, "_id_hash"),
        (relay.routing_table.index, "_dest_hash"),
        (relay.routing_table, "_attach"),
        (relay.scheduler, "pick"),
    ):
        counted(owner, name)
    relay.handle(now, list(events))
    monkeypatch.undo()
    return count


@pytest.mark.parametrize(
    "event",
    [
        changes(entry(7, 7, DRAINING)),
        changes(entry(7, 7, GONE)),
        changes(entry(7, 7, rate=9.0)),
        changes(entry(10**6, 7)),
        changes(entry(7, 8)),
        Message(1, 7, IDEMPOTENT, 5000.0),
        TimerFired(0),
    ],
)
def test_a_turn_costs_in_proportion_to_its_event(event: Event, monkeypatch: pytest.MonkeyPatch) -> None:
    work = []
    for size in (64, 4096):
        relay = DeliveryEngine(make_settings(), 1)
        relay.handle(0.0, [changes(*(entry(identifier, identifier) for identifier in range(size)))])
        assert not relay.routes
        assert len(relay.routing_table.index) == size
        work.append(work_of_a_turn(relay, monkeypatch, 10.0, event))
    assert work[1] <= work[0] + 4  # a longer chain of the index


def test_a_turn_beside_queues_looks_at_those_that_are_due(monkeypatch: pytest.MonkeyPatch) -> None:
    work = []
    for size in (8, 1000):
        relay = DeliveryEngine(make_settings(max_pending_messages=10_000), 1)
        relay.handle(0.0, [changes(*(entry(identifier, identifier) for identifier in range(size + 1)))])
        relay.handle(1.0, [Message(number, number, IDEMPOTENT, 1e4) for number in range(size)])
        for step in range(200):  # as many are out as there are slots: each gets a Retry-After
            for identifier, held in list(relay.queues.messages.items()):
                if held.call is not None:
                    relay.handle(
                        2.0 + step,
                        [
                            AttemptEnded(
                                identifier,
                                held.attempts - 1,
                                held.call.endpoint.info.id,
                                Outcome.REJECTED,
                                1.0,
                                False,
                                9000.0,
                            )
                        ],
                    )
            if not relay.in_flight and not relay.queues.due_now:
                break
        assert len(relay.queues.queues) == size
        assert not relay.queues.due_now
        at = relay.queues.due_heap[0][0]
        work.append(work_of_a_turn(relay, monkeypatch, at - 1.0, TimerFired(0)))
    assert work == [0, 0]


def test_due_queues_come_in_the_order_of_their_creation() -> None:
    rng, board = random.Random(5), MessageQueues()
    model: dict[int, float] = {}
    for destination in rng.sample(range(50), 50):
        board.queues[destination], board.creation_order[destination] = {}, len(model)
        model[destination] = 0.0
        board.schedule(destination)
    for now in range(1, 400):
        due = board.due_destinations(float(now))
        assert due == [destination for destination, at in model.items() if at <= now]
        later = [at for at in model.values() if at > now]
        assert board.next_due_at(float(now)) == (min(later) if later else None)
        for destination in rng.sample(list(model), 9):
            model[destination] = rng.choice((0.0, now + rng.randrange(1, 30)))
            board.schedule(destination, model[destination])


def test_resident_routes_are_bounded_and_the_most_recently_used_stay() -> None:
    relay = DeliveryEngine(make_settings(max_pending_messages=10**6), 1)
    relay.handle(
        0.0, [changes(*(entry(identifier, identifier) for identifier in range(3 * idle_routes.MAX_RESIDENT_ROUTES)))]
    )
    for number in range(3 * idle_routes.MAX_RESIDENT_ROUTES):
        now = 1.0 + number
        (send,) = [
            action
            for action in relay.handle(now, [Message(number, number, IDEMPOTENT, 5000.0)])
            if isinstance(action, Send)
        ]
        relay.handle(now + 0.5, [AttemptEnded(number, 0, send.endpoint, Outcome.OK, 0.5, True)])
    assert len(relay.routes) <= idle_routes.MAX_RESIDENT_ROUTES + 2
    assert len(relay.endpoints) == len(relay.routes)
    assert max(relay.routes) == 3 * idle_routes.MAX_RESIDENT_ROUTES - 1
    assert min(relay.routes) >= 2 * idle_routes.MAX_RESIDENT_ROUTES - 2
    assert not relay.routing_table.evicted  # nothing of them binds


def test_1024_destinations_in_use_are_never_evicted() -> None:
    relay = DeliveryEngine(make_settings(max_pending_messages=10**6), 1)
    relay.handle(0.0, [changes(*(entry(identifier, identifier) for identifier in range(1024)))])
    for number in range(1024):
        relay.handle(1.0 + number, [Message(number, number, IDEMPOTENT, 1e5)])
    assert len(relay.routes) == 1024


# -- rules over rest ---------------------------------------------------------------------------------------


def test_a_retry_after_outlasts_eviction(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    identifier = harness.submit(IDEMPOTENT)
    harness.end_attempt(identifier, Outcome.REJECTED, retry_after_ms=2000.0)
    answer = harness.now
    harness.handle(ClientCancelled(identifier))
    let_evict(harness)
    assert harness.engine.routing_table.evicted
    identifier = harness.submit(IDEMPOTENT)
    harness.advance(1950 - (harness.now - answer))
    assert harness.attempts.get(identifier) is None
    harness.advance(3000)
    assert harness.attempts[identifier] == 1
    assert harness.last_send(identifier)[0] >= answer + 2000.0


def failing(outcome: Outcome) -> EngineHarness:
    """A destination that is well, and then answers three messages so."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    for _ in range(3):
        identifier = harness.submit(IDEMPOTENT)
        while not harness.attempts.get(identifier):
            harness.advance(50, 50)
        harness.end_attempt(identifier, outcome)
        harness.handle(ClientCancelled(identifier))
    return harness


@pytest.mark.parametrize("pause", [100.0, 60_000.0])
def test_an_outage_outlasts_eviction_and_its_return_stays_within_the_budget(evict_at_once: None, pause: float) -> None:
    """Out, then quiet for long, then back: its first answer is followed by the part of the cold budget that one has."""
    sent = []
    for rest in (True, False):
        idle_routes.MAX_RESIDENT_ROUTES = 0 if rest else 2048  # the fixture's patch is undone after the test
        harness = failing(Outcome.CONNECT_FAILED)
        assert harness.engine.routing_table.known_routes(1)[-1][0].health.ejected
        harness.advance(pause, 50)
        if rest:
            assert not harness.engine.routes
            assert harness.engine.routing_table.known_routes(1)[-1][0].health.ejected
        back = len(harness.sends)
        for _ in range(40):
            harness.submit(IDEMPOTENT)
            harness.advance(50, 50)
            for out in list(harness.in_flight):
                harness.end_attempt(out)
        sent.append(len(harness.sends) - back)
    assert sent[0] <= sent[1] + 1  # no more than by one that never slept


def test_non_idempotent_messages_wait_for_an_ejected_destination_over_eviction(evict_at_once: None) -> None:
    harness = failing(Outcome.TIMEOUT)
    failed = harness.now
    let_evict(harness)
    identifier = harness.submit(NON_IDEMPOTENT, remaining_ms=20_000.0)
    harness.advance(9900 - (harness.now - failed))
    assert harness.attempts.get(identifier) is None


@pytest.mark.parametrize("listing", [DRAINING, GONE, None])
def test_an_endpoint_removed_while_evicted_is_not_called(evict_at_once: None, listing: EndpointStatus | None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1), (21, 2))
    harness.warm_up()
    let_evict(harness)
    if listing is None:
        harness.handle(EndpointList(ListKind.FULL, (entry(12, 1), entry(21, 2))))
    else:
        harness.handle(changes(entry(11, 1, listing)))
    before = len(harness.sends)
    for _ in range(8):
        identifier = harness.submit()
        harness.advance(100)
        harness.end_attempt(identifier)
    assert {send.endpoint for _, send in harness.sends[before:]} == {12}


@pytest.mark.parametrize("late", [3000.0, 30_000.0])
def test_a_destination_replaced_while_evicted_is_in_slow_start_if_it_comes_back_late(
    evict_at_once: None, late: float
) -> None:
    """As one in use: its last endpoint left, and another comes while that may still be its return."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (21, 2))
    harness.warm_up()
    let_evict(harness)
    harness.handle(changes(entry(11, 1, GONE)))
    let_evict(harness)
    assert harness.engine.routing_table.evicted
    harness.advance(late, 100)
    assert bool(harness.engine.routing_table.evicted) == (late < 10_000.0)  # of what has faded nothing is kept
    harness.handle(changes(entry(12, 1)))
    route = harness.engine.routing_table.open(harness.now, 1)[-1]
    assert (route.health.slow_start_since == harness.now) == (late < 10_000.0)
    assert set(route.endpoints) == {12}


def test_a_change_while_a_call_is_in_flight_meets_its_route(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    identifier = harness.submit(IDEMPOTENT)
    harness.advance(100)
    assert harness.attempts[identifier] == 1
    assert 1 in harness.engine.routes
    actions = harness.handle(changes(entry(11, 1, DRAINING)))
    assert [action.id for action in actions if isinstance(action, CancelIfUnsent)] == [identifier]
    harness.advance(100)
    harness.handle(changes(entry(12, 1)))
    harness.end_attempt(identifier, Outcome.TIMEOUT)
    assert not harness.engine.in_flight
    assert not any(route.calls for route in harness.engine.routing_table.open(harness.now, 1).values())
    harness.advance(3000)
    assert harness.last_send(identifier)[1].endpoint == 12
    assert harness.attempts[identifier] == 2


def test_a_message_for_a_destination_listed_later_goes_then(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((21, 2))
    identifier = harness.submit(IDEMPOTENT, destination=1)
    harness.advance(500)
    assert harness.attempts.get(identifier) is None
    harness.handle(changes(entry(11, 1)))
    assert harness.attempts[identifier] == 1


def test_an_advertised_rate_that_changes_while_evicted_holds_at_the_next_use(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    let_evict(harness)
    harness.handle(changes(entry(11, 1, rate=80.0)))
    assert harness.engine.routing_table.open(harness.now, 1)[-1].rate.fleet_rate == 80.0


def test_gossip_about_an_evicted_destination_binds(evict_at_once: None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.handle(
        GossipReceived((RouteFacts(1, outage_age_ms=500.0, aware_relays=2.0), RouteFacts(99, outage_age_ms=500.0)))
    )
    let_evict(harness)
    harness.handle(GossipSent((RouteKey(1, -1),)))
    route, ends = harness.engine.routing_table.known_routes(1)[-1]
    assert route.health.ejected
    assert route.health.from_gossip
    assert route.health.notified_relays == 3.0
    assert ends == (11,)
    assert 99 not in harness.engine.routes
    assert 99 not in harness.engine.routing_table.evicted


def test_a_new_destination_has_time_though_others_answer_quickly() -> None:
    """What a usual one answers in says nothing of it: its first call was given up after a tenth of the time before."""
    given = []
    for quick in (0, 40):
        harness = EngineHarness()
        harness.list_endpoints((11, 1), (21, 2))
        if quick:
            harness.warm_up(1, quick)
        start, identifier = harness.now, harness.submit(IDEMPOTENT, destination=2, remaining_ms=9000.0)
        given.append(harness.last_send(identifier)[1].timeout_at_ms - start)
    assert given[0] == given[1] >= 2000.0


@pytest.mark.parametrize("used", [True, False])
def test_a_destination_replaced_at_once_while_evicted_has_its_first_call_at_once(used: bool) -> None:
    """What was saved up while it was quiet counts, whether it had a route or not: else the first message would wait for
    the cold budget of one relay of many, longer than its time."""
    harness = EngineHarness(make_settings(relay_count=400))
    harness.list_endpoints((11, 1))
    if used:
        harness.warm_up()
    harness.advance(30_000, 500)
    harness.handle(changes(entry(11, 1, GONE), entry(12, 1)))
    start, idents = harness.now, [harness.submit(IDEMPOTENT) for _ in range(4)]
    harness.advance(20)
    assert [at for at, _ in harness.sends if at >= start] == [start]  # the others wait: it is cold
    assert harness.engine.routes[1][-1].health.slow_start_since == start
    assert harness.attempts.get(idents[0]) == 1


# -- the record --------------------------------------------------------------------------------------------


PACKED = {
    "latency": idle_routes.LATENCY_FIELDS,
    "rate": idle_routes.RATE_FIELDS,
    "health": idle_routes.HEALTH_FIELDS,
    "": idle_routes.ROUTE_FIELDS,
}


def make_route(fleet_rate: float, own_rate: float, tokens: float, **more: Any) -> RouteState:
    latency, rate = LatencyEstimate(120.0, 30.0), RateState(fleet_rate, own_rate, tokens, 90.0)
    return RouteState(latency, rate, HealthState(), **more)


def record_of(route: RouteState, name: str) -> Any:
    """The part of a route that holds the fields of this name; the route itself for ""."""
    return getattr(route, name) if name else route


def test_a_record_restores_each_field_of_a_route() -> None:
    rng = random.Random(2)
    route = make_route(50.5, 0.25, 1.5)
    values: dict[str, Callable[[], Any]] = {
        "d": lambda: rng.uniform(0, 1e9),
        "f": lambda: rng.randrange(1000) / 8,
        "I": lambda: rng.randrange(70_001),
        "?": lambda: rng.random() < 0.5,
    }
    for name, fields in PACKED.items():
        for field, code in fields.items():
            setattr(record_of(route, name), field, values[code]())
    route.latency.answers, route.max_batch, route.kind, route.health.outage_since = 7, 3, 70_000, None
    route.health.ejected, route.health.from_gossip, route.retry_after_until = True, True, 1e12
    route.rate.answer_counter.add(5.0, 100.0)
    routes, bare = idle_routes.restore_routes(idle_routes.pack_routes({4: route}, 10.0, 1.0) or b"")
    assert routes == {4: route}
    for name, fields in PACKED.items():
        for field in fields:
            assert getattr(record_of(routes[4], name), field) == getattr(record_of(route, name), field), field
    assert routes[4].health.outage_since is None
    assert routes[4].rate.answer_counter == route.rate.answer_counter
    assert bare == {4}


def test_a_record_leaves_out_no_field() -> None:
    route = make_route(50.5, 0.25, 1.5)
    stored_apart = {
        "latency": set[str](),
        "rate": {"answer_counter"},
        "health": {"outage_since"},
        "": {"latency", "rate", "health", "endpoints", "calls"},
    }
    for name, fields in PACKED.items():
        assert set(type(record_of(route, name)).__slots__) == set(fields) | stored_apart[name]


def test_a_record_takes_figures_as_large_as_settings_may_state() -> None:
    route = make_route(1e300, 1e300, 1e300, retry_after_until=1e12)
    route.health.failed_at = NEVER
    routes, _ = idle_routes.restore_routes(idle_routes.pack_routes({-1: route}, 10.0, 1.0) or b"")
    assert routes[-1].rate.fleet_rate == 1e300
    assert routes[-1].health.failed_at == NEVER
