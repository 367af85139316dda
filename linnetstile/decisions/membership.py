"""Which other relays there are, and whom to ask for what they know, when. No I/O; times in ms come in.

Peers come from settings and from what peers say of others. One that answers is alive; one that does not is
suspected, and left after a while; hearsay never takes a peer off, and never makes one alive. Asks are few: a fresh
relay asks up to `FIRST` peers, one at a time and spread by chance, so that a full restart of a fleet makes no storm;
then one in each `ROUND_MS`. An empty answer (all are fresh) is an answer."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

FIRST = 3  # peers that a fresh relay hears: one may be wrong, and two others outvote it
SPREAD_MS = 500.0  # the first ask comes within so long, by chance: 300 relays at once are one ask a 2 ms
GAP_MS = 150.0  # between the first asks, at least
ROUND_MS = 10_000.0  # later asks: a delta of what changed
FAILS = 3  # unanswered asks in a row until a peer has left
PAUSE_MS, PAUSE_MAX_MS = 2_000.0, 60_000.0  # before a suspected one is asked again, doubling
PEERS_MAX = 1_000
TOLD_MAX = 32  # of the peers that one peer names, so many are taken up


class Standing(Enum):
    UNKNOWN = "unknown"  # named, not yet heard of
    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEFT = "left"


@dataclass(slots=True)
class Peer:
    address: str
    listed: bool  # in the settings: never forgotten
    standing: Standing = Standing.UNKNOWN
    fails: int = 0
    heard_at: float = float("-inf")
    next_ask: float = 0.0
    run: str = ""  # of its process: another one means that it knows nothing of before


class Membership:
    """`due` names the peer to ask now, if any; tell it with `heard` or `missed` how that ended."""

    def __init__(self, own: str, listed: list[str], now: float, seed: int) -> None:
        self.own = own
        self.rng = random.Random(seed)
        self.peers: dict[str, Peer] = {}
        self.asking: str | None = None
        self.asked = 0
        self.next_at = now + self.rng.uniform(0.0, SPREAD_MS)
        for address in listed:
            self._add(address, True)

    def _add(self, address: str, listed: bool) -> None:
        if address != self.own and address not in self.peers and len(self.peers) < PEERS_MAX:
            self.peers[address] = Peer(address, listed)

    @property
    def fresh(self) -> bool:
        """Still hearing its first peers."""
        return self.asked < min(FIRST, len(self.peers))

    def due(self, now: float) -> str | None:
        """Whom to ask now: never two at once, the least heard first, by chance among equals."""
        if self.asking is not None or now < self.next_at:
            return None
        able = [peer for peer in self.peers.values() if peer.next_ask <= now]
        if not able:
            return None
        peer = min(
            able,
            key=lambda peer: (peer.standing in (Standing.SUSPECTED, Standing.LEFT), peer.heard_at, self.rng.random()),
        )
        self.asking = peer.address
        return peer.address

    def _ended(self, now: float) -> None:
        self.asking = None
        gap = GAP_MS if self.fresh else ROUND_MS
        self.next_at = now + gap * self.rng.uniform(1.0, 1.5)

    def heard(self, now: float, address: str, run: str, others: list[str]) -> bool:
        """An answer came; True if that is another process than the last time: what it said before is void."""
        peer = self.peers[address]
        another = bool(peer.run) and peer.run != run
        peer.standing, peer.fails, peer.heard_at, peer.run = Standing.ALIVE, 0, now, run
        peer.next_ask = now
        self.asked += 1
        for other in others[:TOLD_MAX]:
            self._add(other, False)
        self._ended(now)
        return another

    def missed(self, now: float, address: str) -> None:
        """No answer, or none that can be read."""
        peer = self.peers[address]
        peer.fails += 1
        peer.standing = Standing.LEFT if peer.fails >= FAILS else Standing.SUSPECTED
        pause = min(PAUSE_MAX_MS, PAUSE_MS * 2 ** (peer.fails - 1))
        peer.next_ask = now + pause * self.rng.uniform(0.5, 1.0)
        if peer.standing is Standing.LEFT and not peer.listed:
            del self.peers[address]
        self._ended(now)

    def alive(self) -> list[str]:
        """Those that this relay has heard itself: what it says to others of others."""
        return [peer.address for peer in self.peers.values() if peer.standing is Standing.ALIVE]
