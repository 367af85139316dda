"""The engine loop's turns: ages and remaining times of an event count from its posting, however late its turn runs."""

from __future__ import annotations

import asyncio

import pytest

from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import ClientCancelled, Event, Message, MessageRecovered
from linnetstile.net.engine_loop import EngineLoop

from ..conftest import make_settings

MESSAGE = Message(1, 1, 0, 500.0)


@pytest.mark.parametrize(
    ("posted", "handled"),
    [
        (MESSAGE, Message(1, 1, 0, 480.0)),
        (Message(1, 1, 0, 5.0), Message(1, 1, 0, 0.0)),
        (MessageRecovered(MESSAGE, 100.0, 1, 40.0), MessageRecovered(Message(1, 1, 0, 480.0), 120.0, 1, 60.0)),
        (MessageRecovered(MESSAGE, 100.0, 0, None), MessageRecovered(Message(1, 1, 0, 480.0), 120.0, 0, None)),
        (ClientCancelled(1), ClientCancelled(1)),
    ],
)
def test_late_turn_adjusts_ages_and_remaining_times(
    posted: Event, handled: Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, handled_events = [1000.0], []
    monkeypatch.setattr(EngineLoop, "now_ms", property(lambda engine_loop: clock[0]))

    async def scenario() -> None:
        engine_loop = EngineLoop(
            DeliveryEngine(make_settings(), 1),
            lambda events, actions: handled_events.extend(events),
            on_turn_failed=lambda plan: None,
        )
        engine_loop.post(posted)
        clock[0] += 20.0
        await asyncio.sleep(0)
        engine_loop.close()

    asyncio.run(scenario())
    assert handled_events == [handled]
