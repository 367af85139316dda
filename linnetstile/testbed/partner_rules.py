"""The rules about partners: drained endpoints, returns from an outage, Retry-After."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from ..emulators.faults import FaultKind
from ..emulators.partner_limits import MAX_CALLS_BEYOND_BUDGET
from .attempts import TRANSIT_MS, AttemptRecord
from .recorded_traffic import RecordedTraffic
from .slow_start_budget import slow_start_call_budget
from .verdict import Verdict

# An overload breaks the rule if AWARE_NUMERATOR / AWARE_DENOMINATOR or more of its calls came from relays that knew of
# the outage.
AWARE_NUMERATOR = 2
AWARE_DENOMINATOR = 3


# -- drains --------------------------------------------------------------------------------------------------


class _EndpointAtProcess(NamedTuple):
    """Key of the status updates that a relay process got about an endpoint."""

    process: str
    endpoint: int


@dataclass(frozen=True, slots=True)
class _StatusUpdate:
    """A status of an endpoint that the registry sent to a relay process."""

    at_ms: float
    is_ready: bool


class DrainRule:
    """No new attempt goes to a draining or removed endpoint after its grace period."""

    def __init__(self, traffic: RecordedTraffic) -> None:
        self._traffic = traffic
        self._verdict = Verdict("drains", "no new attempt at a draining or removed endpoint after its grace period")
        self._grace_ms = traffic.facts.safety.drain_grace_ms + TRANSIT_MS
        self._updates = self._collect_updates()

    def _collect_updates(self) -> dict[_EndpointAtProcess, list[_StatusUpdate]]:
        """Return the status updates about each endpoint that each relay process got, in chronological order."""
        updates: dict[_EndpointAtProcess, list[_StatusUpdate]] = defaultdict(list)
        known_endpoints: dict[str, set[int]] = defaultdict(set)
        for sent in self._traffic.lists:
            process = self._traffic.process_of(sent)
            statuses = {int(endpoint): status for endpoint, status in sent.statuses.items()}
            if sent.is_full:
                statuses |= dict.fromkeys(known_endpoints[process] - statuses.keys(), "gone")
            known_endpoints[process] |= statuses.keys()
            for endpoint, status in statuses.items():
                update = _StatusUpdate(sent.at_ms, is_ready=status == "ready")
                updates[_EndpointAtProcess(process, endpoint)].append(update)
        return updates

    def check(self) -> Verdict:
        """Check each attempt."""
        for message, attempts in self._traffic.attempts.items():
            for attempt in attempts:
                self._verdict.checked_count += 1
                violated = self._violated_update(message.process, attempt)
                if violated is not None:
                    late_ms = attempt.start_ms - violated.at_ms
                    self._verdict.add_breach(
                        f"{message.message_id}: {message.process} called endpoint {attempt.endpoint} "
                        f"{late_ms:.0f} ms after the registry reported it as not ready"
                    )
        return self._verdict

    def _violated_update(self, process: str, attempt: AttemptRecord) -> _StatusUpdate | None:
        """Return the status update that forbids an attempt; None if the attempt is allowed."""
        updates = self._updates.get(_EndpointAtProcess(process, attempt.endpoint), [])
        times = [update.at_ms for update in updates]
        latest = bisect.bisect_right(times, attempt.start_ms - self._grace_ms) - 1
        if latest < 0 or updates[latest].is_ready:
            return None
        later_updates = [update for update in updates[latest + 1 :] if update.at_ms <= attempt.start_ms]
        return None if any(update.is_ready for update in later_updates) else updates[latest]


# -- returns -------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class _Outage:
    partner: str
    kind: str
    start_ms: float
    end_ms: float


class ReturnRule:
    """Relays that knew of a partner's outage do not overload the partner when it returns."""

    def __init__(self, traffic: RecordedTraffic) -> None:
        self._traffic = traffic
        self._verdict = Verdict("returns", "relays that knew of an outage do not overload the returning partner")

    def check(self) -> Verdict:
        """Check each return."""
        calls: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempts in self._traffic.attempts.values():
            for attempt in attempts:
                calls[attempt.partner].append(attempt)
        for outage in self._outages():
            self._verdict.checked_count += 1
            self._check_return(outage, sorted(calls[outage.partner], key=lambda call: call.start_ms))
        return self._verdict

    def _outages(self) -> list[_Outage]:
        outages = []
        start_ms: dict[str, float] = {}
        for event in self._traffic.outages:
            if event.is_on:
                start_ms[event.partner] = event.at_ms
            else:
                began_ms = start_ms.get(event.partner, event.at_ms)
                outages.append(_Outage(event.partner, event.kind, began_ms, event.at_ms))
        return outages

    def _check_return(self, outage: _Outage, calls: list[AttemptRecord]) -> None:
        """Check the overload window that ends with each call of the slow start; stop at the first breach."""
        rate_per_s = self._traffic.facts.partner(outage.partner).rate_per_s
        if not rate_per_s:
            return
        safety = self._traffic.facts.safety
        aware = self._aware_processes(outage, calls)
        slow_start_end_ms = outage.end_ms + safety.slow_start_ms
        slow_start = [call for call in calls if outage.end_ms < call.start_ms <= slow_start_end_ms]
        for position, last in enumerate(slow_start):
            window_start_ms = last.start_ms - safety.overload_window_ms
            window = [call for call in slow_start[: position + 1] if call.start_ms > window_start_ms]
            allowed = MAX_CALLS_BEYOND_BUDGET + self._budget(rate_per_s, last.start_ms - outage.end_ms)
            aware_calls = sum(call.process in aware for call in window)
            if len(window) > allowed and aware_calls >= len(window) * AWARE_NUMERATOR / AWARE_DENOMINATOR:
                self._verdict.add_breach(
                    f"{outage.partner}: {len(window)} calls in {safety.overload_window_ms:.0f} ms, "
                    f"{last.start_ms - outage.end_ms:.0f} ms after its return; {allowed:.1f} were allowed"
                )
                return

    def _budget(self, rate_per_s: float, since_return_ms: float) -> float:
        safety = self._traffic.facts.safety
        return slow_start_call_budget(
            rate_per_s,
            since_return_ms,
            safety.slow_start_fraction,
            safety.slow_start_ms,
            safety.overload_multiple,
            safety.overload_window_ms,
        )

    @staticmethod
    def _aware_processes(outage: _Outage, calls: list[AttemptRecord]) -> set[str]:
        """Return the relay processes that knew of the outage, because they called the partner during it."""
        if outage.kind == FaultKind.CRASH:  # refused connections are not recorded, so every relay counts as aware
            return {call.process for call in calls}
        return {call.process for call in calls if outage.start_ms <= call.start_ms < outage.end_ms}


# -- Retry-After ---------------------------------------------------------------------------------------------


class _RouteAtProcess(NamedTuple):
    """Key of the Retry-After answers that a relay process got on a route: a partner, or one of its endpoints."""

    process: str
    route: str


@dataclass(frozen=True, slots=True)
class _RetryAfter:
    """A Retry-After that a partner sent."""

    at_ms: float
    wait_ms: float

    def forbids(self, at_ms: float) -> bool:
        return self.at_ms + TRANSIT_MS < at_ms < self.at_ms + self.wait_ms


class RetryAfterRule:
    """No attempt goes to a partner, or to one of its endpoints, before the Retry-After that it sent has passed."""

    def __init__(self, traffic: RecordedTraffic) -> None:
        self._traffic = traffic
        self._verdict = Verdict("waits", "no attempt before a Retry-After has passed")
        self._waits: dict[_RouteAtProcess, list[_RetryAfter]] = defaultdict(list)
        for answer in traffic.call_answers:
            if answer.retry_after_ms:
                route = self._route(answer.partner, answer.endpoint)
                wait = _RetryAfter(answer.at_ms, answer.retry_after_ms)
                self._waits[_RouteAtProcess(traffic.process_of(answer), route)].append(wait)

    def _route(self, partner: str, endpoint: int) -> str:
        """Return the route that a Retry-After applies to: the partner, or the endpoint if each has its own limits."""
        return f"{partner}/{endpoint}" if self._traffic.facts.partner(partner).separate_routes else partner

    def check(self) -> Verdict:
        """Check each attempt."""
        for message, attempts in self._traffic.attempts.items():
            for attempt in attempts:
                self._verdict.checked_count += 1
                self._check_attempt(message.message_id, message.process, attempt)
        return self._verdict

    def _check_attempt(self, message_id: str, process: str, attempt: AttemptRecord) -> None:
        route = self._route(attempt.partner, attempt.endpoint)
        waits = self._waits.get(_RouteAtProcess(process, route), [])
        violated = next((wait for wait in waits if wait.forbids(attempt.start_ms)), None)
        if violated is not None:
            early_ms = violated.at_ms + violated.wait_ms - attempt.start_ms
            self._verdict.add_breach(
                f"{message_id}: {process} called {attempt.partner} {early_ms:.0f} ms before "
                f"the end of a Retry-After of {violated.wait_ms:.0f} ms"
            )
