"""Counters of requests, attempts and connections."""

from __future__ import annotations

import json
import sys
from collections import Counter


class Stats(Counter[str]):
    """Counters by name; the README lists the names."""

    def line(self) -> str:
        """Return all counters as one line of JSON."""
        return json.dumps(dict(sorted(self.items())), separators=(",", ":"))

    def show(self) -> None:
        """Print all counters to standard error."""
        print(f"stats {self.line()}", file=sys.stderr, flush=True)
