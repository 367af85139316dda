"""Stand-ins for the platform's parties, and the relay as a process. Standard library only, loopback only.

One process runs discovery with the notices (`Platform`), endpoints (`Endpoint`) and clients (`submit`); the relay is
started by the line `run` of the deploy file as a process of its own (`Relay`). All times are s of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CLIENT_PATIENCE_S = 0.4  # PROTOCOL: a client waits 400 ms for its answer
EMPTY_LINE_S = 2.0  # PROTOCOL: while nothing changes, an empty line comes every 2 s
LOSS_SLACK_S = 0.3  # PROTOCOL: lost if not ended 300 ms after its time is up


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run: one JSON object a line in `record.txt`, and in memory."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def add(self, what: str, **fields: Any) -> float:
        now = time.monotonic()
        line = {"t": round(now - self.started_at, 4), "what": what, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()
        return now


def free_port() -> int:
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields (lower-case names) of the next message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    return first, {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer(status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    reasons = {200: "OK", 204: "No Content", 429: "Too Many Requests", 500: "Error", 503: "Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'X')}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def close_writer(writer: asyncio.StreamWriter) -> None:
    writer.close()
    try:
        await writer.wait_closed()
    except OSError:
        pass


class Platform:
    """Discovery (pushed lists) and the notices at one address; notices are answered at once, also by a slow discovery."""

    def __init__(self, record: Record, name: str = "platform") -> None:
        self.record = record
        self.name = name
        self.port = free_port()
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, list[dict[str, Any]]]] = []
        self.watches: dict[asyncio.StreamWriter, float] = {}
        self.list_delay_s = 0.0  # a slow discovery: time until it begins to answer a request for the list
        self.notices: dict[str, list[tuple[float, str]]] = {}
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.ticker = asyncio.create_task(self._tick())

    def add(self, name: str, port: int, cell: int, kind: str, zone: str, weight: float = 1.0) -> dict[str, Any]:
        entry = {"id": name, "addr": f"{HOST}:{port}", "zone": zone, "kind": kind, "cell": cell, "state": "SERVING",
                 "weight": weight, "started_ms": 0}
        self.entries[name] = entry
        return entry

    def full_list(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Change entries; told at once to the open watches."""
        self.version += 1
        self.changes.append((self.version, entries))
        for entry in entries:
            if entry["state"] == "DELETED":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        line = {"version": self.version, "full": False, "servers": entries}
        for writer in list(self.watches):
            self._write_line(writer, line)
        self.record.add("list_changed", by=self.name, version=self.version,
                        changed=[[e["id"], e["state"]] for e in entries], watches=len(self.watches))

    def _write_line(self, writer: asyncio.StreamWriter, value: dict[str, Any] | None) -> None:
        line = (json.dumps(value) if value is not None else "") + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(EMPTY_LINE_S)
            for writer in list(self.watches):
                self._write_line(writer, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # the case has ended
            await self._serve_requests(reader, writer)

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ")
                if method == "POST" and target == "/v2/finals":
                    self._take_notices(body)
                    writer.write(answer(204))
                    continue
                if self.list_delay_s and not await self._outlasts_delay(reader):
                    return
                if "follow=1" not in target:
                    writer.write(answer(200, body=json.dumps(self.full_list()).encode()))
                    continue
                await self._watch(target, reader, writer)
                return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            await close_writer(writer)

    async def _outlasts_delay(self, reader: asyncio.StreamReader) -> bool:
        """Wait as long as a slow discovery takes; return False if the peer closes before."""
        self.record.add("asked", by=self.name)
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([closed], timeout=self.list_delay_s)
        if not closed.done():
            closed.cancel()
            return True
        with contextlib.suppress(OSError):
            closed.result()
        self.record.add("given_up_before_the_list", by=self.name)
        return False

    async def _watch(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if writer.is_closing() or reader.at_eof():
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write_line(writer, self.full_list())
        self.record.add("watch_opened", by=self.name, target=target, version=self.version)
        self.watches[writer] = time.monotonic()
        try:
            await reader.read(1)  # a watch lasts until its connection ends
        except OSError:
            pass
        self.watches.pop(writer, None)
        self.record.add("watch_closed", by=self.name)

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            now = self.record.add("notice", **notice)
            self.notices.setdefault(notice["ref"], []).append((now, notice["result"]))

    async def stop(self) -> None:
        if self.server:
            self.ticker.cancel()
            self.server.close()


class Call:
    """One call that has arrived completely at an endpoint."""

    def __init__(self, endpoint: "Endpoint", ref: str, key: str, body: bytes, first_byte_at: float) -> None:
        self.endpoint, self.ref, self.key, self.body, self.first_byte_at = endpoint, ref, key, body, first_byte_at


Behaviour = Callable[[Call], Awaitable[bytes | None]]


class Endpoint:
    """One endpoint: `behave` returns the bytes of the answer, or None to stay silent."""

    def __init__(self, record: Record, name: str, behave: Behaviour) -> None:
        self.record, self.name, self.behave = record, name, behave
        self.port = free_port()
        self.calls: list[tuple[float, str]] = []
        self.delivered: dict[str, list[float]] = {}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # the case has ended
            await self._serve_calls(reader, writer)

    async def _serve_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first_byte = await reader.readexactly(1)
                first_byte_at = time.monotonic()
                raw = first_byte + await reader.readuntil(b"\r\n\r\n")
                _, *lines = raw.decode("latin-1").split("\r\n")[:-2]
                fields = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
                body = await read_body(reader, fields)
                ref = fields.get("x-correlation-id", "")
                self.calls.append((first_byte_at, ref))
                self.record.add("call", at=self.name, ref=ref)
                data = await self.behave(Call(self, ref, fields.get("idempotency-key", ""), body, first_byte_at))
                if data is None:
                    await reader.read()
                    return
                status = int(data[9:12])
                writer.write(data)
                now = self.record.add("answer", at=self.name, ref=ref, status=status)
                if status == 200:
                    self.delivered.setdefault(ref, []).append(now)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            await close_writer(writer)

    async def stop(self) -> None:
        self.server.close()


class Relay:
    """The relay as a process, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, settings: dict[str, Any], discovery: int,
                 known: dict[str, Any] | None = None, limits: dict[str, Any] | None = None) -> None:
        self.record, self.folder = record, folder
        self.port = free_port()
        self.config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery}", "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
            "known": known or {}, "settings": settings,
        }
        self.run_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process: asyncio.subprocess.Process | None = None
        self.log = (folder / "relay.log").open("ab")

    def write_config(self) -> None:
        path = self.folder / "config.json"
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config))
        new.rename(path)

    async def start(self, wait_ready: bool = True) -> None:
        self.write_config()
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        environment = {**os.environ, "GW_CONFIG": str(self.folder / "config.json"), "GW_STATE": str(state),
                       "GW_NAME": "n0", "GW_LISTEN": self.config["listen"], "GW_DISCOVERY": self.config["discovery"],
                       "TMPDIR": str(self.folder)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run_line, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.add("relay_started", pid=self.process.pid)
        if wait_ready:
            await self.wait_ready()

    async def wait_ready(self, within_s: float = 15.0) -> None:
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if self.process is None or self.process.returncode is not None:
                raise CannotRunError("the relay ended before it was ready")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first, _ = await asyncio.wait_for(read_head(reader), 1.0)
                await close_writer(writer)
                if " 200 " in first:
                    self.record.add("relay_ready")
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRunError("the relay was not ready in time")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.add("signal", name=signal.Signals(number).name)

    async def wait(self, within_s: float) -> int | None:
        assert self.process is not None
        try:
            code = await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            return None
        self.record.add("relay_ended", code=code)
        return code

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.wait(5.0)


def request_bytes(ref: str, cls: str, dest: int, time_left_ms: float, key: str = "", tenant: str = "acme",
                  body: bytes = b"x" * 200) -> bytes:
    lines = ["POST /api HTTP/1.1", "Host: api.internal", f"X-Correlation-Id: {ref}", f"X-Service-Class: {cls}",
             f"X-Account: {tenant}", f"X-Time-Left: {time_left_ms:.0f}m"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    lines += [f"Content-Length: {len(body)}", f"Envelope: dest={dest}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Message:
    """One hand-in, and what its client saw."""

    def __init__(self, cls: str, dest: int, time_left_ms: float, key: str = "") -> None:
        self.ref = uuid.uuid4().hex[:16]
        self.cls, self.dest, self.time_left_ms, self.key = cls, dest, time_left_ms, key
        self.sent_at = 0.0
        self.status = 0  # 0: no answer

    @property
    def taken_on(self) -> bool:
        return self.status in (200, 202)

    @property
    def due_at(self) -> float:
        return self.sent_at + self.time_left_ms / 1000


async def submit(record: Record, port: int, message: Message) -> None:
    """Hand a message in on a connection of its own, as a client would."""
    message.sent_at = record.add("hand_in", ref=message.ref, cls=message.cls, dest=message.dest)
    writer = None
    try:
        async with asyncio.timeout(CLIENT_PATIENCE_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request_bytes(message.ref, message.cls, message.dest, message.time_left_ms, message.key))
            first, _ = await read_head(reader)
            message.status = int(first.split(" ")[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    record.add("client_heard", ref=message.ref, status=message.status)
    if writer is not None:
        await close_writer(writer)


def ended_at(message: Message, platform: Platform, endpoints: list[Endpoint]) -> float | None:
    """Return when a message that was taken on ended: delivered or by a notice; None if it did not."""
    times = [at for endpoint in endpoints for at in endpoint.delivered.get(message.ref, [])]
    times += [at for at, _ in platform.notices.get(message.ref, [])]
    return min(times, default=None)


def run_case(folder: Path, case: Callable[[Record, Path, bool], Awaitable[str]]) -> int:
    """Run a case; return its exit code: 1 if `case` returns how the rule was broken, 0 if it returns nothing."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    record.add("start", trouble=with_trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, scratch, with_trouble), 110))
    except Exception as error:  # any fault of the case itself must not look like a broken rule
        record.add("could_not_run", why=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        log = scratch / "relay.log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines():
                if '"stats"' not in line:
                    record.add("relay_log", line=line[:2000])
        shutil.rmtree(scratch, ignore_errors=True)
    record.add("verdict", broken=broken)
    print(f"BROKEN: {broken}" if broken else "held")
    return 1 if broken else 0
