"""Records that members store and the messages they exchange, encoded with msgspec.

An identity is a member's name and a random number drawn when its store was created: ``a1#5be2a07c``. A member
that lost its disk gets a new identity, so it cannot contradict the votes it cast under the old one.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class RecordsError(ValueError):
    """The data is not a valid record or message; the text is one line."""


class Kind(Enum):
    """The type of a log entry."""

    NOTHING = "nothing"  # no-op, the first entry of a leader's term
    DATA = "data"  # a command for the state machines
    MEMBERS = "members"  # a configuration change, in force as soon as it is in the log


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry."""

    index: int
    term: int
    kind: Kind = Kind.NOTHING
    body: bytes = b""


class Members(msgspec.Struct, frozen=True):
    """The cluster configuration, by identity.

    ``learners`` replicate the log and are promoted to voters once they have caught up. ``non_voters``
    replicate it too but are never promoted automatically. ``former`` are names that an operator removed:
    only an operator can add them again.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    former: tuple[str, ...] = ()
    non_voters: tuple[str, ...] = msgspec.field(name="guests", default=())

    @property
    def all(self) -> tuple[str, ...]:
        """Everyone who replicates the log."""
        return self.voters + self.learners + self.non_voters

    @property
    def majority(self) -> int:
        """The number of voters that make a quorum."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, identities: set[str]) -> bool:
        """Whether ``identities`` include a majority of the voters."""
        return bool(self.voters) and sum(voter in identities for voter in self.voters) >= self.majority


class Snapshot(msgspec.Struct, frozen=True):
    """State of the state machines after applying all entries up to ``index``, and the membership there."""

    index: int = 0
    term: int = 0
    members: Members = Members()
    body: bytes = b""


class HardState(msgspec.Struct, frozen=True):
    """Raft's persistent state: the current term and the identity voted for in it ('' if none)."""

    term: int = 0
    vote: str = ""


class Stored(msgspec.Struct, frozen=True):
    """Everything a member loads from its disk at startup."""

    identity: str
    boot: int  # number of starts of this store, including this one
    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()


class Message(msgspec.Struct, frozen=True, tag_field="t", omit_defaults=True):
    """Base of all messages. ``boot`` counts the sender's starts; it reveals an old copy of a disk."""

    source: str
    target: str
    boot: int
    term: int


class VoteRequest(Message, frozen=True, tag="ask-vote"):
    """RequestVote; ``pre_vote`` asks whether the vote would be granted, without increasing the term."""

    last_index: int = 0
    last_term: int = 0
    pre_vote: bool = msgspec.field(name="trial", default=False)


class VoteReply(Message, frozen=True, tag="give-vote"):
    """Reply to a VoteRequest."""

    granted: bool = False
    pre_vote: bool = msgspec.field(name="trial", default=False)


class Append(Message, frozen=True, tag="append"):
    """AppendEntries; without entries it is a heartbeat. ``round_number`` counts the leader's broadcasts."""

    before_index: int = 0
    before_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    round_number: int = msgspec.field(name="turn", default=0)


class Install(Message, frozen=True, tag="install"):
    """InstallSnapshot, for a member whose next entries the leader has already compacted."""

    snapshot: Snapshot = Snapshot()
    round_number: int = msgspec.field(name="turn", default=0)


class InstallPart(Message, frozen=True, tag="install-part"):
    """One chunk of a large snapshot: the bytes from ``offset`` on, of ``total``."""

    index: int = 0
    snapshot_term: int = 0
    members: Members = Members()
    offset: int = 0
    total: int = 0
    body: bytes = b""
    round_number: int = msgspec.field(name="turn", default=0)


class InstallProgress(Message, frozen=True, tag="install-progress"):
    """Acknowledges a chunk: of the snapshot up to ``index``, the sender needs the bytes from ``offset``."""

    index: int = 0
    offset: int = 0
    round_number: int = msgspec.field(name="turn", default=0)


class AppendReply(Message, frozen=True, tag="appended"):
    """Reply to an Append or Install.

    If ``ok``, the log matches the leader's up to ``index`` and is synced; else the leader should retry after
    ``index``.
    """

    ok: bool = False
    index: int = 0
    round_number: int = msgspec.field(name="turn", default=0)


class BootQuery(Message, frozen=True, tag="hello"):
    """A restarted member asks whether any other has seen a later boot of its store."""


class BootReply(Message, frozen=True, tag="known"):
    """The latest boot of the receiver that the sender has seen."""

    latest: int = 0


class TimeoutNow(Message, frozen=True, tag="yield"):
    """Leadership transfer: the receiver, whose log is up to date, starts an election at once."""


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
    """The bytes of a message, decoded by ``decode``."""
    return ENCODER.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Decodes a message. Raises RecordsError."""
    try:
        return DECODER.decode(data)
    except msgspec.MsgspecError as e:
        raise RecordsError(f"not a consensus message: {e}") from None


def name_of(identity: str) -> str:
    """The member's name, without the number of its store."""
    return identity.partition("#")[0]
