"""S/MIME and CMS (RFC 5652, 8551, 1847, 3274, 5402), based on the packages cryptography and asn1crypto.

Entities are bytes with their MIME headers. The two packages are imported where they are first used, because they are
large and a process that needs neither should start quickly.

Other packages import from this module only. Its parts: `identity.py` has certificates with their keys, `digests.py` the
digest algorithms, `signing.py` signatures, `envelope.py` encryption and compression; `layers.py` opens a message that
has several of these layers.
"""

from __future__ import annotations

from .digests import HASH_NAMES, digest
from .envelope import compress, decompress, decrypt, encrypt
from .errors import CmsError
from .identity import Identity, encode_identity, generate_identity, load_certificate, load_identity
from .layers import DigestInput, extract_digest_input
from .signing import SignedParts, sign, split_signed, verify

__all__ = [
    "HASH_NAMES",
    "CmsError",
    "DigestInput",
    "Identity",
    "SignedParts",
    "compress",
    "decompress",
    "decrypt",
    "digest",
    "encode_identity",
    "encrypt",
    "load_certificate",
    "load_identity",
    "generate_identity",
    "extract_digest_input",
    "sign",
    "split_signed",
    "verify",
]
