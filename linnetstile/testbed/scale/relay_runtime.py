"""What the parts of a simulated relay share: its clock, its queue of events, its engine and its trace."""

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
    """A call comes back, fails or times out."""

    send: Send
    began_ms: float
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class EngineTimerDue:
    """The timer that the engine has asked for; `serial` tells whether it has set another one since."""

    serial: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchOpens:
    """The relay opens a watch, after so many failures in a row."""

    failures: int


@dataclass(frozen=True, slots=True)
class WatchNotified:
    """A watch brings a change, or (None) what its opening asks for."""

    watch: int
    change: EndpointChange | None


@dataclass(frozen=True, slots=True)
class DiscoverySilent:
    """Discovery becomes unreachable for a watch."""

    watch: int


SimulatedEvent = MessageArrives | CallEnds | EngineTimerDue | WatchOpens | WatchNotified | DiscoverySilent


class RelayRuntime:
    """State of one simulated relay that outlives its processes, and the engine of the process that runs.

    Attributes:
        platform: The simulated platform.
        relay: Its number.
        region: Its region.
        rng: Source of all its random numbers.
        queue: Its events to come.
        trace: What it did.
        scenario: Number of the scenario of the current moment.
        reader: Reader of the watch, with the directory, of the current process.
        engine: Engine of the current process.
    """

    def __init__(self, platform: PlatformModel, relay: int) -> None:
        self.platform = platform
        self.relay = relay
        self.region = region_of(relay)
        # The label is part of the seed: another one would draw another run.
        self.rng = random.Random(f"{platform.options.seed}:hollow:{relay}")
        self.queue: EventQueue[SimulatedEvent] = EventQueue()
        self.trace = RelayTrace(relay, platform.fingerprint())
        self.scenario = -1
        self.reader = WatchReader()
        self.engine = create_engine(platform, relay, 0)

    def start_process(self) -> None:
        """Begin another process: a new directory and a new engine."""
        self.reader = WatchReader()
        self.engine = create_engine(self.platform, self.relay, self.rng.getrandbits(32))

    def count(self, name: str, number: int = 1) -> None:
        """Count something in the current scenario."""
        if number:
            self.trace.counts[ScenarioCount(self.scenario, name)] += number
