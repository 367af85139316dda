"""The rate of calls to a destination: advertised, learned from answers, and spread over the relays."""

from __future__ import annotations

from linnetstile.engine.events import Outcome
from linnetstile.engine.settings import Effect

from ..conftest import EngineHarness, make_message_class, make_settings


def count_calls(harness: EngineHarness, duration_ms: float, outcome: Outcome = Outcome.OK) -> int:
    """Keep up to three messages in flight, end each call after 50 ms or so, and return how many calls were made."""
    start, end = len(harness.sends), harness.now + duration_ms
    while harness.now < end:
        if len(harness.in_flight) < 3:
            harness.submit()
        harness.advance(50)
        harness.end_attempts_in_flight(outcome)
    return len(harness.sends) - start


def test_rejections_lower_the_rate_and_success_restores_it() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), advertised_rate=8.0)
    harness.warm_up()
    count_calls(harness, 4000)
    before = count_calls(harness, 4000)
    count_calls(harness, 1000, Outcome.REJECTED)
    throttled = count_calls(harness, 2000)
    count_calls(harness, 15000)
    assert 2 * throttled < 0.7 * before
    assert count_calls(harness, 4000) > 0.9 * before


def test_small_change_of_the_advertised_rate_keeps_the_learned_rate() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), advertised_rate=8.0)
    harness.warm_up()
    count_calls(harness, 4000)
    count_calls(harness, 1000, Outcome.REJECTED)
    throttled = count_calls(harness, 1000)
    harness.list_endpoints((11, 1), advertised_rate=8.2)
    assert count_calls(harness, 1000) <= throttled + 3


def sends_with_load_reports(remaining_fraction: float) -> int:
    """Return how many calls are made in 5 s if each answer reports this fraction of the limit as left."""
    harness = EngineHarness(make_settings(load_report_fields=(0, 1)))
    harness.list_endpoints((11, 1), advertised_rate=8.0)
    harness.warm_up()
    for _ in range(100):
        harness.submit()
        harness.advance(50)
        harness.end_attempts_in_flight(load_report=(remaining_fraction, 8.0))
    return len(harness.sends)


def test_load_reports_raise_and_lower_the_rate() -> None:
    assert sends_with_load_reports(0.0) < 0.9 * sends_with_load_reports(1.0)


def first_calls_with_load_reports(remaining_fraction: float) -> int:
    """Return how many first calls of ten relays to 12 destinations leave within 500 ms, after reports of 12 others."""
    sends = 0
    for seed in range(10):
        settings = make_settings(relay_count=100, load_report_fields=(0, 1), max_in_flight=40)
        harness = EngineHarness(settings, seed=seed)
        harness.list_endpoints(*((10 + number, number) for number in range(1, 25)), advertised_rate=4.0)
        for destination in range(1, 13):
            message_id = harness.submit(destination=destination)
            harness.advance(100)
            if message_id in harness.in_flight:
                outcome = Outcome.OK if remaining_fraction else Outcome.REJECTED
                harness.end_attempt(message_id, outcome, load_report=(remaining_fraction, 4.0))
        start = len(harness.sends)
        for destination in range(13, 25):
            harness.submit(destination=destination)
        harness.advance(500)
        sends += len([send for send in harness.sends_since(start) if send.endpoint > 22])
    return sends


def test_first_calls_are_spread_where_load_reports_show_exhausted_limits() -> None:
    """Rejected calls use up a limit too, so the first calls of many relays would keep it exhausted."""
    assert first_calls_with_load_reports(0.0) < 0.4 * first_calls_with_load_reports(0.9)


def test_first_calls_after_a_long_retry_after_are_spread_over_time() -> None:
    delays: list[float] = []
    for seed in range(40):
        harness = EngineHarness(make_settings(relay_count=40), seed=seed)
        harness.list_endpoints((11, 1), advertised_rate=10.0)
        message_id = harness.submit()
        harness.end_attempt(message_id, Outcome.REJECTED, retry_after_ms=6000.0)
        rejected_at = harness.now
        harness.advance(9900, 50)
        delays += [sent_at - (rejected_at + 6000) for sent_at, _ in harness.sends if sent_at > rejected_at + 1]
    assert min(delays) > 0
    assert len([delay for delay in delays if delay <= 1500]) <= 2.0 * 0.2 * 10.0 * 1.5 + 3


def test_rejected_relays_do_not_retry_in_step() -> None:
    delays: list[float] = []
    for seed in range(30):
        harness = EngineHarness(make_settings(relay_count=200), seed=seed)
        harness.list_endpoints((11, 1), advertised_rate=10.0)
        message_id = harness.submit()
        harness.end_attempt(message_id, Outcome.REJECTED)
        rejected_at = harness.now
        harness.advance(9900, 50)
        delays.append(harness.last_send(message_id)[0] - rejected_at)
    assert min(delays) > 1000
    assert max(delays) - min(delays) > 3000


def test_rare_call_is_not_limited_by_the_equal_share_of_one_relay() -> None:
    """With many relays, the equal share of the rate is only a fraction of a call a second."""
    harness = EngineHarness(make_settings(relay_count=200))
    harness.list_endpoints((11, 1), advertised_rate=10.0)
    for _ in range(6):
        message_id = harness.submit()
        harness.advance(50)
        assert message_id in harness.in_flight
        harness.end_attempt(message_id)
        harness.advance(2500)


def retry_delay_of_an_ordered_message(successors: int) -> float:
    """Return the time from the rejection of a message to its latest call; not above 0 if not sent again within 4 s.

    `successors` messages of its ordering key wait until it has ended.
    """
    ordered = make_message_class(Effect.NON_IDEMPOTENT, deduplication_window_ms=0.0, in_order=True)
    harness = EngineHarness(make_settings(classes=(ordered,), relay_count=200))
    harness.list_endpoints((11, 1), advertised_rate=10.0)
    first = harness.submit(0, ordering_key=7)
    for _ in range(successors):
        harness.submit(0, ordering_key=7)
    harness.end_attempt(first, Outcome.REJECTED)
    rejected_at = harness.now
    harness.advance(4000)
    return harness.last_send(first)[0] - rejected_at


def test_message_that_others_of_its_ordering_key_wait_for_overdraws_the_tokens() -> None:
    assert retry_delay_of_an_ordered_message(successors=2) < 500
    assert retry_delay_of_an_ordered_message(successors=0) <= 0  # not sent again within 4 s
