"""Processor time of a step, and the calibration loop that makes times of different machines comparable."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from benchmarks.slopes.series import Measurements

REFERENCE_LOOP = "reference_loop_us"
"""Name of the quantity that every point has beside its own."""
REFERENCE_ROUNDS = 25
REFERENCE_ITEMS = 2000
REFERENCE_STEPS = 20_000
US_PER_S = 1e6


class _Item:
    def __init__(self) -> None:
        self.value = 0.0

    def add(self, amount: float) -> None:
        self.value += amount


def reference_loop_us() -> float:
    """Processor time of one calibration loop in microseconds, the best of some rounds.

    Its work is attribute and dict access in Python, as the program's is. It measures the machine, not the program.
    """
    best = float("inf")
    for _ in range(REFERENCE_ROUNDS):
        started_at = time.process_time()
        items = {number: _Item() for number in range(REFERENCE_ITEMS)}
        for number in range(REFERENCE_STEPS):
            items[number % REFERENCE_ITEMS].add(number * 0.5)
        best = min(best, time.process_time() - started_at)
    return best * US_PER_S


def with_reference_loop(measure: Callable[[], Measurements]) -> Measurements:
    """A point with the calibration loop right before and after it."""
    before = reference_loop_us()
    measurements = measure()
    return measurements | {REFERENCE_LOOP: min(before, reference_loop_us())}


def processor_time_us(step: Callable[[], Any], rounds: int = 1) -> float:
    """Processor time of a step in microseconds, the best of some rounds."""
    best = float("inf")
    for _ in range(rounds):
        started_at = time.process_time()
        step()
        best = min(best, time.process_time() - started_at)
    return best * US_PER_S
