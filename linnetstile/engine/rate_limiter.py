"""Rate limits of destinations: tokens, learned and advertised rates, throttling after rejections, load reports.

A destination's limit holds for all relays together, and mostly nobody says what it is. A relay begins with an equal
share of what is advertised, or with rare calls that go unpaced; a rejection throttles it, success while it is bound
raises its rate again. An ejected route and one in slow start get this relay's share of the slow-start budget.
"""

from __future__ import annotations

import random

from .endpoint_index import EndpointIndex
from .route_state import EVIDENCE_TTL_MS, DecayingCounter, RateState, RouteState
from .settings import RateTrust, Settings
from .slow_start import budget_share, count_aware_relays, initial_budget

# A rejection throttles for so long: the time of a burst. Doubles while calls are rejected, up to the maximum.
MIN_THROTTLE_MS = 4000.0
MAX_THROTTLE_MS = 16000.0
THROTTLE_JITTER = (0.5, 1.5)  # relays that were rejected at once do not come back at once
TOKENS_AFTER_REJECTION = (-0.5, 0.5)  # drawn: rejected relays do not send their next call in step
BURST_S = 2.0  # tokens are saved up for a burst of so many seconds of the rate
MIN_BURST = 3.0  # or of so many calls, if that is more
UNPACED_RATE = 0.5  # calls a second that one of many relays may send unpaced, until one is rejected
RATE_GAIN = 0.5  # part of the rate gained with each success that finds it bound and not throttled of late
THROTTLED_RATE_GAIN = 0.1  # the same while it is throttled
REJECTION_FACTOR = 0.7  # part of the rate that is kept after a rejection above the limit
MIN_SHARE_DIVISOR = 3  # rejections and load reports push the rate no lower than so small a part of the equal share
MAX_LIMIT_SPAN_MS = 2500.0  # longer than any span over which a limit counts
TRIAL_EXPIRY_MS = 1000.0  # a trial call not used for so long is drawn anew: they are not saved up while slots are busy


class RateLimiter:
    """Says when a route may get its next call."""

    def __init__(self, settings: Settings, rng: random.Random, index: EndpointIndex) -> None:
        self.settings = settings
        self.slow_start_ms = settings.safety.slow_start_ms
        self.rng = rng
        self.index = index
        self.answer_counter = DecayingCounter()  # answers of all destinations
        self.unpaced_rates: dict[int, float] = {}  # kind of destination -> calls a second that may go unpaced

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
        """Return the advertised rate if the settings say that it means something, else 0."""
        return advertised_rate if self.settings.rate_trust is not RateTrust.NONE and advertised_rate > 0 else 0.0

    @staticmethod
    def apply_advertised_rate(rate: RateState, advertised_rate: float) -> None:
        """Take over a changed rate of the list; what was learned stays in proportion."""
        if advertised_rate and advertised_rate != rate.fleet_rate:
            rate.own_rate = rate.own_rate * advertised_rate / rate.fleet_rate
            rate.fleet_rate = advertised_rate

    def allowance(self, now: float, route: RouteState, is_down: bool) -> tuple[float, float]:
        """Return the calls a second, and the calls in one go, that the route may get.

        For a route that is down or in slow start it is this relay's share of the slow-start budget, so that all relays
        that know of the outage stay within the budget.
        """
        health = route.health
        may_return = health.outage_since is not None and self._may_return_any_moment(now, route, health.outage_since)
        if is_down or may_return:
            budget = initial_budget(route, self.settings)
            return budget / count_aware_relays(now, route, self.settings.relay_count), 1.0
        rate = route.rate
        # Rare calls fit a limit unpaced, unless many are rejected.
        unpaced_rate = self.unpaced_rates.get(route.kind, UNPACED_RATE)
        allowed = max(rate.own_rate, unpaced_rate) if now > rate.throttled_until else rate.own_rate
        if now < health.slow_start_since + self.slow_start_ms:
            return min(allowed, budget_share(now, route, self.settings)), 1.0
        return allowed, max(1.0, MIN_BURST * unpaced_rate / UNPACED_RATE, allowed * BURST_S)

    @staticmethod
    def _may_return_any_moment(now: float, route: RouteState, outage_since: float) -> bool:
        """Return whether it failed or was rejected (again, where a rate is advertised) and no answer came for long."""
        health, rate = route.health, route.rate
        if now - outage_since <= MAX_LIMIT_SPAN_MS:
            return False
        return health.failed_at > health.last_success_at or rate.throttle_ms > MIN_THROTTLE_MS * rate.is_advertised

    def next_call_at(self, now: float, route: RouteState, is_down: bool) -> tuple[float, float]:
        """Return when the route takes its next call, and when it takes one that overdraws its tokens."""
        calls_per_s, burst = self.allowance(now, route, is_down)
        rate = route.rate
        if rate.initial_tokens < 1 and self.unpaced_rates.get(route.kind, UNPACED_RATE) < UNPACED_RATE / 2:
            # The first call is spread over time too.
            rate.tokens = min(rate.tokens, rate.initial_tokens)
            rate.initial_tokens = 1.0
            rate.tokens_at = now
        rate.tokens = min(burst, rate.tokens + calls_per_s * (now - rate.tokens_at) / 1000)
        rate.tokens_at = now
        if is_down:
            health = route.health
            if now > health.next_trial_at + TRIAL_EXPIRY_MS:
                health.next_trial_at = now + 1000 / calls_per_s * self.rng.random()
            return health.next_trial_at, health.next_trial_at
        at = now + max(0.0, 1 - rate.tokens) / calls_per_s * 1000
        return at, at if burst == 1.0 else at - MIN_BURST / calls_per_s * 1000

    def trial_interval_ms(self, now: float, route: RouteState) -> float:
        """Return the mean time between two trial calls of this relay to a route that is down."""
        return 1000 / self.allowance(now, route, True)[0]

    def record_answer(self, now: float, route: RouteState) -> None:
        """Count an answer."""
        self.answer_counter.add(now, EVIDENCE_TTL_MS)
        route.rate.answer_counter.add(now, EVIDENCE_TTL_MS)

    @staticmethod
    def raise_rate(now: float, rate: RateState) -> None:
        """Raise the rate after a success that found it bound."""
        if rate.tokens >= 1:
            return
        gain = RATE_GAIN if now > rate.throttled_until else THROTTLED_RATE_GAIN
        raised = rate.own_rate * (1 + gain)
        rate.own_rate = min(rate.fleet_rate, raised) if rate.is_advertised else raised

    def record_rejection(self, now: float, rate: RateState) -> None:
        """Throttle a route that has rejected a call above its limit."""
        equal_share = rate.fleet_rate / self.settings.relay_count if rate.is_advertised else UNPACED_RATE
        reduced = rate.own_rate * REJECTION_FACTOR
        was_paced = now < rate.throttled_until or equal_share > UNPACED_RATE
        if was_paced:
            rate.own_rate = max(equal_share / MIN_SHARE_DIVISOR, min(reduced, (rate.own_rate * equal_share) ** 0.5))
        else:  # the equal share is the first guess
            rate.own_rate = equal_share
        rate.throttle_ms = min(MAX_THROTTLE_MS, max(MIN_THROTTLE_MS, 2 * rate.throttle_ms))
        rate.throttled_until = now + rate.throttle_ms * self.rng.uniform(*THROTTLE_JITTER)
        rate.tokens = min(rate.tokens, self.rng.uniform(*TOKENS_AFTER_REJECTION))

    def adopt_rate(self, now: float, rate: RateState, calls_per_s: float) -> None:
        """Take over a rate to which rejections hold another relay."""
        rate.own_rate = calls_per_s
        rate.throttled_until = now + MIN_THROTTLE_MS * self.rng.uniform(*THROTTLE_JITTER)

    def record_load_report(self, route: RouteState, remaining: float, limit: float) -> None:
        """Follow a load report: the part of the limit that is left, and the limit in calls a second (0 = none told)."""
        if limit <= 0:
            return
        rate = route.rate
        equal_share = limit / self.settings.relay_count
        rate.is_advertised = True
        rate.own_rate = rate.own_rate * limit / rate.fleet_rate
        rate.fleet_rate = limit
        change = 1 + THROTTLED_RATE_GAIN * (4 * remaining - 2)
        # Guards limits that rejected calls use up: where a kind reports little left, no call goes unpaced.
        unpaced_rate = min(UNPACED_RATE, self.unpaced_rates.get(route.kind, UNPACED_RATE) * change)
        self.unpaced_rates[route.kind] = max(UNPACED_RATE / self.settings.relay_count, unpaced_rate)
        if change < 1 or rate.tokens < 1:
            rate.own_rate = min(limit, max(rate.own_rate * change, equal_share / MIN_SHARE_DIVISOR))

    def estimate_fleet_rate(self, now: float, route: RouteState) -> None:
        """Stand in for a rate that nobody advertises: recent own answers times the relays.

        The answers of a usual destination are the prior. Over all relays that adds up to what the destination was seen
        to do, however uneven the relays are. Guards the slow-start budget; the estimate stays as it was while the
        destination is down or in slow start.
        """
        if now < route.health.slow_start_since + self.slow_start_ms:
            return
        destinations = max(1, self.index.destination_count)
        usual = max(1.0, self.answer_counter.count(now, EVIDENCE_TTL_MS)) / destinations
        seen = (route.rate.answer_counter.count(now, EVIDENCE_TTL_MS) + 1) / (1 + 1 / usual)
        route.rate.fleet_rate = self.settings.relay_count * seen * 1000 / EVIDENCE_TTL_MS
