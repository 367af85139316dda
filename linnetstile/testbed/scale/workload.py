"""Size, load, timing and settings of the platform for which the fleet is designed.

The users of the platform state the target figures; docs/CAPACITY.md compares the program with them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

REGIONS = 2
ZONES = 6

TARGET_RELAYS = 460
TARGET_DESTINATIONS = 120_000
TARGET_EVENTS_PER_S = 1_100_000.0
"""Messages a second that the whole fleet receives."""
CHANGES_A_DAY = 1_900
"""Changes of the endpoint list on an ordinary day."""
DISCOVERY_MACHINES = 5
"""Machines of discovery, which share the watches of all relays."""

EVENTS_PER_DESTINATION_S = TARGET_EVENTS_PER_S / TARGET_DESTINATIONS
"""Messages a second for one destination, from all relays together."""
LISTED_RATE = 1.6 * EVENTS_PER_DESTINATION_S
"""Calls a second that a destination advertises."""

WATCH_START_DELAY_MS = 300.0
"""Time from the start of a relay process to its first watch."""
NOTIFICATION_DELAY_MS = 5.0, 50.0
"""Range of the delay until discovery notifies a relay of a change; drawn for each relay and change."""
KEEPALIVE_INTERVAL_MS = 2_000.0
"""Time between two empty lines that discovery sends on a watch to keep it alive."""
KEEPALIVE_BYTES = 6
"""Size of an empty line of a watch as an HTTP chunk."""
KEEPALIVE_BYTES_PER_S = KEEPALIVE_BYTES * 1000 / KEEPALIVE_INTERVAL_MS

DESTINATION_KINDS = ("office",)


class OutageKind(StrEnum):
    """How the calls to a destination fail during its outage."""

    CONNECTIONS_REFUSED = "refused"
    PACKETS_LOST = "lost"
    NO_ANSWER = "hangs"
    ERROR_ANSWERS = "errors"


OUTAGE_KIND_MIX = (
    OutageKind.CONNECTIONS_REFUSED,
    OutageKind.CONNECTIONS_REFUSED,
    OutageKind.PACKETS_LOST,
    OutageKind.NO_ANSWER,
    OutageKind.ERROR_ANSWERS,
)
"""Kinds of the outages of the day scenario, in the proportion in which they are drawn."""

SETTINGS_DOCUMENT: dict[str, Any] = {
    "classes": [
        {"name": "state", "effect": "repeatable", "aim-ms": 5_000.0, "deadline-ms": 120_000.0},
        {"name": "order", "effect": "by_key", "aim-ms": 5_000.0, "deadline-ms": 120_000.0, "window-ms": 30_000.0},
        {"name": "pay", "effect": "once", "aim-ms": 5_000.0, "deadline-ms": 120_000.0},
    ],
    "kinds": list(DESTINATION_KINDS),
    "zones": [f"z{n}" for n in range(ZONES)],
    "orgs": [{"name": "all", "quota-per-s": 1e9}],
    "extra": {"call-slots": 256},
    "weight-kind": "nominal",
    "limits": {
        "open-cap": 20_000,
        "try-limit": 16,
        "conn-idle-ms": 10_000.0,
        "connect-timeout-ms": 500.0,
        "cancelling": True,
    },
    "safety": {
        "drain-grace-ms": 250.0,
        "cold-from": 0.2,
        "cold-ms": 10_000.0,
        "fall-multiple": 2.0,
        "fall-ms": 1_500.0,
    },
}
"""Settings document that the platform gives every relay; the relay's zone and the number of relays are added to it."""


def zone_of(number: int) -> int:
    """Return the zone of a relay or destination."""
    return number % ZONES


def region_of(number: int) -> int:
    """Return the region of a relay or destination: zones 0 to 2 are in region 0."""
    return number % ZONES * REGIONS // ZONES
