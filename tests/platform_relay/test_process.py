"""The relay as a process: one clear error for a bad configuration, signals, kill and start again."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from .relay_testbed import SETTINGS

VALID_CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "ff",
    "limits": {"sockets": 256, "memory_mb": 64, "disk_mb": 1},
    "known": {},
    "settings": SETTINGS,
}


def start_process(tmp_path: Path, raw: object) -> subprocess.Popen[str]:
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    env = {**os.environ, "GW_CONFIG": str(path), "GW_STATE": str(tmp_path / "state")}
    return subprocess.Popen(
        [sys.executable, "-m", "linnetstile.platform_relay"], env=env, stderr=subprocess.PIPE, text=True
    )


@pytest.mark.parametrize(
    ("raw", "expected_text"),
    [
        ("{", "config.json: expected JSON"),
        ({**VALID_CONFIG, "listen": "nowhere"}, "listen: expected HOST:PORT"),
        ({**VALID_CONFIG, "seed": "xyz"}, "seed: expected a hexadecimal number"),
        ({**VALID_CONFIG, "limits": {"sockets": "many"}}, "limits.sockets: expected a number"),
        ({**VALID_CONFIG, "settings": {**SETTINGS, "classes": [{"name": "x"}]}}, "settings: "),
        ({**VALID_CONFIG, "settings": {**SETTINGS, "extra": {}}}, "settings: 'call-slots' is missing"),
        ({**VALID_CONFIG, "settings": {**SETTINGS, "zones": None}}, "settings.zones: expected a list"),
        (
            {**VALID_CONFIG, "settings": {**SETTINGS, "orgs": [{"name": "a", "quota-per-s": "x"}]}},
            "tenants.quota_per_s: must be",
        ),
        ({**VALID_CONFIG, "discovery": "a b:80"}, "discovery: expected HOST:PORT"),
        ("[" * 100_000, "config.json: expected JSON"),
    ],
)
def test_bad_configuration_gets_one_line_and_exit_2(tmp_path: Path, raw: object, expected_text: str) -> None:
    process = start_process(tmp_path, raw)
    _, error = process.communicate(timeout=20)
    assert process.returncode == 2
    assert expected_text in error
    assert error.count("\n") == 1


def test_crowd_of_connections_leaves_descriptors_for_others(tmp_path: Path) -> None:
    port = free_port()
    process = start_process(tmp_path, {**VALID_CONFIG, "listen": f"127.0.0.1:{port}", "limits": {"sockets": 64}})
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (64, 64))
    crowd: list[socket.socket] = []
    try:
        wait_for(process, "ready")
        for _ in range(5):
            crowd += [socket.create_connection(("127.0.0.1", port), timeout=5) for _ in range(60)]
            with socket.create_connection(("127.0.0.1", port), timeout=2) as client:
                client.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in client.recv(1000)
    finally:
        for each in crowd:
            each.close()
        process.kill()
        _, told = process.communicate()
    assert "fault" not in told


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def wait_for(process: subprocess.Popen[str], event: str) -> dict[str, Any]:
    assert process.stderr is not None
    for line in process.stderr:
        told: dict[str, Any] = json.loads(line)
        if told["event"] == event:
            return told
    raise AssertionError(f"ended before it said {event}")


def test_bad_reload_changes_nothing_and_a_kill_loses_nothing_that_was_taken(tmp_path: Path) -> None:
    port = free_port()
    entry = {"id": "s", "addr": "127.0.0.1:9", "zone": "z", "kind": "k", "cell": 1, "state": "SERVING", "weight": 5.0}
    good = {**VALID_CONFIG, "listen": f"127.0.0.1:{port}", "known": {"version": 1, "full": True, "servers": [entry]}}
    process = start_process(tmp_path, good)
    try:
        wait_for(process, "ready")
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "expected JSON" in wait_for(process, "config_rejected")["why"]
        head = (
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: m\r\nX-Service-Class: state\r\nX-Account: acme\r\n"
            "X-Time-Left: 6000m\r\nEnvelope: dest=1\r\nContent-Length: 0\r\n\r\n"
        )
        with socket.create_connection(("127.0.0.1", port), timeout=5) as client:
            client.sendall(head.encode())
            assert b" 202 " in client.recv(1000)
    finally:
        process.kill()
        process.communicate()
    process = start_process(tmp_path, good)
    try:
        assert wait_for(process, "ready")["resumed"] == 1
        process.send_signal(signal.SIGTERM)
        stopped = wait_for(process, "stopped")
        assert stopped["held"] + stopped["notices"] == 1  # still owed: nobody could be told
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.communicate()
