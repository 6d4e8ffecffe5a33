"""Ways to place callers: who moves, how evenly, at what cost, and whether gateways agree.

    .venv/bin/python -m benchmarks.affinity [moves|spread|cost|agreement|load]

Moves are counted against the least possible (docs/affinity.md). Ways are played with one hash; what is in use
is measured by its own code under ``cost`` and ``agreement``.
"""

from __future__ import annotations

import bisect
import random
import sys
import time
import timeit
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import numpy as np
from rich.console import Console
from rich.table import Table

from barleyhub.affinity.plan import least_movement
from barleyhub.affinity.pool import Pool
from barleyhub.affinity.rendezvous import NO_ORIGIN, Caller, Member, caller_key, rank_members
from barleyhub.affinity.selection import AffinitySelector
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState

Array = np.ndarray
Set = dict[str, float]  # strength by place
Way = Callable[[Array, Set], Array]
CALLERS = 20_000
SIZES = (10, 30, 100, 300, 1000)
POINTS, ENTRIES, BOUND = 40, 65_537, 1.25  # of a ring, for one unit of strength; of a table; times the mean
ZONES = 6


def mixed(x: Array) -> Array:
    """splitmix64's end."""
    x = (x ^ (x >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    x = (x ^ (x >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    found: Array = x ^ (x >> np.uint64(31))
    return found


def seeds(places: list[str]) -> Array:
    return np.array([int.from_bytes(caller_key(p.encode())) for p in places], dtype=np.uint64)


def number(places: list[str]) -> Array:
    return np.array([int(p[1:]) for p in places], dtype=np.int64)


def times(callers: Array, names: list[str], weights: Array) -> Array:
    drawn = mixed(callers[:, None] ^ seeds(names)[None, :])
    found: Array = -np.log((drawn.astype(np.float64) + 1.0) * 2.0**-64) / weights[None, :]
    return found


def rendezvous(callers: Array, places: Set) -> Array:
    names, weights = list(places), np.array(list(places.values()))
    parts = [
        times(part, names, weights).argmin(1) for part in np.array_split(callers, -(-len(callers) // 500))
    ]
    found: Array = number(names)[np.concatenate(parts)]
    return found


def ring_of(places: Set) -> tuple[Array, Array]:
    names = [p for p, w in places.items() for _ in range(round(w * POINTS))]
    points = [f"{p}#{n}" for p, w in places.items() for n in range(round(w * POINTS))]
    at = seeds(points)
    by = np.argsort(at)
    return at[by], number(names)[by]


def ring(callers: Array, places: Set) -> Array:
    at, names = ring_of(places)
    found: Array = names[np.searchsorted(at, callers) % len(at)]
    return found


def maglev(callers: Array, places: Set) -> Array:
    names = sorted(places)
    start = [int(s) % ENTRIES for s in seeds(names)]
    skip = [int(s) % (ENTRIES - 1) + 1 for s in seeds([n + "skip" for n in names])]
    table, turn, most = [-1] * ENTRIES, [0.0] * len(names), max(places.values())
    left = ENTRIES
    while left:
        for i, name in enumerate(names):
            turn[i] += places[name] / most
            while turn[i] >= 1.0 and left:
                turn[i] -= 1.0
                while table[start[i]] >= 0:
                    start[i] = (start[i] + skip[i]) % ENTRIES
                table[start[i]] = i
                left -= 1
    found: Array = number(names)[np.array(table)[callers % np.uint64(ENTRIES)]]
    return found


def jump(callers: Array, places: Set) -> Array:
    """Each unit of strength is a bucket, in the order of the list."""
    units = np.repeat(number(list(places)), [round(w) for w in places.values()])
    key, b = callers.copy(), np.zeros(len(callers), dtype=np.int64)
    j, live = np.zeros(len(callers), dtype=np.int64), np.ones(len(callers), dtype=bool)
    while live.any():
        b[live] = j[live]
        key = key * np.uint64(2862933555777941757) + np.uint64(1)
        j = ((b + 1) * (float(1 << 31) / ((key >> np.uint64(33)).astype(np.float64) + 1.0))).astype(np.int64)
        live &= j < len(units)
    found: Array = units[b]
    return found


def remainder(callers: Array, places: Set) -> Array:
    units = np.repeat(number(list(places)), [round(w) for w in places.values()])
    found: Array = units[callers % np.uint64(len(units))]
    return found


def bounded(callers: Array, places: Set) -> Array:
    """The ring, and on to the next where a place has its part of the callers times the bound."""
    at, names = ring_of(places)
    most = {int(p[1:]): BOUND * w * len(callers) / sum(places.values()) for p, w in places.items()}
    load, found, line = Counter[int](), [], names.tolist()
    for spot in (np.searchsorted(at, callers) % len(at)).tolist():
        while load[line[spot]] >= most[line[spot]]:
            spot = (spot + 1) % len(line)
        load[line[spot]] += 1
        found.append(line[spot])
    return np.array(found)


def two_levels(callers: Array, places: Set) -> Array:
    zones: dict[int, Set] = {}
    for p, w in places.items():
        zones.setdefault(int(p[1:]) % ZONES, {})[p] = w
    tops = {f"z{z}": sum(found.values()) for z, found in zones.items()}
    chosen, result = rendezvous(callers, tops), np.zeros(len(callers), dtype=np.int64)
    for z, found in zones.items():
        mine = chosen == z
        result[mine] = rendezvous(callers[mine], found)
    return result


WAYS: dict[str, Way] = {
    "weighted rendezvous": rendezvous, f"ring, {POINTS} points a unit": ring, "Maglev, 65537": maglev,
    "jump hash": jump, f"ring, bounded {BOUND}": bounded, "two levels": two_levels, "remainder": remainder,
}  # fmt: skip


def pool(size: int, draw: random.Random) -> Set:
    return {f"p{n}": float(draw.choice((2, 4, 6, 8))) for n in range(size)}


def changes(places: Set, draw: random.Random) -> dict[str, Set]:
    one = draw.choice(list(places)[: len(places) // 2])
    fewer = {p: w for p, w in places.items() if p != one}
    return {
        "removed": fewer,
        "added": places | {f"p{len(places)}": 6.0},
        "doubled": places | {one: 2 * places[one]},
        "zone lost": {p: w for p, w in places.items() if int(p[1:]) % ZONES != 1},
        "half new": {(f"p{2000 + n}" if n % 2 else f"p{n}"): w for n, w in enumerate(places.values())},
    }


def drawn(count: int, seed: int = 5) -> Array:
    return np.random.default_rng(seed).integers(0, 2**64, count, dtype=np.uint64)


def moves() -> Table:
    table = Table("moved / least", *(f"{kind} {n}" for kind in ("removed", "added") for n in SIZES),
                  *(f"{kind} 100" for kind in ("doubled", "zone lost", "half new")), box=None)  # fmt: skip
    cells: dict[str, list[str]] = {name: [] for name in WAYS}
    for kind in ("removed", "added", "doubled", "zone lost", "half new"):
        for size in SIZES if kind in ("removed", "added") else (100,):
            draw, callers = random.Random(size), drawn(max(CALLERS, 200 * size))
            places = pool(size, draw)
            after = changes(places, draw)[kind]
            for name, way in WAYS.items():
                moved = float((way(callers, places) != way(callers, after)).mean())
                cells[name].append(f"{moved / least_movement(places, after):.2f}")
    for name, row in cells.items():
        table.add_row(name, *row)
    return table


def spread() -> Table:
    """Peak over mean of callers a unit of strength; 200 callers a unit, fewer for the largest."""
    table = Table("peak / mean", *map(str, SIZES), box=None)
    cells: dict[str, list[str]] = {name: [] for name in (*WAYS, "chance alone")}
    for size in SIZES:
        places = pool(size, random.Random(size))
        whole = sum(places.values())
        callers = drawn(int(200 * whole) if size < 1000 else 200_000)
        ways = {n: w for n, w in WAYS.items() if size < 1000 or w is not bounded}
        found = {name: Counter(way(callers, places).tolist()) for name, way in ways.items()}
        parts = np.array(list(places.values())) / whole
        chance = np.random.default_rng(1).multinomial(len(callers), parts)
        found["chance alone"] = Counter(dict(enumerate(chance.tolist())))
        for name in cells:
            load = found.get(name)
            peak = max((load[int(p[1:])] / w for p, w in places.items()), default=0.0) if load else 0.0
            cells[name].append(f"{peak * whole / len(callers):.2f}" if load else "-")
    for name, row in cells.items():
        table.add_row(name, *row)
    return table


def load() -> Table:
    """Bounded loads: callers moved although the pool stays, where a tenth of all callers is replaced."""
    table = Table("of those that stay, moved", "10", "100", box=None)
    for name, way in (("bounded", bounded), ("weighted rendezvous", rendezvous)):
        row = []
        for size in (10, 100):
            places, callers = pool(size, random.Random(size)), drawn(CALLERS)
            tenth = CALLERS // 10
            now = np.concatenate([callers[tenth:], drawn(tenth, 6)])
            before, after = way(callers, places)[tenth:], way(now, places)[: CALLERS - tenth]
            row.append(f"{float((before != after).mean()):.2%}")
        table.add_row(name, *row)
    return table


def stock_of(size: int) -> Balancer:
    stock = Balancer("g", "z0", "r", random.Random(1), 0.5)
    for n in range(size):
        host = f"10.0.{n // 250}.{n % 250}"
        stock.put(Upstream(f"i{n}", "s", host, 80, f"z{n % 6}", "r", 2 + n % 4, UpstreamState.READY), 0.0)
    return stock


def cost() -> Table:
    """µs a decision; best of five."""
    table = Table("µs a decision", *map(str, SIZES), box=None)
    rows: dict[str, list[str]] = {}
    text, names = b"member-8192736", [b"member-%d" % n for n in range(3000)]
    keys = [caller_key(name) for name in names]

    def took(name: str, call: Callable[[], object], count: int) -> None:
        best = min(timeit.repeat(call, number=count, repeat=5, timer=time.process_time)) / count * 1e6
        rows.setdefault(name, []).append(f"{best:.2f}")

    for size in SIZES:
        stock = stock_of(size)
        berths = AffinitySelector(stock)
        caller = Caller(keys[0])
        view = berths.service_state("s", 0.0).pool.view(None, NO_ORIGIN)
        places = {f"p{n}": 4.0 for n in range(size)}
        at, line = ring_of(places)
        spots, last = at.tolist(), line.tolist()
        few = max(20_000 // size, 100)
        took("plain hash", lambda: caller_key(text), 100_000)
        took("today: least expected time", lambda s=stock: s.pick("s", "r", None, (), 0.0, 0.1), few)  # type: ignore[misc]
        took("berths: known caller", lambda b=berths, c=caller: b.pick(c, "s", None, (), 0.0), 50_000)  # type: ignore[misc]

        def anew(view: object = view) -> None:
            view.rankings.clear()  # type: ignore[attr-defined]
            view.ranking(keys[0])  # type: ignore[attr-defined]

        took("berths: order worked out", anew, few)
        members = list(berths.services["s"].pool.members.values())
        took("order(), not kept", lambda m=members: rank_members(keys[0], m), few)  # type: ignore[misc]
        took("ring, bisect", lambda s=spots, n=last: n[bisect.bisect(s, 1 << 63) % len(n)], 100_000)  # type: ignore[misc]
        for key in keys[:200]:
            view.ranking(key)
        member, turn = members[1], [0]

        def changed(
            pool: Pool = berths.services["s"].pool, member: Member = member, turn: list[int] = turn
        ) -> None:
            turn[0] += 1
            pool.view(None, NO_ORIGIN).update_member(
                member.address, replace(member, share=0.5 + turn[0] % 2 / 2)
            )
            for key in keys[:200]:
                pool.view(None, NO_ORIGIN).ranking(key)

        best = min(timeit.repeat(changed, number=4, repeat=5, timer=time.process_time)) / 4 / 200 * 1e6
        rows.setdefault("berths: first time after a change", []).append(f"{best:.2f}")
    for name, row in rows.items():
        table.add_row(name, *row)
    return table


def agreement(gateways: int = 11, seconds: float = 120.0) -> Table:
    """Requests of callers at gateways that hear of changes at times of their own."""
    table = Table(
        "pool", "changes", "requests", "seen differently", "of callers not moved", "after the last", box=None
    )
    for size in (12, 100):
        draw = random.Random(size)
        now = {f"p{n}": Member(f"p{n}", draw.choice((2, 4, 6, 8))) for n in range(size)}
        views = [dict(now) for _ in range(gateways)]
        pools = [Pool() for _ in range(gateways)]
        for held in pools:
            held.set_members(now.values())
        events: list[tuple[float, int, str, Member | None]] = []
        at = 0.0
        while at < seconds - 1:
            at += draw.uniform(0.0, 2.0)
            place = f"p{draw.randrange(size)}"
            new = None if place in now and draw.random() < 0.5 else Member(place, draw.choice((2, 4, 6, 8)))
            now = {p: m for p, m in now.items() if p != place} | ({} if new is None else {place: new})
            events += [(at + draw.uniform(0.01, 0.3), g, place, new) for g in range(gateways)]
        count, differ, wrong, late, last = 0, 0, 0, 0, max(e[0] for e in events)
        todo = sorted(events, key=lambda e: e[0])
        for n in range(int(seconds * 100)):
            while todo and todo[0][0] <= n / 100:
                _, g, place, new = todo.pop(0)
                views[g].pop(place, None)
                if new is not None:
                    views[g][place] = new
                pools[g].set_members(views[g].values())
            key = caller_key(b"%d" % draw.randrange(5000))
            firsts = [held.view(None, NO_ORIGIN).ranking(key)[0][2] for held in pools]
            count += 1
            if len(set(firsts)) > 1:
                differ += 1
                late += n / 100 > last
                # The change moves those whom the places win or lose that are not the same everywhere.
                known = [{p: v.get(p) for p in set().union(*views)} for v in views]
                news = {p for p in known[0] if len({v[p] for v in known}) > 1}
                wrong += not set(firsts) & news
        table.add_row(
            str(size),
            str(len(events) // gateways),
            str(count),
            f"{differ / count:.2%}",
            str(wrong),
            str(late),
        )
    return table


TABLES: dict[str, Callable[[], Table]] = {
    "moves": moves, "spread": spread, "load": load, "cost": cost, "agreement": agreement,
}  # fmt: skip


def main() -> None:
    for name in sys.argv[1:] or TABLES:
        console = Console(width=200)
        console.print(TABLES[name]())
        console.print()


if __name__ == "__main__":
    main()
