"""``python -m latchspoke.stationmaster``."""

from __future__ import annotations

import sys

from latchspoke.stationmaster.app import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
