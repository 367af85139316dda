"""Calls to endpoints in the platform's words. What an end proves is asked of `engine/attempt_outcome.py`."""

from __future__ import annotations

import json
import math
from collections.abc import Callable

from ..codec import http1
from ..engine.attempt_outcome import AttemptObservation, AttemptVerdict, judge_endpoint_attempt
from ..engine.connection_policy import IDLE_REUSE_FRACTION
from ..engine.resource_limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, ResourceLimits
from ..net import client
from .config import RelaySettings
from .endpoint_record import EndpointAddress

# Gets the verdict, the load report (empty if none came), and whether the connection had been used before.
AttemptCallback = Callable[[AttemptVerdict, tuple[float, ...], bool], None]

DEFAULT_CONNECT_TIMEOUT_S = 1.5  # where the settings name none
DEFAULT_IDLE_TIMEOUT_S = 5.0


def parse_retry_after_ms(headers: http1.Headers) -> float | None:
    """Return an endpoint's Retry-After, which is in seconds, whole or decimal; None if there is none to be read."""
    try:
        value_ms = float(headers.get("retry-after")) * 1000
    except ValueError:
        return None
    return value_ms if math.isfinite(value_ms) else None


def parse_load_report(headers: http1.Headers, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report in the order of `names`; empty if there is none that can be read."""
    text = headers.get("x-backend-load") if names else ""
    try:
        report = json.loads(text) if text else {}
        values = tuple(float(report[name]) for name in names)
    except (ValueError, KeyError, TypeError):
        return ()
    return values if all(map(math.isfinite, values)) else ()


class EndpointClient:
    """Sends attempts to endpoints on pooled connections."""

    def __init__(self, settings: RelaySettings, limits: ResourceLimits) -> None:
        engine_settings = settings.engine_settings
        idle_ms = engine_settings.idle_timeout_ms
        self.load_report_fields = settings.load_report_fields
        self.pool = client.ConnectionPool(
            engine_settings.connect_timeout_ms / 1000 or DEFAULT_CONNECT_TIMEOUT_S,
            idle_ms * IDLE_REUSE_FRACTION / 1000 if idle_ms else DEFAULT_IDLE_TIMEOUT_S,  # the engine counts on no more
            http1.Limits(max_body_bytes=MAX_BODY_BYTES, max_head_bytes=MAX_HEAD_BYTES),
            finish_at_status_line=True,
            max_idle=limits.max_idle_connections,
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
        """Begin one attempt.

        Args:
            address: Where it goes.
            headers: Fields of the request besides Host and X-Time-Left.
            body: The message's body.
            timeout_ms: The attempt is given up after this time; the endpoint learns the same from X-Time-Left.
            last_byte_delay_ms: How long the request's last byte is held back.
            send_within_ms: The last byte is not written later than this.
            remaining_ms: Time until the message's deadline.
            on_ended: Called once, and not from within.

        Returns:
            The call, by which the attempt can be ended.
        """
        lines = [("Host", f"{address.host}:{address.port}"), ("X-Time-Left", f"{max(1, int(timeout_ms))}m"), *headers]
        now = self.pool.loop.time()
        deadline = now + remaining_ms / 1000

        def answered(answer: client.CallResult) -> None:
            self._judge(answer, self.pool.loop.time() >= deadline, on_ended)

        return self.pool.call(
            client.IdentifiedAddress(address.host, address.port, address.id),
            "POST",
            http1.encode_request_parts("POST", "/events", lines, body),
            answered,
            now + max(0.0, timeout_ms) / 1000,
            last_byte_delay_s=last_byte_delay_ms / 1000,
            send_before=now + send_within_ms / 1000,
        )

    def _judge(self, answer: client.CallResult, after_deadline: bool, on_ended: AttemptCallback) -> None:
        head = answer.head
        observation = AttemptObservation(
            answer.wire_result,
            head.status if head else 0,
            parse_retry_after_ms(head.headers) if head else None,
            request_complete=answer.request_complete,
            after_deadline=after_deadline,
        )
        slots_exhausted = head is not None and head.headers.get("slots-taken") == "1"
        verdict = judge_endpoint_attempt(observation, answer.claimed_status, slots_exhausted)
        load_report = parse_load_report(head.headers, self.load_report_fields) if head else ()
        on_ended(verdict, load_report, answer.reused_connection)

    def close_idle(self, address: EndpointAddress) -> None:
        """Close the idle connections to an endpoint."""
        self.pool.close_idle(client.IdentifiedAddress(address.host, address.port, address.id))

    def close(self) -> None:
        """Close all connections."""
        self.pool.close()
