"""A short day through real processes: it ends by itself, its record is judged, and a bad end is told."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import yaml

from linnetstile.emulators.client_script import draw_script
from linnetstile.emulators.client_settings import ClientSpec
from linnetstile.testbed.day import Day

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


def play(folder: Path, day: dict[str, Any], *more: str) -> subprocess.CompletedProcess[str]:
    (folder / "day.yaml").write_text(yaml.safe_dump(day))
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "linnetstile.cli.main",
            "play",
            str(folder / "day.yaml"),
            "--json",
            "--record",
            str(folder / "record"),
            *more,
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_a_short_day_is_played_judged_and_cleaned_up(tmp_path: Path) -> None:
    result = play(tmp_path, DAY)
    assert result.returncode == 0, result.stdout + result.stderr
    verdict = json.loads(result.stdout)
    assert all(rule["kept"] for rule in verdict["rules"])
    assert verdict["messages"] > 60
    assert verdict["by_answer"]["delivered"] > 0.7 * verdict["messages"]
    facts = json.loads((tmp_path / "record" / "run.json").read_text())
    assert [life[2] for life in facts["relays"]["r2"]] == ["killed", "stopped"]
    assert "gossip_snapshot_loaded" in (tmp_path / "record" / "r2.log").read_text()
    again = play(tmp_path, DAY)
    assert again.returncode == 2
    assert "expected a new or empty folder" in again.stderr


def test_the_same_seed_draws_the_same_script() -> None:
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
    one, two = draw_script(spec), draw_script(spec)
    assert one == two != draw_script(spec.model_copy(update={"seed": 4}))
    early, surge = ([p for p in one if at <= p.at_s < at + 1] for at in (0, 1))
    assert len(surge) > 2 * len(early)


def test_every_kind_of_trouble_has_its_name() -> None:
    root = Path(__file__).parent.parent.parent / "days"
    day = Day.model_validate(yaml.safe_load((root / "every-trouble.yaml").read_text()))
    names = {fault.kind for fault in day.faults} | {fault.kind for fault in day.fleet_faults}
    assert names >= {
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
