"""Versions of the whole view: what stays known in silence, what is a change, selectors."""

from __future__ import annotations

from typing import Any

import pytest

from latchspoke.fleet.view import FleetView, SelectorError, changes, select
from latchspoke.fleet.wire import AgentStatus, InstanceStatus, Listing


def status(name: str, state: str = "ready", **more: Any) -> InstanceStatus:
    return InstanceStatus(name, more.pop("zone", "b1"), state, state, "up", 0.0, **more)


def listing(agent: str, *instances: InstanceStatus) -> Listing:
    return Listing(AgentStatus(agent, agent, "1", 0.0), list(instances))


VIEW = FleetView().with_listing("h1", listing("h1", status("g1"), status("g2", zone="b2")), 10.0)


def test_silence_keeps_what_was_known_and_says_unknown() -> None:
    silent = VIEW.with_problem("h1", "agent h1: no answer in 2 s")
    seen = silent.instances["h1/g1"]
    assert (seen.state, seen.status.state, seen.received_at, seen.available) == (
        "unknown",
        "ready",
        10.0,
        False,
    )
    assert VIEW.instances["h1/g1"].available  # the older version is as it was
    assert [c.describe() for c in changes(VIEW, silent)] == [
        "ready -> unknown, agent h1: no answer in 2 s"
    ] * 2


def test_a_draining_one_that_falls_silent_is_not_done() -> None:
    draining = VIEW.with_listing("h1", listing("h1", status("g1", "draining")), 20.0).with_problem(
        "h1", "gone"
    )
    assert draining.instances["h1/g1"].status.state == "draining"
    assert draining.instances["h1/g1"].state == "unknown"


def test_changes_tell_what_came_went_and_changed() -> None:
    new = VIEW.with_listing("h1", listing("h1", status("g1", version="2"), status("g3")), 20.0)
    told = {c.id: c.describe() for c in changes(VIEW, new)}
    assert told == {"h1/g1": "version - -> 2", "h1/g2": "gone, was ready", "h1/g3": "appeared, ready"}
    assert list(changes(new, new)) == []


def test_selectors() -> None:
    view = VIEW.with_listing("h2", listing("h2", status("g3", "draining+silent")), 10.0)
    cases = {
        "g[12]": ["h1/g1", "h1/g2"], "h2/*": ["h2/g3"], "zone=b2": ["h1/g2"], "host=h1": ["h1/g1", "h1/g2"],
        "state=silent": ["h2/g3"], "name=g1,g3": ["h1/g1", "h2/g3"],
    }  # fmt: skip
    for word, ids in cases.items():
        assert [seen.id for seen in select(view, [word])] == ids, word
    assert [seen.id for seen in select(view, ["zone=b1", "state=ready"])] == ["h1/g1"]
    assert [seen.id for seen in select(view, ["g1", "g3", "host=h2"])] == ["h2/g3"]
    assert len(select(view, [])) == 3


@pytest.mark.parametrize(("word", "said"), [("colour=red", "no such selector"), ("zone=", "names nothing")])
def test_a_bad_selector_is_said(word: str, said: str) -> None:
    # A word taken for "all" by mistake would drain the whole fleet.
    with pytest.raises(SelectorError, match=said):
        select(VIEW, [word])
