"""``python -m latchspoke.controlplane``: one control machine, by the settings file."""

from __future__ import annotations

import signal
import sys

# Whoever starts processes may say at any moment that their settings have changed. They are read below.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from latchspoke.controlplane.node import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
