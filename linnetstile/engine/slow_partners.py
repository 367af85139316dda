"""Detects partners that occupy in-flight slots for unusually long.

No I/O and no clock: times (ms) come in as arguments. docs/design/slow-peers.md gives the reasons for the rules.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

# A partner becomes slow above `ENTRY_FACTOR` times the median slot time and recovers below `EXIT_FACTOR` times it.
# Between the two its state is kept: this hysteresis keeps a partner that stalls now and then from flapping.
ENTRY_FACTOR = 4.0
EXIT_FACTOR = 2.0
MIN_SLOW_MS = 400.0  # a partner with a shorter slot time is never slow, whatever the median is
MIN_ATTEMPTS = 3.0  # attempts before a partner is judged
SLOT_TIME_GAIN = 0.2  # weight of one attempt in the moving mean of the slot time
MIN_STATE_MS = 5000.0  # minimum time in the slow state, and below the exit bound before a partner has recovered
SLOW_PARTNER_WEIGHT = 0.25  # weight of a slow partner in the fair shares


@dataclass(slots=True)
class Partner:
    """Slot times and state of one partner.

    Attributes:
        name: Name of the partner.
        mean_slot_ms: Moving mean of the slot time of an attempt.
        attempt_count: Attempts that have ended.
        slow_since: Time (ms) at which the partner became slow; None while it is not slow.
        recovered_since: Time (ms) since which a slow partner is below the exit bound; None while it is above.
        times_slow: How often the partner has become slow.
        reason: Why the state changed last, for operators.
        in_flight: Start time (ms) of each attempt that has not ended, by token.
    """

    name: str
    mean_slot_ms: float = 0.0
    attempt_count: float = 0.0
    slow_since: float | None = None
    recovered_since: float | None = None
    times_slow: int = 0
    reason: str = ""
    in_flight: dict[int, float] = field(default_factory=dict)

    @property
    def has_enough_ended_attempts(self) -> bool:
        """Whether enough attempts have ended for the mean slot time to count in the median."""
        return self.attempt_count >= MIN_ATTEMPTS

    @property
    def has_enough_attempts(self) -> bool:
        """Whether enough attempts have ended or are in flight to judge the partner."""
        return self.attempt_count + len(self.in_flight) >= MIN_ATTEMPTS

    def record_attempt(self, slot_ms: float) -> None:
        """Add the slot time of an ended attempt to the mean, in which the first few attempts weigh the same."""
        self.attempt_count += 1
        is_arithmetic_mean = self.attempt_count <= 1 / SLOT_TIME_GAIN
        gain = 1 / self.attempt_count if is_arithmetic_mean else SLOT_TIME_GAIN
        self.mean_slot_ms += gain * (slot_ms - self.mean_slot_ms)

    def current_slot_ms(self, now_ms: float) -> float:
        """Return the slot time (ms) as of now: an attempt in flight counts for as long as it has taken so far."""
        longest_ms = max((now_ms - started_at for started_at in self.in_flight.values()), default=0.0)
        mean_if_ended_now = SLOT_TIME_GAIN * longest_ms + (1 - SLOT_TIME_GAIN) * self.mean_slot_ms
        return max(self.mean_slot_ms, mean_if_ended_now)


class SlowPartnerDetector:
    """Detects partners that occupy in-flight slots for long.

    The evidence is slot time: of attempts that have ended, whatever their outcome, and of attempts in flight once they
    take longer than the mean.

    Entry condition of the slow state: at least `MIN_ATTEMPTS` attempts and a slot time above `ENTRY_FACTOR` times the
    median. Exit condition: a slot time below `EXIT_FACTOR` times the median for `MIN_STATE_MS`. As the mean changes
    only with attempts that end, a partner recovers by quick attempts and never just because it has no attempts.
    """

    def __init__(self) -> None:
        self.partners: dict[str, Partner] = {}

    def partner(self, name: str) -> Partner:
        """Return the record of a partner, which is created at its first use."""
        partner = self.partners.get(name)
        if partner is None:
            partner = self.partners[name] = Partner(name)
        return partner

    def attempt_started(self, now_ms: float, name: str, token: int) -> None:
        """Record that an attempt occupies a slot from now on; `token` identifies it until it ends."""
        self.partner(name).in_flight[token] = now_ms

    def attempt_ended(self, now_ms: float, name: str, token: int) -> None:
        """Record that an attempt has released its slot."""
        partner = self.partner(name)
        slot_ms = now_ms - partner.in_flight.pop(token, now_ms)
        partner.record_attempt(slot_ms)

    def median_slot_ms(self) -> float:
        """Return the median slot time (ms) of the partners that are not slow, or of all where all are slow."""
        judged = [partner for partner in self.partners.values() if partner.has_enough_ended_attempts]
        if not judged:
            return 0.0
        not_slow = [partner for partner in judged if partner.slow_since is None]
        return statistics.median(partner.mean_slot_ms for partner in not_slow or judged)

    def slot_ms(self, now_ms: float, partner: Partner) -> float:
        """Return the slot time (ms) of a partner as of now."""
        return partner.current_slot_ms(now_ms)

    def update(self, now_ms: float) -> list[Partner]:
        """Apply the entry and exit conditions to all partners.

        Returns:
            The partners that have just become slow or have just recovered.
        """
        median = self.median_slot_ms()
        changed = []
        for partner in self.partners.values():
            if partner.slow_since is None:
                has_changed = self._enter_if_slow(now_ms, partner, median)
            else:
                has_changed = self._exit_if_recovered(now_ms, partner, median)
            if has_changed:
                changed.append(partner)
        return changed

    @staticmethod
    def _enter_if_slow(now_ms: float, partner: Partner, median: float) -> bool:
        assert partner.slow_since is None, "the partner is slow already"
        slot_ms = partner.current_slot_ms(now_ms)
        entry_bound_ms = max(MIN_SLOW_MS, ENTRY_FACTOR * median)
        if not partner.has_enough_attempts or slot_ms <= entry_bound_ms:
            return False
        partner.slow_since = now_ms
        partner.recovered_since = None
        partner.times_slow += 1
        partner.reason = f"slot time of {slot_ms:.0f} ms an attempt, median of {median:.0f} ms"
        return True

    @staticmethod
    def _exit_if_recovered(now_ms: float, partner: Partner, median: float) -> bool:
        assert partner.slow_since is not None, "the partner is not slow"
        slot_ms = partner.current_slot_ms(now_ms)
        exit_bound_ms = max(MIN_SLOW_MS, EXIT_FACTOR * median)
        if slot_ms > exit_bound_ms:
            partner.recovered_since = None
            return False
        if partner.recovered_since is None:
            partner.recovered_since = now_ms
            return False
        quick_since = max(partner.recovered_since, partner.slow_since)
        if now_ms - quick_since < MIN_STATE_MS:
            return False
        partner.slow_since = None
        partner.reason = f"slot time of {slot_ms:.0f} ms an attempt for {MIN_STATE_MS / 1000:.0f} s"
        return True
