"""The verdict of the rule checker on one rule."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_FINDINGS = 20  # findings kept for each rule; further breaches are only counted


@dataclass(slots=True)
class Verdict:
    """One rule, and how often it was checked and broken.

    Attributes:
        rule: Its short name.
        requirement: What it requires, in a few words.
        checked_count: Number of cases that were checked.
        breach_count: Number of cases that broke it.
        findings: Descriptions of the first `MAX_FINDINGS` of the broken cases.
    """

    rule: str
    requirement: str
    checked_count: int = 0
    breach_count: int = 0
    findings: list[str] = field(default_factory=list)

    def add_breach(self, finding: str) -> None:
        """Count a case that broke the rule, and keep its description up to the limit."""
        self.breach_count += 1
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(finding)
