"""A tiny scale run, its parts, bad options and ends: counts and rules, no seconds."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from linnetstile.cli.main import main
from linnetstile.engine.events import EndpointList
from linnetstile.testbed.scale import fleet, members, relay_process, report, scenarios, simulated_relay
from linnetstile.testbed.scale.fleet import Failed, Fleet, Played
from linnetstile.testbed.scale.simulated_relay import Ears, Hollow, Trace
from linnetstile.testbed.scale.world_model import SCENES, Sizes, World

TINY = Sizes(
    relays=10,
    destinations=200,
    real=1,
    in_use=8,
    workers=2,
    changes=20,
    failing=1,
    restarts=2,
    rack=2,
    day_s=20,
    zone_s=20,
    parted_s=20,
    held=5,
    cost_most=400,
)
MEASURED = {"spent", "longest"}


def options(sizes: Sizes) -> list[str]:
    found = []
    for each in fields(sizes):
        value = getattr(sizes, each.name)
        text = ",".join(value) if each.name == "scenes" else str(value)
        found += [f"--{each.name.replace('_', '-')}", text]
    return found


def start(folder: Path, sizes: Sizes) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "linnetstile.cli.main", "scale", *options(sizes), "--out", str(folder)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def play(sizes: Sizes, relay: int = 0, since_version: bool = False, world: World | None = None) -> Trace:
    return Hollow(world or scenarios.build(sizes), relay, since_version, lambda: False).play()


def told(trace: Trace) -> dict[str, Any]:
    return {each.name: getattr(trace, each.name) for each in fields(trace) if each.name not in MEASURED}


def test_a_tiny_run_plays_every_scene_and_hollow_and_real_agree(tmp_path: Path) -> None:
    process = start(tmp_path / "out", TINY)
    out, errors = process.communicate(timeout=120)
    assert process.returncode == 0, out + errors
    found = json.loads((tmp_path / "out" / "scale.json").read_text())
    first, compared = found["simulated"], found["compared"]
    assert (tmp_path / "out" / "scale.txt").read_text() == out
    assert first["relays_played"] == 10 and found["left_out"]["relays"] == 0 and first["lists_refused"] == 0
    assert [scene["scene"] for scene in first["scenes"]] == list(SCENES)
    by_name = {scene["scene"]: scene for scene in first["scenes"]}
    day = by_name["day"]
    assert day["changes"]["changes"] == 20 and day["changes"]["never"] == 0
    assert 150 < day["changes"]["in_force_ms"]["n"] <= 200
    assert day["starts"]["starts"] == 2 and by_name["zone"]["starts"]["starts"] == by_name["zone"]["relays_down"]
    for scene in first["scenes"]:
        assert scene["changes"]["later_than_bound"] == 0, scene["scene"]
        assert scene["cold"]["falls"] == 0, scene["cold"]
        assert scene["outages"]["learned"] <= scene["outages"]["pairs"]
        assert scene["counts"].get("calls_down", 0) <= scene["counts"]["calls"]
    assert by_name["zone"]["cold"]["returns"] == by_name["zone"]["outages"]["outages"] > 0
    hands = by_name["hands"]
    assert hands["starts"]["starts"] == hands["relays_down"] > 0
    assert hands["starts"]["found"] >= hands["relays_down"] * 8 * 5 == hands["starts"]["ended_ms"]["n"]
    assert compared["agrees"] and [row["what"] for row in compared["changes"]].count("gone") == 1
    assert all(row["real"] == row["hollow"] == [row["expected"]] for row in compared["changes"])
    assert compared["endpoints"] == [{"real": 200, "hollow": 200}] and len(compared["reopened"]) == 1
    assert found["telling"]["claim_bytes"] > 100 and found["forecast"]["backlog_resume_s"] > 0
    assert compared["sent_bytes"] > 2 * compared["list_bytes"] and compared["watches"] == 2
    assert [row["known"] for row in found["measured"]["costs"]] == [100, 200, 400]
    for name in ("in-force.png", "learned.png", "bounds.png"):
        assert (tmp_path / "out" / name).read_bytes().startswith(b"\x89PNG")


def test_a_seed_repeats_a_relay_and_another_does_not() -> None:
    one, two, other = (told(play(replace(TINY, seed=seed), 3)) for seed in (4, 4, 5))
    assert one == two != other


def test_the_whole_list_is_what_its_changes_make_of_the_first() -> None:
    world = scenarios.build(replace(TINY, changes=60))
    steps, at_once = Ears(), Ears()
    steps.hear(world.whole(1))
    for change in world.changes:
        steps.hear(change.line)
    at_once.hear(world.whole(len(world.changes) + 1))
    entries = [json.loads(change.line)["servers"] for change in world.changes]
    drained = {raw["id"] for rows in entries for raw in rows if raw["state"] == "DRAINING"}
    named = [{ears.name(n) for n in ears.directory} for ears in (steps, at_once)]
    assert named[0] - drained == named[1] - drained and len(named[1]) == world.cells
    assert len(world.after(5, 9)) == 4 and world.after(5, 9)[0].version == 6


def test_a_relay_that_was_parted_hears_what_it_missed() -> None:
    sizes = replace(TINY, scenes=("parted",), changes=86_400)
    world = scenarios.build(sizes)
    far = next(relay for relay in range(10) if world.region(relay) == 1)
    for since_version, wholes in ((False, 2), (True, 1)):
        trace = play(sizes, far, since_version, world)
        begin, end = world.silent[1][0]
        assert len(trace.heard) == len(world.changes) > 10
        assert all(at >= end for version, at in trace.heard.items() if world.changes[version - 2].at > begin)
        assert sum(n for what, n in trace.counts.items() if what.endswith(":wholes")) == wholes
    near = play(sizes, 0, False, world)
    assert sum(at < end for at in near.heard.values()) > 0 and len(near.heard) == len(world.changes)


def test_a_list_that_is_refused_is_offered_a_few_times_and_told(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuses(self: Ears, data: bytes) -> list[EndpointList]:
        raise ValueError("too long")

    monkeypatch.setattr(Ears, "hear", refuses)
    sizes = replace(TINY, scenes=("rack",))
    trace = play(sizes, 9)
    assert trace.refused == simulated_relay.REFUSALS and trace.known == 0 and not trace.heard
    assert not any(what.endswith(":calls") for what in trace.counts)
    found, _ = report.build(scenarios.build(sizes), Played([trace]), None)
    assert found["simulated"]["lists_refused"] == simulated_relay.REFUSALS and "lists refused 3" in report.text(found)
    assert "NO LIST" in report.text(found) and found["telling"] == {}


def test_what_the_time_does_not_allow_is_left_out_and_told() -> None:
    world = scenarios.build(TINY)
    trace = Hollow(world, 0, False, lambda: True).play()
    assert trace.cut
    found, _ = report.build(world, Played([trace, play(TINY, 1, world=world)]), None)
    assert found["left_out"] == {"relays": 9} and "LEFT OUT: 9 relays" in report.text(found)


def test_membership_notices_what_stays_away() -> None:
    world = scenarios.build(replace(TINY, scenes=("rack",)))
    found = members.play(world, lambda: False)
    (rack,) = found["scenes"]
    assert rack["pairs"] == 16 >= rack["noticed"] > 8 and rack["asks"] > 0 and found["cut_at_ms"] is None
    assert members.play(world, lambda: False) == found


@pytest.mark.parametrize(("met", "breaks"), [(12, 1), (11, 0)])  # of the 17 calls that fell it: 16.8 are allowed
def test_a_cold_destination_that_gets_too_much_is_counted(met: int, breaks: int) -> None:
    world = scenarios.build(replace(TINY, played=1, relays=2, rack=1, restarts=0, scenes=("zone",)))
    outage = [o for o in world.outages if o.destination in world.in_use][0]
    safety = world.settings(0).safety
    calls = [(outage.number, outage.end + n * 1e-3, n < met) for n in range(40)]
    trace = Trace(0, 0, cold=calls, met={outage.number})
    cold = report._cold(world, world.scenes[0], [trace], True)
    assert cold["worst"]["calls"] == 40 and cold["worst"]["by_relays_that_met_it"] == met
    assert cold["falls"] == 1 and cold["breaks"] == breaks and cold["worst"]["met_by"] == 1
    late = [(outage.number, outage.end + n * safety.overload_window_ms, True) for n in range(6)]
    assert report._cold(world, world.scenes[0], [Trace(0, 0, cold=late)], True)["falls"] == 0
    part, _ = report.build(world, Played([trace]), None)  # one relay of two: nothing is said of the fleet
    assert not part["simulated"]["scenes"][0]["cold"]["judged"] and "not judged" in report.text(part)
    assert not any("cold" in row["what"] for row in part["bounds"])
    assert part["simulated"]["scenes"][0]["control"]["largest_second_a_machine"] is None


@pytest.mark.parametrize(
    ("args", "expected"),
    [
        (["--relays", "1"], "--relays: expected a whole number from 2 to 2000, found 1"),
        (["--relays", "many"], "--relays: expected a whole number from 2 to 2000, found 'many'"),
        (["--destinations", "-5"], "--destinations: expected a whole number from 12 to 200000, found -5"),
        (["--seed", "1.5"], "--seed: expected a whole number from 0 to 2147483648, found '1.5'"),
        (["--minutes", "11"], "--minutes: expected a whole number from 1 to 10, found 11"),
        (["--real", "9"], "--real: expected a whole number from 0 to 8, found 9"),
        (["--relays", "50"], "--restarts: expected no more than --relays less --failing (48), found 84"),
        (["--played", "461"], "--played: expected no more than --relays (460), found 461"),
        (["--destinations", "12"], "--in-use: expected no more than --destinations (12), found 32"),
        (
            ["--scenes", "day,noon"],
            "--scenes: expected some of day,rack,zone,parted,hands, each once, found 'day,noon'",
        ),
        (["--scenes", ""], "--scenes: expected some of day,rack,zone,parted,hands, each once, found ''"),
        (["--scenes", "day,day"], "--scenes: expected some of day,rack,zone,parted,hands, each once, found 'day,day'"),
    ],
)
def test_a_bad_option_is_told_in_one_line(args: list[str], expected: str) -> None:
    done = CliRunner().invoke(main, ["scale", *args])
    assert done.exit_code == 2
    assert done.output == f"linnetstile scale: {expected}\n"


def test_a_folder_that_is_not_empty_is_left_alone(tmp_path: Path) -> None:
    (tmp_path / "mine").write_text("x")
    done = CliRunner().invoke(main, ["scale", "--out", str(tmp_path)])
    assert done.exit_code == 2 and "--out: expected a new or empty folder" in done.output
    assert [each.name for each in tmp_path.iterdir()] == ["mine"]


def test_hollow_and_real_that_differ_are_told_apart() -> None:
    row = {"expected": "port-1", "hollow": ["port-1", "port-1"], "real": ["port-1", "port-1"]}
    same = {"changes": [row], "endpoints": [{"real": 3, "hollow": 3}]}
    assert relay_process.agrees(same)
    for name in ("hollow", "real"):
        assert not relay_process.agrees({**same, "changes": [row, row | {name: ["port-1", "none"]}]})
    assert not relay_process.agrees({**same, "endpoints": [{"real": 2, "hollow": 3}]})


def test_a_real_relay_that_does_not_start_is_told_in_one_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sys, "executable", "/bin/false")
    done = CliRunner().invoke(main, ["scale", *options(TINY), "--out", str(tmp_path / "out")])
    assert done.exit_code == 3
    last = done.output.splitlines()[-1]
    assert last == "linnetstile scale: small did not start: it wrote nothing"


def test_a_process_that_has_drawn_another_world_ends_the_run() -> None:
    world, other = scenarios.build(TINY), scenarios.build(replace(TINY, seed=2))
    played = Played([Trace(0, world.mark()), Trace(3, other.mark())])
    with pytest.raises(Failed, match="relay 3 played another world"):
        played.check(world)
    played.traces.pop()
    played.check(scenarios.build(TINY))


@pytest.mark.parametrize("killed", [True, False])
def test_a_process_of_the_fleet_that_ends_ends_the_run(monkeypatch: pytest.MonkeyPatch, killed: bool) -> None:
    if not killed:
        monkeypatch.setattr(fleet, "MEMORY", fleet.SPARED + 4)  # bytes, for four processes
    played = Fleet(replace(TINY, destinations=20_000), False, 60.0, lambda line: None)
    processes = [process for _, process in played.pipes.values()]
    try:
        if killed:
            processes[-1].kill()
        with pytest.raises(Failed, match="ended by itself|more than"):
            played.play()
    finally:
        played.close()
    assert len(processes) == 4 and not any(process.is_alive() for process in processes)


def below(pid: int) -> set[int]:
    """The processes that a process has started, and theirs."""
    found: set[int] = set()
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields_ = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields_[1]) == pid:
            found |= {int(path.parent.name)} | below(int(path.parent.name))
    return found


@pytest.mark.parametrize(
    ("real", "line", "number"), [(1, "ready with", signal.SIGTERM), (0, "relays played", signal.SIGINT)]
)
def test_a_run_that_is_ended_leaves_no_process_behind(
    tmp_path: Path, real: int, line: str, number: signal.Signals
) -> None:
    process = start(tmp_path, replace(TINY, real=real, day_s=3_600, in_use=100))  # it would go on for long
    assert process.stderr is not None
    for text in process.stderr:
        if line in text:
            break
    children = below(process.pid)
    process.send_signal(number)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 128 + number and errors.endswith("linnetstile scale: ended; no report\n")
    assert len(children) >= 2
    until = time.monotonic() + 10.0
    while (left := {pid for pid in children if os.path.exists(f"/proc/{pid}")}) and time.monotonic() < until:
        time.sleep(0.02)
    assert not left
