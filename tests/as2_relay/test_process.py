"""The process around a relay: a log that can't be written, descriptors that run out, clear last words."""

from __future__ import annotations

import asyncio
import json
import resource
import socket
import sys
from pathlib import Path
from typing import TextIO, cast

import pytest
import yaml

from linnetstile.telemetry.log import Unfailing
from tests.faults.rig import Rig, kind, run


class Full:
    def write(self, text: str) -> int:
        raise OSError(28, "No space left on device")


def test_a_log_that_can_not_be_written_costs_nothing_but_its_lines() -> None:
    stream = Unfailing(cast(TextIO, Full()))
    assert stream.write("line\n") == 5 and stream.lost == 1
    stream.flush()


@pytest.mark.parametrize("trouble", ["full log", "no descriptors"])
def test_a_relay_outlives_a_full_log_and_runs_out_of_descriptors_and_back(tmp_path: Path, trouble: str) -> None:
    async def test() -> None:
        async with Rig(tmp_path) as rig:
            settings = rig.settings("r1").model_dump(mode="json", by_alias=True)
            (tmp_path / "relay.yaml").write_text(yaml.safe_dump(settings))

            def few() -> None:
                if trouble == "no descriptors":
                    resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))

            with open("/dev/full" if trouble == "full log" else tmp_path / "log", "ab", buffering=0) as log:
                child = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "linnetstile.cli.main",
                    "relay",
                    str(tmp_path / "relay.yaml"),
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                    preexec_fn=few,
                )
            assert child.stdout is not None
            address = json.loads(await asyncio.wait_for(child.stdout.readline(), 20))["listening"]
            host, port = address.split(":")
            crowd = [socket.create_connection((host, int(port))) for _ in range(80)]
            await asyncio.sleep(0.3)
            for each in crowd:
                each.close()
            answer = await rig.post(address, rig.make("safe"))
            while kind(answer) == "refused":  # the list of partners is read while it starts
                answer = await rig.post(address, rig.make("safe"))
            assert kind(answer) == "delivered"
            child.terminate()
            assert await asyncio.wait_for(child.wait(), 20) == 0
            if trouble == "no descriptors":
                lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
                fitted = [line for line in lines if line["event"] == "open_files"]
                assert [line["connections"] for line in fitted] == [16]  # told at the start, with what to turn
                assert "raise the limit on open files" in fitted[0]["why"]

    run(test)


def test_a_failure_says_what_the_last_attempt_proved(tmp_path: Path) -> None:
    async def test() -> None:
        faults = [{"kind": "forged_receipt", "at_s": 0, "for_s": 60, "partners": ["firma"]}]
        async with Rig(tmp_path, faults=faults) as rig:
            answer = await rig.hand(rig.make("unsafe"))
            assert kind(answer) == "failed"
            assert b"1 attempt, the last one: receipt not signed by the partner" in answer.body

    run(test)


@pytest.mark.parametrize(
    ("more", "says"),
    [
        ({"tls": {"certificate": "/nowhere/none.pem"}}, "/nowhere/none.pem: can't be used: No such file"),
        ({"partners": {"firma": {"tls": {"authorities": "/nowhere/root.pem"}}}}, "/nowhere/root.pem: can't be used"),
        ({"limits": {"slots": 1, "hold": 1, "hold_bytes": 70_000}}, "expected hold_bytes to be at least"),
    ],
)
def test_a_check_loads_what_the_settings_name(tmp_path: Path, more: dict[str, object], says: str) -> None:
    from click.testing import CliRunner

    from linnetstile.cli.relay import command

    found = {
        "name": "r",
        "register": "http://127.0.0.1:1",
        "classes": {"a": {"effect": "safe", "aim_ms": 1, "deadline_ms": 2}},
        "rules": [{"class": "a"}],
        "limits": {"slots": 1, "hold": 1},
        **more,
    }
    (tmp_path / "relay.yaml").write_text(yaml.safe_dump(found))
    told = CliRunner().invoke(command, [str(tmp_path / "relay.yaml"), "--check"])
    assert told.exit_code == 2 and says in told.output
