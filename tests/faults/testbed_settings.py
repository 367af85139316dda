"""Settings of the relays, of the partner and of its faults in `relay_testbed.RelayTestbed`."""

from __future__ import annotations

from typing import Any

PARTNER_NAME = "firma"
CLIENT_NAME = "office"
RELAY_NAME = "relay"
CLASSES: dict[str, Any] = {
    "keyed": {"effect": "keyed", "aim_ms": 1000, "deadline_ms": 8000, "key_window_ms": 4000},
    "unsafe": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 4000},
    "safe": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 8000},
}
SAFETY = {
    "drain_grace_ms": 100.0,
    "cold_share": 0.2,
    "cold_ms": 4000.0,
    "fall_multiple": 2.0,
    "fall_ms": 1000.0,
    "ask_within_ms": 2000.0,
    "key_rest_ms": 50.0,
    "answer_slack_ms": 20.0,
}
PARTNER: dict[str, Any] = {
    "name": PARTNER_NAME,
    "work_ms": 40,
    "spread": 0.0,
    "rate": 50.0,
    "tell": 1.0,
    "keyed": ["keyed"],
    "key_window_ms": 4000,
    "cold_share": 0.2,
    "cold_ms": 4000,
    "fall_multiple": 2,
    "fall_ms": 1000,
}
LIMITS: dict[str, Any] = {
    "slots": 8,
    "hold": 100,
    "attempts": 5,
    "connect_timeout_ms": 500,
    "self_check_ms": 50,
}

# Minimum rates (bytes per second) and time limits with which a relay evicts slow peers soon, to keep tests short.
STRICT_RATES: dict[str, Any] = {
    "body_rate": 2000,
    "answer_rate": 2000,
    "request_rate": 2000,
    "response_rate": 2000,
    "stall_ms": 600,
    "head_ms": 800,
}


def partner_fault(kind: str, *, at_s: float = 0, for_s: float = 60, **more: Any) -> dict[str, Any]:
    """Return a fault of the partner emulator, with times relative to the end of the testbed's start."""
    return {"kind": kind, "at_s": at_s, "for_s": for_s, "partners": [PARTNER_NAME], **more}
