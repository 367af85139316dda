"""Certificates for TLS tests: an authority, and the certificates that it signed."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

CertificateAndKey = tuple[x509.Certificate, ec.EllipticCurvePrivateKey]


def make_certificate(
    name: str, issuer: CertificateAndKey | None = None, valid_days: tuple[int, int] = (-1, 10)
) -> CertificateAndKey:
    """Create a certificate for a name and 127.0.0.1; without an issuer it is an authority.

    `valid_days` is the start and the end of its validity, in days from now.
    """
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[0].subject if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now + datetime.timedelta(days=valid_days[0]))
        .not_valid_after(now + datetime.timedelta(days=valid_days[1]))
        .add_extension(x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName(name), x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(issuer[1] if issuer else key, hashes.SHA256())
    )
    return certificate, key


def write_pem(pair: CertificateAndKey, path: Path) -> Path:
    """Write certificate and key to one file, and replace an existing file atomically."""
    new_file = path.with_suffix(".new")
    new_file.write_bytes(
        pair[0].public_bytes(serialization.Encoding.PEM)
        + pair[1].private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    new_file.replace(path)
    return path


class CertificateFiles:
    """An authority, and the certificates of a server and a client that it signed."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.root = make_certificate("root")
        self.authority = write_pem(self.root, folder / "root.pem")
        self.server = write_pem(make_certificate("relay", self.root), folder / "server.pem")
        self.client = write_pem(make_certificate("office", self.root), folder / "client.pem")
