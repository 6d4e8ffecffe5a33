"""``python -m latchspoke.pool``: the same as ``ctl pool``."""

from __future__ import annotations

import sys

from latchspoke.pool.command import pool_app

if __name__ == "__main__":
    sys.exit(pool_app(sys.argv[1:], result_action="return_value"))
