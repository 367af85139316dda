"""Opens a message that is signed, compressed or encrypted, or several of these."""

from __future__ import annotations

from typing import NamedTuple

from .. import mime
from .envelope import decompress, decrypt
from .identity import Identity
from .signing import split_signed

MAX_LAYERS = 4  # nested entities of one message that are examined, including the innermost one


class DigestInput(NamedTuple):
    """The bytes of a message that the digest in its receipt covers (RFC 4130, 7.3.1; RFC 5402, 5).

    Attributes:
        content: Of a signed message, the signed entity; of one that is only compressed or encrypted, the entity inside;
            of a plain one, the body without headers. None if the message is encrypted and there is no key, a layer has
            an unknown type, or there are more than `MAX_LAYERS`.
        is_plain: Whether `content` is the body of a plain message.
    """

    content: bytes | None
    is_plain: bool


UNREADABLE = DigestInput(None, is_plain=False)


def extract_digest_input(content_type: str, encoding: str, body: bytes, key: Identity | None) -> DigestInput:
    """Open the layers of a message; return the bytes that the digest in its receipt covers.

    Args:
        content_type: Content-Type of the message.
        encoding: Content-Transfer-Encoding of the message; may be empty.
        body: Body of the message.
        key: Identity that decrypts the message; None if there is none.

    Raises:
        CmsError: A layer can't be read.
        MimeError: A layer can't be read.
    """
    entity: bytes | None = None  # content of the layer that was opened last
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
    """Return the entity inside one layer; None if there is no key for it, or its type is unknown."""
    if smime_type == "compressed-data":
        return decompress(der)
    if smime_type == "enveloped-data" and key is not None:
        return decrypt(der, key)
    return None
