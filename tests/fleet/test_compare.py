"""Comparison of views: paths, majorities, unreachable instances, settings files not applied."""

from __future__ import annotations

from typing import Any

from latchspoke.fleet.compare import MISSING, compare, flatten


def view(rate: float = 1.0, **more: Any) -> dict[str, Any]:
    settings = {"digest": f"d{rate}", "index": more.pop("index", 0), "plans": {"duza": {"rate": rate}}}
    return {"version": "1", "settings": settings, "file": {"digest": f"d{rate}", "taken_up": True}} | more


def test_excluded_paths_are_not_compared() -> None:
    assert compare({"a": view(index=0), "b": view(index=1, pid=7)}).agree


def test_even_split_has_no_majority() -> None:
    comparison = compare({"a": view(1.0), "b": view(2.0), "c": view(1.0), "d": view(2.0)})
    (difference,) = comparison.differences  # the differing digests are not reported
    assert difference.path == "settings.plans.duza.rate"
    assert difference.holders == ((1.0, ("a", "c")), (2.0, ("b", "d")))
    assert difference.majority is None and difference.deviating() == ("a", "c", "b", "d")


def test_deviating_instances_are_named() -> None:
    comparison = compare({"a": view(1.0), "b": view(2.0), "c": view(1.0)})
    assert (comparison.differences[0].majority, comparison.differences[0].deviating()) == (1.0, ("b",))


def test_missing_object_is_reported_by_path() -> None:
    incomplete = view()
    incomplete["settings"]["plans"] = {}
    comparison = compare({"a": view(), "b": view(), "c": incomplete})
    held = {d.path: d.holders for d in comparison.differences}
    assert held["settings.plans.duza.rate"][1] == (MISSING, ("c",))


def test_unapplied_file_is_reported_as_stale() -> None:
    behind = view() | {"file": {"digest": "d9", "taken_up": False}}
    broken = view() | {"file": {"error": "not JSON", "taken_up": False}}
    comparison = compare({"a": view(), "b": behind, "c": broken})
    assert [name for name, _ in comparison.stale] == ["b", "c"]
    assert "settings" in comparison.stale[0][1] and "not JSON" in comparison.stale[1][1]
    assert not comparison.agree and not comparison.differences


def test_unreachable_instance_prevents_agreement() -> None:
    comparison = compare({"a": view(), "b": "agent h2: silent"})
    assert (comparison.agree, comparison.unreachable) == (False, (("b", "agent h2: silent"),))


def test_flatten_lists_and_empty_objects() -> None:
    assert dict(flatten({"a": [1, {"b": 2}], "c": {}})) == {"a[0]": 1, "a[1].b": 2, "c": {}}
