"""Which other relays there are, and whom to ask for what they know, when. No I/O; times in ms come in.

Peers come from settings and from what peers say of others. One that answers is alive; one that does not is
suspected, and left after a while; hearsay never takes a peer off, and never makes one alive. Asks are few: a fresh
relay asks up to `FIRST` peers, one at a time and spread by chance, so that a full restart of a fleet makes no storm;
then one in each `ROUND_MS`. An empty answer (all are fresh) is an answer."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

BOOTSTRAP_PEERS = 3  # peers that a fresh relay hears: one may be wrong, and two others outvote it
FIRST_POLL_JITTER_MS = 500.0  # the first ask comes within so long, by chance: 300 relays at once are one ask a 2 ms
BOOTSTRAP_GAP_MS = 150.0  # between the first asks, at least
POLL_INTERVAL_MS = 10_000.0  # later asks: a delta of what changed
MAX_FAILURES = 3  # unanswered asks in a row until a peer has left
FIRST_BACKOFF_MS, MAX_BACKOFF_MS = 2_000.0, 60_000.0  # before a suspected one is asked again, doubling
MAX_PEERS = 1_000
MAX_PEERS_PER_ANSWER = 32  # of the peers that one peer names, so many are taken up


class PeerStatus(Enum):
    UNKNOWN = "unknown"  # named, not yet heard of
    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEFT = "left"


@dataclass(slots=True)
class Peer:
    address: str
    configured: bool  # in the settings: never forgotten
    status: PeerStatus = PeerStatus.UNKNOWN
    failures: int = 0
    last_answer_at: float = float("-inf")
    next_poll_at: float = 0.0
    incarnation: str = ""  # of its process: another one means that it knows nothing of before


class Membership:
    """`due` names the peer to ask now, if any; tell it with `heard` or `missed` how that ended."""

    def __init__(self, own: str, listed: list[str], now: float, seed: int) -> None:
        self.own = own
        self.rng = random.Random(seed)
        self.peers: dict[str, Peer] = {}
        self.polling: str | None = None
        self.answers = 0
        self.next_poll_at = now + self.rng.uniform(0.0, FIRST_POLL_JITTER_MS)
        for address in listed:
            self._add(address, True)

    def _add(self, address: str, listed: bool) -> None:
        if address != self.own and address not in self.peers and len(self.peers) < MAX_PEERS:
            self.peers[address] = Peer(address, listed)

    @property
    def is_bootstrapping(self) -> bool:
        """Still hearing its first peers."""
        return self.answers < min(BOOTSTRAP_PEERS, len(self.peers))

    def next_peer(self, now: float) -> str | None:
        """Whom to ask now: never two at once, the least heard first, by chance among equals."""
        if self.polling is not None or now < self.next_poll_at:
            return None
        able = [peer for peer in self.peers.values() if peer.next_poll_at <= now]
        if not able:
            return None
        peer = min(
            able,
            key=lambda peer: (
                peer.status in (PeerStatus.SUSPECTED, PeerStatus.LEFT),
                peer.last_answer_at,
                self.rng.random(),
            ),
        )
        self.polling = peer.address
        return peer.address

    def _ended(self, now: float) -> None:
        self.polling = None
        gap = BOOTSTRAP_GAP_MS if self.is_bootstrapping else POLL_INTERVAL_MS
        self.next_poll_at = now + gap * self.rng.uniform(1.0, 1.5)

    def poll_answered(self, now: float, address: str, run: str, others: list[str]) -> bool:
        """An answer came; True if that is another process than the last time: what it said before is void."""
        peer = self.peers[address]
        another = bool(peer.incarnation) and peer.incarnation != run
        peer.status, peer.failures, peer.last_answer_at, peer.incarnation = PeerStatus.ALIVE, 0, now, run
        peer.next_poll_at = now
        self.answers += 1
        for other in others[:MAX_PEERS_PER_ANSWER]:
            self._add(other, False)
        self._ended(now)
        return another

    def poll_failed(self, now: float, address: str) -> None:
        """No answer, or none that can be read."""
        peer = self.peers[address]
        peer.failures += 1
        peer.status = PeerStatus.LEFT if peer.failures >= MAX_FAILURES else PeerStatus.SUSPECTED
        pause = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (peer.failures - 1))
        peer.next_poll_at = now + pause * self.rng.uniform(0.5, 1.0)
        if peer.status is PeerStatus.LEFT and not peer.configured:
            del self.peers[address]
        self._ended(now)

    def alive_peers(self) -> list[str]:
        """Those that this relay has heard itself: what it says to others of others."""
        return [peer.address for peer in self.peers.values() if peer.status is PeerStatus.ALIVE]
