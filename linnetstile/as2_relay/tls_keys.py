"""The TLS keys and certificates of a relay: loaded at the start, and read again when their files change."""

from __future__ import annotations

from collections import Counter

from ..config.relay import RelaySettings
from ..net import client
from ..net.tls import TlsContextFiles, TlsError
from ..telemetry import log_events
from ..telemetry.log import Logger
from .registry import EndpointAddress


class TlsKeyStore:
    """Keys for the listener and for each partner that is reached over TLS.

    Attributes:
        listener: Keys of the listener; None if it does not use TLS.
        partners: Keys by partner.
    """

    def __init__(self, settings: RelaySettings) -> None:
        """Load all keys; raises TlsError."""
        tls = settings.tls
        self.partner_settings = settings.partners
        self.listener = (
            TlsContextFiles(True, tls.certificate, tls.key, tls.client_authorities, tls.need_client)
            if tls is not None
            else None
        )
        self.partners = {
            name: TlsContextFiles(False, partner.tls.certificate, partner.tls.key, partner.tls.authorities)
            for name, partner in settings.partners.items()
            if partner.tls
        }

    @property
    def is_empty(self) -> bool:
        """Whether neither the listener nor any partner uses TLS."""
        return self.listener is None and not self.partners

    def tls_parameters_for(self, partner: str, address: EndpointAddress) -> client.TlsParameters | None:
        """Return the keys for a partner and the name that its certificate must have; None without TLS settings."""
        keys = self.partners.get(partner)
        settings = self.partner_settings.get(partner)
        if keys is None or settings is None or settings.tls is None:
            return None
        return client.TlsParameters(keys, settings.tls.name or address.address[0])

    def reload(self, counts: Counter[str], log: Logger) -> None:
        """Reload changed keys and certificates; the old ones stay in use if the new ones cannot be used."""
        for name, keys in [("listener", self.listener), *self.partners.items()]:
            try:
                if keys is not None and keys.reload():
                    log.info(log_events.TLS_KEYS, of=name, result="renewed")
            except TlsError as error:
                counts["tls_keys_refused"] += 1
                log.error(log_events.TLS_KEYS, of=name, result="the old ones stay", why=str(error))
