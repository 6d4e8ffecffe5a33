"""``python -m latchspoke.controlplane``: runs a control-plane node from the settings file."""

from __future__ import annotations

import signal
import sys

# A supervisor may send SIGHUP at any time. The settings are read below anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from latchspoke.controlplane.node import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
