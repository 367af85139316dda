"""Counts and logs the connections that the relay evicts, and logs requests of clients that are not valid HTTP."""

from __future__ import annotations

from collections import Counter

from ..codec import http1
from ..net import client, server
from ..telemetry import log_events
from ..telemetry.log import Logger
from .admission import origin_of


class ConnectionReporter:
    """Receives the reports of the listener and of the connection pool about single connections."""

    def __init__(self, counts: Counter[str], log: Logger) -> None:
        """Create a reporter that has received nothing yet.

        Args:
            counts: Counters of the relay.
            log: Logger of the relay.
        """
        self.counts = counts
        self.log = log

    def on_protocol_error(self, peer: str, error: http1.Http1Error) -> None:
        """Log a client that sent bytes that are not a valid HTTP request."""
        self.log.warning(log_events.PROTOCOL_ERROR, peer=peer, status=error.status, why=error.text)

    def on_client_evicted(self, connection: server.RequestConnection, reason: str) -> None:
        """Count and log a client connection that was closed because of the limit `reason`."""
        self.counts[f"let_go_{reason}"] += 1
        origin = origin_of(connection.current_request)
        self.log.warning(
            log_events.CONNECTION_EVICTED,
            peer=connection.peer_address(),
            bound=reason,
            phase=connection.phase,
            read=connection.bytes_read,
            message=origin.message_id if origin else "",
            sender=origin.sender if origin else "",
        )

    def on_partner_evicted(self, connection: client.ClientConnection, reason: str) -> None:
        """Count and log a partner connection that was closed because of the limit `reason`."""
        limit_name = reason.partition(":")[0]
        self.counts[f"partner_let_go_{limit_name}"] += 1
        self.log.warning(
            log_events.CONNECTION_EVICTED,
            peer=client.format_address(connection.address),
            bound=reason,
            unsent=connection.queued_bytes,
            read=connection.bytes_read,
        )
