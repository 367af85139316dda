"""Decisions for the platform relay: verdicts of its answers, recovery, stale connections, graceful shutdown."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.engine.actions import Action, CancelIfUnsent, Fail, Reject
from linnetstile.engine.attempt_outcome import AttemptObservation, WireResult, judge_endpoint_attempt
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

from ..conftest import CLASSES, DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, EngineHarness


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
def test_resource_limits_leave_descriptors_for_calls_and_disk_for_two_journals(
    sockets: int, disk_mb: float, slots: int
) -> None:
    found = resource_limits(sockets, disk_mb * 1e6, slots)
    assert 0 < found.max_client_connections < sockets / 3
    assert found.max_idle_connections >= slots
    assert found.max_message_bytes + found.compaction_bytes <= disk_mb * 1e6


def recover(
    harness: EngineHarness, class_index: int, attempts: int, unclear_age_ms: float | None, remaining_ms: float = 5000.0
) -> None:
    harness.last_id += 1
    harness.attempts[harness.last_id] = attempts
    harness.handle(
        MessageRecovered(Message(harness.last_id, 1, class_index, remaining_ms), 5000.0, attempts, unclear_age_ms)
    )


@pytest.mark.parametrize(
    ("class_index", "tries", "risk_ms", "sent", "ended"),
    [
        (IDEMPOTENT, 1, 500.0, True, None),
        (DEDUPLICATED, 1, 500.0, True, None),
        (
            DEDUPLICATED,
            1,
            CLASSES[DEDUPLICATED].deduplication_window_ms,
            False,
            Fail,
        ),  # the destination may have forgotten its key
        (NON_IDEMPOTENT, 1, 500.0, False, Fail),
        (NON_IDEMPOTENT, 1, None, True, None),  # its one attempt proved no effect
        (NON_IDEMPOTENT, 0, None, True, None),
        (IDEMPOTENT, 5, 500.0, False, Reject),  # had all its attempts
        (IDEMPOTENT, 5, None, False, Reject),
    ],
)
def test_a_recovered_message_goes_by_class_window_and_attempts(
    class_index: int, tries: int, risk_ms: float | None, sent: bool, ended: type | None
) -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1))
    recover(harness, class_index, tries, risk_ms)
    harness.advance(400)
    assert bool(harness.sends) == sent
    assert (type(harness.final_answers[1]) if 1 in harness.final_answers else None) is ended


def test_a_recovered_message_ends_within_its_time() -> None:
    harness = EngineHarness()
    recover(harness, IDEMPOTENT, 0, None, remaining_ms=300.0)  # no endpoint is listed
    harness.advance(300)
    assert isinstance(harness.final_answers[1], Reject)


def reset(harness: EngineHarness, message_id: int, latency_ms: float, reused: bool) -> None:
    send = harness.in_flight.pop(message_id)
    harness.handle(
        AttemptEnded(
            message_id,
            harness.attempts[message_id] - 1,
            send.endpoint,
            Outcome.RESET,
            latency_ms,
            connection_reused=reused,
        )
    )


@pytest.mark.parametrize(("took", "reused", "blamed"), [(1.0, True, False), (1.0, False, True), (90.0, True, True)])
def test_a_stale_connection_is_no_evidence_about_its_destination(took: float, reused: bool, blamed: bool) -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1))
    harness.warm_up()
    before = harness.engine.routes[1][-1].health.failure_score
    reset(harness, harness.submit(IDEMPOTENT), took, reused)
    assert (harness.engine.routes[1][-1].health.failure_score > before) == blamed


def test_the_last_byte_of_non_idempotent_messages_waits_while_stale_connections_are_met() -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1), advertised_rate=1000.0)
    harness.warm_up()
    assert harness.last_send(harness.submit(NON_IDEMPOTENT))[1].last_byte_delay_ms == 0
    harness.end_attempt(harness.last_id)
    reset(harness, harness.submit(IDEMPOTENT), 1.0, True)
    harness.advance(400)
    harness.end_attempt(harness.last_id)
    assert harness.last_send(harness.submit(IDEMPOTENT))[1].last_byte_delay_ms == 0
    harness.end_attempt(harness.last_id)
    assert harness.last_send(harness.submit(NON_IDEMPOTENT))[1].last_byte_delay_ms > 0
    harness.end_attempt(harness.last_id)
    for _ in range(40):
        harness.submit(IDEMPOTENT)
        harness.advance(30)
        send = harness.in_flight.pop(harness.last_id)
        harness.handle(AttemptEnded(harness.last_id, 0, send.endpoint, Outcome.OK, 100.0, True, connection_reused=True))
    assert harness.last_send(harness.submit(NON_IDEMPOTENT))[1].last_byte_delay_ms == 0


def test_a_graceful_shutdown_serves_until_shortly_before_the_kill() -> None:
    assert shutdown_phase(0).admits
    assert shutdown_phase(EXIT_MS - STOP_ADMITTING_MS - 1).admits
    assert not shutdown_phase(EXIT_MS - STOP_ADMITTING_MS).admits
    assert not shutdown_phase(EXIT_MS - 1).exits
    assert shutdown_phase(EXIT_MS).exits
    assert shutdown_phase(EXIT_MS - STOP_ACCEPTING_MS - 1).accepts
    assert not shutdown_phase(EXIT_MS - STOP_ACCEPTING_MS).accepts
    assert not shutdown_phase(EXIT_MS + UNREAD_GRACE_MS - 1, unread=True).exits
    assert shutdown_phase(EXIT_MS + UNREAD_GRACE_MS, unread=True).exits


def test_a_non_idempotent_message_that_would_be_in_flight_at_the_end_waits_for_the_next_process() -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1), advertised_rate=1000.0)
    harness.warm_up()
    harness.handle(ShutdownStarted(1000.0))
    early = harness.submit(NON_IDEMPOTENT)
    harness.end_attempt(early)
    harness.advance(950)
    late, other = harness.submit(NON_IDEMPOTENT), harness.submit(IDEMPOTENT)
    assert early in harness.attempts
    assert other in harness.attempts
    assert late not in harness.attempts
    assert late not in harness.final_answers


@pytest.mark.parametrize("class_index", [IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT])
def test_last_byte_leaves_within_the_keys_window_or_not_at_all(class_index: int) -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1))
    harness.warm_up()
    began, first = harness.last_send(harness.submit(class_index))
    assert first.send_before_ms == harness.now + 1e4  # nothing has run: until the message's time is up
    harness.end_attempt(harness.last_id, Outcome.RESET)
    harness.advance(400)
    tries = [send for _, send in harness.sends if send.id == harness.last_id][1:]
    assert len(tries) == (class_index != NON_IDEMPOTENT)
    for again in tries:
        window = CLASSES[DEDUPLICATED].deduplication_window_ms if class_index == DEDUPLICATED else 1e4
        assert began < again.send_before_ms <= began + window


def cancelled_unsent(harness: EngineHarness, actions: list[Action]) -> list[int]:
    return [action.id for action in actions if isinstance(action, CancelIfUnsent)]


def test_a_retry_after_and_a_draining_endpoint_cancel_what_is_unsent() -> None:
    """A connection may take a second to be made: what the gate let through then goes out when it is shut."""
    harness = EngineHarness()
    harness.list_endpoints((1, 1), (2, 1), (3, 2), advertised_rate=1000.0)
    harness.warm_up()
    near, far = [harness.submit(IDEMPOTENT) for _ in range(3)], harness.submit(IDEMPOTENT, 2)
    assert cancelled_unsent(harness, harness.end_attempt(near[0], Outcome.REJECTED)) == []
    assert cancelled_unsent(harness, harness.end_attempt(near[1], Outcome.REJECTED, retry_after_ms=900.0)) == [near[2]]
    gone = harness.in_flight[near[2]].endpoint
    changes = tuple(
        Endpoint(message_id, 1 if message_id < 3 else 2, EndpointStatus.DRAINING) for message_id in (gone, 3)
    )
    assert cancelled_unsent(harness, harness.handle(EndpointList(ListKind.CHANGES, changes))) == [near[2], far]
    assert cancelled_unsent(harness, harness.end_attempt(far, Outcome.NOT_SENT)) == []
    assert harness.engine.routes[2][-1].health.failed_at == NEVER  # a recalled call says nothing of its destination
