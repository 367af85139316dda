"""Taken that were taken: what is open stays, however much it is."""

from linnetstile.decisions.bounds import REMEMBERED, Taken


def test_more_open_ones_than_are_remembered_are_all_known() -> None:
    known = Taken()
    for number in range(REMEMBERED + 5):  # one more than `REMEMBERED` open ones never came to an end
        known.take(str(number))
    assert all(str(number) in known for number in range(REMEMBERED + 5)) and not known.ended


def test_the_latest_that_have_ended_are_known() -> None:
    known = Taken(3)
    for number in range(9):
        known.take(str(number))
    for number in range(5):
        known.end(str(number))
    assert [number for number in range(9) if str(number) in known] == [2, 3, 4, 5, 6, 7, 8]
    known.end("3")  # a second end counts once
    assert list(known.ended) == ["2", "3", "4"]
