"""Parsing of the settings file: types, unknown fields and error messages."""

import json
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import pytest

from latchspoke.settings import FaultTolerance, Settings, SettingsError, load_settings, parse_settings
from tests.configuration.documents import corrupt

NODE_SETTINGS: dict[str, Any] = (
    json.loads("""{"nodeName":"core-a-1","role":"controlplane","machineClass":"core",
"servedRoles":["control","locator"],"ipAddress":"10.1.0.11","zone":"waw-a","region":"mazowsze","zones":{"waw-a":
"mazowsze","krk-a":"malopolska"},"listenAddresses":{"controlPlane":"10.1.0.11:8200","directoryService":
"10.1.0.11:8209","new":"?"},"internalPortRange":[7600,7615],"seedNodes":["10.1.0.11:8200","10.2.0.5:8200"],
"initialStart":true,"lossCounted":true,"limits":{"cpuFraction":0.559,"coreCount":1,"memoryMb":296,
"fileDescriptors":4096,"diskMb":256},"dataDirectory":"/data/controlplane","heartbeatS":1.5,"contractSet":["base",
"drain"],"faultTolerance":{"machineLosses":1,"zones":0,"regionLosses":2},"bounds":["ackS=6",
"revocationEnforced=true","retryRatio=0.2","shape=round"],"tomorrow":{"more":[1]}}""")
)


def make_settings(**fields: object) -> Settings:
    return parse_settings(json.dumps({**NODE_SETTINGS, **fields}), "node.yaml")


def test_all_fields_are_typed_and_unknown_ones_are_ignored(tmp_path: Path) -> None:
    path = tmp_path / "local.yaml"
    with pytest.raises(SettingsError, match=r"local\.yaml: No such file"):
        load_settings(path)
    path.write_text(json.dumps(NODE_SETTINGS))
    settings = load_settings(path)
    assert (settings.name, settings.zone, settings.region, settings.ip_address) == (
        "core-a-1",
        "waw-a",
        "mazowsze",
        "10.1.0.11",
    )
    assert settings.listen_addresses == {
        "controlPlane": ("10.1.0.11", 8200),
        "directoryService": ("10.1.0.11", 8209),
    }
    assert settings.seeds == (("10.1.0.11", 8200), ("10.2.0.5", 8200)) and settings.port_range == (
        7600,
        7615,
    )
    assert (
        settings.initial_start
        and settings.loss_counted
        and settings.data_directory == Path("/data/controlplane")
    )
    assert (
        settings.cpu_fraction,
        settings.memory_mb,
        settings.link_mbps,
        settings.heartbeat_interval_s,
    ) == (0.559, 296, 0.0, 1.5)
    assert settings.fault_tolerance == FaultTolerance(1, 0, 2) and settings.contracts == {
        "base",
        "drain",
    }
    assert settings.bounds == {"ackS": 6.0, "revocationEnforced": True, "retryRatio": 0.2}
    assert (settings.bound("ackS", 1.0), settings.bound("none", 2.5)) == (6.0, 2.5)


@pytest.mark.parametrize("bounds", ["ackS=6, drainS = 0.5,on=False,", ["ackS=6", "drainS=0.5", "on=false"]])
def test_bounds_are_read_from_a_list_or_one_string(bounds: object) -> None:
    assert make_settings(bounds=bounds).bounds == {"ackS": 6.0, "drainS": 0.5, "on": False}


def test_data_directory_and_seeds_are_optional() -> None:
    settings = make_settings(
        dataDirectory=None, seedNodes=None, initialStart=None, faultTolerance=None, bounds=None
    )
    assert (
        settings.data_directory,
        settings.seeds,
        settings.initial_start,
        settings.fault_tolerance,
    ) == (None, (), False, FaultTolerance(0, 0, 0))


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("nodeName", None, "nodeName: is missing"),
        ("listenAddresses", None, "listenAddresses"),
        ("listenAddresses", {"frontPlain": "10.0.0.1"}, "listenAddresses.frontPlain"),
        ("internalPortRange", [7615, 7600], "internalPortRange"),
        ("seedNodes", ["10.0.0.1:x"], "seedNodes"),
        ("limits", None, "limits.memoryMb: is missing"),
        ("heartbeatS", float("nan"), "heartbeatS"),
        ("initialStart", "yes", "initialStart"),
        ("bounds", ["ackS=soon"], "bounds: ackS"),
    ],
)
def test_errors_name_file_and_field_in_one_line(field: str, value: object, expected: str) -> None:
    with pytest.raises(SettingsError) as raised:
        make_settings(**{field: value})
    message = str(raised.value)
    assert message.startswith("node.yaml: ") and expected in message and "\n" not in message


@pytest.mark.parametrize("text", [b"", b"- a", b"a: [", b"a: 2020-13-45", b"\xff\xfe\xfd", b"{[]: 1}"])
def test_a_file_without_a_mapping_is_rejected(text: bytes) -> None:
    with pytest.raises(SettingsError, match=r"node\.yaml"):
        parse_settings(text, "node.yaml")


def test_corrupted_content_raises_only_settings_errors() -> None:
    rng, parsed_count = Random(7), 0
    for _ in range(300):
        with suppress(SettingsError):
            parsed_count += bool(parse_settings(json.dumps(corrupt(rng, NODE_SETTINGS)), "node.yaml"))
    assert 20 < parsed_count < 280
