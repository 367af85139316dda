"""Translates the settings object of the users' platform into engine settings.

The simulator sends this object on its wire, and the configuration file of a platform relay holds it under `settings`.
No other module uses the keys of the object. This one uses the standard library only, because the platform relay runs
without other packages.
"""

from __future__ import annotations

from typing import Any

from ..engine.settings import (
    DeduplicationScope,
    DestinationKind,
    Effect,
    LoadReportFields,
    MessageClass,
    RateTrust,
    SafetyLimits,
    ScoreWeights,
    Settings,
    Tenant,
    ValueDecay,
)
from ..errors import ConfigError

# Values of the keys "effect", "dedup-scope" and "weight-kind" of the settings object, in this order.
EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.DEDUPLICATED, "once": Effect.NON_IDEMPOTENT}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.ENDPOINT,
}
RATE_TRUST = {"nominal": RateTrust.NOMINAL, "rough": RateTrust.ROUGH}
LOAD_REPORT_FIELDS = ("x0", "x1")  # the two fields of a load report that the engine reads


def parse_platform_settings(raw: dict[str, Any]) -> Settings:
    """Translate the object; unknown keys are ignored.

    Raises:
        ConfigError: A field is missing, or has a value that cannot be used.
    """
    try:
        return _settings(raw)
    except KeyError as error:
        raise ConfigError(f"{error} is missing or not known", field=str(error.args[0])) from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise ConfigError(str(error)) from error


def _settings(raw: dict[str, Any]) -> Settings:
    # The order in which keys are read matters: the first fault found is the one that is reported.
    extra = raw["extra"]
    limits = raw["limits"]
    safety = raw["safety"]
    goal = raw.get("goal", {})
    feedback = raw.get("feedback", {})
    prices = raw.get("prices", {})
    kinds = raw["kinds"]
    batch_sizes = extra.get("per-call", [])
    separate_routes = extra.get("separate-routes", [])
    load_report_fields = feedback.get("fields", [])
    return Settings(
        classes=tuple(_message_class(raw_class) for raw_class in raw["classes"]),
        kinds=_destination_kinds(kinds, batch_sizes, separate_routes),
        max_in_flight=extra["call-slots"],
        max_pending_messages=limits["open-cap"],
        max_attempts=limits["try-limit"],
        relay_count=raw.get("balancers", 1),
        zone=raw.get("az", 0),
        tenants=tuple(Tenant(tenant["name"], tenant["quota-per-s"]) for tenant in raw.get("orgs", [])),
        over_quota_value_factor=raw.get("over-share-worth", 1.0),
        value_decay=ValueDecay.HALF_LIFE if extra.get("loses-worth") == "halves" else ValueDecay.LINEAR,
        rate_trust=RATE_TRUST.get(raw.get("weight-kind", "silent"), RateTrust.NONE),
        polls_for_list=raw.get("registry-mode") == "ask",
        probing=bool(limits.get("probing", False)),
        cancelling=bool(limits.get("cancelling", False)),
        streams_per_connection=limits.get("streams-per-conn", 1),
        idle_timeout_ms=limits.get("conn-idle-ms", 0.0),
        connect_timeout_ms=limits.get("connect-timeout-ms", 0.0),
        tick_ms=raw.get("tick-ms", 1.0),
        clients_mark_retries=bool(raw.get("client-habits", {}).get("marks-retry", False)),
        max_retry_after_ms=limits.get("max-retry-after-ms", 0.0) if limits.get("retry-after") else 0.0,
        cross_zone_price=prices.get("cross-zone", 0.0),
        route_fees=tuple(extra.get("carriage", [])),
        load_report_fields=_load_report_indexes(load_report_fields),
        safety=_safety_limits(safety),
        score_weights=_score_weights(goal),
    )


def _destination_kinds(
    names: list[str], batch_sizes: list[int], separate_routes: list[Any]
) -> tuple[DestinationKind, ...]:
    """Return the kinds of destinations; the lists of properties may be shorter than the list of names."""
    return tuple(
        DestinationKind(
            name=name,
            max_batch=batch_sizes[index] if index < len(batch_sizes) else 1,
            separate_routes=bool(separate_routes[index]) if index < len(separate_routes) else False,
        )
        for index, name in enumerate(names)
    )


def _message_class(raw: dict[str, Any]) -> MessageClass:
    return MessageClass(
        name=raw["name"],
        effect=EFFECTS[raw["effect"]],
        latency_objective_ms=raw["aim-ms"],
        deadline_ms=raw["deadline-ms"],
        priority_weight=raw.get("worth", 1.0),
        late_value_fraction=raw.get("late-share", 0.0),
        deduplication_window_ms=raw.get("window-ms", 0.0),
        deduplication_scope=DEDUPLICATION_SCOPES[raw.get("dedup-scope", "all")],
        in_order=bool(raw.get("by-arrival", False)),
    )


def _load_report_indexes(names: list[str]) -> LoadReportFields | None:
    """Return the indexes of `LOAD_REPORT_FIELDS` in a load report; None if it does not have both."""
    remaining, limit = LOAD_REPORT_FIELDS
    if remaining not in names or limit not in names:
        return None
    return LoadReportFields(names.index(remaining), names.index(limit))


def _safety_limits(raw: dict[str, Any]) -> SafetyLimits:
    return SafetyLimits(
        answer_slack_ms=raw.get("answer-slack-ms", 0.0),
        drain_grace_ms=raw.get("drain-grace-ms", 0.0),
        slow_start_fraction=raw.get("cold-from", 1.0),
        slow_start_ms=raw.get("cold-ms", 0.0),
        overload_multiple=raw.get("fall-multiple", 1.0),
        overload_window_ms=raw.get("fall-ms", 1000.0),
        poll_within_ms=raw.get("ask-within-ms", 0.0),
        ordering_pause_ms=raw.get("key-quiet-ms", 0.0),
    )


def _score_weights(raw: dict[str, Any]) -> ScoreWeights:
    return ScoreWeights(
        whole_day=raw.get("whole", 1.0),
        worst_window=raw.get("worst-window", 0.0),
        worst_class=raw.get("worst-class", 0.0),
        worst_tenant=raw.get("worst-tenant", 0.0),
    )
