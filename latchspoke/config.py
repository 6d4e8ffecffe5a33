"""Configuration of a gateway: environment variables and the JSON file that GW_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from barleyhub import drill
from barleyhub import interface as api

Address = tuple[str, int]

SERVER_STATES = {
    "in_service": api.ServerState.ACTIVE,
    "terminating": api.ServerState.LEAVING,
    "terminated": api.ServerState.LEFT,
}


class ConfigError(Exception):
    """The configuration is invalid; the message is a single line."""


@dataclass(slots=True, frozen=True)
class TargetList:
    """The server list or a change of it from discovery, with the address of each server."""

    generation: int
    complete: bool
    entries: tuple[api.ServerEntry, ...]
    addresses: dict[str, Address]


@dataclass(slots=True, frozen=True)
class RulesConfig:
    """Agents' sockets that serve replicated rules, and the path of the cache for the rules in effect.

    ``start_from_cache``: whether to start with the cached rules if no agent answers.
    """

    agent_sockets: tuple[str, ...]
    cache_path: str = ""
    start_from_cache: bool = False


@dataclass(slots=True, frozen=True)
class Config:
    """Addresses and limits of a gateway; ``settings`` are those of the decision module."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    max_sockets: int
    known_targets: TargetList
    settings: api.Settings
    rules: RulesConfig | None = None
    operator_address: Address | None = None  # of the operator API
    field_names: frozenset[str] = frozenset()  # those of the file, to detect fields missing after a reload


def parse_address(text: str) -> Address:
    """Parse ``host:port``; an IPv6 host may have brackets. Raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"not an address (host:port): {text!r}")
    return host.strip("[]"), int(port)


def parse_server_entry(entry: dict[str, Any]) -> api.ServerEntry:
    """Parse an entry of the server list. Raises KeyError for a missing field or an unknown state."""
    return api.ServerEntry(
        server=entry["instanceId"],
        state=SERVER_STATES[entry["lifecycle"]],
        zone=entry.get("zone", ""),
        kind=entry.get("machineType", ""),
        cell=entry.get("cell", 0),
        size=entry.get("weight", 1.0),
        launched=entry.get("startedAtMs", 0) / 1000,
    )


def parse_target_list(document: dict[str, Any]) -> TargetList:
    """Parse a server list in the format of discovery. Raises KeyError, ValueError or ConfigError."""
    instances = document.get("instances") or ()
    return TargetList(
        generation=int(document["generation"]),
        complete=bool(document.get("reset")),
        entries=tuple(parse_server_entry(entry) for entry in instances),
        addresses={
            entry["instanceId"]: parse_address(entry["hostPort"])
            for entry in instances
            if entry.get("hostPort")
        },
    )


def parse_rules_config(env: Mapping[str, str]) -> RulesConfig | None:
    """Read GW_MEMBERS, GW_RULES_KEPT and GW_RULES_START; None if no agents are configured."""
    sockets = tuple(path for path in env.get("GW_MEMBERS", "").split(",") if path)
    start_mode = env.get("GW_RULES_START", "wait")
    if start_mode not in ("wait", "known"):
        raise ConfigError(f"GW_RULES_START: {start_mode!r} is neither wait nor known")
    return RulesConfig(sockets, env.get("GW_RULES_KEPT", ""), start_mode == "known") if sockets else None


def iter_field_names(document: Mapping[str, Any], prefix: str = "") -> Iterator[str]:
    """Yield the dotted names of all fields, such as ``settings.Allowed``, without those inside lists."""
    for name, value in document.items():
        yield prefix + name
        if isinstance(value, dict):
            yield from iter_field_names(value, f"{prefix}{name}.")


def parse_config(document: dict[str, Any], env: Mapping[str, str]) -> Config:
    """Build the configuration; environment variables take precedence over the file."""
    counter, control = document.get("counter"), env.get("GW_CONTROL") or document.get("control")
    if counter is not None and not isinstance(counter, str):
        raise ConfigError(f"not an address (host:port): {counter!r}")
    if control is not None and not isinstance(control, str):
        raise ConfigError(f"not an address (host:port): {control!r}")
    return Config(
        name=env.get("GW_NAME") or document["name"],
        listen=parse_address(env.get("GW_LISTEN") or document["listen"]),
        discovery=parse_address(env.get("GW_DISCOVERY") or document["discovery"]),
        counter=parse_address(counter) if counter else None,
        seed=int(document["seed"], 16),
        max_sockets=int((document.get("limits") or {}).get("sockets") or 1024),
        known_targets=parse_target_list(document.get("known") or {"generation": 0, "reset": True}),
        settings=drill.read_settings(document["settings"]),
        rules=parse_rules_config(env),
        operator_address=parse_address(control) if control else None,
        field_names=frozenset(iter_field_names(document)),
    )


def load(env: Mapping[str, str], path: str | None = None) -> Config:
    """Read the configuration from ``path`` or the file that GW_CONFIG names. Raises ConfigError."""
    path = path or env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set and no file is named")
    try:
        return parse_config(json.loads(Path(path).read_text()), env)
    except OSError as e:
        raise ConfigError(f"can't read {path}: {e.strerror}") from None
    except json.JSONDecodeError as e:
        raise ConfigError(f"{path} is not JSON: {e}") from None
    except KeyError as e:
        raise ConfigError(f"{path}: missing field or unknown value {e}") from None
    except (ValueError, OverflowError, TypeError, AttributeError) as e:
        raise ConfigError(f"{path}: {e}") from None


def reload(env: Mapping[str, str], path: str | None = None) -> Config:
    """Read the configuration again; the file, which is newer now, takes precedence over GW_DISCOVERY."""
    return load({name: value for name, value in env.items() if name != "GW_DISCOVERY"}, path)
