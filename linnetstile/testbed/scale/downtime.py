"""The downtimes of relays, and the lifetimes of their processes between them."""

from __future__ import annotations

from dataclasses import dataclass

from .platform_model import Lifetime


@dataclass(frozen=True, slots=True, order=True)
class Downtime:
    """A time in which a relay has no process, and what the next process finds.

    Attributes:
        begin_ms: End of the previous process.
        end_ms: Start of the next process.
        keeps_state: Whether the next process finds the journal of the previous one.
        backlog: Messages for each destination in use that are added to the journal of the next process.
    """

    begin_ms: float
    end_ms: float
    keeps_state: bool = False
    backlog: int = 0


Downtimes = dict[int, list[Downtime]]
"""The downtimes of each relay, by its number."""


def lifetimes_between(downtimes: list[Downtime], end_ms: float) -> list[Lifetime]:
    """Return the lifetimes of the processes of one relay, up to the end of the run."""
    lifetimes: list[Lifetime] = []
    previous = Downtime(begin_ms=0.0, end_ms=0.0)
    for downtime in sorted(downtimes):
        lifetimes.append(_lifetime_between(previous, downtime.begin_ms))
        previous = downtime
    if previous.end_ms < end_ms:
        lifetimes.append(_lifetime_between(previous, end_ms))
    return lifetimes


def _lifetime_between(previous: Downtime, end_ms: float) -> Lifetime:
    """Return the lifetime of the process that starts at the end of a downtime and ends at `end_ms`."""
    return Lifetime(previous.end_ms, end_ms, previous.keeps_state, previous.backlog)
