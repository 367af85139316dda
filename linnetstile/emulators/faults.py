"""Scripted faults of partners, by name and time."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterable
from enum import StrEnum
from typing import Literal

from pydantic import Field

from ..config.files import StrictModel


class FaultKind(StrEnum):
    """What a fault does; the values are those of settings files and records."""

    HANG = "hang"  # no call is answered
    VANISH = "vanish"  # no call is answered, as with HANG; records show the two kinds separately
    RESET = "reset"  # the connection is reset during the answer
    UNAVAILABLE = "shut"  # every call is rejected until the end of the fault
    FAST_ERRORS = "fast_errors"  # calls are answered with status 500 at once
    SLOW = "slow"  # the work takes a multiple of its normal time
    PAUSES = "pauses"  # the work stalls once in each period
    CRASH = "crash"  # connections are refused
    ANSWER_LOST = "answer_lost"  # the message takes effect, the answer does not arrive
    CLASS_FAILURE = "class_fail"  # messages of some subjects are not answered
    NO_RECEIPT = "no_receipt"
    WRONG_MIC = "wrong_mic"  # the digest in the receipt is that of other content
    FORGED_RECEIPT = "forged_receipt"  # the receipt is signed with a key that is not the partner's
    GARBAGE = "garbage"  # the answer is not HTTP
    DRIP_FEED = "trickle"  # the answer is written byte by byte
    SLOW_READ = "crawl"  # the request is read slowly


OUTAGE_KINDS = (FaultKind.HANG, FaultKind.VANISH, FaultKind.UNAVAILABLE, FaultKind.CRASH)
"""Kinds of faults after which a partner returns in slow start."""
OUTAGE_ERROR_SHARE = 0.5  # fast errors for more than this share of the calls are an outage too
DEFAULT_SLOW_READ_BYTES_PER_S = 200


def matches_any(partner: str, patterns: Iterable[str]) -> bool:
    """Whether the name of a partner matches one of the shell-style patterns."""
    return any(fnmatch.fnmatchcase(partner, pattern) for pattern in patterns)


class Fault(StrictModel):
    """One fault of partners: from `at_s` for `for_s`, counted from the start of the run."""

    kind: FaultKind
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    partners: list[str] = Field(min_length=1)  # shell-style patterns of partner names
    endpoints: list[int] = []  # empty = all endpoints of the partners
    share: float = Field(1.0, ge=0, le=1)  # share of the calls that the fault affects
    factor: float = Field(4.0, gt=0)  # slow: multiple of the normal work
    bytes: int = Field(0, ge=0)  # reset: bytes of the answer sent before it; crawl: bytes read per second, 0 = 200
    subject: str = "*"  # class_fail and receipt faults: pattern of the subjects affected
    stall_ms: float = Field(350.0, gt=0)  # pauses: length of each stall
    every_ms: float = Field(2000.0, gt=0)  # pauses: period
    how: Literal["silence", "reset"] = "silence"  # answer_lost: whether the connection is reset

    def affects(self, partner: str, endpoint: int) -> bool:
        """Whether calls to this endpoint can meet the fault."""
        return matches_any(partner, self.partners) and (not self.endpoints or endpoint in self.endpoints)

    def is_active(self, elapsed_s: float) -> bool:
        """Whether the fault is active at this time after the start of the run."""
        return self.at_s <= elapsed_s < self.at_s + self.for_s

    @property
    def is_outage(self) -> bool:
        """Whether the partner is down, so that it returns in slow start."""
        is_error_outage = self.kind is FaultKind.FAST_ERRORS and self.share > OUTAGE_ERROR_SHARE
        return self.kind in OUTAGE_KINDS or is_error_outage

    @property
    def slow_read_bytes_per_s(self) -> int:
        """Rate at which a partner reads a body during a slow read."""
        return self.bytes or DEFAULT_SLOW_READ_BYTES_PER_S
