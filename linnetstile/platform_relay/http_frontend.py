"""The platform's clients: one message a request. Reads a head into a hand-in or one error; answers as it is told."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from linnetstile.engine.settings import Effect, Settings

from ..codec import http1
from ..engine.resource_limits import (
    CLIENT_IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_DEADLINE_MULTIPLE,
    MAX_HEAD_BYTES,
    REQUEST_TIMEOUT_S,
    ResourceLimits,
)
from ..net import server

IDENTIFIER = re.compile(r"[\x21-\x7e]{1,128}\Z")
TIME_LEFT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z")
SUBMISSION_PATH = re.compile(r"/api(?:/([\x21-\x2e\x30-\x7e]{1,128}))?\Z")  # the path, with the key of a class in order
DESTINATION = re.compile(r"(?:^|[;,]\s*)dest=(\d{1,9})\s*(?:[;,]|\Z)")


class BadRequestError(Exception):
    """A hand-in that can't be read: the status and one sentence."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class Submission:
    """A client's head, read."""

    submission_id: str
    class_index: int
    tenant_index: int
    destination: int
    idempotency_key: str
    ordering_key: str  # what messages of a class in order share; empty = nothing
    remaining_ms: float  # from the first byte of the request on
    is_retry: bool
    from_dead_relay: bool


class SubmissionReader:
    """Heads of one deployment: the names of its classes and tenants are those of the settings."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {message_class.name: number for number, message_class in enumerate(settings.classes)}
        self.tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
        self.settings = settings

    def read(self, head: http1.Request) -> Submission:
        """Raises BadRequest."""
        path = SUBMISSION_PATH.match(head.target.partition("?")[0])
        if not path:
            raise BadRequestError(404, "messages are handed in at /api")
        if head.method != "POST":
            raise BadRequestError(405, "messages are handed in by POST")
        headers = head.headers

        def one(name: str) -> str:
            values = headers.all(name)
            if len(values) != 1 or not values[0]:
                raise BadRequestError(400, f"{name}: expected once")
            return values[0]

        submission_id = one("X-Correlation-Id")
        if not IDENTIFIER.match(submission_id):
            raise BadRequestError(400, "X-Correlation-Id: expected at most 128 visible characters")
        class_ = self.classes.get(one("X-Service-Class"))
        if class_ is None:
            raise BadRequestError(400, "X-Service-Class: no such class")
        tenant = self.tenants.get(one("X-Account")) if self.tenants else 0
        if tenant is None:
            raise BadRequestError(400, "X-Account: no such account")
        message_class = self.settings.classes[class_]
        remaining = TIME_LEFT.match(one("X-Time-Left"))
        if not remaining:
            raise BadRequestError(400, "X-Time-Left: expected a number and m or u")
        left_ms = float(remaining[1]) / (1000.0 if remaining[2] == "u" else 1.0)
        if left_ms > MAX_DEADLINE_MULTIPLE * message_class.deadline_ms:
            raise BadRequestError(400, "X-Time-Left: longer than any message of its class has")
        destination = DESTINATION.search(one("Envelope"))
        if not destination:
            raise BadRequestError(400, "Envelope: expected dest=NUMBER")
        keys = headers.all("Idempotency-Key")
        keyed = message_class.effect is Effect.DEDUPLICATED
        if len(keys) > 1 or keys and not IDENTIFIER.match(keys[0]) or keyed and not keys:
            raise BadRequestError(400, "Idempotency-Key: expected once in this class, at most 128 visible characters")
        order = path[1] or ""
        if order and not message_class.in_order:
            raise BadRequestError(404, "messages of this class are handed in at /api")
        repeat = headers.get("X-Repeat")
        return Submission(
            submission_id,
            class_,
            tenant,
            int(destination[1]),
            keys[0] if keys else "",
            order,
            left_ms,
            repeat == "1",
            repeat.lower() == "again",
        )


SubmissionHandler = Callable[[server.RequestContext, Submission], None]


def reply(
    request: server.RequestContext, status: int, text: str = "", close: bool = False, wait_ms: float = 0.0
) -> bool:
    """False if the client has gone."""
    fields = [("Retry-After", f"{wait_ms / 1000:.3f}")] if wait_ms > 0 else []
    return request.reply(status, fields, f"{text}\n".encode() if text else b"", close)


class HttpFrontend:
    """Listens for clients; `take` gets each hand-in that can be read, `ready` is asked each time."""

    def __init__(self, settings: Settings, bounds: ResourceLimits, take: SubmissionHandler, ready: Callable[[], bool]) -> None:
        self.reader = SubmissionReader(settings)
        self.on_submission, self.is_ready = take, ready
        self.is_closing = False
        self.server = server.Server(
            self._on_request,
            self._on_head,
            http1.Limits(line=4096, head=MAX_HEAD_BYTES, fields=64, body=MAX_BODY_BYTES),
            server.Bounds(
                bounds.max_client_connections,
                REQUEST_TIMEOUT_S,
                CLIENT_IDLE_TIMEOUT_S,
                pipelined=8,
                write_bytes=MAX_BODY_BYTES,
                sweep_s=0.25,
            ),
        )
        self.bad_requests = 0  # requests that were answered with an error of the client's

    def _on_head(self, request: server.RequestContext) -> None:
        """Refuses by the head alone what can be: a bad client's body is not worth reading."""
        head = request.head
        path = head.target.partition("?")[0]
        # The whole request is owed to us by then, or an error to its client.
        request.until = request.began + REQUEST_TIMEOUT_S
        if path in ("/-/ready", "/-/healthy"):
            if head.method not in ("GET", "HEAD"):
                self._reject(request, 405, "GET is expected here")
            return
        try:
            request.who = self.reader.read(head)
        except BadRequestError as error:
            self._reject(request, error.status, error.text)

    def _reject(self, request: server.RequestContext, status: int, text: str) -> None:
        self.bad_requests += 1
        reply(request, status, text, close=True)

    def _on_request(self, request: server.RequestContext) -> None:
        if request.answered:
            return
        if isinstance(request.who, Submission):
            self.on_submission(request, request.who)
        elif request.head.target.startswith("/-/ready"):
            ready = self.is_ready()
            reply(request, 200 if ready else 503, "ready" if ready else "not ready")
        else:
            reply(request, 200, "healthy")

    def stop_admitting(self) -> None:
        """From now on refuses, and closes connections that carry nothing; the others with their answer."""
        self.is_closing = True
        self.server.close_idle()

    def stop_accepting(self) -> None:
        """Lets nobody in any more, and refuses requests that are not complete."""
        self.server.stop_listening()
        self.server.refuse_begun("refused: this relay ends")

    async def start(self, host: str, port: int) -> int:
        return await self.server.start(host, port)
