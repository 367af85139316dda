"""Work that may run only once, at every place where a call can end, judged by what the endpoint got.

`Desk` is an endpoint that is told how to end its next calls. It keeps what the judge goes by: when a call's last byte
came, whether it may have run by the platform's page, how long it was open. Each story is also told with the relay
killed after each of its journal's writes, and with a second relay to which the client comes when it was refused."""

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

from .world import OK, World, ask, hand_in, read, until

REFUSED = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
WINDOW_S = 4.0  # of the class "order" in the world's settings
LEFT = "2500m"


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
            REFUSED[:-2],
            b"\x16\x03 noise\r\n\r\n",
        )
    ),
    Fault("said", "close", REFUSED),
    Fault("said", "close", b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"),
]


@dataclass
class Came:
    """One call whose last byte came."""

    ident: str
    body: bytes
    at: float
    ran: bool = True  # it may have
    over: float | None = None  # answered, or its connection gone
    delivered: bool = False


@dataclass
class Desk:
    faults: list[Fault] = field(default_factory=list)
    calls: list[Came] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults and self.faults[0].stage == "accepted":
            await self.end(self.faults.pop(0), reader, writer)
            return
        clock = asyncio.get_running_loop().time
        while await reader.read(1):
            fault = self.faults.pop(0) if self.faults else Fault("said", "", OK)
            if fault.stage == "part":
                await reader.read(60)
                await self.end(fault, reader, writer)
                return
            _, fields, body = await read(reader)
            call = Came(fields["x-correlation-id"], body, clock(), fault.said != REFUSED)
            self.calls.append(call)
            call.delivered = fault.said.startswith(b"HTTP/1.1 200 ")
            try:
                writer.write(fault.said)
                if fault.how:
                    await self.end(fault, reader, writer)
                    return
            finally:
                call.over = clock()

    @staticmethod
    async def end(fault: Fault, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                writer.write(OK)


def breaches(class_: str, calls: list[Came], notices: list[tuple[str, str]], one_life: bool) -> list[str]:
    """What the rules forbid, in what came to the endpoint and to the platform."""
    found = []
    for body in {call.body for call in calls}:
        mine = [call for call in calls if call.body == body]
        ran = next((call for call in mine if call.ran), None)
        if one_life:
            found += [
                f"two calls of {one.ident} at once"
                for one, other in zip(mine, mine[1:], strict=False)
                if one.over is None or other.at < one.over
            ]
        if ran is None:
            continue
        for call in mine[mine.index(ran) + 1 :]:
            if class_ == "pay" or class_ == "order" and call.at > ran.at + WINDOW_S:
                found.append(f"{call.ident} was sent again {call.at - ran.at:.3f} s after it may have run")
        if class_ != "state" and (ran.ident, "bounced") in notices:
            found.append(f"{ran.ident} may have run and was told as harmless to hand in again")
    return found


class Story:
    """One message, one fault, and all that may follow."""

    def __init__(self, folder: Path, fault: Fault, connection: str, class_: str, full: bool) -> None:
        self.folder, self.fault, self.connection, self.class_, self.full = folder, fault, connection, class_, full
        self.world, self.desk = World(folder / "first"), Desk()
        self.kills: list[tuple[Path, int, int]] = []  # the folder, and calls and notices before the next write
        self.watched: Path | None = None

    def __str__(self) -> str:
        return f"{self.fault} {self.connection} {self.class_} {'full' if self.full else ''}"

    def wrote(self, folder: Path) -> None:
        """After each write: what a kill before the next one leaves."""
        if folder == self.watched:
            self.seen()
            self.kills.append((self.folder / f"kill-{len(self.kills)}", 0, 0))
            shutil.copytree(folder, self.kills[-1][0])

    def seen(self) -> None:
        if self.kills:
            self.kills[-1] = self.kills[-1][0], len(self.desk.calls), len(self.world.notices)

    async def tell(self) -> list[str]:
        try:
            return await self._tell()
        finally:
            self.world.close()

    async def _tell(self) -> list[str]:
        world, desk = self.world, self.desk
        await world.endpoint(1, serve=desk.serve)
        where = await world.discovery()
        first = await world.node(where)
        for number in range(6):  # so that the destination is known: its time-outs are short
            assert await ask(first, hand_in(f"w{number}", body=b"warm")) == 202
            await until(lambda: not first.carried)
        if self.connection == "new":
            first.calls.pool.close_idle(next(iter(first.calls.pool.idle)))
        elif self.connection == "held":
            first.relay.connections.stale_ratio = (
                1.0  # many connections were met closed: the last byte of unsafe calls waits
            )
        desk.calls.clear()
        desk.faults = [self.fault] + [Fault("said", "", REFUSED)] * (8 if self.full else 0)
        self.watched = world.state
        assert await ask(first, hand_in("m", self.class_, left=LEFT)) == 202
        await self.come_again(first, where, "again")
        self.watched = None
        self.seen()
        found = breaches(self.class_, desk.calls, self.notices, True)
        found += self.without_end("m") if self.fault.how != "late" else []
        lives = desk.calls, world.notices
        for folder, calls, notice_count in self.kills:
            desk.calls, world.notices = lives[0][:calls], lives[1][:notice_count]
            world.state, desk.faults = folder, []
            second = await world.node(where)
            await self.come_again(second, where, folder.name)
            found += [f"{folder.name}: {each}" for each in breaches(self.class_, desk.calls, self.notices, False)]
        return [f"{self}: {each}" for each in found]

    @property
    def notices(self) -> list[tuple[str, str]]:
        return [(notice["ref"], notice["result"]) for notice in self.world.notices]

    def without_end(self, ident: str) -> list[str]:
        told = sum(ref == ident for ref, _ in self.notices)
        done = any(call.delivered for call in self.desk.calls if call.ident == ident)
        return [] if told + done == 1 else [f"{ident} was told {told} times and delivered {done}"]

    async def come_again(self, node: PlatformRelay, where: tuple[str, int], name: str) -> None:
        """Waits for the end of all that a relay holds; a client that was refused hands it in at another one."""
        await until(lambda: not node.carried and not node.owed, 8.0)
        if ("m", "bounced") in self.notices and all(call.ident == "m" for call in self.desk.calls):
            self.desk.faults, self.world.state = [], self.folder / f"{name}-other"
            other = await self.world.node(where)
            assert await ask(other, hand_in(name, self.class_, left=LEFT)) == 202
            await until(lambda: not other.carried and not other.owed, 8.0)


async def told(stories: list[Story]) -> list[str]:
    turns = asyncio.Semaphore(24)

    async def one(story: Story) -> list[str]:
        async with turns:
            return await story.tell()

    found = await asyncio.gather(*map(one, stories))
    await asyncio.sleep(0)
    return [each for some in found for each in some]


def all_of(folder: Path, monkeypatch: pytest.MonkeyPatch, keep: Callable[[Story], bool]) -> list[Story]:
    flush = Journal.flush
    stories = [
        Story(folder / f"{number}-{connection}-{class_}-{full}", fault, connection, class_, full)
        for number, fault in enumerate(FAULTS)
        for connection in ("new", "kept", "held")
        for class_ in ("pay", "order", "state")
        for full in (False, True)
        if (connection == "held") <= (class_ == "pay") and (fault.stage == "accepted") <= (connection != "kept")
    ]
    kept = [story for story in stories if keep(story)]
    homes = {story.world.state: story for story in kept}

    def flushed(journal: Journal) -> bool:
        size, done = journal.size, flush(journal)
        if journal.size != size and journal.folder in homes:
            homes[journal.folder].wrote(journal.folder)
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
    stories = all_of(tmp_path, monkeypatch, lambda story: story.class_ == class_)
    assert asyncio.run(told(stories)) == [], "breaches"
    assert min(len(story.kills) for story in stories) >= 3  # taken, attempted, ended


@pytest.mark.parametrize("sight", [WireResult.CONNECTION_LOST, WireResult.TIMED_OUT, WireResult.MALFORMED])
def test_the_judge_finds_an_unclear_end_that_is_called_clean(
    tmp_path: Path, sight: WireResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(
        attempt_outcome.VERDICT_BY_WIRE_RESULT,
        sight,
        attempt_outcome.VERDICT_BY_WIRE_RESULT[WireResult.REQUEST_INCOMPLETE],
    )
    stories = all_of(
        tmp_path,
        monkeypatch,
        lambda story: (
            story.class_ == "pay"
            and story.connection == "new"
            and story.fault.stage in ("whole", "said")
            and not story.full
        ),
    )
    assert any("sent again" in breach for breach in asyncio.run(told(stories)))
