"""The AS2 relay: builds, starts and stops the components that handle messages; the engine makes all decisions."""

from __future__ import annotations

import asyncio
import secrets

from ..config.relay import RelaySettings, split_address
from ..engine.actions import Action
from ..engine.engine import DeliveryEngine
from ..engine.events import EndpointList, EndpointStatus, Event
from ..net import server
from ..net.engine_loop import EngineLoop
from ..net.periodic_timers import PeriodicTimers
from ..telemetry.log import Logger
from . import assembly
from .action_dispatcher import ActionDispatcher
from .admin import AdminServer
from .answers import AnswerKind, send_answer, text_answer
from .connection_reporter import ConnectionReporter
from .delivery import Delivery
from .gossip_service import GossipService
from .intake import STOPPING_RETRY_AFTER_MS, STOPPING_TEXT, Intake
from .receipt_delivery import ReceiptDelivery
from .receipts import ReceiptIssuer, ReceiptVerifier
from .relay_context import RelayContext
from .self_check import SelfCheck
from .shutdown import DEADLINE_MARGIN_MS, GracefulShutdown
from .submissions import SubmissionHandler
from .tls_keys import TlsKeyStore
from .turn_recovery import TurnRecovery

TLS_RELOAD_INTERVAL_MS = 1000.0
INCARNATION_BYTES = 6


class As2Relay:
    """A relay: `start` starts it, `stop` starts a graceful shutdown, and `stopped` is set when that has ended.

    Attributes:
        settings: Settings of the relay.
        accepted: The messages without a final answer, by their number in the engine.
        counts: Event counters, by the names that the metric `events` uses.
        engine: Makes all decisions about messages.
        engine_loop: Passes events to the engine, and the actions of the engine to this relay.
        listener: The listener for clients, and for partners that send receipts.
        pool: The connections to partners.
        address: Host and port of the listener; empty before `start`.
    """

    def __init__(self, settings: RelaySettings, log: Logger, seed: int | None = None) -> None:
        """Build all components; raises OSError or ValueError if a file that the settings name cannot be used.

        Each component is built after those that it uses.

        Args:
            settings: Settings of the relay.
            log: Logger of the relay.
            seed: Seed of the engine's random choices; None uses the seed of the settings.
        """
        limits = settings.limits
        engine_settings = settings.engine_settings()
        self.settings = settings
        self.address = ""
        self.periodic_timers = PeriodicTimers()
        self.classes = engine_settings.classes
        self.engine = DeliveryEngine(engine_settings, settings.seed if seed is None else seed)
        self.engine_loop = EngineLoop(
            self.engine, self._carry_out, on_turn_failed=lambda plan: self.turn_recovery.recover(plan)
        )
        self.context = RelayContext(log=log, post_event=self.engine_loop.post)
        self.accepted = self.context.accepted
        self.counts = self.context.counts
        self.receipt_verifier = ReceiptVerifier(settings)
        self.receipt_issuer = ReceiptIssuer(settings)
        self.registry = assembly.make_registry_client(settings, self._on_endpoint_list, log)
        reporter = ConnectionReporter(self.counts, log)
        self.pool = assembly.make_partner_pool(limits, reporter)
        self.admission = assembly.make_admission_controller(
            settings, engine_settings.max_pending_messages, log, self._reject_request
        )
        self.tls_keys = TlsKeyStore(settings)
        self.shutdown = self._make_shutdown()
        self.receipt_delivery = self._make_receipt_delivery()
        self.submissions = self._make_submission_handler()
        self.delivery = self._make_delivery()
        self.action_dispatcher = self._make_action_dispatcher()
        self.turn_recovery = TurnRecovery(self.context, self.delivery, self.action_dispatcher, self.registry)
        self.gossip = self._make_gossip_service()
        self.intake = self._make_intake()
        self.listener = assembly.make_listener(limits, self.intake, self.admission, reporter, self.tls_keys)
        self.admin = self._make_admin_server()
        self.self_check = self._make_self_check()

    # -- assembly --------------------------------------------------------------------------------------------

    def _make_shutdown(self) -> GracefulShutdown:
        return GracefulShutdown(
            context=self.context,
            timeout_ms=self._shutdown_timeout_ms(),
            is_idle=self._is_idle,
            has_unsent_answers=self._has_unsent_answers,
        )

    def _make_receipt_delivery(self) -> ReceiptDelivery:
        return ReceiptDelivery(
            context=self.context,
            pool=self.pool,
            issuer=self.receipt_issuer,
            max_in_flight=self.settings.limits.slots,
            on_progress=self.shutdown.check_progress,
        )

    def _make_submission_handler(self) -> SubmissionHandler:
        return SubmissionHandler(
            context=self.context,
            classes=self.classes,
            known=assembly.make_known_submissions(self.settings.limits),
            admission=self.admission,
            registry=self.registry,
            receipt_issuer=self.receipt_issuer,
            receipt_delivery=self.receipt_delivery,
            shutdown=self.shutdown,
        )

    def _make_delivery(self) -> Delivery:
        return Delivery(
            context=self.context,
            settings=self.settings,
            registry=self.registry,
            pool=self.pool,
            tls_keys=self.tls_keys,
            verifier=self.receipt_verifier,
            slow_partners=self.admission.slow_partners,
            complete=self.submissions.complete,
        )

    def _make_action_dispatcher(self) -> ActionDispatcher:
        return ActionDispatcher(
            context=self.context,
            delivery=self.delivery,
            submissions=self.submissions,
            receipt_issuer=self.receipt_issuer,
            registry=self.registry,
        )

    def _make_gossip_service(self) -> GossipService:
        return GossipService(
            settings=self.settings.knowledge,
            engine=self.engine,
            name=self.settings.name,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            partner_numbers=self.registry.partner_numbers,
            post_event=self.engine_loop.post,
            log=self.context.log,
        )

    def _make_intake(self) -> Intake:
        return Intake(
            settings=self.settings,
            classes=self.classes,
            submissions=self.submissions,
            receipt_endpoint=self.delivery.receipt_endpoint,
            gossip=self.gossip,
            registry=self.registry,
            shutdown=self.shutdown,
        )

    def _make_admin_server(self) -> AdminServer | None:
        if not self.settings.admin and not self.settings.metrics:
            return None
        return AdminServer(self, self.settings.admin, self.settings.metrics)

    def _make_self_check(self) -> SelfCheck:
        return SelfCheck(
            accepted=self.accepted,
            admission=self.admission,
            engine=self.engine,
            engine_loop=self.engine_loop,
            listener=self.listener,
            pool=self.pool,
            receipt_endpoint=self.delivery.receipt_endpoint,
            receipt_delivery=self.receipt_delivery,
        )

    # -- life cycle ------------------------------------------------------------------------------------------

    async def start(self) -> str:
        """Start to listen, request the endpoint list, and return the address of the listener."""
        limits = self.settings.limits
        host, port = split_address(self.settings.listen)
        self.address = f"{host}:{await self.listener.start(host, port)}"
        self.delivery.receipt_endpoint.set_address(self.address)
        self.gossip.start(self.address)
        if self.admin:
            await self.admin.start()
        if limits.self_check_ms:
            self.periodic_timers.run_every(limits.self_check_ms, self.verify_invariants)
        if not self.tls_keys.is_empty:
            self.periodic_timers.run_every(TLS_RELOAD_INTERVAL_MS, self._reload_tls_keys)
        self.engine_loop.schedule_turn()
        return self.address

    def stop(self) -> None:
        """Stop accepting messages; end when all accepted ones are answered, at the latest after `stop_ms`."""
        if self.shutdown.has_started:
            return
        self.shutdown.start()
        for request in list(self.admission.waiting):
            self._reject_request(request, STOPPING_TEXT, STOPPING_RETRY_AFTER_MS)
        self.shutdown.check_progress()

    @property
    def is_stopping(self) -> bool:
        """Whether `stop` has been called."""
        return self.shutdown.has_started

    @property
    def stopped(self) -> asyncio.Event:
        """Event that is set when a shutdown has no work left or its time-out has expired."""
        return self.shutdown.completed

    def close(self) -> None:
        """Stop all components and close all connections at once."""
        self.periodic_timers.close()
        self.admission.close()
        if self.admin:
            self.admin.close()
        self.engine_loop.stop()
        self.receipt_delivery.close()
        self.listener.close()
        self.pool.close()
        self.registry.close()
        self.gossip.close()

    def verify_invariants(self) -> None:
        """Assert that every memory reservation, slot, receipt token and connection in use has an owner."""
        self.self_check.run()

    def _reload_tls_keys(self) -> None:
        self.tls_keys.reload(self.counts, self.context.log)

    def _shutdown_timeout_ms(self) -> float:
        """Return the maximum duration of a shutdown; by default until all accepted messages reach their deadlines."""
        if self.settings.limits.stop_ms is not None:
            return self.settings.limits.stop_ms
        return max(message_class.deadline_ms for message_class in self.classes) + DEADLINE_MARGIN_MS

    def _is_idle(self) -> bool:
        return not self.accepted and self.receipt_delivery.is_idle

    def _has_unsent_answers(self) -> bool:
        return any(connection.unsent_bytes for connection in self.listener.connections if not connection.is_closing)

    # -- callbacks of the components -------------------------------------------------------------------------

    def _carry_out(self, events: list[Event], actions: list[Action]) -> None:
        """Carry out the actions that the engine returned for the events since its last turn."""
        self.action_dispatcher.carry_out(actions)
        if any(isinstance(event, EndpointList) and event.endpoints for event in events):
            self.gossip.merge()  # gossip from peers may cover the endpoints that this list adds

    def _on_endpoint_list(self, event: EndpointList) -> None:
        """Pass a list to the engine, and close the idle connections to endpoints that are not ready for requests."""
        self.engine_loop.post(event)
        for endpoint in event.endpoints:
            if endpoint.status is not EndpointStatus.READY:
                self.delivery.close_idle(endpoint.id)

    def _reject_request(self, request: server.RequestContext, text: str, retry_after_ms: float) -> None:
        """Reject a request for whose body no memory can be reserved."""
        self.counts["refused_no_room"] += 1
        answer = text_answer(503, text, AnswerKind.REFUSED, retry_after_ms)
        send_answer(request, answer, self.shutdown.has_started)
