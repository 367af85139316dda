"""Memory of one relay process for each pending message.

    python -m benchmarks.held [--messages 10000] [--bytes 700] [--json FILE]

The partner's only endpoint is draining, so that submitted messages stay pending. The clients ask for asynchronous
receipts, so that no connection stays open for a pending message. The benchmark ends once all messages are accepted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from benchmarks.as2_load import (
    MESSAGE_CLASS,
    RelayClient,
    encode_submission,
    registry_entry,
    relay_settings,
    running_registry,
)
from benchmarks.common import argument_parser, print_result, resident_mb
from benchmarks.relay_process import start_relay
from linnetstile.emulators import messages

PARTS = 4
"""Number of parts in which the messages are submitted; memory is read after each part."""
CLIENTS = 16
ANSWER_TIMEOUT_S = 30
ACCEPTED = 202
DISCARD_PORT = 9
"""Port without a listener, for the endpoint and the receipt address: the relay calls neither."""
RECEIPT_URL = f"http://127.0.0.1:{DISCARD_PORT}/r"
OBJECTIVE_MS = 500_000
DEADLINE_MS = 600_000
CAPACITY_FACTOR = 4
"""The relay's limit as a multiple of the number of messages, so that it sheds none."""


class Submitter:
    """Clients that submit messages of one size.

    Attributes:
        accepted: Messages that the relay has accepted.
    """

    def __init__(self, port: int, body_bytes: int) -> None:
        """Prepare clients of a relay on a loopback port."""
        self.body_bytes = body_bytes
        self.accepted = 0
        self._client = RelayClient(port, ANSWER_TIMEOUT_S)

    async def submit_all(self, numbers: Iterable[int]) -> None:
        """Submit a message for each number, from several clients at once."""
        remaining = iter(numbers)
        await asyncio.gather(*(self._submit_in_turn(remaining) for _ in range(CLIENTS)))

    async def _submit_in_turn(self, numbers: Iterable[int]) -> None:
        body = b"x" * self.body_bytes
        for number in numbers:
            message = messages.build_message("s", "p", f"<{number}@s>", MESSAGE_CLASS, body, reply_to=RECEIPT_URL)
            answer = await self._client.call(encode_submission(message))
            self.accepted += answer.head is not None and answer.head.status == ACCEPTED

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


async def measure(count: int, body_bytes: int) -> dict[str, Any]:
    """Submit `count` messages of one size to a relay, and measure its memory."""
    entry = registry_entry(1, "p", DISCARD_PORT, rate=10.0, status="draining")
    limits = {"slots": 64, "hold": CAPACITY_FACTOR * count}
    async with running_registry([entry]) as registry_url:
        settings = relay_settings(registry_url, aim_ms=OBJECTIVE_MS, deadline_ms=DEADLINE_MS, limits=limits)
        with await start_relay(settings) as relay:
            submitter = Submitter(relay.port, body_bytes)
            figures = await _submit_in_parts(submitter, relay.pid, count)
            submitter.close()
    return {"messages": submitter.accepted, "body_bytes": body_bytes, **figures}


async def _submit_in_parts(submitter: Submitter, relay_pid: int, count: int) -> dict[str, Any]:
    """Submit `count` messages; returns the relay's memory after each part, and its growth per message."""
    loop = asyncio.get_running_loop()
    before_mb = resident_mb(relay_pid)
    marks = []
    began = loop.time()
    for part in range(PARTS):
        await submitter.submit_all(range(count * part // PARTS, count * (part + 1) // PARTS))
        marks.append({"held": submitter.accepted, "resident_mb": round(resident_mb(relay_pid), 1)})
    elapsed_s = loop.time() - began
    grown_mb = marks[-1]["resident_mb"] - before_mb
    return {
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
