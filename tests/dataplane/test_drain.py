"""The time line from SIGTERM to the end of a gateway."""

from __future__ import annotations

from typing import Any

import pytest

from barleyhub.line.dispatch import RoutedRequest
from latchspoke.core import Attempt
from latchspoke.dataplane.drain import EARLY_REQUEST_S, make_schedule
from tests.dataplane.player import Player

GRACE_PERIODS_S = (0.5, 1.0, 2.0, 4.0, 5.0, 6.0, 10.0, 30.0)


@pytest.mark.parametrize("grace_s", GRACE_PERIODS_S)
def test_times_are_in_order_and_servers_have_most_of_the_grace_period(grace_s: float) -> None:
    """LOST: what a server still works on in the last sixth of ``graceS`` may be given up, and not before."""
    schedule = make_schedule(100.0, grace_s)
    end = 100.0 + grace_s
    assert 100.0 < schedule.accepts_until < schedule.last_answers_at < schedule.shuts_down_at < end
    assert schedule.last_answers_at >= end - grace_s / 6
    assert schedule.passes_on_any_until <= min(100.0 + EARLY_REQUEST_S, schedule.accepts_until)


@pytest.mark.parametrize("grace_s", GRACE_PERIODS_S)
def test_request_that_is_passed_on_late_ends_before_the_last_answers(grace_s: float) -> None:
    """LOST (review/7): a request was passed on that could not end in time, and cut off."""
    schedule = make_schedule(0.0, grace_s)
    for step in range(1, 200):
        now = grace_s * step / 200
        for left_s in (0.01, 0.1, 0.5, 1.0, 3.0, 12.0, 600.0):
            time_s = schedule.time_for(left_s, now)
            if time_s is None:
                assert now > schedule.passes_on_any_until and now + left_s > schedule.last_answers_at - 1e-9
            else:
                assert time_s <= left_s and now + time_s <= schedule.last_answers_at + 1e-9
                assert time_s == left_s or now <= schedule.passes_on_any_until


class RecordingClient:
    """Notes the final response of its flow."""

    def __init__(self) -> None:
        self.responses: list[tuple[Any, ...]] = []

    def unavailable(self, retry_after: float | None) -> None:
        self.responses.append(("unavailable", retry_after))

    def failed(self, failure: object | None) -> None:
        self.responses.append(("failed", failure))


def test_last_answers_reject_what_was_never_passed_on_and_fail_the_rest() -> None:
    """REFUSED: 503 promises that the request has not run, which is known only without an attempt."""
    core, now = (player := Player()).node.core, player.clock.now()
    clients = [RecordingClient() for _ in range(3)]
    for number, client in enumerate(clients):
        request = RoutedRequest(f"r{number}", "", "pool", "read", 1.0, 9.0, 1)
        flow = core.accept(request, None, client, now)  # type: ignore[arg-type]
        if number:
            attempt = Attempt(flow, "s1", now, flow.deadline)
            attempt.ended = number == 2  # it was turned away, or may have run
            flow.attempts.append(attempt)
            flow.in_flight += number == 1
    core.end_all(now, 0.1)
    assert [client.responses for client in clients] == [
        [("unavailable", 0.1)], [("failed", None)], [("failed", None)],
    ]  # fmt: skip
    assert not core.flows
