"""The simulator adapter: the examples of the protocol document, a session with a child process, malformed input."""

from __future__ import annotations

import json
import os
import struct
import subprocess
import sys
from typing import Any

import pytest

from linnetstile import simulator_adapter, simulator_wire
from linnetstile.engine.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from linnetstile.engine.events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    ListKind,
    Message,
    Outcome,
    TimerFired,
)

SETTINGS: dict[str, Any] = {
    "az": 0,
    "balancers": 2,
    "classes": [
        {
            "aim-ms": 400.0,
            "deadline-ms": 4000.0,
            "dedup-scope": "all",
            "effect": "by_key",
            "late-share": 0.5,
            "name": "a",
            "window-ms": 2000.0,
            "worth": 2.0,
        },
    ],
    "extra": {"call-slots": 4, "loses-worth": "halves", "per-call": [1], "separate-routes": [False]},
    "kinds": ["k"],
    "limits": {"open-cap": 20, "try-limit": 5, "probing": False, "streams-per-conn": 1, "conn-idle-ms": 1e4},
    "registry-mode": "push",
    "safety": {
        "answer-slack-ms": 20.0,
        "cold-from": 0.2,
        "cold-ms": 9000.0,
        "drain-grace-ms": 250.0,
        "fall-ms": 1500.0,
        "fall-multiple": 2.0,
    },
    "tick-ms": 5.0,
    "weight-kind": "nominal",
    "an-unknown-key": {"x": 1},
}

# Codes from the protocol document, repeated here so that a test fails if a code of the adapter is renumbered.
ENDPOINTS_CODE = 20
LIST_CHANGED_CODE = 30
TIMER_FIRED_CODE = 40
CLIENT_CANCELLED_CODE = 70
INSTANCE_STARTED_CODE = 80
ATTEMPT_ENDED_CODE = 100
MESSAGE_CODE = 110
UNKNOWN_CODE = 251
SEND_CODE = 10

INSTANCE = 3
ENGINE_SEED = 7
LIST_NUMBER = 0
DESTINATION = 57
ENDPOINT_IDS = (11, 12)


def record(code: int, body: bytes) -> bytes:
    return struct.pack("<BI", code, len(body)) + body


def frame(now: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IdI", len(body), now, len(records)) + body


def instance_started(settings: dict[str, Any] = SETTINGS) -> bytes:
    text = json.dumps(settings).encode()
    return record(INSTANCE_STARTED_CODE, struct.pack("<IQI", INSTANCE, ENGINE_SEED, len(text)) + text)


def endpoint_list() -> bytes:
    """Return the record of a list with two ready endpoints of one destination."""
    rows = [simulator_wire.ENDPOINT.pack(1, 8.0, 0.0, 0, 0, DESTINATION, endpoint_id) for endpoint_id in ENDPOINT_IDS]
    return record(ENDPOINTS_CODE, struct.pack("<BI", LIST_NUMBER, len(rows)) + b"".join(rows))


def list_changed() -> bytes:
    """Return the record that tells the instance that `LIST_NUMBER` is the number of its cached list."""
    return record(LIST_CHANGED_CODE, struct.pack("<IBQB", INSTANCE, 2, 41, LIST_NUMBER))


def message(message_id: int, class_index: int = 0) -> bytes:
    body = struct.pack("<IIBIQddfB", INSTANCE, message_id, class_index, 0, 0, 4000.0, 0.0, DESTINATION, 0)
    return record(MESSAGE_CODE, body)


def run_adapter(data: bytes, **environment: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "linnetstile.simulator_adapter"],
        input=data,
        capture_output=True,
        timeout=60,
        env={**os.environ, **environment},
    )


# -- the examples of the protocol document -------------------------------------------------------------------

ATTEMPT_ENDED_EXAMPLE = "03000000c4913a5d0000074a12030100000000008032400100000000" + "00"
MESSAGE_EXAMPLE = "03000000c4913a5d0000000000640ad2557c3bf0910000000000006e4000000000000028400000644201"


@pytest.mark.parametrize(
    ("code", "wire", "event"),
    [
        (MESSAGE_CODE, MESSAGE_EXAMPLE, Message(0x5D3A91C4, 57, 0, 240.0, 0, 0x91F03B7C55D20A64, 12.0, False, False)),
        (TIMER_FIRED_CODE, "030000004d00000000000000", TimerFired(77)),
        (CLIENT_CANCELLED_CODE, "05000000192b6f0e", ClientCancelled(0x0E6F2B19)),
        (
            ATTEMPT_ENDED_CODE,
            ATTEMPT_ENDED_EXAMPLE,
            AttemptEnded(0x5D3A91C4, 0, 0x03124A07, Outcome.OK, 18.5, True, 0.0, False, ()),
        ),
    ],
)
def test_documented_event_is_decoded(code: int, wire: str, event: Event) -> None:
    adapter = simulator_adapter.SimulatorAdapter()
    assert adapter._decode_event(code, bytes.fromhex(wire)) == event


def test_documented_endpoint_list_is_decoded() -> None:
    adapter = simulator_adapter.SimulatorAdapter()
    events: dict[int, list[Event]] = {}
    header = "00" + "02000000"
    first_row = "01" + "0000803f00000000000000000000003900074a1203"
    second_row = "01" + "0000c03f0000000000d4b7400000003900f211902c"
    adapter._apply_record(simulator_wire.Record(ENDPOINTS_CODE, bytes.fromhex(header + first_row + second_row)), events)
    change = bytes.fromhex("0300000002290000000000000000")
    adapter._apply_record(simulator_wire.Record(LIST_CHANGED_CODE, change), events)
    entries = (
        Endpoint(0x03124A07, 57, EndpointStatus.READY, 0, 0, 1.0),
        Endpoint(0x2C9011F2, 57, EndpointStatus.READY, 0, 0, 1.5),
    )
    assert events[INSTANCE] == [EndpointList(ListKind.CACHED, entries)]


SEND_EXAMPLE = "0a1400000003000000c4913a5d074a1203" + struct.pack("<d", 8512.25).hex()


@pytest.mark.parametrize(
    ("action", "wire"),
    [
        (Send(0x5D3A91C4, 0x03124A07, 8512.25), SEND_EXAMPLE),
        (Reject(0x0E6F2B19, 250.0), "1410000000030000 00192b6f0e0000000000406f40"),
        (Fail(0x0E6F2B19), "1e0800000003000000192b6f0e"),
        (Cancel(0x5D3A91C4, 0), "280a00000003000000c4913a5d0000"),
        (SetTimer(500.0, 77), "3214000000030000000000000000407f404d00000000000000"),
        (HealthCheck(0x2C9011F2), "3c0800000003000000f211902c"),
        (CloseIdle(0x2C9011F2), "460800000003000000f211902c"),
        (WatchEndpoints(), "6e050000000300000001"),
    ],
)
def test_documented_action_is_encoded(action: Action, wire: str) -> None:
    assert simulator_wire.encode(INSTANCE, action) == bytes.fromhex(wire)


def test_documented_log_line_is_encoded() -> None:
    wire = "5a1700000005000000110074776f2073657276657273206b6e6f776e"
    assert simulator_wire.encode(5, Log("two servers known")).hex() == wire


# -- sessions with a child process ---------------------------------------------------------------------------


def session_input() -> bytes:
    """Return five frames: no event, the start, a message, its success with seven more messages, and a timer."""
    attempt_ended = record(
        ATTEMPT_ENDED_CODE, struct.pack("<IIHIBdBIB", INSTANCE, 1, 0, ENDPOINT_IDS[0], 1, 120.0, 1, 0, 0)
    )
    timer_fired = record(TIMER_FIRED_CODE, struct.pack("<IQ", INSTANCE, 0))
    return b"".join(
        [
            frame(0.0),
            frame(100.0, instance_started(), endpoint_list(), list_changed()),
            frame(110.0, message(1)),
            frame(1240.0, attempt_ended, *(message(message_id) for message_id in range(2, 9))),
            frame(1260.0, timer_fired),
        ]
    )


def decode_replies(data: bytes) -> list[list[simulator_wire.Record]]:
    """Return the records of each reply frame."""
    replies, position = [], 0
    while position < len(data):
        size, count = struct.unpack_from("<II", data, position)
        position += 8
        body = data[position : position + size]
        replies.append(list(simulator_adapter.SimulatorAdapter._split_records(count, body)))
        position += size
    return replies


def test_session_with_a_child_process() -> None:
    process = run_adapter(session_input())
    assert process.returncode == 0
    assert process.stderr == b""
    replies = decode_replies(process.stdout)
    assert len(replies) == 5
    assert replies[0] == []
    sends = [struct.unpack("<IIId", body) for code, body in replies[2] if code == SEND_CODE]
    assert [send[:2] for send in sends] == [(INSTANCE, 1)]
    assert sends[0][2] in ENDPOINT_IDS
    assert any(code == SEND_CODE for code, _ in replies[3])


def test_actions_are_independent_of_the_hash_seed() -> None:
    first = run_adapter(session_input(), PYTHONHASHSEED="1")
    second = run_adapter(session_input(), PYTHONHASHSEED="2")
    assert first.stdout == second.stdout
    assert len(first.stdout) > 100


SETTINGS_WITHOUT_CLASSES = {**SETTINGS, "classes": []}
SETTINGS_WITHOUT_LIMITS = {key: value for key, value in SETTINGS.items() if key != "limits"}
INVALID_JSON = record(INSTANCE_STARTED_CODE, struct.pack("<IQI", INSTANCE, ENGINE_SEED, 4) + b"{no}")
TRUNCATED_MESSAGE = record(MESSAGE_CODE, b"\3\0\0\0\1")
CANCELLATION = record(CLIENT_CANCELLED_CODE, struct.pack("<II", INSTANCE, 1))


@pytest.mark.parametrize(
    ("data", "expected_text"),
    [
        (b"\x01\x02\x03", "frame header"),
        (struct.pack("<IdI", 40, 0.0, 1) + b"xx", "inside a frame"),
        (frame(0.0, record(UNKNOWN_CODE, struct.pack("<I", INSTANCE))), "unknown event code 251"),
        (frame(0.0, INVALID_JSON), "settings"),
        (frame(0.0, instance_started(SETTINGS_WITHOUT_CLASSES)), "classes"),
        (frame(0.0, instance_started(SETTINGS_WITHOUT_LIMITS)), "limits"),
        (frame(0.0, instance_started(), TRUNCATED_MESSAGE), "malformed"),
        (frame(0.0, list_changed()), "list 0 was never sent"),
        (frame(0.0, instance_started(), message(1, class_index=9)), "class 9"),
        (frame(0.0, CANCELLATION + b"left"), "after its last record"),
    ],
)
def test_malformed_input_ends_the_process_with_status_1_and_one_error_line(data: bytes, expected_text: str) -> None:
    process = run_adapter(data)
    error_text = process.stderr.decode()
    assert process.returncode == 1
    assert error_text.count("\n") == 1
    assert "Traceback" not in error_text
    assert expected_text in error_text
