"""Plays a short day with real processes to its end and checks its record; also tests the script of the clients."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml

from linnetstile.emulators.client_script import draw_script
from linnetstile.emulators.client_settings import ClientSpec
from linnetstile.emulators.record import now_ms
from linnetstile.testbed.day import Day
from linnetstile.testbed.play import play as play_day
from linnetstile.testbed.processes import ProcessGroup
from linnetstile.testbed.rule_checker import check

ROOT = Path(__file__).parent.parent.parent
DAY: dict[str, Any] = {
    "name": "short",
    "seconds": 5,
    "relays": 2,
    "slots": 8,
    "hold": 60,
    "learning": True,
    "register_lag_ms": 100,
    "classes": {
        "k": {"effect": "keyed", "aim_ms": 1000, "deadline_ms": 4000, "key_window_ms": 2000, "share": 2},
        "u": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 4000, "share": 1},
    },
    "partners": [{"name": "p", "count": 2, "endpoints": 2, "work_ms": 30, "limit_least": 20}],
    "traffic": {"per_s": 20, "senders": {"s": 1}, "asynchronous": 0.2},
    "faults": [{"kind": "fast_errors", "at_s": 1, "for_s": 1, "partners": ["p-1"]}],
    "troubles": [
        {"kind": "balancer_crash", "at_s": 2, "for_s": 0.3, "relays": [2]},
        {"kind": "gone", "at_s": 1, "for_s": 2, "partners": ["p-2"]},
    ],
}

SLOW_START_S = 6.0  # start of one process, beside machine load


def play(folder: Path, day: dict[str, Any]) -> subprocess.CompletedProcess[str]:
    """Play a day as `linnetstile play` does, with its record in the folder."""
    day_file = folder / "day.yaml"
    day_file.write_text(yaml.safe_dump(day))
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "linnetstile.cli.main",
            "play",
            str(day_file),
            "--json",
            "--record",
            str(folder / "record"),
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_a_short_day_is_played_and_checked_and_not_played_again_into_its_folder(tmp_path: Path) -> None:
    result = play(tmp_path, DAY)
    assert result.returncode == 0, result.stdout + result.stderr
    verdict = json.loads(result.stdout)
    assert all(rule["kept"] for rule in verdict["rules"])
    assert verdict["messages"] > 60
    assert verdict["by_answer"]["delivered"] > 0.7 * verdict["messages"]
    facts = json.loads((tmp_path / "record" / "run.json").read_text())
    assert [lifetime[2] for lifetime in facts["relays"]["r2"]] == ["killed", "stopped"]
    assert "gossip_snapshot_loaded" in (tmp_path / "record" / "r2.log").read_text()
    second_result = play(tmp_path, DAY)
    assert second_result.returncode == 2
    assert "expected a new or empty folder" in second_result.stderr


@pytest.mark.parametrize("slow_process", ["register", "clients"])
def test_script_starts_once_all_processes_are_ready_however_slowly_they_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, slow_process: str
) -> None:
    """Guards against a script that starts without its processes: no play at all, or overdue messages in one burst."""
    spawn = ProcessGroup._spawn
    spawned_ms: list[float] = []

    async def spawn_slowly(group: ProcessGroup, name: str, arguments: tuple[str, ...]) -> asyncio.subprocess.Process:
        if name == slow_process:
            await asyncio.sleep(SLOW_START_S)
        spawned_ms.append(now_ms())
        return await spawn(group, name, arguments)

    monkeypatch.setattr(ProcessGroup, "_spawn", spawn_slowly)
    play_day(Day.model_validate(DAY), tmp_path, lambda line: None)
    process_count = 3 + int(DAY["relays"])  # partners, registry, relays, clients
    facts = json.loads((tmp_path / "run.json").read_text())
    assert facts["t0_ms"] > max(spawned_ms[:process_count])
    run = check(tmp_path)
    assert not any(verdict.breach_count for verdict in run.verdicts)
    assert run.figures.by_answer["delivered"] > 0.7 * run.figures.messages


def test_the_same_seed_draws_the_same_script_and_a_surge_has_more_traffic() -> None:
    spec = ClientSpec.model_validate(
        {
            "seconds": 5,
            "seed": 3,
            "relays": [{"name": "r", "address": "127.0.0.1:1"}],
            "classes": {"k": {"effect": "keyed", "deadline_ms": 1000}},
            "flows": [{"sender": "s", "receiver": "p", "cls": "k", "subject": "k", "per_s": 30}],
            "surges": [{"at_s": 1, "for_s": 1, "times": 4, "receivers": ["p"]}],
        }
    )
    script = draw_script(spec)
    assert script == draw_script(spec)
    assert script != draw_script(spec.model_copy(update={"seed": 4}))
    before_surge = [message for message in script if 0 <= message.at_s < 1]
    in_surge = [message for message in script if 1 <= message.at_s < 2]
    assert len(in_surge) > 2 * len(before_surge)


def test_the_kinds_of_faults_have_their_stored_names_in_a_day_file() -> None:
    day_file = ROOT / "days" / "every-trouble.yaml"
    day = Day.model_validate(yaml.safe_load(day_file.read_text()))
    kinds = {fault.kind for fault in day.faults} | {fault.kind for fault in day.fleet_faults}
    assert kinds >= {
        "hang",
        "vanish",
        "class_fail",
        "pauses",
        "burst",
        "hot_key",
        "fast_errors",
        "crash",
        "balancer_crash",
        "discovery_stale",
        "answer_lost",
        "balancer_roll",
    }
