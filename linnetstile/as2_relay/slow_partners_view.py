"""The admin view `slow`: how long the attempts of each partner hold their slots.

Its JSON names are read by `linnetstile show` and by operators' scripts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..engine.slow_partners import Partner, SlowPartnerDetector
from .relay_view import MAX_ROWS, RelayView


@dataclass(frozen=True, slots=True)
class SlowPartnerRow:
    """How long the attempts of one partner hold their slots.

    Attributes:
        partner: AS2 name of the partner.
        slow_s: Seconds for which it has counted as slow; None if it does not.
        slot_ms: Time that an attempt holds its slot.
        in_flight: Attempts in flight.
        times_slow: How often it has become slow.
        reason: Why it counts as slow, as text for operators.
    """

    partner: str
    slow_s: float | None
    slot_ms: int
    in_flight: int
    times_slow: int
    reason: str

    def to_json(self) -> dict[str, Any]:
        """Return the row under its JSON names."""
        return {
            "partner": self.partner,
            "slow_s": self.slow_s,
            "slot_ms": self.slot_ms,
            "out": self.in_flight,
            "entered": self.times_slow,
            "why": self.reason,
        }


@dataclass(frozen=True, slots=True)
class SlowPartnersView:
    """All partners, the slow ones first, then by slot time."""

    median_slot_ms: int
    rows: list[SlowPartnerRow]

    @property
    def shown_rows(self) -> list[SlowPartnerRow]:
        """The rows that fit into an answer."""
        return self.rows[:MAX_ROWS]

    def to_json(self) -> dict[str, Any]:
        """Return the view under its JSON names."""
        return {
            "usual_ms": self.median_slot_ms,
            "total": len(self.rows),
            "rows": [row.to_json() for row in self.shown_rows],
        }


def slow_partners_view(relay: RelayView) -> SlowPartnersView:
    """Return how long the attempts of each partner hold their slots, and why some count as slow."""
    now_ms = relay.admission.now_ms
    detector = relay.admission.slow_partners
    rows = [_slow_partner_row(detector, partner, now_ms) for partner in detector.partners.values()]
    rows.sort(key=lambda row: (row.slow_s is None, -row.slot_ms))
    return SlowPartnersView(round(detector.median_slot_ms()), rows)


def _slow_partner_row(detector: SlowPartnerDetector, partner: Partner, now_ms: float) -> SlowPartnerRow:
    slow_s = round((now_ms - partner.slow_since) / 1000, 1) if partner.slow_since else None
    return SlowPartnerRow(
        partner=partner.name,
        slow_s=slow_s,
        slot_ms=round(detector.slot_ms(now_ms, partner)),
        in_flight=len(partner.in_flight),
        times_slow=partner.times_slow,
        reason=partner.reason,
    )
