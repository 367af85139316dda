"""What the end of one attempt proves: from what was seen on the wire to the words of the module.

The module acts on `Outcome`; whether an effect may have happened follows from that alone. Where the wire says less
than the module's words, the row takes the word that promises less. docs/design/relay.md argues each row."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .events import Outcome

MAX_RETRY_AFTER_MS = (
    3_600_000.0  # a told wait beyond an hour is no wait but an error or an attack: it counts as an hour
)


class WireResult(Enum):
    """How far an attempt got, as the network shows it."""

    NOT_SENT = "not_sent"  # the last byte of the request never left this process, for a reason of our own
    NO_CONNECTION = "no_connection"
    REQUEST_INCOMPLETE = "cut"  # ended before the last byte of the request had left this process
    CONNECTION_LOST = "lost"  # the connection ended after a byte had left, before the answer was complete
    TIMED_OUT = "timed_out"
    MALFORMED = "garbled"  # what came back is not HTTP
    CANCELLED = "cancelled"
    ANSWERED = "answered"


class ReceiptStatus(Enum):
    """What came with, or after, an answer of 2xx."""

    NOT_ASKED = "not_asked"
    MISSING = "missing"  # asked for, and there is none to read
    UNPROVEN = "unproven"  # unsigned or signed by another where a signature was asked for
    OTHER_MESSAGE = "other_message"  # names another Message-ID
    WRONG_MIC = "wrong_mic"
    POSITIVE = "positive"
    DUPLICATE = "duplicate"  # processed before: duplicate-document
    NEGATIVE = "negative"  # processed/error or failed, and proven


@dataclass(frozen=True, slots=True)
class AttemptObservation:
    """One attempt's end. `retry_after_ms` is None where no wait was told."""

    wire_result: WireResult
    status: int = 0
    retry_after_ms: float | None = None
    receipt: ReceiptStatus = ReceiptStatus.NOT_ASKED
    request_complete: bool = True  # the last byte of the request had left when the answer came
    after_deadline: bool = False  # the message's time was up when the answer was read


@dataclass(frozen=True, slots=True)
class AttemptVerdict:
    """`finished`: the partner's answer is the final one, whatever it says. `reason` is for people."""

    outcome: Outcome
    reason: str
    is_final: bool = False
    retry_after_ms: float = 0.0
    slots_exhausted: bool = False


VERDICT_BY_WIRE_RESULT = {
    WireResult.NOT_SENT: AttemptVerdict(Outcome.NOT_SENT, "its last byte never left, by our own will or want"),
    WireResult.NO_CONNECTION: AttemptVerdict(Outcome.CONNECT_FAILED, "no connection was made"),
    # RFC 9112, 8: an incomplete request can't be acted on. As a connection that was not made: nothing arrived.
    WireResult.REQUEST_INCOMPLETE: AttemptVerdict(
        Outcome.CONNECT_FAILED, "ended before the request was whole: nothing can have run"
    ),
    WireResult.CONNECTION_LOST: AttemptVerdict(Outcome.RESET, "connection lost after a byte had left: may have run"),
    WireResult.TIMED_OUT: AttemptVerdict(Outcome.TIMEOUT, "no answer in time: may have run"),
    WireResult.MALFORMED: AttemptVerdict(Outcome.RESET, "the answer is not HTTP: may have run"),
    WireResult.CANCELLED: AttemptVerdict(Outcome.CANCELLED, "cancelled: may have run"),
}
VERDICT_BY_RECEIPT = {
    ReceiptStatus.NOT_ASKED: AttemptVerdict(Outcome.OK, "taken; no receipt was asked for", True),
    ReceiptStatus.POSITIVE: AttemptVerdict(Outcome.OK, "receipt holds", True),
    # An earlier attempt took effect, ours or that of a relay before us: delivered (RFC 4130, 7.5.4).
    ReceiptStatus.DUPLICATE: AttemptVerdict(Outcome.OK, "processed before: duplicate-document", True),
    # The destination is well and has said its last word on this message; it is handed on as it is.
    ReceiptStatus.NEGATIVE: AttemptVerdict(Outcome.OK, "receipt says not processed", True),
    # From here on nothing shows what was done with which bytes.
    ReceiptStatus.MISSING: AttemptVerdict(Outcome.ERROR, "2xx without the receipt asked for: may have run"),
    ReceiptStatus.UNPROVEN: AttemptVerdict(Outcome.ERROR, "receipt not signed by the partner: may have run"),
    ReceiptStatus.OTHER_MESSAGE: AttemptVerdict(Outcome.ERROR, "receipt of another message: may have run"),
    ReceiptStatus.WRONG_MIC: AttemptVerdict(Outcome.ERROR, "receipt for other content: may have run"),
}


def judge_attempt(seen: AttemptObservation) -> AttemptVerdict:
    """The row for what was seen. RFC 9110, 15: 503 and 429 say the request was not handled (15.6.4; RFC 6585, 4);
    no other status says that nothing ran, so each of them leaves the effect open."""
    if seen.wire_result is not WireResult.ANSWERED:
        return VERDICT_BY_WIRE_RESULT[seen.wire_result]
    if seen.status in (429, 503):
        wait = min(max(seen.retry_after_ms or 0.0, 0.0), MAX_RETRY_AFTER_MS)
        return AttemptVerdict(
            Outcome.REJECTED, f"{seen.status}: refused" + (f", wait {wait:.0f} ms" if wait else ""), retry_after_ms=wait
        )
    if 200 <= seen.status < 300:
        return VERDICT_BY_RECEIPT[seen.receipt]
    if not seen.request_complete:
        return AttemptVerdict(
            Outcome.CONNECT_FAILED, f"{seen.status} before the request was whole: nothing can have run"
        )
    return AttemptVerdict(Outcome.ERROR, f"{seen.status}: may have run")


def judge_endpoint_attempt(seen: AttemptObservation, claimed: int = 0, no_slot: bool = False) -> AttemptVerdict:
    """The row for a call to an endpoint of the platform, whose page gives these rows. `claimed` is the status in a
    first line whose rest is spoilt: 200 holds all the same, no other one does. `no_slot`: 503 told that all slots of
    this relay were taken."""
    if claimed == 200 or seen.wire_result is WireResult.ANSWERED and seen.status == 200:
        if seen.after_deadline:  # the platform may not count it, and then an end is owed
            return AttemptVerdict(Outcome.TIMEOUT, "200 once its time was up: may have run")
        return AttemptVerdict(Outcome.OK, "200: delivered", True)
    if seen.wire_result is not WireResult.ANSWERED:
        return VERDICT_BY_WIRE_RESULT[seen.wire_result]
    if seen.status == 503 and no_slot:
        return AttemptVerdict(Outcome.NOT_SENT, "503: all slots of this relay are taken", slots_exhausted=True)
    if seen.status == 504:
        return AttemptVerdict(Outcome.NOT_SENT, "504: had all its attempts; its end is owed")
    if seen.status == 410:
        return AttemptVerdict(Outcome.NOT_SENT, "410: it is over; nothing more is owed", True)
    return judge_attempt(seen)
