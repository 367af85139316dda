"""What a restart learns from the messages that it finds."""

from linnetstile.engine.events import Message, MessageRecovered
from linnetstile.engine.recovery_throttle import tokens_after_recovery

from ..conftest import SAFE, Driver, make_settings


def test_only_a_message_that_had_waited_untried_takes_what_is_saved_up() -> None:
    assert tokens_after_recovery(3.0, 0.4, 0, 4000.0) == 0.4
    assert tokens_after_recovery(-1.0, 0.4, 0, 4000.0) == -1.0
    assert tokens_after_recovery(3.0, 0.4, 1, 4000.0) == 3.0  # it was out: that it had waited is not known
    assert tokens_after_recovery(3.0, 0.4, 0, 900.0) == 3.0  # it came as the process before ended


def restarted(seed: int, age: float) -> Driver:
    """One of 200 relays, which finds six messages for a destination that takes 80 calls a second from all."""
    d = Driver(make_settings(relay_count=200), seed=seed)
    d.listed((11, 1), rate=80.0)
    d.feed(*(MessageRecovered(Message(ident, 1, SAFE, 8000.0), age) for ident in range(1, 7)))
    d.ids = 6
    return d


def test_relays_that_restart_with_backlogs_do_not_send_them_in_one_go() -> None:
    """Each sent three calls at once: 600 in the first moment, where 80 a second are taken."""
    fleet = [restarted(seed, 5000.0) for seed in range(200)]
    assert sum(len(d.sent) for d in fleet) <= 2
    for d in fleet:
        d.pass_time(2000, step=50.0)
    calls = sorted(at for d in fleet for at, _ in d.sent)
    seconds = [sum(start <= at < start + 1000 for at in calls) for start in (1000, 2000)]
    assert all(60 <= count <= 140 for count in seconds), seconds  # the unpaced start is 100 a second


def test_messages_that_had_just_come_use_what_is_saved_up() -> None:
    assert len(restarted(1, 900.0).sent) == 3
