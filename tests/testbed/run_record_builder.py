"""Builds records of runs for the tests of the rule checker, without sockets."""

from __future__ import annotations

import copy
from typing import Any

from linnetstile.testbed.rule_checker import RuleChecker, RunRecord

Row = dict[str, Any]
FACTS: Row = {
    "attempts": 3,
    "relays": {"r1": [[0.0, None, ""]], "r2": [[0.0, None, ""]]},
    "safety": {
        "drain_grace_ms": 250.0,
        "cold_share": 0.2,
        "cold_ms": 10_000.0,
        "fall_multiple": 2.0,
        "fall_ms": 1000.0,
    },
    "partners": {"p": {"rate": 10.0}},
    "classes": {
        "u": {"effect": "unsafe", "deadline_ms": 4000, "aim_ms": 1000, "worth": 1, "late_share": 0.5},
        "k": {
            "effect": "keyed",
            "deadline_ms": 4000,
            "aim_ms": 1000,
            "worth": 1,
            "late_share": 0.5,
            "key_window_ms": 1000,
        },
        "o": {"effect": "safe", "deadline_ms": 4000, "aim_ms": 1000, "worth": 1, "late_share": 0.5, "in_order": True},
    },
}


class RunRecordBuilder:
    """Builds the record of a run; each method adds the rows that the emulators would write."""

    def __init__(self) -> None:
        self.facts = copy.deepcopy(FACTS)
        self.partners: list[Row] = []
        self.clients: list[Row] = []
        self.registry: list[Row] = [
            {
                "ev": "told",
                "t": 10.0,
                "relay": relay,
                "version": 1,
                "whole": True,
                "states": {"1": "ready", "2": "ready"},
            }
            for relay in ("r1", "r2")
        ]

    def submit(
        self, at_ms: float, message_id: str, message_class: str, submission: str = "", relay: str = "r1"
    ) -> None:
        """Add a submission by a client."""
        self.clients.append(
            {
                "ev": "hand",
                "t": at_ms,
                "hand": submission or message_id,
                "mid": message_id,
                "relay": relay,
                "cls": message_class,
                "again": False,
                "sender": "s",
                "receiver": "p",
                "wait": "",
            }
        )

    def answer(
        self,
        at_ms: float,
        message_id: str,
        kind: str = "delivered",
        submission: str = "",
        digest: str = "d",
        receipt: str = "positive",
    ) -> None:
        """Add the final answer to a submission."""
        self.clients.append(
            {
                "ev": "final",
                "t": at_ms,
                "hand": submission or message_id,
                "mid": message_id,
                "kind": kind,
                "status": 200,
                "receipt": receipt,
                "digest": digest,
            }
        )

    def attempt(
        self,
        at_ms: float,
        message_id: str,
        latency_ms: float = 50.0,
        status: int = 200,
        relay: str = "r1",
        endpoint: int = 1,
        effect: bool = True,
        retry_after_ms: float = 0,
    ) -> None:
        """Add a call to a partner; status 0 is a connection that closes without a response."""
        call = {"partner": "p", "endpoint": endpoint, "mid": message_id, "relay": relay}
        self.partners.append({"ev": "began", "t": at_ms, **call})
        if effect and status == 200:
            self.partners.append({"ev": "effect", "t": at_ms + latency_ms, **call})
        end: Row = {"ev": "closed", "t": at_ms + latency_ms, **call}
        if status:
            end |= {"ev": "answer", "status": status}
        if retry_after_ms:
            end |= {"told_ms": retry_after_ms}
        self.partners.append(end)

    def incomplete_attempt(
        self, at_ms: float, message_id: str, seen_at_ms: float, endpoint: int = 1, connection: int = 7
    ) -> None:
        """Add a request that was never completed; the partner notices this at `seen_at_ms`."""
        call = {"partner": "p", "endpoint": endpoint, "mid": message_id, "relay": "r1", "conn": connection}
        self.partners.append({"ev": "began", "t": at_ms, **call})
        self.partners.append({"ev": "cut", "t": seen_at_ms, **call})

    def build(self) -> RunRecord:
        """Return the record, with the rows in the order of their times."""
        return RunRecord(self.facts, _by_time(self.partners), _by_time(self.clients), _by_time(self.registry))

    def findings(self) -> dict[str, list[str]]:
        """Check the record; return the findings of each rule that is broken."""
        verdicts = RuleChecker(self.build()).check_rules()
        return {verdict.rule: verdict.findings for verdict in verdicts if verdict.breach_count}


def _by_time(rows: list[Row]) -> list[Row]:
    return sorted(rows, key=lambda row: float(row["t"]))
