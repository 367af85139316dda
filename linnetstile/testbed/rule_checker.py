"""Judges a run by what its stand-ins saw on their sockets and by their ledgers, never by what a relay says.

A run is a folder: `run.json` (figures of the rules, what the player did to which process) and one record each of
partners, clients and register. Six rules, and at most one attempt out."""

from __future__ import annotations

import bisect
import json
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..emulators.record import RecordError, read

Row = dict[str, Any]
FLIGHT_MS = 25.0  # between a socket's two ends on one busy machine: a send that crossed an answer
SLACK_MS = 250.0  # a client's own delay in reading an answer, on a machine that runs the whole fleet
QUEUE = 2  # calls that a cold partner takes beyond its budget before it falls
FINDINGS_MAX = 20


def cold_calls(
    rate: float, since_ms: float, cold_share: float, cold_ms: float, fall_multiple: float, fall_ms: float
) -> float:
    """Calls that the rules allow a cold destination within `fall_ms`, so long after its return; `rate` is a second."""
    share = cold_share + (1 - cold_share) * since_ms / max(1.0, cold_ms)
    return fall_multiple * share * rate * fall_ms / 1000


@dataclass(slots=True)
class Verdict:
    rule: str
    text: str
    looked_at: int = 0
    broken: int = 0
    findings: list[str] = field(default_factory=list)

    def breach(self, text: str) -> None:
        self.broken += 1
        if len(self.findings) < FINDINGS_MAX:
            self.findings.append(text)


@dataclass(slots=True)
class Try:
    """One attempt as the partner's sockets showed it."""

    t: float
    relay: str
    partner: str
    endpoint: int
    end: float = float("inf")
    status: int = 0
    conn: int | None = None
    crawls: bool = False  # the partner read it slowly: it sees an end only behind all that it has not read
    cut: bool = False  # its connection ended before the request was whole

    @property
    def ran_not(self) -> bool:
        return self.cut or self.status in (429, 503)


@dataclass(slots=True)
class Run:
    """All records of a run."""

    facts: Row
    partners: list[Row]
    clients: list[Row]
    register: list[Row]

    @classmethod
    def load(message_class, folder: Path) -> Run:
        try:
            facts = json.loads((folder / "run.json").read_text(encoding="utf-8"))
            rows = [list(read(folder / f"{name}.jsonl")) for name in ("partners", "clients", "register")]
        except (OSError, ValueError) as error:
            raise RecordError(f"{folder}: not a run's record: {error}") from error
        for key in ("classes", "safety", "partners", "attempts", "relays"):
            if key not in facts:
                raise RecordError(f"{folder}/run.json: {key} is missing")
        return message_class(facts, *(sorted(part, key=lambda row: float(row["t"])) for part in rows))

    def lives(self, relay: str) -> list[tuple[float, float, str]]:
        """From when to when each process of a relay ran, and how it ended: killed, stopped or ''."""
        return [
            (life[0], life[1] if life[1] is not None else float("inf"), life[2])
            for life in self.facts["relays"].get(relay, [])
        ]

    def life(self, relay: str, t: float) -> str:
        """The name of a relay's process at a time: its memory ends with it."""
        starts = [start for start, _, _ in self.lives(relay)]
        return f"{relay}#{bisect.bisect_right(starts, t)}"

    def killed(self, relay: str, start: float, end: float) -> bool:
        return any(how == "killed" and start <= at <= end + 2000 for _, at, how in self.lives(relay))


class Judge:
    def __init__(self, run: Run) -> None:
        self.run = run
        self.safety: dict[str, float] = run.facts["safety"]
        self.classes: dict[str, Row] = run.facts["classes"]
        self.verdicts = [
            Verdict("answers", "every taken message gets one final answer, in time"),
            Verdict("effects", "no effect twice, nothing repeated or refused that may have run"),
            Verdict("one-out", "never two attempts of a message at once, nor more than allowed"),
            Verdict("drains", "nothing new to an endpoint after its grace"),
            Verdict("returns", "a returning partner is not pushed over by relays that knew"),
            Verdict("order", "order is kept where a class asks for it"),
            Verdict("waits", "told waits are heeded"),
        ]
        self.hands = {row["hand"]: row for row in run.clients if row["ev"] == "hand"}
        self.cls = {row["mid"]: row["cls"] for row in self.hands.values()}
        self.finals: dict[str, list[Row]] = defaultdict(list)
        for row in run.clients:
            if row["ev"] in ("final", "lost"):
                self.finals[row["hand"]].append(row)
        self.tries = self._tries()
        self.effects: dict[tuple[str, str], list[Row]] = defaultdict(list)
        for row in run.partners:
            if row["ev"] == "effect":
                self.effects[row["mid"], self._life(row)].append(row)

    def _life(self, row: Row) -> str:
        return self.run.life(row["relay"], row["t"])

    def _tries(self) -> dict[tuple[str, str], list[Try]]:
        """Attempts by message and relay process, in order of their first byte."""
        found: dict[tuple[str, str], list[Try]] = defaultdict(list)
        cuts: set[int] = set()  # began rows of requests that never were whole: such a one is not out
        latest: dict[tuple[str, int, int], int] = {}
        for n, row in enumerate(self.run.partners):
            if row["ev"] in ("began", "cut") and "conn" in row:
                place = row["partner"], row["endpoint"], row["conn"]
                if row["ev"] == "began":
                    latest[place] = n
                elif place in latest:
                    cuts.add(latest.pop(place))
        for n, row in enumerate(self.run.partners):
            if row["ev"] not in ("began", "answer", "closed") or not row.get("mid"):
                continue
            relay = self._life(row)
            if row["ev"] == "began":
                cut = n in cuts
                found[row["mid"], relay].append(
                    Try(
                        row["t"],
                        relay,
                        row["partner"],
                        row["endpoint"],
                        row["t"] if cut else float("inf"),
                        cut=cut,
                        conn=row.get("conn"),
                        crawls=bool(row.get("crawls")),
                    )
                )
                continue
            for attempt in found[row["mid"], relay]:
                same = attempt.endpoint == row["endpoint"] and row.get("conn") in (None, attempt.conn)
                if same and attempt.end == float("inf"):
                    if row["ev"] == "closed" or row["status"]:
                        attempt.end, attempt.status = row["t"], row.get("status", 0)
                    break
        return found

    def judge(self) -> list[Verdict]:
        answers, effects, one, drains, returns, order, waits = self.verdicts
        self._answers(answers)
        self._effects(effects)
        self._one_out(one)
        self._drains(drains)
        self._returns(returns)
        self._order(order)
        self._waits(waits)
        return self.verdicts

    def _answers(self, v: Verdict) -> None:
        given: dict[tuple[str, str], Row] = {}
        for mark, hand in self.hands.items():
            rows = self.finals.get(mark, [])
            relay, limit = hand["relay"], self.classes[hand["cls"]]["deadline_ms"] + SLACK_MS
            v.looked_at += 1
            end = rows[0]["t"] if rows else hand["t"] + limit
            if not rows or rows[0]["ev"] == "lost":
                unsent = rows and rows[0]["sight"] in ("no_connection", "not_sent")
                if not unsent and not self.run.killed(relay, hand["t"] - 50, end):
                    how = f"connection {rows[0]['sight']}" if rows else "none"
                    v.breach(f"{hand['mid']} handed to {relay}: no final answer ({how})")
                continue
            if len(rows) > 1 and not hand["wait"]:
                v.breach(f"{hand['mid']} handed to {relay}: {len(rows)} final answers")
            if end - hand["t"] > limit:
                v.breach(f"{hand['mid']} handed to {relay}: answered {end - hand['t'] - limit:.0f} ms too late")
            if rows[0]["kind"] in ("refused", "conflict"):
                continue
            first = given.setdefault((hand["mid"], self.run.life(relay, hand["t"])), rows[0])
            if (first["kind"], first["digest"]) != (rows[0]["kind"], rows[0]["digest"]):
                v.breach(f"{hand['mid']} handed to {relay} again: {rows[0]['kind']} after {first['kind']}")
            if rows[0]["receipt"] not in ("none", "positive", "duplicate", "negative"):
                v.breach(f"{hand['mid']}: the receipt handed on is {rows[0]['receipt']}")
            if rows[0]["kind"] == "delivered" and not any(mid == hand["mid"] for mid, _ in self.effects):
                v.breach(f"{hand['mid']}: delivered, but no partner's ledger has it")

    def _effects(self, v: Verdict) -> None:
        refused = {
            (self.hands[m]["mid"], self.run.life(self.hands[m]["relay"], self.hands[m]["t"])): rows[0]["t"]
            for m, rows in self.finals.items()
            if m in self.hands and rows[0].get("kind") == "refused"
        }
        for (mid, relay), tries in self.tries.items():
            v.looked_at += 1
            message_class = self.classes.get(self.cls.get(mid, ""))
            if message_class is None or message_class["effect"] == "safe":
                continue
            if len(self.effects.get((mid, relay), [])) > 1:
                v.breach(f"{mid}: took effect {len(self.effects[mid, relay])} times by {relay}")
            risky = [attempt for attempt in tries if not attempt.ran_not]
            for attempt in tries:
                before = [other for other in risky if other.t < attempt.t]
                if before and message_class["effect"] == "unsafe":
                    v.breach(f"{mid}: {relay} sent it again though it may have run")
                elif before and attempt.t - before[0].t > message_class["key_window_ms"] + FLIGHT_MS:
                    v.breach(f"{mid}: {relay} sent it again {attempt.t - before[0].t:.0f} ms after the first risk")
            # A refusal promises that coming again is harmless: only after attempts that are known not to have run.
            at = refused.get((mid, relay))
            if at is not None and any(other.t < at for other in risky):
                v.breach(f"{mid}: {relay} refused it though it may have run")

    def _one_out(self, v: Verdict) -> None:
        for (mid, relay), tries in self.tries.items():
            v.looked_at += 1
            for earlier, later in zip(tries, tries[1:], strict=False):
                unseen = earlier.crawls and not earlier.status  # when it ended is not to be seen here
                if later.t < earlier.end - FLIGHT_MS and not unseen:
                    v.breach(f"{mid}: {relay} had two attempts out, at {earlier.endpoint} and {later.endpoint}")
            # A refused message comes again as a new one, with its own attempts.
            rounds = sum(1 for mark, hand in self.hands.items() if hand["mid"] == mid)
            if len(tries) > self.run.facts["attempts"] * max(1, rounds):
                v.breach(f"{mid}: {relay} made {len(tries)} attempts")

    def _drains(self, v: Verdict) -> None:
        told: dict[tuple[str, int], list[tuple[float, bool]]] = defaultdict(list)
        known: dict[str, set[int]] = defaultdict(set)
        for row in self.run.register:
            if row["ev"] != "told":
                continue
            relay, states = self._life(row), {int(ident): state for ident, state in row["states"].items()}
            if row["whole"]:
                states |= {ident: "gone" for ident in known[relay] - states.keys()}
            known[relay] |= states.keys()
            for ident, state in states.items():
                told[relay, ident].append((row["t"], state == "ready"))
        grace = self.safety["drain_grace_ms"] + FLIGHT_MS
        for (mid, relay), tries in self.tries.items():
            for attempt in tries:
                v.looked_at += 1
                heard = told.get((relay, attempt.endpoint), [])
                at = bisect.bisect_right([t for t, _ in heard], attempt.t - grace) - 1
                if at >= 0 and not heard[at][1] and not any(ready for t, ready in heard[at + 1 :] if t <= attempt.t):
                    late = attempt.t - heard[at][0]
                    v.breach(f"{mid}: {relay} sent to {attempt.endpoint} {late:.0f} ms after it was told to stop")

    def _returns(self, v: Verdict) -> None:
        calls: dict[str, list[Try]] = defaultdict(list)
        for tries in self.tries.values():
            for attempt in tries:
                calls[attempt.partner].append(attempt)
        began: dict[str, float] = {}
        for row in self.run.partners:
            if row["ev"] != "outage":
                continue
            partner = row["partner"]
            if row["on"]:
                began[partner] = row["t"]
                continue
            v.looked_at += 1
            self._return(
                v,
                partner,
                sorted(calls[partner], key=lambda a: a.t),
                began.get(partner, float(row["t"])),
                float(row["t"]),
                row["kind"],
            )

    def _return(self, v: Verdict, partner: str, calls: list[Try], start: float, back: float, kind: str) -> None:
        rate, s = float(self.run.facts["partners"].get(partner, {}).get("rate", 0.0)), self.safety
        if not rate:
            return
        knew = {call.relay for call in calls if start <= call.t < back}
        # A closed port leaves no trace at the partner: every relay is taken to have met it.
        knew |= {call.relay for call in calls} if kind == "crash" else set()
        cold = [call for call in calls if back < call.t <= back + s["cold_ms"]]
        for n, last in enumerate(cold):
            window = [call for call in cold[: n + 1] if call.t > last.t - s["fall_ms"]]
            most = QUEUE + cold_calls(
                rate, last.t - back, s["cold_share"], s["cold_ms"], s["fall_multiple"], s["fall_ms"]
            )
            if len(window) > most and sum(call.relay in knew for call in window) >= len(window) * 2 / 3:
                v.breach(
                    f"{partner}: {len(window)} calls in {s['fall_ms']:.0f} ms, {last.t - back:.0f} ms after its "
                    f"return; {most:.1f} were allowed"
                )
                return

    def _order(self, v: Verdict) -> None:
        lines: dict[tuple[str, str, str], list[Row]] = defaultdict(list)
        for hand in self.hands.values():
            if self.classes[hand["cls"]].get("in_order") and not hand["again"]:
                lines[self.run.life(hand["relay"], hand["t"]), hand["sender"], hand["receiver"]].append(hand)
        for (relay, _, _), hands in lines.items():
            hands.sort(key=lambda hand: float(hand["t"]))
            for earlier, later in zip(hands, hands[1:], strict=False):
                v.looked_at += 1
                ends = [row["t"] for row in self.finals.get(earlier["hand"], [])]
                tries = [a for a in self.tries.get((later["mid"], relay), []) if a.t >= later["t"]]
                if ends and tries and earlier["t"] + FLIGHT_MS < later["t"] and tries[0].t < ends[0] - FLIGHT_MS:
                    v.breach(f"{later['mid']}: {relay} sent it while {earlier['mid']} was open")

    def _waits(self, v: Verdict) -> None:
        told: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        apart = {name for name, facts in self.run.facts["partners"].items() if facts.get("routes_apart")}

        def route(partner: str, endpoint: int) -> str:
            return f"{partner}/{endpoint}" if partner in apart else partner

        for row in self.run.partners:
            if row["ev"] == "answer" and row.get("told_ms"):
                told[self._life(row), route(row["partner"], row["endpoint"])].append((row["t"], row["told_ms"]))
        for (mid, relay), tries in self.tries.items():
            for attempt in tries:
                waits = told.get((relay, route(attempt.partner, attempt.endpoint)), [])
                v.looked_at += 1
                for at, length in waits:
                    if at + FLIGHT_MS < attempt.t < at + length:
                        v.breach(
                            f"{mid}: {relay} called {attempt.partner} {at + length - attempt.t:.0f} ms before "
                            f"the end of a told wait of {length:.0f} ms"
                        )
                        break


def figures(run: Run, judge: Judge) -> dict[str, Any]:
    """What was delivered: worth over worth asked for, by class, and the calls that it took."""
    asked: dict[str, float] = defaultdict(float)
    won: dict[str, float] = defaultdict(float)
    kinds: dict[str, int] = defaultdict(int)
    first: dict[str, Row] = {}
    for hand in sorted(judge.hands.values(), key=lambda row: float(row["t"])):
        first.setdefault(hand["mid"], hand)
    best: dict[str, Row] = {}
    for mark, rows in judge.finals.items():
        mine = judge.hands.get(mark)
        if mine and rows[0]["ev"] == "final" and rows[0]["kind"] == "delivered":
            kept = best.get(mine["mid"])
            best[mine["mid"]] = rows[0] if kept is None or rows[0]["t"] < kept["t"] else kept
    last: dict[str, str] = {}
    for mark, rows in judge.finals.items():
        if mark in judge.hands:
            last[judge.hands[mark]["mid"]] = rows[-1].get("kind") or "connection lost"
    for mid, hand in first.items():
        message_class = run.facts["classes"][hand["cls"]]
        asked[hand["cls"]] += message_class["worth"]
        if mid in best:
            late = best[mid]["t"] - hand["t"] - message_class["aim_ms"]
            part = 1.0 if late <= 0 else max(message_class["late_share"], 0.5 ** (late / message_class["aim_ms"]))
            won[hand["cls"]] += message_class["worth"] * part
        kinds["delivered" if mid in best else last.get(mid, "unanswered")] += 1
    effects: dict[str, int] = defaultdict(int)
    for (mid, _), rows in judge.effects.items():
        if run.facts["classes"].get(judge.cls.get(mid, ""), {}).get("effect") == "unsafe":
            effects[mid] += len(rows)
    attempts = [attempt for tries in judge.tries.values() for attempt in tries]
    return {
        "messages": len(first),
        "by_answer": dict(sorted(kinds.items())),
        "attempts": len(attempts),
        "refused_attempts": sum(a.ran_not for a in attempts),
        "unsafe_effects_twice": sum(count > 1 for count in effects.values()),
        "worth": {name: round(won[name] / asked[name], 3) for name in sorted(asked)},
        "worth_all": round(sum(won.values()) / (sum(asked.values()) or 1), 3),
    }


def check(folder: Path) -> tuple[list[Verdict], dict[str, Any]]:
    """Judges the run in a folder; raises `RecordError` where it can't be read."""
    run = Run.load(folder)
    try:
        judge = Judge(run)
        return judge.judge(), figures(run, judge)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"{folder}: a row of the record lacks or garbles {error}") from error
