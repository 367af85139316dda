"""Plays a day: register, partners, relays and clients as processes of their own, troubles by the clock."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from ..codec import cms
from ..emulators.record import now_ms
from ..emulators.faults import matches_any as named
from .day import Day

START_S = 20.0  # how long a process may take to tell its address


class PlayError(Exception):
    """A process of the run did not start or ended by itself."""


@dataclass(slots=True)
class Process:
    name: str
    child: asyncio.subprocess.Process
    ready: dict[str, Any] = field(default_factory=dict)


class Player:
    def __init__(self, day: Day, folder: Path, say: Callable[[str], None]) -> None:
        self.day = day
        self.folder = folder
        self.say = say
        self.processes: list[Process] = []
        self.lives: dict[str, list[list[Any]]] = {}
        self.partners: list[dict[str, Any]] = []
        self.t0 = 0.0

    # -- files -----------------------------------------------------------------------------------------------

    def _pem(self, name: str) -> str:
        path = self.folder / "keys" / f"{name}.pem"
        if not path.exists():
            path.write_bytes(cms.save(cms.make_identity(name)))
        return str(path)

    def _write(self, name: str, data: dict[str, Any]) -> Path:
        path = self.folder / name
        path.write_text(yaml.safe_dump(data, sort_keys=False), encoding="utf-8")
        return path

    def _partners(self) -> None:
        """Specs of all partners with their part of the traffic; `usual` is what each gets of it a second."""
        day, ident = self.day, 1
        for group in day.partners:
            for n in range(group.count):
                name = f"{group.name}-{n + 1}"
                self.partners.append(
                    {
                        "group": group,
                        "name": name,
                        "weight": group.weight * (n + 1) ** -group.skew,
                        "ids": list(range(ident, ident + group.endpoints)),
                    }
                )
                ident += group.endpoints
        flows = self.flows()
        for partner in self.partners:
            partner["usual"] = sum(flow["per_s"] for flow in flows if flow["receiver"] == partner["name"])
            group = partner["group"]
            partner["rate"] = max(group.limit_least, group.limit * partner["usual"]) if group.limit else 0.0

    def flows(self) -> list[dict[str, Any]]:
        day, found = self.day, []
        shares = sum(message_class.share for message_class in day.classes.values())
        senders = sum(day.traffic.senders.values())
        for name, message_class in day.classes.items():
            fit = [p for p in self.partners if not message_class.kinds or p["group"].name in message_class.kinds]
            weights = sum(p["weight"] for p in fit)
            for partner in fit:
                for sender, part in day.traffic.senders.items():
                    per_s = (
                        day.traffic.per_s * message_class.share / shares * partner["weight"] / weights * part / senders
                    )
                    found.append(
                        {"sender": sender, "receiver": partner["name"], "cls": name, "subject": name, "per_s": per_s}
                    )
        return found

    def _partner_file(self) -> Path:
        day = self.day
        keyed = [name for name, message_class in day.classes.items() if message_class.effect == "keyed"]
        window = max((message_class.key_window_ms for message_class in day.classes.values()), default=0.0)
        specs = []
        for partner in self.partners:
            group = partner["group"]
            specs.append(
                {
                    "name": partner["name"],
                    "kind": group.name,
                    "endpoints": [{"id": n} for n in partner["ids"]],
                    "work_ms": group.work_ms,
                    "spread": group.spread,
                    "servers": group.servers,
                    "rate": partner["rate"],
                    "window_ms": group.window_ms,
                    "tell": group.tell,
                    "tell_as": group.tell_as,
                    "refused_count": group.refused_count,
                    "keyed": keyed,
                    "key_window_ms": window,
                    "receipts": group.receipts,
                    "pem": self._pem(partner["name"]),
                    "cold_share": day.safety.cold_share,
                    "cold_ms": day.safety.cold_ms,
                    "fall_multiple": day.safety.fall_multiple,
                    "fall_ms": day.safety.fall_ms,
                }
            )
        return self._write(
            "partners.yaml",
            {
                "seed": day.seed,
                "record": str(self.folder / "partners.jsonl"),
                "t0_ms": self.t0,
                "partners": specs,
                "faults": [fault.model_dump() for fault in day.faults],
            },
        )

    def _register_file(self, ports: dict[str, int]) -> Path:
        entries = [
            {
                "id": n,
                "partner": p["name"],
                "url": f"http://127.0.0.1:{ports[str(n)]}/as2",
                "status": "ready",
                "kind": p["group"].name,
                "zone": "",
                "rate": round(p["rate"] or p["usual"] * 2, 3),
            }
            for p in self.partners
            for n in p["ids"]
        ]
        changes, troubles = [], []
        for trouble in self.day.troubles:
            if trouble.kind in ("discovery_stale", "register_fail"):
                kind = "stale" if trouble.kind == "discovery_stale" else "fail"
                troubles.append({"kind": kind, "at_s": trouble.at_s, "for_s": trouble.for_s})
            elif trouble.kind in ("drain", "gone", "replace"):
                for partner in self._named(trouble.partners):
                    last = partner["ids"][-1]
                    status = "draining" if trouble.kind == "drain" else "gone"
                    changes += [
                        {"at_s": trouble.at_s, "id": last, "status": status},
                        {"at_s": trouble.at_s + trouble.for_s, "id": last, "status": "ready"},
                    ]
        return self._write(
            "register.yaml",
            {
                "t0_ms": self.t0,
                "record": str(self.folder / "register.jsonl"),
                "lag_ms": self.day.register_lag_ms,
                "entries": entries,
                "changes": changes,
                "troubles": troubles,
            },
        )

    def _named(self, patterns: list[str]) -> list[dict[str, Any]]:
        return [p for p in self.partners if named(p["name"], patterns)]

    def _relay_file(self, name: str, register: str) -> Path:
        day = self.day
        return self._write(
            f"{name}.yaml",
            {
                "name": name,
                "listen": "127.0.0.1:0",
                "register": register,
                "relays": day.relays,
                "seed": day.seed,
                "identity": {"as2_name": "linnetstile", "pem": self._pem("relay")},
                "classes": {n: c.model_dump(exclude={"share", "kinds"}) for n, c in day.classes.items()},
                "kinds": {group.name: {} for group in day.partners},
                "rules": [{"class": n, "subject": n} for n in day.classes],
                "partners": {
                    p["name"]: {"certificate": self._pem(p["name"]), "receipts": p["group"].receipts}
                    for p in self.partners
                },
                "limits": {"slots": day.slots, "hold": day.hold, "attempts": day.attempts},
                "decay": day.decay,
                "safety": day.safety.model_dump(),
                **self._knowledge(name, []),
            },
        )

    def _knowledge(self, name: str, peers: list[str]) -> dict[str, Any]:
        if not self.day.learning:
            return {}
        token = self.folder / "keys" / "token"
        token.write_text(f"{self.day.name}-{self.t0}", encoding="utf-8")
        return {
            "knowledge": {
                "token_file": str(token),
                "snapshot": str(self.folder / f"{name}.know"),
                "snapshot_every_ms": 1000,
                "peers": peers,
            }
        }

    def _introduce(self, relays: list[Process]) -> None:
        """Once all addresses are known, they are in each relay's file: one that is started again has peers to ask."""
        for relay in relays:
            path = self.folder / f"{relay.name}.yaml"
            data = yaml.safe_load(path.read_text(encoding="utf-8"))
            others = [other.ready["listening"] for other in relays if other is not relay]
            self._write(path.name, data | self._knowledge(relay.name, others))

    def _client_file(self, relays: list[Process]) -> Path:
        day, traffic = self.day, self.day.traffic
        surges = [
            {
                "at_s": t.at_s,
                "for_s": t.for_s,
                "times": t.times,
                "receivers": [p["name"] for p in self._named(t.partners)],
            }
            for t in day.troubles
            if t.kind in ("burst", "hot_key")
        ]
        return self._write(
            "clients.yaml",
            {
                "seed": day.seed,
                "t0_ms": self.t0,
                "seconds": day.seconds,
                "record": str(self.folder / "clients.jsonl"),
                "relays": [{"name": r.name, "address": r.ready["listening"]} for r in relays],
                "classes": {n: {"effect": c.effect, "deadline_ms": c.deadline_ms} for n, c in day.classes.items()},
                "flows": self.flows(),
                "surges": surges,
                "senders_pem": {name: self._pem(name) for name in traffic.senders},
                "partners_pem": {p["name"]: self._pem(p["name"]) for p in self.partners},
                "relay_pem": self._pem("relay"),
                "signed": traffic.signed,
                "compressed": traffic.compressed,
                "asynchronous": traffic.asynchronous,
                "repeats": traffic.repeats,
                "bytes": traffic.bytes,
                "tries": traffic.tries,
            },
        )

    def _facts(self) -> None:
        day = self.day
        facts = {
            "day": day.name,
            "seed": day.seed,
            "seconds": day.seconds,
            "t0_ms": self.t0,
            "attempts": day.attempts,
            "classes": {n: c.model_dump() for n, c in day.classes.items()},
            "safety": day.safety.model_dump(),
            "partners": {p["name"]: {"rate": p["rate"], "usual": round(p["usual"], 3)} for p in self.partners},
            "relays": self.lives,
        }
        (self.folder / "run.json").write_text(json.dumps(facts, indent=1), encoding="utf-8")

    # -- processes -------------------------------------------------------------------------------------------

    async def _start(self, name: str, *args: str) -> Process:
        """Starts `linnetstile ARGS` and reads the line in which it tells that it is ready."""
        with (self.folder / f"{name}.log").open("ab") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "linnetstile.cli.main",
                *args,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        process = Process(name, child)
        self.processes.append(process)
        assert child.stdout is not None
        try:
            line = await asyncio.wait_for(child.stdout.readline(), START_S)
            process.ready = json.loads(line)
        except (TimeoutError, ValueError) as error:
            tail = (self.folder / f"{name}.log").read_text(errors="replace")[-400:]
            raise PlayError(f"{name} did not start: {tail.strip() or error}") from error
        return process

    async def _relay(self, n: int, register: str) -> Process:
        name = f"r{n}"
        file = self.folder / f"{name}.yaml"
        if not file.exists():
            file = self._relay_file(name, register)
        process = await self._start(name, "relay", str(file))
        if len(self.lives.setdefault(name, [])) == 0:  # from now on on this port, as its clients know it by that
            text = file.read_text(encoding="utf-8")
            file.write_text(text.replace("listen: 127.0.0.1:0", f"listen: {process.ready['listening']}"))
        self.lives[name].append([now_ms(), None, ""])
        return process

    async def _kill(self, process: Process, how: str) -> None:
        """Ends a process of this run, by its own handle; how = killed or stopped."""
        if process.child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.child.send_signal(signal.SIGKILL if how == "killed" else signal.SIGTERM)
        if process.name in self.lives:
            self.lives[process.name][-1][1:] = [now_ms(), how]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.child.wait(), 30.0)
        if process in self.processes:
            self.processes.remove(process)

    async def _crashes(self, relays: dict[int, Process], register: str) -> None:
        async def down(n: int, at_s: float, for_s: float) -> None:
            await asyncio.sleep(max(0.0, (self.t0 - now_ms()) / 1000 + at_s))
            self.say(f"{at_s:6.1f} s  r{n} is killed")
            await self._kill(relays[n], "killed")
            await asyncio.sleep(for_s)
            relays[n] = await self._relay(n, register)
            self.say(f"{(now_ms() - self.t0) / 1000:6.1f} s  r{n} is back")

        jobs = []
        for trouble in self.day.troubles:
            if trouble.kind == "balancer_crash":
                jobs += [down(n, trouble.at_s, trouble.for_s) for n in trouble.relays or [1]]
            elif trouble.kind == "balancer_roll":
                step = trouble.for_s / self.day.relays
                jobs += [down(n, trouble.at_s + step * (n - 1), trouble.down_s) for n in relays]
        await asyncio.gather(*jobs)

    async def play(self) -> None:
        """Runs the day to its end; the records are then in the folder."""
        (self.folder / "keys").mkdir(parents=True, exist_ok=True)
        self._partners()
        # A margin for start-up: nothing is scripted before t0, which all processes are told.
        self.t0 = now_ms() + 4000.0 + 700.0 * self.day.relays
        try:
            partners = await self._start("partners", "standin", "partner", str(self._partner_file()))
            register = await self._start(
                "register", "standin", "register", str(self._register_file(partners.ready["ports"]))
            )
            url = f"http://127.0.0.1:{register.ready['port']}"
            made = await asyncio.gather(*(self._relay(n + 1, url) for n in range(self.day.relays)))
            relays = {n + 1: process for n, process in enumerate(made)}
            self._introduce(list(made))
            if now_ms() > self.t0:
                raise PlayError("the processes took too long to start; fewer relays, or a less busy machine")
            clients = await self._start("clients", "standin", "client", str(self._client_file(list(made))))
            self.say(
                f"   0.0 s  {clients.ready['messages']} messages over {self.day.seconds:.0f} s, "
                f"{self.day.relays} relays, {sum(len(p['ids']) for p in self.partners)} endpoints"
            )
            crashes = asyncio.create_task(self._crashes(relays, url))
            for process in made:
                if process.child.returncode is not None:
                    raise PlayError(f"{process.name} ended by itself; see {self.folder}/{process.name}.log")
            limit = self.day.seconds + max(c.deadline_ms for c in self.day.classes.values()) / 1000 + 60.0
            await asyncio.wait_for(clients.child.wait(), limit)
            await crashes
            for process in list(relays.values()):
                if process.child.returncode is not None:
                    raise PlayError(f"{process.name} ended by itself; see {self.folder}/{process.name}.log")
                await self._kill(process, "stopped")
            await self._kill(partners, "stopped")
            await self._kill(register, "stopped")
        except TimeoutError as error:
            raise PlayError("the clients did not end in time") from error
        finally:
            for process in list(self.processes):
                await self._kill(process, "killed")
            self._facts()


def play(day: Day, folder: Path, say: Callable[[str], None]) -> None:
    asyncio.run(Player(day, folder, say).play())
