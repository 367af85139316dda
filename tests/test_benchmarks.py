"""What the benchmarks share: child processes and latencies."""

from __future__ import annotations

import pytest

from benchmarks.as2_load import LatencyHistogram
from benchmarks.common import start_child
from benchmarks.pass_through import start_pass_through


def test_a_child_announces_its_port_and_ends_with_the_block() -> None:
    with start_pass_through(9) as child:
        assert child.port > 0
        assert child.ports == {}
    assert child.stop() >= 0.0  # a second time is harmless


def test_a_child_that_ends_without_an_announcement_is_an_error() -> None:
    with pytest.raises(RuntimeError, match=r"benchmarks\.pass_through has ended with 1"):
        start_child("pass_through", "no port")


def test_a_latency_is_given_in_rounded_milliseconds() -> None:
    latency = LatencyHistogram()
    assert latency.percentile_ms(99) == 0.0
    latency.record(0.01234)
    assert latency.percentile_ms(50) == 12.3
    assert latency.percentile_ms(50, digits=2) == pytest.approx(12.34, abs=0.02)
