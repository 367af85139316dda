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
import json
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

from hdrh.histogram import HdrHistogram

from benchmarks.common import (
    CHILD_LIFETIME_S,
    argument_parser,
    print_result,
    start_child_with_port,
    start_relay,
    stop_child,
)
from linnetstile.codec import cms, http1, mdn
from linnetstile.config.relay import RelaySettings
from linnetstile.emulators import messages
from linnetstile.emulators.registry import RegistryEmulator, RegistrySpec
from linnetstile.net import client, server

CONTENT = b"ISA*00~" * 100
READ_BYTES = 65536
HISTOGRAM_RANGE = 1, 60_000_000, 3
"""Least and largest value in microseconds, significant digits."""
WARM_UP_PART = 6
"""Latencies of the first sixth of a run don't count."""
ANSWER_TIMEOUT_S = 30
REGISTRY_POLL_S = 0.01
PROFILE_ROWS = 25


class PassThroughProtocol(asyncio.BufferedProtocol):
    """One side of the pass-through."""

    def __init__(self, to: tuple[str, int] | None) -> None:
        """The side of the client connects to an address; the other side has none."""
        self.to = to
        self.other: PassThroughProtocol | None = None
        self.early: list[bytes] = []  # what came before the other side was connected
        self.buffer = memoryview(bytearray(READ_BYTES))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the other side."""
        self.transport = cast(asyncio.Transport, transport)
        if self.to:
            asyncio.get_running_loop().create_task(self.connect(self.to))

    async def connect(self, to: tuple[str, int]) -> None:
        """Connect the other side, and send it what came before."""
        _, self.other = await asyncio.get_running_loop().create_connection(lambda: PassThroughProtocol(None), *to)
        self.other.other = self
        for data in self.early:
            self.other.transport.write(data)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next read."""
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy what came to the other side."""
        if self.other:
            self.other.transport.write(bytes(self.buffer[:nbytes]))
        else:
            self.early.append(bytes(self.buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side."""
        if self.other:
            self.other.transport.close()


def announce(port: int) -> None:
    """Print the port of a child, for the process that has started it."""
    print(json.dumps({"port": port}), flush=True)


async def serve_pass_through(to: tuple[str, int]) -> None:
    """Be the pass-through to an address."""
    listener = await asyncio.get_running_loop().create_server(
        lambda: PassThroughProtocol(to), "127.0.0.1", 0, backlog=1024
    )
    announce(listener.sockets[0].getsockname()[1])
    await asyncio.sleep(CHILD_LIFETIME_S)


async def serve_sink(signed: bool, identity: cms.Identity) -> None:
    """Be the sink: it answers at once; a signed receipt is made once for each message, as each names its own."""
    mic = cms.digest(CONTENT, "sha-256")

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


async def serve_relay(settings: str, profile: str) -> None:
    """Be an AS2 relay until SIGTERM; with a file for it, write a profile."""
    from linnetstile.as2_relay.relay import As2Relay
    from linnetstile.telemetry.log import logger

    service = As2Relay(RelaySettings.model_validate_json(settings), logger(os.environ.get("BENCH_LOG", "warning")))
    address = await service.start()
    while service.registry.version < 0:  # noqa: ASYNC110 (the relay has no event for its first list)
        await asyncio.sleep(REGISTRY_POLL_S)
    announce(int(address.rpartition(":")[2]))
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    if profile:
        await profile_until(stopped, profile)
    else:
        await stopped.wait()
    service.close()


async def profile_until(stopped: asyncio.Event, file_name: str) -> None:
    """Profile this process until an event, and write the costliest functions to a file."""
    import cProfile
    import pstats

    profiler = cProfile.Profile()
    profiler.enable()
    await stopped.wait()
    profiler.disable()
    with open(file_name, "w", encoding="utf-8") as file:  # noqa: ASYNC230 (nothing is served any more)
        pstats.Stats(profiler, stream=file).sort_stats("tottime").print_stats(PROFILE_ROWS)


async def run_load(port: int, seconds: float, connections: int, receipt: bool) -> dict[str, Any]:
    """Submit messages in a closed loop for so long; what came back."""
    pool, histogram = client.ConnectionPool(), HdrHistogram(*HISTOGRAM_RANGE)
    serial, loop = itertools.count(time.time_ns()), asyncio.get_running_loop()
    began = loop.time()
    end, counts = began + seconds, {"delivered": 0, "other": 0}
    message = messages.build_message("s", "p", "<MARK@s>", "a", CONTENT, receipt=receipt)
    template = http1.encode_request("POST", "/as2", [("Host", f"127.0.0.1:{port}"), *message.headers], message.body)

    async def submit_each() -> None:
        while loop.time() < end:
            done: asyncio.Future[client.CallResult] = loop.create_future()
            sent_at = loop.time()
            data = template.replace(b"MARK", b"%d" % next(serial), 1)
            pool.call(("127.0.0.1", port), "POST", data, done.set_result, sent_at + ANSWER_TIMEOUT_S)
            answer = await done
            counts["delivered" if answer.head and answer.head.status == 200 else "other"] += 1
            if sent_at > began + seconds / WARM_UP_PART:
                histogram.record_value(int((loop.time() - sent_at) * 1e6))

    await asyncio.gather(*(submit_each() for _ in range(connections)))
    pool.close()
    elapsed_s = loop.time() - began
    return {
        "per_s": round(counts["delivered"] / elapsed_s, 1),
        "not_delivered": counts["other"],
        "p50_ms": round(histogram.get_value_at_percentile(50) / 1000, 2),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1000, 2),
        "messages": counts["delivered"],
    }


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


def relay_settings(register: str, connections: int, certificate: str) -> dict[str, Any]:
    """Settings of the relay, with capacity for the load of so many connections."""
    return {
        "name": "r",
        "register": register,
        "classes": {"a": {"effect": "safe", "aim_ms": 5000, "deadline_ms": 20000}},
        "rules": [{"class": "a"}],
        "limits": {"slots": 4 * connections, "hold": 10_000},
        "partners": {"p": {"certificate": certificate}},
    }


async def measure_case(case: Case, seconds: float, connections: int, profile: str, identity: str) -> dict[str, Any]:
    """Load on the sink, the pass-through and the relay, one after the other, all together and one at a time."""
    sink, sink_port = start_child_with_port("throughput", "--serve-sink", str(int(case.signed)), identity)
    entries = [{"id": 1, "partner": "p", "url": f"http://127.0.0.1:{sink_port}/as2", "status": "ready", "rate": 1e6}]
    register = RegistryEmulator(RegistrySpec(entries=entries))
    settings = relay_settings(f"http://127.0.0.1:{await register.start()}", connections, identity)
    pass_through, pass_port = start_child_with_port("throughput", "--serve-pass", str(sink_port))
    relay, relay_port = await start_relay(settings, profile if not case.signed else "")
    found: dict[str, Any] = {}
    for name, port in (("direct", sink_port), ("pass-through", pass_port), ("relay", relay_port)):
        found[name] = await run_load(port, seconds, connections, case.receipt)
    alone = {
        name: await run_load(port, seconds / 2, 1, case.receipt)
        for name, port in (("pass-through", pass_port), ("relay", relay_port))
    }
    cpu_s = stop_child(relay)
    delivered = found["relay"]["messages"] + alone["relay"]["messages"]
    found["relay"]["cpu_us_a_message"] = round(1e6 * cpu_s / delivered)
    for child in (pass_through, sink):
        stop_child(child)
    register.close()
    found["share of pass-through"] = round(found["relay"]["per_s"] / found["pass-through"]["per_s"], 3)
    found["added, one message at a time"] = {
        name: round(alone["relay"][name] - alone["pass-through"][name], 2) for name in ("p50_ms", "p99_ms")
    }
    return found


async def measure(seconds: float, connections: int, profile: str, identity: str) -> dict[str, Any]:
    """All cases; `identity` is the file with the partner's key and certificate."""
    return {case.name: await measure_case(case, seconds, connections, profile, identity) for case in CASES}


def main() -> None:
    """Run the benchmark, or be one of its children."""
    if sys.argv[1:2] == ["--serve-pass"]:
        asyncio.run(serve_pass_through(("127.0.0.1", int(sys.argv[2]))))
    elif sys.argv[1:2] == ["--serve-sink"]:
        asyncio.run(serve_sink(sys.argv[2] == "1", cms.load_identity(Path(sys.argv[3]).read_bytes())))
    elif sys.argv[1:2] == ["--serve-relay"]:
        asyncio.run(serve_relay(sys.argv[2], sys.argv[3]))
    else:
        parser = argument_parser(__doc__)
        parser.add_argument("--seconds", type=float, default=6.0)
        parser.add_argument("--connections", type=int, default=32)
        parser.add_argument("--profile", default="")
        args = parser.parse_args()
        identity = Path(tempfile.mkdtemp(prefix="linnetstile-bench-")) / "p.pem"
        identity.write_bytes(cms.encode_identity(cms.make_identity("p")))
        print_result(asyncio.run(measure(args.seconds, args.connections, args.profile, str(identity))), args.json)


if __name__ == "__main__":
    main()
