"""Signed, encrypted and compressed MIME (RFC 5652, 8551, 1847, 3274, 5402), on cryptography and asn1crypto.

Entities are bytes with their MIME headers. The heavy libraries are imported where first used, so that a process that
needs none of this starts quickly.
"""

from __future__ import annotations

import base64
import hashlib
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..errors import ProtocolError
from . import mime

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ec import EllipticCurvePrivateKey
    from cryptography.hazmat.primitives.asymmetric.rsa import RSAPrivateKey
    from cryptography.x509 import Certificate

MAX_DECOMPRESSED_BYTES = 256 * 1024 * 1024  # bytes of decompressed data
MAX_LAYERS = 4  # of signature, compression and encryption around a content
MAX_COMMON_NAME_LENGTH = 64  # characters (RFC 5280, A.1)
RSA_KEY_BITS = 2048
RSA_PUBLIC_EXPONENT = 65537
SET_OF_TAG = b"\x31"

# Names of hashlib by the names of micalg parameters (RFC 3851 and RFC 5751).
HASH_NAMES = {
    "sha1": "sha1",
    "sha-1": "sha1",
    "sha256": "sha256",
    "sha-256": "sha256",
    "sha384": "sha384",
    "sha-384": "sha384",
    "sha512": "sha512",
    "sha-512": "sha512",
}


class CmsError(ProtocolError):
    """A signature does not hold, or a CMS object can't be read."""


@dataclass(frozen=True, slots=True)
class Identity:
    """A certificate with its private key."""

    certificate: Certificate
    key: RSAPrivateKey | EllipticCurvePrivateKey


def digest(data: bytes, micalg: str) -> bytes:
    """Return the digest of `data`.

    Raises:
        CmsError: The algorithm is not known.
    """
    algorithm = HASH_NAMES.get(micalg.lower())
    if algorithm is None:
        raise CmsError("a digest algorithm that is not known", field="micalg", found=micalg)
    return hashlib.new(algorithm, data).digest()


def make_identity(common_name: str, days: int = 3650, rsa: bool = False) -> Identity:
    """Make a self-signed certificate with a new key.

    Args:
        common_name: Common name of subject and issuer; cut to 64 characters.
        days: How long it is valid, from a day ago on.
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
    """Read an identity from PEM that has the key and the certificate; raises `ValueError` where it has not."""
    from cryptography import x509
    from cryptography.hazmat.primitives.serialization import load_pem_private_key

    key: Any = load_pem_private_key(pem, None)
    return Identity(x509.load_pem_x509_certificate(pem), key)


def load_certificate(pem: bytes) -> Certificate:
    """Read a certificate from PEM; raises `ValueError` where there is none."""
    from cryptography import x509

    return x509.load_pem_x509_certificate(pem)


def sign(content: bytes, signer: Identity, micalg: str = "sha-256") -> tuple[str, bytes]:
    """Sign an entity with a detached signature (RFC 8551, 3.5.3).

    Args:
        content: The entity with its MIME headers.
        signer: Who signs.
        micalg: `sha-256`, `sha-384` or `sha-512`.

    Returns:
        Content type and body of the multipart/signed.
    """
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.serialization import pkcs7

    algorithms: Any = {"sha256": hashes.SHA256(), "sha384": hashes.SHA384(), "sha512": hashes.SHA512()}
    algorithm = algorithms[HASH_NAMES[micalg]]
    der = (
        pkcs7.PKCS7SignatureBuilder()
        .set_data(content)
        .add_signer(signer.certificate, signer.key, algorithm)
        .sign(serialization.Encoding.DER, [pkcs7.PKCS7Options.DetachedSignature, pkcs7.PKCS7Options.Binary])
    )
    signature_part = (
        b'Content-Type: application/pkcs7-signature; name="smime.p7s"\r\n'
        b"Content-Transfer-Encoding: base64\r\n\r\n" + base64.encodebytes(der).replace(b"\n", b"\r\n").rstrip()
    )
    params = {"protocol": "application/pkcs7-signature", "micalg": micalg}
    return mime.encode_multipart("signed", [content, signature_part], params)


def split_signed(content_type: str, body: bytes) -> tuple[bytes, bytes]:
    """Take a multipart/signed apart; nothing is verified.

    Returns:
        The signed entity and the DER signature.

    Raises:
        CmsError: It is not a multipart/signed of two parts.
        MimeError: Its parts or the signature's headers can't be read.
    """
    media_type = mime.parse_content_type(content_type)
    if media_type.name != "multipart/signed":
        raise CmsError("not a multipart/signed", field="Content-Type", expected="multipart/signed", found=content_type)
    parts = mime.split_multipart(body, media_type.params.get("boundary", ""))
    if len(parts) != 2:
        raise CmsError("a multipart/signed without two parts", expected="2 parts", found=str(len(parts)))
    return parts[0], mime.parse_entity(parts[1]).decoded_body()


def verify(content: bytes, der: bytes, certificate: Certificate, allow_sha1: bool = False) -> str:
    """Check a detached signature by the holder of `certificate` (RFC 5652, 5.4 to 5.6).

    The certificate is trusted as such: partners exchange them beforehand.

    Args:
        content: The signed entity, byte for byte.
        der: The signature.
        certificate: Whose signature it should be.
        allow_sha1: Whether signatures over SHA-1 are accepted.

    Returns:
        The digest algorithm.

    Raises:
        CmsError: The signature does not hold or can't be read.
    """
    from cryptography.exceptions import InvalidSignature

    try:
        signed_data = _load_content(der, "signed_data", "not signed data")
        signers = signed_data["signer_infos"]
        if len(signers) != 1:
            raise CmsError("not one signer", expected="1 signer", found=str(len(signers)))
        signer = signers[0]
        algorithm = signer["digest_algorithm"]["algorithm"].native
        if algorithm not in HASH_NAMES.values() or algorithm == "sha1" and not allow_sha1:
            raise CmsError(f"digest {algorithm} is not allowed", field="digest_algorithm", found=str(algorithm))
        signed_bytes = _signed_bytes(content, signed_data, signer["signed_attrs"], algorithm)
        _verify_with_key(certificate.public_key(), signer, signed_bytes, algorithm)
        return str(algorithm)
    except CmsError:
        raise
    except InvalidSignature as error:
        raise CmsError("the signature does not hold") from error
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise CmsError("a signature that can't be read") from error


def _load_content(der: bytes, content_type: str, otherwise: str) -> Any:
    """Return the content of a ContentInfo of the type asked for; raises `CmsError(otherwise)` for others."""
    from asn1crypto import cms

    info = cms.ContentInfo.load(der, strict=True)
    found = info["content_type"].native
    if found != content_type:
        raise CmsError(otherwise, field="content_type", expected=content_type, found=str(found))
    return info["content"]


def _signed_bytes(content: bytes, signed_data: Any, attributes: Any, algorithm: str) -> bytes:
    """Return what the signature is over: the signed attributes, which hold the digest of the content, if any."""
    if not len(attributes):
        return content
    values = {attribute["type"].native: attribute["values"] for attribute in attributes}
    if values["message_digest"][0].native != hashlib.new(algorithm, content).digest():
        raise CmsError("the content is not what was signed", field="message_digest")
    if values["content_type"][0].native != signed_data["encap_content_info"]["content_type"].native:
        raise CmsError("the content type is not what was signed", field="content_type")
    attributes_der: bytes = attributes.dump()
    return SET_OF_TAG + attributes_der[1:]  # as a SET OF, its own tag (RFC 5652, 5.4)


def _verify_with_key(key: Any, signer: Any, signed_bytes: bytes, algorithm: str) -> None:
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.asymmetric import ec, padding, rsa

    hash_types: Any = {"sha1": hashes.SHA1, "sha256": hashes.SHA256, "sha384": hashes.SHA384, "sha512": hashes.SHA512}
    chosen_hash = hash_types[algorithm]()
    signature = signer["signature"].native
    if isinstance(key, rsa.RSAPublicKey):
        scheme = signer["signature_algorithm"].signature_algo
        if scheme != "rsassa_pkcs1v15":
            raise CmsError("a signature scheme that is not known", expected="rsassa_pkcs1v15", found=str(scheme))
        key.verify(signature, signed_bytes, padding.PKCS1v15(), chosen_hash)
    elif isinstance(key, ec.EllipticCurvePublicKey):
        key.verify(signature, signed_bytes, ec.ECDSA(chosen_hash))
    else:
        raise CmsError("a key type that is not known", expected="RSA or EC", found=type(key).__name__)


def encrypt(content: bytes, recipient: Certificate) -> tuple[str, bytes]:
    """Encrypt an entity for the holder of a certificate with an RSA key; return content type and DER body."""
    from cryptography.hazmat.primitives import serialization
    from cryptography.hazmat.primitives.ciphers import algorithms
    from cryptography.hazmat.primitives.serialization import pkcs7

    builder = (
        pkcs7.PKCS7EnvelopeBuilder()
        .set_data(content)
        .add_recipient(recipient)
        .set_content_encryption_algorithm(algorithms.AES128)
    )
    der = builder.encrypt(serialization.Encoding.DER, [pkcs7.PKCS7Options.Binary])
    return 'application/pkcs7-mime; smime-type=enveloped-data; name="smime.p7m"', der


def decrypt(der: bytes, identity: Identity) -> bytes:
    """Decrypt an enveloped entity.

    Raises:
        CmsError: It is not for this key, or can't be read.
    """
    from cryptography.hazmat.primitives.serialization import pkcs7

    try:
        # The stub asks for an RSA key; the library raises TypeError for another one.
        return pkcs7.pkcs7_decrypt_der(der, identity.certificate, identity.key, [])  # type: ignore[arg-type]
    except (ValueError, TypeError) as error:
        raise CmsError("an enveloped message that can't be opened") from error


def compress(content: bytes) -> tuple[str, bytes]:
    """Compress an entity (RFC 3274); return content type (RFC 5402) and DER body."""
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


def decompress(der: bytes, max_bytes: int = MAX_DECOMPRESSED_BYTES) -> bytes:
    """Decompress an entity; bounded by `max_bytes`, as a few bytes can swell to gigabytes.

    Raises:
        CmsError: It is not compressed data, is cut short, can't be read or holds more than `max_bytes`.
    """
    try:
        compressed_data = _load_content(der, "compressed_data", "not compressed data")
        inflater = zlib.decompressobj()
        data = inflater.decompress(compressed_data["encap_content_info"]["content"].native, max_bytes)
    except CmsError:
        raise
    except (ValueError, KeyError, TypeError, zlib.error) as error:
        raise CmsError("compressed data that can't be read") from error
    if inflater.unconsumed_tail or not inflater.eof:
        raise CmsError(
            f"compressed data that is cut short or holds more than {max_bytes} bytes", expected=f"<= {max_bytes} bytes"
        )
    return data


def open_layers(content_type: str, encoding: str, body: bytes, key: Identity | None) -> tuple[bytes | None, bool]:
    """Return what a receipt's digest is taken over (RFC 4130, 7.3.1; RFC 5402, 5), and whether that is a plain body.

    Signed: the signed entity. Compressed or encrypted only: the entity inside. Plain: the body without headers.
    None where that is closed to whoever lacks the key, or beyond four layers.

    Args:
        content_type: Content-Type of the message.
        encoding: Its Content-Transfer-Encoding; may be empty.
        body: Its body.
        key: What decrypts it; None if there is no key.

    Raises:
        CmsError: A layer can't be read.
        MimeError: A layer can't be read.
    """
    entity = b""  # what the last layer held
    is_plain = True
    for _ in range(MAX_LAYERS):
        media_type = mime.parse_content_type(content_type)
        if media_type.name == "multipart/signed":
            return split_signed(content_type, body)[0], False
        if media_type.name != "application/pkcs7-mime":
            return (mime.decode_body(body, encoding), True) if is_plain else (entity, False)
        smime_type = media_type.params.get("smime-type", "").lower()
        der = mime.decode_body(body, encoding)
        if smime_type == "compressed-data":
            entity = decompress(der)
        elif smime_type == "enveloped-data" and key is not None:
            entity = decrypt(der, key)
        else:
            return None, False
        inner = mime.parse_entity(entity)
        content_type = inner.headers.get("content-type", mime.DEFAULT_CONTENT_TYPE)
        encoding = inner.headers.get("content-transfer-encoding")
        body = inner.body
        is_plain = False
    return None, False
