"""Two things in one moment: each pair in the order that is the worse one, made to happen each time."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from .test_relay import ids, idle, play
from .world import OK, World, ask, hand_in, read, until


@pytest.mark.parametrize(("class_", "result"), [("pay", "dead"), ("order", "dead"), ("state", "bounced")])
def test_answer_that_crosses_the_end_of_its_time_leaves_no_message_without_an_end(
        tmp_path: Path, class_: str, result: str) -> None:
    """The endpoint says 200 as the message's time is up, and the relay is busy until then: the platform may have
    counted it or not."""
    async def story(world: World) -> None:
        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            _, fields, _ = await read(reader)
            world.calls.append((2, fields, b""))
            time.sleep(0.45)  # the loop is busy: relay and endpoint are one process here
            writer.write(OK)

        await world.endpoint(2, serve=late)
        node = await world.node()
        assert await ask(node, hand_in("m", class_, dest=2, left="400m")) == 202
        await until(lambda: idle(node))
        assert world.notices == [{"ref": "m", "result": result}] and ids(world) == ["m"]

    play(tmp_path, story)


def test_call_is_given_up_before_the_message_has_no_time_left(tmp_path: Path) -> None:
    async def story(world: World) -> None:
        node = await world.node()
        world.script[1] = [None]
        began = time.monotonic()
        assert await ask(node, hand_in("m", "pay", left="400m")) == 202
        await until(lambda: world.notices)
        assert time.monotonic() - began < 0.4 and world.notices == [{"ref": "m", "result": "dead"}]

    play(tmp_path, story)
