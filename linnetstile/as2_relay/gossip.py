"""Former names of the gossip modules, for callers outside this package.

To be removed once they import from `gossip_document`, `gossip_polling`, `gossip_service` and `gossip_snapshot`.
"""

from __future__ import annotations

from .gossip_document import DOCUMENT_FORMAT as FORMAT
from .gossip_document import MAX_CLAIMS as CLAIMS_MAX
from .gossip_document import MAX_DOCUMENT_BYTES as BODY_MAX
from .gossip_document import parse
from .gossip_polling import POLL_TIMEOUT_S as ASK_S
from .gossip_service import GossipService as Knowledge
from .gossip_snapshot import load

__all__ = ["ASK_S", "BODY_MAX", "CLAIMS_MAX", "FORMAT", "Knowledge", "load", "parse"]
