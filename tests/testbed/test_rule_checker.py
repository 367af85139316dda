"""The rule checker finds each breach in a changed record, and none in the record that it was made from."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile.emulators.record import RecordError, read_record
from linnetstile.testbed.rule_checker import RuleChecker, RunRecord, check

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


class Records:
    """A run in the making; each method adds what the sockets would show."""

    def __init__(self) -> None:
        self.facts = copy.deepcopy(FACTS)
        self.partners: list[Row] = []
        self.clients: list[Row] = []
        self.register: list[Row] = [
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
        call = {"partner": "p", "endpoint": endpoint, "mid": message_id, "relay": relay}
        self.partners.append({"ev": "began", "t": at_ms, **call})
        if effect and status == 200:
            self.partners.append({"ev": "effect", "t": at_ms + latency_ms, **call})
        ends: Row = (
            {"ev": "answer", "t": at_ms + latency_ms, "status": status, **call}
            if status
            else {"ev": "closed", "t": at_ms + latency_ms, **call}
        )
        self.partners.append(ends | ({"told_ms": retry_after_ms} if retry_after_ms else {}))

    def incomplete_attempt(
        self, at_ms: float, message_id: str, seen_at_ms: float, endpoint: int = 1, connection: int = 7
    ) -> None:
        """A request that never was whole, as the partner sees at `seen`."""
        call = {"partner": "p", "endpoint": endpoint, "mid": message_id, "relay": "r1", "conn": connection}
        self.partners += [{"ev": "began", "t": at_ms, **call}, {"ev": "cut", "t": seen_at_ms, **call}]

    def run(self) -> RunRecord:
        def sort(rows: list[Row]) -> list[Row]:
            return sorted(rows, key=lambda row: float(row["t"]))

        return RunRecord(self.facts, sort(self.partners), sort(self.clients), sort(self.register))

    def broken(self) -> dict[str, list[str]]:
        return {verdict.rule: verdict.findings for verdict in RuleChecker(self.run()).check_rules() if verdict.broken}


def run_that_keeps_every_rule() -> Records:
    """Every rule at work, and kept."""
    records = Records()
    for number, message_class in enumerate("uk"):
        records.submit(100.0 + number, message_class, message_class)
        records.attempt(110.0 + number, message_class)
        records.answer(180.0 + number, message_class)
    records.submit(1000, "full", "u")  # refused with a wait, then taken
    records.attempt(1010, "full", status=503, retry_after_ms=500)
    records.attempt(1700, "full")
    records.answer(1800, "full")
    records.submit(2000, "k2", "k")  # no answer, then again inside the window
    records.attempt(2010, "k2", latency_ms=400, status=0)
    records.attempt(2500, "k2")
    records.answer(2600, "k2")
    records.submit(3000, "o1", "o")
    records.attempt(3010, "o1")
    records.submit(3050, "o2", "o")
    records.answer(3080, "o1")
    records.attempt(3090, "o2")
    records.answer(3200, "o2")
    records.register.append(
        {"ev": "told", "t": 4000.0, "relay": "r1", "version": 2, "whole": False, "states": {"2": "draining"}}
    )
    records.submit(4050, "d", "u")
    records.attempt(4100, "d", endpoint=2)  # inside the grace
    records.answer(4200, "d")
    records.partners.append({"ev": "outage", "t": 5000.0, "partner": "p", "on": True, "kind": "hang"})
    records.submit(5500, "lost", "u")
    records.attempt(5510, "lost", latency_ms=900, status=0)
    records.answer(6500, "lost", "failed")
    records.partners.append({"ev": "outage", "t": 7000.0, "partner": "p", "on": False, "kind": "hang"})
    for number in range(5):
        records.submit(7100 + 300 * number, f"c{number}", "u")
        records.attempt(7110 + 300 * number, f"c{number}")
        records.answer(7200 + 300 * number, f"c{number}")
    return records


def no_answer(records: Records) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x")


def late_answer(records: Records) -> None:
    no_answer(records)
    records.answer(13_500, "x")


def two_answers(records: Records) -> None:
    no_answer(records)
    records.answer(9100, "x")
    records.answer(9200, "x")


def other_answer_to_a_repeat(records: Records) -> None:
    no_answer(records)
    records.answer(9100, "x")
    records.submit(9200, "x", "u", submission="x2")
    records.answer(9300, "x", "failed", submission="x2")


def delivered_without_effect(records: Records) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", effect=False)
    records.answer(9100, "x")


def receipt_that_does_not_hold(records: Records) -> None:
    no_answer(records)
    records.answer(9100, "x", receipt="wrong_mic")


def unsafe_twice(records: Records) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", status=0)
    records.attempt(9200, "x")
    records.answer(9300, "x")


def keyed_outside_its_window(records: Records) -> None:
    records.submit(9000, "x", "k")
    records.attempt(9010, "x", status=0)
    records.attempt(10_100, "x")
    records.answer(10_200, "x")


def refused_though_it_may_have_run(records: Records) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", status=500)
    records.answer(9100, "x", "refused")


def effect_twice(records: Records) -> None:
    records.submit(9000, "x", "k")
    records.attempt(9010, "x")
    records.attempt(9200, "x")
    records.answer(9300, "x")


def two_attempts_at_once(records: Records) -> None:
    records.submit(9000, "x", "o")
    records.attempt(9010, "x", latency_ms=500, effect=False)
    records.attempt(9300, "x", endpoint=1)
    records.answer(9700, "x")


def too_many_attempts(records: Records) -> None:
    records.submit(9000, "x", "o")
    for number in range(4):
        records.attempt(9010 + 200 * number, "x", status=500 if number < 3 else 200)
    records.answer(9900, "x")


def after_the_drain(records: Records) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", endpoint=2)
    records.answer(9100, "x")


def gone_from_the_whole_list(records: Records) -> None:
    records.register.append(
        {"ev": "told", "t": 8500.0, "relay": "r1", "version": 3, "whole": True, "states": {"2": "ready"}}
    )
    records.submit(9000, "x", "u")
    records.attempt(9010, "x")
    records.answer(9100, "x")


def pushed_over(records: Records) -> None:
    for number in range(8):
        records.submit(7210 + number, f"x{number}", "u")
        records.attempt(7215 + number, f"x{number}")
        records.answer(7300 + number, f"x{number}")


def out_of_order(records: Records) -> None:
    records.submit(9000, "x1", "o")
    records.attempt(9010, "x1", latency_ms=300)
    records.submit(9050, "x2", "o")
    records.attempt(9100, "x2")
    records.answer(9180, "x2")
    records.answer(9400, "x1")


def before_the_wait_is_over(records: Records) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", status=503, retry_after_ms=2000)
    records.submit(9500, "y", "u")
    records.attempt(9510, "y")
    records.answer(9600, "y")
    records.attempt(11_500, "x")
    records.answer(11_600, "x")


@pytest.mark.parametrize(
    ("rule", "break_rule"),
    [
        ("answers", no_answer),
        ("answers", late_answer),
        ("answers", two_answers),
        ("answers", other_answer_to_a_repeat),
        ("answers", delivered_without_effect),
        ("answers", receipt_that_does_not_hold),
        ("effects", unsafe_twice),
        ("effects", keyed_outside_its_window),
        ("effects", effect_twice),
        ("effects", refused_though_it_may_have_run),
        ("one-out", two_attempts_at_once),
        ("one-out", too_many_attempts),
        ("drains", after_the_drain),
        ("drains", gone_from_the_whole_list),
        ("returns", pushed_over),
        ("order", out_of_order),
        ("waits", before_the_wait_is_over),
    ],
)
def test_each_breach_is_found_and_only_its_rule(rule: str, break_rule: Callable[[Records], None]) -> None:
    records = run_that_keeps_every_rule()
    assert records.broken() == {}
    break_rule(records)
    assert list(records.broken()) == [rule]


def test_what_a_killed_relay_held_is_no_breach_and_its_successor_starts_anew() -> None:
    records = run_that_keeps_every_rule()
    records.submit(9000, "x", "k", relay="r2")
    records.attempt(9010, "x", latency_ms=500, status=0, relay="r2")
    records.clients.append({"ev": "lost", "t": 9200.0, "hand": "x", "mid": "x", "sight": "lost"})
    assert list(records.broken()) == ["answers"]
    records.facts["relays"]["r2"] = [[0.0, 9190.0, "killed"], [9900.0, None, ""]]
    records.submit(10_500, "x", "k", submission="x2", relay="r2")
    records.attempt(10_510, "x", relay="r2")
    records.answer(10_600, "x", submission="x2")
    assert records.broken() == {}


@pytest.mark.parametrize(("gone_at_ms", "broken"), [(9001.0, []), (8999.0, ["answers"])])
def test_a_submission_may_be_lost_to_a_kill_until_the_process_is_gone(gone_at_ms: float, broken: list[str]) -> None:
    records = run_that_keeps_every_rule()
    records.submit(9000, "x", "k", relay="r2")
    records.clients.append({"ev": "lost", "t": 9000.5, "hand": "x", "mid": "x", "sight": "lost"})
    records.facts["relays"]["r2"] = [[0.0, gone_at_ms, "killed"], [9900.0, None, ""]]
    assert list(records.broken()) == broken


def test_strangers_to_an_outage_may_push_a_partner_over() -> None:
    records = run_that_keeps_every_rule()
    for number in range(12):
        records.submit(7210 + number, f"x{number}", "u", relay="r2")
        records.attempt(7215 + number, f"x{number}", relay="r2")
        records.answer(7300 + number, f"x{number}")
    assert records.broken() == {}


def write_run(records: Records, folder: Path) -> None:
    run = records.run()
    (folder / "run.json").write_text(json.dumps(run.facts))
    for name, rows in (("partners", run.partners), ("clients", run.clients), ("register", run.registry)):
        (folder / f"{name}.jsonl").write_text("".join(json.dumps(row) + "\n" for row in rows))


def test_a_record_is_read_back_and_a_torn_last_line_is_passed_over(tmp_path: Path) -> None:
    write_run(run_that_keeps_every_rule(), tmp_path)
    with (tmp_path / "clients.jsonl").open("a") as file:
        file.write('{"ev": "final", "t": 99')
    verdicts, figures = check(tmp_path)
    assert not any(verdict.broken for verdict in verdicts)
    assert figures.messages == 13
    assert figures.by_answer == {"delivered": 12, "failed": 1}


def test_what_is_no_record_is_one_clear_error(tmp_path: Path) -> None:
    with pytest.raises(RecordError, match="not a run's record"):
        check(tmp_path)
    write_run(run_that_keeps_every_rule(), tmp_path)
    (tmp_path / "clients.jsonl").write_text('{"ev": "hand"}\nnot json\n{}\n')
    with pytest.raises(RecordError, match=r"clients.jsonl: line 2"):
        list(read_record(tmp_path / "clients.jsonl"))
    (tmp_path / "clients.jsonl").write_text('{"ev": "hand", "t": 1}\n')
    with pytest.raises(RecordError, match="lacks or garbles"):
        check(tmp_path)


def test_a_request_that_never_was_whole_is_no_risk_and_not_out() -> None:
    """Even where the partner notices long after the next attempt has been answered; without the row it is both."""
    records = run_that_keeps_every_rule()
    records.submit(9000.0, "big", "u")
    records.incomplete_attempt(9010.0, "big", seen_at_ms=12000.0)
    records.attempt(9400.0, "big")
    records.answer(9500.0, "big")
    assert records.broken() == {}
    records.partners = [row for row in records.partners if row["ev"] != "cut"]
    assert records.broken().keys() == {"effects", "one-out"}


def test_the_end_of_a_call_that_the_partner_reads_slowly_is_not_judged_by_when_it_saw_it() -> None:
    records = run_that_keeps_every_rule()
    records.submit(9000.0, "slow", "k")
    records.attempt(9010.0, "slow", latency_ms=2000.0, status=0)
    records.attempt(9800.0, "slow")
    records.answer(9900.0, "slow")
    assert records.broken().keys() == {"one-out"}
    for row in records.partners:
        if row.get("mid") == "slow":
            row["conn"] = 1 if row["t"] in (9010.0, 11010.0) else 2
        if row["ev"] == "began" and row["t"] == 9010.0:
            row["crawls"] = True
    assert records.broken() == {}
