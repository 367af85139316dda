"""Runs a real relay process and the platform emulator, submits messages, and measures the relay from outside."""

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
from typing import Any, NamedTuple

from benchmarks.common import resident_mb
from benchmarks.slopes import platform_commands as commands
from benchmarks.slopes.inside import LISTED_RATE
from tests.platform_relay import relay_testbed

CLASSES = [{"name": "state", "effect": "repeatable", "aim-ms": 10_000.0, "deadline-ms": 3_600_000.0}]
SETTINGS = relay_testbed.SETTINGS | {
    "classes": CLASSES,
    "extra": {"call-slots": 64},
    "balancers": 460,
    "orgs": [],
    "limits": relay_testbed.SETTINGS["limits"] | {"open-cap": 1_000_000, "try-limit": 40},
}
LIMITS = {"sockets": 4096, "memory_mb": 4096, "disk_mb": 4096}
START_TIMEOUT_S = 60.0
READY_TIMEOUT_S = 0.4
"""Timeout of one request that asks whether a relay is ready."""
READY_POLL_S = 0.01
EXIT_TIMEOUT_S = 20
LOG_TAIL_CHARS = 300
"""Number of characters from the end of the log that the error of an exited relay shows."""
MAX_ANSWER_BYTES = 4096
"""Upper bound of the size of a relay's answer."""
OK = 200
ACCEPTED = 202
SUBMIT_INTERVAL_S = 0.005
TEMPORARY_PREFIX = "linnetstile-slopes-"
"""Prefix of the names of temporary folders."""
SUBMIT_AFTER_LISTED_S = 0.5
"""Time for which `wait_until_listed` continues to submit messages after the list is in force."""


class PlatformProcess:
    """The platform emulator in a separate process, which ends with the `with` block.

    Attributes:
        port: Loopback port of discovery.
        endpoint_address: Address of all endpoints.
    """

    def __init__(self) -> None:
        """Start the process, and wait for its ports."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.slopes.platform_emulator"],
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        ports = self._read_line()
        self.port = int(ports["port"])
        self.endpoint_address = f"127.0.0.1:{ports['sink']}"

    def _read_line(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        answer: dict[str, Any] = json.loads(self.process.stdout.readline())
        return answer

    def _send(self, command: commands.Command) -> dict[str, Any]:
        """Send a command; returns the fields of its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(commands.encode_command(command) + "\n")
        self.process.stdin.flush()
        return self._read_line()

    def set_list(
        self,
        count: int,
        endpoints_per_destination: int = 1,
        rate: float = LISTED_RATE,
        changed: list[commands.Entry] | None = None,
    ) -> int:
        """Set the full list for watches that are opened from now on; returns its size in bytes."""
        command = commands.SetList(count, endpoints_per_destination, rate, self.endpoint_address, changed or [])
        return commands.ListSet(**self._send(command)).size_bytes

    def change(self, entries: list[commands.Entry]) -> commands.ChangeSent:
        """Send all changes in one JSON object to every watch."""
        return commands.ChangeSent(**self._send(commands.ChangeEntries(entries)))

    def cut_watches(self, entries: list[commands.Entry]) -> None:
        """End every watch, and change entries before the next one is opened."""
        self._send(commands.CutWatches(entries))

    def track_calls(self, is_on: bool) -> None:
        """Start or stop recording the time of each message's first call."""
        self._send(commands.TrackCalls(is_on))

    def first_calls(self) -> dict[str, float]:
        """Time of each message's first call by message identifier, in seconds of the monotonic clock."""
        return commands.FirstCalls(**self._send(commands.GetFirstCalls())).at_s

    def counts(self) -> commands.PlatformCounts:
        """Counts of the platform since its start."""
        return commands.PlatformCounts(**self._send(commands.GetCounts()))

    def __enter__(self) -> PlatformProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.terminate()
        self.process.wait(EXIT_TIMEOUT_S)


def free_port() -> int:
    """Return a loopback port that no process listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def cpu_us(pid: int) -> float:
    """Processor time of a process with one thread, in microseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000


class RelayProcess:
    """A process of `python -m linnetstile.platform_relay` with a separate folder; both end with the `with` block."""

    def __init__(
        self, platform: PlatformProcess, known: list[commands.Entry], state: Path | None = None, **settings: Any
    ) -> None:
        """Start a relay.

        Args:
            platform: The platform whose discovery the relay watches.
            known: The list that the relay is configured with.
            state: State folder, which is kept; None = a new one that is deleted at the end.
            settings: Settings that replace those of `SETTINGS`.
        """
        self.folder = Path(tempfile.mkdtemp(prefix=TEMPORARY_PREFIX))
        self.port = free_port()
        config = self._write_config(platform, known, settings)
        self.log = self.folder / "log"
        environment = os.environ | {"GW_CONFIG": str(config), "GW_STATE": str(state or self.folder / "state")}
        self.started_at = time.monotonic()
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "linnetstile.platform_relay"], env=environment, stderr=log
            )
        self.pid = self.process.pid

    def _write_config(self, platform: PlatformProcess, known: list[commands.Entry], settings: dict[str, Any]) -> Path:
        """Write the configuration file to the folder; returns its path."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{platform.port}",
            "seed": "1",
            "limits": LIMITS,
            "known": {"version": 1, "full": True, "servers": known},
            "settings": SETTINGS | settings,
        }
        file = self.folder / "config.json"
        file.write_text(json.dumps(config))
        return file

    def wait_ready(self) -> float:
        """Wait until the relay answers that it is ready; returns the seconds from its start.

        Raises:
            RuntimeError: The process has exited, or was not ready within `START_TIMEOUT_S`.
        """
        while time.monotonic() - self.started_at < START_TIMEOUT_S:
            try:
                with HttpClient(self.port, READY_TIMEOUT_S) as client:
                    if client.request(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n") == OK:
                        return time.monotonic() - self.started_at
            except OSError:
                pass
            if self.process.poll() is not None:
                raise RuntimeError(
                    f"relay process exited before it was ready; log ends with: {self.log.read_text()[-LOG_TAIL_CHARS:]}"
                )
            time.sleep(READY_POLL_S)
        raise RuntimeError(f"the relay process was not ready within {START_TIMEOUT_S:g} s")

    def resident_mb(self) -> float:
        """Current resident memory, in MB."""
        return resident_mb(self.pid)

    def cpu_us(self) -> float:
        """Processor time so far, in microseconds."""
        return cpu_us(self.pid)

    def __enter__(self) -> RelayProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.kill()
        self.process.wait(EXIT_TIMEOUT_S)
        shutil.rmtree(self.folder, ignore_errors=True)


def submit_request(destination: int, identifier: str, body: bytes) -> bytes:
    """Return the request that submits a message to a relay."""
    return (
        f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {identifier}\r\n"
        f"X-Service-Class: state\r\nX-Time-Left: 5000m\r\nEnvelope: dest={destination}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class HttpClient:
    """Sends one request at a time on a connection, and retries once on a new connection if the relay has closed it."""

    def __init__(self, port: int, timeout_s: float = 10.0) -> None:
        """Connect to a loopback port; an answer that takes longer than the timeout raises OSError."""
        self.port = port
        self.timeout_s = timeout_s
        self.sent_count = 0
        self.socket = self._connect()

    def _connect(self) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.port), self.timeout_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _reconnect(self) -> None:
        self.socket.close()
        self.socket = self._connect()

    def request(self, data: bytes) -> int:
        """Send a request; returns the status of the answer.

        Raises:
            OSError: There was no answer within the timeout, or the relay closed two connections without one.
        """
        for _ in range(2):
            try:
                self.socket.sendall(data)
                answer = self.socket.recv(MAX_ANSWER_BYTES)
                if answer:
                    if b"connection: close" in answer.lower():
                        self._reconnect()
                    return int(answer.split(b" ", 2)[1])
            except ConnectionError:
                pass
            self._reconnect()
        raise ConnectionResetError("the relay closed two connections in a row without an answer")

    def submit(self, destination: int, body: bytes = b"hello", identifier: str = "") -> int:
        """Submit a message; returns the status of the answer."""
        self.sent_count += 1
        return self.request(submit_request(destination, identifier or f"c{id(self):x}-{self.sent_count}", body))

    def __enter__(self) -> HttpClient:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.socket.close()


class ListWait(NamedTuple):
    """How long it took until a destination was listed, and the longest wait for an answer meanwhile.

    Attributes:
        listed_s: Seconds until a message for the destination was accepted; None = never.
        longest_wait_ms: Longest wait for an answer, up to `SUBMIT_AFTER_LISTED_S` after that.
    """

    listed_s: float | None
    longest_wait_ms: float


def wait_until_listed(client: HttpClient, destination: int, seconds: float) -> ListWait:
    """Submit messages for a destination until one is accepted, and for `SUBMIT_AFTER_LISTED_S` after that.

    It stops after `seconds` in any case.
    """
    started_at = time.monotonic()
    end = started_at + seconds
    longest_s = 0.0
    listed_s = None
    while (sent_at := time.monotonic()) < end:
        status = client.submit(destination)
        answered_at = time.monotonic()
        longest_s = max(longest_s, answered_at - sent_at)
        if listed_s is None and status == ACCEPTED:
            listed_s = answered_at - started_at
            end = min(end, answered_at + SUBMIT_AFTER_LISTED_S)
        time.sleep(SUBMIT_INTERVAL_S)
    return ListWait(listed_s, longest_s * 1000)
