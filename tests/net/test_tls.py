"""TLS of server and client: incomplete and failed handshakes, client certificates, and reloaded certificates."""

from __future__ import annotations

import asyncio
import os
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile.codec import http1
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.net import client, server
from linnetstile.net.tls import TlsContextFiles, TlsError

from ..faults.relay_testbed import RelayTestbed, answer_kind, run_test
from .certificates import CertificateFiles, make_certificate, write_pem


def make_server(
    files: CertificateFiles,
    *,
    http_limits: http1.Limits | None = None,
    connection_limits: server.ServerLimits | None = None,
    on_error: Callable[[str, http1.Http1Error], None] | None = None,
    need_client: bool = False,
) -> server.Server:
    """Create a TLS server that answers with the reversed body and the subject of the client's certificate."""

    def answer(request: server.RequestContext) -> None:
        subject = request.connection.tls.peer_subject() if request.connection.tls else ""
        request.reply(200, [("X-Shown", subject)], bytes(request.body[::-1]))

    context_files = TlsContextFiles(True, files.server, None, files.authority, need_client)
    return server.Server(
        answer, http_limits=http_limits, limits=connection_limits, on_error=on_error, tls=context_files
    )


async def send_request(
    port: int,
    context_files: TlsContextFiles,
    name: str = "relay",
    body: bytes = b"abc",
    pool: client.ConnectionPool | None = None,
) -> client.CallResult:
    answered: asyncio.Future[client.CallResult] = asyncio.get_running_loop().create_future()
    call_pool = pool or client.ConnectionPool(connect_timeout_s=1.0)
    call_pool.call(
        ("127.0.0.1", port),
        "POST",
        http1.encode_request_parts("POST", "/", [("Host", "x")], body),
        answered.set_result,
        asyncio.get_running_loop().time() + 8,
        client.TlsParameters(context_files, name),
    )
    answer = await answered
    if pool is None:
        call_pool.close()
    return answer


def run_with_files(scenario: Callable[[CertificateFiles], Any], tmp_path: Path) -> None:
    async def run() -> None:
        await scenario(CertificateFiles(tmp_path))

    run_test(run)


def test_bodies_of_all_sizes_are_transferred_on_one_connection(tmp_path: Path) -> None:
    async def scenario(files: CertificateFiles) -> None:
        limits = http1.Limits(max_body_bytes=2**24)
        listener, pool = make_server(files, http_limits=limits), client.ConnectionPool(limits=limits)
        port, context_files = await listener.start(), TlsContextFiles(False, authorities=files.authority)
        for size in (0, 1, 70_000, 5_000_000):
            answer = await send_request(port, context_files, body=os.urandom(size), pool=pool)
            assert answer.head is not None
            assert answer.head.status == 200
            assert len(answer.body) == size
        assert pool.counts["connects"] == 1
        pool.close()
        listener.close()

    run_with_files(scenario, tmp_path)


def test_client_certificate_is_required_and_its_subject_known_to_the_handler(tmp_path: Path) -> None:
    async def scenario(files: CertificateFiles) -> None:
        listener = make_server(files, need_client=True)
        port = await listener.start()
        answer = await send_request(port, TlsContextFiles(False, files.client, None, files.authority))
        assert answer.head is not None
        assert answer.head.headers.get("x-shown") == "CN=office"
        without_certificate = await send_request(port, TlsContextFiles(False, authorities=files.authority))
        assert without_certificate.head is None
        await asyncio.sleep(0.05)
        assert listener.counts["handshakes_failed"] == 1
        listener.close()

    run_with_files(scenario, tmp_path)


@pytest.mark.parametrize("defect", ["name", "authority", "plain", "expired"])
def test_unverified_peer_counts_as_no_connection(tmp_path: Path, defect: str) -> None:
    """No byte of the request was sent, so the peer can't have processed it."""

    async def scenario(files: CertificateFiles) -> None:
        listener = make_server(files)
        if defect == "expired":  # simulates a certificate that expired after it was loaded
            write_pem(make_certificate("relay", files.root, (-9, -1)), files.server)
            assert listener.tls is not None
            listener.tls.context.load_cert_chain(files.server)
        if defect == "plain":
            listener.tls = None
        port = await listener.start()
        unknown_authority = write_pem(make_certificate("stranger"), files.folder / "stranger.pem")
        context_files = TlsContextFiles(
            False, authorities=unknown_authority if defect == "authority" else files.authority
        )
        answer = await send_request(port, context_files, "other" if defect == "name" else "relay")
        assert answer.wire_result is WireResult.NO_CONNECTION
        listener.close()

    run_with_files(scenario, tmp_path)


def test_incomplete_handshakes_are_limited_and_time_out(tmp_path: Path) -> None:
    async def scenario(files: CertificateFiles) -> None:
        listener = make_server(
            files, connection_limits=server.ServerLimits(max_connections=20, head_timeout_s=0.6, sweep_interval_s=0.05)
        )
        port = await listener.start()
        outgoing, context_files = ssl.MemoryBIO(), TlsContextFiles(False, authorities=files.authority)
        handshake = context_files.context.wrap_bio(ssl.MemoryBIO(), outgoing, server_hostname="relay")
        with pytest.raises(ssl.SSLWantReadError):
            handshake.do_handshake()
        client_hello = outgoing.read()
        incomplete = [await asyncio.open_connection("127.0.0.1", port) for _ in range(60)]
        for number, (_, writer) in enumerate(incomplete):
            writer.write(client_hello[:number])
        await asyncio.sleep(0.1)
        assert len(listener.connections) <= 20
        assert {connection.phase for connection in listener.connections} == {"handshake"}
        answer = await send_request(port, context_files)  # the oldest incomplete handshake is evicted
        assert answer.head is not None
        assert answer.head.status == 200
        await asyncio.sleep(1.0)
        assert not [each for each in listener.connections if each.phase == "handshake"]
        assert listener.counts["let_go_handshake"] >= 10
        for _, writer in incomplete:
            writer.close()
        listener.close()

    run_with_files(scenario, tmp_path)


def test_bytes_that_are_not_a_handshake_are_reported(tmp_path: Path) -> None:
    async def scenario(files: CertificateFiles) -> None:
        errors: list[str] = []
        listener = make_server(files, on_error=lambda peer, error: errors.append(error.text))
        port = await listener.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.wait_for(reader.read(), 3)
        assert errors
        assert errors[0].startswith("no TLS handshake: ")
        writer.close()
        listener.close()

    run_with_files(scenario, tmp_path)


def test_unusable_certificate_files_raise_an_error_that_names_file_and_reason(tmp_path: Path) -> None:
    files = CertificateFiles(tmp_path)
    expired = write_pem(make_certificate("relay", files.root, (-9, -1)), tmp_path / "expired.pem")
    (tmp_path / "no.pem").write_text("nothing")
    for path, reason in (
        (expired, "has expired on"),
        (tmp_path / "no.pem", "expected a certificate in PEM"),
        (tmp_path / "absent.pem", "No such file"),
    ):
        with pytest.raises(TlsError, match=reason) as error:
            TlsContextFiles(True, path)
        assert str(path) in str(error.value)
    other = write_pem(make_certificate("other", files.root), tmp_path / "other.pem")
    with pytest.raises(TlsError, match="MISMATCH"):
        TlsContextFiles(True, files.server, other)


def test_certificates_are_reloaded_in_service_and_unusable_ones_are_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        files = CertificateFiles(tmp_path)
        async with RelayTestbed(tmp_path, partner={"work_ms": 150}, limits={"slots": 32}) as testbed:
            from linnetstile.as2_relay.relay import As2Relay
            from linnetstile.telemetry.log import create_logger

            settings = testbed.relay_settings("t", tls={"certificate": str(files.server)})
            service = As2Relay(settings, create_logger("critical"), seed=9)
            port = int((await service.start()).rpartition(":")[2])
            while service.registry.version < 0:  # noqa: ASYNC110  (the registry client has no event for its first list)
                await asyncio.sleep(0.01)
            pool, answers = client.ConnectionPool(), []
            trusting_old, new_root = (
                TlsContextFiles(False, authorities=files.authority),
                make_certificate("root2"),
            )
            both_authorities = files.folder / "both.pem"
            both_authorities.write_bytes(
                files.authority.read_bytes() + write_pem(new_root, tmp_path / "root2.pem").read_bytes()
            )
            trusting_both = TlsContextFiles(False, authorities=both_authorities)

            async def submit() -> None:
                message = testbed.make_message("safe")
                answered: asyncio.Future[client.CallResult] = asyncio.get_running_loop().create_future()
                # Each message is sent on a new connection, so that it uses the certificate in service at that time.
                fields = [("Host", "x"), ("Connection", "close"), *message.headers]
                pool.call(
                    ("127.0.0.1", port),
                    "POST",
                    http1.encode_request("POST", "/as2", fields, message.body),
                    answered.set_result,
                    asyncio.get_running_loop().time() + 9,
                    client.TlsParameters(trusting_both, "relay"),
                )
                answers.append(await answered)

            tasks = []
            for number in range(60):
                tasks.append(asyncio.create_task(submit()))
                if number == 20:
                    files.server.write_text("torn")  # a rotation may leave a truncated file, for a moment or longer
                elif number == 40:
                    write_pem(make_certificate("relay", new_root), files.server)
                await asyncio.sleep(0.06)
            await asyncio.gather(*tasks)
            assert [answer_kind(each) for each in answers] == ["delivered"] * 60
            assert service.counts["tls_keys_refused"] == 1
            refused = await send_request(port, trusting_old)
            assert refused.wire_result is WireResult.NO_CONNECTION  # only the new certificate is in service
            pool.close()
            service.close()

    run_test(scenario)


@pytest.mark.parametrize("trusted", [True, False])
def test_delivery_over_tls_needs_certificates_on_both_sides(tmp_path: Path, trusted: bool) -> None:
    async def scenario() -> None:
        files = CertificateFiles(tmp_path)
        certificate = files.client if trusted else None
        tls = {"authorities": files.authority, "name": "relay", "certificate": certificate}
        async with RelayTestbed(
            tmp_path, warm_up=trusted, tls=tls, partner={"tls_pem": files.server, "tls_clients": files.authority}
        ) as testbed:
            if trusted:
                assert answer_kind(await testbed.submit(testbed.make_message("unsafe", b"x" * 500_000))) == "delivered"
                assert len(testbed.partner_records("effect")) == 1
                return
            # Without a client certificate the partner ends the handshake; in TLS 1.3 the relay notices that only
            # after its first write.
            assert answer_kind(await testbed.submit(testbed.make_message("safe"))) in ("refused", "failed")
            assert not testbed.partner_records("began")
        assert not testbed.broken_rules()

    run_test(scenario)
