"""`python -m linnetstile.node`: one relay, as the platform starts it."""

import sys

from .process import main

sys.exit(main())
