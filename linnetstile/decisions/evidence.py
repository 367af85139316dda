"""What the end of one attempt proves: from what was seen on the wire to the words of the module.

The module acts on `Outcome`; whether an effect may have happened follows from that alone. Where the wire says less
than the module's words, the row takes the word that promises less. docs/design/relay.md argues each row."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .interface import Outcome

WAIT_MAX_MS = 3_600_000.0  # a told wait beyond an hour is no wait but an error or an attack: it counts as an hour


class Sight(Enum):
    """How far an attempt got, as the network shows it."""

    NOT_SENT = "not_sent"  # the last byte of the request never left this process, for a reason of our own
    NO_CONNECTION = "no_connection"
    CUT = "cut"  # ended before the last byte of the request had left this process
    LOST = "lost"  # the connection ended after a byte had left, before the answer was complete
    TIMED_OUT = "timed_out"
    GARBLED = "garbled"  # what came back is not HTTP
    CANCELLED = "cancelled"
    ANSWERED = "answered"


class Receipt(Enum):
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
class Seen:
    """One attempt's end. `retry_after_ms` is None where no wait was told."""

    sight: Sight
    status: int = 0
    retry_after_ms: float | None = None
    receipt: Receipt = Receipt.NOT_ASKED
    whole: bool = True  # the last byte of the request had left when the answer came
    late: bool = False  # the message's time was up when the answer was read


@dataclass(frozen=True, slots=True)
class Proof:
    """`finished`: the partner's answer is the final one, whatever it says. `reason` is for people."""

    outcome: Outcome
    reason: str
    finished: bool = False
    wait_ms: float = 0.0
    no_slot: bool = False


SIGHTS = {
    Sight.NOT_SENT: Proof(Outcome.NOT_SENT, "its last byte never left, by our own will or want"),
    Sight.NO_CONNECTION: Proof(Outcome.CONNECT_FAILED, "no connection was made"),
    # RFC 9112, 8: an incomplete request can't be acted on. As a connection that was not made: nothing arrived.
    Sight.CUT: Proof(Outcome.CONNECT_FAILED, "ended before the request was whole: nothing can have run"),
    Sight.LOST: Proof(Outcome.RESET, "connection lost after a byte had left: may have run"),
    Sight.TIMED_OUT: Proof(Outcome.TIMEOUT, "no answer in time: may have run"),
    Sight.GARBLED: Proof(Outcome.RESET, "the answer is not HTTP: may have run"),
    Sight.CANCELLED: Proof(Outcome.CANCELLED, "cancelled: may have run"),
}
RECEIPTS = {
    Receipt.NOT_ASKED: Proof(Outcome.OK, "taken; no receipt was asked for", True),
    Receipt.POSITIVE: Proof(Outcome.OK, "receipt holds", True),
    # An earlier attempt took effect, ours or that of a relay before us: delivered (RFC 4130, 7.5.4).
    Receipt.DUPLICATE: Proof(Outcome.OK, "processed before: duplicate-document", True),
    # The destination is well and has said its last word on this message; it is handed on as it is.
    Receipt.NEGATIVE: Proof(Outcome.OK, "receipt says not processed", True),
    # From here on nothing shows what was done with which bytes.
    Receipt.MISSING: Proof(Outcome.ERROR, "2xx without the receipt asked for: may have run"),
    Receipt.UNPROVEN: Proof(Outcome.ERROR, "receipt not signed by the partner: may have run"),
    Receipt.OTHER_MESSAGE: Proof(Outcome.ERROR, "receipt of another message: may have run"),
    Receipt.WRONG_MIC: Proof(Outcome.ERROR, "receipt for other content: may have run"),
}


def proof(seen: Seen) -> Proof:
    """The row for what was seen. RFC 9110, 15: 503 and 429 say the request was not handled (15.6.4; RFC 6585, 4);
    no other status says that nothing ran, so each of them leaves the effect open."""
    if seen.sight is not Sight.ANSWERED:
        return SIGHTS[seen.sight]
    if seen.status in (429, 503):
        wait = min(max(seen.retry_after_ms or 0.0, 0.0), WAIT_MAX_MS)
        return Proof(Outcome.FULL, f"{seen.status}: refused" + (f", wait {wait:.0f} ms" if wait else ""), wait_ms=wait)
    if 200 <= seen.status < 300:
        return RECEIPTS[seen.receipt]
    if not seen.whole:
        return Proof(Outcome.CONNECT_FAILED, f"{seen.status} before the request was whole: nothing can have run")
    return Proof(Outcome.ERROR, f"{seen.status}: may have run")


def endpoint_proof(seen: Seen, claimed: int = 0, no_slot: bool = False) -> Proof:
    """The row for a call to an endpoint of the platform, whose page gives these rows. `claimed` is the status in a
    first line whose rest is spoilt: 200 holds all the same, no other one does. `no_slot`: 503 told that all slots of
    this relay were taken."""
    if claimed == 200 or seen.sight is Sight.ANSWERED and seen.status == 200:
        if seen.late:  # the platform may not count it, and then an end is owed
            return Proof(Outcome.TIMEOUT, "200 once its time was up: may have run")
        return Proof(Outcome.OK, "200: delivered", True)
    if seen.sight is not Sight.ANSWERED:
        return SIGHTS[seen.sight]
    if seen.status == 503 and no_slot:
        return Proof(Outcome.NOT_SENT, "503: all slots of this relay are taken", no_slot=True)
    if seen.status == 504:
        return Proof(Outcome.NOT_SENT, "504: had all its attempts; its end is owed")
    if seen.status == 410:
        return Proof(Outcome.NOT_SENT, "410: it is over; nothing more is owed", True)
    return proof(seen)
