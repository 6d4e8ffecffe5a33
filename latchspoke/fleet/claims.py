"""Claims on instances: leases with a fencing token that increases with each claim.

The agent that owns an instance is the only authority on its claims. Each step carries the token of its
claim, and any token but the newest is refused, so a holder that resumes after its lease has expired can't
act alongside its successor. Times are Unix seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

import immutables

MAX_TTL_S = 120.0  # bounds how long a failed holder blocks others


@dataclass(frozen=True, slots=True)
class Claim:
    """A lease on one instance; ``token`` is its fencing token."""

    instance: str
    token: int
    holder: str
    operation: str
    since: float
    expires: float
    released: bool = False

    def is_live(self, now: float) -> bool:
        """Whether it is neither released nor expired."""
        return not self.released and now < self.expires


class ClaimRefusedError(Exception):
    """The token is stale or the instance is claimed; ``claim`` is the conflicting or last claim, if any."""

    def __init__(self, reason: str, claim: Claim | None) -> None:
        super().__init__(reason)
        self.reason, self.claim = reason, claim


Claims = immutables.Map[str, Claim]  # by instance; released and expired claims are kept for their token
NO_CLAIMS: Claims = immutables.Map()


def acquire(
    claims: Claims, instances: Iterable[str], holder: str, operation: str, ttl: float, now: float
) -> Claims:
    """Claims all of the instances or none; raises ClaimRefusedError, or ValueError for a bad ``ttl``.

    The same holder may claim again for the same operation: the new token fences off steps in flight from
    a tool that has died, so that the operation can be resumed.
    """
    if not 0 < ttl <= MAX_TTL_S:
        raise ValueError(f"a claim lasts more than 0 and at most {MAX_TTL_S:g} s, not {ttl:g}")
    claimed = claims
    for name in sorted(set(instances)):
        previous = claims.get(name)
        if (
            previous is not None
            and previous.is_live(now)
            and (previous.operation, previous.holder) != (operation, holder)
        ):
            raise ClaimRefusedError(f"{name} is claimed", previous)
        token = previous.token + 1 if previous is not None else 1
        claimed = claimed.set(name, Claim(name, token, holder, operation, now, now + ttl))
    return claimed


def renew(claims: Claims, tokens: dict[str, int], ttl: float, now: float) -> Claims:
    """Extends live claims. An expired claim is refused, because others may already have seen it as free."""
    renewed = claims
    for name, token in sorted(tokens.items()):
        claim = check_token(claims, name, token, now)
        renewed = renewed.set(name, replace(claim, expires=now + min(ttl, MAX_TTL_S)))
    return renewed


def release(claims: Claims, tokens: dict[str, int]) -> Claims:
    """Releases the claims whose token is current; the token is kept so that it is never issued again."""
    remaining = claims
    for name, token in tokens.items():
        claim = claims.get(name)
        if claim is not None and claim.token == token:
            remaining = remaining.set(name, replace(claim, released=True))
    return remaining


def check_token(claims: Claims, instance: str, token: int, now: float) -> Claim:
    """Returns the live claim with this token; raises ClaimRefusedError if there is none."""
    claim = claims.get(instance)
    if claim is None:
        raise ClaimRefusedError(f"{instance} is not claimed", None)
    if claim.token != token:
        raise ClaimRefusedError(f"token {token} for {instance} is not the newest", claim)
    if not claim.is_live(now):
        raise ClaimRefusedError(
            f"the claim on {instance} has {'been released' if claim.released else 'expired'}", claim
        )
    return claim
