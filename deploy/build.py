"""Builds what the programs of the deploy file need: libraries in ``target/deps``, and compiled sources.

Libraries that are there already are kept only if they were installed whole, for this Python and this kind of
machine: a folder that was carried over from another machine, or whose installation broke off, is replaced.
"""

from __future__ import annotations

import base64
import compileall
import csv
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
from importlib.metadata import Distribution, distributions
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
REQUIREMENTS = "requirements-system.txt"
SOURCES = ("barleyhub", "latchspoke")
STAMP = "installed.json"  # in the folder of the libraries, written last
PROGRAM_MODULES = ("latchspoke.dataplane.node", "latchspoke.controlplane.node", "latchspoke.ctl.app")


def expected_stamp(root: Path) -> dict[str, str]:
    """What the libraries must have been installed for."""
    return {
        "python": f"{platform.python_implementation()} {platform.python_version()}",
        "machine": f"{platform.system()} {platform.machine()} {'-'.join(platform.libc_ver())}",
        "requirements": hashlib.sha256((root / REQUIREMENTS).read_bytes()).hexdigest(),
    }


def find_fault(root: Path, libraries: Path) -> str:
    """Why the libraries can't be used, or '' if they can."""
    try:
        stamp = json.loads((libraries / STAMP).read_text())
    except (OSError, ValueError):
        return "they were not installed to the end"
    if stamp != expected_stamp(root):
        return "they were installed for another machine, another Python or other requirements"
    for distribution in distributions(path=[str(libraries)]):
        changed = changed_file(libraries, distribution)
        if changed:
            return f"{changed} is not as it was installed"
    return import_fault(root, libraries)


def changed_file(libraries: Path, distribution: Distribution) -> str:
    """A file of a library that is missing or changed, or ''."""
    for name, digest, _ in csv.reader((distribution.read_text("RECORD") or "").splitlines()):
        if not digest or name.startswith(".."):
            continue
        method, _, expected = digest.partition("=")
        try:
            found = hashlib.new(method, (libraries / name).read_bytes()).digest()
        except OSError:
            return name
        if base64.urlsafe_b64encode(found).rstrip(b"=").decode() != expected:
            return name
    return ""


def import_fault(root: Path, libraries: Path) -> str:
    """The last line of what Python says if the programs can't be imported with these libraries, or ''."""
    done = subprocess.run(
        [sys.executable, "-S", "-c", f"import {', '.join(PROGRAM_MODULES)}"],
        cwd=root, env=os.environ | {"PYTHONPATH": str(libraries)}, capture_output=True, text=True,
    )  # fmt: skip
    return (done.stderr.strip().splitlines() or ["Python ended"])[-1] if done.returncode else ""


def install(root: Path, libraries: Path) -> None:
    """Install the libraries beside the place, and put them there once they are whole."""
    new = libraries.with_name(f"{libraries.name}.new")
    shutil.rmtree(new, ignore_errors=True)
    subprocess.run(
        [sys.executable, "-m", "pip", "install", "-q", "--target", str(new), "-r", str(root / REQUIREMENTS)],
        check=True,
    )
    (new / STAMP).write_text(json.dumps(expected_stamp(root)))
    shutil.rmtree(libraries, ignore_errors=True)
    new.rename(libraries)


def build(root: Path) -> str:
    """Build; returns why the result can't be used, or ''."""
    libraries = root / "target" / "deps"
    libraries.parent.mkdir(exist_ok=True)
    for name in SOURCES:  # all of them: compiled files that were cut short look current
        compileall.compile_dir(root / name, quiet=1, force=True)
    fault = find_fault(root, libraries)
    if fault:
        print(f"installs libraries: {fault}")
        install(root, libraries)
        fault = find_fault(root, libraries)
    return fault


def main() -> int:
    """Exit codes: 0 built, 1 not."""
    try:
        fault = build(ROOT)
    except (OSError, subprocess.CalledProcessError) as error:
        fault = str(error)
    if fault:
        print(f"can't build: {fault}", file=sys.stderr)
    return int(bool(fault))


if __name__ == "__main__":
    sys.exit(main())
