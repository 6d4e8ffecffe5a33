"""Patches of the configuration by item name: applying them and computing them from two versions.

Documents are never modified; a result shares the unchanged parts with the original.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any, cast

from latchspoke.configuration.check import parse_base_version, parse_version
from latchspoke.configuration.routes import normalize_host
from latchspoke.configuration.shape import Document, Patch

Fields = dict[str, Any]

ROUTES = "routes"
VERSION_FIELDS = ("version", "baseVersion")
# Names accepted in `remove`, and the lists of the configuration that they stand for.
SECTION_ALIASES = {"services": "clusterList", "clusters": "clusterList"}


def apply_patch(doc: Document, patch: object) -> Document:
    """The configuration after the patch; the caller validates it. Raises ValueError with a one-line message.

    Names are removed first, so an item that is both removed and upserted stays. Existing items are replaced
    in place, new ones are appended. A rule moves to the host under which the patch lists it, and a host
    without rules is removed. Objects such as ``limits`` are merged field by field.
    """
    change = _require_object(patch, "a change")
    parse_version(change.get("version", ""))
    parse_base_version(change.get("baseVersion"))
    upsert = _require_object(change.get("upsert") or {}, "upsert")
    remove = _require_object(change.get("remove") or {}, "remove")

    result: Fields = {**doc}
    removed_rules: set[str] = set()
    for field, names in remove.items():
        if names is None:
            continue
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise ValueError(f"remove.{field} must be a list of names")
        if field == ROUTES:
            removed_rules.update(names)
            continue
        section = SECTION_ALIASES.get(field, field)
        items = result.get(section)
        if section != "listenerList" and isinstance(items, list):
            removed_names = set(names)
            result[section] = [item for item in items if _optional_name(item) not in removed_names]
        elif names and section not in ("clusterList", "tenants"):
            raise ValueError(f"remove.{field} is not a list that is known")
    result["listenerList"] = _merge_listeners(
        doc["listenerList"], upsert.get("listenerList") or [], removed_rules
    )
    for field, value in upsert.items():
        if field == "listenerList" or value is None:
            continue
        if field in VERSION_FIELDS:
            raise ValueError(f"upsert.{field} can't be changed")
        result[field] = _merge(result.get(field), value, f"upsert.{field}")

    result["version"] = change["version"]
    result.pop("baseVersion", None)
    if "baseVersion" in change:
        result["baseVersion"] = change["baseVersion"]
    return cast(Document, result)


def diff(old: Document, new: Document) -> Patch | None:
    """The patch that turns ``old`` into ``new``, both valid; None if ``new`` has to be sent as a whole.

    That is the case if the patch is not shorter, or can't express the change, such as a removed field. The
    patch does not preserve the order of items. It is verified: ``old`` with it is equivalent to ``new``.
    """
    old_rules, new_rules = _rules_by_name(old), _rules_by_name(new)
    upsert: Fields = {}
    remove: Fields = {}
    listeners = []
    old_extra_fields = _extra_fields_by_host(old)
    for listener in new["listenerList"]:
        fields = cast(Fields, listener)
        host = fields["host"]
        rules = [rule for rule in fields["ruleSet"] if old_rules.get(rule["name"]) != (host, rule)]
        if rules or old_extra_fields.get(host, {}) != _extra_fields(fields):
            listeners.append({**fields, "ruleSet": rules})
    if listeners:
        upsert["listenerList"] = listeners
    if removed_names := [name for name in old_rules if name not in new_rules]:
        remove[ROUTES] = removed_names
    for field in ("clusterList", "tenants"):
        old_items = {item["name"]: item for item in cast(Fields, old).get(field) or ()}
        new_items = cast(Fields, new).get(field) or ()
        if changed := [item for item in new_items if old_items.get(item["name"]) != item]:
            upsert[field] = changed
        elif _is_new_empty_list(old, new, field):
            upsert[field] = []
        new_names = {item["name"] for item in new_items}
        if removed_names := [name for name in old_items if name not in new_names]:
            remove["services" if field == "clusterList" else field] = removed_names
    limits = (cast(Fields, old).get("limits") or {}), (cast(Fields, new).get("limits") or {})
    if limits[0] != limits[1]:
        upsert["limits"] = {
            key: value for key, value in limits[1].items() if key not in limits[0] or limits[0][key] != value
        }
    patch: Fields = {"version": new["version"], "upsert": upsert, "remove": remove}
    if "baseVersion" in new:
        patch["baseVersion"] = new["baseVersion"]
    if _encoded_size(patch) >= _encoded_size(new) or _canonical_form(
        apply_patch(old, patch)
    ) != _canonical_form(new):
        return None
    return cast(Patch, patch)


def _is_new_empty_list(old: Document, new: Document, field: str) -> bool:
    """Whether ``new`` has this list, without items, and ``old`` does not have it at all."""
    return cast(Fields, old).get(field) is None and cast(Fields, new).get(field) == []


def _merge_listeners(old: Iterable[Any], upserts: object, removed_rules: set[str]) -> list[Fields]:
    """The listeners after the upserts, without the removed rules."""
    hosts_by_rule: dict[str, str] = {}  # target host of each upserted rule
    new_rules: dict[str, dict[str, Fields]] = {}
    extras: dict[str, Fields] = {}
    for index, listener in enumerate(_require_objects(upserts, "upsert.listenerList")):
        path = f"upsert.listenerList[{index}]"
        host, rules = listener.get("host"), listener.get("ruleSet")
        if not isinstance(host, str):
            raise ValueError(f"{path}.host must be a text")
        extras[host] = {**extras.get(host, {}), **_extra_fields(listener)}
        new_rules.setdefault(host, {})
        for rule in _require_objects(rules, f"{path}.ruleSet"):
            name = _required_name(rule, f"{path}.ruleSet")
            if name in hosts_by_rule:
                raise ValueError(f"{path}.ruleSet holds {name!r:.60}, which the change gives twice")
            hosts_by_rule[name] = host
            new_rules[host][name] = rule

    result = []
    for listener in old:
        host = listener["host"]
        host_rules = new_rules.get(host, {})
        rules = []
        for rule in listener["ruleSet"]:
            name = rule["name"]
            if name in host_rules:
                rules.append(host_rules.pop(name))
            elif name not in removed_rules and name not in hosts_by_rule:
                rules.append(rule)
        if rules or not listener["ruleSet"] or host in extras:
            result.append({**listener, **extras.get(host, {}), "ruleSet": rules})
    # A host may have several listeners; the last one gets the new rules.
    listeners_by_host = {listener["host"]: listener for listener in result}
    for host, host_rules in new_rules.items():
        if host in listeners_by_host:
            listeners_by_host[host]["ruleSet"].extend(host_rules.values())
        else:
            result.append({"host": host, **extras[host], "ruleSet": list(host_rules.values())})
    return result


def _merge(old: object, new: object, path: str) -> object:
    if isinstance(new, list):
        items = _require_objects(new, path)
        new_items = {_required_name(item, path): item for item in items}
        if len(new_items) < len(items):
            raise ValueError(f"{path} gives a name twice")
        kept = (
            [new_items.pop(_optional_name(item) or "", item) for item in old] if isinstance(old, list) else []
        )
        return kept + list(new_items.values())
    if isinstance(new, dict):
        return {**old, **new} if isinstance(old, dict) else new
    return new


def _canonical_form(doc: Document) -> tuple[object, ...]:
    """A value that is equal for documents with the same meaning, independent of the order of items."""
    fields = cast(Fields, doc)
    by_prefix = {
        (normalize_host(listener["host"]), rule["matchCriteria"]["pathPrefix"]): rule["name"]
        for listener in fields["listenerList"]
        for rule in listener["ruleSet"]
    }
    items_by_name = [
        {item["name"]: item for item in fields.get(section) or ()} for section in ("clusterList", "tenants")
    ]
    other_fields = {
        key: value
        for key, value in fields.items()
        if key not in ("listenerList", "clusterList", "tenants", "limits")
    }
    return (
        fields.get("tenants") is None,  # without the list, requests need no keys
        _rules_by_name(doc),
        _extra_fields_by_host(doc),
        by_prefix,
        items_by_name,
        fields.get("limits") or {},
        other_fields,
    )


def _rules_by_name(doc: Document) -> dict[str, tuple[str, Fields]]:
    """Each rule with its host, by rule name."""
    return {
        rule["name"]: (listener["host"], cast(Fields, rule))
        for listener in doc["listenerList"]
        for rule in listener["ruleSet"]
    }


def _extra_fields_by_host(doc: Document) -> dict[str, Fields]:
    return {
        listener["host"]: _extra_fields(cast(Fields, listener))
        for listener in doc["listenerList"]
        if listener["ruleSet"]
    }


def _extra_fields(listener: Fields) -> Fields:
    return {key: value for key, value in listener.items() if key not in ("host", "ruleSet")}


def _encoded_size(message: object) -> int:
    return len(json.dumps(message, separators=(",", ":")))


def _require_object(value: object, path: str) -> Fields:
    if not isinstance(value, dict):
        raise ValueError(f"{path} must be an object")
    return value


def _require_objects(value: object, path: str) -> list[Fields]:
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise ValueError(f"{path} must be a list of objects")
    return value


def _optional_name(item: object) -> str | None:
    """The name of an item; None without one, as possible in lists of unknown fields."""
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None


def _required_name(item: Fields, path: str) -> str:
    name = item.get("name")
    if not isinstance(name, str):
        raise ValueError(f"{path} holds an item without a name")
    return name
