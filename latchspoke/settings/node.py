"""The settings of one process, typed. Fields that are not known are skipped, and most have a default."""

from __future__ import annotations

from math import isfinite
from pathlib import Path
from typing import Any

import msgspec

VARIABLE = "LATCHSPOKE_NODE_FILE"

Address = tuple[str, int]

# Figures that a rule rests on: one of these that can't be read is an error, any other is skipped.
KNOWN_BOUNDS = frozenset(
    {
        "seedLagS",
        "reuseDelayS",
        "contactS",
        "ackS",
        "catchUpS",
        "drainS",
        "graceS",
        "lossSlackS",
        "configApplyS",
        "revertSlackS",
        "stretchMaxS",
        "revocationEnforced",
        "revokeS",
        "retryRatio",
        "retryWindowS",
        "retrySlack",
        "quotaWindowS",
        "quotaExcess",
        "quotaSlack",
        "coldExcess",
        "coldSlack",
        "evacuationS",
        "recoveryS",
        "ttl_max_s",
    }
)
KNOWN_LISTENERS = frozenset({"frontPlain", "readiness", "controlPlane", "directoryService"})


class SettingsError(Exception):
    """One line that names the file and the field."""


class Tolerance(msgspec.Struct, frozen=True):
    """How many machines that count, or zones, or regions, may be lost at once."""

    machines: int
    zones: int
    regions: int


class Settings(msgspec.Struct, frozen=True):
    """Times in seconds; ``ports`` and its ends belong to this machine's gateways."""

    name: str
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # zone -> region
    listen: dict[str, Address]  # frontPlain, readiness, controlPlane, directoryService: those it serves
    ports: tuple[int, int]
    seeds: tuple[Address, ...]
    first: bool  # the first start of the whole system, on empty disks
    counted: bool  # a loss of this machine counts toward ``tolerate.machines``
    cpu: float  # share of a core
    cores: float  # how many times as fast
    memory_mb: int
    descriptors: int
    link_mbps: float
    disk_mb: int
    data: Path | None
    beat: float
    contracts: frozenset[str]
    tolerate: Tolerance
    bounds: dict[str, float | bool]

    def bound(self, name: str, default: float) -> float:
        """The figure of a bound; true counts as 1."""
        return float(self.bounds.get(name, default))


def load(path: str | Path) -> Settings:
    """The settings in a file; SettingsError when it can't be read, as while it is being written."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    return parse(text, str(path))


def parse(text: bytes | str, path: str) -> Settings:
    """As ``load``, for the text of a file; ``path`` is for messages."""
    import yaml

    loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        found = yaml.load(text, Loader=loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        line = " ".join(str(error).split())
        raise SettingsError(f"{path}: not YAML: {line:.200}") from None
    if not isinstance(found, dict):
        raise SettingsError(f"{path}: holds no fields")
    return _Fields(found, path).settings()


class _Fields:
    """Reads typed fields; ``at`` is where in the file this part stands."""

    def __init__(self, fields: dict[object, object], path: str, at: str = "") -> None:
        self.fields, self.path, self.at = fields, path, at

    def settings(self) -> Settings:
        limits, tolerance = self.part("limits"), self.part("faultTolerance")
        data = self.text("dataDirectory", "")
        return Settings(
            name=self.text("nodeName"),
            role=self.text("role", ""),
            machine_class=self.text("machineClass", ""),
            serves=self.texts("servedRoles"),
            ip=self.text("ipAddress"),
            zone=self.text("zone"),
            region=self.text("region"),
            zones=self.names("zones"),
            listen=self.listeners(),
            ports=self.ports(),
            seeds=tuple(self.address("seedNodes", seed) for seed in self.texts("seedNodes")),
            first=self.flag("initialStart"),
            counted=self.flag("lossCounted"),
            cpu=limits.number("cpuFraction", 1.0),
            cores=limits.number("coreCount", 1.0),
            memory_mb=limits.whole("memoryMb"),
            descriptors=limits.whole("fileDescriptors"),
            link_mbps=limits.number("linkRateMbps", 0.0),
            disk_mb=limits.whole("diskMb", 0),
            data=Path(data) if data else None,
            beat=self.number("heartbeatS", 1.0),
            contracts=frozenset(self.texts("contractSet")),
            tolerate=Tolerance(
                tolerance.whole("machineLosses", 0),
                tolerance.whole("zones", 0),
                tolerance.whole("regionLosses", 0),
            ),
            bounds=self.bounds(),
        )

    def error(self, field: str, reason: str) -> SettingsError:
        return SettingsError(f"{self.path}: {self.at}{field}: {reason}")

    def part(self, field: str) -> _Fields:
        return _Fields(self.mapping(field), self.path, f"{self.at}{field}.")

    def mapping(self, field: str) -> dict[object, object]:
        found = self.fields.get(field)
        if found is None:
            return {}
        if not isinstance(found, dict):
            raise self.error(field, "must hold fields")
        return found

    def text(self, field: str, default: str | None = None) -> str:
        found = self.fields.get(field)
        if found is None:
            if default is None:
                raise self.error(field, "is missing")
            return default
        if not isinstance(found, str):
            raise self.error(field, "must be a text")
        if not found and default is None:
            raise self.error(field, "is empty")
        return found

    def texts(self, field: str) -> tuple[str, ...]:
        found = self.fields.get(field)
        if found is None:
            return ()
        if not isinstance(found, list) or not all(isinstance(item, str) for item in found):
            raise self.error(field, "must be a list of texts")
        return tuple(found)

    def names(self, field: str) -> dict[str, str]:
        found = self.mapping(field)
        if not all(isinstance(text, str) for pair in found.items() for text in pair):
            raise self.error(field, "must give a text for each name")
        return {str(key): str(value) for key, value in found.items()}

    def flag(self, field: str) -> bool:
        found = self.fields.get(field)
        if found is None:
            return False
        if not isinstance(found, bool):
            raise self.error(field, "must be true or false")
        return found

    def number(self, field: str, default: float | None = None) -> float:
        found = self.fields.get(field)
        if found is None:
            found = default
        if found is None:
            raise self.error(field, "is missing")
        if isinstance(found, bool) or not isinstance(found, int | float) or not 0 <= found < 1e300:
            raise self.error(field, "must be a number from 0")
        return float(found)

    def whole(self, field: str, default: int | None = None) -> int:
        return int(self.number(field, default))

    def listeners(self) -> dict[str, Address]:
        if self.fields.get("listenAddresses") is None:
            raise self.error("listenAddresses", "is missing")
        result: dict[str, Address] = {}
        for name, at in self.mapping("listenAddresses").items():
            if name in KNOWN_LISTENERS and at is not None:
                result[str(name)] = self.address(f"listenAddresses.{name}", at)
        return result

    def address(self, field: str, text: object) -> Address:
        host, _, port = str(text).rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise self.error(field, f"{text!r:.60} is not host:port")
        return host, int(port)

    def ports(self) -> tuple[int, int]:
        found = self.fields.get("internalPortRange")
        if found is None:
            raise self.error("internalPortRange", "is missing")
        match found:
            case [int(low), int(high)] if 0 < low <= high < 65536:
                return low, high
        raise self.error("internalPortRange", "must be two ports, the lower first")

    def bounds(self) -> dict[str, float | bool]:
        found = self.fields.get("bounds")
        if found is None:
            return {}
        texts = [found] if isinstance(found, str) else found
        if not isinstance(texts, list):
            raise self.error("bounds", "must be a list of name=value, or one line of them")
        result: dict[str, float | bool] = {}
        for text in ",".join(map(str, texts)).split(","):
            name, equals, value = text.partition("=")
            name, read = name.strip(), _figure(value.strip())
            if read is not None:
                result[name] = read
            elif name in KNOWN_BOUNDS:
                raise self.error("bounds", f"{name} has no figure" if equals else f"{name} has no value")
        return result


def _figure(text: str) -> float | bool | None:
    if text.lower() in ("true", "false"):
        return text.lower() == "true"
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) else None
