"""Limits of connections, memory and disk, and the submission identifiers that are kept."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from linnetstile.engine.resource_limits import MAX_ENDED_IDS, SubmissionIds, resource_limits


@given(st.integers(64, 65536), st.floats(0.01, 1e3), st.integers(1, 64))
def test_resource_limits_leave_descriptors_for_calls_and_disk_for_two_journals(
    sockets: int, disk_mb: float, slots: int
) -> None:
    limits = resource_limits(sockets, disk_mb * 1e6, slots)
    assert 0 < limits.max_client_connections < sockets / 3
    assert limits.max_idle_connections >= slots
    assert limits.max_message_bytes + limits.compaction_bytes <= disk_mb * 1e6


def test_all_open_identifiers_are_known_beyond_the_limit_of_ended_ones() -> None:
    message_ids = SubmissionIds()
    for number in range(MAX_ENDED_IDS + 5):  # none of them has ended
        message_ids.add(str(number))
    assert all(str(number) in message_ids for number in range(MAX_ENDED_IDS + 5))
    assert not message_ids.ended


def test_latest_ended_identifiers_are_known() -> None:
    message_ids = SubmissionIds(max_ended=3)
    for number in range(9):
        message_ids.add(str(number))
    for number in range(5):
        message_ids.complete(str(number))
    assert [number for number in range(9) if str(number) in message_ids] == [2, 3, 4, 5, 6, 7, 8]
    message_ids.complete("3")  # completing a message again changes nothing
    assert list(message_ids.ended) == ["2", "3", "4"]
