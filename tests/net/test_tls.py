"""TLS on both sides: handshakes that drip or fail, client certificates, keys that change in service."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import os
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from linnetstile.codec import http1
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.net import client, server
from linnetstile.net.tls import Keys, TlsError

from ..faults.rig import Rig, kind, run

Made = tuple[x509.Certificate, ec.EllipticCurvePrivateKey]


def make(name: str, by: Made | None = None, days: tuple[int, int] = (-1, 10)) -> Made:
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    found = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(by[0].subject if by else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now + datetime.timedelta(days=days[0]))
        .not_valid_after(now + datetime.timedelta(days=days[1]))
        .add_extension(x509.BasicConstraints(ca=by is None, path_length=None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName(name), x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(by[1] if by else key, hashes.SHA256())
    )
    return found, key


def save(made: Made, path: Path) -> Path:
    fresh = path.with_suffix(".new")
    fresh.write_bytes(
        made[0].public_bytes(serialization.Encoding.PEM)
        + made[1].private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    fresh.replace(path)
    return path


class Files:
    """An authority, and what it signed."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.root = make("root")
        self.authority = save(self.root, folder / "root.pem")
        self.server = save(make("relay", self.root), folder / "server.pem")
        self.client = save(make("office", self.root), folder / "client.pem")


def listen(files: Files, **more: Any) -> server.Server:
    def answer(exchange: server.RequestContext) -> None:
        shown = exchange.conn.tls.certificate() if exchange.conn.tls else ""
        exchange.reply(200, [("X-Shown", shown)], bytes(exchange.body[::-1]))

    keys = Keys(True, files.server, None, files.authority, more.pop("need_client", False))
    return server.Server(answer, keys=keys, **more)


async def ask(
    port: int,
    keys: Keys,
    name: str = "relay",
    body: bytes = b"abc",
    pool: client.Pool | None = None,
) -> client.Answer:
    done: asyncio.Future[client.Answer] = asyncio.get_running_loop().create_future()
    used = pool or client.Pool(connect_s=1.0)
    used.call(
        ("127.0.0.1", port),
        "POST",
        http1.request_parts("POST", "/", [("Host", "x")], body),
        done.set_result,
        asyncio.get_running_loop().time() + 8,
        (keys, name),
    )
    answer = await done
    if pool is None:
        used.close()
    return answer


def with_files(test: Callable[[Files], Any], tmp_path: Path) -> None:
    async def go() -> None:
        await test(Files(tmp_path))

    run(go)


def test_bodies_small_and_big_go_through_on_one_connection(tmp_path: Path) -> None:
    async def test(files: Files) -> None:
        listener, pool = listen(files, limits=http1.Limits(body=2**24)), client.Pool(limits=http1.Limits(body=2**24))
        port, keys = await listener.start(), Keys(False, authorities=files.authority)
        for size in (0, 1, 70_000, 5_000_000):
            answer = await ask(port, keys, body=os.urandom(size), pool=pool)
            assert answer.head is not None and answer.head.status == 200 and len(answer.body) == size
        assert pool.counts["connects"] == 1
        pool.close()
        listener.close()

    with_files(test, tmp_path)


def test_client_certificates_are_asked_for_and_shown(tmp_path: Path) -> None:
    async def test(files: Files) -> None:
        listener = listen(files, need_client=True)
        port = await listener.start()
        answer = await ask(port, Keys(False, files.client, None, files.authority))
        assert answer.head is not None and answer.head.headers.get("x-shown") == "CN=office"
        bare = await ask(port, Keys(False, authorities=files.authority))
        assert bare.head is None
        await asyncio.sleep(0.05)
        assert listener.counts["handshakes_failed"] == 1
        listener.close()

    with_files(test, tmp_path)


@pytest.mark.parametrize("what", ["name", "authority", "plain", "expired"])
def test_a_peer_that_can_not_be_proven_is_no_connection(tmp_path: Path, what: str) -> None:
    """Not a byte of the request was sent, so nothing can have run."""

    async def test(files: Files) -> None:
        listener = listen(files)
        if what == "expired":  # it was good when it was loaded; the peer must see it as what it is
            save(make("relay", files.root, (-9, -1)), files.server)
            assert listener.keys is not None
            listener.keys.context.load_cert_chain(files.server)
        if what == "plain":
            listener.keys = None
        port = await listener.start()
        stranger = save(make("stranger"), files.folder / "stranger.pem")
        keys = Keys(False, authorities=stranger if what == "authority" else files.authority)
        answer = await ask(port, keys, "other" if what == "name" else "relay")
        assert answer.sight is WireResult.NO_CONNECTION
        listener.close()

    with_files(test, tmp_path)


def test_a_handshake_that_drips_or_never_begins_is_let_go_and_is_bounded(tmp_path: Path) -> None:
    async def test(files: Files) -> None:
        listener = listen(files, bounds=server.Bounds(connections=20, head_s=0.6, sweep_s=0.05))
        port = await listener.start()
        hello, keys = ssl.MemoryBIO(), Keys(False, authorities=files.authority)
        start = keys.context.wrap_bio(ssl.MemoryBIO(), hello, server_hostname="relay")
        with pytest.raises(ssl.SSLWantReadError):
            start.do_handshake()
        first = hello.read()
        half = [await asyncio.open_connection("127.0.0.1", port) for _ in range(60)]
        for n, (_, writer) in enumerate(half):
            writer.write(first[:n])  # some bytes of a handshake
        await asyncio.sleep(0.1)
        assert len(listener.open) <= 20 and {conn.phase for conn in listener.open} == {"handshake"}
        answer = await ask(port, keys)  # the oldest of them gives way
        assert answer.head is not None and answer.head.status == 200
        await asyncio.sleep(1.0)
        assert not [conn for conn in listener.open if conn.phase == "handshake"]
        assert listener.counts["let_go_handshake"] >= 10
        for _, writer in half:
            writer.close()
        listener.close()

    with_files(test, tmp_path)


def test_garbage_in_place_of_a_handshake_is_told_by_name(tmp_path: Path) -> None:
    async def test(files: Files) -> None:
        told: list[str] = []
        listener = listen(files, on_error=lambda peer, error: told.append(error.text))
        port = await listener.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.wait_for(reader.read(), 3)
        assert told and told[0].startswith("no TLS handshake: ")
        writer.close()
        listener.close()

    with_files(test, tmp_path)


def test_bad_keys_are_one_clear_error(tmp_path: Path) -> None:
    files = Files(tmp_path)
    expired = save(make("relay", files.root, (-9, -1)), tmp_path / "expired.pem")
    (tmp_path / "no.pem").write_text("nothing")
    for path, why in (
        (expired, "has expired on"),
        (tmp_path / "no.pem", "expected a certificate in PEM"),
        (tmp_path / "absent.pem", "No such file"),
    ):
        with pytest.raises(TlsError, match=why) as error:
            Keys(True, path)
        assert str(path) in str(error.value)
    other = save(make("other", files.root), tmp_path / "other.pem")
    with pytest.raises(TlsError, match="MISMATCH"):
        Keys(True, files.server, other)


def test_keys_change_in_service_and_bad_ones_leave_the_old(tmp_path: Path) -> None:
    async def test() -> None:
        files = Files(tmp_path)
        async with Rig(tmp_path, partner={"work_ms": 150}, limits={"slots": 32}) as rig:
            from linnetstile.as2_relay.relay import As2Relay
            from linnetstile.telemetry.log import logger

            settings = rig.settings("t", tls={"certificate": str(files.server)})
            service = As2Relay(settings, logger("critical"), seed=9)
            port = int((await service.start()).rpartition(":")[2])
            while service.register.version < 0:
                await asyncio.sleep(0.01)
            pool, answers = client.Pool(), []
            old, fresh_root = Keys(False, authorities=files.authority), make("root2")
            both = files.folder / "both.pem"
            both.write_bytes(files.authority.read_bytes() + save(fresh_root, tmp_path / "root2.pem").read_bytes())
            either = Keys(False, authorities=both)

            async def hand() -> None:
                made = rig.make("safe")
                done: asyncio.Future[client.Answer] = asyncio.get_running_loop().create_future()
                # A connection of its own each time: every message meets the keys of its moment.
                fields = [("Host", "x"), ("Connection", "close"), *made.headers]
                pool.call(
                    ("127.0.0.1", port),
                    "POST",
                    http1.request("POST", "/as2", fields, made.body),
                    done.set_result,
                    asyncio.get_running_loop().time() + 9,
                    (either, "relay"),
                )
                answers.append(await done)

            tasks = []
            for n in range(60):
                tasks.append(asyncio.create_task(hand()))
                if n == 20:
                    files.server.write_text("torn")  # what a rotation may leave for a moment, or for good
                elif n == 40:
                    save(make("relay", fresh_root), files.server)
                await asyncio.sleep(0.06)
            await asyncio.gather(*tasks)
            assert [kind(a) for a in answers] == ["delivered"] * 60
            assert service.counts["tls_keys_refused"] == 1
            assert (await ask(port, old)).sight is WireResult.NO_CONNECTION  # the new ones are in service
            pool.close()
            service.close()

    run(test)


@pytest.mark.parametrize("trusted", [True, False])
def test_a_partner_over_tls_with_certificates_on_both_sides(tmp_path: Path, trusted: bool) -> None:
    async def test() -> None:
        files = Files(tmp_path)
        shown = files.client if trusted else None
        tls = {"authorities": files.authority, "name": "relay", "certificate": shown}
        async with Rig(
            tmp_path, warm=trusted, tls=tls, partner={"tls_pem": files.server, "tls_clients": files.authority}
        ) as rig:
            if trusted:
                assert kind(await rig.hand(rig.make("unsafe", b"x" * 500_000))) == "delivered"
                assert len(rig.rows("effect")) == 1
                return
            # Without a certificate the partner ends the handshake; in TLS 1.3 that shows after the first write.
            assert kind(await rig.hand(rig.make("safe"))) in ("refused", "failed")
            assert not rig.rows("began")
        assert not rig.broken()

    run(test)
