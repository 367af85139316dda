"""A relay's process through misbehaving clients, clients that leave, replaced endpoints and kills, from one seed.

CI plays `DEFAULT_S`. A longer run is started by hand, with LINNETSTILE_SOAK_S (seconds) and LINNETSTILE_SOAK_SEED set.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from .http_messages import submission
from .relay_process import MEMORY_MB, RelayProcess, relay_process
from .relay_testbed import RelayTestbed, delivered_ids, run_scenario, wait_until, with_state
from .test_memory import ATTACKS

DEFAULT_S = 45.0
DURATION_S = float(os.environ.get("LINNETSTILE_SOAK_S", DEFAULT_S))
SEED = int(os.environ.get("LINNETSTILE_SOAK_SEED", "1"))
CLIENT_TIMEOUT_S = 0.4
ATTACKERS = 60
SENT_AHEAD = 20
DEADLINE_S = 6.0
BYTES_PER_MB = 1e6
RESET = struct.pack("ii", 1, 0)


class Soak:
    """The parts of one play, and what they have seen.

    Attributes:
        accepted: Ids of the messages whose clients have heard the 202.
        unanswered: Number of usual submissions without an answer.
    """

    def __init__(self, testbed: RelayTestbed, relay: RelayProcess) -> None:
        self.testbed = testbed
        self.relay = relay
        self.rng = random.Random(SEED)
        self.accepted: set[str] = set()
        self.unanswered = 0
        self._last_id = 0

    def next_id(self, kind: str) -> str:
        self._last_id += 1
        return f"{kind}-{self._last_id}"

    async def submit(self) -> None:
        """Submit one message as a usual client does, which leaves after 400 ms."""
        class_name = self.rng.choice(("order", "pay", "state"))
        submission_id = self.next_id(class_name)
        request = submission(submission_id, class_name, destination=self.rng.choice((1, 2)))
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            status = await self.relay.status_of(request, CLIENT_TIMEOUT_S)
        if status == 202:
            self.accepted.add(submission_id)
        self.unanswered += not status

    async def misbehave(self) -> None:
        """Let many clients misbehave in one way at once, and leave after a while."""
        attack = self.rng.choice(list(ATTACKS.values()))
        writers: list[asyncio.StreamWriter] = []

        async def run(number: int) -> None:
            with contextlib.suppress(OSError):
                _, writer = await self.relay.connect()
                writers.append(writer)
                await attack(self.relay, writer, number)

        await asyncio.gather(*(run(number) for number in range(ATTACKERS)))
        await asyncio.sleep(1.0)
        for writer in writers:
            writer.transport.abort()

    async def leave(self) -> None:
        """Send many messages at once, leave, and send the first id again later, maybe to the next process."""
        ids = [self.next_id("left") for _ in range(SENT_AHEAD)]
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.relay.port), 1.0) as client:
            client.sendall(b"".join(submission(each, "pay") for each in ids))
            if self.rng.random() < 0.5:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            with contextlib.suppress(OSError, TimeoutError):
                await self.relay.status_of(submission(ids[0], "pay"))

    async def replace_endpoint(self) -> None:
        """Replace the endpoint of destination 1: the new one is listed, the old one drains and is deleted."""
        old = next(entry for entry in self.testbed.entries if entry["cell"] == 1)
        await self.testbed.add_endpoint(1)
        self.testbed.send_list([self.testbed.entries[-1], *with_state([old], "DRAINING")])
        self.testbed.entries.remove(old)
        await asyncio.sleep(1.0)
        self.testbed.send_list(with_state([old], "DELETED"))

    async def kill(self) -> None:
        await self.relay.kill()
        await asyncio.sleep(0.1)
        await self.relay.start()

    async def repeat(self, step: Callable[[], Awaitable[None]], mean_s: float) -> None:
        """Repeat a step until the end of the play, with random pauses."""
        end = asyncio.get_running_loop().time() + DURATION_S
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * mean_s)
            await step()


def test_no_message_is_lost_or_run_twice_and_memory_stays_within_its_limit(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(2)
        async with relay_process(testbed, tmp_path) as relay:
            soak = Soak(testbed, relay)
            await asyncio.gather(
                soak.repeat(soak.submit, 0.1),
                soak.repeat(soak.submit, 0.1),
                soak.repeat(soak.misbehave, 1.0),
                soak.repeat(soak.leave, 0.7),
                soak.repeat(soak.replace_endpoint, 4.0),
                soak.repeat(soak.kill, 6.0),
            )

            def ended_ids() -> set[str]:
                return {*delivered_ids(testbed), *(notice["ref"] for notice in testbed.notices)}

            with contextlib.suppress(TimeoutError):
                await wait_until(lambda: soak.accepted <= ended_ids(), DEADLINE_S + 3.0)
            runs = Counter(delivered_ids(testbed))
            run_twice = {each: count for each, count in runs.items() if count > 1 and not each.startswith("order")}
            log = relay.log_path.read_text(encoding="utf-8")
            print(f"accepted {len(soak.accepted)}, unanswered {soak.unanswered}, calls {sum(runs.values())}")
            print(f"highest memory {max(relay.highest_bytes, relay.peak_bytes()) / BYTES_PER_MB:.1f} MB")
            assert soak.accepted - ended_ids() == set()
            assert {each for each in run_twice if each.startswith(("pay", "left"))} == set()
            assert '"fault"' not in log
            assert max(relay.highest_bytes, relay.peak_bytes()) <= MEMORY_MB * BYTES_PER_MB
            assert len(soak.accepted) > DURATION_S

    run_scenario(tmp_path, scenario)
