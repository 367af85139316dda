"""Slopes: what one more of each costs, each axis alone, with a fit and a check point that the fit has not seen.

    python -m benchmarks.slopes destinations|queues|held|events|relays|changes [--json FILE] [--plot FILE]
        [--series NAME] [--rounds N]

Each point is measured in a fresh process, the least of some rounds counts (other load only adds), and a fit (constant,
linear or power: the simplest that does, see fit.py) over the points is told with its largest relative residual; each
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

from benchmarks.common import parser, tell
from benchmarks.slopes.harness import Series, plot, referenced, run

AXES = ("destinations", "queues", "held", "events", "relays", "changes")


def series_of(axis: str) -> Mapping[str, Series]:
    found: Mapping[str, Series] = importlib.import_module(f"benchmarks.slopes.{axis}").SERIES
    return found


def main() -> int:
    made = parser(__doc__)
    made.add_argument("axis", choices=AXES)
    made.add_argument("--plot")
    made.add_argument("--series", default="", help="only this one")
    made.add_argument("--rounds", type=int, default=0, help="of each point; 0 = as the series says")
    made.add_argument("--point", default="", help="NAME:SIZE: one point, in this process")
    args = made.parse_args()
    all_series = series_of(args.axis)
    if args.point:
        name, _, size = args.point.rpartition(":")
        print(json.dumps(referenced(lambda: all_series[name].measure(int(size)))))
        return 0
    if args.series and args.series not in all_series:
        made.error(f"--series: expected one of {', '.join(all_series)}, found {args.series!r}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # what a point has started ends with it
    result = run(args.axis, all_series, args.series, args.rounds)
    tell(result, args.json)
    if args.plot:
        plot(result, args.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
