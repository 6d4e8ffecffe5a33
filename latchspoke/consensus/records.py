"""What members write down and say to one another: typed records, encoded with msgspec.

An identity is a member's name and the number drawn when its store was made: ``a1#5be2a07c``. A member that
has lost its disk is so another one under the same name, and what it once promised can't be promised twice.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class RecordsError(ValueError):
    """What was read is no such record; one line."""


class Kind(Enum):
    """What an entry is for."""

    NOTHING = "nothing"  # the first entry of a leader's term
    DATA = "data"  # for the state machines
    MEMBERS = "members"  # who the members are, in force from the moment it stands in a log


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log."""

    index: int
    term: int
    kind: Kind = Kind.NOTHING
    body: bytes = b""


class Members(msgspec.Struct, frozen=True):
    """Those who vote, and those who only follow until they have caught up; by identity.

    ``former`` are names that an operator has taken out: they come in again only by an operator's word.
    ``guests`` follow like learners and are never made voters by themselves.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    former: tuple[str, ...] = ()
    non_voters: tuple[str, ...] = msgspec.field(name="guests", default=())

    @property
    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners + self.non_voters

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def has_quorum(self, identities: set[str]) -> bool:
        """Whether a majority of the voters is among these."""
        return bool(self.voters) and sum(voter in identities for voter in self.voters) >= self.majority


class Snapshot(msgspec.Struct, frozen=True):
    """All that the entries up to ``index`` made of the state machines, and the members then."""

    index: int = 0
    term: int = 0
    members: Members = Members()
    body: bytes = b""


class HardState(msgspec.Struct, frozen=True):
    """What a member may never go back on: its term, and whom it has given its vote in it."""

    term: int = 0
    vote: str = ""


class Stored(msgspec.Struct, frozen=True):
    """All that a member finds on its disk at a start."""

    identity: str
    boot: int  # starts of this store so far, this one counted
    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()


class Message(msgspec.Struct, frozen=True, tag_field="t", omit_defaults=True):
    """From one identity to another. ``boot`` counts the sender's starts, so that an old disk is found out."""

    source: str
    target: str
    boot: int
    term: int


class VoteRequest(Message, frozen=True, tag="ask-vote"):
    """``trial``: a question without consequences, before a term is spent on it."""

    last_index: int = 0
    last_term: int = 0
    pre_vote: bool = msgspec.field(name="trial", default=False)


class VoteReply(Message, frozen=True, tag="give-vote"):
    granted: bool = False
    pre_vote: bool = msgspec.field(name="trial", default=False)


class Append(Message, frozen=True, tag="append"):
    """Entries after ``before``; without any it is a heartbeat. ``turn`` numbers the leader's rounds."""

    before_index: int = 0
    before_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    round_number: int = msgspec.field(name="turn", default=0)


class Install(Message, frozen=True, tag="install"):
    """A snapshot for a member whose next entries are no longer in the leader's log."""

    snapshot: Snapshot = Snapshot()
    round_number: int = msgspec.field(name="turn", default=0)


class InstallPart(Message, frozen=True, tag="install-part"):
    """``body`` is the part from ``offset`` on of a snapshot's body, which has ``total`` bytes."""

    index: int = 0
    snapshot_term: int = 0
    members: Members = Members()
    offset: int = 0
    total: int = 0
    body: bytes = b""
    round_number: int = msgspec.field(name="turn", default=0)


class InstallProgress(Message, frozen=True, tag="install-progress"):
    """Of the snapshot up to ``index``, the sender lacks the bytes from ``offset`` on."""

    index: int = 0
    offset: int = 0
    round_number: int = msgspec.field(name="turn", default=0)


class AppendReply(Message, frozen=True, tag="appended"):
    """``index``: up to here the log is the leader's and synced; or where to try again, if not ``ok``."""

    ok: bool = False
    index: int = 0
    round_number: int = msgspec.field(name="turn", default=0)


class BootQuery(Message, frozen=True, tag="hello"):
    """A member that has just started asks whether anybody knows a later start of it."""


class BootReply(Message, frozen=True, tag="known"):
    """The latest start that the sender has heard of."""

    latest: int = 0


class TimeoutNow(Message, frozen=True, tag="yield"):
    """The leader leaves: this member, whose log is whole, is to stand at once."""


AnyMessage = (
    VoteRequest
    | VoteReply
    | Append
    | Install
    | InstallPart
    | InstallProgress
    | AppendReply
    | BootQuery
    | BootReply
    | TimeoutNow
)
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    return ENCODER.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Raises RecordsError."""
    try:
        return DECODER.decode(data)
    except msgspec.MsgspecError as e:
        raise RecordsError(f"no message of a member: {e}") from None


def name_of(identity: str) -> str:
    return identity.partition("#")[0]
