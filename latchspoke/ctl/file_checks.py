"""Checks of configuration, settings and deploy files that report every fault with its path and reason.

Each check returns a ``Result`` and raises nothing. The programs read the same files with the same code, but
stop at the first fault.
"""

from __future__ import annotations

import importlib.util
import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from latchspoke.configuration import Document, Fault
from latchspoke.configuration.check import check
from latchspoke.configuration.review import review
from latchspoke.ctl.masks import MASK
from latchspoke.settings import Settings, SettingsError
from latchspoke.settings.node import _FieldReader

Faults = list[Fault]
T = TypeVar("T")
EDGE, CONTROL, LOCATOR = "edge", "control", "locator"
WRAPPER_PROGRAMS = frozenset(("env", "npx", "sh", "bash", "dash", "sudo", "nohup", "setsid", "xargs"))
REQUIRED_LISTENERS = {
    EDGE: ("frontPlain", "readiness"),
    CONTROL: ("controlPlane",),
    LOCATOR: ("directoryService",),
}
MAX_ROLES_PER_MACHINE = 2


def read_file(path: Path) -> Result[bytes, Faults]:
    """The content of a file, or the fault."""
    try:
        return Success(path.read_bytes())
    except OSError as e:
        return Failure([Fault("", f"{path}: {e.strerror or e}")])


# Configuration.


def configuration(data: bytes) -> Result[Document, Faults]:
    """Check a complete configuration; one that ``config read`` wrote with hidden keys is refused."""
    if MASK.encode() in data:
        return Failure(
            [Fault("tenants", "the keys in this file are hidden; read the configuration again with --keys")]
        )
    return review(data)


def parse_patch(data: bytes) -> Result[dict[str, Any], Faults]:
    """Check the body of a patch as far as is possible without the configuration that it changes."""
    from latchspoke.configuration import parse_version

    if MASK.encode() in data:
        return Failure(
            [Fault("tenants", "the keys in this file are hidden; read the configuration again with --keys")]
        )
    try:
        patch = json.loads(data)
    except (ValueError, RecursionError) as e:
        return Failure([Fault("", f"not valid JSON: {e}")])
    if not isinstance(patch, dict):
        return Failure([Fault("", "the patch must be an object")])
    faults = []
    try:
        parse_version(patch.get("version", ""))
    except ValueError as e:
        faults.append(Fault("version", str(e)))
    for field in ("upsert", "remove"):
        if not isinstance(patch.get(field) or {}, dict):
            faults.append(Fault(field, "must be an object"))
    if not (patch.get("upsert") or patch.get("remove")):
        faults.append(Fault("", "the patch must have upsert or remove"))
    return Failure(faults) if faults else Success(patch)


def apply_and_check(document: Document, data: bytes) -> Result[Document, Faults]:
    """Apply a patch to a configuration and check the result."""
    from latchspoke.configuration import apply_patch

    def apply(patch: dict[str, Any]) -> Result[Document, Faults]:
        try:
            result = apply_patch(document, patch)
        except ValueError as e:
            return Failure([Fault("", str(e))])
        faults = check(result)
        return Failure(faults) if faults else Success(result)

    return parse_patch(data).bind(apply)


# Settings of a process.


class FaultCollector(_FieldReader):
    """Reader of the settings that records a fault and continues with a valid fallback value."""

    def __init__(
        self, fields: dict[object, object], path: str, prefix: str = "", faults: Faults | None = None
    ) -> None:
        super().__init__(fields, path, prefix)
        self.faults: Faults = [] if faults is None else faults

    def collect(self, field: str, call: Callable[[], T], fallback: T) -> T:
        """The result of the call; if it raises SettingsError, records the fault and returns the fallback."""
        try:
            return call()
        except SettingsError as e:
            field_path, _, reason = str(e).removeprefix(f"{self.path}: ").partition(": ")
            self.faults.append(
                Fault(field_path, reason) if reason else Fault(f"{self.prefix}{field}", field_path)
            )
            return fallback

    def section(self, field: str) -> _FieldReader:
        """A reader of a nested mapping that records its faults here."""
        return FaultCollector(self.mapping(field), self.path, f"{self.prefix}{field}.", self.faults)

    def mapping(self, field: str) -> dict[object, object]:
        """A mapping; empty after a fault."""
        return self.collect(field, lambda: super(FaultCollector, self).mapping(field), {})

    def string(self, field: str, default: str | None = None) -> str:
        """A string; ``?`` after a fault."""
        return self.collect(field, lambda: super(FaultCollector, self).string(field, default), "?")

    def string_list(self, field: str) -> tuple[str, ...]:
        """A list of strings; empty after a fault."""
        return self.collect(field, lambda: super(FaultCollector, self).string_list(field), ())

    def string_mapping(self, field: str) -> dict[str, str]:
        """A mapping of strings; empty after a fault."""
        return self.collect(field, lambda: super(FaultCollector, self).string_mapping(field), {})

    def flag(self, field: str) -> bool:
        """A boolean; false after a fault."""
        return self.collect(field, lambda: super(FaultCollector, self).flag(field), False)

    def number(self, field: str, default: float | None = None) -> float:
        """A number; 1 after a fault."""
        return self.collect(field, lambda: super(FaultCollector, self).number(field, default), 1.0)

    def listeners(self) -> dict[str, tuple[str, int]]:
        """Listen addresses by name; none after a fault."""
        return self.collect("listenAddresses", super().listeners, {})

    def address(self, field: str, address: object) -> tuple[str, int]:
        """An address; port 1 on all interfaces after a fault."""
        return self.collect(
            field, lambda: super(FaultCollector, self).address(field, address), ("0.0.0.0", 1)
        )

    def port_range(self) -> tuple[int, int]:
        """The internal port range; ports 1 to 2 after a fault."""
        return self.collect("internalPortRange", super().port_range, (1, 2))

    def bounds(self) -> dict[str, float | bool]:
        """The bounds that have no fault; each one is checked separately."""
        value = self.fields.get("bounds")
        texts = value.split(",") if isinstance(value, str) else value
        if not isinstance(texts, list):
            return self.collect("bounds", super().bounds, {})
        result: dict[str, float | bool] = {}
        fallback: dict[str, float | bool] = {}
        for text in texts:
            single = _FieldReader({"bounds": [text]}, self.path)
            result |= self.collect("bounds", single.bounds, fallback)
        return result


def settings(data: bytes, path: str) -> Result[Settings, Faults]:
    """Check a settings file, including what its program needs to start."""
    import yaml

    try:
        fields = yaml.safe_load(data)
    except (yaml.YAMLError, ValueError, RecursionError) as e:
        return Failure([Fault("", f"not YAML: {' '.join(str(e).split())[:200]}")])
    if not isinstance(fields, dict):
        return Failure([Fault("", "the settings must be a mapping")])
    collector = FaultCollector(fields, path)
    node_settings, faults = collector.settings(), collector.faults
    faulty_paths = {fault.path for fault in faults}
    for role in node_settings.served_roles:
        for name in REQUIRED_LISTENERS.get(role, ()):
            if (
                name not in node_settings.listen_addresses
                and not {"listenAddresses", f"listenAddresses.{name}"} & faulty_paths
            ):
                faults.append(Fault(f"listenAddresses.{name}", f"is missing, and {role} is served"))
    if (
        CONTROL in node_settings.served_roles
        and node_settings.data_directory is None
        and "dataDirectory" not in faulty_paths
    ):
        faults.append(Fault("dataDirectory", "is missing, and the control plane needs it for its store"))
    if (
        node_settings.regions_by_zone
        and node_settings.zone not in node_settings.regions_by_zone
        and "zone" not in faulty_paths
    ):
        faults.append(Fault("zone", f"{node_settings.zone!r} is not among the zones"))
    if node_settings.port_range[1] <= node_settings.port_range[0] and "internalPortRange" not in faulty_paths:
        faults.append(Fault("internalPortRange", "must have at least two ports, one for each program"))
    if not node_settings.seeds and "seedNodes" not in faulty_paths:
        faults.append(Fault("seedNodes", "is empty, so that no other member can be found"))
    return Failure(faults) if faults else Success(node_settings)


# Deploy file.


def deploy(data: bytes) -> Result[dict[str, Any], Faults]:
    """Check a deploy file such as ``deploy/system.toml``."""
    try:
        document = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        return Failure([Fault("", f"not TOML: {e}")])
    faults: Faults = []
    if not isinstance(document.get("build"), str) or not document["build"].strip():
        faults.append(Fault("build", "must be a command"))
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        return Failure([*faults, Fault("roles", "must have at least one role")])
    roles_by_class: dict[str, list[tuple[str, list[str]]]] = {}
    for name, fields in roles.items():
        path = f"roles.{name}"
        if not isinstance(fields, dict):
            faults.append(Fault(path, "must be a table"))
            continue
        faults += check_role(path, fields)
        serves = fields.get("serves", [])
        served = [s for s in serves if isinstance(s, str)] if isinstance(serves, list) else []
        roles_by_class.setdefault(str(fields.get("on")), []).append((name, served))
    for machine_class, roles_of_class in roles_by_class.items():
        if len(roles_of_class) > MAX_ROLES_PER_MACHINE:
            faults.append(
                Fault("roles", f"{len(roles_of_class)} on {machine_class!r}, but a machine runs at most two")
            )
        for capability in (EDGE, CONTROL, LOCATOR):
            names = [name for name, serves in roles_of_class if capability in serves]
            if len(names) > 1:
                faults.append(
                    Fault("roles", f"{' and '.join(names)} on {machine_class!r} both serve {capability}")
                )
    for capability in (EDGE, CONTROL):
        if not any(
            capability in serves for roles_of_class in roles_by_class.values() for _, serves in roles_of_class
        ):
            faults.append(Fault("roles", f"no role serves {capability}"))
    return Failure(faults) if faults else Success(document)


def check_role(path: str, fields: dict[str, Any]) -> Faults:
    """Faults of one role."""
    faults: Faults = []
    run = fields.get("run")
    if not isinstance(run, str) or not run.split():
        faults.append(Fault(f"{path}.run", "must be a command line"))
    else:
        faults += check_program(f"{path}.run", run.split())
    if not isinstance(fields.get("on"), str) or not fields["on"]:
        faults.append(Fault(f"{path}.on", "must name a class of machines"))
    share, count = fields.get("share"), fields.get("count")
    if (share is None) == (count is None):
        faults.append(Fault(path, "must have either share or count"))
    if share is not None and (
        isinstance(share, bool) or not isinstance(share, int | float) or not 0 < share <= 1
    ):
        faults.append(Fault(f"{path}.share", "must be above 0 and up to 1"))
    if count is not None and (isinstance(count, bool) or not isinstance(count, int) or count < 1):
        faults.append(Fault(f"{path}.count", "must be a positive integer"))
    if not isinstance(fields.get("apart", False), bool):
        faults.append(Fault(f"{path}.apart", "must be true or false"))
    serves = fields.get("serves", [])
    if not isinstance(serves, list):
        faults.append(Fault(f"{path}.serves", "must be a list"))
    else:
        for index, capability in enumerate(serves):
            if capability not in REQUIRED_LISTENERS:
                faults.append(
                    Fault(
                        f"{path}.serves[{index}]",
                        f"{capability!r:.40} is none of {', '.join(REQUIRED_LISTENERS)}",
                    )
                )
    return faults


def check_program(path: str, words: list[str]) -> Faults:
    """Faults of a command line: it must start the program directly, without a wrapper or a shell."""
    if words[0].rpartition("/")[2] in WRAPPER_PROGRAMS:
        return [Fault(path, f"starts the wrapper {words[0]!r}; name the program itself")]
    if any(character in word for word in words for character in ("&&", "|", ";", "$", ">", "<", "`")):
        return [Fault(path, "is split at spaces and not run by a shell")]
    if "-m" in words[1:-1]:
        module = words[words.index("-m") + 1]
        try:
            exists = importlib.util.find_spec(module) is not None
        except (ImportError, ValueError):
            exists = False
        if not exists:
            return [Fault(path, f"there is no module {module!r:.60}")]
    return []
