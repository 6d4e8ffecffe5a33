"""Updates that travel deflated."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from latchspoke.membership.packing import pack, unpack
from latchspoke.membership.post import PACKS, Post
from latchspoke.membership.watch import Member, Membership, Timing
from latchspoke.transport.netstring import FrameDecoder, encode_frame
from tests.membership.test_post import Wire


def entry(number: int, **meta: Any) -> list[Any]:
    known = {"role": "edge", "zone": "waw-a", "region": "mazowsze", "ready": True, **meta}
    return ["a", f"edge-waw-a-{number}", 1, f"{number:08x}", f"10.1.0.{number}", 7600, known]


def test_updates_come_back_as_they_were_in_fewer_bytes() -> None:
    message = {"k": "u", "f": ["m", "x", 0], "u": [entry(number) for number in range(6)]}
    packed = pack(message)
    assert "u" not in packed and unpack(packed) == message
    assert len(encode_frame(packed)) < 0.6 * len(encode_frame(message))
    small = {"k": "p", "f": ["m", "x", 0], "u": [["g", "m2", 3, "y"]]}
    assert pack(small) is small and unpack(small) is small


@pytest.mark.parametrize("spoilt", ["", "not base64!", "AAAA", 7, None, "eJwDAAAAAAE="])
def test_what_cannot_be_inflated_is_refused(spoilt: Any) -> None:
    with pytest.raises(ValueError):
        unpack({"k": "u", "z": spoilt})


def test_only_those_who_say_so_are_sent_deflated_updates() -> None:
    """A neighbouring release reads plain ones alone; at one address, either may follow the other."""

    async def play() -> None:
        me = Member("m0", "10.0.0.1", 7600, {}, 0, "one")
        post = Post(Membership(me, [], Timing(), Random(1), 5.0), lambda news: None, lambda: 5.0)
        wire = post.transport = Wire()

        def asks(life: str, **meta: Any) -> list[str]:
            """The fields of the answers to one that joins and knows of nobody."""
            wire.sent.clear()
            said = entry(2, **meta)
            said[3] = life
            join = {"k": "j", "f": [said[1], life, 1], "u": [said]}
            post.datagram_received(encode_frame(join), ("10.1.0.2", 7600))
            answers = [
                FrameDecoder().feed(data)[0] for data, address in wire.sent if address == ("10.1.0.2", 7600)
            ]
            return [field for answer in answers for field in ("u", "z") if field in answer]

        many = {"k": "u", "f": ["m9", "x", 1], "u": [entry(number) for number in range(10, 16)]}
        post.datagram_received(encode_frame(pack(many)), ("10.1.0.9", 7600))
        assert len(post.membership.alive) == 7, "whoever sends them, they are read"
        assert "z" in asks("one", **{PACKS: True}) and "z" not in asks("two")
        assert "z" in asks("three", **{PACKS: True})
        dropped = post.dropped
        post.datagram_received(encode_frame({"k": "u", "f": ["m9", "x", 1], "z": "AAAA"}), ("10.1.0.9", 7600))
        assert post.dropped == dropped + 1
        post.leave()

    asyncio.run(play())
