"""What a scale run found: figures by scene, costs, the forecast for the target's size, the bounds; JSON, text, plots.

`simulated` follows from options and program alone. `measured` (processor time, memory) differs from run to run.
`forecast` is reckoned from both, in proportion, and was not played."""

from __future__ import annotations

import json
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from ...as2_relay.gossip import CLAIMS_MAX
from ...engine.membership import POLL_INTERVAL_MS
from ..rule_checker import cold_calls
from .fleet import Played
from .scenarios import WHAT
from .simulated_relay import Trace
from .world_model import (
    CHANGES_A_DAY,
    EACH_PER_S,
    EMPTY_BYTES,
    EMPTY_MS,
    MACHINES,
    RATE,
    REGIONS,
    TARGET_DESTINATIONS,
    TARGET_RELAYS,
    ZONES,
    Outage,
    Scene,
    World,
)

BYTES_S, MEMORY, CORE, IN_FORCE_MS = 3_000.0, 32e6, 0.021, 4_000.0  # the users' bounds of control, for one relay
RESTARTS_A_DAY, BACKLOG = 84, 1.1e9 / TARGET_RELAYS  # of the fleet; messages of one relay
WHOLE = 0.95  # part of the relays that has to be played for what the whole fleet sends to be judged
AWAY_MS = 6_000.0  # a relay that ends so soon after a change need not have had it
EMPTY_S = EMPTY_BYTES * 1000 / EMPTY_MS  # bytes a second of empty lines


def spread(values: Iterable[float]) -> dict[str, float | int]:
    """How many; median, 99th of a hundred, last, mean."""
    found = sorted(values)
    if not found:
        return {"n": 0}

    def at(part: float) -> float:
        return round(found[min(len(found) - 1, math.ceil(part * len(found)) - 1)], 1)

    return {
        "n": len(found),
        "median": at(0.5),
        "p99": at(0.99),
        "last": at(1.0),
        "mean": round(math.fsum(found) / len(found), 1),
    }


def _up(world: World, relay: int, begin: float, end: float) -> bool:
    return any(life.begin <= begin and end <= life.end for life in world.lives[relay])


def _up_s(world: World, relay: int, begin: float, end: float) -> float:
    return sum(max(0.0, min(end, life.end) - max(begin, life.begin)) for life in world.lives[relay]) / 1000


def _changes(world: World, scene: Scene, traces: list[Trace]) -> tuple[dict[str, Any], list[float]]:
    """Time from a change until it is in force at a relay that was up. `since_told`: from when discovery could be
    reached, where that was later."""
    whole, told, never = list[float](), list[float](), 0
    for change in world.changes:
        if not scene.begin <= change.at < scene.end:
            continue
        for trace in traces:
            if not _up(world, trace.relay, change.at, change.at + AWAY_MS):
                continue
            silent = world.silent.get(world.region(trace.relay), ())
            reached = next((end for begin, end in silent if begin <= change.at < end), change.at)
            if change.version in trace.heard:
                whole.append(trace.heard[change.version] - change.at)
                told.append(trace.heard[change.version] - reached)
            else:
                never += 1
    found = {
        "changes": sum(scene.begin <= change.at < scene.end for change in world.changes),
        "in_force_ms": spread(whole),
        "since_told_ms": spread(told),
        "never": never,
        "later_than_bound": sum(ms > IN_FORCE_MS for ms in told),
    }
    return found, told


def _ours(world: World, scene: Scene) -> list[Outage]:
    used = set(world.in_use)
    return [o for o in world.outages if o.destination in used and scene.begin <= o.begin < scene.end]


def _outages(world: World, scene: Scene, traces: list[Trace]) -> tuple[dict[str, Any], list[float]]:
    """Each relay learns alone. A pair is a relay that was up all along and an outage that it could meet."""
    learned, cleared, pairs, without, down_s = list[float](), list[float](), 0, 0, 0.0
    ours = _ours(world, scene)
    for outage in ours:
        down_s += (outage.end - outage.begin) / 1000
        for trace in traces:
            if outage.region not in (None, world.region(trace.relay)) or not _up(
                world, trace.relay, outage.begin, outage.end
            ):
                continue
            pairs += 1
            if outage.number in trace.learned:
                learned.append(trace.learned[outage.number] - outage.begin)
            elif outage.number not in trace.asked:
                without += 1
            if outage.number in trace.cleared:
                cleared.append(trace.cleared[outage.number] - outage.end)
    found = {
        "outages": len(ours),
        "seconds_down": round(down_s, 1),
        "pairs": pairs,
        "learned": len(learned),
        "without_a_message": without,
        "learned_ms": spread(learned),
        "back_known_ms": spread(cleared),
    }
    return found, learned


def _cold(world: World, scene: Scene, traces: list[Trace], whole: bool) -> dict[str, Any]:
    """Calls of the whole fleet to destinations that have just come back, in each window that the rules name. One that
    gets too many falls; that breaks the rule where over two thirds of the first such window's calls came from relays
    that had met the outage. A part of the fleet shows nothing of it: a few calls, times its share, are noise."""
    safety = world.settings(0).safety
    calls = defaultdict[int, list[tuple[float, bool]]](list)
    for trace in traces:
        for number, at, had in trace.cold:
            calls[number].append((at, had))
    rows = []
    for outage in _ours(world, scene):
        if not outage.cold:
            continue
        times, first, worst = sorted(calls[outage.number]), 0, (0.0, 0, 0.0, 0)
        broken: bool | None = None
        for n, (at, _) in enumerate(times):
            while times[first][0] <= at - safety.overload_window_ms:
                first += 1
            budget = cold_calls(
                world.rate(outage.destination, at),
                at - outage.end,
                safety.slow_start_fraction,
                safety.slow_start_ms,
                safety.overload_multiple,
                safety.overload_window_ms,
            )
            got, met = n + 1 - first, sum(each for _, each in times[first : n + 1])
            ratio = got / (budget + 2 * math.sqrt(budget) + 2)
            worst = max(worst, (ratio, got, budget, met))
            if broken is None and ratio > 1:
                broken = met > got * 2 / 3
        rows.append(
            {
                "ratio": round(worst[0], 3),
                "calls": worst[1],
                "by_relays_that_met_it": worst[3],
                "budget": round(worst[2], 1),
                "all": len(times),
                "falls": broken is not None,
                "breaks": bool(broken),
                "lasted_ms": round(outage.end - outage.begin),
                "met_by": sum(outage.number in trace.met for trace in traces),
            }
        )
    if not whole:
        return {"returns": len(rows), "judged": False, "calls": sum(row["all"] for row in rows)}
    return {
        "returns": len(rows),
        "judged": True,
        "falls": sum(row["falls"] for row in rows),
        "breaks": sum(row["breaks"] for row in rows),
        "worst_of_allowed": max((row["ratio"] for row in rows), default=0.0),
        "calls": sum(r["all"] for r in rows),
        "ratios": spread(row["ratio"] for row in rows),
        "worst": max(rows, key=lambda r: r["ratio"], default=None),
        "each": rows,
    }


def _hands(world: World, scene: Scene, traces: list[Trace], scaled: float) -> dict[str, Any]:
    lives = [
        (at - begin, found)
        for trace in traces
        for begin, at, found in trace.ready
        if begin > 0 and scene.begin <= begin < scene.end
    ]
    ended = [at - scene.failed_at for trace in traces for number, at in trace.drained if world.scenes[number] is scene]
    at_once: Counter[tuple[int, int]] = Counter()
    for trace in traces:
        for (cell, second), calls in trace.backlog.items():
            if scene.begin <= second * 1000 < scene.end + 60_000:
                at_once[cell, second] += calls
    return {
        "starts": len(lives),
        "ready_ms": spread(ms for ms, _ in lives),
        "found": sum(n for _, n in lives),
        "ended_ms": spread(ended),
        "largest_second_at_one": round(scaled * max(at_once.values(), default=0), 1),
        "listed_rate": round(RATE, 1),
    }


def _control(world: World, scene: Scene, traces: list[Trace], scaled: float) -> dict[str, Any]:
    """Bytes of the watches. A relay's rate is over the seconds that it was up; the machines serve the whole fleet."""
    each, seconds = list[float](), Counter[int]()
    for trace in traces:
        up = _up_s(world, trace.relay, scene.begin, scene.end)
        got = 0
        for second, size in trace.bytes.items():
            if scene.begin <= second * 1000 < scene.end:
                got += size
                seconds[second] += size
        if up:
            each.append(got / up + EMPTY_S)
    largest, mean = max(seconds.values(), default=0), sum(seconds.values()) * 1000 / (scene.end - scene.begin)
    # The largest second of a part says nothing of the whole: one relay's start would count as many at once.
    return {
        "bytes_a_second": spread(each),
        "largest_second_a_machine": round(scaled * largest / MACHINES) if scaled * WHOLE <= 1 else None,
        "mean_a_machine": round(scaled * mean / MACHINES),
    }


def simulated(world: World, played: Played) -> tuple[dict[str, Any], dict[str, Any]]:
    """The figures that a seed repeats, and the samples for the plots."""
    traces = [trace for trace in played.traces if not trace.cut]
    scaled = world.sizes.relays / max(1, len(traces))
    counts: Counter[str] = sum((trace.counts for trace in traces), Counter())
    rows, samples = [], dict[str, Any]()
    for number, scene in enumerate(world.scenes):
        changes, told = _changes(world, scene, traces)
        outages, learned = _outages(world, scene, traces)
        mine = {what.partition(":")[2]: n for what, n in sorted(counts.items()) if what.startswith(f"{number}:")}
        seen = outages["seconds_down"]
        rows.append(
            {
                "scene": scene.name,
                "seconds": (scene.end - scene.begin) / 1000,
                "relays_down": len(scene.down),
                "changes": changes,
                "outages": outages,
                "calls_down_a_second": round(scaled * mine.get("calls_down", 0) / seen, 3) if seen else 0.0,
                "cold": _cold(world, scene, traces, len(traces) >= WHOLE * world.sizes.relays),
                "starts": _hands(world, scene, traces, scaled),
                "control": _control(world, scene, traces, scaled),
                "counts": mine,
                "members": next((row for row in played.members.get("scenes", []) if row["scene"] == scene.name), None),
            }
        )
        samples[scene.name] = {"told": told, "learned": learned}
    return {
        "relays_played": len(traces),
        "relays": world.sizes.relays,
        "in_use": len(world.in_use),
        "lists_refused": sum(trace.refused for trace in traces),
        "known_at_the_end": spread(trace.known for trace in traces),
        "scenes": rows,
        "members": {k: v for k, v in played.members.items() if k != "scenes"},
    }, samples


def measured(world: World, played: Played) -> dict[str, Any]:
    """Processor time and memory of this run."""
    traces = played.traces
    spent: Counter[str] = sum((trace.spent for trace in traces), Counter())
    turns: Counter[str] = sum((trace.turns for trace in traces), Counter())
    up_s = sum(_up_s(world, trace.relay, 0.0, world.end) for trace in traces)
    longest = {what: max((trace.longest[what] for trace in traces), default=0) / 1e6 for what in ("whole", "change")}
    found = sum(messages for trace in traces for _, _, messages in trace.ready)
    return {
        "resume_us_a_message": round(spent["resume"] / 1e3 / found, 2) if found else None,
        "ms_a_turn": {what: round(spent[what] / 1e6 / n, 4) for what, n in sorted(turns.items())},
        "turns": dict(sorted(turns.items())),
        "control_share_of_a_core": round((spent["whole"] + spent["change"]) / 1e9 / max(1e-9, up_s), 6),
        "longest_turn_ms": {what: round(ms, 2) for what, ms in longest.items()},
        "costs": sorted(played.costs, key=lambda row: row["destinations"]),
        "peak_bytes": played.peak,
        "peak_bytes_of_all": sum(played.peak.values()),
    }


def line(points: list[tuple[float, float]], at: float) -> float:
    """The straight line of least squares through points, at another place; never below 0."""
    n = len(points)
    mx, my = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    spread_x = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / spread_x if spread_x else 0.0
    return max(0.0, my + slope * (at - mx))


def telling(traces: list[Trace]) -> dict[str, float]:
    """What telling others would cost a relay at the target, if it were done as the relay service does: in each round it
    asks one peer for what has changed, which is whatever the peer has called since."""
    claims = sum(trace.claims[0] for trace in traces)
    if not claims:
        return {}
    each, round_s = sum(trace.claims[1] for trace in traces) / claims, 1.25 * POLL_INTERVAL_MS / 1000
    called = TARGET_DESTINATIONS * (1 - math.exp(-EACH_PER_S / TARGET_RELAYS * round_s))
    return {
        "claim_bytes": round(each, 1),
        "claims_a_round": round(called),
        "claims_most": CLAIMS_MAX,
        "bytes_a_second": round(called * each / round_s),
    }


def forecast(costs: list[dict[str, float]], resume_us: float | None, since_version: bool) -> dict[str, float]:
    """One relay's control at the target, on a straight line through what lists of three sizes cost in this run. Its
    backlog: the module's part of resuming it."""
    taken = [row for row in costs if row["known"]]
    if not taken:
        return {}

    def at(name: str) -> float:
        return line([(row["destinations"], row[name]) for row in taken], TARGET_DESTINATIONS)

    change_ms = sum(at(f"{what}_ms") for what in WHAT) / len(WHAT)
    starts, list_bytes, list_ms = RESTARTS_A_DAY / TARGET_RELAYS, at("list_bytes"), at("list_ms")
    change_bytes = sum(row["change_bytes"] for row in taken) / len(taken)
    day_bytes = CHANGES_A_DAY * change_bytes + starts * list_bytes
    return {
        "memory_bytes": round(at("bytes")),
        "list_bytes": round(list_bytes),
        "list_ms": round(list_ms, 1),
        "change_ms": round(change_ms, 4),
        "drain_ms": round(at("drain_ms"), 4),
        "bytes_a_second": round(day_bytes / 86_400 + EMPTY_S, 2),
        "core_share": round((CHANGES_A_DAY * change_ms + starts * list_ms) / 1000 / 86_400, 7),
        "list_at_bound_s": round(list_bytes / BYTES_S, 1),
        "machine_day_bytes_a_second": round(day_bytes / 86_400 * TARGET_RELAYS / MACHINES, 1),
        "machine_zone_back_bytes": round(list_bytes * TARGET_RELAYS / ZONES / MACHINES),
        "machine_joined_bytes": 0 if since_version else round(list_bytes * TARGET_RELAYS / REGIONS / MACHINES),
        "backlog_resume_s": round(BACKLOG * (resume_us or 0.0) / 1e6, 1),
    }


def bounds(found: dict[str, Any]) -> list[dict[str, Any]]:
    """The users' bounds beside what was simulated, measured or reckoned."""
    rows: list[dict[str, Any]] = []

    def row(what: str, value: float | None, bound: float, unit: str, how: str) -> None:
        if value is not None:
            rows.append(
                {
                    "what": what,
                    "value": value,
                    "bound": bound,
                    "unit": unit,
                    "ratio": round(value / bound, 3),
                    "how": how,
                }
            )

    for scene in found["simulated"]["scenes"]:
        name = scene["scene"]
        row(
            f"{name}: change in force at the last relay, since it could be told",
            scene["changes"]["since_told_ms"].get("last"),
            IN_FORCE_MS,
            "ms",
            "simulated",
        )
        if name != "day":  # its changes come within minutes: see the forecast
            row(
                f"{name}: control bytes of the relay that got most",
                scene["control"]["bytes_a_second"].get("last"),
                BYTES_S,
                "bytes/s",
                "simulated, over the scene, at the size played",
            )
        if scene["cold"]["calls"] and scene["cold"]["judged"]:
            row(
                f"{name}: calls to a cold destination, the worst window of all returns",
                scene["cold"]["worst_of_allowed"],
                1.0,
                "of N + 2*sqrt(N) + 2",
                "simulated, the whole fleet",
            )
    row(
        "control, share of a core over the run",
        found["measured"]["control_share_of_a_core"],
        CORE,
        "cores",
        "measured, changes of a day in short",
    )
    if (told := found["compared"]) and told["list_taken_by_hollow"]:
        row(
            f"memory of a real relay with {found['sizes']['destinations']} destinations, beyond one with few",
            max(each["now"] for each in told["memory"]) - told["memory_small"]["now"],
            MEMORY,
            "bytes",
            "measured",
        )
    if ahead := found["telling"]:
        row(
            "telling others of destinations at the target",
            ahead["bytes_a_second"],
            BYTES_S,
            "bytes/s",
            "forecast: not done on the platform",
        )
    if ahead := found["forecast"]:
        row("memory of directory and module at the target", ahead["memory_bytes"], MEMORY, "bytes", "forecast")
        row("control bytes at the target, an ordinary day", ahead["bytes_a_second"], BYTES_S, "bytes/s", "forecast")
        row("control, share of a core at the target", ahead["core_share"], CORE, "cores", "forecast")
    return rows


def build(world: World, played: Played, compared: dict[str, Any] | None) -> tuple[dict[str, Any], dict[str, Any]]:
    """The whole report, and samples for the plots."""
    first, samples = simulated(world, played)
    found: dict[str, Any] = {
        "sizes": asdict(world.sizes),
        "target": {"relays": TARGET_RELAYS, "destinations": TARGET_DESTINATIONS},
        "simulated": first,
        "measured": measured(world, played),
        "telling": telling(played.traces),
        "compared": compared,
        "left_out": {"relays": len(world.sizes.hollow) - first["relays_played"]},
    }
    found["forecast"] = forecast(
        played.costs, found["measured"]["resume_us_a_message"], bool(compared and compared["since_version"])
    )
    found["bounds"] = bounds(found)
    return found, samples


# -- text ------------------------------------------------------------------------------------------------------------


def _ms(told: dict[str, Any]) -> str:
    return f"{told['median']:.0f} / {told['p99']:.0f} / {told['last']:.0f} ms" if told.get("n") else "none"


def text(found: dict[str, Any]) -> str:
    """For people. Times are median / p99 / last."""
    sizes, first = found["sizes"], found["simulated"]
    rows = [
        f"{first['relays']} relays ({first['relays_played']} played), {sizes['destinations']} destinations, "
        f"{first['in_use']} of them with their traffic; seed {sizes['seed']}",
        f"lists refused {first['lists_refused']}; endpoints known at the end: "
        f"{first['known_at_the_end'].get('median', 0):.0f} (median)",
    ]
    if found["left_out"]["relays"]:
        rows.append(f"LEFT OUT: {found['left_out']['relays']} relays, as the time was up; figures are of the others")
    if first["known_at_the_end"].get("median", 0) < sizes["destinations"]:
        rows.append("NO LIST: relays do not know the destinations; what they do about them below says nothing")
    for scene in first["scenes"]:
        changes, outages, cold, counts = scene["changes"], scene["outages"], scene["cold"], scene["counts"]
        starts, members = scene["starts"], scene["members"]
        rows += ["", f"{scene['scene']}: {scene['seconds']:.0f} s, {scene['relays_down']} relays fail or end together"]
        if changes["changes"]:
            rows.append(
                f"  {changes['changes']} changes in force, since they could be told: "
                f"{_ms(changes['since_told_ms'])}; since they were made: {_ms(changes['in_force_ms'])}; "
                f"over the bound {changes['later_than_bound']}, never {changes['never']}"
            )
        if outages["outages"]:
            rows.append(
                f"  {outages['outages']} outages of destinations in use: {outages['learned']} of "
                f"{outages['pairs']} pairs of relay and outage learned it, after {_ms(outages['learned_ms'])}; "
                f"{outages['without_a_message']} had no message for it; back, seen by those that knew: "
                f"{_ms(outages['back_known_ms'])}"
            )
            rows.append(
                f"  calls to what was down: {counts.get('calls_down', 0)} of {counts.get('calls', 0)}, "
                f"{counts.get('calls_down_known', 0)} of them by relays that knew; "
                f"{scene['calls_down_a_second']} a second at each, of the whole fleet"
            )
        if cold["calls"] and not cold["judged"]:
            rows.append(f"  {cold['returns']} returns, not judged: that takes the whole fleet")
        elif cold["calls"]:
            rows.append(
                f"  {cold['returns']} returns: {cold['falls']} get more calls than a cold one stands, "
                f"{cold['breaks']} of them by relays that had met the outage (the rule); worst window "
                f"{cold['worst_of_allowed']:.2f} of what is allowed: {cold['worst']}"
            )
        if starts["starts"]:
            rows.append(
                f"  {starts['starts']} starts, {starts['found']} messages found; ready after "
                f"{_ms(starts['ready_ms'])}, as the clock of the play has it"
            )
        if starts["ended_ms"]["n"]:
            rows.append(
                f"  the backlogs among them ended after {_ms(starts['ended_ms'])}; most calls for them in one "
                f"second at one destination: {starts['largest_second_at_one']:.0f} (it lists "
                f"{starts['listed_rate']} a second)"
            )
        control = scene["control"]
        largest = control["largest_second_a_machine"]
        rows.append(
            f"  control: {control['bytes_a_second'].get('median', 0):.0f} bytes/s a relay (median), "
            f"{control['bytes_a_second'].get('last', 0):.0f} (most); each of {MACHINES} machines "
            f"{control['mean_a_machine']} bytes/s"
            + (f", {largest} in the largest second" if largest is not None else "")
        )
        if members and members["pairs"]:
            rows.append(
                f"  membership, were it used: {members['noticed']} of {members['pairs']} pairs noticed within "
                f"the scene, after {_ms(spread(members['after_ms']))}; {members['asks']} asks of the fleet"
            )
    costs = found["measured"]["costs"]
    rows += ["", "costs of one hollow relay, measured: destinations, bytes, list ms, change ms (drain)"]
    rows += [
        f"  {row['destinations']:.0f}  {row['bytes']:.0f}  {row['list_ms']:.1f}  {row.get('drain_ms', 0.0):.3f}"
        for row in costs
    ]
    rows += [
        f"ms a turn: {found['measured']['ms_a_turn']}; longest with a list: "
        f"{found['measured']['longest_turn_ms']}; us to resume a message: "
        f"{found['measured']['resume_us_a_message']}"
    ]
    rows.append(
        f"memory of the processes that played, each at its largest, in all: "
        f"{found['measured']['peak_bytes_of_all'] / 1e6:.0f} MB"
    )
    if found["forecast"]:
        rows += [
            "",
            f"forecast at {TARGET_DESTINATIONS} destinations (not played; from lists of up to {sizes['cost_most']}):",
            f"  {found['forecast']}",
        ]
    if found["telling"]:
        rows.append(f"  telling others, as the relay service does: {found['telling']}")
    if found["compared"]:
        rows += ["", *_compared(found["compared"])]
    rows += ["", "bounds: ratio, what, value, bound"]
    rows += [
        f"  {row['ratio']:>9}  {row['what']}: {row['value']:g} of {row['bound']:g} {row['unit']} ({row['how']})"
        for row in found["bounds"]
    ]
    return "\n".join(rows) + "\n"


def _compared(told: dict[str, Any]) -> list[str]:
    taken = "taken" if told["list_taken_by_hollow"] else "REFUSED"
    rows = [
        f"a list of {told['list_bytes']} bytes, {taken} by the hollow twins; discovery sent {told['sent_bytes']} "
        f"bytes to the real ones in {told['seconds']} s, over {told['watches']} watches",
        f"hollow beside real ({told['relays']} processes): {'the same' if told['agrees'] else 'NOT THE SAME'}; "
        f"endpoints {told['endpoints']}; a watch that broke asked for "
        f"{'what changed' if told['since_version'] else 'the whole list'}",
    ]
    rows += [
        f"  version {row['version']} {row['what']}: expected {row['expected']}, hollow {row['hollow']} "
        f"{row['hollow_ms']} ms, real {row['real']} {row['real_ms']} ms"
        for row in told["changes"]
    ]
    rows.append(
        f"  real, memory now: {[each['now'] for each in told['memory']]} bytes, with few destinations "
        f"{told['memory_small']['now']}; processor time of the start beyond that one: {told['start_cpu_s']} s"
    )
    if burst := told.get("burst"):
        rows.append(
            f"  real, {burst['changes']} changes at once: processor time {burst['cpu_s']} s; the next one "
            f"showed {burst['until_next_shows_ms']} ms after them"
        )
    return rows


# -- plots -----------------------------------------------------------------------------------------------------------


def plots(found: dict[str, Any], samples: dict[str, Any], folder: Path) -> list[str]:
    """PNG files in the folder; their names."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    names = []
    for name, what, title in (
        ("in-force.png", "told", "a change is in force, since it could be told"),
        ("learned.png", "learned", "a relay alone takes a destination as out"),
    ):
        figure, axes = plt.subplots(figsize=(8, 4.5))
        for scene, found_ in samples.items():
            values = sorted(found_[what])
            if values:
                axes.step(
                    [value / 1000 for value in values],
                    [(n + 1) / len(values) for n in range(len(values))],
                    where="post",
                    label=f"{scene} ({len(values)})",
                )
        axes.set(xlabel="seconds (simulated)", ylabel="part of the pairs", title=title)
        if axes.has_data():
            axes.legend()
        figure.savefig(folder / name, dpi=100)
        plt.close(figure)
        names.append(name)
    rows = found["bounds"]
    figure, axes = plt.subplots(figsize=(10, 0.5 * len(rows) + 1.5))
    axes.barh(
        [row["what"] for row in rows],
        [max(row["ratio"], 1e-4) for row in rows],
        color=["firebrick" if row["ratio"] > 1 else "steelblue" for row in rows],
    )
    axes.axvline(1.0, color="black")
    axes.set(xscale="log", xlabel="need over bound")
    figure.tight_layout()
    figure.savefig(folder / "bounds.png", dpi=100)
    plt.close(figure)
    return [*names, "bounds.png"]


def write(found: dict[str, Any], samples: dict[str, Any], folder: Path, say: Callable[[str], None]) -> None:
    (folder / "scale.json").write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
    (folder / "scale.txt").write_text(text(found), encoding="utf-8")
    try:
        plots(found, samples, folder)
    except ImportError:
        say("no plots: they need matplotlib (the extra `plots`)")
