"""State that the parts of a simulated relay share (event queue, engine, trace), and the events of the simulation."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ...engine.actions import Send
from ...engine.events import Outcome
from .discovery_model import EndpointChange
from .event_queue import EventQueue
from .platform_model import PlatformModel
from .relay_engine import create_engine
from .trace import RelayTrace, ScenarioCount
from .watch_reader import WatchReader
from .workload import region_of


@dataclass(frozen=True, slots=True)
class MessageArrives:
    """A client submits a message for a destination."""

    destination: int


@dataclass(frozen=True, slots=True)
class CallEnds:
    """A call ends with an answer, a failure or a timeout."""

    send: Send
    began_ms: float
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class EngineTimerDue:
    """The timer that the engine has set is due.

    Attributes:
        serial: Serial number of the timer; the event is ignored if the engine has set another timer since.
        token: Token that the engine gave the timer.
    """

    serial: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchOpens:
    """The relay opens a watch.

    Attributes:
        failures: Number of failures in a row before this attempt.
    """

    failures: int


@dataclass(frozen=True, slots=True)
class WatchNotified:
    """A watch delivers data.

    Attributes:
        watch: Number of the watch.
        change: The change that is delivered; None = the first answer of the watch.
    """

    watch: int
    change: EndpointChange | None


@dataclass(frozen=True, slots=True)
class DiscoverySilent:
    """Discovery becomes unreachable for a watch."""

    watch: int


SimulatedEvent = MessageArrives | CallEnds | EngineTimerDue | WatchOpens | WatchNotified | DiscoverySilent


class RelayRuntime:
    """State of one simulated relay that outlives its processes, and the reader and engine of the current process.

    Attributes:
        platform: The simulated platform.
        relay: Number of the relay.
        region: Region of the relay.
        rng: Source of all random numbers of the relay.
        queue: Events that are still to be processed.
        trace: Record of what the relay did.
        scenario: Number of the current scenario; -1 before the first.
        reader: Watch reader of the current process, with its endpoint directory.
        engine: Engine of the current process.
    """

    def __init__(self, platform: PlatformModel, relay: int) -> None:
        self.platform = platform
        self.relay = relay
        self.region = region_of(relay)
        # The label "hollow" is part of the seed: a different label would draw different random numbers.
        self.rng = random.Random(f"{platform.options.seed}:hollow:{relay}")
        self.queue: EventQueue[SimulatedEvent] = EventQueue()
        self.trace = RelayTrace(relay, platform.fingerprint())
        self.scenario = -1
        self.reader = WatchReader()
        self.engine = create_engine(platform, relay, 0)

    def start_process(self) -> None:
        """Start a new process of the relay, with an empty directory and a new engine."""
        self.reader = WatchReader()
        self.engine = create_engine(self.platform, self.relay, self.rng.getrandbits(32))

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter of the current scenario."""
        if number:
            self.trace.counts[ScenarioCount(self.scenario, name)] += number
