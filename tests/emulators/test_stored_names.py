"""Tests that the keys of the emulators' settings files and the values of their fault kinds do not change."""

from __future__ import annotations

import pytest
from pydantic import ValidationError

from linnetstile.emulators.client_settings import ClientSpec
from linnetstile.emulators.faults import FaultKind
from linnetstile.emulators.partner_settings import PartnerSpec
from linnetstile.emulators.registry import RegistryFaultKind, RegistrySpec

ENDPOINTS = [{"id": 1}]
CLIENT = {
    "seconds": 5,
    "relays": [{"name": "r", "address": "127.0.0.1:1"}],
    "classes": {"k": {"effect": "keyed", "deadline_ms": 1000}},
    "flows": [{"sender": "s", "receiver": "p", "cls": "k", "subject": "k", "per_s": 30}],
}


def test_partner_settings_keep_their_keys() -> None:
    spec = PartnerSpec.model_validate(
        {
            "name": "p",
            "endpoints": ENDPOINTS,
            "tell": 0.25,
            "tell_as": "date",
            "refused_count": True,
            "keyed": ["a*"],
            "key_window_ms": 1.0,
            "cold_share": 0.5,
            "cold_ms": 2.0,
            "fall_multiple": 3.0,
            "fall_ms": 4.0,
        }
    )
    assert (spec.retry_after_share, spec.retry_after_format, spec.rejected_calls_count) == (0.25, "date", True)
    assert (spec.deduplicated_subjects, spec.deduplication_window_ms) == (["a*"], 1.0)
    assert (spec.slow_start_fraction, spec.slow_start_ms) == (0.5, 2.0)
    assert (spec.overload_multiple, spec.overload_window_ms) == (3.0, 4.0)


def test_client_and_registry_settings_keep_their_keys() -> None:
    client = ClientSpec.model_validate({**CLIENT, "tries": 7, "back_ms": [1.0, 2.0]})
    assert (client.max_submissions, client.min_backoff_ms) == (7, (1.0, 2.0))
    registry = RegistrySpec.model_validate({"troubles": [{"kind": "stale", "at_s": 1, "for_s": 2}]})
    assert [fault.kind for fault in registry.faults] == [RegistryFaultKind.STALE]


@pytest.mark.parametrize("key", ["slow_start_ms", "retry_after_share", "overload_window_ms"])
def test_attribute_name_is_not_accepted_as_a_key(key: str) -> None:
    with pytest.raises(ValidationError, match="Extra inputs are not permitted"):
        PartnerSpec.model_validate({"name": "p", "endpoints": ENDPOINTS, key: 1.0})


def test_fault_kinds_keep_their_values() -> None:
    assert {kind.value for kind in FaultKind} == {
        "hang",
        "vanish",
        "reset",
        "shut",
        "fast_errors",
        "slow",
        "pauses",
        "crash",
        "answer_lost",
        "class_fail",
        "no_receipt",
        "wrong_mic",
        "forged_receipt",
        "garbage",
        "trickle",
        "crawl",
    }
    assert {kind.value for kind in RegistryFaultKind} == {"fail", "stale", "slow", "garbage"}
