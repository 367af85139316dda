"""The HTTP front end for clients: one message a request.

Reads each head into a submission or one error, and answers as the relay decides.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from ..codec import http1
from ..engine.resource_limits import (
    CLIENT_IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_DEADLINE_MULTIPLE,
    MAX_HEAD_BYTES,
    REQUEST_TIMEOUT_S,
    ResourceLimits,
)
from ..engine.settings import Effect, MessageClass, Settings
from ..errors import ProtocolError
from ..net import server

IDENTIFIER = re.compile(r"[\x21-\x7e]{1,128}\Z")
TIME_LEFT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z")  # ms or us
SUBMISSION_PATH = re.compile(r"/api(?:/([\x21-\x2e\x30-\x7e]{1,128}))?\Z")  # with the key of an ordered class
DESTINATION = re.compile(r"(?:^|[;,]\s*)dest=(\d{1,9})\s*(?:[;,]|\Z)")
READY_PATH, HEALTH_PATHS = "/-/ready", ("/-/ready", "/-/healthy")

MAX_HEAD_LINE_BYTES = 4096
MAX_HEAD_FIELDS = 64
MAX_PIPELINED_REQUESTS = 8
SWEEP_INTERVAL_S = 0.25  # how often connections are looked at for timeouts


class BadRequestError(ProtocolError):
    """A submission that cannot be read: the status of its response, and one sentence."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class Submission:
    """A client's head, read.

    Attributes:
        submission_id: The client's correlation id.
        class_index: Of the settings' classes.
        tenant_index: Of the settings' tenants; 0 where they name none.
        destination: Number of the destination.
        idempotency_key: Empty if there is none.
        ordering_key: What messages of an ordered class share; empty = nothing.
        remaining_ms: From the first byte of the request on.
        is_retry: The client marks it as submitted before.
        from_dead_relay: It was submitted before to a relay that died.
    """

    submission_id: str
    class_index: int
    tenant_index: int
    destination: int
    idempotency_key: str
    ordering_key: str
    remaining_ms: float
    is_retry: bool
    from_dead_relay: bool


def _single(headers: http1.Headers, name: str) -> str:
    values = headers.get_all(name)
    if len(values) != 1 or not values[0]:
        raise BadRequestError(400, f"{name}: expected once")
    return values[0]


class SubmissionReader:
    """Reads heads for one deployment.

    Attributes:
        classes: Indexes of the settings' classes by name.
        tenants: Indexes of the settings' tenants by name.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = {message_class.name: index for index, message_class in enumerate(settings.classes)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self._settings = settings

    def read(self, head: http1.Request) -> Submission:
        """Return what a head submits.

        Raises:
            BadRequestError: It cannot be read.
        """
        path = SUBMISSION_PATH.match(head.target.partition("?")[0])
        if not path:
            raise BadRequestError(404, "messages are handed in at /api")
        if head.method != "POST":
            raise BadRequestError(405, "messages are handed in by POST")
        headers = head.headers
        submission_id = _single(headers, "X-Correlation-Id")
        if not IDENTIFIER.match(submission_id):
            raise BadRequestError(400, "X-Correlation-Id: expected at most 128 visible characters")
        class_index = self._class_index(headers)
        tenant_index = self._tenant_index(headers)
        message_class = self._settings.classes[class_index]
        remaining_ms = self._remaining_ms(headers, message_class)
        destination = DESTINATION.search(_single(headers, "Envelope"))
        if not destination:
            raise BadRequestError(400, "Envelope: expected dest=NUMBER")
        idempotency_key = self._idempotency_key(headers, message_class)
        ordering_key = path[1] or ""
        if ordering_key and not message_class.in_order:
            raise BadRequestError(404, "messages of this class are handed in at /api")
        repeat = headers.get("X-Repeat")
        return Submission(
            submission_id,
            class_index,
            tenant_index,
            int(destination[1]),
            idempotency_key,
            ordering_key,
            remaining_ms,
            repeat == "1",
            repeat.lower() == "again",
        )

    def _class_index(self, headers: http1.Headers) -> int:
        index = self.classes.get(_single(headers, "X-Service-Class"))
        if index is None:
            raise BadRequestError(400, "X-Service-Class: no such class")
        return index

    def _tenant_index(self, headers: http1.Headers) -> int:
        if not self.tenants:
            return 0
        index = self.tenants.get(_single(headers, "X-Account"))
        if index is None:
            raise BadRequestError(400, "X-Account: no such account")
        return index

    @staticmethod
    def _remaining_ms(headers: http1.Headers, message_class: MessageClass) -> float:
        time_left = TIME_LEFT.match(_single(headers, "X-Time-Left"))
        if not time_left:
            raise BadRequestError(400, "X-Time-Left: expected a number and m or u")
        remaining_ms = float(time_left[1]) / (1000.0 if time_left[2] == "u" else 1.0)
        if remaining_ms > MAX_DEADLINE_MULTIPLE * message_class.deadline_ms:
            raise BadRequestError(400, "X-Time-Left: longer than any message of its class has")
        return remaining_ms

    @staticmethod
    def _idempotency_key(headers: http1.Headers, message_class: MessageClass) -> str:
        keys = headers.get_all("Idempotency-Key")
        required = message_class.effect is Effect.DEDUPLICATED
        if len(keys) > 1 or (keys and not IDENTIFIER.match(keys[0])) or (required and not keys):
            raise BadRequestError(400, "Idempotency-Key: expected once in this class, at most 128 visible characters")
        return keys[0] if keys else ""


SubmissionHandler = Callable[[server.RequestContext, Submission], None]


def reply(
    request: server.RequestContext, status: int, text: str = "", close: bool = False, retry_after_ms: float = 0.0
) -> bool:
    """Answer a request; return False if the client has gone."""
    fields = [("Retry-After", f"{retry_after_ms / 1000:.3f}")] if retry_after_ms > 0 else []
    return request.reply(status, fields, f"{text}\n".encode() if text else b"", close)


class HttpFrontend:
    """Listens for clients and answers health checks.

    Attributes:
        on_submission: Gets each submission that can be read.
        is_ready: Asked by each readiness check.
        is_closing: The relay shuts down: each answer closes its connection.
        bad_requests: How many requests were answered with an error of the client's.
    """

    def __init__(
        self,
        settings: Settings,
        limits: ResourceLimits,
        on_submission: SubmissionHandler,
        is_ready: Callable[[], bool],
    ) -> None:
        self.reader = SubmissionReader(settings)
        self.on_submission = on_submission
        self.is_ready = is_ready
        self.is_closing = False
        self.bad_requests = 0
        self.server = server.Server(
            self._on_request,
            self._on_head,
            http1.Limits(
                max_line_bytes=MAX_HEAD_LINE_BYTES,
                max_head_bytes=MAX_HEAD_BYTES,
                max_fields=MAX_HEAD_FIELDS,
                max_body_bytes=MAX_BODY_BYTES,
            ),
            server.ServerLimits(
                limits.max_client_connections,
                REQUEST_TIMEOUT_S,
                CLIENT_IDLE_TIMEOUT_S,
                max_pipelined_events=MAX_PIPELINED_REQUESTS,
                max_unsent_bytes=MAX_BODY_BYTES,
                sweep_interval_s=SWEEP_INTERVAL_S,
            ),
        )

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port. Raises OSError."""
        return await self.server.start(host, port)

    def stop_admitting(self) -> None:
        """Reject from now on, and close connections that carry nothing; the others with their answer."""
        self.is_closing = True
        self.server.close_idle()

    def stop_accepting(self) -> None:
        """Accept no connection any more, and reject requests that are not complete."""
        self.server.stop_listening()
        self.server.reject_incomplete_requests("refused: this relay ends")

    def _on_head(self, request: server.RequestContext) -> None:
        """Reject by the head alone what can be: a bad client's body is not worth reading."""
        head = request.head
        # The whole request is owed to us by then, or an error to its client.
        request.body_deadline = request.started_at + REQUEST_TIMEOUT_S
        if head.target.partition("?")[0] in HEALTH_PATHS:
            if head.method not in ("GET", "HEAD"):
                self._reject(request, 405, "GET is expected here")
            return
        try:
            request.submission = self.reader.read(head)
        except BadRequestError as error:
            self._reject(request, error.status, error.text)

    def _reject(self, request: server.RequestContext, status: int, text: str) -> None:
        self.bad_requests += 1
        reply(request, status, text, close=True)

    def _on_request(self, request: server.RequestContext) -> None:
        if request.answered:
            return
        if isinstance(request.submission, Submission):
            self.on_submission(request, request.submission)
        elif request.head.target.startswith(READY_PATH):
            ready = self.is_ready()
            reply(request, 200 if ready else 503, "ready" if ready else "not ready")
        else:
            reply(request, 200, "healthy")
