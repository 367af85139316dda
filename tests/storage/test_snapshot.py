"""Snapshots: a partial file is detected, the age is correct or unknown, and files of earlier releases are readable."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile import errors
from linnetstile.as2_relay.gossip_document import parse
from linnetstile.storage import snapshot

# Written by the program at commit ea85c36; its header has the boot id and the clock values of the writing.
RECORDED = Path(__file__).parent.parent / "data" / "snapshots" / "gossip-ea85c36.snapshot"


def test_document_is_read_back_with_its_age(tmp_path: Path) -> None:
    path = tmp_path / "s"
    snapshot.write(path, {"a": 1})
    snapshot.write(path, {"a": 2})
    payload, age = snapshot.read(path)
    assert payload == {"a": 2}
    assert age is not None
    assert 0 <= age < 5000
    assert list(tmp_path.iterdir()) == [path]


@pytest.mark.parametrize(
    ("boot", "wall", "known"), [("another", -60.0, True), ("another", 60.0, False), ("", -60.0, True)]
)
def test_age_after_another_boot_is_by_the_wall_clock_unless_it_was_set_back(
    tmp_path: Path, boot: str, wall: float, known: bool
) -> None:
    header, _, body = snapshot.encode({"a": 1}).partition(b"\n")
    fields = json.loads(header) | {"boot": boot, "wall_s": time.time() + wall}
    (tmp_path / "s").write_bytes(json.dumps(fields).encode() + b"\n" + body)
    age = snapshot.read(tmp_path / "s")[1]
    assert (age is not None) == known
    assert age is None or 59_000 < age < 65_000


def read_or_error(path: Path) -> tuple[dict[str, Any] | None, str]:
    """Return the document, or the message of the `SnapshotError`."""
    try:
        return snapshot.read(path).payload, ""
    except snapshot.SnapshotError as error:
        return None, str(error)


@given(st.integers(0, 400), st.integers(0, 255))
def test_changed_or_missing_byte_is_detected(at: int, byte: int) -> None:
    import tempfile

    data = snapshot.encode({"claims": ["x" * 50, 1.5]})
    at %= len(data)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "s"
        for changed in (data[:at], data[:at] + bytes([byte]) + data[at + 1 :]):
            path.write_bytes(changed)
            if changed == data:
                continue
            payload, message = read_or_error(path)
            if message:
                assert str(path) in message
            else:
                assert payload == {"claims": ["x" * 50, 1.5]}  # the changed byte belongs to a clock value in the header


def test_foreign_file_is_named_and_quarantined(tmp_path: Path) -> None:
    path = tmp_path / "s"
    for data, text in [
        (b"", "not a snapshot"),
        (b"\x00\xff\n", "not a snapshot"),
        (b"[1]\n{}", "not a snapshot"),
        (snapshot.encode({}).replace(b'"format": 1', b'"format": 2'), "format 2, expected 1"),
    ]:
        path.write_bytes(data)
        with pytest.raises(snapshot.SnapshotError, match=text):
            snapshot.read(path)
    assert snapshot.quarantine(path) == tmp_path / "s.bad"
    assert not path.exists()
    with pytest.raises(FileNotFoundError):
        snapshot.read(path)


def test_snapshot_error_is_a_journal_error_with_expected_and_found(tmp_path: Path) -> None:
    path = tmp_path / "s"
    path.write_bytes(snapshot.encode({}).replace(b'"format": 1', b'"format": 2'))
    with pytest.raises(errors.JournalError) as caught:
        snapshot.read(path)
    assert (caught.value.field, caught.value.expected, caught.value.found) == ("format", "1", "2")


@pytest.fixture
def recorded_clocks(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the boot id and the clocks to the values in the recorded file."""
    header = json.loads(RECORDED.read_bytes().partition(b"\n")[0])
    boot_id = tmp_path / "boot_id"
    boot_id.write_text(header["boot"] + "\n")
    monkeypatch.setattr(snapshot, "BOOT_ID_PATH", boot_id)
    monkeypatch.setattr(snapshot, "_since_boot_s", lambda: header["since_boot_s"])
    monkeypatch.setattr(time, "time", lambda: header["wall_s"])


def test_recorded_snapshot_of_an_earlier_release_is_read() -> None:
    payload, age_ms = snapshot.read(RECORDED)
    assert [claim["partner"] for claim in payload["claims"]] == ["firma", "Müller & Söhne"]
    assert payload["few_connections"] == {"firma": 0.25}
    assert age_ms is None or age_ms > 0  # written in another boot; None if the wall clock is before that time
    parse(payload)


@pytest.mark.usefixtures("recorded_clocks")
def test_same_document_is_written_with_the_bytes_of_an_earlier_release(tmp_path: Path) -> None:
    payload, age_ms = snapshot.read(RECORDED)
    assert age_ms == 0
    snapshot.write(tmp_path / "s", payload)
    assert (tmp_path / "s").read_bytes() == RECORDED.read_bytes()
