"""The terms of messages whose class the settings name no more. No I/O and no clock.

A restart may find messages that were taken on under settings of before. Their effect is not known any longer, so they
go under the reading that promises least: what has surely not run may go out, and nothing that may have run goes out
again."""

from __future__ import annotations

from .interface import Effect, MessageClass


def leftover(classes: tuple[MessageClass, ...]) -> MessageClass:
    """A class that no client can name. It takes no room from the others: its worth is the least of theirs."""
    return MessageClass(
        "",
        Effect.UNSAFE,
        max(cls.aim_ms for cls in classes),
        max(cls.deadline_ms for cls in classes),
        min(cls.worth for cls in classes),
    )
