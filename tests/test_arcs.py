"""Which servers each of many gateways sends to."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

import pytest

from barleyhub import interface as api
from barleyhub.fleet import MIN_GATEWAYS_PER_SERVER, SUBSET_SIZE
from tests.conftest import Bench


def fleet(servers: int, zones: int = 3) -> list[api.ServerEntry]:
    return [api.ServerEntry(f"s{n}", api.ServerState.ACTIVE, zone=f"z{n % zones}") for n in range(servers)]


def arcs(gateways: int, entries: list[api.ServerEntry]) -> list[list[api.ServerEntry]]:
    """The servers of each gateway, as each works them out by itself; the order of the list says nothing."""
    result = []
    for index in range(gateways):
        bench = Bench(seed=index, servers=0, counter=False, index=index, gateways=gateways)
        bench.listed(*(entries if index % 2 else entries[::-1]))
        result.append([server.entry for server in bench.gateway.subset])
    return result


@pytest.mark.parametrize(("gateways", "servers"), [(40, 60), (64, 60), (40, 600), (64, 24), (17, 61)])
def test_many_gateways_share_out_a_large_fleet_evenly(gateways: int, servers: int) -> None:
    """Forty that spread their few requests over all sixty open a connection for nearly each of them."""
    entries = fleet(servers)
    chosen = arcs(gateways, entries)
    sizes = {len(arc) for arc in chosen}
    assert len(sizes) == 1
    assert SUBSET_SIZE <= sizes.pop() <= max(SUBSET_SIZE, MIN_GATEWAYS_PER_SERVER * servers / gateways + 1)
    holders = Counter(entry.server for arc in chosen for entry in arc)
    mean = sum(holders.values()) / servers
    assert all(mean - 2 <= holders[entry.server] <= mean + 2 for entry in entries)
    for arc in chosen:
        zones = Counter(entry.zone for entry in arc)
        assert max(zones.values()) - min(zones.values()) <= 2


def test_neighbours_who_share_customers_share_few_servers() -> None:
    chosen = [{entry.server for entry in arc} for arc in arcs(40, fleet(60))]
    assert all(len(one & other) <= SUBSET_SIZE / 3 for one, other in pairwise(chosen))


@pytest.mark.parametrize("gateways", [1, 3, 4])
def test_few_gateways_use_every_server(gateways: int) -> None:
    entries = fleet(14)
    assert all(len(arc) == len(entries) for arc in arcs(gateways, entries))


def test_a_server_that_goes_moves_the_ends_of_an_arc_only() -> None:
    entries = fleet(60)
    for before, after in zip(arcs(40, entries), arcs(40, entries[1:]), strict=True):
        kept = {entry.server for entry in before} & {entry.server for entry in after}
        assert len(kept) >= SUBSET_SIZE - 4  # a zone's place and the ring's may each move by one at both ends


@pytest.mark.parametrize(("index", "gateways"), [(0, 0), (99, 40), (-1, 3), (5, 1)])
def test_numbers_that_can_not_be_are_borne(index: int, gateways: int) -> None:
    bench = Bench(servers=0, counter=False, index=index, gateways=gateways)
    bench.listed(*fleet(60, zones=1))
    assert len(bench.gateway.subset) >= SUBSET_SIZE
    assert isinstance(bench.ask()[0], api.Send)
    bench.listed()
    assert isinstance(bench.ask()[0], api.Refuse)
