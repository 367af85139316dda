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
from pathlib import Path
from typing import Any, cast

from hdrh.histogram import HdrHistogram

from benchmarks.common import child, end, parser, tell
from linnetstile.codec import cms, http1, mdn
from linnetstile.config.relay import RelaySettings
from linnetstile.emulators import messages
from linnetstile.emulators.registry import RegisterSpec, RegisterStand
from linnetstile.net import client, server

CONTENT = b"ISA*00~" * 100


class Piped(asyncio.BufferedProtocol):
    """One side of the pass-through."""

    def __init__(self, to: tuple[str, int] | None) -> None:
        self.to = to
        self.other: Piped | None = None
        self.early: list[bytes] = []
        self.buffer = memoryview(bytearray(65536))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.to:
            asyncio.get_running_loop().create_task(self.connect(self.to))

    async def connect(self, to: tuple[str, int]) -> None:
        _, self.other = await asyncio.get_running_loop().create_connection(lambda: Piped(None), *to)
        self.other.other = self
        for data in self.early:
            self.other.transport.write(data)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.other:
            self.other.transport.write(bytes(self.buffer[:nbytes]))
        else:
            self.early.append(bytes(self.buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other:
            self.other.transport.close()


async def serve_pass(to: tuple[str, int]) -> None:
    made = await asyncio.get_running_loop().create_server(lambda: Piped(to), "127.0.0.1", 0, backlog=1024)
    print(json.dumps({"port": made.sockets[0].getsockname()[1]}), flush=True)
    await asyncio.sleep(600)


async def serve_sink(signed: bool, pem: str) -> None:
    """Answers at once; a signed receipt is made once for each message, as each names its own."""
    identity = cms.load(Path(pem).read_bytes())
    mic = cms.digest(CONTENT, "sha-256")

    def take(exchange: server.RequestContext) -> None:
        headers = exchange.head.headers
        if "disposition-notification-to" not in headers:
            exchange.reply(200)
            return
        found = mdn.Mdn(headers.get("message-id"), "p", mic=mic, micalg="sha-256")
        kind, body = found.build()
        if signed:
            kind, body = cms.sign(f"Content-Type: {kind}\r\n\r\n".encode() + body, identity)
        exchange.reply(200, [("Content-Type", kind), ("AS2-From", "p"), ("AS2-To", "s")], body)

    listener = server.Server(take)
    print(json.dumps({"port": await listener.start()}), flush=True)
    await asyncio.sleep(600)


async def serve_relay(settings: str, profile: str) -> None:
    from linnetstile.as2_relay.relay import As2Relay
    from linnetstile.telemetry.log import logger

    service = As2Relay(RelaySettings.model_validate_json(settings), logger(os.environ.get("BENCH_LOG", "warning")))
    address = await service.start()
    while service.register.version < 0:
        await asyncio.sleep(0.01)
    print(json.dumps({"port": int(address.rpartition(":")[2])}), flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    if profile:
        import cProfile
        import pstats

        found = cProfile.Profile()
        found.enable()
        await stop.wait()
        found.disable()
        with open(profile, "w", encoding="utf-8") as file:
            pstats.Stats(found, stream=file).sort_stats("tottime").print_stats(25)
    else:
        await stop.wait()
    service.close()


async def load(port: int, seconds: float, connections: int, receipt: bool) -> dict[str, Any]:
    pool, histogram = client.Pool(), HdrHistogram(1, 60_000_000, 3)
    serial, loop = itertools.count(time.time_ns()), asyncio.get_running_loop()
    start = loop.time()
    finish, counts = start + seconds, {"delivered": 0, "other": 0}
    made = messages.make("s", "p", "<MARK@s>", "a", CONTENT, receipt=receipt)
    template = http1.request("POST", "/as2", [("Host", f"127.0.0.1:{port}"), *made.headers], made.body)

    async def one() -> None:
        while loop.time() < finish:
            done: asyncio.Future[client.Answer] = loop.create_future()
            began = loop.time()
            data = template.replace(b"MARK", b"%d" % next(serial), 1)
            pool.call(("127.0.0.1", port), "POST", data, done.set_result, began + 30)
            answer = await done
            counts["delivered" if answer.head and answer.head.status == 200 else "other"] += 1
            if began > start + seconds / 6:  # the first part warms up
                histogram.record_value(int((loop.time() - began) * 1e6))

    await asyncio.gather(*(one() for _ in range(connections)))
    pool.close()
    took = loop.time() - start
    return {
        "per_s": round(counts["delivered"] / took, 1),
        "not_delivered": counts["other"],
        "p50_ms": round(histogram.get_value_at_percentile(50) / 1000, 2),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1000, 2),
        "messages": counts["delivered"],
    }


async def measure(seconds: float, connections: int, profile: str) -> dict[str, Any]:
    folder = Path(tempfile.mkdtemp(prefix="linnetstile-bench-"))
    (folder / "p.pem").write_bytes(cms.save(cms.make_identity("p")))
    results: dict[str, Any] = {}
    for case, receipt, signed in (("no receipt", False, False), ("signed receipt", True, True)):
        sink, sink_port = child("throughput", "--serve-sink", str(int(signed)), str(folder / "p.pem"))
        entries = [
            {"id": 1, "partner": "p", "url": f"http://127.0.0.1:{sink_port}/as2", "status": "ready", "rate": 1e6}
        ]
        register = RegisterStand(RegisterSpec(entries=entries))
        settings = {
            "name": "r",
            "register": f"http://127.0.0.1:{await register.start()}",
            "classes": {"a": {"effect": "safe", "aim_ms": 5000, "deadline_ms": 20000}},
            "rules": [{"class": "a"}],
            "limits": {"slots": 4 * connections, "hold": 10_000},
            "partners": {"p": {"certificate": str(folder / "p.pem")}},
        }
        through, through_port = child("throughput", "--serve-pass", str(sink_port))
        relay, relay_port = await asyncio.get_running_loop().run_in_executor(
            None, child, "throughput", "--serve-relay", json.dumps(settings), profile if not signed else ""
        )
        found: dict[str, Any] = {}
        for name, port in (("direct", sink_port), ("pass-through", through_port), ("relay", relay_port)):
            found[name] = await load(port, seconds, connections, receipt)
        alone = {
            name: await load(port, seconds / 2, 1, receipt)
            for name, port in (("pass-through", through_port), ("relay", relay_port))
        }
        used = end(relay)
        done = found["relay"]["messages"] + alone["relay"]["messages"]
        found["relay"]["cpu_us_a_message"] = round(1e6 * used / done)
        for each in (through, sink):
            end(each)
        register.close()
        found["share of pass-through"] = round(found["relay"]["per_s"] / found["pass-through"]["per_s"], 3)
        found["added, one message at a time"] = {
            p: round(alone["relay"][p] - alone["pass-through"][p], 2) for p in ("p50_ms", "p99_ms")
        }
        results[case] = found
    return results


def main() -> None:
    if sys.argv[1:2] == ["--serve-pass"]:
        asyncio.run(serve_pass(("127.0.0.1", int(sys.argv[2]))))
    elif sys.argv[1:2] == ["--serve-sink"]:
        asyncio.run(serve_sink(sys.argv[2] == "1", sys.argv[3]))
    elif sys.argv[1:2] == ["--serve-relay"]:
        asyncio.run(serve_relay(sys.argv[2], sys.argv[3]))
    else:
        made = parser(__doc__)
        made.add_argument("--seconds", type=float, default=6.0)
        made.add_argument("--connections", type=int, default=32)
        made.add_argument("--profile", default="")
        args = made.parse_args()
        tell(asyncio.run(measure(args.seconds, args.connections, args.profile)), args.json)


if __name__ == "__main__":
    main()
