"""``python -m latchspoke.signalbox``: one control machine, by the settings file."""

from __future__ import annotations

import sys

from latchspoke.signalbox.node import main

if __name__ == "__main__":
    sys.exit(main())
