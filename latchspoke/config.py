"""What a gateway is told: the environment and the JSON that GW_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from barleyhub import drill
from barleyhub import interface as api

Address = tuple[str, int]

STATES = {
    "in_service": api.ServerState.ACTIVE,
    "terminating": api.ServerState.LEAVING,
    "terminated": api.ServerState.LEFT,
}


class ConfigError(Exception):
    """The configuration can't be used; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class TargetList:
    """Discovery's list or a change of it: the module's entries, and where each is reached."""

    generation: int
    whole: bool
    entries: tuple[api.ServerEntry, ...]
    addresses: dict[str, Address]


@dataclass(slots=True, frozen=True)
class RulesConfig:
    """Agents' sockets of which rules with versions are asked, and where the last known are kept.

    ``alone``: whether to begin on those, where no member is heard.
    """

    sockets: tuple[str, ...]
    kept: str = ""
    alone: bool = False


@dataclass(slots=True, frozen=True)
class Config:
    """Where this gateway lives; what it goes by is in ``settings``."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    known: TargetList
    settings: api.Settings
    rules: RulesConfig | None = None
    control: Address | None = None  # the operators' door
    fields: frozenset[str] = frozenset()  # those that the file has, to tell one that lacks some


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"not an address (host:port): {text!r}")
    return host.strip("[]"), int(port)


def read_entry(e: dict[str, Any]) -> api.ServerEntry:
    return api.ServerEntry(
        server=e["instanceId"],
        state=STATES[e["lifecycle"]],
        zone=e.get("zone", ""),
        kind=e.get("machineType", ""),
        cell=e.get("cell", 0),
        size=e.get("weight", 1.0),
        launched=e.get("startedAtMs", 0) / 1000,
    )


def read_list(o: dict[str, Any]) -> TargetList:
    items = o.get("instances") or ()
    return TargetList(
        generation=int(o["generation"]),
        whole=bool(o.get("reset")),
        entries=tuple(read_entry(e) for e in items),
        addresses={e["instanceId"]: read_address(e["hostPort"]) for e in items if e.get("hostPort")},
    )


def read_rules(env: Mapping[str, str]) -> RulesConfig | None:
    sockets = tuple(path for path in env.get("GW_MEMBERS", "").split(",") if path)
    start = env.get("GW_RULES_START", "wait")
    if start not in ("wait", "known"):
        raise ConfigError(f"GW_RULES_START: {start!r}; wait or known is wanted")
    return RulesConfig(sockets, env.get("GW_RULES_KEPT", ""), start == "known") if sockets else None


def field_names(o: Mapping[str, Any], before: str = "") -> Iterator[str]:
    """Of objects in objects, as ``settings.Allowed``; what lists hold is read entry by entry."""
    for name, value in o.items():
        yield before + name
        if isinstance(value, dict):
            yield from field_names(value, f"{before}{name}.")


def read_config(o: dict[str, Any], env: Mapping[str, str]) -> Config:
    """The environment's names win over the file's, as they are what the platform started with."""
    counter, control = o.get("counter"), env.get("GW_CONTROL") or o.get("control")
    if counter is not None and not isinstance(counter, str):
        raise ConfigError(f"not an address (host:port): {counter!r}")
    if control is not None and not isinstance(control, str):
        raise ConfigError(f"not an address (host:port): {control!r}")
    return Config(
        name=env.get("GW_NAME") or o["name"],
        listen=read_address(env.get("GW_LISTEN") or o["listen"]),
        discovery=read_address(env.get("GW_DISCOVERY") or o["discovery"]),
        counter=read_address(counter) if counter else None,
        seed=int(o["seed"], 16),
        sockets=int((o.get("limits") or {}).get("sockets") or 1024),
        known=read_list(o.get("known") or {"generation": 0, "reset": True}),
        settings=drill.read_settings(o["settings"]),
        rules=read_rules(env),
        control=read_address(control) if control else None,
        fields=frozenset(field_names(o)),
    )


def load(env: Mapping[str, str], path: str | None = None) -> Config:
    """Read it all, or say in one line what is wrong."""
    path = path or env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set and no file is named")
    try:
        return read_config(json.loads(Path(path).read_text()), env)
    except OSError as e:
        raise ConfigError(f"can't read {path}: {e.strerror}") from None
    except json.JSONDecodeError as e:
        raise ConfigError(f"{path} is not JSON: {e}") from None
    except KeyError as e:
        raise ConfigError(f"{path}: missing field or unknown word {e}") from None
    except (ValueError, OverflowError, TypeError, AttributeError) as e:
        raise ConfigError(f"{path}: {e}") from None


def reload(env: Mapping[str, str], path: str | None = None) -> Config:
    """Read it again. The file has been replaced since the start, so it wins over GW_DISCOVERY now."""
    return load({name: value for name, value in env.items() if name != "GW_DISCOVERY"}, path)
