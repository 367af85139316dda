"""Endpoints that send a second copy right behind a response, while the next message waits for the connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from linnetstile.engine.connection_policy import MIN_IDLE_MS

from .http_messages import BUSY_RESPONSE, OK_RESPONSE, read_http, request_status, submission
from .relay_testbed import SETTINGS, RelayTestbed, run_scenario, wait_until, wait_until_idle, with_limits

WORK_S = 0.02  # time from a request to its own response
LONG_WORK_S = 0.5  # longer than a relay waits before it retries a rejected call
COPY_DELAY_S = 0.9 * MIN_IDLE_MS / 1000
# Idle time for the copies after COPY_DELAY_S: endpoint and relay share a thread here, so on a busy machine such a copy
# leaves some ms late, when MIN_IDLE_MS is over.
LONG_IDLE_S = 0.3


@dataclass
class CopyingEndpoint:
    """Sends a second copy behind each response, unless the response is the last one of `responses`.

    The copy is late enough for a relay that reuses the connection at once: then the next request is read first, so the
    copy arrives while that request waits for its own response. Otherwise the copy arrives after `copy_delay_s`.

    Attributes:
        copy_delay_s: Time from a response to its copy if no request arrives before.
        responses: The responses to the next calls; calls after the last one are answered 200 without a copy.
        uncopied_count: Number of the first responses that have no copy.
        long_work_ids: Identifiers of messages whose calls take `LONG_WORK_S`.
        runs: How often each message was run, by the client's identifier.
        open_calls: Number of calls of each message that have no response yet.
        overlapping: Identifiers of messages that had two calls open at once.
    """

    copy_delay_s: float
    responses: list[bytes]
    uncopied_count: int = 0
    long_work_ids: tuple[str, ...] = ()
    runs: Counter[str] = field(default_factory=Counter)
    open_calls: Counter[str] = field(default_factory=Counter)
    overlapping: list[str] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection: one call after the other, though the next request may arrive before."""
        received: asyncio.Queue[str] = asyncio.Queue()
        receiving = asyncio.ensure_future(self._receive(reader, received))
        try:
            copy = b""
            while True:
                next_id = asyncio.ensure_future(received.get())
                if copy:
                    await asyncio.wait([next_id], timeout=self.copy_delay_s)
                    writer.write(copy)
                await asyncio.wait([next_id, receiving], return_when=asyncio.FIRST_COMPLETED)
                if not next_id.done():  # the relay has closed the connection
                    next_id.cancel()
                    return
                copy = await self._respond(next_id.result(), writer)
        finally:
            receiving.cancel()

    async def _receive(self, reader: asyncio.StreamReader, received: asyncio.Queue[str]) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, fields, _ = await read_http(reader)
                submission_id = fields["x-correlation-id"]
                self.open_calls[submission_id] += 1
                if self.open_calls[submission_id] > 1:
                    self.overlapping.append(submission_id)
                received.put_nowait(submission_id)

    async def _respond(self, submission_id: str, writer: asyncio.StreamWriter) -> bytes:
        """Answer one call; return the copy to send behind the response."""
        has_copy = bool(self.responses) and not self.uncopied_count
        self.uncopied_count = max(0, self.uncopied_count - 1)
        response = self.responses.pop(0) if self.responses else OK_RESPONSE
        self.runs[submission_id] += response == OK_RESPONSE
        await asyncio.sleep(LONG_WORK_S if submission_id in self.long_work_ids else WORK_S)
        writer.write(response)
        self.open_calls[submission_id] -= 1
        return response if has_copy else b""

    def broken_rules(self, ids: list[str]) -> dict[str, list[str]]:
        """Return the messages that were run again, had two calls open at once, or were never run."""
        return {
            "run again": [submission_id for submission_id in ids if self.runs[submission_id] > 1],
            "two calls at once": self.overlapping,
            "no end": [submission_id for submission_id in ids if not self.runs[submission_id]],
        }


@pytest.mark.parametrize("copy_delay_s", [0.001, 0.01, COPY_DELAY_S])
@pytest.mark.parametrize("class_name", ["pay", "order", "state"])
@pytest.mark.parametrize(
    "responses",
    [
        [OK_RESPONSE, BUSY_RESPONSE],
        [BUSY_RESPONSE, OK_RESPONSE],
        [OK_RESPONSE] * 2 + [BUSY_RESPONSE],
        [BUSY_RESPONSE] * 3,
    ],
    ids=["200-503", "503-200", "200-200-503", "503-503-503"],
)
def test_second_copy_of_a_response_is_not_taken_for_the_response_to_the_next_call(
    tmp_path: Path, responses: list[bytes], class_name: str, copy_delay_s: float
) -> None:
    """Guards against lost messages and second runs by a copy on a connection that was reused at once (review/2)."""

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = SETTINGS | {"extra": {"call-slots": 1}}  # so that each message waits for the one before it
        endpoint = CopyingEndpoint(copy_delay_s, list(responses))
        await testbed.add_endpoint(2, serve=endpoint.serve)
        relay = await testbed.start_relay()
        if copy_delay_s == COPY_DELAY_S:
            relay.endpoint_client.pool.min_idle_s = LONG_IDLE_S
        ids = [f"m{number}" for number in range(4)]
        requests = [submission(submission_id, class_name, destination=2) for submission_id in ids]
        assert set(await asyncio.gather(*(request_status(relay, request) for request in requests))) == {202}
        await wait_until_idle(relay)
        await asyncio.sleep(2 * WORK_S)  # a call that the relay has ended may still be open at the endpoint
        assert endpoint.broken_rules(ids) == {"run again": [], "two calls at once": [], "no end": []}
        assert not testbed.notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("class_name", ["pay", "order", "state"])
def test_second_copy_of_a_rejection_starts_no_second_call_beside_an_open_one(tmp_path: Path, class_name: str) -> None:
    """Guards against two calls of one message at once: the copy rejects a call that is still open at the endpoint."""

    async def scenario(testbed: RelayTestbed) -> None:
        # The first message has used up its attempts when the second one is sent, so only the second one is retried.
        testbed.settings = with_limits(try_limit=2) | {"extra": {"call-slots": 1}}
        endpoint = CopyingEndpoint(
            COPY_DELAY_S, [BUSY_RESPONSE] * 2, uncopied_count=1, long_work_ids=("first", "second")
        )
        await testbed.add_endpoint(2, serve=endpoint.serve)
        relay = await testbed.start_relay()
        relay.endpoint_client.pool.min_idle_s = LONG_IDLE_S
        assert await request_status(relay, submission("first", class_name, destination=2)) == 202
        await wait_until(lambda: not endpoint.responses and endpoint.open_calls["first"])
        assert await request_status(relay, submission("second", class_name, destination=2)) == 202
        await wait_until_idle(relay)
        await asyncio.sleep(LONG_WORK_S)  # a call that the relay has ended may still be open at the endpoint
        assert endpoint.broken_rules(["second"]) == {"run again": [], "two calls at once": [], "no end": []}
        assert testbed.notices == [{"ref": "first", "result": "bounced"}]

    run_scenario(tmp_path, scenario)
