"""Graceful shutdown: its phases, and which attempts are no longer started shortly before the exit."""

from __future__ import annotations

from linnetstile.engine.events import ShutdownStarted
from linnetstile.engine.graceful_shutdown import (
    EXIT_MS,
    STOP_ACCEPTING_MS,
    STOP_ADMITTING_MS,
    UNREAD_GRACE_MS,
    shutdown_phase,
)

from ..conftest import IDEMPOTENT, NON_IDEMPOTENT, EngineHarness


def test_relay_admits_until_shortly_before_its_exit() -> None:
    assert shutdown_phase(0).admits
    assert shutdown_phase(EXIT_MS - STOP_ADMITTING_MS - 1).admits
    assert not shutdown_phase(EXIT_MS - STOP_ADMITTING_MS).admits


def test_relay_accepts_connections_until_shortly_before_its_exit() -> None:
    assert shutdown_phase(EXIT_MS - STOP_ACCEPTING_MS - 1).accepts
    assert not shutdown_phase(EXIT_MS - STOP_ACCEPTING_MS).accepts


def test_exit_is_postponed_while_received_bytes_are_unread() -> None:
    assert not shutdown_phase(EXIT_MS - 1).exits
    assert shutdown_phase(EXIT_MS).exits
    assert not shutdown_phase(EXIT_MS + UNREAD_GRACE_MS - 1, has_unread_input=True).exits
    assert shutdown_phase(EXIT_MS + UNREAD_GRACE_MS, has_unread_input=True).exits


def test_non_idempotent_message_that_would_be_in_flight_at_the_exit_waits_for_the_next_process() -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1), advertised_rate=1000.0)
    harness.warm_up()
    harness.handle(ShutdownStarted(1000.0))
    early = harness.submit(NON_IDEMPOTENT)
    harness.end_attempt(early)
    harness.advance(950)
    late, idempotent = harness.submit(NON_IDEMPOTENT), harness.submit(IDEMPOTENT)
    assert early in harness.attempts
    assert idempotent in harness.attempts
    assert late not in harness.attempts
    assert late not in harness.final_answers
