"""TLS contexts that are loaded from key and certificate files, which may change while the program runs."""

from __future__ import annotations

import os
import ssl
from pathlib import Path
from typing import NamedTuple

from ..errors import ConfigError


class TlsError(ConfigError):
    """Keys or certificates that can't be used; the message names the file and the reason."""


class FileVersion(NamedTuple):
    """Identifies one version of a file."""

    modified_ns: int
    inode: int
    size: int


class TlsContextFiles:
    """A TLS context that is loaded from files, and reloaded when they change.

    Attributes:
        context: The latest valid context. Connections that were opened with an earlier one keep it.
    """

    def __init__(
        self,
        server: bool,
        certificate: Path | None = None,
        key: Path | None = None,
        authorities: Path | None = None,
        need_client: bool = False,
    ) -> None:
        """Read the files.

        Args:
            server: Whether the context is for the side that accepts connections.
            certificate: Certificate chain (PEM) that is presented to the peer; None = none is presented.
            key: Private key (PEM) of the certificate; None = the key is in the certificate's file.
            authorities: Authorities (PEM) with which the peer's certificate is verified; required for a client.
            need_client: Whether a server rejects clients that present no certificate.

        Raises:
            TlsError: A file can't be used.
        """
        self.server = server
        self.certificate = certificate
        self.key = key
        self.authorities = authorities
        self.need_client = need_client
        self.files_version = self._read_files_version()
        self.context = self._make_context()

    def reload(self) -> bool:
        """Load a new context if a file has changed.

        A file that could not be used is not read again until it changes.

        Returns:
            Whether there is a new context.

        Raises:
            TlsError: A changed file can't be used; the context stays as it was.
        """
        version = self._read_files_version()
        if version == self.files_version:
            return False
        self.files_version = version
        self.context = self._make_context()
        return True

    def _read_files_version(self) -> list[FileVersion | int | None]:
        """Return the version of each file, or its errno if it can't be read, or None if it is not configured."""
        return [_read_file_version(path) for path in (self.certificate, self.key, self.authorities)]

    def _make_context(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if self.server else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        # The setting and the file that are being read, for error messages.
        field, path = "certificate", self.certificate
        try:
            if self.certificate is not None:
                _check_validity(self.certificate)
                context.load_cert_chain(self.certificate, self.key, password=lambda: b"")
            field, path = "authorities", self.authorities
            if self.authorities is not None:
                context.load_verify_locations(self.authorities)
            elif not self.server:
                raise TlsError("no authorities to verify the peer with", field="authorities", expected="a PEM file")
        except OSError as error:  # also catches `ssl.SSLError`, a subclass
            reason = error.reason if isinstance(error, ssl.SSLError) and error.reason else error.strerror or str(error)
            raise TlsError(f"{path}: can't be used: {reason}", field=field, expected="PEM", found=reason) from error
        if self.server and self.authorities is not None:
            context.verify_mode = ssl.CERT_REQUIRED if self.need_client else ssl.CERT_OPTIONAL
        return context


def _read_file_version(path: Path | None) -> FileVersion | int | None:
    if path is None:
        return None
    try:
        status = os.stat(path)
    except OSError as error:
        return error.errno
    return FileVersion(status.st_mtime_ns, status.st_ino, status.st_size)


def _check_validity(path: Path) -> None:
    """Raise `TlsError` if a certificate is not valid now: OpenSSL would load it, and every peer would reject it."""
    # Imported here because the platform relay has no certificates and runs without these packages.
    import datetime

    from cryptography import x509

    try:
        certificate = x509.load_pem_x509_certificate(path.read_bytes())
    except ValueError as error:
        raise TlsError(
            f"{path}: expected a certificate in PEM", field="certificate", expected="a certificate in PEM"
        ) from error
    now = datetime.datetime.now(datetime.UTC)
    if now > certificate.not_valid_after_utc:
        raise _validity_error(path, f"has expired on {certificate.not_valid_after_utc:%Y-%m-%d}")
    if now < certificate.not_valid_before_utc:
        raise _validity_error(path, f"is valid only from {certificate.not_valid_before_utc:%Y-%m-%d}")


def _validity_error(path: Path, reason: str) -> TlsError:
    return TlsError(
        f"{path}: the certificate {reason}",
        field="certificate",
        expected="a certificate that is valid now",
        found=f"a certificate that {reason}",
    )
