"""``python -m latchspoke.turnout``: one gateway, by the settings file."""

from __future__ import annotations

import sys

from latchspoke.turnout.node import main

if __name__ == "__main__":
    sys.exit(main())
