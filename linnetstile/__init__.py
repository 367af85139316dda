"""linnetstile: the decisions of a relay that hands messages on to destinations it does not control."""

from .control import Relay
from .interface import Settings

__all__ = ["Relay", "Settings"]
