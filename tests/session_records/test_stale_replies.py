"""A gateway that has begun anew gets answers to what its former life asked, and takes none for its own."""

from __future__ import annotations

from latchspoke.session_records.record import Peer
from latchspoke.session_records.store import OutgoingMessage, RecordStore, StoreOutput, StoreReply

KEYS = [f"caller-{number}" for number in range(20)]


def gateway(life: str) -> RecordStore:
    office = RecordStore("g1", life, 5.0, 0.0, lambda: 1e9)
    office.update_membership(
        {name: Peer("waw-a", "mazowsze", f"{name}-{life}") for name in ("g1", "g2")}, 0.0
    )
    return office


def asked(office: RecordStore, key: str) -> OutgoingMessage:
    """What goes to the owner when a caller's record is asked for."""
    letters = [
        out
        for out in office.acquire(f"request of {key}", key, (), 30.0, 1.0)
        if isinstance(out, OutgoingMessage)
    ]
    assert len(letters) == 1 and letters[0].target == "g2"
    return letters[0]


def told(out: list[StoreOutput]) -> list[str]:
    return [each.reference for each in out if isinstance(each, StoreReply)]


def test_an_answer_to_the_former_life_is_nobody_s() -> None:
    first, second = gateway("one"), gateway("two")
    key, other = [k for k in KEYS if first.views[-1].placement(k, ())[0] == "g2"][:2]
    late = asked(first, key).message
    own = asked(second, other).message
    assert told(second.receive("g2", {"w": "done", "q": late["q"], "word": "unsettled"}, 1.1)) == []
    assert told(second.receive("g2", {"w": "done", "q": own["q"], "word": "unsettled"}, 1.2)) == [
        f"request of {other}"
    ]
