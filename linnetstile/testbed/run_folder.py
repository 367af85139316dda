"""The folder of a run: the settings file of each process, and the facts for the rule checker."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping, Sequence
from pathlib import Path

import yaml

from .day import Day
from .emulator_settings import Document, EmulatorSettings
from .fleet_plan import FleetPlan
from .relay_lifetime import RelayLifetime
from .relay_settings import ANY_PORT_ADDRESS, RelaySettings
from .run_keys import RunKeys


class RunFolder:
    """Writes the files of one run.

    Attributes:
        path: The folder.
        start_ms: Start of the script by the clock of the run; infinite until all processes are ready.
    """

    def __init__(self, day: Day, fleet: FleetPlan, path: Path) -> None:
        self._day = day
        self._fleet = fleet
        self.path = path
        self.start_ms = math.inf
        keys = RunKeys(path)
        self._emulators = EmulatorSettings(day, fleet, path, keys)
        self._relays = RelaySettings(day, fleet, path, keys)

    def _write(self, name: str, settings: Document) -> Path:
        path = self.path / name
        path.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")
        return path

    # -- emulators -------------------------------------------------------------------------------------------

    def write_partners(self) -> Path:
        """Write the settings of the partner emulator."""
        return self._write("partners.yaml", self._emulators.partners())

    def write_registry(self, ports: Mapping[str, int]) -> Path:
        """Write the settings of the registry emulator.

        Args:
            ports: Port of each endpoint, by its id as text.
        """
        return self._write("register.yaml", self._emulators.registry(ports))

    def write_clients(self, addresses: Mapping[str, str]) -> Path:
        """Write the settings of the client emulator.

        Args:
            addresses: Address of each relay, by its name.
        """
        return self._write("clients.yaml", self._emulators.clients(addresses))

    # -- relays ----------------------------------------------------------------------------------------------

    def relay_file(self, name: str) -> Path:
        """Return the path of the settings of a relay."""
        return self.path / f"{name}.yaml"

    def write_relay(self, name: str, registry_url: str) -> Path:
        """Write the settings of a relay that listens on any port."""
        return self._write(self.relay_file(name).name, self._relays.relay(name, registry_url))

    def pin_address(self, name: str, address: str) -> None:
        """Make a relay listen on its current address after each restart, because the clients use that address."""
        path = self.relay_file(name)
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace(f"listen: {ANY_PORT_ADDRESS}", f"listen: {address}"))

    def write_peer_addresses(self, addresses: Mapping[str, str]) -> None:
        """Write the addresses of its peers into the settings of each relay, which reads them at its next start.

        Args:
            addresses: Address of each relay, by its name.
        """
        for name in addresses:
            path = self.relay_file(name)
            settings = yaml.safe_load(path.read_text(encoding="utf-8"))
            peers = [address for other, address in addresses.items() if other != name]
            self._write(path.name, settings | self._relays.gossip(name, peers))

    # -- facts -----------------------------------------------------------------------------------------------

    def write_facts(self, lifetimes: Mapping[str, Sequence[RelayLifetime]]) -> None:
        """Write `run.json`: the settings that the rules need, and the lifetimes of the relay processes.

        Args:
            lifetimes: The processes of each relay, by its name.
        """
        day = self._day
        facts = {
            "day": day.name,
            "seed": day.seed,
            "seconds": day.seconds,
            "t0_ms": self.start_ms if math.isfinite(self.start_ms) else None,
            "attempts": day.attempts,
            "classes": {name: message_class.model_dump() for name, message_class in day.classes.items()},
            "safety": day.safety.model_dump(by_alias=True),
            "partners": {
                partner.name: {"rate": partner.limit_per_s, "usual": round(partner.mean_per_s, 3)}
                for partner in self._fleet.partners
            },
            "relays": {name: [lifetime.to_json() for lifetime in processes] for name, processes in lifetimes.items()},
        }
        (self.path / "run.json").write_text(json.dumps(facts, indent=1), encoding="utf-8")
