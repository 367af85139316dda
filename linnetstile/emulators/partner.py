"""Partner stand-in: AS2 endpoints with work to do, limits, key memory, an effects ledger and scripted faults.

Written from RFC 4130 and the users' description of their partners; it knows nothing of the relay."""

from __future__ import annotations

import asyncio
import email.utils
import fnmatch
import random
import time
import urllib.parse
from collections import deque
from pathlib import Path
from typing import Any, Literal

from pydantic import Field

from ..codec import as2, cms, http1, mdn, mime
from ..config.files import Strict
from ..net import client, server
from ..net.tls import Keys
from .record import Recorder, now_ms
from .script import Fault


class EndpointSpec(Strict):
    id: int
    port: int = 0
    zone: str = ""


class PartnerSpec(Strict):
    name: str
    kind: str = ""
    endpoints: list[EndpointSpec] = Field(min_length=1)
    work_ms: float = Field(100.0, ge=0)
    spread: float = Field(0.3, ge=0)  # of the work, log-normal
    servers: int = Field(4, ge=1)  # calls that one endpoint works on at once
    queue: int = Field(32, ge=0)  # calls that wait at one endpoint; beyond: 503
    rate: float = Field(0.0, ge=0)  # calls a second from all relays; 0 = no limit but capacity
    window_ms: float = Field(0.0, ge=0)  # 0 = a plain rate, else a count in each span
    tell: float = Field(0.5, ge=0, le=1)  # share of refusals that tell a wait
    tell_as: Literal["seconds", "date"] = "seconds"
    refused_count: bool = False  # refused calls use up the limit too
    keyed: list[str] = []  # subjects whose repeats are dropped
    key_window_ms: float = 4000.0
    receipts: Literal["sync", "async"] = "sync"
    pem: Path | None = None
    decrypt_pem: Path | None = None
    tls_pem: Path | None = None  # speaks TLS with this key and certificate
    tls_clients: Path | None = None  # and asks for a client certificate that these authorities signed
    cold_share: float = Field(0.2, gt=0, le=1)
    cold_ms: float = 10_000.0
    fall_multiple: float = 2.0
    fall_ms: float = 1500.0


class PartnersSpec(Strict):
    """The file of one stand-in process."""

    seed: int = 1
    t0_ms: float | None = None  # monotonic; None = now
    record: Path | None = None
    partners: list[PartnerSpec] = Field(min_length=1)
    faults: list[Fault] = []


class Endpoint:
    def __init__(self, partner: Partner, spec: EndpointSpec) -> None:
        self.partner = partner
        self.spec = spec
        self.server: server.Server | None = None
        self.port = spec.port
        self.busy = 0
        self.waiting: deque[tuple[server.RequestContext, dict[str, Any]]] = deque()

    async def open(self) -> None:
        made = server.Server(
            self._request,
            self._head,
            http1.Limits(body=256 << 20),
            server.Bounds(head_s=120.0, idle_s=120.0),
            keys=self.partner.keys_tls,
        )
        self.port = await made.start(port=self.port)
        self.server = made

    def close(self) -> None:
        if self.server:
            self.server.close()
        self.server = None
        self.busy = 0
        self.waiting.clear()

    def _head(self, exchange: server.RequestContext) -> None:
        headers = exchange.head.headers
        crawls = self.partner.fault(self.spec.id, headers.get("subject")) == "crawl"
        self.partner.stand.record(
            "began",
            t=round(exchange.began * 1000, 2),
            partner=self.partner.spec.name,
            endpoint=self.spec.id,
            relay=headers.get("via").removeprefix("1.1 "),
            mid=headers.get("message-id"),
            subject=headers.get("subject"),
            conn=id(exchange.conn) % 10**8,
            **({"crawls": True} if crawls else {}),
        )
        exchange.on_gone = lambda: self.partner.stand.record(
            "cut",
            partner=self.partner.spec.name,
            endpoint=self.spec.id,
            mid=headers.get("message-id"),
            relay=headers.get("via").removeprefix("1.1 "),
            conn=id(exchange.conn) % 10**8,
        )
        if crawls:
            self._crawl(exchange)

    def _crawl(self, exchange: server.RequestContext) -> None:
        """Reads the body at so many bytes a second: what the kernels of both ends buffer is full soon enough."""
        conn, rate, loop = exchange.conn, self.partner.reset_after or 200, asyncio.get_running_loop()
        conn.hungry, take = False, conn.received

        def again() -> None:
            if not conn.dead:
                conn.transport.resume_reading()

        def slowly(data: memoryview) -> None:
            take(data)
            if conn.current is not exchange:  # the next requests of the connection are none of its business
                conn.received = take  # type: ignore[method-assign]
            elif not conn.read and self.partner.fault(self.spec.id, exchange.head.headers.get("subject")) == "crawl":
                conn.transport.pause_reading()
                loop.call_later(len(data) / rate, again)

        conn.received = slowly  # type: ignore[method-assign]

    def _request(self, exchange: server.RequestContext) -> None:
        partner, headers = self.partner, exchange.head.headers
        who = {
            "partner": partner.spec.name,
            "endpoint": self.spec.id,
            "mid": headers.get("message-id"),
            "relay": headers.get("via").removeprefix("1.1 "),
            "conn": id(exchange.conn) % 10**8,
        }
        exchange.on_gone = lambda: self._gone(exchange, who)
        subject = headers.get("subject")
        fault = partner.fault(self.spec.id, subject)
        partner.arrived()
        if partner.fallen or fault in ("hang", "vanish") or fault == "class_fail":
            return  # never answered
        if fault == "garbage":
            partner.stand.record("answer", status=0, how="garbage", **who)
            exchange.conn.transport.write(b"\x16\x03\x01 no http here\r\n\r\n")
            return
        if fault == "crawl":  # a body that came in one piece has not been read before its time either
            asyncio.get_running_loop().call_later(
                min(len(exchange.body), 16384) / (partner.reset_after or 200), self._work, exchange, who
            )
            return
        if fault == "fast_errors":
            self._answer(exchange, who, 500, [], b"quick error\n")
            return
        wait = partner.refuses(fault == "shut")
        if wait is None and len(self.waiting) >= partner.spec.queue and self.busy >= partner.spec.servers:
            wait = 0.0
        if wait is not None:
            self._answer(exchange, who, 503, partner.advice(wait), b"full\n")
            return
        if self.busy < partner.spec.servers:
            self._work(exchange, who)
        else:
            self.waiting.append((exchange, who))

    def _gone(self, exchange: server.RequestContext, who: dict[str, Any]) -> None:
        """The caller has closed before it was answered: it gave the call up. What was begun may run on."""
        self.partner.stand.record("closed", **who)
        exchange.conn.transport.abort()

    def _work(self, exchange: server.RequestContext, who: dict[str, Any]) -> None:
        self.busy += 1
        made = self.server
        who = {**who, "repeat": self.partner.repeat(exchange)}
        asyncio.get_running_loop().call_later(self.partner.work_s(self.spec.id), self._done, exchange, who, made)

    def _done(self, exchange: server.RequestContext, who: dict[str, Any], made: server.Server | None) -> None:
        if made is not self.server or made is None:
            if not who["repeat"]:  # it crashed meanwhile: nothing ran, and nothing is remembered
                self.partner.keys.pop(who["mid"], None)
            return
        self.busy -= 1
        if self.waiting:
            self._work(*self.waiting.popleft())
        partner = self.partner
        subject = exchange.head.headers.get("subject")
        fault = partner.fault(self.spec.id, subject)
        if fault in ("hang", "vanish"):
            return
        status, headers, body = partner.process(exchange, who, fault)
        if fault == "answer_lost":
            partner.stand.record("answer", status=0, how="lost", **who)
            if partner.how_lost == "reset":
                exchange.conn.transport.abort()
            return
        if partner.wants_async(exchange) and status == 200 and body:
            self._answer(exchange, who, 200, [], b"")
            partner.post(exchange, headers, body, who)
            return
        if fault == "reset":
            data = http1.response(status, headers, body)[: partner.reset_after]
            partner.stand.record("answer", status=0, how="reset", **who)
            exchange.conn.transport.write(data)
            exchange.conn.transport.abort() if not data else asyncio.get_running_loop().call_later(
                0.02, exchange.conn.transport.abort
            )
            return
        if fault == "trickle":
            asyncio.get_running_loop().create_task(self._trickle(exchange, http1.response(status, headers, body)))
            return
        self._answer(exchange, who, status, headers, body)

    async def _trickle(self, exchange: server.RequestContext, data: bytes) -> None:
        """One byte at a time, some twenty a second."""
        for n in range(len(data)):
            if exchange.conn.dead:
                return
            exchange.conn.transport.write(data[n : n + 1])
            await asyncio.sleep(0.05)
        exchange.conn.transport.close()

    def _answer(
        self,
        exchange: server.RequestContext,
        who: dict[str, Any],
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        **more: Any,
    ) -> None:
        if exchange.answered or exchange.conn.dead:
            return
        if told := [value for name, value in headers if name == "Retry-After"]:
            dated = "," in told[0]
            wait = email.utils.parsedate_to_datetime(told[0]).timestamp() - time.time() if dated else float(told[0])
            more["told_ms"] = round(1000 * wait)
        self.partner.stand.record("answer", status=status, **who, **more)
        exchange.reply(status, headers, body)


class Partner:
    """What the endpoints of one partner share: limit, key memory, ledger, health."""

    def __init__(self, stand: Stand, spec: PartnerSpec) -> None:
        self.stand = stand
        self.spec = spec
        self.endpoints = [Endpoint(self, each) for each in spec.endpoints]
        self.identity = cms.load(spec.pem.read_bytes()) if spec.pem else None
        self.opener = cms.load(spec.decrypt_pem.read_bytes()) if spec.decrypt_pem else None
        self.keys: dict[str, float] = {}
        self.keys_tls = (
            Keys(True, spec.tls_pem, None, spec.tls_clients, spec.tls_clients is not None) if spec.tls_pem else None
        )
        self.credit, self.credit_at = max(2.0, spec.rate / 2), now_ms()
        self.span, self.spent = 0, 0
        self.cold_since = float("-inf")
        self.arrivals: deque[float] = deque()
        self.fallen = False
        self.reset_after = 0
        self.how_lost = "silence"
        self.serial = 0

    def fault(self, endpoint: int, subject: str) -> str:
        """The kind of trouble that this call meets, if any."""
        at = self.stand.seconds()
        for fault in self.stand.spec.faults:
            if not fault.active(at) or not fault.hits(self.spec.name, endpoint):
                continue
            if not fnmatch.fnmatchcase(subject, fault.subject) or self.stand.rng.random() >= fault.share:
                continue
            self.reset_after, self.how_lost = fault.bytes, fault.how
            return fault.kind
        return ""

    def share(self) -> float:
        """Of its capacity, what it has while it warms up."""
        warm = min(1.0, (now_ms() - self.cold_since) / self.spec.cold_ms)
        return self.spec.cold_share + (1 - self.spec.cold_share) * warm

    def work_s(self, endpoint: int) -> float:
        at, work = self.stand.seconds(), self.spec.work_ms * self.stand.rng.lognormvariate(0, self.spec.spread)
        work /= self.share()
        for fault in self.stand.spec.faults:
            if fault.active(at) and fault.hits(self.spec.name, endpoint):
                if fault.kind == "slow":
                    work *= fault.factor
                elif fault.kind == "pauses":  # stands still for the first part of each span
                    work += max(0.0, fault.stall_ms - (at - fault.at_s) * 1000 % fault.every_ms)
        return work / 1000

    def arrived(self) -> None:
        """Falls over if too much comes while it is cold."""
        now, spec = now_ms(), self.spec
        self.arrivals.append(now)
        while self.arrivals[0] < now - spec.fall_ms:
            self.arrivals.popleft()
        if spec.rate and not self.fallen and now < self.cold_since + spec.cold_ms:
            most = spec.fall_multiple * self.share() * spec.rate * spec.fall_ms / 1000
            # Its queue takes some calls more before it falls.
            if sum(at > self.cold_since for at in self.arrivals) > most + 2:
                self.fallen = True
                self.stand.record("fallen", partner=spec.name)

    def refuses(self, shut: bool) -> float | None:
        """None = taken; else the wait told with the refusal, 0 = none told."""
        now, spec = now_ms(), self.spec
        told = self.stand.rng.random() < spec.tell
        if shut:
            ends = max(
                (
                    f.at_s + f.for_s
                    for f in self.stand.spec.faults
                    if f.kind == "shut" and f.active(self.stand.seconds()) and f.hits(spec.name, -1)
                ),
                default=0.0,
            )
            return max(0.0, (ends - self.stand.seconds()) * 1000) if told else 0.0
        if not spec.rate:
            return None
        if spec.window_ms:
            if self.span != int(now // spec.window_ms):
                self.span, self.spent = int(now // spec.window_ms), 0
            most = max(1, int(spec.rate * spec.window_ms / 1000))
            room = self.spent < most
            self.spent += room or spec.refused_count
            wait = (self.span + 1) * spec.window_ms - now
        else:
            burst = max(2.0, spec.rate / 2)
            self.credit = min(burst, self.credit + spec.rate * (now - self.credit_at) / 1000)
            self.credit_at = now
            room = self.credit >= 1
            self.credit -= room or spec.refused_count and self.credit > -burst
            wait = 1000 * max(1.0, 1 - self.credit) / spec.rate
        return None if room else wait if told else 0.0

    def advice(self, wait: float) -> list[tuple[str, str]]:
        if not wait:
            return []
        if self.spec.tell_as == "date":
            return [("Retry-After", email.utils.formatdate(int(time.time() + wait / 1000) + 1, usegmt=True))]
        return [("Retry-After", str(int(wait / 1000) + 1))]

    def process(
        self, exchange: server.RequestContext, who: dict[str, Any], fault: str
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Does the work of one message: the effect, and the receipt."""
        headers = exchange.head.headers
        try:
            head = as2.Head.of(headers)
            opened, _ = cms.opened(
                headers.get("content-type"), headers.get("content-transfer-encoding"), exchange.body, self.opener
            )
        except (as2.As2Error, cms.CmsError, mime.MimeError) as error:
            return 400, [], f"{error}\n".encode()
        duplicate = bool(who["repeat"])
        if not duplicate:
            self.stand.record("effect", subject=headers.get("subject"), **who)
        if not head.notify or fault == "no_receipt":
            return 200, [], b""
        return 200, *self.receipt(head, opened, duplicate, fault)

    def repeat(self, exchange: server.RequestContext) -> bool:
        """Whether a key is known as the work begins; a new one is remembered from then on."""
        headers, now = exchange.head.headers, now_ms()
        if not any(fnmatch.fnmatchcase(headers.get("subject"), pattern) for pattern in self.spec.keyed):
            return False
        if now - self.keys.get(headers.get("message-id"), float("-inf")) <= self.spec.key_window_ms:
            return True
        self.keys[headers.get("message-id")] = now
        return False

    def receipt(
        self, head: as2.Head, opened: bytes | None, duplicate: bool, fault: str
    ) -> tuple[list[tuple[str, str]], bytes]:
        alg = head.wish.micalgs[0] if head.wish.micalgs else "sha-256"
        mic = cms.digest(opened if fault != "wrong_mic" and opened is not None else b"other", alg)
        found = mdn.Mdn(
            head.id,
            head.receiver,
            modifier="warning" if duplicate else "",
            detail="duplicate-document" if duplicate else "",
            mic=mic,
            micalg=alg,
        )
        kind, body = found.build()
        identity = self.stand.forger if fault == "forged_receipt" else self.identity
        if head.wish.signed and identity is not None:
            kind, body = cms.sign(
                f"Content-Type: {kind}\r\n\r\n".encode() + body,
                identity,
                alg if alg in ("sha-256", "sha-384", "sha-512") else "sha-256",
            )
        self.serial += 1
        return [
            ("Content-Type", kind),
            ("AS2-Version", "1.2"),
            ("AS2-From", as2.quoted(head.receiver)),
            ("AS2-To", as2.quoted(head.sender)),
            ("Message-ID", f"<{int(now_ms())}.{self.serial}@{self.spec.name}>"),
        ], body

    @staticmethod
    def wants_async(exchange: server.RequestContext) -> bool:
        return "receipt-delivery-option" in exchange.head.headers

    def post(
        self, exchange: server.RequestContext, headers: list[tuple[str, str]], body: bytes, who: dict[str, Any]
    ) -> None:
        parts = urllib.parse.urlsplit(exchange.head.headers.get("receipt-delivery-option"))
        data = http1.request("POST", parts.path or "/", [("Host", parts.netloc), *headers], body)
        address = (parts.hostname or "127.0.0.1", parts.port or 80)
        self.stand.pool.call(
            address,
            "POST",
            data,
            lambda answer: self.stand.record("receipt", how=answer.sight.value, **who),
            asyncio.get_running_loop().time() + 5.0,
        )

    def back(self, kind: str) -> None:
        if self.stand.seconds() > 0:
            self.cold_since = now_ms()
        self.stand.record("outage", partner=self.spec.name, on=False, kind=kind)


class Stand:
    """All partners of one process."""

    def __init__(self, spec: PartnersSpec) -> None:
        self.spec = spec
        self.rng = random.Random(spec.seed)
        self.record = Recorder(spec.record)
        self.t0 = spec.t0_ms if spec.t0_ms is not None else now_ms()
        self.pool = client.Pool()
        self.forger = cms.make_identity("nobody") if any(f.kind == "forged_receipt" for f in spec.faults) else None
        self.partners = [Partner(self, each) for each in spec.partners]
        self.timers: list[asyncio.TimerHandle] = []

    def seconds(self) -> float:
        return (now_ms() - self.t0) / 1000

    async def start(self) -> dict[int, int]:
        """Opens all endpoints; returns their ports by id."""
        for partner in self.partners:
            for endpoint in partner.endpoints:
                await endpoint.open()
        self.plan()
        return {e.spec.id: e.port for p in self.partners for e in p.endpoints}

    def plan(self) -> None:
        """Sets the timers of all faults, from `t0` on."""
        loop = asyncio.get_running_loop()
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        for fault in self.spec.faults:
            for partner in self.partners:
                hit = [e for e in partner.endpoints if fault.hits(partner.spec.name, e.spec.id)]
                if not hit or not fault.outage:
                    continue
                start = max(0.0, fault.at_s - self.seconds())
                whole = len(hit) == len(partner.endpoints)
                self.timers += [
                    loop.call_later(start, self._down, partner, hit, fault, whole),
                    loop.call_later(start + fault.for_s, self._up, partner, hit, fault, whole),
                ]

    def _down(self, partner: Partner, hit: list[Endpoint], fault: Fault, whole: bool) -> None:
        if whole:
            self.record("outage", partner=partner.spec.name, on=True, kind=fault.kind)
        if fault.kind == "crash":
            for endpoint in hit:
                endpoint.close()
        elif fault.kind in ("hang", "vanish"):
            for endpoint in hit:
                endpoint.waiting.clear()

    def _up(self, partner: Partner, hit: list[Endpoint], fault: Fault, whole: bool) -> None:
        if whole:
            partner.back(fault.kind)
        if fault.kind == "crash":
            for endpoint in hit:
                asyncio.get_running_loop().create_task(endpoint.open())

    def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        for partner in self.partners:
            for endpoint in partner.endpoints:
                endpoint.close()
        self.pool.close()
        self.record.flush()
