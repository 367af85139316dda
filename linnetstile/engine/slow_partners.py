"""Which partners hold in-flight slots for long. Times (ms) come in as arguments."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

# An office enters the slow ones above ENTER times the usual slot time and leaves below LEAVE times it: between the two
# nothing changes, so an office that stalls now and then is one or the other and doesn't flap.
ENTRY_FACTOR, EXIT_FACTOR = 4.0, 2.0


MIN_SLOW_MS = 400.0  # quicker than this is never slow, whatever the others do


MIN_ATTEMPTS = 3.0  # attempts seen before anything is said


SLOT_TIME_GAIN = 0.2  # of one attempt in the mean slot time


MIN_STATE_MS = 5000.0  # slow for at least so long, and quick for as long before it is trusted again


SLOW_PARTNER_WEIGHT = 0.25  # weight of a slow office in the shares


@dataclass(slots=True)
class Partner:
    name: str
    mean_slot_ms: float = 0.0  # slot time of an attempt
    attempts_seen: float = 0.0
    slow_since: float | None = None
    recovered_since: float | None = None  # below LEAVE since
    times_slow: int = 0
    reason: str = ""
    in_flight: dict[int, float] = field(default_factory=dict)  # attempts under way: token -> begin


class SlowPartnerDetector:
    """Which offices hold slots for long. Evidence is slot time: of attempts that have ended, whatever came out, and of
    those under way once they take longer than what is known. An office is trusted again by attempts that end quickly,
    never by silence alone."""

    def __init__(self) -> None:
        self.partners: dict[str, Partner] = {}

    def partner(self, name: str) -> Partner:
        office = self.partners.get(name)
        if office is None:
            office = self.partners[name] = Partner(name)
        return office

    def attempt_started(self, now: float, name: str, token: int) -> None:
        self.partner(name).in_flight[token] = now

    def attempt_ended(self, now: float, name: str, token: int) -> None:
        office = self.partner(name)
        took = now - office.in_flight.pop(token, now)
        seen = office.attempts_seen + 1
        office.mean_slot_ms += (SLOT_TIME_GAIN if seen > 1 / SLOT_TIME_GAIN else 1 / seen) * (
            took - office.mean_slot_ms
        )
        office.attempts_seen = seen

    def median_slot_ms(self) -> float:
        """Median slot time over the offices that have been seen enough, those not slow first."""
        means = [
            o.mean_slot_ms for o in self.partners.values() if o.attempts_seen >= MIN_ATTEMPTS and o.slow_since is None
        ]
        means = means or [o.mean_slot_ms for o in self.partners.values() if o.attempts_seen >= MIN_ATTEMPTS]
        return statistics.median(means) if means else 0.0

    def slot_ms(self, now: float, office: Partner) -> float:
        """Slot time as of now: attempts under way count for as long as they have been."""
        longest = max((now - since for since in office.in_flight.values()), default=0.0)
        return max(office.mean_slot_ms, SLOT_TIME_GAIN * longest + (1 - SLOT_TIME_GAIN) * office.mean_slot_ms)

    def update(self, now: float) -> list[Partner]:
        """The offices that have just become slow or are trusted again."""
        usual, changed = self.median_slot_ms(), []
        for office in self.partners.values():
            took = self.slot_ms(now, office)
            if office.slow_since is None:
                if office.attempts_seen + len(office.in_flight) >= MIN_ATTEMPTS and took > max(
                    MIN_SLOW_MS, ENTRY_FACTOR * usual
                ):
                    office.slow_since, office.recovered_since = now, None
                    office.times_slow += 1
                    office.reason = f"{took:.0f} ms of slot time an attempt, {usual:.0f} ms is usual"
                    changed.append(office)
            elif took > max(MIN_SLOW_MS, EXIT_FACTOR * usual):
                office.recovered_since = None
            elif office.recovered_since is None:
                office.recovered_since = now
            elif now - max(office.recovered_since, office.slow_since) >= MIN_STATE_MS:
                office.slow_since = None
                office.reason = f"{took:.0f} ms of slot time an attempt for {MIN_STATE_MS / 1000:.0f} s"
                changed.append(office)
        return changed
