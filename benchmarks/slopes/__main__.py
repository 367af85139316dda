"""Slopes: the marginal cost along one axis at a time, as a fit with check points that are left out of the fit.

    python -m benchmarks.slopes destinations|queues|held|events|relays|changes [--json FILE] [--plot FILE]
        [--series NAME] [--rounds N]

Each point is measured in a fresh process. The minimum of several rounds is used, because other load on the machine only
adds to a value. For each quantity, the simplest adequate fit over the points (constant, linear or power, see fit.py) is
printed with its largest relative residual, and each check point is compared with its forecast.

A quantity's name ends with its unit: `_us` (microseconds of processor time), `_wall_ms` (milliseconds of wall-clock
time), `_bytes` or `_mb`. Processor times of different machines are not comparable, so `in_loops` gives the same fit in
reference loops (see timing.py): each point's process runs the reference loop before and after the measurement, and the
minimum of the run is used. All traffic is on loopback, and each command ends by itself.
"""

from __future__ import annotations

import importlib
import json
import signal
import sys
from collections.abc import Mapping

from benchmarks.common import argument_parser, print_result
from benchmarks.slopes.harness import run_axis
from benchmarks.slopes.plot import plot_axis
from benchmarks.slopes.series import Series
from benchmarks.slopes.timing import with_reference_loop

AXES = ("destinations", "queues", "held", "events", "relays", "changes")
"""Names of the axes: each is a module of this package that defines its series in `SERIES`."""
SIGTERM_EXIT_CODE = 128 + signal.SIGTERM


def series_of(axis: str) -> Mapping[str, Series]:
    """The series of an axis by name."""
    series: Mapping[str, Series] = importlib.import_module(f"benchmarks.slopes.{axis}").SERIES
    return series


def main() -> int:
    """Run one axis, or one point of it in this process."""
    parser = argument_parser(__doc__)
    parser.add_argument("axis", choices=AXES)
    parser.add_argument("--plot")
    parser.add_argument("--series", default="", help="measure only the series of this name")
    parser.add_argument(
        "--rounds", type=int, default=0, help="measurements of each point; 0 = the number that the series defines"
    )
    parser.add_argument("--point", default="", help="NAME:SIZE: measure only this size of this series, in this process")
    args = parser.parse_args()
    all_series = series_of(args.axis)
    if args.point:
        name, _, size = args.point.rpartition(":")
        print(json.dumps(with_reference_loop(lambda: all_series[name].measure(int(size)))))
        return 0
    if args.series and args.series not in all_series:
        parser.error(f"--series: expected one of {', '.join(all_series)}, found {args.series!r}")
    signal.signal(
        signal.SIGTERM, lambda *_: sys.exit(SIGTERM_EXIT_CODE)
    )  # exits through `finally` blocks, which end the point
    result = run_axis(args.axis, all_series, args.series, args.rounds)
    print_result(result, args.json)
    if args.plot:
        plot_axis(result, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
