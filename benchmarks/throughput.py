"""Throughput and added latency of one relay process, compared with a bare pass-through in the same run.

    python -m benchmarks.throughput [--seconds 6] [--connections 32] [--json FILE] [--profile FILE]

Three processes run: a sink that answers each request at once (with an AS2 receipt if asked for), the program under
test, and this one, which generates the load. The loop is closed: each connection has one message in flight. The
pass-through is a BufferedProtocol that copies bytes in both directions and parses nothing, the least work that any
relay in Python must do. The figure to compare is the ratio to it, not an absolute speed. The benchmark ends by itself.
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

WARM_UP_DIVISOR = 6
"""Latencies are not recorded in the first sixth of a run."""
ANSWER_TIMEOUT_S = 30
LISTED_RATE = 1e6
"""Rate in the registry entry, high enough that the relay never waits for it."""
CAPACITY = 10_000
MESSAGE_NUMBER_PLACEHOLDER = b"MARK"
"""Placeholder for the message number in the request template."""
LATENCY_DIGITS = 2


async def serve_sink(signed: bool, identity: cms.Identity) -> None:
    """Serve the sink, which answers each message at once.

    A signed receipt is made for each message, as it names the message.
    """
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
    """Answers to a load and their latencies.

    Attributes:
        delivered: Number of messages answered with status 200.
        not_delivered: Number of messages with another answer or none.
        elapsed_s: Duration of the load.
        latency: Latencies after the warm-up.
    """

    delivered: int
    not_delivered: int
    elapsed_s: float
    latency: LatencyHistogram

    @property
    def per_s(self) -> float:
        """Messages delivered per second."""
        return round(self.delivered / self.elapsed_s, 1)

    def to_json(self) -> dict[str, Any]:
        """The row of the result."""
        return {
            "per_s": self.per_s,
            "not_delivered": self.not_delivered,
            "p50_ms": self.latency.percentile_ms(50, LATENCY_DIGITS),
            "p99_ms": self.latency.percentile_ms(99, LATENCY_DIGITS),
            "messages": self.delivered,
        }


class ClosedLoop:
    """Connections that each have one message in flight at a time."""

    def __init__(self, port: int, receipt: bool) -> None:
        """Prepare messages to a loopback port; `receipt` says whether they ask for a receipt."""
        message = messages.build_message("s", "p", "<MARK@s>", MESSAGE_CLASS, BODY, receipt=receipt)
        self._template = encode_submission(message, f"127.0.0.1:{port}")
        self._client = RelayClient(port, ANSWER_TIMEOUT_S)
        self._message_numbers = itertools.count(time.time_ns())
        self._loop = asyncio.get_running_loop()
        self._latency = LatencyHistogram()
        self._delivered = 0
        self._not_delivered = 0

    async def run(self, seconds: float, connections: int) -> LoadResult:
        """Submit messages for `seconds`, over `connections` connections."""
        began = self._loop.time()
        end = began + seconds
        warm_up_end = began + seconds / WARM_UP_DIVISOR
        await asyncio.gather(*(self._submit_until(end, warm_up_end) for _ in range(connections)))
        self._client.close()
        return LoadResult(self._delivered, self._not_delivered, self._loop.time() - began, self._latency)

    async def _submit_until(self, end: float, warm_up_end: float) -> None:
        while self._loop.time() < end:
            sent_at = self._loop.time()
            number = b"%d" % next(self._message_numbers)
            answer = await self._client.call(self._template.replace(MESSAGE_NUMBER_PLACEHOLDER, number, 1))
            if answer.head and answer.head.status == 200:
                self._delivered += 1
            else:
                self._not_delivered += 1
            if sent_at > warm_up_end:
                self._latency.record(self._loop.time() - sent_at)


async def run_load(port: int, seconds: float, connections: int, receipt: bool) -> LoadResult:
    """Submit messages in a closed loop for `seconds`."""
    return await ClosedLoop(port, receipt).run(seconds, connections)


@dataclass(frozen=True, slots=True)
class Case:
    """The receipts that the messages of a run ask for.

    Attributes:
        name: Name of the case in the result.
        receipt: Whether a receipt is asked for.
        signed: Whether the receipt is signed.
    """

    name: str
    receipt: bool
    signed: bool


CASES = (Case("no receipt", False, False), Case("signed receipt", True, True))


@dataclass(frozen=True, slots=True)
class Options:
    """Parameters of the benchmark.

    Attributes:
        seconds: Length of each load.
        connections: Number of connections of the concurrent load.
        profile: File for a profile of the relay in the case without receipts; empty for none.
        identity: File with the partner's key and certificate.
    """

    seconds: float
    connections: int
    profile: str
    identity: str


async def measure_case(case: Case, options: Options) -> dict[str, Any]:
    """Put load on the sink, the pass-through and the relay, one after the other; returns the rows of a case."""
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
    """Put load on each of the three over all connections, then on pass-through and relay one message at a time."""
    seconds = options.seconds
    concurrent = {
        name: await run_load(child.port, seconds, options.connections, case.receipt)
        for name, child in (("direct", sink), ("pass-through", pass_through), ("relay", relay))
    }
    single_pass_through = await run_load(pass_through.port, seconds / 2, 1, case.receipt)
    single_relay = await run_load(relay.port, seconds / 2, 1, case.receipt)
    cpu_s = relay.stop()
    figures: dict[str, Any] = {name: load.to_json() for name, load in concurrent.items()}
    delivered = concurrent["relay"].delivered + single_relay.delivered
    figures["relay"]["cpu_us_a_message"] = round(1e6 * cpu_s / delivered)
    figures["share of pass-through"] = round(concurrent["relay"].per_s / concurrent["pass-through"].per_s, 3)
    figures["added, one message at a time"] = {
        f"p{percentile}_ms": _added_ms(single_relay, single_pass_through, percentile) for percentile in (50, 99)
    }
    return figures


def _added_ms(relay: LoadResult, pass_through: LoadResult, percentile: float) -> float:
    """What the relay adds to a percentile of the latency."""
    relay_ms = relay.latency.percentile_ms(percentile, LATENCY_DIGITS)
    return round(relay_ms - pass_through.latency.percentile_ms(percentile, LATENCY_DIGITS), LATENCY_DIGITS)


async def measure(options: Options) -> dict[str, Any]:
    """Measure all cases; returns the result by case."""
    return {case.name: await measure_case(case, options) for case in CASES}


def make_identity() -> str:
    """Write a key and a certificate of the partner to a new file; returns the file's name."""
    file = Path(tempfile.mkdtemp(prefix="linnetstile-bench-")) / "p.pem"
    file.write_bytes(cms.encode_identity(cms.generate_identity("p")))
    return str(file)


def main() -> None:
    """Run the benchmark, or the sink as its child process."""
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
