"""Certificates with their private keys: generation, reading from PEM and writing as PEM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ec import EllipticCurvePrivateKey
    from cryptography.hazmat.primitives.asymmetric.rsa import RSAPrivateKey
    from cryptography.x509 import Certificate

MAX_COMMON_NAME_LENGTH = 64  # characters (RFC 5280, A.1)
RSA_KEY_BITS = 2048
RSA_PUBLIC_EXPONENT = 65537


@dataclass(frozen=True, slots=True)
class Identity:
    """A certificate with its private key."""

    certificate: Certificate
    key: RSAPrivateKey | EllipticCurvePrivateKey


def generate_identity(common_name: str, days: int = 3650, rsa: bool = False) -> Identity:
    """Generate a key and a self-signed certificate for it.

    Args:
        common_name: Common name of subject and issuer; truncated to 64 characters.
        days: Validity of the certificate in days, counted from one day before now.
        rsa: Whether the key is RSA 2048, which decryption needs; P-256 otherwise.
    """
    import datetime

    from cryptography import x509
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.asymmetric import ec
    from cryptography.hazmat.primitives.asymmetric import rsa as rsa_keys

    key: RSAPrivateKey | EllipticCurvePrivateKey
    if rsa:
        key = rsa_keys.generate_private_key(RSA_PUBLIC_EXPONENT, RSA_KEY_BITS)
    else:
        key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, common_name[:MAX_COMMON_NAME_LENGTH])])
    start = datetime.datetime.now(datetime.UTC) - datetime.timedelta(days=1)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=days))
    )
    return Identity(builder.sign(key, hashes.SHA256()), key)


def encode_identity(identity: Identity) -> bytes:
    """Encode an identity as PEM: the key, then the certificate."""
    from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat

    key_pem = identity.key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    return key_pem + identity.certificate.public_bytes(Encoding.PEM)


def load_identity(pem: bytes) -> Identity:
    """Read an identity from PEM with the key and the certificate; raises `ValueError` if one of them is missing."""
    from cryptography import x509
    from cryptography.hazmat.primitives.serialization import load_pem_private_key

    key: Any = load_pem_private_key(pem, None)
    return Identity(x509.load_pem_x509_certificate(pem), key)


def load_certificate(pem: bytes) -> Certificate:
    """Read a certificate from PEM; raises `ValueError` if there is none."""
    from cryptography import x509

    return x509.load_pem_x509_certificate(pem)
