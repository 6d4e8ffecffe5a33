"""Configurations for output: with hidden keys, and the differences between two of them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from latchspoke.configuration import Document

MASK = "(hidden key)"
Fields = dict[str, Any]


def mask_keys(document: Mapping[str, Any]) -> Fields:
    """A copy with every key hidden; it is refused as a configuration."""
    result = dict(document)
    if isinstance(result.get("tenants"), list):
        result["tenants"] = [mask_tenant(tenant) for tenant in result["tenants"]]
    return result


def mask_tenant(tenant: Any) -> Any:
    """The tenant with its keys hidden."""
    if not isinstance(tenant, dict) or "apiKeys" not in tenant:
        return tenant
    keys = tenant["apiKeys"]
    return {**tenant, "apiKeys": [MASK] * (len(keys) if isinstance(keys, list) else 1)}


def differences(old: Document, new: Document) -> Iterator[Fields]:
    """Differences between two versions: ``what`` (added, removed, changed), the item and its fields."""
    if old["version"] != new["version"]:
        yield {
            "what": "changed", "item": "version", "name": "",
            "fields": {"version": [old["version"], new["version"]]},
        }  # fmt: skip
    for kind, get_items in (
        ("route", routes),
        ("service", services),
        ("tenant", tenants),
        ("limits", limits),
    ):
        before, after = get_items(old), get_items(new)
        for name in before.keys() - after.keys():
            yield {"what": "removed", "item": kind, "name": name, "fields": {}}
        for name, fields in after.items():
            if name not in before:
                yield {"what": "added", "item": kind, "name": name, "fields": {}}
                continue
            old_fields = before[name]
            changed_fields = {
                field: [old_fields.get(field), fields.get(field)]
                for field in sorted(old_fields.keys() | fields.keys())
                if old_fields.get(field) != fields.get(field)
            }
            if kind == "tenant":
                changed_fields = count_key_changes(changed_fields)
            if changed_fields:
                yield {"what": "changed", "item": kind, "name": name, "fields": changed_fields}


def count_key_changes(changed_fields: Fields) -> Fields:
    """Replace the keys by the numbers of added and removed ones."""
    keys = changed_fields.pop("apiKeys", None)
    if keys is not None:
        before, after = set(keys[0] or ()), set(keys[1] or ())
        changed_fields["apiKeys"] = f"{len(after - before)} added, {len(before - after)} removed"
    return changed_fields


def routes(document: Document) -> dict[str, Fields]:
    """Routes by name, each flattened into one level of fields."""
    routes_by_name: dict[str, Fields] = {}
    for listener in document["listenerList"]:
        for rule in listener["ruleSet"]:
            fields: Fields = {"host": listener["host"]}
            for field, value in rule.items():
                fields.update(value if isinstance(value, dict) else {field: value})
            routes_by_name[rule["name"]] = fields
    return routes_by_name


def services(document: Document) -> dict[str, Fields]:
    """Services by name."""
    return {item["name"]: dict(item) for item in document["clusterList"]}


def tenants(document: Document) -> dict[str, Fields]:
    """Tenants by name."""
    return {item["name"]: dict(item) for item in document.get("tenants") or ()}


def limits(document: Document) -> dict[str, Fields]:
    """The limits, as one item without a name."""
    return {"": dict(document.get("limits") or {})}
