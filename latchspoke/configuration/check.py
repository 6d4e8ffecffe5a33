"""Validation of configurations; every fault is reported with the path of its field.

Fields with a default may be missing or null, and unknown fields are allowed. Whether a version is above the
current one is checked by the replicated store.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from math import isfinite
from typing import Any, NamedTuple, cast

from latchspoke.configuration.shape import Document

MAX_TIMEOUT_S = 600.0
MAX_LATENCY_ABOVE_TIMEOUT_S = 60.0  # exclusive bound of the target latency minus the timeout
MAX_EXCHANGE_S = 3600.0
MAX_LOOKUP_S = 1.0
LOST_RECORD_POLICIES = ("placement", "refuse")
AFFINITY_SCOPES = ("", "zone", "region")
ROUNDING_S = 1e-9  # tolerance for floating point: 60.3 - 0.3 < 60

Fields = dict[str, object]

_HEADER_SOURCE = re.compile(r"header:[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_OUTCOME_PATH = re.compile(r"/([A-Za-z0-9._~-]+/)*")
_CALLER_SOURCE = re.compile(r"tenant|path:[1-9][0-9]?|(header|cookie):[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VERSION = re.compile(r"[0-9a-fA-F]{8}")
# Characters that would end a header line, or can't be encoded in one.
_UNSAFE_CHARACTERS = re.compile("[\x00-\x1f\x7f\ud800-\udfff]")


class Fault(NamedTuple):
    """One fault; ``path`` names the field, such as ``listenerList[0].host``, and may be empty."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}" if self.path else self.reason


class InvalidConfigurationError(ValueError):
    """A configuration is invalid; the message is one line, ``faults`` has all faults."""

    def __init__(self, faults: list[Fault]) -> None:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(f"{faults[0]}{more}")
        self.faults = faults


def parse_version(version: str) -> int:
    """The number of a version, written as eight hexadecimal digits. Raises ValueError."""
    if not isinstance(version, str) or not _VERSION.fullmatch(version):
        raise ValueError(f"a version is eight hexadecimal digits, not {version!r:.40}")
    return int(version, 16)


def parse_base_version(version: str | int | None) -> int:
    """The number of a base version; 0 if it is missing, as for the first configuration. Raises ValueError."""
    if version is None or version == "0":
        return 0
    if isinstance(version, int) and not isinstance(version, bool) and version >= 0:
        return version
    return parse_version(cast(str, version))


def read(body: bytes | str) -> Document:
    """The configuration in a JSON text. Raises InvalidConfigurationError."""
    try:
        doc = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError([Fault("", f"can't be read whole: {error}")]) from None
    faults = check(doc)
    if faults:
        raise InvalidConfigurationError(faults)
    return cast(Document, doc)


def check(doc: object) -> list[Fault]:
    """All faults of a configuration, ordered by section; empty if it is valid."""
    return _Check().document(doc)


class _Check:
    """Collects faults; each method checks one part and returns or yields it only if it has the right type."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def add_fault(self, path: str, reason: str) -> None:
        self.faults.append(Fault(path, reason))

    # Sections

    def document(self, doc: object) -> list[Fault]:
        if not isinstance(doc, dict):
            self.add_fault("", "a configuration is an object")
            return self.faults
        parsers: dict[str, Callable[[Any], int]] = {
            "version": parse_version,
            "baseVersion": parse_base_version,
        }
        for field, parser in parsers.items():
            try:
                parser(doc.get(field))
            except ValueError as error:
                self.add_fault(field, str(error))
        self.limits(doc.get("limits"))
        self.tenants(doc)
        services = self.services(doc)
        self.listeners(doc, services)
        return self.faults

    def limits(self, limits: object) -> None:
        if limits is None:
            return
        if not isinstance(limits, dict):
            self.add_fault("limits", "must be an object")
            return
        for field in ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutS", "idleTimeoutS"):
            self.non_negative(limits, field, "limits")

    def tenants(self, doc: Fields) -> None:
        names: set[str] = set()
        key_owners: dict[str, int] = {}
        for index, (path, tenant) in enumerate(self.objects(doc, "tenants", "")):
            self.unique_name(tenant, path, names, single_line=True)
            self.integer(tenant, "priority", path)
            self.non_negative(tenant, "ratePerS", path)
            self.non_negative(tenant, "burstSize", path)
            self.strings(tenant, "homeRegions", path)
            for key in self.strings(tenant, "apiKeys", path):
                if key_owners.setdefault(key, index) != index:
                    # The key is a secret and must not appear in the message.
                    self.add_fault(f"{path}.apiKeys", f"shares a key with tenants[{key_owners[key]}]")

    def services(self, doc: Fields) -> set[str]:
        names: set[str] = set()
        for path, cluster in self.objects(doc, "clusterList", "", required=True):
            self.unique_name(cluster, path, names)
            if cluster.get("healthPath") is not None:
                self.string(cluster, "healthPath", path, single_line=True)
            for field in ("connectionLimit", "coldStartS", "coldPerS"):
                self.non_negative(cluster, field, path)
        return names

    def listeners(self, doc: Fields, services: set[str]) -> None:
        names: set[str] = set()
        for path, listener in self.objects(doc, "listenerList", "", required=True):
            self.string(listener, "host", path)
            for rule_path, rule in self.objects(listener, "ruleSet", path, required=True):
                self.rule(rule, rule_path, names, services)

    def rule(self, rule: Fields, path: str, names: set[str], services: set[str]) -> None:
        self.unique_name(rule, path, names)
        if rule.get("routeKind") is not None:
            self.string(rule, "routeKind", path)
        self.integer(rule, "priority", path)
        if not isinstance(rule.get("keyless"), bool | None):
            self.add_fault(f"{path}.keyless", "must be true or false")
        match = self.object_field(rule, "matchCriteria", path)
        if match is not None:
            prefix = self.string(match, "pathPrefix", f"{path}.matchCriteria")
            if prefix is not None and not prefix.startswith("/"):
                self.add_fault(f"{path}.matchCriteria.pathPrefix", "must start with a slash")
        target_latency_s = self.non_negative(rule, "targetLatencyS", path)
        action = self.object_field(rule, "actionSpec", path)
        if action is not None:
            self.action(action, f"{path}.actionSpec", services)
            timeout_s = action.get("timeoutS")
            timeout_limit_s = float(timeout_s) if isinstance(timeout_s, int | float) else MAX_TIMEOUT_S
            if (
                target_latency_s is not None
                and target_latency_s - timeout_limit_s >= MAX_LATENCY_ABOVE_TIMEOUT_S - ROUNDING_S
            ):
                self.add_fault(f"{path}.targetLatencyS", "is a minute or more above the route's timeoutS")

    def action(self, action: Fields, path: str, services: set[str]) -> None:
        timeout_s = self.non_negative(action, "timeoutS", path)
        if timeout_s is not None and timeout_s > MAX_TIMEOUT_S:
            self.add_fault(f"{path}.timeoutS", "is over ten minutes")
        attempts = self.integer(action, "maxAttempts", path)
        if attempts is not None and attempts < 1:
            self.add_fault(f"{path}.maxAttempts", "must be at least 1")
        self.strings(action, "homeRegions", path)
        if action.get("affinity") is not None:
            self.affinity(action, f"{path}.affinity")
        service, split = action.get("service"), action.get("weightedSplit")
        if service is None and not split:
            self.add_fault(path, "names neither a service nor a weightedSplit")
        if service is not None:
            self.service_reference(action, path, services)
        for share_path, share in self.objects(action, "weightedSplit", path):
            self.service_reference(share, share_path, services)
            weight = self.number(share, "weight", share_path, required=True)
            if weight is not None and weight < 0:
                self.add_fault(f"{share_path}.weight", "is under 0")

    def affinity(self, action: Fields, path: str) -> None:
        affinity = action["affinity"]
        if not isinstance(affinity, dict):
            self.add_fault(path, "must be an object")
            return
        faults = len(self.faults)
        sources = self.strings(affinity, "callerFrom", path)
        if not sources and faults == len(self.faults):
            self.add_fault(f"{path}.callerFrom", "names nothing to tell callers by")
        for index, source in enumerate(sources):
            if not _CALLER_SOURCE.fullmatch(source):
                reason = f"{source!r:.60} is none of header:NAME, cookie:NAME, path:1 to path:99, tenant"
                self.add_fault(f"{path}.callerFrom[{index}]", reason)
        if (affinity.get("near") or "") not in AFFINITY_SCOPES:
            self.add_fault(f"{path}.near", "must be zone, region or empty")
        exchange_s = self.non_negative(affinity, "exchangeS", path)
        if exchange_s is not None and exchange_s > MAX_EXCHANGE_S:
            self.add_fault(f"{path}.exchangeS", "is over an hour")
        if affinity.get("travels") is not None:
            self.travels(affinity, f"{path}.travels")
            if not exchange_s:
                self.add_fault(
                    f"{path}.exchangeS", "must be above 0 where a record travels: it lives for so long"
                )

    def travels(self, affinity: Fields, path: str) -> None:
        travels = affinity["travels"]
        if not isinstance(travels, dict):
            self.add_fault(path, "must be an object")
            return
        lookup_s = self.non_negative(travels, "lookUpS", path)
        if lookup_s is not None and lookup_s > MAX_LOOKUP_S:
            self.add_fault(f"{path}.lookUpS", "is over a second")
        if (travels.get("whenLost") or "placement") not in LOST_RECORD_POLICIES:
            self.add_fault(f"{path}.whenLost", "must be placement or refuse")
        source, outcome_path = travels.get("exchangeFrom"), travels.get("askPath")
        if source is not None and not (isinstance(source, str) and _HEADER_SOURCE.fullmatch(source)):
            self.add_fault(f"{path}.exchangeFrom", "must be header:NAME")
        if outcome_path is not None and not (
            isinstance(outcome_path, str) and _OUTCOME_PATH.fullmatch(outcome_path)
        ):
            self.add_fault(f"{path}.askPath", "must be a path that begins and ends with a slash")

    # Fields

    def objects(
        self, parent: Fields, field: str, path: str, required: bool = False
    ) -> Iterator[tuple[str, Fields]]:
        list_path = f"{path}.{field}" if path else field
        items = parent.get(field)
        if items is None and not required:
            return
        if not isinstance(items, list):
            self.add_fault(list_path, "is missing" if items is None else "must be a list")
            return
        for index, item in enumerate(items):
            if isinstance(item, dict):
                yield f"{list_path}[{index}]", item
            else:
                self.add_fault(f"{list_path}[{index}]", "must be an object")

    def object_field(self, parent: Fields, field: str, path: str) -> Fields | None:
        value = parent.get(field)
        if isinstance(value, dict):
            return value
        self.add_fault(f"{path}.{field}", "is missing" if value is None else "must be an object")
        return None

    def string(self, parent: Fields, field: str, path: str, single_line: bool = False) -> str | None:
        """A non-empty string; with ``single_line`` it must not contain characters forbidden in headers."""
        value = parent.get(field)
        if not isinstance(value, str) or not value:
            self.add_fault(f"{path}.{field}", "is missing" if value is None else "must be a text")
            return None
        if single_line and _UNSAFE_CHARACTERS.search(value):
            self.add_fault(f"{path}.{field}", "holds a character that no header may")
            return None
        return value

    def unique_name(self, parent: Fields, path: str, names: set[str], single_line: bool = False) -> None:
        """A name that is not yet in ``names``, since patches refer to items by name."""
        name = self.string(parent, "name", path, single_line)
        if name is None:
            return
        if name in names:
            self.add_fault(f"{path}.name", f"{name!r:.60} is there twice")
        names.add(name)

    def service_reference(self, parent: Fields, path: str, services: set[str]) -> None:
        service = self.string(parent, "service", path)
        if service is not None and service not in services:
            self.add_fault(f"{path}.service", f"{service!r:.60} is not a known service")

    def strings(self, parent: Fields, field: str, path: str) -> list[str]:
        value = parent.get(field)
        if value is None:
            return []
        if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
            self.add_fault(f"{path}.{field}", "must be a list of texts")
            return []
        return value

    def number(self, parent: Fields, field: str, path: str, required: bool = False) -> float | None:
        value = parent.get(field)
        if value is None:
            if required:
                self.add_fault(f"{path}.{field}", "is missing")
            return None
        if isinstance(value, bool) or not isinstance(value, int | float) or not _is_finite(value):
            self.add_fault(f"{path}.{field}", "must be a number")
            return None
        return float(value)

    def non_negative(self, parent: Fields, field: str, path: str) -> float | None:
        value = self.number(parent, field, path)
        if value is not None and value < 0:
            self.add_fault(f"{path}.{field}", "must not be under 0")
            return None
        return value

    def integer(self, parent: Fields, field: str, path: str) -> int | None:
        value = self.number(parent, field, path)
        if value is not None and not value.is_integer():
            self.add_fault(f"{path}.{field}", "must be a whole number")
            return None
        return None if value is None else int(value)


def _is_finite(value: int | float) -> bool:
    try:
        return isfinite(value)
    except OverflowError:  # an integer that is too large for a float
        return False
