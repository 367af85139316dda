"""Scenario of one message with one fault of its call, a kill of the relay after any write, and a second relay."""

from __future__ import annotations

import shutil
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from linnetstile.platform_relay.relay import PlatformRelay

from .delivery_rules import NoticeList, find_breaches, find_wrong_result_count
from .faulty_endpoint import REJECTION, CallEnding, Fault, FaultyEndpoint, ReceivedCall
from .http_messages import request_status, submission
from .relay_testbed import Address, RelayTestbed, wait_until_idle

MESSAGE_ID = "m"
TIME_LEFT = "2500m"
RESULT_TIMEOUT_S = 8.0
WARM_UP_CALLS = 6
"""Number of calls after which the engine knows the destination, and its timeouts are short."""
REJECTIONS_WHEN_FULL = 8


class ConnectionUse(Enum):
    """The connection on which the message is sent."""

    NEW = "new"
    REUSED = "reused"
    LAST_BYTE_DELAYED = "last byte delayed"


@dataclass(frozen=True)
class JournalSnapshot:
    """State that a kill before the journal's next write leaves.

    Attributes:
        folder: A copy of the state folder after a write.
        call_count: Calls that the endpoint has received before the next write.
        notice_count: Notices that the platform has accepted before the next write.
    """

    folder: Path
    call_count: int = 0
    notice_count: int = 0


@dataclass
class FaultScenario:
    """A scenario with its own testbed.

    Attributes:
        folder: Folder of all files that the scenario writes.
        fault: The fault of the message's first call.
        connection_use: The connection of this call.
        class_name: Class of the message.
        is_full: Whether the endpoint rejects the calls after the first one as busy.
        snapshots: States of the first relay from the submission of the message to its result.
        is_recording: Whether the writes of the first relay are recorded.
    """

    folder: Path
    fault: Fault
    connection_use: ConnectionUse
    class_name: str
    is_full: bool
    endpoint: FaultyEndpoint = field(default_factory=FaultyEndpoint)
    snapshots: list[JournalSnapshot] = field(default_factory=list)
    is_recording: bool = False

    def __post_init__(self) -> None:
        self.first_state_folder = self.folder / "first"
        self.testbed = RelayTestbed(self.first_state_folder)

    def __str__(self) -> str:
        """Return the parameters that identify the scenario in a report of breaches."""
        return f"{self.fault} {self.connection_use.value} {self.class_name} {'full' if self.is_full else ''}"

    @property
    def notices(self) -> NoticeList:
        """The notices that the platform has accepted."""
        return [(notice["ref"], notice["result"]) for notice in self.testbed.notices]

    def record_write(self) -> None:
        """Copy the state folder after a write of the first relay, as a kill at this time would leave it."""
        if self.is_recording:
            self._update_last_snapshot()
            self.snapshots.append(JournalSnapshot(self.folder / f"kill-{len(self.snapshots)}"))
            shutil.copytree(self.first_state_folder, self.snapshots[-1].folder)

    def _update_last_snapshot(self) -> None:
        if self.snapshots:
            folder = self.snapshots[-1].folder
            self.snapshots[-1] = JournalSnapshot(folder, len(self.endpoint.calls), len(self.testbed.notices))

    async def run(self) -> list[str]:
        """Run the scenario; return the breaches of the delivery rules."""
        try:
            await self.testbed.add_endpoint(1, serve=self.endpoint.serve)
            discovery_address = await self.testbed.start_discovery()
            breaches = await self._run_without_kill(discovery_address)
            breaches += await self._run_after_each_kill(discovery_address)
        finally:
            self.testbed.close()
        return [f"{self}: {breach}" for breach in breaches]

    async def _run_without_kill(self, discovery_address: Address) -> list[str]:
        relay = await self.testbed.start_relay(discovery_address)
        await self._warm_up(relay)
        self._prepare_connection(relay)
        self.endpoint.calls.clear()
        self.endpoint.faults = [self.fault] + [REJECTION] * (REJECTIONS_WHEN_FULL if self.is_full else 0)
        self.is_recording = True
        assert await request_status(relay, submission(MESSAGE_ID, self.class_name, time_left=TIME_LEFT)) == 202
        await self._wait_for_result(relay, discovery_address, "again")
        self.is_recording = False
        self._update_last_snapshot()
        breaches = self._find_breaches(is_one_process=True)
        if self.fault.ending is not CallEnding.LATE_RESPONSE:
            breaches += find_wrong_result_count(MESSAGE_ID, self.endpoint.calls, self.notices)
        return breaches

    async def _warm_up(self, relay: PlatformRelay) -> None:
        for number in range(WARM_UP_CALLS):
            assert await request_status(relay, submission(f"w{number}", body=b"warm")) == 202
            await wait_until_idle(relay)

    def _prepare_connection(self, relay: PlatformRelay) -> None:
        if self.connection_use is ConnectionUse.NEW:
            pool = relay.endpoint_client.pool
            pool.close_idle(next(iter(pool.idle_connections.by_address)))
        elif self.connection_use is ConnectionUse.LAST_BYTE_DELAYED:
            # As if many reused connections had been stale: the engine delays the last byte of non-idempotent calls.
            relay.engine.connections.stale_ratio = 1.0

    async def _run_after_each_kill(self, discovery_address: Address) -> list[str]:
        breaches = []
        calls, notices = self.endpoint.calls, self.testbed.notices
        for snapshot in self.snapshots:
            self.endpoint.calls = calls[: snapshot.call_count]
            self.testbed.notices = notices[: snapshot.notice_count]
            self.testbed.state_folder = snapshot.folder
            self.endpoint.faults = []
            relay = await self.testbed.start_relay(discovery_address)
            kill_name = snapshot.folder.name
            await self._wait_for_result(relay, discovery_address, kill_name)
            breaches += [f"{kill_name}: {breach}" for breach in self._find_breaches(is_one_process=False)]
        return breaches

    def _find_breaches(self, is_one_process: bool) -> list[str]:
        return find_breaches(self.class_name, self.endpoint.calls, self.notices, is_one_process)

    async def _wait_for_result(self, relay: PlatformRelay, discovery_address: Address, retry_id: str) -> None:
        """Wait for a relay's results. If the message was rejected, submit it to another relay, as its client does."""
        await wait_until_idle(relay, RESULT_TIMEOUT_S)
        is_rejected = (MESSAGE_ID, "bounced") in self.notices
        if is_rejected and not any(map(self._is_retry_of_client, self.endpoint.calls)):
            self.endpoint.faults = []
            self.testbed.state_folder = self.folder / f"{retry_id}-other"
            other = await self.testbed.start_relay(discovery_address)
            assert await request_status(other, submission(retry_id, self.class_name, time_left=TIME_LEFT)) == 202
            await wait_until_idle(other, RESULT_TIMEOUT_S)

    @staticmethod
    def _is_retry_of_client(call: ReceivedCall) -> bool:
        return call.submission_id != MESSAGE_ID
