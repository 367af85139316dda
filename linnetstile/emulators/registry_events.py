"""The events that the registry emulator records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from .traffic_event import TrafficEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class ListSent(TrafficEvent):
    """The registry sent a list or changes to a relay.

    Attributes:
        relay: Name of the relay.
        version: Version of the list.
        is_full: Whether all entries were sent, or only the changed ones.
        statuses: Status of each entry that was sent, by endpoint id as text.
    """

    EVENT: ClassVar[str] = "told"

    relay: str
    version: int
    is_full: bool
    statuses: dict[str, str]
