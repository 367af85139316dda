"""At-most-once delivery at every place where a call can end, judged by what the endpoint got.

`FaultyEndpoint` is told how to end its next calls. It keeps what the rules are checked by: when a call's last byte
came, whether it may have run by the platform's page, how long it was open. Each scenario is also run with the relay
killed after each of its journal's writes, and with a second relay to which the client comes when it was rejected."""

from __future__ import annotations

import asyncio
import shutil
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from linnetstile.engine import attempt_outcome
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.platform_relay import notices
from linnetstile.platform_relay.journal import Journal
from linnetstile.platform_relay.relay import PlatformRelay

from .http_messages import OK_RESPONSE, read_http, request_status, submission
from .relay_testbed import RelayTestbed, wait_until

BUSY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
WINDOW_S = 4.0  # of the class "order" in the testbed's settings
TIME_LEFT = "2500m"


@dataclass(frozen=True)
class Fault:
    """Where a call ends: `accepted` before a byte was read, `part` before the last one, `whole` after it, or after the
    bytes `said`; and how: reset, close, silence, or `late`, an answer after the relay has gone."""

    stage: str
    how: str
    said: bytes = b""


FAULTS = [
    *(Fault("accepted", how) for how in ("reset", "close")),
    *(Fault("part", how) for how in ("reset", "close", "silence")),
    *(Fault("whole", how) for how in ("reset", "close", "silence", "late")),
    *(
        Fault("said", how, said)
        for how in ("reset", "close", "silence")
        for said in (
            b"HTTP/1.1 20",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 503 Busy\r\n",
            BUSY_RESPONSE[:-2],
            b"\x16\x03 noise\r\n\r\n",
        )
    ),
    Fault("said", "close", BUSY_RESPONSE),
    Fault("said", "close", b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"),
]


@dataclass
class ReceivedCall:
    """One call whose last byte came."""

    submission_id: str
    body: bytes
    received_at: float
    may_have_run: bool = True  # it may have
    ended_at: float | None = None  # answered, or its connection gone
    delivered: bool = False


@dataclass
class FaultyEndpoint:
    faults: list[Fault] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults and self.faults[0].stage == "accepted":
            await self.carry_out(self.faults.pop(0), reader, writer)
            return
        clock = asyncio.get_running_loop().time
        while await reader.read(1):
            fault = self.faults.pop(0) if self.faults else Fault("said", "", OK_RESPONSE)
            if fault.stage == "part":
                await reader.read(60)
                await self.carry_out(fault, reader, writer)
                return
            _, fields, body = await read_http(reader)
            call = ReceivedCall(fields["x-correlation-id"], body, clock(), fault.said != BUSY_RESPONSE)
            self.calls.append(call)
            call.delivered = fault.said.startswith(b"HTTP/1.1 200 ")
            try:
                writer.write(fault.said)
                if fault.how:
                    await self.carry_out(fault, reader, writer)
                    return
            finally:
                call.ended_at = clock()

    @staticmethod
    async def carry_out(fault: Fault, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if fault.how == "reset":
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif fault.how == "close":
            writer.close()
        else:
            while await reader.read(1000):  # until the relay gives it up
                pass
            if fault.how == "late":
                writer.write(OK_RESPONSE)


def rule_breaches(
    class_: str, calls: list[ReceivedCall], notices: list[tuple[str, str]], one_process: bool
) -> list[str]:
    """What the rules forbid, in what came to the endpoint and to the platform."""
    found = []
    for body in {call.body for call in calls}:
        mine = [call for call in calls if call.body == body]
        ran = next((call for call in mine if call.may_have_run), None)
        if one_process:
            found += [
                f"two calls of {one.submission_id} at once"
                for one, other in zip(mine, mine[1:], strict=False)
                if one.ended_at is None or other.received_at < one.ended_at
            ]
        if ran is None:
            continue
        for call in mine[mine.index(ran) + 1 :]:
            if class_ == "pay" or class_ == "order" and call.received_at > ran.received_at + WINDOW_S:
                delay_s = call.received_at - ran.received_at
                found.append(f"{call.submission_id} was sent again {delay_s:.3f} s after it may have run")
        if class_ != "state" and (ran.submission_id, "bounced") in notices:
            found.append(f"{ran.submission_id} may have run and was notified as harmless to submit again")
    return found


class Scenario:
    """One message, one fault, and all that may follow."""

    def __init__(self, folder: Path, fault: Fault, connection: str, class_: str, full: bool) -> None:
        self.folder, self.fault, self.connection, self.class_, self.full = folder, fault, connection, class_, full
        self.testbed, self.endpoint = RelayTestbed(folder / "first"), FaultyEndpoint()
        self.snapshots: list[tuple[Path, int, int]] = []  # the folder, and calls and notices before the next write
        self.watched_folder: Path | None = None

    def __str__(self) -> str:
        return f"{self.fault} {self.connection} {self.class_} {'full' if self.full else ''}"

    def journal_written(self, folder: Path) -> None:
        """After each write: what a kill before the next one leaves."""
        if folder == self.watched_folder:
            self.update_last_snapshot()
            self.snapshots.append((self.folder / f"kill-{len(self.snapshots)}", 0, 0))
            shutil.copytree(folder, self.snapshots[-1][0])

    def update_last_snapshot(self) -> None:
        if self.snapshots:
            self.snapshots[-1] = self.snapshots[-1][0], len(self.endpoint.calls), len(self.testbed.notices)

    async def run(self) -> list[str]:
        try:
            return await self._run()
        finally:
            self.testbed.close()

    async def _run(self) -> list[str]:
        testbed, endpoint = self.testbed, self.endpoint
        await testbed.add_endpoint(1, serve=endpoint.serve)
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        for number in range(6):  # so that the destination is known: its time-outs are short
            assert await request_status(first, submission(f"w{number}", body=b"warm")) == 202
            await wait_until(lambda: not first.accepted)
        if self.connection == "new":
            first.endpoint_client.pool.close_idle(next(iter(first.endpoint_client.pool.idle_connections.by_address)))
        elif self.connection == "held":
            # Many connections were met closed: the last byte of calls that must not run twice waits.
            first.engine.connections.stale_ratio = 1.0
        endpoint.calls.clear()
        endpoint.faults = [self.fault] + [Fault("said", "", BUSY_RESPONSE)] * (8 if self.full else 0)
        self.watched_folder = testbed.state_folder
        assert await request_status(first, submission("m", self.class_, time_left=TIME_LEFT)) == 202
        await self.wait_for_end(first, discovery_address, "again")
        self.watched_folder = None
        self.update_last_snapshot()
        found = rule_breaches(self.class_, endpoint.calls, self.notices, True)
        found += self.missing_end("m") if self.fault.how != "late" else []
        before_kill = endpoint.calls, testbed.notices
        for folder, calls, notice_count in self.snapshots:
            endpoint.calls, testbed.notices = before_kill[0][:calls], before_kill[1][:notice_count]
            testbed.state_folder, endpoint.faults = folder, []
            second = await testbed.start_relay(discovery_address)
            await self.wait_for_end(second, discovery_address, folder.name)
            found += [
                f"{folder.name}: {each}" for each in rule_breaches(self.class_, endpoint.calls, self.notices, False)
            ]
        return [f"{self}: {each}" for each in found]

    @property
    def notices(self) -> list[tuple[str, str]]:
        return [(notice["ref"], notice["result"]) for notice in self.testbed.notices]

    def missing_end(self, submission_id: str) -> list[str]:
        notified = sum(ref == submission_id for ref, _ in self.notices)
        done = any(call.delivered for call in self.endpoint.calls if call.submission_id == submission_id)
        return [] if notified + done == 1 else [f"{submission_id} was notified {notified} times and delivered {done}"]

    async def wait_for_end(self, relay: PlatformRelay, discovery_address: tuple[str, int], name: str) -> None:
        """Wait until a relay owes nothing; a client whose message was rejected submits it to another relay."""
        await wait_until(lambda: not relay.accepted and not relay.reporter.pending_notices, 8.0)
        if ("m", "bounced") in self.notices and all(call.submission_id == "m" for call in self.endpoint.calls):
            self.endpoint.faults, self.testbed.state_folder = [], self.folder / f"{name}-other"
            other = await self.testbed.start_relay(discovery_address)
            assert await request_status(other, submission(name, self.class_, time_left=TIME_LEFT)) == 202
            await wait_until(lambda: not other.accepted and not other.reporter.pending_notices, 8.0)


async def run_scenarios(all_scenarios: list[Scenario]) -> list[str]:
    turns = asyncio.Semaphore(24)

    async def one(scenario: Scenario) -> list[str]:
        async with turns:
            return await scenario.run()

    found = await asyncio.gather(*map(one, all_scenarios))
    await asyncio.sleep(0)
    return [each for some in found for each in some]


def scenarios(folder: Path, monkeypatch: pytest.MonkeyPatch, keep: Callable[[Scenario], bool]) -> list[Scenario]:
    flush = Journal.flush
    all_scenarios = [
        Scenario(folder / f"{number}-{connection}-{class_}-{full}", fault, connection, class_, full)
        for number, fault in enumerate(FAULTS)
        for connection in ("new", "kept", "held")
        for class_ in ("pay", "order", "state")
        for full in (False, True)
        if (connection == "held") <= (class_ == "pay") and (fault.stage == "accepted") <= (connection != "kept")
    ]
    kept = [scenario for scenario in all_scenarios if keep(scenario)]
    homes = {scenario.testbed.state_folder: scenario for scenario in kept}

    def flushed(journal: Journal) -> bool:
        size, done = journal.size, flush(journal)
        if journal.size != size and journal.folder in homes:
            homes[journal.folder].journal_written(journal.folder)
        return done

    monkeypatch.setattr(Journal, "flush", flushed)
    # Some twenty relays and their copied folders share one loop here: where that is late by the 0.2 s that a post may
    # take, a notice is posted again, as it should be, and would count as two ends.
    monkeypatch.setattr(notices, "NOTICE_TIMEOUT_S", 8.0)
    return kept


@pytest.mark.parametrize("class_", ["pay", "order", "state"])
def test_nothing_runs_twice_wherever_a_call_ends_and_whenever_the_relay_is_killed(
    tmp_path: Path, class_: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    all_scenarios = scenarios(tmp_path, monkeypatch, lambda scenario: scenario.class_ == class_)
    assert asyncio.run(run_scenarios(all_scenarios)) == [], "breaches"
    assert min(len(scenario.snapshots) for scenario in all_scenarios) >= 3  # accepted, attempted, ended


@pytest.mark.parametrize("wire_result", [WireResult.CONNECTION_LOST, WireResult.TIMED_OUT, WireResult.MALFORMED])
def test_rule_check_finds_an_unclear_end_that_is_judged_as_without_effect(
    tmp_path: Path, wire_result: WireResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(
        attempt_outcome.VERDICT_BY_WIRE_RESULT,
        wire_result,
        attempt_outcome.VERDICT_BY_WIRE_RESULT[WireResult.REQUEST_INCOMPLETE],
    )
    all_scenarios = scenarios(
        tmp_path,
        monkeypatch,
        lambda scenario: (
            scenario.class_ == "pay"
            and scenario.connection == "new"
            and scenario.fault.stage in ("whole", "said")
            and not scenario.full
        ),
    )
    assert any("sent again" in breach for breach in asyncio.run(run_scenarios(all_scenarios)))
