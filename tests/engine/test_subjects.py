"""The decisions beside the module: what an attempt proves, identifiers handed in again, routing, handing back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.engine import receipt_retry
from linnetstile.engine.attempt_outcome import (
    MAX_RETRY_AFTER_MS,
    AttemptObservation,
    ReceiptStatus,
    WireResult,
    judge_attempt,
)
from linnetstile.engine.deduplication import SubmissionStatus, SubmissionTable
from linnetstile.engine.events import Outcome
from linnetstile.engine.routing import Router, Rule

ROWS = [
    (AttemptObservation(WireResult.NOT_SENT), Outcome.NOT_SENT, False),
    (AttemptObservation(WireResult.NO_CONNECTION), Outcome.CONNECT_FAILED, False),
    (AttemptObservation(WireResult.CONNECTION_LOST), Outcome.RESET, False),
    (AttemptObservation(WireResult.TIMED_OUT), Outcome.TIMEOUT, False),
    (AttemptObservation(WireResult.MALFORMED), Outcome.RESET, False),
    (AttemptObservation(WireResult.CANCELLED), Outcome.CANCELLED, False),
    *((AttemptObservation(WireResult.ANSWERED, status), Outcome.REJECTED, False) for status in (429, 503)),
    *(
        (AttemptObservation(WireResult.ANSWERED, status), Outcome.ERROR, False)
        for status in (301, 400, 401, 403, 404, 408, 409, 413, 415, 422, 500, 501, 502, 504)
    ),
    (AttemptObservation(WireResult.ANSWERED, 200, None, ReceiptStatus.NOT_ASKED), Outcome.OK, True),
    (AttemptObservation(WireResult.ANSWERED, 200, None, ReceiptStatus.POSITIVE), Outcome.OK, True),
    (AttemptObservation(WireResult.ANSWERED, 202, None, ReceiptStatus.POSITIVE), Outcome.OK, True),
    (AttemptObservation(WireResult.ANSWERED, 200, None, ReceiptStatus.DUPLICATE), Outcome.OK, True),
    (AttemptObservation(WireResult.ANSWERED, 200, None, ReceiptStatus.NEGATIVE), Outcome.OK, True),
    (
        AttemptObservation(WireResult.REQUEST_INCOMPLETE),
        Outcome.CONNECT_FAILED,
        False,
    ),  # its last byte never left: nothing can have run
    (AttemptObservation(WireResult.ANSWERED, 500, request_complete=False), Outcome.CONNECT_FAILED, False),
    *(
        (AttemptObservation(WireResult.ANSWERED, 200, None, receipt), Outcome.ERROR, False)
        for receipt in (
            ReceiptStatus.MISSING,
            ReceiptStatus.UNPROVEN,
            ReceiptStatus.OTHER_MESSAGE,
            ReceiptStatus.WRONG_MIC,
        )
    ),
]


@pytest.mark.parametrize(("seen", "outcome", "finished"), ROWS)
def test_each_row(seen: AttemptObservation, outcome: Outcome, finished: bool) -> None:
    found = judge_attempt(seen)
    assert (found.outcome, found.is_final) == (outcome, finished) and found.reason


@given(
    st.builds(
        AttemptObservation,
        st.sampled_from(WireResult),
        st.integers(200, 599),
        st.one_of(st.none(), st.floats(-1e12, 1e12)),
        st.sampled_from(ReceiptStatus),
        st.booleans(),
    )
)
def test_only_proof_is_taken_for_proof(seen: AttemptObservation) -> None:
    found = judge_attempt(seen)
    if found.outcome.proves_no_effect:
        never_whole = (
            seen.wire_result in (WireResult.NOT_SENT, WireResult.NO_CONNECTION, WireResult.REQUEST_INCOMPLETE)
            or not seen.request_complete
        )
        assert never_whole or seen.status in (429, 503)
    assert found.is_final == (found.outcome is Outcome.OK) and 0 <= found.retry_after_ms <= MAX_RETRY_AFTER_MS
    assert found.retry_after_ms == 0 or found.outcome is Outcome.REJECTED


def test_an_identifier_is_one_message_until_it_is_forgotten() -> None:
    known: SubmissionTable[str, str] = SubmissionTable(retention_ms=100, max_answers=2)
    assert known.lookup(0, "a", "<1>", b"x")[0] is SubmissionStatus.NEW
    known.start("a", "<1>", b"x", "held")
    assert known.lookup(1, "a", "<1>", b"x")[0] is SubmissionStatus.OPEN
    assert known.lookup(1, "a", "<1>", b"y")[0] is SubmissionStatus.CONFLICT
    assert known.lookup(1, "b", "<1>", b"y")[0] is SubmissionStatus.NEW  # another sender's
    known.forget_rejected("a", "<1>")
    assert known.lookup(2, "a", "<1>", b"y")[0] is SubmissionStatus.NEW  # after a refusal all is open
    known.start("a", "<1>", b"y", "held")
    known.complete(10, "a", "<1>", "receipt")
    hand, found = known.lookup(109, "a", "<1>", b"y")
    assert hand is SubmissionStatus.ANSWERED and found is not None and found.answer == "receipt"
    assert known.lookup(110, "a", "<1>", b"y")[0] is SubmissionStatus.NEW and not known.known


def test_answers_kept_are_bounded_and_open_messages_are_never_forgotten() -> None:
    known: SubmissionTable[str, str] = SubmissionTable(retention_ms=1e9, max_answers=3)
    known.start("a", "<open>", b"", "held")
    for n in range(50):
        known.start("a", f"<{n}>", b"", "held")
        known.complete(n, "a", f"<{n}>", "receipt")
        assert known.lookup(n, "a", "<none>", b"")[0] is SubmissionStatus.NEW
    assert len(known.known) == 4 and known.evicted_count == 47
    assert known.lookup(60, "a", "<open>", b"")[0] is SubmissionStatus.OPEN
    with pytest.raises(AssertionError):
        known.complete(61, "a", "<49>", "another")


def test_the_first_rule_that_fits_counts() -> None:
    router = Router(
        (
            Rule(1, sender="dir-*", subject="plata*"),
            Rule(2, receiver="firma-1"),
            Rule(3, content_type="application/edi*"),
        )
    )
    for args, class_ in [
        (("dir-x", "b", "plata 7", "text/plain"), 1),
        (("dir-x", "firma-1", "x", "a/b"), 2),
        (("z", "firma-1", "plata", "a/b"), 2),
        (("z", "b", "x", "Application/EDI-X12"), 3),
        (("z", "Firma-1", "x", "a/b"), 0),
        (("", "", "", ""), 0),
    ]:
        found = router.match(*args)
        assert (found.class_index if found else 0) == class_


def test_handing_back_ends_with_success_or_after_its_tries() -> None:
    assert receipt_retry.next_attempt_ms(1, True) is None
    pauses = [receipt_retry.next_attempt_ms(n, False) for n in range(1, receipt_retry.MAX_ATTEMPTS + 1)]
    assert pauses[-1] is None and pauses[:-1] == sorted(p for p in pauses if p)
