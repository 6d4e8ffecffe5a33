"""The build of the deploy file, and its way to start a program."""

from __future__ import annotations

import base64
import hashlib
import importlib.util
import json
import os
import platform
import shutil
import socket
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest

from latchspoke.doctor import examine, installation
from latchspoke.doctor.findings import Finding, Level
from latchspoke.doctor.machine import check_threads
from latchspoke.doctor.place import check_address, check_disk

ROOT = Path(__file__).parents[2]
MODULE_SOURCE = "VALUE = 1\n"


@pytest.fixture
def builder(monkeypatch: pytest.MonkeyPatch) -> ModuleType:
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    monkeypatch.setattr(installation, "PROGRAM_MODULES", ("latchspoke.node",))
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
    (libraries / installation.STAMP).write_text(json.dumps(installation.expected_stamp(root)))
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
    (root / "target" / "deps" / installation.STAMP).unlink()


def remove_library(root: Path, builder: ModuleType) -> None:
    (root / "target" / "deps" / "library.py").unlink()


def cut_library(root: Path, builder: ModuleType) -> None:
    (root / "target" / "deps" / "library.py").write_text(MODULE_SOURCE[:4])


def change_requirements(root: Path, builder: ModuleType) -> None:
    (root / "requirements-system.txt").write_text("library==2\n")


def carry_from_other_machine(root: Path, builder: ModuleType) -> None:
    stamp = root / "target" / "deps" / installation.STAMP
    stamp.write_text(stamp.read_text().replace(platform.machine(), "other"))


def carry_from_other_python(root: Path, builder: ModuleType) -> None:
    stamp = root / "target" / "deps" / installation.STAMP
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
    assert installation.import_fault(root, root / "target" / "deps") != ""
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


def touch_all(root: Path) -> None:
    """As a checkout that was copied without file times."""
    for path in root.rglob("*.py"):
        os.utime(path, (1, 1))


def test_compiled_files_still_count_once_the_checkout_was_copied(root: Path, builder: ModuleType) -> None:
    """All sources were compiled again at each start: 0.5 s of processor in place of 0.23."""
    assert builder.build(root) == ""
    touch_all(root)
    assert installation.stale_sources(root) == []
    assert installation.counts(root / "target" / "deps" / "library.py")
    (root / "latchspoke" / "node.py").write_text("import library  # changed\n")
    assert installation.stale_sources(root) == [root / "latchspoke" / "node.py"]


def test_build_that_may_not_write_beside_the_sources_compiles_them_elsewhere(
    root: Path, builder: ModuleType, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It ended with 0 after a page of errors, and each start compiled all sources."""
    monkeypatch.setattr(installation, "writable", lambda root: False)
    assert builder.build(root) == ""
    compiled = {path.name.partition(".")[0] for path in (root / "target" / "pycache").rglob("*.pyc")}
    assert {"node", "library"} <= compiled
    assert not list((root / "latchspoke").rglob("*.pyc"))
    monkeypatch.undo()
    monkeypatch.setattr(installation, "PROGRAM_MODULES", ("latchspoke.node",))
    assert builder.build(root) == "" and not (root / "target" / "pycache").exists()


def test_build_says_in_one_line_that_nothing_can_be_compiled(
    root: Path, builder: ModuleType, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(installation, "writable", lambda root: False)
    (root / "target").mkdir()
    (root / "target" / "pycache").write_text("a file where the folder belongs")
    assert builder.build(root) == ""
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith("starts will be slow: ")


# The checks of a machine.


def level_of(check: str, found: list[Finding]) -> Level:
    (finding,) = (finding for finding in found if finding.check == check)
    return finding.level


def test_doctor_tells_stale_files_and_missing_libraries(root: Path, builder: ModuleType) -> None:
    found = installation.check_installation(root)
    assert level_of("libraries", found) is level_of("start", found) is Level.FAILURE
    assert level_of("compiled", found) is Level.WARNING
    assert builder.build(root) == ""
    assert {finding.level for finding in installation.check_installation(root)} == {Level.GOOD}


def test_doctor_tells_that_no_thread_is_granted() -> None:
    script = (
        "from latchspoke.lab.soak.thread_filter import refuse_new_threads\n"
        "refuse_new_threads()\n"
        "from latchspoke.doctor.machine import check_threads\n"
        "print(check_threads())"
    )
    done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.startswith("warning  threads") and done.stderr == ""
    assert check_threads().level is Level.GOOD


def test_doctor_tells_an_address_in_use_and_a_disk_that_cannot_be_used(tmp_path: Path) -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        taken = sock.getsockname()[1]
        assert check_address("controlPlane", "127.0.0.1", taken).level is Level.FAILURE
    assert check_address("controlPlane", "127.0.0.1", taken).level is Level.GOOD
    assert check_address("controlPlane", "192.0.2.1", taken).level is Level.FAILURE  # not of this machine
    assert check_disk(tmp_path).level is check_disk(tmp_path / "new" / "disk").level is Level.GOOD
    (tmp_path / "file").write_text("")
    assert check_disk(tmp_path / "file").level is Level.FAILURE
    assert list(tmp_path.iterdir()) == [tmp_path / "file"]


def test_doctor_command_tells_settings_that_cannot_be_used(tmp_path: Path) -> None:
    path = tmp_path / "local.yaml"
    path.write_text("nodeName: 7")
    done = subprocess.run(
        [sys.executable, "-m", "latchspoke.doctor", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 1 and "nodeName: must be a string" in done.stdout
    assert all(line.count("  ") for line in done.stdout.splitlines())
    assert level_of("settings", examine.examine(str(path))) is Level.FAILURE


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
