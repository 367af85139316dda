"""Carries out the delivery attempts that the engine requests, and reports to it how each of them ended."""

from __future__ import annotations

import email.utils
import time
from collections.abc import Callable

from ..codec import http1
from ..config.relay import RelaySettings
from ..engine.actions import Send
from ..engine.attempt_outcome import AttemptObservation, AttemptVerdict, ReceiptStatus, WireResult, judge_attempt
from ..engine.events import AttemptEnded
from ..engine.slow_partners import SlowPartnerDetector
from ..net import client
from ..net.fault_boundary import FaultBoundary
from ..telemetry import log_events
from .accepted_message import AcceptedMessage, Attempt
from .answers import AnswerKind, ClientAnswer
from .async_receipts import AsyncReceiptEndpoint
from .receipts import ReceiptVerifier, forwarded_receipt
from .registry import EndpointAddress, RegistryClient
from .relay_context import RelayContext
from .tls_keys import TlsKeyStore

# Hop-by-hop fields (RFC 9110, 7.6.1) and fields that the relay sets; all other fields are forwarded unchanged.
NOT_FORWARDED_HEADERS = {
    "host",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "receipt-delivery-option",
    "via",
}
MAX_RETRY_AFTER_DIGITS = 11  # a longer number of seconds is treated as an invalid value


def parse_retry_after(headers: http1.Headers) -> float | None:
    """Return the delay of Retry-After in ms, or None if the field is missing or invalid (RFC 9110, 10.2.3).

    The field has a number of seconds or a date, which is compared with the local clock; a date in the past gives 0.
    """
    text = headers.get("retry-after")
    if text.isascii() and text.isdigit() and len(text) <= MAX_RETRY_AFTER_DIGITS:
        return int(text) * 1000.0
    try:
        return max(0.0, (email.utils.parsedate_to_datetime(text).timestamp() - time.time()) * 1000) if text else None
    except (ValueError, TypeError, OverflowError):
        return None


class Delivery:
    """Sends messages to partners; at most one attempt of a message is in flight."""

    def __init__(
        self,
        context: RelayContext,
        settings: RelaySettings,
        registry: RegistryClient,
        pool: client.ConnectionPool,
        tls_keys: TlsKeyStore,
        verifier: ReceiptVerifier,
        slow_partners: SlowPartnerDetector,
        complete: Callable[[AcceptedMessage, ClientAnswer], None],
    ) -> None:
        """Create a delivery component without attempts in flight.

        Args:
            context: Shared state of the relay's components.
            settings: Settings of the relay.
            registry: Provides the addresses of endpoints.
            pool: Connections to partners.
            tls_keys: Keys for partners that are reached over TLS.
            verifier: Verifies receipts.
            slow_partners: Measures the duration of attempts.
            complete: Called with the final answer of a message.
        """
        self.context = context
        self.name = settings.name
        self.partner_settings = settings.partners
        self.registry = registry
        self.pool = pool
        self.tls_keys = tls_keys
        self.verifier = verifier
        self.slow_partners = slow_partners
        self.complete = complete
        self.receipt_endpoint = AsyncReceiptEndpoint(
            context=context,
            verifier=verifier,
            on_receipt=self.end_attempt,
            max_receipt_bytes=settings.limits.receipt_bytes,
        )

    def send(self, message: AcceptedMessage, action: Send) -> None:
        """Start an attempt."""
        assert message.attempt is None, "expected no attempt in flight, found one; at most one is allowed for a message"
        attempt = Attempt(message.attempt_count, action.endpoint, self.context.now_ms)
        message.attempt_count += 1
        message.attempt = attempt
        self.slow_partners.attempt_started(self.context.now_ms, message.head.receiver, id(attempt))
        address = self.registry.endpoints.get(action.endpoint)
        if address is None:
            self.end_attempt(message, attempt, AttemptObservation(WireResult.NOT_SENT), None)
            return
        self.context.log.debug(
            log_events.ATTEMPT_STARTED,
            message=message.head.message_id,
            attempt=attempt.number,
            endpoint=action.endpoint,
            until_ms=round(action.timeout_at_ms - self.context.now_ms),
        )
        partner = message.head.receiver
        tls = self.tls_keys.tls_parameters_for(partner, address) if address.uses_tls else None
        if address.uses_tls and tls is None:
            self.context.log.error(
                log_events.FAULT, why=f"partners.{partner}.tls is not set, but the registry lists an https URL"
            )
            self.end_attempt(message, attempt, AttemptObservation(WireResult.NO_CONNECTION), None)
            return
        self._send_request(message, attempt, action, address, tls)

    def _send_request(
        self,
        message: AcceptedMessage,
        attempt: Attempt,
        action: Send,
        address: EndpointAddress,
        tls: client.TlsParameters | None,
    ) -> None:
        """Send the request of an attempt."""
        timeout_at_s = action.timeout_at_ms / 1000
        headers = self._request_headers(message, attempt, address)
        data = http1.encode_request_parts("POST", address.target, headers, message.body)
        attempt.call = self.pool.call(
            address.address,
            "POST",
            data,
            lambda answer: self._on_answer(message, attempt, answer),
            timeout_at_s,
            tls,
            send_before=action.send_before_ms / 1000,
        )
        if attempt.receipt_token:
            attempt.receipt_timer = self.context.loop.call_at(timeout_at_s, self._on_receipt_timeout, message, attempt)

    def _request_headers(
        self, message: AcceptedMessage, attempt: Attempt, address: EndpointAddress
    ) -> list[tuple[str, str]]:
        headers = [("Host", address.host), ("Via", f"1.1 {self.name}")]
        dropped = NOT_FORWARDED_HEADERS | set(message.headers.tokens("connection"))
        headers += [(name, value) for name, value in message.headers if name.lower() not in dropped]
        partner = self.partner_settings.get(message.head.receiver)
        if message.head.receipt_to and partner is not None and partner.receipts == "async":
            headers.append(("Receipt-Delivery-Option", self.receipt_endpoint.expect(message, attempt)))
        return headers

    def cancel(self, message: AcceptedMessage | None, attempt_number: int) -> None:
        """Cancel an attempt if it is still in flight."""
        attempt = message.attempt if message is not None else None
        if attempt and attempt.number == attempt_number and attempt.call:
            attempt.call.abort(WireResult.CANCELLED)

    def cancel_if_unsent(self, message: AcceptedMessage | None) -> None:
        """End the attempt in flight unless the partner may have received the complete request."""
        attempt = message.attempt if message is not None else None
        if attempt and attempt.call:
            attempt.call.cancel_if_unsent()

    def close_idle(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint, if it is still listed."""
        endpoint = self.registry.endpoints.get(endpoint_id)
        if endpoint is not None:
            self.pool.close_idle(endpoint.address)

    def _on_answer(self, message: AcceptedMessage, attempt: Attempt, answer: client.CallResult) -> None:
        attempt.call = None
        if message.attempt is not attempt:
            return
        with FaultBoundary("the answer of a partner") as boundary:
            self._judge_answer(message, attempt, answer)
        if boundary.failed and message.attempt is attempt:
            self.end_attempt(message, attempt, AttemptObservation(WireResult.MALFORMED), None)

    def _judge_answer(self, message: AcceptedMessage, attempt: Attempt, answer: client.CallResult) -> None:
        """End an attempt by its answer, unless the receipt is still to come."""
        if answer.head is None:
            self.end_attempt(message, attempt, AttemptObservation(answer.wire_result), None)
            return
        status = answer.head.status
        headers = answer.head.headers
        is_success = 200 <= status < 300
        if is_success and attempt.receipt_token and not answer.body:
            return  # the partner posts the receipt asynchronously (RFC 4130, 7.2.1)
        receipt_status = ReceiptStatus.NOT_REQUESTED
        if is_success:
            receipt_status = self.verifier.verify(message, headers, answer.body)
        observation = AttemptObservation(
            wire_result=WireResult.ANSWERED,
            status=status,
            retry_after_ms=parse_retry_after(headers),
            receipt=receipt_status,
            request_complete=answer.request_complete,
        )
        receipt = forwarded_receipt(status, headers, answer.body, AnswerKind.UNSPECIFIED)
        self.end_attempt(message, attempt, observation, receipt)

    def _on_receipt_timeout(self, message: AcceptedMessage, attempt: Attempt) -> None:
        if message.attempt is attempt:
            self.end_attempt(message, attempt, AttemptObservation(WireResult.TIMED_OUT), None)

    def end_attempt(
        self, message: AcceptedMessage, attempt: Attempt, observation: AttemptObservation, receipt: ClientAnswer | None
    ) -> None:
        """Report the end of an attempt, and complete the message with the receipt if the verdict is final."""
        self._release_attempt(message, attempt, observation.wire_result)
        verdict = judge_attempt(observation)
        message.last_verdict_reason = verdict.reason
        latency_ms = self.context.now_ms - attempt.started_at_ms
        self._record_attempt_end(message, attempt, verdict, latency_ms)
        self.context.post_event(
            AttemptEnded(
                id=message.id,
                attempt=attempt.number,
                endpoint=attempt.endpoint,
                outcome=verdict.outcome,
                latency_ms=latency_ms,
                is_final=verdict.is_final,
                retry_after_ms=verdict.retry_after_ms,
            )
        )
        if verdict.is_final and receipt is not None:
            was_rejected = observation.receipt is ReceiptStatus.NEGATIVE
            kind = AnswerKind.REJECTED if was_rejected else AnswerKind.DELIVERED
            self.complete(message, ClientAnswer(200, receipt.headers, receipt.body, kind))

    def _release_attempt(self, message: AcceptedMessage, attempt: Attempt, wire_result: WireResult) -> None:
        """Release the timer, the receipt token and the call that an attempt holds."""
        message.attempt = None
        self.slow_partners.attempt_ended(self.context.now_ms, message.head.receiver, id(attempt))
        self.receipt_endpoint.forget(attempt)
        if attempt.receipt_timer:
            attempt.receipt_timer.cancel()
        if attempt.call is None:
            return
        # The attempt ended before the HTTP response arrived: by an asynchronous receipt or by a time-out.
        if wire_result is WireResult.ANSWERED:
            attempt.call.detach()
        else:
            attempt.call.abort(wire_result)

    def _record_attempt_end(
        self, message: AcceptedMessage, attempt: Attempt, verdict: AttemptVerdict, latency_ms: float
    ) -> None:
        self.context.counts[f"outcome_{verdict.outcome.value}"] += 1
        self.context.log.info(
            log_events.ATTEMPT_ENDED,
            message=message.head.message_id,
            attempt=attempt.number,
            endpoint=attempt.endpoint,
            outcome=verdict.outcome.value,
            why=verdict.reason,
            took_ms=round(latency_ms, 1),
        )
