"""Addresses and URLs in settings; this program listens on and connects to loopback addresses only."""

from __future__ import annotations

import ipaddress
import urllib.parse
from typing import Annotated

from pydantic import AfterValidator

MAX_PORT = 65535


def require_loopback(text: str) -> str:
    """Check an address that this program may listen on or connect to: `127.x.y.z:port` or `[::1]:port`.

    Returns:
        The address, unchanged.

    Raises:
        ValueError: The text is not a loopback address with a port.
    """
    host, colon, port = text.rpartition(":")
    try:
        is_loopback = ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError:
        is_loopback = False
    if not colon or not is_loopback or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError("expected a loopback address and port, such as 127.0.0.1:4080")
    return text


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def require_loopback_url(text: str, schemes: tuple[str, ...] = ("http",)) -> str:
    """Check a URL on a loopback address and return it unchanged.

    Args:
        text: The URL.
        schemes: The schemes it may have.

    Raises:
        ValueError: The URL has another scheme or address, a user or a fragment.
    """
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in schemes or parts.username or parts.fragment:
        raise ValueError(f"expected a URL such as {schemes[-1]}://127.0.0.1:4090/as2")
    require_loopback(parts.netloc)
    return text


def _partner_url(text: str) -> str:
    return require_loopback_url(text, ("http", "https"))


LoopbackAddress = Annotated[str, AfterValidator(require_loopback)]
PartnerUrl = Annotated[str, AfterValidator(_partner_url)]
LoopbackUrl = Annotated[str, AfterValidator(require_loopback_url)]
