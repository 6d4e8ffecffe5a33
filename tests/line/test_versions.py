"""Which version of a service gets a request while a new one is rolled out."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from barleyhub.line.balancer import Balancer, ColdLimit, Upstream, UpstreamState
from barleyhub.line.versions import RolloutPhase, VersionRule

REGIONS = ("north", "south", "west")
NOW = 100.0


def make_balancer(gateway: str = "g1", old: int = 30, new: int = 30) -> Balancer:
    balancer = Balancer(gateway, "north-a", "north", Random(gateway), 1.5)
    for version, count in (("v1", old), ("v2", new)):
        for number in range(count):
            region = REGIONS[number % 3]
            ident = f"{version}-{number:02}"
            balancer.put(
                Upstream(ident, "saldo", "10.0.0.1", 80, f"{region}-a", region, 4, UpstreamState.READY,
                         version=version),
                NOW,
            )  # fmt: skip
    balancer.versions.trusted_until = NOW + 2.0
    return balancer


def set_rule(balancer: Balancer, phase: RolloutPhase, share: float = 0.1) -> None:
    balancer.set_version_rules({"saldo": VersionRule(7, "v2", phase, share)})


def pick(balancer: Balancer, tried: tuple[str, ...] = (), now: float = NOW) -> Upstream | None:
    return balancer.pick("saldo", "r", None, tried, now, 0.2)


def versions_picked(balancer: Balancer, tried: tuple[str, ...] = (), now: float = NOW) -> Counter[str]:
    return Counter(
        upstream.version for _ in range(1000) if (upstream := pick(balancer, tried, now)) is not None
    )


def test_trial_gets_its_share_of_first_attempts_and_no_retry() -> None:
    balancer = make_balancer()
    set_rule(balancer, RolloutPhase.TRIAL)
    assert 60 <= versions_picked(balancer)["v2"] <= 140
    assert versions_picked(balancer, tried=("v2-00",)) == {"v1": 1000}


def test_all_gateways_try_the_same_servers_in_every_region() -> None:
    chosen = set()
    for gateway in ("g1", "g2", "g3"):
        balancer = make_balancer(gateway)
        set_rule(balancer, RolloutPhase.TRIAL)
        pick(balancer)
        chosen.add(tuple(upstream.ident for upstream in balancer.versions.groups["saldo"].trial))
    [trial] = chosen
    assert len(trial) == 3  # the share of 30, so that each has the load that it would have in the end
    assert {balancer.upstreams[ident].region for ident in trial} == set(REGIONS)


@pytest.mark.parametrize(
    ("phase", "expected"),
    [
        (RolloutPhase.SHIFT, {"v2": 1000}),
        (RolloutPhase.COMPLETED, {"v2": 1000}),
        (RolloutPhase.REVERTED, {"v1": 1000}),
    ],
)
def test_one_version_serves_outside_the_trial(phase: RolloutPhase, expected: dict[str, int]) -> None:
    balancer = make_balancer()
    set_rule(balancer, phase)
    assert versions_picked(balancer) == expected


def test_gateway_out_of_touch_sends_nothing_to_an_unproven_version() -> None:
    """A frozen gateway woke up and went on sending requests to a bad version."""
    balancer = make_balancer()
    for phase in (RolloutPhase.TRIAL, RolloutPhase.SHIFT):
        set_rule(balancer, phase, 1.0)
        assert versions_picked(balancer, now=NOW + 2.0) == {"v1": 1000}
        assert balancer.versions.is_withdrawn(balancer.upstreams["v2-00"], NOW + 2.0)
        assert not balancer.versions.is_withdrawn(balancer.upstreams["v2-00"], NOW)


def test_reverted_version_gets_nothing_though_no_other_server_is_left() -> None:
    balancer = make_balancer(old=0)
    set_rule(balancer, RolloutPhase.REVERTED)
    assert pick(balancer) is None


def test_version_that_served_already_goes_on_while_it_is_ordered() -> None:
    """An order for the version that all servers run left most requests without a server."""
    balancer = make_balancer(old=0)
    for phase in (RolloutPhase.TRIAL, RolloutPhase.SHIFT, RolloutPhase.COMPLETED):
        set_rule(balancer, phase)
        for now in (NOW, NOW + 2.0):
            assert versions_picked(balancer, now=now) == {"v2": 1000}
            assert not balancer.versions.is_withdrawn(balancer.upstreams["v2-00"], now)
        assert versions_picked(balancer, tried=("v2-00",)) == {"v2": 1000}


def test_other_versions_serve_while_the_target_has_no_usable_server() -> None:
    balancer = make_balancer(new=0)
    for phase in (RolloutPhase.TRIAL, RolloutPhase.SHIFT, RolloutPhase.COMPLETED):
        set_rule(balancer, phase, 1.0)
        assert versions_picked(balancer) == {"v1": 1000}


def test_trial_keeps_to_the_limit_of_cold_servers() -> None:
    balancer = make_balancer(new=2)
    balancer.cold_limits["saldo"] = ColdLimit(3.0, 5.0)
    for ident in ("v2-00", "v2-01"):
        balancer.upstreams[ident].cold_until = NOW + 3.0
    set_rule(balancer, RolloutPhase.TRIAL, 1.0)
    for _ in range(200):
        upstream = pick(balancer)
        assert upstream is not None
        balancer.attempt_sent(upstream, NOW)
    sent = sum(balancer.upstreams[ident].in_flight for ident in ("v2-00", "v2-01"))
    assert 0 < sent <= 2 * balancer.cold_allowance(balancer.upstreams["v2-00"])


def test_callers_with_affinity_move_only_once_the_version_is_proven() -> None:
    balancer = make_balancer()
    old, new = balancer.upstreams["v1-00"], balancer.upstreams["v2-00"]
    accepts = balancer.versions.accepts_callers
    assert accepts(old, NOW) and accepts(new, NOW)  # no rollout
    for phase, expected in (
        (RolloutPhase.TRIAL, (True, False)),
        (RolloutPhase.SHIFT, (False, True)),
        (RolloutPhase.COMPLETED, (False, True)),
        (RolloutPhase.REVERTED, (True, False)),
    ):
        set_rule(balancer, phase)
        assert (accepts(old, NOW), accepts(new, NOW)) == expected
