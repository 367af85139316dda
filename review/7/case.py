"""Clients stop in the middle of a request and stay; then usual clients hand in messages."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins  # noqa: E402

CLASSES = [standins.message_class("comanda", "by_key", 4000.0, 12000.0, 4000.0)]
DEADLINE_MS = 12000.0
OWED_S = 3.0 + standins.SLACK_MS / 1000  # DAYS: "an error (any 4xx or 5xx) or a close within 3 s of connecting"
PER_S = 20.0
LATER_CLIENTS = 3
BAD_CLIENTS = 100
SETTLE_S = 8.0  # from the last bad client to the hand-ins that are judged
JUDGED_S = 10.0


class BadClient:
    """Sends the head of a request and half of its body, reads what it is sent, and stays until the relay closes."""

    def __init__(self, record: standins.Record, port: int, class_name: str) -> None:
        self.record = record
        self.port = port
        self.class_name = class_name
        self.connected_at = 0.0
        self.served_after_s = float("inf")  # until its error or the end of the connection
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        try:
            reader, self._writer = await asyncio.open_connection(standins.HOST, self.port)
            self.connected_at = time.time()
            fields = [
                "POST /api HTTP/1.1",
                "Host: api.internal",
                f"X-Correlation-Id: bad{id(self):x}",
                f"X-Service-Class: {self.class_name}",
                "X-Account: acme",
                "X-Time-Left: 4000m",
                "Idempotency-Key: 00112233445566778899aabbccddeeff",
                "Content-Length: 200",
                "Envelope: dest=1",
            ]
            self._writer.write("\r\n".join([*fields, "", ""]).encode() + b"x" * 100)
            data = await reader.read(4096)
        except OSError:
            data = b""
        self.served_after_s = time.time() - (self.connected_at or time.time())
        first_line = data.partition(b"\r\n")[0].decode() or "closed"
        self.record.write("bad-client", cls=self.class_name, after=round(self.served_after_s, 2), got=first_line)

    def end(self) -> None:
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.transport.abort()


async def case(record: standins.Record, work: Path, with_trouble: bool) -> list[str]:
    discovery = standins.Discovery(record)
    await discovery.start()
    endpoint = standins.Endpoint(record, "s-1", 1)
    await endpoint.start()
    discovery.entries[endpoint.name] = endpoint.entry()
    relay = standins.Relay(
        record,
        work,
        {
            "name": "n0",
            "discovery": discovery.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": discovery.full_list(),
            "settings": standins.settings(CLASSES, slots=10),
        },
    )
    clients = standins.Clients(record, lambda: relay.address)
    bad_clients: list[BadClient] = []
    tasks: set[asyncio.Task[object]] = set()

    def add_bad_client(class_name: str) -> None:
        bad_clients.append(BadClient(record, relay.port, class_name))
        tasks.add(asyncio.create_task(bad_clients[-1].run()))

    async def traffic(seconds: float) -> list[standins.Message]:
        started_at = time.time()
        sent: list[asyncio.Task[standins.Message]] = []
        while time.time() < started_at + seconds:
            sent.append(asyncio.create_task(clients.hand_in("comanda", 1, DEADLINE_MS)))
            await asyncio.sleep(max(0.0, started_at + len(sent) / PER_S - time.time()))
        return list(await asyncio.gather(*sent))

    try:
        await relay.start()
        await traffic(2.0)
        if with_trouble:
            record.write("trouble", what="one client stops in the middle of its body and stays")
            add_bad_client("comanda")
        await traffic(4.0)
        if with_trouble:
            record.write("trouble", what="some more do the same")
            for _ in range(LATER_CLIENTS):
                add_bad_client("comanda")
        await traffic(4.0)
        if with_trouble:
            record.write("trouble", what="clients with an unknown class stop in the middle of their body and stay")
            for _ in range(BAD_CLIENTS):
                add_bad_client("nosuch")
                await asyncio.sleep(0.02)
        await traffic(SETTLE_S)
        record.write("judged")
        judged = await traffic(JUDGED_S)
        breaks = [
            f"bad client of class {each.class_name}: neither an error nor a close within 3 s"
            for each in bad_clients
            if each.served_after_s > OWED_S
        ]
        unanswered = [each for each in judged if not each.status]
        print(f"hand-ins judged {len(judged)}, not answered {len(unanswered)}, bad clients not served {len(breaks)}")
        faults = relay.log_lines("fault")
        record.write("faults", count=len(faults), first=faults[0] if faults else "")
        if len(unanswered) == len(judged):
            breaks.insert(0, f"no hand-in was answered for {JUDGED_S:.0f} s ({len(judged)} on new connections)")
        return breaks
    finally:
        relay.end()
        clients.close()
        for bad_client in bad_clients:
            bad_client.end()
        for task in tasks:
            task.cancel()
        await endpoint.die()
        await discovery.stop()


standins.main(case, __file__)
