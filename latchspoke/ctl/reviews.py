"""Checks of the files that people write: every fault, each with its path and reason.

Each check gives a ``Result`` of ``returns`` and raises nothing. The programs read the same files by the same
code, and stop at the first fault.
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
HELPERS = frozenset(("env", "npx", "sh", "bash", "dash", "sudo", "nohup", "setsid", "xargs"))
WHO = {EDGE: ("frontPlain", "readiness"), CONTROL: ("controlPlane",), LOCATOR: ("directoryService",)}
ROLES_A_MACHINE = 2


def read_file(path: Path) -> Result[bytes, Faults]:
    try:
        return Success(path.read_bytes())
    except OSError as e:
        return Failure([Fault("", f"{path}: {e.strerror or e}")])


# The operator's configuration.


def configuration(data: bytes) -> Result[Document, Faults]:
    """A whole configuration. One that ``config read`` has written without its keys is refused."""
    if MASK.encode() in data:
        return Failure([Fault("tenants", "keys are hidden in this file; read it again with --keys")])
    return review(data)


def change(data: bytes) -> Result[dict[str, Any], Faults]:
    """The body of a change by name, as far as it can be told without what it changes."""
    from latchspoke.configuration import number

    if MASK.encode() in data:
        return Failure([Fault("tenants", "keys are hidden in this file; read it again with --keys")])
    try:
        found = json.loads(data)
    except (ValueError, RecursionError) as e:
        return Failure([Fault("", f"can't be read whole: {e}")])
    if not isinstance(found, dict):
        return Failure([Fault("", "a change is an object")])
    faults = []
    try:
        number(found.get("version", ""))
    except ValueError as e:
        faults.append(Fault("version", str(e)))
    for field in ("upsert", "remove"):
        if not isinstance(found.get(field) or {}, dict):
            faults.append(Fault(field, "must be an object"))
    if not (found.get("upsert") or found.get("remove")):
        faults.append(Fault("", "changes nothing: it has neither upsert nor remove"))
    return Failure(faults) if faults else Success(found)


def changed(document: Document, data: bytes) -> Result[Document, Faults]:
    """What a change makes of a configuration, checked whole."""
    from latchspoke.configuration import apply_patch

    def apply(patch: dict[str, Any]) -> Result[Document, Faults]:
        try:
            made = apply_patch(document, patch)
        except ValueError as e:
            return Failure([Fault("", str(e))])
        faults = check(made)
        return Failure(faults) if faults else Success(made)

    return change(data).bind(apply)


# The settings of a process.


class Gathering(_FieldReader):
    """Reads like the programs do, but goes on after a fault with a value that fits."""

    def __init__(
        self, fields: dict[object, object], path: str, prefix: str = "", faults: Faults | None = None
    ) -> None:
        super().__init__(fields, path, prefix)
        self.faults: Faults = [] if faults is None else faults

    def gather(self, field: str, call: Callable[[], T], instead: T) -> T:
        try:
            return call()
        except SettingsError as e:
            place, _, reason = str(e).removeprefix(f"{self.path}: ").partition(": ")
            self.faults.append(Fault(place, reason) if reason else Fault(f"{self.prefix}{field}", place))
            return instead

    def section(self, field: str) -> _FieldReader:
        return Gathering(self.mapping(field), self.path, f"{self.prefix}{field}.", self.faults)

    def mapping(self, field: str) -> dict[object, object]:
        return self.gather(field, lambda: super(Gathering, self).mapping(field), {})

    def string(self, field: str, default: str | None = None) -> str:
        return self.gather(field, lambda: super(Gathering, self).string(field, default), "?")

    def string_list(self, field: str) -> tuple[str, ...]:
        return self.gather(field, lambda: super(Gathering, self).string_list(field), ())

    def string_mapping(self, field: str) -> dict[str, str]:
        return self.gather(field, lambda: super(Gathering, self).string_mapping(field), {})

    def flag(self, field: str) -> bool:
        return self.gather(field, lambda: super(Gathering, self).flag(field), False)

    def number(self, field: str, default: float | None = None) -> float:
        return self.gather(field, lambda: super(Gathering, self).number(field, default), 1.0)

    def listeners(self) -> dict[str, tuple[str, int]]:
        return self.gather("listenAddresses", super().listeners, {})

    def address(self, field: str, address: object) -> tuple[str, int]:
        return self.gather(field, lambda: super(Gathering, self).address(field, address), ("0.0.0.0", 1))

    def port_range(self) -> tuple[int, int]:
        return self.gather("internalPortRange", super().port_range, (1, 2))

    def bounds(self) -> dict[str, float | bool]:
        found = self.fields.get("bounds")
        texts = found.split(",") if isinstance(found, str) else found
        if not isinstance(texts, list):
            return self.gather("bounds", super().bounds, {})
        result: dict[str, float | bool] = {}
        none: dict[str, float | bool] = {}
        for text in texts:
            one = _FieldReader({"bounds": [text]}, self.path)
            result |= self.gather("bounds", one.bounds, none)
        return result


def settings(data: bytes, path: str) -> Result[Settings, Faults]:
    """A settings file, with what the program that it is for could not start without."""
    import yaml

    try:
        fields = yaml.safe_load(data)
    except (yaml.YAMLError, ValueError, RecursionError) as e:
        return Failure([Fault("", f"not YAML: {' '.join(str(e).split())[:200]}")])
    if not isinstance(fields, dict):
        return Failure([Fault("", "holds no fields")])
    gathering = Gathering(fields, path)
    found, faults = gathering.settings(), gathering.faults
    told = {fault.path for fault in faults}
    for role in found.served_roles:
        for name in WHO.get(role, ()):
            if (
                name not in found.listen_addresses
                and not {"listenAddresses", f"listenAddresses.{name}"} & told
            ):
                faults.append(Fault(f"listenAddresses.{name}", f"is missing, and {role} is served"))
    if CONTROL in found.served_roles and found.data_directory is None and "dataDirectory" not in told:
        faults.append(Fault("dataDirectory", "is missing, and the operator's word must be kept"))
    if found.regions_by_zone and found.zone not in found.regions_by_zone and "zone" not in told:
        faults.append(Fault("zone", f"{found.zone!r} is not among the zones"))
    if found.port_range[1] <= found.port_range[0] and "internalPortRange" not in told:
        faults.append(Fault("internalPortRange", "two ports at least: one for each program"))
    if not found.seeds and "seedNodes" not in told:
        faults.append(Fault("seedNodes", "names nobody, so that nobody can be found"))
    return Failure(faults) if faults else Success(found)


# The deploy file.


def deploy(data: bytes) -> Result[dict[str, Any], Faults]:
    """``deploy/system.toml``: what is built, and which program runs where."""
    try:
        found = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        return Failure([Fault("", f"not TOML: {e}")])
    faults: Faults = []
    if not isinstance(found.get("build"), str) or not found["build"].strip():
        faults.append(Fault("build", "must be a command"))
    roles = found.get("roles")
    if not isinstance(roles, dict) or not roles:
        return Failure([*faults, Fault("roles", "must hold a role at least")])
    by_class: dict[str, list[tuple[str, list[str]]]] = {}
    for name, fields in roles.items():
        path = f"roles.{name}"
        if not isinstance(fields, dict):
            faults.append(Fault(path, "must hold fields"))
            continue
        faults += role(path, fields)
        serves = fields.get("serves", [])
        served = [s for s in serves if isinstance(s, str)] if isinstance(serves, list) else []
        by_class.setdefault(str(fields.get("on")), []).append((name, served))
    for on, those in by_class.items():
        if len(those) > ROLES_A_MACHINE:
            faults.append(Fault("roles", f"{len(those)} on {on!r}, and a machine runs two at most"))
        for what in (EDGE, CONTROL, LOCATOR):
            both = [name for name, serves in those if what in serves]
            if len(both) > 1:
                faults.append(Fault("roles", f"{' and '.join(both)} on {on!r} both serve {what}"))
    for what in (EDGE, CONTROL):
        if not any(what in serves for those in by_class.values() for _, serves in those):
            faults.append(Fault("roles", f"no role serves {what}"))
    return Failure(faults) if faults else Success(found)


def role(path: str, fields: dict[str, Any]) -> Faults:
    faults: Faults = []
    run = fields.get("run")
    if not isinstance(run, str) or not run.split():
        faults.append(Fault(f"{path}.run", "must be a program and its arguments"))
    else:
        faults += program(f"{path}.run", run.split())
    if not isinstance(fields.get("on"), str) or not fields["on"]:
        faults.append(Fault(f"{path}.on", "must name a class of machines"))
    share, count = fields.get("share"), fields.get("count")
    if (share is None) == (count is None):
        faults.append(Fault(path, "must have either share or count"))
    if share is not None and (
        isinstance(share, bool) or not isinstance(share, int | float) or not 0 < share <= 1
    ):
        faults.append(Fault(f"{path}.share", "must be over 0, up to 1"))
    if count is not None and (isinstance(count, bool) or not isinstance(count, int) or count < 1):
        faults.append(Fault(f"{path}.count", "must be a whole number from 1"))
    if not isinstance(fields.get("apart", False), bool):
        faults.append(Fault(f"{path}.apart", "must be true or false"))
    serves = fields.get("serves", [])
    if not isinstance(serves, list):
        faults.append(Fault(f"{path}.serves", "must be a list"))
    else:
        for place, each in enumerate(serves):
            if each not in WHO:
                faults.append(Fault(f"{path}.serves[{place}]", f"{each!r:.40} is none of {', '.join(WHO)}"))
    return faults


def program(path: str, words: list[str]) -> Faults:
    if words[0].rpartition("/")[2] in HELPERS:
        return [Fault(path, f"starts a helper, {words[0]!r}: the program itself is to stand there")]
    if any(mark in word for word in words for mark in ("&&", "|", ";", "$", ">", "<", "`")):
        return [Fault(path, "is split at spaces and goes to no shell")]
    if "-m" in words[1:-1]:
        module = words[words.index("-m") + 1]
        try:
            found = importlib.util.find_spec(module) is not None
        except (ImportError, ValueError):
            found = False
        if not found:
            return [Fault(path, f"there is no module {module!r:.60}")]
    return []
