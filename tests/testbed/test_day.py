"""Day files keep their keys and values, even where attributes and enum members have other names."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml

from linnetstile.testbed.day import Day, FleetFaultKind

DAYS = Path(__file__).parent.parent.parent / "days"


def load_day() -> dict[str, Any]:
    loaded: dict[str, Any] = yaml.safe_load((DAYS / "every-trouble.yaml").read_text())
    return loaded


def test_a_day_file_keeps_its_keys() -> None:
    file = load_day() | {"slots": 9, "hold": 77, "learning": True, "register_lag_ms": 5.0}
    file["traffic"]["tries"] = 4
    file["partners"][0] |= {"tell": 0.5, "tell_as": "date", "refused_count": True, "limit": 2.5, "limit_least": 3.5}
    day = Day.model_validate(file)
    group = day.partners[0]
    assert (day.max_in_flight, day.max_pending_messages, day.uses_gossip, day.registry_lag_ms) == (9, 77, True, 5.0)
    assert day.traffic.max_submissions == 4
    assert (group.retry_after_share, group.retry_after_format, group.rejected_calls_count) == (0.5, "date", True)
    assert (group.rate_limit_multiple, group.min_rate_limit_per_s) == (2.5, 3.5)


def test_the_kinds_of_fleet_faults_keep_their_values() -> None:
    assert {kind.value for kind in FleetFaultKind} == {
        "burst",
        "hot_key",
        "balancer_crash",
        "balancer_roll",
        "discovery_stale",
        "register_fail",
        "drain",
        "gone",
        "replace",
    }
