"""Endpoint lists in discovery's JSON form, and what a directory made of them."""

from __future__ import annotations

from typing import Any

from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.endpoint_record import EndpointAddress


def list_entry(name: str, state: str = "SERVING", destination: Any = 1, **fields: Any) -> dict[str, Any]:
    """Return an entry of a list; `fields` replace or extend the usual ones."""
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
    """Return the addresses of all endpoints of a directory, in the order of their ids."""
    return [address for address in map(directory.address_of, directory) if address]
