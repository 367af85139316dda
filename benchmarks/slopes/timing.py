"""Processor time of a step, and the reference loop that makes processor times of different machines comparable."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from benchmarks.slopes.series import Measurements

REFERENCE_LOOP = "reference_loop_us"
"""Name of the quantity that is added to the measurements of every point."""
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
    """Measure the processor time of one reference loop in microseconds, as the minimum over `REFERENCE_ROUNDS`.

    The loop measures the machine, not the program. Like the program, it mostly accesses attributes and dicts.
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
    """Measure a point, and add the faster of two reference loops that run right before and after it."""
    before = reference_loop_us()
    measurements = measure()
    return measurements | {REFERENCE_LOOP: min(before, reference_loop_us())}


def processor_time_us(step: Callable[[], Any], rounds: int = 1) -> float:
    """Measure the processor time of a step in microseconds, as the minimum over `rounds`."""
    best = float("inf")
    for _ in range(rounds):
        started_at = time.process_time()
        step()
        best = min(best, time.process_time() - started_at)
    return best * US_PER_S
