"""Which routing rule a message gets."""

from __future__ import annotations

from linnetstile.engine.routing import Router, Rule


def test_first_matching_rule_counts() -> None:
    router = Router(
        (
            Rule(1, sender="dir-*", subject="plata*"),
            Rule(2, receiver="firma-1"),
            Rule(3, content_type="application/edi*"),
        )
    )
    for message, class_index in [
        (("dir-x", "b", "plata 7", "text/plain"), 1),
        (("dir-x", "firma-1", "x", "a/b"), 2),
        (("z", "firma-1", "plata", "a/b"), 2),
        (("z", "b", "x", "Application/EDI-X12"), 3),
        (("z", "Firma-1", "x", "a/b"), 0),
        (("", "", "", ""), 0),
    ]:
        rule = router.match(*message)
        assert (rule.class_index if rule else 0) == class_index
