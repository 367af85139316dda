"""Signed, encrypted and compressed MIME (RFC 5652, 8551, 1847, 3274, 5402), on cryptography and asn1crypto.

Entities are bytes with their MIME headers. The heavy libraries are imported where first used."""

from __future__ import annotations

import base64
import hashlib
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from . import mime

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ec import EllipticCurvePrivateKey
    from cryptography.hazmat.primitives.asymmetric.rsa import RSAPrivateKey
    from cryptography.x509 import Certificate

INFLATED_MAX = 256 * 1024 * 1024
DIGESTS = {
    "sha1": "sha1",
    "sha-1": "sha1",
    "sha256": "sha256",
    "sha-256": "sha256",
    "sha384": "sha384",
    "sha-384": "sha384",
    "sha512": "sha512",
    "sha-512": "sha512",
}


class CmsError(ValueError):
    """A signature does not hold, or a CMS object can't be read."""


@dataclass(frozen=True, slots=True)
class Identity:
    """A certificate with its private key."""

    certificate: Certificate
    key: RSAPrivateKey | EllipticCurvePrivateKey


def digest(data: bytes, micalg: str) -> bytes:
    if micalg.lower() not in DIGESTS:
        raise CmsError("a digest algorithm that is not known")
    return hashlib.new(DIGESTS[micalg.lower()], data).digest()


def make_identity(common_name: str, days: int = 3650, rsa: bool = False) -> Identity:
    """A self-signed certificate with a new key (P-256, or RSA 2048 for decryption)."""
    import datetime

    from cryptography import x509
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.asymmetric import ec
    from cryptography.hazmat.primitives.asymmetric import rsa as rsa_keys

    key = rsa_keys.generate_private_key(65537, 2048) if rsa else ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, common_name[:64])])
    start = datetime.datetime.now(datetime.UTC) - datetime.timedelta(days=1)
    made = x509.CertificateBuilder().subject_name(subject).issuer_name(subject).public_key(key.public_key())
    made = made.serial_number(x509.random_serial_number()).not_valid_before(start)
    return Identity(made.not_valid_after(start + datetime.timedelta(days=days)).sign(key, hashes.SHA256()), key)


def save(identity: Identity) -> bytes:
    """PEM: the key, then the certificate."""
    from cryptography.hazmat.primitives import serialization as s

    pem = identity.key.private_bytes(s.Encoding.PEM, s.PrivateFormat.PKCS8, s.NoEncryption())
    return pem + identity.certificate.public_bytes(s.Encoding.PEM)


def load(pem: bytes) -> Identity:
    from cryptography import x509
    from cryptography.hazmat.primitives.serialization import load_pem_private_key

    key: Any = load_pem_private_key(pem, None)
    return Identity(x509.load_pem_x509_certificate(pem), key)


def load_certificate(pem: bytes) -> Certificate:
    from cryptography import x509

    return x509.load_pem_x509_certificate(pem)


def sign(content: bytes, by: Identity, micalg: str = "sha-256") -> tuple[str, bytes]:
    """Content type and body of a multipart/signed over an entity with a detached signature (RFC 8551, 3.5.3)."""
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.serialization import pkcs7

    algorithms: Any = {"sha256": hashes.SHA256(), "sha384": hashes.SHA384(), "sha512": hashes.SHA512()}
    algorithm = algorithms[DIGESTS[micalg]]
    der = (
        pkcs7.PKCS7SignatureBuilder()
        .set_data(content)
        .add_signer(by.certificate, by.key, algorithm)
        .sign(serialization.Encoding.DER, [pkcs7.PKCS7Options.DetachedSignature, pkcs7.PKCS7Options.Binary])
    )
    part = (
        b'Content-Type: application/pkcs7-signature; name="smime.p7s"\r\n'
        b"Content-Transfer-Encoding: base64\r\n\r\n" + base64.encodebytes(der).replace(b"\n", b"\r\n").rstrip()
    )
    return mime.multipart("signed", [content, part], {"protocol": "application/pkcs7-signature", "micalg": micalg})


def signed_content(content_type: str, body: bytes) -> tuple[bytes, bytes]:
    """The signed entity and the DER signature of a multipart/signed; nothing is verified."""
    kind = mime.content_type(content_type)
    if kind.name != "multipart/signed":
        raise CmsError("not a multipart/signed")
    found = mime.parts(body, kind.params.get("boundary", ""))
    if len(found) != 2:
        raise CmsError("a multipart/signed without two parts")
    return found[0], mime.entity(found[1]).decoded()


def verify(content: bytes, der: bytes, certificate: Certificate, sha1: bool = False) -> str:
    """Checks a detached signature by the holder of `certificate` (RFC 5652, 5.4 to 5.6). Returns the digest
    algorithm; raises `CmsError`. The certificate is trusted as such: partners exchange them beforehand."""
    from asn1crypto import cms
    from cryptography.exceptions import InvalidSignature
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.asymmetric import ec, padding, rsa

    try:
        info = cms.ContentInfo.load(der, strict=True)
        if info["content_type"].native != "signed_data":
            raise CmsError("not signed data")
        signers = info["content"]["signer_infos"]
        if len(signers) != 1:
            raise CmsError("not one signer")
        signer = signers[0]
        algorithm = signer["digest_algorithm"]["algorithm"].native
        if algorithm not in DIGESTS.values() or algorithm == "sha1" and not sha1:
            raise CmsError(f"digest {algorithm} is not allowed")
        signed, attributes = content, signer["signed_attrs"]
        if len(attributes):
            values = {item["type"].native: item["values"] for item in attributes}
            told = values["message_digest"][0].native
            if told != hashlib.new(algorithm, content).digest():
                raise CmsError("the content is not what was signed")
            if values["content_type"][0].native != info["content"]["encap_content_info"]["content_type"].native:
                raise CmsError("the content type is not what was signed")
            signed = b"\x31" + attributes.dump()[1:]  # as a SET OF, its own tag (RFC 5652, 5.4)
        key = certificate.public_key()
        kinds: Any = {"sha1": hashes.SHA1, "sha256": hashes.SHA256, "sha384": hashes.SHA384, "sha512": hashes.SHA512}
        chosen = kinds[algorithm]()
        signature = signer["signature"].native
        if isinstance(key, rsa.RSAPublicKey):
            if signer["signature_algorithm"].signature_algo != "rsassa_pkcs1v15":
                raise CmsError("a signature scheme that is not known")
            key.verify(signature, signed, padding.PKCS1v15(), chosen)
        elif isinstance(key, ec.EllipticCurvePublicKey):
            key.verify(signature, signed, ec.ECDSA(chosen))
        else:
            raise CmsError("a key type that is not known")
        return str(algorithm)
    except InvalidSignature as error:
        raise CmsError("the signature does not hold") from error
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise error if isinstance(error, CmsError) else CmsError("a signature that can't be read") from error


def encrypt(content: bytes, to: Certificate) -> tuple[str, bytes]:
    from cryptography.hazmat.primitives import serialization
    from cryptography.hazmat.primitives.ciphers import algorithms
    from cryptography.hazmat.primitives.serialization import pkcs7

    builder = pkcs7.PKCS7EnvelopeBuilder().set_data(content).add_recipient(to)
    builder = builder.set_content_encryption_algorithm(algorithms.AES128)
    der = builder.encrypt(serialization.Encoding.DER, [pkcs7.PKCS7Options.Binary])
    return 'application/pkcs7-mime; smime-type=enveloped-data; name="smime.p7m"', der


def decrypt(der: bytes, by: Identity) -> bytes:
    from cryptography.hazmat.primitives.serialization import pkcs7

    try:
        return pkcs7.pkcs7_decrypt_der(der, by.certificate, by.key, [])  # type: ignore[arg-type]
    except (ValueError, TypeError) as error:
        raise CmsError("an enveloped message that can't be opened") from error


def compress(content: bytes) -> tuple[str, bytes]:
    """RFC 3274 with the media type of RFC 5402."""
    from asn1crypto import cms

    der = cms.ContentInfo(
        {
            "content_type": "compressed_data",
            "content": {
                "version": "v0",
                "compression_algorithm": {"algorithm": "zlib"},
                "encap_content_info": {"content_type": "data", "content": zlib.compress(content)},
            },
        }
    ).dump()
    return 'application/pkcs7-mime; smime-type=compressed-data; name="smime.p7z"', bytes(der)


def decompress(der: bytes, most: int = INFLATED_MAX) -> bytes:
    """Bounded by `most` bytes, as a few bytes can swell to gigabytes."""
    from asn1crypto import cms

    try:
        info = cms.ContentInfo.load(der, strict=True)
        if info["content_type"].native != "compressed_data":
            raise CmsError("not compressed data")
        inflater = zlib.decompressobj()
        data = inflater.decompress(info["content"]["encap_content_info"]["content"].native, most)
        if inflater.unconsumed_tail or not inflater.eof:
            raise CmsError(f"compressed data that is cut short or holds more than {most} bytes")
        return data
    except (ValueError, KeyError, TypeError, zlib.error) as error:
        raise error if isinstance(error, CmsError) else CmsError("compressed data that can't be read") from error


def opened(content_type: str, encoding: str, body: bytes, key: Identity | None) -> tuple[bytes | None, bool]:
    """What a receipt's digest is taken over (RFC 4130, 7.3.1; RFC 5402, 5), and whether it is of a plain body.

    Signed: the signed entity. Compressed or encrypted only: the entity inside. Plain: the body without headers.
    None where that is closed to whoever lacks the key, or beyond four layers."""
    raw, plain, entity = body, True, b""
    kind, coding = content_type, encoding
    for _ in range(4):
        media = mime.content_type(kind)
        if media.name == "multipart/signed":
            return signed_content(kind, raw)[0], False
        if media.name != "application/pkcs7-mime":
            return (mime.decode(raw, coding), True) if plain else (entity, False)
        smime, der = media.params.get("smime-type", "").lower(), mime.decode(raw, coding)
        if smime == "compressed-data":
            entity = decompress(der)
        elif smime == "enveloped-data" and key is not None:
            entity = decrypt(der, key)
        else:
            return None, False
        inner = mime.entity(entity)
        kind, coding = inner.headers.get("content-type", "text/plain"), inner.headers.get("content-transfer-encoding")
        raw, plain = inner.body, False
    return None, False
