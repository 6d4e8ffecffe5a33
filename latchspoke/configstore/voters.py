"""Decides which members vote: the leader's next configuration change, one voter at a time.

Sans-I/O. The leader passes in what it knows of each member; ``next_members`` returns the configuration to
propose, or None. Every process joins as a non-voter: it replicates the log without voting. A non-voter that
has caught up is promoted if there are fewer voters than possible, if a voter is lost, or if its location
makes the quorum more likely to survive the loss of a zone or region.

At most ``MAX_VOTERS`` members vote, so that commit latency does not grow with the cluster. Their number is
kept odd where non-voters allow it, because an even number tolerates no more failures.

Removing a lost voter needs no message from it. This is safe as long as the configuration changes by one voter
at a time and through the log: any two majorities of consecutive configurations overlap, and a leader proposes
no change before an entry of its own term is committed (Ongaro, "Consensus: Bridging Theory and Practice",
chapter 4). A removed voter that returns with its disk joins as a non-voter again.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from latchspoke.consensus.records import Members, name_of

MAX_VOTERS = 7  # odd; tolerates three failures
NON_VOTER_EXPIRY_S = 15.0  # silence after which a non-voter is removed
LOST_FRACTION = 0.25  # of ``catchUpS``: silence after which a voter counts as lost
MIN_LOST_AFTER_S = 0.9  # lower bound: six heartbeats, and longer than an election
MAX_OBSERVATION_GAP_S = 0.4  # a longer gap means that this process itself was paused
DEFAULT_CATCH_UP_S = 4.0  # where the settings give none


class Location(NamedTuple):
    """The zone and region of a machine."""

    zone: str = ""
    region: str = ""


UNKNOWN_LOCATION = Location()


class MemberLiveness(msgspec.Struct):
    """When the leader last heard from each member, by identity.

    Silence counts only while this process is the leader, has a quorum and was not paused; otherwise it would
    mistake its own absence for that of the others.
    """

    catch_up: float = DEFAULT_CATCH_UP_S
    heard_at: dict[str, float] = msgspec.field(default_factory=dict)
    leaving: dict[str, int] = msgspec.field(
        default_factory=dict
    )  # identity -> boot in which it announced its stop
    counted_from: float = math.inf
    observed_at: float = -math.inf

    @property
    def lost_after(self) -> float:
        """Silence (s) after which a voter may be replaced."""
        return max(LOST_FRACTION * self.catch_up, MIN_LOST_AFTER_S)

    def start_term(self, now: float) -> None:
        """Resets all records at the start of a term as leader."""
        self.heard_at.clear()
        self.counted_from = self.observed_at = now

    def observe(self, now: float, has_majority: bool) -> None:
        """Called at each check by the leader; silence is counted anew without a quorum or after a pause."""
        if not has_majority or now - self.observed_at > MAX_OBSERVATION_GAP_S:
            self.counted_from = now
        self.observed_at = now

    def record_contact(self, identity: str, at: float) -> None:
        """Records a message from this member."""
        self.heard_at[identity] = max(self.heard_at.get(identity, at), at)

    def silence(self, identity: str, now: float) -> float:
        """How long (s) the member has been silent while the leader could have heard it."""
        return now - max(self.heard_at.get(identity, -math.inf), self.counted_from)

    def mark_leaving(self, identity: str, boot: int) -> None:
        """The member is about to stop and may be replaced at once."""
        self.leaving[identity] = boot

    def mark_started(self, identity: str, boot: int) -> None:
        """The member was heard from in this boot, which ends an earlier announcement to stop."""
        if boot > self.leaving.get(identity, boot):
            del self.leaving[identity]

    def is_lost(self, identity: str, now: float) -> bool:
        """Whether this voter may be replaced by a non-voter."""
        return identity in self.leaving or self.silence(identity, now) >= self.lost_after


class JoinCandidate(msgspec.Struct, frozen=True):
    """A process that asks to join."""

    identity: str

    @property
    def name(self) -> str:
        """The name of its process."""
        return name_of(self.identity)


class MembershipView(msgspec.Struct, frozen=True):
    """What a leader knows when it decides on the configuration."""

    leader: str  # its own identity
    members: Members
    caught_up: frozenset[str]  # responsive non-voters that have the committed log
    lost: frozenset[str]
    expired: frozenset[str]  # silent for longer than ``NON_VOTER_EXPIRY_S``
    locations: Mapping[str, Location]  # by name

    def location(self, identity: str) -> Location:
        """The member's location if known."""
        return self.locations.get(name_of(identity), UNKNOWN_LOCATION)

    def live_voters(self) -> list[str]:
        """Voters that are not lost."""
        return [voter for voter in self.members.voters if voter not in self.lost]

    def eligible_non_voters(self) -> list[str]:
        """Non-voters that can be promoted now."""
        return [
            non_voter
            for non_voter in self.members.non_voters
            if non_voter in self.caught_up and non_voter not in self.lost
        ]


def next_members(view: MembershipView, candidates: Iterable[JoinCandidate]) -> Members | None:
    """The next configuration to propose, or None if no change is needed."""
    changed = admit(view.members, candidates)
    if changed is None:
        changed = expire_non_voters(view)
    return changed if changed is not None else next_voters(view)


def admit(current: Members, candidates: Iterable[JoinCandidate]) -> Members | None:
    """Adds all candidates as non-voters in one change that removes at most one voter.

    A candidate with the name of a member has lost its disk and replaces that member.
    """
    members = current
    for candidate in candidates:
        same_name = [identity for identity in members.all if name_of(identity) == candidate.name]
        if candidate.identity in same_name:
            continue
        rest = without_members(members, same_name)
        if len(set(rest.voters) ^ set(current.voters)) > 1:
            continue
        members = msgspec.structs.replace(rest, non_voters=(*rest.non_voters, candidate.identity))
    return members if members != current else None


def expire_non_voters(view: MembershipView) -> Members | None:
    """Removes non-voters that have been silent for long; they ask to join again when they return."""
    expired = [identity for identity in view.members.all if identity in view.expired]
    expired = [identity for identity in expired if identity not in view.members.voters]
    return without_members(view.members, expired) if expired else None


def next_voters(view: MembershipView) -> Members | None:
    """Adds or removes one voter; None if no change is needed."""
    voters, non_voters = view.members.voters, view.eligible_non_voters()
    if len(voters) > MAX_VOTERS:
        return demote(view, most_crowded(view))
    lost = [voter for voter in voters if voter in view.lost and voter != view.leader]
    if lost and non_voters:
        return demote(view, lost[0])
    if non_voters and (len(voters) % 2 == 0 or (len(non_voters) > 1 and len(voters) < MAX_VOTERS)):
        return promote(view, least_crowded(view, non_voters))
    if non_voters and not lost and (better := better_located(view, non_voters)):
        return promote(view, better)
    if len(voters) % 2 == 0 and not lost and region_outweighs_rest(view):
        return demote(view, most_crowded(view))
    return None


def promote(view: MembershipView, non_voter: str) -> Members:
    """Makes a non-voter a voter."""
    rest = without_members(view.members, (non_voter,))
    return msgspec.structs.replace(rest, voters=(*rest.voters, non_voter))


def demote(view: MembershipView, voter: str) -> Members:
    """Removes a lost voter; makes a live one a non-voter."""
    rest = without_members(view.members, (voter,))
    if voter in view.lost:
        return rest
    return msgspec.structs.replace(rest, non_voters=(*rest.non_voters, voter))


def voter_counts(view: MembershipView) -> tuple[Counter[str], Counter[str]]:
    """The number of live voters per region and per zone."""
    locations = [view.location(voter) for voter in view.live_voters()]
    return Counter(location.region for location in locations), Counter(
        location.zone for location in locations
    )


def least_crowded(view: MembershipView, candidates: Collection[str]) -> str:
    """The candidate whose region, then zone, has the fewest voters."""
    regions, zones = voter_counts(view)

    def crowding(candidate: str) -> tuple[int, int, str]:
        location = view.location(candidate)
        return regions[location.region], zones[location.zone], candidate

    return min(candidates, key=crowding)


def most_crowded(view: MembershipView) -> str:
    """The voter to give up first: a lost one, else one whose region, then zone, has the most voters.

    Never the leader.
    """
    regions, zones = voter_counts(view)

    def crowding(voter: str) -> tuple[bool, int, int, str]:
        location = view.location(voter)
        return voter in view.lost, regions[location.region], zones[location.zone], voter

    return max((voter for voter in view.members.voters if voter != view.leader), key=crowding)


def better_located(view: MembershipView, candidates: Collection[str]) -> str:
    """A candidate that would spread the votes better over regions or zones than a voter does; '' if none."""
    located = [candidate for candidate in candidates if view.location(candidate) != UNKNOWN_LOCATION]
    if not located or any(view.location(voter) == UNKNOWN_LOCATION for voter in view.members.voters):
        return ""
    candidate, crowded_voter = least_crowded(view, located), most_crowded(view)
    regions, zones = voter_counts(view)
    candidate_location, crowded_location = view.location(candidate), view.location(crowded_voter)
    if regions[crowded_location.region] - regions[candidate_location.region] > 1:
        return candidate
    regions_balanced = (
        regions[crowded_location.region] == regions[candidate_location.region]
        or candidate_location.region == crowded_location.region
    )
    return (
        candidate
        if regions_balanced and zones[crowded_location.zone] - zones[candidate_location.zone] > 1
        else ""
    )


def region_outweighs_rest(view: MembershipView) -> bool:
    """Whether, of an even number of voters, one less would survive the loss of the largest region."""
    regions, _ = voter_counts(view)
    voters = len(view.members.voters)
    largest = max(regions.values(), default=0)
    return len(regions) > 1 and voters > 2 and voters - largest < voters // 2 + 1 <= voters - largest + 1


def without_members(members: Members, removed: Collection[str]) -> Members:
    """The configuration without these identities."""
    voters, learners, non_voters = (
        tuple(identity for identity in group if identity not in removed)
        for group in (members.voters, members.learners, members.non_voters)
    )
    return Members(voters, learners, members.former, non_voters)
