"""Entry point of `python -m linnetstile.platform_relay`: the command with which the platform starts a relay."""

import sys

from .process import main

sys.exit(main())
