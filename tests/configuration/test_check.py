"""Validation of configurations: each kind of fault, and valid boundary cases."""

import json
from random import Random
from typing import Any

import pytest
from returns.result import Failure, Success

from latchspoke.configuration import InvalidConfigurationError, check, compile_table, parse_version, read
from latchspoke.configuration.review import review
from tests.configuration.documents import corrupt, sample_document

RULE, ACTION = "listenerList.0.ruleSet.0.", "listenerList.0.ruleSet.0.actionSpec."


def with_value(path: str, value: object) -> dict[str, Any]:
    """The sample document with one field set."""
    doc = sample_document()
    *parents, key = path.split(".")
    part: Any = doc
    for parent in parents:
        part = part[int(parent) if isinstance(part, list) else parent]
    part[int(key) if isinstance(part, list) else key] = value
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
def test_an_invalid_field_is_reported_by_its_path(path: str, value: object) -> None:
    found = [fault.path.replace("[", ".").replace("]", "") for fault in check(with_value(path, value))]
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
def test_optional_and_boundary_values_are_valid(path: str, value: object) -> None:
    doc = with_value(path, value)
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
def test_invalid_affinity_is_reported_by_its_path(value: object, faults: list[str]) -> None:
    prefix = "listenerList[0].ruleSet[0].actionSpec.affinity"
    found = check(with_value(ACTION + "affinity", value))
    assert [fault.path for fault in found] == [prefix + fault for fault in faults]


@pytest.mark.parametrize("body", ["", "[]", b"\xff", '{"version":"00000007"', "[" * 100_000])
def test_malformed_json_is_refused_with_one_line(body: str | bytes) -> None:
    with pytest.raises(InvalidConfigurationError) as caught:
        read(body)
    assert len(str(caught.value).splitlines()) == 1


def test_review_returns_a_result_without_keys() -> None:
    assert isinstance(review(json.dumps(sample_document())), Success)
    found = review(json.dumps(with_value("tenants.1.apiKeys", ["cuyj"])))
    assert isinstance(found, Failure) and "cuyj" not in str(found.failure())


def test_a_version_is_exactly_eight_digits() -> None:
    assert parse_version("0000000c") == 12
    for text in ("0x00000c", "0000_00c", "+000000c", " 000000c", "0000000c\n", ""):
        with pytest.raises(ValueError, match="eight"):
            parse_version(text)


def test_corrupted_documents_never_crash_the_check_and_valid_ones_compile() -> None:
    rng, passed = Random(5), 0
    for _ in range(800):
        doc = corrupt(rng, sample_document())
        if not check(doc):
            passed += 1
            table = compile_table(doc)
            assert all(route.service(0.5) in table.services for route in table.routes.values())
    assert 50 < passed < 750
