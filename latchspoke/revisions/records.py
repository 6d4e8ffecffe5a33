"""Replicated commands of the rule documents, and messages between members and gateways."""

from __future__ import annotations

import msgspec

from latchspoke.revisions.documents import Scalar
from latchspoke.revisions.leases import KEEP, REFUSE, STRICT

NAME = "rules"
LAPSE_POLICIES = (KEEP, STRICT, REFUSE)


class Terms(msgspec.Struct, frozen=True):
    """A document's lease ``length`` in seconds, and the policy once a lease has expired (``lapse``).

    ``least``: limits that a gateway with an expired lease applies where they are stricter. No version may be
    stricter than these, or such a gateway would admit what the version forbids.
    """

    length: float = 10.0
    lapse: str = KEEP
    least: dict[str, Scalar] = {}


class Revision(msgspec.Struct, frozen=True):
    """One version of a document; ``at`` is its author's Unix time in seconds, for information only."""

    version: int
    parent: int
    digest: str
    author: str
    reason: str
    at: float
    barrier: bool  # whether it contradicts the version that was active when it was put
    changes: int
    activated: bool = False


# Replicated commands.


class PutRules(msgspec.Struct, frozen=True, tag="put"):
    """Adds a version of ``name`` on top of ``parent`` with these entries put and removed, or new terms."""

    name: str
    parent: int
    put: dict[str, Scalar]
    gone: tuple[str, ...] = ()
    author: str = ""
    reason: str = ""
    at: float = 0.0
    terms: Terms | None = None


class Activate(msgspec.Struct, frozen=True, tag="activate"):
    """Activates a version; proposed by the leader. No leases are granted on earlier versions from then on.

    ``longest``: upper bound in seconds of all leases that can still be valid, or 0 if unknown.
    """

    name: str
    version: int
    longest: float = 0.0


RulesCommand = PutRules | Activate


# Messages between gateways and members.


class DocumentReport(msgspec.Struct, frozen=True):
    """A gateway's report on one document: the version that it applies and those that it has."""

    acting: int = 0
    have: tuple[int, ...] = ()


class RulesQuestion(msgspec.Struct, frozen=True):
    """A gateway's request to renew its leases; ``session`` is drawn at its start, ``number`` increases."""

    gateway: str
    session: str
    number: int
    documents: dict[str, DocumentReport] = {}

    @property
    def identity(self) -> str:
        """Gateway and session, unique for each start of a gateway."""
        return f"{self.gateway}#{self.session}"


class DocumentGrant(msgspec.Struct, frozen=True):
    """The version of one document granted for ``length`` seconds from the sending of the question.

    Version -1 is no lease, 0 the empty document that stands for the gateway's own file. ``digests`` has the
    versions whose content the gateway should fetch.
    """

    grant: int
    length: float
    active: int
    lapse: str
    least: dict[str, Scalar]
    digests: dict[int, str]


class RulesAnswer(msgspec.Struct, frozen=True):
    """The answer to a question, confirmed by a quorum after it was received."""

    session: str
    number: int
    documents: dict[str, DocumentGrant]


class LeaseStatus(msgspec.Struct, frozen=True):
    """A gateway's lease on one document: ``right_for`` is the longest remaining time in seconds."""

    version: int
    right_for: float
    lacks: tuple[int, ...]


class ActivationStatus(msgspec.Struct, frozen=True):
    """An activation ``ago`` seconds ago; earlier versions were applied up to ``lasted`` seconds after it."""

    name: str
    version: int
    ago: float
    lasted: float


class GatewayLeases(msgspec.Struct, frozen=True):
    """The leader's view of the gateways' leases and of recent activations."""

    gateways: dict[str, dict[str, LeaseStatus]]
    switches: tuple[ActivationStatus, ...]


class FetchRules(msgspec.Struct, frozen=True):
    """Requests the content of a version as a change against ``base``, which the requester has.

    With ``digests`` of the requester's parts, or without a base, it is sent by parts from ``first`` on.
    """

    name: str
    version: int
    base: int = 0
    digests: tuple[str, ...] = ()
    first: int = 0


class Content(msgspec.Struct, frozen=True):
    """A version's content: whole parts if ``parts`` is set, else a change against ``base``.

    ``then``: the part from which to continue fetching, or 0 if complete.
    """

    name: str
    version: int
    base: int = 0
    put: dict[str, Scalar] = {}
    gone: tuple[str, ...] = ()
    parts: dict[int, dict[str, Scalar]] | None = None
    then: int = 0
