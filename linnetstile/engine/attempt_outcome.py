"""Maps what was observed of an ended attempt to the outcome that the engine acts on.

Whether the attempt may have taken effect follows from its `Outcome` alone. Where the observations prove less than an
outcome says, the weaker outcome is used. docs/design/relay.md gives the reasons for each row.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .events import Outcome

MAX_RETRY_AFTER_MS = 3_600_000.0  # a Retry-After beyond an hour is an error or an attack: it counts as an hour
STATUS_OK = 200
STATUS_GONE = 410
STATUS_TOO_MANY_REQUESTS = 429
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


class WireResult(Enum):
    """How far an attempt got, as observed on the network."""

    NOT_SENT = "not_sent"  # this relay, for its own reasons, did not send the last byte of the request
    NO_CONNECTION = "no_connection"
    REQUEST_INCOMPLETE = "cut"  # ended before the last byte of the request was sent
    CONNECTION_LOST = "lost"  # the connection ended after bytes were sent and before the answer was complete
    TIMED_OUT = "timed_out"
    MALFORMED = "garbled"  # the answer is not HTTP
    CANCELLED = "cancelled"
    ANSWERED = "answered"


class ReceiptStatus(Enum):
    """The receipt that came with, or after, a 2xx answer."""

    NOT_REQUESTED = "not_asked"
    MISSING = "missing"  # a receipt was requested, and no readable one came
    UNVERIFIED = "unproven"  # unsigned, or signed by someone else, where a signature was requested
    OTHER_MESSAGE = "other_message"  # names another Message-ID
    WRONG_MIC = "wrong_mic"
    POSITIVE = "positive"
    DUPLICATE = "duplicate"  # processed before: duplicate-document
    NEGATIVE = "negative"  # processed/error or failed, and proven


@dataclass(frozen=True, slots=True)
class AttemptObservation:
    """What was observed of one attempt when it ended.

    Attributes:
        wire_result: How far the attempt got.
        status: HTTP status of the answer, 0 without one.
        retry_after_ms: The answer's Retry-After in ms; None without one.
        receipt: The receipt that came with the answer.
        request_complete: Whether the last byte of the request had been sent when the answer came.
        after_deadline: Whether the deadline of the message had passed when the answer was read.
    """

    wire_result: WireResult
    status: int = 0
    retry_after_ms: float | None = None
    receipt: ReceiptStatus = ReceiptStatus.NOT_REQUESTED
    request_complete: bool = True
    after_deadline: bool = False


@dataclass(frozen=True, slots=True)
class AttemptVerdict:
    """What an attempt proves.

    Attributes:
        outcome: The outcome that the engine acts on.
        reason: Reason of the outcome, for operators and clients.
        is_final: Whether the message has ended with this attempt, delivered or not.
        retry_after_ms: Retry-After (ms) that came with a rejection, 0 without one.
        slots_exhausted: Whether all slots of this relay at the endpoint were taken.
    """

    outcome: Outcome
    reason: str
    is_final: bool = False
    retry_after_ms: float = 0.0
    slots_exhausted: bool = False


VERDICT_BY_WIRE_RESULT = {
    WireResult.NOT_SENT: AttemptVerdict(Outcome.NOT_SENT, "its last byte never left, by our own will or want"),
    WireResult.NO_CONNECTION: AttemptVerdict(Outcome.CONNECT_FAILED, "no connection was made"),
    # RFC 9112, 8: an incomplete request can't be acted on, so it counts as an attempt without a connection.
    WireResult.REQUEST_INCOMPLETE: AttemptVerdict(
        Outcome.CONNECT_FAILED, "ended before the request was whole: nothing can have run"
    ),
    WireResult.CONNECTION_LOST: AttemptVerdict(Outcome.RESET, "connection lost after a byte had left: may have run"),
    WireResult.TIMED_OUT: AttemptVerdict(Outcome.TIMEOUT, "no answer in time: may have run"),
    WireResult.MALFORMED: AttemptVerdict(Outcome.RESET, "the answer is not HTTP: may have run"),
    WireResult.CANCELLED: AttemptVerdict(Outcome.CANCELLED, "cancelled: may have run"),
}
VERDICT_BY_RECEIPT = {
    ReceiptStatus.NOT_REQUESTED: AttemptVerdict(Outcome.OK, "taken; no receipt was asked for", is_final=True),
    ReceiptStatus.POSITIVE: AttemptVerdict(Outcome.OK, "receipt holds", is_final=True),
    # An earlier attempt took effect, of this relay or of one before it: delivered (RFC 4130, 7.5.4).
    ReceiptStatus.DUPLICATE: AttemptVerdict(Outcome.OK, "processed before: duplicate-document", is_final=True),
    # The destination is healthy and has given its final answer on this message, which is passed on as it is.
    ReceiptStatus.NEGATIVE: AttemptVerdict(Outcome.OK, "receipt says not processed", is_final=True),
    # Without a valid receipt for this message and content, it is unknown which bytes were processed, and how.
    ReceiptStatus.MISSING: AttemptVerdict(Outcome.ERROR, "2xx without the receipt asked for: may have run"),
    ReceiptStatus.UNVERIFIED: AttemptVerdict(Outcome.ERROR, "receipt not signed by the partner: may have run"),
    ReceiptStatus.OTHER_MESSAGE: AttemptVerdict(Outcome.ERROR, "receipt of another message: may have run"),
    ReceiptStatus.WRONG_MIC: AttemptVerdict(Outcome.ERROR, "receipt for other content: may have run"),
}


def judge_attempt(observation: AttemptObservation) -> AttemptVerdict:
    """Judge an attempt by the HTTP and AS2 standards.

    503 (RFC 9110, 15.6.4) and 429 (RFC 6585, 4) say that the request was not handled. No other status (RFC 9110, 15)
    says so, and each of them leaves open whether the request took effect.
    """
    if observation.wire_result is not WireResult.ANSWERED:
        return VERDICT_BY_WIRE_RESULT[observation.wire_result]
    status = observation.status
    if status in (STATUS_TOO_MANY_REQUESTS, STATUS_SERVICE_UNAVAILABLE):
        return _rejected(status, observation.retry_after_ms)
    if 200 <= status < 300:
        return VERDICT_BY_RECEIPT[observation.receipt]
    if not observation.request_complete:
        return AttemptVerdict(Outcome.CONNECT_FAILED, f"{status} before the request was whole: nothing can have run")
    return AttemptVerdict(Outcome.ERROR, f"{status}: may have run")


def _rejected(status: int, retry_after_ms: float | None) -> AttemptVerdict:
    wait_ms = min(max(retry_after_ms or 0.0, 0.0), MAX_RETRY_AFTER_MS)
    reason = f"{status}: refused"
    if wait_ms:
        reason += f", wait {wait_ms:.0f} ms"
    return AttemptVerdict(Outcome.REJECTED, reason, retry_after_ms=wait_ms)


def judge_endpoint_attempt(
    observation: AttemptObservation, first_line_status: int = 0, slots_exhausted: bool = False
) -> AttemptVerdict:
    """Judge an attempt at an endpoint of the platform, by the platform's contract.

    Args:
        observation: What was observed of the attempt.
        first_line_status: Status in the first line of an answer whose rest is malformed or did not arrive; only 200
            counts.
        slots_exhausted: Whether a 503 said that all slots of this relay were taken.
    """
    is_answered = observation.wire_result is WireResult.ANSWERED
    if first_line_status == STATUS_OK or is_answered and observation.status == STATUS_OK:
        return _platform_success(observation)
    if not is_answered:
        return VERDICT_BY_WIRE_RESULT[observation.wire_result]
    if observation.status == STATUS_SERVICE_UNAVAILABLE and slots_exhausted:
        return AttemptVerdict(Outcome.NOT_SENT, "503: all slots of this relay are taken", slots_exhausted=True)
    if observation.status == STATUS_GATEWAY_TIMEOUT:
        return AttemptVerdict(Outcome.NOT_SENT, "504: all attempts are used up; a final notice is due")
    if observation.status == STATUS_GONE:
        return AttemptVerdict(Outcome.NOT_SENT, "410: the message has ended; nothing more is due", is_final=True)
    return judge_attempt(observation)


def _platform_success(observation: AttemptObservation) -> AttemptVerdict:
    if observation.after_deadline:
        # The platform may not count a 200 after the deadline, and then a final notice is still due.
        return AttemptVerdict(Outcome.TIMEOUT, "200 after the deadline: may have taken effect")
    return AttemptVerdict(Outcome.OK, "200: delivered", is_final=True)
