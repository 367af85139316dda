"""Reference model of a relay process; the comparison gives both the same input and compares their results."""

from __future__ import annotations

from dataclasses import dataclass

from ...engine.actions import Action, Fail, Reject, Send, SetTimer
from ...engine.events import AttemptEnded, Message, Outcome, TimerFired
from .platform_model import PlatformModel
from .relay_engine import create_engine
from .watch_reader import WatchReader

MESSAGE_DEADLINE_MS = 1500.0
"""Deadline of the messages that show to which endpoint a relay delivers; the same for model and relay process."""
ANSWER_MS = 1.0
NO_ENDPOINT = "none"
"""Result in place of an endpoint for a message that is rejected or fails."""


@dataclass(frozen=True, slots=True)
class Delivery:
    """Result of a message in the model, or of the last of several messages to a relay process.

    Attributes:
        endpoint: Port of the endpoint to which the message was delivered, or a text for a message without one.
        after_ms: In the model, time from the submission until the message is sent or ends, or the model stops waiting;
            0 if its destination is not listed. For a relay process, time from just before the first message until the
            result of the last one.
    """

    endpoint: str
    after_ms: float


class ReferenceModel:
    """Endpoint directory and engine with the settings and seed of a relay process, on a simulated clock."""

    def __init__(self, platform: PlatformModel, relay: int, seed: int) -> None:
        self.reader = WatchReader()
        self.engine = create_engine(platform, relay, seed)
        self.last_message = 0

    def read(self, line: bytes, now_ms: float) -> bool:
        """Read a line of discovery and pass its events to the engine; return False if the line is refused."""
        try:
            events = self.reader.read(line)
        except ValueError:
            return False
        for event in events:
            self.engine.handle(now_ms, [event])
        return bool(events)

    def find_endpoint(self, destination: int, now_ms: float) -> Delivery:
        """Submit a message and return its delivery, with the port of the endpoint or `NO_ENDPOINT`."""
        if not self.reader.is_listed(destination):
            return Delivery(NO_ENDPOINT, 0.0)
        self.last_message += 1
        submitted_ms = now_ms
        actions = self.engine.handle(now_ms, [Message(self.last_message, destination, 0, MESSAGE_DEADLINE_MS)])
        while now_ms < submitted_ms + 2 * MESSAGE_DEADLINE_MS:
            for action in actions:
                if (port := self._endpoint_of(action, now_ms)) is not None:
                    return Delivery(port, now_ms - submitted_ms)
            delays_ms = [action.delay_ms for action in actions if isinstance(action, SetTimer)]
            now_ms += delays_ms[-1] if delays_ms else MESSAGE_DEADLINE_MS
            actions = self.engine.handle(now_ms, [TimerFired(0)])
        return Delivery(NO_ENDPOINT, now_ms - submitted_ms)

    def _endpoint_of(self, action: Action, now_ms: float) -> str | None:
        """Return the port to which an action delivers the last message, or `NO_ENDPOINT` if the action ends it.

        None means that the action does not end the message. A call is answered after `ANSWER_MS`.
        """
        match action:
            case Send(message_id, endpoint) if message_id == self.last_message:
                port = str(self.reader.endpoint_port(endpoint))
                ended = AttemptEnded(message_id, 0, endpoint, Outcome.OK, ANSWER_MS, True)
                self.engine.handle(now_ms + ANSWER_MS, [ended])
                return port
            case Reject(message_id) | Fail(message_id) if message_id == self.last_message:
                return NO_ENDPOINT
        return None
