"""Load reports of endpoints that can't be read: the answer that carries one still ends its attempt."""

from __future__ import annotations

from pathlib import Path

import pytest

from linnetstile.codec import http1
from linnetstile.platform_relay.endpoint_client import parse_load_report

from .http_messages import request_status, submission
from .relay_testbed import SETTINGS, RelayTestbed, delivered_ids, run_scenario, wait_until_idle

FIELD_NAMES = ("x0", "x1")
UNREADABLE_REPORTS = {
    "arrays nested too deeply": "[" * 2000,
    "objects nested too deeply": '{"x0":' * 2000,
    "an integer that no float holds": '{"x0":0.6,"x1":' + "9" * 400 + "}",
    "an integer with more digits than Python converts": '{"x0":0.6,"x1":' + "9" * 5000 + "}",
    "a float beyond the largest one": '{"x0":0.6,"x1":1e999}',
    "not a number": '{"x0":0.6,"x1":NaN}',
    "a nested value": '{"x0":0.6,"x1":[1]}',
    "a missing field": '{"x0":0.6}',
    "no object": "7",
    "noise": "\x01{{{",
}


@pytest.mark.parametrize("report", UNREADABLE_REPORTS.values(), ids=UNREADABLE_REPORTS.keys())
def test_unreadable_load_report_counts_as_none(report: str) -> None:
    assert parse_load_report(http1.Headers([("X-Backend-Load", report)]), FIELD_NAMES) == ()


@pytest.mark.parametrize("status", [503, 500, 200])
@pytest.mark.parametrize("report", ["[" * 2000, '{"x0":0.6,"x1":' + "9" * 400 + "}"], ids=["nested", "large"])
def test_message_answered_with_an_unreadable_load_report_ends_and_frees_its_slot(
    tmp_path: Path, report: str, status: int
) -> None:
    """Guards against a message without an end, and a slot that is never free again (review/1)."""

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = SETTINGS | {
            "extra": {"call-slots": 1},
            "feedback": {"how": "piggyback", "fields": list(FIELD_NAMES)},
        }
        relay = await testbed.start_relay()
        response = b"HTTP/1.1 %d X\r\nX-Backend-Load: %b\r\nContent-Length: 0\r\n\r\n" % (status, report.encode())
        testbed.scripted_responses[1] = [response]
        for submission_id in ("first", "second"):
            assert await request_status(relay, submission(submission_id)) == 202
            await wait_until_idle(relay)
        expected_calls = ["first", "second"] if status == 200 else ["first", "first", "second"]
        assert delivered_ids(testbed) == expected_calls
        assert not testbed.notices

    run_scenario(tmp_path, scenario)
