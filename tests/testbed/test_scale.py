"""Tests of a tiny scale run, its parts, invalid options and exit codes; they check no measured times."""

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
from linnetstile.testbed.scale import fleet, membership_simulation, report, scenarios, watch_simulation
from linnetstile.testbed.scale.comparison_result import ChangeResult, Comparison, EndpointCount
from linnetstile.testbed.scale.discovery_model import ChangeKind
from linnetstile.testbed.scale.errors import RunFailedError
from linnetstile.testbed.scale.fleet import Fleet, FleetResult
from linnetstile.testbed.scale.options import SCENARIOS, ScaleOptions
from linnetstile.testbed.scale.platform_model import PlatformModel
from linnetstile.testbed.scale.relay_process import ProcessMemory
from linnetstile.testbed.scale.report_text import format_report
from linnetstile.testbed.scale.simulated_relay import SimulatedRelay
from linnetstile.testbed.scale.slow_start_returns import evaluate_slow_starts
from linnetstile.testbed.scale.trace import RelayTrace, SlowStartCall
from linnetstile.testbed.scale.watch_reader import WatchReader
from linnetstile.testbed.scale.workload import region_of

TINY = ScaleOptions(
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
MEASURED_FIELDS = {"cpu_ns", "longest_list_turn_ns"}  # fields of a trace that differ from run to run


def arguments(options: ScaleOptions) -> list[str]:
    """Return the arguments of the command line for these options."""
    words: list[str] = []
    for option in fields(options):
        value = getattr(options, option.name)
        text = ",".join(value) if option.name == "scenes" else str(value)
        words.append(f"--{option.name.replace('_', '-')}")
        words.append(text)
    return words


def start_run(folder: Path, options: ScaleOptions) -> subprocess.Popen[str]:
    """Start a run in a child process."""
    return subprocess.Popen(
        [sys.executable, "-m", "linnetstile.cli.main", "scale", *arguments(options), "--out", str(folder)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def play_relay(
    options: ScaleOptions, relay: int = 0, resumes_by_version: bool = False, platform: PlatformModel | None = None
) -> RelayTrace:
    """Play one simulated relay to the end and return its trace."""
    return SimulatedRelay(platform or scenarios.build(options), relay, resumes_by_version, lambda: False).play()


def repeatable_fields(trace: RelayTrace) -> dict[str, Any]:
    """Return the fields of a trace that are the same in each run with the same seed."""
    return {field.name: getattr(trace, field.name) for field in fields(trace) if field.name not in MEASURED_FIELDS}


def test_a_tiny_run_plays_every_scenario_and_simulation_and_processes_agree(tmp_path: Path) -> None:
    process = start_run(tmp_path / "out", TINY)
    output, errors = process.communicate(timeout=120)
    assert process.returncode == 0, output + errors
    scale_report = json.loads((tmp_path / "out" / "scale.json").read_text())
    simulated = scale_report["simulated"]
    compared = scale_report["compared"]
    assert (tmp_path / "out" / "scale.txt").read_text() == output
    assert simulated["relays_played"] == 10
    assert scale_report["left_out"]["relays"] == 0
    assert simulated["lists_refused"] == 0
    assert [scenario["scene"] for scenario in simulated["scenes"]] == list(SCENARIOS)
    by_name = {scenario["scene"]: scenario for scenario in simulated["scenes"]}
    day = by_name["day"]
    assert day["changes"]["changes"] == 20
    assert day["changes"]["never"] == 0
    assert 150 < day["changes"]["in_force_ms"]["n"] <= 200
    assert day["starts"]["starts"] == 2
    assert by_name["zone"]["starts"]["starts"] == by_name["zone"]["relays_down"]
    for scenario in simulated["scenes"]:
        assert scenario["changes"]["later_than_bound"] == 0, scenario["scene"]
        assert scenario["cold"]["falls"] == 0, scenario["cold"]
        assert scenario["outages"]["learned"] <= scenario["outages"]["pairs"]
        assert scenario["counts"].get("calls_down", 0) <= scenario["counts"]["calls"]
    assert by_name["zone"]["cold"]["returns"] == by_name["zone"]["outages"]["outages"] > 0
    backlog_restart = by_name["hands"]
    starts = backlog_restart["starts"]
    assert starts["starts"] == backlog_restart["relays_down"] > 0
    assert starts["found"] >= backlog_restart["relays_down"] * 8 * 5 == starts["ended_ms"]["n"]
    assert compared["agrees"]
    assert [row["what"] for row in compared["changes"]].count("gone") == 1
    assert all(row["real"] == row["hollow"] == [row["expected"]] for row in compared["changes"])
    assert compared["endpoints"] == [{"real": 200, "hollow": 200}]
    assert len(compared["reopened"]) == 1
    assert scale_report["telling"]["claim_bytes"] > 100
    assert scale_report["forecast"]["backlog_resume_s"] > 0
    assert compared["sent_bytes"] > 2 * compared["list_bytes"]
    assert compared["watches"] == 2
    assert [row["known"] for row in scale_report["measured"]["costs"]] == [100, 200, 400]
    for name in ("in-force.png", "learned.png", "bounds.png"):
        assert (tmp_path / "out" / name).read_bytes().startswith(b"\x89PNG")


def test_the_same_seed_repeats_the_trace_of_a_relay_and_another_seed_does_not() -> None:
    first, second, other = (repeatable_fields(play_relay(replace(TINY, seed=seed), 3)) for seed in (4, 4, 5))
    assert first == second
    assert first != other


def endpoint_names(reader: WatchReader) -> set[str]:
    """Return the names of the endpoints that a reader knows."""
    return {reader.endpoint_name(number) for number in reader.directory}


def test_the_full_list_is_the_first_one_with_all_changes_applied() -> None:
    discovery = scenarios.build(replace(TINY, changes=60)).discovery
    reader_of_changes = WatchReader()
    reader_of_full_list = WatchReader()
    reader_of_changes.read(discovery.full_list(1))
    for change in discovery.changes:
        reader_of_changes.read(change.line)
    reader_of_full_list.read(discovery.full_list(len(discovery.changes) + 1))
    changed_lists = [json.loads(change.line)["servers"] for change in discovery.changes]
    drained = {entry["id"] for entries in changed_lists for entry in entries if entry["state"] == "DRAINING"}
    after_changes = endpoint_names(reader_of_changes)
    in_full_list = endpoint_names(reader_of_full_list)
    assert after_changes - drained == in_full_list - drained
    assert len(in_full_list) == discovery.destination_count
    assert len(discovery.changes_between(5, 9)) == 4
    assert discovery.changes_between(5, 9)[0].version == 6


def test_a_relay_gets_the_missed_changes_after_a_partition() -> None:
    options = replace(TINY, scenes=("parted",), changes=86_400)
    platform = scenarios.build(options)
    changes = platform.discovery.changes
    remote_relay = next(relay for relay in range(10) if region_of(relay) == 1)
    for resumes_by_version, full_lists in ((False, 2), (True, 1)):
        trace = play_relay(options, remote_relay, resumes_by_version, platform)
        partition = platform.discovery_outages[1][0]
        assert len(trace.in_force_ms) == len(changes) > 10
        late_versions = [change.version for change in changes if change.at_ms > partition.begin_ms]
        assert all(trace.in_force_ms[version] >= partition.end_ms for version in late_versions)
        assert sum(count for (_, name), count in trace.counts.items() if name == "wholes") == full_lists
    local_trace = play_relay(options, 0, False, platform)
    assert sum(at_ms < partition.end_ms for at_ms in local_trace.in_force_ms.values()) > 0
    assert len(local_trace.in_force_ms) == len(changes)


def test_a_rejected_list_is_offered_again_up_to_a_limit_and_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def reject_list(self: WatchReader, data: bytes) -> list[EndpointList]:
        raise ValueError("too long")

    monkeypatch.setattr(WatchReader, "read", reject_list)
    options = replace(TINY, scenes=("rack",))
    limit = watch_simulation.MAX_LISTS_REFUSED
    trace = play_relay(options, 9)
    assert trace.lists_refused == limit
    assert trace.endpoint_count == 0
    assert not trace.in_force_ms
    assert not any(name == "calls" for _, name in trace.counts)
    built_report, _ = report.build(scenarios.build(options), FleetResult([trace]), None)
    assert built_report["simulated"]["lists_refused"] == limit
    assert "lists refused 3" in format_report(built_report)
    assert "NO LIST" in format_report(built_report)
    assert built_report["telling"] == {}


def test_relays_beyond_the_time_limit_are_left_out_and_reported() -> None:
    platform = scenarios.build(TINY)
    trace = SimulatedRelay(platform, 0, False, lambda: True).play()
    assert trace.is_cut_short
    built_report, _ = report.build(platform, FleetResult([trace, play_relay(TINY, 1, platform=platform)]), None)
    assert built_report["left_out"] == {"relays": 9}
    assert "LEFT OUT: 9 relays" in format_report(built_report)


def test_membership_notices_relays_that_failed() -> None:
    platform = scenarios.build(replace(TINY, scenes=("rack",)))
    found = membership_simulation.play(platform, lambda: False)
    (rack,) = found.scenarios
    assert rack.pairs == 16 >= len(rack.noticed_after_ms) > 8
    assert rack.polls > 0
    assert found.cut_at_ms is None
    assert membership_simulation.play(platform, lambda: False) == found


# 16.8 calls are allowed, so the first window that overloads the destination has 17 calls. The rule is broken if over
# two thirds of these, at least 12, came from relays that had met the outage.
@pytest.mark.parametrize(("met", "breaks"), [(12, 1), (11, 0)])
def test_an_overload_during_a_slow_start_is_counted(met: int, breaks: int) -> None:
    platform = scenarios.build(replace(TINY, played=1, relays=2, rack=1, restarts=0, scenes=("zone",)))
    in_use = [outage for outage in platform.outages if outage.destination in platform.destinations_in_use]
    outage = in_use[0]
    safety = platform.settings(0).safety
    calls = [SlowStartCall(outage.number, outage.end_ms + n * 1e-3, n < met) for n in range(40)]
    trace = RelayTrace(0, 0, slow_start_calls=calls, outages_met={outage.number})
    slow_starts = evaluate_slow_starts(platform, in_use, [trace], is_whole_fleet=True)
    worst = slow_starts["worst"]
    assert worst is not None
    assert worst["calls"] == 40
    assert worst["by_relays_that_met_it"] == met
    assert slow_starts["falls"] == 1
    assert slow_starts["breaks"] == breaks
    assert worst["met_by"] == 1
    spread_calls = [SlowStartCall(outage.number, outage.end_ms + n * safety.overload_window_ms, True) for n in range(6)]
    spread_trace = RelayTrace(0, 0, slow_start_calls=spread_calls)
    assert evaluate_slow_starts(platform, in_use, [spread_trace], is_whole_fleet=True)["falls"] == 0
    # One simulated relay of two is too small a part for a judgement on the whole fleet.
    partial_report, _ = report.build(platform, FleetResult([trace]), None)
    (scenario,) = partial_report["simulated"]["scenes"]
    assert not scenario["cold"]["judged"]
    assert "not judged" in format_report(partial_report)
    assert not any("cold" in row["what"] for row in partial_report["bounds"])
    assert scenario["control"]["largest_second_a_machine"] is None


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
def test_an_invalid_option_is_reported_in_one_line(args: list[str], expected: str) -> None:
    result = CliRunner().invoke(main, ["scale", *args])
    assert result.exit_code == 2
    assert result.output == f"linnetstile scale: {expected}\n"


def test_a_folder_that_is_not_empty_is_rejected_and_not_changed(tmp_path: Path) -> None:
    (tmp_path / "existing").write_text("x")
    result = CliRunner().invoke(main, ["scale", "--out", str(tmp_path)])
    assert result.exit_code == 2
    assert "--out: expected a new or empty folder" in result.output
    assert [path.name for path in tmp_path.iterdir()] == ["existing"]


def test_a_comparison_in_which_models_and_processes_differ_does_not_agree() -> None:
    both, differing = ["port-1", "port-1"], ["port-1", "none"]
    row = ChangeResult(2, ChangeKind.REPLACED, "port-1", both, [0.0, 0.0], both, [1.0, 1.0])
    memory = ProcessMemory(0, 0)
    same = Comparison(2, 100, True, [EndpointCount(3, 3)], [], [], memory, changes=[row])
    assert same.agrees
    assert not replace(same, changes=[row, replace(row, models=differing)]).agrees
    assert not replace(same, changes=[row, replace(row, processes=differing)]).agrees
    assert not replace(same, endpoints=[EndpointCount(2, 3)]).agrees


def test_a_relay_process_that_does_not_start_is_reported_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sys, "executable", "/bin/false")
    result = CliRunner().invoke(main, ["scale", *arguments(TINY), "--out", str(tmp_path / "out")])
    assert result.exit_code == 3
    last_line = result.output.splitlines()[-1]
    assert last_line == "linnetstile scale: small did not become ready; end of its log: (empty)"


def test_a_worker_that_simulated_a_different_platform_ends_the_run() -> None:
    platform = scenarios.build(TINY)
    other = scenarios.build(replace(TINY, seed=2))
    fleet_result = FleetResult([RelayTrace(0, platform.fingerprint()), RelayTrace(3, other.fingerprint())])
    with pytest.raises(RunFailedError, match="relay 3 simulated a different platform"):
        fleet_result.check(platform)
    fleet_result.traces.pop()
    fleet_result.check(scenarios.build(TINY))


@pytest.mark.parametrize("killed", [True, False])
def test_a_worker_that_is_killed_or_exceeds_its_memory_limit_ends_the_run(
    monkeypatch: pytest.MonkeyPatch, killed: bool
) -> None:
    if not killed:
        monkeypatch.setattr(fleet, "MEMORY_BYTES", fleet.RESERVED_MEMORY_BYTES + 4)  # 1 byte for each of four workers
    running_fleet = Fleet(replace(TINY, destinations=20_000), False, 60.0, lambda line: None)
    processes = [worker.process for worker in running_fleet.workers.values()]
    try:
        if killed:
            processes[-1].kill()
        with pytest.raises(RunFailedError, match="exited before it had sent all results|more than"):
            running_fleet.play()
    finally:
        running_fleet.close()
    assert len(processes) == 4
    assert not any(process.is_alive() for process in processes)


def descendants(pid: int) -> set[int]:
    """Return the process identifiers of all children of a process, and of their descendants."""
    found: set[int] = set()
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields_after_name = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        parent_pid = int(fields_after_name[1])
        if parent_pid == pid:
            child_pid = int(path.parent.name)
            found.add(child_pid)
            found |= descendants(child_pid)
    return found


def running_processes(pids: set[int]) -> set[int]:
    """Return the identifiers of the processes that still exist."""
    return {pid for pid in pids if os.path.exists(f"/proc/{pid}")}


@pytest.mark.parametrize(
    ("real", "expected_progress", "signal_number"),
    [(1, "ready with", signal.SIGTERM), (0, "relays played", signal.SIGINT)],
)
def test_a_run_that_is_ended_by_a_signal_leaves_no_process_running(
    tmp_path: Path, real: int, expected_progress: str, signal_number: signal.Signals
) -> None:
    # This run is so long that the signal arrives before its end.
    process = start_run(tmp_path, replace(TINY, real=real, day_s=3_600, in_use=100))
    assert process.stderr is not None
    for line in process.stderr:
        if expected_progress in line:
            break
    children = descendants(process.pid)
    process.send_signal(signal_number)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 128 + signal_number
    assert errors.endswith("linnetstile scale: ended; no report\n")
    assert len(children) >= 2
    deadline = time.monotonic() + 10.0
    while running_processes(children) and time.monotonic() < deadline:
        time.sleep(0.02)
    assert not running_processes(children)
