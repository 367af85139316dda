"""The message class of recovered messages whose class is no longer in the settings.

A restart may recover messages that were accepted under earlier settings. Their effect is no longer known, so they get
the class that promises least: what has certainly not run may be sent, and what may have run is not sent again.
"""

from __future__ import annotations

from .settings import Effect, MessageClass


def unknown_class(classes: tuple[MessageClass, ...]) -> MessageClass:
    """Return the class for messages of no known class.

    Its empty name can't be sent by a client. Its deadline is the longest and its weight the least of all classes, so it
    takes no capacity from the others.

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
