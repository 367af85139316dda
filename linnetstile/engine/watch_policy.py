"""Which lists of discovery count, what a watch of it asks for, and how long it may be silent. No I/O and no clock:
times (s) come in.

A change counts as told 6 s after discovery had it, or after the watch fell silent that should have told it, arrived or
not. The worst chain of silences, in s since the last byte of a watch that then told nothing more:

| s    | what happens | bound |
|------|--------------|-------|
| 0    | its last byte | |
| 2.60 | it is given up, an empty line being overdue | `QUIET_S` |
| 2.65 | the next one is asked: it goes on from the version, as the one before was sound | `WATCH_MS`, 50 ms |
| 3.65 | a) no head: it leads nowhere. A third one is asked for all at 3.75, a fourth at 4.95 | `FIRST_S`; 100, 200 ms |
| 5.25 | b) a head, and then nothing: given up when an empty line is overdue since it was asked | `QUIET_S` |
| 5.35 | the third asks for all: 0.65 s are left | 100 ms |

So one failure more than the one that began it is made up for in time in each case, and two of the kind that says
nothing at all; in b) for a list that comes within 0.65 s (some 30,000 endpoints): of a longer one the last entries are
late there. Counting `QUIET_S` from the head in b) would end at 6.25 s where the head itself is late: too late."""

from __future__ import annotations

WATCH_SILENCE_S = 2.6  # a watch is opened anew after so long a silence: an empty line comes every 2 s
ELEMENT_STALL_S = 0.5  # or in the middle of something: what a change told counts from when it began
FIRST_ELEMENT_S = 1.0  # or before anything of use came: discovery is down, or the connection leads nowhere
# Endpoints that the module hears of in one event, and rows of the directory that one step of a sweep looks at: at some
# 10 us and 0.1 us each, both stay below the few ms that a client notices, and a list of today's usual size is one step.
ENTRIES_PER_EVENT, ROWS_PER_SWEEP = 256, 4096


def watch_deadline(heard: float, useful: bool, begun: float | None, asked: float | None = None) -> float:
    """Until when a watch is waited for: `heard` is when its last byte came, `useful` whether what its opening asks for
    has come, `begun` since when something of it is incomplete: elements of a long list that come are progress, and it
    begins anew with each. `asked` is when a watch was asked for that goes on from a version and of which no more than
    its head has come: that shows that it leads somewhere, and it may have nothing to tell. Silence is bounded, and so
    is what comes in drops."""
    if begun is not None:
        return min(heard + ELEMENT_STALL_S, begun + WATCH_SILENCE_S)
    if not useful and asked is not None:
        return asked + WATCH_SILENCE_S
    return heard + (WATCH_SILENCE_S if useful else FIRST_ELEMENT_S)


class ResumePolicy:
    """Whether the next watch asks for the whole list, or for what has changed since the version that is known. The
    whole one at first, after a move of discovery, and after a watch that brought nothing of use, was unsound, told an
    older list or was cut in the middle: only a whole list makes up for whatever such a one left out. And as long as the
    whole list is small: asking for all then costs less than the doubt whether a watch with nothing to tell leads
    anywhere."""

    def __init__(self) -> None:
        self.is_current = False  # what is known is what discovery had told at its version
        self.is_small = True

    def full_list_read(self, small: bool) -> None:
        """A whole list has been read to its end; `small`: it came in one piece."""
        self.is_current, self.is_small = True, small

    def discovery_moved(self) -> None:
        self.is_current = False

    def watch_ended(self, useful: bool, sound: bool, midway: bool) -> None:
        """A watch is over, or could not be opened: `useful` if it told something, or was seen to lead somewhere;
        `sound` if nothing of it was refused; `midway` if it ended in the middle of something."""
        self.is_current = self.is_current and useful and sound and not midway

    def resume_version(self, newest: int | None) -> int | None:
        """From which version on; None = all."""
        return newest if self.is_current and not self.is_small else None


class ListVersionGuard:
    """Guards against a list older than the one in force: endpoints that have left would be called again."""

    def __init__(self) -> None:
        self.newest: int | None = None  # of the lists that were read to their end
        self.older_list_rejected = False  # the latest whole list was older, and not taken

    def accepts(self, version: int | None, whole: bool) -> bool:
        """Whether a list counts, judged by its head. A whole one that is older counts the second time in a row:
        discovery, asked again, says that it has begun anew, and what it had told before is no longer in force."""
        older = version is not None and self.newest is not None and version < self.newest
        if older and not (whole and self.older_list_rejected):
            self.older_list_rejected = self.older_list_rejected or whole
            return False
        return True

    def list_read(self, version: int | None) -> None:
        """A list that counts has been read to its end. One that was cut tells nothing of what stood behind the cut."""
        if version is not None:  # else nothing to judge it by
            self.older_list_rejected, self.newest = False, version
