"""Validation of the engine's settings."""

from __future__ import annotations

import pytest

from ..conftest import make_settings


@pytest.mark.parametrize(
    ("attribute", "field", "value"),
    [
        ("classes", "classes", ()),
        ("max_in_flight", "slots", 0),
        ("max_pending_messages", "hold", 0),
        ("tick_ms", "tick_ms", -1.0),
    ],
)
def test_error_of_an_invalid_setting_names_the_field_as_users_write_it(
    attribute: str, field: str, value: object
) -> None:
    with pytest.raises(ValueError, match=rf"^{field}: "):
        make_settings(**{attribute: value})
