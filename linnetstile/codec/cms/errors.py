"""The error that is raised for invalid CMS objects."""

from __future__ import annotations

from ...errors import ProtocolError


class CmsError(ProtocolError):
    """A signature is not valid, or a CMS object can't be read."""
