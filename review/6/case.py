"""A destination's only endpoint takes calls and answers none, and is then drained and replaced."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins  # noqa: E402

CLASSES = [
    standins.message_class("comanda", "by_key", 4000.0, 12000.0, 4000.0),
    standins.message_class("plata", "once", 3000.0, 12000.0),
]
DEADLINE_MS = 12000.0
OTHERS = 12  # destinations besides the one in trouble
BUSY = 1  # the destination in trouble
BUSY_PER_S = 12.0
CLUMP = 70  # messages for this destination that come at once
OTHERS_PER_S = 80.0
SLOTS = 86
# Times in s since the endpoint hangs.
DRAINS_S = 5.0
CLUMP_S = 0.5
ENDS_S = 6.0  # its process ends, and it leaves the list
REPLACED_S = 7.5
TRAFFIC_S = 10.0


async def case(record: standins.Record, work: Path, with_trouble: bool) -> list[str]:
    discovery = standins.Discovery(record)
    await discovery.start()
    endpoints = [standins.Endpoint(record, f"s-{cell}", cell) for cell in range(1, OTHERS + 2)]
    busy = endpoints[BUSY - 1]
    for endpoint in endpoints:
        await endpoint.start()
        discovery.entries[endpoint.name] = endpoint.entry()
    relay = standins.Relay(
        record,
        work,
        {
            "name": "n0",
            "discovery": discovery.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": discovery.full_list(),
            "settings": standins.settings(CLASSES, slots=SLOTS, open_cap=900),
        },
    )
    clients = standins.Clients(record, lambda: relay.address)
    tasks: set[asyncio.Task[standins.Message]] = set()

    def hand_in(class_name: str, dest: int) -> None:
        tasks.add(asyncio.create_task(clients.hand_in(class_name, dest, DEADLINE_MS)))

    async def traffic(per_s: float, number_of: int, class_name: str, first: int, until: float) -> None:
        started_at, sent = time.time(), 0
        while time.time() < until:
            hand_in(class_name, first + sent % number_of)
            sent += 1
            await asyncio.sleep(max(0.0, started_at + sent / per_s - time.time()))

    try:
        await relay.start()
        await asyncio.sleep(3.0)
        begin = time.time()
        if with_trouble:
            busy.behaviour = standins.hang
            record.write("trouble", what="hang", endpoint=busy.name, until_s=ENDS_S)
        both = asyncio.gather(
            traffic(BUSY_PER_S, 1, "plata", BUSY, begin + TRAFFIC_S),
            traffic(OTHERS_PER_S, OTHERS, "comanda", BUSY + 1, begin + TRAFFIC_S),
        )
        await asyncio.sleep(CLUMP_S)
        for _ in range(CLUMP):
            hand_in("plata", BUSY)
        if with_trouble:
            await asyncio.sleep(begin + DRAINS_S - time.time())
            discovery.change(busy.entry("DRAINING"))
            await asyncio.sleep(begin + ENDS_S - time.time())
            discovery.change(busy.entry("DELETED"))
            await busy.die()
            await asyncio.sleep(begin + REPLACED_S - time.time())
            new = standins.Endpoint(record, "s-new", BUSY)
            await new.start()
            endpoints.append(new)
            discovery.change(new.entry())
        await both
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, begin + TRAFFIC_S + DEADLINE_MS / 1000 + 1.0 - time.time()))
        if relay.exit_code() is not None:
            return [f"the relay ended with exit code {relay.exit_code()}"]
        lost = standins.lost_messages(clients, endpoints, discovery, relay)
        silent = [each for each in clients.messages.values() if not each.status]
        taken = sum(each.status in (200, 202) for each in clients.messages.values())
        print(f"handed in {len(clients.messages)}, taken on {taken}, lost {len(lost)}, not answered {len(silent)}")
        faults = relay.log_lines("fault")
        record.write("faults", count=len(faults), first=faults[0] if faults else "")
        return [f"{each.id}: class {each.class_name}, dest {each.dest}: taken on and lost" for each in lost]
    finally:
        relay.end()
        clients.close()
        for endpoint in endpoints:
            await endpoint.die()
        await discovery.stop()


standins.main(case, __file__)
