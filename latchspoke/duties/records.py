"""What is said and remembered about duties."""

from __future__ import annotations

from enum import Enum
from fnmatch import fnmatchcase

import msgspec


class Rule(msgspec.Struct, frozen=True):
    """Who may hold a duty, and for how long without a further word (``length``, in s)."""

    length: float = 10.0
    names: tuple[str, ...] = ("*",)  # patterns
    zones: tuple[str, ...] = ()  # none named: any
    versions: tuple[str, ...] = ()


class Candidate(msgspec.Struct, frozen=True):
    """One run of a process that may hold duties. ``session`` is drawn at its start and never used again."""

    name: str
    session: str
    zone: str = ""
    version: str = ""
    duties: tuple[str, ...] = ("*",)  # patterns: what it is there for

    @property
    def identity(self) -> str:
        return f"{self.name}#{self.session}"

    def is_eligible(self, duty: str, rule: Rule) -> bool:
        return (
            any(fnmatchcase(duty, pattern) for pattern in self.duties)
            and any(fnmatchcase(self.name, pattern) for pattern in rule.names)
            and (not rule.zones or self.zone in rule.zones)
            and (not rule.versions or self.version in rule.versions)
        )


class TenureEnd(Enum):
    """How a tenure ended."""

    HELD = ""
    RELEASED = "released"  # the holder said that it had stopped
    EXPIRED = "ended"  # its time had surely run out at the holder


class Tenure(msgspec.Struct, frozen=True):
    """One holder's time with a duty; tokens of a duty only grow, also over its removal."""

    holder: str
    token: int
    longest: float = 0.0  # s; the longest that any of its answers may have granted
    why: TenureEnd = TenureEnd.HELD


# What is committed.


class Define(msgspec.Struct, frozen=True, tag="define"):
    """A duty exists from now on, or goes by this rule; who holds it keeps it."""

    duty: str
    rule: Rule


class Remove(msgspec.Struct, frozen=True, tag="remove"):
    """Nobody gets the duty any more. Who holds it is asked to stop; its tokens are remembered."""

    duty: str


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """To ``holder``, if the last token is still ``after`` and that tenure may be followed.

    ``ended``: the leader that proposes it has waited out the tenure before.
    """

    duty: str
    holder: str
    after: int
    ended: bool = False


class Release(msgspec.Struct, frozen=True, tag="release"):
    """The holder of this token has stopped, or its time has surely ended and nobody follows yet."""

    duty: str
    token: int
    why: TenureEnd = TenureEnd.RELEASED


class Move(msgspec.Struct, frozen=True, tag="move"):
    """An operator wants this one to hold it, or ('') anybody else than who does."""

    duty: str
    to: str


Command = Define | Remove | Grant | Release | Move


class DutyState(msgspec.Struct, frozen=True):
    """A duty as the log tells it. ``token`` is the last one given."""

    rule: Rule | None  # none: removed
    token: int = 0
    tenure: Tenure | None = None
    wanted: str | None = None  # by an operator's ``move``
    past: tuple[Tenure, ...] = ()

    @property
    def held(self) -> bool:
        return self.tenure is not None and self.tenure.why is TenureEnd.HELD


# What a holder and the members say to one another.


class Heartbeat(msgspec.Struct, frozen=True):
    """A candidate lives. ``number`` grows with each; ``released`` names tokens whose work has stopped."""

    who: Candidate
    number: int
    released: dict[str, int] = {}


class HeldDuty(msgspec.Struct, frozen=True):
    """``length`` (s) counts from the moment at which the beat that this answers was sent."""

    duty: str
    token: int
    length: float
    give_up: bool = False  # stop, and say so


class HeartbeatReply(msgspec.Struct, frozen=True):
    """All that this candidate holds, by a majority's word that came after its beat."""

    identity: str
    number: int
    held: tuple[HeldDuty, ...] = ()
    length: float = 10.0  # s; the shortest of all rules: how often to ask goes by it
