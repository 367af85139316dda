"""Calls to endpoints in the platform's words. What an end proves is asked of `decisions/evidence`."""

from __future__ import annotations

import json
import math
from collections.abc import Callable

from ..codec import http1
from ..engine.attempt_outcome import AttemptObservation, AttemptVerdict, judge_endpoint_attempt
from ..engine.engine import KEPT
from ..engine.resource_limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, ResourceLimits
from ..net import client
from .config import RelaySettings
from .directory import EndpointAddress

AttemptCallback = Callable[[AttemptVerdict, tuple[float, ...], bool], None]  # the last: its connection was a kept one


def parse_retry_after_ms(headers: http1.Headers) -> float | None:
    """Retry-After of an endpoint: seconds, whole or decimal."""
    try:
        value = float(headers.get("retry-after")) * 1000
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def parse_load_report(headers: http1.Headers, names: tuple[str, ...]) -> tuple[float, ...]:
    """The load report in the order of the settings; empty if there is none that can be read."""
    text = headers.get("x-backend-load") if names else ""
    try:
        told = json.loads(text) if text else {}
        values = tuple(float(told[name]) for name in names)
    except (ValueError, KeyError, TypeError):
        return ()
    return values if all(map(math.isfinite, values)) else ()


class EndpointClient:
    def __init__(self, settings: RelaySettings, bounds: ResourceLimits) -> None:
        module = settings.engine_settings
        self.load_report_fields = settings.load_report_fields
        idle_s = module.idle_timeout_ms * KEPT / 1000 if module.idle_timeout_ms else 5.0  # the module counts on no more
        self.pool = client.Pool(
            module.connect_timeout_ms / 1000 or 1.5,
            idle_s,
            http1.Limits(body=MAX_BODY_BYTES, head=MAX_HEAD_BYTES),
            eager=True,
            most_idle=bounds.max_idle_connections,
        )

    def send(
        self,
        place: EndpointAddress,
        fields: list[tuple[str, str]],
        body: bytes,
        left_ms: float,
        hold_ms: float,
        begin_ms: float,
        due_ms: float,
        done: AttemptCallback,
    ) -> client.Call:
        """Begins one attempt that is given up after `left_ms`, its last byte held back for `hold_ms` and not
        written after `begin_ms` from now; `done` is called once, and not from within. The message's time is up in
        `due_ms`."""
        headers = [("Host", f"{place.host}:{place.port}"), ("X-Time-Left", f"{max(1, int(left_ms))}m"), *fields]
        now = self.pool.loop.time()
        until, due = now + max(0.0, left_ms) / 1000, now + due_ms / 1000

        def ended(answer: client.Answer) -> None:
            head = answer.head
            seen = AttemptObservation(
                answer.sight,
                head.status if head else 0,
                parse_retry_after_ms(head.headers) if head else None,
                request_complete=answer.whole,
                after_deadline=self.pool.loop.time() >= due,
            )
            no_slot = head is not None and head.headers.get("slots-taken") == "1"
            done(
                judge_endpoint_attempt(seen, answer.claimed, no_slot),
                parse_load_report(head.headers, self.load_report_fields) if head else (),
                answer.reused,
            )

        return self.pool.call(
            (place.host, place.port, place.id),
            "POST",
            http1.request_parts("POST", "/events", headers, body),
            ended,
            until,
            hold_s=hold_ms / 1000,
            begin_by=now + begin_ms / 1000,
        )

    def close_idle(self, place: EndpointAddress) -> None:
        self.pool.close_idle((place.host, place.port, place.id))

    def close(self) -> None:
        self.pool.close()
