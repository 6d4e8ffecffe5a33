"""Load shedding by queueing delay, which is estimated from answer times alone."""

from __future__ import annotations

from random import Random

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.dispatch import Dispatcher, NoCapacity, RoutedRequest
from barleyhub.line.queue_delay import QueueDelays
from latchspoke.configuration.routes import NO_HOMES, Route
from tests.line.test_budget import make_balancer, make_upstream

# Priority 0 with a target latency of 0.6 s, and priority 2 with one of 3 s.
SHORT = Route("book", "h", "/", False, 0.6, 2.5, 2, 0, False, NO_HOMES, (("pool", 1.0),))
LONG = Route("export", "h", "/x/", True, 3.0, 12.0, 1, 2, False, NO_HOMES, (("pool", 1.0),))
SERVICE_TIME_S = {"book": 0.15, "export": 0.9}


def feed_answers(queue_delays: QueueDelays, delay: float, answers: int, start: float, rng: Random) -> float:
    """Record ten answers a second with random service times and this delay; returns the end time."""
    for number in range(answers):
        now, route = start + number / 10, rng.choice((SHORT, LONG))
        queue_delays.record_request("pool", route.name, route.priority, route.aim, now)
        service_time = SERVICE_TIME_S[route.name]
        queue_delays.record_answer(
            "pool", "a", route.name, delay + service_time * rng.uniform(0.3, 1.7), service_time, now
        )
    return start + answers / 10


def test_low_priorities_are_shed_first_and_none_without_delay() -> None:
    queue_delays, rng = QueueDelays(), Random(1)
    now = feed_answers(queue_delays, 0.0, 200, 0.0, rng)
    assert (
        queue_delays.shed_share("pool", "export", "a", now)
        == queue_delays.shed_share("pool", "book", "a", now)
        == 0
    )
    now = feed_answers(queue_delays, 0.4, 40, now, rng)
    assert queue_delays.shed_share("pool", "export", "a", now) > 0.5
    assert queue_delays.shed_share("pool", "book", "a", now) == 0.0, "it still meets its target latency"
    now = feed_answers(queue_delays, 1.2, 40, now, rng)
    assert queue_delays.shed_share("pool", "book", "a", now) > 0.5
    assert queue_delays.shed_share("pool", "export", "b", now) == 0.0, (
        "nothing is known about the other region"
    )
    assert queue_delays.shed_share("pool", "export", "a", now + 4.0) == 0.0, "evidence fades without answers"


def test_a_single_slow_answer_sheds_nothing_nor_does_delay_within_the_own_target() -> None:
    queue_delays = QueueDelays()
    queue_delays.record_request("pool", "export", 2, 3.0, 0.0)
    queue_delays.record_answer("pool", "a", "export", 9.0, 0.9, 0.0)
    assert queue_delays.delay("pool", "a", 0.0) == 0.0
    for number in range(10):
        queue_delays.record_answer("pool", "a", "export", 2.0, 0.9, number / 10)
    assert (
        queue_delays.delay("pool", "a", 1.0) > 0.8
        and queue_delays.shed_share("pool", "export", "a", 1.0) == 0.0
    )


def test_shed_requests_are_refused_at_once_with_a_retry_after_time() -> None:
    gateway = Dispatcher(make_balancer("g", make_upstream("s1")), Random(2), 0.2, 62.0)
    gateway.balancer.cold_limits.clear()
    first_actions: dict[tuple[str, float], list[str]] = {}
    for number in range(400):
        now, route = number / 20, (SHORT, LONG)[number % 2]
        delay = 0.5 if 8.0 <= now < 16.0 else 0.0
        request = RoutedRequest(f"r{number}", "t", "pool", route.name, 1.0, route.timeout, 1, route=route)
        actions = gateway.handle(request, now)
        first_actions.setdefault((route.name, delay), []).append(type(actions[0]).__name__)
        if isinstance(actions[0], api.Send):
            took = delay + SERVICE_TIME_S[route.name]
            gateway.handle(api.Outcome(request.request, 0, "s1", Code.OK, took, closed=True), now + took)
        else:
            assert isinstance(actions[0], NoCapacity) and len(actions) == 1
            assert (actions[0].retry_after or 0.0) >= 0.07
    refused_share = {key: kinds.count("NoCapacity") / len(kinds) for key, kinds in first_actions.items()}
    assert refused_share["book", 0.0] == refused_share["book", 0.5] == 0.0
    assert refused_share["export", 0.5] > 0.4 and refused_share["export", 0.0] < 0.1
    assert not gateway.active_requests
