"""The partners of a day and their shares of its traffic."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..emulators.faults import matches_any
from .day import Day, DayClass, PartnerGroup


@dataclass(frozen=True, slots=True)
class PlannedPartner:
    """One partner of the day.

    Attributes:
        group: The group that it belongs to.
        name: Its AS2 name.
        weight: Its weight in the traffic.
        endpoint_ids: Ids of its endpoints.
        mean_per_s: Mean rate of its messages, per second.
        limit_per_s: Its rate limit in calls per second; 0 = none.
    """

    group: PartnerGroup
    name: str
    weight: float
    endpoint_ids: tuple[int, ...]
    mean_per_s: float = 0.0
    limit_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TrafficFlow:
    """Messages of one class from one sender to one partner; their subject is the class name."""

    sender: str
    receiver: str
    message_class: str
    per_s: float


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """All partners and flows of a day."""

    partners: list[PlannedPartner]
    flows: list[TrafficFlow]

    def partners_matching(self, patterns: Iterable[str]) -> list[PlannedPartner]:
        """Return the partners whose names match one of the patterns."""
        patterns = list(patterns)
        return [partner for partner in self.partners if matches_any(partner.name, patterns)]

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints of all partners."""
        return sum(len(partner.endpoint_ids) for partner in self.partners)


def plan_fleet(day: Day) -> FleetPlan:
    """Derive the partners of a day, their traffic and their rate limits."""
    partners = _name_partners(day)
    flows = _plan_flows(day, partners)
    return FleetPlan([_with_rates(partner, flows) for partner in partners], flows)


def _name_partners(day: Day) -> list[PlannedPartner]:
    partners = []
    next_id = 1
    for group in day.partners:
        for index in range(group.count):
            partner = PlannedPartner(
                group=group,
                name=f"{group.name}-{index + 1}",
                weight=group.weight * (index + 1) ** -group.skew,
                endpoint_ids=tuple(range(next_id, next_id + group.endpoints)),
            )
            partners.append(partner)
            next_id += group.endpoints
    return partners


def _receives(partner: PlannedPartner, message_class: DayClass) -> bool:
    return not message_class.kinds or partner.group.name in message_class.kinds


def _plan_flows(day: Day, partners: list[PlannedPartner]) -> list[TrafficFlow]:
    class_shares = sum(message_class.share for message_class in day.classes.values())
    sender_shares = sum(day.traffic.senders.values())
    flows = []
    for name, message_class in day.classes.items():
        receivers = [partner for partner in partners if _receives(partner, message_class)]
        weights = sum(partner.weight for partner in receivers)
        for partner in receivers:
            for sender, sender_share in day.traffic.senders.items():
                class_per_s = day.traffic.per_s * message_class.share / class_shares
                per_s = class_per_s * partner.weight / weights * sender_share / sender_shares
                flows.append(TrafficFlow(sender, partner.name, name, per_s))
    return flows


def _with_rates(partner: PlannedPartner, flows: list[TrafficFlow]) -> PlannedPartner:
    group = partner.group
    mean_per_s = sum(flow.per_s for flow in flows if flow.receiver == partner.name)
    limit_per_s = 0.0
    if group.rate_limit_multiple:
        limit_per_s = max(group.min_rate_limit_per_s, group.rate_limit_multiple * mean_per_s)
    return replace(partner, mean_per_s=mean_per_s, limit_per_s=limit_per_s)
