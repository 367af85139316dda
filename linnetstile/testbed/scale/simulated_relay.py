"""A simulated relay: engine, endpoint directory and watch rules of the platform relay on a simulated clock, no sockets.

Relays affect each other only through the load on destinations, which the report adds up afterwards. Each relay is
therefore simulated alone, and a worker process simulates one relay at a time. The platform model determines how a
destination answers: it does not slow down or reject calls under load, and an overload in slow start is counted, but has
no effect.
"""

from __future__ import annotations

from collections.abc import Callable

from .platform_model import Lifetime, PlatformModel
from .relay_engine import gossip_size
from .relay_runtime import (
    CallEnds,
    DiscoverySilent,
    EngineTimerDue,
    MessageArrives,
    RelayRuntime,
    SimulatedEvent,
    WatchNotified,
    WatchOpens,
)
from .trace import RelayStart, RelayTrace, TurnKind
from .traffic_simulation import TrafficSimulation
from .watch_simulation import WatchSimulation
from .workload import WATCH_START_DELAY_MS

EVENTS_BETWEEN_CHECKS = 256
"""Number of events from one check of the time limit to the next."""


class SimulatedRelay:
    """One relay, simulated through all lifetimes that the platform model gives it."""

    def __init__(
        self, platform: PlatformModel, relay: int, resumes_by_version: bool, is_overdue: Callable[[], bool]
    ) -> None:
        """Create a relay.

        Args:
            platform: The simulated platform.
            relay: Number of the relay.
            resumes_by_version: Whether a reopened watch requests the changes since its version, not the full list.
            is_overdue: Returns whether the time limit of the run has passed; the simulation is then cut short.
        """
        self.runtime = RelayRuntime(platform, relay)
        self.traffic = TrafficSimulation(self.runtime)
        self.watch = WatchSimulation(self.runtime, resumes_by_version, self.traffic.engine_turn)
        self.is_overdue = is_overdue
        self.lifetime = Lifetime(0.0, 0.0)
        self.has_recovered = False

    def play(self) -> RelayTrace:
        """Simulate all lifetimes; return the trace of the relay."""
        runtime = self.runtime
        platform = runtime.platform
        for lifetime in platform.lifetimes[runtime.relay]:
            self._play_lifetime(lifetime)
            if runtime.trace.is_cut_short:
                break
        runtime.trace.endpoint_count = runtime.reader.endpoint_count
        runtime.trace.gossip = gossip_size(runtime.engine, platform.end_ms, platform.destinations_in_use)
        return runtime.trace

    def _play_lifetime(self, lifetime: Lifetime) -> None:
        runtime = self.runtime
        self._start_process(lifetime)
        played = 0
        while (due := runtime.queue.pop_before(lifetime.end_ms)) is not None:
            runtime.scenario = runtime.platform.scenario_at(due.at_ms)
            played += 1
            if played % EVENTS_BETWEEN_CHECKS == 0 and self.is_overdue():
                runtime.trace.is_cut_short = True
                return
            self._play_event(due.at_ms, due.event)

    def _start_process(self, lifetime: Lifetime) -> None:
        runtime = self.runtime
        runtime.queue.clear()
        runtime.scenario = runtime.platform.scenario_at(lifetime.begin_ms)
        self.lifetime = lifetime
        self.has_recovered = False
        if not lifetime.keeps_state:
            self.traffic.lose_state()
        runtime.start_process()
        self.watch.start_process()
        runtime.queue.add(lifetime.begin_ms + WATCH_START_DELAY_MS, WatchOpens(0))
        self.traffic.start_process(lifetime.begin_ms + WATCH_START_DELAY_MS)

    def _play_event(self, now_ms: float, event: SimulatedEvent) -> None:
        match event:
            case MessageArrives(destination):
                self.traffic.submit(now_ms, destination)
            case CallEnds():
                self.traffic.call_ended(now_ms, event)
            case EngineTimerDue():
                self.traffic.timer_due(now_ms, event)
            case WatchNotified(watch, change):
                if self.watch.receive(now_ms, watch, change) and not self.has_recovered:
                    self._recover(now_ms)
            case WatchOpens(failures):
                self.watch.open(now_ms, failures)
            case DiscoverySilent(watch):
                self.watch.discovery_silent(now_ms, watch)

    def _recover(self, now_ms: float) -> None:
        """Recover the messages of the journal, once the first list has been received."""
        self.has_recovered = True
        events = self.traffic.recover(now_ms, self.lifetime)
        self.runtime.trace.starts.append(RelayStart(self.lifetime.begin_ms, now_ms, len(events)))
        if events:
            self.traffic.engine_turn(now_ms, events, TurnKind.RECOVERY)
