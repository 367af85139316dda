"""A simulated relay that a relay process is compared with: the same list and changes, the same messages."""

from __future__ import annotations

from ...engine.actions import Action, Fail, Reject, Send, SetTimer
from ...engine.events import AttemptEnded, Message, Outcome, TimerFired
from .relay_engine import create_engine
from .watch_reader import WatchReader
from .world_model import World

MESSAGE_DEADLINE_MS = 1500.0
"""Deadline of a message that looks for the endpoint in force; the relay process gets the same."""
ANSWER_MS = 1.0
NO_ENDPOINT = "none"
"""Where a message goes that is rejected or fails."""


class ReferenceModel:
    """Directory and engine with the settings and seed of a relay process, on a simulated clock."""

    def __init__(self, world: World, relay: int, seed: int) -> None:
        self.reader = WatchReader()
        self.engine = create_engine(world, relay, seed)
        self.last_message = 0

    def read(self, line: bytes, now_ms: float) -> bool:
        """Read a line of discovery; False if it is refused."""
        try:
            events = self.reader.read(line)
        except ValueError:
            return False
        for event in events:
            self.engine.handle(now_ms, [event])
        return bool(events)

    def find_endpoint(self, destination: int, now_ms: float) -> tuple[str, float]:
        """Submit a message; returns the port where it goes, or `NO_ENDPOINT`, and after how many simulated ms."""
        if not self.reader.is_listed(destination):
            return NO_ENDPOINT, 0.0
        self.last_message += 1
        began_ms = now_ms
        actions = self.engine.handle(now_ms, [Message(self.last_message, destination, 0, MESSAGE_DEADLINE_MS)])
        while now_ms < began_ms + 2 * MESSAGE_DEADLINE_MS:
            for action in actions:
                if (port := self._endpoint_of(action, now_ms)) is not None:
                    return port, now_ms - began_ms
            delays_ms = [action.delay_ms for action in actions if isinstance(action, SetTimer)]
            now_ms += delays_ms[-1] if delays_ms else MESSAGE_DEADLINE_MS
            actions = self.engine.handle(now_ms, [TimerFired(0)])
        return NO_ENDPOINT, now_ms - began_ms

    def _endpoint_of(self, action: Action, now_ms: float) -> str | None:
        """Where an action ends the last message; None if it does not. A call is answered at once."""
        match action:
            case Send(message_id, endpoint) if message_id == self.last_message:
                port = str(self.reader.endpoint_port(endpoint))
                ended = AttemptEnded(message_id, 0, endpoint, Outcome.OK, ANSWER_MS, True)
                self.engine.handle(now_ms + ANSWER_MS, [ended])
                return port
            case Reject(message_id) | Fail(message_id) if message_id == self.last_message:
                return NO_ENDPOINT
        return None
