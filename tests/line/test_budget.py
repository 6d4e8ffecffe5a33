"""Limits shared by all gateways (retries, requests to cold servers), and which upstreams are eligible."""

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
NON_IDEMPOTENT_ROUTE = Route("book", "h", "/", False, 0.4, 2.0, 2, 0, False, NO_HOMES, (("pool", 1.0),))


def make_upstream(ident: str, zone: str = "a", cold_until: float = 0.0, service: str = "pool") -> Upstream:
    return Upstream(ident, service, "h", 1, zone, zone[0], 6, UpstreamState.READY, cold_until)


def make_balancer(
    gateway: str = "g0", *upstreams: Upstream, excess: float = 1.5, slack: float = 5.0
) -> Balancer:
    balancer = Balancer(gateway, "a", "a", Random(1), 1.5, excess, slack)
    balancer.cold_limits["pool"] = ColdLimit(3.0, 5.0)
    for upstream in upstreams:
        balancer.put(upstream, 0.0)
    return balancer


@pytest.mark.parametrize(("count", "seed"), [(11, 0), (11, 1), (11, 2), (84, 3)])
def test_cold_server_limit_holds_while_gateways_come_and_go(count: int, seed: int) -> None:
    """FAILBACK: all gateways send as much as they may, and learn of each other's restarts at random times."""
    print(f"seed {seed}")
    rng = Random(seed)
    names = [f"g{number}" for number in range(count)]
    balancers = {name: make_balancer(name, make_upstream("s", cold_until=99.0)) for name in names}
    views = {name: set(names) for name in names}
    down: dict[str, float] = {}
    sent: list[float] = []
    for tick in range(80):
        now = tick / 10
        if tick % 4 == 0 and len(down) < 4:
            down[rng.choice(names)] = now
        for name, since in list(down.items()):
            if now - since > 4.0:  # restarts without memory of what it sent
                del down[name]
                balancers[name] = make_balancer(name, make_upstream("s", cold_until=99.0))
        for name in names:
            for other in names:
                if (other in down) == (other in views[name]) and rng.random() < 0.1:
                    views[name] ^= {other}
            balancers[name].set_gateways(dict.fromkeys(views[name] | {name}, "a"))
            if name in down:
                continue
            for _ in range(20):
                upstream = balancers[name].pick("pool", "read", None, (), now, 0.2)
                if upstream is None:
                    break
                balancers[name].attempt_sent(upstream, now)
                sent.append(now)
    highest = max(sum(time <= other < time + 1.0 for other in sent) for time in sent)
    assert highest <= 5.0 * 1.5 + 5.0
    assert len(sent) > 8 * 3, "the cold server gets requests at all"


def test_cold_server_allowances_stay_within_the_limit_and_above_zero() -> None:
    for count in (1, 2, 5, 11, 84):
        names = [f"g{number}" for number in range(count)]
        assert 1 <= sum(cold_server_allowance("s", name, names, 12.5) for name in names) <= 12.5


def test_retries_of_all_gateways_stay_within_the_budget() -> None:
    """BUDGET: holds over any 10 s while every attempt fails."""
    print("seed 5")
    rng = Random(5)
    gateways = [
        Dispatcher(make_balancer("g", make_upstream("s1"), make_upstream("s2")), rng, 0.2, 62.0)
        for _ in range(11)
    ]
    zones = dict.fromkeys([f"g{number}" for number in range(11)], "a")
    requests: list[float] = []
    retries: list[float] = []
    for number in range(6000):
        now = number / 300
        dispatcher = rng.choice(gateways)
        if dispatcher.gateway_count == 1:
            dispatcher.set_gateways(zones, now)
        if rng.random() < 0.001:  # restarts without memory of what it spent
            gateways[gateways.index(dispatcher)] = Dispatcher(dispatcher.balancer, rng, 0.2, 62.0)
        requests.append(now)
        actions = dispatcher.handle(
            RoutedRequest(f"{number}", "", "pool", "read", 1, 2.0, 1, route=ROUTE), now
        )
        for attempt in range(4):
            sends = [action for action in actions if isinstance(action, api.Send)]
            if not sends:
                break
            retries += [now] * (attempt > 0)
            outcome = api.Outcome(f"{number}", attempt, sends[0].server, Code.RESET, 0.1, False)
            actions = dispatcher.handle(outcome, now)
    for start in range(0, 11):
        retry_count = sum(start <= time < start + 10 for time in retries)
        assert retry_count <= 0.2 * sum(start <= time < start + 10 for time in requests) + 62
    assert len(retries) > 300


@pytest.mark.parametrize(
    ("code", "retried"),
    [(Code.FULL, True), (Code.UNREACHABLE, True), (Code.MOOT, True)]
    + [(code, False) for code in (Code.RESET, Code.ERROR, Code.TIMEOUT, Code.CANCELLED)],
)
def test_a_non_idempotent_request_is_retried_only_if_it_was_not_executed(code: Code, retried: bool) -> None:
    """TWICE and REFUSED: a request that may have been executed is neither retried nor refused."""
    dispatcher = Dispatcher(
        make_balancer("g0", make_upstream("s1"), make_upstream("s2")), Random(1), 0.2, 62.0
    )
    (first,) = dispatcher.handle(
        RoutedRequest("1", "", "pool", "book", 1, 2.0, 1, route=NON_IDEMPOTENT_ROUTE), 0.0
    )
    assert isinstance(first, api.Send)
    actions = dispatcher.handle(api.Outcome("1", 0, first.server, code, 0.1, False), 0.1)
    (action,) = actions
    assert isinstance(action, api.Send if retried else api.Fail)


def test_requests_go_to_allowed_regions_zones_and_servers_only() -> None:
    """HOME, EVAC, DRAIN: none to other regions, evacuated zones or draining servers."""
    balancer = make_balancer("g0", make_upstream("s1"), make_upstream("s2", "b1"), make_upstream("s3", "c1"))

    def eligible(homes: frozenset[str] | None = None) -> set[str]:
        tried: list[str] = []
        while (upstream := balancer.pick("pool", "read", homes, tried, 1.0, 0.2)) is not None:
            tried.append(upstream.ident)
        return set(tried)

    assert eligible() == {"s1", "s2", "s3"} and eligible(frozenset("bc")) == {"s2", "s3"}
    assert eligible(allowed_regions(frozenset("ab"), frozenset("bc"))) == {"s2"}
    assert eligible(allowed_regions(frozenset("a"), frozenset("b"))) == set(), "no region is allowed by both"
    balancer.set_evacuated_zones(["b1"], 1.0)
    assert eligible() == {"s1", "s3"}
    draining = make_upstream("s3", "c1")
    draining.state = UpstreamState.DRAINING
    balancer.put(draining, 1.0)
    balancer.put(make_upstream("s3", "c1"), 1.0)
    assert eligible() == {"s1"}, "an outdated update doesn't make it ready again"
    balancer.set_evacuated_zones([], 2.0)
    assert eligible() == {"s1", "s2"} and balancer.is_cold(balancer.upstreams["s2"], 2.0), (
        "it may have turned cold"
    )
