"""Constants of the engine's clock, which counts milliseconds."""

from __future__ import annotations

MS_PER_SECOND = 1000.0
NEVER = float("-inf")  # earlier than any time: an event that has not happened, or an action that is not allowed
