"""The local admin socket: what a live relay holds, for people (`linnetstile show`) and for scrapers (/metrics).

It listens in the file system, for its owner alone, and only reads; no answer of it changes what the relay does."""

from __future__ import annotations

import json
import os
import stat
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..config.relay import split
from ..engine.fair_share import BYTES, MESSAGES
from ..net import client, server
from ..telemetry.metrics import Sample, page
from .admission import origin_of

if TYPE_CHECKING:
    from .relay import As2Relay

ROWS = 1000  # in one answer; `total` tells how many there are


class Admin:
    def __init__(self, service: As2Relay, path: Path | None, metrics: str | None) -> None:
        self.service = service
        self.path = path
        self.address = metrics
        bounds = server.Bounds(connections=16, idle_s=5.0, answer_rate=1024.0)
        self.server = server.Server(self._serve, bounds=bounds)
        self.scraped = server.Server(self._scrape, bounds=bounds)
        self.views = {"connections": self.connections, "queues": self.queues, "slow": self.slow}

    async def start(self) -> None:
        """Takes the place of a socket that a relay before it left; anything else at the path is an error."""
        if self.address is not None:
            host, port = split(self.address)
            self.address = f"{host}:{await self.scraped.start(host, port)}"
        if self.path is None:
            return
        try:
            if not stat.S_ISSOCK(os.lstat(self.path).st_mode):
                raise OSError(f"{self.path}: expected a socket or nothing there")
            self.path.unlink()
        except FileNotFoundError:
            pass
        await self.server.start_local(str(self.path))
        self.inode = os.lstat(self.path).st_ino

    def close(self) -> None:
        self.server.close()
        self.scraped.close()
        try:
            if self.path is not None and os.lstat(self.path).st_ino == self.inode:  # not that of a relay started since
                self.path.unlink()
        except OSError:
            pass

    def _scrape(self, exchange: server.RequestContext) -> None:
        if exchange.head.method == "GET" and exchange.head.target == "/metrics":
            exchange.reply(200, [("Content-Type", "text/plain; version=0.0.4; charset=utf-8")], page(self.samples()))
        else:
            exchange.reply(404, [("Content-Type", "text/plain")], b"/metrics only\n")

    def _serve(self, exchange: server.RequestContext) -> None:
        path = exchange.head.target.strip("/")
        if exchange.head.method != "GET":
            exchange.reply(405, [("Content-Type", "text/plain")], b"GET only\n")
        elif path == "metrics":
            self._scrape(exchange)
        elif path in self.views:
            document = json.dumps({"relay": self.service.s.name, **self.views[path]()}).encode()
            exchange.reply(200, [("Content-Type", "application/json")], document)
        else:
            exchange.reply(404, [("Content-Type", "text/plain")], b"connections, queues, slow or metrics\n")

    # -- what there is to see ----------------------------------------------------------------------------

    def connections(self) -> dict[str, Any]:
        """Each connection: who, at what, for how long, how much of what; those that stand longest first."""
        service, now = self.service, self.service.loop.time()
        rows = []
        for conn in service.server.open:
            origin = origin_of(conn.current)
            rows.append(
                {
                    "side": "client",
                    "peer": conn.peer(),
                    "phase": conn.phase,
                    "age_s": round(now - conn.opened, 1),
                    "phase_s": round(now - conn.since, 1),
                    "read": conn.came,
                    "unsent": conn.unsent,
                    "patience": round(conn.patience, 2),
                    "message": origin.message if origin else "",
                    "sender": origin.sender if origin else "",
                    "partner": origin.partner if origin else "",
                }
            )
        places = service.register.places.values()
        partners: dict[client.Address, str] = {place.address: place.partner for place in places}
        for out in service.pool.open:
            busy = "request" if out.partial else "answer" if out.came else "work"
            phase = "idle" if out.call is None else busy
            rows.append(
                {
                    "side": "partner",
                    "peer": client.shown(out.address),
                    "phase": phase,
                    "age_s": round(now - out.began, 1),
                    "phase_s": round(now - out.began, 1),
                    "read": out.came,
                    "unsent": out.unsent if not out.dead else 0,
                    "patience": round(out.patience, 2),
                    "message": "",
                    "sender": "",
                    "partner": partners.get(out.address, ""),
                }
            )
        rows.sort(key=lambda row: (-float(str(row["phase_s"])), str(row["peer"])))
        phases = Counter(f"{row['side']} {row['phase']}" for row in rows)
        return {
            "total": len(rows),
            "bound": service.server.bounds.connections,
            "phases": dict(sorted(phases.items())),
            "rows": rows[:ROWS],
        }

    def queues(self) -> dict[str, Any]:
        """Who holds how much of the room, and what their fair part is; then what waits for each partner."""
        service = self.service
        shares = service.room.shares
        parties = [
            {
                "tree": tree,
                "party": party.path(),
                "bytes": int(party.used[BYTES]),
                "messages": int(party.used[MESSAGES]),
                "waiting": party.waiting,
                "weight": party.weight,
                "fair_bytes": int(shares.fair_part(party, BYTES)),
                "fair_messages": int(shares.fair_part(party, MESSAGES)),
            }
            for tree, party in shares.nodes()
        ]
        parties.sort(key=lambda row: -int(str(row["bytes"])))
        names = {number: name for name, number in service.register.partners.items()}
        out = Counter(carried.head.receiver for carried in service.carried.values() if carried.attempt is not None)
        partners = [
            {
                "partner": names.get(destination, "?"),
                "queued": len(queue),
                "out": out.get(names.get(destination, "?"), 0),
            }
            for destination, queue in service.relay.queues.queues.items()
        ]
        listed = {row["partner"] for row in partners}
        partners += [{"partner": name, "queued": 0, "out": n} for name, n in out.items() if name not in listed]
        partners.sort(key=lambda row: -int(str(row["queued"])))
        return {
            "room": {
                "bytes": shares.capacity[BYTES],
                "held_bytes": int(shares.used[BYTES]),
                "messages": shares.capacity[MESSAGES],
                "held_messages": int(shares.used[MESSAGES]),
                "waiting": len(service.room.waiting),
                "slots": service.s.limits.slots,
                "slots_out": service.relay.in_flight,
            },
            "total": len(parties),
            "parties": parties[:ROWS],
            "partners": partners[:ROWS],
        }

    def slow(self) -> dict[str, Any]:
        """Offices by slot time, the slow ones first, and why."""
        now, offices = self.service.room.now, self.service.room.offices
        rows = [
            {
                "partner": o.name,
                "slow_s": round((now - o.slow_since) / 1000, 1) if o.slow_since else None,
                "slot_ms": round(offices.slot_ms(now, o)),
                "out": len(o.in_flight),
                "entered": o.times_slow,
                "why": o.reason,
            }
            for o in offices.partners.values()
        ]
        rows.sort(key=lambda row: (row["slow_s"] is None, -int(str(row["slot_ms"]))))
        return {"usual_ms": round(offices.median_slot_ms()), "total": len(rows), "rows": rows[:ROWS]}

    def samples(self) -> Iterator[Sample]:
        service = self.service
        shares, found = service.room.shares, self.connections()
        for what, count in service.counts.items():
            yield Sample("events", "counter", "What the relay did, by name.", count, (("what", what),))
        for what, count in service.server.counts.items():
            yield Sample("listener", "counter", "Connections refused or let go, by bound.", count, (("what", what),))
        for what, count in service.pool.counts.items():
            yield Sample("pool", "counter", "Connections to partners.", count, (("what", what),))
        for what, count in shares.counts.items():
            yield Sample("room", "counter", "Asks for room, by what came of them.", count, (("what", what),))
        for phase, count in found["phases"].items():
            side, _, name = phase.partition(" ")
            yield Sample("connections", "gauge", "Open connections.", count, (("side", side), ("phase", name)))
        for n, name in ((BYTES, "bytes"), (MESSAGES, "messages")):
            yield Sample(f"held_{name}", "gauge", "Held for messages and bodies under way.", shares.used[n])
            yield Sample(f"room_{name}", "gauge", "The bound on what is held.", shares.capacity[n])
            for tree, root in shares.trees.items():
                for party in root.children.values():
                    yield Sample(
                        f"party_held_{name}",
                        "gauge",
                        "Held by tenant (from) or partner (to).",
                        party.used[n],
                        (("tree", tree), ("party", party.name)),
                    )
        yield Sample(
            "waiting_for_room", "gauge", "Requests that are not read on for want of room.", len(service.room.waiting)
        )
        yield Sample("slots_out", "gauge", "Calls out.", service.relay.in_flight)
        yield Sample("slots", "gauge", "Calls that may be out.", service.s.limits.slots)
        yield Sample("memory_bound_bytes", "gauge", "What the process is to stay under.", service.s.memory_bound())
        for row in self.slow()["rows"]:
            labels = (("partner", str(row["partner"])),)
            yield Sample(
                "partner_slow", "gauge", "1 while the partner counts as slow.", float(row["slow_s"] is not None), labels
            )
            yield Sample("partner_slot_ms", "gauge", "Slot time of an attempt.", row["slot_ms"], labels)
