"""Checks a run against the delivery rules, by the traffic and effects that the emulators recorded.

Logs of relays are never used. The folder of a run contains `run.json` (the settings that the rules need, and the
lifetimes of the relay processes) and a record for each of partners, clients and registry. Seven rules are checked: the
six delivery rules, and that at most one attempt of a message is in flight.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from ..emulators.record import RecordError, read_record
from .message_rules import AnswerRule, EffectRule, check_one_attempt, check_order
from .partner_rules import DrainRule, RetryAfterRule, ReturnRule
from .recorded_traffic import RecordedTraffic, Row
from .run_figures import RunFigures, compute_figures
from .verdict import Verdict as Verdict

FACTS_FILE = "run.json"
RECORDS = ("partners", "clients", "register")  # each in a file NAME.jsonl
REQUIRED_FACTS = ("classes", "safety", "partners", "attempts", "relays")


@dataclass(slots=True)
class RunRecord:
    """All records of a run as untyped rows, in the order of their times."""

    facts: Row
    partners: list[Row]
    clients: list[Row]
    registry: list[Row]

    @classmethod
    def load(cls, folder: Path) -> RunRecord:
        """Read the folder of a run.

        Raises:
            RecordError: The folder is not that of a run, or a record cannot be read.
        """
        try:
            facts = json.loads((folder / FACTS_FILE).read_text(encoding="utf-8"))
            records = [list(read_record(folder / f"{name}.jsonl")) for name in RECORDS]
        except (OSError, ValueError) as error:
            raise RecordError(f"{folder}: not a run's record: {error}") from error
        for key in REQUIRED_FACTS:
            if key not in facts:
                raise RecordError(f"{folder}/{FACTS_FILE}: {key} is missing")
        return cls(facts, *(sorted(rows, key=lambda row: float(row["t"])) for rows in records))


class RuleChecker:
    """Checks one run against all rules.

    Raises:
        KeyError: A row lacks a field.
        ValueError: A field has no valid value.
    """

    def __init__(self, run: RunRecord) -> None:
        self.traffic = RecordedTraffic(run.facts, run.partners, run.clients, run.registry)

    def check_rules(self) -> list[Verdict]:
        """Return a verdict for each rule, in the order in which they are printed."""
        return [
            AnswerRule(self.traffic).check(),
            EffectRule(self.traffic).check(),
            check_one_attempt(self.traffic),
            DrainRule(self.traffic).check(),
            ReturnRule(self.traffic).check(),
            check_order(self.traffic),
            RetryAfterRule(self.traffic).check(),
        ]


class CheckedRun(NamedTuple):
    """The verdicts of all rules about a run, and its figures."""

    verdicts: list[Verdict]
    figures: RunFigures


def check(folder: Path) -> CheckedRun:
    """Check the run in a folder.

    Raises:
        RecordError: Its record cannot be read.
    """
    run = RunRecord.load(folder)
    try:
        checker = RuleChecker(run)
        return CheckedRun(checker.check_rules(), compute_figures(checker.traffic))
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"{folder}: a row of the record has a missing or invalid field: {error}") from error
