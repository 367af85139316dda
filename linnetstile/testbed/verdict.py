"""What the rule checker finds about one rule."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_FINDINGS = 20  # texts that are kept for each rule


@dataclass(slots=True)
class Verdict:
    """One rule and how it was kept.

    Attributes:
        rule: Its short name.
        text: What it asks.
        looked_at: Cases that were looked at.
        broken: Cases that broke it.
        findings: The first of those in words.
    """

    rule: str
    text: str
    looked_at: int = 0
    broken: int = 0
    findings: list[str] = field(default_factory=list)

    def breach(self, text: str) -> None:
        """Count a case that broke the rule."""
        self.broken += 1
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(text)
