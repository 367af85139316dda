"""Creates the delivery engine of a simulated relay and evaluates its state."""

from __future__ import annotations

import json
from dataclasses import replace

from ...as2_relay.gossip_document import claim_to_json
from ...engine import gossip_export
from ...engine.engine import DeliveryEngine
from ...engine.outlier_detection import is_suspected
from ...engine.unknown_class import unknown_class
from .platform_model import PlatformModel
from .trace import GossipSize


def create_engine(platform: PlatformModel, relay: int, seed: int) -> DeliveryEngine:
    """Create the engine of a relay in the same way as the platform relay does."""
    settings = platform.settings(relay)
    return DeliveryEngine(replace(settings, classes=(*settings.classes, unknown_class(settings.classes))), seed)


def believes_down(engine: DeliveryEngine, destination: int, now_ms: float) -> bool:
    """Whether the engine suspects a route of a destination; both resident and evicted routes count."""
    routes = engine.routing_table.known_routes(destination).values()
    return any(is_suspected(route, now_ms) for route, _ in routes)


def gossip_size(engine: DeliveryEngine, now_ms: float, destinations: list[int]) -> GossipSize:
    """Return the number and size of the gossip claims about these destinations, in the format of the AS2 relay."""
    claims = gossip_export.export_claims(engine, now_ms, {number: f"d-{number}" for number in destinations})
    size = sum(len(json.dumps(claim_to_json(claim))) for claim in claims)
    return GossipSize(len(claims), size)
