"""Typed settings of one process. Unknown fields are ignored, and most fields have a default."""

from __future__ import annotations

from math import isfinite
from pathlib import Path
from typing import Any

import msgspec

SETTINGS_FILE_VARIABLE = "LATCHSPOKE_NODE_FILE"

Address = tuple[str, int]

# An invalid value of one of these bounds is an error; other bounds without a valid value are ignored.
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
LISTENER_NAMES = frozenset({"frontPlain", "readiness", "controlPlane", "directoryService"})


class SettingsError(Exception):
    """The settings can't be used; the message is one line that names the file and the field."""

    exit_code = 2  # of a program that can't use its settings


class FaultTolerance(msgspec.Struct, frozen=True):
    """How many machines (those with ``loss_counted``), zones or regions may be lost at once."""

    machines: int
    zones: int
    regions: int


class Settings(msgspec.Struct, frozen=True):
    """Settings of one process; both ends of ``port_range`` are included."""

    name: str
    role: str
    machine_class: str
    served_roles: tuple[str, ...]
    ip_address: str
    zone: str
    region: str
    regions_by_zone: dict[str, str]
    listen_addresses: dict[str, Address]  # by listener, one of LISTENER_NAMES
    port_range: tuple[int, int]
    seeds: tuple[Address, ...]
    initial_start: bool  # first start of the whole system, with empty disks
    loss_counted: bool  # a loss of this machine counts towards ``fault_tolerance.machines``
    cpu_fraction: float  # share of one core
    core_count: float  # relative speed of the core
    memory_mb: int
    file_descriptors: int
    link_mbps: float
    disk_mb: int
    data_directory: Path | None
    heartbeat_interval_s: float
    contracts: frozenset[str]
    fault_tolerance: FaultTolerance
    bounds: dict[str, float | bool]

    def bound(self, name: str, default: float) -> float:
        """Value of a bound; true counts as 1."""
        return float(self.bounds.get(name, default))


def load_settings(path: str | Path) -> Settings:
    """Reads a settings file. Raises SettingsError if the file is unreadable or invalid."""
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    return parse_settings(content, str(path))


def parse_settings(content: bytes | str, path: str) -> Settings:
    """Parses the content of a settings file; ``path`` is used in error messages. Raises SettingsError."""
    import yaml

    loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        fields = yaml.load(content, Loader=loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        line = " ".join(str(error).split())
        raise SettingsError(f"{path}: not YAML: {line:.200}") from None
    if not isinstance(fields, dict):
        raise SettingsError(f"{path}: is not a mapping of fields")
    return _FieldReader(fields, path).settings()


class _FieldReader:
    """Reads typed fields of a mapping; ``prefix`` is the path of that mapping within the file."""

    def __init__(self, fields: dict[object, object], path: str, prefix: str = "") -> None:
        self.fields, self.path, self.prefix = fields, path, prefix

    def settings(self) -> Settings:
        limits, fault_tolerance = self.section("limits"), self.section("faultTolerance")
        data_directory = self.string("dataDirectory", "")
        return Settings(
            name=self.string("nodeName"),
            role=self.string("role", ""),
            machine_class=self.string("machineClass", ""),
            served_roles=self.string_list("servedRoles"),
            ip_address=self.string("ipAddress"),
            zone=self.string("zone"),
            region=self.string("region"),
            regions_by_zone=self.string_mapping("zones"),
            listen_addresses=self.listeners(),
            port_range=self.port_range(),
            seeds=tuple(self.address("seedNodes", seed) for seed in self.string_list("seedNodes")),
            initial_start=self.flag("initialStart"),
            loss_counted=self.flag("lossCounted"),
            cpu_fraction=limits.number("cpuFraction", 1.0),
            core_count=limits.number("coreCount", 1.0),
            memory_mb=limits.integer("memoryMb"),
            file_descriptors=limits.integer("fileDescriptors"),
            link_mbps=limits.number("linkRateMbps", 0.0),
            disk_mb=limits.integer("diskMb", 0),
            data_directory=Path(data_directory) if data_directory else None,
            heartbeat_interval_s=self.number("heartbeatS", 1.0),
            contracts=frozenset(self.string_list("contractSet")),
            fault_tolerance=FaultTolerance(
                fault_tolerance.integer("machineLosses", 0),
                fault_tolerance.integer("zones", 0),
                fault_tolerance.integer("regionLosses", 0),
            ),
            bounds=self.bounds(),
        )

    def error(self, field: str, reason: str) -> SettingsError:
        return SettingsError(f"{self.path}: {self.prefix}{field}: {reason}")

    def section(self, field: str) -> _FieldReader:
        return _FieldReader(self.mapping(field), self.path, f"{self.prefix}{field}.")

    def mapping(self, field: str) -> dict[object, object]:
        value = self.fields.get(field)
        if value is None:
            return {}
        if not isinstance(value, dict):
            raise self.error(field, "must be a mapping")
        return value

    def string(self, field: str, default: str | None = None) -> str:
        value = self.fields.get(field)
        if value is None:
            if default is None:
                raise self.error(field, "is missing")
            return default
        if not isinstance(value, str):
            raise self.error(field, "must be a string")
        if not value and default is None:
            raise self.error(field, "is empty")
        return value

    def string_list(self, field: str) -> tuple[str, ...]:
        value = self.fields.get(field)
        if value is None:
            return ()
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise self.error(field, "must be a list of strings")
        return tuple(value)

    def string_mapping(self, field: str) -> dict[str, str]:
        value = self.mapping(field)
        if not all(isinstance(item, str) for pair in value.items() for item in pair):
            raise self.error(field, "must map each name to a string")
        return {str(name): str(name_value) for name, name_value in value.items()}

    def flag(self, field: str) -> bool:
        value = self.fields.get(field)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise self.error(field, "must be true or false")
        return value

    def number(self, field: str, default: float | None = None) -> float:
        value = self.fields.get(field)
        if value is None:
            value = default
        if value is None:
            raise self.error(field, "is missing")
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e300:
            raise self.error(field, "must be a number of at least 0")
        return float(value)

    def integer(self, field: str, default: int | None = None) -> int:
        return int(self.number(field, default))

    def listeners(self) -> dict[str, Address]:
        if self.fields.get("listenAddresses") is None:
            raise self.error("listenAddresses", "is missing")
        result: dict[str, Address] = {}
        for name, address in self.mapping("listenAddresses").items():
            if name in LISTENER_NAMES and address is not None:
                result[str(name)] = self.address(f"listenAddresses.{name}", address)
        return result

    def address(self, field: str, address: object) -> Address:
        host, _, port = str(address).rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise self.error(field, f"{address!r:.60} is not host:port")
        return host, int(port)

    def port_range(self) -> tuple[int, int]:
        value = self.fields.get("internalPortRange")
        if value is None:
            raise self.error("internalPortRange", "is missing")
        match value:
            case [int(first_port), int(last_port)] if 0 < first_port <= last_port < 65536:
                return first_port, last_port
        raise self.error("internalPortRange", "must be two ports, the lower first")

    def bounds(self) -> dict[str, float | bool]:
        value = self.fields.get("bounds")
        if value is None:
            return {}
        assignments = [value] if isinstance(value, str) else value
        if not isinstance(assignments, list):
            raise self.error("bounds", "must be a list of name=value, or one comma-separated string")
        result: dict[str, float | bool] = {}
        for assignment in ",".join(map(str, assignments)).split(","):
            name, separator, bound_text = assignment.partition("=")
            name, bound = name.strip(), _parse_bound(bound_text.strip())
            if bound is not None:
                result[name] = bound
            elif name in KNOWN_BOUNDS:
                raise self.error("bounds", f"{name} is not a number" if separator else f"{name} has no value")
        return result


def _parse_bound(text: str) -> float | bool | None:
    if text.lower() in ("true", "false"):
        return text.lower() == "true"
    try:
        number = float(text)
    except ValueError:
        return None
    return number if isfinite(number) else None
