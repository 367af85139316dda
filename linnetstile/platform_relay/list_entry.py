"""The JSON format of the lists of discovery: the keys of a list, and the parser of its entries.

Which fields an entry must have depends on its state.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from ..engine.events import EndpointStatus
from .config import parse_address
from .endpoint_record import EndpointDetails

# Keys of the JSON object of a list: its entries, its version, and whether it names all endpoints.
ENTRIES_KEY = "servers"
VERSION_KEY = "version"
FULL_KEY = "full"

STATUS_BY_STATE = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.GONE,
}
MAX_NAME_BYTES = 256
DESTINATION_BOUND = 10**9  # the platform numbers destinations with at most 9 digits


def parse_name(raw: object) -> bytes:
    """Return the name of the endpoint, in UTF-8.

    Raises:
        ValueError: The entry is no object, or its name is missing or too long.
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
        TypeError: The field cannot be the name of a state, as a list cannot.
        ValueError: The field is not the name of a state.
    """
    status = STATUS_BY_STATE.get(raw["state"])
    if status is None:
        raise ValueError(f"state: expected one of {', '.join(STATUS_BY_STATE)}, found {raw['state']!r:.40}")
    return status


def parse_details(raw: Mapping[str, Any], kinds: Mapping[str, int], zones: Mapping[str, int]) -> EndpointDetails:
    """Return the rest of an entry.

    Args:
        raw: The entry.
        kinds: Index of each kind of destination in the settings, by its name.
        zones: Index of each zone in the settings, by its name. A kind or zone that the settings do not name has the
            index behind the last one.

    Raises:
        KeyError: A field is missing.
        OverflowError, ValueError: A field has a value that cannot be used.
    """
    host, port = parse_address(raw["addr"], "addr")
    destination = raw["cell"]
    if isinstance(destination, bool) or not isinstance(destination, int) or not 0 <= destination < DESTINATION_BOUND:
        raise ValueError(f"cell: expected a whole number from 0 to {DESTINATION_BOUND - 1}, found {destination!r:.40}")
    rate = raw.get("weight") or 0.0
    if not isinstance(rate, (int, float)) or not math.isfinite(rate):
        rate = 0.0  # no rate is advertised
    zone = zones.get(str(raw.get("zone")), len(zones))
    kind = kinds.get(str(raw.get("kind")), len(kinds))
    return EndpointDetails(
        host=host, port=port, destination=destination, kind=kind, zone=zone, advertised_rate=float(rate)
    )


def entry_name(raw: object) -> str | None:
    """Return the name in an entry that could not be read; None if the name cannot be read either."""
    name = raw.get("id") if isinstance(raw, dict) else None
    return name if isinstance(name, str) else None


def encode_name(name: str) -> bytes:
    """Return a name in UTF-8, also one with surrogates, which JSON may contain."""
    return name.encode("utf-8", "surrogatepass")
