"""Header fields of HTTP messages and MIME entities, and the syntax of their names and values (RFC 9110, 5)."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator

TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")  # RFC 9110, 5.6.2
FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")  # control characters other than tab

# Cache of valid field names with their lower-case form: most messages have the same few names, so each name is matched
# and converted once. The cache is bounded because peers choose the names.
KNOWN_FIELD_NAMES: dict[str, str] = {}
MAX_KNOWN_FIELD_NAMES = 1024
MAX_KNOWN_FIELD_NAME_LENGTH = 64


def is_field_name(name: str) -> bool:
    """Return whether `name` is a token; valid names are added to `KNOWN_FIELD_NAMES`.

    Code that runs for each field looks the name up in `KNOWN_FIELD_NAMES` first and calls this only if it is missing.
    """
    if not TOKEN.match(name):
        return False
    if len(KNOWN_FIELD_NAMES) < MAX_KNOWN_FIELD_NAMES and len(name) <= MAX_KNOWN_FIELD_NAME_LENGTH:
        KNOWN_FIELD_NAMES[name] = name.lower()
    return True


class Headers:
    """Header fields in their order; names are case-insensitive, values are kept as received.

    Attributes:
        fields: Name and value of each field.
    """

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self.fields = list(fields)
        self._values_by_name: dict[str, list[str]] = {}
        for name, value in self.fields:
            lower_name = KNOWN_FIELD_NAMES.get(name) or name.lower()
            if lower_name in self._values_by_name:
                self._values_by_name[lower_name].append(value)
            else:
                self._values_by_name[lower_name] = [value]

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a field; `default` if there is no such field."""
        values = self._values_by_name.get(name.lower())
        return values[0] if values else default

    def get_all(self, name: str) -> list[str]:
        """Return the values of all fields with this name, in their order."""
        return self._values_by_name.get(name.lower(), [])

    def tokens(self, name: str) -> list[str]:
        """Return the members of a comma-separated field, in lower case (RFC 9110, 5.6.1)."""
        return [part.strip().lower() for value in self.get_all(name) for part in value.split(",") if part.strip()]

    def __contains__(self, name: str) -> bool:
        return name.lower() in self._values_by_name

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self.fields)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Headers) and self.fields == other.fields

    def __repr__(self) -> str:
        return f"Headers({self.fields!r})"
