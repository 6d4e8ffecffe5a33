"""Datagrams of strangers, who name ever new members, leave little with a process."""

from __future__ import annotations

from random import Random
from typing import Any

from latchspoke.membership import messages
from latchspoke.membership.messages import Member
from latchspoke.membership.protocol import Membership, ProtocolParameters

MAX_MEMBERS = 50
UPDATES_IN_A_DATAGRAM = 6
STRANGER = "10.9.9.9", 7600


def membership() -> Membership:
    local = Member("m0", "10.0.0.0", 7600, {"role": "core"}, 0, "one")
    return Membership(local, [], ProtocolParameters(max_members=MAX_MEMBERS), Random(1), 100.0)


def updates(first: int, meta: dict[str, Any]) -> dict[str, Any]:
    members = [
        Member(f"x{number}", "10.9.0.1", number, meta, 0, "life")
        for number in range(first, first + UPDATES_IN_A_DATAGRAM)
    ]
    return {
        "k": messages.UPDATES, "f": ["x", "life", 0],
        "u": [messages.encode_update(messages.ALIVE, member) for member in members],
    }  # fmt: skip


def test_members_of_ever_new_names_are_bounded() -> None:
    """Nothing bounded them, and each was told to all others."""
    known = membership()
    for first in range(1, 1000, UPDATES_IN_A_DATAGRAM):
        known.receive(updates(first, {"role": "edge"}), STRANGER, 100.0)
        known.take_output()
    assert len(known.alive) == MAX_MEMBERS and known.dropped > 0
    known.receive(updates(1, {"role": "edge", "ready": True}), STRANGER, 100.0)
    assert len(known.alive) == MAX_MEMBERS


def test_meta_data_that_takes_much_is_not_kept() -> None:
    known = membership()
    known.receive(updates(1, {"x": [{} for _ in range(100)]}), STRANGER, 100.0)
    assert list(known.alive) == ["m0"]
