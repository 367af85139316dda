"""Builds the components of a relay and passes to each of them the limits that the settings define for it."""

from __future__ import annotations

from collections.abc import Callable

from ..codec import http1
from ..config.relay import LimitSettings, RelaySettings
from ..engine.events import EndpointList
from ..net import client, server
from ..telemetry.log import Logger
from .admission import AdmissionController, RejectHandler
from .answers import ClientAnswer
from .connection_reporter import ConnectionReporter
from .intake import Intake
from .registry import RegistryClient
from .submissions import KnownSubmissions
from .tls_keys import TlsKeyStore

LISTENER_SWEEP_INTERVAL_S = 0.25


def make_registry_client(
    settings: RelaySettings, on_list: Callable[[EndpointList], None], log: Logger
) -> RegistryClient:
    """Return a client of the partner registry that passes each list to `on_list`."""
    return RegistryClient(
        url=settings.register_url,
        relay_name=settings.name,
        kinds=settings.kinds,
        zones=settings.zones,
        on_list=on_list,
        log=log,
    )


def make_partner_pool(limits: LimitSettings, reporter: ConnectionReporter) -> client.ConnectionPool:
    """Return the pool of connections to partners, which also posts receipts to clients."""
    rates = client.MinimumRates(
        request_rate=limits.request_rate,
        response_rate=limits.response_rate,
        grace_s=limits.stall_ms / 1000,
    )
    return client.ConnectionPool(
        connect_timeout_s=limits.connect_timeout_ms / 1000,
        idle_timeout_s=limits.idle_ms / 1000,
        limits=http1.Limits(max_body_bytes=limits.receipt_bytes),
        rates=rates,
        on_connection_evicted=reporter.on_partner_evicted,
    )


def make_admission_controller(
    settings: RelaySettings, max_messages: int, log: Logger, reject: RejectHandler
) -> AdmissionController:
    """Return the admission controller, with the tenant weights from the settings."""
    return AdmissionController(
        limits=settings.limits,
        max_messages=max_messages,
        tenant_weights={name: tenant.weight for name, tenant in settings.tenants.items()},
        log=log,
        reject=reject,
    )


def make_known_submissions(limits: LimitSettings) -> KnownSubmissions:
    """Return the table of submitted message identifiers and their answers, for deduplication."""
    return KnownSubmissions(
        retention_ms=limits.remember_ms,
        max_answers=limits.remember,
        max_answer_bytes=limits.remember_bytes,
        size=lambda answer: len(answer.body),
        shorten=ClientAnswer.shortened,
    )


def make_listener(
    limits: LimitSettings,
    intake: Intake,
    admission: AdmissionController,
    reporter: ConnectionReporter,
    tls_keys: TlsKeyStore,
) -> server.Server:
    """Return the listener for clients, for other relays, and for partners that send asynchronous receipts."""
    server_limits = server.ServerLimits(
        max_connections=limits.connections,
        head_timeout_s=limits.head_ms / 1000,
        min_body_rate=limits.body_rate,
        min_response_rate=limits.answer_rate,
        rate_grace_s=limits.stall_ms / 1000,
        sweep_interval_s=LISTENER_SWEEP_INTERVAL_S,
    )
    return server.Server(
        handler=intake.on_request,
        on_head=intake.on_head,
        http_limits=http1.Limits(max_body_bytes=limits.body_bytes, max_head_bytes=limits.head_bytes),
        limits=server_limits,
        on_error=reporter.on_protocol_error,
        admit=admission.admit,
        release=admission.request_ended,
        on_connection_evicted=reporter.on_client_evicted,
        tls=tls_keys.listener,
    )
