"""Case 1: answers with a load report that can't be read."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import standin
from standin import Call, Endpoint, Message, Platform, Record, Relay, answer, ended_at, submit

DEADLINE_MS = 5000.0
# Settings like those of sonumisild-tallinn: answers carry reports with x0 and x1, deadlines cut to a short day's.
SETTINGS = {
    "classes": [
        {"name": "code-send", "effect": "once", "aim-ms": 2500.0, "deadline-ms": DEADLINE_MS, "window-ms": 5000.0,
         "worth": 2.0, "late-share": 0.4},
        {"name": "reminder-send", "effect": "by_key", "dedup-scope": "all", "aim-ms": 2500.0, "deadline-ms": DEADLINE_MS,
         "window-ms": 4000.0, "worth": 1.0, "late-share": 0.4},
    ],
    "kinds": ["mno"], "zones": ["tallinn-dc1"], "az": 0, "orgs": [{"name": "acme", "quota-per-s": 100.0}],
    "balancers": 2, "weight-kind": "silent", "registry-mode": "push", "tick-ms": 5.0,
    "extra": {"call-slots": 8, "separate-routes": [False], "per-call": [1]},
    "feedback": {"how": "piggyback", "fields": ["x0", "x1"]},
    "limits": {"open-cap": 60, "try-limit": 8, "conn-idle-ms": 5000.0, "connect-timeout-ms": 1000.0, "cancelling": True,
               "probing": False, "peers": False, "second-copies": False, "retry-after": True, "max-retry-after-ms": 2000.0},
    "safety": {"answer-slack-ms": 20.0, "drain-grace-ms": 1000.0, "cold-from": 0.2, "cold-ms": 9000.0,
               "fall-multiple": 2.5, "fall-ms": 1500.0},
}
GOOD_REPORT = '{"x0":0.6,"x1":25}'
NOISE_REPORT = "[" * 2000  # noise: JSON that never closes
LONG_NUMBER_REPORT = '{"x0":0.6,"x1":' + "9" * 400 + "}"  # a number that no float holds
MESSAGES = 40
SPOILT_SHARE = 5  # each fifth message is turned away once with a report that can't be read


async def case(record: Record, folder: Path, with_trouble: bool) -> str:
    platform = Platform(record)
    spoilt: dict[str, str] = {}  # the report of the first answer of these messages
    turned_away: set[str] = set()

    async def behave(call: Call) -> bytes:
        await asyncio.sleep(0.05)
        if call.ref in spoilt and call.ref not in turned_away:
            turned_away.add(call.ref)  # queue full: turned away, never run
            return answer(503, {"X-Backend-Load": spoilt[call.ref] if with_trouble else GOOD_REPORT})
        return answer(200, {"X-Backend-Load": GOOD_REPORT})

    endpoints = [Endpoint(record, f"s-{index}", behave) for index in range(4)]
    for index, endpoint in enumerate(endpoints):
        await endpoint.start()
        platform.add(endpoint.name, endpoint.port, cell=index // 2, kind="mno", zone="tallinn-dc1")
    await platform.start()
    relay = Relay(record, folder, SETTINGS, platform.port)
    try:
        await relay.start()
        messages: list[Message] = []
        clients: list[asyncio.Task[None]] = []
        for index in range(MESSAGES):
            cls = "code-send" if index % 2 else "reminder-send"
            message = Message(cls, dest=index // 2 % 2, time_left_ms=DEADLINE_MS, key=f"k-{index}" if index % 2 == 0 else "")
            if index % SPOILT_SHARE == SPOILT_SHARE - 1:
                spoilt[message.ref] = NOISE_REPORT if len(spoilt) % 2 == 0 else LONG_NUMBER_REPORT
            messages.append(message)
            clients.append(asyncio.create_task(submit(record, relay.port, message)))
            await asyncio.sleep(0.15)
        await asyncio.gather(*clients)
        await asyncio.sleep(DEADLINE_MS / 1000 + 2.0)
        crashed = relay.process is None or relay.process.returncode is not None
    finally:
        await relay.kill()
    taken = [message for message in messages if message.taken_on]
    if not taken:
        raise standin.CannotRunError("no message was taken on")
    lost = []
    for message in taken:
        at = ended_at(message, platform, endpoints)
        if at is None or at > message.due_at + standin.LOSS_SLACK_S:
            lost.append(message.ref)
    record.add("summary", taken=len(taken), lost=lost, spoilt=sorted(spoilt), lost_and_spoilt=sorted(set(lost) & set(spoilt)),
               refused=sum(1 for m in messages if m.status in (429, 503)), crashed=crashed)
    if crashed:
        return "the relay ended"
    return f"{len(lost)} of {len(taken)} messages taken on got no end in their time" if lost else ""


if __name__ == "__main__":
    sys.exit(standin.run_case(Path(__file__).resolve().parent, case))
