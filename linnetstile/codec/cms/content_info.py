"""The outermost structure of every CMS object, which names the type of its content (RFC 5652, 3)."""

from __future__ import annotations

from typing import Any

from .errors import CmsError


def load_content(der: bytes, content_type: str, error_text: str) -> Any:
    """Return the content of a ContentInfo of the expected type; raises `CmsError(error_text)` for another type."""
    from asn1crypto import cms

    info = cms.ContentInfo.load(der, strict=True)
    found = info["content_type"].native
    if found != content_type:
        raise CmsError(error_text, field="content_type", expected=content_type, found=str(found))
    return info["content"]
