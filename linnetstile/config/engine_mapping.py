"""Maps the settings of an AS2 relay to those of the engine, which use the standard terms of the field."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine.routing import Rule
from ..engine.settings import (
    DeduplicationScope,
    DestinationKind,
    Effect,
    MessageClass,
    RateTrust,
    SafetyLimits,
    ScoreWeights,
    Settings,
    Tenant,
    ValueDecay,
)

if TYPE_CHECKING:
    from .relay import RelaySettings
    from .sections import ClassSettings, GoalSettings, KindSettings, RuleSettings, SafetySettings

DEFAULT_KIND = "any"  # the only kind of destinations if a file defines none


def engine_settings(relay: RelaySettings) -> Settings:
    """Return the engine settings that a relay's settings contain."""
    limits = relay.limits
    return Settings(
        classes=tuple(_message_class(name, section) for name, section in relay.classes.items()),
        kinds=_destination_kinds(relay.kinds),
        max_in_flight=limits.slots,
        max_pending_messages=limits.hold,
        max_attempts=limits.attempts,
        relay_count=relay.relays,
        zone=list(relay.zones).index(relay.zone) if relay.zone is not None else 0,
        tenants=tuple(Tenant(name, section.quota_per_s) for name, section in relay.tenants.items()),
        over_quota_value_factor=relay.over_share_worth,
        value_decay=ValueDecay(relay.decay),
        rate_trust=RateTrust(relay.rates),
        polls_for_list=True,
        idle_timeout_ms=limits.idle_ms,
        connect_timeout_ms=limits.connect_timeout_ms,
        max_retry_after_ms=limits.longest_advice_ms,
        cross_zone_price=relay.cross_zone_price,
        route_fees=tuple(section.fee for section in relay.zones.values()),
        safety=_safety_limits(relay.safety),
        score_weights=_score_weights(relay.goal),
    )


def routing_rules(relay: RelaySettings) -> tuple[Rule, ...]:
    """Return the rules that assign a class and a tenant to messages, in the order of the file."""
    class_names = list(relay.classes)
    tenant_names = list(relay.tenants)
    return tuple(_routing_rule(section, class_names, tenant_names) for section in relay.rules)


def _routing_rule(section: RuleSettings, class_names: list[str], tenant_names: list[str]) -> Rule:
    # A message without a tenant has the index after the last tenant, for which there is no quota.
    tenant = len(tenant_names) if section.tenant is None else tenant_names.index(section.tenant)
    return Rule(
        class_index=class_names.index(section.class_),
        tenant=tenant,
        sender=section.sender,
        receiver=section.receiver,
        subject=section.subject,
        content_type=section.content_type,
    )


def _message_class(name: str, section: ClassSettings) -> MessageClass:
    return MessageClass(
        name=name,
        effect=Effect(section.effect),
        latency_objective_ms=section.aim_ms,
        deadline_ms=section.deadline_ms,
        priority_weight=section.worth,
        late_value_fraction=section.late_share,
        deduplication_window_ms=section.key_window_ms,
        deduplication_scope=DeduplicationScope(section.key_scope),
        in_order=section.in_order,
    )


def _destination_kinds(sections: dict[str, KindSettings]) -> tuple[DestinationKind, ...]:
    kinds = tuple(
        DestinationKind(name=name, max_batch=section.batch, separate_routes=section.routes_apart)
        for name, section in sections.items()
    )
    return kinds or (DestinationKind(DEFAULT_KIND),)


def _safety_limits(section: SafetySettings) -> SafetyLimits:
    return SafetyLimits(
        answer_slack_ms=section.answer_slack_ms,
        drain_grace_ms=section.drain_grace_ms,
        slow_start_fraction=section.slow_start_fraction,
        slow_start_ms=section.slow_start_ms,
        overload_multiple=section.overload_multiple,
        overload_window_ms=section.overload_window_ms,
        poll_within_ms=section.poll_within_ms,
        ordering_pause_ms=section.ordering_pause_ms,
    )


def _score_weights(section: GoalSettings) -> ScoreWeights:
    return ScoreWeights(
        whole_day=section.whole,
        worst_window=section.worst_window,
        worst_class=section.worst_class,
        worst_tenant=section.worst_tenant,
    )
