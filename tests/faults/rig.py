"""A small fleet in one loop: register, partners and relays on loopback, and records that the judge reads."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from linnetstile.as2_relay.relay import As2Relay
from linnetstile.codec import cms, http1
from linnetstile.config.relay import RelaySettings, split
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnersSpec, Stand
from linnetstile.emulators.record import Recorder, now_ms, read
from linnetstile.emulators.registry import Change, RegisterSpec, RegisterStand
from linnetstile.net import client
from linnetstile.telemetry.log import logger
from linnetstile.testbed.rule_checker import Judge, Run, Verdict

CLASSES: dict[str, Any] = {
    "keyed": {"effect": "keyed", "aim_ms": 1000, "deadline_ms": 8000, "key_window_ms": 4000},
    "unsafe": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 4000},
    "safe": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 8000},
}
SAFETY = {
    "drain_grace_ms": 100.0,
    "cold_share": 0.2,
    "cold_ms": 4000.0,
    "fall_multiple": 2.0,
    "fall_ms": 1000.0,
    "ask_within_ms": 2000.0,
    "key_rest_ms": 50.0,
    "answer_slack_ms": 20.0,
}


class Rig:
    """`async with Rig(tmp_path, ...) as rig`; `seconds()` counts from the moment everything stands."""

    def __init__(
        self,
        folder: Path,
        relays: int = 1,
        faults: list[dict[str, Any]] | None = None,
        partner: dict[str, Any] | None = None,
        endpoints: int = 1,
        classes: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
        register: dict[str, Any] | None = None,
        warm: bool = True,
        knowledge: dict[str, Any] | None = None,
        fleet: int = 0,
        tls: dict[str, Any] | None = None,
    ) -> None:
        self.tls = tls  # how the relays reach the partner
        self.knowledge = knowledge
        self.fleet = fleet or relays  # how many the relays are told there are
        self.folder = folder
        self.keys = {name: cms.make_identity(name) for name in ("firma", "relay", "office")}
        for name, identity in self.keys.items():
            (folder / f"{name}.pem").write_bytes(cms.save(identity))
        self.partner = {
            "name": "firma",
            "endpoints": [{"id": n + 1} for n in range(endpoints)],
            "work_ms": 40,
            "spread": 0.0,
            "rate": 50.0,
            "tell": 1.0,
            "keyed": ["keyed"],
            "key_window_ms": 4000,
            "cold_share": 0.2,
            "cold_ms": 4000,
            "fall_multiple": 2,
            "fall_ms": 1000,
            "pem": folder / "firma.pem",
            **(partner or {}),
        }
        self.faults = faults or []
        self.warm = warm and "safe" in (classes or CLASSES)
        self.relays = relays
        self.classes = classes or CLASSES
        self.limits = {
            "slots": 8,
            "hold": 100,
            "attempts": 5,
            "connect_timeout_ms": 500,
            "self_check_ms": 50,
            **(limits or {}),
        }
        self.faulty: list[str] = []
        self.register_spec = register or {}
        self.services: list[As2Relay] = []
        self.serial = itertools.count(1)
        self.hands = Recorder(folder / "clients.jsonl")
        self.lives: dict[str, list[list[Any]]] = {}

    async def __aenter__(self) -> Rig:
        # A relay checks itself as it runs; what it finds fails the test.
        asyncio.get_running_loop().set_exception_handler(
            lambda _, told: self.faulty.append(f"{told.get('message')}: {told.get('exception')!r}")
        )
        self.stand = Stand(
            PartnersSpec.model_validate(
                {
                    "record": self.folder / "partners.jsonl",
                    "t0_ms": now_ms() + 1e9,
                    "partners": [self.partner],
                    "faults": self.faults,
                }
            )
        )
        self.ports = await self.stand.start()
        self.register = RegisterStand(
            RegisterSpec.model_validate(
                {
                    "lag_ms": 0,
                    "record": self.folder / "register.jsonl",
                    **self.register_spec,
                    "entries": [self.entry(ident) for ident in self.ports],
                }
            )
        )
        await self.register.start()
        self.pool = client.Pool()
        for _ in range(self.relays):
            await self.relay(knowledge=self.knowledge)
        for n in range(6 * self.relays * self.warm):
            assert kind(await self.hand(self.make("safe"), n % self.relays)) == "delivered"
        # The script's clock starts once everything stands, and the relays know the usual pace.
        self.stand.t0 = self.register.t0 = now_ms()
        self.stand.plan()
        return self

    def entry(self, ident: int) -> dict[str, Any]:
        scheme = "https" if self.partner.get("tls_pem") else "http"
        return {
            "id": ident,
            "partner": "firma",
            "url": f"{scheme}://127.0.0.1:{self.ports[ident]}/as2",
            "status": "ready",
            "rate": self.partner["rate"] or 50.0,
        }

    def settings(self, name: str, **more: Any) -> RelaySettings:
        return RelaySettings.model_validate(
            {
                "name": name,
                "register": f"http://127.0.0.1:{self.register.port}",
                "relays": self.fleet,
                "identity": {"pem": self.folder / "relay.pem"},
                "classes": self.classes,
                "safety": SAFETY,
                "rules": [{"class": name, "subject": name} for name in self.classes],
                "limits": self.limits,
                "partners": {
                    "firma": {
                        "certificate": self.folder / "firma.pem",
                        "tls": self.tls,
                        "receipts": self.partner.get("receipts", "sync"),
                    }
                },
                **more,
            }
        )

    async def relay(self, wait: bool = True, knowledge: dict[str, Any] | None = None) -> As2Relay:
        name = f"r{len(self.services) + 1}"
        more = {"knowledge": knowledge} if knowledge else {}
        service = As2Relay(self.settings(name, **more), logger("error"), seed=len(self.services))
        await service.start()
        self.services.append(service)
        self.lives[name] = [[now_ms(), None, ""]]
        while wait and service.register.version < 0:
            await asyncio.sleep(0.005)
        return service

    def seconds(self) -> float:
        return self.stand.seconds()

    async def until(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds - self.seconds()))

    def change(self, ident: int, status: str) -> None:
        self.register.change(Change.model_validate({"at_s": 0, "id": ident, "status": status}))

    def kill(self, n: int) -> None:
        """Everything of a relay ends at once, as its sockets show it."""
        self.services[n].close()
        self.lives[f"r{n + 1}"][-1][1:] = [now_ms(), "killed"]

    def make(self, message_class: str, content: bytes = b"ISA*00~", **more: Any) -> messages.Made:
        more.setdefault("ident", f"<{next(self.serial)}@office>")
        ident = more.pop("ident")
        return messages.make("office", more.pop("to", "firma"), ident, message_class, content, **more)

    async def hand(self, made: messages.Made, relay: int = 0) -> client.Answer:
        """Hands a message in and waits for the answer on the connection."""
        mark, name = f"h{next(self.serial)}", f"r{relay + 1}"
        self.hands(
            "hand",
            hand=mark,
            mid=made.head.id,
            relay=name,
            cls=made.head.subject,
            again=False,
            sender="office",
            receiver="firma",
            wait="",
        )
        answer = await self.post(self.services[relay].address, made)
        if answer.head is None:
            self.hands("lost", hand=mark, mid=made.head.id, sight=answer.sight.value)
        else:
            kind = answer.head.headers.get("linnetstile-answer")
            signer = self.keys["relay" if kind in ("failed", "refused") else "firma"].certificate
            receipt = "none"
            if answer.head.status == 200 and made.head.notify:
                receipt = messages.check(made, answer.head.headers, answer.body, signer)[0].value
            self.hands(
                "final",
                hand=mark,
                mid=made.head.id,
                kind=kind,
                status=answer.head.status,
                receipt=receipt,
                digest=str(hash(answer.body)),
            )
        return answer

    async def post(self, address: str, made: messages.Made, path: str = "/as2") -> client.Answer:
        done: asyncio.Future[client.Answer] = asyncio.get_running_loop().create_future()
        data = http1.request("POST", path, [("Host", address), *made.headers], made.body)
        self.pool.call(
            split(address),
            "POST",
            data,
            lambda answer: None if done.done() else done.set_result(answer),
            asyncio.get_running_loop().time() + 12,
        )
        return await done

    async def load(
        self, message_class: str, per_s: float, seconds: float, relays: int | None = None
    ) -> list[client.Answer]:
        """Evenly spaced messages over the relays in turn; returns all answers."""
        tasks, start = [], self.seconds()
        for n in range(int(per_s * seconds)):
            await self.until(start + n / per_s)
            tasks.append(asyncio.create_task(self.hand(self.make(message_class), n % (relays or self.relays))))
        return list(await asyncio.gather(*tasks))

    def rows(self, ev: str) -> list[dict[str, Any]]:
        self.stand.record.flush()
        return [row for row in read(self.folder / "partners.jsonl") if row["ev"] == ev and row["t"] >= self.stand.t0]

    async def __aexit__(self, *error: object) -> None:
        self.pool.close()
        for service in self.services:
            service.close()
        self.register.close()
        self.stand.close()
        self.hands.flush()
        await asyncio.sleep(0.02)
        self.stand.record.flush()  # what the end of its connections showed
        assert not self.faulty, self.faulty[:3]

    def judge(self) -> list[Verdict]:
        """The rules, from the records. Call it after the fleet has ended."""
        rows = [
            sorted(read(self.folder / f"{n}.jsonl"), key=lambda row: float(row["t"]))
            for n in ("partners", "clients", "register")
        ]
        classes = {
            name: {"worth": 1.0, "late_share": 0.0, **message_class} for name, message_class in self.classes.items()
        }
        facts = {
            "classes": classes,
            "safety": SAFETY,
            "attempts": self.limits["attempts"],
            "relays": self.lives,
            "partners": {"firma": {"rate": self.partner["rate"]}},
        }
        return Judge(Run(facts, *rows)).judge()

    def broken(self) -> list[str]:
        return [text for verdict in self.judge() for text in verdict.findings]


def kind(answer: client.Answer) -> str:
    return answer.head.headers.get("linnetstile-answer") if answer.head else answer.sight.value


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """A test's coroutine, with a bound on its time."""
    asyncio.run(asyncio.wait_for(test(), 40))
