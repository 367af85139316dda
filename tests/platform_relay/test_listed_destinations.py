"""Destinations that have endpoints, or have recently lost their last one."""

from __future__ import annotations

from linnetstile.platform_relay.listed_destinations import ListedDestinations


def test_recently_unlisted_destinations_stay_known_up_to_a_limit() -> None:
    destinations = ListedDestinations(max_unlisted=3)
    for destination in range(6):
        destinations.add(destination)
        destinations.add(destination)
    for destination in range(6):
        destinations.remove(destination)
    assert len(destinations) == 6
    assert not destinations.recently_unlisted
    for destination in (5, 4, 3, 2, 1):
        destinations.remove(destination)
    known = [destination in destinations for destination in range(7)]
    assert known == [True, True, True, True, False, False, False]
    destinations.add(3)
    destinations.remove(3)  # makes 3 the most recently unlisted destination
    destinations.add(9)
    destinations.remove(9)
    assert list(destinations.recently_unlisted) == [1, 3, 9]
    assert 0 in destinations
    assert len(destinations.ids) == 6
