"""Sum up what all gateways of a day have logged, in windows of time.

    .venv/bin/python -m benchmarks.fleet_days FOLDER [SECONDS]

FOLDER holds one ``NAME.log`` a gateway, as the bench's ``--logs`` writes them: each line begins with the
second of the run. The gateways' ``stats`` lines are added up, window by window (5 s, as they are printed);
a gateway that starts again begins with nothing. What one gateway does that is fine alone and hurts when
forty do it shows only in the sum: calls to the counter for each reason, connections opened, refusals by
reason, tries for a watch.
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

from rich.console import Console
from rich.table import Table

STATS = re.compile(r"^([\d.]+) .*?\bstats (\{.*\})\s*$")
DISCOVERY = re.compile(r"^([\d.]+) .* side=discovery .*code=(\w+)")
START = re.compile(r"^([\d.]+) .* serves on ")


def add(lines: Iterable[str], width: float, sums: dict[int, Counter[str]]) -> None:
    """One gateway's log into the sums of the windows."""
    last: Counter[str] = Counter()
    for line in lines:
        if START.match(line):
            last = Counter()
        elif found := DISCOVERY.match(line):
            sums[int(float(found[1]) / width)][f"discovery.{found[2]}"] += 1
        elif found := STATS.match(line):
            now: Counter[str] = Counter(json.loads(found[2]))
            # Printed at the end of its window.
            sums[int(max(float(found[1]) - 0.5, 0.0) / width)].update(now - last)
            last = now


def read(folder: Path, width: float) -> dict[int, Counter[str]]:
    sums: dict[int, Counter[str]] = defaultdict(Counter)
    logs = sorted(folder.glob("*.log"))
    if not logs:
        raise SystemExit(f"{folder}: no logs here")
    for path in logs:
        with path.open(errors="replace") as lines:
            add(lines, width, sums)
    return sums


def show(sums: dict[int, Counter[str]], width: float) -> None:
    windows = sorted(sums)
    table = Table(*["", *(f"{window * width:g} s" for window in windows), "all"], box=None)
    for name in sorted({name for counts in sums.values() for name in counts}):
        counts = [sums[window][name] for window in windows]
        table.add_row(name, *(str(count or "") for count in counts), str(sum(counts)))
    Console(width=40 + 10 * (len(windows) + 2)).print(table)


def main(words: list[str]) -> int:
    if not 1 <= len(words) <= 2:
        print(__doc__, file=sys.stderr)
        return 2
    width = float(words[1]) if len(words) > 1 else 5.0
    show(read(Path(words[0]), width), width)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
