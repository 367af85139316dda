"""`python -m linnetstile.platform_relay`: one relay, as the platform starts it."""

import sys

from .process import main

sys.exit(main())
