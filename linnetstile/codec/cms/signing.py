"""Detached signatures of entities (RFC 8551, 3.5.3; RFC 5652, 5)."""

from __future__ import annotations

import base64
import hashlib
from typing import TYPE_CHECKING, Any, NamedTuple

from .. import mime
from .content_info import load_content
from .digests import HASH_NAMES
from .errors import CmsError
from .identity import Identity

if TYPE_CHECKING:
    from cryptography.x509 import Certificate

SET_OF_TAG = b"\x31"


class SignedParts(NamedTuple):
    """The two parts of a multipart/signed: the signed entity and the DER signature."""

    entity: bytes
    signature: bytes


def sign(content: bytes, signer: Identity, micalg: str = "sha-256") -> mime.EncodedEntity:
    """Sign an entity with a detached signature (RFC 8551, 3.5.3).

    Args:
        content: The entity with its MIME headers.
        signer: Identity that signs.
        micalg: `sha-256`, `sha-384` or `sha-512`.

    Returns:
        The multipart/signed entity.
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


def split_signed(content_type: str, body: bytes) -> SignedParts:
    """Split a multipart/signed into its parts; nothing is verified.

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
    return SignedParts(parts[0], mime.parse_entity(parts[1]).decoded_body())


def verify(content: bytes, der: bytes, certificate: Certificate, allow_sha1: bool = False) -> str:
    """Verify a detached signature with the key of `certificate` (RFC 5652, 5.4 to 5.6).

    The certificate itself is trusted, without a chain: partners exchange their certificates beforehand.

    Args:
        content: The signed entity, byte for byte.
        der: The signature.
        certificate: Certificate of the expected signer.
        allow_sha1: Whether signatures over SHA-1 digests are accepted.

    Returns:
        The name of the digest algorithm.

    Raises:
        CmsError: The signature is not valid or can't be read.
    """
    from cryptography.exceptions import InvalidSignature

    try:
        signed_data = load_content(der, "signed_data", "not signed data")
        signers = signed_data["signer_infos"]
        if len(signers) != 1:
            raise CmsError("a signature that does not have one signer", expected="1 signer", found=str(len(signers)))
        signer = signers[0]
        algorithm = signer["digest_algorithm"]["algorithm"].native
        _check_algorithm(algorithm, allow_sha1)
        signed_bytes = _signed_bytes(content, signed_data, signer["signed_attrs"], algorithm)
        _verify_with_key(certificate.public_key(), signer, signed_bytes, algorithm)
        return str(algorithm)
    except CmsError:
        raise
    except InvalidSignature as error:
        raise CmsError(
            "a signature that is not valid for the certificate", expected="a signature by the certificate's key"
        ) from error
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise CmsError("a signature that can't be read", expected="CMS signed data", found=str(error)) from error


def _check_algorithm(algorithm: Any, allow_sha1: bool) -> None:
    """Raise `CmsError` for a digest algorithm that is unknown or too weak."""
    is_too_weak = algorithm == "sha1" and not allow_sha1
    if algorithm not in HASH_NAMES.values() or is_too_weak:
        raise CmsError(
            f"digest {algorithm} is not allowed",
            field="digest_algorithm",
            expected="sha1, sha256, sha384 or sha512" if allow_sha1 else "sha256, sha384 or sha512",
            found=str(algorithm),
        )


def _signed_bytes(content: bytes, signed_data: Any, attributes: Any, algorithm: str) -> bytes:
    """Return the bytes that the signature covers.

    These are the signed attributes, which contain the digest of the content, or the content if there are none.
    """
    if not len(attributes):
        return content
    values = {attribute["type"].native: attribute["values"] for attribute in attributes}
    _require_signed_value(
        "the content is not what was signed",
        field="message_digest",
        signed=values["message_digest"][0].native,
        found=hashlib.new(algorithm, content).digest(),
    )
    _require_signed_value(
        "the content type is not what was signed",
        field="content_type",
        signed=values["content_type"][0].native,
        found=signed_data["encap_content_info"]["content_type"].native,
    )
    attributes_der: bytes = attributes.dump()
    return SET_OF_TAG + attributes_der[1:]  # signed with the tag of a SET OF (RFC 5652, 5.4)


def _require_signed_value(text: str, *, field: str, signed: Any, found: Any) -> None:
    """Raise `CmsError` if the signed value of an attribute differs from that of this message."""
    if signed != found:
        raise CmsError(text, field=field, expected=str(signed), found=str(found))


def _verify_with_key(key: Any, signer: Any, signed_bytes: bytes, algorithm: str) -> None:
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.asymmetric import ec, padding, rsa

    hash_types: Any = {"sha1": hashes.SHA1, "sha256": hashes.SHA256, "sha384": hashes.SHA384, "sha512": hashes.SHA512}
    chosen_hash = hash_types[algorithm]()
    signature = signer["signature"].native
    if isinstance(key, rsa.RSAPublicKey):
        scheme = signer["signature_algorithm"].signature_algo
        if scheme != "rsassa_pkcs1v15":
            raise CmsError("an unsupported signature scheme", expected="rsassa_pkcs1v15", found=str(scheme))
        key.verify(signature, signed_bytes, padding.PKCS1v15(), chosen_hash)
    elif isinstance(key, ec.EllipticCurvePublicKey):
        key.verify(signature, signed_bytes, ec.ECDSA(chosen_hash))
    else:
        raise CmsError("an unsupported key type", expected="RSA or EC", found=type(key).__name__)
