"""Published state: numbered changes, gaps, and followers that never go back."""

from __future__ import annotations

import math
from random import Random
from typing import Any, cast

import msgspec
import pytest

from latchspoke.configuration.patch import apply_patch, diff
from latchspoke.distribution.document_updates import DocumentUpdates, update_size
from latchspoke.distribution.past_documents import PastDocuments, unshared_size
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
from tests.configuration.documents import sample_document


def make_state() -> PublishedState:
    return PublishedState(Registry(1.5), DocumentUpdates(diff))  # type: ignore[arg-type]


def make_follower() -> Follower:
    return Follower(make_state(), apply_patch)  # type: ignore[arg-type]


def make_committed(index: int, version: int, evacuated: str = "") -> CommittedState:
    """Committed state with a document that has its own API key per version."""
    doc = sample_document() | {"version": f"{version:08x}", "baseVersion": f"{version - 1:08x}"}
    doc["tenants"][1]["apiKeys"] = [f"k{version}"]
    return CommittedState(index, version, doc, frozenset(evacuated.split()))


def subscribe(source: PublishedState, supports_compression: bool = False) -> list[Message]:
    """The list that receives the messages of a new subscriber."""
    sent: list[Message] = []
    source.add_subscriber(Subscriber("g", sent.append, supports_compression=supports_compression), 0.0)
    return sent


def test_changes_are_sent_as_patches_and_applied_in_sequence() -> None:
    source, gateway = make_state(), make_follower()
    sent = subscribe(source)
    assert not sent, "no committed state yet"
    source.update_committed(make_committed(1, 1), 0.0)
    source.update_committed(make_committed(2, 2), 0.0)
    source.update_committed(CommittedState(3, 2, source.committed.document, frozenset({"a"})), 0.0)
    assert [message["k"] for message in sent] == ["whole", "orders", "orders"]
    assert "patch" in sent[1] and "doc" not in sent[2], "the document is not sent again"
    assert [gateway.apply(message, 0.0)[0] for message in sent] == [True] * 3
    assert gateway.published_state.committed == source.committed
    assert not source.update_committed(make_committed(2, 9), 0.0), "older state is ignored"


@pytest.mark.parametrize("seed", range(10))
def test_follower_converges_and_never_goes_back_despite_losses_and_source_changes(seed: int) -> None:
    """With two sources, one of them behind, lost messages and reconnects at any time."""
    print(f"seed {seed}")
    rng = Random(seed)
    states = [make_committed(i, (i + 2) // 2, rng.choice(["", "a", "a b"])) for i in range(1, 30)]
    sources = [make_state(), make_state()]
    gateway, applied_index = make_follower(), 0
    sent = subscribe(sources[0])
    for position, state in enumerate(states):
        sources[0].update_committed(state, 0.0)
        if position > 5:
            sources[1].update_committed(states[position - 5], 0.0)
        if rng.random() < 0.3:
            gateway.reset_sequence()
            sent = subscribe(rng.choice(sources))
        while sent:
            message = sent.pop(0)
            if rng.random() < 0.1:
                continue
            try:
                gateway.apply(message, 0.0)
            except GapError:
                gateway.reset_sequence()
            assert gateway.published_state.committed.index >= applied_index, "CONFIG: the follower went back"
            applied_index = gateway.published_state.committed.index
            assert not applied_index or gateway.published_state.committed == states[applied_index - 1]
    gateway.reset_sequence()
    for message in subscribe(sources[0]):
        gateway.apply(message, 0.0)
    assert gateway.published_state.committed == states[-1]


def test_gap_or_patch_with_another_base_raises_gap_error() -> None:
    gateway = make_follower()
    gateway.published_state.update_committed(make_committed(1, 1), 0.0)
    with pytest.raises(GapError, match="change 3 after -1"):
        gateway.apply({"k": "servers", "n": 3, "e": []}, 0.0)
    source = make_state()
    sent = subscribe(source)
    for index in (2, 3, 4):
        source.update_committed(make_committed(index, index), 0.0)
    gateway.apply(sent[0], 0.0)
    with pytest.raises(GapError, match=r"change \d after"):
        gateway.apply(sent[2], 0.0)
    gateway.reset_sequence()
    gateway.apply(sent[0], 0.0)
    gateway.published_state.update_committed(make_committed(9, 9), 0.0)
    with pytest.raises(GapError, match="patch for version"):
        gateway.apply({**sent[1], "index": 10}, 0.0)


def test_server_missing_from_the_snapshot_expires() -> None:
    source, gateway = make_state(), make_follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a"}
    for ident, registry in (
        ("s1", source.registry),
        ("s1", gateway.published_state.registry),
        ("s2", gateway.published_state.registry),
    ):
        registry.update(parse_heartbeat(ident, body, 0.0), 0.0)
    source.update_committed(make_committed(1, 1), 0.0)
    gateway.apply(subscribe(source)[0], 0.0)
    assert not gateway.expire_missing(7.0, 8.0)
    (ended,) = gateway.expire_missing(9.0, 8.0)
    assert (ended.instance_id, ended.state) == ("s2", State.GONE)


def test_broadcast_applies_to_known_servers_only() -> None:
    source, gateway = make_state(), make_follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a", "callSequence": 1}
    source.registry.update(parse_heartbeat("s1", body, 0.0), 0.0)
    source.update_committed(make_committed(1, 1), 0.0)
    gateway.apply(subscribe(source)[0], 0.0)
    cold_entry, _ = source.registry.update(
        parse_heartbeat("s1", body | {"callSequence": 2, "coldRemainingS": 3}, 1.0), 1.0
    )
    (changed,) = gateway.apply_broadcast([cold_entry.to_message(1.0)], 1.0)
    assert changed.cold_until == pytest.approx(4.0, abs=0.01)
    assert not gateway.apply_broadcast([cold_entry.to_message(1.0)], 1.1)
    source.registry.update(parse_heartbeat("s2", body, 1.0), 1.0)
    assert not gateway.apply_broadcast([source.registry.entries["s2"].to_message(1.0)], 1.0)
    assert "s2" not in gateway.published_state.registry.entries


def test_servers_survive_a_restarted_source() -> None:
    """RECOVER: all control-plane nodes lost power, and gateways dropped servers they still knew."""
    source, gateway = make_state(), make_follower()
    body: Any = {"service": "p", "address": "h:1", "zone": "a", "callSequence": 1}
    gateway.published_state.registry.update(parse_heartbeat("s1", body, 0.0), 0.0)
    source.update_committed(make_committed(1, 1), 0.0)
    messages = subscribe(source)
    gateway.apply(messages[0], 0.0)
    entry, _ = source.registry.update(parse_heartbeat("s1", body | {"callSequence": 2}, 1.0), 1.0)
    source.publish_entries([entry], 1.0)
    assert gateway.apply(messages[1], 1.0) == (False, []), "no change here"
    assert not gateway.expire_missing(20.0, 8.0)
    assert gateway.published_state.registry.entries["s1"].state is State.READY


def test_count_behind_counts_subscribers_without_the_index() -> None:
    source = make_state()
    subscribers = [Subscriber(name, lambda message: None) for name in "ab"]
    for subscriber in subscribers:
        source.add_subscriber(subscriber, 0.0)
    source.update_committed(make_committed(4, 1), 0.0)
    source.record_acknowledgement(subscribers[0], 1, 4)
    assert source.count_behind(4) == 1
    source.record_acknowledgement(subscribers[1], 1, 3)
    assert source.count_behind(4) == 1
    source.remove_subscriber(subscribers[1])
    assert source.count_behind(4) == 0, "disconnected subscribers are not waited for"


def test_lease_starts_at_the_request_and_older_proofs_do_not_shorten_it() -> None:
    lease = Lease(4.5)
    assert lease.expires_at == -math.inf
    lease.renew(10.0)
    lease.renew(8.0)
    assert lease.expires_at == 14.5


def test_reconnecting_subscriber_gets_a_patch_and_large_documents_are_compressed() -> None:
    listeners = [{"host": "h", "ruleSet": [large_rule(n) for n in range(60)]}]
    source = make_state()
    documents = {
        version: document(version, listeners, {"idleTimeoutS": 10 + version}) for version in (1, 2, 3)
    }
    for version, doc in documents.items():
        source.update_committed(CommittedState(version, version, doc), 0.0)
    sizes = []
    for known_version in (0, 2, 3):
        messages: list[Message] = []
        source.add_subscriber(Subscriber("r", messages.append, version=known_version), 0.0)
        local_state = make_state()
        if known_version:
            local_state.update_committed(
                CommittedState(known_version, known_version, documents[known_version]), 0.0
            )
        Follower(local_state, cast(Any, apply_patch)).apply(
            msgspec.json.decode(msgspec.json.encode(messages[0])), 0.0
        )
        assert local_state.committed.document is not None
        assert local_state.committed.document["limits"] == {"idleTimeoutS": 13}
        sizes.append(len(msgspec.json.encode(messages[0])))
    assert sizes[0] < len(msgspec.json.encode(documents[3])) / 4, "compressed"
    assert sizes[1] < 400 and sizes[2] < 200
    malformed = {"k": "whole", "n": 1, "index": 9, "version": 9, "evac": [], "e": [], "docz": "eJwDAA=="}
    with pytest.raises(ValueError, match="doc can't be read"):
        make_follower().apply(malformed, 0.0)


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


def test_servers_of_a_snapshot_are_compressed_if_supported() -> None:
    for supports_compression in (True, False):
        source, gateway = make_state(), make_follower()
        body: Any = {"service": "p", "address": "h:1", "zone": "a"}
        for number in range(60):
            source.registry.update(parse_heartbeat(f"s{number}", body, 0.0), 0.0)
        source.update_committed(make_committed(1, 1), 0.0)
        messages = subscribe(source, supports_compression)
        (whole,) = [message for message in messages if message["k"] == "whole"]
        assert ("ez" in whole, "e" in whole) == (supports_compression, not supports_compression)
        gateway.apply(whole, 0.0)
        assert len(gateway.published_state.registry.entries) == 60 and not gateway.missing_since
        with pytest.raises(ValueError):
            gateway.apply({**whole, "ez": "junk"}, 0.0)


def test_server_changes_are_compressed_if_supported() -> None:
    body: Any = {"service": "p", "address": "h:1", "zone": "a"}
    source, compressing, plain = make_state(), make_follower(), make_follower()
    source.update_committed(make_committed(1, 1), 0.0)
    received = subscribe(source, supports_compression=True), subscribe(source)
    entries = [
        source.registry.update(parse_heartbeat(f"s{number}", body, 0.0), 0.0)[0] for number in range(60)
    ]
    source.publish_entries(entries, 0.0)
    for messages, gateway, field in zip(received, (compressing, plain), ("ez", "e"), strict=True):
        assert field in messages[-1] and messages[-1]["n"] == source.sequence_number
        for message in messages:
            gateway.apply(message, 0.0)
        assert len(gateway.published_state.registry.entries) == 60


def test_changes_without_subscribers_are_numbered() -> None:
    source = make_state()
    entry, _ = source.registry.update(
        parse_heartbeat("s1", cast(Any, {"service": "p", "address": "h:1", "zone": "a"}), 0.0), 0.0
    )
    before = source.sequence_number
    source.publish_entries([entry], 0.0)
    source.publish_entries([], 0.0)
    assert source.sequence_number == before + 1


def test_reconnecting_subscribers_share_encoded_updates() -> None:
    encoded_versions: list[int] = []

    class CountingUpdates(DocumentUpdates):
        def encode(self, base_version: int, base: Any, document: Any) -> Message:
            encoded_versions.append(base_version)
            return super().encode(base_version, base, document)

    source = PublishedState(Registry(1.5), CountingUpdates(diff))  # type: ignore[arg-type]
    source.update_committed(make_committed(1, 1), 0.0)
    source.update_committed(make_committed(2, 2), 0.0)
    for version in (0, 0, 1, 1, 1, 77, 2):
        source.add_subscriber(Subscriber("g", lambda message: None, version=version), 0.0)
    assert encoded_versions == [0, 1], "an unknown version gets the document, the newest nothing"
    source.update_committed(make_committed(3, 3), 0.0)
    assert encoded_versions == [0, 1, 2], "the update for the subscribers"


def make_large_document(version: int, tenants: int) -> Any:
    """A document that shares nothing with another version."""
    document = sample_document() | {"version": f"{version:08x}", "baseVersion": f"{version - 1:08x}"}
    document["tenants"] = [
        {"name": f"t{n}", "apiKeys": [f"k{n}"], "priority": 1, "ratePerS": version, "burstSize": 9}
        for n in range(tenants)
    ]
    return document


def test_past_documents_are_bounded_by_their_memory() -> None:
    """Fault (review/6): 30 whole documents were kept, and control machines went over their memory."""
    document_bytes = unshared_size(make_large_document(1, 2000), {})
    source, gateway = make_state(), make_follower()
    source.document_updates = DocumentUpdates(diff, int(2.5 * document_bytes))  # type: ignore[arg-type]
    sent = subscribe(source)
    for version in range(1, 12):
        source.update_committed(CommittedState(version, version, make_large_document(version, 2000)), 0.0)
    past = source.document_updates.past
    assert list(past.past) == [9, 10] and past.unshared_bytes <= past.memory_bytes
    source.document_updates.past = past = PastDocuments(document_bytes // 2)
    past.replace_current(11, source.committed.document)  # type: ignore[arg-type]
    source.update_committed(CommittedState(12, 12, make_large_document(12, 2000)), 0.0)
    assert not past.past, "a single one is larger than all may be"
    assert "patchz" in sent[-1] or "docz" in sent[-1]
    for message in sent:
        gateway.apply(message, 0.0)
    assert gateway.published_state.committed == source.committed


def test_past_documents_made_by_patches_count_what_they_do_not_share() -> None:
    """Many small changes of a large configuration must still reach those that missed some as patches."""
    document = make_large_document(1, 2000)
    past = PastDocuments(unshared_size(document, {}) // 2)
    for version in range(1, 50):
        past.replace_current(version, document)
        change = {"version": f"{version + 1:08x}", "upsert": {"tenants": [document["tenants"][version]]}}
        document = apply_patch(document, change)
    assert len(past.past) == 30 and past.get(48) is not None and past.get(2) is None


def test_updates_for_many_versions_are_bounded_by_their_memory() -> None:
    """Each subscriber's version had its own encoded update, up to 31 of them."""
    documents = {version: make_large_document(version, 500) for version in range(1, 12)}
    updates = DocumentUpdates(diff, 10**9)  # type: ignore[arg-type]
    for version, document in documents.items():
        updates.past.replace_current(version, document)
    sizes = [update_size(updates.update_from(version, 11, documents[11])) for version in range(1, 11)]
    assert updates.held_bytes == sum(sizes)
    updates.memory_bytes = 3 * max(sizes)
    updates.clear()
    for version in range(1, 11):
        updates.update_from(version, 11, documents[11])
        assert updates.held_bytes <= updates.memory_bytes


def test_snapshot_on_its_way_is_not_sent_again() -> None:
    """After a gap each further change asked for a snapshot, and each request was answered with one."""
    source = make_state()
    sent: list[Message] = []
    source.update_committed(make_committed(1, 1), 0.0)
    subscriber = Subscriber("g", sent.append)
    source.add_subscriber(subscriber, 0.0)
    for now in (0.1, 0.5, 2.9):
        source.resend_snapshot(subscriber, now)
    assert len(sent) == 1
    source.record_acknowledgement(subscriber, sent[0]["n"], 1)
    source.resend_snapshot(subscriber, 3.0)
    assert len(sent) == 2, "the first one has arrived"
    source.update_committed(make_committed(2, 2), 3.1)
    source.send_snapshot(subscriber, 3.2)
    source.resend_snapshot(subscriber, 6.1)
    assert len(sent) == 4
    source.resend_snapshot(subscriber, 6.3)
    assert len(sent) == 5, "it should have arrived by now"
