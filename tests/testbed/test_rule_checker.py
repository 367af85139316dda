"""The judge finds each breach in a doctored record, and none in the record it was doctored from."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile.emulators.record import RecordError, read
from linnetstile.testbed.rule_checker import Judge, Run, check

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
            {"ev": "told", "t": 10.0, "relay": r, "version": 1, "whole": True, "states": {"1": "ready", "2": "ready"}}
            for r in ("r1", "r2")
        ]

    def hand(self, t: float, mid: str, message_class: str, mark: str = "", relay: str = "r1") -> None:
        self.clients.append(
            {
                "ev": "hand",
                "t": t,
                "hand": mark or mid,
                "mid": mid,
                "relay": relay,
                "cls": message_class,
                "again": False,
                "sender": "s",
                "receiver": "p",
                "wait": "",
            }
        )

    def final(
        self, t: float, mid: str, kind: str = "delivered", mark: str = "", digest: str = "d", receipt: str = "positive"
    ) -> None:
        self.clients.append(
            {
                "ev": "final",
                "t": t,
                "hand": mark or mid,
                "mid": mid,
                "kind": kind,
                "status": 200,
                "receipt": receipt,
                "digest": digest,
            }
        )

    def call(
        self,
        t: float,
        mid: str,
        end: float = 50.0,
        status: int = 200,
        relay: str = "r1",
        endpoint: int = 1,
        effect: bool = True,
        told_ms: float = 0,
    ) -> None:
        who = {"partner": "p", "endpoint": endpoint, "mid": mid, "relay": relay}
        self.partners.append({"ev": "began", "t": t, **who})
        if effect and status == 200:
            self.partners.append({"ev": "effect", "t": t + end, **who})
        ends: Row = (
            {"ev": "answer", "t": t + end, "status": status, **who} if status else {"ev": "closed", "t": t + end, **who}
        )
        self.partners.append(ends | ({"told_ms": told_ms} if told_ms else {}))

    def cut(self, t: float, mid: str, seen: float, endpoint: int = 1, conn: int = 7) -> None:
        """A request that never was whole, as the partner sees at `seen`."""
        who = {"partner": "p", "endpoint": endpoint, "mid": mid, "relay": "r1", "conn": conn}
        self.partners += [{"ev": "began", "t": t, **who}, {"ev": "cut", "t": seen, **who}]

    def run(self) -> Run:
        def sort(rows: list[Row]) -> list[Row]:
            return sorted(rows, key=lambda row: float(row["t"]))

        return Run(self.facts, sort(self.partners), sort(self.clients), sort(self.register))

    def broken(self) -> dict[str, list[str]]:
        return {v.rule: v.findings for v in Judge(self.run()).judge() if v.broken}


def good() -> Records:
    """Every rule at work, and kept."""
    r = Records()
    for n, message_class in enumerate("uk"):
        r.hand(100.0 + n, message_class, message_class)
        r.call(110.0 + n, message_class)
        r.final(180.0 + n, message_class)
    r.hand(1000, "full", "u")  # refused with a wait, then taken
    r.call(1010, "full", status=503, told_ms=500)
    r.call(1700, "full")
    r.final(1800, "full")
    r.hand(2000, "k2", "k")  # no answer, then again inside the window
    r.call(2010, "k2", end=400, status=0)
    r.call(2500, "k2")
    r.final(2600, "k2")
    r.hand(3000, "o1", "o")
    r.call(3010, "o1")
    r.hand(3050, "o2", "o")
    r.final(3080, "o1")
    r.call(3090, "o2")
    r.final(3200, "o2")
    r.register.append(
        {"ev": "told", "t": 4000.0, "relay": "r1", "version": 2, "whole": False, "states": {"2": "draining"}}
    )
    r.hand(4050, "d", "u")
    r.call(4100, "d", endpoint=2)  # inside the grace
    r.final(4200, "d")
    r.partners.append({"ev": "outage", "t": 5000.0, "partner": "p", "on": True, "kind": "hang"})
    r.hand(5500, "lost", "u")
    r.call(5510, "lost", end=900, status=0)
    r.final(6500, "lost", "failed")
    r.partners.append({"ev": "outage", "t": 7000.0, "partner": "p", "on": False, "kind": "hang"})
    for n in range(5):
        r.hand(7100 + 300 * n, f"c{n}", "u")
        r.call(7110 + 300 * n, f"c{n}")
        r.final(7200 + 300 * n, f"c{n}")
    return r


def no_answer(r: Records) -> None:
    r.hand(9000, "x", "u")
    r.call(9010, "x")


def late_answer(r: Records) -> None:
    no_answer(r)
    r.final(13_500, "x")


def two_answers(r: Records) -> None:
    no_answer(r)
    r.final(9100, "x")
    r.final(9200, "x")


def other_answer_to_a_repeat(r: Records) -> None:
    no_answer(r)
    r.final(9100, "x")
    r.hand(9200, "x", "u", mark="x2")
    r.final(9300, "x", "failed", mark="x2")


def delivered_without_effect(r: Records) -> None:
    r.hand(9000, "x", "u")
    r.call(9010, "x", effect=False)
    r.final(9100, "x")


def receipt_that_does_not_hold(r: Records) -> None:
    no_answer(r)
    r.final(9100, "x", receipt="wrong_mic")


def unsafe_twice(r: Records) -> None:
    r.hand(9000, "x", "u")
    r.call(9010, "x", status=0)
    r.call(9200, "x")
    r.final(9300, "x")


def keyed_outside_its_window(r: Records) -> None:
    r.hand(9000, "x", "k")
    r.call(9010, "x", status=0)
    r.call(10_100, "x")
    r.final(10_200, "x")


def refused_though_it_may_have_run(r: Records) -> None:
    r.hand(9000, "x", "u")
    r.call(9010, "x", status=500)
    r.final(9100, "x", "refused")


def effect_twice(r: Records) -> None:
    r.hand(9000, "x", "k")
    r.call(9010, "x")
    r.call(9200, "x")
    r.final(9300, "x")


def two_out(r: Records) -> None:
    r.hand(9000, "x", "o")
    r.call(9010, "x", end=500, effect=False)
    r.call(9300, "x", endpoint=1)
    r.final(9700, "x")


def too_many(r: Records) -> None:
    r.hand(9000, "x", "o")
    for n in range(4):
        r.call(9010 + 200 * n, "x", status=500 if n < 3 else 200)
    r.final(9900, "x")


def after_the_drain(r: Records) -> None:
    r.hand(9000, "x", "u")
    r.call(9010, "x", endpoint=2)
    r.final(9100, "x")


def gone_from_the_whole_list(r: Records) -> None:
    r.register.append({"ev": "told", "t": 8500.0, "relay": "r1", "version": 3, "whole": True, "states": {"2": "ready"}})
    r.hand(9000, "x", "u")
    r.call(9010, "x")
    r.final(9100, "x")


def pushed_over(r: Records) -> None:
    for n in range(8):
        r.hand(7210 + n, f"x{n}", "u")
        r.call(7215 + n, f"x{n}")
        r.final(7300 + n, f"x{n}")


def out_of_order(r: Records) -> None:
    r.hand(9000, "x1", "o")
    r.call(9010, "x1", end=300)
    r.hand(9050, "x2", "o")
    r.call(9100, "x2")
    r.final(9180, "x2")
    r.final(9400, "x1")


def before_the_wait_is_over(r: Records) -> None:
    r.hand(9000, "x", "u")
    r.call(9010, "x", status=503, told_ms=2000)
    r.hand(9500, "y", "u")
    r.call(9510, "y")
    r.final(9600, "y")
    r.call(11_500, "x")
    r.final(11_600, "x")


@pytest.mark.parametrize(
    ("rule", "doctor"),
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
        ("one-out", two_out),
        ("one-out", too_many),
        ("drains", after_the_drain),
        ("drains", gone_from_the_whole_list),
        ("returns", pushed_over),
        ("order", out_of_order),
        ("waits", before_the_wait_is_over),
    ],
)
def test_each_breach_is_found_and_only_its_rule(rule: str, doctor: Callable[[Records], None]) -> None:
    records = good()
    assert records.broken() == {}
    doctor(records)
    assert list(records.broken()) == [rule]


def test_what_a_killed_relay_held_is_no_breach_and_its_successor_starts_anew() -> None:
    r = good()
    r.hand(9000, "x", "k", relay="r2")
    r.call(9010, "x", end=500, status=0, relay="r2")
    r.clients.append({"ev": "lost", "t": 9200.0, "hand": "x", "mid": "x", "sight": "lost"})
    assert list(r.broken()) == ["answers"]
    r.facts["relays"]["r2"] = [[0.0, 9190.0, "killed"], [9900.0, None, ""]]
    r.hand(10_500, "x", "k", mark="x2", relay="r2")
    r.call(10_510, "x", relay="r2")
    r.final(10_600, "x", mark="x2")
    assert r.broken() == {}


def test_strangers_to_an_outage_may_push_a_partner_over() -> None:
    r = good()
    for n in range(12):
        r.hand(7210 + n, f"x{n}", "u", relay="r2")
        r.call(7215 + n, f"x{n}", relay="r2")
        r.final(7300 + n, f"x{n}")
    assert r.broken() == {}


def write(r: Records, folder: Path) -> None:
    run = r.run()
    (folder / "run.json").write_text(json.dumps(run.facts))
    for name, rows in (("partners", run.partners), ("clients", run.clients), ("register", run.register)):
        (folder / f"{name}.jsonl").write_text("".join(json.dumps(row) + "\n" for row in rows))


def test_a_record_is_read_back_and_a_torn_last_line_is_passed_over(tmp_path: Path) -> None:
    write(good(), tmp_path)
    with (tmp_path / "clients.jsonl").open("a") as file:
        file.write('{"ev": "final", "t": 99')
    verdicts, figures = check(tmp_path)
    assert not any(v.broken for v in verdicts) and figures["messages"] == 13
    assert figures["by_answer"] == {"delivered": 12, "failed": 1}


def test_what_is_no_record_is_one_clear_error(tmp_path: Path) -> None:
    with pytest.raises(RecordError, match="not a run's record"):
        check(tmp_path)
    write(good(), tmp_path)
    (tmp_path / "clients.jsonl").write_text('{"ev": "hand"}\nnot json\n{}\n')
    with pytest.raises(RecordError, match=r"clients.jsonl: line 2"):
        list(read(tmp_path / "clients.jsonl"))
    (tmp_path / "clients.jsonl").write_text('{"ev": "hand", "t": 1}\n')
    with pytest.raises(RecordError, match="lacks or garbles"):
        check(tmp_path)


def test_a_request_that_never_was_whole_is_no_risk_and_not_out() -> None:
    """Even where the partner notices long after the next attempt has been answered; without the row it is both."""
    r = good()
    r.hand(9000.0, "big", "u")
    r.cut(9010.0, "big", seen=12000.0)
    r.call(9400.0, "big")
    r.final(9500.0, "big")
    assert r.broken() == {}
    r.partners = [row for row in r.partners if row["ev"] != "cut"]
    assert r.broken().keys() == {"effects", "one-out"}


def test_the_end_of_a_call_that_the_partner_reads_slowly_is_not_judged_by_when_it_saw_it() -> None:
    r = good()
    r.hand(9000.0, "slow", "k")
    r.call(9010.0, "slow", end=2000.0, status=0)
    r.call(9800.0, "slow")
    r.final(9900.0, "slow")
    assert r.broken().keys() == {"one-out"}
    for row in r.partners:
        if row.get("mid") == "slow":
            row["conn"] = 1 if row["t"] in (9010.0, 11010.0) else 2
        if row["ev"] == "began" and row["t"] == 9010.0:
            row["crawls"] = True
    assert r.broken() == {}
