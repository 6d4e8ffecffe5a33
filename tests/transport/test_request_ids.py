"""Numbers of questions: those of two lives of a process never meet."""

from __future__ import annotations

from itertools import pairwise

from latchspoke.transport.request_ids import REQUEST_ID_BITS, first_request_id


def test_numbers_of_two_lives_are_apart_and_small_enough_for_json() -> None:
    firsts = sorted({first_request_id(f"{life:08x}") for life in range(1000)})
    assert len(firsts) == 1000
    assert all(later - earlier >= 1 << REQUEST_ID_BITS for earlier, later in pairwise(firsts))
    assert firsts[0] >= 0 and firsts[-1] + (1 << REQUEST_ID_BITS) < 1 << 53
