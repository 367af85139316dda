"""Decisions that the platform's relay asks for: what its answers prove, resuming, closed connections, leaving."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.decisions import interface as api
from linnetstile.decisions.bounds import bounds
from linnetstile.decisions.control import Relay
from linnetstile.decisions.evidence import Seen, Sight, endpoint_proof
from linnetstile.decisions.interface import Outcome
from linnetstile.decisions.leaving import DEAF_MS, END_MS, LAST_MS, SPARE_MS, leave
from linnetstile.decisions.state import NEVER

from ..conftest import CLASSES, KEYED, SAFE, UNSAFE, Driver, make_settings


@pytest.mark.parametrize(
    ("seen", "claimed", "no_slot", "outcome", "finished"),
    [
        (Seen(Sight.ANSWERED, 200), 0, False, Outcome.OK, True),
        (Seen(Sight.GARBLED), 200, False, Outcome.OK, True),
        (Seen(Sight.TIMED_OUT), 200, False, Outcome.OK, True),
        (Seen(Sight.LOST), 200, False, Outcome.OK, True),
        (Seen(Sight.ANSWERED, 200, late=True), 200, False, Outcome.TIMEOUT, False),  # its end is owed
        (Seen(Sight.TIMED_OUT, late=True), 200, False, Outcome.TIMEOUT, False),
        (Seen(Sight.ANSWERED, 503, late=True), 0, False, Outcome.FULL, False),
        (Seen(Sight.GARBLED), 503, False, Outcome.RESET, False),
        (Seen(Sight.ANSWERED, 500), 0, False, Outcome.ERROR, False),
        (Seen(Sight.ANSWERED, 429, 300.0), 0, False, Outcome.FULL, False),
        (Seen(Sight.ANSWERED, 503), 0, False, Outcome.FULL, False),
        (Seen(Sight.ANSWERED, 503), 0, True, Outcome.NOT_SENT, False),
        (Seen(Sight.ANSWERED, 504), 0, False, Outcome.NOT_SENT, False),
        (Seen(Sight.ANSWERED, 410), 0, False, Outcome.NOT_SENT, True),
        (Seen(Sight.CUT), 0, False, Outcome.CONNECT_FAILED, False),
    ],
)
def test_each_row_of_the_platforms_page(
    seen: Seen, claimed: int, no_slot: bool, outcome: Outcome, finished: bool
) -> None:
    found = endpoint_proof(seen, claimed, no_slot)
    assert (found.outcome, found.finished, found.no_slot) == (outcome, finished, no_slot)


@given(st.integers(64, 65536), st.floats(0.01, 1e3), st.integers(1, 64))
def test_bounds_leave_room_for_calls_and_the_journal_twice(sockets: int, disk_mb: float, slots: int) -> None:
    found = bounds(sockets, disk_mb * 1e6, slots)
    assert 0 < found.clients < sockets / 3 and found.idle >= slots
    assert found.live + found.log <= disk_mb * 1e6


def resumed(driver: Driver, class_: int, tries: int, risk_ms: float | None, left: float = 5000.0) -> None:
    driver.ids += 1
    driver.tries[driver.ids] = tries
    driver.feed(api.Resumed(api.Message(driver.ids, 1, class_, left), 5000.0, tries, risk_ms))


@pytest.mark.parametrize(
    ("class_", "tries", "risk_ms", "sent", "ended"),
    [
        (SAFE, 1, 500.0, True, None),
        (KEYED, 1, 500.0, True, None),
        (KEYED, 1, CLASSES[KEYED].key_window_ms, False, api.Fail),  # the destination may have forgotten its key
        (UNSAFE, 1, 500.0, False, api.Fail),
        (UNSAFE, 1, None, True, None),  # its one attempt proved no effect
        (UNSAFE, 0, None, True, None),
        (SAFE, 5, 500.0, False, api.Refuse),  # had all its attempts
        (SAFE, 5, None, False, api.Refuse),
    ],
)
def test_restart_goes_by_class_window_and_attempts(
    class_: int, tries: int, risk_ms: float | None, sent: bool, ended: type | None
) -> None:
    driver = Driver()
    driver.listed((1, 1))
    resumed(driver, class_, tries, risk_ms)
    driver.pass_time(400)
    assert bool(driver.sent) == sent
    assert (type(driver.ended[1]) if 1 in driver.ended else None) is ended


def test_resumed_message_ends_within_its_time() -> None:
    driver = Driver()
    resumed(driver, SAFE, 0, None, left=300.0)  # no endpoint is listed
    driver.pass_time(300)
    assert isinstance(driver.ended[1], api.Refuse)


def reset(driver: Driver, ident: int, took: float, reused: bool) -> None:
    send = driver.out.pop(ident)
    driver.feed(api.AttemptEnded(ident, driver.tries[ident] - 1, send.endpoint, Outcome.RESET, took, reused=reused))


@pytest.mark.parametrize(("took", "reused", "blamed"), [(1.0, True, False), (1.0, False, True), (90.0, True, True)])
def test_kept_connection_found_closed_is_no_evidence_about_its_destination(
    took: float, reused: bool, blamed: bool
) -> None:
    driver = Driver()
    driver.listed((1, 1))
    driver.warm_up()
    before = driver.relay.lanes[1][-1].blame
    reset(driver, driver.message(SAFE), took, reused)
    assert (driver.relay.lanes[1][-1].blame > before) == blamed


def test_last_byte_waits_for_unsafe_messages_only_and_only_while_closed_connections_are_met() -> None:
    driver = Driver()
    driver.listed((1, 1), rate=1000.0)
    driver.warm_up()
    assert driver.last(driver.message(UNSAFE))[1].hold_ms == 0
    driver.answer(driver.ids)
    reset(driver, driver.message(SAFE), 1.0, True)
    driver.pass_time(400)
    driver.answer(driver.ids)
    assert driver.last(driver.message(SAFE))[1].hold_ms == 0
    driver.answer(driver.ids)
    assert driver.last(driver.message(UNSAFE))[1].hold_ms > 0
    driver.answer(driver.ids)
    for _ in range(40):
        driver.message(SAFE)
        driver.pass_time(30)
        send = driver.out.pop(driver.ids)
        driver.feed(api.AttemptEnded(driver.ids, 0, send.endpoint, Outcome.OK, 100.0, True, reused=True))
    assert driver.last(driver.message(UNSAFE))[1].hold_ms == 0


def test_leaving_serves_until_shortly_before_the_kill() -> None:
    assert leave(0).takes and leave(END_MS - LAST_MS - 1).takes
    assert not leave(END_MS - LAST_MS).takes and not leave(END_MS - 1).ends and leave(END_MS).ends
    assert leave(END_MS - DEAF_MS - 1).listens and not leave(END_MS - DEAF_MS).listens
    assert not leave(END_MS + SPARE_MS - 1, unread=True).ends and leave(END_MS + SPARE_MS, unread=True).ends


def test_unsafe_message_that_would_be_out_at_the_end_waits_for_the_next_process() -> None:
    driver = Driver()
    driver.listed((1, 1), rate=1000.0)
    driver.warm_up()
    driver.feed(api.Leaving(1000.0))
    early = driver.message(UNSAFE)
    driver.answer(early)
    driver.pass_time(950)
    late, other = driver.message(UNSAFE), driver.message(SAFE)
    assert early in driver.tries and other in driver.tries and late not in driver.tries and late not in driver.ended


@pytest.mark.parametrize("class_", [SAFE, KEYED, UNSAFE])
def test_last_byte_leaves_within_the_keys_window_or_not_at_all(class_: int) -> None:
    driver = Driver()
    driver.listed((1, 1))
    driver.warm_up()
    began, first = driver.last(driver.message(class_))
    assert first.begin_by_ms == driver.now + 1e4  # nothing has run: until the message's time is up
    driver.answer(driver.ids, Outcome.RESET)
    driver.pass_time(400)
    tries = [send for _, send in driver.sent if send.id == driver.ids][1:]
    assert len(tries) == (class_ != UNSAFE)
    for again in tries:
        window = CLASSES[KEYED].key_window_ms if class_ == KEYED else 1e4
        assert began < again.begin_by_ms <= began + window


def recalled(driver: Driver, acts: list[api.Action]) -> list[int]:
    return [act.id for act in acts if isinstance(act, api.Recall)]


def test_told_wait_and_leaving_endpoint_recall_what_was_decided_before() -> None:
    """A connection may take a second to be made: what the gate let through then goes out when it is shut."""
    driver = Driver()
    driver.listed((1, 1), (2, 1), (3, 2), rate=1000.0)
    driver.warm_up()
    near, far = [driver.message(SAFE) for _ in range(3)], driver.message(SAFE, 2)
    assert recalled(driver, driver.answer(near[0], Outcome.FULL)) == []
    assert recalled(driver, driver.answer(near[1], Outcome.FULL, wait=900.0)) == [near[2]]
    gone = driver.out[near[2]].endpoint
    changes = tuple(api.Endpoint(ident, 1 if ident < 3 else 2, api.Listing.DRAINING) for ident in (gone, 3))
    assert recalled(driver, driver.feed(api.EndpointList(api.ListKind.CHANGES, changes))) == [near[2], far]
    assert recalled(driver, driver.answer(far, Outcome.NOT_SENT)) == []
    assert driver.relay.lanes[2][-1].failed_at == NEVER  # a recalled call says nothing of its destination


def test_list_of_1024_that_loses_half_costs_no_more_than_some_lists_that_bring_them() -> None:
    """A ratio within this run: each endpoint that left used to cost a look at every destination, 50 lists in all."""

    def took(relay: Relay, now: float, first: int) -> float:
        entries = tuple(api.Endpoint(ident, ident // 2, api.Listing.READY, 0, 0, 20.0) for ident in range(first, 1024))
        began = time.perf_counter()
        relay.handle(now, [api.EndpointList(api.ListKind.WHOLE, entries)])
        return time.perf_counter() - began

    relays = [Relay(make_settings(relays=1024), 1) for _ in range(3)]
    whole = min(took(relay, 0.0, 0) for relay in relays)
    assert min(took(relay, 10.0, 512) for relay in relays) < 10 * whole
    assert all(len(relay.destinations.index) == 512 for relay in relays)
