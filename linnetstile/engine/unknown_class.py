"""The terms of messages whose class the settings name no more. No I/O and no clock.

A restart may find messages that were taken on under settings of before. Their effect is not known any longer, so they
go under the reading that promises least: what has surely not run may go out, and nothing that may have run goes out
again."""

from __future__ import annotations

from .settings import Effect, MessageClass


def unknown_class(classes: tuple[MessageClass, ...]) -> MessageClass:
    """A class that no client can name. It takes no room from the others: its worth is the least of theirs."""
    return MessageClass(
        "",
        Effect.NON_IDEMPOTENT,
        max(message_class.latency_objective_ms for message_class in classes),
        max(message_class.deadline_ms for message_class in classes),
        min(message_class.priority_weight for message_class in classes),
    )
