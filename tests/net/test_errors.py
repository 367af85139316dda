"""TLS errors belong to the package's exception hierarchy, and have the fields `field`, `expected` and `found`."""

from __future__ import annotations

from pathlib import Path

import pytest

from linnetstile.errors import ConfigError, LinnetstileError
from linnetstile.net.connector import HandshakeError
from linnetstile.net.tls import TlsContextFiles, TlsError


def test_handshake_error_is_a_package_error_and_a_connection_error() -> None:
    error = HandshakeError("unknown ca", expected="a TLS handshake", found="unknown ca")
    assert isinstance(error, LinnetstileError)
    assert isinstance(error, ConnectionError)
    assert (str(error), error.errno, error.found) == ("unknown ca", None, "unknown ca")


def test_client_without_authorities_is_rejected() -> None:
    with pytest.raises(TlsError, match="no authorities to verify the peer with") as caught:
        TlsContextFiles(False)
    assert isinstance(caught.value, ConfigError)
    assert (caught.value.field, caught.value.expected) == ("authorities", "a PEM file")


def test_error_of_a_missing_file_names_its_setting_and_the_reason(tmp_path: Path) -> None:
    path = tmp_path / "missing.pem"
    with pytest.raises(TlsError) as caught:
        TlsContextFiles(False, authorities=path)
    assert str(caught.value) == f"{path}: can't be used: No such file or directory"
    assert (caught.value.field, caught.value.expected) == ("authorities", "PEM")
    assert caught.value.found == "No such file or directory"
