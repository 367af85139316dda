"""How a relay on the platform divides what it may use, and how long it waits for peers. No I/O and no clock."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass

REQUEST_TIMEOUT_S = (
    1.5  # a request is complete, or its client gets an error: the platform owes bad clients one within 3 s
)
CLIENT_IDLE_TIMEOUT_S = (
    2.0  # a connection without an open request is kept so long: the platform lets it be closed after 2 s
)
DISCOVERY_GRACE_S = 1.0  # a start waits so long for discovery's list before it makes do with the known one
# But while a long list is coming in, so long: what it has not told yet would be refused as listed nowhere. The platform
# wants nine of ten restarted relays ready within 10 s, and a process takes some 2 s to get here and to go on from here.
LONG_LIST_GRACE_S = 6.0
# One post of notices may take so long. The platform answers at once, and an end that is told in the last moment of its
# message has 0.3 s to arrive: a connection that leads nowhere must leave time for another.
NOTICE_TIMEOUT_S = 0.2
WATCH_CONNECT_TIMEOUT_S = 1.0  # a watch's connection may take so long to be made: its peer is on this machine
WATCH_BACKOFF_MS = 50.0, 1000.0  # first and longest pause before a watch is opened anew
NOTICE_BACKOFF_MS = 20.0, 500.0  # the same before notices are posted again
MAX_ENDED_IDS = 20_000  # identifiers of messages that have ended: the same again is no new message
MAX_UNLISTED_DESTINATIONS = (
    20_000  # destinations without an endpoint that stay known: what comes for one is held until its deadline
)
JOURNAL_OVERHEAD_BYTES = 320  # bytes that a held message takes in the journal beside its body: fields and attempts
MAX_BODY_BYTES = 64 * 1024  # bytes, the platform's bound on a body
MAX_HEAD_BYTES = 16 * 1024  # bytes of a head
MAX_DEADLINE_MULTIPLE = 4.0  # a time left beyond so many deadlines of its class is an error of the client


class SubmissionIds:
    """Identifiers that were taken: all that are open, and the latest `most` that have ended."""

    def __init__(self, max_ended: int = MAX_ENDED_IDS) -> None:
        self.max_ended = max_ended
        self.open: set[str] = set()
        self.ended: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, ident: str) -> bool:
        return ident in self.open or ident in self.ended

    def add(self, ident: str) -> None:
        self.open.add(ident)

    def complete(self, ident: str) -> None:
        self.open.discard(ident)
        self.ended[ident] = None
        if len(self.ended) > self.max_ended:
            self.ended.popitem(last=False)


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Counts of descriptors, and bytes on disk."""

    max_client_connections: int  # connections of clients
    max_idle_connections: int  # connections to endpoints that are kept and carry nothing
    max_message_bytes: int  # bytes of messages that are held: more is refused
    compaction_bytes: int  # bytes of the journal from which on it is written anew


def resource_limits(sockets: int, disk: float, slots: int) -> ResourceLimits:
    """A quarter of the descriptors for clients and one for endpoints' idle connections. Clients have a third for
    requests, kept connections counted: where a relay keeps more, those that want to hand in find none left. The
    journal and its next version fit on the disk together."""
    clients = max(8, min(sockets // 4, sockets - 4 * slots - 32))
    return ResourceLimits(clients, max(slots, min(4 * slots, sockets // 4)), int(disk / 4), int(disk / 2))


def backoff_ms(fails: int, pauses: tuple[float, float], rng: random.Random) -> float:
    """Growing, jittered pause before discovery or the platform is asked again after `fails` failures in a row;
    `pauses` are the first and the longest one."""
    first, most = pauses
    return float(min(most, first * 2 ** min(fails - 1, 16)) * rng.uniform(0.5, 1.0))
