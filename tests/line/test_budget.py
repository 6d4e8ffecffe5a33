"""What all gateways keep together: further tries, and what a cold server gets."""

from __future__ import annotations

from random import Random

import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState, allowed_regions
from barleyhub.line.budget import cold_server_allowance
from barleyhub.line.dispatch import Dispatcher, RoutedRequest
from latchspoke.configuration.routes import NO_HOMES, Route

ROUTE = Route("read", "h", "/", True, 0.4, 2.0, 2, 0, False, NO_HOMES, (("pool", 1.0),))
ONCE = Route("book", "h", "/", False, 0.4, 2.0, 2, 0, False, NO_HOMES, (("pool", 1.0),))


def upstream(ident: str, zone: str = "a", cold_until: float = 0.0, service: str = "pool") -> Upstream:
    return Upstream(ident, service, "h", 1, zone, zone[0], 6, UpstreamState.READY, cold_until)


def stock(me: str = "g0", *upstreams: Upstream, excess: float = 1.5, slack: float = 5.0) -> Balancer:
    made = Balancer(me, "a", "a", Random(1), 1.5, excess, slack)
    made.cold_limits["pool"] = ColdLimit(3.0, 5.0)
    for each in upstreams:
        made.put(each, 0.0)
    return made


@pytest.mark.parametrize(("count", "seed"), [(11, 0), (11, 1), (11, 2), (84, 3)])
def test_a_cold_server_gets_what_it_bears_while_gateways_come_and_go(count: int, seed: int) -> None:
    """FAILBACK: all press at it; each knows of the others' ends and starts at a moment of its own."""
    print(f"seed {seed}")
    draw = Random(seed)
    names = [f"g{i}" for i in range(count)]
    stocks = {name: stock(name, upstream("s", cold_until=99.0)) for name in names}
    views = {name: set(names) for name in names}
    down: dict[str, float] = {}
    sent: list[float] = []
    for tick in range(80):
        now = tick / 10
        if tick % 4 == 0 and len(down) < 4:
            down[draw.choice(names)] = now
        for name, since in list(down.items()):
            if now - since > 4.0:  # it starts anew and remembers nothing of what it sent
                del down[name]
                stocks[name] = stock(name, upstream("s", cold_until=99.0))
        for name in names:
            for other in names:
                if (other in down) == (other in views[name]) and draw.random() < 0.1:
                    views[name] ^= {other}
            stocks[name].set_gateways(dict.fromkeys(views[name] | {name}, "a"))
            if name in down:
                continue
            for _ in range(20):
                found = stocks[name].pick("pool", "read", None, (), now, 0.2)
                if found is None:
                    break
                stocks[name].attempt_sent(found, now)
                sent.append(now)
    most = max(sum(at <= other < at + 1.0 for other in sent) for at in sent)
    assert most <= 5.0 * 1.5 + 5.0
    assert len(sent) > 8 * 3, "and it does get some"


def test_all_of_what_a_cold_server_is_dealt_is_dealt_to_somebody() -> None:
    for count in (1, 2, 5, 11, 84):
        names = [f"g{i}" for i in range(count)]
        assert 1 <= sum(cold_server_allowance("s", name, names, 12.5) for name in names) <= 12.5


def test_further_tries_of_all_gateways_stay_within_the_budget() -> None:
    """BUDGET: every first attempt breaks, as when a service is in trouble, over any 10 s."""
    print("seed 5")
    draw = Random(5)
    gateways = [Dispatcher(stock("g", upstream("s1"), upstream("s2")), draw, 0.2, 62.0) for _ in range(11)]
    live = dict.fromkeys([f"g{i}" for i in range(11)], "a")
    requests: list[float] = []
    further: list[float] = []
    for number in range(6000):
        now = number / 300
        dispatcher = draw.choice(gateways)
        if dispatcher.gateway_count == 1:
            dispatcher.set_gateways(live, now)
        if draw.random() < 0.001:  # a process that starts again has forgotten what it spent
            gateways[gateways.index(dispatcher)] = Dispatcher(dispatcher.balancer, draw, 0.2, 62.0)
        requests.append(now)
        actions = dispatcher.handle(
            RoutedRequest(f"{number}", "", "pool", "read", 1, 2.0, 1, route=ROUTE), now
        )
        for attempt in range(4):
            sends = [action for action in actions if isinstance(action, api.Send)]
            if not sends:
                break
            further += [now] * (attempt > 0)
            broken = api.Outcome(f"{number}", attempt, sends[0].server, Code.RESET, 0.1, False)
            actions = dispatcher.handle(broken, now)
    for start in range(0, 11):
        tries = sum(start <= at < start + 10 for at in further)
        assert tries <= 0.2 * sum(start <= at < start + 10 for at in requests) + 62
    assert len(further) > 300


@pytest.mark.parametrize(
    ("code", "again"),
    [(Code.FULL, True), (Code.UNREACHABLE, True), (Code.MOOT, True)]
    + [(code, False) for code in (Code.RESET, Code.ERROR, Code.TIMEOUT, Code.CANCELLED)],
)
def test_a_request_that_may_run_once_is_sent_again_only_if_it_has_not_run(code: Code, again: bool) -> None:
    """TWICE, and REFUSED: what may have run is never refused as if it had not."""
    dispatcher = Dispatcher(stock("g0", upstream("s1"), upstream("s2")), Random(1), 0.2, 62.0)
    (first,) = dispatcher.handle(RoutedRequest("1", "", "pool", "book", 1, 2.0, 1, route=ONCE), 0.0)
    assert isinstance(first, api.Send)
    actions = dispatcher.handle(api.Outcome("1", 0, first.server, code, 0.1, False), 0.1)
    (action,) = actions
    assert isinstance(action, api.Send if again else api.Fail)


def test_where_a_request_may_go() -> None:
    """HOME, EVAC, DRAIN: never to another region, an emptied zone, or a server that leaves."""
    found = stock("g0", upstream("s1"), upstream("s2", "b1"), upstream("s3", "c1"))

    def seen(homes: frozenset[str] | None = None) -> set[str]:
        tried: list[str] = []
        while (one := found.pick("pool", "read", homes, tried, 1.0, 0.2)) is not None:
            tried.append(one.ident)
        return set(tried)

    assert seen() == {"s1", "s2", "s3"} and seen(frozenset("bc")) == {"s2", "s3"}
    assert seen(allowed_regions(frozenset("ab"), frozenset("bc"))) == {"s2"}
    assert seen(allowed_regions(frozenset("a"), frozenset("b"))) == set(), "where no region is both, none"
    found.set_evacuated_zones(["b1"], 1.0)
    assert seen() == {"s1", "s3"}
    leaves = upstream("s3", "c1")
    leaves.state = UpstreamState.DRAINING
    found.put(leaves, 1.0)
    found.put(upstream("s3", "c1"), 1.0)
    assert seen() == {"s1"}, "late news doesn't bring it back"
    found.set_evacuated_zones([], 2.0)
    assert seen() == {"s1", "s2"} and found.is_cold(found.upstreams["s2"], 2.0), "it may have turned cold"
