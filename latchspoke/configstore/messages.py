"""What the processes of the replicated store say to one another: objects, whose ``k`` tells the kind.

Unknown fields are skipped, so that neighbouring releases understand each other.
"""

from __future__ import annotations

from typing import Any

import msgspec

from latchspoke.configstore.config_state import Command, Verdict
from latchspoke.consensus.records import AnyMessage

REQUEST_ID_FIELD = "n"
IDENTITY_FIELD = "who"


class RaftMessage(msgspec.Struct, frozen=True, tag_field="k", tag="raft"):
    """A message of the replicated log."""

    message: AnyMessage = msgspec.field(name="m")


class CommandRequest(msgspec.Struct, frozen=True, tag_field="k", tag="ask"):
    """A command for the leader to propose; ``question`` is the sender's number for it."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    command: Command = msgspec.field(name="c")


class CommandReply(msgspec.Struct, frozen=True, tag_field="k", tag="told"):
    """The verdict on a command, once it is committed and applied at the leader."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    verdict: Verdict = msgspec.field(name="v")


class NotLeaderReply(msgspec.Struct, frozen=True, tag_field="k", tag="no"):
    """The receiver of a command doesn't lead, or no more: nothing is known of it."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)


class ReadIndexRequest(msgspec.Struct, frozen=True, tag_field="k", tag="prove"):
    """Up to which index must the sender have applied, to know all that was acknowledged before now?

    ``patient``: the leader's next heartbeat may carry the question to the others.
    """

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    deferrable: bool | int = msgspec.field(name="p", default=False)


class ReadIndexReply(msgspec.Struct, frozen=True, tag_field="k", tag="proof"):
    """The answer: an index, or -1 where the receiver of the question doesn't lead."""

    request_id: int = msgspec.field(name=REQUEST_ID_FIELD)
    index: int = msgspec.field(name="i")


class JoinRequest(msgspec.Struct, frozen=True, tag_field="k", tag="knock"):
    """The sender, of this identity, asks to be a member."""

    identity: str = msgspec.field(name=IDENTITY_FIELD)


class LeaderHint(msgspec.Struct, frozen=True, tag_field="k", tag="leads"):
    """The identity of the leader, as the sender knows it."""

    identity: str = msgspec.field(name=IDENTITY_FIELD)


class LeaveNotice(msgspec.Struct, frozen=True, tag_field="k", tag="leaves"):
    """The sender is about to stop; ``boot`` is the start of its store in which it says so."""

    identity: str = msgspec.field(name=IDENTITY_FIELD)
    boot: int


Message = (
    RaftMessage
    | CommandRequest
    | CommandReply
    | NotLeaderReply
    | ReadIndexRequest
    | ReadIndexReply
    | JoinRequest
    | LeaderHint
    | LeaveNotice
)


def decode_message(message: dict[str, Any]) -> Message:
    """Raises msgspec.ValidationError, a ValueError, for what is none of these."""
    decoded: Message = msgspec.convert(message, Message)
    return decoded
