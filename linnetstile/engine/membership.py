"""Membership of the fleet: the other relays that are known, which of them to poll for gossip, and when.

Peers come from the settings and from what other peers advertise. A peer that answers is alive. One that does not is
suspected, and counts as having left after `MAX_FAILURES` failures in a row. An advertisement only adds peers: it never
removes one or makes one alive.

Polls are rare. A relay that has just started polls up to `BOOTSTRAP_PEERS` peers, one at a time and with jitter, so
that a restart of a whole fleet causes no burst of polls. From then on it polls one peer every `POLL_INTERVAL_MS`. An
empty answer counts as an answer: when all peers have just started, none of them knows anything yet.

No I/O and no clock: times (ms) come in.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from .time_points import NEVER

BOOTSTRAP_PEERS = 3  # peers that a relay polls first: if one is wrong, the two others outvote it
FIRST_POLL_JITTER_MS = 500.0  # the first poll is at a random time within it: 300 relays make one every 2 ms
BOOTSTRAP_GAP_MS = 150.0  # minimum time between the first polls
POLL_INTERVAL_MS = 10_000.0  # minimum time between later polls, which request changes only
MAX_INTERVAL_JITTER = 1.5  # the time between polls is multiplied by a random factor from 1 up to this
MAX_FAILURES = 3  # unanswered polls in a row after which a peer counts as having left
FIRST_BACKOFF_MS = 2_000.0  # time before a suspected peer is polled again; doubles with each failure
MAX_BACKOFF_MS = 60_000.0
MIN_BACKOFF_JITTER = 0.5  # a backoff is multiplied by a random factor from this up to 1
MAX_PEERS = 1_000  # upper bound of known peers
MAX_PEERS_PER_ANSWER = 32  # advertised peers that are read from one answer


class PeerStatus(Enum):
    """What is known of a peer."""

    UNKNOWN = "unknown"  # from the settings or advertised by a peer, and not polled yet
    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEFT = "left"


@dataclass(slots=True)
class Peer:
    """Another relay.

    Attributes:
        address: Address at which it is polled.
        configured: Whether it is in the settings, so that it is never forgotten.
        status: What is known of it.
        failures: Unanswered polls in a row.
        last_answer_at: Time (ms) of its last answer.
        next_poll_at: Time (ms) before which it is not polled.
        incarnation: Identifier of its process. A new one means that the peer has restarted and knows nothing yet.
    """

    address: str
    configured: bool
    status: PeerStatus = PeerStatus.UNKNOWN
    failures: int = 0
    last_answer_at: float = NEVER
    next_poll_at: float = 0.0
    incarnation: str = ""

    @property
    def is_unresponsive(self) -> bool:
        """Whether its last poll was not answered."""
        return self.status in (PeerStatus.SUSPECTED, PeerStatus.LEFT)

    def record_answer(self, now_ms: float, incarnation: str) -> None:
        """Enter the ALIVE status; the peer may be polled again at once."""
        self.status = PeerStatus.ALIVE
        self.failures = 0
        self.last_answer_at = now_ms
        self.incarnation = incarnation
        self.next_poll_at = now_ms

    def record_failure(self) -> None:
        """Enter the SUSPECTED status, or LEFT after too many failures in a row."""
        self.failures += 1
        self.status = PeerStatus.LEFT if self.failures >= MAX_FAILURES else PeerStatus.SUSPECTED


class Membership:
    """The peers of a relay and the schedule of its polls.

    `next_peer` returns the peer to poll now, if any. `poll_answered` or `poll_failed` has to report how the poll ended
    before `next_peer` returns another peer.

    Attributes:
        own_address: Address of this relay, which is never a peer.
        rng: Source of all jitter.
        peers: All known peers by address.
        polling: Address of the peer that is being polled.
        answers: Number of polls that have been answered.
        next_poll_at: Time (ms) before which no peer is polled.
    """

    def __init__(self, own_address: str, configured: list[str], now_ms: float, seed: int) -> None:
        self.own_address = own_address
        self.rng = random.Random(seed)
        self.peers: dict[str, Peer] = {}
        self.polling: str | None = None
        self.answers = 0
        self.next_poll_at = now_ms + self.rng.uniform(0.0, FIRST_POLL_JITTER_MS)
        for address in configured:
            self._add(address, configured=True)

    def _add(self, address: str, configured: bool) -> None:
        is_known = address == self.own_address or address in self.peers
        if not is_known and len(self.peers) < MAX_PEERS:
            self.peers[address] = Peer(address, configured)

    @property
    def is_bootstrapping(self) -> bool:
        """Whether the relay is still polling its first peers."""
        return self.answers < min(BOOTSTRAP_PEERS, len(self.peers))

    def next_peer(self, now_ms: float) -> str | None:
        """Return the address of the peer to poll now.

        There is never more than one poll at a time. Responsive peers are polled before unresponsive ones; within each
        group, the peer whose last answer is the oldest is polled first, and a random one among equals.
        """
        if self.polling is not None or now_ms < self.next_poll_at:
            return None
        candidates = [peer for peer in self.peers.values() if peer.next_poll_at <= now_ms]
        if not candidates:
            return None
        peer = min(candidates, key=self._poll_order)
        self.polling = peer.address
        return peer.address

    def _poll_order(self, peer: Peer) -> tuple[bool, float, float]:
        return peer.is_unresponsive, peer.last_answer_at, self.rng.random()

    def _end_poll(self, now_ms: float) -> None:
        self.polling = None
        interval_ms = BOOTSTRAP_GAP_MS if self.is_bootstrapping else POLL_INTERVAL_MS
        self.next_poll_at = now_ms + interval_ms * self.rng.uniform(1.0, MAX_INTERVAL_JITTER)

    def poll_answered(self, now_ms: float, address: str, incarnation: str, advertised: list[str]) -> bool:
        """Record the answer of a peer.

        Args:
            now_ms: Present time (ms).
            address: The peer.
            incarnation: Identifier of the process that answered.
            advertised: Addresses of the peers that the answering peer has had answers from.

        Returns:
            Whether the peer has restarted since its last answer, so that its earlier answers no longer count.
        """
        peer = self.peers[address]
        has_restarted = bool(peer.incarnation) and peer.incarnation != incarnation
        peer.record_answer(now_ms, incarnation)
        self.answers += 1
        for other in advertised[:MAX_PEERS_PER_ANSWER]:
            self._add(other, configured=False)
        self._end_poll(now_ms)
        return has_restarted

    def poll_failed(self, now_ms: float, address: str) -> None:
        """Record that a peer gave no answer, or an unreadable one."""
        peer = self.peers[address]
        peer.record_failure()
        backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (peer.failures - 1))
        peer.next_poll_at = now_ms + backoff_ms * self.rng.uniform(MIN_BACKOFF_JITTER, 1.0)
        if peer.status is PeerStatus.LEFT and not peer.configured:
            del self.peers[address]
        self._end_poll(now_ms)

    def alive_peers(self) -> list[str]:
        """Return the peers that have answered this relay itself: the ones that it advertises."""
        return [peer.address for peer in self.peers.values() if peer.status is PeerStatus.ALIVE]
