"""A small fleet in one event loop: registry, partner and relays on loopback, and records for the rule checker."""

from __future__ import annotations

import asyncio
import functools
import itertools
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, ParamSpec

from linnetstile.as2_relay.relay import As2Relay
from linnetstile.codec import cms, http1
from linnetstile.config.relay import RelaySettings, split_address
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnerEmulator, PartnersSpec
from linnetstile.emulators.record import Recorder, now_ms, read_record
from linnetstile.emulators.registry import Change, RegistryEmulator, RegistrySpec
from linnetstile.net import client
from linnetstile.telemetry.log import create_logger
from linnetstile.testbed.rule_checker import RuleChecker, RunRecord, Verdict

from .testbed_settings import CLASSES, CLIENT_NAME, LIMITS, PARTNER, PARTNER_NAME, RELAY_NAME, SAFETY

TEST_TIMEOUT_S = 40
ANSWER_TIMEOUT_S = 12
WARM_UP_MESSAGES = 6  # for each relay: the number of answers after which it knows the partner's latency
DEFAULT_RATE = 50.0  # calls per second that the registry advertises for a partner without a rate limit

P = ParamSpec("P")


class RelayTestbed:
    """An asynchronous context manager: `async with RelayTestbed(tmp_path, ...) as testbed` starts and stops the fleet.

    Each relay checks its invariants every 50 ms; a violation fails the test at the end of the block.

    Args:
        folder: Folder for keys and records.
        relays: Number of relays to start.
        faults: Faults of the partner, with times relative to the end of the start.
        partner: Fields of the partner that replace those of `PARTNER`.
        endpoints: Number of the partner's endpoints.
        classes: Message classes instead of `CLASSES`.
        limits: Limits of the relays that replace those of `LIMITS`.
        registry_fields: Fields of the registry's specification.
        warm_up: Whether each relay first delivers `WARM_UP_MESSAGES` messages, if there is a class "safe".
        gossip_settings: Gossip settings of the relays.
        configured_relay_count: Number of relays in the settings of each relay; 0 uses the number of relays that are
            started.
        tls: TLS settings of the relays for the partner.

    Attributes:
        relays: The relays that were started.
        partner_emulator: The emulator of the partner "firma".
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
        registry_fields: dict[str, Any] | None = None,
        warm_up: bool = True,
        gossip_settings: dict[str, Any] | None = None,
        configured_relay_count: int = 0,
        tls: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.keys = write_identities(folder)
        self.relay_count = relays
        self.configured_relay_count = configured_relay_count or relays
        self.faults = faults or []
        self.classes = classes or CLASSES
        self.limits = LIMITS | (limits or {})
        self.registry_spec = registry_fields or {}
        self.warm_up = warm_up and "safe" in self.classes
        self.gossip_settings = gossip_settings
        self.tls = tls
        endpoint_specs = [{"id": number + 1} for number in range(endpoints)]
        self.partner = {**PARTNER, "endpoints": endpoint_specs, "pem": folder / "firma.pem", **(partner or {})}
        self.loop_errors: list[str] = []
        self.relays: list[As2Relay] = []
        self.serial_numbers = itertools.count(1)
        self.client_record = Recorder(folder / "clients.jsonl")
        self.relay_lifetimes: dict[str, list[list[Any]]] = {}

    async def __aenter__(self) -> RelayTestbed:
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)
        self.partner_emulator = self._make_partner_emulator()
        self.ports = await self.partner_emulator.start()
        self.registry = self._make_registry_emulator()
        await self.registry.start()
        self.pool = client.ConnectionPool()
        for _ in range(self.relay_count):
            await self.start_relay(gossip_settings=self.gossip_settings)
        if self.warm_up:
            await self._warm_up()
        # Fault times are relative to this moment: all components run, and warm relays know the partner's latency.
        script_start_ms = now_ms()
        self.partner_emulator.script_start_ms = script_start_ms
        self.registry.script_start_ms = script_start_ms
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
        self.partner_emulator.recorder.flush()  # includes records written when its connections closed
        assert not self.loop_errors, self.loop_errors[:3]

    def _make_partner_emulator(self) -> PartnerEmulator:
        specification = {
            "record": self.folder / "partners.jsonl",
            "t0_ms": now_ms() + 1e9,
            "partners": [self.partner],
            "faults": self.faults,
        }
        return PartnerEmulator(PartnersSpec.model_validate(specification))

    def _make_registry_emulator(self) -> RegistryEmulator:
        specification = {
            "lag_ms": 0,
            "record": self.folder / "register.jsonl",
            **self.registry_spec,
            "entries": [self.registry_entry(endpoint) for endpoint in self.ports],
        }
        return RegistryEmulator(RegistrySpec.model_validate(specification))

    def _on_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.loop_errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    async def _warm_up(self) -> None:
        for number in range(WARM_UP_MESSAGES * self.relay_count):
            answer = await self.submit(self.make_message("safe"), number % self.relay_count)
            assert answer_kind(answer) == "delivered"

    # -- fleet -----------------------------------------------------------------------------------------------

    def registry_entry(self, endpoint: int) -> dict[str, Any]:
        """Return the registry entry of an endpoint."""
        scheme = "https" if self.partner.get("tls_pem") else "http"
        return {
            "id": endpoint,
            "partner": PARTNER_NAME,
            "url": f"{scheme}://127.0.0.1:{self.ports[endpoint]}/as2",
            "status": "ready",
            "rate": self.partner["rate"] or DEFAULT_RATE,
        }

    def relay_settings(self, name: str, **more: Any) -> RelaySettings:
        """Return the settings of a relay; the fields in `more` are added or replace others."""
        partner_settings = {
            "certificate": self.folder / "firma.pem",
            "tls": self.tls,
            "receipts": self.partner.get("receipts", "sync"),
        }
        document = {
            "name": name,
            "register": f"http://127.0.0.1:{self.registry.port}",
            "relays": self.configured_relay_count,
            "identity": {"pem": self.folder / "relay.pem"},
            "classes": self.classes,
            "safety": SAFETY,
            "rules": [{"class": class_name, "subject": class_name} for class_name in self.classes],
            "limits": self.limits,
            "partners": {PARTNER_NAME: partner_settings},
            **more,
        }
        return RelaySettings.model_validate(document)

    async def start_relay(self, wait: bool = True, gossip_settings: dict[str, Any] | None = None) -> As2Relay:
        """Start an additional relay; with `wait`, return when it has received the endpoint list."""
        name = f"r{len(self.relays) + 1}"
        more = {"knowledge": gossip_settings} if gossip_settings else {}
        relay = As2Relay(self.relay_settings(name, **more), create_logger("error"), seed=len(self.relays))
        await relay.start()
        self.relays.append(relay)
        self.relay_lifetimes[name] = [[now_ms(), None, ""]]
        if wait:
            await wait_until(lambda: relay.registry.version >= 0)
        return relay

    def kill_relay(self, index: int) -> None:
        """Close a relay at once, which its peers cannot distinguish from a killed process."""
        self.relays[index].close()
        self.relay_lifetimes[f"r{index + 1}"][-1][1:] = [now_ms(), "killed"]

    def change_endpoint(self, endpoint: int, status: str) -> None:
        """Change the status of an endpoint in the registry."""
        self.registry.apply_change(Change.model_validate({"at_s": 0, "id": endpoint, "status": status}))

    def elapsed_s(self) -> float:
        """Return the time since the end of the testbed's start."""
        return self.partner_emulator.elapsed_s()

    async def sleep_until(self, seconds: float) -> None:
        """Sleep until `elapsed_s()` has reached this number of seconds."""
        await asyncio.sleep(max(0.0, seconds - self.elapsed_s()))

    # -- messages --------------------------------------------------------------------------------------------

    def make_message(self, message_class: str, content: bytes = b"ISA*00~", **more: Any) -> messages.BuiltMessage:
        """Make a message from "office" to the partner, with a new identifier unless `ident` is given."""
        more.setdefault("ident", f"<{next(self.serial_numbers)}@office>")
        message_id = more.pop("ident")
        receiver = more.pop("to", PARTNER_NAME)
        return messages.build_message(CLIENT_NAME, receiver, message_id, message_class, content, **more)

    async def submit(self, message: messages.BuiltMessage, relay: int = 0) -> client.CallResult:
        """Submit a message, wait for the answer on the connection, and record both."""
        submission_id = f"h{next(self.serial_numbers)}"
        self.client_record(
            "hand",
            hand=submission_id,
            mid=message.head.message_id,
            relay=f"r{relay + 1}",
            cls=message.head.subject,
            again=False,
            sender=CLIENT_NAME,
            receiver=PARTNER_NAME,
            wait="",
        )
        answer = await self.post(self.relays[relay].address, message)
        if answer.head is None:
            self.client_record("lost", hand=submission_id, mid=message.head.message_id, sight=answer.wire_result.value)
        else:
            self.client_record(
                "final",
                hand=submission_id,
                mid=message.head.message_id,
                kind=answer_kind(answer),
                status=answer.head.status,
                receipt=self._receipt_status(message, answer),
                digest=str(hash(answer.body)),
            )
        return answer

    def _receipt_status(self, message: messages.BuiltMessage, answer: client.CallResult) -> str:
        """Return the status of the receipt in an answer, or "none" if there should be no receipt."""
        if answer.head is None or answer.head.status != 200 or not message.head.receipt_to:
            return "none"
        signer = RELAY_NAME if answer_kind(answer) in ("failed", "refused") else PARTNER_NAME
        certificate = self.keys[signer].certificate
        return messages.check_receipt(message, answer.head.headers, answer.body, certificate)[0].value

    async def post(self, address: str, message: messages.BuiltMessage, path: str = "/as2") -> client.CallResult:
        """Post a message to an address and return the answer."""
        headers = [("Host", address), *message.headers]
        return await self.call(address, http1.encode_request("POST", path, headers, message.body))

    async def call(self, address: str, data: bytes) -> client.CallResult:
        """Send the bytes of a POST request to an address and return the answer."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[client.CallResult] = loop.create_future()

        def on_answer(answer: client.CallResult) -> None:
            if not done.done():
                done.set_result(answer)

        self.pool.call(split_address(address), "POST", data, on_answer, loop.time() + ANSWER_TIMEOUT_S)
        return await done

    async def connect(self, relay: int = 0) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a bare connection to a relay."""
        host, port = split_address(self.relays[relay].address)
        return await asyncio.open_connection(host, port)

    async def submit_evenly(
        self, message_class: str, per_s: float, seconds: float, relays: int | None = None
    ) -> list[client.CallResult]:
        """Submit evenly spaced messages to the relays in turn, and return all answers."""
        tasks = []
        start = self.elapsed_s()
        for number in range(int(per_s * seconds)):
            await self.sleep_until(start + number / per_s)
            relay = number % (relays or self.relay_count)
            tasks.append(asyncio.create_task(self.submit(self.make_message(message_class), relay)))
        return list(await asyncio.gather(*tasks))

    # -- records ---------------------------------------------------------------------------------------------

    def partner_records(self, event: str) -> list[dict[str, Any]]:
        """Return the partner's records of an event since the end of the testbed's start."""
        self.partner_emulator.recorder.flush()
        records = read_record(self.folder / "partners.jsonl")
        return [
            record
            for record in records
            if record["ev"] == event and record["t"] >= self.partner_emulator.script_start_ms
        ]

    def check_rules(self) -> list[Verdict]:
        """Check the records against the rules, after the fleet has stopped."""
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
            "partners": {PARTNER_NAME: {"rate": self.partner["rate"]}},
        }
        return RuleChecker(RunRecord(facts, *records)).check_rules()

    def broken_rules(self) -> list[str]:
        """Return the findings of all broken rules, after the fleet has stopped."""
        return [text for verdict in self.check_rules() for text in verdict.findings]


def write_identities(folder: Path) -> dict[str, cms.Identity]:
    """Make the identities of the partner, the relays and the client, and write each to `NAME.pem`."""
    identities = {name: cms.generate_identity(name) for name in (PARTNER_NAME, RELAY_NAME, CLIENT_NAME)}
    for name, identity in identities.items():
        (folder / f"{name}.pem").write_bytes(cms.encode_identity(identity))
    return identities


def answer_kind(answer: client.CallResult) -> str:
    """Return the kind of an answer, or how the call ended without one."""
    return answer.head.headers.get("linnetstile-answer") if answer.head else answer.wire_result.value


async def wait_until(condition: Callable[[], bool], poll_s: float = 0.005) -> None:
    """Poll until a condition holds; if it never does, the test's time-out ends the wait."""
    while not condition():  # noqa: ASYNC110 (the conditions have no event: they read other objects' state)
        await asyncio.sleep(poll_s)


def async_test(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Return a test that runs a coroutine function, which fails after `TEST_TIMEOUT_S`."""

    @functools.wraps(test)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        run_test(functools.partial(test, *args, **kwargs))

    return run


def run_test(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the coroutine of a test, which fails after `TEST_TIMEOUT_S`."""
    asyncio.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))
