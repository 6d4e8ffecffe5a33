"""Who goes last at full servers: told by answers' times alone, on a clock set by hand."""

from __future__ import annotations

from random import Random

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.dispatch import Dispatcher, NoCapacity, RoutedRequest
from barleyhub.line.queue_delay import QueueDelays
from latchspoke.configuration.routes import NO_HOMES, Route
from tests.line.test_budget import stock, upstream

# Rank 0 takes 0.15 s and is worth most within 0.6 s; rank 2 takes 0.9 s, with time until 3 s.
SHORT = Route("book", "h", "/", False, 0.6, 2.5, 2, 0, False, NO_HOMES, (("pool", 1.0),))
LONG = Route("export", "h", "/x/", True, 3.0, 12.0, 1, 2, False, NO_HOMES, (("pool", 1.0),))
TAKES = {"book": 0.15, "export": 0.9}


def told(headway: QueueDelays, wait: float, answers: int, since: float, draw: Random) -> float:
    """So many answers, ten a second, each with its chance and this wait; when the last has come."""
    for n in range(answers):
        now, route = since + n / 10, draw.choice((SHORT, LONG))
        headway.record_request("pool", route.name, route.priority, route.aim, now)
        takes = TAKES[route.name]
        headway.record_answer("pool", "a", route.name, wait + takes * draw.uniform(0.3, 1.7), takes, now)
    return since + answers / 10


def test_lower_ranks_go_first_and_nobody_on_a_calm_day() -> None:
    headway, draw = QueueDelays(), Random(1)
    now = told(headway, 0.0, 200, 0.0, draw)
    assert headway.shed_share("pool", "export", "a", now) == headway.shed_share("pool", "book", "a", now) == 0
    now = told(headway, 0.4, 40, now, draw)
    assert headway.shed_share("pool", "export", "a", now) > 0.5
    assert headway.shed_share("pool", "book", "a", now) == 0.0, "it still comes within its aim"
    now = told(headway, 1.2, 40, now, draw)
    assert headway.shed_share("pool", "book", "a", now) > 0.5
    assert headway.shed_share("pool", "export", "b", now) == 0.0, "nothing is known of the other region"
    assert headway.shed_share("pool", "export", "a", now + 4.0) == 0.0, "it fades where nobody is sent"


def test_one_slow_answer_tells_nothing_and_without_higher_ranks_only_the_own_aim_counts() -> None:
    headway = QueueDelays()
    headway.record_request("pool", "export", 2, 3.0, 0.0)
    headway.record_answer("pool", "a", "export", 9.0, 0.9, 0.0)
    assert headway.delay("pool", "a", 0.0) == 0.0
    for n in range(10):
        headway.record_answer("pool", "a", "export", 2.0, 0.9, n / 10)
    assert headway.delay("pool", "a", 1.0) > 0.8 and headway.shed_share("pool", "export", "a", 1.0) == 0.0


def test_who_is_sent_away_never_ran_and_is_told_at_once_when_to_come_back() -> None:
    gateway = Dispatcher(stock("g", upstream("s1")), Random(2), 0.2, 62.0)
    gateway.balancer.cold_limits.clear()
    ends: dict[tuple[str, float], list[str]] = {}
    for n in range(400):
        now, route = n / 20, (SHORT, LONG)[n % 2]
        wait = 0.5 if 8.0 <= now < 16.0 else 0.0
        call = RoutedRequest(f"r{n}", "t", "pool", route.name, 1.0, route.timeout, 1, route=route)
        actions = gateway.handle(call, now)
        ends.setdefault((route.name, wait), []).append(type(actions[0]).__name__)
        if isinstance(actions[0], api.Send):
            took = wait + TAKES[route.name]
            gateway.handle(api.Outcome(call.request, 0, "s1", Code.OK, took, closed=True), now + took)
        else:
            assert isinstance(actions[0], NoCapacity) and len(actions) == 1
            assert (actions[0].retry_after or 0.0) >= 0.07
    away = {key: kinds.count("NoCapacity") / len(kinds) for key, kinds in ends.items()}
    assert away["book", 0.0] == away["book", 0.5] == 0.0
    assert away["export", 0.5] > 0.4 and away["export", 0.0] < 0.1
    assert not gateway.active_requests
