"""Special moments on the engine's clock, in ms."""

from __future__ import annotations

NEVER = float("-inf")  # before any moment: it has not happened, or is not allowed at all
