"""Rules of a watch, without a connection: accepted lists, the version it resumes from, and the allowed silence."""

from __future__ import annotations

import pytest

from linnetstile.engine.watch_policy import (
    ELEMENT_STALL_S,
    FIRST_ELEMENT_S,
    WATCH_SILENCE_S,
    ListVersionGuard,
    ResumePolicy,
    watch_deadline,
)


def test_version_guard_accepts_newer_lists_and_older_ones_sent_twice() -> None:
    guard = ListVersionGuard()

    def accept_and_read(version: int | None, is_full: bool) -> bool:
        is_accepted = guard.accepts(version, is_full)
        if is_accepted:
            guard.list_read(version)
        return is_accepted

    assert [
        accept_and_read(*list_head)
        for list_head in [
            (5, True),
            (6, False),
            (6, False),
            (4, False),
            (4, False),
            (None, True),
            (4, True),
            (7, False),
            (3, True),
            (3, True),
            (4, False),
        ]
    ] == [True, True, True, False, False, True, False, True, False, True, True]


def test_version_guard_records_a_version_only_after_its_list_was_read() -> None:
    guard = ListVersionGuard()
    assert guard.accepts(5, True)
    assert guard.newest_version is None
    guard.list_read(5)
    assert not guard.accepts(4, False)
    assert not guard.accepts(4, True)
    assert guard.accepts(4, True)
    assert guard.accepts(3, True)
    assert guard.newest_version == 5
    guard.list_read(3)
    guard.list_read(None)
    assert guard.newest_version == 3
    assert not guard.accepts(2, True)


def test_watch_deadline_depends_on_the_progress_of_the_watch() -> None:
    assert watch_deadline(10.0, False, None) == 10 + FIRST_ELEMENT_S
    assert watch_deadline(10.0, True, None) == 10 + WATCH_SILENCE_S
    assert watch_deadline(10.0, True, 9.9) == 10 + ELEMENT_STALL_S
    assert watch_deadline(10.0, True, 7.8) == 7.8 + WATCH_SILENCE_S  # data that trickles


def test_resumed_watch_gets_the_full_silence_timeout_after_its_head() -> None:
    assert watch_deadline(10.0, False, None, opened_at=9.2) == 9.2 + WATCH_SILENCE_S
    assert watch_deadline(10.0, True, None, opened_at=9.2) == 10 + WATCH_SILENCE_S
    assert watch_deadline(10.0, False, 9.9, opened_at=9.2) == 10 + ELEMENT_STALL_S


def resume_policy_after_list(is_single_part: bool) -> ResumePolicy:
    """Return a policy after a full list and a valid watch."""
    policy = ResumePolicy()
    policy.full_list_read(is_single_part)
    policy.watch_ended(has_delivered=True, is_valid=True, in_element=False)
    return policy


def test_watch_requests_the_full_list_at_first() -> None:
    policy = ResumePolicy()
    assert policy.resume_version(None) is None
    assert policy.resume_version(5) is None


def test_watch_does_not_resume_while_the_full_list_is_small() -> None:
    # A small list costs less than finding out whether a watch without changes is connected to discovery.
    assert resume_policy_after_list(is_single_part=True).resume_version(5) is None


@pytest.mark.parametrize(
    ("has_delivered", "is_valid", "in_element"),
    [(False, True, False), (True, False, False), (True, True, True)],
)
def test_watch_does_not_resume_after_a_faulty_one_until_a_full_list_was_read(
    has_delivered: bool, is_valid: bool, in_element: bool
) -> None:
    policy = resume_policy_after_list(is_single_part=False)
    for _ in range(2):
        assert policy.resume_version(5) == 5
        assert policy.resume_version(None) is None
        policy.watch_ended(has_delivered, is_valid, in_element)
        assert policy.resume_version(5) is None
        policy.watch_ended(has_delivered=True, is_valid=True, in_element=False)
        assert policy.resume_version(5) is None
        policy.full_list_read(is_single_part=False)
        policy.watch_ended(has_delivered=True, is_valid=True, in_element=False)


def test_watch_does_not_resume_after_discovery_moved() -> None:
    policy = resume_policy_after_list(is_single_part=False)
    assert policy.resume_version(5) == 5
    policy.discovery_address_changed()
    assert policy.resume_version(5) is None
