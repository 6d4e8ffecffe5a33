"""Replicated state machine of the rule documents: their versions and the active one. Deterministic."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from latchspoke.revisions.documents import (
    EMPTY_DIGEST,
    KINDS,
    PART_COUNT,
    PLAN_LIMITS,
    Change,
    Document,
    DocumentError,
    Scalar,
    contradictions,
    diff,
    permissiveness,
    validate_entries,
)
from latchspoke.revisions.records import (
    LAPSE_POLICIES,
    Activate,
    Content,
    FetchRules,
    PutRules,
    Revision,
    RulesCommand,
    Terms,
)

# Entries in one answer, exceeded by at most one part; bounds the time that a gateway needs to decode it.
MAX_CONTENT_ENTRIES = 4000
MAX_REVISIONS = 100  # kept for each document, with their changes
MIN_LEASE_S, MAX_LEASE_S = 0.5, 600.0
MAX_EVENTS = 1000


@dataclass(slots=True)
class DocumentState:
    """One document: ``head`` is the newest version, ``active`` the one on which leases are granted."""

    terms: Terms = field(default_factory=Terms)
    active: int = 0
    head: int = 0
    longest: float = Terms().length  # longest lease that may have been granted, in seconds
    # The contents of the active version and the head.
    documents: dict[int, Document] = field(default_factory=lambda: {0: Document()})
    revisions: list[Revision] = field(default_factory=list)
    steps: dict[int, Change] = field(default_factory=dict)  # by version: the change from its parent

    @property
    def head_document(self) -> Document:
        """Content of the newest version."""
        return self.documents.get(self.head, Document())

    @property
    def active_document(self) -> Document:
        """Content of the active version."""
        return self.documents.get(self.active, Document())

    def revision(self, version: int) -> Revision | None:
        """Metadata of a version, or None if it is no longer kept."""
        return next((revision for revision in reversed(self.revisions) if revision.version == version), None)


class SavedState(msgspec.Struct, frozen=True):
    """A document's state in a snapshot: the active version in full, the head as a change against it."""

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
    """A document's state without its content."""

    terms: Terms
    active: int
    head: int
    entries: int
    digest: str
    revisions: list[Revision]


class RulesMachine:
    """Applies commands; a command whose preconditions no longer hold is refused with a reason."""

    def __init__(self) -> None:
        self.states = {name: DocumentState() for name in KINDS}
        self.events: deque[tuple[str, str]] = deque(maxlen=MAX_EVENTS)

    def apply(self, index: int, body: bytes) -> str:
        """Returns '' if the command was applied, else the reason for its refusal."""
        command: RulesCommand = msgspec.msgpack.decode(body, type=RulesCommand)
        match command:
            case PutRules():
                reason = self.put(command)
                code, detail = "rules-put", f"{command.name}: {command.reason}, by {command.author}"
            case Activate(name, version, longest):
                reason = self.activate(name, version, longest)
                code, detail = "rules-active", f"{name}: version {version}"
        self.events.append((f"not-{code}" if reason else code, f"{detail}{': ' if reason else ''}{reason}"))
        return reason

    def put(self, command: PutRules) -> str:
        """Adds a version; returns '' or the reason for the refusal."""
        state = self.states.get(command.name, DocumentState())
        if command.parent != state.head:
            return f"version {command.parent} of {command.name} is not the newest, {state.head} is"
        terms = command.terms or state.terms
        new_document = state.head_document.with_changes(command.put, command.gone)
        if reason := self.validation_error(command, terms, new_document):
            return reason
        version = state.head + 1
        barrier = bool(contradictions(command.name, state.active_document, new_document))
        step = diff(state.head_document, new_document)
        revision = Revision(
            version,
            state.head,
            new_document.digest,
            command.author,
            command.reason,
            command.at,
            barrier,
            step.size,
        )
        state.terms, state.head = terms, version
        state.longest = max(state.longest, terms.length)
        state.documents = {
            known: document for known, document in state.documents.items() if known == state.active
        } | {version: new_document}
        state.revisions = [*state.revisions, revision][-MAX_REVISIONS:]
        state.steps[version] = step
        for old_version in [known for known in state.steps if known <= version - MAX_REVISIONS]:
            del state.steps[old_version]
        self.states[command.name] = state
        return ""

    @staticmethod
    def validation_error(command: PutRules, terms: Terms, new_document: Document) -> str:
        """Returns why the new version is invalid, or ''."""
        try:
            validate_entries(command.name, command.put)
            if command.name == PLAN_LIMITS:
                validate_entries(PLAN_LIMITS, terms.least)
        except DocumentError as error:
            return str(error)
        if not MIN_LEASE_S <= terms.length <= MAX_LEASE_S:
            return f"a right of {terms.length:g} s; {MIN_LEASE_S:g} to {MAX_LEASE_S:g} s are taken"
        if terms.lapse not in LAPSE_POLICIES:
            return f"lapse: {terms.lapse!r}; one of {', '.join(LAPSE_POLICIES)} is wanted"
        if command.name != PLAN_LIMITS and terms.least:
            return f"least: only {PLAN_LIMITS} has figures"
        for path, value in terms.least.items():
            limit = new_document.get(path)
            if limit is not None and permissiveness(path, limit) < permissiveness(path, value):
                return f"{path}: {limit:g} is below {value:g}, by which lapsed gateways go"
        return ""

    def activate(self, name: str, version: int, longest: float = 0.0) -> str:
        """Activates the newest version; returns '' or the reason for the refusal."""
        state = self.states.get(name)
        if state is None or version != state.head or version <= state.active:
            return f"version {version} of {name} is not the newest one that waits"
        state.documents = {version: state.head_document}
        state.active = version
        if longest:
            state.longest = max(longest, state.terms.length)
        state.revisions = [
            msgspec.structs.replace(revision, activated=True) if revision.version == version else revision
            for revision in state.revisions
        ]
        return ""

    # Queries.

    def query(self, question: bytes) -> bytes:
        """Returns summaries of all documents, or the content asked for by an encoded ``FetchRules``."""
        if not question:
            return msgspec.msgpack.encode({name: self.summary(state) for name, state in self.states.items()})
        content = self.content(msgspec.msgpack.decode(question, type=FetchRules))
        return msgspec.msgpack.encode(content)

    @staticmethod
    def summary(state: DocumentState) -> Summary:
        """Describes a document's state without its content."""
        content = state.head_document
        return Summary(
            state.terms, state.active, state.head, len(content), content.digest, list(state.revisions)
        )

    def content(self, request: FetchRules) -> Content | None:
        """Returns a version's content: as a change against ``base``, or the parts whose digests differ.

        None if the version is not kept, or not available as a change; it may then be fetched by parts.
        """
        state = self.states.get(request.name)
        document = state.documents.get(request.version) if state is not None else None
        if state is None or document is None:
            return None
        if request.base and not request.digests:
            return self.merged_change(state, request)
        known = dict(enumerate(request.digests[:PART_COUNT]))
        parts: dict[int, dict[str, Scalar]] = {}
        size = next_part = 0
        for part_index in range(max(request.first, 0), PART_COUNT):
            if known.get(part_index, EMPTY_DIGEST.hex()) == document.digests[part_index].hex():
                continue
            if size >= MAX_CONTENT_ENTRIES:
                next_part = part_index
                break
            parts[part_index] = dict(document.parts[part_index])
            size += len(parts[part_index])
        return Content(request.name, request.version, parts=parts, then=next_part)

    @staticmethod
    def merged_change(state: DocumentState, request: FetchRules) -> Content | None:
        """Merges all changes since ``base``; None if some are no longer kept or the result is too large."""
        put: dict[str, Scalar] = {}
        gone: set[str] = set()
        for version in range(request.base + 1, request.version + 1):
            step = state.steps.get(version)
            if step is None:
                return None
            put = {path: value for path, value in put.items() if path not in step.removed} | step.put
            gone = (gone | set(step.removed)) - step.put.keys()
        if len(put) + len(gone) > MAX_CONTENT_ENTRIES:
            return None
        return Content(request.name, request.version, request.base, put, tuple(sorted(gone)))

    # Snapshots.

    def dump(self) -> bytes:
        """Encodes the state for a snapshot."""
        return msgspec.msgpack.encode({name: self.save(self.states[name]) for name in sorted(self.states)})

    @staticmethod
    def save(state: DocumentState) -> SavedState:
        """Encodes entries in path order, so that equal states give equal bytes on all members."""
        change = diff(state.active_document, state.head_document)
        steps = {
            version: (dict(sorted(step.put.items())), step.removed)
            for version, step in sorted(state.steps.items())
        }
        return SavedState(
            state.terms, state.active, state.head, state.longest, dict(sorted(state.active_document.items())),
            dict(sorted(change.put.items())), change.removed, state.revisions, steps,
        )  # fmt: skip

    def load(self, body: bytes) -> None:
        """Restores the state from a snapshot; an empty one resets it."""
        saved_states: dict[str, SavedState] = (
            msgspec.msgpack.decode(body, type=dict[str, SavedState]) if body else {}
        )
        self.states = {name: DocumentState() for name in KINDS}
        self.states |= {name: self.restore(saved_state) for name, saved_state in saved_states.items()}

    @staticmethod
    def restore(saved: SavedState) -> DocumentState:
        """Rebuilds a document's state from its saved form."""
        active_document = Document().with_changes(saved.entries)
        documents = {saved.active: active_document}
        documents[saved.head] = active_document.with_changes(saved.put, saved.gone)
        steps = {version: Change(put, gone) for version, (put, gone) in saved.steps.items()}
        return DocumentState(
            saved.terms, saved.active, saved.head, saved.longest, documents, saved.revisions, steps
        )


def assemble(content: Content, base: Document) -> Document:
    """Applies the answer to a ``FetchRules`` to ``base``; the caller verifies the digest of the result."""
    if content.parts is not None:
        return base.with_parts(content.parts)
    return base.with_changes(content.put, content.gone)
