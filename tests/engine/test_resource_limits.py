"""Taken that were taken: what is open stays, however much it is."""

from linnetstile.engine.resource_limits import MAX_ENDED_IDS, SubmissionIds


def test_more_open_ones_than_are_remembered_are_all_known() -> None:
    known = SubmissionIds()
    for number in range(MAX_ENDED_IDS + 5):  # one more than `REMEMBERED` open ones never came to an end
        known.add(str(number))
    assert all(str(number) in known for number in range(MAX_ENDED_IDS + 5)) and not known.ended


def test_the_latest_that_have_ended_are_known() -> None:
    known = SubmissionIds(3)
    for number in range(9):
        known.add(str(number))
    for number in range(5):
        known.complete(str(number))
    assert [number for number in range(9) if str(number) in known] == [2, 3, 4, 5, 6, 7, 8]
    known.complete("3")  # a second end counts once
    assert list(known.ended) == ["2", "3", "4"]
