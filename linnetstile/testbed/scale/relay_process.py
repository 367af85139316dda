"""Real relays beside their hollow twins: the same list and changes, bytes of one stand-in, and what both then do.

Each real relay is a `python -m linnetstile.platform_relay` of its own. Its twin is the hollow relay with the same
settings and seed. What shows which version is in force is the endpoint that a message goes to: of two ports, by turns.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from linnetstile.engine.actions import Fail, Reject, Send, SetTimer
from linnetstile.engine.events import AttemptEnded, Message, Outcome, TimerFired

from ...codec import http1
from ...emulators.discovery import DiscoveryStand
from ...net import client, server
from .simulated_relay import Ears, make
from .world_model import Change, Sizes, World

ASKED = ("replace", "drain", "add") * 3 + ("gone",)  # changes that are told one by one
BURST = 100  # at once
LEFT_MS = 1500.0  # of a message that looks for the endpoint in force
PAUSE_S = 0.06  # between two of them
START_S, SHOWS_S = 20.0, 6.0
SMALL = 20  # destinations of the relay that memory is compared with
MEMORY = 3 * 1000**3  # bytes that all of them may have
NOWHERE = "none"


class NotStarted(Exception):
    """A real relay did not start or ended by itself."""


@dataclass(slots=True)
class Told:
    """A world's discovery, as the stand-in asks for it."""

    world: World
    version: int = 1

    def whole(self) -> bytes:
        return self.world.whole(self.version)

    def since(self, version: int) -> bytes | None:
        return b"".join(change.line for change in self.world.after(version, self.version))


def free_port() -> int:
    with contextlib.closing(socket.socket()) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@dataclass(slots=True)
class Real:
    """One process."""

    name: str
    number: int
    process: subprocess.Popen[bytes]
    port: int
    log: Path
    ready: dict[str, Any] = field(default_factory=dict)

    def cpu_s(self) -> float:
        """Processor time so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> dict[str, int]:
        """Bytes now and at its largest."""
        rows = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines()
        told = {row.split(":")[0]: row.split()[1] for row in rows if row.startswith(("VmRSS", "VmHWM"))}
        return {"now": int(told["VmRSS"]) * 1024, "largest": int(told["VmHWM"]) * 1024}

    def heard(self) -> dict[str, Any] | None:
        """Its line `ready`."""
        for line in self.log.read_text(encoding="utf-8").splitlines():
            with contextlib.suppress(ValueError):
                if (found := json.loads(line)).get("event") == "ready":
                    return dict(found)
        return None


class Twin:
    """A hollow relay that is told what the real one is told, and asked what the real one is asked."""

    def __init__(self, world: World, number: int, seed: int) -> None:
        self.ears, self.relay = Ears(), make(world, number, seed)
        self.last = 0

    def hear(self, line: bytes, now: float) -> bool:
        """False if it refuses the line."""
        try:
            events = self.ears.hear(line)
        except ValueError:
            return False
        for event in events:
            self.relay.handle(now, [event])
        return bool(events)

    def asks(self, cell: int, now: float) -> tuple[str, float]:
        """Where a message goes, and after how long (ms, simulated)."""
        if not self.ears.listed(cell):
            return NOWHERE, 0.0
        self.last += 1
        actions, began = self.relay.handle(now, [Message(self.last, cell, 0, LEFT_MS)]), now
        while now < began + 2 * LEFT_MS:
            for action in actions:
                match action:
                    case Send(ident, endpoint) if ident == self.last:
                        port = str(self.ears.port(endpoint))
                        self.relay.handle(now + 1.0, [AttemptEnded(ident, 0, endpoint, Outcome.OK, 1.0, True)])
                        return port, now - began
                    case Reject(ident) | Fail(ident) if ident == self.last:
                        return NOWHERE, now - began
            delays = [action.delay_ms for action in actions if isinstance(action, SetTimer)]
            now += delays[-1] if delays else LEFT_MS
            actions = self.relay.handle(now, [TimerFired(0)])
        return NOWHERE, now - began


class Bench:
    """The stand-ins and the processes of one comparison."""

    def __init__(self, folder: Path, memory: int) -> None:
        self.folder, self.memory = folder, memory  # bytes that a process may have
        self.reals: list[Real] = []
        self.stands: list[DiscoveryStand] = []
        self.endpoints: list[server.Server] = []
        self.waits: dict[str, asyncio.Future[str]] = {}  # message -> where it went
        self.pool = client.Pool()
        self.last = 0

    async def endpoint(self) -> int:
        def answer(exchange: server.RequestContext) -> None:
            self._went(exchange.head.headers.get("x-correlation-id"), str(port))
            exchange.reply(200, [], b"ok")

        found = server.Server(answer)
        self.endpoints.append(found)
        port = await found.start()
        return port

    def _went(self, ident: str, where: str) -> None:
        wait = self.waits.pop(ident, None)
        if wait is not None and not wait.done():
            wait.set_result(where)

    async def discovery(self, told: Told) -> tuple[DiscoveryStand, int]:
        stand = DiscoveryStand(told)
        stand.on_notice = lambda ref, result: self._went(ref, NOWHERE)
        self.stands.append(stand)
        return stand, await stand.start()

    def spawn(self, world: World, number: int, name: str, discovery: int, seed: int) -> Real:
        state = self.folder / name
        state.mkdir(parents=True)
        port = free_port()
        config = state.parent / f"{name}.json"
        config.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{discovery}",
                    "seed": f"{seed:x}",
                    "limits": {"memory_mb": 2048, "sockets": 1024, "disk_mb": 64},
                    "settings": {**world.raw, "az": world.zone(number)},
                }
            )
        )
        log = state.parent / f"{name}.log"
        with log.open("wb") as file:
            process = subprocess.Popen(
                [sys.executable, "-m", "linnetstile.platform_relay"],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                env={**os.environ, "GW_CONFIG": str(config), "GW_STATE": str(state), "GW_NAME": name},
            )
        real = Real(name, number, process, port, log)
        self.reals.append(real)
        resource.prlimit(process.pid, resource.RLIMIT_AS, (self.memory, self.memory))
        return real

    async def ready(self, real: Real) -> None:
        """Raises NotStarted."""
        until = time.monotonic() + START_S
        while (found := real.heard()) is None:
            if real.process.poll() is not None or time.monotonic() > until:
                tail = real.log.read_text(errors="replace")[-300:].strip()
                raise NotStarted(f"{real.name} did not start: {tail or 'it wrote nothing'}")
            await asyncio.sleep(0.02)
        real.ready = found

    async def ask(self, real: Real, cell: int) -> str:
        """Hands one message in; where it went."""
        self.last += 1
        ident = f"{self.last:016x}"
        loop = asyncio.get_running_loop()
        went = self.waits[ident] = loop.create_future()
        answered: asyncio.Future[int] = loop.create_future()

        def done(answer: client.Answer) -> None:
            if not answered.done():
                answered.set_result(answer.head.status if answer.head else 0)

        headers = [
            ("Host", "api.internal"),
            ("X-Correlation-Id", ident),
            ("X-Service-Class", "state"),
            ("X-Account", "all"),
            ("X-Time-Left", f"{LEFT_MS:.0f}m"),
            ("Envelope", f"dest={cell}"),
        ]
        self.pool.call(
            ("127.0.0.1", real.port), "POST", http1.request("POST", "/api", headers, b"hello"), done, loop.time() + 2.0
        )
        if await answered not in (200, 202):
            self.waits.pop(ident, None)
            return NOWHERE
        try:
            return await asyncio.wait_for(went, 2 * LEFT_MS / 1000)
        except TimeoutError:
            return "lost"

    async def shows(self, real: Real, cell: int, expected: str) -> tuple[str, float]:
        """Asks until it does as expected or the time is up: the last sight, and after how many ms it was seen."""
        begun = time.monotonic()
        while True:
            found = await self.ask(real, cell)
            took = time.monotonic() - begun
            if found == expected or took > SHOWS_S:
                return found, took * 1000
            await asyncio.sleep(PAUSE_S)

    def close(self) -> None:
        """Ends the processes, each by its handle, and all connections. They hold nothing that anybody waits for."""
        for real in self.reals:
            real.process.kill()
        for real in self.reals:
            real.process.wait()
        for stand in self.stands:
            stand.close()
        for endpoint in self.endpoints:
            endpoint.close()
        self.pool.close()


async def compare(sizes: Sizes, folder: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Plays the comparison. Raises NotStarted, OSError."""
    bench, begun = Bench(folder, MEMORY // (sizes.real + 1)), time.monotonic()
    try:
        ports = await bench.endpoint(), await bench.endpoint()
        # As many relays as there are here: the pace of few messages is then no part of the times.
        world = World(replace(sizes, relays=max(1, sizes.real), played=0), ports)
        told = Told(world)
        stand, port = await bench.discovery(told)
        small = World(replace(sizes, destinations=SMALL), ports)
        _, small_port = await bench.discovery(Told(small))
        rng = random.Random(f"{sizes.seed}:real")
        seeds = [rng.getrandbits(32) for _ in range(sizes.real)]
        say(f"{sizes.real} real relays start, and one with {SMALL} destinations to hold their memory against")
        least = bench.spawn(small, 0, "small", small_port, 1)
        reals = [bench.spawn(world, n, f"real-{n + 1}", port, seed) for n, seed in enumerate(seeds)]
        await asyncio.gather(*(bench.ready(real) for real in bench.reals))
        twins = [Twin(world, n, seed) for n, seed in enumerate(seeds)]
        taken = [twin.hear(told.whole(), 0.0) for twin in twins]
        found = _start(reals, least, twins, taken, told)
        say(
            f"ready with {[real.ready['endpoints'] for real in reals]} endpoints; hollow twins "
            f"{[twin.ears.known() for twin in twins]}"
        )
        shows = Shows(bench, stand, told, reals, twins, rng, found)
        if all(taken):
            await shows.changes()
        await shows.broken(all(taken))
        found |= {"sent_bytes": stand.sent, "watches": len(stand.asked), "seconds": round(time.monotonic() - begun, 1)}
        for real in bench.reals:
            if real.process.poll() is not None:
                raise NotStarted(f"{real.name} ended by itself with {real.process.returncode}")
        return found
    finally:
        bench.close()
        await asyncio.sleep(0.01)  # the stand-ins see that their connections are gone


def _start(reals: list[Real], least: Real, twins: list[Twin], taken: list[bool], told: Told) -> dict[str, Any]:
    return {
        "relays": len(reals),
        "list_bytes": len(told.whole()),
        "list_taken_by_hollow": all(taken),
        "endpoints": [
            {"real": real.ready["endpoints"], "hollow": twin.ears.known()}
            for real, twin in zip(reals, twins, strict=True)
        ],
        "start_cpu_s": [round(real.cpu_s() - least.cpu_s(), 3) for real in reals],
        "memory": [real.memory() for real in reals],
        "memory_small": least.memory(),
        "changes": [],
    }


class Shows:
    """Changes, and whether hollow and real relays show them."""

    def __init__(
        self,
        bench: Bench,
        stand: DiscoveryStand,
        told: Told,
        reals: list[Real],
        twins: list[Twin],
        rng: random.Random,
        found: dict[str, Any],
    ) -> None:
        self.bench, self.stand, self.told, self.reals, self.twins = bench, stand, told, reals, twins
        self.rng, self.found, self.now = rng, found, 1000.0
        self.names = {str(port): f"port-{n}" for n, port in enumerate(told.world.ports or ())} | {NOWHERE: NOWHERE}

    def make(self, what: str, cell: int) -> Change:
        self.now += 5_000.0
        change = self.told.world.change(what, cell, self.now, self.rng)
        self.told.version = change.version
        return change

    async def row(self, change: Change) -> None:
        """Asks all of them, which have been told."""
        world = self.told.world
        turn = world.turn(change.cell, self.now)
        expected = NOWHERE if turn < 0 else str((world.ports or (0, 0))[turn % 2])
        sights = [twin.asks(change.cell, self.now) for twin in self.twins]
        shown = await asyncio.gather(*(self.bench.shows(real, change.cell, expected) for real in self.reals))
        self.found["changes"].append(
            {
                "version": change.version,
                "what": change.what,
                "expected": self.names[expected],
                "hollow": [self.names.get(where, where) for where, _ in sights],
                "hollow_ms": [round(ms, 1) for _, ms in sights],
                "real": [self.names.get(where, where) for where, _ in shown],
                "real_ms": [round(ms, 1) for _, ms in shown],
            }
        )

    async def tell(self, what: str, cell: int) -> None:
        change = self.make(what, cell)
        for twin in self.twins:
            twin.hear(change.line, self.now)
        self.stand.tell(change.line)
        await self.row(change)

    async def changes(self) -> None:
        """Some one by one, then many at once."""
        world = self.told.world
        self.cells = self.rng.sample(range(world.sizes.destinations), len(ASKED) + 2)
        for what, cell in zip(ASKED, self.cells, strict=False):
            await self.tell(what, cell)
        before = [real.cpu_s() for real in self.reals]
        for _ in range(BURST):
            change = world.change("weight", self.rng.randrange(world.sizes.destinations), self.now, self.rng)
            self.stand.tell(change.line)
            for twin in self.twins:
                twin.hear(change.line, self.now)
        begun = time.monotonic()
        await self.tell("replace", self.cells[-1])
        self.found["burst"] = {
            "changes": BURST,
            "until_next_shows_ms": round((time.monotonic() - begun) * 1000, 1),
            "cpu_s": [round(real.cpu_s() - was, 3) for real, was in zip(self.reals, before, strict=True)],
        }

    async def broken(self, listed: bool) -> None:
        """All watches break, and a change is missed with them: what relays ask for then, and whether they have it."""
        missed = self.make("replace", self.cells[-2]) if listed else None
        asked = len(self.stand.asked)
        self.stand.drop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHOWS_S):
                while len(self.stand.asked) < asked + len(self.reals):
                    await asyncio.sleep(0.02)
        again = self.found["reopened"] = self.stand.asked[asked:]
        since = self.found["since_version"] = bool(again) and all("since=" in target for target in again)
        if missed:
            for twin in self.twins:
                twin.ears.opened()
                twin.hear(missed.line if since else self.told.whole(), self.now)
            await self.row(missed)


def agrees(found: dict[str, Any]) -> bool:
    """Whether hollow and real did the same after each list and change."""
    same = all(row["real"] == row["hollow"] == [row["expected"]] * len(row["real"]) for row in found["changes"])
    return same and all(each["real"] == each["hollow"] for each in found["endpoints"])
