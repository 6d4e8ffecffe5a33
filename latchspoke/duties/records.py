"""Replicated commands, state and messages of the duties."""

from __future__ import annotations

from enum import Enum
from fnmatch import fnmatchcase

import msgspec


class Rule(msgspec.Struct, frozen=True):
    """Who may hold a duty, and the ``length`` of its lease in seconds."""

    length: float = 10.0
    names: tuple[str, ...] = ("*",)  # glob patterns
    zones: tuple[str, ...] = ()  # empty: any
    versions: tuple[str, ...] = ()  # empty: any


class Candidate(msgspec.Struct, frozen=True):
    """One process instance that may hold duties; ``session`` is drawn at each start."""

    name: str
    session: str
    zone: str = ""
    version: str = ""
    duties: tuple[str, ...] = ("*",)  # glob patterns of the duties that it can hold

    @property
    def identity(self) -> str:
        """Name and session, unique for each start of a process."""
        return f"{self.name}#{self.session}"

    def is_eligible(self, duty: str, rule: Rule) -> bool:
        """Whether the candidate offers this duty and the rule admits it."""
        return (
            any(fnmatchcase(duty, pattern) for pattern in self.duties)
            and any(fnmatchcase(self.name, pattern) for pattern in rule.names)
            and (not rule.zones or self.zone in rule.zones)
            and (not rule.versions or self.version in rule.versions)
        )


class TenureEnd(Enum):
    """How a tenure ended, if it has."""

    HELD = ""
    RELEASED = "released"  # the holder reported that it had stopped
    EXPIRED = "ended"  # the lease had certainly expired at the holder


class Tenure(msgspec.Struct, frozen=True):
    """One holder's tenure of a duty. A duty's tokens only increase, also across its removal."""

    holder: str
    token: int
    longest: float = 0.0  # longest lease that any reply may have granted, in seconds
    why: TenureEnd = TenureEnd.HELD


# Replicated commands.


class Define(msgspec.Struct, frozen=True, tag="define"):
    """Creates a duty or replaces its rule; the current holder keeps it."""

    duty: str
    rule: Rule


class Remove(msgspec.Struct, frozen=True, tag="remove"):
    """Removes a duty: it is no longer granted, its holder is told to stop, and its last token is kept."""

    duty: str


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """Grants the duty to ``holder`` if the last token is still ``after`` and that tenure has ended.

    ``ended``: the proposing leader has waited until the previous tenure expired.
    """

    duty: str
    holder: str
    after: int
    ended: bool = False


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Ends the tenure of this token: released by its holder, or expired without a successor."""

    duty: str
    token: int
    why: TenureEnd = TenureEnd.RELEASED


class Move(msgspec.Struct, frozen=True, tag="move"):
    """An operator's request to move the duty to the candidate named ``to``, or to any other one if ''."""

    duty: str
    to: str


Command = Define | Remove | Grant | Release | Move


class DutyState(msgspec.Struct, frozen=True):
    """Replicated state of a duty; ``token`` is the last one granted."""

    rule: Rule | None  # None once removed
    token: int = 0
    tenure: Tenure | None = None
    wanted: str | None = None  # ``to`` of a pending ``Move``
    past: tuple[Tenure, ...] = ()

    @property
    def held(self) -> bool:
        """Whether the last tenure has not ended."""
        return self.tenure is not None and self.tenure.why is TenureEnd.HELD


# Messages between holders and members.


class Heartbeat(msgspec.Struct, frozen=True):
    """A candidate's heartbeat; ``number`` increases, ``released`` has the tokens whose work has stopped."""

    who: Candidate
    number: int
    released: dict[str, int] = {}


class HeldDuty(msgspec.Struct, frozen=True):
    """A lease on a duty for ``length`` seconds from the sending of the heartbeat that this answers."""

    duty: str
    token: int
    length: float
    give_up: bool = False  # the holder must stop and report the release


class HeartbeatReply(msgspec.Struct, frozen=True):
    """All duties held by the candidate, confirmed by a quorum after its heartbeat was received."""

    identity: str
    number: int
    held: tuple[HeldDuty, ...] = ()
    length: float = 10.0  # shortest lease of the applicable rules in seconds; sets the heartbeat interval
