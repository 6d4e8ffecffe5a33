"""The sum over gateways' logs, also where one starts again in between."""

from __future__ import annotations

from collections import Counter, defaultdict

from benchmarks.fleet_days import add

LOG = """\
0.100 2026-01-01T00:00:00.000 latchspoke.net.serve n0 serves on 127.0.0.1:1
5.100 stats {"flows.taken":7,"refused.gate":2}
7.000 2026-01-01T00:00:07.000 latchspoke.connection side=discovery code=bad_status messages=0 age=2.0
10.100 stats {"flows.taken":9,"refused.gate":2}
11.000 2026-01-01T00:00:11.000 latchspoke.net.serve n0 serves on 127.0.0.1:1
16.100 stats {"flows.taken":4}
nothing that is known
"""


def test_windows_hold_what_was_counted_in_them() -> None:
    sums: dict[int, Counter[str]] = defaultdict(Counter)
    for _ in range(2):
        add(LOG.splitlines(), 5.0, sums)
    assert sums[0] == {"flows.taken": 14, "refused.gate": 4}
    assert +sums[1] == {"flows.taken": 4, "discovery.bad_status": 2}
    assert sums[3] == {"flows.taken": 8}
