"""Memory and open files of one relay under attack, against the bounds that it states; what good clients see of it.

    python -m benchmarks.attack [--seconds 6] [--json FILE] [--plot FILE]

One relay, two partners (one answers in 20 ms, one hangs), a good client of 60 messages a second, and one kind of bad
peer after the other, each for so many seconds: 3000 half-open connections; heads a byte at a time; 1500 bodies a byte
at a time; 64 clients that upload 12 MB each to the partner that hangs, as fast as they are read; one 200 MB body
beside thousands of small messages; clients that pipeline requests and read no answer; a new connection for each
message. The process is sampled ten times a second. Bounded: it stops by itself.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import json
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.common import child, end, parser, resident_mb, serve_forever, spawn, tell
from linnetstile.codec import http1
from linnetstile.config.relay import RelaySettings
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnersSpec, Stand
from linnetstile.emulators.registry import RegisterSpec, RegisterStand
from linnetstile.net import client

SERIAL = itertools.count()
LIMITS = {
    "slots": 64,
    "hold": 2000,
    "connections": 1000,
    "body_bytes": 208 << 20,
    "hold_bytes": 256 << 20,
    "head_ms": 3000,
    "stall_ms": 2000,
    "remember": 20_000,
    "remember_bytes": 16 << 20,
    "self_check_ms": 250,
}


async def serve_partners() -> Stand:
    stand = Stand(
        PartnersSpec.model_validate(
            {
                "partners": [
                    {
                        "name": name,
                        "endpoints": [{"id": n}],
                        "work_ms": 20,
                        "spread": 0.1,
                        "servers": 256,
                        "queue": 1000,
                    }
                    for n, name in ((1, "quick"), (2, "hangs"))
                ],
                "faults": [{"kind": "hang", "at_s": 0, "for_s": 600, "partners": ["hangs"]}],
            }
        )
    )
    print(json.dumps({"port": 0, "ports": await stand.start()}), flush=True)
    return stand


class Attack:
    """Bad peers at one address; `stop` ends those of a kind."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.writers: list[asyncio.StreamWriter] = []
        self.counts: collections.Counter[str] = collections.Counter()

    async def dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        return reader, writer

    def head(self, partner: str, length: int, sender: str = "bad") -> bytes:
        made = messages.make(sender, partner, f"<{next(SERIAL)}@bad>", "a", b"", receipt=False)
        lines = [f"{n}: {v}" for n, v in [("Host", "x"), *made.headers, ("Content-Length", str(length))]]
        return ("POST /as2 HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()

    async def many(self, count: int, one: Callable[[int], Awaitable[None]]) -> None:
        async def safe(n: int) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await one(n)
                return
            self.counts["ended by the relay"] += 1

        await asyncio.gather(*(safe(n) for n in range(count)))

    async def half_open(self) -> None:
        async def one(n: int) -> None:
            await self.dial()
            await asyncio.sleep(0)

        await self.many(3000, one)
        await asyncio.sleep(600)

    async def drip(self, data: Callable[[int], bytes], count: int) -> None:
        async def one(n: int) -> None:
            _, writer = await self.dial()
            text = data(n)
            cut = text.find(b"\r\n\r\n") + 4 if b"\r\n\r\n" in text else 0
            writer.write(text[:cut])
            for at in range(cut, len(text)):
                writer.write(text[at : at + 1])
                await writer.drain()
                await asyncio.sleep(1.0)

        while True:
            await self.many(count, one)
            await asyncio.sleep(0.2)

    async def heads(self) -> None:
        await self.drip(lambda n: b"POST /as2 HTTP/1.1" + b"x" * 1000, 800)

    async def bodies(self) -> None:
        await self.drip(lambda n: self.head("quick", 1 << 20, f"bad{n}") + b"x" * 1000, 1500)

    async def uploads(self) -> None:
        async def one(n: int) -> None:
            piece = b"x" * 65536
            while True:
                reader, writer = await self.dial()
                writer.write(self.head("hangs", 12 << 20, f"bad{n % 8}"))
                for _ in range((12 << 20) // len(piece)):
                    writer.write(piece)
                    await writer.drain()
                self.counts[(await reader.readline())[9:12].decode()] += 1
                writer.close()

        while True:
            await self.many(64, one)
            await asyncio.sleep(0.2)

    async def huge(self) -> None:
        async def one(n: int) -> None:
            reader, writer = await self.dial()
            size = 200 << 20 if n == 0 else 2000
            while True:
                writer.write(self.head("quick", size, f"bad{n}"))
                for at in range(0, size, 65536):
                    writer.write(b"x" * min(65536, size - at))
                    await writer.drain()
                status = (await reader.readuntil(b"\r\n\r\n"))[9:12].decode()
                self.counts[f"{'200 MB' if n == 0 else 'small'} {status}"] += 1

        await self.many(9, one)
        await asyncio.sleep(600)

    async def unread(self) -> None:
        async def one(n: int) -> None:
            _, writer = await self.dial()
            while True:
                writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n" * 500)
                await writer.drain()

        await self.many(50, one)
        await asyncio.sleep(600)

    async def connects(self) -> None:
        async def one(n: int) -> None:
            while True:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(
                    self.head("quick", 4, f"bad{n}").replace(b"\r\nHost", b"\r\nConnection: close\r\nHost") + b"body"
                )
                self.counts[(await reader.read())[9:12].decode()] += 1
                writer.close()

        await self.many(8, one)


async def measure(seconds: float) -> dict[str, Any]:
    stand, told = spawn("attack", "--serve-partners")
    ports = told["ports"]
    register = RegisterStand(
        RegisterSpec.model_validate(
            {
                "entries": [
                    {
                        "id": int(n),
                        "partner": "quick" if n == "1" else "hangs",
                        "url": f"http://127.0.0.1:{port}/as2",
                        "status": "ready",
                        "rate": 2000.0,
                    }
                    for n, port in ports.items()
                ]
            }
        )
    )
    settings = {
        "name": "r",
        "register": f"http://127.0.0.1:{await register.start()}",
        "rules": [{"class": "a"}],
        "classes": {"a": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 8000}},
        "limits": LIMITS,
    }
    log = tempfile.TemporaryFile()  # noqa: SIM115 (read after the relay has ended)
    relay, port = await asyncio.get_running_loop().run_in_executor(
        None, lambda: child("throughput", "--serve-relay", json.dumps(settings), "", log=log)
    )
    loop = asyncio.get_running_loop()
    start, samples, phases = loop.time(), [], []
    good = {"phase": "before"}
    found: dict[str, Any] = {}

    async def sample() -> None:
        while True:
            files = len(os.listdir(f"/proc/{relay.pid}/fd"))
            samples.append((round(loop.time() - start, 2), round(resident_mb(relay.pid), 1), files))
            await asyncio.sleep(0.1)

    async def well_behaved() -> None:
        pool = client.Pool()
        for n in itertools.count():
            await asyncio.sleep(max(0.0, start + n / 60 - loop.time()))
            made = messages.make("good", "quick", f"<{n}@good>", "a", b"ISA*00~" * 100, receipt=False)
            phase, when = good["phase"], loop.time()
            row = found.setdefault(phase, {"sent": 0, "delivered": 0, "took": HdrHistogram(1, 60_000_000, 3)})
            row["sent"] += 1

            def done(answer: client.Answer, row: Any = row, when: float = when) -> None:
                if answer.head is not None and answer.head.headers.get("linnetstile-answer") == "delivered":
                    row["delivered"] += 1
                    row["took"].record_value(int((loop.time() - when) * 1e6))

            pool.call(
                ("127.0.0.1", port),
                "POST",
                http1.request("POST", "/as2", [("Host", "x"), *made.headers], made.body),
                done,
                when + 10,
            )

    tasks = [asyncio.create_task(sample()), asyncio.create_task(well_behaved())]
    await asyncio.sleep(seconds)
    for name in ("half_open", "heads", "bodies", "uploads", "huge", "unread", "connects"):
        attack = Attack(port)
        good["phase"] = name
        phases.append((name, round(loop.time() - start, 1)))
        task = asyncio.create_task(getattr(attack, name)())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for writer in attack.writers:
            writer.transport.abort()
        found[name]["bad"] = dict(attack.counts)
        good["phase"] = "between"
        await asyncio.sleep(1.5)
    good["phase"] = "after"
    phases.append(("after", round(loop.time() - start, 1)))
    await asyncio.sleep(seconds / 2)
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    checked = RelaySettings.model_validate(settings)
    bound, files = checked.memory_bound() / 2**20, checked.files_bound()
    cpu = end(relay)
    end(stand)
    register.close()
    rows = {
        name: {
            "sent": row["sent"],
            "delivered": row["delivered"],
            "p99_ms": round(row["took"].get_value_at_percentile(99) / 1000, 1),
            "bad_peers": row.get("bad", {}),
        }
        for name, row in found.items()
    }
    log.seek(0)
    lines = log.read().decode()
    return {
        "limits": LIMITS,
        "self_check_findings": lines.count("AssertionError"),
        "tracebacks": lines.count("Traceback"),
        "memory_bound_mb": round(bound),
        "peak_mb": max(s[1] for s in samples),
        "first_mb": samples[0][1],
        "last_mb": samples[-1][1],
        "files_bound": files,
        "peak_files": max(s[2] for s in samples),
        "cpu_s": round(cpu, 1),
        "good_client": rows,
        "phases": phases,
        "samples": samples,
    }


def plot(found: dict[str, Any], file: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(2, 1, figsize=(11, 6.5), sharex=True)
    at = [s[0] for s in found["samples"]]
    for axis, column, bound, name in (
        (axes[0], 1, found["memory_bound_mb"], "resident memory, MB"),
        (axes[1], 2, found["files_bound"], "open files"),
    ):
        axis.plot(at, [s[column] for s in found["samples"]], lw=1.4, color="tab:blue")
        axis.axhline(bound, color="tab:red", lw=1, ls="--", label=f"stated bound {bound}")
        axis.set_ylabel(name)
        axis.set_ylim(0, bound * 1.12)
        axis.legend(loc="upper right", fontsize=8)
        for label, begin in found["phases"]:
            axis.axvline(begin, color="0.8", lw=0.8)
            if column == 1:
                axis.text(begin + 0.2, bound * 0.9, label.replace("_", " "), fontsize=8, rotation=90, va="top")
    axes[1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def main() -> None:
    if sys.argv[1:2] == ["--serve-partners"]:
        serve_forever(serve_partners)
        return
    made = parser(__doc__)
    made.add_argument("--seconds", type=float, default=6.0)
    made.add_argument("--plot")
    args = made.parse_args()
    found = asyncio.run(measure(args.seconds))
    if args.plot:
        plot(found, args.plot)
    every = found["samples"]
    found["samples"] = every[::5]
    if args.json:
        Path(args.json).write_text(json.dumps(found) + "\n", encoding="utf-8")
    else:
        tell(found, None)


if __name__ == "__main__":
    main()
