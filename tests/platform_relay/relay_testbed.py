"""The platform emulated on loopback: discovery with its watch and notices, endpoints that follow a script."""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from linnetstile.platform_relay import config
from linnetstile.platform_relay.relay import PlatformRelay

CLASSES = [
    {"name": "order", "effect": "by_key", "aim-ms": 1000.0, "deadline-ms": 6000.0, "window-ms": 4000.0},
    {"name": "pay", "effect": "once", "aim-ms": 1000.0, "deadline-ms": 6000.0},
    {"name": "state", "effect": "repeatable", "aim-ms": 1000.0, "deadline-ms": 6000.0},
    {"name": "charge", "effect": "once", "aim-ms": 1000.0, "deadline-ms": 6000.0, "by-arrival": True},
]
SETTINGS: dict[str, Any] = {
    "classes": CLASSES,
    "kinds": ["k"],
    "zones": ["z"],
    "orgs": [{"name": "acme", "quota-per-s": 100.0}],
    "extra": {"call-slots": 8},
    "balancers": 1,
    "weight-kind": "nominal",
    "limits": {
        "open-cap": 60,
        "try-limit": 4,
        "conn-idle-ms": 10000.0,
        "connect-timeout-ms": 500.0,
        "cancelling": True,
    },
    "safety": {"drain-grace-ms": 250.0, "cold-from": 0.2, "cold-ms": 5000.0, "fall-multiple": 2.0},
}
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one request or response with a length: first line, fields in lower case, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    return head[0], fields, await reader.readexactly(int(fields.get("content-length", "0")))


class RelayTestbed:
    """Relays, and the platform around them.

    `scripted_answers` has, by destination, the answers still to give, as bytes; None gives none. Without one left: 200.
    """

    def __init__(self, state: Path) -> None:
        self.state = state
        self.scripted_answers: dict[int, list[bytes | None]] = {}
        self.endpoint_calls: list[tuple[int, dict[str, str], bytes]] = []
        self.notices: list[dict[str, Any]] = []
        self.watch_writers: list[asyncio.StreamWriter] = []
        self.entries: list[dict[str, Any]] = []
        self.notice_status = [204]
        self.stalled_answers: list[bytes] = []  # a watch says this and no more, one after the other
        self.list_version = 1
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.relays: list[PlatformRelay] = []
        self.endpoint_connections = 0  # made to endpoints
        self.settings = SETTINGS  # the settings of the next relay

    async def listen(self, serve: Serve) -> int:
        async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            try:
                await serve(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()
                self.writers.discard(writer)

        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def add_endpoint(self, destination: int, state: str = "SERVING", serve: Serve | None = None) -> None:
        async def scripted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.endpoint_connections += 1
            while True:
                _, fields, body = await read_http(reader)
                self.endpoint_calls.append((destination, fields, body))
                answer = (
                    self.scripted_answers[destination].pop(0) if self.scripted_answers.get(destination) else OK_RESPONSE
                )
                if answer is not None:
                    writer.write(answer)

        port = await self.listen(serve or scripted)
        self.entries.append(
            {
                "id": f"s-{len(self.entries)}",
                "addr": f"127.0.0.1:{port}",
                "zone": "z",
                "kind": "k",
                "cell": destination,
                "state": state,
                "weight": 50.0,
                "started_ms": 0,
            }
        )

    async def start_discovery(self) -> tuple[str, int]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                first, _, body = await read_http(reader)
                if first.startswith("POST /v2/finals"):
                    status = self.notice_status.pop(0) if len(self.notice_status) > 1 else self.notice_status[0]
                    if status == 204:
                        self.notices += [json.loads(line) for line in body.splitlines()]
                    writer.write(
                        b"HTTP/1.1 %d X\r\n%s\r\n" % (status, b"" if status == 204 else b"Content-Length: 0\r\n")
                    )
                else:
                    self.watch_writers.append(writer)
                    if self.stalled_answers:
                        writer.write(self.stalled_answers.pop(0))
                        continue
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.send_list(writer, self.entries, True)

        return "127.0.0.1", await self.listen(serve)

    def send_list(self, writer: asyncio.StreamWriter, entries: list[dict[str, Any]], full: bool = False) -> None:
        self.list_version += 1
        line = json.dumps({"version": self.list_version, "full": full, "servers": entries}).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def start_relay(self, discovery: tuple[str, int] | None = None, **limits: Any) -> PlatformRelay:
        """Start a relay and wait until it is ready."""
        host, port = discovery or await self.start_discovery()
        self.state.parent.mkdir(parents=True, exist_ok=True)
        path = self.state.parent / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": f"{host}:{port}",
                    "seed": "1",
                    "limits": limits,
                    "settings": self.settings,
                }
            )
        )
        settings = config.load({"GW_CONFIG": str(path), "GW_STATE": str(self.state)})
        relay = PlatformRelay(settings, lambda event, **fields: None)
        await relay.start()
        self.relays.append(relay)
        return relay

    def stop_relay(self, relay: PlatformRelay) -> None:
        """End a relay in order; its folder is there for the next one."""
        self.relays.remove(relay)
        relay.close()

    def kill_relay(self, relay: PlatformRelay, folder: Path) -> None:
        """End a relay as a kill does: its folder as it is now is there for the next one, copied to `folder`."""
        shutil.copytree(self.state, folder)
        self.state = folder
        self.stop_relay(relay)

    def close(self) -> None:
        for relay in self.relays:
            relay.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for server in self.servers:
            server.close()


def port_of(relay: PlatformRelay) -> int:
    listening = relay.frontend.server._server
    assert listening is not None
    return int(listening.sockets[0].getsockname()[1])


def submission(
    submission_id: str,
    class_: str = "state",
    destination: int = 1,
    body: bytes = b"hello",
    left: str = "5000m",
    path: str = "/api",
    **more: str,
) -> bytes:
    fields = {
        "Host": "api.internal",
        "X-Correlation-Id": submission_id,
        "X-Service-Class": class_,
        "X-Account": "acme",
        "X-Time-Left": left,
        "Envelope": f"dest={destination}",
        "Content-Length": str(len(body)),
    }
    if class_ == "order":
        fields["Idempotency-Key"] = f"key-{submission_id}"
    fields |= {name.replace("_", "-"): value for name, value in more.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def request_status(relay: PlatformRelay, data: bytes, seconds: float = 3.0) -> int:
    """The status of the answer; 0 = closed without one. Raises TimeoutError."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port_of(relay))
    try:
        writer.write(data)
        async with asyncio.timeout(seconds):
            try:
                first = await reader.readline()
            except ConnectionError:
                first = b""
        return int(first.split()[1]) if first else 0
    finally:
        writer.close()


async def wait_until(done: Callable[[], object], seconds: float = 5.0) -> None:
    async with asyncio.timeout(seconds):
        while not done():  # noqa: ASYNC110  what is waited for is any state, not an event
            await asyncio.sleep(0.005)


Scenario = Callable[[RelayTestbed], Awaitable[None]]


def run_scenario(folder: Path, scenario: Scenario) -> None:
    """Run a scenario in a testbed of its own, with one endpoint of destination 1 and its state in `folder`."""

    async def run() -> None:
        testbed = RelayTestbed(folder / "journal")
        try:
            await testbed.add_endpoint(1)
            await scenario(testbed)
        finally:
            testbed.close()
            await asyncio.sleep(0)

    asyncio.run(run())


def is_idle(relay: PlatformRelay) -> bool:
    """Return whether a relay owes nothing, neither messages nor notices."""
    return not relay.accepted and not relay.reporter.pending_notices


def delivered_ids(testbed: RelayTestbed) -> list[str]:
    """Return the ids of the submissions that endpoints got, once for each attempt."""
    return [fields["x-correlation-id"] for _, fields, _ in testbed.endpoint_calls]
