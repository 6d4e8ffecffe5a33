"""Messages that wait for a connection are bounded in their number and in their bytes."""

from __future__ import annotations

from latchspoke.transport.frame_queue import FrameQueue
from latchspoke.transport.netstring import encode_frame


def test_waiting_messages_are_bounded_in_number_and_bytes() -> None:
    """Fault: 20 messages of any size, such as whole configurations, waited for each control machine."""
    queue = FrameQueue(3, 1000)
    sizes = (100, 100, 100, 100, 700, 2000, 300)
    for number, size in enumerate(sizes):
        queue.append({"n": number, "t": "x" * size})
        assert len(queue) <= 3 and queue.held_bytes <= 1000
        assert queue.held_bytes == sum(map(len, queue.frames))
    assert queue.pop() == encode_frame({"n": 6, "t": "x" * 300}), "the newest that fits"
    assert not queue and not queue.held_bytes
