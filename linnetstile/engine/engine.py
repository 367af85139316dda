"""Every decision of a relay. Vocabulary: decisions/interface.py; memory: decisions/state.py.

Messages for a destination wait in its queue; what was seen of it is in its `Lane` (one a route, if apart),
which it has while it is in use: destinations.py, and resting.py for what is kept of it beyond."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict

from .actions import Action, CancelIfUnsent, CloseIdle, Fail, Reject, Send, SetTimer, WatchEndpoints
from .connection_scarcity import ConnectionScarcity
from .destinations import RoutingTable
from .events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    Event,
    GossipReceived,
    GossipSent,
    ListKind,
    Message,
    MessageRecovered,
    Outcome,
    ShutdownStarted,
    TimerFired,
)
from .message_queues import MessageQueues
from .pending_message import PendingMessage
from .recovery_throttle import tokens_after_recovery
from .route_state import DecayingCounter, EndpointState, InFlightCall, RouteState
from .send_order import expected_send_times, urgency
from .settings import DeduplicationScope, Effect, RateTrust, Settings
from .time_points import NEVER

MARGIN_MS = 20.0  # messages are closed so long before their time is up
LOOK_MS = 500.0  # a queue that waits for something is looked at again at least so often
FADE_MS = 10000.0  # older evidence counts no more: an answer or a failure of so long ago
HOLD_MS, HOLD_MAX_MS = 4000.0, 16000.0  # a refusal paces for so long: a clump's time; doubles while refused
RETRY_MS = 120.0  # first pause before another try: about one round trip; doubles from try to try
RETRY_MAX_MS = 4000.0  # no pause is longer: beyond it a message's aim is lost anyway
USUAL_MS = 500.0, 250.0  # latency and its mean deviation, until destinations have answered
DEVIATIONS = 10.0  # a time-out lies so many mean deviations above the mean: answers have a long tail
LAST = 3.0  # the last try a message can have waits so many times longer: a late answer still saves it
OVERDUE = 4.0  # an answer is overdue so many mean deviations above the mean
STRETCH_MAX = 8.0  # time-outs double while calls time out (slow is not down), up to this factor
BURST_S, BURST = 2.0, 3.0  # calls saved up for a clump: seconds of the pace, and at least so many
START = 0.5  # calls a second that one of many relays may send unpaced, until one is refused
RISE, GROWTH = 0.5, 0.1  # pace gained with each success that finds it bound: unrefused of late, or paced
CUT = 0.7  # pace kept after a refusal above the limit
ROUGH = 1.5  # a rough listed rate may be this much too high
BLAME = 0.3  # weight of one failure: two in a row make an outage
SICK = 0.5  # blame above which a destination is taken as out
TRUSTED = 0.25  # blame below which an unsafe message may be risked again
SHUT_MS = 2500.0  # told waits and refusals without a break longer than any span of a limit mean shut
SEEN = 0.05  # weight of one call in what is known of a kind of destination: some twenty calls
SCARCE = 0.04  # part of answers after a missed connection above which idle ones are closed: one in SEEN
KEPT = 0.9  # part of the idle time after which a connection counts as closed: the peer's clock may be ahead
SUDDEN = 0.3  # a kept connection reset within this part of a usual answer had been closed before
STALE = 0.02  # part of the calls on kept connections that met a closed one, above which unsafe ones wait
MET = 0.5  # part of the calls since an outage began that another relay made: so many may know of it
CRAWL = 8.0  # a call takes so many times as long as a usual answer (harmonic mean): its destination crawls
CROWDED = 0.85  # share of the hold from which the least worth is refused to make room
EARLY, GIVEN_BACK = 0.7, 0.3  # a message given back in so much of its time costs so much of its worth more


def moving_average(mean: float, dev: float, took: float, gain: float) -> tuple[float, float]:
    return mean + gain * (took - mean), dev + gain * (abs(took - mean) - dev)


def is_suspected(route: RouteState, now: float) -> bool:
    """Out, or each endpoint owes an answer that is overdue, and none came since: hung, gone or slow."""
    if route.ejected or not route.calls:
        return route.ejected
    overdue = now - (route.latency_mean + OVERDUE * route.latency_deviation) * route.timeout_multiplier
    late = [call.endpoint for call in route.calls if route.last_success_at <= call.started_at < overdue]
    return bool(late) and {endpoint.info.id for endpoint in late}.issuperset(route.endpoints)


class DeliveryEngine:
    """Decides for one relay: feed it events with `handle`, carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.queues = MessageQueues()
        self.expiry_heap: list[tuple[float, int]] = []  # heap: when a message can no longer be delivered
        self.routing_table = RoutingTable(settings, FADE_MS, self.queues.queues, self._attach)
        self.routes, self.endpoints = self.routing_table.routes, self.routing_table.endpoints  # of those in use
        self.ordering_pauses: dict[int, float] = {}  # in-order key -> end of its rest
        self.tenant_tokens = [(float("inf"), 0.0) for _ in settings.tenants]  # as much as may be saved up
        self.fleet_latency = USUAL_MS  # latency over all destinations: what one not yet seen is taken for
        self.mean_inverse_latency = 1 / USUAL_MS[0]  # mean of 1 / latency: quick answers outweigh slow ones
        self.answer_counter = DecayingCounter()  # answers of all destinations
        self.unpaced_rates: dict[int, float] = {}  # kind of destination -> calls a second that may go unpaced
        self.connection_limited: dict[int, float] = {}  # of a kind: part of answers that follow a missed connection
        self.connection_scarcity: defaultdict[int, ConnectionScarcity] = defaultdict(
            ConnectionScarcity
        )  # of a kind: its connections
        self.surplus_connections: list[
            EndpointState
        ] = []  # with connections that are left idle only where there are many
        self.stale_connection_ratio = 0.0  # part of the calls on kept connections that met a closed one
        self.shutdown_at = float("inf")  # of this process
        self.first_list_at: float | None = None  # when its first list came: what is quiet has been so since then
        self.in_flight = 0
        self.timer_due_at = 0.0
        self.poll_at: float | None = 0.0 if settings.polls_for_list else None
        self.poll_failures = 0

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            match event:
                case Message():
                    self._accept(now_ms, event)
                case ShutdownStarted():
                    self.shutdown_at = now_ms + event.within_ms
                case MessageRecovered():
                    self._resume(now_ms, event)
                case AttemptEnded():
                    self._ended(now_ms, event, actions)
                case EndpointList():
                    self._listed(now_ms, event, actions)
                case ClientCancelled():
                    self._withdraw(event.id)
                case GossipReceived():
                    self._learn(now_ms, event, actions)
                case GossipSent():
                    for destination, route in event.routes:
                        if lane := self.routing_table.open(now_ms, destination).get(route):
                            lane.notified_relays += 1
                case TimerFired():
                    self.timer_due_at = 0.0
        if self.poll_at is not None and now_ms >= self.poll_at:
            actions.append(WatchEndpoints())
            self.poll_at = now_ms + self.settings.safety.poll_within_ms / 2  # asks again should no answer come
        self._close_late(now_ms, actions)
        self._dispatch(now_ms, actions)
        self._close_spare(actions)
        self._make_room(actions, now_ms)
        self.routing_table.evict_idle(now_ms, len(events))
        wakes = (self.queues.next_due_at(now_ms), self.expiry_heap[0][0] if self.expiry_heap else None, self.poll_at)
        wake = min((at for at in wakes if at is not None), default=None)
        if wake is not None and (self.timer_due_at <= now_ms or wake < self.timer_due_at):
            self.timer_due_at = max(wake, now_ms + self.settings.tick_ms)
            actions.append(SetTimer(self.timer_due_at - now_ms, 0))
        return actions

    # -- discovery ---------------------------------------------------------------------------------------

    def _listed(self, now: float, event: EndpointList, actions: list[Action]) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against failing or overloaded discovery: asks again after growing, jittered pauses.
            pause = min(RETRY_MS * 4 * 2**self.poll_failures, self.settings.safety.poll_within_ms / 4)
            self.poll_failures, self.poll_at = min(self.poll_failures + 1, 5), now + pause * self.rng.uniform(0.5, 1.0)
            return
        if event.kind is not ListKind.CACHED:
            self.poll_failures, self.poll_at = 0, None
        self.first_list_at = now if self.first_list_at is None else self.first_list_at
        self._recall(actions, self.routing_table.apply_list(now, event))

    def _attach(self, now: float, entry: Endpoint, listed: bool) -> None:
        """Puts an endpoint into its lane: it was listed just now, or its destination comes into use."""
        destination, key = self.routing_table.route_key(entry)
        routes = self.routes.setdefault(destination, {})
        rate = (
            entry.advertised_rate
            if self.settings.rate_trust is not RateTrust.NONE and entry.advertised_rate > 0
            else 0.0
        )
        if key not in routes:
            total = rate or START * self.settings.relay_count
            room = self.settings.kinds[entry.kind].max_batch if entry.kind < len(self.settings.kinds) else 1
            # Of one that comes into use nothing is known: where others answer quickly, it may be a slow one.
            quiet = now if listed or self.first_list_at is None else self.first_list_at
            mean, dev = self.fleet_latency if listed else USUAL_MS
            routes[key] = RouteState(
                mean,
                dev,
                total,
                total / self.settings.relay_count,
                BURST,
                quiet,
                room,
                entry.kind,
                self.rng.random(),
                rate_advertised=rate > 0,
            )
        route, endpoint = routes[key], self.endpoints.get(entry.id)
        if listed and rate and rate != route.fleet_rate:
            route.rate, route.fleet_rate = route.rate * rate / route.fleet_rate, rate  # keeps what was learned
        if endpoint is None:
            if listed and not route.endpoints and route.outage_since is not None:  # replaced late: the new one is cold
                self._cold(now, route)
            self.endpoints[entry.id] = route.endpoints[entry.id] = EndpointState(
                entry, route, tie_breaker=self.rng.random()
            )
            self.queues.schedule(destination)
        else:
            endpoint.info = entry

    # -- message life ------------------------------------------------------------------------------------

    def _accept(self, now: float, message: Message) -> None:
        message_class = self.settings.classes[message.class_index]
        # An unmarked first try is new however little time it has left: some clients are just in a hurry.
        old = message.is_retry or message.from_dead_relay or not self.settings.clients_mark_retries
        since = now + message.remaining_ms - message_class.deadline_ms if old else now
        pending = PendingMessage(
            message, message_class, since, now + message.remaining_ms, message_class.priority_weight, now, now
        )
        if message.tenant < len(self.tenant_tokens):
            left, at = self.tenant_tokens[message.tenant]
            quota = self.settings.tenants[message.tenant].quota_per_s / self.settings.relay_count
            left = min(max(1.0, 2 * quota), left + quota * (now - at) / 1000)  # a message fits, if late
            pending.priority_weight *= 1.0 if left >= 1 else self.settings.over_quota_value_factor
            charged = not (message.is_retry or message.from_dead_relay)  # a repeat belongs to its first try
            self.tenant_tokens[message.tenant] = left - (charged and left >= 1), now
        self._hold(now, pending)

    def _resume(self, now: float, event: MessageRecovered) -> None:
        """What was taken on before a restart goes on as if there had been none: a call that was out has an
        unclear outcome, and the gate of every send decides by effect, window, attempts and time left."""
        pending = PendingMessage(
            event.message,
            self.settings.classes[event.message.class_index],
            now - event.age_ms,
            now + event.message.remaining_ms,
            0.0,
            now,
            now - event.age_ms,
            attempts=event.attempts,
            unclear_endpoint=event.unclear_endpoint,
            recovered_untried=not event.attempts,
        )
        pending.priority_weight = pending.message_class.priority_weight
        if event.unclear_age_ms is not None:
            pending.first_unclear_at = now - event.unclear_age_ms
        if event.attempts:  # jittered: all that was out then would come at once
            pending.not_before = now + RETRY_MS * self.rng.uniform(0.0, 1.0)
        for route in self._hold(now, pending).values():
            route.tokens = tokens_after_recovery(route.tokens, route.initial_tokens, event.attempts, event.age_ms)

    def _hold(self, now: float, pending: PendingMessage) -> dict[int, RouteState]:
        """Takes a message in; the lanes of its destination, which is in use from now on."""
        routes = self.routing_table.open(now, pending.message.destination)
        self.queues.add(pending)
        self._wait(pending)
        return routes

    def _wait(self, pending: PendingMessage) -> None:
        """Puts a message into its queue, until a send or its last moment, whichever comes first."""
        pending.latest_send_at = self._last(pending)
        heapq.heappush(self.expiry_heap, (pending.latest_send_at, pending.message.id))
        self.queues.enqueue(pending)

    def _last(self, pending: PendingMessage) -> float:
        """The last moment at which a try may start; NEVER once none can be made: the final answer goes out at
        once. Until then it is held on purpose, for its turn, pace, a return or an endpoint to be listed."""
        routes = [route for route in self.routes.get(pending.message.destination, {}).values() if route.endpoints]
        usable = [route for route in routes if any(self._fits(pending, d.info) for d in route.endpoints.values())]
        last = min(self._until(pending), pending.deadline - MARGIN_MS - 2 * self.settings.tick_ms)
        if usable:
            last = min(last, pending.deadline - min(route.latency_mean for route in usable) / 4)
            waits = min(route.retry_after_until for route in usable)
            return (
                last
                if max(pending.not_before, waits, self.ordering_pauses.get(pending.ordering_key, 0.0)) < last
                else NEVER
            )
        gone = (
            pending.unclear_endpoint is not None
            and pending.message_class.deduplication_scope is DeduplicationScope.ENDPOINT
            and bool(routes)
        )
        return NEVER if gone and pending.message_class.effect is Effect.DEDUPLICATED else last

    def _fits(self, pending: PendingMessage, entry: Endpoint) -> bool:
        """Whether an endpoint shares the memory of the key with the one where the message may have run."""
        if (
            pending.unclear_endpoint is None
            or pending.message_class.effect is not Effect.DEDUPLICATED
            or pending.message_class.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        return (
            entry.id == pending.unclear_endpoint.id
            or pending.message_class.deduplication_scope is DeduplicationScope.ZONE
            and entry.zone == pending.unclear_endpoint.zone
        )

    def _may_refuse(self, pending: PendingMessage) -> bool:
        """A refusal promises that coming again is harmless: after an unclear attempt, only by effect. A key
        is not enough: a client may come back once its window has closed, and to any relay."""
        return pending.first_unclear_at is None or pending.message_class.effect is Effect.IDEMPOTENT

    def _turn(self, pending: PendingMessage) -> float:
        """When a message may go by the order of its key: the first of its key after the key's rest."""
        if pending.ordering_key and self.queues.ordered_ids[pending.ordering_key][0] != pending.message.id:
            return float("inf")
        return self.ordering_pauses.get(pending.ordering_key, 0.0)

    def _may_send(self, now: float, pending: PendingMessage, endpoint: EndpointState) -> bool:
        """The one gate of every send: attempts, drain, told wait, time, order, effect and key window."""
        route, entry = endpoint.route, endpoint.info
        if (
            pending.call is not None
            or entry.id not in self.endpoints
            or now >= min(pending.latest_send_at, self._until(pending))
        ):
            return False
        if (
            pending.message_class.effect is Effect.NON_IDEMPOTENT
            and now + route.latency_mean + OVERDUE * route.latency_deviation > self.shutdown_at
        ):
            return False  # it would be out when the process ends: the next one sends it
        return now >= max(route.retry_after_until, pending.not_before, self._turn(pending)) and self._fits(
            pending, entry
        )

    def _until(self, pending: PendingMessage) -> float:
        """Until when another try is allowed: not past the attempts, nor where it could take effect twice."""
        return NEVER if pending.attempts >= self.settings.max_attempts else self._begin_by(pending)

    def _begin_by(self, pending: PendingMessage) -> float:
        """Until when the last byte of a try may leave. A connection may take long to be made, and what was
        decided in time would leave too late: only the writer of that byte can keep to it."""
        if pending.first_unclear_at is None or pending.message_class.effect is Effect.IDEMPOTENT:
            return pending.deadline
        if pending.message_class.effect is Effect.NON_IDEMPOTENT:
            return NEVER
        # Leaves room for the way: a destination may look its keys up as late as it usually answers.
        return (
            pending.first_unclear_at
            + pending.message_class.deduplication_window_ms
            - self.settings.tick_ms
            - self.fleet_latency[0]
        )

    def _end(self, now: float, pending: PendingMessage, actions: list[Action]) -> None:
        if self._may_refuse(pending):
            actions.append(
                Reject(pending.message.id, self._stay_away(now, pending.message.destination, pending.deadline))
            )
        else:
            actions.append(Fail(pending.message.id))
        self.queues.remove(pending)

    def _stay_away(self, now: float, destination: int, due: float) -> float:
        """When there may be room: after the told wait and what else waits here, jittered so that programs do
        not come in step; no longer than they heed it, nor than the message has left."""
        if self.settings.max_retry_after_ms == 0:
            return 0.0
        told = min((route.retry_after_until for route in self.routes.get(destination, {}).values()), default=NEVER)
        queued = 1000 * len(self.queues.queues.get(destination, ())) / self._speed(now, destination)
        stay = max(told - now, queued) * self.rng.uniform(1.0, 1.5)
        return max(0.0, min(stay, self.settings.max_retry_after_ms, due - now - MARGIN_MS))

    def _recall(self, actions: list[Action], endpoints: list[EndpointState]) -> None:
        """The gate is shut: what was sent to these in its eyes may wait for its connection still."""
        actions += [
            CancelIfUnsent(pending.message.id)
            for endpoint in endpoints
            for call in endpoint.route.calls
            if call.endpoint is endpoint
            for pending in call.messages
            if pending.call is call
        ]

    def _withdraw(self, ident: int) -> None:
        if pending := self.queues.messages.get(ident):
            pending.cancelled = True  # one that is out waits for its outcome
            if pending.call is None:
                self.queues.remove(pending)

    def _close_late(self, now: float, actions: list[Action]) -> None:
        """The deadline timer: ends what can no longer be delivered in time."""
        while self.expiry_heap and self.expiry_heap[0][0] <= now:
            pending = self.queues.messages.get(heapq.heappop(self.expiry_heap)[1])
            if pending and pending.call is None:
                self._end(now, pending, actions)

    def _make_room(self, actions: list[Action], now: float) -> None:
        """Before the hold fills, refuses what will be worth least once its turn has come."""
        for _ in range(len(self.queues.messages) - int(CROWDED * self.settings.max_pending_messages)):
            queues = self.queues.queues
            at = {}
            for destination, queue in queues.items():
                at.update(
                    expected_send_times(
                        queue.values(), now, 1000 / self._speed(now, destination), self.settings.value_decay
                    )
                )
            able = [
                each
                for queue in queues.values()
                for each in queue.values()
                if self._may_refuse(each) and (each.attempts or not each.recovered_untried)
            ]
            if able:
                self._end(
                    now,
                    min(
                        able,
                        key=lambda pending: [
                            self._missed(pending, now, then) for then in (at[pending.message.id], now)
                        ],
                    ),
                    actions,
                )

    def _missed(self, pending: PendingMessage, now: float, at: float) -> float:
        """What is lost if it is refused now and would else be delivered `at`. What comes in while there is no
        room is refused at the door, for nothing, unless it is worth more than what is given back for it."""
        early = pending.accepted_at < now < pending.accepted_at + EARLY * (pending.deadline - pending.accepted_at)
        return pending.value_at(at, self.settings.value_decay) + (
            GIVEN_BACK * pending.priority_weight if early else 0.0
        )

    def _speed(self, now: float, destination: int) -> float:
        """Calls a second that this relay may expect to place at a destination."""
        routes = self.routes.get(destination, {}).values()
        return sum(self._pace(now, route, is_suspected(route, now))[0] for route in routes) or 0.01

    # -- outcomes ----------------------------------------------------------------------------------------

    def _ended(self, now: float, event: AttemptEnded, actions: list[Action]) -> None:
        pending = self.queues.messages.get(event.id)
        if pending is None or pending.call is None:
            return
        call, endpoint, pending.call = pending.call, pending.call.endpoint, None
        counts, call.counted, call.unresolved = not call.counted, True, call.unresolved - 1  # several share one fate
        if call.unresolved == 0:
            self.in_flight -= 1
            endpoint.in_flight -= 1
            endpoint.route.calls.remove(call)
            took = now - call.started_at
            endpoint.route.mean_call_ms += (0.15 if endpoint.route.mean_call_ms else 1.0) * (
                took - endpoint.route.mean_call_ms
            )
        self.queues.schedule(pending.message.destination)
        if counts and not endpoint.route.rate_advertised and endpoint.route.outage_since is None:
            self._gauge(now, endpoint.route)
        if not event.outcome.proves_no_effect and pending.first_unclear_at is None:
            pending.first_unclear_at, pending.unclear_endpoint = pending.sent_at, endpoint.info
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and pending.ordering_key:
            self.ordering_pauses = {key: at for key, at in self.ordering_pauses.items() if at > now}
            self.ordering_pauses[pending.ordering_key] = (
                now + self.settings.safety.ordering_pause_ms + self.settings.tick_ms
            )
        endpoint.idle_connections = (
            [*endpoint.idle_connections, now] if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED) else []
        )
        # Both layers pause before the next try: growing and jittered after any told wait.
        pause = min(RETRY_MAX_MS, RETRY_MS * 2 ** (pending.attempts - 1)) * self.rng.uniform(0.7, 1.3)
        pending.not_before = now + pause
        if event.retry_after_ms > 0:  # binds whichever message of a call was told it, the others' answers or not
            self._told(
                now, endpoint.route, pending.message.destination, pending.not_before + event.retry_after_ms, actions
            )
        # A kept connection that its peer, or something between, had closed says nothing of a destination.
        sudden = event.outcome is Outcome.RESET and event.latency_ms < SUDDEN * endpoint.route.latency_mean
        stale = event.connection_reused and (sudden or event.outcome is Outcome.CONNECT_FAILED)
        if event.connection_reused:
            self.stale_connection_ratio += SEEN * (stale - self.stale_connection_ratio)
        places = self.connection_scarcity[endpoint.route.kind]
        # Nor does one that was refused for want of a connection, where others are answered: no limit was met.
        crowded = (
            event.outcome is Outcome.REJECTED
            and now - endpoint.route.last_success_at < SHUT_MS
            and places.explains_rejection(event.connection_reused, event.retry_after_ms > 0)
        )
        if counts and event.outcome is Outcome.OK:
            self._answered(now, endpoint, pending, event.latency_ms)
        elif counts and event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED) and not (stale or crowded):
            self._failed(now, endpoint, pending, event)
        if counts and endpoint.idle_connections:  # it was answered
            full = event.outcome is Outcome.REJECTED
            places.record(event.connection_reused, full, event.retry_after_ms > 0)
            endpoint.rejected_at = now if full and not event.connection_reused else NEVER
        if places.is_scarce or self.connection_limited.get(endpoint.route.kind, 0.0) > SCARCE:
            self.surplus_connections.append(endpoint)
        if self.settings.load_report_fields and len(event.load_report) > max(self.settings.load_report_fields):
            self._reported(endpoint.route, *(event.load_report[n] for n in self.settings.load_report_fields))
        if event.is_final or pending.cancelled:
            self.queues.remove(pending)
        else:
            self._wait(pending)

    def _close_spare(self, actions: list[Action]) -> None:
        """Idle connections use up the few that there are, unless the next call has gone out on them."""
        for endpoint in self.surplus_connections:
            if endpoint.idle_connections:
                endpoint.idle_connections = []
                actions.append(CloseIdle(endpoint.info.id))
        self.surplus_connections = []

    def _answered(self, now: float, endpoint: EndpointState, pending: PendingMessage, took: float) -> None:
        route = endpoint.route
        self.answer_counter.add(now, FADE_MS)
        route.answer_counter.add(now, FADE_MS)
        self.fleet_latency = moving_average(*self.fleet_latency, took, 0.05)
        self.mean_inverse_latency += 0.05 * (1 / max(took, self.settings.tick_ms) - self.mean_inverse_latency)
        if route.from_gossip:  # own evidence wins: what others said bars nothing any more, but it may be cold
            route.from_gossip, route.failure_score, route.failed_at = False, 0.0, NEVER
        route.answers += 1
        route.latency_mean, route.latency_deviation = moving_average(
            route.latency_mean, route.latency_deviation, took, max(0.15, 1 / (route.answers + 1))
        )
        route.last_success_at, route.timeout_multiplier, route.throttle_ms, route.failure_score = (
            now,
            1.0,
            route.throttle_ms / 2,
            route.failure_score * (1 - BLAME),
        )
        part, soon = self.connection_limited.get(route.kind, 0.0), now - (route.outage_since or NEVER) < FADE_MS
        # An answer soon after a missed connection: no outage, but an endpoint that takes few.
        self.connection_limited[route.kind] = part + SEEN * ((route.last_failure_was_connect and soon) - part)
        endpoint.class_failures.pop(pending.message.class_index, None)
        if route.ejected and route.failure_score < SICK:
            self._cold(now, route)
        route.outage_since = None
        if route.tokens < 1:
            grown = route.rate * (1 + (RISE if now > route.throttled_until else GROWTH))
            route.rate = min(route.fleet_rate, grown) if route.rate_advertised else grown

    def _cold(self, now: float, route: RouteState) -> None:
        """It is back: from here on the cold budget holds, shared by the relays that may know of it."""
        route.aware_relays = self._knowers(now, route)
        route.ejected, route.slow_start_since, route.tokens, route.outage_since = False, now, 0.0, None

    def _told(self, now: float, route: RouteState, destination: int, until: float, actions: list[Action]) -> None:
        """A wait was told, to many relays at once: the growing, jittered pause comes after it."""
        route.retry_after_until = max(route.retry_after_until, until)
        self._recall(actions, list(route.endpoints.values()))
        for other in self.queues.queues.get(destination, {}).values():
            if self._last(other) == NEVER:  # the wait outlasts it
                heapq.heappush(self.expiry_heap, (now, other.message.id))

    def _failed(self, now: float, endpoint: EndpointState, pending: PendingMessage, event: AttemptEnded) -> None:
        route, shut = endpoint.route, event.retry_after_ms > SHUT_MS
        if route.outage_since is None:  # another outage: nobody was told of it
            route.notified_relays = 0.0
        route.from_gossip = False
        route.outage_since = pending.sent_at if route.outage_since is None else route.outage_since
        route.last_failure_had_no_effect, route.last_failure_was_connect = (
            event.outcome.proves_no_effect,
            event.outcome is Outcome.CONNECT_FAILED,
        )
        if event.outcome is Outcome.REJECTED:
            part, cut = (
                route.fleet_rate / self.settings.relay_count if route.rate_advertised else START,
                route.rate * CUT,
            )
            paced = now < route.throttled_until or part > START  # if not, the equal part is the first guess
            route.rate = max(part / 3, min(cut, (route.rate * part) ** 0.5)) if paced else part
            route.throttle_ms = min(HOLD_MAX_MS, max(HOLD_MS, 2 * route.throttle_ms))
            route.throttled_until = now + route.throttle_ms * self.rng.uniform(0.5, 1.5)
            route.tokens = min(route.tokens, self.rng.uniform(-0.5, 0.5))
            if not shut:
                return
        else:
            endpoint.class_failures[pending.message.class_index] = route.failed_at = now
        if event.outcome is Outcome.TIMEOUT:
            route.timeout_multiplier = min(STRETCH_MAX, route.timeout_multiplier * 2)
        # A recent answer or an endpoint that has not failed vouches for a destination: without either, one
        # failure is an outage. Guards relays that call it too seldom to see two in a row.
        vouched = pending.sent_at if event.outcome is Outcome.CONNECT_FAILED else now - FADE_MS
        alone = route.last_success_at <= vouched and all(other.class_failures for other in route.endpoints.values())
        route.failure_score += (1.0 - route.failure_score) * (SICK + 0.05 if alone or shut else BLAME)
        if route.failure_score > SICK and route.endpoints:
            route.next_trial_at = route.next_trial_at if route.ejected else now
            route.ejected, route.failure_score = True, min(route.failure_score, 0.7)
        if shut:  # the first calls after it are spread over what it can take cold
            gap = 1000 / self._pace(route.retry_after_until, route, True)[0]
            route.next_trial_at = route.retry_after_until + gap * self.rng.random()

    def _reported(self, route: RouteState, left: float, limit: float) -> None:
        if limit > 0:
            route.rate_advertised, part = True, limit / self.settings.relay_count
            route.rate, route.fleet_rate = route.rate * limit / route.fleet_rate, limit
            change = 1 + GROWTH * (4 * left - 2)
            # Guards limits that refused calls use up: where a kind reports little left, no call goes unpaced.
            start = min(START, self.unpaced_rates.get(route.kind, START) * change)
            self.unpaced_rates[route.kind] = max(START / self.settings.relay_count, start)
            if change < 1 or route.tokens < 1:
                route.rate = min(limit, max(route.rate * change, part / 3))

    def _learn(self, now: float, event: GossipReceived, actions: list[Action]) -> None:
        """Guards partners from relays that start anew: cautions where no own evidence is, as that wins."""
        for kind, part in event.connection_limited:
            self.connection_limited.setdefault(kind, part)
        for fact in event.facts:
            route = self.routing_table.open(now, fact.destination).get(fact.route)
            if route is None:
                continue
            if fact.retry_after_ms > 0:
                self._told(now, route, fact.destination, now + fact.retry_after_ms, actions)
            if fact.answers and not route.answers:
                route.latency_mean, route.latency_deviation, route.answers = (
                    fact.latency_mean_ms,
                    fact.latency_deviation_ms,
                    fact.answers,
                )
            if (
                0 < fact.rate < route.rate and route.last_success_at == NEVER and not route.throttle_ms
            ):  # a limit others met
                route.rate, route.throttled_until = fact.rate, now + HOLD_MS * self.rng.uniform(0.5, 1.5)
            if route.last_success_at > NEVER or route.failed_at > NEVER and not route.from_gossip:
                continue
            if fact.outage_age_ms is not None:
                if not route.ejected:  # a turn by chance, as many may learn it at once
                    route.outage_since, route.notified_relays = now - fact.outage_age_ms, fact.aware_relays
                    route.next_trial_at = now + 1000 / self._pace(now, route, True)[0] * self.rng.random()
                # Half a failure's evidence: unsafe messages wait half as long, and one answer clears it.
                route.ejected, route.from_gossip, route.failed_at = True, True, now - FADE_MS / 2
                route.failure_score = SICK + 0.05
            elif fact.slow_start_age_ms is not None and fact.slow_start_age_ms < self.settings.safety.slow_start_ms:
                route.notified_relays = fact.aware_relays
                self._cold(now, route)
                route.slow_start_since, route.from_gossip, route.failure_score = now - fact.slow_start_age_ms, True, 0.0

    # -- pace, health and return -------------------------------------------------------------------------

    def _gauge(self, now: float, route: RouteState) -> None:
        """Stands in for a rate that nobody tells: own answers of late (as prior those of a usual destination)
        times the relays. Over all relays that adds up to what it was seen to do, however uneven they are.
        Guards the cold budget; it stays as it was while the destination is out or cold."""
        if now >= route.slow_start_since + self.settings.safety.slow_start_ms:
            usual = max(1.0, self.answer_counter.count(now, FADE_MS)) / max(
                1, self.routing_table.index.destination_count
            )
            seen = (route.answer_counter.count(now, FADE_MS) + 1) / (1 + 1 / usual)
            route.fleet_rate = self.settings.relay_count * seen * 1000 / FADE_MS

    def _knowers(self, now: float, route: RouteState) -> float:
        """How many relays may have met the outage: no more than there are, nor than calls it failed."""
        since = now if route.outage_since is None else route.outage_since
        since = max(min(since, route.last_success_at), since - FADE_MS)  # it may have begun at the last answer
        most = max(
            float(self.settings.relay_count), route.notified_relays
        )  # others may know of more relays than the settings do
        return min(most, 1 + MET * route.fleet_rate * (now - since) / 1000 + route.notified_relays)

    def _pace(self, now: float, route: RouteState, out: bool) -> tuple[float, float]:
        """Calls a second and in one go: the learned pace; for a destination that is out or cold, this relay's
        part of what it can take cold, so that all relays that know of the outage stay within the budget."""
        safety, total = (
            self.settings.safety,
            route.fleet_rate / (ROUGH if self.settings.rate_trust is RateTrust.ROUGH else 1.0),
        )
        cold = max(safety.overload_multiple * safety.slow_start_fraction, 0.01) * total
        # Failed, or refused (again, where a rate is told), and no answer for long: it may be back any moment.
        bad = route.outage_since is not None and now - route.outage_since > SHUT_MS
        if (
            out
            or bad
            and (route.failed_at > route.last_success_at or route.throttle_ms > HOLD_MS * route.rate_advertised)
        ):
            return cold / self._knowers(now, route), 1.0
        start = self.unpaced_rates.get(route.kind, START)  # rare calls fit a limit unpaced, unless many are refused
        pace = max(route.rate, start) if now > route.throttled_until else route.rate
        if now < route.slow_start_since + safety.slow_start_ms:
            warmth = (1 - safety.slow_start_fraction) * (now - route.slow_start_since) / safety.slow_start_ms
            return min(pace, cold * (1 + warmth / max(safety.slow_start_fraction, 0.01)) / route.aware_relays), 1.0
        return pace, max(1.0, BURST * start / START, pace * BURST_S)

    def _room_at(self, now: float, route: RouteState, out: bool) -> tuple[float, float]:
        """When this lane takes another call, and when it takes one that overdraws its pace."""
        pace, burst = self._pace(now, route, out)
        if (
            route.initial_tokens < 1 and self.unpaced_rates.get(route.kind, START) < START / 2
        ):  # the first call takes turns too
            route.tokens, route.initial_tokens, route.tokens_at = min(route.tokens, route.initial_tokens), 1.0, now
        route.tokens, route.tokens_at = min(burst, route.tokens + pace * (now - route.tokens_at) / 1000), now
        if out:
            if now > route.next_trial_at + 2 * LOOK_MS:  # turns are not saved up while slots are busy
                route.next_trial_at = now + 1000 / pace * self.rng.random()
            return route.next_trial_at, route.next_trial_at
        at = now + max(0.0, 1 - route.tokens) / pace * 1000
        return at, at if burst == 1.0 else at - BURST / pace * 1000

    # -- slots and choice --------------------------------------------------------------------------------

    def _door(self, now: float, pending: PendingMessage, route: RouteState) -> EndpointState | None:
        """The endpoint to use: none of late failures (of this class above all), little busy, warm, with
        connections left where they are short, cheap. Alike ones by chance: else all relays use the same."""
        short = self.connection_scarcity[route.kind].is_scarce

        def rank(endpoint: EndpointState) -> tuple[float, float, float]:
            zone = endpoint.info.zone
            fee = self.settings.route_fees[zone] if zone < len(self.settings.route_fees) else 0.0
            fee += self.settings.cross_zone_price * (zone != self.settings.zone)
            endpoint.idle_connections = [
                at for at in endpoint.idle_connections if now - at < self.settings.idle_timeout_ms * KEPT
            ]
            recent = [class_ for class_, at in endpoint.class_failures.items() if now - at < FADE_MS]
            load = endpoint.in_flight + 8.0 * (pending.message.class_index in recent) + 2.0 * len(recent)
            load += 2.0 * (short and now - endpoint.rejected_at < HOLD_MS)
            return load + 0.9 * (not endpoint.idle_connections) + 1.5 * (fee > 0), fee, endpoint.tie_breaker

        able = [endpoint for endpoint in route.endpoints.values() if self._may_send(now, pending, endpoint)]
        return min(able, key=rank) if able else None

    def _dispatch(self, now: float, actions: list[Action]) -> None:
        """Sends what has most worth per slot time while there are slots; reads only queues that are due."""
        picks: dict[int, tuple[float, PendingMessage, EndpointState]] = {}
        due = self.queues.due_destinations(now) if self.in_flight < self.settings.max_in_flight else []
        while self.in_flight < self.settings.max_in_flight:
            found = {
                destination: self._pick(now, destination) for destination in due if destination in self.queues.queues
            }
            picks.update({destination: choice for destination, choice in found.items() if choice is not None})
            if not picks:
                return
            destination = max(picks, key=lambda d: picks[d][0])
            _, pending, endpoint = picks.pop(destination)
            self._send(now, pending, endpoint, actions)
            due = [destination]

    def _crawls(self, now: float, route: RouteState) -> bool:
        return (
            max(route.mean_call_ms, now - route.calls[0].started_at if route.calls else 0.0) * self.mean_inverse_latency
            > CRAWL
        )

    def _yields(self, now: float, route: RouteState) -> bool:
        """Slots weighed by time: of the last quarter, those that crawl hold an eighth of all at most.
        Guards quick ones, however many crawl."""
        scarce = (
            self.routing_table.index.destination_count > 1
            and self.settings.max_in_flight - self.in_flight <= self.settings.max_in_flight // 4
        )
        if not scarce or not self._crawls(now, route):
            return False
        routes = [other for routes in self.routes.values() for other in routes.values() if other.calls]
        return sum(len(other.calls) for other in routes if self._crawls(now, other)) >= max(
            1, self.settings.max_in_flight // 8
        )

    def _pick(self, now: float, destination: int) -> tuple[float, PendingMessage, EndpointState] | None:
        """The message of this queue with most worth still to win per slot time, if any may be sent at all."""
        best: tuple[float, PendingMessage, EndpointState] | None = None
        look = now + LOOK_MS
        for route in self.routes.get(destination, {}).values():
            out = is_suspected(route, now)
            cap = max(1, self.settings.max_in_flight // (4 if out else 2))
            if len(route.calls) >= cap and (out or len(self.queues.queues) > 1) or self._yields(now, route):
                continue
            room_at, overdraw_at = self._room_at(now, route, out)
            # Slot time for one delivery, failed calls counted: scarce slots go to destinations that answer.
            cost = route.latency_mean + route.failure_score * (
                route.latency_mean + DEVIATIONS * route.latency_deviation
            ) / (1 - route.failure_score)
            barred = (out or route.failure_score > TRUSTED) and not route.last_failure_had_no_effect
            for pending in self.queues.queues[destination].values():
                # The pace is a guess: overdrawn for a client that won't wait, or a message its key waits for.
                hurried = (
                    pending.deadline < pending.submitted_at + pending.message_class.latency_objective_ms
                    or self.queues.blocks_successor(pending)
                )
                at = max(
                    pending.not_before,
                    route.retry_after_until,
                    overdraw_at if hurried else room_at,
                    self._turn(pending),
                )
                if barred and pending.message_class.effect is Effect.NON_IDEMPOTENT:
                    at = max(at, route.failed_at + FADE_MS)  # an unclear outcome would be final
                if at > now:
                    look = min(look, at)
                    continue
                value = urgency(pending, now + route.latency_mean, self.settings.value_decay) / cost
                if best is None or value > best[0]:
                    endpoint = self._door(now, pending, route)
                    best = best if endpoint is None else (value, pending, endpoint)
        self.queues.schedule(destination, look if best is None else 0.0)
        return best

    def _send(self, now: float, pending: PendingMessage, endpoint: EndpointState, actions: list[Action]) -> None:
        # Given up before the message's time is up: an answer that crosses that moment may count or not, and
        # an end that is owed would come late.
        route, until = endpoint.route, pending.deadline - MARGIN_MS
        # Guards quick destinations: a stall of some ms is no outcome. No sooner than another try could begin.
        patience = max(RETRY_MS, route.latency_mean + DEVIATIONS * route.latency_deviation) * route.timeout_multiplier
        last = (
            pending.attempts + 1 >= self.settings.max_attempts or pending.message_class.effect is Effect.NON_IDEMPOTENT
        )
        if pending.message_class.effect is Effect.DEDUPLICATED:
            risk = pending.first_unclear_at if pending.first_unclear_at is not None else now
            last = (
                last
                or now + patience + RETRY_MS * 2**pending.attempts
                > risk + pending.message_class.deduplication_window_ms
            )
        if last or now + 2 * patience < pending.deadline:
            until = min(until, now + patience * (LAST if last else 1.0))
        # Guards messages that may not be repeated against a reset that leaves open whether they ran: where
        # closed connections were met, the last byte waits until one would have shown itself.
        hold = (
            SUDDEN * route.latency_mean
            if pending.message_class.effect is Effect.NON_IDEMPOTENT and self.stale_connection_ratio > STALE
            else 0.0
        )
        if endpoint.idle_connections:
            endpoint.idle_connections.pop()
        messages = [pending]
        if is_suspected(route, now):  # the next call there: spread, and rarer the longer it lasts
            route.next_trial_at = now + 1000 / self._pace(now, route, True)[0] * self.rng.uniform(0.7, 1.3)
        elif route.max_batch > 1:  # one call, slot and place in the limit for a clump or backlog
            trusted = route.failure_score <= TRUSTED or route.last_failure_had_no_effect
            queue = self.queues.queues[pending.message.destination].values()
            messages += [
                other
                for other in queue
                if other is not pending
                and self._may_send(now, other, endpoint)
                and (trusted or other.message_class.effect is not Effect.NON_IDEMPOTENT)
            ][: route.max_batch - 1]
        call = InFlightCall(endpoint, now, messages, len(messages))
        route.calls.append(call)
        endpoint.in_flight += 1
        route.tokens -= 1
        self.in_flight += 1
        for rider in messages:
            self.queues.dequeue(rider)
            rider.call, rider.sent_at, rider.attempts = call, now, rider.attempts + 1
            end = min(until, rider.deadline - MARGIN_MS)
            actions.append(Send(rider.message.id, endpoint.info.id, end, hold, self._begin_by(rider)))
