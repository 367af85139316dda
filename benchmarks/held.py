"""Memory of one relay process for each pending message.

    python -m benchmarks.held [--messages 10000] [--bytes 700] [--json FILE]

The only endpoint of the partner drains, so that what is submitted stays pending; the clients asked for their receipts
at an address of their own, so that no connection stays open for each. Bounded: it stops once all are accepted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from benchmarks.common import argument_parser, print_result, resident_mb, start_relay, stop_child
from linnetstile.codec import http1
from linnetstile.emulators import messages
from linnetstile.emulators.registry import RegistryEmulator, RegistrySpec
from linnetstile.net import client

PARTS = 4
"""Memory is read after each part of the messages."""
CLIENTS = 16
ANSWER_TIMEOUT_S = 30
ACCEPTED = 202


def relay_settings(register: str, messages: int) -> dict[str, Any]:
    """Settings of a relay that has capacity for so many pending messages."""
    return {
        "name": "r",
        "register": register,
        "rules": [{"class": "a"}],
        "classes": {"a": {"effect": "safe", "aim_ms": 500_000, "deadline_ms": 600_000}},
        "limits": {"slots": 64, "hold": 4 * messages},
    }


class Submitter:
    """Clients that submit messages of one size.

    Attributes:
        accepted: Messages that the relay has accepted.
    """

    def __init__(self, port: int, body_bytes: int) -> None:
        """Prepare clients of a relay on a loopback port."""
        self.port, self.body_bytes = port, body_bytes
        self.pool = client.ConnectionPool()
        self.accepted = 0

    async def submit_all(self, numbers: Iterable[int]) -> None:
        """Submit a message for each number, from several clients at once."""
        remaining = iter(numbers)
        await asyncio.gather(*(self._submit_each(remaining) for _ in range(CLIENTS)))

    async def _submit_each(self, numbers: Iterable[int]) -> None:
        loop = asyncio.get_running_loop()
        for number in numbers:
            body = b"x" * self.body_bytes
            message = messages.build_message("s", "p", f"<{number}@s>", "a", body, reply_to="http://127.0.0.1:9/r")
            done: asyncio.Future[client.CallResult] = loop.create_future()
            data = http1.encode_request("POST", "/as2", [("Host", "r"), *message.headers], message.body)
            timeout_at = loop.time() + ANSWER_TIMEOUT_S
            self.pool.call(("127.0.0.1", self.port), "POST", data, done.set_result, timeout_at)
            answer = await done
            self.accepted += answer.head is not None and answer.head.status == ACCEPTED


async def measure(count: int, body_bytes: int) -> dict[str, Any]:
    """Submit so many messages of a size to a relay, and read its memory."""
    entry = {"id": 1, "partner": "p", "url": "http://127.0.0.1:9/as2", "status": "draining", "rate": 10.0}
    register = RegistryEmulator(RegistrySpec(entries=[entry]))
    settings = relay_settings(f"http://127.0.0.1:{await register.start()}", count)
    relay, port = await start_relay(settings)
    submitter, loop = Submitter(port, body_bytes), asyncio.get_running_loop()
    before_mb = resident_mb(relay.pid)
    marks = []
    began = loop.time()
    for part in range(PARTS):
        await submitter.submit_all(range(count * part // PARTS, count * (part + 1) // PARTS))
        marks.append({"held": submitter.accepted, "resident_mb": round(resident_mb(relay.pid), 1)})
    elapsed_s = loop.time() - began
    submitter.pool.close()
    stop_child(relay)
    register.close()
    grown_mb = marks[-1]["resident_mb"] - before_mb
    return {
        "messages": submitter.accepted,
        "body_bytes": body_bytes,
        "before_mb": round(before_mb, 1),
        "marks": marks,
        "kb_a_message": round(1024 * grown_mb / max(1, submitter.accepted), 2),
        "taken_per_s": round(submitter.accepted / elapsed_s),
    }


def main() -> None:
    """Run the benchmark."""
    parser = argument_parser(__doc__)
    parser.add_argument("--messages", type=int, default=10_000)
    parser.add_argument("--bytes", type=int, default=700)
    args = parser.parse_args()
    print_result(asyncio.run(measure(args.messages, args.bytes)), args.json)


if __name__ == "__main__":
    main()
