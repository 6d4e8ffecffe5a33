"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

import json
import sys
from collections import Counter


class Stats(Counter[str]):
    """Named counts; the names stand in the README."""

    def line(self) -> str:
        """All counts as one line of JSON."""
        return json.dumps(dict(sorted(self.items())), separators=(",", ":"))

    def show(self) -> None:
        """Print them on standard error."""
        print(f"stats {self.line()}", file=sys.stderr, flush=True)
