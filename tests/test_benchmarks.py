"""Shared parts of the benchmarks (child processes, platform emulator, latencies), and the structures for deadlines."""

from __future__ import annotations

import pytest

from benchmarks.as2_load import LatencyHistogram
from benchmarks.common import start_child
from benchmarks.pass_through import start_pass_through
from benchmarks.slopes.inside import discovery_entry
from benchmarks.slopes.platform_commands import (
    ChangeEntries,
    Command,
    CutWatches,
    GetCounts,
    GetFirstCalls,
    SetList,
    TrackCalls,
    decode_command,
    encode_command,
)
from benchmarks.slopes.processes import PlatformProcess
from benchmarks.timers import compare_deadlines

ENTRY = discovery_entry(0, 0, "127.0.0.1:9")


def test_a_child_announces_its_port_and_ends_with_the_block() -> None:
    with start_pass_through(9) as child:
        assert child.port > 0
        assert child.ports == {}
    assert child.stop() >= 0.0  # stopping it again has no effect


def test_a_child_that_ends_without_an_announcement_is_an_error() -> None:
    with pytest.raises(RuntimeError, match=r"benchmarks\.pass_through ended with exit code 1 before its announcement"):
        start_child("pass_through", "no port")


@pytest.mark.parametrize(
    "command",
    [
        SetList(2, 1, 20.0, "127.0.0.1:9", [ENTRY]),
        ChangeEntries([ENTRY]),
        CutWatches([]),
        TrackCalls(True),
        GetFirstCalls(),
        GetCounts(),
    ],
    ids=lambda command: type(command).__name__,
)
def test_a_command_to_the_platform_emulator_is_unchanged_by_encoding(command: Command) -> None:
    assert decode_command(encode_command(command)) == command


def test_the_platform_emulator_answers_each_command() -> None:
    with PlatformProcess() as platform:
        list_bytes = platform.set_list(3, changed=[ENTRY | {"state": "DRAINING"}])
        assert list_bytes > 0
        sent = platform.change([ENTRY])
        assert 0 < sent.size_bytes < list_bytes
        platform.cut_watches([ENTRY])
        platform.track_calls(True)
        assert platform.first_calls() == {}
        counts = platform.counts()
        assert (counts.full_lists, counts.full_list_bytes, counts.calls) == (0, 0, 0)


def test_a_latency_is_given_in_rounded_milliseconds() -> None:
    latency = LatencyHistogram()
    assert latency.percentile_ms(99) == 0.0
    latency.record(0.01234)
    assert latency.percentile_ms(50) == 12.3
    assert latency.percentile_ms(50, digits=2) == pytest.approx(12.34, abs=0.02)


def test_structures_for_few_deadlines_have_a_ratio_to_the_plain_one() -> None:
    rows = compare_deadlines(100, 1.0)  # so few that the linear scan's time is rounded to 0.000 s
    assert [row["structure"] for row in rows] == ["plain", "heap", "wheel", "handles"]
    assert rows[0]["against_plain"] == 1.0


def test_structures_expire_the_same_connections() -> None:
    rows = compare_deadlines(1000, 15.0)
    plain, heap, wheel, _ = (row["let_go"] for row in rows)
    assert plain == heap == wheel > 0
