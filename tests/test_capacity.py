"""docs/CAPACITY.md: what it names exists; each figure has its run or sum; each mechanism has its file or is missing."""

from __future__ import annotations

import importlib
import importlib.util
import json
import re
import shlex
from dataclasses import dataclass
from pathlib import Path

import click
import pytest

from linnetstile.cli.main import main

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
ROLES = (
    "Relay (carrying)",
    "Relay (control)",
    "Control machine",
    "Discovery's agent",
    "The folder that lasts",
    "Endpoint: what it gets from the fleet",
)
COLUMNS = [
    "what",
    "state",
    "messages a second",
    "processor time",
    "memory at the target",
    "slope, benchmark",
    "users' bound",
    "need / bound",
    "mechanism",
]
FAILURES, MISSING = "When something fails", "What is missing, in order"
CHANGED, SCENES = "Before and after", "Scenes before and after"
OWN = ("what", "users' bound", "bound", "what fails, how often", "at 120,000 destinations", "scene")
KINDS = (
    "a machine",
    "a relay restarted",
    "a relay replaced",
    "a rack or switch",
    "a zone",
    "regions part",
    "destinations down",
    "discovery silent",
    "a change that is wrong",
    "disk full",
    "disk lost",
)

CODE = re.compile(r"`([^`]+)`")
FILE = re.compile(r"(?:linnetstile|benchmarks|tests|docs|deploy|days|journal)/[\w./-]+\.\w+\Z")
KEY = re.compile(r"\[([A-Z]\d*|s\d+)\](?!\()")
GAP = re.compile(r"\*\*missing\*\*(?: (\d+))?")
RATIO = re.compile(r"(before )?([\d,]+(?:\.\d+)?)")


@dataclass(frozen=True)
class Table:
    section: str
    header: list[str]
    rows: list[list[str]]


def cells(line: str) -> list[str]:
    return [cell.strip() for cell in line.strip().removeprefix("|").removesuffix("|").split("|")]


def tables(text: str) -> list[Table]:
    found: list[Table] = []
    section, open_ = "", False
    for line in text.splitlines():
        if line.startswith("## "):
            section = line[3:].strip()
        if not line.startswith("|"):
            open_ = False
        elif not open_:
            found.append(Table(section, cells(line), []))
            open_ = True
        elif not set(line) <= set("|-"):
            found[-1].rows.append(cells(line))
    return found


TABLES = tables(PAGE)


def table(section: str) -> Table:
    (found,) = [each for each in TABLES if each.section == section]
    return found


def rows(section: str) -> list[dict[str, str]]:
    found = table(section)
    return [dict(zip(found.header, row, strict=True)) for row in found.rows]


def files(text: str) -> list[str]:
    return [code for code in CODE.findall(text) if FILE.match(code)]


def gaps(text: str) -> list[str]:
    """The numbers behind each word `missing`; empty = it has none."""
    return GAP.findall(text)


def ratio(cell: str) -> float | None:
    """The first number of a cell, if it is one of the program as it stands."""
    found = RATIO.match(cell)
    return float(found[2].replace(",", "")) if found and not found[1] else None


MECHANISMS = [(section, row["what"], row["mechanism"]) for section in ROLES for row in rows(section)]
MECHANISMS += [(FAILURES, row["what fails, how often"], row["what carries it"]) for row in rows(FAILURES)]


def test_each_role_has_its_table() -> None:
    for section in ROLES:
        assert table(section).header == COLUMNS
        assert table(section).rows


def test_rows_are_complete() -> None:
    for each in TABLES:
        for row in each.rows:
            assert len(row) == len(each.header), (each.section, row)
            assert all(row), (each.section, row)


def test_each_kind_of_failure_has_a_row() -> None:
    found = [row["what fails, how often"] for row in rows(FAILURES)]
    assert [kind for kind in KINDS if not any(row.startswith(kind) for row in found)] == []


def test_files_exist() -> None:
    named = {code for code in CODE.findall(PAGE) if "/" in code and " " not in code}
    assert named
    assert [code for code in named if not FILE.match(code)] == []
    assert [name for name in sorted(named) if not (ROOT / name).is_file()] == []
    linked = re.findall(r"\]\(([^)#]+)", PAGE)
    assert [name for name in linked if not (ROOT / "docs" / name).is_file()] == []


def test_sections_that_are_linked_exist() -> None:
    there = {
        re.sub(r"[^\w -]", "", line[3:].lower()).replace(" ", "-")
        for line in PAGE.splitlines()
        if line.startswith("## ")
    }
    assert set(re.findall(r"\]\(#([^)]+)\)", PAGE)) <= there


@pytest.mark.parametrize(("section", "what", "mechanism"), MECHANISMS)
def test_a_mechanism_is_a_file_or_missing(section: str, what: str, mechanism: str) -> None:
    assert any(name.startswith("linnetstile/") for name in files(mechanism)) or gaps(mechanism)
    assert all(gaps(mechanism)), "missing without its number in the list"


def test_what_does_not_hold_is_missing() -> None:
    for section in ROLES:
        for row in rows(section):
            found = ratio(row["need / bound"])
            assert found is None or found <= 1 or gaps(row["mechanism"]), (section, row["what"])


def test_what_is_missing_is_listed_in_order() -> None:
    listed = rows(MISSING)
    assert [row["no."] for row in listed] == [str(number) for number in range(1, len(listed) + 1)]
    assert {number for _, _, mechanism in MECHANISMS for number in gaps(mechanism)} == {row["no."] for row in listed}
    assert {row["fails outright"] for row in listed} <= {"yes", "no"}
    outright = [row["fails outright"] == "yes" for row in listed]
    assert outright == sorted(outright, reverse=True)
    for group in (True, False):
        order = [-(ratio(row["need / bound"]) or 0.0) for row in listed if (row["fails outright"] == "yes") is group]
        assert order == sorted(order)


def test_the_list_has_the_ratios_of_the_tables() -> None:
    for row in rows(MISSING):
        cells_of_gap = {
            each["need / bound"] for section in ROLES for each in rows(section) if row["no."] in gaps(each["mechanism"])
        }
        own = ratio(row["need / bound"])
        is_ratio_of_gap = own in {ratio(cell) for cell in cells_of_gap}
        assert is_ratio_of_gap if own is not None else row["need / bound"] in {"-"}, row["what"]
        sketch = re.search(rf"^\*\*{row['no.']} [^*]+\*\* \(([^)]+)\)\.(.*?)\n\n", PAGE, re.M | re.S)
        assert sketch, row["what"]
        assert sketch[1] == row["need / bound"], row["what"]
        assert len(sketch[2].split()) >= 20, row["what"]


def test_each_figure_has_its_run_or_sum() -> None:
    """A cell with a figure names a key, or the file that the figure is written in. The users' own figures have none."""
    for section in (*ROLES, FAILURES, CHANGED, SCENES):
        for row in rows(section):
            for name, cell in row.items():
                if name in OWN:
                    continue
                plain = GAP.sub("", KEY.sub("", CODE.sub("", cell)))
                if re.search(r"\d", plain):
                    assert KEY.search(cell) or files(cell), (section, name, cell)


def test_keys_are_listed_once_and_used() -> None:
    listed = [row["key"] for section in ("Runs", "Sums") for row in rows(section)]
    assert len(listed) == len(set(listed))
    assert set(KEY.findall(PAGE)) == set(listed)


def benchmark(words: list[str]) -> None:
    """A command of `python -m benchmarks.slopes` names an axis, and a series of it."""
    slopes = importlib.import_module("benchmarks.slopes.__main__")
    assert words[0] in slopes.AXES
    if "--series" in words:
        assert words[words.index("--series") + 1] in slopes.series_of(words[0])


def command(text: str) -> None:
    words = shlex.split(text)
    if words[:2] == ["python", "-m"]:
        assert importlib.util.find_spec(words[2]), text
        if words[2] == "benchmarks.slopes":
            benchmark(words[3:])
    elif words[:2] == ["python", "-c"]:
        module, name = re.findall(r"from ([\w.]+) import (\w+)", words[2])[0]
        assert hasattr(importlib.import_module(module), name), text
    else:
        assert words[0] == "linnetstile", text
        made = main.get_command(click.Context(main), words[1])
        assert made, text
        options = {option for param in made.params for option in param.opts}
        assert {word for word in words if word.startswith("--")} <= options, text


def test_commands_exist() -> None:
    found = [code for code in CODE.findall(PAGE) if code.startswith(("python ", "linnetstile "))]
    assert found
    for each in found:
        command(each)


def test_results_are_there_and_are_of_their_commands() -> None:
    for row in rows("Runs"):
        assert row["file"] == "-" or files(row["file"]) == [row["file"].strip("`")], row
        for name in files(row["file"]):
            result = json.loads((ROOT / name).read_text(encoding="utf-8"))
            words = CODE.findall(row["command"])[0].split()
            if words[2:3] == ["benchmarks.slopes"]:
                assert result["axis"] == words[3]
            else:
                options = {
                    words[at][2:].replace("-", "_"): words[at + 1]
                    for at in range(len(words))
                    if words[at].startswith("--")
                }
                for option, value in options.items():
                    size = result["sizes"][option]
                    assert (",".join(size) if isinstance(size, list) else str(size)) == value, (name, option)
    cited = {name for name in files(PAGE) if name.endswith(".json")}
    assert cited == {name for row in rows("Runs") for name in files(row["file"])}
