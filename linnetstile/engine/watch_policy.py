"""Which endpoint lists of discovery are accepted, what a watch requests, and how long it may be silent.

No I/O and no clock: times (s) come in.

A change counts as notified 6 s after discovery had it, or after the watch that should have delivered it fell silent,
whether it arrived or not. The worst chain of silences, in s since the last byte of a watch that then delivers nothing:

| s    | what happens | bound |
|------|--------------|-------|
| 0    | its last byte | |
| 2.60 | it is given up, an empty line being overdue | `WATCH_SILENCE_S` |
| 2.65 | the next watch: it resumes from the version, as the one before was sound | `WATCH_BACKOFF_MS`, 50 ms |
| 3.65 | a) no head. A third asks for the full list at 3.75, a fourth at 4.95 | `FIRST_ELEMENT_S`; 100, 200 ms |
| 5.25 | b) a head, then nothing: given up when an empty line is overdue since the request | `WATCH_SILENCE_S` |
| 5.35 | the third asks for the full list: 0.65 s are left | 100 ms |

So each case makes up in time for one failure more than the one that began it, and for two failures of the kind that
delivers nothing at all. In b) this holds for a list that arrives within 0.65 s (some 30,000 endpoints): the last
entries of a longer one are late. Counting `WATCH_SILENCE_S` from the head in b) would end at 6.25 s where the head
itself is late, which is too late.
"""

from __future__ import annotations

WATCH_SILENCE_S = 2.6  # a watch is opened again after so long a silence: an empty line comes every 2 s
ELEMENT_STALL_S = 0.5  # or in the middle of an element: the age of a change counts from when the element began
FIRST_ELEMENT_S = 1.0  # or before anything useful came: discovery is down, or the connection leads nowhere
# At some 10 us an endpoint and 0.1 us a row, a batch of each stays below the few ms that a client notices, and a list
# of today's usual size is one batch.
ENTRIES_PER_EVENT = 256  # endpoints that the engine gets in one event
ROWS_PER_SWEEP = 4096  # rows of the directory that one step of a sweep looks at


def watch_deadline(
    last_byte_at: float, useful: bool, element_started_at: float | None, opened_at: float | None = None
) -> float:
    """Return how long to wait for a watch, as a time (s). It bounds silence, and also data that trickles.

    Args:
        last_byte_at: Time (s) of the last byte.
        useful: Whether what the watch asked for at its opening has come.
        element_started_at: Time (s) at which the element that is incomplete began, None between elements. The elements
            of a long list are progress: the time starts again with each of them.
        opened_at: Time (s) at which the watch was opened, where it resumes from a version and no more than its head has
            come: it leads somewhere, and may have nothing to deliver. Else None.
    """
    if element_started_at is not None:
        return min(last_byte_at + ELEMENT_STALL_S, element_started_at + WATCH_SILENCE_S)
    if not useful and opened_at is not None:
        return opened_at + WATCH_SILENCE_S
    return last_byte_at + (WATCH_SILENCE_S if useful else FIRST_ELEMENT_S)


class ResumePolicy:
    """Decides whether the next watch requests the full list, or resumes from the known version.

    It requests the full list at first, after discovery has moved, and after a watch that delivered nothing useful, was
    unsound, had an older list or ended in the middle of an element: only a full list makes up for what such a watch may
    have left out. It also does while the full list is small: that costs less than to find out whether a watch without
    changes is connected to discovery at all.

    Attributes:
        is_current: Whether the known endpoints are what discovery had at the known version. Entered by
            `full_list_read` alone.
        is_small: Whether the last full list came in one piece.
    """

    def __init__(self) -> None:
        self.is_current = False
        self.is_small = True

    def full_list_read(self, small: bool) -> None:
        """Record that a full list has been read to its end.

        Args:
            small: Whether it came in one piece.
        """
        self.is_current = True
        self.is_small = small

    def discovery_moved(self) -> None:
        """Record that discovery has another address, whose versions may not continue the known ones."""
        self.is_current = False

    def watch_ended(self, useful: bool, sound: bool, in_element: bool) -> None:
        """Record that a watch has ended, or could not be opened.

        Args:
            useful: Whether it delivered something, or was seen to lead somewhere.
            sound: Whether nothing of it was rejected.
            in_element: Whether it ended in the middle of an element.
        """
        self.is_current = self.is_current and useful and sound and not in_element

    def resume_version(self, newest: int | None) -> int | None:
        """Return the version from which the next watch resumes; None for the full list."""
        return newest if self.is_current and not self.is_small else None


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
        """Judge a list by its head.

        An older full list is accepted the second time in a row: discovery, asked again, confirms that it has started
        over, and its earlier lists are no longer valid.

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

        A list that was cut must not be recorded: it says nothing of what stood behind the cut.
        """
        if version is None:
            return  # there is nothing to compare later lists with
        self.older_list_rejected = False
        self.newest_version = version
