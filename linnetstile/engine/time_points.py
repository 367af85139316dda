"""Constants of the engine's clock, which counts milliseconds."""

from __future__ import annotations

MS_PER_SECOND = 1000.0
# Earlier than any time: the time of an event that has not happened, or the latest time of a forbidden action.
NEVER = float("-inf")
