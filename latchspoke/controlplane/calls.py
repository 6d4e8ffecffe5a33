"""What servers, clients and the operator ask of a control machine, by the protocol's calls. No sockets."""

from __future__ import annotations

from collections.abc import Container
from hashlib import blake2b
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from latchspoke.configuration.check import check, parse_base_version, parse_version
from latchspoke.configuration.patch import apply_patch
from latchspoke.membership.words import Member

ADDRESSES_MOST = 64
LEAST = 2  # gateways that a client is told of, if there are as many in its region


class Asked(msgspec.Struct, frozen=True):
    """A call: its name by the protocol, and what it is about."""

    name: str
    of: str
    query: dict[str, str]


def read_call(method: str, target: str) -> Asked:
    """``name`` is "" where the call is not known."""
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    if parts.path == "/rpc" and method == "POST":
        return Asked(query.get("call", ""), query.get("of", ""), query)
    if method == "GET" and parts.path.startswith("/"):
        return Asked(f"GET {parts.path}", "", query)
    return Asked("", "", query)


class InvalidError(ValueError):
    """The operator's call can't be taken whatever is in force; one line says why."""


def read_configuration(
    body: bytes, current: dict[str, Any] | None, version: int
) -> tuple[dict[str, Any], list[str]]:
    """The command for the register, and the faults of the whole as far as they can be told here.

    A change is tried on the document in force here, if it builds on that; else the register tells. Raises
    InvalidError where the body can't be read at all.
    """
    try:
        doc = msgspec.json.decode(body)
    except msgspec.DecodeError as e:
        raise InvalidError(f"it can't be read whole: {e}") from None
    if not isinstance(doc, dict):
        raise InvalidError("it is no object")
    try:
        new, base = parse_version(doc.get("version", "")), parse_base_version(doc.get("baseVersion"))
    except (TypeError, ValueError) as e:
        raise InvalidError(str(e)) from None
    digest = blake2b(body, digest_size=16).hexdigest()
    command: dict[str, Any] = {"version": new, "base": base, "digest": digest}
    if "upsert" in doc or "remove" in doc:
        command |= {"do": "modify", "patch": doc}
        if base != version or current is None:
            return command, []
        try:
            whole: Any = apply_patch(current, doc)  # type: ignore[arg-type]
        except ValueError as e:
            return command, [str(e)]
        return command, [str(fault) for fault in check(whole)]
    command |= {"do": "replace", "doc": doc}
    return command, [str(fault) for fault in check(doc)]


TARGETS_LEAST = 3  # control machines of a region among which its servers' heartbeats are dealt


def heartbeat_target(
    members: list[Member], suspects: Container[str], region: str, here: str, draw: Any
) -> str:
    """The host that a server of this region is to call from now on, or '' where it may stay.

    It stays with a machine of its own region: heartbeats that cross regions are paid for. It is sent to one
    only where there are several, so that a machine that is cut off doesn't hold all of a region.
    """
    if region == here:
        return ""
    near = [
        m.host
        for m in members
        if m.meta.get("role") == "core" and m.meta.get("region") == region and m.name not in suspects
    ]
    return str(draw.choice(sorted(near))) if len(near) >= TARGETS_LEAST else ""


def locate(members: list[Member], suspects: Container[str], zone: str, region: str, draw: Any) -> list[str]:
    """The ready gateways for a client there, only near ones where there are some: at most 64 addresses.

    A suspected one is left out as long as others are left: it is not removed yet, but may well be dead.
    """
    ready = [
        m for m in members if m.meta.get("role") == "edge" and m.meta.get("ready") and m.meta.get("front")
    ]
    ready = [m for m in ready if m.name not in suspects] or ready
    here = [m for m in ready if m.meta.get("zone") == zone]
    chosen = here
    if len(chosen) < LEAST:
        chosen = here + [m for m in ready if m.meta.get("region") == region and m not in here]
    if not chosen:
        chosen = ready
    if len(chosen) > ADDRESSES_MOST:
        chosen = draw.sample(chosen, ADDRESSES_MOST)
    return [str(m.meta["front"]) for m in chosen]
