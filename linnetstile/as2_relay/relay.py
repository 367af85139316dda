"""The AS2 relay: owns the accepted messages and joins the parts that handle them. It decides nothing itself."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable

from ..codec import http1
from ..config.relay import RelaySettings, split_address
from ..engine.actions import (
    Action,
    Cancel,
    CancelIfUnsent,
    CloseIdle,
    Fail,
    Log,
    Reject,
    Send,
    WatchEndpoints,
)
from ..engine.engine import DeliveryEngine
from ..engine.events import EndpointList, EndpointStatus, Event
from ..net import client, server
from ..net.engine_loop import EngineLoop
from ..telemetry import log_events
from ..telemetry.log import Logger
from .accepted_message import AcceptedMessage
from .admin import AdminServer
from .admission import AdmissionController, origin_of
from .answers import AnswerKind, ClientAnswer, send_answer, text_answer
from .delivery import Delivery
from .gossip_service import GossipService
from .intake import STOPPING_RETRY_AFTER_MS, STOPPING_TEXT, Intake
from .receipt_delivery import ReceiptDelivery
from .receipts import ReceiptIssuer, ReceiptVerifier
from .registry import RegistryClient
from .self_check import SelfCheck
from .shutdown import DEADLINE_MARGIN_MS, GracefulShutdown
from .submissions import KnownSubmissions, SubmissionHandler
from .tls_keys import TlsKeyStore

TLS_RELOAD_INTERVAL_MS = 1000.0
LISTENER_SWEEP_S = 0.25
INCARNATION_BYTES = 6


class As2Relay:
    """Start with `start`, stop with `stop`; `stopped` is set once nothing is left to do.

    Attributes:
        settings: Settings of the relay.
        accepted: The messages that have no final answer, by their number in the engine.
        counts: What the relay did, by the names of the metric `events`.
        engine: Decides about messages.
        engine_loop: Passes events to the engine and its actions to this relay.
        listener: The listener for clients, and for partners that send receipts.
        pool: The connections to partners.
        address: Host and port of the listener; empty before `start`.
    """

    def __init__(self, settings: RelaySettings, log: Logger, seed: int | None = None) -> None:
        """Build all parts; raises OSError or ValueError if a file that the settings name cannot be used.

        Args:
            settings: Settings of the relay.
            log: Takes the relay's events.
            seed: Seed of the engine's random choices, if not that of the settings.
        """
        self.settings = settings
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.accepted: dict[int, AcceptedMessage] = {}
        self.counts: Counter[str] = Counter()
        self.address = ""
        self.periodic_timers: list[asyncio.TimerHandle] = []
        engine_settings = settings.engine_settings()
        self.classes = engine_settings.classes
        self.engine = DeliveryEngine(engine_settings, settings.seed if seed is None else seed)
        self.engine_loop = EngineLoop(self.engine, self._carry_out)
        self.receipt_verifier = ReceiptVerifier(settings)
        self.receipt_issuer = ReceiptIssuer(settings)
        self.registry = RegistryClient(
            url=settings.register_url,
            relay_name=settings.name,
            kinds=settings.kinds,
            zones=settings.zones,
            on_list=self._on_endpoint_list,
            log=log,
        )
        self.pool = self._make_pool()
        self.admission = AdmissionController(
            limits=settings.limits,
            max_messages=engine_settings.max_pending_messages,
            tenant_weights={name: tenant.weight for name, tenant in settings.tenants.items()},
            log=log,
            reject=self._reject_request,
        )
        self.tls_keys = TlsKeyStore(settings)
        self.shutdown = GracefulShutdown(
            accepted=self.accepted,
            timeout_ms=self._shutdown_timeout_ms(),
            is_idle=self._is_idle,
            has_unsent_answers=self._has_unsent_answers,
            log=log,
        )
        self.receipt_delivery = ReceiptDelivery(
            pool=self.pool,
            issuer=self.receipt_issuer,
            counts=self.counts,
            log=log,
            max_in_flight=settings.limits.slots,
            on_progress=self.shutdown.check_progress,
        )
        self.submissions = self._make_submission_handler()
        self.delivery = self._make_delivery()
        self.gossip = GossipService(
            settings=settings.knowledge,
            engine=self.engine,
            name=settings.name,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            partner_numbers=self.registry.partners,
            post_event=self.engine_loop.post,
            log=log,
        )
        self.intake = Intake(
            settings=settings,
            classes=self.classes,
            submissions=self.submissions,
            receipt_endpoint=self.delivery.receipt_endpoint,
            gossip=self.gossip,
            registry=self.registry,
            shutdown=self.shutdown,
        )
        self.listener = self._make_listener()
        self.admin: AdminServer | None = None
        if settings.admin or settings.metrics:
            self.admin = AdminServer(self, settings.admin, settings.metrics)
        self.self_check = SelfCheck(
            accepted=self.accepted,
            admission=self.admission,
            engine=self.engine,
            engine_loop=self.engine_loop,
            listener=self.listener,
            pool=self.pool,
            receipt_endpoint=self.delivery.receipt_endpoint,
            receipt_delivery=self.receipt_delivery,
        )

    def _make_pool(self) -> client.ConnectionPool:
        limits = self.settings.limits
        return client.ConnectionPool(
            limits.connect_timeout_ms / 1000,
            limits.idle_ms / 1000,
            http1.Limits(max_body_bytes=limits.receipt_bytes),
            client.MinimumRates(limits.request_rate, limits.response_rate, limits.stall_ms / 1000),
            self._on_partner_evicted,
        )

    def _make_listener(self) -> server.Server:
        limits = self.settings.limits
        return server.Server(
            self.intake.on_request,
            self.intake.on_head,
            http1.Limits(max_body_bytes=limits.body_bytes, max_head_bytes=limits.head_bytes),
            server.ServerLimits(
                limits.connections,
                limits.head_ms / 1000,
                min_body_rate=limits.body_rate,
                min_response_rate=limits.answer_rate,
                rate_grace_s=limits.stall_ms / 1000,
                sweep_interval_s=LISTENER_SWEEP_S,
            ),
            self._on_protocol_error,
            self.admission.admit,
            self.admission.request_ended,
            self._on_client_evicted,
            self.tls_keys.listener,
        )

    def _make_submission_handler(self) -> SubmissionHandler:
        limits = self.settings.limits
        known: KnownSubmissions = KnownSubmissions(
            limits.remember_ms,
            limits.remember,
            limits.remember_bytes,
            lambda answer: len(answer.body),
            ClientAnswer.shortened,
        )
        return SubmissionHandler(
            classes=self.classes,
            known=known,
            accepted=self.accepted,
            admission=self.admission,
            registry=self.registry,
            receipt_issuer=self.receipt_issuer,
            receipt_delivery=self.receipt_delivery,
            shutdown=self.shutdown,
            counts=self.counts,
            log=self.log,
            post_event=self.engine_loop.post,
        )

    def _make_delivery(self) -> Delivery:
        return Delivery(
            settings=self.settings,
            registry=self.registry,
            pool=self.pool,
            tls_keys=self.tls_keys,
            verifier=self.receipt_verifier,
            slow_partners=self.admission.slow_partners,
            counts=self.counts,
            log=self.log,
            post_event=self.engine_loop.post,
            complete=self.submissions.complete,
        )

    # -- life cycle ------------------------------------------------------------------------------------------

    async def start(self) -> str:
        """Listen, ask for the endpoint list, and return the address."""
        host, port = split_address(self.settings.listen)
        self.address = f"{host}:{await self.listener.start(host, port)}"
        self.delivery.receipt_endpoint.set_address(self.address)
        self.gossip.start(self.address)
        if self.admin:
            await self.admin.start()
        if self.settings.limits.self_check_ms:
            self._run_periodically(self.settings.limits.self_check_ms, self.verify_invariants)
        if not self.tls_keys.is_empty:
            self._run_periodically(TLS_RELOAD_INTERVAL_MS, self._reload_tls_keys)
        self.engine_loop.schedule_turn()
        return self.address

    def stop(self) -> None:
        """Accept no more messages; end once all accepted ones have their answer, at the latest after `stop_ms`."""
        if self.shutdown.has_started:
            return
        self.shutdown.start()
        for request in list(self.admission.waiting):
            self._reject_request(request, STOPPING_TEXT, STOPPING_RETRY_AFTER_MS)
        self.shutdown.check_progress()

    @property
    def is_stopping(self) -> bool:
        """Whether `stop` was called."""
        return self.shutdown.has_started

    @property
    def stopped(self) -> asyncio.Event:
        """Set once nothing is left to do, or once the time for that is over."""
        return self.shutdown.completed

    def close(self) -> None:
        """End every connection at once."""
        for timer in self.periodic_timers:
            timer.cancel()
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
        """Assert that no memory, slot, token or connection is held by nobody."""
        self.self_check.run()

    def _run_periodically(self, interval_ms: float, job: Callable[[], None]) -> None:
        slot = len(self.periodic_timers)

        def run() -> None:
            self.periodic_timers[slot] = self.loop.call_later(interval_ms / 1000, run)
            job()

        self.periodic_timers.append(self.loop.call_later(interval_ms / 1000, run))

    def _reload_tls_keys(self) -> None:
        self.tls_keys.reload(self.counts, self.log)

    def _shutdown_timeout_ms(self) -> float:
        """Return how long a shutdown may take: by default until the last accepted message has had its time."""
        if self.settings.limits.stop_ms is not None:
            return self.settings.limits.stop_ms
        return max(message_class.deadline_ms for message_class in self.classes) + DEADLINE_MARGIN_MS

    def _is_idle(self) -> bool:
        return not self.accepted and self.receipt_delivery.is_idle

    def _has_unsent_answers(self) -> bool:
        return any(connection.unsent_bytes for connection in self.listener.connections if not connection.is_closing)

    # -- the engine ------------------------------------------------------------------------------------------

    def _carry_out(self, events: list[Event], actions: list[Action]) -> None:
        """Carry out what the engine decided on all events since its last turn."""
        for action in actions:
            self._act(action)
        if any(isinstance(event, EndpointList) and event.endpoints for event in events):
            self.gossip.merge()  # peers may know of the routes that came with this list

    def _act(self, action: Action) -> None:
        match action:
            case Send():
                self.delivery.send(self.accepted[action.id], action)
            case Reject():
                self._refuse(self.accepted[action.id], action.retry_after_ms)
            case Fail():
                self._fail(self.accepted[action.id])
            case Cancel():
                self.delivery.cancel(self.accepted.get(action.id), action.attempt)
            case CancelIfUnsent():
                self.delivery.cancel_if_unsent(self.accepted.get(action.id))
            case CloseIdle():
                self._close_idle(action.endpoint)
            case WatchEndpoints():
                self.registry.watch()
            case Log():
                self.log.info(log_events.ENGINE_MESSAGE, text=action.text)

    def _refuse(self, message: AcceptedMessage, retry_after_ms: float) -> None:
        text = f"refused: {_explain_end(message)}; nothing was done, it may be handed in again"
        self.submissions.complete(message, text_answer(503, text, AnswerKind.REFUSED, retry_after_ms))

    def _fail(self, message: AcceptedMessage) -> None:
        text = f"failed: {_explain_end(message)}; it may or may not have taken effect"
        self.submissions.complete(message, self.receipt_issuer.failure(message.head, text))

    def _close_idle(self, endpoint_id: int) -> None:
        if endpoint_id in self.registry.endpoints:
            self.pool.close_idle(self.registry.endpoints[endpoint_id].address)

    def _on_endpoint_list(self, event: EndpointList) -> None:
        self.engine_loop.post(event)
        for endpoint in event.endpoints:
            if endpoint.status is not EndpointStatus.READY:
                self._close_idle(endpoint.id)

    # -- clients and partners that are not served ------------------------------------------------------------

    def _reject_request(self, request: server.RequestContext, text: str, retry_after_ms: float) -> None:
        self.counts["refused_no_room"] += 1
        answer = text_answer(503, text, AnswerKind.REFUSED, retry_after_ms)
        send_answer(request, answer, self.shutdown.has_started)

    def _on_protocol_error(self, peer: str, error: http1.Http1Error) -> None:
        self.log.warning(log_events.PROTOCOL_ERROR, peer=peer, status=error.status, why=error.text)

    def _on_client_evicted(self, connection: server.ServerConnection, reason: str) -> None:
        self.counts[f"let_go_{reason}"] += 1
        origin = origin_of(connection.current_request)
        self.log.warning(
            log_events.CONNECTION_EVICTED,
            peer=connection.peer_address(),
            bound=reason,
            phase=connection.phase,
            read=connection.bytes_read,
            message=origin.message_id if origin else "",
            sender=origin.sender if origin else "",
        )

    def _on_partner_evicted(self, connection: client.ClientConnection, reason: str) -> None:
        self.counts[f"partner_let_go_{reason.partition(':')[0]}"] += 1
        self.log.warning(
            log_events.CONNECTION_EVICTED,
            peer=client.format_address(connection.address),
            bound=reason,
            unsent=connection.queued_bytes,
            read=connection.bytes_read,
        )


def _explain_end(message: AcceptedMessage) -> str:
    """Return why a message was not delivered, for people."""
    if not message.attempt_count:
        return "no room, or no way to deliver it in time"
    attempts = f"{message.attempt_count} attempt{'s' * (message.attempt_count > 1)}"
    return f"{attempts}, the last one: {message.last_verdict}"
