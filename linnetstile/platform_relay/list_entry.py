"""JSON format of the lists from discovery: the keys of a list and the parsers of its entries.

The required fields of an entry depend on its state.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from ..engine.events import EndpointStatus
from .config import parse_address
from .endpoint_record import EndpointDetails

# Keys of the JSON object of a list: its entries, its version, and whether it is a full list.
ENTRIES_KEY = "servers"
VERSION_KEY = "version"
FULL_KEY = "full"

STATUS_BY_STATE = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.GONE,
}
MAX_NAME_BYTES = 256
DESTINATION_BOUND = 10**9  # the platform's destination numbers have at most 9 digits


def parse_name(raw: object) -> bytes:
    """Return the name of the endpoint, in UTF-8.

    Raises:
        ValueError: The entry is not an object, or its name is missing, empty or too long.
    """
    if not isinstance(raw, dict):
        raise ValueError("expected an object")
    name = raw.get("id")
    if not isinstance(name, str) or not 0 < len(encoded := name.encode()) <= MAX_NAME_BYTES:
        raise ValueError(f"id: expected a name of 1 to {MAX_NAME_BYTES} bytes")
    return encoded


def parse_status(raw: Mapping[str, Any]) -> EndpointStatus:
    """Return the status of the endpoint.

    Raises:
        KeyError: The field is missing.
        TypeError: The field is a list or an object.
        ValueError: The field is not the name of a state.
    """
    status = STATUS_BY_STATE.get(raw["state"])
    if status is None:
        raise ValueError(f"state: expected one of {', '.join(STATUS_BY_STATE)}, found {raw['state']!r:.40}")
    return status


def parse_details(raw: Mapping[str, Any], kinds: Mapping[str, int], zones: Mapping[str, int]) -> EndpointDetails:
    """Return the fields of an entry besides its name and state.

    Args:
        raw: The entry.
        kinds: Index of each kind of destination in the settings, by its name.
        zones: Index of each zone in the settings, by its name. A kind or zone that is not in the settings gets the
            index after the last one.

    Raises:
        KeyError: A field is missing.
        OverflowError, ValueError: A field has an invalid value.
    """
    host, port = parse_address(raw["addr"], "addr")
    destination = raw["cell"]
    if isinstance(destination, bool) or not isinstance(destination, int) or not 0 <= destination < DESTINATION_BOUND:
        raise ValueError(f"cell: expected a whole number from 0 to {DESTINATION_BOUND - 1}, found {destination!r:.40}")
    rate = raw.get("weight") or 0.0
    if not isinstance(rate, (int, float)) or not math.isfinite(rate):
        rate = 0.0  # an invalid weight counts as no advertised rate
    zone = zones.get(str(raw.get("zone")), len(zones))
    kind = kinds.get(str(raw.get("kind")), len(kinds))
    return EndpointDetails(
        host=host, port=port, destination=destination, kind=kind, zone=zone, advertised_rate=float(rate)
    )


def entry_name(raw: object) -> str | None:
    """Return the name in an entry that failed to parse; None if the entry has no readable name."""
    name = raw.get("id") if isinstance(raw, dict) else None
    return name if isinstance(name, str) else None


def encode_name(name: str) -> bytes:
    """Return a name in UTF-8. Lone surrogates, which JSON strings may contain, are encoded too."""
    return name.encode("utf-8", "surrogatepass")
