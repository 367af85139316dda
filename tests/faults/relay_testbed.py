"""A small fleet in one event loop: registry, partner and relays on loopback, with records for the rule checker."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from linnetstile.as2_relay.relay import As2Relay
from linnetstile.codec import cms, http1
from linnetstile.config.relay import RelaySettings, split_address
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnerEmulator, PartnersSpec
from linnetstile.emulators.record import Recorder, now_ms, read_record
from linnetstile.emulators.registry import Change, RegistryEmulator, RegistrySpec
from linnetstile.net import client
from linnetstile.telemetry.log import logger
from linnetstile.testbed.rule_checker import RuleChecker, RunRecord, Verdict

TEST_TIMEOUT_S = 40
ANSWER_TIMEOUT_S = 12
WARM_UP_MESSAGES = 6  # for each relay: so many answers make its latency known
IDENTITIES = ("firma", "relay", "office")
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
PARTNER: dict[str, Any] = {
    "name": "firma",
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
}
LIMITS: dict[str, Any] = {
    "slots": 8,
    "hold": 100,
    "attempts": 5,
    "connect_timeout_ms": 500,
    "self_check_ms": 50,
}


class RelayTestbed:
    """Use it as `async with RelayTestbed(tmp_path, ...) as testbed`; `seconds()` counts from the end of its start.

    Each relay checks its invariants every 50 ms; what it finds fails the test at the end of the block.

    Attributes:
        services: The relays that were started.
        stand: The emulator of the partner "firma".
        registry: The emulator of the partner registry.
        ports: Port of each endpoint of the partner, by its identifier.
        keys: The identities of the partner, the relays and the client "office".
    """

    def __init__(
        self,
        folder: Path,
        *,
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
        """Describe the fleet.

        Args:
            folder: Where keys and records are written.
            relays: Number of relays to start.
            faults: Faults of the partner, with times from the end of the start.
            partner: Fields of the partner that differ from `PARTNER`.
            endpoints: Number of the partner's endpoints.
            classes: Message classes instead of `CLASSES`.
            limits: Limits of the relays that differ from `LIMITS`.
            register: Fields of the registry's specification.
            warm: Whether each relay delivers some messages first.
            knowledge: Gossip settings of the relays.
            fleet: How many relays the relays are told there are, if not as many as are started.
            tls: How the relays reach the partner over TLS.
        """
        self.folder = folder
        self.keys = {name: cms.make_identity(name) for name in IDENTITIES}
        for name, identity in self.keys.items():
            (folder / f"{name}.pem").write_bytes(cms.encode_identity(identity))
        self.relay_count = relays
        self.fleet = fleet or relays
        self.faults = faults or []
        self.classes = classes or CLASSES
        self.limits = LIMITS | (limits or {})
        self.registry_spec = register or {}
        self.warm = warm and "safe" in self.classes
        self.knowledge = knowledge
        self.tls = tls
        self.partner = {
            **PARTNER,
            "endpoints": [{"id": number + 1} for number in range(endpoints)],
            "pem": folder / "firma.pem",
            **(partner or {}),
        }
        self.loop_errors: list[str] = []
        self.relays: list[As2Relay] = []
        self.serial_numbers = itertools.count(1)
        self.client_record = Recorder(folder / "clients.jsonl")
        self.relay_lifetimes: dict[str, list[list[Any]]] = {}

    async def __aenter__(self) -> RelayTestbed:
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)
        self.partner_emulator = PartnerEmulator(
            PartnersSpec.model_validate(
                {
                    "record": self.folder / "partners.jsonl",
                    "t0_ms": now_ms() + 1e9,
                    "partners": [self.partner],
                    "faults": self.faults,
                }
            )
        )
        self.ports = await self.partner_emulator.start()
        self.registry = RegistryEmulator(
            RegistrySpec.model_validate(
                {
                    "lag_ms": 0,
                    "record": self.folder / "register.jsonl",
                    **self.registry_spec,
                    "entries": [self.registry_entry(endpoint) for endpoint in self.ports],
                }
            )
        )
        await self.registry.start()
        self.pool = client.ConnectionPool()
        for _ in range(self.relay_count):
            await self.start_relay(knowledge=self.knowledge)
        if self.warm:
            await self._warm_up()
        # The script's clock starts once everything stands, and the relays know the usual latency.
        self.partner_emulator.script_start_ms = self.registry.script_start_ms = now_ms()
        self.partner_emulator.schedule_outages()
        return self

    async def __aexit__(self, *error: object) -> None:
        self.pool.close()
        for relay in self.relays:
            relay.close()
        self.registry.close()
        self.partner_emulator.close()
        self.client_record.flush()
        await asyncio.sleep(0.02)
        self.partner_emulator.recorder.flush()  # what the end of its connections showed
        assert not self.loop_errors, self.loop_errors[:3]

    def _on_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.loop_errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    async def _warm_up(self) -> None:
        for number in range(WARM_UP_MESSAGES * self.relay_count):
            answer = await self.submit(self.make_message("safe"), number % self.relay_count)
            assert answer_kind(answer) == "delivered"

    # -- the fleet -------------------------------------------------------------------------------------------

    def registry_entry(self, endpoint: int) -> dict[str, Any]:
        """Return what the registry lists of an endpoint."""
        scheme = "https" if self.partner.get("tls_pem") else "http"
        return {
            "id": endpoint,
            "partner": "firma",
            "url": f"{scheme}://127.0.0.1:{self.ports[endpoint]}/as2",
            "status": "ready",
            "rate": self.partner["rate"] or 50.0,
        }

    def relay_settings(self, name: str, **more: Any) -> RelaySettings:
        """Return the settings of a relay; `more` has fields that are added or replaced."""
        return RelaySettings.model_validate(
            {
                "name": name,
                "register": f"http://127.0.0.1:{self.registry.port}",
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

    async def start_relay(self, wait: bool = True, knowledge: dict[str, Any] | None = None) -> As2Relay:
        """Start one more relay; with `wait`, return once it has the endpoint list."""
        name = f"r{len(self.relays) + 1}"
        more = {"knowledge": knowledge} if knowledge else {}
        relay = As2Relay(self.relay_settings(name, **more), logger("error"), seed=len(self.relays))
        await relay.start()
        self.relays.append(relay)
        self.relay_lifetimes[name] = [[now_ms(), None, ""]]
        if wait:
            await wait_until(lambda: relay.registry.version >= 0)
        return relay

    def kill_relay(self, index: int) -> None:
        """End everything of a relay at once, as its sockets show it."""
        self.relays[index].close()
        self.relay_lifetimes[f"r{index + 1}"][-1][1:] = [now_ms(), "killed"]

    def change_endpoint(self, endpoint: int, status: str) -> None:
        """Change the status of an endpoint in the registry."""
        self.registry.apply_change(Change.model_validate({"at_s": 0, "id": endpoint, "status": status}))

    def elapsed_s(self) -> float:
        """Return the time since the end of the start."""
        return self.partner_emulator.elapsed_s()

    async def sleep_until(self, seconds: float) -> None:
        """Sleep until so long after the end of the start."""
        await asyncio.sleep(max(0.0, seconds - self.elapsed_s()))

    # -- messages --------------------------------------------------------------------------------------------

    def make_message(self, message_class: str, content: bytes = b"ISA*00~", **more: Any) -> messages.BuiltMessage:
        """Make a message from "office" to the partner, under a fresh identifier unless `ident` is given."""
        more.setdefault("ident", f"<{next(self.serial_numbers)}@office>")
        ident = more.pop("ident")
        return messages.build_message("office", more.pop("to", "firma"), ident, message_class, content, **more)

    async def submit(self, message: messages.BuiltMessage, relay: int = 0) -> client.CallResult:
        """Submit a message, wait for the answer on the connection, and record both."""
        mark = f"h{next(self.serial_numbers)}"
        self.client_record(
            "hand",
            hand=mark,
            mid=message.head.message_id,
            relay=f"r{relay + 1}",
            cls=message.head.subject,
            again=False,
            sender="office",
            receiver="firma",
            wait="",
        )
        answer = await self.post(self.relays[relay].address, message)
        if answer.head is None:
            self.client_record("lost", hand=mark, mid=message.head.message_id, sight=answer.wire_result.value)
        else:
            self.client_record(
                "final",
                hand=mark,
                mid=message.head.message_id,
                kind=answer_kind(answer),
                status=answer.head.status,
                receipt=self._receipt_status(message, answer),
                digest=str(hash(answer.body)),
            )
        return answer

    def _receipt_status(self, message: messages.BuiltMessage, answer: client.CallResult) -> str:
        """Return what the receipt in an answer is worth to the client."""
        if answer.head is None or answer.head.status != 200 or not message.head.receipt_to:
            return "none"
        signer = "relay" if answer_kind(answer) in ("failed", "refused") else "firma"
        return messages.check_receipt(message, answer.head.headers, answer.body, self.keys[signer].certificate)[0].value

    async def post(self, address: str, message: messages.BuiltMessage, path: str = "/as2") -> client.CallResult:
        """Post a message to an address and return the answer."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[client.CallResult] = loop.create_future()

        def on_answer(answer: client.CallResult) -> None:
            if not done.done():
                done.set_result(answer)

        data = http1.encode_request("POST", path, [("Host", address), *message.headers], message.body)
        self.pool.call(split_address(address), "POST", data, on_answer, loop.time() + ANSWER_TIMEOUT_S)
        return await done

    async def submit_evenly(
        self, message_class: str, per_s: float, seconds: float, relays: int | None = None
    ) -> list[client.CallResult]:
        """Submit evenly spaced messages to the relays in turn, and return all answers."""
        tasks, start = [], self.elapsed_s()
        for number in range(int(per_s * seconds)):
            await self.sleep_until(start + number / per_s)
            relay = number % (relays or self.relay_count)
            tasks.append(asyncio.create_task(self.submit(self.make_message(message_class), relay)))
        return list(await asyncio.gather(*tasks))

    # -- records ---------------------------------------------------------------------------------------------

    def partner_records(self, event: str) -> list[dict[str, Any]]:
        """Return the partner's records of an event since the end of the start."""
        self.partner_emulator.recorder.flush()
        records = read_record(self.folder / "partners.jsonl")
        return [
            record
            for record in records
            if record["ev"] == event and record["t"] >= self.partner_emulator.script_start_ms
        ]

    def check_rules(self) -> list[Verdict]:
        """Check the rules by the records; call it after the fleet has ended."""
        records = [
            sorted(read_record(self.folder / f"{name}.jsonl"), key=lambda record: float(record["t"]))
            for name in ("partners", "clients", "register")
        ]
        classes = {
            name: {"worth": 1.0, "late_share": 0.0, **message_class} for name, message_class in self.classes.items()
        }
        facts = {
            "classes": classes,
            "safety": SAFETY,
            "attempts": self.limits["attempts"],
            "relays": self.relay_lifetimes,
            "partners": {"firma": {"rate": self.partner["rate"]}},
        }
        return RuleChecker(RunRecord(facts, *records)).check_rules()

    def broken_rules(self) -> list[str]:
        """Return what broke a rule; call it after the fleet has ended."""
        return [text for verdict in self.check_rules() for text in verdict.findings]


def answer_kind(answer: client.CallResult) -> str:
    """Return the kind of an answer, or how the call ended without one."""
    return answer.head.headers.get("linnetstile-answer") if answer.head else answer.wire_result.value


async def wait_until(condition: Callable[[], bool], poll_s: float = 0.005) -> None:
    """Sleep until a condition holds; the test's timeout ends a wait in vain."""
    while not condition():  # noqa: ASYNC110 (the conditions have no event: they read other objects' state)
        await asyncio.sleep(poll_s)


def run_test(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's coroutine, with a bound on its time."""
    asyncio.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))
