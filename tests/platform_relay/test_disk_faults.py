"""Failed journal writes: no message is accepted without its record, and no result is lost."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path

import pytest

from linnetstile.platform_relay import journal_replay
from linnetstile.platform_relay.records import Notice, NoticeResult, PendingNotice

from .http_messages import BUSY_RESPONSE, request_status, submission
from .relay_testbed import RelayTestbed, run_scenario, wait_until

CLOSED_DESCRIPTOR = -1


def test_message_that_cannot_be_journaled_is_rejected(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        descriptor, relay.journal._descriptor = relay.journal._descriptor, CLOSED_DESCRIPTOR
        assert await request_status(relay, submission("m")) == 503
        relay.journal._descriptor = descriptor
        await wait_until(lambda: not relay.accepted)
        assert not testbed.endpoint_calls
        assert not testbed.notices
        assert await request_status(relay, submission("n")) == 202

    run_scenario(tmp_path, scenario)


def test_result_whose_write_failed_is_recovered_by_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A message whose rejection was notified must not be sent again, as its client may have submitted it again."""
    write = os.write
    failed_writes: list[bytes] = []

    def fail_first_write_of_result(descriptor: int, data: bytes) -> int:
        if b'"bounced"' in data and not failed_writes:
            failed_writes.append(data)
            raise OSError(errno.ENOSPC, "no room")
        return write(descriptor, data)

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.notice_statuses = [500]  # the notice stays pending
        testbed.scripted_responses[1] = [BUSY_RESPONSE] * 9
        relay = await testbed.start_relay()
        monkeypatch.setattr(os, "write", fail_first_write_of_result)
        assert await request_status(relay, submission("m", "pay", time_left="700m")) == 202
        await wait_until(lambda: relay.reporter.pending_notices)
        await asyncio.sleep(0.05)
        records, _ = journal_replay.replay((testbed.state_folder / "journal").read_bytes())
        (record,) = records.values()
        assert failed_writes
        assert isinstance(record, PendingNotice)
        assert record.notice == Notice("m", NoticeResult.REJECTED)

    run_scenario(tmp_path, scenario)
