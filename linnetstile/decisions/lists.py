"""Which lists of discovery count, and how long a watch of it may be silent. No I/O and no clock: times (s) come in."""

from __future__ import annotations

QUIET_S = 2.6  # a watch is opened anew after so long a silence: an empty line comes every 2 s
STALL_S = 0.5  # or in the middle of something: what a change told counts from when it began
FIRST_S = 1.0  # or before anything of use came: discovery is down, or the connection leads nowhere


def watch_until(heard: float, useful: bool, begun: float | None) -> float:
    """Until when a watch is waited for: `heard` is when its last byte came, `useful` whether what its opening asks for
    has come, `begun` since when something of it is incomplete. Silence is bounded, and so is what comes in drops."""
    if begun is not None:
        return min(heard + STALL_S, begun + QUIET_S)
    return heard + (QUIET_S if useful else FIRST_S)


class Versions:
    """Guards against a list older than the one in force: endpoints that have left would be called again."""

    def __init__(self) -> None:
        self.newest: int | None = None
        self.doubted = False  # the latest whole list was older, and not taken

    def takes(self, version: int | None, whole: bool) -> bool:
        """Whether this list counts. A whole one that is older counts the second time in a row: discovery, asked again,
        says that it has begun anew, and what it had told before is no longer in force."""
        if version is None:  # nothing to judge it by
            return True
        older = self.newest is not None and version < self.newest
        if older and not (whole and self.doubted):
            self.doubted = self.doubted or whole
            return False
        self.doubted, self.newest = False, version
        return True
