"""Former names of the relay testbed, for callers outside this package; to be removed with the last of them."""

from __future__ import annotations

from .relay_testbed import SAFETY
from .relay_testbed import RelayTestbed as Rig
from .relay_testbed import answer_kind as kind
from .relay_testbed import run_test as run

__all__ = ["SAFETY", "Rig", "kind", "run"]
