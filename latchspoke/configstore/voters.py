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

VOTERS_MOST = 7  # survives three lost machines; odd
FORGET = 15.0  # s without a word after which a guest is no longer replicated to
LOST_SHARE = 0.25  # of ``catchUpS``: silence after which a voter's place is given to a guest
LOST_LEAST = 0.9  # s; six heartbeats and more than an election, whatever ``catchUpS`` is
PAUSE = 0.4  # s between two looks that say that this process itself stood still
CATCH_UP = 4.0  # s, if no bound tells


class Place(NamedTuple):
    """Where a machine stands."""

    zone: str = ""
    region: str = ""


NOWHERE = Place()


class Contacts(msgspec.Struct):
    """When the leader last heard from each member, by identity.

    Silence counts only while this process leads, has a majority and runs: neither a new leader nor one that
    was frozen takes its own absence for that of the others.
    """

    catch_up: float = CATCH_UP
    heard: dict[str, float] = msgspec.field(default_factory=dict)
    leaving: dict[str, int] = msgspec.field(default_factory=dict)  # identity -> the start in which it said so
    since: float = math.inf
    looked: float = -math.inf

    @property
    def lost_after(self) -> float:
        """Silence (s) after which a voter's place may be given away."""
        return max(LOST_SHARE * self.catch_up, LOST_LEAST)

    def begin(self, now: float) -> None:
        """A term as leader begins."""
        self.heard.clear()
        self.since = self.looked = now

    def look(self, now: float, majority: bool) -> None:
        """Called whenever the leader looks; ``majority``: whether one has answered lately."""
        if not majority or now - self.looked > PAUSE:
            self.since = now
        self.looked = now

    def hear(self, identity: str, at: float) -> None:
        """Something came from this member at this time."""
        self.heard[identity] = max(self.heard.get(identity, at), at)

    def silence(self, identity: str, now: float) -> float:
        """How long (s) nothing has come from it while it could have."""
        return now - max(self.heard.get(identity, -math.inf), self.since)

    def leaves(self, identity: str, boot: int) -> None:
        """It is about to stop; its vote may go to a guest at once."""
        self.leaving[identity] = boot

    def started(self, identity: str, boot: int) -> None:
        """It has been heard in this start of its process."""
        if boot > self.leaving.get(identity, boot):
            del self.leaving[identity]

    def lost(self, identity: str, now: float) -> bool:
        """Whether this member's vote may be given to a guest."""
        return identity in self.leaving or self.silence(identity, now) >= self.lost_after


class Newcomer(msgspec.Struct, frozen=True):
    """A process that asks to be a member."""

    identity: str

    @property
    def name(self) -> str:
        """The name of its process."""
        return name_of(self.identity)


class View(msgspec.Struct, frozen=True):
    """What a leader knows when it decides."""

    me: str  # the leader's own identity
    members: Members
    ready: frozenset[str]  # guests that answer and have caught up
    lost: frozenset[str]
    forgotten: frozenset[str]  # silent for so long that they need not be replicated to
    places: Mapping[str, Place]  # by name

    def place(self, identity: str) -> Place:
        """Where a member stands, as far as is known."""
        return self.places.get(name_of(identity), NOWHERE)

    def sound(self) -> list[str]:
        """Voters that are not lost."""
        return [voter for voter in self.members.voters if voter not in self.lost]

    def guests(self) -> list[str]:
        """Guests that may vote at once."""
        return [guest for guest in self.members.non_voters if guest in self.ready and guest not in self.lost]


def next_members(view: View, newcomers: Iterable[Newcomer]) -> Members | None:
    """The next change to propose, or None where all is as it should be."""
    changed = admit(view.members, newcomers)
    if changed is None:
        changed = forget(view)
    return changed if changed is not None else next_voters(view)


def admit(old: Members, newcomers: Iterable[Newcomer]) -> Members | None:
    """All newcomers as guests, in one change, as far as it takes at most one vote.

    One that bears the name of a member has lost its disk and comes in that member's place.
    """
    members = old
    for newcomer in newcomers:
        former = [identity for identity in members.all if name_of(identity) == newcomer.name]
        if newcomer.identity in former:
            continue
        rest = without(members, former)
        if len(set(rest.voters) ^ set(old.voters)) > 1:
            continue
        members = msgspec.structs.replace(rest, non_voters=(*rest.non_voters, newcomer.identity))
    return members if members != old else None


def forget(view: View) -> Members | None:
    """Guests that have been silent for long are replicated to no more; they ask again when they return."""
    idle = [identity for identity in view.members.all if identity in view.forgotten]
    idle = [identity for identity in idle if identity not in view.members.voters]
    return without(view.members, idle) if idle else None


def next_voters(view: View) -> Members | None:
    """One voter less, or one more."""
    voters, guests = view.members.voters, view.guests()
    if len(voters) > VOTERS_MOST:
        return demote(view, most_crowded(view))
    lost = [voter for voter in voters if voter in view.lost and voter != view.me]
    if lost and guests:
        return demote(view, lost[0])
    if guests and (len(voters) % 2 == 0 or (len(guests) > 1 and len(voters) < VOTERS_MOST)):
        return promote(view, least_crowded(view, guests))
    if guests and not lost and (better := better_place(view, guests)):
        return promote(view, better)
    if len(voters) % 2 == 0 and not lost and outweighs(view):
        return demote(view, most_crowded(view))
    return None


def promote(view: View, guest: str) -> Members:
    """The same membership, in which this guest votes."""
    rest = without(view.members, (guest,))
    return msgspec.structs.replace(rest, voters=(*rest.voters, guest))


def demote(view: View, voter: str) -> Members:
    """A lost voter is no member any more until it asks; a sound one goes on as a guest."""
    rest = without(view.members, (voter,))
    if voter in view.lost:
        return rest
    return msgspec.structs.replace(rest, non_voters=(*rest.non_voters, voter))


def crowds(view: View) -> tuple[Counter[str], Counter[str]]:
    """Sound voters by region, and by zone."""
    places = [view.place(voter) for voter in view.sound()]
    return Counter(place.region for place in places), Counter(place.zone for place in places)


def least_crowded(view: View, guests: Collection[str]) -> str:
    """The guest whose vote stands where the fewest others do."""
    regions, zones = crowds(view)

    def crowd(guest: str) -> tuple[int, int, str]:
        place = view.place(guest)
        return regions[place.region], zones[place.zone], guest

    return min(guests, key=crowd)


def most_crowded(view: View) -> str:
    """The voter that is missed least: a lost one, or one where the most others stand; never the leader."""
    regions, zones = crowds(view)

    def crowd(voter: str) -> tuple[bool, int, int, str]:
        place = view.place(voter)
        return voter in view.lost, regions[place.region], zones[place.zone], voter

    return max((voter for voter in view.members.voters if voter != view.me), key=crowd)


def better_place(view: View, guests: Collection[str]) -> str:
    """A guest whose vote, in place of one in a crowded region or zone, lets more survive; '' if none."""
    known = [guest for guest in guests if view.place(guest) != NOWHERE]
    if not known or any(view.place(voter) == NOWHERE for voter in view.members.voters):
        return ""
    guest, crowded = least_crowded(view, known), most_crowded(view)
    regions, zones = crowds(view)
    here, there = view.place(guest), view.place(crowded)
    if regions[there.region] - regions[here.region] > 1:
        return guest
    even = regions[there.region] == regions[here.region] or here.region == there.region
    return guest if even and zones[there.zone] - zones[here.zone] > 1 else ""


def outweighs(view: View) -> bool:
    """Whether one region holds so many of an even number of voters that an odd number survives its loss."""
    regions, _ = crowds(view)
    voters = len(view.members.voters)
    most = max(regions.values(), default=0)
    return len(regions) > 1 and voters > 2 and voters - most < voters // 2 + 1 <= voters - most + 1


def without(members: Members, those: Collection[str]) -> Members:
    """The same membership but for these identities."""
    voters, learners, guests = (
        tuple(identity for identity in group if identity not in those)
        for group in (members.voters, members.learners, members.non_voters)
    )
    return Members(voters, learners, members.former, guests)
