"""The relay process: a log that cannot be written, too few file descriptors, and the texts of errors."""

from __future__ import annotations

import asyncio
import errno
import json
import resource
import socket
from pathlib import Path
from typing import BinaryIO, TextIO, cast

import pytest
import yaml
from click.testing import CliRunner

from linnetstile.cli.relay import command
from linnetstile.config.relay import split_address
from linnetstile.telemetry.log import NonFailingStream

from ..faults.relay_process import RelayProcess, write_settings
from ..faults.relay_testbed import RelayTestbed, answer_kind, async_test
from ..faults.testbed_settings import partner_fault

DESCRIPTOR_LIMIT = 40


class FullDiskStream:
    """A stream whose writes fail because the disk is full."""

    def write(self, text: str) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")


def test_a_failed_log_write_is_counted_and_not_raised() -> None:
    stream = NonFailingStream(cast(TextIO, FullDiskStream()))
    assert stream.write("line\n") == 5
    assert stream.failed_writes == 1
    stream.flush()


def open_log(folder: Path, fault: str) -> BinaryIO:
    """Open the log of a relay process: a device that is always full for the fault "full log", otherwise a file."""
    return cast(BinaryIO, open("/dev/full" if fault == "full log" else folder / "log", "ab", buffering=0))


def limit_descriptors() -> None:
    """Limit this process to `DESCRIPTOR_LIMIT` file descriptors."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))


@pytest.mark.parametrize("fault", ["full log", "no descriptors"])
@async_test
async def test_a_relay_survives_a_full_log_and_running_out_of_descriptors(tmp_path: Path, fault: str) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        settings_file = write_settings(testbed.relay_settings("r1"), tmp_path / "relay.yaml")
        before_exec = limit_descriptors if fault == "no descriptors" else None
        with open_log(tmp_path, fault) as log:
            relay = await RelayProcess.start(settings_file, stderr=log, before_exec=before_exec)
        address = split_address(relay.address)
        connections = [socket.create_connection(address) for _ in range(80)]
        await asyncio.sleep(0.3)
        for connection in connections:
            connection.close()
        answer = await relay.submit_until_accepted(testbed, testbed.make_message("safe"))
        assert answer_kind(answer) == "delivered"
        relay.child.terminate()
        assert await relay.wait_for_exit() == 0
        if fault == "no descriptors":
            lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
            warnings = [line for line in lines if line["event"] == "open_files"]
            # The warning is logged once, at the start, and names the limits to change.
            assert [line["connections"] for line in warnings] == [16]
            assert "raise the limit on open files" in warnings[0]["why"]


@async_test
async def test_a_failed_answer_contains_the_reason_of_the_last_attempt(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, faults=[partner_fault("forged_receipt")]) as testbed:
        answer = await testbed.submit(testbed.make_message("unsafe"))
        assert answer_kind(answer) == "failed"
        assert b"1 attempt, the last one: receipt not signed by the partner" in answer.body


@pytest.mark.parametrize(
    ("more_settings", "error_text"),
    [
        ({"tls": {"certificate": "/nowhere/none.pem"}}, "/nowhere/none.pem: can't be used: No such file"),
        ({"partners": {"firma": {"tls": {"authorities": "/nowhere/root.pem"}}}}, "/nowhere/root.pem: can't be used"),
        ({"limits": {"slots": 1, "hold": 1, "hold_bytes": 70_000}}, "expected hold_bytes to be at least"),
    ],
)
def test_the_check_option_loads_all_files_that_the_settings_name(
    tmp_path: Path, more_settings: dict[str, object], error_text: str
) -> None:
    settings = {
        "name": "r",
        "register": "http://127.0.0.1:1",
        "classes": {"a": {"effect": "safe", "aim_ms": 1, "deadline_ms": 2}},
        "rules": [{"class": "a"}],
        "limits": {"slots": 1, "hold": 1},
        **more_settings,
    }
    (tmp_path / "relay.yaml").write_text(yaml.safe_dump(settings))
    result = CliRunner().invoke(command, [str(tmp_path / "relay.yaml"), "--check"])
    assert result.exit_code == 2
    assert error_text in result.output
