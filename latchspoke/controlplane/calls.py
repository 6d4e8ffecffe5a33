"""Parses the API calls of servers, clients and operators, and computes their answers. No I/O."""

from __future__ import annotations

from collections.abc import Container
from hashlib import blake2b
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from latchspoke.configuration.check import check, parse_base_version, parse_version
from latchspoke.configuration.patch import apply_patch
from latchspoke.membership.messages import Member

MAX_ADDRESSES = 64
MIN_GATEWAYS = 2  # with fewer in the client's zone, those of its region are added


class ApiCall(msgspec.Struct, frozen=True):
    """An API call: its name and subject (an instance ID or a zone)."""

    name: str
    subject: str
    query: dict[str, str]


def parse_call(method: str, target: str) -> ApiCall:
    """Parse the request line of a call; ``name`` is "" for an unknown call."""
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    if parts.path == "/rpc" and method == "POST":
        return ApiCall(query.get("call", ""), query.get("of", ""), query)
    if method == "GET" and parts.path.startswith("/"):
        return ApiCall(f"GET {parts.path}", "", query)
    return ApiCall("", "", query)


class InvalidRequestError(ValueError):
    """The request is invalid regardless of the current configuration; the message is one line."""


def digest_of(body: bytes) -> str:
    """What identifies an order that is sent again."""
    return blake2b(body, digest_size=16).hexdigest()


class OrderVersions(msgspec.Struct, frozen=True):
    """The version of a configuration or a patch, and the version that it is built on."""

    version: int
    base_version: int


class OrderHead(msgspec.Struct, frozen=True):
    """The fields of a configuration or a patch that can be read without decoding the rest."""

    version: Any = ""
    baseVersion: Any = None  # noqa: N815 - a field of the protocol


def parse_order_versions(body: bytes) -> OrderVersions | None:
    """The versions in the body of an order; None if it is malformed."""
    try:
        head: OrderHead = msgspec.json.decode(body, type=OrderHead)
        return OrderVersions(parse_version(head.version), parse_base_version(head.baseVersion))
    except (msgspec.MsgspecError, TypeError, ValueError):
        return None


def parse_configuration(
    body: bytes, current: dict[str, Any] | None, version: int
) -> tuple[dict[str, Any], list[str]]:
    """The command for the replicated store, and the faults of the resulting configuration.

    A patch is checked only if its base is the current version here; otherwise the store decides. The command
    holds the body encoded, as it waits for a majority, and a decoded one takes several times its size. Raises
    InvalidRequestError if the body is malformed.
    """
    try:
        request = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise InvalidRequestError(f"it can't be read whole: {error}") from None
    if not isinstance(request, dict):
        raise InvalidRequestError("it is no object")
    try:
        new_version, base_version = (
            parse_version(request.get("version", "")),
            parse_base_version(request.get("baseVersion")),
        )
    except (TypeError, ValueError) as error:
        raise InvalidRequestError(str(error)) from None
    command: dict[str, Any] = {"version": new_version, "base": base_version, "digest": digest_of(body)}
    if "upsert" in request or "remove" in request:
        command |= {"do": "modify", "patch": msgspec.Raw(body)}
        if base_version != version or current is None:
            return command, []
        try:
            document: Any = apply_patch(current, request)  # type: ignore[arg-type]
        except ValueError as error:
            return command, [str(error)]
        return command, [str(fault) for fault in check(document)]
    command |= {"do": "replace", "doc": msgspec.Raw(body)}
    return command, [str(fault) for fault in check(request)]


MIN_HEARTBEAT_TARGETS = 3  # control-plane nodes of a region that share its servers' heartbeats


def heartbeat_target(
    members: list[Member], suspects: Container[str], region: str, own_region: str, rng: Any
) -> str:
    """The host that a server of this region is to send later heartbeats to, or '' to keep the current one.

    Redirects to the server's own region, as traffic between regions is expensive. Requires several nodes
    there, so that no single unreachable node receives the heartbeats of a whole region.
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
    """The addresses of ready gateways for a client in this zone, the nearest only: at most MAX_ADDRESSES.

    Suspected gateways are left out while others are available.
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
