"""Builds the contents of the settings files of the emulators of a run."""

from __future__ import annotations

import math
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .day import SURGE_KINDS, Day, FleetFault, FleetFaultKind
from .fleet_plan import FleetPlan, PlannedPartner, TrafficFlow
from .run_keys import RunKeys

RELAY_KEY = "relay"
UNLIMITED_RATE_MULTIPLE = 2  # the registry lists a partner without rate limit at this multiple of its traffic

Document = dict[str, Any]
"""The content of a settings file, under the keys of its format."""

START_TOLD_LATER = math.inf  # the script starts once all processes are ready
REGISTRY_FAULT_KINDS = {FleetFaultKind.REGISTRY_STALE: "stale", FleetFaultKind.REGISTRY_FAILURE: "fail"}
ENDPOINT_STATUSES = {
    FleetFaultKind.ENDPOINT_DRAINED: "draining",
    FleetFaultKind.ENDPOINT_REMOVED: "gone",
    FleetFaultKind.ENDPOINT_REPLACED: "gone",
}
"""The status of an endpoint during a fault, by the kind of the fault."""


class EmulatorSettings:
    """Derives the settings of the emulators from a day."""

    def __init__(self, day: Day, fleet: FleetPlan, folder: Path, keys: RunKeys) -> None:
        self._day = day
        self._fleet = fleet
        self._folder = folder
        self._keys = keys

    # -- partners --------------------------------------------------------------------------------------------

    def partners(self) -> Document:
        """Return the settings of the partner emulator."""
        return {
            "seed": self._day.seed,
            "record": str(self._folder / "partners.jsonl"),
            "t0_ms": START_TOLD_LATER,
            "partners": [self._partner(partner) for partner in self._fleet.partners],
            "faults": [fault.model_dump(mode="json") for fault in self._day.faults],
        }

    def _partner(self, partner: PlannedPartner) -> Document:
        group = partner.group
        safety = self._day.safety
        classes = self._day.classes
        return {
            "name": partner.name,
            "kind": group.name,
            "endpoints": [{"id": endpoint} for endpoint in partner.endpoint_ids],
            "work_ms": group.work_ms,
            "spread": group.spread,
            "servers": group.servers,
            "rate": partner.limit_per_s,
            "window_ms": group.window_ms,
            "tell": group.retry_after_share,
            "tell_as": group.retry_after_format,
            "refused_count": group.rejected_calls_count,
            "keyed": [name for name, message_class in classes.items() if message_class.effect == "keyed"],
            "key_window_ms": max((message_class.key_window_ms for message_class in classes.values()), default=0.0),
            "receipts": group.receipts,
            "pem": self._keys.pem(partner.name),
            "cold_share": safety.slow_start_fraction,
            "cold_ms": safety.slow_start_ms,
            "fall_multiple": safety.overload_multiple,
            "fall_ms": safety.overload_window_ms,
        }

    # -- registry --------------------------------------------------------------------------------------------

    def registry(self, ports: Mapping[str, int]) -> Document:
        """Return the settings of the registry emulator.

        Args:
            ports: Port of each endpoint, by its id as text.
        """
        return {
            "t0_ms": START_TOLD_LATER,
            "record": str(self._folder / "register.jsonl"),
            "lag_ms": self._day.registry_lag_ms,
            "entries": [
                _registry_entry(partner, endpoint, ports[str(endpoint)])
                for partner in self._fleet.partners
                for endpoint in partner.endpoint_ids
            ],
            "changes": [change for fault in self._day.fleet_faults for change in self._registry_changes(fault)],
            "troubles": [
                {"kind": REGISTRY_FAULT_KINDS[fault.kind], "at_s": fault.at_s, "for_s": fault.for_s}
                for fault in self._day.fleet_faults
                if fault.kind in REGISTRY_FAULT_KINDS
            ],
        }

    def _registry_changes(self, fault: FleetFault) -> list[Document]:
        """Return the changes of a fault that removes and restores endpoints; empty for faults of other kinds."""
        if fault.kind not in ENDPOINT_STATUSES:
            return []
        changes: list[Document] = []
        for partner in self._fleet.partners_matching(fault.partners):
            endpoint = partner.endpoint_ids[-1]
            changes += [
                {"at_s": fault.at_s, "id": endpoint, "status": ENDPOINT_STATUSES[fault.kind]},
                {"at_s": fault.at_s + fault.for_s, "id": endpoint, "status": "ready"},
            ]
        return changes

    # -- clients ---------------------------------------------------------------------------------------------

    def clients(self, addresses: Mapping[str, str]) -> Document:
        """Return the settings of the client emulator.

        Args:
            addresses: Address of each relay, by its name.
        """
        day = self._day
        traffic = day.traffic
        return {
            "seed": day.seed,
            "t0_ms": START_TOLD_LATER,
            "seconds": day.seconds,
            "record": str(self._folder / "clients.jsonl"),
            "relays": [{"name": name, "address": address} for name, address in addresses.items()],
            "classes": {
                name: {"effect": message_class.effect, "deadline_ms": message_class.deadline_ms}
                for name, message_class in day.classes.items()
            },
            "flows": [_flow(flow) for flow in self._fleet.flows],
            "surges": [self._surge(fault) for fault in day.fleet_faults if fault.kind in SURGE_KINDS],
            "senders_pem": {name: self._keys.pem(name) for name in traffic.senders},
            "partners_pem": {partner.name: self._keys.pem(partner.name) for partner in self._fleet.partners},
            "relay_pem": self._keys.pem(RELAY_KEY),
            "signed": traffic.signed,
            "compressed": traffic.compressed,
            "asynchronous": traffic.asynchronous,
            "repeats": traffic.repeats,
            "bytes": traffic.bytes,
            "tries": traffic.max_submissions,
        }

    def _surge(self, fault: FleetFault) -> Document:
        return {
            "at_s": fault.at_s,
            "for_s": fault.for_s,
            "times": fault.times,
            "receivers": [partner.name for partner in self._fleet.partners_matching(fault.partners)],
        }


def _registry_entry(partner: PlannedPartner, endpoint: int, port: int) -> Document:
    return {
        "id": endpoint,
        "partner": partner.name,
        "url": f"http://127.0.0.1:{port}/as2",
        "status": "ready",
        "kind": partner.group.name,
        "zone": "",
        "rate": round(partner.limit_per_s or partner.mean_per_s * UNLIMITED_RATE_MULTIPLE, 3),
    }


def _flow(flow: TrafficFlow) -> Document:
    return {
        "sender": flow.sender,
        "receiver": flow.receiver,
        "cls": flow.message_class,
        "subject": flow.message_class,
        "per_s": flow.per_s,
    }
