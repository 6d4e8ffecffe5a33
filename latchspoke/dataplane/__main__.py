"""``python -m latchspoke.dataplane``: one gateway, by the settings file."""

from __future__ import annotations

import signal
import sys

# Whoever starts processes may say at any moment that their settings have changed. They are read below.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from latchspoke.dataplane.node import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
