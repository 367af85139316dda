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

IDENT = re.compile(r"[\x21-\x7e]{1,128}\Z")
LEFT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z")
ORDER = re.compile(r"/api(?:/([\x21-\x2e\x30-\x7e]{1,128}))?\Z")  # the path, with the key of a class in order
DEST = re.compile(r"(?:^|[;,]\s*)dest=(\d{1,9})\s*(?:[;,]|\Z)")


class BadRequest(Exception):
    """A hand-in that can't be read: the status and one sentence."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class Submission:
    """A client's head, read."""

    ident: str
    class_: int
    tenant: int
    destination: int
    key: str
    order: str  # what messages of a class in order share; empty = nothing
    left_ms: float  # from the first byte of the request on
    again: bool
    from_dead: bool


class Reader:
    """Heads of one deployment: the names of its classes and tenants are those of the settings."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {message_class.name: number for number, message_class in enumerate(settings.classes)}
        self.tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
        self.settings = settings

    def read(self, head: http1.Request) -> Submission:
        """Raises BadRequest."""
        path = ORDER.match(head.target.partition("?")[0])
        if not path:
            raise BadRequest(404, "messages are handed in at /api")
        if head.method != "POST":
            raise BadRequest(405, "messages are handed in by POST")
        headers = head.headers

        def one(name: str) -> str:
            values = headers.all(name)
            if len(values) != 1 or not values[0]:
                raise BadRequest(400, f"{name}: expected once")
            return values[0]

        ident = one("X-Correlation-Id")
        if not IDENT.match(ident):
            raise BadRequest(400, "X-Correlation-Id: expected at most 128 visible characters")
        class_ = self.classes.get(one("X-Service-Class"))
        if class_ is None:
            raise BadRequest(400, "X-Service-Class: no such class")
        tenant = self.tenants.get(one("X-Account")) if self.tenants else 0
        if tenant is None:
            raise BadRequest(400, "X-Account: no such account")
        message_class = self.settings.classes[class_]
        left = LEFT.match(one("X-Time-Left"))
        if not left:
            raise BadRequest(400, "X-Time-Left: expected a number and m or u")
        left_ms = float(left[1]) / (1000.0 if left[2] == "u" else 1.0)
        if left_ms > MAX_DEADLINE_MULTIPLE * message_class.deadline_ms:
            raise BadRequest(400, "X-Time-Left: longer than any message of its class has")
        destination = DEST.search(one("Envelope"))
        if not destination:
            raise BadRequest(400, "Envelope: expected dest=NUMBER")
        keys = headers.all("Idempotency-Key")
        keyed = message_class.effect is Effect.DEDUPLICATED
        if len(keys) > 1 or keys and not IDENT.match(keys[0]) or keyed and not keys:
            raise BadRequest(400, "Idempotency-Key: expected once in this class, at most 128 visible characters")
        order = path[1] or ""
        if order and not message_class.in_order:
            raise BadRequest(404, "messages of this class are handed in at /api")
        repeat = headers.get("X-Repeat")
        return Submission(
            ident,
            class_,
            tenant,
            int(destination[1]),
            keys[0] if keys else "",
            order,
            left_ms,
            repeat == "1",
            repeat.lower() == "again",
        )


Take = Callable[[server.RequestContext, Submission], None]


def answer(
    exchange: server.RequestContext, status: int, text: str = "", close: bool = False, wait_ms: float = 0.0
) -> bool:
    """False if the client has gone."""
    fields = [("Retry-After", f"{wait_ms / 1000:.3f}")] if wait_ms > 0 else []
    return exchange.reply(status, fields, f"{text}\n".encode() if text else b"", close)


class HttpFrontend:
    """Listens for clients; `take` gets each hand-in that can be read, `ready` is asked each time."""

    def __init__(self, settings: Settings, bounds: ResourceLimits, take: Take, ready: Callable[[], bool]) -> None:
        self.reader = Reader(settings)
        self.take, self.ready = take, ready
        self.closing = False
        self.server = server.Server(
            self._request,
            self._head,
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
        self.bad = 0  # requests that were answered with an error of the client's

    def _head(self, exchange: server.RequestContext) -> None:
        """Refuses by the head alone what can be: a bad client's body is not worth reading."""
        head = exchange.head
        path = head.target.partition("?")[0]
        # The whole request is owed to us by then, or an error to its client.
        exchange.until = exchange.began + REQUEST_TIMEOUT_S
        if path in ("/-/ready", "/-/healthy"):
            if head.method not in ("GET", "HEAD"):
                self._refuse(exchange, 405, "GET is expected here")
            return
        try:
            exchange.who = self.reader.read(head)
        except BadRequest as error:
            self._refuse(exchange, error.status, error.text)

    def _refuse(self, exchange: server.RequestContext, status: int, text: str) -> None:
        self.bad += 1
        answer(exchange, status, text, close=True)

    def _request(self, exchange: server.RequestContext) -> None:
        if exchange.answered:
            return
        if isinstance(exchange.who, Submission):
            self.take(exchange, exchange.who)
        elif exchange.head.target.startswith("/-/ready"):
            ready = self.ready()
            answer(exchange, 200 if ready else 503, "ready" if ready else "not ready")
        else:
            answer(exchange, 200, "healthy")

    def turn_away(self) -> None:
        """From now on refuses, and closes connections that carry nothing; the others with their answer."""
        self.closing = True
        self.server.close_idle()

    def deaf(self) -> None:
        """Lets nobody in any more, and refuses requests that are not complete."""
        self.server.stop_listening()
        self.server.refuse_begun("refused: this relay ends")

    async def start(self, host: str, port: int) -> int:
        return await self.server.start(host, port)
