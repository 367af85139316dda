"""Decisions that the platform's relay asks for: what its answers prove, resuming, closed connections, leaving."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.engine.actions import Action, CancelIfUnsent, Fail, Reject
from linnetstile.engine.attempt_outcome import AttemptObservation, WireResult, judge_endpoint_attempt
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import (
    AttemptEnded,
    Endpoint,
    EndpointList,
    EndpointStatus,
    ListKind,
    Message,
    MessageRecovered,
    Outcome,
    ShutdownStarted,
)
from linnetstile.engine.graceful_shutdown import (
    EXIT_MS,
    STOP_ACCEPTING_MS,
    STOP_ADMITTING_MS,
    UNREAD_GRACE_MS,
    shutdown_phase,
)
from linnetstile.engine.resource_limits import resource_limits
from linnetstile.engine.time_points import NEVER

from ..conftest import CLASSES, KEYED, SAFE, UNSAFE, Driver, make_settings


@pytest.mark.parametrize(
    ("seen", "claimed", "no_slot", "outcome", "finished"),
    [
        (AttemptObservation(WireResult.ANSWERED, 200), 0, False, Outcome.OK, True),
        (AttemptObservation(WireResult.MALFORMED), 200, False, Outcome.OK, True),
        (AttemptObservation(WireResult.TIMED_OUT), 200, False, Outcome.OK, True),
        (AttemptObservation(WireResult.CONNECTION_LOST), 200, False, Outcome.OK, True),
        (
            AttemptObservation(WireResult.ANSWERED, 200, after_deadline=True),
            200,
            False,
            Outcome.TIMEOUT,
            False,
        ),  # its end is owed
        (AttemptObservation(WireResult.TIMED_OUT, after_deadline=True), 200, False, Outcome.TIMEOUT, False),
        (AttemptObservation(WireResult.ANSWERED, 503, after_deadline=True), 0, False, Outcome.REJECTED, False),
        (AttemptObservation(WireResult.MALFORMED), 503, False, Outcome.RESET, False),
        (AttemptObservation(WireResult.ANSWERED, 500), 0, False, Outcome.ERROR, False),
        (AttemptObservation(WireResult.ANSWERED, 429, 300.0), 0, False, Outcome.REJECTED, False),
        (AttemptObservation(WireResult.ANSWERED, 503), 0, False, Outcome.REJECTED, False),
        (AttemptObservation(WireResult.ANSWERED, 503), 0, True, Outcome.NOT_SENT, False),
        (AttemptObservation(WireResult.ANSWERED, 504), 0, False, Outcome.NOT_SENT, False),
        (AttemptObservation(WireResult.ANSWERED, 410), 0, False, Outcome.NOT_SENT, True),
        (AttemptObservation(WireResult.REQUEST_INCOMPLETE), 0, False, Outcome.CONNECT_FAILED, False),
    ],
)
def test_each_row_of_the_platforms_page(
    seen: AttemptObservation, claimed: int, no_slot: bool, outcome: Outcome, finished: bool
) -> None:
    found = judge_endpoint_attempt(seen, claimed, no_slot)
    assert (found.outcome, found.is_final, found.slots_exhausted) == (outcome, finished, no_slot)


@given(st.integers(64, 65536), st.floats(0.01, 1e3), st.integers(1, 64))
def test_bounds_leave_room_for_calls_and_the_journal_twice(sockets: int, disk_mb: float, slots: int) -> None:
    found = resource_limits(sockets, disk_mb * 1e6, slots)
    assert 0 < found.max_client_connections < sockets / 3 and found.max_idle_connections >= slots
    assert found.max_message_bytes + found.compaction_bytes <= disk_mb * 1e6


def resumed(driver: Driver, class_: int, tries: int, risk_ms: float | None, left: float = 5000.0) -> None:
    driver.ids += 1
    driver.tries[driver.ids] = tries
    driver.feed(MessageRecovered(Message(driver.ids, 1, class_, left), 5000.0, tries, risk_ms))


@pytest.mark.parametrize(
    ("class_", "tries", "risk_ms", "sent", "ended"),
    [
        (SAFE, 1, 500.0, True, None),
        (KEYED, 1, 500.0, True, None),
        (KEYED, 1, CLASSES[KEYED].deduplication_window_ms, False, Fail),  # the destination may have forgotten its key
        (UNSAFE, 1, 500.0, False, Fail),
        (UNSAFE, 1, None, True, None),  # its one attempt proved no effect
        (UNSAFE, 0, None, True, None),
        (SAFE, 5, 500.0, False, Reject),  # had all its attempts
        (SAFE, 5, None, False, Reject),
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
    assert isinstance(driver.ended[1], Reject)


def reset(driver: Driver, ident: int, took: float, reused: bool) -> None:
    send = driver.out.pop(ident)
    driver.feed(
        AttemptEnded(ident, driver.tries[ident] - 1, send.endpoint, Outcome.RESET, took, connection_reused=reused)
    )


@pytest.mark.parametrize(("took", "reused", "blamed"), [(1.0, True, False), (1.0, False, True), (90.0, True, True)])
def test_kept_connection_found_closed_is_no_evidence_about_its_destination(
    took: float, reused: bool, blamed: bool
) -> None:
    driver = Driver()
    driver.listed((1, 1))
    driver.warm_up()
    before = driver.relay.routes[1][-1].health.failure_score
    reset(driver, driver.message(SAFE), took, reused)
    assert (driver.relay.routes[1][-1].health.failure_score > before) == blamed


def test_last_byte_waits_for_unsafe_messages_only_and_only_while_closed_connections_are_met() -> None:
    driver = Driver()
    driver.listed((1, 1), rate=1000.0)
    driver.warm_up()
    assert driver.last(driver.message(UNSAFE))[1].last_byte_delay_ms == 0
    driver.answer(driver.ids)
    reset(driver, driver.message(SAFE), 1.0, True)
    driver.pass_time(400)
    driver.answer(driver.ids)
    assert driver.last(driver.message(SAFE))[1].last_byte_delay_ms == 0
    driver.answer(driver.ids)
    assert driver.last(driver.message(UNSAFE))[1].last_byte_delay_ms > 0
    driver.answer(driver.ids)
    for _ in range(40):
        driver.message(SAFE)
        driver.pass_time(30)
        send = driver.out.pop(driver.ids)
        driver.feed(AttemptEnded(driver.ids, 0, send.endpoint, Outcome.OK, 100.0, True, connection_reused=True))
    assert driver.last(driver.message(UNSAFE))[1].last_byte_delay_ms == 0


def test_leaving_serves_until_shortly_before_the_kill() -> None:
    assert shutdown_phase(0).admits and shutdown_phase(EXIT_MS - STOP_ADMITTING_MS - 1).admits
    assert (
        not shutdown_phase(EXIT_MS - STOP_ADMITTING_MS).admits
        and not shutdown_phase(EXIT_MS - 1).exits
        and shutdown_phase(EXIT_MS).exits
    )
    assert (
        shutdown_phase(EXIT_MS - STOP_ACCEPTING_MS - 1).accepts
        and not shutdown_phase(EXIT_MS - STOP_ACCEPTING_MS).accepts
    )
    assert (
        not shutdown_phase(EXIT_MS + UNREAD_GRACE_MS - 1, unread=True).exits
        and shutdown_phase(EXIT_MS + UNREAD_GRACE_MS, unread=True).exits
    )


def test_unsafe_message_that_would_be_out_at_the_end_waits_for_the_next_process() -> None:
    driver = Driver()
    driver.listed((1, 1), rate=1000.0)
    driver.warm_up()
    driver.feed(ShutdownStarted(1000.0))
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
    assert first.send_before_ms == driver.now + 1e4  # nothing has run: until the message's time is up
    driver.answer(driver.ids, Outcome.RESET)
    driver.pass_time(400)
    tries = [send for _, send in driver.sent if send.id == driver.ids][1:]
    assert len(tries) == (class_ != UNSAFE)
    for again in tries:
        window = CLASSES[KEYED].deduplication_window_ms if class_ == KEYED else 1e4
        assert began < again.send_before_ms <= began + window


def recalled(driver: Driver, actions: list[Action]) -> list[int]:
    return [act.id for act in actions if isinstance(act, CancelIfUnsent)]


def test_told_wait_and_leaving_endpoint_recall_what_was_decided_before() -> None:
    """A connection may take a second to be made: what the gate let through then goes out when it is shut."""
    driver = Driver()
    driver.listed((1, 1), (2, 1), (3, 2), rate=1000.0)
    driver.warm_up()
    near, far = [driver.message(SAFE) for _ in range(3)], driver.message(SAFE, 2)
    assert recalled(driver, driver.answer(near[0], Outcome.REJECTED)) == []
    assert recalled(driver, driver.answer(near[1], Outcome.REJECTED, wait=900.0)) == [near[2]]
    gone = driver.out[near[2]].endpoint
    changes = tuple(Endpoint(ident, 1 if ident < 3 else 2, EndpointStatus.DRAINING) for ident in (gone, 3))
    assert recalled(driver, driver.feed(EndpointList(ListKind.CHANGES, changes))) == [near[2], far]
    assert recalled(driver, driver.answer(far, Outcome.NOT_SENT)) == []
    assert driver.relay.routes[2][-1].health.failed_at == NEVER  # a recalled call says nothing of its destination


def test_list_of_1024_that_loses_half_costs_no_more_than_some_lists_that_bring_them() -> None:
    """A ratio within this run: each endpoint that left used to cost a look at every destination, 50 lists in all."""

    def took(relay: DeliveryEngine, now: float, first: int) -> float:
        entries = tuple(Endpoint(ident, ident // 2, EndpointStatus.READY, 0, 0, 20.0) for ident in range(first, 1024))
        began = time.perf_counter()
        relay.handle(now, [EndpointList(ListKind.FULL, entries)])
        return time.perf_counter() - began

    relays = [DeliveryEngine(make_settings(relay_count=1024), 1) for _ in range(3)]
    whole = min(took(relay, 0.0, 0) for relay in relays)
    assert min(took(relay, 10.0, 512) for relay in relays) < 10 * whole
    assert all(len(relay.routing_table.index) == 512 for relay in relays)
