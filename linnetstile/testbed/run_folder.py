"""The folder of a run: keys, the settings file of each process, and the facts for the rule checker."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import yaml

from ..codec import cms
from .day import SURGE_KINDS, Day, FleetFault
from .fleet_plan import FleetPlan, PlannedPartner, TrafficFlow
from .relay_lifetime import RelayLifetime

RELAY_KEY = "relay"
RELAY_AS2_NAME = "linnetstile"
ANY_PORT = "127.0.0.1:0"
SNAPSHOT_INTERVAL_MS = 1000
UNLIMITED_RATE_MULTIPLE = 2  # the list shows this multiple of the usual traffic for a partner without a limit


class RunFolder:
    """Writes the files of one run; the keys of their settings are those of the file formats.

    Attributes:
        path: The folder.
        start_ms: Start of the script, ms of the clock of the run.
    """

    def __init__(self, day: Day, fleet: FleetPlan, path: Path, start_ms: float) -> None:
        self._day = day
        self._fleet = fleet
        self.path = path
        self.start_ms = start_ms
        (path / "keys").mkdir(parents=True, exist_ok=True)

    def _pem(self, name: str) -> str:
        """Return the file with key and certificate of a name, made at the first call."""
        path = self.path / "keys" / f"{name}.pem"
        if not path.exists():
            path.write_bytes(cms.encode_identity(cms.make_identity(name)))
        return str(path)

    def _write(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.path / name
        path.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")
        return path

    # -- partners --------------------------------------------------------------------------------------------

    def write_partners(self) -> Path:
        """Write the settings of the partner emulator."""
        return self._write(
            "partners.yaml",
            {
                "seed": self._day.seed,
                "record": str(self.path / "partners.jsonl"),
                "t0_ms": self.start_ms,
                "partners": [self._partner_settings(partner) for partner in self._fleet.partners],
                "faults": [fault.model_dump(mode="json") for fault in self._day.faults],
            },
        )

    def _partner_settings(self, partner: PlannedPartner) -> dict[str, Any]:
        group, safety, classes = partner.group, self._day.safety, self._day.classes
        return {
            "name": partner.name,
            "kind": group.name,
            "endpoints": [{"id": endpoint} for endpoint in partner.endpoint_ids],
            "work_ms": group.work_ms,
            "spread": group.spread,
            "servers": group.servers,
            "rate": partner.limit_per_s,
            "window_ms": group.window_ms,
            "tell": group.tell,
            "tell_as": group.tell_as,
            "refused_count": group.refused_count,
            "keyed": [name for name, message_class in classes.items() if message_class.effect == "keyed"],
            "key_window_ms": max((each.key_window_ms for each in classes.values()), default=0.0),
            "receipts": group.receipts,
            "pem": self._pem(partner.name),
            "cold_share": safety.cold_share,
            "cold_ms": safety.cold_ms,
            "fall_multiple": safety.fall_multiple,
            "fall_ms": safety.fall_ms,
        }

    # -- registry --------------------------------------------------------------------------------------------

    def write_registry(self, ports: Mapping[str, int]) -> Path:
        """Write the settings of the registry emulator.

        Args:
            ports: Port of each endpoint, by its id as text.
        """
        return self._write(
            "register.yaml",
            {
                "t0_ms": self.start_ms,
                "record": str(self.path / "register.jsonl"),
                "lag_ms": self._day.register_lag_ms,
                "entries": [
                    self._registry_entry(partner, endpoint, ports[str(endpoint)])
                    for partner in self._fleet.partners
                    for endpoint in partner.endpoint_ids
                ],
                "changes": [change for fault in self._day.troubles for change in self._registry_changes(fault)],
                "troubles": [fault for each in self._day.troubles for fault in self._registry_faults(each)],
            },
        )

    @staticmethod
    def _registry_entry(partner: PlannedPartner, endpoint: int, port: int) -> dict[str, Any]:
        return {
            "id": endpoint,
            "partner": partner.name,
            "url": f"http://127.0.0.1:{port}/as2",
            "status": "ready",
            "kind": partner.group.name,
            "zone": "",
            "rate": round(partner.limit_per_s or partner.usual_per_s * UNLIMITED_RATE_MULTIPLE, 3),
        }

    def _registry_changes(self, fault: FleetFault) -> list[dict[str, Any]]:
        """Return the changes for endpoints that leave and come back; none for other faults."""
        if fault.kind not in ("drain", "gone", "replace"):
            return []
        status = "draining" if fault.kind == "drain" else "gone"
        changes = []
        for partner in self._fleet.partners_matching(fault.partners):
            endpoint = partner.endpoint_ids[-1]
            changes += [
                {"at_s": fault.at_s, "id": endpoint, "status": status},
                {"at_s": fault.at_s + fault.for_s, "id": endpoint, "status": "ready"},
            ]
        return changes

    @staticmethod
    def _registry_faults(fault: FleetFault) -> list[dict[str, Any]]:
        """Return the fault of the registry itself as a list of one; none for other faults."""
        kinds = {"discovery_stale": "stale", "register_fail": "fail"}
        if fault.kind not in kinds:
            return []
        return [{"kind": kinds[fault.kind], "at_s": fault.at_s, "for_s": fault.for_s}]

    # -- relays ----------------------------------------------------------------------------------------------

    def relay_file(self, name: str) -> Path:
        """Return where the settings of a relay are."""
        return self.path / f"{name}.yaml"

    def write_relay(self, name: str, registry_url: str) -> Path:
        """Write the settings of a relay that listens on any port."""
        day = self._day
        return self._write(
            self.relay_file(name).name,
            {
                "name": name,
                "listen": ANY_PORT,
                "register": registry_url,
                "relays": day.relays,
                "seed": day.seed,
                "identity": {"as2_name": RELAY_AS2_NAME, "pem": self._pem(RELAY_KEY)},
                "classes": {
                    class_name: message_class.model_dump(exclude={"share", "kinds"})
                    for class_name, message_class in day.classes.items()
                },
                "kinds": {group.name: {} for group in day.partners},
                "rules": [{"class": class_name, "subject": class_name} for class_name in day.classes],
                "partners": {
                    partner.name: {"certificate": self._pem(partner.name), "receipts": partner.group.receipts}
                    for partner in self._fleet.partners
                },
                "limits": {"slots": day.slots, "hold": day.hold, "attempts": day.attempts},
                "decay": day.decay,
                "safety": day.safety.model_dump(),
                **self._gossip_settings(name, []),
            },
        )

    def keep_address(self, name: str, address: str) -> None:
        """Make a relay listen where it does now whenever it is started again: its clients know it by that."""
        path = self.relay_file(name)
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace(f"listen: {ANY_PORT}", f"listen: {address}"))

    def introduce_relays(self, addresses: Mapping[str, str]) -> None:
        """Write the addresses of all others into each relay's file.

        A relay that is started again then has peers to ask.

        Args:
            addresses: Address of each relay, by its name.
        """
        for name in addresses:
            path = self.relay_file(name)
            settings = yaml.safe_load(path.read_text(encoding="utf-8"))
            peers = [address for other, address in addresses.items() if other != name]
            self._write(path.name, settings | self._gossip_settings(name, peers))

    def _gossip_settings(self, name: str, peers: list[str]) -> dict[str, Any]:
        if not self._day.learning:
            return {}
        token = self.path / "keys" / "token"
        token.write_text(f"{self._day.name}-{self.start_ms}", encoding="utf-8")
        return {
            "knowledge": {
                "token_file": str(token),
                "snapshot": str(self.path / f"{name}.know"),
                "snapshot_every_ms": SNAPSHOT_INTERVAL_MS,
                "peers": peers,
            }
        }

    # -- clients ---------------------------------------------------------------------------------------------

    def write_clients(self, addresses: Mapping[str, str]) -> Path:
        """Write the settings of the client emulator.

        Args:
            addresses: Address of each relay, by its name.
        """
        day, traffic = self._day, self._day.traffic
        return self._write(
            "clients.yaml",
            {
                "seed": day.seed,
                "t0_ms": self.start_ms,
                "seconds": day.seconds,
                "record": str(self.path / "clients.jsonl"),
                "relays": [{"name": name, "address": address} for name, address in addresses.items()],
                "classes": {
                    name: {"effect": message_class.effect, "deadline_ms": message_class.deadline_ms}
                    for name, message_class in day.classes.items()
                },
                "flows": [self._flow_settings(flow) for flow in self._fleet.flows],
                "surges": [self._surge_settings(fault) for fault in day.troubles if fault.kind in SURGE_KINDS],
                "senders_pem": {name: self._pem(name) for name in traffic.senders},
                "partners_pem": {partner.name: self._pem(partner.name) for partner in self._fleet.partners},
                "relay_pem": self._pem(RELAY_KEY),
                "signed": traffic.signed,
                "compressed": traffic.compressed,
                "asynchronous": traffic.asynchronous,
                "repeats": traffic.repeats,
                "bytes": traffic.bytes,
                "tries": traffic.tries,
            },
        )

    @staticmethod
    def _flow_settings(flow: TrafficFlow) -> dict[str, Any]:
        return {
            "sender": flow.sender,
            "receiver": flow.receiver,
            "cls": flow.message_class,
            "subject": flow.message_class,
            "per_s": flow.per_s,
        }

    def _surge_settings(self, fault: FleetFault) -> dict[str, Any]:
        return {
            "at_s": fault.at_s,
            "for_s": fault.for_s,
            "times": fault.times,
            "receivers": [partner.name for partner in self._fleet.partners_matching(fault.partners)],
        }

    # -- facts -----------------------------------------------------------------------------------------------

    def write_facts(self, lifetimes: Mapping[str, Sequence[RelayLifetime]]) -> None:
        """Write `run.json`: the figures of the rules, and which relay process ran when.

        Args:
            lifetimes: The processes of each relay, by its name.
        """
        day = self._day
        facts = {
            "day": day.name,
            "seed": day.seed,
            "seconds": day.seconds,
            "t0_ms": self.start_ms,
            "attempts": day.attempts,
            "classes": {name: message_class.model_dump() for name, message_class in day.classes.items()},
            "safety": day.safety.model_dump(),
            "partners": {
                partner.name: {"rate": partner.limit_per_s, "usual": round(partner.usual_per_s, 3)}
                for partner in self._fleet.partners
            },
            "relays": {name: [each.to_json() for each in processes] for name, processes in lifetimes.items()},
        }
        (self.path / "run.json").write_text(json.dumps(facts, indent=1), encoding="utf-8")
