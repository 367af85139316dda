"""Destinations that are not in use: what a rule needs of them is kept, the rest costs a row of an index."""

from __future__ import annotations

import random
import sys
from typing import Any

import pytest

from linnetstile.decisions import interface as api
from linnetstile.decisions import resting
from linnetstile.decisions.control import Relay
from linnetstile.decisions.state import NEVER, Board, Index, Lane

from ..conftest import SAFE, UNSAFE, Driver, make_settings

READY, DRAINING, GONE = api.Listing.READY, api.Listing.DRAINING, api.Listing.GONE


def entry(ident: int, dest: int, listing: api.Listing = READY, rate: float = 20.0, **more: Any) -> api.Endpoint:
    return api.Endpoint(ident, dest, listing, rate=rate, **more)


def changes(*entries: api.Endpoint) -> api.EndpointList:
    return api.EndpointList(api.ListKind.CHANGES, entries)


@pytest.fixture
def rests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every lane that may rest does so in its next turn."""
    monkeypatch.setattr(resting, "IN_USE", 0)


def quiet(d: Driver, dest: int = 1) -> None:
    """Turns pass until the destination is at rest."""
    for _ in range(200):
        if dest not in d.relay.lanes:
            break
        d.pass_time(20, 20)
    assert dest not in d.relay.lanes and not d.relay.doors


# -- the index ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(3))
def test_index_is_what_a_dict_is(seed: int) -> None:
    rng, index = random.Random(seed), Index()
    model: dict[int, api.Endpoint] = {}
    for _ in range(3000):
        ident = rng.randrange(1, 400) << (24 if seed else 0)
        if ident in model and rng.random() < 0.4:
            index.pop(ident)
            del model[ident]
        else:
            made = entry(
                ident, rng.randrange(60), rate=float(rng.randrange(9)), kind=rng.randrange(3), zone=rng.randrange(9)
            )
            index.put(made)
            model[ident] = made
        dest = rng.randrange(60)
        assert index.get(ident) == model.get(ident) and len(index) == len(model)
        assert index.at(dest) == sorted((e for e in model.values() if e.destination == dest), key=lambda e: e.id)
        assert index.destinations == len({e.destination for e in model.values()})
    assert sorted(index, key=lambda e: e.id) == sorted(model.values(), key=lambda e: e.id)


def test_index_keeps_no_object_for_an_endpoint() -> None:
    index = Index()
    for ident in range(20_000):
        index.put(entry(ident, ident // 2))
    columns = (
        index.ids,
        index.dests,
        index.kinds,
        index.zones,
        index.rates,
        index.by_id.heads,
        index.by_id.after,
        index.by_dest.heads,
        index.by_dest.after,
    )
    assert sum(map(sys.getsizeof, columns)) < 64 * 20_000


# -- work --------------------------------------------------------------------------------------------------


def turns_work(relay: Relay, monkeypatch: pytest.MonkeyPatch, now: float, *events: api.Event) -> int:
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
        (relay.destinations.index, "_entry"),
        (relay.destinations.index, "_id_hash"),
        (relay.destinations.index, "_dest_hash"),
        (relay.destinations, "attach"),
        (relay, "_pick"),
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
        api.Message(1, 7, SAFE, 5000.0),
        api.TimerFired(0),
    ],
)
def test_a_turn_costs_what_it_is_about(event: api.Event, monkeypatch: pytest.MonkeyPatch) -> None:
    work = []
    for size in (64, 4096):
        relay = Relay(make_settings(), 1)
        relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(size)))])
        assert not relay.lanes and len(relay.destinations.index) == size
        work.append(turns_work(relay, monkeypatch, 10.0, event))
    assert work[1] <= work[0] + 4  # a longer chain of the index


def test_a_turn_beside_queues_looks_at_those_that_are_due(monkeypatch: pytest.MonkeyPatch) -> None:
    work = []
    for size in (8, 1000):
        relay = Relay(make_settings(hold=10_000), 1)
        relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(size + 1)))])
        relay.handle(1.0, [api.Message(number, number, SAFE, 1e4) for number in range(size)])
        for step in range(200):  # as many are out as there are slots: all are told to wait
            for ident, held in list(relay.board.held.items()):
                if held.out is not None:
                    relay.handle(
                        2.0 + step,
                        [
                            api.AttemptEnded(
                                ident, held.tries - 1, held.out.door.entry.id, api.Outcome.FULL, 1.0, False, 9000.0
                            )
                        ],
                    )
            if not relay.busy and not relay.board.soon:
                break
        assert len(relay.board.queues) == size and not relay.board.soon
        at = relay.board.alarms[0][0]
        work.append(turns_work(relay, monkeypatch, at - 1.0, api.TimerFired(0)))
    assert work == [0, 0]


def test_board_gives_the_queues_that_are_due_in_the_order_they_were_made() -> None:
    rng, board = random.Random(5), Board()
    model: dict[int, float] = {}
    for dest in rng.sample(range(50), 50):
        board.queues[dest], board.made[dest] = {}, len(model)
        model[dest] = 0.0
        board.look(dest)
    for now in range(1, 400):
        due = board.due(float(now))
        assert due == [dest for dest, at in model.items() if at <= now]
        later = [at for at in model.values() if at > now]
        assert board.next_look(float(now)) == (min(later) if later else None)
        for dest in rng.sample(list(model), 9):
            model[dest] = rng.choice((0.0, now + rng.randrange(1, 30)))
            board.look(dest, model[dest])


def test_at_most_so_many_lanes_are_kept_and_the_latest_used_stay() -> None:
    relay = Relay(make_settings(hold=10**6), 1)
    relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(3 * resting.IN_USE)))])
    for number in range(3 * resting.IN_USE):
        now = 1.0 + number
        (send,) = [
            act for act in relay.handle(now, [api.Message(number, number, SAFE, 5000.0)]) if isinstance(act, api.Send)
        ]
        relay.handle(now + 0.5, [api.AttemptEnded(number, 0, send.endpoint, api.Outcome.OK, 0.5, True)])
    assert len(relay.lanes) <= resting.IN_USE + 2 and len(relay.doors) == len(relay.lanes)
    assert max(relay.lanes) == 3 * resting.IN_USE - 1 and min(relay.lanes) >= 2 * resting.IN_USE - 2
    assert not relay.destinations.rests  # nothing of them binds


def test_1024_destinations_in_use_are_never_laid_to_rest() -> None:
    relay = Relay(make_settings(hold=10**6), 1)
    relay.handle(0.0, [changes(*(entry(ident, ident) for ident in range(1024)))])
    for number in range(1024):
        relay.handle(1.0 + number, [api.Message(number, number, SAFE, 1e5)])
    assert len(relay.lanes) == 1024


# -- rules over rest ---------------------------------------------------------------------------------------


def test_a_told_wait_binds_over_rest(rests: None) -> None:
    d = Driver()
    d.listed((11, 1))
    ident = d.message(SAFE)
    d.answer(ident, api.Outcome.FULL, wait=2000.0)
    told = d.now
    d.feed(api.Withdrawn(ident))
    quiet(d)
    assert d.relay.destinations.rests
    ident = d.message(SAFE)
    d.pass_time(1950 - (d.now - told))
    assert d.tries.get(ident) is None
    d.pass_time(3000)
    assert d.tries[ident] == 1 and d.last(ident)[0] >= told + 2000.0


def failing(outcome: api.Outcome) -> Driver:
    """A destination that is well, and then answers three messages so."""
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    for _ in range(3):
        ident = d.message(SAFE)
        while not d.tries.get(ident):
            d.pass_time(50, 50)
        d.answer(ident, outcome)
        d.feed(api.Withdrawn(ident))
    return d


@pytest.mark.parametrize("pause", (100.0, 60_000.0))
def test_an_outage_is_known_over_rest_and_its_return_stays_within_the_budget(rests: None, pause: float) -> None:
    """Out, then quiet for long, then back: its first answer is followed by the part of the cold budget that one has."""
    sent = []
    for rest in (True, False):
        resting.IN_USE = 0 if rest else 2048  # the fixture's patch is undone after the test
        d = failing(api.Outcome.CONNECT_FAILED)
        assert d.relay.destinations.known(1)[-1][0].sick
        d.pass_time(pause, 50)
        if rest:
            assert not d.relay.lanes and d.relay.destinations.known(1)[-1][0].sick
        back = len(d.sent)
        for _ in range(40):
            d.message(SAFE)
            d.pass_time(50, 50)
            for out in list(d.out):
                d.answer(out)
        sent.append(len(d.sent) - back)
    assert sent[0] <= sent[1] + 1  # no more than by one that never slept


def test_unsafe_messages_wait_over_rest_for_a_destination_that_is_out(rests: None) -> None:
    d = failing(api.Outcome.TIMEOUT)
    failed = d.now
    quiet(d)
    ident = d.message(UNSAFE, left=20_000.0)
    d.pass_time(9900 - (d.now - failed))
    assert d.tries.get(ident) is None


@pytest.mark.parametrize("listing", (DRAINING, GONE, None))
def test_an_endpoint_removed_while_quiet_is_not_called(rests: None, listing: api.Listing | None) -> None:
    d = Driver()
    d.listed((11, 1), (12, 1), (21, 2))
    d.warm_up()
    quiet(d)
    if listing is None:
        d.feed(api.EndpointList(api.ListKind.WHOLE, (entry(12, 1), entry(21, 2))))
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
    assert d.relay.destinations.rests
    d.pass_time(late, 100)
    assert bool(d.relay.destinations.rests) == (late < 10_000.0)  # of what has faded nothing is kept
    d.feed(changes(entry(12, 1)))
    lane = d.relay.destinations.open(d.now, 1)[-1]
    assert (lane.cold_since == d.now) == (late < 10_000.0) and set(lane.doors) == {12}


def test_a_change_while_a_call_is_out_meets_its_lane(rests: None) -> None:
    d = Driver()
    d.listed((11, 1))
    ident = d.message(SAFE)
    d.pass_time(100)
    assert d.tries[ident] == 1 and 1 in d.relay.lanes
    acts = d.feed(changes(entry(11, 1, DRAINING)))
    assert [act.id for act in acts if isinstance(act, api.Recall)] == [ident]
    d.pass_time(100)
    d.feed(changes(entry(12, 1)))
    d.answer(ident, api.Outcome.TIMEOUT)
    assert not d.relay.busy and not any(lane.out for lane in d.relay.destinations.open(d.now, 1).values())
    d.pass_time(3000)
    assert d.last(ident)[1].endpoint == 12 and d.tries[ident] == 2


def test_a_message_for_what_is_listed_later_goes_then(rests: None) -> None:
    d = Driver()
    d.listed((21, 2))
    ident = d.message(SAFE, dest=1)
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
    assert d.relay.destinations.open(d.now, 1)[-1].total == 80.0


def test_what_was_learned_of_one_at_rest_binds(rests: None) -> None:
    d = Driver()
    d.listed((11, 1))
    d.feed(api.Learned((api.LaneFacts(1, out_ms=500.0, knowers=2.0), api.LaneFacts(99, out_ms=500.0))))
    quiet(d)
    d.feed(api.Shared(((1, -1),)))
    lane, ends = d.relay.destinations.known(1)[-1]
    assert lane.sick and lane.hearsay and lane.told_on == 3.0 and ends == (11,)
    assert 99 not in d.relay.lanes and 99 not in d.relay.destinations.rests


def test_one_that_comes_into_use_has_time_though_others_answer_quickly() -> None:
    """What a usual one answers in says nothing of it: its first call was given up after a tenth of the time before."""
    given = []
    for quick in (0, 40):
        d = Driver()
        d.listed((11, 1), (21, 2))
        if quick:
            d.warm_up(1, quick)
        start, ident = d.now, d.message(SAFE, dest=2, left=9000.0)
        given.append(d.last(ident)[1].give_up_at_ms - start)
    assert given[0] == given[1] >= 2000.0


@pytest.mark.parametrize("used", (True, False))
def test_a_destination_replaced_at_once_while_quiet_has_its_first_call_at_once(used: bool) -> None:
    """What was saved up while it was quiet counts, whether it had a lane or not: else the first message would wait for
    the cold budget of one relay of many, longer than its time."""
    d = Driver(make_settings(relays=400))
    d.listed((11, 1))
    if used:
        d.warm_up()
    d.pass_time(30_000, 500)
    d.feed(changes(entry(11, 1, GONE), entry(12, 1)))
    start, idents = d.now, [d.message(SAFE) for _ in range(4)]
    d.pass_time(20)
    assert [at for at, _ in d.sent if at >= start] == [start]  # the others wait: it is cold
    assert d.relay.lanes[1][-1].cold_since == start and d.tries.get(idents[0]) == 1


# -- the record --------------------------------------------------------------------------------------------


def test_a_record_is_what_the_lane_was() -> None:
    rng = random.Random(2)
    lane = Lane(120.0, 30.0, 50.5, 0.25, 1.5, 90.0)
    for name in resting.WHOLE:
        setattr(lane, name, rng.uniform(0, 1e9))
    for name in resting.SHORT:
        setattr(lane, name, rng.randrange(1000) / 8)
    lane.answers, lane.room, lane.kind, lane.bad_since = 7, 3, 70_000, None
    lane.sick, lane.hearsay, lane.wait_until = True, True, 1e12
    lane.flow.add(5.0, 100.0)
    lanes, bare = resting.wake(resting.keep({4: lane}, 10.0, 1.0, 1.0) or b"")
    assert lanes == {4: lane} or all(getattr(lanes[4], name) == getattr(lane, name) for name in resting.KEPT)
    assert lanes[4].bad_since is None and lanes[4].flow == lane.flow and bare == {4}
    unknown = {field for field in Lane.__slots__} - {*resting.KEPT, "bad_since", "flow", "doors", "out"}
    assert not unknown, "a field that a record leaves out"


def test_a_record_takes_figures_as_large_as_settings_may_state() -> None:
    lane = Lane(120.0, 30.0, 1e300, 1e300, 1e300, 90.0, wait_until=1e12, failed_at=NEVER)
    lanes, _ = resting.wake(resting.keep({-1: lane}, 10.0, 1.0, 1.0) or b"")
    assert lanes[-1].total == 1e300 and lanes[-1].failed_at == NEVER
