"""Comparing views: paths, values, holders, majorities; who is unheard and who is behind its file."""

from __future__ import annotations

from typing import Any

from latchspoke.fleet.compare import MISSING, compare, flatten


def view(rate: float = 1.0, **more: Any) -> dict[str, Any]:
    settings = {"digest": f"d{rate}", "index": more.pop("index", 0), "plans": {"duza": {"rate": rate}}}
    return {"version": "1", "settings": settings, "file": {"digest": f"d{rate}", "taken_up": True}} | more


def test_equal_views_agree_whatever_is_their_own() -> None:
    assert compare({"a": view(index=0), "b": view(index=1, pid=7)}).agree


def test_half_the_fleet_has_other_figures() -> None:
    told = compare({"a": view(1.0), "b": view(2.0), "c": view(1.0), "d": view(2.0)})
    (difference,) = told.differences  # the digests differ too, and say no more
    assert difference.path == "settings.plans.duza.rate"
    assert difference.holders == ((1.0, ("a", "c")), (2.0, ("b", "d")))
    assert difference.majority is None and difference.deviating() == ("a", "c", "b", "d")


def test_a_majority_names_the_odd_ones() -> None:
    told = compare({"a": view(1.0), "b": view(2.0), "c": view(1.0)})
    assert (told.differences[0].majority, told.differences[0].deviating()) == (1.0, ("b",))


def test_a_plan_that_one_lacks_is_told_path_by_path() -> None:
    short = view()
    short["settings"]["plans"] = {}
    told = compare({"a": view(), "b": view(), "c": short})
    held = {d.path: d.holders for d in told.differences}
    assert held["settings.plans.duza.rate"][1] == (MISSING, ("c",))


def test_who_holds_a_file_not_taken_up() -> None:
    behind = view() | {"file": {"digest": "d9", "taken_up": False}}
    broken = view() | {"file": {"error": "not JSON", "taken_up": False}}
    told = compare({"a": view(), "b": behind, "c": broken})
    assert [name for name, _ in told.stale] == ["b", "c"]
    assert "settings" in told.stale[0][1] and "not JSON" in told.stale[1][1]
    assert not told.agree and not told.differences


def test_silence_is_no_agreement() -> None:
    told = compare({"a": view(), "b": "agent h2: silent"})
    assert (told.agree, told.unreachable) == (False, (("b", "agent h2: silent"),))


def test_lists_and_empty_objects_have_paths() -> None:
    assert dict(flatten({"a": [1, {"b": 2}], "c": {}})) == {"a[0]": 1, "a[1].b": 2, "c": {}}
