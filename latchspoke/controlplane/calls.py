"""What servers, clients and the operator ask of a control machine, by the protocol's calls. No sockets."""

from __future__ import annotations

from collections.abc import Container
from hashlib import blake2b
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from latchspoke.configuration.check import base_number, check, number
from latchspoke.configuration.patch import apply_patch
from latchspoke.membership.words import Member

MAX_ADDRESSES = 64
MIN_GATEWAYS = 2  # gateways that a client is told of, if there are as many in its region


class ApiCall(msgspec.Struct, frozen=True):
    """A call: its name by the protocol, and what it is about."""

    name: str
    subject: str
    query: dict[str, str]


def parse_call(method: str, target: str) -> ApiCall:
    """``name`` is "" where the call is not known."""
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    if parts.path == "/rpc" and method == "POST":
        return ApiCall(query.get("call", ""), query.get("of", ""), query)
    if method == "GET" and parts.path.startswith("/"):
        return ApiCall(f"GET {parts.path}", "", query)
    return ApiCall("", "", query)


class InvalidRequestError(ValueError):
    """The operator's call can't be taken whatever is in force; one line says why."""


def parse_configuration(
    body: bytes, current: dict[str, Any] | None, version: int
) -> tuple[dict[str, Any], list[str]]:
    """The command for the register, and the faults of the whole as far as they can be told here.

    A change is tried on the document in force here, if it builds on that; else the register tells. Raises
    InvalidError where the body can't be read at all.
    """
    try:
        request = msgspec.json.decode(body)
    except msgspec.DecodeError as e:
        raise InvalidRequestError(f"it can't be read whole: {e}") from None
    if not isinstance(request, dict):
        raise InvalidRequestError("it is no object")
    try:
        new_version, base_version = (
            number(request.get("version", "")),
            base_number(request.get("baseVersion")),
        )
    except (TypeError, ValueError) as e:
        raise InvalidRequestError(str(e)) from None
    digest = blake2b(body, digest_size=16).hexdigest()
    command: dict[str, Any] = {"version": new_version, "base": base_version, "digest": digest}
    if "upsert" in request or "remove" in request:
        command |= {"do": "modify", "patch": request}
        if base_version != version or current is None:
            return command, []
        try:
            document: Any = apply_patch(current, request)  # type: ignore[arg-type]
        except ValueError as e:
            return command, [str(e)]
        return command, [str(fault) for fault in check(document)]
    command |= {"do": "replace", "doc": request}
    return command, [str(fault) for fault in check(request)]


MIN_HEARTBEAT_TARGETS = 3  # control machines of a region among which its servers' heartbeats are dealt


def heartbeat_target(
    members: list[Member], suspects: Container[str], region: str, own_region: str, rng: Any
) -> str:
    """The host that a server of this region is to call from now on, or '' where it may stay.

    It stays with a machine of its own region: heartbeats that cross regions are paid for. It is sent to one
    only where there are several, so that a machine that is cut off doesn't hold all of a region.
    """
    if region == own_region:
        return ""
    hosts = [
        member.host
        for member in members
        if member.meta.get("role") == "core"
        and member.meta.get("region") == region
        and member.name not in suspects
    ]
    return str(rng.choice(sorted(hosts))) if len(hosts) >= MIN_HEARTBEAT_TARGETS else ""


def select_gateways(
    members: list[Member], suspects: Container[str], zone: str, region: str, rng: Any
) -> list[str]:
    """The ready gateways for a client there, only near ones where there are some: at most 64 addresses.

    A suspected one is left out as long as others are left: it is not removed yet, but may well be dead.
    """
    ready = [
        member
        for member in members
        if member.meta.get("role") == "edge" and member.meta.get("ready") and member.meta.get("front")
    ]
    ready = [member for member in ready if member.name not in suspects] or ready
    in_zone = [member for member in ready if member.meta.get("zone") == zone]
    chosen = in_zone
    if len(chosen) < MIN_GATEWAYS:
        chosen = in_zone + [
            member for member in ready if member.meta.get("region") == region and member not in in_zone
        ]
    if not chosen:
        chosen = ready
    if len(chosen) > MAX_ADDRESSES:
        chosen = rng.sample(chosen, MAX_ADDRESSES)
    return [str(member.meta["front"]) for member in chosen]
