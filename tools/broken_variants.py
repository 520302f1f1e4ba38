"""Check that the test of each mechanism fails on a variant of the code without it.

Usage:
  broken_variants [NAME ...]
  broken_variants --list

Each variant is a copy of the sources with one replacement. A test that still passes on
its variant does not test the mechanism, and is reported as MISSED.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING

from docopt import docopt

from tools.mechanisms import VARIANTS
from tools.variants import Replacement, copy_project, replace_in

if TYPE_CHECKING:
    from tools.mechanisms import Variant

TEST_TIMEOUT = 240
"""Seconds after which the test of a variant is ended."""


class Verdict(StrEnum):
    """How the test of a variant ended."""

    FAILED = "failed as it must"
    ENDLESS = "did not end"
    MISSED = "MISSED"


def run_variant(variant: Variant) -> Verdict:
    """Run the test of a variant and return how it ended."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        copy_project(copy, ("src", "tests", "tools", "pyproject.toml"))
        replace_in(copy, Replacement(variant.file, variant.old, variant.new))
        command = [sys.executable, "-m", "pytest", "-x", "-q", variant.test]
        path = os.pathsep.join([str(copy / "src"), str(copy)])
        env = {**os.environ, "PYTHONPATH": path}
        process = subprocess.Popen(
            command,
            cwd=copy,
            env=env,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            return Verdict.FAILED if process.wait(TEST_TIMEOUT) == 1 else Verdict.MISSED
        except subprocess.TimeoutExpired:
            process.terminate()
            process.wait()
            return Verdict.ENDLESS


def main() -> None:
    """Entry point of `make broken-variants`."""
    args = docopt(__doc__)
    missed = 0
    for variant in VARIANTS:
        if args["--list"]:
            print(f"{variant.name}: {variant.test}")
            continue
        if args["NAME"] and variant.name not in args["NAME"]:
            continue
        verdict = run_variant(variant)
        missed += verdict is Verdict.MISSED
        print(f"{variant.name}: {variant.test}: {verdict}", flush=True)
    raise SystemExit(1 if missed else 0)


if __name__ == "__main__":
    main()
