"""The routing table: lookup of routes, services, tenants and callers."""

from collections import Counter
from random import Random
from typing import Any, cast

from latchspoke.configuration import Document, Limits, Service, Table, Tenant, compile_table
from tests.configuration.documents import sample_document


def compile_routes(prefixes: dict[str, str], host: str = "a.example", **action: Any) -> Table:
    """A table with routes given by name and prefix."""
    rules = [
        {"name": name, "matchCriteria": {"pathPrefix": prefix}, "actionSpec": {"service": "s", **action}}
        for name, prefix in prefixes.items()
    ]
    listeners = [{"host": host, "ruleSet": rules}]
    doc = {"version": "0000000c", "listenerList": listeners, "clusterList": [{"name": "s"}]}
    return compile_table(cast(Document, doc))


def route_name(table: Table, host: str | bytes, path: str | bytes) -> str | None:
    route = table.find(host, path)
    return route.name if route else None


def test_the_longest_prefix_of_the_host_wins() -> None:
    table = compile_routes(
        {"all": "/", "a": "/a/", "deep": "/a/b/c/", "odd": "/a/bc", "long": "/a/b/c/d/e/f/"}
    )
    expected = {"/": "all", "/a": "all", "/a/": "a", "/a/b/c": "a", "/a/b/c/x": "deep", "/a/bcd/e": "odd"}
    expected |= {
        "/a/b/c/?q=/d/e/f/": "deep",
        "/x/a/b/c/": "all",
        "/a/b/c/d/e/f/g/h/": "long",
        "/a?/b/": "all",
    }
    for path, expected_name in expected.items():
        assert (
            route_name(table, b"a.example", path)
            == route_name(table, "a.example", path.encode())
            == expected_name
        ), path
    assert route_name(table, "b.example", "/a/") is route_name(table, "a.example", "*") is None
    # Of two rules with the same prefix, the later one applies.
    assert route_name(compile_routes({"one": "/a/", "two": "/a/"}), "a.example", "/a/") == "two"


def test_hosts_compare_without_case_and_port() -> None:
    table = compile_routes({"r": "/r/"}, "A.Example")
    assert [route_name(table, host, "/r/") for host in ("a.example", b"A.EXAMPLE:8206", "a.example:")] == [
        "r"
    ] * 3
    assert route_name(table, "a.example:x", "/r/") is None
    assert route_name(compile_routes({"r": "/r/"}, "[::1]"), "[::1]:80", "/r/") == "r"


def test_a_split_is_chosen_by_weight() -> None:
    def split(*weights: float) -> list[dict[str, object]]:
        return [{"service": f"s{index}", "weight": weight} for index, weight in enumerate(weights)]

    route = compile_routes({"r": "/"}, weightedSplit=split(0, 90, 0, 10, 0)).routes["r"]
    rng = Random(1)
    counts = Counter(route.service(rng.random()) for _ in range(5000))
    assert set(counts) == {"s1", "s3"} and 400 < counts["s3"] < 600
    assert (route.service(0.0), route.service(1.0)) == ("s1", "s3")
    assert compile_routes({"r": "/"}, weightedSplit=split(0, 0)).routes["r"].service(0.7) == "s0"


def test_the_sample_document_and_the_defaults_compile() -> None:
    table = compile_table(cast(Document, sample_document()))
    route = table.find(b"hulo84.example", b"/xapu221/ny95/2f")
    assert route and (route.repeatable, route.aim, route.timeout, route.attempts) == (False, 0.5, 2.0, 2)
    assert route.homes == {"brno"} and not route.keyless and table.keyed and table.version == 7
    assert table.tenant("cuyj") == Tenant("sese880", 70.0, 70.0, 1, frozenset())
    assert table.tenant("k2") == Tenant("t2", 0.0, 0.0, None, frozenset()) and table.tenant("x") is None
    assert table.services["huvo11a"] == Service("huvo11a", "/health", 110, 3.0, 5.3)
    table = compile_routes({"r": "/"})
    route = table.routes["r"]
    assert (route.repeatable, route.attempts, route.priority, route.keyless) == (False, 1, 0, False)
    assert table.limits == Limits(16384, 64 << 20, 3.0, 15.0) and not table.keyed
    assert table.services["s"] == Service("s", "/health", 0, 0.0, 0.0)


def test_a_caller_is_identified_by_the_first_source_present() -> None:
    sources = ["header:X-Member", "cookie:Sid", "path:2", "tenant"]
    affinity = (
        compile_routes({"a": "/"}, affinity={"callerFrom": sources, "exchangeS": 5}).routes["a"].affinity
    )
    assert affinity is not None and affinity.exchange_s == 5
    cookie = {b"cookie": b"sid=no; Sid=c1=x; b=2"}
    assert affinity.caller({b"x-member": b"m1", **cookie}, b"/a/b", "t") == b"m1"
    assert affinity.caller(cookie, b"/a/b", "t") == b"c1=x"
    assert affinity.caller({}, b"/a/b?x=/c", "t") == b"b"
    assert affinity.caller({}, b"/a?x=/c/d", "t") == b"t"
    assert affinity.caller({}, b"/a/", "") is None
    assert compile_routes({"a": "/"}).routes["a"].affinity is None
