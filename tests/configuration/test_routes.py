"""The table: which route, which service, which tenant."""

from collections import Counter
from random import Random
from typing import Any, cast

from latchspoke.configuration import Document, Limits, Service, Table, Tenant, compile_table
from tests.configuration.drawn import page


def table(prefixes: dict[str, str], host: str = "a.example", **action: Any) -> Table:
    """Routes by name, with their prefixes."""
    rules = [
        {"name": name, "matchCriteria": {"pathPrefix": prefix}, "actionSpec": {"service": "s", **action}}
        for name, prefix in prefixes.items()
    ]
    listeners = [{"host": host, "ruleSet": rules}]
    doc = {"version": "0000000c", "listenerList": listeners, "clusterList": [{"name": "s"}]}
    return compile_table(cast(Document, doc))


def name(table: Table, host: str | bytes, path: str | bytes) -> str | None:
    route = table.find(host, path)
    return route.name if route else None


def test_the_longest_prefix_of_the_host_wins() -> None:
    found = table({"all": "/", "a": "/a/", "deep": "/a/b/c/", "odd": "/a/bc", "long": "/a/b/c/d/e/f/"})
    ways = {"/": "all", "/a": "all", "/a/": "a", "/a/b/c": "a", "/a/b/c/x": "deep", "/a/bcd/e": "odd"}
    ways |= {"/a/b/c/?q=/d/e/f/": "deep", "/x/a/b/c/": "all", "/a/b/c/d/e/f/g/h/": "long", "/a?/b/": "all"}
    for path, wanted in ways.items():
        assert name(found, b"a.example", path) == name(found, "a.example", path.encode()) == wanted, path
    assert name(found, "b.example", "/a/") is name(found, "a.example", "*") is None
    assert name(table({"one": "/a/", "two": "/a/"}), "a.example", "/a/") == "two"  # the later holds


def test_hosts_compare_without_case_and_port() -> None:
    found = table({"r": "/r/"}, "A.Example")
    assert [name(found, host, "/r/") for host in ("a.example", b"A.EXAMPLE:8206", "a.example:")] == ["r"] * 3
    assert name(found, "a.example:x", "/r/") is None
    assert name(table({"r": "/r/"}, "[::1]"), "[::1]:80", "/r/") == "r"


def test_a_split_is_drawn_by_weight() -> None:
    def split(*weights: float) -> list[dict[str, object]]:
        return [{"service": f"s{place}", "weight": weight} for place, weight in enumerate(weights)]

    route = table({"r": "/"}, weightedSplit=split(0, 90, 0, 10, 0)).routes["r"]
    random = Random(1)
    counts = Counter(route.service(random.random()) for _ in range(5000))
    assert set(counts) == {"s1", "s3"} and 400 < counts["s3"] < 600
    assert (route.service(0.0), route.service(1.0)) == ("s1", "s3")
    assert table({"r": "/"}, weightedSplit=split(0, 0)).routes["r"].service(0.7) == "s0"


def test_the_document_of_the_page_and_what_is_left_out_of_it() -> None:
    found = compile_table(cast(Document, page()))
    route = found.find(b"hulo84.example", b"/xapu221/ny95/2f")
    assert route and (route.repeatable, route.aim, route.timeout, route.attempts) == (False, 0.5, 2.0, 2)
    assert route.homes == {"brno"} and not route.keyless and found.keyed and found.version == 7
    assert found.tenant("cuyj") == Tenant("sese880", 70.0, 70.0, 1, frozenset())
    assert found.tenant("k2") == Tenant("t2", 0.0, 0.0, None, frozenset()) and found.tenant("x") is None
    assert found.services["huvo11a"] == Service("huvo11a", "/health", 110, 3.0, 5.3)
    found = table({"r": "/"})
    route = found.routes["r"]
    assert (route.repeatable, route.attempts, route.priority, route.keyless) == (False, 1, 0, False)
    assert found.limits == Limits(16384, 64 << 20, 3.0, 15.0) and not found.keyed
    assert found.services["s"] == Service("s", "/health", 0, 0.0, 0.0)


def test_a_caller_is_told_by_the_first_source_that_a_request_has() -> None:
    sources = ["header:X-Member", "cookie:Sid", "path:2", "tenant"]
    kept = table({"a": "/"}, affinity={"callerFrom": sources, "exchangeS": 5}).routes["a"].affinity
    assert kept is not None and kept.exchange_s == 5
    cookie = {b"cookie": b"sid=no; Sid=c1=x; b=2"}
    assert kept.caller({b"x-member": b"m1", **cookie}, b"/a/b", "t") == b"m1"
    assert kept.caller(cookie, b"/a/b", "t") == b"c1=x"
    assert kept.caller({}, b"/a/b?x=/c", "t") == b"b"
    assert kept.caller({}, b"/a?x=/c/d", "t") == b"t"
    assert kept.caller({}, b"/a/", "") is None
    assert table({"a": "/"}).routes["a"].affinity is None
