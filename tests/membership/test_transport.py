"""The datagram transport, with a recorder in place of the socket."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from latchspoke.membership.protocol import Member, Membership, MembershipEvent, ProtocolParameters
from latchspoke.membership.transport import MembershipTransport
from latchspoke.transport.netstring import encode_frame


class RecordingTransport(asyncio.DatagramTransport):
    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[bytes, object]] = []

    def sendto(self, data: bytes | bytearray | memoryview, addr: object = None) -> None:
        self.sent.append((bytes(data), addr))


def test_invalid_datagrams_are_dropped_and_a_probe_is_acknowledged() -> None:
    events: list[MembershipEvent] = []

    async def run() -> None:
        local_member = Member("m0", "10.0.0.1", 7600, {}, 0, "one")
        transport = MembershipTransport(
            Membership(local_member, [], ProtocolParameters(), Random(1), 5.0), events.append, lambda: 5.0
        )
        socket = transport.transport = RecordingTransport()
        sender, address = ["m1", "one", 0], ("10.0.0.2", 7600)
        probe = encode_frame({"k": "p", "f": sender, "n": 9, "u": [["a", "m1", "0", "one", *address, {}]]})
        for data in (b"", b"junk", b"2:{},", b"2:[],", b"4:true,", probe, probe[:-1], probe + b"1:1,"):
            transport.datagram_received(data, address)
        assert transport.dropped + transport.membership.dropped == 8 and not socket.sent and not events
        update = ["a", "m1", 0, "one", *address, {"zone": "a"}]
        transport.datagram_received(
            encode_frame({"k": "p", "f": sender, "n": 9, "u": [update], "later": 1}), address
        )
        assert [event.kind for event in events] == ["joined"] and transport.timer is not None
        assert b'"k":"a"' in socket.sent[0][0] and socket.sent[0][1] == address
        with pytest.raises(ValueError):
            transport.update_meta({"much": "x" * 1000})
        transport.leave()
        assert b'["l","m0"' in socket.sent[-1][0] and transport.timer is None

    asyncio.run(run())
