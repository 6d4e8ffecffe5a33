"""``python -m latchspoke``."""

import sys

from latchspoke.cli import main

sys.exit(main())
