"""Outlier detection: outages, failing endpoints, trial calls, and slow start after a recovery."""

from __future__ import annotations

import pytest

from linnetstile.engine.events import ClientCancelled, EndpointStatus, Outcome
from linnetstile.engine.settings import RateTrust

from ..conftest import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, EngineHarness, make_endpoint, make_settings


def test_silent_destination_gets_few_trial_calls_and_no_non_idempotent_message() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    for _ in range(2):
        harness.submit(IDEMPOTENT)
    harness.advance(2000)
    start = len(harness.sends)
    non_idempotent = {harness.submit(NON_IDEMPOTENT) for _ in range(4)}
    for _ in range(6):
        harness.submit(IDEMPOTENT)
    harness.advance(1500)
    assert not non_idempotent & {send.id for _, send in harness.sends}
    assert len(harness.sends) - start <= 3


def test_failing_endpoint_of_a_healthy_destination_is_avoided() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1))
    harness.warm_up()
    start = len(harness.sends)
    for _ in range(20):
        message_id = harness.submit(IDEMPOTENT)
        harness.advance(100)
        if harness.attempts.get(message_id):
            is_failing = harness.last_send(message_id)[1].endpoint == 11
            harness.end_attempt(message_id, Outcome.RESET if is_failing else Outcome.OK)
        harness.advance(200)
    endpoints = [send.endpoint for send in harness.sends_since(start + 10)]
    assert endpoints.count(12) > 4 * endpoints.count(11)


def test_class_that_fails_at_one_endpoint_alone_goes_to_the_other() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 1))
    harness.warm_up()
    used: list[tuple[int, int]] = []  # (class, endpoint) of each call
    for number in range(24):
        class_index = DEDUPLICATED if number % 2 else IDEMPOTENT
        message_id = harness.submit(class_index)
        harness.advance(100)
        send = harness.in_flight.get(message_id)
        if send is None:
            continue
        used.append((class_index, send.endpoint))
        times_out = class_index == DEDUPLICATED and send.endpoint == 11
        harness.advance(900 if times_out else 10)
        harness.end_attempt(message_id, Outcome.TIMEOUT if times_out else Outcome.OK)
        harness.handle(ClientCancelled(message_id))
    deduplicated = [endpoint for class_index, endpoint in used if class_index == DEDUPLICATED]
    assert len(used) >= 22  # no call was delayed: the destination was not ejected
    assert deduplicated.count(11) <= 3  # the class avoids the endpoint where it fails


@pytest.mark.parametrize(("idle_ms", "is_outage"), [(4000.0, False), (20000.0, True)])
def test_one_failure_of_a_rare_call_is_an_outage_unless_an_answer_is_recent(idle_ms: float, is_outage: bool) -> None:
    """With many relays, each calls a destination too seldom to see two failures in a row."""
    harness = EngineHarness(make_settings(relay_count=100))
    harness.list_endpoints((11, 1), advertised_rate=100.0)
    harness.warm_up()
    harness.advance(idle_ms, 500)
    failed = harness.submit()
    harness.advance(500)
    harness.end_attempt(failed, Outcome.TIMEOUT)
    harness.advance(200)
    assert harness.attempts[failed] == 2
    later = harness.submit()
    harness.advance(200)
    assert (later not in harness.attempts) == is_outage


def test_trial_calls_to_an_ejected_destination_do_not_accumulate() -> None:
    """Relays whose next trial call is long overdue must not all call a recovering destination at once."""
    immediate_sends = 0
    for seed in range(40):
        harness = EngineHarness(make_settings(relay_count=40), seed=seed)
        harness.list_endpoints((11, 1), advertised_rate=10.0)
        for _ in range(2):
            message_id = harness.submit()
            harness.advance(3000, 50)
            if message_id in harness.in_flight:
                harness.end_attempt(message_id, Outcome.CONNECT_FAILED)
            harness.handle(ClientCancelled(message_id))
        harness.advance(30000, 500)
        start = len(harness.sends)
        harness.submit()
        harness.advance(200, 50)
        immediate_sends += len(harness.sends) - start
    assert immediate_sends <= 20


SLOW_START_MULTIPLE = 2.0 * 0.2  # overload multiple and slow-start fraction of the settings
RANDOM_SPREAD_FACTOR = 2.0  # allowance for the random times of the calls of many relays


def sends_to_an_ejected_destination(relay_count: int, seed: int) -> int:
    """Return how many calls one relay makes in the last 10 s of an outage of 12 s, while eight messages wait."""
    harness = EngineHarness(make_settings(relay_count=relay_count, rate_trust=RateTrust.NONE), seed=seed)
    harness.list_endpoints((11, 1), *((20 + number, 2 + number) for number in range(9)), advertised_rate=1.0)
    for number in range(20):
        # Destination 1 gets a call every 12 s.
        message_id = harness.submit(destination=1 if number % 10 == 0 else 2 + number % 9)
        harness.advance(100, 50)
        harness.end_attempt(message_id)
        harness.advance(1100, 100)
    for _ in range(8):
        harness.submit()
    start = harness.now
    while harness.now < start + 12000:
        harness.end_attempts_in_flight(Outcome.CONNECT_FAILED)
        harness.advance(50, 50)
    return len([sent_at for sent_at, _ in harness.sends if sent_at > start + 2000])


def test_ejected_destination_without_an_advertised_rate_gets_no_more_than_its_slow_start_budget() -> None:
    """The budget holds for all relays that know of the outage, while messages wait at each of them."""
    relay_count = 60
    sends = sum(sends_to_an_ejected_destination(relay_count, seed) for seed in range(relay_count))
    assert sends <= 10 * SLOW_START_MULTIPLE * relay_count / 12 * RANDOM_SPREAD_FACTOR


def sends_to_a_rejecting_destination(relay_count: int, seed: int) -> int:
    """Return how many calls one relay makes in 3 s for a message to a destination that has only rejected."""
    harness = EngineHarness(make_settings(relay_count=relay_count, rate_trust=RateTrust.NONE), seed=seed)
    harness.list_endpoints((11, 1), (12, 2), advertised_rate=1.0)
    for number in range(6):
        message_id = harness.submit(destination=1 + number % 2)  # each destination gets a call every 8 s
        harness.advance(100, 50)
        harness.end_attempt(message_id)
        harness.advance(3900, 100)
    harness.end_attempt(harness.submit(remaining_ms=100.0), Outcome.REJECTED)
    harness.advance(5000, 50)
    start = len(harness.sends)
    harness.submit(remaining_ms=20000.0)
    harness.advance(3000, 50)
    return len(harness.sends) - start


def test_rejecting_destination_without_an_advertised_rate_is_called_as_in_slow_start() -> None:
    """A hung destination with a full queue sends only rejections, and may recover at any time."""
    relay_count = 40
    sends = sum(sends_to_a_rejecting_destination(relay_count, seed) for seed in range(relay_count))
    assert sends <= 3 * SLOW_START_MULTIPLE * relay_count / 8 * RANDOM_SPREAD_FACTOR


def sends_after_a_replacement(gap_ms: float) -> int:
    """Return how many of 12 messages are sent in 600 ms once a new endpoint replaces one that left `gap_ms` earlier."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up(calls=6)
    if gap_ms:
        harness.change_endpoints(make_endpoint(11, 1, EndpointStatus.GONE))
    for _ in range(12):
        harness.submit()
    harness.advance(gap_ms)
    start = len(harness.sends) if gap_ms else 0
    harness.change_endpoints(make_endpoint(12, 1))
    harness.advance(600)
    return len([send for send in harness.sends_since(start) if send.id > 6])


def test_endpoint_that_replaces_the_only_one_after_a_gap_is_in_slow_start() -> None:
    assert 1 <= sends_after_a_replacement(4000.0) < sends_after_a_replacement(0.0)


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR, Outcome.CONNECT_FAILED])
def test_many_failures_after_the_last_endpoint_left_do_not_stop_the_engine(outcome: Outcome) -> None:
    # Guards against ZeroDivisionError in each turn: the failure score of a route without endpoints reached 1.
    harness = EngineHarness(make_settings(max_in_flight=200, max_pending_messages=400))
    harness.list_endpoints((11, 1), (21, 2), advertised_rate=5000.0)
    harness.warm_up()
    for _ in range(80):
        harness.submit(DEDUPLICATED)
    harness.advance(500)
    harness.advance(11_000 - 500, step_ms=100.0)  # no answer for longer than any evidence is valid
    for _ in range(80):
        harness.submit(DEDUPLICATED)
    harness.advance(100)
    assert len(harness.in_flight) >= 60
    harness.change_endpoints(make_endpoint(11, 1, EndpointStatus.GONE))
    harness.end_attempts_in_flight(outcome)
    assert harness.route().health.failure_score < 1.0
    waiting = harness.submit(DEDUPLICATED)
    harness.advance(200)
    other = harness.submit(IDEMPOTENT, destination=2)
    assert harness.attempts.get(other) == 1
    harness.change_endpoints(make_endpoint(12, 1, advertised_rate=5000.0))
    harness.advance(9000)
    assert harness.attempts.get(waiting)
