"""The HTTP front end for clients: receives requests with one message each, and answers them and health checks."""

from __future__ import annotations

from collections.abc import Callable

from ..codec import http1
from ..engine.resource_limits import (
    CLIENT_IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_UNSENT_BYTES,
    MIN_RESPONSE_RATE,
    REQUEST_TIMEOUT_S,
    RESPONSE_STALL_S,
    ResourceLimits,
)
from ..engine.settings import Settings
from ..net import server
from .submission import BadRequestError, Submission, SubmissionReader

READY_PATH = "/-/ready"
HEALTH_PATHS = (READY_PATH, "/-/healthy")

MAX_HEAD_LINE_BYTES = 4096
MAX_HEAD_FIELDS = 64
MAX_PIPELINED_REQUESTS = 8
SWEEP_INTERVAL_S = 0.25  # between two checks of the connections' time limits

SubmissionHandler = Callable[[server.RequestContext, Submission], None]


def reply(
    request: server.RequestContext, status: int, text: str = "", close: bool = False, retry_after_ms: float = 0.0
) -> bool:
    """Answer a request with a line of text.

    Args:
        request: The request.
        status: HTTP status.
        text: Body without its line end; empty for no body.
        close: Whether to close the connection after the response.
        retry_after_ms: Value of the Retry-After field, in ms; 0 for no such field.

    Returns:
        False if the client has disconnected.
    """
    fields = [("Retry-After", f"{retry_after_ms / 1000:.3f}")] if retry_after_ms > 0 else []
    return request.reply(status, fields, f"{text}\n".encode() if text else b"", close)


class HttpFrontend:
    """Listens for clients, passes on their submissions, and answers health checks.

    Attributes:
        reader: Reads the heads of requests.
        on_submission: Called with each valid submission.
        is_ready: Returns the answer to readiness checks.
        is_closing: Whether the relay is shutting down; a response then closes its connection, unless a further request
            has arrived on it.
        bad_requests: Number of requests that were rejected as invalid.
        server: The HTTP server.
    """

    def __init__(
        self,
        settings: Settings,
        limits: ResourceLimits,
        *,
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
            on_head=self._on_head,
            http_limits=http1.Limits(
                max_line_bytes=MAX_HEAD_LINE_BYTES,
                max_head_bytes=MAX_HEAD_BYTES,
                max_fields=MAX_HEAD_FIELDS,
                max_body_bytes=MAX_BODY_BYTES,
            ),
            limits=server.ServerLimits(
                max_connections=limits.max_client_connections,
                head_timeout_s=REQUEST_TIMEOUT_S,
                idle_timeout_s=CLIENT_IDLE_TIMEOUT_S,
                max_pipelined_events=MAX_PIPELINED_REQUESTS,
                min_response_rate=MIN_RESPONSE_RATE,
                rate_grace_s=RESPONSE_STALL_S,
                max_unsent_bytes=MAX_UNSENT_BYTES,
                max_input_bytes=limits.max_input_bytes,
                sweep_interval_s=SWEEP_INTERVAL_S,
            ),
        )

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the port.

        Raises:
            OSError: The address cannot be used.
        """
        return await self.server.start(host, port)

    def stop_admitting(self) -> None:
        """Reject messages from now on. Idle connections are closed now, the others with their next response."""
        self.is_closing = True
        self.server.close_idle()

    def stop_accepting(self) -> None:
        """Stop listening, and reject incomplete requests."""
        self.server.stop_listening()
        self.server.reject_incomplete_requests("refused: this relay ends")

    def _on_head(self, request: server.RequestContext) -> None:
        """Reject an invalid request by its head, before its body is read."""
        head = request.head
        # The time limit covers the complete request, so it is counted from the first byte.
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
