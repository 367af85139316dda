"""Opens a message that is signed, compressed or encrypted, or several of these."""

from __future__ import annotations

from typing import NamedTuple

from .. import mime
from .envelope import decompress, decrypt
from .identity import Identity
from .signing import split_signed

MAX_LAYERS = 4  # of signature, compression and encryption around a content


class DigestInput(NamedTuple):
    """What the digest of a receipt is taken over (RFC 4130, 7.3.1; RFC 5402, 5).

    Attributes:
        content: Signed: the signed entity. Compressed or encrypted only: the entity inside. Plain: the body without
            headers. None if it is encrypted and there is no key, or there are more than `MAX_LAYERS`.
        is_plain: Whether that is a plain body.
    """

    content: bytes | None
    is_plain: bool


UNREADABLE = DigestInput(None, is_plain=False)


def open_layers(content_type: str, encoding: str, body: bytes, key: Identity | None) -> DigestInput:
    """Return what a receipt's digest is taken over.

    Args:
        content_type: Content-Type of the message.
        encoding: Its Content-Transfer-Encoding; may be empty.
        body: Its body.
        key: What decrypts it; None if there is no key.

    Raises:
        CmsError: A layer can't be read.
        MimeError: A layer can't be read.
    """
    entity: bytes | None = None  # what the last layer contained
    for _ in range(MAX_LAYERS):
        media_type = mime.parse_content_type(content_type)
        if media_type.name == "multipart/signed":
            return DigestInput(split_signed(content_type, body).entity, is_plain=False)
        if media_type.name != "application/pkcs7-mime":
            if entity is None:
                return DigestInput(mime.decode_body(body, encoding), is_plain=True)
            return DigestInput(entity, is_plain=False)
        smime_type = media_type.params.get("smime-type", "").lower()
        entity = _open_layer(smime_type, mime.decode_body(body, encoding), key)
        if entity is None:
            return UNREADABLE
        inner = mime.parse_entity(entity)
        content_type = inner.headers.get("content-type", mime.DEFAULT_CONTENT_TYPE)
        encoding = inner.headers.get("content-transfer-encoding")
        body = inner.body
    return UNREADABLE


def _open_layer(smime_type: str, der: bytes, key: Identity | None) -> bytes | None:
    """Return the entity inside one layer; None if there is no key for it, or its type is not known."""
    if smime_type == "compressed-data":
        return decompress(der)
    if smime_type == "enveloped-data" and key is not None:
        return decrypt(der, key)
    return None
