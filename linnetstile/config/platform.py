"""The settings object of the users' platform, as the bench's wire and a relay's configuration file both give it."""

from __future__ import annotations

from typing import Any

from ..decisions import interface as api

EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.ENDPOINT}
RATES = {"nominal": api.Rates.NOMINAL, "rough": api.Rates.ROUGH}


class SettingsError(ValueError):
    """The object lacks a field, or one holds something else than expected."""


def settings_from(raw: dict[str, Any]) -> api.Settings:
    """Translates the object; keys that are not known are skipped. Raises SettingsError."""
    try:
        extra, limits, safety = raw["extra"], raw["limits"], raw["safety"]
        goal, feedback, prices = raw.get("goal", {}), raw.get("feedback", {}), raw.get("prices", {})
        kinds = raw["kinds"]
        batches = extra.get("per-call", [])
        apart = extra.get("separate-routes", [])
        fields = feedback.get("fields", [])
        return api.Settings(
            classes=tuple(
                api.MessageClass(
                    name=c["name"],
                    effect=EFFECTS[c["effect"]],
                    aim_ms=c["aim-ms"],
                    deadline_ms=c["deadline-ms"],
                    worth=c.get("worth", 1.0),
                    late_share=c.get("late-share", 0.0),
                    key_window_ms=c.get("window-ms", 0.0),
                    key_scope=SCOPES[c.get("dedup-scope", "all")],
                    in_order=bool(c.get("by-arrival", False)),
                )
                for c in raw["classes"]
            ),
            kinds=tuple(
                api.DestinationKind(
                    name=name,
                    batch=batches[n] if n < len(batches) else 1,
                    routes_apart=bool(apart[n]) if n < len(apart) else False,
                )
                for n, name in enumerate(kinds)
            ),
            slots=extra["call-slots"],
            hold=limits["open-cap"],
            attempts=limits["try-limit"],
            relays=raw.get("balancers", 1),
            zone=raw.get("az", 0),
            tenants=tuple(api.Tenant(t["name"], t["quota-per-s"]) for t in raw.get("orgs", [])),
            over_share_worth=raw.get("over-share-worth", 1.0),
            decay=api.Decay.HALVES if extra.get("loses-worth") == "halves" else api.Decay.LINE,
            rates=RATES.get(raw.get("weight-kind", "silent"), api.Rates.NONE),
            ask_for_list=raw.get("registry-mode") == "ask",
            probing=bool(limits.get("probing", False)),
            cancelling=bool(limits.get("cancelling", False)),
            streams_per_connection=limits.get("streams-per-conn", 1),
            idle_ms=limits.get("conn-idle-ms", 0.0),
            connect_timeout_ms=limits.get("connect-timeout-ms", 0.0),
            tick_ms=raw.get("tick-ms", 1.0),
            marks_repeats=bool(raw.get("client-habits", {}).get("marks-retry", False)),
            longest_advice_ms=limits.get("max-retry-after-ms", 0.0) if limits.get("retry-after") else 0.0,
            cross_zone_price=prices.get("cross-zone", 0.0),
            route_fees=tuple(extra.get("carriage", [])),
            limit_report=(fields.index("x0"), fields.index("x1")) if {"x0", "x1"} <= set(fields) else None,
            safety=api.Safety(
                answer_slack_ms=safety.get("answer-slack-ms", 0.0),
                drain_grace_ms=safety.get("drain-grace-ms", 0.0),
                cold_share=safety.get("cold-from", 1.0),
                cold_ms=safety.get("cold-ms", 0.0),
                fall_multiple=safety.get("fall-multiple", 1.0),
                fall_ms=safety.get("fall-ms", 1000.0),
                ask_within_ms=safety.get("ask-within-ms", 0.0),
                key_rest_ms=safety.get("key-quiet-ms", 0.0),
            ),
            goal=api.Goal(
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
