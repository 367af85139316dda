"""Delivery rules by effect and outcome, with routes kept resident and with each evicted as soon as possible."""

import pytest

from linnetstile.engine import idle_routes
from linnetstile.engine.actions import Fail, Reject, WatchEndpoints
from linnetstile.engine.events import ClientCancelled, Endpoint, EndpointList, EndpointStatus, ListKind, Outcome
from linnetstile.engine.settings import DeduplicationScope, DestinationKind, Effect, MessageClass

from .conftest import CLASSES, DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, UNCLEAR_OUTCOMES, EngineHarness, make_settings


@pytest.fixture(autouse=True, params=[idle_routes.MAX_RESIDENT_ROUTES, 0], ids=["resident", "evicted"])
def resident_routes(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_routes, "MAX_RESIDENT_ROUTES", request.param)


PROOFS_OF_NO_EFFECT = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@pytest.mark.parametrize("class_index", [IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT])
@pytest.mark.parametrize("outcome", [*UNCLEAR_OUTCOMES, Outcome.CANCELLED, *PROOFS_OF_NO_EFFECT])
def test_what_each_outcome_permits(class_index: int, outcome: Outcome) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    message_id = harness.submit(class_index)
    harness.advance(100)
    harness.end_attempt(message_id, outcome)
    first = harness.last_send(message_id)[0]
    harness.advance(9900)
    if class_index == NON_IDEMPOTENT and outcome not in PROOFS_OF_NO_EFFECT:
        assert harness.attempts[message_id] == 1
        assert isinstance(harness.final_answers[message_id], Fail)
    else:
        assert harness.attempts[message_id] == 2
        if class_index == DEDUPLICATED and outcome not in PROOFS_OF_NO_EFFECT:
            assert harness.last_send(message_id)[0] - first < CLASSES[DEDUPLICATED].deduplication_window_ms


@pytest.mark.parametrize("class_index", [IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT])
def test_every_message_ends_once_before_its_time_is_up(class_index: int) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_ids = [harness.submit(class_index, remaining_ms=2000.0) for _ in range(6)]
    nowhere = harness.submit(class_index, destination=99, remaining_ms=2000.0)
    sent = {e[1].id for e in harness.sends}
    harness.advance(2000)
    for message_id in [*message_ids, nowhere]:
        if message_id not in sent and message_id not in harness.final_answers:
            assert harness.last_send(message_id)[1].timeout_at_ms <= 3000.0
    assert isinstance(harness.final_answers[nowhere], Reject)
    for message_id in {e[1].id for e in harness.sends} - set(harness.final_answers):
        harness.end_attempt(message_id, Outcome.TIMEOUT)
    assert set(harness.final_answers) == {*message_ids, nowhere}


def test_a_deduplicated_message_is_not_resent_after_its_window() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_id = harness.submit(DEDUPLICATED)
    start = harness.now
    for _ in range(4):
        while (
            message_id not in harness.final_answers
            and harness.attempts[message_id] == len([e for e in harness.sends if e[1].id == message_id])
            and harness.now < start + 9000
            and message_id not in harness.in_flight
        ):
            harness.advance(20)
        if message_id in harness.final_answers:
            break
        harness.advance(900)
        harness.end_attempt(message_id, Outcome.TIMEOUT)
    assert all(at - start < CLASSES[DEDUPLICATED].deduplication_window_ms for at, send in harness.sends)
    assert len(harness.sends) >= 2
    assert message_id in harness.final_answers


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.ENDPOINT])
def test_a_deduplication_window_of_one_zone_binds_the_retry_to_it(scope: DeduplicationScope) -> None:
    keyed = MessageClass("k", Effect.DEDUPLICATED, 1000.0, 10000.0, 1.0, 0.5, 6000.0, scope)
    harness = EngineHarness(make_settings(classes=(keyed,)))
    harness.handle(
        EndpointList(
            ListKind.CACHED,
            tuple(
                Endpoint(message_id, 1, EndpointStatus.READY, 0, zone, 20.0) for message_id, zone in ((11, 0), (12, 1))
            ),
        )
    )
    message_id = harness.submit(0)
    first = harness.last_send(message_id)[1].endpoint
    harness.advance(100)
    harness.end_attempt(message_id, Outcome.RESET)
    harness.handle(EndpointList(ListKind.CHANGES, (Endpoint(first, 1, EndpointStatus.DRAINING),)))
    harness.advance(9900)
    assert harness.attempts[message_id] == 1
    assert isinstance(harness.final_answers[message_id], Fail)


def test_a_retry_after_binds_the_whole_destination() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1))
    harness.warm_up()
    message_id = harness.submit(IDEMPOTENT)
    harness.advance(50)
    harness.end_attempt(message_id, Outcome.REJECTED, retry_after_ms=800.0)
    answer = harness.now
    for _ in range(4):
        harness.submit(IDEMPOTENT)
    harness.advance(4000)
    after = [at for at, _ in harness.sends if at > answer]
    assert after
    assert min(after) >= answer + 800.0


def test_a_retry_after_binds_one_route_where_routes_are_separate() -> None:
    harness = EngineHarness(make_settings(kinds=(DestinationKind("k", separate_routes=True),)))
    harness.list_endpoints((11, 1), (12, 1))
    message_id = harness.submit(IDEMPOTENT)
    route = harness.last_send(message_id)[1].endpoint
    harness.advance(50)
    harness.end_attempt(message_id, Outcome.REJECTED, retry_after_ms=2000.0)
    answer = harness.now
    harness.advance(1500)
    assert harness.last_send(message_id)[0] > answer
    assert harness.last_send(message_id)[1].endpoint != route


@pytest.mark.parametrize("listing", [EndpointStatus.DRAINING, EndpointStatus.GONE, None])
def test_a_draining_endpoint_gets_no_call_from_then_on(listing: EndpointStatus | None) -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1))
    harness.warm_up()
    if listing is None:
        harness.handle(EndpointList(ListKind.FULL, (Endpoint(12, 1, EndpointStatus.READY, 0, 0, 20.0),)))
    else:
        harness.handle(EndpointList(ListKind.CHANGES, (Endpoint(11, 1, listing),)))
    start = len(harness.sends)
    for _ in range(8):
        harness.submit()
        harness.advance(100)
    assert {send.endpoint for _, send in harness.sends[start:]} == {12}


def test_messages_of_one_ordering_key_keep_their_order_and_pause() -> None:
    ordered = MessageClass("o", Effect.IDEMPOTENT, 1000.0, 10000.0, 1.0, 0.5, 0.0, in_order=True)
    harness = EngineHarness(make_settings(classes=(ordered,)))
    harness.list_endpoints((11, 1), (12, 2))
    harness.warm_up(1)
    harness.warm_up(2)
    first, second, other = (
        harness.submit(0, 1, ordering_key=5),
        harness.submit(0, 2, ordering_key=5),
        harness.submit(0, 2, ordering_key=6),
    )
    harness.advance(300)
    assert harness.attempts.get(first) == 1
    assert second not in harness.attempts
    assert harness.attempts.get(other) == 1
    harness.handle(ClientCancelled(first))
    harness.advance(300)
    assert second not in harness.attempts  # the earlier one still has a call out
    harness.end_attempt(first, Outcome.TIMEOUT)
    answer = harness.now
    harness.advance(1000)
    assert harness.last_send(second)[0] >= answer + 100.0


def test_a_return_from_an_outage_stays_within_the_slow_start_budget() -> None:
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
    back = harness.now
    answered: set[tuple[int, int]] = set()
    while harness.now < back + 4000:
        harness.advance(50)
        for at, send in harness.sends:
            if (send.id, int(at)) not in answered and at >= back and harness.now - at >= 50:
                answered.add((send.id, int(at)))
                if send.id in harness.in_flight:
                    harness.end_attempt(send.id)
    times = [at for at, _ in harness.sends if at >= back]
    budget = 2.0 * 20.0 / 2 * 1.5  # multiple x own part of the rate x span, at full capacity
    cold = [t for t in times if t < back + 1500]
    assert 1 <= len(cold) <= budget * (0.2 + 0.8 * 1500 / 9000 / 2) + 1  # it warms up meanwhile
    assert len(times) > len(cold)


def test_polling_starts_at_once_and_again_after_a_failure() -> None:
    harness = EngineHarness(make_settings(polls_for_list=True))
    assert harness.handle()
    assert isinstance(harness.other_actions[0][1], WatchEndpoints)
    for _ in range(4):
        before = harness.now
        asked = len([1 for _, a in harness.other_actions if isinstance(a, WatchEndpoints)])
        harness.handle(EndpointList(ListKind.FAILED))
        harness.advance(3000)
        later = [at for at, a in harness.other_actions if isinstance(a, WatchEndpoints)]
        assert len(later) > asked
        assert later[asked] > before
