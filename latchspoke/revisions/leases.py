"""A gateway's side of rule versions: the version of each document that it applies, and until when. No I/O.

Times are monotonic seconds of a clock that also runs while the machine is suspended. A lease starts when the
question was sent. Each decision compares the time with ``next_expiry``, so that no timer has to fire on time.
Questions and answers are JSON-like objects.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from latchspoke.revisions.documents import KINDS, PLAN_LIMITS, Document, DocumentError, Scalar, strictest

KEEP, STRICT, REFUSE = "keep", "strict", "refuse"
QUESTION_FRACTION = 0.25  # of a lease between two questions
MAX_UNANSWERED = 64  # questions whose answer is still accepted
MAX_CONTENTS = 4  # versions kept of each document
DEFAULT_LEASE_S = 10.0  # before the first answer

EMPTY_DOCUMENT = Document()


@dataclass(frozen=True, slots=True)
class EffectiveRules:
    """The rules that apply to a decision: a version, or its lapse policy once the lease has expired.

    ``version`` 0 stands for the gateway's own file only; it needs a lease like any other version.
    """

    version: int = 0
    document: Document = field(default_factory=Document)
    lapsed: str = ""  # '' with a valid lease, else keep, strict or refuse

    def __str__(self) -> str:
        return f"{self.version}{'-' if self.lapsed else ''}{self.lapsed}"


@dataclass(slots=True)
class KnownDocument:
    """A gateway's state of one document. Version 0, which is empty, is always available."""

    version: int = 0
    expires_at: float = -math.inf
    contents: dict[int, Document] = field(default_factory=lambda: {0: Document()})
    missing: dict[int, str] = field(default_factory=dict)  # announced versions to fetch, with their digests
    lapse: str = KEEP
    least: dict[str, Scalar] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MissingContent:
    """A version whose content must be fetched; ``base`` is the newest older version available, or 0."""

    name: str
    version: int
    base: int


class RuleLeases:
    """The leases of one gateway instance on all documents."""

    def __init__(self, gateway: str, session: str) -> None:
        self.gateway, self.session = gateway, session
        self.documents = {name: KnownDocument() for name in KINDS}
        self.next_expiry = math.inf  # when the next lease expires, or inf; checked at each decision
        self.contacted = False  # whether any member has ever answered
        self.sent_questions: dict[int, float] = {}
        self.question_number = 0
        self.member_index = 0  # which member to ask; advances after an unanswered question
        self.lease_length_s = DEFAULT_LEASE_S

    # Questions and answers.

    def question(self, now: float) -> dict[str, Any]:
        """Returns the next question, to be sent at once: leases granted by its answer start at ``now``."""
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
        """Seconds between two questions."""
        return QUESTION_FRACTION * self.lease_length_s

    def handle_answer(self, answer: Mapping[str, Any], now: float) -> bool:
        """Applies an answer; returns whether it was accepted, so that versions or leases may have changed."""
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
        """Applies one document's grant; the lease counts from ``sent_at``. Versions never go back."""
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
        """Keeps the applied version, newer and announced ones."""
        kept_versions = sorted(
            version for version in document.contents if version >= document.version or version in announced
        )[-MAX_CONTENTS:]
        document.contents = {
            version: document.contents[version] for version in {*kept_versions, document.version}
        }

    def missing_contents(self) -> list[MissingContent]:
        """Returns the contents to fetch, each with the newest base available."""
        missing = []
        for name, document in self.documents.items():
            for version in document.missing:
                base = max((known for known in document.contents if known < version), default=0)
                missing.append(MissingContent(name, version, base))
        return missing

    def add_content(self, name: str, version: int, content: Document) -> None:
        """Adds the content of a version; raises DocumentError if its digest is not the announced one."""
        document = self.documents[name]
        if document.missing.get(version) != content.digest:
            raise DocumentError(f"{name} {version}: content digest {content.digest} is not the announced one")
        document.contents[version] = content
        del document.missing[version]

    # Decisions.

    def update_next_expiry(self, now: float) -> None:
        """Sets ``next_expiry`` to the first expiry after ``now``."""
        self.next_expiry = min(
            (document.expires_at for document in self.documents.values() if document.expires_at > now),
            default=math.inf,
        )

    def effective_rules(self, name: str, now: float) -> EffectiveRules:
        """Returns the rules that apply to a decision at ``now``."""
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
        """Time from which requests admitted under the current versions must not be sent any more, or inf."""
        expirations = (
            document.expires_at
            for document in self.documents.values()
            if document.lapse != KEEP and document.expires_at > now
        )
        return min(expirations, default=math.inf)

    @property
    def has_effective_rules(self) -> bool:
        """Whether any version is applied, such as one loaded from an earlier run."""
        return any(document.version for document in self.documents.values())

    def label(self, name: str, now: float) -> str:
        """The text of ``effective_rules`` without computing the document of an expired lease."""
        document = self.documents[name]
        return str(
            EffectiveRules(
                document.version, EMPTY_DOCUMENT, "" if now < document.expires_at else document.lapse
            )
        )

    def ready(self, now: float) -> bool:
        """Whether the gateway may start: members have answered, and the leases on all documents are valid."""
        return self.contacted and all(now < document.expires_at for document in self.documents.values())

    # Persistence.

    def persistent_state(self) -> dict[str, KnownDocument]:
        """The versions last applied, to be saved with ``dump`` for a start without reachable members."""
        return {
            name: KnownDocument(
                document.version, contents={document.version: document.contents[document.version]},
                lapse=document.lapse, least=document.least
            )
            for name, document in self.documents.items() if document.version
        }  # fmt: skip

    def load(self, saved_documents: Mapping[str, Any]) -> None:
        """Restores saved documents with expired leases. Raises DocumentError."""
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
            raise DocumentError(f"the saved rules can't be read: {error!r}") from None
        self.documents |= loaded


def dump(documents: Mapping[str, KnownDocument]) -> dict[str, Any]:
    """Returns JSON-like objects for ``RuleLeases.load``."""
    return {
        name: {
            "version": document.version, "lapse": document.lapse, "least": document.least,
            "entries": dict(document.contents[document.version].items()),
        }
        for name, document in documents.items()
    }  # fmt: skip
