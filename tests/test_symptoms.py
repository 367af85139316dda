"""What the module does, and must not do, under each kind of symptom."""

from linnetstile import interface as api

from .conftest import KEYED, SAFE, UNSAFE, Driver, make_settings


def test_lost_answers_do_not_hold_slots_until_the_deadline() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    ident = d.message(UNSAFE)
    d.pass_time(50)
    at, send = d.last(ident)
    assert at < send.give_up_at_ms < at + 5000.0  # its deadline is 10 s away


def test_short_patience_is_not_old_age() -> None:
    d = Driver(make_settings(marks_repeats=True))
    d.listed((11, 1), rate=1.0)
    d.warm_up()
    late = d.message(SAFE, left=9000.0)
    d.pass_time(1200)  # past its aim; the pace holds it back or it was sent
    hurry = d.message(SAFE, left=800.0)
    d.pass_time(400)
    assert d.tries.get(hurry) == 1
    assert d.relay.held[hurry].worth_at(d.now, api.Decay.HALVES) == 1.0
    assert late not in d.ended


def test_sick_destination_pays_for_the_room_it_takes() -> None:
    d = Driver(make_settings(hold=20))
    d.listed((11, 1), (12, 2))
    d.warm_up(1)
    d.warm_up(2)
    for _ in range(2):
        ident = d.message(SAFE, 1)
        d.pass_time(400)
        d.answer(ident, api.Outcome.CONNECT_FAILED)
    stuck = [d.message(KEYED, 1) for _ in range(14)]
    well = [d.message(SAFE, 2) for _ in range(8)]
    assert not set(well) & set(d.ended) and set(d.ended) & set(stuck)
    assert all(isinstance(d.ended[ident], api.Refuse) for ident in set(d.ended) & set(stuck))


def test_silent_destination_gets_a_trickle_and_no_unsafe_message() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    for _ in range(2):
        d.message(SAFE)
    d.pass_time(2000)
    before = len(d.sent)
    unsafe = [d.message(UNSAFE) for _ in range(4)]
    for _ in range(6):
        d.message(SAFE)
    d.pass_time(1500)
    assert not set(unsafe) & {send.id for _, send in d.sent}
    assert len(d.sent) - before <= 3


def test_sick_destination_holds_at_most_half_the_slots() -> None:
    d = Driver()
    d.listed((11, 1), (12, 2), rate=200.0)
    d.warm_up(1)
    d.warm_up(2)
    d.message(SAFE, 1)
    d.pass_time(2000)
    for _ in range(20):
        d.message(SAFE, 1)
    d.message(SAFE, 2)
    d.pass_time(3000)
    out = [h for h in d.relay.held.values() if h.out]
    assert len([h for h in out if h.msg.destination == 1]) <= 4
    assert any(send.endpoint == 12 for at, send in d.sent[-20:])


def test_scarce_slots_go_to_the_destination_that_answers() -> None:
    d = Driver(make_settings(slots=4))
    d.listed((11, 1), (12, 2), (13, 3), rate=200.0)
    for dest in (1, 2, 3):
        d.warm_up(dest)
    ident = d.message(SAFE, 1)
    d.pass_time(50)
    d.answer(ident, api.Outcome.ERROR)  # one failed call at destination 1 is no outage
    d.feed(api.Withdrawn(ident))
    busy = [d.message(SAFE, 3) for _ in range(4)]
    failing, well = d.message(SAFE, 1), d.message(SAFE, 2)
    d.pass_time(50)
    d.answer(busy[0])
    assert d.tries.get(well) == 1 and failing not in d.tries


def test_one_bad_endpoint_among_good_ones_is_left() -> None:
    d = Driver()
    d.listed((11, 1), (12, 1))
    d.warm_up()
    start = len(d.sent)
    for _ in range(20):
        ident = d.message(SAFE)
        d.pass_time(100)
        if d.tries.get(ident):
            bad = d.last(ident)[1].endpoint == 11
            d.answer(ident, api.Outcome.RESET if bad else api.Outcome.OK)
        d.pass_time(200)
    later = [send.endpoint for _, send in d.sent[start + 10:]]
    assert later.count(12) > 4 * later.count(11)


def test_slow_is_not_down() -> None:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    quick = d.relay.lanes[1, -1].patience()
    ident = d.message(SAFE)
    d.pass_time(1000)
    d.answer(ident, api.Outcome.TIMEOUT)
    assert d.relay.lanes[1, -1].patience() >= 2 * quick and not d.relay.lanes[1, -1].sick


def test_refusals_slow_the_pace_and_success_brings_it_back() -> None:
    d = Driver()
    d.listed((11, 1), rate=4.0)
    d.warm_up()
    lane = d.relay.lanes[1, -1]
    before = lane.pace
    ident = d.message(SAFE)
    d.pass_time(800)
    d.answer(ident, api.Outcome.FULL)
    assert lane.pace < before
    cut = lane.pace
    for _ in range(60):
        d.message(SAFE)
        d.pass_time(100)
        for out in [h.msg.id for h in d.relay.held.values() if h.out]:
            d.answer(out)
    assert lane.pace > cut


def test_settings_that_make_no_sense_name_their_field() -> None:
    for field, value in (("classes", ()), ("slots", 0), ("hold", 0), ("tick_ms", -1.0)):
        try:
            make_settings(**{field: value})
        except ValueError as error:
            assert field in str(error)
        else:
            raise AssertionError(f"{field}={value} was taken")


def test_load_reports_steer_the_pace_both_ways() -> None:
    d = Driver(make_settings(limit_report=(0, 1)))
    d.listed((11, 1), rate=20.0)
    d.warm_up()
    lane = d.relay.lanes[1, -1]
    before = lane.pace
    for left in (0.0, 1.0):
        ident = d.message(SAFE)
        d.pass_time(50)
        d.feed(api.AttemptEnded(ident, 0, 11, api.Outcome.OK, 100.0, True, report=(left, 20.0)))
        assert (lane.pace > before) == (left == 1.0)
        before = lane.pace
