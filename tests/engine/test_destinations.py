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
    TimerFired,
)
from linnetstile.engine.message_queues import MessageQueues
from linnetstile.engine.route_state import HealthState, LatencyEstimate, RateState, RouteState
from linnetstile.engine.time_points import NEVER

from ..conftest import SAFE, UNSAFE, Driver, make_settings

READY, DRAINING, GONE = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE


def entry(ident: int, destination: int, listing: EndpointStatus = READY, rate: float = 20.0, **more: Any) -> Endpoint:
    return Endpoint(ident, destination, listing, advertised_rate=rate, **more)


def changes(*entries: Endpoint) -> EndpointList:
    return EndpointList(ListKind.CHANGES, entries)


@pytest.fixture
def rests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every lane that may rest does so in its next turn."""
    monkeypatch.setattr(idle_routes, "MAX_RESIDENT_ROUTES", 0)


def quiet(d: Driver, destination: int = 1) -> None:
    """Turns pass until the destination is at rest."""
    for _ in range(200):
        if destination not in d.relay.routes:
            break
        d.pass_time(20, 20)
    assert destination not in d.relay.routes and not d.relay.endpoints


# -- the index ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(3))
def test_index_is_what_a_dict_is(seed: int) -> None:
    rng, index = random.Random(seed), EndpointIndex()
    model: dict[int, Endpoint] = {}
    for _ in range(3000):
        ident = rng.randrange(1, 400) << (24 if seed else 0)
        if ident in model and rng.random() < 0.4:
            index.pop(ident)
            del model[ident]
        else:
            made = entry(
                ident,
                rng.randrange(60),
                rate=float(rng.randrange(9)),
                kind=rng.randrange(3),
                zone=rng.randrange(9),
            )
            index.put(made)
            model[ident] = made
        destination = rng.randrange(60)
        assert index.get(ident) == model.get(ident) and len(index) == len(model)
        assert index.endpoints_of(destination) == sorted(
            (e for e in model.values() if e.destination == destination), key=lambda e: e.id
        )
        assert index.destination_count == len({e.destination for e in model.values()})
    assert sorted(index, key=lambda e: e.id) == sorted(model.values(), key=lambda e: e.id)


def test_index_keeps_no_object_for_an_endpoint() -> None:
    index = EndpointIndex()
    for ident in range(20_000):
        index.put(entry(ident, ident // 2))
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


def turns_work(relay: DeliveryEngine, monkeypatch: pytest.MonkeyPatch, now: float, *events: Event) -> int:
    """Rows of the index that a turn looks at, with the lanes that it makes and the queues that it looks at."""
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
        Message(1, 7, SAFE, 5000.0),
        TimerFired(0),
    ],
)
def test_a_turn_costs_what_it_is_about(event: Event, monkeypatch: pytest.MonkeyPatch) -> None:
    work = []
    for size in (64, 4096):
        relay = DeliveryEngine(make_settings(), 1)
        relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(size)))])
        assert not relay.routes and len(relay.routing_table.index) == size
        work.append(turns_work(relay, monkeypatch, 10.0, event))
    assert work[1] <= work[0] + 4  # a longer chain of the index


def test_a_turn_beside_queues_looks_at_those_that_are_due(monkeypatch: pytest.MonkeyPatch) -> None:
    work = []
    for size in (8, 1000):
        relay = DeliveryEngine(make_settings(max_pending_messages=10_000), 1)
        relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(size + 1)))])
        relay.handle(1.0, [Message(number, number, SAFE, 1e4) for number in range(size)])
        for step in range(200):  # as many are out as there are slots: all are told to wait
            for ident, held in list(relay.queues.messages.items()):
                if held.call is not None:
                    relay.handle(
                        2.0 + step,
                        [
                            AttemptEnded(
                                ident,
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
        assert len(relay.queues.queues) == size and not relay.queues.due_now
        at = relay.queues.due_heap[0][0]
        work.append(turns_work(relay, monkeypatch, at - 1.0, TimerFired(0)))
    assert work == [0, 0]


def test_board_gives_the_queues_that_are_due_in_the_order_they_were_made() -> None:
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


def test_at_most_so_many_lanes_are_kept_and_the_latest_used_stay() -> None:
    relay = DeliveryEngine(make_settings(max_pending_messages=10**6), 1)
    relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(3 * idle_routes.MAX_RESIDENT_ROUTES)))])
    for number in range(3 * idle_routes.MAX_RESIDENT_ROUTES):
        now = 1.0 + number
        (send,) = [act for act in relay.handle(now, [Message(number, number, SAFE, 5000.0)]) if isinstance(act, Send)]
        relay.handle(now + 0.5, [AttemptEnded(number, 0, send.endpoint, Outcome.OK, 0.5, True)])
    assert len(relay.routes) <= idle_routes.MAX_RESIDENT_ROUTES + 2 and len(relay.endpoints) == len(relay.routes)
    assert (
        max(relay.routes) == 3 * idle_routes.MAX_RESIDENT_ROUTES - 1
        and min(relay.routes) >= 2 * idle_routes.MAX_RESIDENT_ROUTES - 2
    )
    assert not relay.routing_table.evicted  # nothing of them binds


def test_1024_destinations_in_use_are_never_laid_to_rest() -> None:
    relay = DeliveryEngine(make_settings(max_pending_messages=10**6), 1)
    relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(1024)))])
    for number in range(1024):
        relay.handle(1.0 + number, [Message(number, number, SAFE, 1e5)])
    assert len(relay.routes) == 1024


# -- rules over rest ---------------------------------------------------------------------------------------


def test_a_told_wait_binds_over_rest(rests: None) -> None:
    d = Driver()
    d.listed((11, 1))
    ident = d.message(SAFE)
    d.answer(ident, Outcome.REJECTED, wait=2000.0)
    told = d.now
    d.feed(ClientCancelled(ident))
    quiet(d)
    assert d.relay.routing_table.evicted
    ident = d.message(SAFE)
    d.pass_time(1950 - (d.now - told))
    assert d.tries.get(ident) is None
    d.pass_time(3000)
    assert d.tries[ident] == 1 and d.last(ident)[0] >= told + 2000.0


def failing(outcome: Outcome) -> Driver:
    """A destination that is well, and then answers three messages so."""
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    for _ in range(3):
        ident = d.message(SAFE)
        while not d.tries.get(ident):
            d.pass_time(50, 50)
        d.answer(ident, outcome)
        d.feed(ClientCancelled(ident))
    return d


@pytest.mark.parametrize("pause", (100.0, 60_000.0))
def test_an_outage_is_known_over_rest_and_its_return_stays_within_the_budget(rests: None, pause: float) -> None:
    """Out, then quiet for long, then back: its first answer is followed by the part of the cold budget that one has."""
    sent = []
    for rest in (True, False):
        idle_routes.MAX_RESIDENT_ROUTES = 0 if rest else 2048  # the fixture's patch is undone after the test
        d = failing(Outcome.CONNECT_FAILED)
        assert d.relay.routing_table.known_routes(1)[-1][0].health.ejected
        d.pass_time(pause, 50)
        if rest:
            assert not d.relay.routes and d.relay.routing_table.known_routes(1)[-1][0].health.ejected
        back = len(d.sent)
        for _ in range(40):
            d.message(SAFE)
            d.pass_time(50, 50)
            for out in list(d.out):
                d.answer(out)
        sent.append(len(d.sent) - back)
    assert sent[0] <= sent[1] + 1  # no more than by one that never slept


def test_unsafe_messages_wait_over_rest_for_a_destination_that_is_out(rests: None) -> None:
    d = failing(Outcome.TIMEOUT)
    failed = d.now
    quiet(d)
    ident = d.message(UNSAFE, left=20_000.0)
    d.pass_time(9900 - (d.now - failed))
    assert d.tries.get(ident) is None


@pytest.mark.parametrize("listing", (DRAINING, GONE, None))
def test_an_endpoint_removed_while_quiet_is_not_called(rests: None, listing: EndpointStatus | None) -> None:
    d = Driver()
    d.listed((11, 1), (12, 1), (21, 2))
    d.warm_up()
    quiet(d)
    if listing is None:
        d.feed(EndpointList(ListKind.FULL, (entry(12, 1), entry(21, 2))))
    else:
        d.feed(changes(entry(11, 1, listing)))
    before = len(d.sent)
    for _ in range(8):
        ident = d.message()
        d.pass_time(100)
        d.answer(ident)
    assert {send.endpoint for _, send in d.sent[before:]} == {12}


@pytest.mark.parametrize("late", (3000.0, 30_000.0))
def test_a_destination_replaced_while_quiet_is_cold_if_it_comes_back_late(rests: None, late: float) -> None:
    """As one in use: its last endpoint left, and another comes while that may still be its return."""
    d = Driver()
    d.listed((11, 1), (21, 2))
    d.warm_up()
    quiet(d)
    d.feed(changes(entry(11, 1, GONE)))
    quiet(d)
    assert d.relay.routing_table.evicted
    d.pass_time(late, 100)
    assert bool(d.relay.routing_table.evicted) == (late < 10_000.0)  # of what has faded nothing is kept
    d.feed(changes(entry(12, 1)))
    route = d.relay.routing_table.open(d.now, 1)[-1]
    assert (route.health.slow_start_since == d.now) == (late < 10_000.0) and set(route.endpoints) == {12}


def test_a_change_while_a_call_is_out_meets_its_lane(rests: None) -> None:
    d = Driver()
    d.listed((11, 1))
    ident = d.message(SAFE)
    d.pass_time(100)
    assert d.tries[ident] == 1 and 1 in d.relay.routes
    actions = d.feed(changes(entry(11, 1, DRAINING)))
    assert [act.id for act in actions if isinstance(act, CancelIfUnsent)] == [ident]
    d.pass_time(100)
    d.feed(changes(entry(12, 1)))
    d.answer(ident, Outcome.TIMEOUT)
    assert not d.relay.in_flight and not any(route.calls for route in d.relay.routing_table.open(d.now, 1).values())
    d.pass_time(3000)
    assert d.last(ident)[1].endpoint == 12 and d.tries[ident] == 2


def test_a_message_for_what_is_listed_later_goes_then(rests: None) -> None:
    d = Driver()
    d.listed((21, 2))
    ident = d.message(SAFE, destination=1)
    d.pass_time(500)
    assert d.tries.get(ident) is None
    d.feed(changes(entry(11, 1)))
    assert d.tries[ident] == 1


def test_a_listed_rate_that_changes_while_quiet_is_in_force_when_it_is_used(rests: None) -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    quiet(d)
    d.feed(changes(entry(11, 1, rate=80.0)))
    assert d.relay.routing_table.open(d.now, 1)[-1].rate.fleet_rate == 80.0


def test_what_was_learned_of_one_at_rest_binds(rests: None) -> None:
    d = Driver()
    d.listed((11, 1))
    d.feed(GossipReceived((RouteFacts(1, outage_age_ms=500.0, aware_relays=2.0), RouteFacts(99, outage_age_ms=500.0))))
    quiet(d)
    d.feed(GossipSent(((1, -1),)))
    route, ends = d.relay.routing_table.known_routes(1)[-1]
    assert route.health.ejected and route.health.from_gossip and route.health.notified_relays == 3.0 and ends == (11,)
    assert 99 not in d.relay.routes and 99 not in d.relay.routing_table.evicted


def test_one_that_comes_into_use_has_time_though_others_answer_quickly() -> None:
    """What a usual one answers in says nothing of it: its first call was given up after a tenth of the time before."""
    given = []
    for quick in (0, 40):
        d = Driver()
        d.listed((11, 1), (21, 2))
        if quick:
            d.warm_up(1, quick)
        start, ident = d.now, d.message(SAFE, destination=2, left=9000.0)
        given.append(d.last(ident)[1].timeout_at_ms - start)
    assert given[0] == given[1] >= 2000.0


@pytest.mark.parametrize("used", (True, False))
def test_a_destination_replaced_at_once_while_quiet_has_its_first_call_at_once(used: bool) -> None:
    """What was saved up while it was quiet counts, whether it had a lane or not: else the first message would wait for
    the cold budget of one relay of many, longer than its time."""
    d = Driver(make_settings(relay_count=400))
    d.listed((11, 1))
    if used:
        d.warm_up()
    d.pass_time(30_000, 500)
    d.feed(changes(entry(11, 1, GONE), entry(12, 1)))
    start, idents = d.now, [d.message(SAFE) for _ in range(4)]
    d.pass_time(20)
    assert [at for at, _ in d.sent if at >= start] == [start]  # the others wait: it is cold
    assert d.relay.routes[1][-1].health.slow_start_since == start and d.tries.get(idents[0]) == 1


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
