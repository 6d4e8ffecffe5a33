"""A gateway's side: which version of each document it acts on, and until when it may. No I/O, no clock.

Times are monotonic seconds of this process's own clock, of a kind that goes on while the machine sleeps.
A right counts from before the question was sent. ``lapse_at`` is the one figure that each decision compares
with the time; nothing else has to happen on time. Questions and answers are plain objects, as JSON has them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from latchspoke.revisions.documents import KINDS, PLAN_LIMITS, Document, DocumentError, Scalar, strictest

KEEP, STRICT, REFUSE = "keep", "strict", "refuse"
QUESTION_FRACTION = 0.25  # of a right between two questions
MAX_UNANSWERED = 64  # questions whose answer may still come
MAX_CONTENTS = 4  # versions of a document at hand
DEFAULT_LEASE_S = 10.0  # s; until a member has said how long rights last

EMPTY_DOCUMENT = Document()


@dataclass(frozen=True, slots=True)
class EffectiveRules:
    """What a decision goes by: a version, or (lapsed) what the document itself says for that case.

    ``version`` 0 stands for no rules but the gateway's own file; it takes a right as any other.
    """

    version: int = 0
    document: Document = field(default_factory=Document)
    lapsed: str = ""  # '', or keep, strict, refuse

    def __str__(self) -> str:
        return f"{self.version}{'-' if self.lapsed else ''}{self.lapsed}"


@dataclass(slots=True)
class KnownDocument:
    """One document, as far as this gateway knows it. All gateways have version 0, which is empty."""

    version: int = 0
    expires_at: float = -math.inf
    contents: dict[int, Document] = field(default_factory=lambda: {0: Document()})
    missing: dict[int, str] = field(default_factory=dict)  # versions told of, with their digests
    lapse: str = KEEP
    least: dict[str, Scalar] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MissingContent:
    """A version whose content is wanted; ``base`` is at hand, 0 for none."""

    name: str
    version: int
    base: int


class RuleLeases:
    """All documents of one run of a gateway."""

    def __init__(self, gateway: str, session: str) -> None:
        self.gateway, self.session = gateway, session
        self.documents = {name: KnownDocument() for name in KINDS}
        self.next_expiry = (
            math.inf
        )  # the moment at which a right ends, or inf; to be compared at each decision
        self.contacted = False  # whether members have ever answered
        self.sent_questions: dict[int, float] = {}
        self.question_number = 0
        self.member_index = 0  # whom of the members to ask: another one after a question without an answer
        self.lease_length_s = DEFAULT_LEASE_S

    # Asking.

    def question(self, now: float) -> dict[str, Any]:
        """To be sent at once: rights that its answer brings count from ``now``."""
        if self.question_number in self.sent_questions:
            self.member_index += 1
        self.question_number += 1
        self.sent_questions[self.question_number] = now
        if len(self.sent_questions) > MAX_UNANSWERED:
            del self.sent_questions[min(self.sent_questions)]
        reports = {
            name: {"acting": document.version, "have": sorted(document.contents)}
            for name, document in self.documents.items()
        }
        return {
            "gateway": self.gateway,
            "session": self.session,
            "number": self.question_number,
            "documents": reports,
        }

    @property
    def question_interval_s(self) -> float:
        return QUESTION_FRACTION * self.lease_length_s

    def handle_answer(self, answer: Mapping[str, Any], now: float) -> bool:
        """Whether what is acted on has changed, or a right has become longer."""
        sent_at = self.sent_questions.pop(int(answer["number"]), None)
        if sent_at is None or answer["session"] != self.session:
            return False
        self.contacted = True
        documents: Mapping[str, Any] = answer["documents"]
        self.lease_length_s = min(
            (float(grant["length"]) for grant in documents.values()), default=DEFAULT_LEASE_S
        )
        for name, grant in documents.items():
            self.apply_grant(self.documents.setdefault(name, KnownDocument()), grant, sent_at, now)
        self.update_next_expiry(now)
        return True

    def apply_grant(
        self, document: KnownDocument, grant: Mapping[str, Any], sent_at: float, now: float
    ) -> None:
        document.lapse, document.least = grant["lapse"], dict(grant["least"])
        digests = {int(version): str(digest) for version, digest in grant["digests"].items()}
        document.missing = {
            version: digest for version, digest in digests.items() if version not in document.contents
        }
        granted_version, expires_at = int(grant["grant"]), sent_at + float(grant["length"])
        if granted_version in document.contents and expires_at > now and granted_version >= document.version:
            document.version, document.expires_at = (
                granted_version,
                max(document.expires_at, expires_at) if granted_version == document.version else expires_at,
            )
            self.discard_old_contents(document, digests)

    @staticmethod
    def discard_old_contents(document: KnownDocument, announced: Iterable[int]) -> None:
        """Keep what is acted on and what is to come; older ones are of no more use."""
        kept_versions = sorted(
            version for version in document.contents if version >= document.version or version in announced
        )[-MAX_CONTENTS:]
        document.contents = {
            version: document.contents[version] for version in {*kept_versions, document.version}
        }

    def missing_contents(self) -> list[MissingContent]:
        """What is lacking, the newest base beside it."""
        missing = []
        for name, document in self.documents.items():
            for version in document.missing:
                base = max((known for known in document.contents if known < version), default=0)
                missing.append(MissingContent(name, version, base))
        return missing

    def add_content(self, name: str, version: int, content: Document) -> None:
        """The content of a version. Raises DocumentError where it is not what the members agreed on."""
        document = self.documents[name]
        if document.missing.get(version) != content.digest:
            raise DocumentError(f"{name} {version}: its digest is {content.digest}, which nobody told of")
        document.contents[version] = content
        del document.missing[version]

    # Deciding.

    def update_next_expiry(self, now: float) -> None:
        """The first right to end from now on."""
        self.next_expiry = min(
            (document.expires_at for document in self.documents.values() if document.expires_at > now),
            default=math.inf,
        )

    def effective_rules(self, name: str, now: float) -> EffectiveRules:
        """By what a decision of this moment goes."""
        document = self.documents.get(name)
        if document is None:
            return EffectiveRules()
        content = document.contents.get(document.version, Document())
        if now < document.expires_at:
            return EffectiveRules(document.version, content)
        if document.lapse == STRICT and name == PLAN_LIMITS:
            versions = [
                content for version, content in document.contents.items() if version >= document.version
            ]
            content = Document().with_changes(strictest(versions, document.least))
        elif document.lapse == STRICT:
            content = content.with_changes(
                {path: reason for known in document.contents.values() for path, reason in known.items()}
            )
        return EffectiveRules(document.version, content, document.lapse)

    def stop_sending_at(self, now: float) -> float:
        """From when on nothing of what came under these versions is sent any more, or inf."""
        expirations = (
            document.expires_at
            for document in self.documents.values()
            if document.lapse != KEEP and document.expires_at > now
        )
        return min(expirations, default=math.inf)

    @property
    def has_effective_rules(self) -> bool:
        """Whether anything is known of an earlier run."""
        return any(document.version for document in self.documents.values())

    def label(self, name: str, now: float) -> str:
        """As ``acting`` in words, without the work of what a lapsed document comes to."""
        document = self.documents[name]
        return str(
            EffectiveRules(
                document.version, EMPTY_DOCUMENT, "" if now < document.expires_at else document.lapse
            )
        )

    def ready(self, now: float) -> bool:
        """Whether this gateway may begin: members have answered, and it may act by every document."""
        return self.contacted and all(now < document.expires_at for document in self.documents.values())

    # What outlives this process.

    def persistent_state(self) -> dict[str, KnownDocument]:
        """What was last acted on, for a start at which no member is heard; see ``dump``."""
        return {
            name: KnownDocument(
                document.version, contents={document.version: document.contents[document.version]},
                lapse=document.lapse, least=document.least
            )
            for name, document in self.documents.items() if document.version
        }  # fmt: skip

    def load(self, saved_documents: Mapping[str, Any]) -> None:
        """As known, without any right: all of it counts as lapsed. Raises DocumentError."""
        loaded = {}
        try:
            for name, saved in saved_documents.items():
                content = Document().with_changes(saved["entries"])
                document = KnownDocument(
                    int(saved["version"]), lapse=str(saved["lapse"]), least=dict(saved["least"])
                )
                document.contents = {document.version: content}
                loaded[name] = document
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise DocumentError(f"the rules last known can't be read: {error!r}") from None
        self.documents |= loaded


def dump(documents: Mapping[str, KnownDocument]) -> dict[str, Any]:
    """As ``Rights.load`` reads it."""
    return {
        name: {
            "version": document.version, "lapse": document.lapse, "least": document.least,
            "entries": dict(document.contents[document.version].items()),
        }
        for name, document in documents.items()
    }  # fmt: skip
