"""The module's turns: what counts from the moment of telling is right however late its turn comes."""

from __future__ import annotations

import asyncio

import pytest

from linnetstile.decisions import interface as api
from linnetstile.decisions.control import Relay
from linnetstile.net.turns import Turns

from ..conftest import make_settings

MESSAGE = api.Message(1, 1, 0, 500.0)


@pytest.mark.parametrize(
    ("told", "heard"),
    [
        (MESSAGE, api.Message(1, 1, 0, 480.0)),
        (api.Message(1, 1, 0, 5.0), api.Message(1, 1, 0, 0.0)),
        (api.Resumed(MESSAGE, 100.0, 1, 40.0), api.Resumed(api.Message(1, 1, 0, 480.0), 120.0, 1, 60.0)),
        (api.Resumed(MESSAGE, 100.0, 0, None), api.Resumed(api.Message(1, 1, 0, 480.0), 120.0, 0, None)),
        (api.Withdrawn(1), api.Withdrawn(1)),
    ],
)
def test_turn_that_comes_late_takes_the_time_off(
    told: api.Event, heard: api.Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, found = [1000.0], []
    monkeypatch.setattr(Turns, "now", property(lambda turns: clock[0]))

    async def story() -> None:
        turns = Turns(Relay(make_settings(), 1), lambda events, actions: found.extend(events))
        turns.tell(told)
        clock[0] += 20.0
        await asyncio.sleep(0)
        turns.close()

    asyncio.run(story())
    assert found == [heard]
