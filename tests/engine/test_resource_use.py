"""An idle engine sets no timers, and an engine keeps no state of endpoints that are gone."""

from __future__ import annotations

import pickle

from linnetstile.engine.events import EndpointList, ListKind

from ..conftest import EngineHarness, make_endpoint


def test_idle_relay_sets_no_timer() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_id = harness.submit()
    harness.advance(100)
    harness.end_attempt(message_id)
    harness.advance(20000, 500)
    before = len(harness.other_actions)
    harness.advance(20000, 500)
    assert len(harness.other_actions) == before


def test_state_does_not_grow_as_endpoints_are_replaced() -> None:
    harness = EngineHarness()
    sizes = []
    for generation in range(60):
        entries = tuple(make_endpoint(100 * generation + number, 50 * generation + number) for number in range(5))
        harness.handle(EndpointList(ListKind.FULL, entries))
        message_id = harness.submit(destination=50 * generation)
        harness.advance(50)
        harness.end_attempt(message_id)
        harness.advance(30000, 5000)
        sizes.append(len(pickle.dumps(harness.engine)))
    assert sizes[-1] < 1.5 * sizes[10]
