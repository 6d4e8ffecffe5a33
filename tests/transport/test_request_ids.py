"""Request ids of two instances of a process never overlap."""

from __future__ import annotations

from itertools import pairwise

from latchspoke.transport.request_ids import REQUEST_ID_BITS, first_request_id


def test_ids_of_two_instances_do_not_overlap_and_fit_into_json_numbers() -> None:
    first_ids = sorted({first_request_id(f"{instance:08x}") for instance in range(1000)})
    assert len(first_ids) == 1000
    assert all(later - earlier >= 1 << REQUEST_ID_BITS for earlier, later in pairwise(first_ids))
    assert first_ids[0] >= 0 and first_ids[-1] + (1 << REQUEST_ID_BITS) < 1 << 53
