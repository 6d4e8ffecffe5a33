"""Messages between the processes of the replicated store, encoded as objects with the tag ``k``.

Unknown fields are ignored, so that adjacent releases can communicate.
"""

from __future__ import annotations

from typing import Any

import msgspec

from latchspoke.configstore.config_state import Command, Verdict
from latchspoke.configstore.entry_ages import EntryAge
from latchspoke.consensus.records import AnyMessage

REQUEST_ID_FIELD = "n"
IDENTITY_FIELD = "who"


class RaftMessage(msgspec.Struct, frozen=True, tag_field="k", tag="raft"):
    """A Raft message."""

    message: AnyMessage = msgspec.field(name="m")


class CommandRequest(msgspec.Struct, frozen=True, tag_field="k", tag="ask"):
    """A command for the leader to propose; ``request_id`` is chosen by the sender."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    command: Command = msgspec.field(name="c")


class CommandReply(msgspec.Struct, frozen=True, tag_field="k", tag="told"):
    """The verdict on a command, sent once the leader has committed and applied it."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    verdict: Verdict = msgspec.field(name="v")


class NotLeaderReply(msgspec.Struct, frozen=True, tag_field="k", tag="no"):
    """The receiver of a command is not, or no longer, the leader; the outcome is unknown."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)


class ReadIndexRequest(msgspec.Struct, frozen=True, tag_field="k", tag="prove"):
    """Asks the leader for a read index: the index to apply before serving a linearizable read.

    If ``deferrable``, the leader may confirm its leadership with the next scheduled heartbeat.
    """

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    deferrable: bool | int = msgspec.field(name="p", default=False)


class ReadIndexReply(msgspec.Struct, frozen=True, tag_field="k", tag="proof"):
    """The read index, or -1 if the receiver of the request is not the leader."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    index: int = msgspec.field(name="i")


class EntryAgeRequest(msgspec.Struct, frozen=True, tag_field="k", tag="age"):
    """Asks how long the receiver has known an entry."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    index: int = msgspec.field(name="i")


class EntryAgeReply(msgspec.Struct, frozen=True, tag_field="k", tag="aged"):
    """How long the sender has known an entry."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    age: EntryAge = msgspec.field(name="a")


class JoinRequest(msgspec.Struct, frozen=True, tag_field="k", tag="knock"):
    """The sender asks to join under this identity."""

    identity: str = msgspec.field(name=IDENTITY_FIELD)


class LeaderHint(msgspec.Struct, frozen=True, tag_field="k", tag="leads"):
    """The leader's identity as far as the sender knows."""

    identity: str = msgspec.field(name=IDENTITY_FIELD)


class LeaveNotice(msgspec.Struct, frozen=True, tag_field="k", tag="leaves"):
    """The sender is about to stop; ``boot`` is its current boot."""

    identity: str = msgspec.field(name=IDENTITY_FIELD)
    boot: int


Message = (
    RaftMessage
    | CommandRequest
    | CommandReply
    | NotLeaderReply
    | ReadIndexRequest
    | ReadIndexReply
    | EntryAgeRequest
    | EntryAgeReply
    | JoinRequest
    | LeaderHint
    | LeaveNotice
)


def decode_message(message: dict[str, Any]) -> Message:
    """Raises msgspec.ValidationError, a ValueError, if this is none of the messages above."""
    decoded: Message = msgspec.convert(message, Message)
    return decoded
