"""What the build leaves: libraries for this Python and machine, and compiled files that count at a start."""

from __future__ import annotations

import base64
import compileall
import csv
import hashlib
import importlib.util
import json
import os
import platform
import shutil
import subprocess
import sys
import time
from importlib.metadata import Distribution, distributions
from pathlib import Path
from py_compile import PycInvalidationMode

from latchspoke.doctor.findings import Finding, failure, good, warning

REQUIREMENTS = "requirements-system.txt"
SOURCES = ("barleyhub", "latchspoke")
LIBRARIES = "target/deps"
COMPILED_ELSEWHERE = "target/pycache"  # compiled files, where the sources' folders can't be written to
STAMP = "installed.json"  # in the folder of the libraries, written last
PROGRAM_MODULES = (
    "latchspoke.dataplane.node", "latchspoke.controlplane.node", "latchspoke.net.event_loop",
    "latchspoke.program",
)  # fmt: skip
MIN_PYTHON = (3, 11)
SLOW_IMPORT_S = 1.0  # of the programs, on this machine; the part of a start that its processor decides
# The header of a compiled file (PEP 552): magic number, flags, then a hash or time and size of the source.
HEADER_BYTES = 16
FLAG_HASH, FLAG_CHECKED = 0b01, 0b10


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


def import_programs(root: Path, libraries: Path, **variables: str) -> subprocess.CompletedProcess[str]:
    """Import the programs in a new interpreter, as a start does."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    return subprocess.run(
        [sys.executable, "-S", "-c", f"import {', '.join(PROGRAM_MODULES)}"],
        cwd=root, env=environment | {"PYTHONPATH": str(libraries)} | variables,
        capture_output=True, text=True,
    )  # fmt: skip


def import_fault(root: Path, libraries: Path) -> str:
    """The last line of what Python says if the programs can't be imported with these libraries, or ''."""
    done = import_programs(root, libraries, PYTHONDONTWRITEBYTECODE="1")
    return (done.stderr.strip().splitlines() or ["Python ended"])[-1] if done.returncode else ""


# Compiled files.


def compile_all(root: Path) -> str:
    """Compile sources and libraries so that only their content decides whether a compiled file counts.

    File times change as a checkout is copied, and a start that may not write would compile all of it each
    time. Where the folders can't be written to, what a start imports is compiled into another one. Returns
    what could not be compiled, or ''.
    """
    elsewhere = root / COMPILED_ELSEWHERE
    shutil.rmtree(elsewhere, ignore_errors=True)
    if writable(root):
        folders = [root / name for name in (*SOURCES, LIBRARIES) if (root / name).is_dir()]
        broken = [folder.name for folder in folders if not compile_folder(folder)]
        return f"files in {', '.join(broken)} can't be compiled" if broken else ""
    try:
        elsewhere.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        return f"neither {root} nor {elsewhere} can be written to: {error}"
    import_programs(root, root / LIBRARIES, PYTHONPYCACHEPREFIX=str(elsewhere))
    return "" if any(elsewhere.rglob("*.pyc")) else f"nothing was written to {elsewhere}"


def writable(root: Path) -> bool:
    """Whether compiled files can be written beside the sources."""
    folders = [root, *(folder for name in SOURCES for folder in (root / name).rglob("*") if folder.is_dir())]
    return all(os.access(folder, os.W_OK) for folder in folders)


def compile_folder(folder: Path) -> bool:
    """Compile a folder; also what looks current, as a file that was cut short does."""
    mode = PycInvalidationMode.CHECKED_HASH
    return bool(compileall.compile_dir(folder, quiet=2, force=True, invalidation_mode=mode))


def counts(source: Path) -> bool:
    """Whether a start uses the compiled file of this source, and does not compile it again."""
    compiled = Path(importlib.util.cache_from_source(str(source)))
    try:
        with compiled.open("rb") as file:
            header = file.read(HEADER_BYTES)
        data, status = source.read_bytes(), source.stat()
    except OSError:
        return False
    if len(header) < HEADER_BYTES or header[:4] != importlib.util.MAGIC_NUMBER:
        return False
    flags = int.from_bytes(header[4:8], "little")
    if flags & FLAG_HASH:
        return not flags & FLAG_CHECKED or header[8:] == importlib.util.source_hash(data)
    time_and_size = int(status.st_mtime) & 0xFFFFFFFF, status.st_size & 0xFFFFFFFF
    return header[8:] == b"".join(value.to_bytes(4, "little") for value in time_and_size)


def stale_sources(root: Path) -> list[Path]:
    """The sources of the programs whose compiled files don't count."""
    return [
        path for name in SOURCES for path in sorted((root / name).rglob("*.py")) if not counts(path)
    ]  # fmt: skip


# Checks.


def check_installation(root: Path) -> list[Finding]:
    """Check Python, the libraries, the compiled files, and how long the programs take to be imported."""
    found = [check_python(), check_libraries(root)]
    if (root / COMPILED_ELSEWHERE).is_dir():
        found.append(good("compiled", f"in {COMPILED_ELSEWHERE}"))
    else:
        found.append(check_compiled(root))
    return [*found, check_import_time(root)]


def check_python() -> Finding:
    """The interpreter's version."""
    text = f"{platform.python_implementation()} {platform.python_version()} on {platform.machine()}"
    return good("python", text) if sys.version_info >= MIN_PYTHON else failure("python", f"{text}: too old")


def check_libraries(root: Path) -> Finding:
    """The libraries that the build installs."""
    try:
        fault = find_fault(root, root / LIBRARIES)
    except OSError as error:
        fault = str(error)
    if not fault:
        return good("libraries", f"in {LIBRARIES}")
    if not import_fault(root, root / LIBRARIES):
        return warning("libraries", f"not those of the build ({fault}), but the programs can be imported")
    return failure("libraries", f"{fault}: run the build line of deploy/system.toml")


def check_compiled(root: Path) -> Finding:
    """The compiled files."""
    stale, total = len(stale_sources(root)), sum(1 for name in SOURCES for _ in (root / name).rglob("*.py"))
    if not stale:
        return good("compiled", f"{total} files")
    return warning("compiled", f"{stale} of {total} files are compiled at each start: run the build line")


def check_import_time(root: Path) -> Finding:
    """How long a new interpreter takes to import the programs."""
    begun = time.monotonic()
    done = import_programs(root, root / LIBRARIES, PYTHONDONTWRITEBYTECODE="1")
    took = time.monotonic() - begun
    if done.returncode:
        return failure("start", (done.stderr.strip().splitlines() or ["Python ended"])[-1])
    text = f"the programs are imported in {took:.2f} s"
    return good("start", text) if took < SLOW_IMPORT_S else warning("start", f"{text}: starts are slow")
