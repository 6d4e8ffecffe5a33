"""Times without a holder against the formula, and what a group costs at rest; all in virtual time.

    .venv/bin/python -m benchmarks.duties [TRIALS]

A time without a holder is that from the last moment at which one found itself entitled to the next one's
first. Bound: the whole grant by the slowest clock, a beat of the successor, eight ways there and back; where
the leader goes too, two elections.
"""

from __future__ import annotations

import statistics
import sys
import time
from functools import partial
from itertools import pairwise

from rich.console import Console
from rich.table import Table

from latchspoke.consensus.member import Role
from latchspoke.duties.records import Move
from latchspoke.lab.schedules import faults
from latchspoke.lab.schedules.faults import Fault
from latchspoke.lab.schedules.world import ACT, Host, Setup, World

WARM, AFTER = 12.0, 30.0  # s before and after the fault
DELAYS = (0.0, 0.02, 0.1, 0.4)  # s there and back
KINDS = ("hand-over", "holder killed", "holder stopped", "holder cut off", "holder and leader killed")


def leader(world: World) -> Host | None:
    return next((h for h in world.hosts.values() if h.alive and h.office.member.role is Role.LEADER), None)


def strike(world: World, kind: str) -> None:
    """Hit whoever holds the only duty now."""
    host = leader(world)
    state = host.office.duties.duties.get("duty0") if host is not None else None
    if host is None or state is None or state.tenure is None:
        return
    holder = state.tenure.holder.partition("#")[0]
    if kind == "hand-over":
        other = next(name for name in world.actors if name != holder)
        world.operate(Move("duty0", other))
    elif kind == "holder stopped":
        world.actors[holder].stop()
    elif kind == "holder cut off":
        faults.play(world, Fault(0.0, "cut-off", (holder,), AFTER))
    else:
        world.actors[holder].kill()
    if kind == "holder and leader killed":
        host.kill()


def gap(setup: Setup, seed: int, kind: str) -> float | None:
    """None where nobody held it, or nobody followed."""
    world = World(setup, seed)
    world.at(WARM + world.draw.random(), partial(strike, world, kind))
    world.run(WARM + AFTER)
    acts = [act for act in world.record.checks if act.duty == "duty0"]
    changes = [b.at - a.at for a, b in pairwise(acts) if b.token > a.token and b.at > WARM]
    return changes[0] if changes else None


def bound(setup: Setup, way: float, kind: str) -> float:
    whole = setup.length * (1 + setup.drift) / (1 - setup.drift)
    beat = min(setup.length / 4, 1.0)
    time = 8 * way + beat + 3 * ACT
    time += 2 * beat if kind == "hand-over" else whole
    return time + (4 * setup.timing.election_timeout if "leader" in kind else 0.0)


def gaps(trials: int) -> Table:
    table = Table("there and back", "what", "median", "99th", "worst", "bound", "nobody", box=None)
    for way in DELAYS:
        setup = Setup(duties=1, delay=max(way / 2, 0.0005))
        for kind in KINDS:
            found = [gap(setup, seed, kind) for seed in range(trials)]
            times = sorted(one for one in found if one is not None)
            if not times:
                table.add_row(f"{way:g} s", kind, "", "", "", "", str(len(found)))
                continue
            figures = statistics.median(times), times[int(0.99 * len(times))], times[-1]
            cells = [f"{figure:.2f}" for figure in (*figures, bound(setup, way, kind))]
            table.add_row(f"{way:g} s", kind, *cells, str(len(found) - len(times)))
    return table


def rest() -> Table:
    table = Table(
        "members", "holders", "messages/s", "bytes/s", "beats/s", "CPU", "elections/h", "entries/h", box=None
    )
    span = 120.0
    for members in (3, 5):
        for holders in (3, 40, 200):
            world = World(Setup(members, holders), 1)
            world.run(WARM)
            record, began = world.record, time.process_time()
            old = record.messages, record.bytes, record.beats, record.elections, len(record.applied)
            world.run(WARM + span)
            cpu = time.process_time() - began
            new = record.messages, record.bytes, record.beats, record.elections, len(record.applied)
            per = [(b - a) / span for a, b in zip(old, new, strict=True)]
            table.add_row(
                str(members), str(holders), f"{per[0]:.0f}", f"{per[1]:.0f}", f"{per[2]:.0f}",
                f"{cpu / span:.3f}", f"{per[3] * 3600:.0f}", f"{per[4] * 3600:.0f}",
            )  # fmt: skip
    return table


def main(words: list[str]) -> int:
    console = Console(width=120)
    console.print(gaps(int(words[0]) if words else 200))
    console.print("At rest; CPU is of one core, for all members and holders and the world together:")
    console.print(rest())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
