"""Which upstreams of a service may serve a request while a new version is rolled out. No I/O.

During the trial a share of the requests goes to a subset of the target version's upstreams. The subset is
about that share of them, so that each gets the load that it would get at full share, and a version that
fails under load only is found in the trial. All gateways choose the same subset. Only the first attempt of a
request goes to the target version; retries and hedged requests go to the others.

A gateway uses the target version of an unfinished rollout only while it knows that its state is recent
(``trusted_until``). So a gateway that is cut off or was frozen does not add to what a bad version receives.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from enum import Enum
from itertools import zip_longest
from typing import TYPE_CHECKING
from zlib import crc32

import msgspec

if TYPE_CHECKING:
    from barleyhub.line.balancer import Upstream

MIN_TRIAL_UPSTREAMS = 1


class RolloutPhase(Enum):
    """Which versions serve."""

    TRIAL = "trial"  # a share of the requests goes to the target version
    SHIFT = "shift"  # all go to the target version, but the others may still serve
    COMPLETED = "completed"
    REVERTED = "reverted"  # none goes to the target version


class VersionRule(msgspec.Struct, frozen=True):
    """The rollout of a service."""

    rollout_id: int
    target_version: str
    phase: RolloutPhase
    share: float  # of the requests, for the target version during the trial

    @property
    def unfinished(self) -> bool:
        """Whether the rollout may still be reverted."""
        return self.phase in (RolloutPhase.TRIAL, RolloutPhase.SHIFT)


class VersionGroups(msgspec.Struct, frozen=True):
    """The usable upstreams of a service by version, as of a revision of the balancer."""

    revision: int
    rule: VersionRule
    trial: tuple[Upstream, ...]  # the subset of ``target`` for the trial
    target: tuple[Upstream, ...]
    others: tuple[Upstream, ...]


def trial_subset(upstreams: Iterable[Upstream], share: float, rollout_id: int) -> tuple[Upstream, ...]:
    """The upstreams for the trial, spread over the regions; the same on all gateways."""

    def position(upstream: Upstream) -> int:
        return crc32(f"{rollout_id} {upstream.ident}".encode())

    by_region: dict[str, list[Upstream]] = {}
    count = 0
    for upstream in sorted(upstreams, key=position):
        by_region.setdefault(upstream.region, []).append(upstream)
        count += 1
    turns = zip_longest(*(by_region[region] for region in sorted(by_region)))
    ranked = [upstream for turn in turns for upstream in turn if upstream is not None]
    return tuple(ranked[: max(round(share * count), MIN_TRIAL_UPSTREAMS)])


class VersionRouter:
    """The rollouts known to a gateway, and the candidates that follow from them."""

    def __init__(self) -> None:
        self.rules: dict[str, VersionRule] = {}  # by service
        self.trusted_until = -math.inf  # until then, the rules of unfinished rollouts are known to be recent
        self.groups: dict[str, VersionGroups] = {}  # by service

    def candidates(
        self,
        service: str,
        usable: Mapping[str, Upstream],
        revision: int,
        evacuated: Collection[str],
        draw: float | None,
        now: float,
    ) -> list[tuple[Upstream, ...]]:
        """Groups of upstreams to choose from; a later one only if the ones before offer none.

        ``draw`` is a random number from 0 to 1 for a request's first attempt, None for a later one.
        """
        rule = self.rules[service]
        groups = self.groups.get(service)
        if groups is None or groups.revision != revision or groups.rule is not rule:
            groups = self.groups[service] = self.partition(rule, usable, revision, evacuated)
        if rule.phase is RolloutPhase.REVERTED:
            return [groups.others]
        if not groups.others:
            return [groups.target]  # nothing else can serve, as where the target version served already
        trusted = now < self.trusted_until
        if rule.phase is RolloutPhase.COMPLETED or (rule.phase is RolloutPhase.SHIFT and trusted):
            return [groups.target, groups.others]
        if trusted and draw is not None and draw < rule.share:
            return [groups.trial, groups.others]
        return [groups.others]

    def partition(
        self, rule: VersionRule, usable: Mapping[str, Upstream], revision: int, evacuated: Collection[str]
    ) -> VersionGroups:
        """Divide the upstreams that may get requests by version."""
        available = [u for u in usable.values() if not u.state and u.zone not in evacuated]
        target = tuple(u for u in available if u.version == rule.target_version)
        others = tuple(u for u in available if u.version != rule.target_version)
        trial = trial_subset(target, rule.share, rule.rollout_id)
        return VersionGroups(revision, rule, trial, target, others)

    def is_target(self, upstream: Upstream) -> bool:
        """Whether the upstream runs the target version of its service's rollout."""
        rule = self.rules.get(upstream.service)
        return rule is not None and upstream.version == rule.target_version

    def is_withdrawn(self, upstream: Upstream, now: float) -> bool:
        """Whether the upstream must not be sent anything, whatever was decided before."""
        rule = self.rules.get(upstream.service)
        if rule is None or upstream.version != rule.target_version:
            return False
        if rule.phase is RolloutPhase.REVERTED:
            return True
        groups = self.groups.get(upstream.service)
        return rule.unfinished and now >= self.trusted_until and (groups is None or bool(groups.others))

    def accepts_callers(self, upstream: Upstream, now: float) -> bool:
        """Whether requests of callers with affinity may go to the upstream."""
        rule = self.rules.get(upstream.service)
        if rule is None:
            return True
        shifted = rule.phase is RolloutPhase.COMPLETED or (
            rule.phase is RolloutPhase.SHIFT and now < self.trusted_until
        )
        return (upstream.version == rule.target_version) == shifted
