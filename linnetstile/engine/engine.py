"""The decision engine of a relay: passes events to the modules that decide, and collects their actions.

Each kind of decision has its own module; this one connects them. The engine does no I/O and reads no clock: the host
passes the current time and its events to `handle`, and carries out the actions that `handle` returns. All times are in
ms on the host's clock.
"""

from __future__ import annotations

import random

from . import latency
from .actions import Action, SetTimer, WatchEndpoints
from .admission import AdmissionController
from .connection_policy import ConnectionPolicy
from .destinations import RoutingTable
from .endpoint_index import EndpointIndex
from .events import (
    AttemptEnded,
    ClientCancelled,
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
from .gossip_import import GossipImporter
from .latency import FleetLatency
from .list_polling import ListPoller
from .message_queues import MessageQueues
from .outlier_detection import OutlierDetector
from .pending_message import PendingMessage
from .rate_limiter import LoadReport, RateLimiter
from .recovery_throttle import tokens_after_recovery
from .retry_policy import RetryPolicy
from .route_factory import RouteFactory
from .route_state import EndpointState, RouteState
from .scheduler import Scheduler
from .settings import Settings

# Outcomes that say nothing about the health of the destination.
UNINFORMATIVE_OUTCOMES = (Outcome.NOT_SENT, Outcome.CANCELLED)


class DeliveryEngine:
    """Decides what one relay does: turns the events that `handle` gets into actions for the host.

    Attributes:
        settings: Configuration of the relay.
        queues: All pending messages.
        routing_table: All destinations, their routes and endpoints.
        connections: Detects stale and scarce connections to endpoints, and closes idle ones.
        scheduler: Assigns the slots for calls in flight.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.restart()

    def restart(self) -> None:
        """Discard all state but the random number generator, as a new process has none.

        For a host in which a turn raised an unexpected exception: the state may be half changed. The host passes the
        endpoints and its messages again, the latter as `MessageRecovered`.
        """
        settings = self.settings
        self.queues = MessageQueues()
        self.fleet_latency = FleetLatency()
        self.connections = ConnectionPolicy()
        index = EndpointIndex()
        self.rate_limiter = RateLimiter(settings, self.rng, index)
        self.route_factory = RouteFactory(
            settings, self.rng, queues=self.queues, rate_limiter=self.rate_limiter, fleet_latency=self.fleet_latency
        )
        self.routing_table = RoutingTable(
            settings, index, queued_destinations=self.queues.queues, factory=self.route_factory
        )
        self.retry_policy = RetryPolicy(
            settings,
            self.rng,
            queues=self.queues,
            routes=self.routes,
            endpoints=self.endpoints,
            fleet_latency=self.fleet_latency,
        )
        self.outliers = OutlierDetector(settings, self.rng, self.rate_limiter)
        self.admission = AdmissionController(
            settings,
            self.rng,
            queues=self.queues,
            routes=self.routes,
            retry_policy=self.retry_policy,
            rate_limiter=self.rate_limiter,
        )
        self.scheduler = self._create_scheduler()
        self.gossip_importer = self._create_gossip_importer()
        self.list_poller = ListPoller(settings, self.rng)
        self._timer_due_at = 0.0

    def _create_scheduler(self) -> Scheduler:
        return Scheduler(
            self.settings,
            queues=self.queues,
            routing_table=self.routing_table,
            fleet_latency=self.fleet_latency,
            retry_policy=self.retry_policy,
            rate_limiter=self.rate_limiter,
            outliers=self.outliers,
            connections=self.connections,
        )

    def _create_gossip_importer(self) -> GossipImporter:
        return GossipImporter(
            self.settings,
            routing_table=self.routing_table,
            retry_policy=self.retry_policy,
            rate_limiter=self.rate_limiter,
            outliers=self.outliers,
            connections=self.connections,
        )

    @property
    def routes(self) -> dict[int, dict[int, RouteState]]:
        """Destination in use -> its routes by id."""
        return self.routing_table.routes

    @property
    def endpoints(self) -> dict[int, EndpointState]:
        """The endpoints in use by id."""
        return self.routing_table.endpoints

    @property
    def in_flight(self) -> int:
        """Calls in flight."""
        return self.scheduler.in_flight

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process events, and return the actions that follow.

        Args:
            now_ms: Time on the host's clock, in ms; must not decrease from call to call.
            events: The events since the last call, in order; may be empty.

        Returns:
            The actions to carry out, in order.
        """
        actions: list[Action] = []
        self._handle_events(now_ms, events, actions)
        if self.list_poller.is_due(now_ms):
            actions.append(WatchEndpoints())
        self.admission.expire(now_ms, actions)
        self.scheduler.dispatch(now_ms, actions)
        self.connections.close_marked_idle(actions)
        self.admission.shed_load(now_ms, actions)
        self.routing_table.evict_idle(now_ms, len(events))
        self._set_timer(now_ms, actions)
        return actions

    def _handle_events(self, now: float, events: list[Event], actions: list[Action]) -> None:
        for event in events:
            match event:
                case Message():
                    self._accept(now, event)
                case AttemptEnded():
                    self._end_attempt(now, event, actions)
                case TimerFired():
                    self._timer_due_at = 0.0
                case EndpointList():
                    self._apply_list(now, event, actions)
                case ClientCancelled():
                    self._cancel(event.id)
                case MessageRecovered():
                    self._recover(now, event)
                case ShutdownStarted():
                    self.retry_policy.shutdown_at = now + event.remaining_ms
                case GossipReceived():
                    self.gossip_importer.apply(now, event, actions)
                case GossipSent():
                    self.gossip_importer.record_sent(now, event)

    def _set_timer(self, now: float, actions: list[Action]) -> None:
        """Set a timer for the next due time, unless a timer is already set for the same time or earlier."""
        candidates = (
            self.queues.next_due_at(now),
            self.queues.next_expiry_at(),
            self.list_poller.next_poll_at,
        )
        wake_at = min((at for at in candidates if at is not None), default=None)
        if wake_at is None:
            return
        if self._timer_due_at <= now or wake_at < self._timer_due_at:
            self._timer_due_at = max(wake_at, now + self.settings.tick_ms)
            actions.append(SetTimer(self._timer_due_at - now, 0))

    # -- endpoint lists ----------------------------------------------------------------------------------

    def _apply_list(self, now: float, event: EndpointList, actions: list[Action]) -> None:
        if event.kind is ListKind.FAILED:
            self.list_poller.poll_failed(now)
            return
        if event.kind is not ListKind.CACHED:
            self.list_poller.list_received()
        self.route_factory.record_first_list(now)
        dropped = self.routing_table.apply_list(now, event)
        self.retry_policy.cancel_unsent(actions, dropped)

    # -- message lifecycle -------------------------------------------------------------------------------

    def _accept(self, now: float, message: Message) -> None:
        message_class = self.settings.classes[message.class_index]
        deadline = now + message.remaining_ms
        # If clients mark retries, an unmarked message is new even if little of its time is left.
        may_be_retry = message.is_retry or message.from_dead_relay or not self.settings.clients_mark_retries
        pending = PendingMessage(
            message=message,
            message_class=message_class,
            submitted_at=deadline - message_class.deadline_ms if may_be_retry else now,
            deadline=deadline,
            priority_weight=message_class.priority_weight * self.admission.charge_tenant(now, message),
            not_before=now,
            accepted_at=now,
        )
        self._add(now, pending)

    def _recover(self, now: float, event: MessageRecovered) -> None:
        """Resume a message that an earlier process accepted, as if there had been no restart.

        If a call was in flight at the restart, its outcome is unclear; `RetryPolicy` decides whether to send again.
        """
        message_class = self.settings.classes[event.message.class_index]
        pending = PendingMessage(
            message=event.message,
            message_class=message_class,
            submitted_at=now - event.age_ms,
            deadline=now + event.message.remaining_ms,
            priority_weight=message_class.priority_weight,
            not_before=now,
            accepted_at=now - event.age_ms,
            attempts=event.attempts,
            unclear_endpoint=event.unclear_endpoint,
            recovered_without_attempt=not event.attempts,
        )
        if event.unclear_age_ms is not None:
            pending.first_unclear_at = now - event.unclear_age_ms
        if event.attempts:
            pending.not_before = now + self.retry_policy.recovery_delay_ms()
        for route in self._add(now, pending).values():
            rate = route.rate
            rate.tokens = tokens_after_recovery(rate.tokens, rate.initial_tokens, event.attempts, event.age_ms)

    def _add(self, now: float, pending: PendingMessage) -> dict[int, RouteState]:
        """Add a message, bring its destination into use, and return the routes of that destination."""
        routes = self.routing_table.open(now, pending.message.destination)
        self.queues.add(pending)
        self._enqueue(pending)
        return routes

    def _enqueue(self, pending: PendingMessage) -> None:
        pending.latest_send_at = self.retry_policy.latest_send_at(pending)
        self.queues.enqueue(pending)

    def _cancel(self, message_id: int) -> None:
        pending = self.queues.messages.get(message_id)
        if pending is None:
            return
        pending.cancelled = True  # a message in flight is removed when its outcome arrives
        if pending.call is None:
            self.queues.remove(pending)

    # -- outcomes ----------------------------------------------------------------------------------------

    def _end_attempt(self, now: float, event: AttemptEnded, actions: list[Action]) -> None:
        pending = self.queues.messages.get(event.id)
        if pending is None or pending.call is None:
            return
        call = pending.call
        endpoint = call.endpoint
        route = endpoint.route
        pending.call = None
        is_evidence = call.resolve_one()
        if call.unresolved == 0:
            self.scheduler.release(now, call)
        self.queues.schedule(pending.message.destination)
        if is_evidence and not route.rate.is_advertised and route.health.outage_since is None:
            self.rate_limiter.estimate_fleet_rate(now, route)
        self.retry_policy.record_attempt(now, pending, endpoint, event.outcome)
        endpoint.record_connection(now, event.outcome)
        self.retry_policy.back_off(now, pending)
        if event.retry_after_ms > 0:  # applies to every outcome of a call, not only to the first
            until = pending.not_before + event.retry_after_ms
            self.retry_policy.apply_retry_after(now, route, pending.message.destination, until, actions)
        self._record_evidence(now, endpoint, pending, event, is_evidence)
        self.connections.mark_idle_for_closing(endpoint)
        self._record_load_report(route, event)
        if event.is_final or pending.cancelled:
            self.queues.remove(pending)
        else:
            self._enqueue(pending)

    def _record_evidence(
        self, now: float, endpoint: EndpointState, pending: PendingMessage, event: AttemptEnded, is_evidence: bool
    ) -> None:
        """Update the health of a route and its connection statistics with an outcome."""
        route = endpoint.route
        used_stale_connection = self.connections.record_reuse(route, event)
        rejected_for_scarcity = self.connections.is_scarcity_rejection(now, route, event)
        if not is_evidence:
            return
        if event.outcome is Outcome.OK:
            self._record_success(now, endpoint, pending, event.latency_ms)
        elif event.outcome not in UNINFORMATIVE_OUTCOMES and not (used_stale_connection or rejected_for_scarcity):
            self.outliers.record_failure(now, endpoint, pending, event)
        was_answered = bool(endpoint.idle_connections)
        if was_answered:
            self.connections.record_answer(now, endpoint, event)

    def _record_success(self, now: float, endpoint: EndpointState, pending: PendingMessage, latency_ms: float) -> None:
        route = endpoint.route
        self.rate_limiter.record_answer(now, route)
        self.fleet_latency.record_answer(latency_ms, self.settings.tick_ms)
        latency.record_answer(route.latency, latency_ms)
        route.rate.relax_throttle()
        self.outliers.record_success(now, route)
        self.connections.record_success(now, route)
        endpoint.class_failures.pop(pending.message.class_index, None)
        self.outliers.end_outage(now, route)
        self.rate_limiter.raise_rate(now, route.rate)

    def _record_load_report(self, route: RouteState, event: AttemptEnded) -> None:
        fields = self.settings.load_report_fields
        if fields is None or len(event.load_report) <= max(fields):
            return
        remaining_index, limit_index = fields  # by position, as the setting may be a plain tuple
        report = LoadReport(event.load_report[remaining_index], event.load_report[limit_index])
        self.rate_limiter.record_load_report(route, report)
