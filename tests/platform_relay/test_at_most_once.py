"""At-most-once delivery for each stage at which a call can end, checked by the calls that the endpoint received.

Each scenario is also run with the relay killed after each write of its journal, and with a second relay, to which the
client submits the message again if it was rejected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import product
from pathlib import Path

import pytest

from linnetstile.engine import attempt_outcome
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.platform_relay import notices

from .fault_scenario import ConnectionUse, FaultScenario
from .faulty_endpoint import CallEnding, Fault, FaultStage
from .http_messages import BUSY_RESPONSE, SERVER_ERROR_RESPONSE
from .journal_hooks import call_after_each_write

PARTIAL_OR_MALFORMED_RESPONSES = [
    b"HTTP/1.1 20",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 503 Busy\r\n",
    BUSY_RESPONSE[:-2],
    b"\x16\x03 noise\r\n\r\n",
]
ABRUPT_ENDINGS = (CallEnding.RESET, CallEnding.CLOSE, CallEnding.SILENCE)
FAULTS = [
    *(Fault(FaultStage.CONNECTED, ending) for ending in (CallEnding.RESET, CallEnding.CLOSE)),
    *(Fault(FaultStage.REQUEST_PARTLY_READ, ending) for ending in ABRUPT_ENDINGS),
    *(Fault(FaultStage.REQUEST_READ, ending) for ending in CallEnding),
    *(
        Fault(FaultStage.RESPONSE_WRITTEN, ending, response)
        for ending, response in product(ABRUPT_ENDINGS, PARTIAL_OR_MALFORMED_RESPONSES)
    ),
    Fault(FaultStage.RESPONSE_WRITTEN, CallEnding.CLOSE, BUSY_RESPONSE),
    Fault(FaultStage.RESPONSE_WRITTEN, CallEnding.CLOSE, SERVER_ERROR_RESPONSE),
]
CLASS_NAMES = ("pay", "order", "state")
CONCURRENT_SCENARIOS = 24


def is_possible(fault: Fault, connection_use: ConnectionUse, class_name: str) -> bool:
    """Return whether a call of the class can have this fault on this connection."""
    if connection_use is ConnectionUse.LAST_BYTE_DELAYED and class_name != "pay":
        return False
    return not (connection_use is ConnectionUse.REUSED and fault.stage is FaultStage.CONNECTED)


def make_scenarios(
    folder: Path, monkeypatch: pytest.MonkeyPatch, is_selected: Callable[[FaultScenario], bool]
) -> list[FaultScenario]:
    """Return the possible scenarios that are selected, prepared to record their journals."""
    scenarios = [
        FaultScenario(
            folder / f"{number}-{connection_use.value}-{class_name}-{is_full}",
            fault,
            connection_use,
            class_name,
            is_full,
        )
        for number, fault in enumerate(FAULTS)
        for connection_use, class_name, is_full in product(ConnectionUse, CLASS_NAMES, (False, True))
        if is_possible(fault, connection_use, class_name)
    ]
    selected = [scenario for scenario in scenarios if is_selected(scenario)]
    scenario_by_folder = {scenario.first_state_folder: scenario for scenario in selected}

    def record_write(state_folder: Path) -> None:
        if state_folder in scenario_by_folder:
            scenario_by_folder[state_folder].record_write()

    call_after_each_write(monkeypatch, record_write)
    # Some twenty relays share one event loop here, which also copies their folders. If it is late by 0.2 s, the timeout
    # of a post, a notice is posted again. This is correct, but would count as two results.
    monkeypatch.setattr(notices, "NOTICE_TIMEOUT_S", 8.0)
    return selected


async def run_scenarios(scenarios: list[FaultScenario]) -> list[str]:
    """Run scenarios, at most `CONCURRENT_SCENARIOS` at a time; return all breaches."""
    semaphore = asyncio.Semaphore(CONCURRENT_SCENARIOS)

    async def run_one(scenario: FaultScenario) -> list[str]:
        async with semaphore:
            return await scenario.run()

    breaches_by_scenario = await asyncio.gather(*map(run_one, scenarios))
    await asyncio.sleep(0)
    return [breach for breaches in breaches_by_scenario for breach in breaches]


@pytest.mark.parametrize("class_name", CLASS_NAMES)
def test_no_message_runs_twice_wherever_its_call_ends_and_whenever_the_relay_is_killed(
    tmp_path: Path, class_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    scenarios = make_scenarios(tmp_path, monkeypatch, lambda scenario: scenario.class_name == class_name)
    assert asyncio.run(run_scenarios(scenarios)) == [], "breaches"
    # Each scenario has at least the writes for the accepted message, the start of its attempt and the attempt's end.
    assert min(len(scenario.snapshots) for scenario in scenarios) >= 3


def has_unclear_ending(scenario: FaultScenario) -> bool:
    """Return whether a non-idempotent call may have run, on a new connection to an endpoint that is not full."""
    return (
        scenario.class_name == "pay"
        and scenario.connection_use is ConnectionUse.NEW
        and scenario.fault.stage in (FaultStage.REQUEST_READ, FaultStage.RESPONSE_WRITTEN)
        and not scenario.is_full
    )


@pytest.mark.parametrize("wire_result", [WireResult.CONNECTION_LOST, WireResult.TIMED_OUT, WireResult.MALFORMED])
def test_rule_check_finds_an_unclear_result_that_is_judged_as_without_effect(
    tmp_path: Path, wire_result: WireResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    verdicts = attempt_outcome.VERDICT_BY_WIRE_RESULT
    monkeypatch.setitem(verdicts, wire_result, verdicts[WireResult.REQUEST_INCOMPLETE])
    scenarios = make_scenarios(tmp_path, monkeypatch, has_unclear_ending)
    assert any("sent again" in breach for breach in asyncio.run(run_scenarios(scenarios)))
