"""Explains where a caller goes, and predicts which callers a planned change would move."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from barleyhub.affinity.rendezvous import (
    NO_ORIGIN,
    Member,
    Origin,
    caller_key,
    draw_time,
    member_seed,
    pool_version,
    rank_members,
)

SAMPLE_CALLERS = 20_000  # callers to sample if none are given


def explain_caller(
    caller: str,
    members: Iterable[Member],
    origin: Origin = NO_ORIGIN,
    homes: Collection[str] | None = None,
    unavailable: Mapping[str, str] | None = None,
) -> dict[str, Any]:
    """The caller's ranking, with each member's share of all callers and why members are skipped.

    ``unavailable`` are the addresses that can't be sent to, with the reason.
    """
    members, unavailable = list(members), unavailable or {}
    key = caller_key(caller.encode())
    total_weight = sum(
        member.weight for member in members if member.weight > 0 and (homes is None or member.region in homes)
    )
    by_address = {member.address: member for member in members}
    lines: list[dict[str, Any]] = []
    destination = None
    for tier, time, address in rank_members(key, members, origin, homes):
        member, why = by_address[address], unavailable.get(address, "")
        if not why and destination is None:
            destination = address
        lines.append(
            {
                "place": address, "zone": member.zone, "region": member.region, "tier": tier,
                "strength": member.capacity, "share": member.share,
                "part": round(member.weight / total_weight, 6), "time": round(time * total_weight, 6),
                "passed_over": why,
            }
        )  # fmt: skip
    ranked = {line["place"] for line in lines}
    excluded = {
        member.address: "has no share yet" if member.weight <= 0 else "outside the homes"
        for member in members
        if member.address not in ranked
    }
    skipped = [line["place"] for line in lines if line["passed_over"]]
    if destination is None:
        why = "no place may be sent to"
    elif lines[0]["place"] == destination:
        why = "first in its order"
    else:
        why = f"first in its order of those that may be sent to; passed over: {', '.join(skipped)}"
    return {
        "caller": caller, "key": key.hex(), "version": pool_version(members), "goes_to": destination,
        "why": why, "order": lines, "not_in_order": excluded,
    }  # fmt: skip


def least_movement(before: Mapping[str, float], after: Mapping[str, float]) -> float:
    """Least share of callers that must move to keep them distributed by weight."""
    total_before, total_after = sum(before.values()), sum(after.values())
    if not total_before or not total_after:
        return 0.0
    return sum(
        max(after.get(address, 0.0) / total_after - before.get(address, 0.0) / total_before, 0.0)
        for address in after
    )


def plan_change(
    before: Iterable[Member],
    after: Iterable[Member],
    callers: Iterable[str] | None = None,
    origin: Origin = NO_ORIGIN,
    homes: Collection[str] | None = None,
    max_listed: int = 20,
) -> dict[str, Any]:
    """Callers that a change would move: their share, against the least possible, and from where to where.

    Without ``callers``, a sample is used that gives the shares to within a few thousandths. At most
    ``max_listed`` moves are listed.
    """
    before, after = list(before), list(after)
    entries_before, entries_after = (_member_entries(members, origin, homes) for members in (before, after))
    names = [f"drawn-{number}" for number in range(SAMPLE_CALLERS)] if callers is None else list(callers)
    departures: Counter[str] = Counter()
    arrivals: Counter[str] = Counter()
    moves: list[dict[str, Any]] = []
    why: Counter[str] = Counter()
    for caller in names:
        key = caller_key(caller.encode())
        old, new = _first_choice(key, entries_before), _first_choice(key, entries_after)
        if old == new:
            continue
        removed = old is None or old not in entries_after
        reason = "its place is gone" if removed else "part of what another place is owed"
        why[reason] += 1
        departures[old or ""] += 1
        arrivals[new or ""] += 1
        if len(moves) < max_listed:
            moves.append({"caller": caller, "from": old, "to": new, "why": reason})
    count = max(len(names), 1)
    weights = [
        {address: entry[2] for address, entry in entries.items()}
        for entries in (entries_before, entries_after)
    ]
    addresses = sorted(weights[0].keys() | weights[1].keys())
    return {
        "from_version": pool_version(before), "to_version": pool_version(after), "callers": len(names),
        "moved": sum(departures.values()), "share_moved": round(sum(departures.values()) / count, 6),
        "least_possible": round(least_movement(*weights), 6), "why": dict(why),
        "places": {
            address: {"leave": departures[address], "come": arrivals[address]}
            for address in addresses
            if departures[address] or arrivals[address]
        },
        "moves": moves,
    }  # fmt: skip


MemberEntries = dict[str, tuple[int, int, float]]  # tier, seed, weight by address


def _member_entries(
    members: Iterable[Member], origin: Origin, homes: Collection[str] | None
) -> MemberEntries:
    return {
        member.address: (origin.tier(member), member_seed(member.address), member.weight)
        for member in members
        if member.weight > 0 and (homes is None or member.region in homes)
    }


def _first_choice(key: bytes, entries: MemberEntries) -> str | None:
    ranks = (
        (tier, draw_time(key, seed, weight), address) for address, (tier, seed, weight) in entries.items()
    )
    return min(ranks, default=(0, 0.0, None))[2]
