"""Who may act on an instance: a lease that ends by itself, with a fencing token that only grows.

The agent that owns an instance holds its claims; there is no other place to ask. A step names the token
of its claim, and a token that is not the newest one is refused. So a holder that was thought dead and
wakes up late can't act beside the one that came after it. Times are Unix seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

import immutables

MAX_TTL_S = 120.0  # s; a dead holder blocks others no longer than this


@dataclass(frozen=True, slots=True)
class Claim:
    """A holder's right to act on one instance."""

    instance: str
    token: int
    holder: str
    operation: str
    since: float
    expires: float
    released: bool = False

    def is_live(self, now: float) -> bool:
        return not self.released and now < self.expires


class ClaimRefusedError(Exception):
    """Somebody else holds it, or held it last. ``claim`` says who, which operation and since when."""

    def __init__(self, reason: str, claim: Claim | None) -> None:
        super().__init__(reason)
        self.reason, self.claim = reason, claim


Claims = immutables.Map[str, Claim]  # by instance; a released or lapsed one is kept for its token
NO_CLAIMS: Claims = immutables.Map()


def acquire(
    claims: Claims, instances: Iterable[str], holder: str, operation: str, ttl: float, now: float
) -> Claims:
    """All of them or none. The same operation and holder get a new token, which shuts out the old one.

    That is how an operator goes on with an operation whose tool has died: steps of the dead tool that
    are still under way carry the old token.
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
    """A claim that has lapsed is not renewed: somebody may have looked and found it free."""
    renewed = claims
    for name, token in sorted(tokens.items()):
        claim = check_token(claims, name, token, now)
        renewed = renewed.set(name, replace(claim, expires=now + min(ttl, MAX_TTL_S)))
    return renewed


def release(claims: Claims, tokens: dict[str, int]) -> Claims:
    """Give back those that are still one's own; the token stays known, so that it never comes again."""
    remaining = claims
    for name, token in tokens.items():
        claim = claims.get(name)
        if claim is not None and claim.token == token:
            remaining = remaining.set(name, replace(claim, released=True))
    return remaining


def check_token(claims: Claims, instance: str, token: int, now: float) -> Claim:
    """The claim by which a step may be done, or why not."""
    claim = claims.get(instance)
    if claim is None:
        raise ClaimRefusedError(f"{instance} is not claimed", None)
    if claim.token != token:
        raise ClaimRefusedError(f"token {token} for {instance} is not the newest", claim)
    if not claim.is_live(now):
        raise ClaimRefusedError(
            f"the claim on {instance} has {'been released' if claim.released else 'lapsed'}", claim
        )
    return claim
