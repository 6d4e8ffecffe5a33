"""Numbered changes: who has missed one asks for the whole, and nobody who follows ever goes back."""

from __future__ import annotations

import math
from random import Random
from typing import Any, cast

import msgspec
import pytest

from latchspoke.configuration.patch import apply_patch, diff
from latchspoke.distribution.board import Board, Follower, GapError, Lease, Message, Orders, Reader
from latchspoke.registry.registry import Registry, State, read_beat
from tests.configuration.documents import sample_document


def board() -> Board:
    return Board(Registry(1.5), difference=diff)  # type: ignore[arg-type]


def follower() -> Follower:
    return Follower(board(), apply_patch)  # type: ignore[arg-type]


def order(index: int, version: int, evacuated: str = "") -> Orders:
    """Each version has a key of its own."""
    doc = sample_document() | {"version": f"{version:08x}", "baseVersion": f"{version - 1:08x}"}
    doc["tenants"][1]["apiKeys"] = [f"k{version}"]
    return Orders(index, version, doc, frozenset(evacuated.split()))


def pipe(source: Board, packs: bool = False) -> list[Message]:
    """What a reader that joins now is sent."""
    sent: list[Message] = []
    source.join(Reader("g", sent.append, packs=packs), 0.0)
    return sent


def test_changes_travel_as_patches_and_each_number_once() -> None:
    source, gateway = board(), follower()
    sent = pipe(source)
    assert not sent, "there is nothing to tell yet"
    source.order(order(1, 1), 0.0)
    source.order(order(2, 2), 0.0)
    source.order(Orders(3, 2, source.orders.doc, frozenset({"a"})), 0.0)
    assert [message["k"] for message in sent] == ["whole", "orders", "orders"]
    assert "patch" in sent[1] and "doc" not in sent[2], "what is known isn't told again"
    assert [gateway.take(message, 0.0)[0] for message in sent] == [True] * 3
    assert gateway.board.orders == source.orders
    assert not source.order(order(2, 9), 0.0), "an older word is no news"


@pytest.mark.parametrize("seed", range(10))
def test_whatever_is_lost_or_told_by_whom_a_follower_gets_there_and_never_back(seed: int) -> None:
    """Two sources, one of them behind, and connections that lose messages or change at any time."""
    print(f"seed {seed}")
    draw = Random(seed)
    words = [order(i, (i + 2) // 2, draw.choice(["", "a", "a b"])) for i in range(1, 30)]
    sources = [board(), board()]
    gateway, seen = follower(), 0
    sent = pipe(sources[0])
    for i, word in enumerate(words):
        sources[0].order(word, 0.0)
        if i > 5:
            sources[1].order(words[i - 5], 0.0)
        if draw.random() < 0.3:
            gateway.begin()
            sent = pipe(draw.choice(sources))
        while sent:
            message = sent.pop(0)
            if draw.random() < 0.1:
                continue
            try:
                gateway.take(message, 0.0)
            except GapError:
                gateway.begin()
            assert gateway.board.orders.index >= seen, "CONFIG: it has gone back"
            seen = gateway.board.orders.index
            assert not seen or gateway.board.orders == words[seen - 1]
    gateway.begin()
    for message in pipe(sources[0]):
        gateway.take(message, 0.0)
    assert gateway.board.orders == words[-1]


def test_a_gap_and_a_patch_of_another_version_ask_for_the_whole() -> None:
    gateway = follower()
    gateway.board.order(order(1, 1), 0.0)
    with pytest.raises(GapError, match="change 3 after -1"):
        gateway.take({"k": "servers", "n": 3, "e": []}, 0.0)
    source = board()
    sent = pipe(source)
    for index in (2, 3, 4):
        source.order(order(index, index), 0.0)
    gateway.take(sent[0], 0.0)
    with pytest.raises(GapError, match=r"change \d after"):
        gateway.take(sent[2], 0.0)
    gateway.begin()
    gateway.take(sent[0], 0.0)
    gateway.board.order(order(9, 9), 0.0)
    with pytest.raises(GapError, match="of version"):
        gateway.take({**sent[1], "index": 10}, 0.0)


def test_a_server_that_the_source_does_not_know_has_ended_after_a_while() -> None:
    source, gateway = board(), follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a"}
    for ident, registry in (
        ("s1", source.registry),
        ("s1", gateway.board.registry),
        ("s2", gateway.board.registry),
    ):
        registry.heard(read_beat(ident, body, 0.0), 0.0)
    source.order(order(1, 1), 0.0)
    gateway.take(pipe(source)[0], 0.0)
    assert not gateway.forget(7.0, 8.0)
    (ended,) = gateway.forget(9.0, 8.0)
    assert (ended.ident, ended.state) == ("s2", State.GONE)


def test_what_is_overheard_counts_for_known_servers_and_hides_no_later_news() -> None:
    source, gateway = board(), follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a", "callSequence": 1}
    source.registry.heard(read_beat("s1", body, 0.0), 0.0)
    source.order(order(1, 1), 0.0)
    gateway.take(pipe(source)[0], 0.0)
    cold, _ = source.registry.heard(
        read_beat("s1", body | {"callSequence": 2, "coldRemainingS": 3}, 1.0), 1.0
    )
    (news,) = gateway.overheard([cold.wire(1.0)], 1.0)
    assert news.cold_until == pytest.approx(4.0, abs=0.01)
    assert not gateway.overheard([cold.wire(1.0)], 1.1)
    source.registry.heard(read_beat("s2", body, 1.0), 1.0)
    assert not gateway.overheard([source.registry.entries["s2"].wire(1.0)], 1.0)
    assert "s2" not in gateway.board.registry.entries


def test_a_control_machine_that_has_started_again_knows_nobody_and_nobody_ends_for_that() -> None:
    """RECOVER: found by the emulator, as the whole core lost power and the gateways did not."""
    source, gateway = board(), follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a", "callSequence": 1}
    gateway.board.registry.heard(read_beat("s1", body, 0.0), 0.0)
    source.order(order(1, 1), 0.0)
    told = pipe(source)
    gateway.take(told[0], 0.0)
    entry, _ = source.registry.heard(read_beat("s1", body | {"callSequence": 2}, 1.0), 1.0)
    source.servers([entry], 1.0)
    assert gateway.take(told[1], 1.0) == (False, []), "here it is no news"
    assert not gateway.forget(20.0, 8.0)
    assert gateway.board.registry.entries["s1"].state is State.READY


def test_an_acknowledgement_waits_for_those_who_have_not_the_orders() -> None:
    source = board()
    readers = [Reader(name, lambda message: None) for name in "ab"]
    for reader in readers:
        source.join(reader, 0.0)
    source.order(order(4, 1), 0.0)
    source.acknowledged(readers[0], 1, 4)
    assert source.behind(4) == 1
    source.acknowledged(readers[1], 1, 3)
    assert source.behind(4) == 1
    source.leave(readers[1])
    assert source.behind(4) == 0, "who is cut off is left to its lease"


def test_a_lease_counts_from_the_question_and_an_older_proof_shortens_nothing() -> None:
    lease = Lease(4.5)
    assert lease.until == -math.inf
    lease.proven(10.0)
    lease.proven(8.0)
    assert lease.until == 14.5


def test_who_comes_back_is_told_only_what_changed_and_large_documents_travel_deflated() -> None:
    big = [{"host": "h", "ruleSet": [large_rule(n) for n in range(60)]}]
    source = board()
    docs = {v: document(v, big, {"idleTimeoutS": 10 + v}) for v in (1, 2, 3)}
    for version, doc in docs.items():
        source.order(Orders(version, version, doc), 0.0)
    sizes = []
    for known in (0, 2, 3):
        told: list[Message] = []
        source.join(Reader("r", told.append, version=known), 0.0)
        mine = board()
        if known:
            mine.order(Orders(known, known, docs[known]), 0.0)
        Follower(mine, cast(Any, apply_patch)).take(msgspec.json.decode(msgspec.json.encode(told[0])), 0.0)
        assert mine.orders.doc is not None
        assert mine.orders.doc["limits"] == {"idleTimeoutS": 13}
        sizes.append(len(msgspec.json.encode(told[0])))
    assert sizes[0] < len(msgspec.json.encode(docs[3])) / 4, "deflated"
    assert sizes[1] < 400 and sizes[2] < 200
    spoilt = {"k": "whole", "n": 1, "index": 9, "version": 9, "evac": [], "e": [], "docz": "eJwDAA=="}
    with pytest.raises(ValueError, match="doc can't be read"):
        follower().take(spoilt, 0.0)


def large_rule(number: int) -> dict[str, Any]:
    action = {"service": "s", "timeoutS": 2, "maxAttempts": 2, "homeRegions": []}
    return {
        "name": f"r{number}", "routeKind": "idempotent", "targetLatencyS": 0.4,
        "matchCriteria": {"pathPrefix": f"/p{number}/"}, "actionSpec": action,
    }  # fmt: skip


def document(version: int, listeners: list[Any], limits: dict[str, Any]) -> dict[str, Any]:
    return {
        "version": f"{version:08x}", "listenerList": listeners, "clusterList": [{"name": "s"}],
        "limits": limits,
    }  # fmt: skip


def test_many_servers_travel_deflated_to_who_can_read_that() -> None:
    for packs in (True, False):
        source, gateway = board(), follower()
        body: Any = {"service": "p", "address": "h:1", "zone": "a"}
        for number in range(60):
            source.registry.heard(read_beat(f"s{number}", body, 0.0), 0.0)
        source.order(order(1, 1), 0.0)
        reader = pipe(source, packs)
        (whole,) = [message for message in reader if message["k"] == "whole"]
        assert ("ez" in whole, "e" in whole) == (packs, not packs)
        gateway.take(whole, 0.0)
        assert len(gateway.board.registry.entries) == 60 and not gateway.stale_since
        with pytest.raises(ValueError):
            gateway.take({**whole, "ez": "junk"}, 0.0)


def test_news_of_many_servers_travels_deflated_to_who_can_read_that() -> None:
    body: Any = {"service": "p", "address": "h:1", "zone": "a"}
    source, packing, plain = board(), follower(), follower()
    source.order(order(1, 1), 0.0)
    readers = pipe(source, packs=True), pipe(source)
    new = [source.registry.heard(read_beat(f"s{number}", body, 0.0), 0.0)[0] for number in range(60)]
    source.servers(new, 0.0)
    for reader, gateway, field in zip(readers, (packing, plain), ("ez", "e"), strict=True):
        assert field in reader[-1] and reader[-1]["n"] == source.number
        for message in reader:
            gateway.take(message, 0.0)
        assert len(gateway.board.registry.entries) == 60


def test_news_that_nobody_follows_is_numbered_all_the_same() -> None:
    source = board()
    entry, _ = source.registry.heard(
        read_beat("s1", cast(Any, {"service": "p", "address": "h:1", "zone": "a"}), 0.0), 0.0
    )
    before = source.number
    source.servers([entry], 0.0)
    source.servers([], 0.0)
    assert source.number == before + 1


def test_readers_who_come_back_together_share_what_is_packed_for_them() -> None:
    packs: list[int] = []

    class Counting(Board):
        def pack_change(self, version: int, doc: Any) -> Message:
            packs.append(version)
            return super().pack_change(version, doc)

    source = Counting(Registry(1.5), difference=diff)  # type: ignore[arg-type]
    source.order(order(1, 1), 0.0)
    source.order(order(2, 2), 0.0)
    for version in (0, 0, 1, 1, 1, 77, 2):
        source.join(Reader("g", lambda message: None, version=version), 0.0)
    assert packs == [0, 1], "a version that is not kept gets the whole, the newest nothing"
    source.order(order(3, 3), 0.0)
    assert packs == [0, 1, 2], "for those who follow"
