"""docs/CAPACITY.md: named files and commands exist, figures have a source, mechanisms name their file or a gap."""

from __future__ import annotations

import importlib
import importlib.util
import itertools
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
FAILURES = "When something fails"
MISSING = "What is missing, in order"
BEFORE_AND_AFTER = "Before and after"
SCENARIOS_BEFORE_AND_AFTER = "Scenes before and after"
# Columns whose figures are set by the users or are part of a name, so that they need no source.
COLUMNS_WITHOUT_SOURCE = ("what", "users' bound", "bound", "what fails, how often", "at 120,000 destinations", "scene")
FAILURE_KINDS = (
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
FILE_PATH = re.compile(r"(?:linnetstile|benchmarks|tests|docs|deploy|days|journal)/[\w./-]+\.\w+\Z")
SOURCE_KEY = re.compile(r"\[([A-Z]\d*|s\d+)\](?!\()")
GAP = re.compile(r"\*\*missing\*\*(?: (\d+))?")
RATIO = re.compile(r"(before )?([\d,]+(?:\.\d+)?)")


@dataclass(frozen=True)
class Table:
    """A table of the page, with its section."""

    section: str
    header: list[str]
    rows: list[list[str]]


def cells_of_line(line: str) -> list[str]:
    return [cell.strip() for cell in line.strip().removeprefix("|").removesuffix("|").split("|")]


def parse_tables(text: str) -> list[Table]:
    tables: list[Table] = []
    section, is_in_table = "", False
    for line in text.splitlines():
        if line.startswith("## "):
            section = line[3:].strip()
        if not line.startswith("|"):
            is_in_table = False
        elif not is_in_table:
            tables.append(Table(section, cells_of_line(line), []))
            is_in_table = True
        elif not set(line) <= set("|-"):
            tables[-1].rows.append(cells_of_line(line))
    return tables


TABLES = parse_tables(PAGE)


def table_of(section: str) -> Table:
    """Return the only table of a section."""
    (table,) = [table for table in TABLES if table.section == section]
    return table


def rows_of(section: str) -> list[dict[str, str]]:
    """Return the rows of a section's table, each as a mapping from column to cell."""
    table = table_of(section)
    return [dict(zip(table.header, row, strict=True)) for row in table.rows]


def file_paths(text: str) -> list[str]:
    return [code for code in CODE.findall(text) if FILE_PATH.match(code)]


def gap_numbers(text: str) -> list[str]:
    """Return the number after each marker `missing`, or an empty string for a marker without a number."""
    return GAP.findall(text)


def current_ratio(cell: str) -> float | None:
    """Return the number at the start of a cell, unless it is marked as from before a change."""
    match = RATIO.match(cell)
    return float(match[2].replace(",", "")) if match and not match[1] else None


MECHANISMS = [(section, row["what"], row["mechanism"]) for section in ROLES for row in rows_of(section)]
MECHANISMS += [(FAILURES, row["what fails, how often"], row["what carries it"]) for row in rows_of(FAILURES)]


def test_each_role_has_its_table() -> None:
    for section in ROLES:
        assert table_of(section).header == COLUMNS
        assert table_of(section).rows


def test_rows_are_complete() -> None:
    for table in TABLES:
        for row in table.rows:
            assert len(row) == len(table.header), (table.section, row)
            assert all(row), (table.section, row)


def test_each_kind_of_failure_has_a_row() -> None:
    failures = [row["what fails, how often"] for row in rows_of(FAILURES)]
    assert [kind for kind in FAILURE_KINDS if not any(failure.startswith(kind) for failure in failures)] == []


def test_named_files_exist() -> None:
    named = {code for code in CODE.findall(PAGE) if "/" in code and " " not in code}
    assert named
    assert [code for code in named if not FILE_PATH.match(code)] == []
    assert [name for name in sorted(named) if not (ROOT / name).is_file()] == []


def test_linked_pages_exist() -> None:
    linked = re.findall(r"\]\(([^)#]+)", PAGE)
    assert [name for name in linked if not (ROOT / "docs" / name).is_file()] == []


def test_linked_sections_exist() -> None:
    anchors = {
        re.sub(r"[^\w -]", "", line[3:].lower()).replace(" ", "-")
        for line in PAGE.splitlines()
        if line.startswith("## ")
    }
    assert set(re.findall(r"\]\(#([^)]+)\)", PAGE)) <= anchors


@pytest.mark.parametrize(("section", "subject", "mechanism"), MECHANISMS)
def test_mechanism_names_its_file_or_its_gap(section: str, subject: str, mechanism: str) -> None:
    assert any(name.startswith("linnetstile/") for name in file_paths(mechanism)) or gap_numbers(mechanism)
    assert all(gap_numbers(mechanism)), "expected the number of a gap after each `missing`, found one without"


def test_mechanism_above_its_bound_names_a_gap() -> None:
    for section in ROLES:
        for row in rows_of(section):
            ratio = current_ratio(row["need / bound"])
            assert ratio is None or ratio <= 1 or gap_numbers(row["mechanism"]), (section, row["what"])


def test_gaps_are_numbered_in_order_and_each_is_named_by_a_mechanism() -> None:
    gaps = rows_of(MISSING)
    assert [gap["no."] for gap in gaps] == [str(number) for number in range(1, len(gaps) + 1)]
    assert {number for _, _, mechanism in MECHANISMS for number in gap_numbers(mechanism)} == {
        gap["no."] for gap in gaps
    }


def test_gaps_are_sorted_by_outright_failure_and_then_by_falling_ratio() -> None:
    gaps = rows_of(MISSING)
    assert {gap["fails outright"] for gap in gaps} <= {"yes", "no"}
    fails_outright = [gap["fails outright"] == "yes" for gap in gaps]
    assert fails_outright == sorted(fails_outright, reverse=True)
    for answer in ("yes", "no"):
        ratios = [current_ratio(gap["need / bound"]) or 0.0 for gap in gaps if gap["fails outright"] == answer]
        assert ratios == sorted(ratios, reverse=True)


def ratios_of_gap(number: str) -> set[float | None]:
    """Return the ratios of all rows whose mechanism names a gap."""
    return {
        current_ratio(row["need / bound"])
        for section in ROLES
        for row in rows_of(section)
        if number in gap_numbers(row["mechanism"])
    }


@pytest.mark.parametrize("gap", rows_of(MISSING), ids=lambda gap: gap["no."])
def test_gap_has_the_ratio_of_one_of_its_mechanisms_and_a_sketch(gap: dict[str, str]) -> None:
    ratio = current_ratio(gap["need / bound"])
    if ratio is not None:
        assert ratio in ratios_of_gap(gap["no."])
    else:
        assert gap["need / bound"] == "-"
    sketch = re.search(rf"^\*\*{gap['no.']} [^*]+\*\* \(([^)]+)\)\.(.*?)\n\n", PAGE, re.M | re.S)
    assert sketch
    assert sketch[1] == gap["need / bound"]
    assert len(sketch[2].split()) >= 20


def test_each_figure_has_a_source() -> None:
    """A cell with a figure has the key of a run or a sum, or names the file with the figure."""
    for section in (*ROLES, FAILURES, BEFORE_AND_AFTER, SCENARIOS_BEFORE_AND_AFTER):
        for row in rows_of(section):
            for column, cell in row.items():
                if column in COLUMNS_WITHOUT_SOURCE:
                    continue
                plain_text = GAP.sub("", SOURCE_KEY.sub("", CODE.sub("", cell)))
                if re.search(r"\d", plain_text):
                    assert SOURCE_KEY.search(cell) or file_paths(cell), (section, column, cell)


def test_source_keys_are_listed_once_and_used() -> None:
    listed = [row["key"] for section in ("Runs", "Sums") for row in rows_of(section)]
    assert len(listed) == len(set(listed))
    assert set(SOURCE_KEY.findall(PAGE)) == set(listed)


# -- commands and results ------------------------------------------------------------------------------------


def assert_slopes_arguments_exist(words: list[str]) -> None:
    """Check that the arguments of `python -m benchmarks.slopes` name an axis, and a series of it if any."""
    slopes = importlib.import_module("benchmarks.slopes.__main__")
    assert words[0] in slopes.AXES
    if "--series" in words:
        assert words[words.index("--series") + 1] in slopes.series_of(words[0])


def assert_module_exists(words: list[str]) -> None:
    """Check that the module of a `python -m` command exists, and its arguments if they are for the slopes."""
    assert importlib.util.find_spec(words[2]), words
    if words[2] == "benchmarks.slopes":
        assert_slopes_arguments_exist(words[3:])


def assert_import_exists(words: list[str]) -> None:
    """Check that the name imported by a `python -c` command exists."""
    module, name = re.findall(r"from ([\w.]+) import (\w+)", words[2])[0]
    assert hasattr(importlib.import_module(module), name), words


def assert_sub_command_exists(words: list[str]) -> None:
    """Check that the sub-command and the options of a `linnetstile` command exist."""
    assert words[0] == "linnetstile", words
    sub_command = main.get_command(click.Context(main), words[1])
    assert sub_command, words
    known_options = {option for parameter in sub_command.params for option in parameter.opts}
    assert {word for word in words if word.startswith("--")} <= known_options, words


COMMANDS = [code for code in CODE.findall(PAGE) if code.startswith(("python ", "linnetstile "))]


def test_page_names_commands() -> None:
    assert COMMANDS


@pytest.mark.parametrize("command", COMMANDS)
def test_command_exists(command: str) -> None:
    words = shlex.split(command)
    if words[:2] == ["python", "-m"]:
        assert_module_exists(words)
    elif words[:2] == ["python", "-c"]:
        assert_import_exists(words)
    else:
        assert_sub_command_exists(words)


def options_of(words: list[str]) -> dict[str, str]:
    """Return the values of a command's options, by the option's name in a result file."""
    return {
        word[2:].replace("-", "_"): value for word, value in itertools.pairwise([*words, ""]) if word.startswith("--")
    }


@pytest.mark.parametrize("run", rows_of("Runs"), ids=lambda run: run["key"])
def test_result_file_exists_and_matches_its_command(run: dict[str, str]) -> None:
    assert run["file"] == "-" or file_paths(run["file"]) == [run["file"].strip("`")]
    words = CODE.findall(run["command"])[0].split() if file_paths(run["file"]) else []
    for path in file_paths(run["file"]):
        result = json.loads((ROOT / path).read_text(encoding="utf-8"))
        if words[2:3] == ["benchmarks.slopes"]:
            assert result["axis"] == words[3]
        else:
            for option, value in options_of(words).items():
                size = result["sizes"][option]
                assert (",".join(size) if isinstance(size, list) else str(size)) == value, (path, option)


def test_named_results_are_those_of_the_runs() -> None:
    named = {path for path in file_paths(PAGE) if path.endswith(".json")}
    assert named == {path for run in rows_of("Runs") for path in file_paths(run["file"])}
