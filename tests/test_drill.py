"""The simulator adapter, started by the ``sim`` command of the deploy file."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

OPTIONS: dict[str, Any] = {
    "Allowed": {"TryLimit": 3, "Cancelling": True},
    "Categories": [{"AimNs": 10**9, "GiveUpNs": 3 * 10**9, "Name": "read", "Repeat": "safe", "Worth": 1.0}],
    "Domain": {"SharedCounter": False, "CountLimitNs": 50000000, "Largest": 1},
    "Index": 0,
    "Invariants": {"ColdNs": 10**9, "StartCapacity": 0.2, "FallMultiple": 3.0, "FallNs": 10**9},
    "NInstances": 2,
    "Tariffs": [{"Name": "basic", "Refill": 1.0, "MostAtOnce": 4.0}],
    "Zone": "z",
    "Unknown": {"extra": 1},
}
UP = {"t": "Up", "I": 1, "InitSeed": 7, "Options": OPTIONS, "Novel": True}
ENTRY = {"Server": "s", "Condition": "active", "Area": "z", "FamilyType": "k"}
ORDER = {
    "t": "Order", "I": 1, "Txn": "x", "Units": 1, "Service": "read", "Tier": "basic",
    "LeftNs": 10**9, "Spread": 2, "Customer": "c",
}  # fmt: skip


def run_adapter(*lines: object) -> subprocess.CompletedProcess[str]:
    command = tomllib.loads(Path("deploy/balancer.toml").read_text())["sim"].split()
    assert command[0] == "exec"
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, *command[2:]], input=text, capture_output=True, text=True, timeout=30
    )


def batch(*events: object) -> list[object]:
    return [{"t": "Clock", "TNs": 5 * 10**9, "frame": 1}, *events, {"t": "Flush"}]


def test_a_request_is_sent_before_the_end_of_its_batch() -> None:
    directory = {"t": "Directory", "Page": 0, "Elements": [ENTRY]}
    announcement = {"t": "Announce", "I": 1, "Page": 0, "Form": "warm_copy", "Index": 1}
    process = run_adapter(*batch(UP, directory, announcement, ORDER))
    assert process.returncode == 0, process.stderr
    replies = [json.loads(line) for line in process.stdout.splitlines()]
    assert [r["t"] for r in replies if r["t"] == "Issue"] == ["Issue"]
    assert replies[-1] == {"t": "End", "frame": 1}


def test_empty_input_succeeds() -> None:
    assert run_adapter().returncode == 0


def test_a_malformed_message_is_reported_with_its_batch() -> None:
    for message, expected in (
        ("not json", "not JSON"),
        ({"t": "Order", "I": 1}, "Txn"),
        ({"t": "Nonsense"}, "Nonsense"),
        ({"no": "type"}, "'t'"),
        ({**ORDER, "Tier": "gold"}, "gold"),
    ):
        process = run_adapter(*batch(UP, message))
        assert process.returncode != 0
        assert expected in process.stderr and "batch 1" in process.stderr


def test_a_killed_gateway_can_be_started_again() -> None:
    process = run_adapter(*batch(UP, {"t": "Kill", "I": 1}, UP, ORDER))
    assert process.returncode == 0, process.stderr
