"""Limits on the connections of a listener: their number, their idle time, their speed and their memory."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one listener: times in seconds, rates in bytes a second (0 = none).

    A connection that exceeds one of them is closed.
    """

    max_connections: int = 4096
    head_timeout_s: float = 10.0  # for a TLS handshake, and for a head (on a new connection: since its start)
    idle_timeout_s: float = 60.0  # between two requests
    min_body_rate: float = 0.0  # minimum rate at which a body is sent
    min_response_rate: float = 0.0  # minimum rate at which a response is read
    rate_grace_s: float = 5.0  # stall that the minimum rates allow
    max_pipelined_events: int = 32  # events behind an unanswered request; 512 unparsed bytes count as one
    max_unsent_bytes: int = 256 * 1024  # bytes of responses not read by the peer, above which its input is not read
    max_input_bytes: int = 0  # received bytes of incomplete and waiting requests, over all connections; 0 = no limit
    sweep_interval_s: float = 1.0  # how often the limits are checked
