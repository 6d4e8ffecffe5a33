"""Fleet views: unreachable agents, changes between versions, selectors."""

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


def test_unreachable_agent_keeps_last_known_status() -> None:
    unreachable = VIEW.with_problem("h1", "agent h1: no answer in 2 s")
    instance = unreachable.instances["h1/g1"]
    assert (instance.state, instance.status.state, instance.received_at, instance.available) == (
        "unknown",
        "ready",
        10.0,
        False,
    )
    assert VIEW.instances["h1/g1"].available  # the older version is unchanged
    assert [change.describe() for change in changes(VIEW, unreachable)] == [
        "ready -> unknown, agent h1: no answer in 2 s"
    ] * 2


def test_unreachable_draining_instance_is_unknown() -> None:
    draining = VIEW.with_listing("h1", listing("h1", status("g1", "draining")), 20.0).with_problem(
        "h1", "gone"
    )
    assert draining.instances["h1/g1"].status.state == "draining"
    assert draining.instances["h1/g1"].state == "unknown"


def test_changes_describe_added_removed_and_changed_instances() -> None:
    new = VIEW.with_listing("h1", listing("h1", status("g1", version="2"), status("g3")), 20.0)
    descriptions = {change.id: change.describe() for change in changes(VIEW, new)}
    assert descriptions == {"h1/g1": "version - -> 2", "h1/g2": "gone, was ready", "h1/g3": "appeared, ready"}
    assert list(changes(new, new)) == []


def test_selectors() -> None:
    view = VIEW.with_listing("h2", listing("h2", status("g3", "draining+silent")), 10.0)
    cases = {
        "g[12]": ["h1/g1", "h1/g2"], "h2/*": ["h2/g3"], "zone=b2": ["h1/g2"], "host=h1": ["h1/g1", "h1/g2"],
        "state=silent": ["h2/g3"], "name=g1,g3": ["h1/g1", "h2/g3"],
    }  # fmt: skip
    for selector, ids in cases.items():
        assert [instance.id for instance in select(view, [selector])] == ids, selector
    assert [instance.id for instance in select(view, ["zone=b1", "state=ready"])] == ["h1/g1"]
    assert [instance.id for instance in select(view, ["g1", "g3", "host=h2"])] == ["h2/g3"]
    assert len(select(view, [])) == 3


@pytest.mark.parametrize(
    ("selector", "message"), [("colour=red", "no such selector"), ("zone=", "names nothing")]
)
def test_invalid_selector_is_refused(selector: str, message: str) -> None:
    # An invalid selector taken for no selector would drain the whole fleet.
    with pytest.raises(SelectorError, match=message):
        select(VIEW, [selector])
