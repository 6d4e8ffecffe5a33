"""What is committed, asked and told about rules, between members and gateways."""

from __future__ import annotations

import msgspec

from latchspoke.revisions.documents import Scalar
from latchspoke.revisions.leases import KEEP, REFUSE, STRICT

NAME = "rules"
LAPSE_POLICIES = (KEEP, STRICT, REFUSE)


class Terms(msgspec.Struct, frozen=True):
    """A document's own choices: how long a right lasts (s), and what holds once it has lapsed.

    ``least``: figures by which a lapsed gateway goes where they are stricter; no version may be stricter
    than these, or a lapsed gateway would let through what it forbids.
    """

    length: float = 10.0
    lapse: str = KEEP
    least: dict[str, Scalar] = {}


class Revision(msgspec.Struct, frozen=True):
    """One version. ``at``: the time of day of whoever put it, in s; only for people."""

    version: int
    parent: int
    digest: str
    author: str
    reason: str
    at: float
    barrier: bool  # whether it contradicts what may be acted on when it was put
    changes: int
    activated: bool = False


# What is committed.


class PutRules(msgspec.Struct, frozen=True, tag="put"):
    """A new version of ``name`` on top of ``parent``: entries put and gone, and maybe other terms."""

    name: str
    parent: int
    put: dict[str, Scalar]
    gone: tuple[str, ...] = ()
    author: str = ""
    reason: str = ""
    at: float = 0.0
    terms: Terms | None = None


class Activate(msgspec.Struct, frozen=True, tag="activate"):
    """By the leader: from now on no right is given under an earlier version.

    ``longest``: no right that lasts longer than this (s) can be out any more; 0 says nothing of it.
    """

    name: str
    version: int
    longest: float = 0.0


RulesCommand = PutRules | Activate


# What gateways and members say to one another.


class DocumentReport(msgspec.Struct, frozen=True):
    """Of one document, by a gateway."""

    acting: int = 0
    have: tuple[int, ...] = ()


class RulesQuestion(msgspec.Struct, frozen=True):
    """``number`` grows with each of one session, which is drawn at a gateway's start."""

    gateway: str
    session: str
    number: int
    documents: dict[str, DocumentReport] = {}

    @property
    def identity(self) -> str:
        return f"{self.gateway}#{self.session}"


class DocumentGrant(msgspec.Struct, frozen=True):
    """Of one document: the version under which the gateway may act, for so long (s) from its question on.

    -1 is none, 0 the empty one that stands for a gateway's own file. ``digests``: the versions whose content
    a gateway should have at hand.
    """

    grant: int
    length: float
    active: int
    lapse: str
    least: dict[str, Scalar]
    digests: dict[int, str]


class RulesAnswer(msgspec.Struct, frozen=True):
    """By a majority's word that came after the question."""

    session: str
    number: int
    documents: dict[str, DocumentGrant]


class LeaseStatus(msgspec.Struct, frozen=True):
    """A gateway's right on one document as the leader counts it: ``right_for`` s more at the most."""

    version: int
    right_for: float
    lacks: tuple[int, ...]


class ActivationStatus(msgspec.Struct, frozen=True):
    """An activation that this leader saw, and for how long (s) what came before went on at the most."""

    name: str
    version: int
    ago: float
    lasted: float


class GatewayLeases(msgspec.Struct, frozen=True):
    """What the leader knows of the gateways."""

    gateways: dict[str, dict[str, LeaseStatus]]
    switches: tuple[ActivationStatus, ...]


class FetchRules(msgspec.Struct, frozen=True):
    """The content of a version, against ``base``, which the asker has.

    Or by parts from the ``first`` one on, against those whose ``digests`` the asker gives, if any.
    """

    name: str
    version: int
    base: int = 0
    digests: tuple[str, ...] = ()
    first: int = 0


class Content(msgspec.Struct, frozen=True):
    """A change against ``base``, or whole parts; which of them is told by ``parts`` being there.

    ``then``: the part from which on more is to be asked for, 0 for none.
    """

    name: str
    version: int
    base: int = 0
    put: dict[str, Scalar] = {}
    gone: tuple[str, ...] = ()
    parts: dict[int, dict[str, Scalar]] | None = None
    then: int = 0
