"""HTTP calls to endpoints in the platform's protocol. `engine/attempt_outcome.py` decides what their results prove."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass

from ..codec import http1
from ..engine.attempt_outcome import AttemptObservation, AttemptVerdict, WireResult, judge_endpoint_attempt
from ..engine.connection_policy import IDLE_REUSE_FRACTION
from ..engine.resource_limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, ResourceLimits
from ..net import client
from ..net.fault_boundary import FaultBoundary
from .config import RelaySettings
from .endpoint_record import EndpointAddress

ENDPOINT_PATH = "/events"

# Connection timeouts that apply if the settings specify none.
DEFAULT_CONNECT_TIMEOUT_S = 1.5
DEFAULT_IDLE_TIMEOUT_S = 5.0


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        verdict: What the attempt proves.
        load_report: The endpoint's load report, in the order of the configured fields; empty without one.
        connection_reused: Whether the connection had carried a call before.
    """

    verdict: AttemptVerdict
    load_report: tuple[float, ...]
    connection_reused: bool


AttemptCallback = Callable[[AttemptResult], None]


def parse_retry_after_ms(headers: http1.Headers) -> float | None:
    """Return an endpoint's Retry-After in ms; None if it is absent or not a number of seconds."""
    try:
        value_ms = float(headers.get("retry-after")) * 1000
    except ValueError:
        return None
    return value_ms if math.isfinite(value_ms) else None


def parse_load_report(headers: http1.Headers, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a load report in the order of `names`; empty without a valid report.

    It raises nothing, whatever the endpoint sends: the answer that carries the report still ends its attempt.
    """
    text = headers.get("x-backend-load") if names else ""
    try:
        report = json.loads(text) if text else {}
        values = tuple(float(report[name]) for name in names)
    except (ValueError, KeyError, TypeError, RecursionError, OverflowError):  # nested too deeply; beyond any float
        return ()
    return values if all(map(math.isfinite, values)) else ()


def _pool_address(address: EndpointAddress) -> client.IdentifiedAddress:
    """Return the key of an endpoint's connections in the pool.

    It includes the endpoint's id, so that another endpoint at the same address shares no connection with it.
    """
    return client.IdentifiedAddress(address.host, address.port, address.id)


class EndpointClient:
    """Sends attempts to endpoints on pooled connections.

    Attributes:
        load_report_fields: Names of the fields of a load report that the engine reads.
        pool: The connections.
    """

    def __init__(self, settings: RelaySettings, limits: ResourceLimits) -> None:
        engine_settings = settings.engine_settings
        idle_ms = engine_settings.idle_timeout_ms
        self.load_report_fields = settings.load_report_fields
        self.pool = client.ConnectionPool(
            connect_timeout_s=engine_settings.connect_timeout_ms / 1000 or DEFAULT_CONNECT_TIMEOUT_S,
            # The engine assumes that no connection is reused after this idle time.
            idle_timeout_s=idle_ms * IDLE_REUSE_FRACTION / 1000 if idle_ms else DEFAULT_IDLE_TIMEOUT_S,
            limits=http1.Limits(max_body_bytes=MAX_BODY_BYTES, max_head_bytes=MAX_HEAD_BYTES),
            finish_at_status_line=True,
            max_idle=limits.max_idle_connections,
            keeps_bodies=False,
        )

    def send(
        self,
        address: EndpointAddress,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        timeout_ms: float,
        last_byte_delay_ms: float,
        send_within_ms: float,
        remaining_ms: float,
        on_ended: AttemptCallback,
    ) -> client.Call:
        """Start one attempt.

        Args:
            address: The endpoint.
            headers: Header fields of the request besides Host and X-Time-Left.
            body: Body of the message.
            timeout_ms: Time until the attempt times out, which the endpoint receives in X-Time-Left.
            last_byte_delay_ms: How long the last byte of the request is delayed.
            send_within_ms: Time after which the last byte of the request may no longer be written.
            remaining_ms: Time until the deadline of the message.
            on_ended: Called once with the result, never from within this method.

        Returns:
            The call, which can be cancelled.
        """
        time_left_ms = max(1, int(timeout_ms))
        fields = [("Host", f"{address.host}:{address.port}"), ("X-Time-Left", f"{time_left_ms}m"), *headers]
        now = self.pool.loop.time()
        deadline = now + remaining_ms / 1000

        def on_done(call_result: client.CallResult) -> None:
            after_deadline = self.pool.loop.time() >= deadline
            result = None
            with FaultBoundary("the answer to an attempt"):
                result = self._attempt_result(call_result, after_deadline=after_deadline)
            on_ended(result or self._unreadable_result(call_result))

        return self.pool.call(
            _pool_address(address),
            "POST",
            http1.encode_request_parts("POST", ENDPOINT_PATH, fields, body),
            on_done,
            timeout_at=now + max(0.0, timeout_ms) / 1000,
            last_byte_delay_s=last_byte_delay_ms / 1000,
            send_before=now + send_within_ms / 1000,
        )

    def _attempt_result(self, call_result: client.CallResult, *, after_deadline: bool) -> AttemptResult:
        head = call_result.head
        observation = AttemptObservation(
            wire_result=call_result.wire_result,
            status=head.status if head else 0,
            retry_after_ms=parse_retry_after_ms(head.headers) if head else None,
            request_complete=call_result.request_complete,
            after_deadline=after_deadline,
        )
        slots_exhausted = head is not None and head.headers.get("slots-taken") == "1"
        return AttemptResult(
            verdict=judge_endpoint_attempt(observation, call_result.first_line_status, slots_exhausted),
            load_report=parse_load_report(head.headers, self.load_report_fields) if head else (),
            connection_reused=call_result.reused_connection,
        )

    @staticmethod
    def _unreadable_result(call_result: client.CallResult) -> AttemptResult:
        """Return the result of an attempt whose answer cannot be evaluated: only its status counts."""
        status = call_result.head.status if call_result.head else call_result.first_line_status
        verdict = judge_endpoint_attempt(AttemptObservation(WireResult.MALFORMED), status)
        return AttemptResult(verdict, load_report=(), connection_reused=call_result.reused_connection)

    def close_idle(self, address: EndpointAddress) -> None:
        """Close the idle connections to an endpoint."""
        self.pool.close_idle(_pool_address(address))

    def close(self) -> None:
        """Close all connections."""
        self.pool.close()
