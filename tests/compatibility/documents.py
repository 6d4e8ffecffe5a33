"""The configuration documents of the recordings."""

from __future__ import annotations

from typing import Any


def document(version: int, rules: int = 6) -> dict[str, Any]:
    rule_set: list[dict[str, Any]] = [
        {
            "name": f"rule-{number}",
            "matchCriteria": {"pathPrefix": f"/{number}/"},
            "cluster": "shop",
            "timeoutMs": 100 + number,
        }
        for number in range(rules)
    ]
    rule_set.append(
        {
            "name": "newest",
            "matchCriteria": {"pathPrefix": "/"},
            "cluster": "shop",
            "timeoutMs": 100 * version,
        }
    )
    return {
        "version": f"{version:08x}",
        "listenerList": [{"host": "shop.example", "ruleSet": rule_set}],
        "clusterList": [{"name": "shop"}],
        "limits": {"maxBodyBytes": 1000 * version},
    }
