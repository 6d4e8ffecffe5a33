"""The state of a gateway as a JSON object, for the agent and for operators, computed on request."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import asdict
from enum import Enum
from hashlib import blake2b
from typing import Any

from barleyhub import interface as api
from latchspoke import __version__
from latchspoke.config import Config, ConfigError
from latchspoke.net.serve import Node

FORMAT = 1  # incremented when a field is removed or changes its meaning
PER_GATEWAY_SETTINGS = ("index", "zone")  # these differ between the gateways of a fleet


def to_json_value(value: Any) -> Any:
    """Convert to types that JSON has; enum members become their values."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(name): to_json_value(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_json_value(item) for item in value]
    return value


def digest(value: Any) -> str:
    """Return 16 hex digits that do not depend on the order of keys."""
    text = json.dumps(to_json_value(value), sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(), digest_size=8).hexdigest()


def shared_settings(settings: api.Settings) -> dict[str, Any]:
    """Return the settings that all gateways of a fleet have in common."""
    return {name: value for name, value in asdict(settings).items() if name not in PER_GATEWAY_SETTINGS}


def format_address(address: tuple[str, int] | None) -> str | None:
    """Return ``host:port``, or None without an address."""
    return f"{address[0]}:{address[1]}" if address else None


def settings_view(settings: api.Settings) -> dict[str, Any]:
    """Return the settings with plans and classes by name, which makes those of two gateways comparable."""
    return {
        "digest": digest(shared_settings(settings)),
        "index": settings.index,
        "gateways": settings.gateways,
        "plans": {plan.name: to_json_value(asdict(plan)) for plan in settings.plans},
        "classes": {kind.name: to_json_value(asdict(kind)) for kind in settings.classes},
    }


def file_view(node: Node, load_config: Callable[[], Config]) -> dict[str, Any]:
    """Return what the configuration file contains now, and whether this gateway has loaded it."""
    try:
        file_config = load_config()
    except ConfigError as e:
        return {"error": str(e), "taken_up": False}
    current = (node.config.settings, node.watch.address, node.counter.address, node.config.listen)
    return {
        "digest": digest(shared_settings(file_config.settings)),
        "taken_up": current
        == (
            file_config.settings,
            file_config.discovery,
            file_config.counter or current[2],
            file_config.listen,
        ),
        "discovery": format_address(file_config.discovery),
        "counter": format_address(file_config.counter),
    }


def targets_view(node: Node, now: float) -> dict[str, Any]:
    """Return the decision module's state of each server."""
    view = {}
    for name, server in node.core.gateway.servers.items():
        target = node.target_group.targets.get(name)
        view[name] = {
            "state": server.entry.state.value,
            "address": format_address(target.address) if target else None,
            "zone": server.entry.zone,
            "out": server.in_flight,
            "idle_connections": len(target.idle) if target else 0,
            "errors": round(server.health.current_error_rate(now), 4),
            "pace": round(server.health.slowdown, 4),
            "backlog": round(server.backlog(now), 2),
        }
    return view


def gateway_view(node: Node, load_config: Callable[[], Config]) -> dict[str, Any]:
    """Return the complete view; times and ages in s."""
    now, gateway, listener, watch = node.clock.now(), node.core.gateway, node.listener, node.watch
    return {
        "format": FORMAT,
        "version": __version__,
        "name": node.config.name,
        "pid": os.getpid(),
        "at": round(now, 3),
        "age": round(now - node.started_at, 3),
        "listen": format_address(node.config.listen),
        "ready": listener.ready,
        "settings": settings_view(node.config.settings),
        "file": file_view(node, load_config),
        "discovery": {
            "address": format_address(watch.address),
            "generation": watch.generation,
            "told_ago": round(now - watch.updated_at, 3) if watch.updated_at is not None else None,
            "connected": watch.connection is not None and watch.connection.transport is not None,
        },
        "counter": {
            "address": format_address(node.counter.address),
            "silent": gateway.counter_down,
            "failed_in_row": gateway.counter_failures,
            "asked_share": round(gateway.sampling_rate, 4),
        },
        "targets": targets_view(node, now),
        "load": {
            "flows": len(node.core.flows),
            "forwards": gateway.in_flight,
            "forwards_limit": round(gateway.in_flight_bound(now), 2),
            "customers": len(gateway.accounts),
            "clients": len(listener.clients),
            "sockets": node.context.sockets.used,
            "sockets_most": node.context.sockets.max_used,
        },
        "drain": {
            "asked": listener.stopping,
            "since": round(now - node.stopped_at, 3) if node.stopped_at is not None else None,
            "listening": node.server is not None,
            "clients_busy": listener.busy_clients,
        },
        "rules": node.rules.view() if node.rules is not None else None,
        "counters": dict(sorted(node.stats.items())),
    }
