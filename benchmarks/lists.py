"""What a list of endpoints and its changes cost a relay, and a message beside it, at 20, 300 and 1,024 endpoints.

    python -m benchmarks.lists [--rounds 5] [--json FILE]

In microseconds of one run (the best of `--rounds`), and as ratios to the first size: reading the list's JSON, taking it
into the directory, the module's turn for the whole list, for one change, and for a list that has lost half of it; then
a message with its answer. One process, no I/O.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import TypeVar

from benchmarks.common import parser, tell
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import AttemptEnded, Endpoint, EndpointList, EndpointStatus, ListKind, Message, Outcome
from linnetstile.engine.settings import DestinationKind, Effect, MessageClass, RateTrust, Settings
from linnetstile.platform_relay.directory import Directory

T = TypeVar("T")
SIZES = (20, 300, 1024)
MESSAGES = 300


def settings(relays: int) -> Settings:
    message_class = MessageClass("order", Effect.DEDUPLICATED, 4000.0, 12000.0, deduplication_window_ms=3000.0)
    return Settings(
        (message_class,), (DestinationKind("k"),), 8, 40, 8, relay_count=relays, rate_trust=RateTrust.NOMINAL
    )


def told(first: int, size: int) -> str:
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
                    "cell": number // 2,
                    "state": "SERVING",
                    "weight": 20.0,
                    "started_ms": 0,
                }
                for number in range(first, size)
            ],
        }
    )


def once(size: int) -> dict[str, float]:
    """Microseconds of each step."""
    took: dict[str, float] = {}

    def timed(name: str, step: Callable[[], T], times: int = 1) -> T:
        began = time.perf_counter()
        found = step()
        took[name] = (time.perf_counter() - began) * 1e6 / times
        return found

    relay, directory = DeliveryEngine(settings(size), 1), Directory(("k",), ("a",))
    text = told(0, size)
    raw = timed("json", lambda: json.loads(text))
    whole = timed("directory", lambda: directory.take(raw))
    assert whole is not None
    timed("whole", lambda: relay.handle(0.0, [whole]))
    change = EndpointList(ListKind.CHANGES, (Endpoint(1, 0, EndpointStatus.DRAINING),))
    timed("change", lambda: relay.handle(1.0, [change]))
    half = directory.take(json.loads(told(size // 2, size)))
    assert half is not None
    timed("half_leave", lambda: relay.handle(2.0, [half]))
    cells = sorted({entry.destination for entry in half.endpoints})

    def messages() -> None:
        for number in range(MESSAGES):
            now = 10.0 + number
            relay.handle(now, [Message(number, cells[number % len(cells)], 0, 9000.0)])
            relay.handle(now + 0.5, [AttemptEnded(number, 0, 0, Outcome.OK, 1.0, True)])

    timed("message", messages, MESSAGES)
    return took


def main() -> int:
    arguments = parser(__doc__)
    arguments.add_argument("--rounds", type=int, default=5)
    args = arguments.parse_args()
    found = {}
    for size in SIZES:
        rounds = [once(size) for _ in range(args.rounds)]
        found[size] = {step: min(each[step] for each in rounds) for step in rounds[0]}
    result = {
        "microseconds": {size: {step: round(us, 1) for step, us in each.items()} for size, each in found.items()},
        "ratios": {
            size: {step: round(us / found[SIZES[0]][step], 2) for step, us in each.items()}
            for size, each in found.items()
        },
    }
    tell(result, args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
