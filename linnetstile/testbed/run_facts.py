"""The facts about a run that the rules need besides its traffic, read from `run.json`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Self

from ..engine.settings import Effect, MessageClass, SafetyLimits
from .relay_lifetime import RelayProcesses


@dataclass(frozen=True, slots=True)
class PartnerFacts:
    """The properties of a partner that the rules need.

    Attributes:
        rate_per_s: Its rate limit in calls per second; 0 if none is known.
        separate_routes: Whether each of its endpoints has its own limits.
    """

    rate_per_s: float = 0.0
    separate_routes: bool = False

    @classmethod
    def from_json(cls, row: dict[str, Any]) -> Self:
        """Read a partner of `run.json`."""
        return cls(float(row.get("rate", 0.0)), bool(row.get("routes_apart")))


def _message_class(name: str, row: dict[str, Any]) -> MessageClass:
    return MessageClass(
        name=name,
        effect=Effect(row["effect"]),
        latency_objective_ms=row["aim_ms"],
        deadline_ms=row["deadline_ms"],
        priority_weight=row["worth"],
        late_value_fraction=row["late_share"],
        deduplication_window_ms=row.get("key_window_ms", 0.0),
        in_order=row.get("in_order", False),
    )


def _safety_limits(row: dict[str, Any]) -> SafetyLimits:
    return SafetyLimits(
        drain_grace_ms=row["drain_grace_ms"],
        slow_start_fraction=row["cold_share"],
        slow_start_ms=row["cold_ms"],
        overload_multiple=row["fall_multiple"],
        overload_window_ms=row["fall_ms"],
    )


@dataclass(frozen=True, slots=True)
class RunFacts:
    """The facts about a whole run.

    Attributes:
        classes: The message classes by name.
        safety: The safety limits of the delivery rules.
        max_attempts: Maximum number of attempts for each submission of a message.
        partners: The partners by name.
        processes: The relay processes and when each of them ran.
    """

    classes: dict[str, MessageClass]
    safety: SafetyLimits
    max_attempts: int
    partners: dict[str, PartnerFacts]
    processes: RelayProcesses

    @classmethod
    def from_json(cls, facts: dict[str, Any]) -> Self:
        """Read `run.json`.

        Raises:
            KeyError: A field is missing.
            ValueError: A field has no valid value.
        """
        return cls(
            classes={name: _message_class(name, row) for name, row in facts["classes"].items()},
            safety=_safety_limits(facts["safety"]),
            max_attempts=facts["attempts"],
            partners={name: PartnerFacts.from_json(row) for name, row in facts["partners"].items()},
            processes=RelayProcesses.from_json(facts["relays"]),
        )

    def partner(self, name: str) -> PartnerFacts:
        """Return the facts about a partner; the defaults if `run.json` does not contain it."""
        return self.partners.get(name, PartnerFacts())
