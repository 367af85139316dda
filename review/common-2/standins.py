"""Stand-ins of the platform for the cases of the second review: discovery, endpoints, clients, and a relay process.

Standard library only. Everything listens on loopback addresses and free ports. One asyncio loop runs all stand-ins of a
case; each relay is a process of its own, started by the line `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CLIENT_TIMEOUT_S = 0.4  # PROTOCOL: "A client waits 400 ms for this answer."
SLACK_MS = 50.0  # PROTOCOL: "Each time limit grows by 50 ms."
LOST_AFTER_MS = 300.0 + SLACK_MS  # PROTOCOL: "300 ms after its time is up"
READY_GRACE_MS = 1500.0 + SLACK_MS  # PROTOCOL: no notice is overdue until 1.5 s after the relay is ready again
EMPTY_LINE_S = 2.0
MAY_HAVE_RUN = "may have run"
NEVER_RAN = "never ran"


# A loopback address of this process alone: cases that run side by side can't take each other's ports.
HOST = "127.{}.{}.{}".format(*(random.SystemRandom().randrange(1, 255) for _ in range(3)))
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port below the range that the system gives to connections, so that it stays free over a restart."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as a process does that dies."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError, ValueError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """The record of a case: one line an event, times in s since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.time()

    def write(self, event: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.time() - self.started_at:9.4f} {event} {text}\n")

    def close(self) -> None:
        self._file.flush()
        self._file.close()


@dataclass
class Head:
    first_line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


# -- discovery ---------------------------------------------------------------------------------------------------


class Discovery:
    """Discovery's agent and the platform: the endpoint list, its watches, and the notices.

    Attributes:
        is_down: The agent is silent: it accepts connections and answers nothing. Notices are answered all the same.
        silent: Open watches that have fallen silent for good.
        told_at: Unix time (s) at which the latest state of an endpoint was written to the relay.
        notices: Result of each notice, by id, with its Unix time: the first one counts.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 40
        self.entries: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.is_down = False
        self.silent: set[asyncio.StreamWriter] = set()
        self.told_at: dict[tuple[str, str], float] = {}
        self.notices: dict[str, tuple[float, str]] = {}
        self.address = ""
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.Queue[bytes]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port or free_port())
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def full_list(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, *changes: dict[str, Any]) -> None:
        """Publish changed entries; one with the state DELETED leaves the list."""
        self.version += 1
        for entry in changes:
            if entry["state"] == "DELETED":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
            self.log.append((self.version, entry))
            self.record.write("list", id=entry["id"], state=entry["state"], cell=entry["cell"], addr=entry["addr"])
        line = json.dumps({"version": self.version, "full": False, "servers": list(changes)}).encode() + b"\n"
        for watch in self._watches:
            watch.put_nowait(line)

    def _mark_told(self, entries: list[dict[str, Any]]) -> None:
        for entry in entries:
            self.told_at.setdefault((entry["id"], entry["state"]), time.time())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                method, target, _ = head.first_line.split(" ")
                body = await reader.readexactly(int(head.headers.get("content-length", "0")))
                if target.startswith("/v2/finals"):
                    self._take_notices(body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                elif "follow=1" in target:
                    await self._watch(target, writer)
                    return
                else:
                    while self.is_down:
                        await asyncio.sleep(0.05)
                    data = json.dumps(self.full_list()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _take_notices(self, body: bytes) -> None:
        for line in body.decode().splitlines():
            if line.strip():
                notice = json.loads(line)
                self.notices.setdefault(notice["ref"], (time.time(), notice["result"]))
                self.record.write("notice", id=notice["ref"], result=notice["result"])

    async def _watch(self, target: str, writer: asyncio.StreamWriter) -> None:
        def write(data: bytes) -> None:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

        while self.is_down:
            await asyncio.sleep(0.05)
            if writer.transport.is_closing():
                return
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self._watches.add(queue)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if "since=" in target:
                since = int(target.partition("since=")[2].partition("&")[0])
                entries = [entry for version, entry in self.log if version > since]
                first = {"version": self.version, "full": False, "servers": entries}
            else:
                first = self.full_list()
            write(json.dumps(first).encode() + b"\n")
            self._mark_told(first["servers"])
            await writer.drain()
            while not writer.transport.is_closing():
                try:
                    line = await asyncio.wait_for(queue.get(), EMPTY_LINE_S)
                except TimeoutError:
                    line = b"\n"
                while self.is_down or writer in self.silent:
                    await asyncio.sleep(0.02)
                    if writer.transport.is_closing():
                        return
                write(line)
                await writer.drain()
                if line.strip():
                    self._mark_told(json.loads(line)["servers"])
        finally:
            self._watches.discard(queue)

    async def stop(self) -> None:
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)


# -- endpoints ---------------------------------------------------------------------------------------------------


@dataclass
class Call:
    """One call that an endpoint has received to its last byte."""

    endpoint: str
    message: str
    key: str
    begun_at: float
    last_byte_at: float
    connection: int
    effect: str = MAY_HAVE_RUN
    status: str = ""
    ended_at: float | None = None  # its answer was written, or its connection ended


Behaviour = Callable[["Endpoint", Call], Awaitable["Plan"]]


@dataclass
class Plan:
    """How an endpoint ends a call: raw bytes to write, or a reset or a close without an answer."""

    data: bytes = b""
    status: str = "200"
    effect: str = MAY_HAVE_RUN
    reset: bool = False
    close: bool = False


def answer(status: int, headers: str = "", effect: str = MAY_HAVE_RUN) -> Plan:
    data = f"HTTP/1.1 {status} X\r\nContent-Length: 3\r\n{headers}\r\nok\n".encode()
    return Plan(data, str(status), effect)


async def sound(endpoint: Endpoint, call: Call) -> Plan:
    """Answer 200 after the usual time."""
    await asyncio.sleep(endpoint.work_s * random.uniform(0.8, 1.2))
    return answer(200)


async def hang(endpoint: Endpoint, call: Call) -> Plan:
    """Take the call and answer nothing, until the relay gives up."""
    await asyncio.sleep(3600)
    return Plan()


class Endpoint:
    """One endpoint of a destination: an HTTP server that records its calls."""

    numbers = 0

    def __init__(self, record: Record, name: str, cell: int, work_s: float = 0.1, behaviour: Behaviour = sound) -> None:
        self.record = record
        self.name = name
        self.cell = cell
        self.work_s = work_s
        self.behaviour = behaviour
        self.calls: list[Call] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        port = port or free_port()
        for _ in range(40):
            try:
                self._server = await asyncio.start_server(self._serve, HOST, port, reuse_address=True)
                break
            except OSError:
                await asyncio.sleep(0.05)
        assert self._server is not None, f"port {port} is not free"
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, state: str = "SERVING", weight: float = 60.0) -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "z",
            "kind": "k",
            "cell": self.cell,
            "state": state,
            "weight": weight,
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        Endpoint.numbers += 1
        connection = Endpoint.numbers
        self._writers.add(writer)
        call: Call | None = None
        try:
            while True:
                head = await read_head(reader)
                begun_at = time.time()
                await reader.readexactly(int(head.headers.get("content-length", "0")))
                call = Call(
                    self.name,
                    head.headers.get("x-correlation-id", ""),
                    head.headers.get("idempotency-key", ""),
                    begun_at,
                    time.time(),
                    connection,
                )
                self.calls.append(call)
                self.record.write("call", endpoint=self.name, id=call.message, conn=connection)
                plan = await self._run(reader, call)
                if plan is None:
                    break
                call.status, call.effect = plan.status, plan.effect
                if plan.reset:
                    call.status = "reset"
                    reset(writer)
                    break
                writer.write(plan.data)
                call.ended_at = time.time()
                self.record.write("answered", endpoint=self.name, id=call.message, status=call.status)
                await writer.drain()
                if plan.close:
                    break
                call = None
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            if call is not None and call.ended_at is None:
                call.ended_at = time.time()
                self.record.write("unanswered", endpoint=self.name, id=call.message, status=call.status or "ended")
            self._writers.discard(writer)
            writer.close()

    async def _run(self, reader: asyncio.StreamReader, call: Call) -> Plan | None:
        """Return the plan of a call; None if its connection ends before."""
        work = asyncio.ensure_future(self.behaviour(self, call))
        end = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
            return work.result() if work.done() else None
        finally:
            for task in (work, end):
                if not task.done():
                    task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError, OSError):
                await end

    async def die(self) -> None:
        """End as a process that dies: connections are reset, new ones refused."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)


# -- clients -----------------------------------------------------------------------------------------------------


@dataclass
class Message:
    """One hand-in of a message."""

    id: str
    class_name: str
    dest: int
    sent_at: float
    deadline: float  # Unix time, s
    status: int = 0  # 0: not answered
    answered_at: float | None = None
    outcome: str = ""  # how the client saw the hand-in end


class Clients:
    """Clients that hand in messages over kept connections, one request at a time on each."""

    def __init__(self, record: Record, address: Callable[[], str], seed: int = 1) -> None:
        self.record = record
        self.address = address
        self.messages: dict[str, Message] = {}
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._rng = random.Random(seed)
        self._names = f"{self._rng.getrandbits(32):08x}"

    def new_id(self) -> str:
        return f"{self._names}{self._rng.getrandbits(32):08x}"

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bool]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not writer.transport.is_closing() and not reader.at_eof():
                return reader, writer, True
            writer.close()
        host, _, port = self.address().rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return reader, writer, False

    async def hand_in(
        self,
        class_name: str,
        dest: int,
        time_left_ms: float,
        body: bytes = b"x" * 200,
        path: str = "/api",
        mark: str = "",
    ) -> Message:
        """Hand in one message; on a kept connection that has just been closed, send it once more on a new one."""
        now = time.time()
        message = Message(self.new_id(), class_name, dest, now, now + time_left_ms / 1000)
        self.messages[message.id] = message
        fields = [
            f"POST {path} HTTP/1.1",
            "Host: api.internal",
            f"X-Correlation-Id: {message.id}",
            f"X-Service-Class: {class_name}",
            "X-Account: acme",
            f"X-Time-Left: {time_left_ms:.0f}m",
            f"Idempotency-Key: {message.id}{message.id}",
            f"Content-Length: {len(body)}",
            f"Envelope: dest={dest}",
        ]
        if mark:
            fields.append(f"X-Repeat: {mark}")
        request = "\r\n".join([*fields, "", ""]).encode() + body
        self.record.write("hand-in", id=message.id, cls=class_name, dest=dest, ms=round(time_left_ms))
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                await self._exchange(message, request)
        except TimeoutError:
            message.outcome = "no answer in 400 ms"
        except (OSError, asyncio.IncompleteReadError, ConnectionError) as error:
            message.outcome = f"connection: {type(error).__name__}"
        self.record.write("client", id=message.id, status=message.status, outcome=message.outcome or "answered")
        return message

    async def _exchange(self, message: Message, request: bytes) -> None:
        while True:
            reader, writer, is_kept = await self._connection()
            try:
                writer.write(request)
                await writer.drain()
                head = await read_head(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                if is_kept:
                    continue  # it crossed the end of a resting connection: once more on a new one
                raise
            except BaseException:
                writer.transport.abort()
                raise
            message.status = int(head.first_line.split(" ")[1])
            message.answered_at = time.time()
            await reader.readexactly(int(head.headers.get("content-length", "0")))
            if head.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self._idle.append((reader, writer))
            return

    def close(self) -> None:
        for _, writer in self._idle:
            writer.close()


# -- the relay ---------------------------------------------------------------------------------------------------


def settings(classes: list[dict[str, Any]], slots: int = 24, open_cap: int = 210, **changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment."""
    result = {
        "az": 0,
        "balancers": 1,
        "classes": classes,
        "client-habits": {"marks-retry": True},
        "extra": {
            "call-slots": slots,
            "carriage": [0.0],
            "loses-worth": "halves",
            "per-call": [1],
            "separate-routes": [False],
        },
        "feedback": {"fields": [], "how": "silent"},
        "goal": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.3},
        "index": 0,
        "kinds": ["k"],
        "limits": {
            "cancelling": True,
            "conn-idle-ms": 10000.0,
            "connect-timeout-ms": 1500.0,
            "max-retry-after-ms": 3000.0,
            "open-cap": open_cap,
            "peers": False,
            "probing": False,
            "retry-after": False,
            "second-copies": False,
            "streams-per-conn": 1,
            "try-limit": 8,
        },
        "orgs": [{"fraction": 1.0, "name": "acme", "quota-per-s": 200.0}],
        "over-share-worth": 0.1,
        "registry-mode": "push",
        "safety": {
            "answer-slack-ms": 20.0,
            "ask-within-ms": 10000.0,
            "cold-from": 0.18,
            "cold-ms": 11000.0,
            "drain-grace-ms": 250.0,
            "fall-ms": 1500.0,
            "fall-multiple": 2.0,
        },
        "tick-ms": 5.0,
        "tier": 0,
        "tiers": ["partners"],
        "weight-kind": "nominal",
        "zones": ["z"],
    }
    result.update(changes)
    return result


def message_class(
    name: str, effect: str, aim: float, deadline: float, window: float = 5000.0, **more: Any
) -> dict[str, Any]:
    return {
        "aim-ms": aim,
        "deadline-ms": deadline,
        "dedup-scope": "all",
        "effect": effect,
        "late-share": 0.5,
        "name": name,
        "window-ms": window,
        "worth": 1.0,
        **more,
    }


class Relay:
    """One relay process, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, configuration: dict[str, Any]) -> None:
        self.record = record
        self.folder = folder
        self.configuration = configuration
        self.port = free_port()
        self.log_path = folder / "relay.log"
        self.ready_at: list[float] = []
        self.down_since: list[float] = []  # Unix times (s) of each SIGTERM or SIGKILL of a restart
        self._process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def write_configuration(self, **changes: Any) -> None:
        self.configuration.update(changes)
        path = self.folder / "config.json"
        new = self.folder / "config.json.new"
        new.write_text(json.dumps({**self.configuration, "listen": self.address, "seed": f"{self.starts + 255:x}"}))
        new.rename(path)

    async def start(self, wait_ready_s: float = 30.0) -> None:
        self.starts += 1
        self.write_configuration()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        tmp = self.folder / f"tmp{self.starts}"
        tmp.mkdir()
        environment |= {
            "GW_NAME": str(self.configuration.get("name", "n0")),
            "GW_LISTEN": self.address,
            "GW_DISCOVERY": str(self.configuration["discovery"]),
            "GW_CONFIG": str(self.folder / "config.json"),
            "GW_STATE": str(self.folder / "state"),
            "TMPDIR": str(tmp),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("relay-start", pid=self._process.pid)
        until = time.time() + wait_ready_s
        while time.time() < until:
            if await self.is_ready() and self._process.poll() is None:
                self.ready_at.append(time.time())
                self.record.write("relay-ready")
                return
            if self._process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        raise CannotRun(f"the relay is not ready: exit code {self._process.poll()}")

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")
                    return (await read_head(reader)).first_line.split(" ")[1] == "200"
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
            return False

    def signal(self, number: int) -> None:
        assert self._process is not None
        self.record.write("signal", number=signal.Signals(number).name)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.down_since.append(time.time())
        self._process.send_signal(number)

    def exit_code(self) -> int | None:
        assert self._process is not None
        return self._process.poll()

    async def wait_ended(self, timeout_s: float = 10.0) -> int | None:
        until = time.time() + timeout_s
        while time.time() < until and self.exit_code() is None:
            await asyncio.sleep(0.01)
        return self.exit_code()

    async def kill_and_restart(self, pause_s: float = 0.6) -> None:
        self.signal(signal.SIGKILL)
        await self.wait_ended()
        await asyncio.sleep(pause_s)
        await self.start()

    def end(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if isinstance(entry, dict) and entry.get("event") == event:
                    lines.append(entry)
        return lines


class CannotRun(Exception):
    """The case could not run."""


# -- the rules ---------------------------------------------------------------------------------------------------


def overdue_after(relay: Relay, deadline: float) -> float:
    """Return the Unix time (s) after which a message with this deadline is lost, with the grace of restarts."""
    due = deadline + LOST_AFTER_MS / 1000
    for down_at in relay.down_since:
        ready_at = next((at for at in relay.ready_at if at > down_at), float("inf"))
        if down_at <= due <= ready_at + READY_GRACE_MS / 1000:
            due = ready_at + READY_GRACE_MS / 1000
    return due


def lost_messages(clients: Clients, endpoints: list[Endpoint], discovery: Discovery, relay: Relay) -> list[Message]:
    """Return the messages that were taken on and got neither a delivery nor a notice in time."""
    delivered: dict[str, float] = {}
    for endpoint in endpoints:
        for call in endpoint.calls:
            if call.status == "200" and call.ended_at is not None:
                delivered.setdefault(call.message, call.ended_at)
    lost = []
    for message in clients.messages.values():
        if message.status not in (200, 202):
            continue
        due = overdue_after(relay, message.deadline)
        if time.time() < due:
            continue  # not due yet when the case ends
        ends = [delivered.get(message.id, float("inf"))]
        if message.id in discovery.notices:
            ends.append(discovery.notices[message.id][0])
        if min(ends) > due:
            lost.append(message)
    return lost


def duplicates(clients: Clients, endpoints: list[Endpoint], classes: list[dict[str, Any]]) -> list[str]:
    """Return breaks of the rule on duplicates, as text."""
    by_name = {each["name"]: each for each in classes}
    by_message: dict[str, list[Call]] = {}
    for endpoint in endpoints:
        for call in endpoint.calls:
            by_message.setdefault(call.message, []).append(call)
    breaks = []
    for message_id, calls in by_message.items():
        message = clients.messages.get(message_id)
        if message is None:
            breaks.append(f"{message_id}: nobody sent it")
            continue
        calls.sort(key=lambda call: call.last_byte_at)
        effect = by_name[message.class_name]["effect"]
        first_unclear: Call | None = None
        for index, call in enumerate(calls):
            for earlier in calls[:index]:
                if earlier.ended_at is None or earlier.ended_at > call.last_byte_at + SLACK_MS / 1000:
                    breaks.append(f"{message_id}: second copy at {call.endpoint}")
            if first_unclear is not None and effect == "once":
                breaks.append(f"{message_id}: {effect}, sent again to {call.endpoint} after it may have run")
            if first_unclear is not None and effect == "by_key":
                window_s = (by_name[message.class_name]["window-ms"] + SLACK_MS) / 1000
                if call.last_byte_at > first_unclear.begun_at + window_s:
                    breaks.append(f"{message_id}: by_key, sent again after its window")
            if call.effect == MAY_HAVE_RUN and first_unclear is None:
                first_unclear = call
    return breaks


def wrong_destinations(clients: Clients, endpoints: list[Endpoint]) -> list[str]:
    """Return calls that reached an endpoint of another destination."""
    return [
        f"{call.message}: for dest {clients.messages[call.message].dest}, got to {endpoint.name} of cell {endpoint.cell}"
        for endpoint in endpoints
        for call in endpoint.calls
        if call.message in clients.messages and clients.messages[call.message].dest != endpoint.cell
    ]


def late_to_drained(endpoints: list[Endpoint], discovery: Discovery, grace_ms: float) -> list[str]:
    """Return calls that began at an endpoint after the grace since the relay was told that it drains or is gone."""
    breaks = []
    for endpoint in endpoints:
        told = [discovery.told_at.get((endpoint.name, state)) for state in ("DRAINING", "DELETED")]
        times = [at for at in told if at is not None]
        if times:
            limit = min(times) + (grace_ms + SLACK_MS) / 1000
            breaks += [f"{call.message}: to {endpoint.name}" for call in endpoint.calls if call.begun_at > limit]
    return breaks


# -- running a case ----------------------------------------------------------------------------------------------


def run_case(folder: Path, case: Callable[[Record, Path, bool], Awaitable[list[str]]], limit_s: float = 115.0) -> int:
    """Run a case; return 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("start", trouble=int(with_trouble))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the case's own clean-up then ends its processes

    async def bounded(work: Path) -> list[str]:
        async with asyncio.timeout(limit_s):
            return await case(record, work, with_trouble)

    try:
        with tempfile.TemporaryDirectory(prefix="review-") as work:
            breaks = asyncio.run(bounded(Path(work)))
    except CannotRun as error:
        record.write("cannot-run", why=error)
        print(f"cannot run: {error}")
        return 2
    except (OSError, TimeoutError) as error:
        record.write("cannot-run", why=repr(error))
        print(f"cannot run: {error!r}")
        return 2
    finally:
        record.close()
    with (folder / "record.txt").open("a", encoding="utf-8") as file:
        for each in breaks:
            file.write(f"BROKEN {each}\n")
        file.write(f"verdict {'broken' if breaks else 'held'}\n")
    for each in breaks[:10]:
        print(each)
    print(f"{'broken' if breaks else 'held'}: {len(breaks)} breaks")
    return 1 if breaks else 0


def main(case: Callable[[Record, Path, bool], Awaitable[list[str]]], file: str) -> None:
    sys.exit(run_case(Path(file).resolve().parent, case))
