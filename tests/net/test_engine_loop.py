"""The module's turns: what counts from the moment of telling is right however late its turn comes."""

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
def test_turn_that_comes_late_takes_the_time_off(
    posted: Event, handled: Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, found = [1000.0], []
    monkeypatch.setattr(EngineLoop, "now_ms", property(lambda turns: clock[0]))

    async def story() -> None:
        turns = EngineLoop(DeliveryEngine(make_settings(), 1), lambda events, actions: found.extend(events))
        turns.post(posted)
        clock[0] += 20.0
        await asyncio.sleep(0)
        turns.close()

    asyncio.run(story())
    assert found == [handled]
