"""Processing cost of an endpoint list, of its changes and of a message, at 20, 300 and 1,024 endpoints.

    python -m benchmarks.lists [--rounds 5] [--json FILE]

The result has the time of each step in microseconds (the best of `--rounds`), and its ratio to the time at the smallest
size. The steps are parsing the list's JSON, applying it to the directory, and the engine's turns for the full list, for
one change, for a list that lacks half of the endpoints, and for a message with its answer. One process, no I/O.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import TypeVar

from benchmarks.common import argument_parser, print_result
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import AttemptEnded, Endpoint, EndpointList, EndpointStatus, ListKind, Message, Outcome
from linnetstile.engine.settings import DestinationKind, Effect, MessageClass, RateTrust, Settings
from linnetstile.platform_relay.directory import Directory

Result = TypeVar("Result")
LIST_SIZES = (20, 300, 1024)
MESSAGES = 300
ENDPOINTS_PER_DESTINATION = 2
US_PER_S = 1e6


def settings(relays: int) -> Settings:
    """Engine settings of one relay in a fleet of `relays`."""
    message_class = MessageClass("order", Effect.DEDUPLICATED, 4000.0, 12000.0, deduplication_window_ms=3000.0)
    return Settings(
        classes=(message_class,),
        kinds=(DestinationKind("k"),),
        max_in_flight=8,
        max_pending_messages=40,
        max_attempts=8,
        relay_count=relays,
        rate_trust=RateTrust.NOMINAL,
    )


def list_document(first: int, end: int) -> str:
    """The full list of the endpoints from `first` up to, but not including, `end`, as discovery sends it."""
    return json.dumps(
        {
            "version": 1,
            "full": True,
            "servers": [
                {
                    "id": f"s-{number:08x}",
                    "addr": f"10.1.{number >> 8}.{number & 255}:3000",
                    "zone": "a",
                    "kind": "k",
                    "cell": number // ENDPOINTS_PER_DESTINATION,
                    "state": "SERVING",
                    "weight": 20.0,
                    "started_ms": 0,
                }
                for number in range(first, end)
            ],
        }
    )


class StepTimer:
    """Measures the wall time of named steps, in microseconds."""

    def __init__(self) -> None:
        self.elapsed_us: dict[str, float] = {}

    def time(self, name: str, step: Callable[[], Result], times: int = 1) -> Result:
        """Run a step and record its time divided by `times`, the repetitions within it; returns its result."""
        began = time.perf_counter()
        result = step()
        self.elapsed_us[name] = (time.perf_counter() - began) * US_PER_S / times
        return result


def measure_once(size: int) -> dict[str, float]:
    """Microseconds of each step with a list of `size` endpoints."""
    timer = StepTimer()
    engine = DeliveryEngine(settings(size), 1)
    directory = Directory(("k",), ("a",))
    text = list_document(0, size)
    document = timer.time("json", lambda: json.loads(text))
    full_list = timer.time("directory", lambda: directory.apply_list(document))
    assert full_list is not None
    timer.time("whole", lambda: engine.handle(0.0, [full_list]))
    change = EndpointList(ListKind.CHANGES, (Endpoint(1, 0, EndpointStatus.DRAINING),))
    timer.time("change", lambda: engine.handle(1.0, [change]))
    half = directory.apply_list(json.loads(list_document(size // 2, size)))
    assert half is not None
    timer.time("half_leave", lambda: engine.handle(2.0, [half]))
    destinations = sorted({entry.destination for entry in half.endpoints})

    def deliver_all() -> None:
        for number in range(MESSAGES):
            now_ms = 10.0 + number
            engine.handle(now_ms, [Message(number, destinations[number % len(destinations)], 0, 9000.0)])
            engine.handle(now_ms + 0.5, [AttemptEnded(number, 0, 0, Outcome.OK, 1.0, True)])

    timer.time("message", deliver_all, MESSAGES)
    return timer.elapsed_us


def main() -> None:
    """Run the benchmark."""
    parser = argument_parser(__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    best = {}
    for size in LIST_SIZES:
        rounds = [measure_once(size) for _ in range(args.rounds)]
        best[size] = {step: min(measured[step] for measured in rounds) for step in rounds[0]}
    smallest = best[LIST_SIZES[0]]
    result = {
        "microseconds": {size: _rounded(steps, 1) for size, steps in best.items()},
        "ratios": {size: _rounded(_ratios(steps, smallest), 2) for size, steps in best.items()},
    }
    print_result(result, args.json)


def _ratios(steps: dict[str, float], base: dict[str, float]) -> dict[str, float]:
    return {step: elapsed_us / base[step] for step, elapsed_us in steps.items()}


def _rounded(steps: dict[str, float], digits: int) -> dict[str, float]:
    return {step: round(value, digits) for step, value in steps.items()}


if __name__ == "__main__":
    main()
