"""Faults by name and time, as every stand-in is scripted."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterable
from typing import Literal

from pydantic import Field

from ..config.files import Strict

PARTNER_KINDS = Literal[
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
OUTAGES = ("hang", "vanish", "shut", "crash")  # what a partner comes back from cold


def named(partner: str, patterns: Iterable[str]) -> bool:
    return any(fnmatch.fnmatchcase(partner, pattern) for pattern in patterns)


class Fault(Strict):
    """One trouble at partners: from `at_s` for `for_s`, counted from the run's start."""

    kind: PARTNER_KINDS
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    partners: list[str] = Field(min_length=1)  # patterns
    endpoints: list[int] = []  # none = all of the partner's
    share: float = Field(1.0, ge=0, le=1)  # of calls that it hits
    factor: float = Field(4.0, gt=0)  # slow: times the usual work
    bytes: int = Field(0, ge=0)  # reset: bytes of the answer before it; crawl: bytes a second that are read, 0 = 200
    subject: str = "*"  # class_fail and the receipts: whose
    stall_ms: float = Field(350.0, gt=0)  # pauses: length of one
    every_ms: float = Field(2000.0, gt=0)
    how: Literal["silence", "reset"] = "silence"  # answer_lost

    def hits(self, partner: str, endpoint: int) -> bool:
        return named(partner, self.partners) and (not self.endpoints or endpoint in self.endpoints)

    def active(self, seconds: float) -> bool:
        return self.at_s <= seconds < self.at_s + self.for_s

    @property
    def outage(self) -> bool:
        """Whether it takes the partner out, so that it returns cold."""
        return self.kind in OUTAGES or self.kind == "fast_errors" and self.share > 0.5
