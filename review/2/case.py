"""Case 2: a relay that is killed while discovery is down goes back to the list of its configuration."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import standin
from standin import HOST, Call, Endpoint, Message, Platform, Record, Relay, answer, submit

DISCOVERY_DOWN_S = 8.0  # STANDING, herd+mass: discovery is down for 8 s
RESTART_AFTER_S = 0.6  # PROTOCOL: the folder is there at the next start, 0.6 s after SIGKILL
DRAIN_GRACE_MS = 250.0
DRAIN_SLACK_S = 0.05  # PROTOCOL: each time limit grows by 50 ms
# Settings like those of traduceri-buc, with a short day's deadlines.
SETTINGS = {
    "classes": [
        {"name": "comanda", "effect": "by_key", "dedup-scope": "all", "aim-ms": 2000.0, "deadline-ms": 6000.0,
         "window-ms": 4000.0, "worth": 2.0, "late-share": 0.5},
        {"name": "plata", "effect": "once", "aim-ms": 2000.0, "deadline-ms": 6000.0, "window-ms": 5000.0, "worth": 1.0,
         "late-share": 0.5},
    ],
    "kinds": ["firma-mare"], "zones": ["bucuresti-1"], "az": 0, "orgs": [{"name": "acme", "quota-per-s": 100.0}],
    "balancers": 2, "weight-kind": "nominal", "registry-mode": "push", "tick-ms": 5.0,
    "extra": {"call-slots": 10, "separate-routes": [False], "per-call": [1]},
    "feedback": {"how": "silent", "fields": []},
    "limits": {"open-cap": 60, "try-limit": 8, "conn-idle-ms": 10000.0, "connect-timeout-ms": 1500.0, "cancelling": True,
               "probing": False, "peers": False, "second-copies": False, "retry-after": False},
    "safety": {"answer-slack-ms": 20.0, "drain-grace-ms": DRAIN_GRACE_MS, "cold-from": 0.18, "cold-ms": 11000.0,
               "fall-multiple": 2.0, "fall-ms": 1500.0},
}


async def case(record: Record, folder: Path, with_trouble: bool) -> str:
    platform = Platform(record)
    messages: dict[str, Message] = {}

    async def behave(call: Call) -> bytes:
        await asyncio.sleep(0.05)
        return answer(200)

    # Three machines: `old` first serves destination 1; later an endpoint of destination 2 takes its address.
    old, new, other = (Endpoint(record, f"machine-{name}", behave) for name in ("old", "new", "other"))
    for endpoint in (old, new, other):
        await endpoint.start()
    old_entry = platform.add("s-1a", old.port, cell=1, kind="firma-mare", zone="bucuresti-1", weight=20.0)
    platform.add("s-2a", other.port, cell=2, kind="firma-mare", zone="bucuresti-1", weight=20.0)
    first_list = platform.full_list()
    await platform.start()
    # The configuration file keeps the list with which the relay first started: "It may be old."
    relay = Relay(record, folder, SETTINGS, platform.port, known=first_list)
    clients: list[asyncio.Task[None]] = []

    async def hand_in(seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            number = len(messages)
            cls = ("comanda", "plata")[number // 2 % 2]
            message = Message(cls, dest=1 + number % 2, time_left_ms=6000, key=f"k-{number}" if cls == "comanda" else "")
            messages[message.ref] = message
            clients.append(asyncio.create_task(submit(record, relay.port, message)))
            await asyncio.sleep(0.1)

    try:
        await relay.start()
        await hand_in(1.5)
        # An endpoint is replaced by one with a new id and a new address; the open watch tells the relay.
        replacement = {**old_entry, "id": "s-1b", "addr": f"{HOST}:{new.port}"}
        platform.change([replacement])
        platform.change([{**old_entry, "state": "DELETED"}])
        gone_at = time.monotonic()
        await hand_in(2.0)
        # An endpoint of destination 2 takes the address of the one that has gone; the open watch tells the relay.
        platform.change([{**old_entry, "id": "s-2b", "cell": 2}])
        taken_over_at = time.monotonic()
        await hand_in(2.0)
        if not platform.watches:
            raise standin.CannotRunError("the relay had no watch open to be told by")
        told_versions = platform.version
        if with_trouble:
            platform.set_silent(True)
        down_at = time.monotonic()
        await asyncio.sleep(0.3)
        await relay.kill()
        await asyncio.sleep(RESTART_AFTER_S)
        await relay.start()
        await hand_in(max(0.0, down_at + DISCOVERY_DOWN_S - time.monotonic()))
        if with_trouble:
            platform.set_silent(False)
        await hand_in(2.0)
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
    finally:
        await relay.kill()
    grace_s = DRAIN_GRACE_MS / 1000 + DRAIN_SLACK_S
    to_gone = [(at, ref) for at, ref in old.calls if at > gone_at + grace_s and messages[ref].dest == 1]
    wrong_server = [(at, ref) for at, ref in to_gone if at > taken_over_at]
    after_restart = [round(at - down_at, 3) for at, _ in wrong_server]
    record.add("summary", handed_in=len(messages), taken=sum(m.taken_on for m in messages.values()),
               told_version_before_the_kill=told_versions, calls_for_1_at_the_removed_endpoint=len(to_gone),
               of_these_run_by_a_server_of_destination_2=len(wrong_server),
               of_these_class_once=sum(messages[ref].cls == "plata" for _, ref in wrong_server),
               seconds_after_discovery_went_down=after_restart)
    if not any(message.taken_on for message in messages.values()):
        raise standin.CannotRunError("no message was taken on")
    if wrong_server:
        return f"{len(wrong_server)} messages for destination 1 were sent to and run by a server of destination 2"
    return f"{len(to_gone)} calls to an endpoint that the relay had been told is gone" if to_gone else ""


if __name__ == "__main__":
    sys.exit(standin.run_case(Path(__file__).resolve().parent, case))
