"""The operator's word as a state machine: one configuration document, and the zones that are evacuated.

Deterministic: whoever applies the same commands at the same indices holds the same state. Commands are JSON:

    {"do": "replace", "version": 7, "base": 5, "digest": "...", "doc": {...}}
    {"do": "modify", "version": 9, "base": 7, "digest": "...", "patch": {...}}
    {"do": "evacuate", "zone": "brno-a", "after": 12}    {"do": "restore", "zone": "brno-a", "after": 12}

``digest`` names the very bytes that the operator sent. ``after`` is the index that the sender knew of: an
order that was under way for long must not undo a later one about the same zone. ``unchecked`` in a change
says that its sender did not have the version that it builds on, and so could not check what comes of it.

Two operators may empty one zone at a time, and each takes back its own. ``stand`` is how many evacuations of
the zone the sender knew of: with it, an order begins one more, or takes one of several back, if there are
still as many. An evacuation without it changes nothing at a zone that is empty already.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

Document = dict[str, Any]
Command = dict[str, Any]
ApplyPatch = Callable[[Document, Document], Document]

HISTORY_LIMIT = 500  # versions and refusals that are remembered

TAKEN, REPEATED, CONFLICT, INVALID, UNKNOWN = "taken", "repeated", "conflict", "invalid", "unknown"
UNCHECKED = "unchecked"  # the sender checks the change against its base, and submits it again
STALE = "stale"  # between processes alone: the sender asks anew if its caller still waits


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """What became of a command. ``index`` is its place in the log, 0 where nothing is known of it."""

    kind: str  # one of the words above
    reason: str = ""
    version: int = 0  # the configuration in force then
    index: int = 0

    @property
    def ok(self) -> bool:
        """Whether it may be acknowledged."""
        return self.kind in (TAKEN, REPEATED)


class CommandRefused(Exception):  # noqa: N818 - an outcome
    """Inside ``apply``: the command changes nothing."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind, self.reason = kind, reason


class Image(msgspec.Struct, frozen=True):
    """All of the state, as snapshots hold it."""

    document: Document | None = None
    version: int = 0
    index: int = 0
    history: list[tuple[int, str]] = []
    refused: list[str] = []
    zones: dict[str, tuple[int, int | bool]] = {}


IMAGE_DECODER: msgspec.json.Decoder[Image] = msgspec.json.Decoder(Image)


@dataclass(slots=True)
class ConfigState:
    """See the module. ``apply_patch`` gives a new document, changes no argument, or raises ValueError."""

    apply_patch: ApplyPatch
    document: Document | None = None
    version: int = 0  # 0: none was ever taken
    index: int = 0  # of the last command that changed anything
    history: dict[int, str] = field(default_factory=dict)  # version -> digest, oldest first
    refused: dict[str, None] = field(default_factory=dict)  # digests refused ahead of their base
    # By zone: its last change, and how many evacuations of it stand (True: one, as older processes write it).
    zones: dict[str, tuple[int, int | bool]] = field(default_factory=dict)

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones that are evacuated now."""
        return frozenset(zone for zone, (_, out) in self.zones.items() if out)

    def evacuation_count(self, zone: str) -> int:
        """How many evacuations of it have not been taken back."""
        return int(self.zones.get(zone, (0, False))[1])

    def apply(self, index: int, command: Command) -> Verdict:
        """Never raises: what can't be read is invalid, everywhere alike."""
        try:
            kind = self.execute(index, command)
        except CommandRefused as e:
            return Verdict(e.kind, e.reason, self.version, index)
        except Exception as e:
            return Verdict(INVALID, f"no such order: {e!r}", self.version, index)
        return Verdict(kind, "", self.version, index)

    def execute(self, index: int, command: Command) -> str:
        """Apply one command; the kind of its verdict."""
        match command["do"]:
            case "replace" | "modify":
                return self.change_configuration(index, command)
            case "evacuate":
                return self.set_zone_evacuated(index, command, True)
            case "restore":
                return self.set_zone_evacuated(index, command, False)
        raise CommandRefused(INVALID, f"no such order: {command['do']!r}")

    def change_configuration(self, index: int, command: Command) -> str:
        """Replace or modify the configuration, if it builds on the one in force."""
        version, base, digest = command["version"], command["base"], command["digest"]
        if not (type(version) is type(base) is int and isinstance(digest, str)):
            raise CommandRefused(INVALID, "version and base are whole numbers, the digest is a text")
        if self.history.get(version) == digest:
            return REPEATED
        if version <= self.version and self.version_forgotten(version):
            # It may have been taken, and repeated by a caller who never heard of that.
            raise CommandRefused(UNKNOWN, f"version {version} is older than all that are remembered")
        if digest in self.refused:
            # Sent twice by way of two members; its sender may have heard of the refusal.
            raise CommandRefused(CONFLICT, "refused before")
        if base != self.version:
            if base > self.version:
                self.refused[digest] = None
                trim_to_limit(self.refused)
            raise CommandRefused(CONFLICT, f"built on version {base}, current is {self.version}")
        if version <= self.version:
            raise CommandRefused(CONFLICT, f"version {version} is not above the current {self.version}")
        if command.get("unchecked"):
            raise CommandRefused(UNCHECKED, f"built on version {base}, which its sender had not seen")
        if command["do"] == "replace":
            document = command["doc"]
        else:
            try:
                document = self.apply_patch(self.document or {}, command["patch"])
            except ValueError as e:
                raise CommandRefused(INVALID, str(e)) from None
        if not isinstance(document, dict):
            raise CommandRefused(INVALID, "the document is no object")
        self.document, self.version, self.index = document, version, index
        self.history[version] = digest
        trim_to_limit(self.history)
        return TAKEN

    def version_forgotten(self, version: int) -> bool:
        """Whether what was taken under this version can't be told any more."""
        return len(self.history) >= HISTORY_LIMIT and version < min(self.history)

    def set_zone_evacuated(self, index: int, command: Command, evacuate: bool) -> str:
        """Evacuate a zone (``out``), or restore it."""
        zone = command["zone"]
        if not isinstance(zone, str):
            raise CommandRefused(INVALID, "the zone is a text")
        changed_index, count = self.zones.get(zone, (0, False))[0], self.evacuation_count(zone)
        expected_count = command.get("stand")
        if count and expected_count is not None and expected_count != count:
            return REPEATED
        if (evacuate and count and expected_count is None) or not (evacuate or count):
            return REPEATED
        if changed_index > command.get("after", index):
            raise CommandRefused(STALE, f"the zone was changed at {changed_index}")
        remaining = count + 1 if evacuate else count - 1
        self.zones[zone] = index, remaining if remaining > 1 else bool(remaining)
        self.index = index
        return TAKEN

    def dump(self) -> bytes:
        """The whole state as bytes, for a snapshot."""
        image = Image(
            self.document, self.version, self.index, list(self.history.items()), list(self.refused),
            self.zones,
        )  # fmt: skip
        return msgspec.json.encode(image)

    def load(self, data: bytes) -> None:
        """Raises msgspec.MsgspecError."""
        image = IMAGE_DECODER.decode(data)
        self.document, self.version, self.index = image.document, image.version, image.index
        self.history, self.refused = dict(image.history), dict.fromkeys(image.refused)
        self.zones = dict(image.zones)


def trim_to_limit(entries: dict[Any, Any]) -> None:
    """The oldest go."""
    while len(entries) > HISTORY_LIMIT:
        del entries[next(iter(entries))]
