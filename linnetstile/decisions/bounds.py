"""How a relay on the platform divides what it may use, and how long it waits for peers. No I/O and no clock."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass

HEAD_S = 1.5  # a request is complete, or its client gets an error: the platform owes bad clients one within 3 s
IDLE_S = 2.0  # a connection without an open request is kept so long: the platform lets it be closed after 2 s
SETTLE_S = 1.0  # a start waits so long for discovery's list before it makes do with the known one
# But while a long list is coming in, so long: what it has not told yet would be refused as listed nowhere. The platform
# wants nine of ten restarted relays ready within 10 s, and a process takes some 2 s to get here and to go on from here.
LONG_LIST_S = 6.0
# One post of notices may take so long. The platform answers at once, and an end that is told in the last moment of its
# message has 0.3 s to arrive: a connection that leads nowhere must leave time for another.
NOTICE_S = 0.2
CONNECT_S = 1.0  # a watch's connection may take so long to be made: its peer is on this machine
WATCH_MS = 50.0, 1000.0  # first and longest pause before a watch is opened anew
POST_MS = 20.0, 500.0  # the same before notices are posted again
REMEMBERED = 20_000  # identifiers of messages that have ended: the same again is no new message
LEFT = 20_000  # destinations without an endpoint that stay known: what comes for one is held until its deadline
RECORDS = 320  # bytes that a held message takes in the journal beside its body: fields and attempts
BODY = 64 * 1024  # bytes, the platform's bound on a body
HEAD = 16 * 1024  # bytes of a head
LONGEST_LEFT = 4.0  # a time left beyond so many deadlines of its class is an error of the client


class Taken:
    """Identifiers that were taken: all that are open, and the latest `most` that have ended."""

    def __init__(self, most: int = REMEMBERED) -> None:
        self.most = most
        self.open: set[str] = set()
        self.ended: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, ident: str) -> bool:
        return ident in self.open or ident in self.ended

    def take(self, ident: str) -> None:
        self.open.add(ident)

    def end(self, ident: str) -> None:
        self.open.discard(ident)
        self.ended[ident] = None
        if len(self.ended) > self.most:
            self.ended.popitem(last=False)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Counts of descriptors, and bytes on disk."""

    clients: int  # connections of clients
    idle: int  # connections to endpoints that are kept and carry nothing
    live: int  # bytes of messages that are held: more is refused
    log: int  # bytes of the journal from which on it is written anew


def bounds(sockets: int, disk: float, slots: int) -> Bounds:
    """A quarter of the descriptors for clients and one for endpoints' idle connections. Clients have a third for
    requests, kept connections counted: where a relay keeps more, those that want to hand in find none left. The
    journal and its next version fit on the disk together."""
    clients = max(8, min(sockets // 4, sockets - 4 * slots - 32))
    return Bounds(clients, max(slots, min(4 * slots, sockets // 4)), int(disk / 4), int(disk / 2))


def pause_ms(fails: int, pauses: tuple[float, float], rng: random.Random) -> float:
    """Growing, jittered pause before discovery or the platform is asked again after `fails` failures in a row;
    `pauses` are the first and the longest one."""
    first, most = pauses
    return float(min(most, first * 2 ** min(fails - 1, 16)) * rng.uniform(0.5, 1.0))
