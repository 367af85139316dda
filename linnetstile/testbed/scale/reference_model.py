"""A simulated relay that a relay process is compared with: the same list and changes, the same messages."""

from __future__ import annotations

from dataclasses import dataclass

from ...engine.actions import Action, Fail, Reject, Send, SetTimer
from ...engine.events import AttemptEnded, Message, Outcome, TimerFired
from .platform_model import PlatformModel
from .relay_engine import create_engine
from .watch_reader import WatchReader

MESSAGE_DEADLINE_MS = 1500.0
"""Deadline of a message that looks for the endpoint in force; the relay process gets the same."""
ANSWER_MS = 1.0
NO_ENDPOINT = "none"
"""Stands for the endpoint of a message that is rejected or fails."""


@dataclass(frozen=True, slots=True)
class Delivery:
    """Where a message was delivered to, and how long after its submission, in ms."""

    endpoint: str
    after_ms: float


class ReferenceModel:
    """Directory and engine with the settings and seed of a relay process, on a simulated clock."""

    def __init__(self, platform: PlatformModel, relay: int, seed: int) -> None:
        self.reader = WatchReader()
        self.engine = create_engine(platform, relay, seed)
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

    def find_endpoint(self, destination: int, now_ms: float) -> Delivery:
        """Submit a message; return the port that it is delivered to, or `NO_ENDPOINT`."""
        if not self.reader.is_listed(destination):
            return Delivery(NO_ENDPOINT, 0.0)
        self.last_message += 1
        began_ms = now_ms
        actions = self.engine.handle(now_ms, [Message(self.last_message, destination, 0, MESSAGE_DEADLINE_MS)])
        while now_ms < began_ms + 2 * MESSAGE_DEADLINE_MS:
            for action in actions:
                if (port := self._endpoint_of(action, now_ms)) is not None:
                    return Delivery(port, now_ms - began_ms)
            delays_ms = [action.delay_ms for action in actions if isinstance(action, SetTimer)]
            now_ms += delays_ms[-1] if delays_ms else MESSAGE_DEADLINE_MS
            actions = self.engine.handle(now_ms, [TimerFired(0)])
        return Delivery(NO_ENDPOINT, now_ms - began_ms)

    def _endpoint_of(self, action: Action, now_ms: float) -> str | None:
        """Return the endpoint at which an action ends the last message, or None; a call is answered at once."""
        match action:
            case Send(message_id, endpoint) if message_id == self.last_message:
                port = str(self.reader.endpoint_port(endpoint))
                ended = AttemptEnded(message_id, 0, endpoint, Outcome.OK, ANSWER_MS, True)
                self.engine.handle(now_ms + ANSWER_MS, [ended])
                return port
            case Reject(message_id) | Fail(message_id) if message_id == self.last_message:
                return NO_ENDPOINT
        return None
