"""Entry point of `python -m linnetstile.platform_relay`: the command with which the platform starts a relay."""

import sys

# Between relays, clients and endpoints the platform has no TLS. Without this, asyncio loads OpenSSL, which takes some
# 5 MB: a sixth of the least memory that a relay may have.
sys.modules["ssl"] = None  # type: ignore[assignment]

from .process import main  # noqa: E402

sys.exit(main())
