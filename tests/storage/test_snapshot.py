"""A snapshot is the old or the new one, never half of one; and its age is told or it is not."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.storage import snapshot


def test_it_is_read_back_with_its_age(tmp_path: Path) -> None:
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
def test_after_another_boot_the_wall_clock_counts_unless_it_went_back(
    tmp_path: Path, boot: str, wall: float, known: bool
) -> None:
    head, _, body = snapshot.encode({"a": 1}).partition(b"\n")
    fields = json.loads(head) | {"boot": boot, "wall_s": time.time() + wall}
    (tmp_path / "s").write_bytes(json.dumps(fields).encode() + b"\n" + body)
    age = snapshot.read(tmp_path / "s")[1]
    assert (age is not None) == known
    assert age is None or 59_000 < age < 65_000


@given(st.integers(0, 400), st.integers(0, 255))
def test_any_byte_that_flips_or_is_missing_is_noticed(at: int, byte: int) -> None:
    import tempfile

    data = snapshot.encode({"claims": ["x" * 50, 1.5]})
    at %= len(data)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "s"
        for changed in (data[:at], data[:at] + bytes([byte]) + data[at + 1 :]):
            path.write_bytes(changed)
            if changed == data:
                continue
            try:
                assert snapshot.read(path)[0] == {"claims": ["x" * 50, 1.5]}  # a byte of the clocks in its head
            except snapshot.SnapshotError as error:
                assert str(path) in str(error)


def test_foreign_files_are_named_and_set_aside(tmp_path: Path) -> None:
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
    assert snapshot.set_aside(path) == tmp_path / "s.bad"
    assert not path.exists()
    with pytest.raises(FileNotFoundError):
        snapshot.read(path)
