"""What records of travelling callers bring and cost, in virtual time; the ways beside one another in one run.

    .venv/bin/python -m benchmarks.travel [SECONDS]

Three regions, 12 ms one way between them and 1.4 ms between zones. While callers move between gateways,
servers come, restart and are away for a while. Kept: first requests at another site that go to the server of
before, while it serves.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections import Counter
from functools import partial

from rich.console import Console
from rich.table import Table

from latchspoke.session_records.record import ExchangeOutcome, Peer, SessionRecord, record_key
from latchspoke.session_records.simulation import CONVERGENCE_S, Simulation
from latchspoke.session_records.store import RecordStore, StoredRecord
from latchspoke.transport.netstring import encode_frame

SIZES = (10, 84)
CALLERS = 120
WAYS = {"placement, pins of each": (False, False), "records": (True, False), "records, strict": (True, True)}


def day(gateways: int, records: bool, strict: bool, travel: float, lasts: float) -> Simulation:
    world = Simulation(
        1,
        gateways,
        12,
        CALLERS,
        strict=strict,
        records=records,
        move_probability=travel,
        pause_s=0.5,
        ttl_s=60.0,
    )
    world.run(CONVERGENCE_S + 1.0)
    world.start_callers()
    draw = world.rng
    for number in range(int(lasts / 2)):
        world.schedule(2.0 * number + 1.0, partial(world.add_server, f"n{number}", draw.randrange(3)))
    for number in range(int(lasts / 4)):
        place = draw.choice(list(world.servers))
        world.schedule(4.0 * number + 2.0, partial(world.restart_server, place, draw.choice((0.5, 3.0))))
    world.stop_at = world.now + lasts
    world.run(world.now + lasts + 3.0)
    return world


def memory(gateways: int) -> float:
    """Bytes of one record at one gateway."""
    peers = {f"g{n}": Peer(f"z{n % 6}", f"r{n % 3}", "1") for n in range(gateways)}
    office = RecordStore("g0", "1", CONVERGENCE_S, 0.0, lambda: 1e9)
    office.update_membership(peers, 0.0)
    count = 10_000
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        bill = SessionRecord(
            key=record_key("route", "tenant", b"%d" % number), move=number,
            gateway_instance=f"g{number % gateways}/1a2b3c4d",
            instance_id=f"i-{number % 50:08x}", address=f"10.1.0.{number % 50}:8000",
            service="service", ttl_s=60.0,
            exchange_id=f"{number:016x}", attempt_id=f"{number:016x}", outcome=ExchangeOutcome.ANSWERED,
        )  # fmt: skip
        office.store(StoredRecord(bill, 60.0, 0.0))
        office.views[-1].placement(bill.key, ())
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / count


def cost(gateways: int) -> tuple[float, float]:
    """µs of a whole opening (site, owner, copy) against one rendezvous ranking of the gateways."""
    world = Simulation(2, gateways, strict=True)
    world.run(CONVERGENCE_S + 1.0)
    callers = [f"c{number}" for number in range(2000)]
    begun = time.process_time()
    for caller in callers:
        world.request(caller, f"{caller}.1", "g0")
    world.run(world.now + 2.0)
    whole = time.process_time() - begun
    era = next(iter(world.gateways.values())).store.views[-1]
    begun = time.process_time()
    for caller in callers:
        era.placement(f"other {caller}", ())
    return whole / len(callers) * 1e6, (time.process_time() - begun) / len(callers) * 1e6


def main() -> None:
    lasts = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    console = Console(width=160)
    head = (
        "gateways",
        "travelling",
        "way",
        "kept",
        "look-up ms: median, 99th, worst",
        "letters, bytes a request",
    )
    table = Table(*head, box=None)
    for gateways in SIZES:
        for travel in (0.1, 0.3):
            for way, (records, strict) in WAYS.items():
                world = day(gateways, records, strict, travel, lasts)
                at, elsewhere = world.affinity_results
                looks = sorted(1000 * x for x in world.lookup_times_s) or [0.0]
                spread = [looks[len(looks) // 2], looks[int(len(looks) * 0.99)], looks[-1]]
                tries = max(len(world.requests), 1)
                letters, size = (
                    sum(world.messages_by_kind.values()) / tries,
                    sum(world.bytes_by_kind.values()) / tries,
                )
                kept = f"{at / max(at + elsewhere, 1):.1%} of {at + elsewhere}"
                waits = ", ".join(f"{x:.1f}" for x in spread)
                cells = f"{travel:.0%}", way, kept, waits, f"{letters:.1f}, {size:.0f}"
                table.add_row(str(gateways), *cells)
                assert not world.check(), world.check()[:3]
    console.print(table)
    for gateways in SIZES:
        whole, rank = cost(gateways)
        console.print(
            f"{gateways} gateways: a record takes {memory(gateways):.0f} bytes where it is; an exchange"
            f" {whole:.0f} µs in all, {whole / rank:.1f} times one ranking of the gateways ({rank:.0f} µs)"
        )
    record = SessionRecord(
        key="0" * 24,
        gateway_instance="edge-1/1a2b3c4d",
        exchange_id="0" * 16,
        attempt_id="0" * 16,
        instance_id="i-00000000",
    )
    console.print(
        f"one record on the wire: {len(encode_frame(record))} bytes;"
        f" kinds: {dict(Counter(world.bytes_by_kind))}"
    )


if __name__ == "__main__":
    main()
