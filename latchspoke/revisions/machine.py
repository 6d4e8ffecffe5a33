"""The rules as the log tells them: versions, each with its parent, and which one is active. Deterministic."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from latchspoke.revisions.documents import (
    EMPTY,
    FIGURES,
    KINDS,
    PARTS,
    Change,
    Document,
    DocumentError,
    Scalar,
    between,
    check,
    contradictions,
    loose,
)
from latchspoke.revisions.records import (
    LAPSES,
    Activate,
    Content,
    FetchRules,
    PutRules,
    Revision,
    RulesCommand,
    Terms,
)

AT_ONCE = 4000  # entries of one answer, and one part more; reading them must not hold up a gateway
KEPT = 100  # versions of a document, with what led to each
LENGTH_LEAST, LENGTH_MOST = 0.5, 600.0  # s of a right
NOTES_MOST = 1000


@dataclass(slots=True)
class State:
    """One document. ``head`` is the newest version, ``active`` the one under which rights are given."""

    terms: Terms = field(default_factory=Terms)
    active: int = 0
    head: int = 0
    longest: float = Terms().length  # s; the longest right that may have been given
    documents: dict[int, Document] = field(default_factory=lambda: {0: Document()})  # active, and the head
    revisions: list[Revision] = field(default_factory=list)
    steps: dict[int, Change] = field(default_factory=dict)  # from its parent to this version

    @property
    def content(self) -> Document:
        return self.documents.get(self.head, Document())

    @property
    def acted_on(self) -> Document:
        return self.documents.get(self.active, Document())

    def revision(self, version: int) -> Revision | None:
        return next((r for r in reversed(self.revisions) if r.version == version), None)


class Saved(msgspec.Struct, frozen=True):
    """A state in a snapshot. Of the contents the active one is whole, the head as a change from it."""

    terms: Terms
    active: int
    head: int
    longest: float
    entries: dict[str, Scalar]
    put: dict[str, Scalar]
    gone: tuple[str, ...]
    revisions: list[Revision]
    steps: dict[int, tuple[dict[str, Scalar], tuple[str, ...]]]


class Summary(msgspec.Struct, frozen=True):
    """What is told of a document without its content."""

    terms: Terms
    active: int
    head: int
    entries: int
    digest: str
    revisions: list[Revision]


class RulesMachine:
    """Commands in, new states out. A command that no longer fits changes nothing and says why."""

    def __init__(self) -> None:
        self.states = {name: State() for name in KINDS}
        self.notes: deque[tuple[str, str]] = deque(maxlen=NOTES_MOST)

    def apply(self, index: int, body: bytes) -> str:
        """'' where it was done, else why not."""
        command: RulesCommand = msgspec.msgpack.decode(body, type=RulesCommand)
        match command:
            case PutRules():
                why = self.put(command)
                code, detail = "rules-put", f"{command.name}: {command.reason}, by {command.author}"
            case Activate(name, version, longest):
                why = self.activate(name, version, longest)
                code, detail = "rules-active", f"{name}: version {version}"
        self.notes.append((f"not-{code}" if why else code, f"{detail}{': ' if why else ''}{why}"))
        return why

    def put(self, command: PutRules) -> str:
        state = self.states.get(command.name, State())
        if command.parent != state.head:
            return f"version {command.parent} of {command.name} is not the newest, {state.head} is"
        terms = command.terms or state.terms
        new = state.content.changed(command.put, command.gone)
        if why := self.fault(command, terms, new):
            return why
        version = state.head + 1
        barrier = bool(contradictions(command.name, state.acted_on, new))
        step = between(state.content, new)
        revision = Revision(
            version, state.head, new.digest, command.author, command.reason, command.at, barrier, step.size
        )
        state.terms, state.head = terms, version
        state.longest = max(state.longest, terms.length)
        state.documents = {v: d for v, d in state.documents.items() if v == state.active} | {version: new}
        state.revisions = [*state.revisions, revision][-KEPT:]
        state.steps[version] = step
        for old in [v for v in state.steps if v <= version - KEPT]:
            del state.steps[old]
        self.states[command.name] = state
        return ""

    @staticmethod
    def fault(command: PutRules, terms: Terms, new: Document) -> str:
        """Why such a version can't be; '' where it can."""
        try:
            check(command.name, command.put)
            if command.name == FIGURES:
                check(FIGURES, terms.least)
        except DocumentError as e:
            return str(e)
        if not LENGTH_LEAST <= terms.length <= LENGTH_MOST:
            return f"a right of {terms.length:g} s; {LENGTH_LEAST:g} to {LENGTH_MOST:g} s are taken"
        if terms.lapse not in LAPSES:
            return f"lapse: {terms.lapse!r}; one of {', '.join(LAPSES)} is wanted"
        if command.name != FIGURES and terms.least:
            return f"least: only {FIGURES} has figures"
        for path, value in terms.least.items():
            held = new.get(path)
            if held is not None and loose(path, held) < loose(path, value):
                return f"{path}: {held:g} is below {value:g}, by which lapsed gateways go"
        return ""

    def activate(self, name: str, version: int, longest: float = 0.0) -> str:
        state = self.states.get(name)
        if state is None or version != state.head or version <= state.active:
            return f"version {version} of {name} is not the newest one that waits"
        state.documents = {version: state.content}
        state.active = version
        if longest:
            state.longest = max(longest, state.terms.length)
        state.revisions = [
            msgspec.structs.replace(r, activated=True) if r.version == version else r for r in state.revisions
        ]
        return ""

    # What is shown.

    def query(self, question: bytes) -> bytes:
        """Of all documents; or the content of one, if it is asked for."""
        if not question:
            return msgspec.msgpack.encode({name: self.summary(s) for name, s in self.states.items()})
        content = self.content(msgspec.msgpack.decode(question, type=FetchRules))
        return msgspec.msgpack.encode(content)

    @staticmethod
    def summary(state: State) -> Summary:
        content = state.content
        return Summary(
            state.terms, state.active, state.head, len(content), content.digest, list(state.revisions)
        )

    def content(self, asked: FetchRules) -> Content | None:
        """What leads to this version: a change from ``base``, or (asked with digests) parts that differ.

        None where it is not here, or not as a change: then it is to be asked for by parts.
        """
        state = self.states.get(asked.name)
        document = state.documents.get(asked.version) if state is not None else None
        if state is None or document is None:
            return None
        if asked.base and not asked.digests:
            return self.steps(state, asked)
        known = dict(enumerate(asked.digests[:PARTS]))
        parts: dict[int, dict[str, Scalar]] = {}
        size = then = 0
        for number in range(max(asked.first, 0), PARTS):
            if known.get(number, EMPTY.hex()) == document.digests[number].hex():
                continue
            if size >= AT_ONCE:
                then = number
                break
            parts[number] = dict(document.parts[number])
            size += len(parts[number])
        return Content(asked.name, asked.version, parts=parts, then=then)

    @staticmethod
    def steps(state: State, asked: FetchRules) -> Content | None:
        """All changes since ``base`` as one; None where some are no longer here, or they are too many."""
        put: dict[str, Scalar] = {}
        gone: set[str] = set()
        for version in range(asked.base + 1, asked.version + 1):
            step = state.steps.get(version)
            if step is None:
                return None
            put = {path: value for path, value in put.items() if path not in step.gone} | step.put
            gone = (gone | set(step.gone)) - step.put.keys()
        if len(put) + len(gone) > AT_ONCE:
            return None
        return Content(asked.name, asked.version, asked.base, put, tuple(sorted(gone)))

    # Snapshots.

    def dump(self) -> bytes:
        return msgspec.msgpack.encode({name: self.save(self.states[name]) for name in sorted(self.states)})

    @staticmethod
    def save(state: State) -> Saved:
        """Entries in their paths' order, as the same state is to be the same bytes on every member."""
        change = between(state.acted_on, state.content)
        steps = {v: (dict(sorted(s.put.items())), s.gone) for v, s in sorted(state.steps.items())}
        return Saved(
            state.terms, state.active, state.head, state.longest, dict(sorted(state.acted_on.items())),
            dict(sorted(change.put.items())), change.gone, state.revisions, steps,
        )  # fmt: skip

    def load(self, body: bytes) -> None:
        saved: dict[str, Saved] = msgspec.msgpack.decode(body, type=dict[str, Saved]) if body else {}
        self.states = {name: State() for name in KINDS}
        self.states |= {name: self.restore(one) for name, one in saved.items()}

    @staticmethod
    def restore(saved: Saved) -> State:
        active = Document().changed(saved.entries)
        documents = {saved.active: active}
        documents[saved.head] = active.changed(saved.put, saved.gone)
        steps = {version: Change(put, gone) for version, (put, gone) in saved.steps.items()}
        return State(saved.terms, saved.active, saved.head, saved.longest, documents, saved.revisions, steps)


def assemble(content: Content, base: Document) -> Document:
    """What an answer to ``FetchRules`` makes of what is at hand; its digest tells whether it is right."""
    if content.parts is not None:
        return base.with_parts(content.parts)
    return base.changed(content.put, content.gone)
