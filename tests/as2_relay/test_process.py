"""The process around a relay: a log that cannot be written, descriptors that run out, clear errors."""

from __future__ import annotations

import asyncio
import json
import resource
import socket
import sys
from pathlib import Path
from typing import BinaryIO, TextIO, cast

import pytest
import yaml

from linnetstile.telemetry.log import NonFailingStream

from ..faults.relay_testbed import RelayTestbed, answer_kind, run_test


class FullDisk:
    """A stream on a disk without space."""

    def write(self, text: str) -> int:
        raise OSError(28, "No space left on device")


def test_a_failed_log_write_is_counted_and_not_raised() -> None:
    stream = NonFailingStream(cast(TextIO, FullDisk()))
    assert stream.write("line\n") == 5
    assert stream.failed_writes == 1
    stream.flush()


def open_log(folder: Path, fault: str) -> BinaryIO:
    """Open the log of a relay process: a device that is always full, or a file."""
    return cast(BinaryIO, open("/dev/full" if fault == "full log" else folder / "log", "ab", buffering=0))


@pytest.mark.parametrize("fault", ["full log", "no descriptors"])
def test_a_relay_survives_a_full_log_and_running_out_of_descriptors(tmp_path: Path, fault: str) -> None:
    async def test() -> None:
        async with RelayTestbed(tmp_path) as testbed:
            settings = testbed.relay_settings("r1").model_dump(mode="json", by_alias=True)
            (tmp_path / "relay.yaml").write_text(yaml.safe_dump(settings))

            def limit_descriptors() -> None:
                if fault == "no descriptors":
                    resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))

            with open_log(tmp_path, fault) as log:
                child = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "linnetstile.cli.main",
                    "relay",
                    str(tmp_path / "relay.yaml"),
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                    preexec_fn=limit_descriptors,
                )
            assert child.stdout is not None
            address = json.loads(await asyncio.wait_for(child.stdout.readline(), 20))["listening"]
            host, port = address.split(":")
            connections = [socket.create_connection((host, int(port))) for _ in range(80)]
            await asyncio.sleep(0.3)
            for connection in connections:
                connection.close()
            answer = await testbed.post(address, testbed.make_message("safe"))
            while answer_kind(answer) == "refused":  # the list of partners is read while it starts
                answer = await testbed.post(address, testbed.make_message("safe"))
            assert answer_kind(answer) == "delivered"
            child.terminate()
            assert await asyncio.wait_for(child.wait(), 20) == 0
            if fault == "no descriptors":
                lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
                fitted = [line for line in lines if line["event"] == "open_files"]
                assert [line["connections"] for line in fitted] == [
                    16
                ]  # logged at the start, with the setting to change
                assert "raise the limit on open files" in fitted[0]["why"]

    run_test(test)


def test_a_failure_names_what_the_last_attempt_proved(tmp_path: Path) -> None:
    async def test() -> None:
        faults = [{"kind": "forged_receipt", "at_s": 0, "for_s": 60, "partners": ["firma"]}]
        async with RelayTestbed(tmp_path, faults=faults) as testbed:
            answer = await testbed.submit(testbed.make_message("unsafe"))
            assert answer_kind(answer) == "failed"
            assert b"1 attempt, the last one: receipt not signed by the partner" in answer.body

    run_test(test)


@pytest.mark.parametrize(
    ("more", "says"),
    [
        ({"tls": {"certificate": "/nowhere/none.pem"}}, "/nowhere/none.pem: can't be used: No such file"),
        ({"partners": {"firma": {"tls": {"authorities": "/nowhere/root.pem"}}}}, "/nowhere/root.pem: can't be used"),
        ({"limits": {"slots": 1, "hold": 1, "hold_bytes": 70_000}}, "expected hold_bytes to be at least"),
    ],
)
def test_the_check_option_loads_all_files_that_the_settings_name(
    tmp_path: Path, more: dict[str, object], says: str
) -> None:
    from click.testing import CliRunner

    from linnetstile.cli.relay import command

    settings = {
        "name": "r",
        "register": "http://127.0.0.1:1",
        "classes": {"a": {"effect": "safe", "aim_ms": 1, "deadline_ms": 2}},
        "rules": [{"class": "a"}],
        "limits": {"slots": 1, "hold": 1},
        **more,
    }
    (tmp_path / "relay.yaml").write_text(yaml.safe_dump(settings))
    result = CliRunner().invoke(command, [str(tmp_path / "relay.yaml"), "--check"])
    assert result.exit_code == 2
    assert says in result.output
