"""Messages a second and added latency of one relay process, against a bare pass-through in the same run.

    python -m benchmarks.throughput [--seconds 6] [--connections 32] [--json FILE] [--profile FILE]

Three processes of their own: a sink that answers each request at once with a fixed AS2 receipt, the program under
test, and this one as the load. Closed loop: each connection has one message out. The pass-through is a BufferedProtocol
that copies bytes both ways and parses nothing, the least that any relay in Python must do. A ratio to it, and not an
absolute speed, is what is compared. Bounded: it stops by itself.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.as2_load import (
    BODY,
    MESSAGE_CLASS,
    LatencyHistogram,
    RelayClient,
    encode_submission,
    registry_entry,
    relay_settings,
    running_registry,
)
from benchmarks.common import CHILD_LIFETIME_S, ChildProcess, announce, argument_parser, print_result, start_child
from benchmarks.pass_through import start_pass_through
from benchmarks.relay_process import start_relay
from linnetstile.codec import cms, mdn
from linnetstile.emulators import messages
from linnetstile.net import server

WARM_UP_PART = 6
"""Latencies of the first sixth of a run don't count."""
ANSWER_TIMEOUT_S = 30
LISTED_RATE = 1e6
"""So high that the relay never waits for it."""
CAPACITY = 10_000
MESSAGE_ID_MARK = b"MARK"
"""In the template of a request, where the number of the message goes."""
LATENCY_DIGITS = 2


async def serve_sink(signed: bool, identity: cms.Identity) -> None:
    """Be the sink: it answers at once; a signed receipt is made once for each message, as each names its own."""
    mic = cms.digest(BODY, "sha-256")

    def answer(request: server.RequestContext) -> None:
        headers = request.head.headers
        if "disposition-notification-to" not in headers:
            request.reply(200)
            return
        receipt = mdn.Mdn(headers.get("message-id"), "p", mic=mic, micalg="sha-256")
        content_type, body = receipt.encode()
        if signed:
            content_type, body = cms.sign(f"Content-Type: {content_type}\r\n\r\n".encode() + body, identity)
        request.reply(200, [("Content-Type", content_type), ("AS2-From", "p"), ("AS2-To", "s")], body)

    listener = server.Server(answer)
    announce(await listener.start())
    await asyncio.sleep(CHILD_LIFETIME_S)


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What came back of a load.

    Attributes:
        delivered: Messages answered with 200.
        other: Other answers, and none.
        elapsed_s: Time that it took.
        latency: Of all but the first messages.
    """

    delivered: int
    other: int
    elapsed_s: float
    latency: LatencyHistogram

    @property
    def per_s(self) -> float:
        """Messages delivered in a second."""
        return round(self.delivered / self.elapsed_s, 1)

    def to_json(self) -> dict[str, Any]:
        """The row of the result."""
        return {
            "per_s": self.per_s,
            "not_delivered": self.other,
            "p50_ms": self.latency.percentile_ms(50, LATENCY_DIGITS),
            "p99_ms": self.latency.percentile_ms(99, LATENCY_DIGITS),
            "messages": self.delivered,
        }


class ClosedLoop:
    """Connections that each have one message out at a time."""

    def __init__(self, port: int, receipt: bool) -> None:
        """Prepare messages for a loopback port, which ask for a receipt or not."""
        message = messages.build_message("s", "p", "<MARK@s>", MESSAGE_CLASS, BODY, receipt=receipt)
        self._template = encode_submission(message, f"127.0.0.1:{port}")
        self._client = RelayClient(port, ANSWER_TIMEOUT_S)
        self._message_numbers = itertools.count(time.time_ns())
        self._loop = asyncio.get_running_loop()
        self._latency = LatencyHistogram()
        self._delivered = 0
        self._other = 0

    async def run(self, seconds: float, connections: int) -> LoadResult:
        """Submit messages for so long, from so many connections."""
        began = self._loop.time()
        end = began + seconds
        warm_at = began + seconds / WARM_UP_PART
        await asyncio.gather(*(self._submit_until(end, warm_at) for _ in range(connections)))
        self._client.close()
        return LoadResult(self._delivered, self._other, self._loop.time() - began, self._latency)

    async def _submit_until(self, end: float, warm_at: float) -> None:
        while self._loop.time() < end:
            sent_at = self._loop.time()
            number = b"%d" % next(self._message_numbers)
            answer = await self._client.call(self._template.replace(MESSAGE_ID_MARK, number, 1))
            if answer.head and answer.head.status == 200:
                self._delivered += 1
            else:
                self._other += 1
            if sent_at > warm_at:
                self._latency.record(self._loop.time() - sent_at)


async def run_load(port: int, seconds: float, connections: int, receipt: bool) -> LoadResult:
    """Submit messages in a closed loop for so long."""
    return await ClosedLoop(port, receipt).run(seconds, connections)


@dataclass(frozen=True, slots=True)
class Case:
    """What the messages of a run ask for.

    Attributes:
        name: Name in the result.
        receipt: A receipt is asked for.
        signed: The receipt is signed.
    """

    name: str
    receipt: bool
    signed: bool


CASES = (Case("no receipt", False, False), Case("signed receipt", True, True))


@dataclass(frozen=True, slots=True)
class Options:
    """What is measured, for how long.

    Attributes:
        seconds: Length of each load.
        connections: Of the load with all together.
        profile: File for a profile of the relay without receipts; empty = none.
        identity: File with the partner's key and certificate.
    """

    seconds: float
    connections: int
    profile: str
    identity: str


async def measure_case(case: Case, options: Options) -> dict[str, Any]:
    """Load on the sink, the pass-through and the relay, one after the other."""
    with (
        start_child("throughput", "--serve-sink", str(int(case.signed)), options.identity) as sink,
        start_pass_through(sink.port) as pass_through,
    ):
        entry = registry_entry(1, "p", sink.port, LISTED_RATE)
        async with running_registry([entry]) as registry_url:
            limits = {"slots": 4 * options.connections, "hold": CAPACITY}
            partners = {"p": {"certificate": options.identity}}
            settings = relay_settings(registry_url, aim_ms=5000, deadline_ms=20000, limits=limits, partners=partners)
            profile = options.profile if not case.signed else ""
            with await start_relay(settings, profile) as relay:
                return await _measure_all(case, options, sink, pass_through, relay)


async def _measure_all(
    case: Case, options: Options, sink: ChildProcess, pass_through: ChildProcess, relay: ChildProcess
) -> dict[str, Any]:
    """Load on each of the three with all connections, then one message at a time."""
    seconds = options.seconds
    together = {
        name: await run_load(child.port, seconds, options.connections, case.receipt)
        for name, child in (("direct", sink), ("pass-through", pass_through), ("relay", relay))
    }
    alone_through = await run_load(pass_through.port, seconds / 2, 1, case.receipt)
    alone_relay = await run_load(relay.port, seconds / 2, 1, case.receipt)
    cpu_s = relay.stop()
    found: dict[str, Any] = {name: load.to_json() for name, load in together.items()}
    delivered = together["relay"].delivered + alone_relay.delivered
    found["relay"]["cpu_us_a_message"] = round(1e6 * cpu_s / delivered)
    found["share of pass-through"] = round(together["relay"].per_s / together["pass-through"].per_s, 3)
    found["added, one message at a time"] = {
        f"p{percentile}_ms": _added_ms(alone_relay, alone_through, percentile) for percentile in (50, 99)
    }
    return found


def _added_ms(relay: LoadResult, pass_through: LoadResult, percentile: float) -> float:
    """What the relay adds to a percentile of the latency."""
    relay_ms = relay.latency.percentile_ms(percentile, LATENCY_DIGITS)
    return round(relay_ms - pass_through.latency.percentile_ms(percentile, LATENCY_DIGITS), LATENCY_DIGITS)


async def measure(options: Options) -> dict[str, Any]:
    """All cases."""
    return {case.name: await measure_case(case, options) for case in CASES}


def make_identity() -> str:
    """Write a key and certificate of the partner to a new file; returns its name."""
    file = Path(tempfile.mkdtemp(prefix="linnetstile-bench-")) / "p.pem"
    file.write_bytes(cms.encode_identity(cms.make_identity("p")))
    return str(file)


def main() -> None:
    """Run the benchmark, or be its sink."""
    if sys.argv[1:2] == ["--serve-sink"]:
        asyncio.run(serve_sink(sys.argv[2] == "1", cms.load_identity(Path(sys.argv[3]).read_bytes())))
        return
    parser = argument_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--profile", default="")
    args = parser.parse_args()
    options = Options(args.seconds, args.connections, args.profile, make_identity())
    print_result(asyncio.run(measure(options)), args.json)


if __name__ == "__main__":
    main()
