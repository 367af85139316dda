"""Formats the report as text. Times are given as median / 99th percentile / largest."""

from __future__ import annotations

from .report_schema import ComparisonJson, ReportJson, ScenarioJson, SpreadJson
from .report_statistics import spread
from .workload import DISCOVERY_MACHINES, TARGET_DESTINATIONS


def format_report(report: ReportJson) -> str:
    """Return the text of scale.txt."""
    rows = _summary(report)
    for scenario in report["simulated"]["scenes"]:
        rows += _scenario(scenario)
    rows += [*_costs(report), *_forecasts(report)]
    if report["compared"]:
        rows += ["", *_comparison(report["compared"])]
    rows += ["", "bounds: ratio, what, value, bound"]
    rows += [
        f"  {row['ratio']:>9}  {row['what']}: {row['value']:g} of {row['bound']:g} {row['unit']} ({row['how']})"
        for row in report["bounds"]
    ]
    return "\n".join(rows) + "\n"


def _format_times(values: SpreadJson) -> str:
    if not values.get("n"):
        return "none"
    return f"{values['median']:.0f} / {values['p99']:.0f} / {values['last']:.0f} ms"


def _summary(report: ReportJson) -> list[str]:
    sizes = report["sizes"]
    simulated = report["simulated"]
    known = simulated["known_at_the_end"].get("median", 0)
    rows = [
        f"{simulated['relays']} relays ({simulated['relays_played']} played), {sizes['destinations']} destinations, "
        f"{simulated['in_use']} of them with their traffic; seed {sizes['seed']}",
        f"lists refused {simulated['lists_refused']}; endpoints known at the end: {known:.0f} (median)",
    ]
    if report["left_out"]["relays"]:
        rows.append(f"LEFT OUT: {report['left_out']['relays']} relays, as the time was up; figures are of the others")
    if known < sizes["destinations"]:
        rows.append("NO LIST: relays do not know the destinations; what they do about them below says nothing")
    return rows


def _scenario(scenario: ScenarioJson) -> list[str]:
    head = f"{scenario['scene']}: {scenario['seconds']:.0f} s, {scenario['relays_down']} relays fail or end together"
    return [
        "",
        head,
        *_changes(scenario),
        *_outages(scenario),
        *_slow_starts(scenario),
        *_starts(scenario),
        _control(scenario),
        *_membership(scenario),
    ]


def _changes(scenario: ScenarioJson) -> list[str]:
    changes = scenario["changes"]
    if not changes["changes"]:
        return []
    return [
        f"  {changes['changes']} changes in force, since they could be told: "
        f"{_format_times(changes['since_told_ms'])}; since they were made: {_format_times(changes['in_force_ms'])}; "
        f"over the bound {changes['later_than_bound']}, never {changes['never']}"
    ]


def _outages(scenario: ScenarioJson) -> list[str]:
    outages = scenario["outages"]
    counts = scenario["counts"]
    if not outages["outages"]:
        return []
    return [
        f"  {outages['outages']} outages of destinations in use: {outages['learned']} of "
        f"{outages['pairs']} pairs of relay and outage learned it, after {_format_times(outages['learned_ms'])}; "
        f"{outages['without_a_message']} had no message for it; back, seen by those that knew: "
        f"{_format_times(outages['back_known_ms'])}",
        f"  calls to what was down: {counts.get('calls_down', 0)} of {counts.get('calls', 0)}, "
        f"{counts.get('calls_down_known', 0)} of them by relays that knew; "
        f"{scenario['calls_down_a_second']} a second at each, of the whole fleet",
    ]


def _slow_starts(scenario: ScenarioJson) -> list[str]:
    slow_starts = scenario["cold"]
    if not slow_starts["calls"]:
        return []
    if not slow_starts["judged"]:
        return [f"  {slow_starts['returns']} returns, not judged: that takes the whole fleet"]
    return [
        f"  {slow_starts['returns']} returns: {slow_starts['falls']} get more calls than a cold one stands, "
        f"{slow_starts['breaks']} of them by relays that had met the outage (the rule); worst window "
        f"{slow_starts['worst_of_allowed']:.2f} of what is allowed: {slow_starts['worst']}"
    ]


def _starts(scenario: ScenarioJson) -> list[str]:
    starts = scenario["starts"]
    rows = []
    if starts["starts"]:
        rows.append(
            f"  {starts['starts']} starts, {starts['found']} messages found; ready after "
            f"{_format_times(starts['ready_ms'])}, as the clock of the play has it"
        )
    if starts["ended_ms"]["n"]:
        rows.append(
            f"  the backlogs among them ended after {_format_times(starts['ended_ms'])}; most calls for them in one "
            f"second at one destination: {starts['largest_second_at_one']:.0f} (it lists "
            f"{starts['listed_rate']} a second)"
        )
    return rows


def _control(scenario: ScenarioJson) -> str:
    control = scenario["control"]
    rates = control["bytes_a_second"]
    largest = control["largest_second_a_machine"]
    row = (
        f"  control: {rates.get('median', 0):.0f} bytes/s a relay (median), "
        f"{rates.get('last', 0):.0f} (most); each of {DISCOVERY_MACHINES} machines "
        f"{control['mean_a_machine']} bytes/s"
    )
    return row if largest is None else f"{row}, {largest} in the largest second"


def _membership(scenario: ScenarioJson) -> list[str]:
    members = scenario["members"]
    if not members or not members["pairs"]:
        return []
    return [
        f"  membership, were it used: {members['noticed']} of {members['pairs']} pairs noticed within "
        f"the scene, after {_format_times(spread(members['after_ms']))}; {members['asks']} asks of the fleet"
    ]


def _costs(report: ReportJson) -> list[str]:
    measured = report["measured"]
    return [
        "",
        "costs of one hollow relay, measured: destinations, bytes, list ms, change ms (drain)",
        *(
            f"  {row['destinations']:.0f}  {row['bytes']:.0f}  {row['list_ms']:.1f}  {row.get('drain_ms', 0.0):.3f}"
            for row in measured["costs"]
        ),
        f"ms a turn: {measured['ms_a_turn']}; longest with a list: "
        f"{measured['longest_turn_ms']}; us to resume a message: {measured['resume_us_a_message']}",
        "memory of the processes that played, each at its largest, in all: "
        f"{measured['peak_bytes_of_all'] / 1e6:.0f} MB",
    ]


def _forecasts(report: ReportJson) -> list[str]:
    rows = []
    largest = report["sizes"]["cost_most"]
    if report["forecast"]:
        rows += [
            "",
            f"forecast at {TARGET_DESTINATIONS} destinations (not played; from lists of up to {largest}):",
            f"  {report['forecast']}",
        ]
    if report["telling"]:
        rows.append(f"  telling others, as the relay service does: {report['telling']}")
    return rows


def _comparison(compared: ComparisonJson) -> list[str]:
    reception = "taken" if compared["list_taken_by_hollow"] else "REFUSED"
    rows = [
        f"a list of {compared['list_bytes']} bytes, {reception} by the hollow twins; discovery sent "
        f"{compared['sent_bytes']} bytes to the real ones in {compared['seconds']} s, over "
        f"{compared['watches']} watches",
        f"hollow beside real ({compared['relays']} processes): "
        f"{'the same' if compared['agrees'] else 'NOT THE SAME'}; "
        f"endpoints {compared['endpoints']}; a watch that broke asked for "
        f"{'what changed' if compared['since_version'] else 'the whole list'}",
    ]
    rows += [
        f"  version {row['version']} {row['what']}: expected {row['expected']}, hollow {row['hollow']} "
        f"{row['hollow_ms']} ms, real {row['real']} {row['real_ms']} ms"
        for row in compared["changes"]
    ]
    rows.append(
        f"  real, memory now: {[memory['now'] for memory in compared['memory']]} bytes, with few destinations "
        f"{compared['memory_small']['now']}; processor time of the start beyond that one: "
        f"{compared['start_cpu_s']} s"
    )
    if burst := compared.get("burst"):
        rows.append(
            f"  real, {burst['changes']} changes at once: processor time {burst['cpu_s']} s; the next one "
            f"showed {burst['until_next_shows_ms']} ms after them"
        )
    return rows
