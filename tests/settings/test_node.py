"""The settings file: typed, lenient about what is new, and clear about what is wrong."""

import json
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import pytest

from latchspoke.settings import Settings, SettingsError, Tolerance, load, parse
from tests.configuration.documents import corrupt

NODE: dict[str, Any] = json.loads("""{"nodeName":"core-a-1","role":"controlplane","machineClass":"core",
"servedRoles":["control","locator"],"ipAddress":"10.1.0.11","zone":"waw-a","region":"mazowsze","zones":{"waw-a":
"mazowsze","krk-a":"malopolska"},"listenAddresses":{"controlPlane":"10.1.0.11:8200","directoryService":
"10.1.0.11:8209","new":"?"},"internalPortRange":[7600,7615],"seedNodes":["10.1.0.11:8200","10.2.0.5:8200"],
"initialStart":true,"lossCounted":true,"limits":{"cpuFraction":0.559,"coreCount":1,"memoryMb":296,
"fileDescriptors":4096,"diskMb":256},"dataDirectory":"/data/controlplane","heartbeatS":1.5,"contractSet":["base",
"drain"],"faultTolerance":{"machineLosses":1,"zones":0,"regionLosses":2},"bounds":["ackS=6",
"revocationEnforced=true","retryRatio=0.2","shape=round"],"tomorrow":{"more":[1]}}""")


def settings(**fields: object) -> Settings:
    return parse(json.dumps({**NODE, **fields}), "node.yaml")


def test_all_fields_are_typed_and_unknown_ones_skipped(tmp_path: Path) -> None:
    path = tmp_path / "local.yaml"
    with pytest.raises(SettingsError, match=r"local\.yaml: No such file"):
        load(path)
    path.write_text(json.dumps(NODE))
    found = load(path)
    assert (found.name, found.zone, found.region, found.ip) == ("core-a-1", "waw-a", "mazowsze", "10.1.0.11")
    assert found.listen == {"controlPlane": ("10.1.0.11", 8200), "directoryService": ("10.1.0.11", 8209)}
    assert found.seeds == (("10.1.0.11", 8200), ("10.2.0.5", 8200)) and found.ports == (7600, 7615)
    assert found.first and found.counted and found.data == Path("/data/controlplane")
    assert (found.cpu, found.memory_mb, found.link_mbps, found.beat) == (0.559, 296, 0.0, 1.5)
    assert found.tolerate == Tolerance(1, 0, 2) and found.contracts == {"base", "drain"}
    assert found.bounds == {"ackS": 6.0, "revocationEnforced": True, "retryRatio": 0.2}
    assert (found.bound("ackS", 1.0), found.bound("none", 2.5)) == (6.0, 2.5)


@pytest.mark.parametrize("bounds", ["ackS=6, drainS = 0.5,on=False,", ["ackS=6", "drainS=0.5", "on=false"]])
def test_bounds_come_as_a_list_or_in_one_line(bounds: object) -> None:
    assert settings(bounds=bounds).bounds == {"ackS": 6.0, "drainS": 0.5, "on": False}


def test_an_edge_has_no_disk_and_may_know_no_seeds() -> None:
    found = settings(dataDirectory=None, seedNodes=None, initialStart=None, faultTolerance=None, bounds=None)
    assert (found.data, found.seeds, found.first, found.tolerate) == (None, (), False, Tolerance(0, 0, 0))


@pytest.mark.parametrize(
    ("field", "value", "told"),
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
def test_errors_name_file_and_field_in_one_line(field: str, value: object, told: str) -> None:
    with pytest.raises(SettingsError) as caught:
        settings(**{field: value})
    line = str(caught.value)
    assert line.startswith("node.yaml: ") and told in line and "\n" not in line


@pytest.mark.parametrize("text", [b"", b"- a", b"a: [", b"a: 2020-13-45", b"\xff\xfe\xfd", b"{[]: 1}"])
def test_a_file_that_holds_no_fields(text: bytes) -> None:
    with pytest.raises(SettingsError, match=r"node\.yaml"):
        parse(text, "node.yaml")


def test_no_content_breaks_it_otherwise() -> None:
    random, taken = Random(7), 0
    for _ in range(300):
        with suppress(SettingsError):
            taken += bool(parse(json.dumps(corrupt(random, NODE)), "node.yaml"))
    assert 20 < taken < 280
