"""The views of the admin socket. Their JSON names are read by `linnetstile show` and by operators' scripts."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from ..engine.fair_share import BYTES, MESSAGES
from ..net import client
from .admission import origin_of
from .relay_view import RelayView

MAX_ROWS = 1000  # in one answer; `total` tells how many there are
UNKNOWN_PARTNER = "?"


@dataclass(frozen=True, slots=True)
class ConnectionRow:
    """One connection.

    Attributes:
        side: "client" or "partner".
        peer: Its address.
        phase: What it is at.
        age_s: Seconds since it was opened; for partners, since its call began.
        phase_s: Seconds in its phase.
        bytes_read: Bytes that came.
        bytes_unsent: Bytes that the peer has not read.
        patience: Fraction of the stall that is left before it is evicted.
        message_id: Message-ID of its request.
        sender: AS2 name of the sender.
        partner: AS2 name of the partner.
    """

    side: str
    peer: str
    phase: str
    age_s: float
    phase_s: float
    bytes_read: int
    bytes_unsent: int
    patience: float
    message_id: str = ""
    sender: str = ""
    partner: str = ""

    def to_json(self) -> dict[str, Any]:
        """Return the row under its JSON names."""
        return {
            "side": self.side,
            "peer": self.peer,
            "phase": self.phase,
            "age_s": self.age_s,
            "phase_s": self.phase_s,
            "read": self.bytes_read,
            "unsent": self.bytes_unsent,
            "patience": self.patience,
            "message": self.message_id,
            "sender": self.sender,
            "partner": self.partner,
        }


@dataclass(frozen=True, slots=True)
class ConnectionsView:
    """All connections, those first that have been longest in their phase.

    Attributes:
        max_connections: Limit of the listener.
        rows: The connections.
        phases: Number of connections by side and phase.
    """

    max_connections: int
    rows: list[ConnectionRow]
    phases: dict[str, int]

    def to_json(self) -> dict[str, Any]:
        """Return the view under its JSON names."""
        return {
            "total": len(self.rows),
            "bound": self.max_connections,
            "phases": self.phases,
            "rows": [row.to_json() for row in self.rows[:MAX_ROWS]],
        }


def connections_view(relay: RelayView) -> ConnectionsView:
    """Return who is connected, at what, for how long, and how much was read and sent."""
    now_s = asyncio.get_running_loop().time()
    rows = _client_rows(relay, now_s) + _partner_rows(relay, now_s)
    rows.sort(key=lambda row: (-row.phase_s, row.peer))
    phases = Counter(f"{row.side} {row.phase}" for row in rows)
    return ConnectionsView(relay.listener.limits.max_connections, rows, dict(sorted(phases.items())))


def _client_rows(relay: RelayView, now_s: float) -> list[ConnectionRow]:
    rows = []
    for connection in relay.listener.connections:
        origin = origin_of(connection.current_request)
        rows.append(
            ConnectionRow(
                side="client",
                peer=connection.peer_address(),
                phase=connection.phase,
                age_s=round(now_s - connection.opened_at, 1),
                phase_s=round(now_s - connection.phase_started_at, 1),
                bytes_read=connection.bytes_read,
                bytes_unsent=connection.unsent_bytes,
                patience=round(connection.remaining_grace, 2),
                message_id=origin.message_id if origin else "",
                sender=origin.sender if origin else "",
                partner=origin.partner if origin else "",
            )
        )
    return rows


def _partner_rows(relay: RelayView, now_s: float) -> list[ConnectionRow]:
    partners: dict[client.Address, str] = {
        endpoint.address: endpoint.partner for endpoint in relay.registry.endpoints.values()
    }
    rows = []
    for connection in relay.pool.connections:
        age_s = round(now_s - connection.call_started_at, 1)
        rows.append(
            ConnectionRow(
                side="partner",
                peer=client.format_address(connection.address),
                phase=_partner_phase(connection),
                age_s=age_s,
                phase_s=age_s,
                bytes_read=connection.bytes_read,
                bytes_unsent=connection.unsent_bytes if not connection.is_closing else 0,
                patience=round(connection.remaining_grace, 2),
                partner=partners.get(connection.address, ""),
            )
        )
    return rows


def _partner_phase(connection: client.ClientConnection) -> str:
    if connection.call is None:
        return "idle"
    if connection.request_incomplete:
        return "request"
    return "answer" if connection.bytes_read else "work"


@dataclass(frozen=True, slots=True)
class ShareRow:
    """What one node of the fair-share trees holds.

    Attributes:
        tree: "from" or "to".
        path: Names from the first level down.
        used_bytes: Bytes that it holds.
        used_messages: Messages that it holds.
        waiting: Requests that wait.
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
    """Return who holds how much memory and what its fair share is, then what waits for each partner."""
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
    names = {number: name for name, number in relay.registry.partners.items()}
    in_flight = Counter(message.head.receiver for message in relay.accepted.values() if message.attempt is not None)
    rows = []
    for destination, queue in relay.engine.queues.queues.items():
        name = names.get(destination, UNKNOWN_PARTNER)
        rows.append(PartnerQueueRow(name, len(queue), in_flight.get(name, 0)))
    with_queue = {row.partner for row in rows}
    rows += [PartnerQueueRow(name, 0, count) for name, count in in_flight.items() if name not in with_queue]
    rows.sort(key=lambda row: -row.queued)
    return rows


@dataclass(frozen=True, slots=True)
class SlowPartnerRow:
    """How long the attempts of one partner hold their slots.

    Attributes:
        partner: AS2 name of the partner.
        slow_s: Seconds since it counts as slow; None if it does not.
        slot_ms: Time that an attempt holds its slot.
        in_flight: Attempts in flight.
        times_slow: How often it has become slow.
        reason: Why it is slow, for people.
    """

    partner: str
    slow_s: float | None
    slot_ms: int
    in_flight: int
    times_slow: int
    reason: str

    def to_json(self) -> dict[str, Any]:
        """Return the row under its JSON names."""
        return {
            "partner": self.partner,
            "slow_s": self.slow_s,
            "slot_ms": self.slot_ms,
            "out": self.in_flight,
            "entered": self.times_slow,
            "why": self.reason,
        }


@dataclass(frozen=True, slots=True)
class SlowPartnersView:
    """All partners, the slow ones first, then by slot time."""

    median_slot_ms: int
    rows: list[SlowPartnerRow]

    @property
    def shown_rows(self) -> list[SlowPartnerRow]:
        """The rows that fit into an answer."""
        return self.rows[:MAX_ROWS]

    def to_json(self) -> dict[str, Any]:
        """Return the view under its JSON names."""
        return {
            "usual_ms": self.median_slot_ms,
            "total": len(self.rows),
            "rows": [row.to_json() for row in self.shown_rows],
        }


def slow_partners_view(relay: RelayView) -> SlowPartnersView:
    """Return how long the attempts of each partner hold their slots, and why some count as slow."""
    now_ms, detector = relay.admission.now_ms, relay.admission.slow_partners
    rows = [
        SlowPartnerRow(
            partner=partner.name,
            slow_s=round((now_ms - partner.slow_since) / 1000, 1) if partner.slow_since else None,
            slot_ms=round(detector.slot_ms(now_ms, partner)),
            in_flight=len(partner.in_flight),
            times_slow=partner.times_slow,
            reason=partner.reason,
        )
        for partner in detector.partners.values()
    ]
    rows.sort(key=lambda row: (row.slow_s is None, -row.slot_ms))
    return SlowPartnersView(round(detector.median_slot_ms()), rows)
