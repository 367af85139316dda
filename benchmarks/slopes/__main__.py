"""Slopes: what one more of each costs, each axis alone, with a fit and a check point that the fit has not seen.

    python -m benchmarks.slopes destinations|queues|held|events|relays|changes [--json FILE] [--plot FILE]
        [--series NAME] [--rounds N]

Each point is measured in a fresh process, the least of some rounds counts (other load only adds), and a fit (constant,
linear or power: the simplest that does, see fit.py) over the points is printed with its largest relative residual; each
check point stands beside its forecast. Units are at the end of a name: `_us`
microseconds of processor time, `_wall_ms` milliseconds of the clock, `_bytes`, `_mb`. Times mean little by themselves:
`in_loops` is the same fit in calibration loops, of which each point's process runs some before and after; the least of
the run counts. Loopback only; each command ends by itself.
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
"""Each is a module of this package with its series in `SERIES`."""
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
    parser.add_argument("--series", default="", help="only this one")
    parser.add_argument("--rounds", type=int, default=0, help="of each point; 0 = as the series says")
    parser.add_argument("--point", default="", help="NAME:SIZE: one point, in this process")
    args = parser.parse_args()
    all_series = series_of(args.axis)
    if args.point:
        name, _, size = args.point.rpartition(":")
        print(json.dumps(with_reference_loop(lambda: all_series[name].measure(int(size)))))
        return 0
    if args.series and args.series not in all_series:
        parser.error(f"--series: expected one of {', '.join(all_series)}, found {args.series!r}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(SIGTERM_EXIT_CODE))  # what a point has started ends with it
    result = run_axis(args.axis, all_series, args.series, args.rounds)
    print_result(result, args.json)
    if args.plot:
        plot_axis(result, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
