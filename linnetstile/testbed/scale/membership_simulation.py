"""Simulates the membership protocol of the AS2 relay for all relays of the fleet, in one process.

Platform relays do not run this protocol, although the network would allow UDP and TCP between them; AS2 relays do. The
simulation shows which failures the protocol would notice in the platform's fleet. A poll takes one round trip; a poll
of an unreachable relay fails after `POLL_TIMEOUT_S`.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ...as2_relay.gossip_document import DOCUMENT_FORMAT
from ...as2_relay.gossip_polling import POLL_TIMEOUT_S
from ...engine.membership import Membership, PeerStatus
from .event_queue import EventQueue
from .platform_model import Lifetime, PlatformModel, Scenario
from .report_schema import MembershipJson, ScenarioMembershipJson
from .workload import TARGET_RELAYS, WATCH_START_DELAY_MS

ROUND_TRIP_MS = 30.0, 60.0
REQUEST_BYTES = 180
"""Size of a poll request, including its HTTP head, as the AS2 relay writes it; the head of an answer is as large."""
OBSERVERS = 64
"""Largest number of relays for which the failures that they notice are recorded."""
IDLE_CHECK_MS = 1000.0
"""Minimum time until a relay that found no peer to poll looks for one again."""
MAX_PEERS_SENT = 32
EVENTS_BETWEEN_CHECKS = 512
"""Number of events from one check of the time limit to the next."""


@dataclass(frozen=True, slots=True)
class RelayStarts:
    """A process of a relay starts."""

    relay: int
    lifetime: Lifetime


@dataclass(frozen=True, slots=True)
class PollDue:
    """A process of a relay is due to poll a peer.

    Attributes:
        relay: Number of the relay.
        incarnation: Number of the process among the relay's processes; the event is ignored in a later one.
        end_ms: End of the process.
    """

    relay: int
    incarnation: int
    end_ms: float


@dataclass(frozen=True, slots=True)
class PollEnds:
    """A poll ends with an answer or a timeout."""

    poll: PollDue
    peer: int
    answered: bool


MembershipEvent = RelayStarts | PollDue | PollEnds


@dataclass(frozen=True, slots=True)
class ScenarioMembership:
    """The failures that the observers noticed in one scenario, and the cost of the polls.

    Attributes:
        scenario: Name of the scenario.
        pairs: Number of pairs of an observer that does not fail and a relay that fails.
        noticed_after_ms: Times from the failure until it was noticed, one for each pair that noticed it; ascending.
        polls: Number of polls of the whole fleet.
        bytes: Size of the answered polls: their requests and answers.
    """

    scenario: str
    pairs: int
    noticed_after_ms: list[float]
    polls: int
    bytes: int

    def to_json(self) -> ScenarioMembershipJson:
        """Return the row for the report."""
        return {
            "scene": self.scenario,
            "pairs": self.pairs,
            "noticed": len(self.noticed_after_ms),
            "after_ms": self.noticed_after_ms,
            "asks": self.polls,
            "bytes": self.bytes,
        }


@dataclass(frozen=True, slots=True)
class MembershipResult:
    """The result of the membership simulation for the whole fleet.

    Attributes:
        scenarios: One result per scenario, in the order of the scenarios.
        polls: Number of polls of the whole fleet in the run.
        polls_in_largest_second: Largest number of polls in one second.
        empty_document_bytes: Size of an answer without claims.
        cut_at_ms: Simulated time at which the time limit cut the simulation short; None = it ran to the end.
    """

    scenarios: list[ScenarioMembership]
    polls: int
    polls_in_largest_second: int
    empty_document_bytes: int
    cut_at_ms: float | None

    def to_json(self) -> MembershipJson:
        """Return the section for the report, without the rows of the scenarios."""
        return {
            "asks": self.polls,
            "largest_second": self.polls_in_largest_second,
            "bare_bytes": self.empty_document_bytes,
            "cut_at_ms": self.cut_at_ms,
        }


@dataclass(frozen=True, slots=True)
class NoticedFailure:
    """A failure that an observer has noticed: numbers of the scenario, the observer and the failed relay."""

    scenario: int
    observer: int
    failed_relay: int


@dataclass(slots=True)
class PollCounts:
    """Polls by scenario and by second, and bytes of the answered polls by scenario."""

    by_scenario: Counter[int] = field(default_factory=Counter)
    by_second: Counter[int] = field(default_factory=Counter)
    bytes_by_scenario: Counter[int] = field(default_factory=Counter)


def relay_address(relay: int) -> str:
    """Return the address of a relay by its number."""
    return f"10.0.{relay >> 8}.{relay & 255}:4080"


def empty_document_bytes(peers: list[str]) -> int:
    """Return the size of a gossip document without claims."""
    document = {
        "format": DOCUMENT_FORMAT,
        "relay": "relay-000",
        "run": "0" * 16,
        "version": 1,
        "since": 0,
        "relays": TARGET_RELAYS,
        "peers": peers,
        "few_connections": {},
        "claims": [],
    }
    return len(json.dumps(document))


class MembershipSimulation:
    """The memberships of all relays on one simulated clock."""

    def __init__(self, platform: PlatformModel, is_overdue: Callable[[], bool]) -> None:
        """Prepare the simulation; it is cut short once `is_overdue` returns True."""
        self.platform = platform
        self.is_overdue = is_overdue
        self.rng = random.Random(f"{platform.options.seed}:members")
        relays = range(platform.options.relays)
        self.addresses = [relay_address(relay) for relay in relays]
        self.numbers = {name: relay for relay, name in enumerate(self.addresses)}
        self.members: dict[int, Membership] = {}
        self.incarnations: dict[int, int] = {}
        self.counts = PollCounts()
        self.observers = self.rng.sample(relays, min(OBSERVERS, len(relays)))
        self.noticed_after_ms: dict[NoticedFailure, float] = {}
        self.queue: EventQueue[MembershipEvent] = EventQueue()

    def play(self) -> MembershipResult:
        """Simulate all scenarios and return the result."""
        for relay in range(self.platform.options.relays):
            for lifetime in self.platform.lifetimes[relay]:
                self.queue.add(lifetime.begin_ms + WATCH_START_DELAY_MS, RelayStarts(relay, lifetime))
        return self._result(cut_at_ms=self._run())

    def _run(self) -> float | None:
        """Process all events; return the simulated time at which the time limit cut them short, or None."""
        while (due := self.queue.pop_before(self.platform.end_ms)) is not None:
            now_ms = due.at_ms
            event = due.event
            if due.serial % EVENTS_BETWEEN_CHECKS == 0 and self.is_overdue():
                return now_ms
            match event:
                case RelayStarts(relay, lifetime):
                    self._start(now_ms, relay, lifetime)
                case PollDue():
                    if self._is_running(now_ms, event):
                        self._poll(now_ms, event)
                case PollEnds(poll):
                    if self._is_running(now_ms, poll):
                        self._end_poll(now_ms, event)
        return None

    def _is_running(self, now_ms: float, poll: PollDue) -> bool:
        return poll.incarnation == self.incarnations[poll.relay] and now_ms < poll.end_ms

    def _start(self, now_ms: float, relay: int, lifetime: Lifetime) -> None:
        seed = self.rng.getrandbits(32)
        self.members[relay] = Membership(self.addresses[relay], self.addresses, now_ms, seed)
        self.incarnations[relay] = self.incarnations.get(relay, 0) + 1
        self.queue.add(now_ms, PollDue(relay, self.incarnations[relay], lifetime.end_ms))

    def _poll(self, now_ms: float, poll: PollDue) -> None:
        member = self.members[poll.relay]
        address = member.next_peer(now_ms)
        if address is None:
            self.queue.add(max(member.next_poll_at, now_ms + IDLE_CHECK_MS), poll)
            return
        self.counts.by_scenario[self.platform.scenario_at(now_ms)] += 1
        self.counts.by_second[int(now_ms // 1000)] += 1
        peer = self.numbers[address]
        if peer in self.members and self.platform.can_reach_relay(poll.relay, peer, now_ms):
            self.queue.add(now_ms + self.rng.uniform(*ROUND_TRIP_MS), PollEnds(poll, peer, answered=True))
        else:
            self.queue.add(now_ms + 1000 * POLL_TIMEOUT_S, PollEnds(poll, peer, answered=False))

    def _end_poll(self, now_ms: float, event: PollEnds) -> None:
        member = self.members[event.poll.relay]
        peer = event.peer
        if event.answered:
            alive = self.members[peer].alive_peers()[:MAX_PEERS_SENT]
            scenario = self.platform.scenario_at(now_ms)
            self.counts.bytes_by_scenario[scenario] += 2 * REQUEST_BYTES + empty_document_bytes(alive)
            member.poll_answered(now_ms, self.addresses[peer], str(self.incarnations[peer]), alive)
        else:
            member.poll_failed(now_ms, self.addresses[peer])
            self._record_noticed(now_ms, event.poll.relay, peer)
        self.queue.add(member.next_poll_at, event.poll)

    def _record_noticed(self, now_ms: float, observer: int, peer: int) -> None:
        number = self.platform.scenario_at(now_ms)
        if number < 0 or observer not in self.observers:
            return
        scenario = self.platform.scenarios[number]
        if peer in scenario.failed_relays and now_ms >= scenario.failed_at_ms:
            failure = NoticedFailure(number, observer, peer)
            self.noticed_after_ms.setdefault(failure, now_ms - scenario.failed_at_ms)

    def _result(self, cut_at_ms: float | None) -> MembershipResult:
        return MembershipResult(
            scenarios=[self._scenario_result(n, scenario) for n, scenario in enumerate(self.platform.scenarios)],
            polls=self.counts.by_scenario.total(),
            polls_in_largest_second=max(self.counts.by_second.values(), default=0),
            empty_document_bytes=empty_document_bytes(self.addresses[:MAX_PEERS_SENT]),
            cut_at_ms=cut_at_ms,
        )

    def _scenario_result(self, number: int, scenario: Scenario) -> ScenarioMembership:
        surviving = [relay for relay in self.observers if relay not in scenario.failed_relays]
        noticed = sorted(ms for failure, ms in self.noticed_after_ms.items() if failure.scenario == number)
        return ScenarioMembership(
            scenario=scenario.name,
            pairs=len(surviving) * len(scenario.failed_relays),
            noticed_after_ms=[round(ms, 1) for ms in noticed],
            polls=self.counts.by_scenario[number],
            bytes=self.counts.bytes_by_scenario[number],
        )

    def check_invariants(self) -> None:
        """Assert that the status of each peer of each relay is a `PeerStatus`."""
        statuses = {peer.status for member in self.members.values() for peer in member.peers.values()}
        assert statuses <= set(PeerStatus)


def play(platform: PlatformModel, is_overdue: Callable[[], bool]) -> MembershipResult:
    """Simulate the membership of all relays; cut short once `is_overdue` returns True."""
    simulation = MembershipSimulation(platform, is_overdue)
    result = simulation.play()
    simulation.check_invariants()
    return result
