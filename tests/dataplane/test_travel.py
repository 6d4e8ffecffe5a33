"""Three whole data planes without sockets, whose letters are carried by hand: what travels with a caller."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import patch

import msgspec
import pytest

from latchspoke.dataplane.travel import Travel
from latchspoke.membership.messages import Member
from tests.dataplane import player
from tests.dataplane.player import Player

PLACES = {"edge-1": ("waw-a", "mazowsze"), "edge-2": ("waw-b", "mazowsze"), "edge-3": ("krk-a", "malopolska")}
TRAVELS = {"whenLost": "refuse", "lookUpS": 0.1}
KEPT = {"callerFrom": ["tenant"], "exchangeS": 30}


def rules(**travels: Any) -> str:
    affinity = {**KEPT, "travels": {**TRAVELS, **travels}}
    found = [player.rule("read", "idempotent"), player.rule("book", "non_idempotent")]
    for rule in found:
        rule["actionSpec"]["affinity"] = affinity
    return msgspec.json.encode({"listenerList": [{"host": "shop", "ruleSet": found}]}).decode()


class Sites:
    """The gateways, with one clock between them as far as each step goes."""

    def __init__(self, **travels: Any) -> None:
        self.all: dict[str, Player] = {}
        self.cut: set[str] = set()
        self.mail: list[tuple[str, str, bytes]] = []
        for name, (zone, region) in PLACES.items():
            own = {"nodeName": name, "zone": zone, "region": region}
            with patch.dict(player.SETTINGS, own):
                one = self.all[name] = Player()
            for server in ("s1", "s2", "s3"):
                one.step(f"server {server}")
            one.step(f"orders {rules(**travels)}")
            assert one.node.travel is not None
            with patch.object(Travel, "post"):
                one.node.travel.live(self.members(), one.clock.now())
            one.node.travel.post = self.poster(name)  # type: ignore[method-assign]
            one.node.live = lambda: None  # type: ignore[method-assign]
        for _ in range(8):
            self.time(1.0)

    def members(self) -> dict[str, Member]:
        return {
            n: Member(n, "10.1.0.1", 7600, {"zone": zone, "region": region, "role": "edge"}, 0, "1")
            for n, (zone, region) in PLACES.items()
            if n not in self.cut
        }

    def poster(self, name: str) -> Any:
        def post(to: str, message: dict[str, Any]) -> None:
            if name not in self.cut and to not in self.cut:
                self.mail.append((name, to, msgspec.json.encode(message)))

        return post

    def carry(self) -> None:
        while self.mail:
            sender, to, data = self.mail.pop(0)
            travel = self.all[to].node.travel
            assert travel is not None
            travel.heard({"k": "w", "f": sender, "m": msgspec.json.decode(data)})

    def time(self, lasts: float) -> None:
        for one in self.all.values():
            one.step(f"time {lasts}")
            one.step("proof 0")
        self.carry()

    def do(self, name: str, *lines: str) -> None:
        for line in lines:
            self.all[name].step(line)
        self.carry()

    def up(self, name: str, link: str) -> str:
        """The connection to a server that has been dialled comes up; its address."""
        one = self.all[name]
        (host, port) = one.dialled[0][1]
        self.do(name, f"dial {link} {host}:{port}")
        return f"{host}:{port}"

    def written(self, name: str, link: str) -> str:
        """What was written there, taken."""
        transport = self.all[name].links[link]
        data, transport.written = transport.written.decode(), b""
        return data

    def served(self, name: str, ident: str, route: str = "book") -> str:
        """A request from its first byte to its answer; the address that served it."""
        self.do(name, f"open c-{ident}", f"ask c-{ident} {route} {ident}")
        address = self.up(name, f"t-{ident}")
        self.do(
            name, f"sent t-{ident} {route} {ident}", f"answer t-{ident} {ident}", f"got c-{ident} {ident}"
        )
        return address

    def told(self, name: str, ident: str, route: str = "book") -> str:
        """A request that goes nowhere, and its answer."""
        self.do(name, f"open c-{name}-{ident}", f"ask c-{name}-{ident} {route} {ident}")
        assert not self.all[name].dialled
        return self.written(name, f"c-{name}-{ident}")


@pytest.fixture
def sites() -> Sites:
    return Sites()


def where(sites: Sites, name: str) -> dict[str, Any]:
    travel = sites.all[name].node.travel
    assert travel is not None
    return travel.whereabouts("book", "acme", "acme")


def third(sites: Sites) -> str:
    told = where(sites, "edge-1")
    return next(name for name in PLACES if name not in (told["owner"], told["copy"]))


def test_nothing_is_sent_before_owner_and_copy_have_it_as_open(sites: Sites) -> None:
    site, told = third(sites), where(sites, "edge-1")
    sites.all[site].step("open c1")
    sites.all[site].step("ask c1 book b001")
    assert not sites.all[site].dialled
    sites.carry()
    assert len(sites.all[site].dialled) == 1
    for name in (told["owner"], told["copy"]):
        assert where(sites, name)["record"]["fate"] == "open"


def test_a_traveller_keeps_its_server_though_the_pool_changes(sites: Sites) -> None:
    address = sites.served("edge-1", "b001")
    for one in sites.all.values():
        for number in range(4, 60):
            one.step(f"server s{number}")
    for _ in range(6):  # their shares grow
        sites.time(1.0)
    assert {sites.served(name, f"b00{n}") for n, name in enumerate(PLACES, 2)} == {address}
    assert {sites.served(name, f"r00{n}", "read") for n, name in enumerate(PLACES, 2)} != set()


def test_what_ran_is_told_and_not_run_again(sites: Sites) -> None:
    sites.served("edge-1", "b001")
    answer = sites.told("edge-3", "b001")
    assert answer.startswith("HTTP/1.1 409") and "X-Exchange-State: run" in answer


def test_a_request_in_flight_at_the_old_site(sites: Sites) -> None:
    sites.do("edge-1", "open c1", "ask c1 book b001")
    sites.up("edge-1", "t1")
    sites.do("edge-1", "sent t1 book b001")
    answer = sites.told("edge-2", "b002")
    assert answer.startswith("HTTP/1.1 503") and "Retry-After" in answer
    sites.do("edge-1", "c1 eof")  # its caller is gone; the answer is for the record
    sites.do("edge-1", "answer t1 b001")
    assert "X-Exchange-State: run" in sites.told("edge-3", "b001")
    sites.served("edge-3", "b003")


def test_a_server_that_has_ended_leaves_an_unknown_that_is_told_once(sites: Sites) -> None:
    sites.do("edge-1", "open c1", "ask c1 book b001")
    address = sites.up("edge-1", "t1")
    sites.do("edge-1", "sent t1 book b001", "t1 reset")
    assert sites.written("edge-1", "c1").startswith("HTTP/1.1 502")
    for one in sites.all.values():
        one.step(f"server s{address[-1]} state=gone")
    sites.time(1.1)
    answer = sites.told("edge-3", "b002")
    assert answer.startswith("HTTP/1.1 409") and "X-Exchange-State: unknown\r\nX-Exchange: b001" in answer
    assert sites.served("edge-3", "b003") != address


def test_a_server_restarted_at_its_address_is_not_asked_for_the_one_before() -> None:
    sites = Sites(askPath="/fate/")
    sites.do("edge-1", "open c1", "ask c1 book b001")
    address = sites.up("edge-1", "t1")
    sites.do("edge-1", "sent t1 book b001", "t1 reset")
    for one in sites.all.values():
        one.step(f"server s{address[-1]} state=gone")
        one.step(f"server s9 address={address}")
    sites.time(1.1)
    answer = sites.told("edge-3", "b001")  # nobody is dialled
    assert answer.startswith("HTTP/1.1 409") and "X-Exchange-State: unknown" in answer
    sites.served("edge-3", "b002")


def test_a_server_is_asked_by_the_id_of_its_life_before_anything_is_sent_anew() -> None:
    sites = Sites(askPath="/fate/")
    sites.do("edge-1", "open c1", "ask c1 book b001")
    address = sites.up("edge-1", "t1")
    sites.do("edge-1", "sent t1 book b001", "t1 reset")
    sites.written("edge-1", "c1")
    sites.do("edge-3", "open c2", "ask c2 book b002")
    assert sites.up("edge-3", "t2") == address
    asked = sites.written("edge-3", "t2")
    assert asked.startswith("GET /fate/b001 HTTP/1.1") and f"X-Expected-Instance: s{address[-1]}" in asked
    assert "X-Tenant-Name: acme" in asked and "Authorization" not in asked
    ident = next(x for x in asked.split("\r\n") if x.startswith("X-Attempt-Id")).partition(": ")[2]
    head = f"HTTP/1.1 200 OK\\r\\nX-Attempt-Id: {ident}\\r\\nX-Server-Seal: s\\r\\nX-Exchange-State: not-run"
    sites.do("edge-3", f"t2 > {head}\\r\\nContent-Length: 0\\r\\n\\r\\n", "time 0.1")
    sites.up("edge-3", "t3") if sites.all["edge-3"].dialled else None
    link = next(
        n for n in ("t2", "t3") if n in sites.all["edge-3"].links and sites.all["edge-3"].links[n].written
    )
    sites.do("edge-3", f"sent {link} book b002", f"answer {link} b002", "got c2 b002")


def test_a_record_that_can_not_be_had_is_refused_or_goes_by_placement(sites: Sites) -> None:
    owner = where(sites, "edge-1")["owner"]
    site = next(name for name in PLACES if name != owner)
    sites.cut.add(owner)  # and nobody has seen it yet
    sites.do(site, "open c1", "ask c1 book b001", "open c2", "ask c2 read r001", "time 0.15")
    assert sites.written(site, "c1").startswith("HTTP/1.1 503")
    sites.up(site, "t2")
    sites.do(site, "sent t2 read r001", "answer t2 r001", "got c2 r001")


def test_a_site_that_stood_still_before_the_first_byte_sends_nothing(sites: Sites) -> None:
    sites.do("edge-1", "open c1", "ask c1 book b001")
    one = sites.all["edge-1"]
    one.clock.loop.now += 3.0  # no timer has been called
    (host, port) = one.dialled[0][1]
    sites.do("edge-1", f"dial t1 {host}:{port}")
    assert not sites.written("edge-1", "t1")


def test_an_operator_sees_and_moves_a_caller(sites: Sites) -> None:
    address = sites.served("edge-1", "b001")
    other = next(n for n in ("s1", "s2", "s3") if n[-1] != address[-1])
    travel = sites.all["edge-2"].node.travel
    assert travel is not None

    async def move(to: str) -> tuple[int, dict[str, Any]]:
        assert travel is not None
        task = asyncio.ensure_future(travel.move("book", "acme", "acme", to))
        for _ in range(10):
            await asyncio.sleep(0)
            sites.carry()
        return await task

    sites.do("edge-2", "server s8", "server s8 state=draining")
    status, told = asyncio.run(move("s8"))
    assert status == 400 and told["errorText"].endswith("gets no requests now: draining")
    status, told = asyncio.run(move(other))
    assert status == 200 and told["moved"]["life"] == other
    assert sites.served("edge-3", "b002")[-1] == other[-1]
    assert where(sites, where(sites, "edge-1")["owner"])["record"]["life"] == other


def test_a_route_that_does_not_ask_loads_and_changes_nothing() -> None:
    one = Player()
    assert one.node.travel is None
    assert not isinstance(one.node.core.gateway, Travel) and one.node.core.ports is one.node.ports
