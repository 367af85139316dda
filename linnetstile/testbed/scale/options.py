"""The options of `linnetstile scale`: their names, ranges and defaults.

The fields of `ScaleOptions` have the names of the command-line options (`in_use` is `--in-use`) and are written to the
report under these names. The rest of this package uses other terms, such as "simulated" for `played`.
"""

from __future__ import annotations

from dataclasses import dataclass

from .errors import OptionError
from .workload import CHANGES_A_DAY, TARGET_RELAYS

OPTION_RANGES: dict[str, tuple[int, int]] = {
    "seed": (0, 2**31),
    "relays": (2, 2_000),
    "destinations": (12, 200_000),
    "real": (0, 8),
    "played": (0, 2_000),
    "in_use": (2, 2_000),
    "workers": (1, 16),
    "minutes": (1, 10),
    "changes": (0, 20_000),
    "failing": (0, 2_000),
    "restarts": (0, 2_000),
    "rack": (1, 2_000),
    "day_s": (20, 3_600),
    "zone_s": (20, 3_600),
    "parted_s": (20, 3_600),
    "held": (0, 1_000),
    "cost_most": (100, 200_000),
}
"""Smallest and largest value of each option that is a whole number."""

DAY_SCENARIO = "day"
RACK_FAILURE_SCENARIO = "rack"
ZONE_FAILURE_SCENARIO = "zone"
PARTITION_SCENARIO = "parted"
BACKLOG_RESTART_SCENARIO = "hands"
SCENARIOS = (
    DAY_SCENARIO,
    RACK_FAILURE_SCENARIO,
    ZONE_FAILURE_SCENARIO,
    PARTITION_SCENARIO,
    BACKLOG_RESTART_SCENARIO,
)
"""The scenarios by the names that `--scenes` and the report give them, in the order in which they run by default."""


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """The options of one scale run.

    Attributes:
        seed: Seed of all random numbers.
        relays: Relays of the fleet.
        destinations: Destinations on the endpoint list.
        real: Relay processes in the comparison with the reference model.
        played: Relays that are simulated; 0 = all of the fleet.
        in_use: Destinations that get traffic, each at the full rate of a destination of the target platform.
        workers: Processes that simulate relays.
        minutes: Time limit of the whole run.
        changes: Changes of the endpoint list in the day scenario.
        failing: Relays that fail in the day scenario and stay down for the rest of it.
        restarts: Relays that are restarted or replaced in the day scenario.
        rack: Relays of the rack that fails.
        day_s: Simulated length of the day scenario.
        zone_s: Simulated time for which a zone is down.
        parted_s: Simulated time for which the regions are partitioned.
        held: Messages for each destination in use that a restarted relay recovers in the backlog restart scenario.
        cost_most: Destinations of the longest list whose cost is measured.
        scenes: Scenarios to run, in this order.
    """

    seed: int = 1
    relays: int = TARGET_RELAYS
    destinations: int = 2_000
    real: int = 2
    played: int = 0
    in_use: int = 32
    workers: int = 4
    minutes: int = 10
    changes: int = CHANGES_A_DAY
    failing: int = 2
    restarts: int = 84
    rack: int = 20
    day_s: int = 240
    zone_s: int = 120
    parted_s: int = 600
    held: int = 20
    cost_most: int = 16_000
    scenes: tuple[str, ...] = SCENARIOS

    def check(self) -> None:
        """Check each option alone and against the others.

        Raises:
            OptionError: An option is out of its range, or larger than another option allows.
        """
        self._check_ranges()
        self._check_combinations()
        if not self.scenes or len(set(self.scenes)) < len(self.scenes) or not set(self.scenes) <= set(SCENARIOS):
            raise OptionError("scenes", f"some of {','.join(SCENARIOS)}, each once", ",".join(self.scenes))

    def _check_ranges(self) -> None:
        for name, (minimum, maximum) in OPTION_RANGES.items():
            value = getattr(self, name)
            if not minimum <= value <= maximum:
                raise OptionError(option_name(name), f"a whole number from {minimum} to {maximum}", value)

    def _check_combinations(self) -> None:
        upper_limits = (
            ("played", self.relays, "--relays"),
            ("in_use", self.destinations, "--destinations"),
            ("rack", self.relays - 1, "--relays less one"),
            ("restarts", self.relays - self.failing, "--relays less --failing"),
        )
        for name, maximum, limit in upper_limits:
            value = getattr(self, name)
            if value > maximum:
                raise OptionError(option_name(name), f"no more than {limit} ({maximum})", value)

    @property
    def simulated_relays(self) -> list[int]:
        """Numbers of the relays that are simulated, spread over the zones."""
        count = self.played or self.relays
        step = self.relays / count
        return [int(n * step) for n in range(count)]


def option_name(field_name: str) -> str:
    """Return the name of the option for a field of `ScaleOptions`, without its dashes."""
    return field_name.replace("_", "-")
