"""Case 2: a second copy of an answer right behind it, on a connection that the relay has used again."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import standin
from standin import HOST, Endpoint, Message, Platform, Record, Relay, answer, ended_at, read_body, submit

ONE_WAY_S = 0.010  # of the network between the relay and the endpoint; the sites' files have 8 to 30 ms
COPY_SHARE = 0.1  # of the answers with 200
BEHIND_S = 0.002  # the copy leaves the endpoint so long after the answer
TURNED_AWAY_SHARE = 0.1  # of the calls: the queue is full
WORK_S = 0.1  # mean, exponential
LOAD_PER_S = 24.0  # 130% of a full load for which 4 slots are 1.8 times what it keeps busy
LOAD_S = 45.0
DEADLINE_MS = 6000.0
SEED = 7  # of the endpoint and the load
# Settings like those of traduceri-buc, with a short day's deadlines and the least number of slots.
SETTINGS = {
    "classes": [
        {"name": "comanda", "effect": "by_key", "dedup-scope": "all", "aim-ms": 2000.0, "deadline-ms": DEADLINE_MS,
         "window-ms": 4000.0, "worth": 2.0, "late-share": 0.5},
        {"name": "plata", "effect": "once", "aim-ms": 2000.0, "deadline-ms": DEADLINE_MS, "window-ms": 5000.0, "worth": 1.0,
         "late-share": 0.5},
    ],
    "kinds": ["firma-mare"], "zones": ["bucuresti-1"], "az": 0, "orgs": [{"name": "acme", "quota-per-s": 100.0}],
    "balancers": 1, "weight-kind": "nominal", "registry-mode": "push", "tick-ms": 5.0,
    "extra": {"call-slots": 4, "separate-routes": [False], "per-call": [1]},
    "feedback": {"how": "silent", "fields": []},
    "limits": {"open-cap": 120, "try-limit": 8, "conn-idle-ms": 10000.0, "connect-timeout-ms": 1500.0, "cancelling": True,
               "probing": False, "peers": False, "second-copies": False, "retry-after": False},
    "safety": {"answer-slack-ms": 20.0, "drain-grace-ms": 250.0, "cold-from": 0.18, "cold-ms": 11000.0,
               "fall-multiple": 2.0, "fall-ms": 1500.0},
}


class Wire:
    """The network before one endpoint: what is written on one side comes out at the other `ONE_WAY_S` later, in order."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = standin.free_port()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
            await asyncio.gather(self._carry(reader, far_writer), self._carry(far_reader, writer))

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                loop.call_later(ONE_WAY_S, writer.write, data)
        loop.call_later(ONE_WAY_S, writer.close)


class CopyingEndpoint(Endpoint):
    """Serves one call after the other on a connection. Some answers with 200 are followed by a second copy.

    The copy is left out if a byte of another call has come meanwhile: then something else waits on the connection.
    """

    def __init__(self, record: Record, rng: random.Random, with_trouble: bool) -> None:
        super().__init__(record, "s-1", None)  # type: ignore[arg-type]
        self.rng, self.with_trouble = rng, with_trouble
        self.copies = 0

    async def _serve_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        next_byte: asyncio.Future[bytes] | None = None
        try:
            while True:
                first_byte = await next_byte if next_byte else await reader.readexactly(1)
                next_byte = None
                raw = first_byte + await reader.readuntil(b"\r\n\r\n")
                lines = raw.decode("latin-1").split("\r\n")[1:-2]
                fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
                await read_body(reader, fields)
                ref = fields["x-correlation-id"]
                self.calls.append((time.monotonic(), ref))
                self.record.add("call", at=self.name, ref=ref)
                if self.rng.random() < TURNED_AWAY_SHARE:
                    writer.write(answer(503))
                    self.record.add("answer", at=self.name, ref=ref, status=503)
                    continue
                await asyncio.sleep(self.rng.expovariate(1 / WORK_S))
                writer.write(answer(200))
                self.delivered.setdefault(ref, []).append(self.record.add("run_and_answer", at=self.name, ref=ref, status=200))
                if self.rng.random() < COPY_SHARE and self.with_trouble:
                    next_byte = asyncio.ensure_future(reader.readexactly(1))
                    await asyncio.wait([next_byte], timeout=BEHIND_S)
                    if not next_byte.done():
                        writer.write(answer(200))
                        self.copies += 1
                        self.record.add("second_copy", at=self.name, ref=ref)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if next_byte is not None:
                next_byte.cancel()
            await standin.close_writer(writer)


async def case(record: Record, folder: Path, with_trouble: bool) -> str:
    rng = random.Random(SEED)
    platform = Platform(record)
    endpoint = CopyingEndpoint(record, random.Random(SEED), with_trouble)
    await endpoint.start()
    wire = Wire(endpoint.port)
    await wire.start()
    platform.add(endpoint.name, wire.port, cell=1, kind="firma-mare", zone="bucuresti-1", weight=40.0)
    await platform.start()
    relay = Relay(record, folder, SETTINGS, platform.port)
    messages: list[Message] = []
    clients: list[asyncio.Task[None]] = []
    try:
        await relay.start()
        until = time.monotonic() + LOAD_S
        while time.monotonic() < until:
            number = len(messages)
            cls = "plata" if number % 2 else "comanda"
            message = Message(cls, 1, DEADLINE_MS, key=f"k-{number}" if cls == "comanda" else "")
            messages.append(message)
            clients.append(asyncio.create_task(submit(record, relay.port, message)))
            await asyncio.sleep(rng.expovariate(LOAD_PER_S))
        await asyncio.gather(*clients)
        await asyncio.sleep(DEADLINE_MS / 1000 + 1.0)
    finally:
        await relay.kill()
    taken = [message for message in messages if message.taken_on]
    if not taken:
        raise standin.CannotRunError("no message was taken on")
    lost = []
    for message in taken:
        at = ended_at(message, platform, [endpoint])
        if at is None or at > message.due_at + standin.LOSS_SLACK_S:
            lost.append(message.ref)
    twice = [message.ref for message in taken if message.cls == "plata" and len(endpoint.delivered.get(message.ref, [])) > 1]
    record.add("summary", handed_in=len(messages), taken=len(taken), calls=len(endpoint.calls), copies=endpoint.copies,
               notices=len(platform.notices), lost=lost, run_twice_of_class_once=twice)
    broken = []
    if twice:
        broken.append(f"{len(twice)} messages of the class `once` were run twice")
    if lost:
        broken.append(f"{len(lost)} of {len(taken)} messages taken on got no end in their time")
    return ", ".join(broken)


if __name__ == "__main__":
    sys.exit(standin.run_case(Path(__file__).resolve().parent, case))
