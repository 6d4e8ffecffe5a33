"""State machine of the config store: one configuration document, evacuated zones and version rollouts.

Deterministic: applying the same commands at the same indices yields the same state. Commands are JSON:

    {"do": "replace", "version": 7, "base": 5, "digest": "...", "doc": {...}}
    {"do": "modify", "version": 9, "base": 7, "digest": "...", "patch": {...}}
    {"do": "evacuate", "zone": "brno-a", "after": 12}    {"do": "restore", "zone": "brno-a", "after": 12}

``digest`` identifies the bytes that the operator sent. ``after`` is the index the sender had applied, so that
a delayed command does not override a later one for the same zone. ``unchecked`` marks a change whose sender
did not have its base version and so could not validate the result.

Several operators may evacuate the same zone independently. ``stand`` is the number of active evacuations of
the zone that the sender knew of: the command then starts another one, or ends one of several, if the number
still matches. An evacuation without it has no effect on a zone that is already evacuated. ``call`` identifies
the call that the command carries out; a command that is sent twice is applied once, and one whose ``stand``
no longer matches is stale.

The commands of rollouts, and what they do to a service's record, are in ``version_rollouts.records``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from latchspoke.version_rollouts.records import TRANSITIONS, RolloutRecord, TransitionError

Document = dict[str, Any]
Command = dict[str, Any]
ApplyPatch = Callable[[Document, Document], Document]

HISTORY_LIMIT = 500  # accepted versions, and rejected digests, that are remembered

TAKEN, REPEATED, CONFLICT, INVALID, UNKNOWN = "taken", "repeated", "conflict", "invalid", "unknown"
UNCHECKED = "unchecked"  # the sender must validate the change against its base and resubmit it
STALE = "stale"  # the zone has changed: the sender decides anew if its caller still waits


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a command. ``index`` is its log index, 0 if unknown."""

    kind: str  # one of the constants above
    reason: str = ""
    version: int = 0  # the configuration version after the command
    index: int = 0

    @property
    def ok(self) -> bool:
        """Whether the command is in effect and may be acknowledged."""
        return self.kind in (TAKEN, REPEATED)


class CommandRefused(Exception):  # noqa: N818 - an outcome
    """Raised inside ``apply``: the command is rejected and changes nothing."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind, self.reason = kind, reason


class ZoneCalls(msgspec.Struct, frozen=True, array_like=True):
    """The newest calls that changed the number of a zone's active evacuations."""

    begun_index: int = 0  # log index of the last begin; 0 if there was none
    finished_index: int = 0
    last_call: str = ""  # ``call`` of the last command


class Image(msgspec.Struct, frozen=True):
    """The complete state, as encoded in snapshots."""

    document: Document | None = None
    version: int = 0  # 0: no configuration was ever accepted
    index: int = 0
    history: list[tuple[int, str]] = []
    refused: list[str] = []
    zones: dict[str, tuple[int, int | bool]] = {}
    # Left out if there are none, so that releases without rollouts read and write the same bytes.
    rollouts: dict[str, RolloutRecord] | msgspec.UnsetType = msgspec.UNSET
    zone_calls: dict[str, ZoneCalls] | msgspec.UnsetType = msgspec.UNSET


IMAGE_DECODER: msgspec.json.Decoder[Image] = msgspec.json.Decoder(Image)


@dataclass(slots=True)
class ConfigState:
    """See the module docstring.

    ``apply_patch`` returns a new document without changing its arguments, or raises ValueError.
    """

    apply_patch: ApplyPatch
    document: Document | None = None
    version: int = 0  # 0: no configuration yet
    index: int = 0  # of the last command that changed the state
    history: dict[int, str] = field(default_factory=dict)  # version -> digest, oldest first
    refused: dict[str, None] = field(
        default_factory=dict
    )  # digests rejected because their base was not applied yet
    # By zone: index of its last change, and number of active evacuations (older releases write True for 1).
    zones: dict[str, tuple[int, int | bool]] = field(default_factory=dict)
    rollouts: dict[str, RolloutRecord] = field(default_factory=dict)  # the newest of each service
    zone_calls: dict[str, ZoneCalls] = field(default_factory=dict)  # by zone; older releases keep none

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones with at least one active evacuation."""
        return frozenset(zone for zone, (_, out) in self.zones.items() if out)

    def has_taken(self, digest: str) -> bool:
        """Whether one of the remembered versions was accepted from these bytes."""
        return digest in self.history.values()

    def evacuation_count(self, zone: str) -> int:
        """The number of active evacuations of ``zone``."""
        return int(self.zones.get(zone, (0, False))[1])

    def zone_index(self, zone: str) -> int:
        """Log index of the last change of a zone's number of active evacuations; 0 if there was none."""
        return self.zones.get(zone, (0, False))[0]

    def last_call_index(self, zone: str, is_begin: bool) -> int:
        """Log index of the last begin or finish that changed a zone's number; 0 if there was none.

        A change whose call is unknown, as an older release has ordered it, counts as either.
        """
        calls, changed_index = self.zone_calls.get(zone, ZoneCalls()), self.zone_index(zone)
        if changed_index > max(calls.begun_index, calls.finished_index):
            return changed_index
        return calls.begun_index if is_begin else calls.finished_index

    def apply(self, index: int, command: Command) -> Verdict:
        """Applies a command. Never raises: a malformed command is invalid on every member."""
        try:
            kind = self.execute(index, command)
        except CommandRefused as e:
            return Verdict(e.kind, e.reason, self.version, index)
        except Exception as e:
            return Verdict(INVALID, f"no such order: {e!r}", self.version, index)
        return Verdict(kind, "", self.version, index)

    def execute(self, index: int, command: Command) -> str:
        """Applies a command and returns the kind of its verdict."""
        match command["do"]:
            case "replace" | "modify":
                return self.change_configuration(index, command)
            case "evacuate":
                return self.set_zone_evacuated(index, command, True)
            case "restore":
                return self.set_zone_evacuated(index, command, False)
            case "rollout-begin" | "rollout-advance" | "rollout-end":
                return self.change_rollout(index, command)
        raise CommandRefused(INVALID, f"no such order: {command['do']!r}")

    def change_configuration(self, index: int, command: Command) -> str:
        """Replaces or modifies the configuration if the command is based on the current version."""
        version, base, digest = command["version"], command["base"], command["digest"]
        if not (type(version) is type(base) is int and isinstance(digest, str)):
            raise CommandRefused(INVALID, "version and base are whole numbers, the digest is a text")
        if self.history.get(version) == digest:
            return REPEATED
        if version <= self.version and self.version_forgotten(version):
            # It may have been accepted before, and retried by a caller that got no reply.
            raise CommandRefused(UNKNOWN, f"version {version} is older than all that are remembered")
        if digest in self.refused:
            # Sent through two members: its sender may already know of the rejection.
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
        """Whether this version is older than the retained history."""
        return len(self.history) >= HISTORY_LIMIT and version < min(self.history)

    def set_zone_evacuated(self, index: int, command: Command, evacuate: bool) -> str:
        """Starts (``evacuate``) or ends an evacuation of a zone."""
        zone, call = command["zone"], command.get("call", "")
        if not isinstance(zone, str):
            raise CommandRefused(INVALID, "the zone is a text")
        if not isinstance(call, str):
            raise CommandRefused(INVALID, "the call is a text")
        changed_index, count = self.zone_index(zone), self.evacuation_count(zone)
        calls = self.zone_calls.get(zone, ZoneCalls())
        if call and calls.last_call == call:
            return REPEATED
        expected_count = command.get("stand")
        if count and expected_count is not None and expected_count != count:
            if not call:
                return REPEATED
            raise CommandRefused(STALE, f"{count} evacuations are active and not {expected_count}")
        if (evacuate and count and expected_count is None) or not (evacuate or count):
            return REPEATED
        if changed_index > command.get("after", index):
            raise CommandRefused(STALE, f"the zone was changed at {changed_index}")
        begun_index, finished_index = (self.last_call_index(zone, is_begin) for is_begin in (True, False))
        remaining = count + 1 if evacuate else count - 1
        self.zones[zone] = index, remaining if remaining > 1 else bool(remaining)
        if call:
            self.zone_calls[zone] = ZoneCalls(
                index if evacuate else begun_index, finished_index if evacuate else index, call
            )
        self.index = index
        return TAKEN

    def change_rollout(self, index: int, command: Command) -> str:
        """Begins, advances or ends the rollout of a service."""
        service = command["service"]
        try:
            record = TRANSITIONS[command["do"]](self.rollouts.get(service), index, command)
        except TransitionError as e:
            raise CommandRefused(CONFLICT, str(e)) from None
        if record is None:
            return REPEATED
        self.rollouts[service], self.index = record, index
        return TAKEN

    def dump(self) -> bytes:
        """The complete state, encoded for a snapshot."""
        image = Image(
            self.document, self.version, self.index, list(self.history.items()), list(self.refused),
            self.zones, self.rollouts or msgspec.UNSET, self.zone_calls or msgspec.UNSET,
        )  # fmt: skip
        return msgspec.json.encode(image)

    def load(self, data: bytes) -> None:
        """Replaces the state by one from ``dump``. Raises msgspec.MsgspecError."""
        image = IMAGE_DECODER.decode(data)
        self.document, self.version, self.index = image.document, image.version, image.index
        self.history, self.refused = dict(image.history), dict.fromkeys(image.refused)
        self.zones = dict(image.zones)
        self.rollouts = {} if image.rollouts is msgspec.UNSET else dict(image.rollouts)
        self.zone_calls = {} if image.zone_calls is msgspec.UNSET else dict(image.zone_calls)


def trim_to_limit(entries: dict[Any, Any]) -> None:
    """Evicts the oldest entries above ``HISTORY_LIMIT``."""
    while len(entries) > HISTORY_LIMIT:
        del entries[next(iter(entries))]
