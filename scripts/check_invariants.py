#!/usr/bin/env python3
"""Checks that docs/INVARIANTS.md has 17 rows and that the tests it names exist and are not
ignored.

Tests are named `package::test_name`, where the package is a folder in crates/. A row without
a test has to say that it is not proven. A self-test on tables with known faults runs first.
"""

import pathlib
import re
import sys

ROWS = 17
TEST_CELL = 5
TEST = re.compile(r"`([a-z]+)::([a-z0-9_]+)`")


def rows_of(text):
    return [line for line in text.splitlines() if re.match(r"\| \d+ \|", line)]


def is_live(package, test, sources):
    pattern = re.compile(r"((?:#\[[^\n]*\n\s*|//[^\n]*\n\s*)*)(?:async )?fn " + test + r"\b")
    found = False
    for source in sources(package):
        match = pattern.search(source)
        if match:
            found = True
            if "#[ignore" in match.group(1):
                return False
    return found


def faults_in(text, sources):
    rows = rows_of(text)
    faults = []
    numbers = [int(row.split("|")[1]) for row in rows]
    if numbers != list(range(1, ROWS + 1)):
        faults.append(f"rows are {numbers}, not 1 to {ROWS}")
    for row in rows:
        cells = row.split("|")
        number, tests = cells[1].strip(), cells[TEST_CELL]
        for package, test in TEST.findall(tests):
            if not is_live(package, test, sources):
                faults.append(f"row {number}: {package}::{test} does not exist or is ignored")
        if not TEST.search(tests) and "not proven" not in row.lower():
            faults.append(f"row {number}: names no test and does not say that it is not proven")
    return faults


def read_sources(package):
    for path in pathlib.Path("crates", package).rglob("*.rs"):
        yield path.read_text()


def self_test():
    table = "\n".join(f"| {n} | x | x | x | `p::good` | |" for n in range(1, ROWS + 1))
    good = lambda package: ["#[test]\nfn good() {}"]
    ignored = lambda package: ["#[test]\n#[ignore]\nfn good() {}"]
    assert not faults_in(table, good)
    assert len(faults_in(table, ignored)) == ROWS
    assert faults_in(table.replace("| 3 |", "| 30 |"), good)


def main():
    self_test()
    faults = faults_in(pathlib.Path("docs/INVARIANTS.md").read_text(), read_sources)
    print("\n".join(faults) or "invariants: every test named exists and runs")
    return 1 if faults else 0


sys.exit(main())
