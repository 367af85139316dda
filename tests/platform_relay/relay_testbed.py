"""The platform emulated on loopback: discovery with its watch and notices, endpoints with scripted responses."""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from linnetstile.platform_relay import config
from linnetstile.platform_relay.relay import PlatformRelay

from .http_messages import OK_RESPONSE, WATCH_RESPONSE_HEAD, chunk, read_http
from .list_factories import list_entry

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
NOTICE_PATH = "/v2/finals"
NOTICE_ACCEPTED = 204

Address = tuple[str, int]
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(frozen=True)
class EndpointCall:
    """A call that an endpoint received; the names in `fields` are in lower case."""

    destination: int
    fields: dict[str, str]
    body: bytes

    @property
    def submission_id(self) -> str:
        """The client's identifier of the message."""
        return self.fields["x-correlation-id"]


def with_limits(**limits: Any) -> dict[str, Any]:
    """Return the settings with other limits; _ stands for - in their names."""
    return SETTINGS | {"limits": SETTINGS["limits"] | {name.replace("_", "-"): limits[name] for name in limits}}


def with_state(entries: list[dict[str, Any]], state: str) -> list[dict[str, Any]]:
    """Return entries of a list, each in the given state."""
    return [{**entry, "state": state} for entry in entries]


class RelayTestbed:
    """Relays and the emulated platform.

    Attributes:
        state_folder: Folder of the next relay's journal.
        settings: Settings of the next relay.
        entries: Entries of discovery's list.
        known_list: The cached list in the next relay's configuration.
        scripted_responses: The next responses by destination, where None leaves a call without a response. Calls after
            the last one are answered 200.
        endpoint_calls: Calls that endpoints received.
        endpoint_connections: Number of connections made to endpoints.
        notices: Notices that the platform accepted.
        notice_statuses: Statuses with which the next posts of notices are answered; the last one is repeated.
        watch_writers: Writer of each watch's connection, in the order of their requests.
        stalled_watch_responses: Incomplete responses; each new watch gets the next one and nothing after it.
    """

    def __init__(self, state_folder: Path) -> None:
        self.state_folder = state_folder
        self.settings = SETTINGS
        self.entries: list[dict[str, Any]] = []
        self.known_list: dict[str, Any] = {}
        self.scripted_responses: dict[int, list[bytes | None]] = {}
        self.endpoint_calls: list[EndpointCall] = []
        self.endpoint_connections = 0
        self.notices: list[dict[str, Any]] = []
        self.notice_statuses = [NOTICE_ACCEPTED]
        self.watch_writers: list[asyncio.StreamWriter] = []
        self.stalled_watch_responses: list[bytes] = []
        self.list_version = 1
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.relays: list[PlatformRelay] = []

    # -- servers -------------------------------------------------------------------------------------------------

    async def listen(self, serve: Serve) -> int:
        """Serve connections on a new port; return it."""

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
        """Add an endpoint to discovery's list; without `serve` it gives the scripted responses."""

        async def serve_scripted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.endpoint_connections += 1
            while True:
                _, fields, body = await read_http(reader)
                self.endpoint_calls.append(EndpointCall(destination, fields, body))
                responses = self.scripted_responses.get(destination)
                response = responses.pop(0) if responses else OK_RESPONSE
                if response is not None:
                    writer.write(response)

        port = await self.listen(serve or serve_scripted)
        name = f"s-{len(self.entries)}"
        address = f"127.0.0.1:{port}"
        self.entries.append(list_entry(name, state, destination, addr=address, weight=50.0, started_ms=0))

    async def start_discovery(self) -> Address:
        """Start a server for watches and notices; return its address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                request_line, _, body = await read_http(reader)
                if request_line.startswith(f"POST {NOTICE_PATH}"):
                    self._receive_notices(writer, body)
                else:
                    self._open_watch(writer)

        return "127.0.0.1", await self.listen(serve)

    def _receive_notices(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        statuses = self.notice_statuses
        status = statuses.pop(0) if len(statuses) > 1 else statuses[0]
        if status == NOTICE_ACCEPTED:
            self.notices += [json.loads(line) for line in body.splitlines()]
            writer.write(b"HTTP/1.1 204 X\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)

    def _open_watch(self, writer: asyncio.StreamWriter) -> None:
        self.watch_writers.append(writer)
        if self.stalled_watch_responses:
            writer.write(self.stalled_watch_responses.pop(0))
            return
        writer.write(WATCH_RESPONSE_HEAD)
        self.send_list(self.entries, full=True)

    def send_list(self, entries: list[dict[str, Any]], full: bool = False) -> None:
        """Send a list, or changes of it, to the watch that was opened last."""
        self.list_version += 1
        line = json.dumps({"version": self.list_version, "full": full, "servers": entries}).encode() + b"\n"
        self.watch_writers[-1].write(chunk(line))

    # -- relays --------------------------------------------------------------------------------------------------

    async def start_relay(self, discovery_address: Address | None = None, **limits: Any) -> PlatformRelay:
        """Start a relay and wait until it is ready; `limits` are its resource limits."""
        host, port = discovery_address or await self.start_discovery()
        self.state_folder.parent.mkdir(parents=True, exist_ok=True)
        path = self.state_folder.parent / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": f"{host}:{port}",
                    "seed": "1",
                    "limits": limits,
                    "known": self.known_list,
                    "settings": self.settings,
                }
            )
        )
        settings = config.load({"GW_CONFIG": str(path), "GW_STATE": str(self.state_folder)})
        relay = PlatformRelay(settings, lambda event, **fields: None)
        await relay.start()
        self.relays.append(relay)
        return relay

    def stop_relay(self, relay: PlatformRelay) -> None:
        """Close a relay; the next one uses the same state folder."""
        self.relays.remove(relay)
        relay.close()

    def kill_relay(self, relay: PlatformRelay, folder: Path) -> None:
        """Simulate a kill: the next relay uses the state folder as it is now, copied to `folder`."""
        shutil.copytree(self.state_folder, folder)
        self.state_folder = folder
        self.stop_relay(relay)

    def close(self) -> None:
        for relay in self.relays:
            relay.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for server in self.servers:
            server.close()


async def wait_until(condition: Callable[[], object], timeout_s: float = 5.0) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110  a condition on any state has no event to wait for
            await asyncio.sleep(0.005)


def is_idle(relay: PlatformRelay) -> bool:
    """Return whether a relay has neither accepted messages nor pending notices."""
    return not relay.accepted and not relay.reporter.pending_notices


async def wait_until_idle(relay: PlatformRelay, timeout_s: float = 5.0) -> None:
    await wait_until(lambda: is_idle(relay), timeout_s)


def delivered_ids(testbed: RelayTestbed) -> list[str]:
    """Return the ids of the submissions that endpoints received, once for each attempt."""
    return [call.submission_id for call in testbed.endpoint_calls]


Scenario = Callable[[RelayTestbed], Awaitable[None]]


def run_scenario(folder: Path, scenario: Scenario) -> None:
    """Run a scenario in a new testbed, with one endpoint of destination 1 and its state in `folder`."""

    async def run() -> None:
        testbed = RelayTestbed(folder / "journal")
        try:
            await testbed.add_endpoint(1)
            await scenario(testbed)
        finally:
            testbed.close()
            await asyncio.sleep(0)

    asyncio.run(run())
