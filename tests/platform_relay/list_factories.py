"""Builds endpoint lists in discovery's JSON format, and applies them to a directory."""

from __future__ import annotations

from typing import Any

from linnetstile.engine.events import Endpoint
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.endpoint_record import EndpointAddress
from linnetstile.platform_relay.list_update import ListUpdate

LONG_LIST_SIZE = 5000
"""Number of endpoints of a long list, which has some 600 KB and is read in parts."""


def list_entry(name: str, state: str = "SERVING", destination: Any = 1, **fields: Any) -> dict[str, Any]:
    """Return an entry of a list; `fields` override or extend the default ones."""
    return {
        "id": name,
        "addr": "127.0.0.1:9",
        "zone": "z",
        "kind": "k",
        "cell": destination,
        "state": state,
        "weight": 5.0,
    } | fields


def raw_list(*entries: Any, version: int = 1, full: bool = True) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": list(entries)}


def listed_addresses(directory: Directory) -> list[EndpointAddress]:
    """Return the addresses of all endpoints, in the order in which the directory iterates over their ids."""
    return [address for address in map(directory.address_of, directory) if address]


def apply_in_batches(
    directory: Directory,
    entries: list[Any],
    batch_size: int,
    version: int = 1,
    full: bool = True,
    entry_limit: int | None = None,
) -> tuple[ListUpdate, list[list[Endpoint]]]:
    """Apply a list in steps. With `entry_limit`, the list is truncated after that number of entries.

    Returns:
        The update, and the endpoints that each step changed.
    """
    update = directory.begin_update({"version": version, "full": full})
    received = entries[:entry_limit]
    steps = [update.add_entries(received[start : start + batch_size]) for start in range(0, len(received), batch_size)]
    while entry_limit is None and not update.is_complete:
        steps.append(update.remove_missing())
    return update, steps
