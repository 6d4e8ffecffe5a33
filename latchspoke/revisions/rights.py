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

from latchspoke.revisions.documents import FIGURES, KINDS, Document, DocumentError, Scalar, strictest

KEEP, STRICT, REFUSE = "keep", "strict", "refuse"
ASK_PART = 0.25  # of a right between two questions
SENT_MOST = 64  # questions whose answer may still come
KEPT_MOST = 4  # versions of a document at hand
LENGTH = 10.0  # s; until a member has said how long rights last

EMPTY_DOCUMENT = Document()


@dataclass(frozen=True, slots=True)
class Acting:
    """What a decision goes by: a version, or (lapsed) what the document itself says for that case.

    ``version`` 0 stands for no rules but the gateway's own file; it takes a right as any other.
    """

    version: int = 0
    document: Document = field(default_factory=Document)
    lapsed: str = ""  # '', or keep, strict, refuse

    def __str__(self) -> str:
        return f"{self.version}{'-' if self.lapsed else ''}{self.lapsed}"


@dataclass(slots=True)
class Known:
    """One document, as far as this gateway knows it. All gateways have version 0, which is empty."""

    acting: int = 0
    until: float = -math.inf
    at_hand: dict[int, Document] = field(default_factory=lambda: {0: Document()})
    wanted: dict[int, str] = field(default_factory=dict)  # versions told of, with their digests
    lapse: str = KEEP
    least: dict[str, Scalar] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Fetch:
    """A version whose content is wanted; ``base`` is at hand, 0 for none."""

    name: str
    version: int
    base: int


class Rights:
    """All documents of one run of a gateway."""

    def __init__(self, gateway: str, session: str) -> None:
        self.gateway, self.session = gateway, session
        self.known = {name: Known() for name in KINDS}
        self.lapse_at = math.inf  # the moment at which a right ends, or inf; to be compared at each decision
        self.joined = False  # whether members have ever answered
        self.sent: dict[int, float] = {}
        self.number = 0
        self.place = 0  # whom of the members to ask: another one after a question without an answer
        self.length = LENGTH

    # Asking.

    def question(self, now: float) -> dict[str, Any]:
        """To be sent at once: rights that its answer brings count from ``now``."""
        if self.number in self.sent:
            self.place += 1
        self.number += 1
        self.sent[self.number] = now
        if len(self.sent) > SENT_MOST:
            del self.sent[min(self.sent)]
        told = {name: {"acting": one.acting, "have": sorted(one.at_hand)} for name, one in self.known.items()}
        return {"gateway": self.gateway, "session": self.session, "number": self.number, "documents": told}

    @property
    def ask_every(self) -> float:
        return ASK_PART * self.length

    def answered(self, answer: Mapping[str, Any], now: float) -> bool:
        """Whether what is acted on has changed, or a right has become longer."""
        sent = self.sent.pop(int(answer["number"]), None)
        if sent is None or answer["session"] != self.session:
            return False
        self.joined = True
        documents: Mapping[str, Any] = answer["documents"]
        self.length = min((float(told["length"]) for told in documents.values()), default=LENGTH)
        for name, told in documents.items():
            self.take_answer(self.known.setdefault(name, Known()), told, sent, now)
        self.next_lapse(now)
        return True

    def take_answer(self, one: Known, told: Mapping[str, Any], sent: float, now: float) -> None:
        one.lapse, one.least = told["lapse"], dict(told["least"])
        digests = {int(version): str(digest) for version, digest in told["digests"].items()}
        one.wanted = {v: d for v, d in digests.items() if v not in one.at_hand}
        grant, until = int(told["grant"]), sent + float(told["length"])
        if grant in one.at_hand and until > now and grant >= one.acting:
            one.acting, one.until = grant, max(one.until, until) if grant == one.acting else until
            self.tidy(one, digests)

    @staticmethod
    def tidy(one: Known, told: Iterable[int]) -> None:
        """Keep what is acted on and what is to come; older ones are of no more use."""
        kept = sorted(v for v in one.at_hand if v >= one.acting or v in told)[-KEPT_MOST:]
        one.at_hand = {v: one.at_hand[v] for v in {*kept, one.acting}}

    def fetches(self) -> list[Fetch]:
        """What is lacking, the newest base beside it."""
        found = []
        for name, one in self.known.items():
            for version in one.wanted:
                base = max((v for v in one.at_hand if v < version), default=0)
                found.append(Fetch(name, version, base))
        return found

    def take(self, name: str, version: int, document: Document) -> None:
        """The content of a version. Raises DocumentError where it is not what the members agreed on."""
        one = self.known[name]
        if one.wanted.get(version) != document.digest:
            raise DocumentError(f"{name} {version}: its digest is {document.digest}, which nobody told of")
        one.at_hand[version] = document
        del one.wanted[version]

    # Deciding.

    def next_lapse(self, now: float) -> None:
        """The first right to end from now on."""
        self.lapse_at = min((one.until for one in self.known.values() if one.until > now), default=math.inf)

    def acting(self, name: str, now: float) -> Acting:
        """By what a decision of this moment goes."""
        one = self.known.get(name)
        if one is None:
            return Acting()
        document = one.at_hand.get(one.acting, Document())
        if now < one.until:
            return Acting(one.acting, document)
        if one.lapse == STRICT and name == FIGURES:
            versions = [d for v, d in one.at_hand.items() if v >= one.acting]
            document = Document().changed(strictest(versions, one.least))
        elif one.lapse == STRICT:
            document = document.changed({p: r for d in one.at_hand.values() for p, r in d.items()})
        return Acting(one.acting, document, one.lapse)

    def stop_at(self, now: float) -> float:
        """From when on nothing of what came under these versions is sent any more, or inf."""
        ends = (one.until for one in self.known.values() if one.lapse != KEEP and one.until > now)
        return min(ends, default=math.inf)

    @property
    def acted_before(self) -> bool:
        """Whether anything is known of an earlier run."""
        return any(one.acting for one in self.known.values())

    def label(self, name: str, now: float) -> str:
        """As ``acting`` in words, without the work of what a lapsed document comes to."""
        one = self.known[name]
        return str(Acting(one.acting, EMPTY_DOCUMENT, "" if now < one.until else one.lapse))

    def ready(self, now: float) -> bool:
        """Whether this gateway may begin: members have answered, and it may act by every document."""
        return self.joined and all(now < one.until for one in self.known.values())

    # What outlives this process.

    def acted_on(self) -> dict[str, Known]:
        """What was last acted on, for a start at which no member is heard; see ``dump``."""
        return {
            name: Known(
                one.acting, at_hand={one.acting: one.at_hand[one.acting]}, lapse=one.lapse, least=one.least
            )
            for name, one in self.known.items() if one.acting
        }  # fmt: skip

    def load(self, told: Mapping[str, Any]) -> None:
        """As known, without any right: all of it counts as lapsed. Raises DocumentError."""
        found = {}
        try:
            for name, item in told.items():
                document = Document().changed(item["entries"])
                one = Known(int(item["version"]), lapse=str(item["lapse"]), least=dict(item["least"]))
                one.at_hand = {one.acting: document}
                found[name] = one
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise DocumentError(f"the rules last known can't be read: {e!r}") from None
        self.known |= found


def dump(acted_on: Mapping[str, Known]) -> dict[str, Any]:
    """As ``Rights.load`` reads it."""
    return {
        name: {
            "version": one.acting, "lapse": one.lapse, "least": one.least,
            "entries": dict(one.at_hand[one.acting].items()),
        }
        for name, one in acted_on.items()
    }  # fmt: skip
