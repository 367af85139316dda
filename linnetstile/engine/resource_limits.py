"""How a relay on the platform divides its resources, and how long it waits for peers. No I/O and no clock."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple


class BackoffRange(NamedTuple):
    """Bounds of an exponential backoff."""

    first_ms: float
    max_ms: float


# Timeouts of clients' connections, in s.
REQUEST_TIMEOUT_S = 1.5  # a request that is incomplete by then gets an error, which the platform requires within 3 s
CLIENT_IDLE_TIMEOUT_S = 2.0  # a connection without a request is kept this long, as the platform allows closing it then

# Waits for discovery and for the platform, in s.
DISCOVERY_GRACE_S = 1.0  # wait of a starting relay for discovery's list before it uses the cached one
# Wait of a starting relay while a long list is being read: endpoints that were not read yet would be rejected as
# unlisted. The platform requires nine of ten restarted relays to be ready within 10 s, and a process takes some 2 s
# before and after this wait.
LONG_LIST_GRACE_S = 6.0
# Timeout of one post of notices. The platform answers at once, and a notice sent at the very deadline of its message
# has 0.3 s to arrive: a connection that is not answered has to leave time for another one.
NOTICE_TIMEOUT_S = 0.2
WATCH_CONNECT_TIMEOUT_S = 1.0  # for opening the connection of a watch, whose peer is on this machine
WATCH_BACKOFF_MS = BackoffRange(first_ms=50.0, max_ms=1000.0)  # before a watch is opened again
NOTICE_BACKOFF_MS = BackoffRange(first_ms=20.0, max_ms=500.0)  # before notices are posted again

# Bounds of memory, disk and input.
MAX_ENDED_IDS = 20_000  # ended messages whose identifiers are kept, so that a repeat does not count as new
# Destinations without an endpoint that are kept: messages for one of them stay pending until their deadline.
MAX_UNLISTED_DESTINATIONS = 20_000
JOURNAL_OVERHEAD_BYTES = 320  # size in the journal of a pending message without its body: fields and attempts
MAX_BODY_BYTES = 64 * 1024  # the platform's bound on a body
MAX_HEAD_BYTES = 16 * 1024  # bound on the head of a request
MAX_DEADLINE_MULTIPLE = 4.0  # a remaining time above this multiple of its class's deadline is a client error

# Division of the descriptors and of the disk.
MIN_CLIENT_CONNECTIONS = 8
RESERVED_DESCRIPTORS = 32  # for the journal, the log, discovery and notices
IDLE_CONNECTIONS_PER_SLOT = 4  # connections to endpoints, idle ones included, for each in-flight slot
CLIENT_DESCRIPTOR_DIVISOR = 4
IDLE_DESCRIPTOR_DIVISOR = 4
MESSAGE_DISK_DIVISOR = 4
COMPACTION_DISK_DIVISOR = 2
LIST_DISK_DIVISOR = 16  # the list of endpoints; its new version is beside it for a moment
ENDED_ID_FILE_DIVISOR = 8  # of the size at which the journal is compacted: identifiers of ended messages
# Division of the memory that is left beside the process itself, the files of the journal and a copy of it that is being
# written. The rest, 3/16, is for lists, for routes in use and for what the allocator can't return.
CLIENT_MEMORY_DIVISOR = 4  # connections of clients, without what they have sent
INPUT_MEMORY_DIVISOR = 8  # what clients have sent of requests that are incomplete or wait
ENDPOINT_MEMORY_DIVISOR = 8  # connections to endpoints
MESSAGE_MEMORY_DIVISOR = 4  # accepted messages, and notices that are not confirmed
ENDED_ID_MEMORY_DIVISOR = 16  # identifiers of ended messages

# Memory of one of each, in bytes, rounded up (docs/CAPACITY.md).
CLIENT_CONNECTION_BYTES = 4096
ENDPOINT_CONNECTION_BYTES = 5120
MESSAGE_BYTES = 2816  # without its body
BODY_MEMORY_DIVISOR = 4  # part of the memory for messages that is left to bodies, as a divisor
NOTICE_BYTES = 1024
ENDED_ID_BYTES = 320  # with the longest identifier that is accepted

# Least parts, which a relay needs to serve at all; with less memory than they take, it exceeds its limit.
MIN_INPUT_BYTES = 256 * 1024
MIN_MESSAGE_MEMORY_BYTES = 256 * 1024
MIN_ENDED_IDS = 256
MAX_UNSENT_BYTES = 4096  # of responses that a client does not read; more requests of it are not answered
MIN_RESPONSE_RATE = 16 * 1024  # bytes a second at which a client reads responses
RESPONSE_STALL_S = 0.5  # stall that this rate allows, as clients read at full speed
MAX_BACKOFF_DOUBLINGS = 16  # bounds the exponent; every backoff reaches its maximum earlier


class SubmissionIds:
    """Identifiers of submissions that were accepted: all open ones and the latest that have ended.

    Attributes:
        max_ended: Maximum number of ended ones that are kept.
        open: Identifiers of messages that have not ended.
        ended: Identifiers of ended messages, the one that ended first at the front.
    """

    def __init__(self, max_ended: int = MAX_ENDED_IDS) -> None:
        self.max_ended = max_ended
        self.open: set[str] = set()
        self.ended: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, message_id: str) -> bool:
        return message_id in self.open or message_id in self.ended

    def add(self, message_id: str) -> None:
        """Record an accepted message."""
        self.open.add(message_id)

    def complete(self, message_id: str) -> None:
        """Record that a message has ended; above the limit, forget the one that ended first."""
        self.open.discard(message_id)
        self.ended[message_id] = None
        if len(self.ended) > self.max_ended:
            self.ended.popitem(last=False)


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What each part of a relay may use.

    Attributes:
        max_client_connections: Open connections of clients.
        max_idle_connections: Idle connections to endpoints that are kept.
        max_message_bytes: Bytes of pending messages in the journal; more are rejected.
        compaction_bytes: Size of the journal at which it is compacted.
        max_list_bytes: Size of the list of endpoints that is kept on disk.
        max_input_bytes: Bytes that clients have sent of incomplete and waiting requests.
        max_message_memory_bytes: Memory of pending messages and notices; more messages are rejected.
        max_messages: Pending messages above which the engine sheds load.
        max_ended_ids: Identifiers of ended messages that are kept.
    """

    max_client_connections: int
    max_idle_connections: int
    max_message_bytes: int
    compaction_bytes: int
    max_list_bytes: int
    max_input_bytes: int
    max_message_memory_bytes: int
    max_messages: int
    max_ended_ids: int


def resource_limits(
    sockets: int, disk_bytes: float, slots: int, memory_bytes: float, resident_bytes: float
) -> ResourceLimits:
    """Divide the descriptors, the disk and the memory.

    Apart from the minimums, clients' connections get at most a quarter of the descriptors, and so do idle connections
    to endpoints. The platform lets clients use a third of the descriptors for requests, idle keep-alive connections
    included: if a relay kept more of these open, clients could not open connections to submit messages. The journal and
    its compacted version fit on the disk together. Files count as memory.

    Args:
        sockets: Descriptors that the relay may open.
        disk_bytes: Bytes that the relay may use on disk.
        slots: In-flight slots.
        memory_bytes: Memory that the relay may use.
        resident_bytes: Memory that the process takes before it serves anybody.
    """
    journal_copy_bytes = disk_bytes / COMPACTION_DISK_DIVISOR
    memory_left = max(0, int(memory_bytes - resident_bytes - disk_bytes - journal_copy_bytes))
    descriptors_left = sockets - IDLE_CONNECTIONS_PER_SLOT * slots - RESERVED_DESCRIPTORS
    client_connections = min(
        sockets // CLIENT_DESCRIPTOR_DIVISOR,
        descriptors_left,
        memory_left // CLIENT_MEMORY_DIVISOR // CLIENT_CONNECTION_BYTES,
    )
    idle_connections = min(
        IDLE_CONNECTIONS_PER_SLOT * slots,
        sockets // IDLE_DESCRIPTOR_DIVISOR,
        memory_left // ENDPOINT_MEMORY_DIVISOR // ENDPOINT_CONNECTION_BYTES - slots,
    )
    message_bytes = max(MIN_MESSAGE_MEMORY_BYTES, memory_left // MESSAGE_MEMORY_DIVISOR)
    ended_ids = memory_left // ENDED_ID_MEMORY_DIVISOR // ENDED_ID_BYTES
    return ResourceLimits(
        max_client_connections=max(MIN_CLIENT_CONNECTIONS, client_connections),
        max_idle_connections=max(slots, idle_connections),
        max_message_bytes=int(disk_bytes / MESSAGE_DISK_DIVISOR),
        compaction_bytes=int(disk_bytes / COMPACTION_DISK_DIVISOR),
        max_list_bytes=int(disk_bytes / LIST_DISK_DIVISOR),
        max_input_bytes=max(MIN_INPUT_BYTES, memory_left // INPUT_MEMORY_DIVISOR),
        max_message_memory_bytes=message_bytes,
        max_messages=(message_bytes - message_bytes // BODY_MEMORY_DIVISOR) // MESSAGE_BYTES,
        max_ended_ids=min(MAX_ENDED_IDS, max(MIN_ENDED_IDS, ended_ids)),
    )


def backoff_ms(failures: int, backoff: BackoffRange, rng: random.Random) -> float:
    """Return the backoff (ms) before discovery or the platform is called again: exponential, with jitter.

    Args:
        failures: Failures in a row, at least 1.
        backoff: The first and the longest backoff.
        rng: Source of the jitter; one number is drawn.
    """
    doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
    longest = min(backoff.max_ms, backoff.first_ms * 2**doublings)
    return float(longest * rng.uniform(0.5, 1.0))
