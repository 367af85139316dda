"""Which refusals mean that connections are short, and which a limit or a queue."""

from linnetstile.engine.actions import Action, CloseIdle, Send
from linnetstile.engine.connection_scarcity import SCARCITY_EXIT, ConnectionScarcity
from linnetstile.engine.events import AttemptEnded, Endpoint, EndpointList, EndpointStatus, ListKind, Outcome
from linnetstile.engine.settings import DestinationKind

from ..conftest import SAFE, Driver, make_settings


def met(places: ConnectionScarcity, *calls: tuple[bool, bool, bool]) -> bool:
    for kept, refused, waits in calls:
        places.record(kept, refused, waits)
    return places.is_scarce


NEW, NEW_REFUSED, NEW_WAIT = (False, False, False), (False, True, False), (False, True, True)
KEPT, KEPT_REFUSED = (True, False, False), (True, True, False)


def test_refusals_on_new_connections_alone_are_a_shortage() -> None:
    assert not met(ConnectionScarcity(), NEW_REFUSED)  # one shows nothing
    assert met(ConnectionScarcity(), *[NEW_REFUSED] * 2)
    assert met(ConnectionScarcity(), NEW, *[KEPT] * 5, *[NEW_REFUSED] * 4)


def test_a_limit_refuses_on_kept_connections_too_or_tells_a_wait() -> None:
    assert not met(ConnectionScarcity(), *[KEPT_REFUSED] * 3, *[NEW_REFUSED] * 10)
    assert not met(ConnectionScarcity(), *[NEW_WAIT] * 20)
    assert not met(ConnectionScarcity(), *[NEW, NEW_REFUSED] * 20)


def test_a_shortage_ends_when_new_connections_are_hardly_refused_and_does_not_flap() -> None:
    places = ConnectionScarcity()
    assert met(places, *[NEW_REFUSED] * 20)
    assert met(places, *[NEW] * 10)  # far below the way in
    assert places.new.ratio > SCARCITY_EXIT
    assert not met(places, *[NEW] * 60) and not met(places, NEW_REFUSED)


def answered(d: Driver, destination: int, outcome: Outcome = Outcome.OK, reused: bool = False) -> list[Action]:
    """Hands a message in, and ends it with its first answer."""
    ident = d.message(SAFE, destination)
    for _ in range(400):
        if ident in d.out:
            break
        d.pass_time(20)
    send = d.out.pop(ident)
    return d.feed(AttemptEnded(ident, 0, send.endpoint, outcome, 100.0, True, connection_reused=reused))


def test_idle_connections_are_closed_where_only_new_ones_are_refused() -> None:
    """190 relays kept one each at endpoints that hold eight, and used them for 50 ms in 700."""
    d = Driver(make_settings(kinds=(DestinationKind("few"), DestinationKind("many"))))
    d.listed((11, 1), (12, 2))
    d.feed(EndpointList(ListKind.CHANGES, (Endpoint(13, 3, EndpointStatus.READY, 1, 0, 20.0),)))
    assert not any(isinstance(act, CloseIdle) for act in answered(d, 1))
    for _ in range(3):
        answered(d, 2, Outcome.REJECTED)
    assert CloseIdle(11) in answered(d, 1, reused=True)
    assert not any(isinstance(act, CloseIdle) for act in answered(d, 3))  # another kind


def test_a_connection_on_which_the_next_call_goes_out_at_once_is_not_closed() -> None:
    d = Driver(make_settings(max_in_flight=1))
    d.listed((11, 1), (12, 2))
    d.warm_up(1)
    for _ in range(20):
        answered(d, 2, Outcome.REJECTED)
    first, second = d.message(SAFE, 1), d.message(SAFE, 1)
    d.pass_time(100)
    actions = d.answer(first)
    assert any(isinstance(act, Send) and act.id == second for act in actions)
    assert not any(isinstance(act, CloseIdle) for act in actions)
    assert CloseIdle(11) in d.answer(second)


def test_relays_do_not_all_use_the_same_one_of_two_endpoints_that_are_alike() -> None:
    """The lower number was used first by every relay: harmless in one, and one endpoint for all in hundreds."""
    first = []
    for seed in range(40):
        d = Driver(seed=seed)
        d.listed((11, 1), (12, 1))
        d.message(SAFE)
        d.pass_time(20)
        first.append(d.sent[0][1].endpoint)
    assert 10 <= first.count(11) <= 30


def test_an_endpoint_without_a_connection_left_comes_after_the_others_for_a_while() -> None:
    def used(short: bool, fee: float) -> list[int]:
        d = Driver(make_settings(route_fees=(0.0, fee)))
        d.feed(
            EndpointList(
                ListKind.CACHED,
                (
                    Endpoint(11, 1, EndpointStatus.READY, 0, 0, 20.0),
                    Endpoint(12, 1, EndpointStatus.READY, 0, 1, 20.0),
                ),
            )
        )
        for _ in range(20 if short else 0):
            d.relay.connections.scarcity[0].record(is_reused=False, is_rejected=True, has_retry_after=False)
        answered(d, 1, Outcome.REJECTED)
        answered(d, 1)
        d.pass_time(5000)
        answered(d, 1)
        return [send.endpoint for _, send in d.sent]

    assert used(short=True, fee=0.02) == [11, 12, 11]
    assert used(short=False, fee=0.02) == [11, 11, 11]  # a limit is the whole destination's: no reason to pay


def test_a_refusal_that_a_shortage_explains_does_not_cut_the_pace() -> None:
    """1,636 refusals on new connections and none on kept ones held their senders to a cut pace for 4 s and longer."""

    def pace(late: float = 0.0, reused: bool = False, wait: float = 0.0, short: bool = True) -> float:
        d = Driver()
        d.listed((11, 1))
        d.warm_up(1)
        for _ in range(20 if short else 0):
            d.relay.connections.scarcity[0].record(is_reused=False, is_rejected=True, has_retry_after=False)
        d.pass_time(late, 50)
        ident = d.message(SAFE)
        d.pass_time(20)
        send, route = d.out.pop(ident), d.relay.routes[1][-1]
        before = route.rate.own_rate
        d.feed(AttemptEnded(ident, 0, send.endpoint, Outcome.REJECTED, 5.0, False, wait, connection_reused=reused))
        return route.rate.own_rate / before

    assert pace() == 1.0
    assert pace(short=False) < 1.0  # a limit's
    assert pace(reused=True) < 1.0 and pace(wait=500.0) < 1.0  # a shortage does not do that
    assert pace(late=4000.0) < 1.0  # nobody was answered of late: it may be shut
