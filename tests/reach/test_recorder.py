"""The attempt recorder of a gateway, and summaries of several gateways' statistics."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState
from latchspoke.reach import recorder as module
from latchspoke.reach.aggregate import findings, summarize, timeline
from latchspoke.reach.recorder import (
    MAX_CHANGES,
    MAX_PAIRS,
    MAX_PAIRS_IN_SPAN,
    MAX_SPANS,
    OUTCOMES,
    RETENTION_S,
    SPAN_S,
    AttemptRecorder,
    latency_bucket,
    quantile,
)

Row = dict[str, Any]


def stock_of(*server_ids: str) -> Balancer:
    stock = Balancer("edge-a-1", "a", "north", random.Random(1), 1.0)
    for server_id in server_ids:
        stock.put(Upstream(server_id, "books", "127.0.0.9", 1, "a", "north", 2, UpstreamState.READY), 0.0)
    return stock


def test_old_spans_are_dropped_and_memory_is_bounded() -> None:
    recorder = AttemptRecorder(0.0)
    for second in range(1000):
        recorder.record("b1", "r", Code.OK, 0.1, False, float(second))
    assert len(recorder.spans) == MAX_SPANS and not recorder.counts_within(60.0, 2000.0)[1]
    covers, counts = recorder.counts_within(60.0, 999.0)
    assert 60.0 <= covers < 60.0 + SPAN_S and counts["b1", "r"][0] == covers + 1
    assert recorder.counts_within(RETENTION_S, 999.0)[0] <= RETENTION_S + SPAN_S


def test_number_of_pairs_of_server_and_route_is_bounded() -> None:
    """Of the plan's 3,000 servers and 3,800 routes a busy gateway kept tens of megabytes."""
    recorder = AttemptRecorder(0.0)
    for number in range(200_000):
        recorder.record(f"b{number % 3000}", f"r{number % 3797}", Code.OK, 0.1, False, number / 4000)
        if number % 1000 == 0:
            assert len(recorder.current) <= MAX_PAIRS_IN_SPAN
            assert len(recorder.current) + sum(len(counts) for _, counts in recorder.spans) <= MAX_PAIRS
    assert recorder.counts_within(1.0, 50.0)[1]


def test_attempt_that_was_never_sent_is_not_counted() -> None:
    recorder = AttemptRecorder(0.0)
    for code in Code:
        recorder.record("b1", "r", code, 0.1, code is Code.FULL, 1.0)
    ((_, counts),) = recorder.counts_within(10.0, 2.0)[1].items()
    outcomes = dict(zip(OUTCOMES, counts, strict=False))
    assert outcomes == {
        "ok": 1, "error": 1, "turned_away": 1, "lost": 2, "cancelled": 1, "unreachable": 1, "while_cold": 1,
    }  # fmt: skip
    assert sum(counts[len(OUTCOMES) :]) == 2  # latency is only recorded for answers


@pytest.mark.parametrize("fraction", [0.5, 0.95])
def test_latency_quantiles_are_within_a_factor_of_two(fraction: float) -> None:
    rng = random.Random(7)
    latencies_s = sorted(rng.lognormvariate(-1.5, 0.8) for _ in range(2000))
    recorder = AttemptRecorder(0.0)
    for latency_s in latencies_s:
        recorder.record("b1", "r", Code.OK, latency_s, False, 0.1)
    estimate = quantile(recorder.current["b1", "r"][len(OUTCOMES) :], fraction)
    assert estimate is not None and 0.5 < estimate / latencies_s[int(fraction * len(latencies_s))] < 2
    assert quantile(recorder.current["b1", "r"][:0], fraction) is None and latency_bucket(
        1e9
    ) == latency_bucket(70.0)


def test_status_changes_are_kept_and_slow_has_hysteresis() -> None:
    stock, recorder = stock_of("b1", "b2"), AttemptRecorder(0.0)
    assert [
        (change.server_id, change.previous_codes, change.codes)
        for change in recorder.check_statuses(stock, 0.0)
    ] == [("b1", None, ()), ("b2", None, ())]
    upstream = stock.upstreams["b1"]
    upstream.health.slowdown = 2.1
    stock.record_failure(stock.upstreams["b2"], 0.5, unreachable=True)
    changes = {change.server_id: change for change in recorder.check_statuses(stock, 0.5)}
    assert changes["b1"].codes == ("slow",) and changes["b1"].relative_latency == 2.1
    assert changes["b2"].codes == ("unreachable", "doubtful", "erring") and changes["b2"].error_rate == 0.25
    upstream.health.slowdown = 1.9
    assert "b1" not in {change.server_id for change in recorder.check_statuses(stock, 0.6)}
    upstream.health.slowdown = 1.4
    assert {change.server_id: change.previous_codes for change in recorder.check_statuses(stock, 0.7)}[
        "b1"
    ] == ("slow",)
    stock.remove("b1")
    assert [(change.server_id, change.codes) for change in recorder.check_statuses(stock, 0.8)] == [
        ("b1", ("gone",))
    ]
    assert recorder.statuses["b1"].address == "127.0.0.9:1"  # still needed for the counts of removed servers
    recorder.check_statuses(stock, 0.9 + RETENTION_S)
    assert "b1" not in recorder.statuses
    for number in range(2 * MAX_CHANGES):
        stock.upstreams["b2"].silent = bool(number % 2)
        recorder.check_statuses(stock, 200.0)
    assert len(recorder.changes) == MAX_CHANGES


# Aggregation over gateways.


def row(server_id: str, ok: int, *avoided: str, **outcomes: int) -> Row:
    routes = {"r": {"ok": ok, "times": {"8": ok}, **outcomes}} if ok or outcomes else {}
    return {
        "id": server_id, "service": "books", "zone": "a", "region": "north", "address": "127.0.0.9:1",
        "slots": 2, "routes": routes, "avoided": list(avoided), "since_s": 3.0,
    }  # fmt: skip


def view(zone: str, *rows: Row, changes: tuple[Row, ...] = ()) -> Row:
    return {"zone": zone, "servers": list(rows), "changes": list(changes), "covers_s": 60.0}


def control(**states: str) -> Row:
    return {
        "evacuated": ["c"],
        "servers": [
            {
                "id": server_id,
                "service": "books",
                "zone": "a",
                "address": "127.0.0.9:1",
                "state": state,
                "slots": 2,
            }
            for server_id, state in states.items()
        ],
    }


def test_summaries_and_findings_of_all_gateways() -> None:
    views = {
        "edge-a-1": view("a", row("b1", 90), row("b2", 8, "erring", error=6, while_cold=2)),
        "edge-b-1": view("b", row("b1", 30), row("b4", 1)),
        "edge-b-2": None,
    }
    summaries = summarize(control(b1="ready", b2="ready", b3="ready", b4="draining", b5="gone"), views)
    rows = {summary.server_id: summary.as_json() for summary in summaries}
    assert list(rows) == ["b1", "b2", "b4", "b3"]  # b5 is gone and got no requests
    assert rows["b1"]["by_zone"] == {"a": 90, "b": 30} and rows["b1"]["gateways"] == 2
    assert (rows["b1"]["part"], rows["b4"]["part"]) == (0.3333, None)
    assert rows["b2"]["failed"] == round(6 / 14, 4) and rows["b2"]["avoided"]["erring"]["gateways"] == 1
    texts = {(code, server_id): text for code, server_id, text in findings(summaries, 2)}
    assert set(texts) == {
        ("uneven", "b1"), ("unreached", "b3"), ("failing", "b2"), ("while_cold", "b2"), ("leaving", "b4"),
    }  # fmt: skip
    assert "no reason reported" in texts["unreached", "b3"]
    assert "erring at 1 of 2 for up to 3 s" in texts["failing", "b2"]


def test_shares_are_only_judged_with_enough_requests() -> None:
    few = summarize(control(b1="ready", b2="ready"), {"g": view("a", row("b1", 19))})
    assert not findings(few, 1)
    servers = {f"b{number}": "ready" for number in range(6)}
    rows = [row(server_id, 10) for server_id in servers if server_id != "b0"]
    many = summarize(control(**servers), {"g": view("a", row("b0", 100), *rows)})
    assert [(code, server_id) for code, server_id, _ in findings(many, 1)] == [("uneven", "b0")]


def test_same_change_at_several_gateways_is_merged() -> None:
    def change(age_s: float, codes: list[str], errors: float = 0.0) -> Row:
        return {"s_ago": age_s, "id": "b1", "service": "books", "zone": "a", "was": [], "codes": codes,
                "errors": errors, "pace": 1.0, "told": 0.0}  # fmt: skip

    changes = timeline({
        "g1": view("a", changes=(change(9.0, ["erring"], 0.3), change(2.0, []))),
        "g2": view("a", changes=(change(8.0, ["erring"], 0.5),)),
        "g3": view("a", changes=(change(4.0, ["erring"], 0.4),)),
        "g4": None,
    })  # fmt: skip
    assert [(entry["s_ago"], entry["codes"], entry["gateways"], entry["errors"]) for entry in changes] == [
        (9.0, ["erring"], ["g1", "g2"], 0.5), (4.0, ["erring"], ["g3"], 0.4), (2.0, [], ["g1"], 0.0),
    ]  # fmt: skip
    assert math.isclose(changes[0]["pace"], 1.0)


def test_bounded_checks_cover_all_servers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_CHECKS_PER_CALL", 3)
    stock, recorder = stock_of(*(f"b{number}" for number in range(7))), AttemptRecorder(0.0)
    checked = [
        [change.server_id for change in recorder.check_statuses(stock, float(number))] for number in range(3)
    ]
    assert [len(server_ids) for server_ids in checked] == [3, 3, 1] and len(
        {server_id for server_ids in checked for server_id in server_ids}
    ) == 7
    del stock.upstreams["b1"]
    removed = [change for number in range(3, 9) for change in recorder.check_statuses(stock, float(number))]
    assert [(change.server_id, change.codes) for change in removed] == [("b1", ("gone",))]
