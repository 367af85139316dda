"""Scripted faults of partners, by name and time."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterable
from typing import Literal

from pydantic import Field

from ..config.files import StrictModel

FaultKind = Literal[
    "hang",
    "vanish",
    "reset",
    "shut",
    "fast_errors",
    "slow",
    "pauses",
    "crash",
    "answer_lost",
    "class_fail",
    "no_receipt",
    "wrong_mic",
    "forged_receipt",
    "garbage",
    "trickle",
    "crawl",
]
OUTAGE_KINDS = ("hang", "vanish", "shut", "crash")  # a partner returns from these warming up
OUTAGE_ERROR_SHARE = 0.5  # fast errors for more than this share of the calls are an outage too
DEFAULT_CRAWL_BYTES_PER_S = 200


def matches_any(partner: str, patterns: Iterable[str]) -> bool:
    """Whether the name of a partner matches one of the shell-style patterns."""
    return any(fnmatch.fnmatchcase(partner, pattern) for pattern in patterns)


class Fault(StrictModel):
    """One fault at partners: from `at_s` for `for_s`, counted from the start of the run."""

    kind: FaultKind
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    partners: list[str] = Field(min_length=1)  # patterns
    endpoints: list[int] = []  # none = all of the partner's
    share: float = Field(1.0, ge=0, le=1)  # of calls that it affects
    factor: float = Field(4.0, gt=0)  # slow: multiple of the normal work
    bytes: int = Field(0, ge=0)  # reset: bytes of the answer before it; crawl: bytes a second that are read, 0 = 200
    subject: str = "*"  # class_fail and the receipts: pattern of the messages
    stall_ms: float = Field(350.0, gt=0)  # pauses: length of one
    every_ms: float = Field(2000.0, gt=0)
    how: Literal["silence", "reset"] = "silence"  # answer_lost

    def affects(self, partner: str, endpoint: int) -> bool:
        """Whether calls to this endpoint can meet the fault."""
        return matches_any(partner, self.partners) and (not self.endpoints or endpoint in self.endpoints)

    def is_active(self, elapsed_s: float) -> bool:
        """Whether it is on, so long after the start of the run."""
        return self.at_s <= elapsed_s < self.at_s + self.for_s

    @property
    def is_outage(self) -> bool:
        """Whether it takes the partner out, so that it returns warming up."""
        return self.kind in OUTAGE_KINDS or self.kind == "fast_errors" and self.share > OUTAGE_ERROR_SHARE

    @property
    def crawl_bytes_per_s(self) -> int:
        """Rate at which a crawling partner reads a body."""
        return self.bytes or DEFAULT_CRAWL_BYTES_PER_S
