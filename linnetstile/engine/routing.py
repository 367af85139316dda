"""Routing rules: the first rule that matches a message gives its class and its tenant."""

from __future__ import annotations

import fnmatch
import re
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rule:
    """Class and tenant of the messages that match four shell patterns (`*`, `?`, `[...]`).

    Attributes:
        class_index: Index of the message class in the settings.
        tenant: Index of the tenant in the settings.
        sender: Pattern of the AS2-From name, case-sensitive.
        receiver: Pattern of the AS2-To name, case-sensitive.
        subject: Pattern of the subject, case-sensitive.
        content_type: Pattern of the content type, case-insensitive.
    """

    class_index: int
    tenant: int = 0
    sender: str = "*"
    receiver: str = "*"
    subject: str = "*"
    content_type: str = "*"


@dataclass(frozen=True, slots=True)
class _CompiledRule:
    """A rule and its patterns as regular expressions."""

    rule: Rule
    sender: re.Pattern[str]
    receiver: re.Pattern[str]
    subject: re.Pattern[str]
    content_type: re.Pattern[str]

    @classmethod
    def compile(cls, rule: Rule) -> _CompiledRule:
        return cls(
            rule,
            sender=re.compile(fnmatch.translate(rule.sender)),
            receiver=re.compile(fnmatch.translate(rule.receiver)),
            subject=re.compile(fnmatch.translate(rule.subject)),
            content_type=re.compile(fnmatch.translate(rule.content_type), re.IGNORECASE),
        )

    def matches(self, sender: str, receiver: str, subject: str, content_type: str) -> bool:
        return bool(
            self.sender.match(sender)
            and self.receiver.match(receiver)
            and self.subject.match(subject)
            and self.content_type.match(content_type)
        )


class Router:
    """Finds the rule of a message. The rules are tried in the order in which they are given."""

    def __init__(self, rules: tuple[Rule, ...]) -> None:
        self._rules = [_CompiledRule.compile(rule) for rule in rules]

    def match(self, sender: str, receiver: str, subject: str, content_type: str) -> Rule | None:
        """Return the first rule whose four patterns match.

        The caller has to reject a message without a rule (None), so that the client is informed.
        """
        for compiled in self._rules:
            if compiled.matches(sender, receiver, subject, content_type):
                return compiled.rule
        return None
