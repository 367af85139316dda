"""The admin view `connections`: who is connected, in which phase, and for how long.

Its JSON names are read by `linnetstile show` and by operators' scripts.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from ..net import client
from .admission import origin_of
from .relay_view import MAX_ROWS, RelayView


@dataclass(frozen=True, slots=True)
class ConnectionRow:
    """One connection.

    Attributes:
        side: "client" or "partner".
        peer: Its address.
        phase: What it is doing, for example waiting for a request or for an answer.
        age_s: Seconds since it was opened; for partners, since its call began.
        phase_s: Seconds in its phase.
        bytes_read: Bytes received from the peer.
        bytes_unsent: Bytes that the kernel has not accepted for sending yet.
        remaining_grace: Fraction of the allowed stall that is left before the connection is evicted.
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
    remaining_grace: float
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
            "patience": self.remaining_grace,
            "message": self.message_id,
            "sender": self.sender,
            "partner": self.partner,
        }


@dataclass(frozen=True, slots=True)
class ConnectionsView:
    """All connections, sorted by the time in their phase, longest first.

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
    """Return all open connections with their phase, its duration, and the bytes read and unsent."""
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
                remaining_grace=round(connection.remaining_grace, 2),
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
                remaining_grace=round(connection.remaining_grace, 2),
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
