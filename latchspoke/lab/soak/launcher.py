"""Starts a program as ``deploy/start.py`` does, with the faults of links and clock that a soak run draws."""

import sys

sys.path.insert(0, __file__.rpartition("/latchspoke/")[0] + "/deploy")

import start  # ignores SIGHUP before all else


def main() -> None:
    """Run the program that the command line names."""
    start.prepare()
    import os

    from latchspoke.lab.soak import link_faults
    from latchspoke.program import run_program

    link_faults.install(os.environ[link_faults.FAULTS_FILE_VARIABLE])
    run_program(sys.argv[1])


if __name__ == "__main__":
    main()
