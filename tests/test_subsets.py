"""The subset of servers that each gateway sends to."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

import pytest

from barleyhub import interface as api
from barleyhub.fleet import MIN_GATEWAYS_PER_SERVER, SUBSET_SIZE
from tests.conftest import Bench


def server_entries(servers: int, zones: int = 3) -> list[api.ServerEntry]:
    return [api.ServerEntry(f"s{n}", api.ServerState.ACTIVE, zone=f"z{n % zones}") for n in range(servers)]


def subsets(gateways: int, entries: list[api.ServerEntry]) -> list[list[api.ServerEntry]]:
    """The subset that each gateway computes by itself, whatever the order of the server list."""
    result = []
    for index in range(gateways):
        bench = Bench(seed=index, servers=0, counter=False, index=index, gateways=gateways)
        bench.update_servers(*(entries if index % 2 else entries[::-1]))
        result.append([server.entry for server in bench.gateway.subset])
    return result


@pytest.mark.parametrize(("gateways", "servers"), [(40, 60), (64, 60), (40, 600), (64, 24), (17, 61)])
def test_many_gateways_spread_evenly_over_a_large_fleet(gateways: int, servers: int) -> None:
    """With all servers in every subset, nearly each request of a small gateway would open a connection."""
    entries = server_entries(servers)
    chosen = subsets(gateways, entries)
    sizes = {len(subset) for subset in chosen}
    assert len(sizes) == 1
    assert SUBSET_SIZE <= sizes.pop() <= max(SUBSET_SIZE, MIN_GATEWAYS_PER_SERVER * servers / gateways + 1)
    gateways_by_server = Counter(entry.server for subset in chosen for entry in subset)
    mean = sum(gateways_by_server.values()) / servers
    assert all(mean - 2 <= gateways_by_server[entry.server] <= mean + 2 for entry in entries)
    for subset in chosen:
        zones = Counter(entry.zone for entry in subset)
        assert max(zones.values()) - min(zones.values()) <= 2


def test_gateways_of_neighbouring_indexes_share_few_servers() -> None:
    chosen = [{entry.server for entry in subset} for subset in subsets(40, server_entries(60))]
    assert all(len(first & second) <= SUBSET_SIZE / 3 for first, second in pairwise(chosen))


@pytest.mark.parametrize("gateways", [1, 3, 4])
def test_few_gateways_use_every_server(gateways: int) -> None:
    entries = server_entries(14)
    assert all(len(subset) == len(entries) for subset in subsets(gateways, entries))


def test_removing_a_server_changes_little_of_each_subset() -> None:
    entries = server_entries(60)
    for before, after in zip(subsets(40, entries), subsets(40, entries[1:]), strict=True):
        kept = {entry.server for entry in before} & {entry.server for entry in after}
        assert len(kept) >= SUBSET_SIZE - 4  # two places at each end: by the zone's order and the ring's


@pytest.mark.parametrize(("index", "gateways"), [(0, 0), (99, 40), (-1, 3), (5, 1)])
def test_invalid_gateway_indexes_and_counts_do_not_fail(index: int, gateways: int) -> None:
    bench = Bench(servers=0, counter=False, index=index, gateways=gateways)
    bench.update_servers(*server_entries(60, zones=1))
    assert len(bench.gateway.subset) >= SUBSET_SIZE
    assert isinstance(bench.ask()[0], api.Send)
    bench.update_servers()
    assert isinstance(bench.ask()[0], api.Refuse)
