"""Special moments on the engine's clock, in ms, and its unit."""

from __future__ import annotations

MS_PER_SECOND = 1000.0
NEVER = float("-inf")  # before any moment: it has not happened, or is not allowed at all
