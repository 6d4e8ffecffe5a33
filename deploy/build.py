"""Builds what the programs of the deploy file need: libraries in ``target/deps``, and compiled files.

Libraries that are there already are kept only if they were installed whole, for this Python and this kind of
machine: a folder that was carried over from another machine, or whose installation broke off, is replaced. At
the end it says what a start on this machine would meet, as ``python3 -m latchspoke.doctor`` does.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from latchspoke.doctor import installation  # noqa: E402
from latchspoke.doctor.findings import Level  # noqa: E402
from latchspoke.doctor.machine import check_machine  # noqa: E402


def install(root: Path, libraries: Path) -> None:
    """Install the libraries beside the place, and put them there once they are whole."""
    new = libraries.with_name(f"{libraries.name}.new")
    shutil.rmtree(new, ignore_errors=True)
    subprocess.run(
        [
            sys.executable, "-m", "pip", "install", "-q", "--target", str(new),
            "-r", str(root / installation.REQUIREMENTS),
        ],
        check=True,
    )  # fmt: skip
    (new / installation.STAMP).write_text(json.dumps(installation.expected_stamp(root)))
    shutil.rmtree(libraries, ignore_errors=True)
    new.rename(libraries)


def build(root: Path) -> str:
    """Build; returns why the result can't be used, or ''."""
    libraries = root / installation.LIBRARIES
    libraries.parent.mkdir(exist_ok=True)
    not_compiled = installation.compile_all(root)  # first, as a compiled file that was cut short is a fault
    fault = installation.find_fault(root, libraries)
    if fault:
        print(f"installs libraries: {fault}")
        install(root, libraries)
        not_compiled = installation.compile_all(root)
        fault = installation.find_fault(root, libraries)
    if not_compiled:
        print(f"starts will be slow: {not_compiled}", file=sys.stderr)
    return fault


def report(root: Path) -> None:
    """Print what a start on this machine would meet, if anything."""
    for finding in [*installation.check_installation(root), *check_machine(None, None)]:
        if finding.level is not Level.GOOD:
            print(finding, file=sys.stderr)


def main() -> int:
    """Exit codes: 0 built, 1 not."""
    try:
        fault = build(ROOT)
    except (OSError, subprocess.CalledProcessError) as error:
        fault = str(error)
    if fault:
        print(f"can't build: {fault}", file=sys.stderr)
        return 1
    report(ROOT)
    return 0


if __name__ == "__main__":
    sys.exit(main())
