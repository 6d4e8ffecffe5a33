"""Days of a whole deployment in the laboratory, of whose callers some travel, under troubles.

    PYTHONHASHSEED=0 .venv/bin/python -m benchmarks.travel_system DEPLOYMENT.toml [SEEDS [DAY,.. [SHARE,..]]]

Three ways on the same days: each gateway's own pins; records that travel, by placement where one can't be
had; strict records, with servers that can be asked. Kept: first requests at another gateway, within 30 s, to
the server of before, of those where that one lived and had not said that it leaves; later: the same for
requests at the same gateway. Wait: from a client's first byte to the gateway's first byte to the server.
"""

from __future__ import annotations

import math
import sys
from collections import Counter
from typing import Any
from unittest.mock import patch

from rich.console import Console
from rich.table import Table

from benchmarks.system_days import HEADS, SINCE, STATE, Sums, callers_day
from latchspoke.dataplane.session_affinity import SessionAffinity
from latchspoke.lab.system.day import DayResult
from latchspoke.lab.system.scenario import CallerSettings, Day, Deployment, Trouble, read_deployment
from latchspoke.transport.netstring import encode_frame

COUNT, PER_S = 60, 75.0  # callers of a route; requests a second at most
WAYS = ("pins", "travels", "strict")
SHARES = (0.0, 0.1, 0.3)


def days(deployment: Deployment, seed: int) -> dict[str, Day]:
    at, zone = SINCE + 1, sorted(deployment.zones)[0]
    release = tuple(Trouble(at, "release", count=6, x=1.5, where=s.name) for s in deployment.services)
    troubles = {
        "quiet": (),
        "release": release,
        "zone without power": (Trouble(at, "zone_power", 4.0, where=zone),),
        "servers crash": (Trouble(at, "crash", 3.0, 4), Trouble(at + 6, "crash", 3.0, 4)),
        "gateways killed": tuple(Trouble(at + n, "kill", 2.0, 1, how="edge") for n in (0, 6)),
        "gateway stopped": (Trouble(at, "freeze", 3.0, 1, how="edge"),),
        "zone cut off": (Trouble(at, "cut", 5.0, how="zone"),),
    }
    load = min(PER_S / deployment.per_s, 1.0)
    return {name: Day(seed, those, load) for name, those in troubles.items()}


class Seen:
    """Over the seeds of one day: kept and all, at another gateway and at the same; waits (s) of both."""

    def __init__(self) -> None:
        self.kept: dict[bool, list[int]] = {True: [0, 0], False: [0, 0]}
        self.waits: dict[bool, list[float]] = {True: [], False: []}

    def add(self, played: DayResult) -> None:
        record = played.record
        leaves = {leaving.server: leaving.started_at for leaving in record.drains}
        runs = sorted(
            (a for a in record.arrivals if a.ran and a.ident in record.attempts), key=lambda a: a.at
        )
        alive = {a.server: a.at for a in runs}  # at least so long
        last: dict[str, tuple[str, frozenset[str], str, float]] = {}  # try, servers, gateway, when
        for run in runs:
            attempt = record.attempts[run.ident]
            ident, servers, gateway, when = last.get(run.path, ("", frozenset[str](), "", -math.inf))
            if ident == run.ident:  # tried again at another server by its gateway: it may be at either
                last[run.path] = ident, servers | {run.server}, gateway, when
                continue
            moved = gateway != attempt.gateway
            lives = {s for s in servers if alive[s] > run.at and leaves.get(s, math.inf) > attempt.sent}
            if run.at > played.deployment.lead + SINCE and run.at - when < STATE:
                if lives:
                    self.kept[moved][0] += run.server in servers
                    self.kept[moved][1] += 1
                self.waits[moved].append(run.sent - attempt.sent)
            last[run.path] = run.ident, frozenset({run.server}), attempt.gateway, run.at

    def cells(self) -> tuple[str, ...]:
        found = []
        for moved in (True, False):
            (at, whole), waits = self.kept[moved], sorted(self.waits[moved]) or [0.0]
            found.append(f"{at / max(whole, 1):.1%} of {whole}")
            spread = waits[len(waits) // 2], waits[int(len(waits) * 0.95)], waits[int(len(waits) * 0.99)]
            found.append(", ".join(f"{1000 * x:.0f}" for x in spread))
        return tuple(found)


letters: Counter[str] = Counter()
post = SessionAffinity.send


def counted(travel: SessionAffinity, to: str, message: dict[str, Any]) -> None:
    letters[str(message["w"])] += len(encode_frame({"k": "w", "f": travel.record_store.name, "m": message}))
    post(travel, to, message)


def main() -> None:
    deployment, seeds = read_deployment(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 2
    names = sys.argv[3].split(",") if len(sys.argv) > 3 else list(days(deployment, 0))
    shares = [float(x) for x in sys.argv[4].split(",")] if len(sys.argv) > 4 else SHARES
    heads = "first kept", "first wait ms: median, 95th, 99th", "later kept", "later wait ms", *HEADS
    table = Table(
        "day", "travelling", "way", *heads, "looks, moves, misses, refused", "bytes a try", box=None
    )
    for name in names:
        for share in shares:
            for way in WAYS:
                sums, seen, tries = Sums(), Seen(), 0
                letters.clear()
                callers = CallerSettings(COUNT, share, way)
                with patch.object(SessionAffinity, "send", counted):
                    for played in callers_day(deployment, callers, days, name, seeds, sums):
                        seen.add(played)
                        tries += sum(bool(t.exchange) for t in played.record.attempts.values())
                refused = sum(n for c, n in sums.stats.items() if c.startswith("travel.refused_"))
                stats = [str(sums.stats[f"travel.{c}"]) for c in ("looks", "moves", "misses")]
                cells = *seen.cells(), *sums.cells(), ", ".join([*stats, str(refused)])
                row = name, f"{share:.0%}", way, *cells, f"{sum(letters.values()) / max(tries, 1):.0f}"
                table.add_row(*row)
                print(" | ".join(row), flush=True)
    Console(width=220).print(table)


if __name__ == "__main__":
    main()
