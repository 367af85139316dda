"""The message class of recovered messages whose class is no longer in the settings.

A restart may recover messages that were accepted under earlier settings. Their effect is no longer known, so they
get the most cautious class: a message is sent only if it has certainly not run before.
"""

from __future__ import annotations

from .settings import Effect, MessageClass


def unknown_class(classes: tuple[MessageClass, ...]) -> MessageClass:
    """Return the class for messages of no known class.

    A client can't name this class, as its name is empty. It has the longest deadline and the least weight of all
    classes, so that its messages take no capacity from the others.

    Args:
        classes: The classes of the settings, at least one.
    """
    return MessageClass(
        name="",
        effect=Effect.NON_IDEMPOTENT,
        latency_objective_ms=max(message_class.latency_objective_ms for message_class in classes),
        deadline_ms=max(message_class.deadline_ms for message_class in classes),
        priority_weight=min(message_class.priority_weight for message_class in classes),
    )
