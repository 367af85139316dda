"""Names of the platform relay's log events; docs/on-call.md explains them to operators."""

from __future__ import annotations

from typing import Final, Protocol

# Life cycle of the process.
READY: Final = "ready"
SHUTDOWN_STARTED: Final = "shutdown_started"
STOPPED: Final = "stopped"
STATS: Final = "stats"
FAULT: Final = "fault"
ENGINE_MESSAGE: Final = "engine"
ENGINE_RESTARTED: Final = "engine_restarted"

# Discovery and its lists.
DISCOVERY_SILENT: Final = "discovery_silent"
DISCOVERY_MOVED: Final = "discovery_moved"
LIST_REJECTED: Final = "list_rejected"
LIST_TRUNCATED: Final = "list_truncated"
ENTRIES_SKIPPED: Final = "entries_skipped"

# Reload of the configuration.
CONFIG_REJECTED: Final = "config_rejected"
CONFIG_CHANGE_DEFERRED: Final = "config_change_deferred"


class EventLog(Protocol):
    """Writes log events."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write an event and its fields; the field names are part of the log format."""


def discard_event(event: str, **fields: object) -> None:
    """Discard the event: an `EventLog` for components that run without a log."""
