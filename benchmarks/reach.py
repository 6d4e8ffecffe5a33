"""What the train graph costs a gateway: time an attempt, time a look, memory, bytes of an answer.

    .venv/bin/python -m benchmarks.reach [SERVERS] [ATTEMPTS_A_SECOND] [ROUTES]

The floor is one increment of a counter by server and route, which any count by server takes.
"""

from __future__ import annotations

import json
import random
import sys
import time
import tracemalloc
from collections import Counter
from types import SimpleNamespace

from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState
from latchspoke.reach.endpoint import reach_view
from latchspoke.reach.recorder import RETENTION_S, AttemptRecorder

TIMES = 200_000


def measure(servers: int, rate: float, routes: int) -> dict[str, float]:
    """Seconds, bytes."""
    draw = random.Random(1)
    stock = Balancer("edge-a-1", "a", "north", draw, 1.5)
    for number in range(servers):
        ident = f"i-{number:08x}"
        stock.put(
            Upstream(ident, f"s{number % 3}", "10.1.0.9", number, "a", "north", 6, UpstreamState.READY), 0.0
        )
    idents = list(stock.upstreams)
    attempts = [
        (draw.choice(idents), f"r{draw.randrange(routes)}", draw.expovariate(4)) for _ in range(TIMES)
    ]

    floor = Counter[tuple[str, str]]()
    began = time.perf_counter()
    for ident, route, _ in attempts:
        floor[ident, route] += 1
    plain = time.perf_counter() - began

    tracemalloc.start()
    graph, moment = AttemptRecorder(0.0), 0.0
    for ident, route, took in attempts[: int(rate * 2 * RETENTION_S)]:
        moment += 1 / rate
        graph.record(ident, route, Code.OK, took, False, moment)
    graph.check_statuses(stock, moment)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    began = time.perf_counter()
    for ident, route, took in attempts:
        graph.record(ident, route, Code.OK, took, False, moment)
    noted = time.perf_counter() - began
    began = time.perf_counter()
    for _ in range(100):
        graph.check_statuses(stock, moment)
    looked = (time.perf_counter() - began) / 100

    node = SimpleNamespace(
        reach_graph=graph, balancer=stock, instance_id="l", ready=True,
        clock=SimpleNamespace(now=lambda: moment),
        settings=SimpleNamespace(name="edge-a-1", zone="a", region="north"),
        published_state=SimpleNamespace(committed=SimpleNamespace(version=7)),
    )  # fmt: skip
    told = reach_view(node, 60.0)  # type: ignore[arg-type]
    return {
        "floor": plain / TIMES, "note": noted / TIMES, "look": looked, "memory": float(memory),
        "answer": float(len(json.dumps(told, separators=(",", ":")))),
    }  # fmt: skip


def main() -> None:
    words = [*sys.argv[1:], *("168", "12", "4")[len(sys.argv) - 1 :]]
    servers, rate, routes = int(words[0]), float(words[1]), int(words[2])
    found = measure(servers, rate, routes)
    print(f"{servers} servers, {rate:g} attempts a second, {routes} routes")
    print(f"an attempt {found['note'] * 1e6:.2f} us, {found['note'] / found['floor']:.1f} times the floor")
    print(f"a look at all servers {found['look'] * 1e6:.0f} us, twice a second")
    print(f"memory {found['memory'] / 1024:.0f} kB; an answer over 60 s {found['answer'] / 1024:.0f} kB")


if __name__ == "__main__":
    main()
