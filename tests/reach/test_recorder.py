"""What a gateway keeps of the servers that it reached, and what all gateways' graphs say together."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from barleyhub.interface import Code
from barleyhub.line.stock import State, Stock, Upstream
from latchspoke.reach import recorder as module
from latchspoke.reach.aggregate import findings, gather, timeline
from latchspoke.reach.recorder import CHANGES, ENDS, KEPT, SPAN, SPANS, Graph, bucket, quantile

Row = dict[str, Any]


def stock(*idents: str) -> Stock:
    made = Stock("edge-a-1", "a", "north", random.Random(1), 1.0)
    for ident in idents:
        made.put(Upstream(ident, "books", "127.0.0.9", 1, "a", "north", 2, State.READY), 0.0)
    return made


def test_what_has_gone_by_is_counted_no_more_and_memory_is_bounded() -> None:
    graph = Graph(0.0)
    for second in range(1000):
        graph.note("b1", "r", Code.OK, 0.1, False, float(second))
    assert len(graph.spans) == SPANS and not graph.counted(60.0, 2000.0)[1]
    covers, counts = graph.counted(60.0, 999.0)
    assert 60.0 <= covers < 60.0 + SPAN and counts["b1", "r"][0] == covers + 1
    assert graph.counted(KEPT, 999.0)[0] <= KEPT + SPAN


def test_an_attempt_that_was_never_written_has_reached_nobody() -> None:
    graph = Graph(0.0)
    for code in Code:
        graph.note("b1", "r", code, 0.1, code is Code.FULL, 1.0)
    ((_, counts),) = graph.counted(10.0, 2.0)[1].items()
    told = dict(zip(ENDS, counts, strict=False))
    assert told == {
        "ok": 1, "error": 1, "turned_away": 1, "lost": 2, "cancelled": 1, "unreachable": 1, "while_cold": 1,
    }  # fmt: skip
    assert sum(counts[len(ENDS) :]) == 2  # of answers alone a time is known


@pytest.mark.parametrize("part", [0.5, 0.95])
def test_times_are_told_to_a_factor_of_two(part: float) -> None:
    draw = random.Random(7)
    took = sorted(draw.lognormvariate(-1.5, 0.8) for _ in range(2000))
    graph = Graph(0.0)
    for each in took:
        graph.note("b1", "r", Code.OK, each, False, 0.1)
    told = quantile(graph.now["b1", "r"][len(ENDS) :], part)
    assert told is not None and 0.5 < told / took[int(part * len(took))] < 2
    assert quantile(graph.now["b1", "r"][:0], part) is None and bucket(1e9) == bucket(70.0)


def test_changes_of_standings_are_kept_with_evidence_and_a_server_at_the_bound_does_not_come_and_go() -> None:
    known, graph = stock("b1", "b2"), Graph(0.0)
    assert [(c.ident, c.was, c.codes) for c in graph.look(known, 0.0)] == [("b1", None, ()), ("b2", None, ())]
    one = known.upstreams["b1"]
    one.own.pace = 2.1
    known.failed(known.upstreams["b2"], 0.5, unreachable=True)
    changes = {c.ident: c for c in graph.look(known, 0.5)}
    assert changes["b1"].codes == ("slow",) and changes["b1"].pace == 2.1
    assert changes["b2"].codes == ("unreachable", "doubtful", "erring") and changes["b2"].errors == 0.25
    one.own.pace = 1.9
    assert "b1" not in {c.ident for c in graph.look(known, 0.6)}
    one.own.pace = 1.4
    assert {c.ident: c.was for c in graph.look(known, 0.7)}["b1"] == ("slow",)
    known.drop("b1")
    assert [(c.ident, c.codes) for c in graph.look(known, 0.8)] == [("b1", ("gone",))]
    assert graph.standings["b1"].address == "127.0.0.9:1"  # for counts of those that are gone
    graph.look(known, 0.9 + KEPT)
    assert "b1" not in graph.standings
    for number in range(2 * CHANGES):
        known.upstreams["b2"].silent = bool(number % 2)
        graph.look(known, 200.0)
    assert len(graph.changes) == CHANGES


# The fleet.


def row(ident: str, ok: int, *avoided: str, **ends: int) -> Row:
    routes = {"r": {"ok": ok, "times": {"8": ok}, **ends}} if ok or ends else {}
    return {
        "id": ident, "service": "books", "zone": "a", "region": "north", "address": "127.0.0.9:1", "slots": 2,
        "routes": routes, "avoided": list(avoided), "since_s": 3.0,
    }  # fmt: skip


def view(zone: str, *rows: Row, changes: tuple[Row, ...] = ()) -> Row:
    return {"zone": zone, "servers": list(rows), "changes": list(changes), "covers_s": 60.0}


def control(**states: str) -> Row:
    return {
        "evacuated": ["c"],
        "servers": [
            {
                "id": ident,
                "service": "books",
                "zone": "a",
                "address": "127.0.0.9:1",
                "state": state,
                "slots": 2,
            }
            for ident, state in states.items()
        ],
    }


def test_who_is_reached_from_where_and_who_is_not_though_nothing_is_told_against_it() -> None:
    views = {
        "edge-a-1": view("a", row("b1", 90), row("b2", 8, "erring", error=6, while_cold=2)),
        "edge-b-1": view("b", row("b1", 30), row("b4", 1)),
        "edge-b-2": None,
    }
    those = gather(control(b1="ready", b2="ready", b3="ready", b4="draining", b5="gone"), views)
    told = {each.ident: each.told() for each in those}
    assert list(told) == ["b1", "b2", "b4", "b3"]  # one that is gone and that nobody reached is left out
    assert told["b1"]["by_zone"] == {"a": 90, "b": 30} and told["b1"]["gateways"] == 2
    assert (told["b1"]["part"], told["b4"]["part"]) == (0.3333, None)
    assert told["b2"]["failed"] == round(6 / 14, 4) and told["b2"]["avoided"]["erring"]["gateways"] == 1
    found = {(code, ident): text for code, ident, text in findings(those, 2)}
    assert set(found) == {
        ("uneven", "b1"), ("unreached", "b3"), ("failing", "b2"), ("while_cold", "b2"), ("leaving", "b4"),
    }  # fmt: skip
    assert "no reason told" in found["unreached", "b3"]
    assert "erring at 1 of 2 for up to 3 s" in found["failing", "b2"]


def test_shares_are_judged_only_where_there_are_requests_enough() -> None:
    few = gather(control(b1="ready", b2="ready"), {"g": view("a", row("b1", 19))})
    assert not findings(few, 1)
    servers = {f"b{number}": "ready" for number in range(6)}
    rows = [row(ident, 10) for ident in servers if ident != "b0"]
    many = gather(control(**servers), {"g": view("a", row("b0", 100), *rows)})
    assert [(code, ident) for code, ident, _ in findings(many, 1)] == [("uneven", "b0")]


def test_what_several_gateways_see_within_a_moment_is_one_change() -> None:
    def change(ago: float, codes: list[str], errors: float = 0.0) -> Row:
        return {"s_ago": ago, "id": "b1", "service": "books", "zone": "a", "was": [], "codes": codes,
                "errors": errors, "pace": 1.0, "told": 0.0}  # fmt: skip

    told = timeline({
        "g1": view("a", changes=(change(9.0, ["erring"], 0.3), change(2.0, []))),
        "g2": view("a", changes=(change(8.0, ["erring"], 0.5),)),
        "g3": view("a", changes=(change(4.0, ["erring"], 0.4),)),
        "g4": None,
    })  # fmt: skip
    assert [(c["s_ago"], c["codes"], c["gateways"], c["errors"]) for c in told] == [
        (9.0, ["erring"], ["g1", "g2"], 0.5), (4.0, ["erring"], ["g3"], 0.4), (2.0, [], ["g1"], 0.0),
    ]  # fmt: skip
    assert math.isclose(told[0]["pace"], 1.0)


def test_of_many_servers_each_call_looks_at_some_and_misses_none(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "LOOKS", 3)
    known, graph = stock(*(f"b{n}" for n in range(7))), Graph(0.0)
    found = [[change.ident for change in graph.look(known, float(n))] for n in range(3)]
    assert [len(each) for each in found] == [3, 3, 1] and len({i for each in found for i in each}) == 7
    del known.upstreams["b1"]
    gone = [change for n in range(3, 9) for change in graph.look(known, float(n))]
    assert [(change.ident, change.codes) for change in gone] == [("b1", ("gone",))]
