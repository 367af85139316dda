"""Polls other relays for what they know; `engine/membership.py` decides which one to poll and when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..codec import http1
from ..config.relay import split_address
from ..engine.gossip import RouteClaim
from ..engine.membership import Membership
from ..net import client
from ..net.fault_boundary import FaultBoundary
from ..telemetry import log_events
from ..telemetry.log import Logger
from .gossip_document import MAX_DOCUMENT_BYTES, GossipDocument, parse

# A peer that takes longer counts as unanswered: the ages in its answer could not be trusted, and traffic must not wait.
POLL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
BOOTSTRAP_TICK_S = 0.05  # how often to check whether a poll is due, until the first peers have answered
TICK_S = 0.5  # how often to check whether a poll is due, after the first peers have answered


@dataclass(slots=True)
class PeerKnowledge:
    """What one peer has reported.

    Attributes:
        heard_at_ms: Loop time of its latest answer.
        claims: Its claims by route, with their ages when that answer came.
        connection_limits: Its connection limits by kind of destination.
        relay_count: Number of relays in the fleet, as the peer believes.
        version: Version of its latest document.
    """

    heard_at_ms: float = 0.0
    claims: dict[tuple[str, int], RouteClaim] = field(default_factory=dict)
    connection_limits: dict[str, float] = field(default_factory=dict)
    relay_count: int = 0
    version: int = 0

    def claims_at(self, now_ms: float) -> dict[tuple[str, int], RouteClaim]:
        """Return the claims with their ages at a time."""
        return {route: claim.aged(now_ms - self.heard_at_ms) for route, claim in self.claims.items()}


class PeerPoller:
    """Polls one peer at a time, and keeps what each of them reported.

    Attributes:
        membership: The known peers and their status; None before `start`.
        peers: What each peer that has answered reported, by address.
    """

    def __init__(
        self,
        relay_name: str,
        token: str,
        relay_count: int,
        on_answer: Callable[[], None],
        counts: dict[str, int],
        log: Logger,
    ) -> None:
        """Create a poller; it polls no peer before `start`.

        Args:
            relay_name: Name of this relay, for the Via field.
            token: Bearer token that the relays share.
            relay_count: Number of relays in the fleet, as this relay believes.
            on_answer: Called after each valid document.
            counts: Counters of the gossip service.
            log: Logger of the relay.
        """
        self.relay_name = relay_name
        self.token = token
        self.relay_count = relay_count
        self.on_answer = on_answer
        self.counts = counts
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.pool = client.ConnectionPool(
            connect_timeout_s=CONNECT_TIMEOUT_S, limits=http1.Limits(max_body_bytes=MAX_DOCUMENT_BYTES)
        )
        self.membership: Membership | None = None
        self.peers: dict[str, PeerKnowledge] = {}
        self.timer: asyncio.TimerHandle | None = None

    @property
    def now_ms(self) -> float:
        """The loop's time in ms."""
        return self.loop.time() * 1000

    def start(self, own_address: str, peers: list[str], seed: int) -> None:
        """Start polling, if any peers are configured."""
        self.membership = Membership(own_address, peers, self.now_ms, seed)
        if peers:
            self._poll()

    def _poll(self) -> None:
        """Poll a peer if one is due, and schedule the next check."""
        assert self.membership is not None
        with FaultBoundary("a poll of a peer"):
            peer = self.membership.next_peer(self.now_ms)
            if peer is not None:
                self._poll_peer(peer, self.membership.peers[peer].incarnation)
        tick_s = BOOTSTRAP_TICK_S if self.membership.is_bootstrapping else TICK_S
        self.timer = self.loop.call_later(tick_s, self._poll)

    def _poll_peer(self, peer: str, incarnation: str) -> None:
        self.counts["asked"] += 1
        known = self.peers.get(peer)
        since = known.version if known is not None else 0
        target = "/knowledge" + (f"?since={incarnation}.{since}" if since else "")
        headers = [("Host", peer), ("Authorization", f"Bearer {self.token}"), ("Via", f"1.1 {self.relay_name}")]
        asked_at_ms = self.now_ms

        def on_answer(answer: client.CallResult) -> None:
            self._on_answer(peer, asked_at_ms, answer)

        self.pool.call(
            split_address(peer),
            "GET",
            http1.encode_request("GET", target, headers),
            on_answer,
            self.loop.time() + POLL_TIMEOUT_S,
        )

    def _on_answer(self, peer: str, asked_at_ms: float, answer: client.CallResult) -> None:
        assert self.membership is not None
        if answer.head is None or answer.head.status != 200:
            self.counts["no_answer"] += 1
            self.membership.poll_failed(self.now_ms, peer)
            found = answer.wire_result.value if answer.head is None else str(answer.head.status)
            self.log.info(log_events.GOSSIP_POLL_FAILED, peer=peer, why=found, status=self._status_of(peer))
            return
        try:
            document = parse(answer.body)
        except ValueError as error:
            self.counts["unreadable"] += 1
            self.membership.poll_failed(self.now_ms, peer)
            self.log.warning(log_events.GOSSIP_DOCUMENT_INVALID, peer=peer, why=str(error))
            return
        self.counts["answered"] += 1
        is_new_incarnation = self.membership.poll_answered(self.now_ms, peer, document.run, document.peers)
        self._merge(peer, asked_at_ms, document, is_new_incarnation)
        if document.relays != self.relay_count:
            self.log.warning(
                log_events.GOSSIP_RELAY_COUNT_MISMATCH,
                peer=peer,
                peer_relay_count=document.relays,
                own_relay_count=self.relay_count,
                used="own_relay_count for limits, the larger count for learned outages",
            )
        self.on_answer()

    def _merge(self, peer: str, asked_at_ms: float, document: GossipDocument, is_new_incarnation: bool) -> None:
        """Update what is known from a peer with its latest document."""
        now_ms = self.now_ms
        known = self.peers.get(peer)
        is_complete = is_new_incarnation or not document.since
        claims = {} if known is None or is_complete else known.claims_at(now_ms)
        # The peer wrote the ages after the poll was sent, so with the whole round trip added they are never too low.
        claims |= {
            (claim.partner, claim.route): claim.to_claim().aged(now_ms - asked_at_ms) for claim in document.claims
        }
        self.peers[peer] = PeerKnowledge(
            heard_at_ms=now_ms,
            claims=claims,
            connection_limits=document.few_connections,
            relay_count=document.relays,
            version=document.version,
        )

    def _status_of(self, peer: str) -> str:
        found = self.membership.peers.get(peer) if self.membership else None
        return found.status.value if found else "left"

    def close(self) -> None:
        """Stop polling and close all connections."""
        if self.timer is not None:
            self.timer.cancel()
        self.pool.close()
