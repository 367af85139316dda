"""Builds the contents of the settings files of the relays of a run."""

from __future__ import annotations

from pathlib import Path

from .day import Day
from .emulator_settings import RELAY_KEY, Document
from .fleet_plan import FleetPlan
from .run_keys import RunKeys

RELAY_AS2_NAME = "linnetstile"
ANY_PORT_ADDRESS = "127.0.0.1:0"
SNAPSHOT_INTERVAL_MS = 1000


class RelaySettings:
    """Derives the settings of the relays from a day."""

    def __init__(self, day: Day, fleet: FleetPlan, folder: Path, keys: RunKeys) -> None:
        self._day = day
        self._fleet = fleet
        self._folder = folder
        self._keys = keys

    def relay(self, name: str, registry_url: str) -> Document:
        """Return the settings of a relay that listens on any port and has no peers yet."""
        day = self._day
        return {
            "name": name,
            "listen": ANY_PORT_ADDRESS,
            "register": registry_url,
            "relays": day.relays,
            "seed": day.seed,
            "identity": {"as2_name": RELAY_AS2_NAME, "pem": self._keys.pem(RELAY_KEY)},
            "classes": {
                class_name: message_class.model_dump(exclude={"share", "kinds"})
                for class_name, message_class in day.classes.items()
            },
            "kinds": {group.name: {} for group in day.partners},
            "rules": [{"class": class_name, "subject": class_name} for class_name in day.classes],
            "partners": {
                partner.name: {"certificate": self._keys.pem(partner.name), "receipts": partner.group.receipts}
                for partner in self._fleet.partners
            },
            "limits": {"slots": day.max_in_flight, "hold": day.max_pending_messages, "attempts": day.attempts},
            "decay": day.decay,
            "safety": day.safety.model_dump(by_alias=True),
            **self.gossip(name, []),
        }

    def gossip(self, name: str, peers: list[str]) -> Document:
        """Return the gossip section of a relay's settings; empty if the day does not use gossip."""
        if not self._day.uses_gossip:
            return {}
        return {
            "knowledge": {
                "token_file": self._keys.gossip_token(),
                "snapshot": str(self._folder / f"{name}.know"),
                "snapshot_every_ms": SNAPSHOT_INTERVAL_MS,
                "peers": peers,
            }
        }
