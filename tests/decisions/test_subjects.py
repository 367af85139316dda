"""The decisions beside the module: what an attempt proves, identifiers handed in again, routing, handing back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.decisions import handback
from linnetstile.decisions.evidence import WAIT_MAX_MS, Receipt, Seen, Sight, proof
from linnetstile.decisions.identifiers import Hand, Identifiers
from linnetstile.decisions.interface import Outcome
from linnetstile.decisions.routing import Router, Rule

ROWS = [
    (Seen(Sight.NOT_SENT), Outcome.NOT_SENT, False),
    (Seen(Sight.NO_CONNECTION), Outcome.CONNECT_FAILED, False),
    (Seen(Sight.LOST), Outcome.RESET, False),
    (Seen(Sight.TIMED_OUT), Outcome.TIMEOUT, False),
    (Seen(Sight.GARBLED), Outcome.RESET, False),
    (Seen(Sight.CANCELLED), Outcome.CANCELLED, False),
    *((Seen(Sight.ANSWERED, status), Outcome.FULL, False) for status in (429, 503)),
    *(
        (Seen(Sight.ANSWERED, status), Outcome.ERROR, False)
        for status in (301, 400, 401, 403, 404, 408, 409, 413, 415, 422, 500, 501, 502, 504)
    ),
    (Seen(Sight.ANSWERED, 200, None, Receipt.NOT_ASKED), Outcome.OK, True),
    (Seen(Sight.ANSWERED, 200, None, Receipt.POSITIVE), Outcome.OK, True),
    (Seen(Sight.ANSWERED, 202, None, Receipt.POSITIVE), Outcome.OK, True),
    (Seen(Sight.ANSWERED, 200, None, Receipt.DUPLICATE), Outcome.OK, True),
    (Seen(Sight.ANSWERED, 200, None, Receipt.NEGATIVE), Outcome.OK, True),
    (Seen(Sight.CUT), Outcome.CONNECT_FAILED, False),  # its last byte never left: nothing can have run
    (Seen(Sight.ANSWERED, 500, whole=False), Outcome.CONNECT_FAILED, False),
    *(
        (Seen(Sight.ANSWERED, 200, None, receipt), Outcome.ERROR, False)
        for receipt in (Receipt.MISSING, Receipt.UNPROVEN, Receipt.OTHER_MESSAGE, Receipt.WRONG_MIC)
    ),
]


@pytest.mark.parametrize(("seen", "outcome", "finished"), ROWS)
def test_each_row(seen: Seen, outcome: Outcome, finished: bool) -> None:
    found = proof(seen)
    assert (found.outcome, found.finished) == (outcome, finished) and found.reason


@given(
    st.builds(
        Seen,
        st.sampled_from(Sight),
        st.integers(200, 599),
        st.one_of(st.none(), st.floats(-1e12, 1e12)),
        st.sampled_from(Receipt),
        st.booleans(),
    )
)
def test_only_proof_is_taken_for_proof(seen: Seen) -> None:
    found = proof(seen)
    if found.outcome.proves_no_effect:
        never_whole = seen.sight in (Sight.NOT_SENT, Sight.NO_CONNECTION, Sight.CUT) or not seen.whole
        assert never_whole or seen.status in (429, 503)
    assert found.finished == (found.outcome is Outcome.OK) and 0 <= found.wait_ms <= WAIT_MAX_MS
    assert found.wait_ms == 0 or found.outcome is Outcome.FULL


def test_an_identifier_is_one_message_until_it_is_forgotten() -> None:
    known: Identifiers[str, str] = Identifiers(keep_ms=100, most=2)
    assert known.look(0, "a", "<1>", b"x")[0] is Hand.NEW
    known.open("a", "<1>", b"x", "held")
    assert known.look(1, "a", "<1>", b"x")[0] is Hand.OPEN
    assert known.look(1, "a", "<1>", b"y")[0] is Hand.CONFLICT
    assert known.look(1, "b", "<1>", b"y")[0] is Hand.NEW  # another sender's
    known.refused("a", "<1>")
    assert known.look(2, "a", "<1>", b"y")[0] is Hand.NEW  # after a refusal all is open
    known.open("a", "<1>", b"y", "held")
    known.close(10, "a", "<1>", "receipt")
    hand, found = known.look(109, "a", "<1>", b"y")
    assert hand is Hand.ANSWERED and found is not None and found.answer == "receipt"
    assert known.look(110, "a", "<1>", b"y")[0] is Hand.NEW and not known.known


def test_answers_kept_are_bounded_and_open_messages_are_never_forgotten() -> None:
    known: Identifiers[str, str] = Identifiers(keep_ms=1e9, most=3)
    known.open("a", "<open>", b"", "held")
    for n in range(50):
        known.open("a", f"<{n}>", b"", "held")
        known.close(n, "a", f"<{n}>", "receipt")
        assert known.look(n, "a", "<none>", b"")[0] is Hand.NEW
    assert len(known.known) == 4 and known.given_up == 47
    assert known.look(60, "a", "<open>", b"")[0] is Hand.OPEN
    with pytest.raises(AssertionError):
        known.close(61, "a", "<49>", "another")


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
        assert (found.class_ if found else 0) == class_


def test_handing_back_ends_with_success_or_after_its_tries() -> None:
    assert handback.next_try(1, True) is None
    pauses = [handback.next_try(n, False) for n in range(1, handback.TRIES + 1)]
    assert pauses[-1] is None and pauses[:-1] == sorted(p for p in pauses if p)
