"""Numbered changes: who has missed one asks for the whole, and nobody who follows ever goes back."""

from __future__ import annotations

import math
from random import Random
from typing import Any, cast

import msgspec
import pytest

from latchspoke.configuration.patch import apply_patch, diff
from latchspoke.distribution.published_state import (
    CommittedState,
    Follower,
    GapError,
    Lease,
    Message,
    PublishedState,
    Subscriber,
)
from latchspoke.registry.registry import Registry, State, parse_heartbeat
from tests.configuration.drawn import page


def board() -> PublishedState:
    return PublishedState(Registry(1.5), diff_documents=diff)  # type: ignore[arg-type]


def follower() -> Follower:
    return Follower(board(), apply_patch)  # type: ignore[arg-type]


def order(index: int, version: int, evacuated: str = "") -> CommittedState:
    """Each version has a key of its own."""
    doc = page() | {"version": f"{version:08x}", "baseVersion": f"{version - 1:08x}"}
    doc["tenants"][1]["apiKeys"] = [f"k{version}"]
    return CommittedState(index, version, doc, frozenset(evacuated.split()))


def pipe(source: PublishedState, packs: bool = False) -> list[Message]:
    """What a reader that joins now is sent."""
    sent: list[Message] = []
    source.add_subscriber(Subscriber("g", sent.append, supports_compression=packs), 0.0)
    return sent


def test_changes_travel_as_patches_and_each_number_once() -> None:
    source, gateway = board(), follower()
    sent = pipe(source)
    assert not sent, "there is nothing to tell yet"
    source.update_committed(order(1, 1), 0.0)
    source.update_committed(order(2, 2), 0.0)
    source.update_committed(CommittedState(3, 2, source.committed.document, frozenset({"a"})), 0.0)
    assert [message["k"] for message in sent] == ["whole", "orders", "orders"]
    assert "patch" in sent[1] and "doc" not in sent[2], "what is known isn't told again"
    assert [gateway.apply(message, 0.0)[0] for message in sent] == [True] * 3
    assert gateway.published_state.committed == source.committed
    assert not source.update_committed(order(2, 9), 0.0), "an older word is no news"


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
        sources[0].update_committed(word, 0.0)
        if i > 5:
            sources[1].update_committed(words[i - 5], 0.0)
        if draw.random() < 0.3:
            gateway.reset_sequence()
            sent = pipe(draw.choice(sources))
        while sent:
            message = sent.pop(0)
            if draw.random() < 0.1:
                continue
            try:
                gateway.apply(message, 0.0)
            except GapError:
                gateway.reset_sequence()
            assert gateway.published_state.committed.index >= seen, "CONFIG: it has gone back"
            seen = gateway.published_state.committed.index
            assert not seen or gateway.published_state.committed == words[seen - 1]
    gateway.reset_sequence()
    for message in pipe(sources[0]):
        gateway.apply(message, 0.0)
    assert gateway.published_state.committed == words[-1]


def test_a_gap_and_a_patch_of_another_version_ask_for_the_whole() -> None:
    gateway = follower()
    gateway.published_state.update_committed(order(1, 1), 0.0)
    with pytest.raises(GapError, match="change 3 after -1"):
        gateway.apply({"k": "servers", "n": 3, "e": []}, 0.0)
    source = board()
    sent = pipe(source)
    for index in (2, 3, 4):
        source.update_committed(order(index, index), 0.0)
    gateway.apply(sent[0], 0.0)
    with pytest.raises(GapError, match=r"change \d after"):
        gateway.apply(sent[2], 0.0)
    gateway.reset_sequence()
    gateway.apply(sent[0], 0.0)
    gateway.published_state.update_committed(order(9, 9), 0.0)
    with pytest.raises(GapError, match="patch for version"):
        gateway.apply({**sent[1], "index": 10}, 0.0)


def test_a_server_that_the_source_does_not_know_has_ended_after_a_while() -> None:
    source, gateway = board(), follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a"}
    for ident, registry in (
        ("s1", source.registry),
        ("s1", gateway.published_state.registry),
        ("s2", gateway.published_state.registry),
    ):
        registry.update(parse_heartbeat(ident, body, 0.0), 0.0)
    source.update_committed(order(1, 1), 0.0)
    gateway.apply(pipe(source)[0], 0.0)
    assert not gateway.expire_missing(7.0, 8.0)
    (ended,) = gateway.expire_missing(9.0, 8.0)
    assert (ended.instance_id, ended.state) == ("s2", State.GONE)


def test_what_is_overheard_counts_for_known_servers_and_hides_no_later_news() -> None:
    source, gateway = board(), follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a", "callSequence": 1}
    source.registry.update(parse_heartbeat("s1", body, 0.0), 0.0)
    source.update_committed(order(1, 1), 0.0)
    gateway.apply(pipe(source)[0], 0.0)
    cold, _ = source.registry.update(
        parse_heartbeat("s1", body | {"callSequence": 2, "coldRemainingS": 3}, 1.0), 1.0
    )
    (news,) = gateway.apply_broadcast([cold.to_message(1.0)], 1.0)
    assert news.cold_until == pytest.approx(4.0, abs=0.01)
    assert not gateway.apply_broadcast([cold.to_message(1.0)], 1.1)
    source.registry.update(parse_heartbeat("s2", body, 1.0), 1.0)
    assert not gateway.apply_broadcast([source.registry.entries["s2"].to_message(1.0)], 1.0)
    assert "s2" not in gateway.published_state.registry.entries


def test_a_control_machine_that_has_started_again_knows_nobody_and_nobody_ends_for_that() -> None:
    """RECOVER: found by the emulator, as the whole core lost power and the gateways did not."""
    source, gateway = board(), follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a", "callSequence": 1}
    gateway.published_state.registry.update(parse_heartbeat("s1", body, 0.0), 0.0)
    source.update_committed(order(1, 1), 0.0)
    told = pipe(source)
    gateway.apply(told[0], 0.0)
    entry, _ = source.registry.update(parse_heartbeat("s1", body | {"callSequence": 2}, 1.0), 1.0)
    source.publish_entries([entry], 1.0)
    assert gateway.apply(told[1], 1.0) == (False, []), "here it is no news"
    assert not gateway.expire_missing(20.0, 8.0)
    assert gateway.published_state.registry.entries["s1"].state is State.READY


def test_an_acknowledgement_waits_for_those_who_have_not_the_orders() -> None:
    source = board()
    readers = [Subscriber(name, lambda message: None) for name in "ab"]
    for reader in readers:
        source.add_subscriber(reader, 0.0)
    source.update_committed(order(4, 1), 0.0)
    source.record_acknowledgement(readers[0], 1, 4)
    assert source.count_behind(4) == 1
    source.record_acknowledgement(readers[1], 1, 3)
    assert source.count_behind(4) == 1
    source.remove_subscriber(readers[1])
    assert source.count_behind(4) == 0, "who is cut off is left to its lease"


def test_a_lease_counts_from_the_question_and_an_older_proof_shortens_nothing() -> None:
    lease = Lease(4.5)
    assert lease.expires_at == -math.inf
    lease.renew(10.0)
    lease.renew(8.0)
    assert lease.expires_at == 14.5


def test_who_comes_back_is_told_only_what_changed_and_large_documents_travel_deflated() -> None:
    big = [{"host": "h", "ruleSet": [large_rule(n) for n in range(60)]}]
    source = board()
    docs = {v: document(v, big, {"idleTimeoutS": 10 + v}) for v in (1, 2, 3)}
    for version, doc in docs.items():
        source.update_committed(CommittedState(version, version, doc), 0.0)
    sizes = []
    for known in (0, 2, 3):
        told: list[Message] = []
        source.add_subscriber(Subscriber("r", told.append, version=known), 0.0)
        mine = board()
        if known:
            mine.update_committed(CommittedState(known, known, docs[known]), 0.0)
        Follower(mine, cast(Any, apply_patch)).apply(msgspec.json.decode(msgspec.json.encode(told[0])), 0.0)
        assert mine.committed.document is not None
        assert mine.committed.document["limits"] == {"idleTimeoutS": 13}
        sizes.append(len(msgspec.json.encode(told[0])))
    assert sizes[0] < len(msgspec.json.encode(docs[3])) / 4, "deflated"
    assert sizes[1] < 400 and sizes[2] < 200
    spoilt = {"k": "whole", "n": 1, "index": 9, "version": 9, "evac": [], "e": [], "docz": "eJwDAA=="}
    with pytest.raises(ValueError, match="doc can't be read"):
        follower().apply(spoilt, 0.0)


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
            source.registry.update(parse_heartbeat(f"s{number}", body, 0.0), 0.0)
        source.update_committed(order(1, 1), 0.0)
        reader = pipe(source, packs)
        (whole,) = [message for message in reader if message["k"] == "whole"]
        assert ("ez" in whole, "e" in whole) == (packs, not packs)
        gateway.apply(whole, 0.0)
        assert len(gateway.published_state.registry.entries) == 60 and not gateway.missing_since
        with pytest.raises(ValueError):
            gateway.apply({**whole, "ez": "junk"}, 0.0)


def test_news_of_many_servers_travels_deflated_to_who_can_read_that() -> None:
    body: Any = {"service": "p", "address": "h:1", "zone": "a"}
    source, packing, plain = board(), follower(), follower()
    source.update_committed(order(1, 1), 0.0)
    readers = pipe(source, packs=True), pipe(source)
    new = [source.registry.update(parse_heartbeat(f"s{number}", body, 0.0), 0.0)[0] for number in range(60)]
    source.publish_entries(new, 0.0)
    for reader, gateway, field in zip(readers, (packing, plain), ("ez", "e"), strict=True):
        assert field in reader[-1] and reader[-1]["n"] == source.sequence_number
        for message in reader:
            gateway.apply(message, 0.0)
        assert len(gateway.published_state.registry.entries) == 60


def test_news_that_nobody_follows_is_numbered_all_the_same() -> None:
    source = board()
    entry, _ = source.registry.update(
        parse_heartbeat("s1", cast(Any, {"service": "p", "address": "h:1", "zone": "a"}), 0.0), 0.0
    )
    before = source.sequence_number
    source.publish_entries([entry], 0.0)
    source.publish_entries([], 0.0)
    assert source.sequence_number == before + 1


def test_readers_who_come_back_together_share_what_is_packed_for_them() -> None:
    packs: list[int] = []

    class Counting(PublishedState):
        def encode_document_update(self, version: int, doc: Any) -> Message:
            packs.append(version)
            return super().encode_document_update(version, doc)

    source = Counting(Registry(1.5), diff_documents=diff)  # type: ignore[arg-type]
    source.update_committed(order(1, 1), 0.0)
    source.update_committed(order(2, 2), 0.0)
    for version in (0, 0, 1, 1, 1, 77, 2):
        source.add_subscriber(Subscriber("g", lambda message: None, version=version), 0.0)
    assert packs == [0, 1], "a version that is not kept gets the whole, the newest nothing"
    source.update_committed(order(3, 3), 0.0)
    assert packs == [0, 1, 2], "for those who follow"
