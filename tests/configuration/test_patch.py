"""Applying patches, and computing the patch between two versions."""

import json
from contextlib import suppress
from random import Random
from typing import Any, cast

import pytest

from latchspoke.configuration import Document, apply_patch, check, compile_table, diff
from tests.configuration.documents import corrupt, random_document, sample_document

HEAD = {"version": "00000009", "baseVersion": "00000007"}


def apply_to_sample(upsert: object = None, remove: object = None) -> dict[str, Any]:
    before = sample_document()
    result = apply_patch(cast(Document, before), {**HEAD, "upsert": upsert, "remove": remove})
    assert before == sample_document()
    return cast(dict[str, Any], result)


def rule(name: str, prefix: str, service: str = "wuno96b") -> dict[str, object]:
    return {"name": name, "matchCriteria": {"pathPrefix": prefix}, "actionSpec": {"service": service}}


def rule_names_by_host(doc: dict[str, Any]) -> dict[str, list[str]]:
    return {entry["host"]: [rule["name"] for rule in entry["ruleSet"]] for entry in doc["listenerList"]}


def test_a_rule_is_added_replaced_or_moved_to_another_host() -> None:
    doc = apply_to_sample(
        {"listenerList": [{"host": "jepu9.example", "ruleSet": [rule("r-e9itfrz", "/n/"), rule("x", "/x/")]}]}
    )
    assert rule_names_by_host(doc) == {"jepu9.example": ["r-e9itfrz", "x"], "hulo84.example": ["r-m2d54xb"]}
    assert doc["listenerList"][0]["ruleSet"][0] == rule("r-e9itfrz", "/n/")
    assert {key: doc[key] for key in HEAD} == HEAD and not check(doc)
    doc = apply_to_sample({"listenerList": [{"host": "new", "ruleSet": [rule("r-m2d54xb", "/n/")]}]})
    assert rule_names_by_host(doc) == {"jepu9.example": ["r-e9itfrz"], "new": ["r-m2d54xb"]} and not check(
        doc
    )


def test_names_are_removed_and_unknown_names_are_ignored() -> None:
    doc = apply_to_sample(
        None, {"routes": ["r-m2d54xb", "r-old"], "services": ["wuno96b", "z"], "tenants": ["t2"]}
    )
    assert rule_names_by_host(doc) == {"jepu9.example": ["r-e9itfrz"]} and not check(doc)
    assert [item["name"] for item in doc["clusterList"]] == ["huvo11a", "kafi81c"]
    assert [item["name"] for item in doc["tenants"]] == ["sese880"]
    assert check(apply_to_sample(None, {"services": ["huvo11a"]}))
    # An item that is both removed and upserted stays.
    upsert = {"listenerList": [{"host": "hulo84.example", "ruleSet": [rule("r-m2d54xb", "/n/")]}]}
    assert rule_names_by_host(apply_to_sample(upsert, {"routes": ["r-m2d54xb"]}))["hulo84.example"] == [
        "r-m2d54xb"
    ]


def test_services_tenants_and_limits_are_merged() -> None:
    tenants = [{"name": "t2", "apiKeys": ["k3"]}, {"name": "t3", "apiKeys": ["k2"]}]
    doc = apply_to_sample({"clusterList": [{"name": "n"}], "tenants": tenants, "limits": {"idleTimeoutS": 9}})
    assert doc["tenants"][1:] == tenants and doc["clusterList"][-1] == {"name": "n"} and not check(doc)
    assert doc["limits"] == {**sample_document()["limits"], "idleTimeoutS": 9}
    assert check(apply_to_sample({"tenants": [{"name": "t3", "apiKeys": ["k2"]}]}))


@pytest.mark.parametrize(
    "change",
    [
        [],
        {"baseVersion": "00000007"},
        {**HEAD, "remove": {"routes": "r"}},
        {**HEAD, "remove": {"planets": ["r"]}},
        {**HEAD, "upsert": {"version": "0000000a"}},
        {**HEAD, "upsert": {"listenerList": [{"ruleSet": []}]}},
        {**HEAD, "upsert": {"listenerList": [{"host": "h", "ruleSet": [rule("a", "/"), rule("a", "/")]}]}},
    ],
)
def test_a_malformed_patch_is_refused_with_one_line(change: object) -> None:
    with pytest.raises(ValueError, match=r".") as caught:
        apply_patch(cast(Document, sample_document()), change)
    assert len(str(caught.value).splitlines()) == 1


def test_corrupted_patches_raise_only_value_errors() -> None:
    rng, valid = Random(6), 0
    for _ in range(250):
        patch = diff(random_document(rng, 1), random_document(rng, 2)) or HEAD
        with suppress(ValueError):
            valid += not check(apply_patch(random_document(rng, 1), corrupt(rng, patch)))
    assert valid


def test_a_computed_patch_leads_from_old_to_new() -> None:
    patch_count = 0
    for seed in range(150):
        rng = Random(seed)
        old = random_document(rng, 1)
        new = (
            random_document(rng, 2)
            if seed % 3
            else apply_patch(old, {"version": "00000002", "upsert": {"limits": {}}})
        )
        assert not check(old) and not check(new), seed
        patch = diff(old, new)
        if patch is None:
            continue
        patch_count += 1
        applied = apply_patch(old, json.loads(json.dumps(patch)))
        assert not check(applied), seed
        patched_table, new_table = compile_table(applied), compile_table(new)
        for field in ("version", "routes", "tenants", "services", "limits", "keyed"):
            assert getattr(patched_table, field) == getattr(new_table, field), (seed, field)
        for index in range(4 * 24):
            request = f"h{index % 4}", f"/p{index // 4}/x"
            assert patched_table.find(*request) == new_table.find(*request), (seed, request)
    assert patch_count > 50


TENANT_LISTS: list[dict[str, Any]] = [
    {}, {"tenants": None}, {"tenants": []}, {"tenants": [{"name": "t", "apiKeys": ["k"]}]},
]  # fmt: skip


@pytest.mark.parametrize("after", TENANT_LISTS, ids=str)
@pytest.mark.parametrize("before", TENANT_LISTS, ids=str)
def test_patches_tell_an_empty_list_of_tenants_from_none(
    before: dict[str, Any], after: dict[str, Any]
) -> None:
    """Guards against gateways that need no keys, while others do, as a patch left out the empty list."""
    old, new = ({**sample_document(), "tenants": None} | fields for fields in (before, after))
    new["version"] = "00000008"
    patch = diff(cast(Document, old), cast(Document, new))
    applied = apply_patch(cast(Document, old), patch) if patch is not None else cast(Document, new)
    table = compile_table(applied)
    assert table.keyed == (new["tenants"] is not None)
    assert set(table.tenants) == {"k" for _ in new["tenants"] or ()}


def test_routes_stay_closed_when_the_last_tenant_is_removed() -> None:
    """Guards against keys that were revoked, and unknown ones, that work again after the last removal."""
    doc = cast(Document, sample_document())
    for version, name in ((8, "sese880"), (9, "t2")):
        doc = apply_patch(doc, {"version": f"{version:08x}", "remove": {"tenants": [name]}})
    assert not check(doc) and doc["tenants"] == []
    table = compile_table(doc)
    assert table.keyed and not table.tenants


def test_a_patch_is_small_or_none() -> None:
    old, new = cast(Document, sample_document()), sample_document()
    new["version"] = "00000008"
    new["listenerList"][0]["ruleSet"][0]["priority"] = 0
    patch = diff(old, cast(Document, new))
    assert patch and len(json.dumps(patch)) < len(json.dumps(new)) / 2 and patch["upsert"]
    del new["limits"]["idleTimeoutS"]  # a patch can't remove a field
    assert diff(old, cast(Document, new)) is None
