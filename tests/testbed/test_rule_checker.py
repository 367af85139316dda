"""The rule checker finds no breach in a valid record, and each breach that is added to it."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from linnetstile.emulators.record import RecordError, read_record
from linnetstile.testbed.rule_checker import check

from .run_record_builder import RunRecordBuilder


def record_without_breach() -> RunRecordBuilder:
    """Return a record with cases for every rule and no breach."""
    records = RunRecordBuilder()
    for number, message_class in enumerate("uk"):
        records.submit(100.0 + number, message_class, message_class)
        records.attempt(110.0 + number, message_class)
        records.answer(180.0 + number, message_class)
    records.submit(1000, "full", "u")  # rejected with a Retry-After, then accepted
    records.attempt(1010, "full", status=503, retry_after_ms=500)
    records.attempt(1700, "full")
    records.answer(1800, "full")
    records.submit(2000, "k2", "k")  # no response, then a retry within the deduplication window
    records.attempt(2010, "k2", latency_ms=400, status=0)
    records.attempt(2500, "k2")
    records.answer(2600, "k2")
    records.submit(3000, "o1", "o")
    records.attempt(3010, "o1")
    records.submit(3050, "o2", "o")
    records.answer(3080, "o1")
    records.attempt(3090, "o2")
    records.answer(3200, "o2")
    records.registry.append(
        {"ev": "told", "t": 4000.0, "relay": "r1", "version": 2, "whole": False, "states": {"2": "draining"}}
    )
    records.submit(4050, "d", "u")
    records.attempt(4100, "d", endpoint=2)  # within the drain grace
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


def omit_the_answer(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x")


def answer_after_the_deadline(records: RunRecordBuilder) -> None:
    omit_the_answer(records)
    records.answer(13_500, "x")


def answer_twice(records: RunRecordBuilder) -> None:
    omit_the_answer(records)
    records.answer(9100, "x")
    records.answer(9200, "x")


def answer_a_repeat_differently(records: RunRecordBuilder) -> None:
    omit_the_answer(records)
    records.answer(9100, "x")
    records.submit(9200, "x", "u", submission="x2")
    records.answer(9300, "x", "failed", submission="x2")


def deliver_without_effect(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", effect=False)
    records.answer(9100, "x")


def accept_an_invalid_receipt(records: RunRecordBuilder) -> None:
    omit_the_answer(records)
    records.answer(9100, "x", receipt="wrong_mic")


def retry_a_non_idempotent_message(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", status=0)
    records.attempt(9200, "x")
    records.answer(9300, "x")


def retry_after_the_deduplication_window(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "k")
    records.attempt(9010, "x", status=0)
    records.attempt(10_100, "x")
    records.answer(10_200, "x")


def reject_a_message_that_may_have_run(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", status=500)
    records.answer(9100, "x", "refused")


def take_effect_twice(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "k")
    records.attempt(9010, "x")
    records.attempt(9200, "x")
    records.answer(9300, "x")


def make_two_attempts_at_once(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "o")
    records.attempt(9010, "x", latency_ms=500, effect=False)
    records.attempt(9300, "x", endpoint=1)
    records.answer(9700, "x")


def make_too_many_attempts(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "o")
    for number in range(4):
        records.attempt(9010 + 200 * number, "x", status=500 if number < 3 else 200)
    records.answer(9900, "x")


def send_to_a_drained_endpoint(records: RunRecordBuilder) -> None:
    records.submit(9000, "x", "u")
    records.attempt(9010, "x", endpoint=2)
    records.answer(9100, "x")


def send_to_an_endpoint_removed_from_the_full_list(records: RunRecordBuilder) -> None:
    records.registry.append(
        {"ev": "told", "t": 8500.0, "relay": "r1", "version": 3, "whole": True, "states": {"2": "ready"}}
    )
    records.submit(9000, "x", "u")
    records.attempt(9010, "x")
    records.answer(9100, "x")


def overload_a_partner_in_slow_start(records: RunRecordBuilder) -> None:
    for number in range(8):
        records.submit(7210 + number, f"x{number}", "u")
        records.attempt(7215 + number, f"x{number}")
        records.answer(7300 + number, f"x{number}")


def send_out_of_order(records: RunRecordBuilder) -> None:
    records.submit(9000, "x1", "o")
    records.attempt(9010, "x1", latency_ms=300)
    records.submit(9050, "x2", "o")
    records.attempt(9100, "x2")
    records.answer(9180, "x2")
    records.answer(9400, "x1")


def send_before_retry_after(records: RunRecordBuilder) -> None:
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
        ("answers", omit_the_answer),
        ("answers", answer_after_the_deadline),
        ("answers", answer_twice),
        ("answers", answer_a_repeat_differently),
        ("answers", deliver_without_effect),
        ("answers", accept_an_invalid_receipt),
        ("effects", retry_a_non_idempotent_message),
        ("effects", retry_after_the_deduplication_window),
        ("effects", take_effect_twice),
        ("effects", reject_a_message_that_may_have_run),
        ("one-out", make_two_attempts_at_once),
        ("one-out", make_too_many_attempts),
        ("drains", send_to_a_drained_endpoint),
        ("drains", send_to_an_endpoint_removed_from_the_full_list),
        ("returns", overload_a_partner_in_slow_start),
        ("order", send_out_of_order),
        ("waits", send_before_retry_after),
    ],
)
def test_a_breach_is_found_by_its_rule_alone(rule: str, break_rule: Callable[[RunRecordBuilder], None]) -> None:
    records = record_without_breach()
    assert records.findings() == {}
    break_rule(records)
    assert list(records.findings()) == [rule]


def test_messages_pending_at_a_kill_are_no_breach_and_the_next_process_starts_without_them() -> None:
    records = record_without_breach()
    records.submit(9000, "x", "k", relay="r2")
    records.attempt(9010, "x", latency_ms=500, status=0, relay="r2")
    records.clients.append({"ev": "lost", "t": 9200.0, "hand": "x", "mid": "x", "sight": "lost"})
    assert list(records.findings()) == ["answers"]
    records.facts["relays"]["r2"] = [[0.0, 9190.0, "killed"], [9900.0, None, ""]]
    records.submit(10_500, "x", "k", submission="x2", relay="r2")
    records.attempt(10_510, "x", relay="r2")
    records.answer(10_600, "x", submission="x2")
    assert records.findings() == {}


@pytest.mark.parametrize(("exited_at_ms", "broken_rules"), [(9001.0, []), (8999.0, ["answers"])])
def test_a_submission_may_be_lost_to_a_kill_until_the_process_has_exited(
    exited_at_ms: float, broken_rules: list[str]
) -> None:
    records = record_without_breach()
    records.submit(9000, "x", "k", relay="r2")
    records.clients.append({"ev": "lost", "t": 9000.5, "hand": "x", "mid": "x", "sight": "lost"})
    records.facts["relays"]["r2"] = [[0.0, exited_at_ms, "killed"], [9900.0, None, ""]]
    assert list(records.findings()) == broken_rules


def test_relays_that_do_not_know_of_the_outage_may_overload_a_partner() -> None:
    records = record_without_breach()
    for number in range(12):
        records.submit(7210 + number, f"x{number}", "u", relay="r2")
        records.attempt(7215 + number, f"x{number}", relay="r2")
        records.answer(7300 + number, f"x{number}")
    assert records.findings() == {}


def write_run(records: RunRecordBuilder, folder: Path) -> None:
    run = records.build()
    (folder / "run.json").write_text(json.dumps(run.facts))
    for name, rows in (("partners", run.partners), ("clients", run.clients), ("register", run.registry)):
        (folder / f"{name}.jsonl").write_text("".join(json.dumps(row) + "\n" for row in rows))


def test_a_record_is_read_back_and_an_incomplete_last_line_is_skipped(tmp_path: Path) -> None:
    write_run(record_without_breach(), tmp_path)
    with (tmp_path / "clients.jsonl").open("a") as file:
        file.write('{"ev": "final", "t": 99')
    verdicts, figures = check(tmp_path)
    assert not any(verdict.breach_count for verdict in verdicts)
    assert figures.messages == 13
    assert figures.by_answer == {"delivered": 12, "failed": 1}


def test_an_invalid_record_is_reported_in_one_error(tmp_path: Path) -> None:
    with pytest.raises(RecordError, match="not a run's record"):
        check(tmp_path)
    write_run(record_without_breach(), tmp_path)
    (tmp_path / "clients.jsonl").write_text('{"ev": "hand"}\nnot json\n{}\n')
    with pytest.raises(RecordError, match=r"clients.jsonl: line 2"):
        list(read_record(tmp_path / "clients.jsonl"))
    (tmp_path / "clients.jsonl").write_text('{"ev": "hand", "t": 1}\n')
    with pytest.raises(RecordError, match="a row of the record has a missing or invalid field"):
        check(tmp_path)


def test_an_incomplete_request_has_no_effect_and_is_not_in_flight() -> None:
    """The partner may notice the cut long after its response to the next attempt; without the row, two rules break."""
    records = record_without_breach()
    records.submit(9000.0, "big", "u")
    records.incomplete_attempt(9010.0, "big", seen_at_ms=12000.0)
    records.attempt(9400.0, "big")
    records.answer(9500.0, "big")
    assert records.findings() == {}
    records.partners = [row for row in records.partners if row["ev"] != "cut"]
    assert records.findings().keys() == {"effects", "one-out"}


def test_the_late_observed_end_of_a_call_to_a_slow_reader_is_ignored() -> None:
    records = record_without_breach()
    records.submit(9000.0, "slow", "k")
    records.attempt(9010.0, "slow", latency_ms=2000.0, status=0)
    records.attempt(9800.0, "slow")
    records.answer(9900.0, "slow")
    assert records.findings().keys() == {"one-out"}
    for row in records.partners:
        if row.get("mid") == "slow":
            row["conn"] = 1 if row["t"] in (9010.0, 11010.0) else 2
        if row["ev"] == "began" and row["t"] == 9010.0:
            row["crawls"] = True
    assert records.findings() == {}
