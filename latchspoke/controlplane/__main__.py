"""``python -m latchspoke.controlplane``: runs a control-plane node from the settings file."""

from __future__ import annotations

import signal

# SIGHUP (reload) may arrive before the handler is installed; the settings are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from latchspoke.program import run_program  # noqa: E402

if __name__ == "__main__":
    run_program("controlplane")
