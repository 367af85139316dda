"""How an ended attempt is judged: its outcome, whether its answer is final, and its Retry-After."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.engine.attempt_outcome import (
    MAX_RETRY_AFTER_MS,
    AttemptObservation,
    ReceiptStatus,
    WireResult,
    judge_attempt,
    judge_endpoint_attempt,
)
from linnetstile.engine.events import Outcome

NEVER_COMPLETE = (WireResult.NOT_SENT, WireResult.NO_CONNECTION, WireResult.REQUEST_INCOMPLETE)


def answered(
    status: int, receipt: ReceiptStatus = ReceiptStatus.NOT_REQUESTED, request_complete: bool = True
) -> AttemptObservation:
    return AttemptObservation(WireResult.ANSWERED, status=status, receipt=receipt, request_complete=request_complete)


PARTNER_CASES = [
    (AttemptObservation(WireResult.NOT_SENT), Outcome.NOT_SENT, False),
    (AttemptObservation(WireResult.NO_CONNECTION), Outcome.CONNECT_FAILED, False),
    (AttemptObservation(WireResult.CONNECTION_LOST), Outcome.RESET, False),
    (AttemptObservation(WireResult.TIMED_OUT), Outcome.TIMEOUT, False),
    (AttemptObservation(WireResult.MALFORMED), Outcome.RESET, False),
    (AttemptObservation(WireResult.CANCELLED), Outcome.CANCELLED, False),
    (AttemptObservation(WireResult.REQUEST_INCOMPLETE), Outcome.CONNECT_FAILED, False),  # no effect is possible
    (answered(500, request_complete=False), Outcome.CONNECT_FAILED, False),
    *((answered(status), Outcome.REJECTED, False) for status in (429, 503)),
    *(
        (answered(status), Outcome.ERROR, False)
        for status in (301, 400, 401, 403, 404, 408, 409, 413, 415, 422, 500, 501, 502, 504)
    ),
    (answered(200, ReceiptStatus.NOT_REQUESTED), Outcome.OK, True),
    (answered(200, ReceiptStatus.POSITIVE), Outcome.OK, True),
    (answered(202, ReceiptStatus.POSITIVE), Outcome.OK, True),
    (answered(200, ReceiptStatus.DUPLICATE), Outcome.OK, True),
    (answered(200, ReceiptStatus.NEGATIVE), Outcome.OK, True),
    (answered(200, ReceiptStatus.MISSING), Outcome.ERROR, False),
    (answered(200, ReceiptStatus.UNVERIFIED), Outcome.ERROR, False),
    (answered(200, ReceiptStatus.OTHER_MESSAGE), Outcome.ERROR, False),
    (answered(200, ReceiptStatus.WRONG_MIC), Outcome.ERROR, False),
]


@pytest.mark.parametrize(("observation", "outcome", "is_final"), PARTNER_CASES)
def test_attempt_at_a_partner_has_the_expected_outcome(
    observation: AttemptObservation, outcome: Outcome, is_final: bool
) -> None:
    verdict = judge_attempt(observation)
    assert (verdict.outcome, verdict.is_final) == (outcome, is_final)
    assert verdict.reason


@given(
    st.builds(
        AttemptObservation,
        wire_result=st.sampled_from(WireResult),
        status=st.integers(200, 599),
        retry_after_ms=st.one_of(st.none(), st.floats(-1e12, 1e12)),
        receipt=st.sampled_from(ReceiptStatus),
        request_complete=st.booleans(),
    )
)
def test_outcome_proves_no_effect_only_if_the_observation_does(observation: AttemptObservation) -> None:
    verdict = judge_attempt(observation)
    if verdict.outcome.proves_no_effect:
        was_never_complete = observation.wire_result in NEVER_COMPLETE or not observation.request_complete
        assert was_never_complete or observation.status in (429, 503)
    assert verdict.is_final == (verdict.outcome is Outcome.OK)
    assert 0 <= verdict.retry_after_ms <= MAX_RETRY_AFTER_MS
    assert verdict.retry_after_ms == 0 or verdict.outcome is Outcome.REJECTED


ENDPOINT_CASES = [
    (AttemptObservation(WireResult.ANSWERED, 200), 0, False, Outcome.OK, True),
    (AttemptObservation(WireResult.MALFORMED), 200, False, Outcome.OK, True),
    (AttemptObservation(WireResult.TIMED_OUT), 200, False, Outcome.OK, True),
    (AttemptObservation(WireResult.CONNECTION_LOST), 200, False, Outcome.OK, True),
    # The platform may not count a 200 after the deadline: a final notice is still due.
    (AttemptObservation(WireResult.ANSWERED, 200, after_deadline=True), 200, False, Outcome.TIMEOUT, False),
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
]


@pytest.mark.parametrize(("observation", "first_line_status", "slots_exhausted", "outcome", "is_final"), ENDPOINT_CASES)
def test_attempt_at_a_platform_endpoint_has_the_expected_outcome(
    observation: AttemptObservation, first_line_status: int, slots_exhausted: bool, outcome: Outcome, is_final: bool
) -> None:
    verdict = judge_endpoint_attempt(observation, first_line_status, slots_exhausted)
    assert (verdict.outcome, verdict.is_final, verdict.slots_exhausted) == (outcome, is_final, slots_exhausted)
