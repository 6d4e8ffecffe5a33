"""Who votes on the replicated log: the leader's next change of membership, one voter at a time.

Pure. The leader tells what it has heard of each member; ``next_members`` gives the membership to propose, or
None. Every newcomer joins as a guest: it replicates the log and doesn't vote. A guest that has caught up
becomes a voter where the voters are fewer than they can be, where a voter is lost, or where another place for
a vote lets more survive the loss of a zone or region.

At most ``VOTERS_MOST`` members vote, so that a commit doesn't wait for more disks as the core grows, and an
odd number of them wherever guests allow it: an even number tolerates no more losses.

Removing a lost voter needs no word from it. It is safe as long as membership changes by one voter at a time
and through the log: any two majorities of neighbouring memberships share a member, and a leader changes
nothing before an entry of its own term is committed (Ongaro, "Consensus: bridging theory and practice",
chapter 4). A removed voter that returns with its disk is a guest like any other.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from latchspoke.consensus.records import Members, name_of

MAX_VOTERS = 7  # survives three lost machines; odd
NON_VOTER_EXPIRY_S = 15.0  # s without a word after which a guest is no longer replicated to
LOST_FRACTION = 0.25  # of ``catchUpS``: silence after which a voter's place is given to a guest
MIN_LOST_AFTER_S = 0.9  # s; six heartbeats and more than an election, whatever ``catchUpS`` is
MAX_OBSERVATION_GAP_S = 0.4  # s between two looks that say that this process itself stood still
DEFAULT_CATCH_UP_S = 4.0  # s, if no bound tells


class Location(NamedTuple):
    """Where a machine stands."""

    zone: str = ""
    region: str = ""


UNKNOWN_LOCATION = Location()


class MemberLiveness(msgspec.Struct):
    """When the leader last heard from each member, by identity.

    Silence counts only while this process leads, has a majority and runs: neither a new leader nor one that
    was frozen takes its own absence for that of the others.
    """

    catch_up: float = DEFAULT_CATCH_UP_S
    heard_at: dict[str, float] = msgspec.field(default_factory=dict)
    leaving: dict[str, int] = msgspec.field(default_factory=dict)  # identity -> the start in which it said so
    counted_from: float = math.inf
    observed_at: float = -math.inf

    @property
    def lost_after(self) -> float:
        """Silence (s) after which a voter's place may be given away."""
        return max(LOST_FRACTION * self.catch_up, MIN_LOST_AFTER_S)

    def start_term(self, now: float) -> None:
        """A term as leader begins."""
        self.heard_at.clear()
        self.counted_from = self.observed_at = now

    def observe(self, now: float, has_majority: bool) -> None:
        """Called whenever the leader looks; ``majority``: whether one has answered lately."""
        if not has_majority or now - self.observed_at > MAX_OBSERVATION_GAP_S:
            self.counted_from = now
        self.observed_at = now

    def record_contact(self, identity: str, at: float) -> None:
        """Something came from this member at this time."""
        self.heard_at[identity] = max(self.heard_at.get(identity, at), at)

    def silence(self, identity: str, now: float) -> float:
        """How long (s) nothing has come from it while it could have."""
        return now - max(self.heard_at.get(identity, -math.inf), self.counted_from)

    def mark_leaving(self, identity: str, boot: int) -> None:
        """It is about to stop; its vote may go to a guest at once."""
        self.leaving[identity] = boot

    def mark_started(self, identity: str, boot: int) -> None:
        """It has been heard in this start of its process."""
        if boot > self.leaving.get(identity, boot):
            del self.leaving[identity]

    def is_lost(self, identity: str, now: float) -> bool:
        """Whether this member's vote may be given to a guest."""
        return identity in self.leaving or self.silence(identity, now) >= self.lost_after


class JoinCandidate(msgspec.Struct, frozen=True):
    """A process that asks to be a member."""

    identity: str

    @property
    def name(self) -> str:
        """The name of its process."""
        return name_of(self.identity)


class MembershipView(msgspec.Struct, frozen=True):
    """What a leader knows when it decides."""

    leader: str  # the leader's own identity
    members: Members
    caught_up: frozenset[str]  # guests that answer and have caught up
    lost: frozenset[str]
    expired: frozenset[str]  # silent for so long that they need not be replicated to
    locations: Mapping[str, Location]  # by name

    def location(self, identity: str) -> Location:
        """Where a member stands, as far as is known."""
        return self.locations.get(name_of(identity), UNKNOWN_LOCATION)

    def live_voters(self) -> list[str]:
        """Voters that are not lost."""
        return [voter for voter in self.members.voters if voter not in self.lost]

    def eligible_non_voters(self) -> list[str]:
        """Guests that may vote at once."""
        return [
            non_voter
            for non_voter in self.members.non_voters
            if non_voter in self.caught_up and non_voter not in self.lost
        ]


def next_members(view: MembershipView, candidates: Iterable[JoinCandidate]) -> Members | None:
    """The next change to propose, or None where all is as it should be."""
    changed = admit(view.members, candidates)
    if changed is None:
        changed = expire_non_voters(view)
    return changed if changed is not None else next_voters(view)


def admit(current: Members, candidates: Iterable[JoinCandidate]) -> Members | None:
    """All newcomers as guests, in one change, as far as it takes at most one vote.

    One that bears the name of a member has lost its disk and comes in that member's place.
    """
    members = current
    for candidate in candidates:
        same_name = [identity for identity in members.all if name_of(identity) == candidate.name]
        if candidate.identity in same_name:
            continue
        rest = without(members, same_name)
        if len(set(rest.voters) ^ set(current.voters)) > 1:
            continue
        members = msgspec.structs.replace(rest, non_voters=(*rest.non_voters, candidate.identity))
    return members if members != current else None


def expire_non_voters(view: MembershipView) -> Members | None:
    """Guests that have been silent for long are replicated to no more; they ask again when they return."""
    expired = [identity for identity in view.members.all if identity in view.expired]
    expired = [identity for identity in expired if identity not in view.members.voters]
    return without(view.members, expired) if expired else None


def next_voters(view: MembershipView) -> Members | None:
    """One voter less, or one more."""
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
    """The same membership, in which this guest votes."""
    rest = without(view.members, (non_voter,))
    return msgspec.structs.replace(rest, voters=(*rest.voters, non_voter))


def demote(view: MembershipView, voter: str) -> Members:
    """A lost voter is no member any more until it asks; a sound one goes on as a guest."""
    rest = without(view.members, (voter,))
    if voter in view.lost:
        return rest
    return msgspec.structs.replace(rest, non_voters=(*rest.non_voters, voter))


def voter_counts(view: MembershipView) -> tuple[Counter[str], Counter[str]]:
    """Sound voters by region, and by zone."""
    locations = [view.location(voter) for voter in view.live_voters()]
    return Counter(location.region for location in locations), Counter(
        location.zone for location in locations
    )


def least_crowded(view: MembershipView, candidates: Collection[str]) -> str:
    """The guest whose vote stands where the fewest others do."""
    regions, zones = voter_counts(view)

    def crowd(candidate: str) -> tuple[int, int, str]:
        location = view.location(candidate)
        return regions[location.region], zones[location.zone], candidate

    return min(candidates, key=crowd)


def most_crowded(view: MembershipView) -> str:
    """The voter that is missed least: a lost one, or one where the most others stand; never the leader."""
    regions, zones = voter_counts(view)

    def crowd(voter: str) -> tuple[bool, int, int, str]:
        location = view.location(voter)
        return voter in view.lost, regions[location.region], zones[location.zone], voter

    return max((voter for voter in view.members.voters if voter != view.leader), key=crowd)


def better_located(view: MembershipView, candidates: Collection[str]) -> str:
    """A guest whose vote, in place of one in a crowded region or zone, lets more survive; '' if none."""
    located = [candidate for candidate in candidates if view.location(candidate) != UNKNOWN_LOCATION]
    if not located or any(view.location(voter) == UNKNOWN_LOCATION for voter in view.members.voters):
        return ""
    candidate, crowded_voter = least_crowded(view, located), most_crowded(view)
    regions, zones = voter_counts(view)
    candidate_location, crowded_location = view.location(candidate), view.location(crowded_voter)
    if regions[crowded_location.region] - regions[candidate_location.region] > 1:
        return candidate
    even = (
        regions[crowded_location.region] == regions[candidate_location.region]
        or candidate_location.region == crowded_location.region
    )
    return candidate if even and zones[crowded_location.zone] - zones[candidate_location.zone] > 1 else ""


def region_outweighs_rest(view: MembershipView) -> bool:
    """Whether one region holds so many of an even number of voters that an odd number survives its loss."""
    regions, _ = voter_counts(view)
    voters = len(view.members.voters)
    largest = max(regions.values(), default=0)
    return len(regions) > 1 and voters > 2 and voters - largest < voters // 2 + 1 <= voters - largest + 1


def without(members: Members, removed: Collection[str]) -> Members:
    """The same membership but for these identities."""
    voters, learners, non_voters = (
        tuple(identity for identity in group if identity not in removed)
        for group in (members.voters, members.learners, members.non_voters)
    )
    return Members(voters, learners, members.former, non_voters)
