"""The verdict of the rule checker on one rule."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_FINDINGS = 20  # findings kept for each rule; further breaches are only counted


@dataclass(slots=True)
class Verdict:
    """One rule, and how often it was checked and broken.

    Attributes:
        rule: Its short name.
        text: What it requires, in a few words.
        looked_at: Number of cases that were checked.
        broken: Number of cases that broke it.
        findings: Descriptions of the first `MAX_FINDINGS` of the broken cases.
    """

    rule: str
    text: str
    looked_at: int = 0
    broken: int = 0
    findings: list[str] = field(default_factory=list)

    def add_breach(self, finding: str) -> None:
        """Count a case that broke the rule, and keep its description up to the limit."""
        self.broken += 1
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(finding)
