"""Encrypted and compressed entities (RFC 5652, 6; RFC 3274)."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from ..mime import EncodedEntity
from .content_info import load_content
from .errors import CmsError
from .identity import Identity

if TYPE_CHECKING:
    from cryptography.x509 import Certificate

MAX_DECOMPRESSED_BYTES = 256 * 1024 * 1024


def encrypt(content: bytes, recipient: Certificate) -> EncodedEntity:
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
    return EncodedEntity('application/pkcs7-mime; smime-type=enveloped-data; name="smime.p7m"', der)


def decrypt(der: bytes, identity: Identity) -> bytes:
    """Decrypt an enveloped entity.

    Raises:
        CmsError: The entity is not encrypted for this key, or can't be read.
    """
    from cryptography.hazmat.primitives.serialization import pkcs7

    try:
        # The type stub requires an RSA key; the library raises TypeError for another one.
        return pkcs7.pkcs7_decrypt_der(der, identity.certificate, identity.key, [])  # type: ignore[arg-type]
    except (ValueError, TypeError) as error:
        raise CmsError(
            "an enveloped message that can't be opened", expected="CMS enveloped data for this key", found=str(error)
        ) from error


def compress(content: bytes) -> EncodedEntity:
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
    return EncodedEntity('application/pkcs7-mime; smime-type=compressed-data; name="smime.p7z"', bytes(der))


def decompress(der: bytes, max_bytes: int = MAX_DECOMPRESSED_BYTES) -> bytes:
    """Decompress an entity to `max_bytes` at most, because a few bytes can expand to gigabytes.

    Raises:
        CmsError: The input is not compressed data, is truncated, can't be read or expands to more than `max_bytes`.
    """
    try:
        compressed_data = load_content(der, "compressed_data", "not compressed data")
        inflater = zlib.decompressobj()
        data = inflater.decompress(compressed_data["encap_content_info"]["content"].native, max_bytes)
    except CmsError:
        raise
    except (ValueError, KeyError, TypeError, zlib.error) as error:
        raise CmsError(
            "compressed data that can't be read", expected="CMS compressed data", found=str(error)
        ) from error
    if inflater.unconsumed_tail or not inflater.eof:
        raise CmsError(
            f"compressed data that is cut short or holds more than {max_bytes} bytes", expected=f"<= {max_bytes} bytes"
        )
    return data
