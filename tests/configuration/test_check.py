"""Each reason for which the operator's page calls a configuration invalid, and what it does not forbid."""

import json
from random import Random
from typing import Any

import pytest
from returns.result import Failure, Success

from latchspoke.configuration import InvalidConfigurationError, check, compile_table, parse_version, read
from latchspoke.configuration.review import review
from tests.configuration.drawn import page, spoil

RULE, ACTION = "listenerList.0.ruleSet.0.", "listenerList.0.ruleSet.0.actionSpec."


def changed(path: str, value: object) -> dict[str, Any]:
    """The page's document with one field set."""
    doc = page()
    *way, last = path.split(".")
    part: Any = doc
    for step in way:
        part = part[int(step) if isinstance(part, list) else step]
    part[int(last) if isinstance(part, list) else last] = value
    return doc


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("tenants.1.apiKeys", ["k2", "cuyj"]),
        (RULE + "matchCriteria.pathPrefix", "lepu270/"),
        (ACTION + "maxAttempts", 0),
        ("listenerList.1.ruleSet.0.actionSpec.service", "gone"),
        (ACTION + "weightedSplit.1.service", "gone"),
        (ACTION + "weightedSplit.0.weight", -1),
        (ACTION + "timeoutS", 600.5),
        (RULE + "targetLatencyS", 61.5),
        ("listenerList.1.ruleSet.0.name", "r-e9itfrz"),
        ("version", "7"),
        ("baseVersion", "x"),
        ("listenerList", None),
        ("clusterList.0", "x"),
        ("tenants.0.ratePerS", True),
        ("tenants.0.name", "a\r\nb"),
        ("limits.idleTimeoutS", float("nan")),
        ("limits.maxBodyBytes", 10**400),
    ],
)
def test_an_invalid_item_is_named(path: str, value: object) -> None:
    found = [fault.path.replace("[", ".").replace("]", "") for fault in check(changed(path, value))]
    assert path in found


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", "0000ABcd"),
        ("baseVersion", 0),
        ("news", {"any": [1]}),
        ("tenants", None),
        ("tenants.0.apiKeys", ["9anu", "9anu"]),
        (ACTION + "timeoutS", 600),
        (RULE + "targetLatencyS", 61.4),
        (ACTION + "weightedSplit.0.weight", 0),
        (ACTION + "maxAttempts", 3.0),
        ("clusterList.0", {"name": "huvo11a"}),
        (
            ACTION + "affinity",
            {"callerFrom": ["header:X-M", "cookie:s_id", "path:2", "tenant"], "near": None},
        ),
        (ACTION + "affinity", {"callerFrom": ["tenant"], "exchangeS": 9, "travels": {}}),
        (
            ACTION + "affinity",
            {
                "callerFrom": ["tenant"],
                "exchangeS": 9,
                "travels": {
                    "lookUpS": 0,
                    "whenLost": "refuse",
                    "exchangeFrom": "header:X-Exchange",
                    "askPath": "/fate/",
                },
            },
        ),
    ],
)
def test_what_the_page_does_not_forbid_is_valid(path: str, value: object) -> None:
    doc = changed(path, value)
    assert check(doc) == []
    compile_table(read(json.dumps(doc)))


@pytest.mark.parametrize(
    ("value", "faults"),
    [
        ([], [""]),
        ({}, [".callerFrom"]),
        ({"callerFrom": "tenant"}, [".callerFrom"]),
        ({"callerFrom": ["tenant", "header:a b", "path:0"]}, [".callerFrom[1]", ".callerFrom[2]"]),
        ({"callerFrom": ["tenant"], "near": "rack", "exchangeS": 3601}, [".near", ".exchangeS"]),
        ({"callerFrom": ["tenant"], "exchangeS": 9, "travels": True}, [".travels"]),
        ({"callerFrom": ["tenant"], "travels": {}}, [".exchangeS"]),
        (
            {
                "callerFrom": ["tenant"],
                "exchangeS": 9,
                "travels": {
                    "lookUpS": 1.5,
                    "whenLost": "guess",
                    "exchangeFrom": "cookie:s",
                    "askPath": "fate?id=",
                },
            },
            [f".travels.{name}" for name in ("lookUpS", "whenLost", "exchangeFrom", "askPath")],
        ),
    ],
)
def test_what_is_wrong_with_keeping_callers_is_told(value: object, faults: list[str]) -> None:
    place = "listenerList[0].ruleSet[0].actionSpec.affinity"
    found = check(changed(ACTION + "affinity", value))
    assert [fault.path for fault in found] == [place + fault for fault in faults]


@pytest.mark.parametrize("body", ["", "[]", b"\xff", '{"version":"00000007"', "[" * 100_000])
def test_a_body_that_cannot_be_read_whole(body: str | bytes) -> None:
    with pytest.raises(InvalidConfigurationError) as caught:
        read(body)
    assert len(str(caught.value).splitlines()) == 1


def test_review_gives_a_result_and_shows_no_key() -> None:
    assert isinstance(review(json.dumps(page())), Success)
    found = review(json.dumps(changed("tenants.1.apiKeys", ["cuyj"])))
    assert isinstance(found, Failure) and "cuyj" not in str(found.failure())


def test_a_version_is_eight_digits_exactly() -> None:
    assert parse_version("0000000c") == 12
    for text in ("0x00000c", "0000_00c", "+000000c", " 000000c", "0000000c\n", ""):
        with pytest.raises(ValueError, match="eight"):
            parse_version(text)


def test_no_document_breaks_the_check_and_what_passes_compiles() -> None:
    random, passed = Random(5), 0
    for _ in range(800):
        doc = spoil(random, page())
        if not check(doc):
            passed += 1
            table = compile_table(doc)
            assert all(route.service(0.5) in table.services for route in table.routes.values())
    assert 50 < passed < 750
