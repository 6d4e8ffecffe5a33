"""Entry point of ``python -m latchspoke.ctl``."""

from __future__ import annotations

import sys

from latchspoke.ctl.app import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
