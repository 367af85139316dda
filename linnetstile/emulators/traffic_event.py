"""The base class of traffic record rows, and the mapping between event fields and their JSON names in the file."""

from __future__ import annotations

from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, ClassVar, NamedTuple, Self

from .clock import now_ms

# Attributes whose JSON name differs; all others are written under their own name.
JSON_NAMES = {
    "at_ms": "t",
    "message_id": "mid",
    "connection": "conn",
    "reads_slowly": "crawls",
    "is_repeat_of_key": "repeat",
    "retry_after_ms": "told_ms",
    "is_on": "on",
    "submission": "hand",
    "message_class": "cls",
    "is_repeat": "again",
    "answer_by": "wait",
    "wire_result": "sight",
    "is_full": "whole",
    "statuses": "states",
}


class _Column(NamedTuple):
    attribute: str
    json_name: str
    is_required: bool


_columns_by_event: dict[str, tuple[_Column, ...]] = {}  # cached, by the `EVENT` of the class


def _is_required(event_field: Field[Any]) -> bool:
    """Whether a row must have this field; rows must have a time, since its default is only for writers."""
    has_default = event_field.default is not MISSING or event_field.default_factory is not MISSING
    return event_field.name == "at_ms" or not has_default


def _columns(event: type[TrafficEvent]) -> tuple[_Column, ...]:
    if event.EVENT not in _columns_by_event:
        _columns_by_event[event.EVENT] = tuple(
            _Column(
                attribute=event_field.name,
                json_name=JSON_NAMES.get(event_field.name, event_field.name),
                is_required=_is_required(event_field),
            )
            for event_field in fields(event)
        )
    return _columns_by_event[event.EVENT]


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficEvent:
    """One row of the traffic record.

    Attributes:
        EVENT: The value of `ev` in the file.
        at_ms: When it was observed, by the clock of the run.
    """

    EVENT: ClassVar[str] = ""

    at_ms: float = field(default_factory=now_ms)

    def to_row(self) -> dict[str, Any]:
        """Return the row without `ev`, by its JSON names; fields that are None are left out."""
        row = {}
        for column in _columns(type(self)):
            value = getattr(self, column.attribute)
            if value is not None:
                row[column.json_name] = value
        row["t"] = round(self.at_ms, 2)
        return row

    @classmethod
    def from_row(cls, row: dict[str, Any]) -> Self:
        """Read a row of this kind; unknown fields are ignored.

        Raises:
            KeyError: A field is missing.
        """
        return cls(
            **{
                column.attribute: row[column.json_name]
                for column in _columns(cls)
                if column.is_required or column.json_name in row
            }
        )
