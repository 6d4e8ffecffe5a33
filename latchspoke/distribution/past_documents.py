"""Earlier versions of the configuration, kept as bases of patches within a bound of their memory. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from latchspoke.transport.json_size import decoded_size

Document = dict[str, Any]

MAX_PAST_DOCUMENTS = 30
DEFAULT_MEMORY_BYTES = 16 * 1024 * 1024
LIST_ELEMENT_BYTES = 8


class PastDocument(NamedTuple):
    """An earlier version, and about what it takes beside the version after it (bytes)."""

    document: Document
    unshared_bytes: int


class PastDocuments:
    """The current version and the newest ones before it.

    The current one isn't counted, as it is in use anyway. A document that was made by a patch shares most
    parts with the version before; one that was received whole shares nothing.
    """

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        """``memory_bytes``: for all versions before the current one."""
        self.memory_bytes = memory_bytes
        self.current_version = 0
        self.current: Document | None = None
        self.past: dict[int, PastDocument] = {}  # by version, the newest last
        self.unshared_bytes = 0  # of all past versions

    def get(self, version: int) -> Document | None:
        """The document of a version; None if it is not kept."""
        if version == self.current_version:
            return self.current
        past = self.past.get(version)
        return past.document if past is not None else None

    def replace_current(self, version: int, document: Document) -> None:
        """Make a document the current one, and keep what there is memory for."""
        old, old_version = self.current, self.current_version
        self.current, self.current_version = document, version
        self.discard(version)
        if old is None or old is document or old_version == version:
            return
        size = unshared_size(old, document)
        self.past[old_version] = PastDocument(old, size)
        self.unshared_bytes += size
        while self.unshared_bytes > self.memory_bytes or len(self.past) > MAX_PAST_DOCUMENTS:
            self.discard(next(iter(self.past)))

    def discard(self, version: int) -> None:
        """Discard an earlier version, if it is kept."""
        past = self.past.pop(version, None)
        if past is not None:
            self.unshared_bytes -= past.unshared_bytes


def unshared_size(document: Document, other: Document) -> int:
    """About what a document takes beside another one that may share items with it (bytes)."""
    shared = {id(item) for item in document_items(other)}
    items = list(document_items(document))
    own = [item for item in items if id(item) not in shared]
    return decoded_size(msgspec.json.encode(own)) + LIST_ELEMENT_BYTES * len(items)


def document_items(document: Document) -> Iterator[object]:
    """The parts of a document that a patch keeps or replaces as a whole."""
    for section in document.values():
        if not isinstance(section, list):
            yield section
            continue
        for item in section:
            rules = item.get("ruleSet") if isinstance(item, dict) else None
            if isinstance(rules, list):
                yield from rules
            else:
                yield item
