"""Relays with other settings: two customers in one process share no state, and any valid settings work."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest

from .http_messages import request_status, submission
from .relay_testbed import (
    SETTINGS,
    RelayTestbed,
    delivered_ids,
    run_scenario,
    wait_until,
    wait_until_idle,
    with_state,
)


def customer_settings(name: str, effects: list[str]) -> dict[str, Any]:
    """Return settings whose names, and order of classes, differ from those of another customer."""
    classes = [
        {"name": f"{name}-{effect}", "effect": effect, "aim-ms": 1000.0, "deadline-ms": 4000.0, "window-ms": 900.0}
        for effect in effects
    ]
    return SETTINGS | {
        "classes": classes,
        "orgs": [{"name": f"{name}-org", "quota-per-s": 9.0}],
        "zones": [f"{name}-zone"],
    }


def container_ids(engine: object) -> set[int]:
    """Return the identities of all dicts, lists and sets of an engine and of its parts."""
    found: set[int] = set()
    parts, visited = [engine], {id(engine)}
    while parts:
        for value in vars(parts.pop()).values():
            if isinstance(value, (dict, list, set)):
                found.add(id(value))
            elif is_engine_part(value) and id(value) not in visited:
                visited.add(id(value))
                parts.append(value)
    return found


def is_engine_part(value: object) -> bool:
    return type(value).__module__.startswith("linnetstile.engine") and hasattr(value, "__dict__")


def test_two_relays_of_two_customers_in_one_process_share_no_state(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        customers = {"a": ["once", "by_key", "repeatable"], "b": ["repeatable", "once", "by_key"]}
        relays = {}
        for name, effects in customers.items():
            testbed.settings, testbed.state_folder = customer_settings(name, effects), tmp_path / name
            relays[name] = await testbed.start_relay(discovery_address)
        for name, effects in customers.items():
            for effect in effects:
                for relay_name, relay in relays.items():
                    submission_id = f"{name}-{effect}-{relay_name}"
                    request = submission(
                        submission_id,
                        f"{name}-{effect}",
                        X_Account=f"{name}-org",
                        Idempotency_Key="k" + submission_id,
                    )
                    assert await request_status(relay, request) == (202 if relay_name == name else 400)
            await wait_until_idle(relays[name])
        assert not testbed.notices
        assert len(delivered_ids(testbed)) == 6
        assert relays["a"].engine.settings.classes[0].effect is not relays["b"].engine.settings.classes[0].effect
        containers_a, containers_b = (container_ids(relays[name].engine) for name in customers)
        assert containers_a
        assert not containers_a & containers_b

    run_scenario(tmp_path, scenario)


def generate_name(rng: random.Random) -> str:
    return "".join(rng.choice("abcXYZ019-._") for _ in range(rng.randint(1, 12)))


def generate_classes(rng: random.Random) -> list[dict[str, Any]]:
    classes: list[dict[str, Any]] = [
        {
            "name": f"{number}{generate_name(rng)}",
            "effect": rng.choice(["repeatable", "by_key", "once"]),
            "aim-ms": rng.uniform(50, 3000),
            "deadline-ms": rng.uniform(3000, 30_000),
        }
        for number in range(rng.randint(1, 5))
    ]
    for message_class in classes:
        optional: dict[str, Any] = {
            "worth": rng.uniform(0, 9),
            "late-share": rng.random(),
            "window-ms": rng.uniform(500, 9000),
            "dedup-scope": rng.choice(["all", "zone", "cell"]),
            "by-arrival": rng.random() < 0.3,
        }
        message_class.update({key: value for key, value in optional.items() if rng.random() < 0.6})
    return classes


def generate_settings(rng: random.Random) -> dict[str, Any]:
    """Return valid settings with random names, effects, counts and figures, and some of the optional parts."""
    settings: dict[str, Any] = {
        "classes": generate_classes(rng),
        "kinds": ["k", generate_name(rng)][: rng.randint(1, 2)],
        "zones": ["z"],
        "extra": {"call-slots": rng.randint(1, 9)},
        "safety": {},
        "limits": {"open-cap": rng.randint(8, 90), "try-limit": rng.randint(1, 9)},
    }
    optional = {
        "orgs": [
            {"name": f"{number}{generate_name(rng)}", "quota-per-s": rng.uniform(0, 50)}
            for number in range(rng.randint(1, 20))
        ],
        "balancers": rng.randint(1, 300),
        "weight-kind": rng.choice(["silent", "rough", "nominal"]),
        "registry-mode": rng.choice(["ask", "push"]),
        "prices": {},
        "goal": {},
        "feedback": {"fields": ["x0", "x1"]},
        "over-share-worth": rng.random(),
        "client-habits": {"marks-retry": True},
        "tick-ms": rng.choice([1.0, 5.0]),
    }
    return settings | {key: value for key, value in optional.items() if rng.random() < 0.6}


@pytest.mark.parametrize("seed", range(12))
def test_relay_starts_accepts_delivers_and_restarts_with_any_valid_settings(tmp_path: Path, seed: int) -> None:
    settings = generate_settings(random.Random(seed))
    class_names = [message_class["name"] for message_class in settings["classes"]]
    account = settings["orgs"][0]["name"] if "orgs" in settings else "anyone"

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = settings
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        for name in class_names:
            request = submission(name, name, X_Account=account, Idempotency_Key="k")
            assert await request_status(first, request) == 202
        await wait_until_idle(first)
        testbed.send_list(with_state(testbed.entries, "DRAINING"))
        await wait_until(lambda: not len(first.engine.routing_table.index))
        for name in class_names:
            request = submission("r" + name, name, X_Account=account, Idempotency_Key="r")
            assert await request_status(first, request) == 202
        testbed.stop_relay(first)
        second = await testbed.start_relay(discovery_address)
        assert len(second.accepted) == len(class_names)
        await wait_until_idle(second)
        assert sorted(delivered_ids(testbed)) == sorted(class_names + ["r" + name for name in class_names])
        assert not testbed.notices

    run_scenario(tmp_path, scenario)
