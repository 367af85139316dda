"""Digest algorithms by the values of micalg parameters."""

from __future__ import annotations

import hashlib

from .errors import CmsError

# Algorithm names of hashlib by the values of micalg parameters (RFC 3851 and RFC 5751).
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


def digest(data: bytes, micalg: str) -> bytes:
    """Return the digest of `data`.

    Raises:
        CmsError: The algorithm is unknown.
    """
    algorithm = HASH_NAMES.get(micalg.lower())
    if algorithm is None:
        raise CmsError("an unknown digest algorithm", field="micalg", expected=" or ".join(HASH_NAMES), found=micalg)
    return hashlib.new(algorithm, data).digest()
