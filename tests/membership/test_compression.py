"""Compression of membership updates."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from latchspoke.membership.compression import compress_updates, decompress_updates
from latchspoke.membership.protocol import Member, Membership, ProtocolParameters
from latchspoke.membership.transport import COMPRESSION_META_KEY, MembershipTransport
from latchspoke.transport.netstring import FrameDecoder, encode_frame
from tests.membership.test_transport import RecordingTransport


def alive_update(number: int, **meta: Any) -> list[Any]:
    metadata = {"role": "edge", "zone": "waw-a", "region": "mazowsze", "ready": True, **meta}
    return ["a", f"edge-waw-a-{number}", 1, f"{number:08x}", f"10.1.0.{number}", 7600, metadata]


def test_compressed_updates_are_smaller_and_decompress_to_the_original() -> None:
    message = {"k": "u", "f": ["m", "x", 0], "u": [alive_update(number) for number in range(6)]}
    compressed = compress_updates(message)
    assert "u" not in compressed and decompress_updates(compressed) == message
    assert len(encode_frame(compressed)) < 0.6 * len(encode_frame(message))
    small = {"k": "p", "f": ["m", "x", 0], "u": [["g", "m2", 3, "y"]]}
    assert compress_updates(small) is small and decompress_updates(small) is small


@pytest.mark.parametrize("malformed", ["", "not base64!", "AAAA", 7, None, "eJwDAAAAAAE="])
def test_malformed_compressed_updates_are_rejected(malformed: Any) -> None:
    with pytest.raises(ValueError):
        decompress_updates({"k": "u", "z": malformed})


def test_compressed_updates_are_sent_only_to_members_that_accept_them() -> None:
    """A neighbouring release reads only plain updates, and either release may follow at an address."""

    async def run() -> None:
        local_member = Member("m0", "10.0.0.1", 7600, {}, 0, "one")
        transport = MembershipTransport(
            Membership(local_member, [], ProtocolParameters(), Random(1), 5.0),
            lambda event: None,
            lambda: 5.0,
        )
        socket = transport.transport = RecordingTransport()

        def join_reply_fields(instance_id: str, **meta: Any) -> list[str]:
            """Update fields in the replies to a join that knows no other member."""
            socket.sent.clear()
            update = alive_update(2, **meta)
            update[3] = instance_id
            join = {"k": "j", "f": [update[1], instance_id, 1], "u": [update]}
            transport.datagram_received(encode_frame(join), ("10.1.0.2", 7600))
            answers = [
                FrameDecoder().feed(data)[0] for data, address in socket.sent if address == ("10.1.0.2", 7600)
            ]
            return [field for answer in answers for field in ("u", "z") if field in answer]

        updates_message = {
            "k": "u",
            "f": ["m9", "x", 1],
            "u": [alive_update(number) for number in range(10, 16)],
        }
        transport.datagram_received(encode_frame(compress_updates(updates_message)), ("10.1.0.9", 7600))
        assert len(transport.membership.alive) == 7, "compressed updates are read from any sender"
        assert "z" in join_reply_fields(
            "one", **{COMPRESSION_META_KEY: True}
        ) and "z" not in join_reply_fields("two")
        assert "z" in join_reply_fields("three", **{COMPRESSION_META_KEY: True})
        dropped = transport.dropped
        transport.datagram_received(
            encode_frame({"k": "u", "f": ["m9", "x", 1], "z": "AAAA"}), ("10.1.0.9", 7600)
        )
        assert transport.dropped == dropped + 1
        transport.leave()

    asyncio.run(run())
