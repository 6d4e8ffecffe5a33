"""The build of the deploy file, and its way to start a program."""

from __future__ import annotations

import base64
import hashlib
import importlib.util
import json
import os
import platform
import shutil
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parents[2]
MODULE_SOURCE = "VALUE = 1\n"


@pytest.fixture
def builder(monkeypatch: pytest.MonkeyPatch) -> ModuleType:
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    monkeypatch.setattr(module, "PROGRAM_MODULES", ("latchspoke.node",))
    monkeypatch.setattr(module, "install", lambda root, libraries: install(module, root, libraries))
    return module


def install(builder: ModuleType, root: Path, libraries: Path) -> None:
    """Stands in for pip: one library with a module."""
    shutil.rmtree(libraries, ignore_errors=True)
    information = libraries / "library-1.dist-info"
    information.mkdir(parents=True)
    (libraries / "library.py").write_text(MODULE_SOURCE)
    digest = base64.urlsafe_b64encode(hashlib.sha256(MODULE_SOURCE.encode()).digest()).rstrip(b"=").decode()
    (information / "METADATA").write_text("Metadata-Version: 2.1\nName: library\nVersion: 1\n")
    (information / "RECORD").write_text(f"library.py,sha256={digest},10\nlibrary-1.dist-info/RECORD,,\n")
    (libraries / builder.STAMP).write_text(json.dumps(builder.expected_stamp(root)))
    (root / "installed").write_text(str(installations(root) + 1))


def installations(root: Path) -> int:
    counter = root / "installed"
    return int(counter.read_text()) if counter.exists() else 0


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """A checkout whose program needs the library."""
    for name in ("barleyhub", "latchspoke"):
        (tmp_path / name).mkdir()
        (tmp_path / name / "__init__.py").write_text("")
    (tmp_path / "latchspoke" / "node.py").write_text("import library\n")
    (tmp_path / "requirements-system.txt").write_text("library==1\n")
    return tmp_path


def remove_stamp(root: Path, builder: ModuleType) -> None:
    (root / "target" / "deps" / builder.STAMP).unlink()


def remove_library(root: Path, builder: ModuleType) -> None:
    (root / "target" / "deps" / "library.py").unlink()


def cut_library(root: Path, builder: ModuleType) -> None:
    (root / "target" / "deps" / "library.py").write_text(MODULE_SOURCE[:4])


def change_requirements(root: Path, builder: ModuleType) -> None:
    (root / "requirements-system.txt").write_text("library==2\n")


def carry_from_other_machine(root: Path, builder: ModuleType) -> None:
    stamp = root / "target" / "deps" / builder.STAMP
    stamp.write_text(stamp.read_text().replace(platform.machine(), "other"))


def carry_from_other_python(root: Path, builder: ModuleType) -> None:
    stamp = root / "target" / "deps" / builder.STAMP
    stamp.write_text(stamp.read_text().replace(platform.python_version(), "3.0.0"))


def cut_record(root: Path, builder: ModuleType) -> None:
    shutil.rmtree(root / "target" / "deps" / "library-1.dist-info")
    remove_library(root, builder)


@pytest.mark.parametrize(
    "change",
    [
        remove_stamp, remove_library, cut_library, change_requirements, carry_from_other_machine,
        carry_from_other_python, cut_record,
    ],
)  # fmt: skip
def test_libraries_that_were_carried_over_or_broken_off_are_installed_again(
    change: object, root: Path, builder: ModuleType
) -> None:
    """The build line answered 0 without a look, and no process started."""
    assert builder.build(root) == "" and installations(root) == 1
    assert builder.build(root) == "" and installations(root) == 1
    assert callable(change)
    change(root, builder)
    assert builder.build(root) == "" and installations(root) == 2


def test_compiled_file_that_was_cut_short_is_compiled_again(root: Path, builder: ModuleType) -> None:
    """It looked current to the compiler, and ended each process at its import."""
    assert builder.build(root) == ""
    (compiled,) = (root / "latchspoke" / "__pycache__").glob("node.*.pyc")
    compiled.write_bytes(compiled.read_bytes()[:20])
    assert builder.import_fault(root, root / "target" / "deps") != ""
    assert builder.build(root) == ""


def test_library_that_cannot_be_installed_is_told_in_one_line(
    root: Path, builder: ModuleType, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fail(*_: object) -> None:
        raise subprocess.CalledProcessError(1, ["pip"])

    monkeypatch.setattr(builder, "install", fail)
    monkeypatch.setattr(builder, "ROOT", root)
    assert builder.main() == 1
    assert capsys.readouterr().err.count("\n") == 1


def test_sighup_is_ignored_before_the_first_library_is_imported() -> None:
    """The imports of ``site`` and ``-m`` took 50 ms, in which SIGHUP ended 40 of 40 processes."""
    done = subprocess.run(
        [sys.executable, "-S", "-X", "importtime", "deploy/start.py", "dataplane"],
        cwd=ROOT, env=os.environ | {"LATCHSPOKE_NODE_FILE": "/nowhere"}, capture_output=True, text=True,
    )  # fmt: skip
    assert done.returncode == 2
    names = [line.rpartition("|")[2].strip() for line in done.stderr.splitlines() if "|" in line]
    before = set(names[: names.index("msgspec")])
    assert not before & {"site", "signal", "enum", "runpy", "asyncio", "threading"}


@pytest.mark.parametrize("arguments", [[], ["other"], ["dataplane", "more"]])
def test_start_without_a_program_is_told_in_one_line(arguments: list[str]) -> None:
    done = subprocess.run(
        [sys.executable, "deploy/start.py", *arguments], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 1 and done.stderr == "usage: start.py dataplane|controlplane\n"
