"""A real node beside the stand-in platform: started, asked, measured from outside, ended."""

from __future__ import annotations

import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import TracebackType
from typing import Any

from benchmarks.common import resident_mb
from benchmarks.slopes.inside import RATE
from tests.platform_relay import world

CLASSES = [{"name": "state", "effect": "repeatable", "aim-ms": 10_000.0, "deadline-ms": 3_600_000.0}]
SETTINGS = world.RAW | {
    "classes": CLASSES,
    "extra": {"call-slots": 64},
    "balancers": 460,
    "orgs": [],
    "limits": world.RAW["limits"] | {"open-cap": 1_000_000, "try-limit": 40},
}
BOUNDS = {"sockets": 4096, "memory_mb": 4096, "disk_mb": 4096}
START_S = 60.0


class Child:
    """The stand-in platform."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.slopes.standin"],
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        told = self._read()
        self.port, self.sink = int(told["port"]), f"127.0.0.1:{told['sink']}"

    def _read(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        found: dict[str, Any] = json.loads(self.process.stdout.readline())
        return found

    def do(self, what: str, **more: Any) -> dict[str, Any]:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps({"do": what, **more}) + "\n")
        self.process.stdin.flush()
        return self._read()

    def list(self, count: int, endpoints: int = 1, rate: float = RATE, **more: Any) -> int:
        """Bytes of the whole list, which counts for whoever watches from now on."""
        told = self.do("list", count=count, endpoints=endpoints, rate=rate, addr=self.sink, **more)
        return int(told["whole_bytes"])

    def __enter__(self) -> Child:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None) -> None:
        self.process.terminate()
        self.process.wait(20)


def free_port() -> int:
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return int(made.getsockname()[1])


def cpu_us(pid: int) -> float:
    """Processor time of a process with one thread, in microseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000


class Node:
    """`python -m linnetstile.platform_relay` with a folder of its own; `known` is the list of its configuration."""

    def __init__(self, child: Child, known: list[dict[str, Any]], state: Path | None = None, **more: Any) -> None:
        """`more` are settings other than the usual ones."""
        self.folder = Path(tempfile.mkdtemp(prefix="linnetstile-slopes-"))
        self.port = free_port()
        config = self.folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": f"127.0.0.1:{child.port}",
                    "seed": "1",
                    "limits": BOUNDS,
                    "known": {"version": 1, "full": True, "servers": known},
                    "settings": SETTINGS | more,
                }
            )
        )
        self.log = self.folder / "log"
        environ = os.environ | {"GW_CONFIG": str(config), "GW_STATE": str(state or self.folder / "state")}
        self.began = time.monotonic()
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "linnetstile.platform_relay"], env=environ, stderr=log
            )
        self.pid = self.process.pid

    def ready(self) -> float:
        """Seconds from its start until it says that it is ready."""
        while time.monotonic() - self.began < START_S:
            try:
                with Client(self.port, 0.4) as client:
                    if client.ask(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n") == 200:
                        return time.monotonic() - self.began
            except OSError:
                pass
            if self.process.poll() is not None:
                raise RuntimeError(f"the node has ended: {self.log.read_text()[-300:]}")
            time.sleep(0.01)
        raise RuntimeError(f"not ready within {START_S:g} s")

    def resident(self) -> float:
        """MB now."""
        return resident_mb(self.pid)

    def cpu(self) -> float:
        return cpu_us(self.pid)

    def __enter__(self) -> Node:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None) -> None:
        self.process.kill()
        self.process.wait(20)
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One connection, one request at a time; asks again on a new one where the relay has closed it between two."""

    def __init__(self, port: int, patience_s: float = 10.0) -> None:
        self.port, self.patience = port, patience_s
        self.sent = 0
        self.socket = self._connect()

    def _connect(self) -> socket.socket:
        made = socket.create_connection(("127.0.0.1", self.port), self.patience)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return made

    def ask(self, data: bytes) -> int:
        """The status of the answer. Raises OSError."""
        for _ in range(2):
            try:
                self.socket.sendall(data)
                answer = self.socket.recv(4096)
                if answer:
                    if b"connection: close" in answer.lower():
                        self.socket.close()
                        self.socket = self._connect()
                    return int(answer.split(b" ", 2)[1])
            except ConnectionError:
                pass
            self.socket.close()
            self.socket = self._connect()
        raise ConnectionResetError("closed twice without an answer")

    def hand_in(self, destination: int, body: bytes = b"hello", ident: str = "") -> int:
        self.sent += 1
        name = ident or f"c{id(self):x}-{self.sent}"
        return self.ask(
            (
                f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {name}\r\n"
                f"X-Service-Class: state\r\nX-Time-Left: 5000m\r\nEnvelope: dest={destination}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )

    def __enter__(self) -> Client:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None) -> None:
        self.socket.close()


def until_listed(client: Client, destination: int, seconds: float) -> tuple[float | None, float]:
    """Hands in messages for a destination until one is taken on: seconds until then (None = never), and the longest
    time in ms that an answer was waited for meanwhile, and for half a second after."""
    began, longest, taken = time.monotonic(), 0.0, None
    while (now := time.monotonic()) - began < seconds and (taken is None or now - began < taken + 0.5):
        status = client.hand_in(destination)
        done = time.monotonic()
        longest = max(longest, done - now)
        if taken is None and status == 202:
            taken = done - began
        time.sleep(0.005)
    return taken, longest * 1000
