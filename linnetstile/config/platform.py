"""The settings object of the users' platform, as the bench's wire and a relay's configuration file both give it."""

from __future__ import annotations

from typing import Any

from linnetstile.engine.settings import (
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

EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.DEDUPLICATED, "once": Effect.NON_IDEMPOTENT}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.ENDPOINT}
RATES = {"nominal": RateTrust.NOMINAL, "rough": RateTrust.ROUGH}


class SettingsError(ValueError):
    """The object lacks a field, or one holds something else than expected."""


def settings_from(raw: dict[str, Any]) -> Settings:
    """Translates the object; keys that are not known are skipped. Raises SettingsError."""
    try:
        extra, limits, safety = raw["extra"], raw["limits"], raw["safety"]
        goal, feedback, prices = raw.get("goal", {}), raw.get("feedback", {}), raw.get("prices", {})
        kinds = raw["kinds"]
        batches = extra.get("per-call", [])
        apart = extra.get("separate-routes", [])
        fields = feedback.get("fields", [])
        return Settings(
            classes=tuple(
                MessageClass(
                    name=c["name"],
                    effect=EFFECTS[c["effect"]],
                    latency_objective_ms=c["aim-ms"],
                    deadline_ms=c["deadline-ms"],
                    priority_weight=c.get("worth", 1.0),
                    late_value_fraction=c.get("late-share", 0.0),
                    deduplication_window_ms=c.get("window-ms", 0.0),
                    deduplication_scope=SCOPES[c.get("dedup-scope", "all")],
                    in_order=bool(c.get("by-arrival", False)),
                )
                for c in raw["classes"]
            ),
            kinds=tuple(
                DestinationKind(
                    name=name,
                    max_batch=batches[n] if n < len(batches) else 1,
                    separate_routes=bool(apart[n]) if n < len(apart) else False,
                )
                for n, name in enumerate(kinds)
            ),
            max_in_flight=extra["call-slots"],
            max_pending_messages=limits["open-cap"],
            max_attempts=limits["try-limit"],
            relay_count=raw.get("balancers", 1),
            zone=raw.get("az", 0),
            tenants=tuple(Tenant(t["name"], t["quota-per-s"]) for t in raw.get("orgs", [])),
            over_quota_value_factor=raw.get("over-share-worth", 1.0),
            value_decay=ValueDecay.HALF_LIFE if extra.get("loses-worth") == "halves" else ValueDecay.LINEAR,
            rate_trust=RATES.get(raw.get("weight-kind", "silent"), RateTrust.NONE),
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
            load_report_fields=(fields.index("x0"), fields.index("x1")) if {"x0", "x1"} <= set(fields) else None,
            safety=SafetyLimits(
                answer_slack_ms=safety.get("answer-slack-ms", 0.0),
                drain_grace_ms=safety.get("drain-grace-ms", 0.0),
                slow_start_fraction=safety.get("cold-from", 1.0),
                slow_start_ms=safety.get("cold-ms", 0.0),
                overload_multiple=safety.get("fall-multiple", 1.0),
                overload_window_ms=safety.get("fall-ms", 1000.0),
                poll_within_ms=safety.get("ask-within-ms", 0.0),
                ordering_pause_ms=safety.get("key-quiet-ms", 0.0),
            ),
            score_weights=ScoreWeights(
                goal.get("whole", 1.0),
                goal.get("worst-window", 0.0),
                goal.get("worst-class", 0.0),
                goal.get("worst-tenant", 0.0),
            ),
        )
    except KeyError as error:
        raise SettingsError(f"{error} is missing or not known") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise SettingsError(str(error)) from error
