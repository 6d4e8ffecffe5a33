"""A restarted gateway must not take replies to requests of its previous instance for its own."""

from __future__ import annotations

from latchspoke.session_records.record import Peer
from latchspoke.session_records.store import OutgoingMessage, RecordStore, StoreOutput, StoreReply

KEYS = [f"caller-{number}" for number in range(20)]


def started_store(instance_id: str) -> RecordStore:
    store = RecordStore("g1", instance_id, 5.0, 0.0, lambda: 1e9)
    store.update_membership(
        {name: Peer("waw-a", "mazowsze", f"{name}-{instance_id}") for name in ("g1", "g2")}, 0.0
    )
    return store


def acquire_request(store: RecordStore, key: str) -> OutgoingMessage:
    """The message to the owner by which a caller's record is acquired."""
    messages = [
        output
        for output in store.acquire(f"request of {key}", key, (), 30.0, 1.0)
        if isinstance(output, OutgoingMessage)
    ]
    assert len(messages) == 1 and messages[0].target == "g2"
    return messages[0]


def reply_references(outputs: list[StoreOutput]) -> list[str]:
    return [output.reference for output in outputs if isinstance(output, StoreReply)]


def test_reply_to_a_previous_instance_is_ignored() -> None:
    first, second = started_store("one"), started_store("two")
    key, other = [candidate for candidate in KEYS if first.views[-1].placement(candidate, ())[0] == "g2"][:2]
    stale = acquire_request(first, key).message
    current = acquire_request(second, other).message
    assert (
        reply_references(second.receive("g2", {"w": "done", "q": stale["q"], "word": "unsettled"}, 1.1)) == []
    )
    assert reply_references(
        second.receive("g2", {"w": "done", "q": current["q"], "word": "unsettled"}, 1.2)
    ) == [f"request of {other}"]
