"""Rate limits of destinations: tokens, learned and advertised rates, throttling after rejections, load reports.

The limit of a destination holds for all relays together, and is usually not advertised. A relay begins with an equal
share of the advertised rate. Without an advertised rate, it begins with a low rate, below which calls are not delayed
(`UNPACED_RATE`). A rejection throttles the route; each success of a route that has no whole token left raises its rate
again. An ejected route, and one in slow start, get this relay's share of the slow-start budget.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from .endpoint_index import EndpointIndex
from .route_state import EVIDENCE_TTL_MS, DecayingCounter, HealthState, RateState, RouteState
from .settings import RateTrust, Settings
from .slow_start import budget_share, count_aware_relays, initial_budget
from .time_points import MS_PER_SECOND

MIN_THROTTLE_MS = 4000.0  # throttling after a first rejection, about as long as a burst; doubles with each further one
MAX_THROTTLE_MS = 16000.0  # longest throttling after repeated rejections
# Range of the random factor on a throttling time, so that relays which were rejected together do not resume together.
THROTTLE_JITTER = (0.5, 1.5)
# Range of the random cap on the tokens after a rejection, so that rejected relays do not send their next call in step.
TOKENS_AFTER_REJECTION = (-0.5, 0.5)
BURST_S = 2.0  # capacity of the token bucket, in seconds of calls at the allowed rate
MIN_BURST = 3.0  # least capacity of the token bucket, in calls; less where load reports lower the unpaced rate
SINGLE_CALL = 1.0  # burst of a route that gets its calls one at a time
UNPACED_RATE = 0.5  # calls a second that one of many relays may send to a route without pacing, until one is rejected
RATE_GAIN = 0.5  # fraction by which a success raises a rate that has no whole token left
THROTTLED_RATE_GAIN = 0.1  # fraction by which a success raises the rate of a throttled route
REJECTION_FACTOR = 0.7  # fraction of the rate that is kept after a rejection
MIN_SHARE_DIVISOR = 3  # rejections and load reports leave a relay at least its equal share divided by this
MAX_RATE_LIMIT_WINDOW_MS = 2500.0  # longer than any time window over which a destination counts calls for its limit
TRIAL_EXPIRY_MS = 1000.0  # a trial call that is overdue by more is rescheduled, so that trial calls do not accumulate


class RateAllowance(NamedTuple):
    """The calls that a route may get now.

    Attributes:
        calls_per_s: Calls a second.
        burst: Calls that may be sent at once.
    """

    calls_per_s: float
    burst: float


class NextCall(NamedTuple):
    """When a route may get its next call.

    Attributes:
        at: Time of a call within the tokens.
        overdraw_at: Time of an urgent call, which may overdraw the token bucket; no later than `at`.
    """

    at: float
    overdraw_at: float


class LoadReport(NamedTuple):
    """What an answer reports about the rate limit of its destination.

    Attributes:
        remaining_fraction: Fraction of the limit that is left.
        limit_per_s: The limit in calls a second; 0 if there is none or it is unknown.
    """

    remaining_fraction: float
    limit_per_s: float


class RateLimiter:
    """Decides when a route may get its next call.

    Attributes:
        answer_counter: Recent answers of all destinations.
        unpaced_rates: By kind of destination, the calls a second that need no pacing; `UNPACED_RATE` if missing.
    """

    def __init__(self, settings: Settings, rng: random.Random, index: EndpointIndex) -> None:
        self.settings = settings
        self.slow_start_ms = settings.safety.slow_start_ms
        self.rng = rng
        self.index = index
        self.answer_counter = DecayingCounter()
        self.unpaced_rates: dict[int, float] = {}

    def initial_state(self, advertised_rate: float, tokens_at: float) -> RateState:
        """Return the state of a route that was not used before; `advertised_rate` is 0 if none can be trusted."""
        fleet_rate = advertised_rate or UNPACED_RATE * self.settings.relay_count
        return RateState(
            fleet_rate=fleet_rate,
            own_rate=fleet_rate / self.settings.relay_count,
            tokens=MIN_BURST,
            tokens_at=tokens_at,
            initial_tokens=self.rng.random(),
            is_advertised=advertised_rate > 0,
        )

    def trusted_rate(self, advertised_rate: float) -> float:
        """Return the advertised rate if there is one and the settings trust advertised rates, else 0."""
        return advertised_rate if self.settings.rate_trust is not RateTrust.NONE and advertised_rate > 0 else 0.0

    @staticmethod
    def apply_advertised_rate(rate: RateState, advertised_rate: float) -> None:
        """Adopt a changed advertised rate, and scale the learned rate in proportion."""
        if advertised_rate and advertised_rate != rate.fleet_rate:
            rate.own_rate = rate.own_rate * advertised_rate / rate.fleet_rate
            rate.fleet_rate = advertised_rate

    def allowance(self, now: float, route: RouteState, is_down: bool) -> RateAllowance:
        """Return the calls that a route may get now.

        A route that is down or in slow start gets this relay's share of the slow-start budget, so that all relays that
        know of the outage together stay within the budget.
        """
        if is_down or self._may_recover_soon(now, route):
            budget = initial_budget(route, self.settings)
            return RateAllowance(budget / count_aware_relays(now, route, self.settings.relay_count), SINGLE_CALL)
        rate = route.rate
        unpaced_rate = self.unpaced_rates.get(route.kind, UNPACED_RATE)
        is_throttled = now <= rate.throttled_until
        allowed = rate.own_rate if is_throttled else max(rate.own_rate, unpaced_rate)
        if now < route.health.slow_start_since + self.slow_start_ms:
            return RateAllowance(min(allowed, budget_share(now, route, self.settings)), SINGLE_CALL)
        burst = max(SINGLE_CALL, MIN_BURST * unpaced_rate / UNPACED_RATE, allowed * BURST_S)
        return RateAllowance(allowed, burst)

    @staticmethod
    def _may_recover_soon(now: float, route: RouteState) -> bool:
        """Return whether a route is in an outage that a rate limit does not explain, and may recover into slow start.

        Such an outage exceeds the time window of any limit, and its calls failed or were rejected. Where a rate is
        advertised, a single rejection does not count.
        """
        health = route.health
        if health.outage_since is None or now - health.outage_since <= MAX_RATE_LIMIT_WINDOW_MS:
            return False
        has_failed = health.failed_at > health.last_success_at
        explained_throttle_ms = MIN_THROTTLE_MS if route.rate.is_advertised else 0.0
        return has_failed or route.rate.throttle_ms > explained_throttle_ms

    def next_call(self, now: float, route: RouteState, is_down: bool) -> NextCall:
        """Refill the tokens of a route, and return when it may get its next call."""
        allowance = self.allowance(now, route, is_down)
        rate = route.rate
        if rate.initial_tokens < 1 and self.unpaced_rates.get(route.kind, UNPACED_RATE) < UNPACED_RATE / 2:
            self._withhold_initial_burst(now, rate)
        rate.tokens = min(allowance.burst, rate.tokens + allowance.calls_per_s * (now - rate.tokens_at) / MS_PER_SECOND)
        rate.tokens_at = now
        if is_down:
            next_trial_at = self._next_trial_at(now, route.health, allowance.calls_per_s)
            return NextCall(next_trial_at, next_trial_at)
        at = now + max(0.0, 1 - rate.tokens) / allowance.calls_per_s * MS_PER_SECOND
        if allowance.burst == SINGLE_CALL:  # a route that gets single calls may not be overdrawn
            return NextCall(at, at)
        return NextCall(at, at - MIN_BURST / allowance.calls_per_s * MS_PER_SECOND)

    @staticmethod
    def _withhold_initial_burst(now: float, rate: RateState) -> None:
        """Reduce the first tokens of a route to a random part of one, as load reports show limits nearly used up.

        This spreads the first calls of many relays over time.
        """
        rate.tokens = min(rate.tokens, rate.initial_tokens)
        rate.initial_tokens = 1.0
        rate.tokens_at = now

    def _next_trial_at(self, now: float, health: HealthState, calls_per_s: float) -> float:
        """Return when a route that is down gets its next trial call; a call that is long overdue is rescheduled."""
        if now > health.next_trial_at + TRIAL_EXPIRY_MS:
            health.next_trial_at = now + MS_PER_SECOND / calls_per_s * self.rng.random()
        return health.next_trial_at

    def trial_interval_ms(self, now: float, route: RouteState) -> float:
        """Return the mean time between two trial calls of this relay to a route that is down."""
        return MS_PER_SECOND / self.allowance(now, route, is_down=True).calls_per_s

    def record_answer(self, now: float, route: RouteState) -> None:
        """Count an answer."""
        self.answer_counter.add(now, EVIDENCE_TTL_MS)
        route.rate.answer_counter.add(now, EVIDENCE_TTL_MS)

    @staticmethod
    def raise_rate(now: float, rate: RateState) -> None:
        """Raise the rate after a success if less than one token is left: only then has the rate limited the calls."""
        if rate.tokens >= 1:
            return
        is_throttled = now <= rate.throttled_until
        gain = THROTTLED_RATE_GAIN if is_throttled else RATE_GAIN
        raised = rate.own_rate * (1 + gain)
        rate.own_rate = min(rate.fleet_rate, raised) if rate.is_advertised else raised

    def record_rejection(self, now: float, rate: RateState) -> None:
        """Throttle a route after a rejection that is due to its rate limit."""
        equal_share = rate.fleet_rate / self.settings.relay_count if rate.is_advertised else UNPACED_RATE
        reduced = rate.own_rate * REJECTION_FACTOR
        was_paced = now < rate.throttled_until or equal_share > UNPACED_RATE
        if was_paced:
            geometric_mean = (rate.own_rate * equal_share) ** 0.5
            rate.own_rate = max(equal_share / MIN_SHARE_DIVISOR, min(reduced, geometric_mean))
        else:
            rate.own_rate = equal_share  # the first estimate
        rate.throttle_ms = min(MAX_THROTTLE_MS, max(MIN_THROTTLE_MS, 2 * rate.throttle_ms))
        rate.throttled_until = now + rate.throttle_ms * self.rng.uniform(*THROTTLE_JITTER)
        rate.tokens = min(rate.tokens, self.rng.uniform(*TOKENS_AFTER_REJECTION))

    def adopt_rate(self, now: float, rate: RateState, calls_per_s: float) -> None:
        """Adopt the rate to which rejections have throttled another relay."""
        rate.own_rate = calls_per_s
        rate.throttled_until = now + MIN_THROTTLE_MS * self.rng.uniform(*THROTTLE_JITTER)

    def record_load_report(self, route: RouteState, report: LoadReport) -> None:
        """Adjust the rates to the limit and the remaining fraction of a load report."""
        if report.limit_per_s <= 0:
            return
        rate = route.rate
        rate.is_advertised = True
        rate.own_rate = rate.own_rate * report.limit_per_s / rate.fleet_rate
        rate.fleet_rate = report.limit_per_s
        change = 1 + THROTTLED_RATE_GAIN * (4 * report.remaining_fraction - 2)  # 1 if half of the limit is left
        self._adjust_unpaced_rate(route.kind, change)
        has_no_whole_token = rate.tokens < 1
        if change < 1 or has_no_whole_token:
            equal_share = report.limit_per_s / self.settings.relay_count
            rate.own_rate = min(report.limit_per_s, max(rate.own_rate * change, equal_share / MIN_SHARE_DIVISOR))

    def _adjust_unpaced_rate(self, kind: int, change: float) -> None:
        """Multiply the unpaced rate of a kind by a factor.

        Rejected calls may use up a limit too, so calls should be paced while little of the limit is left.
        """
        raised = min(UNPACED_RATE, self.unpaced_rates.get(kind, UNPACED_RATE) * change)
        self.unpaced_rates[kind] = max(UNPACED_RATE / self.settings.relay_count, raised)

    def estimate_fleet_rate(self, now: float, route: RouteState) -> None:
        """Estimate a rate that is not advertised: the recent answers to this relay times the number of relays.

        The mean number of answers of a destination is the prior, so that the sum over all relays approaches what the
        destination has answered even if the relays call it unevenly. The slow-start budget depends on the estimate,
        which therefore stays unchanged during an outage and a slow start.
        """
        if now < route.health.slow_start_since + self.slow_start_ms:
            return
        destinations = max(1, self.index.destination_count)
        mean_answers = max(1.0, self.answer_counter.count(now, EVIDENCE_TTL_MS)) / destinations
        own_answers = route.rate.answer_counter.count(now, EVIDENCE_TTL_MS)
        expected_answers = (own_answers + 1) / (1 + 1 / mean_answers)
        route.rate.fleet_rate = self.settings.relay_count * expected_answers * MS_PER_SECOND / EVIDENCE_TTL_MS
