"""The order in which a full listener evicts idle connections."""

from __future__ import annotations

from dataclasses import replace

from linnetstile.engine.connection_eviction import IdleConnection, connections_to_evict


def idle(
    connection: str,
    host: str,
    rate: float,
    state_started_at: float,
    had_complete_request: bool = False,
    just_opened: bool = False,
) -> IdleConnection[str]:
    return IdleConnection(host, had_complete_request, just_opened, rate, state_started_at, connection)


def test_connections_without_a_request_are_evicted_first_by_host_rate_and_age() -> None:
    hosts = {"many": 90, "few": 2}
    connections = [
        idle("keep-alive of few", "few", 9.0, 0.0, had_complete_request=True),
        idle("keep-alive of many", "many", 9.0, 0.0, had_complete_request=True),
        idle("upload", "many", 10**6, 1.0),
        idle("trickles", "many", 1.0, 5.0),
        idle("silent", "many", 0.0, 7.0),
        idle("silent for longer", "many", 0.0, 6.0),
        idle("silent of few", "few", 0.0, 1.0),
        idle("new", "many", 0.0, 8.0, just_opened=True),
    ]
    order = [connection.connection for connection in connections_to_evict(hosts, connections, 10)[::-1]]
    assert order == [
        "silent for longer",
        "silent",
        "trickles",
        "upload",
        "silent of few",
        "new",
        "keep-alive of many",
        "keep-alive of few",
    ]
    evicted = connections_to_evict(hosts, connections, 1)
    assert [connection.connection for connection in evicted] == ["silent for longer"]


def test_connections_that_linger_after_their_last_response_are_evicted_before_all_others() -> None:
    connections = [
        idle("silent", "many", 0.0, 0.0),
        replace(idle("lingers, had a request", "few", 9.0, 2.0, had_complete_request=True), is_lingering=True),
        replace(idle("lingers", "few", 9.0, 1.0), is_lingering=True),
    ]
    order = [each.connection for each in connections_to_evict({"many": 90, "few": 2}, connections, 10)[::-1]]
    assert order == ["lingers", "lingers, had a request", "silent"]
