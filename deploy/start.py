"""Starts one of the system's programs: ``python3 -S deploy/start.py dataplane|controlplane``.

Until SIGHUP is ignored it ends a process. So that comes first, without the imports that ``python3 -m`` and
Python's ``site`` make before any line of the program; ``site`` is loaded only where libraries need it.
"""

import _signal  # type: ignore[import-not-found]

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import posix  # noqa: E402
import sys  # noqa: E402

PROGRAMS = ("dataplane", "controlplane")
MIN_PYTHON = (3, 11)


def find_libraries(root: str) -> None:
    """Make the libraries importable, if they aren't on the path that was given."""
    try:
        import msgspec  # noqa: F401
    except ImportError:
        import site

        site.main()
        sys.path.append(f"{root}/target/deps")


def use_compiled_files(root: str) -> None:
    """Use the compiled files of a build that could not write beside the sources."""
    folder = f"{root}/target/pycache"
    try:
        posix.stat(folder)
    except OSError:
        return
    sys.pycache_prefix = folder


def prepare() -> None:
    """Make the programs importable; what is in the way is said in one line."""
    if len(sys.argv) != 2 or sys.argv[1] not in PROGRAMS:
        sys.exit(f"usage: start.py {'|'.join(PROGRAMS)}")
    if sys.version_info < MIN_PYTHON:
        sys.exit("can't start: Python 3.11 or later is needed, this is " + sys.version.split()[0])
    root = __file__.rpartition("/")[0].rpartition("/")[0] or "."
    sys.path[0] = root
    use_compiled_files(root)
    try:
        find_libraries(root)
        import latchspoke.program  # noqa: F401
    except Exception as error:  # a library or a compiled file that can't be used
        sys.exit(f"can't start: {type(error).__name__}: {error}")


def main() -> None:
    """Run the program that the command line names."""
    prepare()
    from latchspoke.program import run_program

    run_program(sys.argv[1])


if __name__ == "__main__":
    main()
