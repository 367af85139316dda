"""Which rejections mean that connections are scarce, and which come from a limit or a queue."""

import pytest

from linnetstile.engine.actions import Action, CloseIdle, Send
from linnetstile.engine.connection_scarcity import SCARCITY_EXIT, ConnectionScarcity
from linnetstile.engine.events import AttemptEnded, Endpoint, EndpointList, EndpointStatus, ListKind, Outcome
from linnetstile.engine.settings import DestinationKind

from ..conftest import IDEMPOTENT, EngineHarness, make_settings


def scarcity_after(places: ConnectionScarcity, *calls: tuple[bool, bool, bool]) -> bool:
    for kept, refused, waits in calls:
        places.record(kept, refused, waits)
    return places.is_scarce


NEW, NEW_REFUSED, NEW_WAIT = (False, False, False), (False, True, False), (False, True, True)
KEPT, KEPT_REFUSED = (True, False, False), (True, True, False)


def test_rejections_on_new_connections_alone_are_a_scarcity() -> None:
    assert not scarcity_after(ConnectionScarcity(), NEW_REFUSED)  # one shows nothing
    assert scarcity_after(ConnectionScarcity(), *[NEW_REFUSED] * 2)
    assert scarcity_after(ConnectionScarcity(), NEW, *[KEPT] * 5, *[NEW_REFUSED] * 4)


def test_a_limit_rejects_on_reused_connections_too_or_sends_a_retry_after() -> None:
    assert not scarcity_after(ConnectionScarcity(), *[KEPT_REFUSED] * 3, *[NEW_REFUSED] * 10)
    assert not scarcity_after(ConnectionScarcity(), *[NEW_WAIT] * 20)
    assert not scarcity_after(ConnectionScarcity(), *[NEW, NEW_REFUSED] * 20)


def test_a_scarcity_ends_when_new_connections_are_hardly_rejected_and_does_not_flap() -> None:
    places = ConnectionScarcity()
    assert scarcity_after(places, *[NEW_REFUSED] * 20)
    assert scarcity_after(places, *[NEW] * 10)  # far below the way in
    assert places.new.ratio > SCARCITY_EXIT
    assert not scarcity_after(places, *[NEW] * 60)
    assert not scarcity_after(places, NEW_REFUSED)


def answered(
    harness: EngineHarness, destination: int, outcome: Outcome = Outcome.OK, reused: bool = False
) -> list[Action]:
    """Hands a message in, and ends it with its first answer."""
    message_id = harness.submit(IDEMPOTENT, destination)
    for _ in range(400):
        if message_id in harness.in_flight:
            break
        harness.advance(20)
    send = harness.in_flight.pop(message_id)
    return harness.handle(AttemptEnded(message_id, 0, send.endpoint, outcome, 100.0, True, connection_reused=reused))


def test_idle_connections_are_closed_where_only_new_ones_are_rejected() -> None:
    """190 relays kept one each at endpoints that hold eight, and used them for 50 ms in 700."""
    harness = EngineHarness(make_settings(kinds=(DestinationKind("few"), DestinationKind("many"))))
    harness.list_endpoints((11, 1), (12, 2))
    harness.handle(EndpointList(ListKind.CHANGES, (Endpoint(13, 3, EndpointStatus.READY, 1, 0, 20.0),)))
    assert not any(isinstance(action, CloseIdle) for action in answered(harness, 1))
    for _ in range(3):
        answered(harness, 2, Outcome.REJECTED)
    assert CloseIdle(11) in answered(harness, 1, reused=True)
    assert not any(isinstance(action, CloseIdle) for action in answered(harness, 3))  # another kind


def test_a_connection_on_which_the_next_call_goes_out_at_once_is_not_closed() -> None:
    harness = EngineHarness(make_settings(max_in_flight=1))
    harness.list_endpoints((11, 1), (12, 2))
    harness.warm_up(1)
    for _ in range(20):
        answered(harness, 2, Outcome.REJECTED)
    first, second = harness.submit(IDEMPOTENT, 1), harness.submit(IDEMPOTENT, 1)
    harness.advance(100)
    actions = harness.end_attempt(first)
    assert any(isinstance(action, Send) and action.id == second for action in actions)
    assert not any(isinstance(action, CloseIdle) for action in actions)
    assert CloseIdle(11) in harness.end_attempt(second)


def test_relays_do_not_all_use_the_same_one_of_two_equal_endpoints() -> None:
    """The lower number was used first by every relay: harmless in one, and one endpoint for all in hundreds."""
    first = []
    for seed in range(40):
        harness = EngineHarness(seed=seed)
        harness.list_endpoints((11, 1), (12, 1))
        harness.submit(IDEMPOTENT)
        harness.advance(20)
        first.append(harness.sends[0][1].endpoint)
    assert 10 <= first.count(11) <= 30


def test_an_endpoint_without_a_connection_left_comes_after_the_others_for_a_while() -> None:
    def used(short: bool, fee: float) -> list[int]:
        harness = EngineHarness(make_settings(route_fees=(0.0, fee)))
        harness.handle(
            EndpointList(
                ListKind.CACHED,
                (
                    Endpoint(11, 1, EndpointStatus.READY, 0, 0, 20.0),
                    Endpoint(12, 1, EndpointStatus.READY, 0, 1, 20.0),
                ),
            )
        )
        for _ in range(20 if short else 0):
            harness.engine.connections.scarcity[0].record(is_reused=False, is_rejected=True, has_retry_after=False)
        answered(harness, 1, Outcome.REJECTED)
        answered(harness, 1)
        harness.advance(5000)
        answered(harness, 1)
        return [send.endpoint for _, send in harness.sends]

    assert used(short=True, fee=0.02) == [11, 12, 11]
    assert used(short=False, fee=0.02) == [11, 11, 11]  # a limit is the whole destination's: no reason to pay


def test_a_rejection_that_a_scarcity_explains_does_not_lower_the_rate() -> None:
    """1,636 refusals on new connections and none on kept ones held their senders to a cut pace for 4 s and longer."""

    def pace(late: float = 0.0, reused: bool = False, wait: float = 0.0, short: bool = True) -> float:
        harness = EngineHarness()
        harness.list_endpoints((11, 1))
        harness.warm_up(1)
        for _ in range(20 if short else 0):
            harness.engine.connections.scarcity[0].record(is_reused=False, is_rejected=True, has_retry_after=False)
        harness.advance(late, 50)
        message_id = harness.submit(IDEMPOTENT)
        harness.advance(20)
        send, route = harness.in_flight.pop(message_id), harness.engine.routes[1][-1]
        before = route.rate.own_rate
        harness.handle(
            AttemptEnded(message_id, 0, send.endpoint, Outcome.REJECTED, 5.0, False, wait, connection_reused=reused)
        )
        return route.rate.own_rate / before

    assert pace() == 1.0
    assert pace(short=False) < 1.0  # a limit's
    assert pace(reused=True) < 1.0
    assert pace(wait=500.0) < 1.0  # a scarcity does neither
    assert pace(late=4000.0) < 1.0  # nobody was answered of late: it may be shut


@pytest.mark.parametrize("one_connect_fails", [False, True])
def test_idle_connections_are_closed_where_connects_of_that_kind_fail(one_connect_fails: bool) -> None:
    """Idle connections of many relays exhaust endpoints that accept few connections."""
    harness = EngineHarness(make_settings(relay_count=100))
    harness.list_endpoints((11, 1), (12, 2), (13, 3))
    for number in range(6):
        harness.submit(destination=1 + number % 3)
        harness.advance(50)
        harness.end_attempts_in_flight(Outcome.CONNECT_FAILED if one_connect_fails and number == 2 else Outcome.OK)
        harness.advance(4000, 500)
    closed = {action.endpoint for _, action in harness.other_actions if isinstance(action, CloseIdle)}
    assert bool(closed) == one_connect_fails
    assert closed <= {11, 12, 13}
