"""Datagrams without sockets."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from latchspoke.membership.post import Post
from latchspoke.membership.watch import Member, Membership, News, Timing
from latchspoke.transport.netstring import encode_frame


class Wire(asyncio.DatagramTransport):
    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[bytes, object]] = []

    def sendto(self, data: bytes | bytearray | memoryview, addr: object = None) -> None:
        self.sent.append((bytes(data), addr))


def test_junk_is_dropped_and_a_probe_is_answered() -> None:
    news: list[News] = []

    async def play() -> None:
        me = Member("m0", "10.0.0.1", 7600, {}, 0, "one")
        post = Post(Membership(me, [], Timing(), Random(1), 5.0), news.append, lambda: 5.0)
        wire = post.transport = Wire()
        other, address = ["m1", "one", 0], ("10.0.0.2", 7600)
        whole = encode_frame({"k": "p", "f": other, "n": 9, "u": [["a", "m1", "0", "one", *address, {}]]})
        for data in (b"", b"junk", b"2:{},", b"2:[],", b"4:true,", whole, whole[:-1], whole + b"1:1,"):
            post.datagram_received(data, address)
        assert post.dropped + post.membership.dropped == 8 and not wire.sent and not news
        entry = ["a", "m1", 0, "one", *address, {"zone": "a"}]
        post.datagram_received(
            encode_frame({"k": "p", "f": other, "n": 9, "u": [entry], "later": 1}), address
        )
        assert [n.kind for n in news] == ["joined"] and post.timer is not None
        assert b'"k":"a"' in wire.sent[0][0] and wire.sent[0][1] == address
        with pytest.raises(ValueError):
            post.tell({"much": "x" * 1000})
        post.leave()
        assert b'["l","m0"' in wire.sent[-1][0] and post.timer is None

    asyncio.run(play())
