"""Which class, tenant and partner a message belongs to: the first rule that matches, or none."""

from __future__ import annotations

import fnmatch
import re
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rule:
    """Patterns as of a shell (`*`, `?`, `[...]`); names with regard to case, content types without."""

    class_index: int
    tenant: int = 0
    sender: str = "*"
    receiver: str = "*"
    subject: str = "*"
    content_type: str = "*"


class Router:
    def __init__(self, rules: tuple[Rule, ...]) -> None:
        def pattern(text: str, flags: int = 0) -> re.Pattern[str]:
            return re.compile(fnmatch.translate(text), flags)

        self._rules = [
            (pattern(r.sender), pattern(r.receiver), pattern(r.subject), pattern(r.content_type, re.IGNORECASE), r)
            for r in rules
        ]

    def match(self, sender: str, receiver: str, subject: str, content_type: str) -> Rule | None:
        """The first rule that all four fit; None is to become a refused answer, never silence."""
        for by_sender, by_receiver, by_subject, by_type, rule in self._rules:
            if (
                by_sender.match(sender)
                and by_receiver.match(receiver)
                and by_subject.match(subject)
                and by_type.match(content_type)
            ):
                return rule
        return None
