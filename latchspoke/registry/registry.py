"""A replicated registry of server instances; replicas converge whatever the order of updates.

An instance moves from ready to draining to gone. Only an instance that is gone because its heartbeats were
missing, as in a network partition, returns with a later heartbeat. For properties that change both ways, such
as cold and silent, the heartbeat with the highest sequence number wins. Times are monotonic seconds of this
process; messages carry ages and remaining times instead.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, TypedDict

import msgspec

SILENT_AFTER_HEARTBEATS = 2.2  # intervals without one, after which a server counts as silent
GONE_AFTER_HEARTBEATS = 8.0
# Smaller changes of the remaining cold time are not distributed. An increase may overload the server.
COLD_INCREASE_THRESHOLD_S = 0.15
COLD_DECREASE_THRESHOLD_S = 0.4
WARM_REPORT_PERIOD_S = 180.0  # the end of the cold time is sent this long, as gateways ramp up from it
MAX_TEXT_LENGTH = 256  # of an id and of each text of a heartbeat
INSTANCE_BYTES = 2048  # that one instance takes at a gateway, which has more of it than the control plane
UNLIMITED_BYTES = 1 << 62
TOMBSTONE_RETENTION_S = 60.0  # gone instances are kept, so that a late heartbeat has no effect


class State(IntEnum):
    """The state of an instance; only an expired one returns to a lower value."""

    READY = 0
    DRAINING = 1
    GONE = 2


STATE_BY_NAME = {"available": State.READY, "draining": State.DRAINING}


class Heartbeat(TypedDict, total=False):
    """The body of a server's heartbeat, in the names of the API."""

    service: str
    address: str
    zone: str
    version: str
    capacitySlots: int
    state: str
    coldRemainingS: float
    callSequence: int


class HeartbeatError(ValueError):
    """An invalid heartbeat or server message; the message is one line."""


class Entry(msgspec.Struct):
    """A server instance."""

    instance_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: State
    sequence: int
    cold_until: float = -math.inf
    last_heartbeat_at: float = -math.inf
    silent: bool = False
    gone_at: float = math.inf
    version: str = ""
    expired: bool = False  # gone only because heartbeats were missing; a later one brings it back

    def to_message(self, now: float) -> dict[str, Any]:
        """The message form for other nodes."""
        fields: dict[str, Any] = {"i": self.instance_id, "t": int(self.state), "q": self.sequence}
        if self.expired:
            fields["l"] = 1
        if self.state is not State.GONE:
            fields |= {"s": self.service, "a": self.address, "z": self.zone, "n": self.slots}
            fields["g"] = round(max(now - self.last_heartbeat_at, 0.0), 3)
            if self.cold_until > now - WARM_REPORT_PERIOD_S:
                fields["c"] = round(self.cold_until - now, 3)
            if self.silent:
                fields["x"] = 1
            if self.version:
                fields["v"] = self.version
        return fields


def parse_heartbeat(instance_id: str, body: object, now: float) -> Entry:
    """The entry for a heartbeat that arrived at ``now``. Raises HeartbeatError."""
    if not isinstance(body, dict) or not instance_id:
        raise HeartbeatError("a beat is an object, and its id stands in the path")
    try:
        state = STATE_BY_NAME.get(body.get("state", "available"))
        if state is None:
            raise HeartbeatError(f"state: {body.get('state')!r} is not known")
        address = str(body["address"])
        host, _, port = address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise HeartbeatError(f"address: {address!r} is no host:port")
        cold_remaining_s = float(body.get("coldRemainingS") or 0.0)
        slots = max(int(body.get("capacitySlots") or 1), 1)
        cold_until = now + cold_remaining_s if cold_remaining_s > 0 else -math.inf
        service, zone, version = str(body["service"]), str(body["zone"]), str(body.get("version", ""))
        if max(map(len, (instance_id, address, service, zone, version))) > MAX_TEXT_LENGTH:
            raise HeartbeatError(f"a beat of {instance_id[:40]}: a text of over {MAX_TEXT_LENGTH} characters")
        sequence = int(body.get("callSequence") or 0)
        return Entry(
            instance_id, service, address, zone, slots, state, sequence, cold_until, now, version=version
        )
    except (KeyError, TypeError, ValueError) as error:
        raise HeartbeatError(f"a beat of {instance_id[:40]}: {error!r}") from None


class Registry:
    """The server instances known to this node."""

    def __init__(self, heartbeat_interval_s: float, memory_bytes: int = UNLIMITED_BYTES) -> None:
        """``memory_bytes``: for all instances; no more new ones are accepted from servers then."""
        self.heartbeat_interval_s = heartbeat_interval_s
        self.max_instances = memory_bytes // INSTANCE_BYTES
        self.refused = 0  # heartbeats of new instances without room, since the start
        self.entries: dict[str, Entry] = {}

    def accepts(self, instance_id: str) -> bool:
        """Whether there is room for an instance of which a server tells; refusals are counted."""
        if instance_id in self.entries or len(self.entries) < self.max_instances:
            return True
        self.refused += 1
        return False

    def update(self, new: Entry, now: float) -> tuple[Entry, bool]:
        """Merge a heartbeat or an entry of another node; the result, and whether gateways need it."""
        old = self.entries.get(new.instance_id)
        if old is None:
            self.entries[new.instance_id] = new
            if new.state is State.GONE:
                new.gone_at = now
            return new, True
        if old.expired and new.state is not State.GONE and new.sequence > old.sequence:
            self.entries[new.instance_id] = new
            return new, True
        changed = bool(new.version and not old.version)  # first known from a release that did not send it
        old.version = old.version or new.version
        if new.expired and new.sequence < old.sequence:
            return old, False
        if new.state > old.state:
            old.state, changed = new.state, True
            if new.state is State.GONE:
                old.gone_at, old.expired = now, new.expired
                old.sequence = max(old.sequence, new.sequence)
        elif new.state is State.GONE:
            old.expired = old.expired and new.expired
            old.sequence = max(old.sequence, new.sequence)
        if old.state is State.GONE:
            return old, changed
        is_newer = new.sequence > old.sequence
        if (
            new.sequence == old.sequence
            and new.silent
            and not old.silent
            and new.last_heartbeat_at <= old.last_heartbeat_at + 0.5
        ):
            old.silent = changed = True
        if (
            new.sequence == old.sequence
            and new.cold_until > max(old.cold_until, now) + COLD_INCREASE_THRESHOLD_S
        ):
            # The same heartbeat, resent to another node, which has already distributed the longer time.
            old.cold_until, changed = new.cold_until, True
        if is_newer or (new.sequence == old.sequence and new.last_heartbeat_at > old.last_heartbeat_at):
            old.last_heartbeat_at = max(old.last_heartbeat_at, new.last_heartbeat_at)
        if is_newer:
            old.sequence = new.sequence
            cold_increase = max(new.cold_until, now) - max(old.cold_until, now)
            cold_changed = (
                cold_increase > COLD_INCREASE_THRESHOLD_S or -cold_increase > COLD_DECREASE_THRESHOLD_S
            )
            # Without a cold time in the heartbeat, the end of the earlier one stays.
            warm_since = max(min(old.cold_until, now), new.cold_until)
            old.cold_until = new.cold_until if new.cold_until > now else warm_since
            changed |= (
                cold_changed
                or (old.slots, old.address) != (new.slots, new.address)
                or old.silent != new.silent
            )
            old.slots, old.address, old.silent = new.slots, new.address, new.silent
        return old, changed

    def refresh(self, instance_id: str, sequence: int, last_heartbeat_at: float) -> bool:
        """Apply a newer heartbeat that changes nothing else; False if ``update`` must be used.

        A cheaper equivalent of ``update`` with a copy of the entry under this sequence number.
        """
        old = self.entries.get(instance_id)
        if old is None or old.state is State.GONE or old.silent or sequence <= old.sequence:
            return False
        old.sequence, old.last_heartbeat_at = sequence, max(old.last_heartbeat_at, last_heartbeat_at)
        return True

    def mark_gone(self, instance_id: str, now: float, expired: bool = False) -> tuple[Entry, bool]:
        """Mark an instance as gone: deregistered, or ``expired`` for lack of heartbeats."""
        current = self.entries.get(instance_id)
        sequence = current.sequence if expired and current is not None else 0
        return self.update(
            Entry(instance_id, "", "", "", 1, State.GONE, sequence, last_heartbeat_at=now, expired=expired),
            now,
        )

    def parse_entry(self, fields: dict[str, Any], now: float) -> Entry:
        """The entry for a message of ``to_message``. Raises HeartbeatError."""
        try:
            state = State(int(fields["t"]))
            cold_remaining_s = float(fields.get("c", -math.inf))
            return Entry(
                str(fields["i"]), str(fields.get("s", "")), str(fields.get("a", "")),
                str(fields.get("z", "")),
                int(fields.get("n", 1)), state, int(fields["q"]), now + cold_remaining_s,
                now - float(fields.get("g", 0.0)), bool(fields.get("x", 0)),
                version=str(fields.get("v", "")), expired=bool(fields.get("l", 0)),
            )  # fmt: skip
        except (KeyError, TypeError, ValueError) as error:
            raise HeartbeatError(f"invalid server entry: {error!r}") from None

    def merge(self, messages: Iterable[dict[str, Any]], now: float) -> list[Entry]:
        """Merge the servers of another node; returns the changed entries. Raises HeartbeatError."""
        results = [self.update(self.parse_entry(message, now), now) for message in messages]
        return [entry for entry, changed in results if changed]

    def sweep(self, now: float, detect_silence: bool = True) -> list[Entry]:
        """Detect missed heartbeats and drop old tombstones; returns the changed entries.

        ``detect_silence`` False: this node may itself be partitioned off, so missed heartbeats do not count.
        """
        changed: list[Entry] = []
        for entry in list(self.entries.values()):
            if entry.state is State.GONE:
                if now - entry.gone_at > TOMBSTONE_RETENTION_S:
                    del self.entries[entry.instance_id]
                continue
            if not detect_silence:
                continue
            missed_heartbeats = (now - entry.last_heartbeat_at) / self.heartbeat_interval_s
            if missed_heartbeats > GONE_AFTER_HEARTBEATS:
                entry.state, entry.gone_at, entry.expired = State.GONE, now, True
                changed.append(entry)
            elif (missed_heartbeats > SILENT_AFTER_HEARTBEATS) != entry.silent:
                entry.silent = not entry.silent
                changed.append(entry)
        return changed

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """All instances, in message form."""
        return [entry.to_message(now) for entry in self.entries.values()]
