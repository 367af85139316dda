"""Rules of a watch: which lists of discovery are accepted, what it requests, and how long it may be silent.

No I/O and no clock: times (s) come in.

A change counts as notified 6 s after discovery had it, or 6 s after the watch that should have delivered it fell
silent, whether the change has arrived or not. The worst sequence of failures, in s since the last byte of a watch that
is silent from then on:

| s    | what happens | bound |
|------|--------------|-------|
| 0    | last byte of the first watch | |
| 2.60 | the first watch is closed, as an empty line is overdue | `WATCH_SILENCE_S` |
| 2.65 | a second watch resumes from the version, as the first one was valid | `WATCH_BACKOFF_MS`, 50 ms |
| 3.65 | a) no head comes: a third requests the full list at 3.75, a fourth at 4.95 | `FIRST_ELEMENT_S`; 100, 200 ms |
| 5.25 | b) only a head comes: closed when an empty line is overdue since the request | `WATCH_SILENCE_S` |
| 5.35 | b) a third watch requests the full list, with 0.65 s left | 100 ms |

So the relay recovers in time if one more watch fails after the first one, and also if two more fail that deliver
nothing at all. In b) this holds for a list that arrives within 0.65 s (some 30,000 endpoints): the last entries of a
longer one are late. If `WATCH_SILENCE_S` counted from the head in b), the second watch could last until 6.25 s where
its head is late, which is too late.

A watch without any byte after `FIRST_ELEMENT_S` is lost, or discovery is slow or down. The next one is opened while the
request of the earlier one stays open, and the first one that is answered counts. So a lost watch costs no more time
than in the table, and a slow discovery is heard as well: the oldest request stays open until two more were silent for
`FIRST_ELEMENT_S` each, which is 3.1 to 3.3 s at first and 4.5 to 6 s with the longest backoff.
"""

from __future__ import annotations

WATCH_SILENCE_S = 2.6  # silence after which a watch is opened again: an empty line comes every 2 s
ELEMENT_STALL_S = 0.5  # silence allowed within an element: its change ages from the start of the element
FIRST_ELEMENT_S = 1.0  # silence before useful data, after which another watch is opened
MAX_UNANSWERED_WATCHES = 3  # watches that are open at once without any byte of an answer
# Batch sizes: at some 10 us an endpoint and 0.1 us a row, one batch of either takes less than the few ms that a client
# notices, and a list of the usual size is a single batch.
ENTRIES_PER_EVENT = 256  # endpoints that are passed to the engine in one event
ROWS_PER_REMOVAL_STEP = 4096  # rows of the directory that one removal step checks


def watch_deadline(
    last_byte_at: float, has_delivered: bool, element_started_at: float | None, opened_at: float | None = None
) -> float:
    """Return the time (s) at which a watch times out. It bounds silence, and also data that trickles.

    Args:
        last_byte_at: Time (s) of the last byte.
        has_delivered: Whether the watch has delivered what it requested when it was opened.
        element_started_at: Time (s) at which the incomplete element began; None between elements. Each element of a
            long list is progress, and the time starts again with it.
        opened_at: Time (s) at which the watch was opened, if it resumes from a version and only its head has come: it
            is connected to discovery, which may have nothing to deliver. None otherwise.
    """
    if element_started_at is not None:
        return min(last_byte_at + ELEMENT_STALL_S, element_started_at + WATCH_SILENCE_S)
    if not has_delivered and opened_at is not None:
        return opened_at + WATCH_SILENCE_S
    return last_byte_at + (WATCH_SILENCE_S if has_delivered else FIRST_ELEMENT_S)


class ResumePolicy:
    """Decides whether the next watch requests the full list, or resumes from the known version.

    It requests the full list at first, after discovery has moved, and after a watch that delivered nothing useful, was
    invalid, had an older list or ended in the middle of an element: only a full list makes up for what such a watch may
    have left out. It also does while the full list is small: that costs less than to find out whether a watch without
    changes is connected to discovery at all.

    Attributes:
        is_current: Whether the known endpoints are what discovery had at the known version. Set by
            `full_list_read` alone.
        is_single_part: Whether the last full list came in one piece.
    """

    def __init__(self) -> None:
        self.is_current = False
        self.is_single_part = True

    def full_list_read(self, is_single_part: bool) -> None:
        """Record that a full list has been read to its end.

        Args:
            is_single_part: Whether it came in one piece.
        """
        self.is_current = True
        self.is_single_part = is_single_part

    def discovery_address_changed(self) -> None:
        """Record that discovery has another address, whose versions may not continue the known ones."""
        self.is_current = False

    def watch_ended(self, has_delivered: bool, is_valid: bool, in_element: bool) -> None:
        """Record that a watch has ended, or could not be opened.

        Args:
            has_delivered: Whether it delivered something, or was seen to be connected to discovery.
            is_valid: Whether nothing of it was rejected.
            in_element: Whether it ended in the middle of an element.
        """
        self.is_current = self.is_current and has_delivered and is_valid and not in_element

    def resume_version(self, newest: int | None) -> int | None:
        """Return the version from which the next watch resumes; None for the full list."""
        return newest if self.is_current and not self.is_single_part else None


class ListVersionGuard:
    """Guards against a list older than the current one, which would bring back endpoints that have left.

    Attributes:
        newest_version: Version of the last list that was read to its end; None without one.
        older_list_rejected: Whether the last full list was older and rejected.
    """

    def __init__(self) -> None:
        self.newest_version: int | None = None
        self.older_list_rejected = False

    def accepts(self, version: int | None, is_full: bool) -> bool:
        """Return whether a list is accepted, judged by its head.

        An older full list is accepted the second time in a row: it confirms that the versions of discovery have
        started over, and that its earlier lists are no longer valid.

        Args:
            version: Version of the list; None without one.
            is_full: Whether it is a full list, not changes.
        """
        is_older = version is not None and self.newest_version is not None and version < self.newest_version
        if not is_older or (is_full and self.older_list_rejected):
            return True
        self.older_list_rejected = self.older_list_rejected or is_full
        return False

    def list_read(self, version: int | None) -> None:
        """Record that an accepted list has been read to its end.

        A truncated list must not be recorded, as its missing entries are unknown.
        """
        if version is None:
            return  # without a version, later lists can't be compared with it
        self.older_list_rejected = False
        self.newest_version = version
