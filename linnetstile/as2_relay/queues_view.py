"""The admin view `queues`: who holds how much memory, and what waits for each partner.

Its JSON names are read by `linnetstile show` and by operators' scripts.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from ..engine.fair_share import BYTES, MESSAGES
from .relay_view import MAX_ROWS, RelayView

UNKNOWN_PARTNER = "?"


@dataclass(frozen=True, slots=True)
class ShareRow:
    """What one node of the fair-share trees holds.

    Attributes:
        tree: "from" or "to".
        path: Names of the nodes from the first level down to this one.
        used_bytes: Bytes that it holds.
        used_messages: Messages that it holds.
        waiting: Requests that wait for memory.
        weight: Its weight against its siblings.
        fair_bytes: Its fair share of the bytes.
        fair_messages: Its fair share of the messages.
    """

    tree: str
    path: str
    used_bytes: int
    used_messages: int
    waiting: int
    weight: float
    fair_bytes: int
    fair_messages: int

    def to_json(self) -> dict[str, Any]:
        """Return the row under its JSON names."""
        return {
            "tree": self.tree,
            "party": self.path,
            "bytes": self.used_bytes,
            "messages": self.used_messages,
            "waiting": self.waiting,
            "weight": self.weight,
            "fair_bytes": self.fair_bytes,
            "fair_messages": self.fair_messages,
        }


@dataclass(frozen=True, slots=True)
class PartnerQueueRow:
    """What waits for one partner, and what is in flight to it."""

    partner: str
    queued: int
    in_flight: int

    def to_json(self) -> dict[str, Any]:
        """Return the row under its JSON names."""
        return {"partner": self.partner, "queued": self.queued, "out": self.in_flight}


@dataclass(frozen=True, slots=True)
class CapacityUse:
    """How much of the relay's memory and slots is in use."""

    max_bytes: float
    used_bytes: int
    max_messages: float
    used_messages: int
    waiting_requests: int
    max_in_flight: int
    in_flight: int

    def to_json(self) -> dict[str, Any]:
        """Return the figures under their JSON names."""
        return {
            "bytes": self.max_bytes,
            "held_bytes": self.used_bytes,
            "messages": self.max_messages,
            "held_messages": self.used_messages,
            "waiting": self.waiting_requests,
            "slots": self.max_in_flight,
            "slots_out": self.in_flight,
        }


@dataclass(frozen=True, slots=True)
class QueuesView:
    """Who holds how much, and what waits for each partner."""

    capacity: CapacityUse
    shares: list[ShareRow]
    partners: list[PartnerQueueRow]

    def to_json(self) -> dict[str, Any]:
        """Return the view under its JSON names."""
        return {
            "room": self.capacity.to_json(),
            "total": len(self.shares),
            "parties": [row.to_json() for row in self.shares[:MAX_ROWS]],
            "partners": [row.to_json() for row in self.partners[:MAX_ROWS]],
        }


def queues_view(relay: RelayView) -> QueuesView:
    """Return how much memory each party holds, its fair share, and what waits for each partner."""
    return QueuesView(_capacity_use(relay), _share_rows(relay), _partner_queue_rows(relay))


def _capacity_use(relay: RelayView) -> CapacityUse:
    fair_share = relay.admission.fair_share
    return CapacityUse(
        max_bytes=fair_share.capacity[BYTES],
        used_bytes=int(fair_share.used[BYTES]),
        max_messages=fair_share.capacity[MESSAGES],
        used_messages=int(fair_share.used[MESSAGES]),
        waiting_requests=len(relay.admission.waiting),
        max_in_flight=relay.settings.limits.slots,
        in_flight=relay.engine.in_flight,
    )


def _share_rows(relay: RelayView) -> list[ShareRow]:
    fair_share = relay.admission.fair_share
    rows = [
        ShareRow(
            tree=tree,
            path=node.path(),
            used_bytes=int(node.used[BYTES]),
            used_messages=int(node.used[MESSAGES]),
            waiting=node.waiting,
            weight=node.weight,
            fair_bytes=int(fair_share.fair_share(node, BYTES)),
            fair_messages=int(fair_share.fair_share(node, MESSAGES)),
        )
        for tree, node in fair_share.nodes()
    ]
    rows.sort(key=lambda row: -row.used_bytes)
    return rows


def _partner_queue_rows(relay: RelayView) -> list[PartnerQueueRow]:
    names = {number: name for name, number in relay.registry.partner_numbers.items()}
    in_flight = Counter(message.head.receiver for message in relay.accepted.values() if message.attempt is not None)
    rows = []
    for destination, queue in relay.engine.queues.queues.items():
        name = names.get(destination, UNKNOWN_PARTNER)
        rows.append(PartnerQueueRow(partner=name, queued=len(queue), in_flight=in_flight.get(name, 0)))
    with_queue = {row.partner for row in rows}
    for name, count in in_flight.items():
        if name not in with_queue:
            rows.append(PartnerQueueRow(partner=name, queued=0, in_flight=count))
    rows.sort(key=lambda row: -row.queued)
    return rows
