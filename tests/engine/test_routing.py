"""Selection of the routing rule of a message."""

from __future__ import annotations

import pytest

from linnetstile.engine.routing import Router, Rule

ROUTER = Router(
    (
        Rule(1, sender="dir-*", subject="plata*"),
        Rule(2, receiver="firma-1"),
        Rule(3, content_type="application/edi*"),
    )
)
NO_RULE = 0


@pytest.mark.parametrize(
    ("message", "class_index"),
    [
        (("dir-x", "b", "plata 7", "text/plain"), 1),
        (("dir-x", "firma-1", "x", "a/b"), 2),
        (("z", "firma-1", "plata", "a/b"), 2),
        (("z", "b", "x", "Application/EDI-X12"), 3),
        (("z", "Firma-1", "x", "a/b"), NO_RULE),
        (("", "", "", ""), NO_RULE),
    ],
)
def test_first_matching_rule_gives_the_class(message: tuple[str, str, str, str], class_index: int) -> None:
    rule = ROUTER.match(*message)
    assert (rule.class_index if rule else NO_RULE) == class_index
