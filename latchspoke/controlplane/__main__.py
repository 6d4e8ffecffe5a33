"""``python -m latchspoke.controlplane``: runs a control-plane node from the settings file."""

from __future__ import annotations

import signal
import sys

# SIGHUP (reload) may arrive before the handler is installed; the settings are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from latchspoke.transport.output import background_output  # noqa: E402

if __name__ == "__main__":
    with background_output():
        from latchspoke.controlplane.node import main

        exit_code = main()
    sys.exit(exit_code)
