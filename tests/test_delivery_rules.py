"""Delivery rules by effect and outcome, once with resident routes and once with routes evicted as soon as possible."""

from __future__ import annotations

import pytest

from linnetstile.engine import idle_routes
from linnetstile.engine.actions import Fail, Reject, WatchEndpoints
from linnetstile.engine.events import ClientCancelled, Endpoint, EndpointList, EndpointStatus, ListKind, Outcome
from linnetstile.engine.settings import DeduplicationScope, DestinationKind, Effect

from .conftest import (
    CLASSES,
    DEDUPLICATED,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    UNCLEAR_OUTCOMES,
    EngineHarness,
    make_endpoint,
    make_list_changes,
    make_message_class,
    make_settings,
)

OUTCOMES_WITHOUT_EFFECT = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
DEDUPLICATION_WINDOW_MS = CLASSES[DEDUPLICATED].deduplication_window_ms
ORDERING_PAUSE_MS = 100.0


@pytest.fixture(autouse=True, params=[idle_routes.MAX_RESIDENT_ROUTES, 0], ids=["resident", "evicted"])
def max_resident_routes(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run each test twice: with routes that stay resident, and with routes that are evicted as soon as possible."""
    monkeypatch.setattr(idle_routes, "MAX_RESIDENT_ROUTES", request.param)


# -- attempts and final answers ------------------------------------------------------------------------------


@pytest.mark.parametrize("class_index", [IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT])
@pytest.mark.parametrize("outcome", [*UNCLEAR_OUTCOMES, Outcome.CANCELLED, *OUTCOMES_WITHOUT_EFFECT])
def test_message_is_retried_only_if_its_effect_and_the_outcome_permit_it(class_index: int, outcome: Outcome) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    message_id = harness.submit(class_index)
    harness.advance(100)
    harness.end_attempt(message_id, outcome)
    first_sent_at = harness.last_send(message_id)[0]
    harness.advance(9900)
    may_have_run = outcome not in OUTCOMES_WITHOUT_EFFECT
    if class_index == NON_IDEMPOTENT and may_have_run:
        assert harness.attempts[message_id] == 1
        assert isinstance(harness.final_answers[message_id], Fail)
    else:
        assert harness.attempts[message_id] == 2
        if class_index == DEDUPLICATED and may_have_run:
            assert harness.last_send(message_id)[0] - first_sent_at < DEDUPLICATION_WINDOW_MS


@pytest.mark.parametrize("class_index", [IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT])
def test_every_message_ends_once_before_its_deadline(class_index: int) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_ids = [harness.submit(class_index, remaining_ms=2000.0) for _ in range(6)]
    unroutable = harness.submit(class_index, destination=99, remaining_ms=2000.0)
    sent_at_once = {send.id for _, send in harness.sends}
    harness.advance(2000)
    for message_id in [*message_ids, unroutable]:
        if message_id not in sent_at_once and message_id not in harness.final_answers:
            assert harness.last_send(message_id)[1].timeout_at_ms <= 3000.0
    assert isinstance(harness.final_answers[unroutable], Reject)
    for message_id in {send.id for _, send in harness.sends} - set(harness.final_answers):
        harness.end_attempt(message_id, Outcome.TIMEOUT)
    assert set(harness.final_answers) == {*message_ids, unroutable}


def advance_until_sent_or_ended(harness: EngineHarness, message_id: int, end_ms: float) -> None:
    while (
        message_id not in harness.final_answers
        and harness.attempts[message_id] == len(harness.sends_of(message_id))
        and harness.now < end_ms
        and message_id not in harness.in_flight
    ):
        harness.advance(20)


def test_deduplicated_message_is_not_retried_after_its_window() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_id = harness.submit(DEDUPLICATED)
    start = harness.now
    for _ in range(4):
        advance_until_sent_or_ended(harness, message_id, start + 9000)
        if message_id in harness.final_answers:
            break
        harness.advance(900)
        harness.end_attempt(message_id, Outcome.TIMEOUT)
    assert all(sent_at - start < DEDUPLICATION_WINDOW_MS for sent_at, _ in harness.sends)
    assert len(harness.sends) >= 2
    assert message_id in harness.final_answers


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.ENDPOINT])
def test_retry_stays_within_the_scope_of_its_deduplication_key(scope: DeduplicationScope) -> None:
    message_class = make_message_class(Effect.DEDUPLICATED, deduplication_window_ms=6000.0, deduplication_scope=scope)
    harness = EngineHarness(make_settings(classes=(message_class,)))
    harness.handle(EndpointList(ListKind.CACHED, (make_endpoint(11, 1, zone=0), make_endpoint(12, 1, zone=1))))
    message_id = harness.submit(0)
    first_endpoint = harness.last_send(message_id)[1].endpoint
    harness.advance(100)
    harness.end_attempt(message_id, Outcome.RESET)
    harness.change_endpoints(Endpoint(first_endpoint, 1, EndpointStatus.DRAINING))
    harness.advance(9900)
    assert harness.attempts[message_id] == 1
    assert isinstance(harness.final_answers[message_id], Fail)


# -- Retry-After, draining, order, slow start ----------------------------------------------------------------


def test_retry_after_applies_to_the_whole_destination() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1))
    harness.warm_up()
    message_id = harness.submit(IDEMPOTENT)
    harness.advance(50)
    harness.end_attempt(message_id, Outcome.REJECTED, retry_after_ms=800.0)
    rejected_at = harness.now
    for _ in range(4):
        harness.submit(IDEMPOTENT)
    harness.advance(4000)
    later_sends = [sent_at for sent_at, _ in harness.sends if sent_at > rejected_at]
    assert later_sends
    assert min(later_sends) >= rejected_at + 800.0


def test_retry_after_applies_to_one_endpoint_if_endpoints_have_separate_routes() -> None:
    harness = EngineHarness(make_settings(kinds=(DestinationKind("k", separate_routes=True),)))
    harness.list_endpoints((11, 1), (12, 1))
    message_id = harness.submit(IDEMPOTENT)
    rejecting_endpoint = harness.last_send(message_id)[1].endpoint
    harness.advance(50)
    harness.end_attempt(message_id, Outcome.REJECTED, retry_after_ms=2000.0)
    rejected_at = harness.now
    harness.advance(1500)
    sent_at, send = harness.last_send(message_id)
    assert sent_at > rejected_at
    assert send.endpoint != rejecting_endpoint


@pytest.mark.parametrize(
    "event",
    [
        make_list_changes(Endpoint(11, 1, EndpointStatus.DRAINING)),
        make_list_changes(Endpoint(11, 1, EndpointStatus.GONE)),
        EndpointList(ListKind.FULL, (make_endpoint(12, 1),)),
    ],
    ids=["draining", "gone", "missing in a full list"],
)
def test_draining_or_removed_endpoint_gets_no_new_call(event: EndpointList) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1))
    harness.warm_up()
    harness.handle(event)
    start = len(harness.sends)
    for _ in range(8):
        harness.submit()
        harness.advance(100)
    assert {send.endpoint for send in harness.sends_since(start)} == {12}


def test_messages_of_one_ordering_key_keep_their_order_and_pause() -> None:
    ordered = make_message_class(Effect.IDEMPOTENT, deduplication_window_ms=0.0, in_order=True)
    harness = EngineHarness(make_settings(classes=(ordered,)))
    harness.list_endpoints((11, 1), (12, 2))
    harness.warm_up(1)
    harness.warm_up(2)
    first = harness.submit(0, 1, ordering_key=5)
    second = harness.submit(0, 2, ordering_key=5)
    other_key = harness.submit(0, 2, ordering_key=6)
    harness.advance(300)
    assert harness.attempts.get(first) == 1
    assert second not in harness.attempts
    assert harness.attempts.get(other_key) == 1
    harness.handle(ClientCancelled(first))
    harness.advance(300)
    assert second not in harness.attempts  # the first message still has a call in flight
    harness.end_attempt(first, Outcome.TIMEOUT)
    ended_at = harness.now
    harness.advance(1000)
    assert harness.last_send(second)[0] >= ended_at + ORDERING_PAUSE_MS


def answer_calls_and_return_send_times(harness: EngineHarness, duration_ms: float) -> list[float]:
    """Answer each call after 50 ms for this duration; return the times of the calls."""
    start = harness.now
    answered: set[tuple[int, int]] = set()  # message id and send time of each answered call
    while harness.now < start + duration_ms:
        harness.advance(50)
        for sent_at, send in harness.sends:
            call = (send.id, int(sent_at))
            if call not in answered and sent_at >= start and harness.now - sent_at >= 50:
                answered.add(call)
                if send.id in harness.in_flight:
                    harness.end_attempt(send.id)
    return [sent_at for sent_at, _ in harness.sends if sent_at >= start]


def test_recovery_from_an_outage_stays_within_the_slow_start_budget() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    for _ in range(2):
        message_id = harness.submit(IDEMPOTENT)
        harness.advance(400)
        if harness.attempts.get(message_id):
            harness.end_attempt(message_id, Outcome.CONNECT_FAILED)
    for _ in range(30):
        harness.submit(IDEMPOTENT)
    recovered_at = harness.now
    send_times = answer_calls_and_return_send_times(harness, 4000)
    budget = 2.0 * 20.0 / 2 * 1.5  # overload multiple x this relay's half of the rate x window, at full capacity
    in_first_window = [sent_at for sent_at in send_times if sent_at < recovered_at + 1500]
    assert 1 <= len(in_first_window) <= budget * (0.2 + 0.8 * 1500 / 9000 / 2) + 1  # mean of the growing capacity
    assert len(send_times) > len(in_first_window)


# -- the endpoint list ---------------------------------------------------------------------------------------


def poll_times(harness: EngineHarness) -> list[float]:
    return [now for now, action in harness.other_actions if isinstance(action, WatchEndpoints)]


def test_list_is_polled_at_once_and_again_after_a_failure() -> None:
    harness = EngineHarness(make_settings(polls_for_list=True))
    assert harness.handle()
    assert isinstance(harness.other_actions[0][1], WatchEndpoints)
    for _ in range(4):
        failed_at = harness.now
        polls_before = len(poll_times(harness))
        harness.handle(EndpointList(ListKind.FAILED))
        harness.advance(3000)
        polls = poll_times(harness)
        assert len(polls) > polls_before
        assert polls[polls_before] > failed_at
