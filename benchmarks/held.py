"""Memory of one relay process for each message that it holds.

    python -m benchmarks.held [--messages 10000] [--bytes 700] [--json FILE]

The only endpoint of the partner drains, so that what is handed in is held; the clients asked for their receipts at an
address of their own, so that no connection stays open for each. Bounded: it stops once all are taken.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from benchmarks.common import child, end, parser, resident_mb, tell
from linnetstile.codec import http1
from linnetstile.emulators import messages
from linnetstile.emulators.registry import RegisterSpec, RegisterStand
from linnetstile.net import client


async def measure(count: int, size: int) -> dict[str, Any]:
    entry = {"id": 1, "partner": "p", "url": "http://127.0.0.1:9/as2", "status": "draining", "rate": 10.0}
    register = RegisterStand(RegisterSpec(entries=[entry]))
    settings = {
        "name": "r",
        "register": f"http://127.0.0.1:{await register.start()}",
        "rules": [{"class": "a"}],
        "classes": {"a": {"effect": "safe", "aim_ms": 500_000, "deadline_ms": 600_000}},
        "limits": {"slots": 64, "hold": 4 * count},
    }
    relay, port = await asyncio.get_running_loop().run_in_executor(
        None, child, "throughput", "--serve-relay", json.dumps(settings), ""
    )
    pool, loop = client.Pool(), asyncio.get_running_loop()
    numbers, taken = iter(range(count)), 0

    async def hand_in() -> None:
        nonlocal taken
        for n in numbers:
            made = messages.make("s", "p", f"<{n}@s>", "a", b"x" * size, reply_to="http://127.0.0.1:9/r")
            done: asyncio.Future[client.Answer] = loop.create_future()
            data = http1.request("POST", "/as2", [("Host", "r"), *made.headers], made.body)
            pool.call(("127.0.0.1", port), "POST", data, done.set_result, loop.time() + 30)
            answer = await done
            taken += answer.head is not None and answer.head.status == 202

    before = resident_mb(relay.pid)
    marks = []
    start = loop.time()
    for part in range(4):
        goal = count * (part + 1) // 4
        numbers = iter(range(count * part // 4, goal))
        await asyncio.gather(*(hand_in() for _ in range(16)))
        marks.append({"held": taken, "resident_mb": round(resident_mb(relay.pid), 1)})
    took = loop.time() - start
    pool.close()
    end(relay)
    register.close()
    grown = marks[-1]["resident_mb"] - before
    return {
        "messages": taken,
        "body_bytes": size,
        "before_mb": round(before, 1),
        "marks": marks,
        "kb_a_message": round(1024 * grown / max(1, taken), 2),
        "taken_per_s": round(taken / took),
    }


def main() -> None:
    made = parser(__doc__)
    made.add_argument("--messages", type=int, default=10_000)
    made.add_argument("--bytes", type=int, default=700)
    args = made.parse_args()
    tell(asyncio.run(measure(args.messages, args.bytes)), args.json)


if __name__ == "__main__":
    main()
