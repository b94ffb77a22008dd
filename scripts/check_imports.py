#!/usr/bin/env python3
"""Checks that Rust files import one path per line, in three groups: std, registry, workspace.

Prints each fault with its file and line, and exits with status 1 if there is any. A
self-test on sources with known faults runs first; with `--self-test`, nothing else runs.
"""

import pathlib
import re
import subprocess
import sys

WORKSPACE = ("crate::", "super::", "self::", "bergamotlane_")
USE = re.compile(r"^(?:pub(?:\([a-z ]+\))? )?use ([^;]+);$")


def group_of(path):
    if path.startswith(("std::", "core::", "alloc::")):
        return 0
    return 2 if path.startswith(WORKSPACE) else 1


def faults_in(name, text):
    faults = []
    last_group = 0
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith(("use ", "pub use ")) or re.match(r"^pub\([a-z ]+\) use ", line):
            match = USE.match(line)
            if not match or "{" in line:
                faults.append(f"{name}:{number}: import one path a line")
                continue
            # Re-exports are not bound to the order of the groups.
            if line.startswith("pub"):
                continue
            group = group_of(match.group(1))
            if group < last_group:
                faults.append(f"{name}:{number}: groups go std, registry, workspace")
            last_group = group
        elif line.strip() and not line.startswith(("//", "#", "mod ", "pub mod ", "pub use")):
            break
    return faults


def self_test():
    bad = "use std::a::{b, c};\nuse bytes::Bytes;\nuse std::fmt;\n"
    good = "use std::fmt;\n\nuse bytes::Bytes;\n\nuse crate::a;\n"
    assert len(faults_in("bad", bad)) == 2, faults_in("bad", bad)
    assert not faults_in("good", good)


def main():
    self_test()
    if "--self-test" in sys.argv:
        return 0
    files = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.rs"],
        check=True, capture_output=True, text=True,
    ).stdout.split()
    faults = []
    for name in files:
        if pathlib.Path(name).exists():
            faults += faults_in(name, pathlib.Path(name).read_text())
    print("\n".join(faults) or f"imports: {len(files)} files are in order")
    return 1 if faults else 0


sys.exit(main())
