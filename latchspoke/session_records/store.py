"""Replication of session records between gateways, without I/O.

Each record has an owner and a replica among the live gateways. A ``RecordStore`` acts as the owner and the
replica of records, and on behalf of its own gateway as their client. Messages of other gateways, requests
of its own gateway, changes of the membership view and the time (monotonic, s) are passed in; messages to
send and replies to its own gateway are returned. The rules mentioned below are numbered as in docs/travel.md.

Kinds of messages (key ``w``):

``take``, ``write``, ``fate``  request of a gateway to the owner; answered by ``done``
``copy``    write of the owner to the replica; answered by ``kept``
``read``    recovery request of a new owner to a previous owner or replica; answered by ``had``
``tell``    batch of records to their current owner and replica; answered by ``have``
``left``    notice to a gateway that the caller has moved to another
``blind``   notice that the sender has lost records before their expiry
``bye``     notice that the sender shuts down

Other keys: ``q`` request number of the sender, ``b`` record, ``l`` seconds until its expiry, ``a`` seconds
since its exchange was opened, ``t`` epoch, ``p`` highest epoch known to the sender.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
from msgspec.structs import replace

from latchspoke.session_records.record import (
    MAX_PAST_EXCHANGES,
    ExchangeOutcome,
    MembershipView,
    Peer,
    SessionRecord,
)
from latchspoke.transport.request_ids import first_request_id

Message = dict[str, Any]

MAX_RECORDS = 100_000  # as owner or replica
MAX_LOCAL_RECORDS = 50_000  # of callers served by this gateway
REPLY_TIMEOUT_S = 1.0  # of a replica, and of gateways asked for recovery
SWEEP_INTERVAL_S = 2.0
UPDATE_BATCH_SIZE = 200  # records
MAX_UNCONFIRMED_OUTCOMES = 10_000
PROMISE_CONVERGENCE_PERIODS = 10.0  # how long an epoch promise is kept
TRANSIT_MARGIN_S = 0.05  # taken off the TTL of a received record for its time in transit


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send to another gateway."""

    target: str
    message: Message


@dataclass(frozen=True, slots=True)
class StoreReply:
    """The reply to a request of the own gateway.

    ``status``: given, kept, settled, moved (another gateway serves the caller), ran (the exchange has run
    already), unsettled (a previous exchange is open or in doubt) or unsure (it may have been done or not).
    """

    reference: str
    status: str
    record: SessionRecord | None = None
    exchange_age_s: float = 0.0  # since the record's exchange was opened


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """A server instance and the attempt to be sent to it; without an exchange, only the caller's server."""

    service: str
    instance_id: str
    address: str
    exchange_id: str = ""
    attempt_id: str = ""


StoreOutput = OutgoingMessage | StoreReply


@dataclass(slots=True)
class StoredRecord:
    """A record held by this gateway.

    ``view_number`` is the membership view in which owner and replica are known to have it.
    """

    record: SessionRecord
    expires_at: float
    opened_at: float  # when the record's exchange was opened
    view_number: int = -1
    confirmed_by: tuple[str, ...] = ()  # gateways that confirmed it in the view ``confirmed_in_view``
    confirmed_in_view: int = -1

    def add_confirmation(self, name: str, view_number: int) -> tuple[str, ...]:
        """Note that a gateway has the record; returns all that have confirmed it in this view."""
        if self.confirmed_in_view != view_number:
            self.confirmed_by, self.confirmed_in_view = (), view_number
        if name not in self.confirmed_by:
            self.confirmed_by = (*self.confirmed_by, name)
        return self.confirmed_by


@dataclass(slots=True)
class PendingWrite:
    """A write of this owner that awaits the acknowledgement of the replica."""

    sender: str
    message: Message
    stored: StoredRecord
    status: str
    sent_at: float
    retried: bool


@dataclass(slots=True)
class Recovery:
    """Requests that wait until previous owners or replicas have sent the record to this new owner."""

    missing: list[str]
    started_at: float
    view_number: int
    epoch: int
    waiting: list[tuple[str, Message]] = field(default_factory=list)


class RecordStore:
    """The records of one gateway.

    ``convergence_s``: time after a change of the membership view by which previous owners have lost their
    leases or answered a recovery request. ``lease_until`` returns the end of this gateway's lease, without
    which it does not act as an owner; ``lease_s``: how long a lease lasts when it is renewed.
    """

    def __init__(
        self, name: str, instance_id: str, convergence_s: float, now: float, lease_until: Callable[[], float],
        stats: Counter[str] | None = None, max_records: int = MAX_RECORDS, lease_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.lease_s = lease_s
        self.name, self.gateway_instance, self.convergence_s, self.lease_until, self.max_records = (
            name,
            f"{name}/{instance_id}",
            convergence_s,
            lease_until,
            max_records,
        )
        self.stats: Counter[str] = Counter() if stats is None else stats
        self.records: dict[str, StoredRecord] = {}  # as owner or replica, least recently written first
        self.local_records: dict[str, StoredRecord] = {}  # of callers served here
        # Records may have been lost here: until then, a missing record is not known to have never existed.
        self.incomplete_until = now
        # The same for any gateway; it applies here once the membership view changes.
        self.cluster_incomplete_until = now
        self.views: list[MembershipView] = [MembershipView(now, {}, 0)]
        self.recovered_in_view: dict[str, int] = {}  # by key: the view in which its record was recovered
        self.highest_dropped_move = 0
        # By key: the epoch below which writes are rejected, its owner, when it was promised. Oldest first.
        self.promised_epochs: dict[str, tuple[int, str, float]] = {}
        self.superseded: set[str] = set()  # keys for which a later epoch than this owner's exists
        self.departed: dict[str, float] = {}  # gateways that shut down in order, and when
        self.pending_writes: dict[int, PendingWrite] = {}
        self.recoveries: dict[str, Recovery] = {}
        self.pending_requests: dict[int, str] = {}  # references by request number
        # By request number: outcomes that no owner has confirmed yet, and when they expire.
        self.unconfirmed_outcomes: dict[int, tuple[Message, float]] = {}
        self.request_numbers, self.write_numbers = (
            itertools.count(first_request_id(instance_id) + 1),
            itertools.count(1),
        )
        self.swept_at = now
        self.outputs: list[StoreOutput] = []
        self.now = now
        self.region = ""

    # Inputs.

    def update_membership(self, gateways: Mapping[str, Peer], now: float) -> list[StoreOutput]:
        """The set of live gateways, this one among them, has changed."""
        self.now = now
        if dict(gateways) != dict(self.views[-1].gateways):
            self.views.append(MembershipView(now, dict(gateways), self.views[-1].number + 1))
            self.recovered_in_view.clear()
            self.incomplete_until = max(self.incomplete_until, self.cluster_incomplete_until)
            if self.name in gateways:
                self.region = gateways[self.name].region
            # An acknowledgement by a replica of the previous view does not count in the new one.
            for number in list(self.pending_writes):
                self.reply_unsure(*self.pop_pending(number))
            self.sweep()
        return self.take_outputs()

    def leave(self, now: float) -> list[StoreOutput]:
        """This gateway shuts down: hand its records over, and stop acting as an owner."""
        self.lease_until = lambda: -math.inf
        outputs = self.update_membership(
            {gateway: peer for gateway, peer in self.views[-1].gateways.items() if gateway != self.name}, now
        )
        return outputs + [OutgoingMessage(name, {"w": "bye"}) for name in self.views[-1].gateways]

    def tick(self, now: float) -> list[StoreOutput]:
        """Call at least every 0.25 s."""
        self.now = now
        for number in [
            number for number, write in self.pending_writes.items() if now - write.sent_at > REPLY_TIMEOUT_S
        ]:
            self.reply_unsure(*self.pop_pending(number))
        for key in [
            key for key, recovery in self.recoveries.items() if now - recovery.started_at > REPLY_TIMEOUT_S
        ]:
            for sender, message in self.recoveries.pop(key).waiting:
                self.reply_unsure(sender, message)
        if now - self.swept_at >= SWEEP_INTERVAL_S:
            self.sweep()
        return self.take_outputs()

    def receive(self, sender: str, message: Message, now: float) -> list[StoreOutput]:
        """A message of another gateway. Raises KeyError, TypeError or ValueError if it is malformed."""
        self.now = now
        self.dispatch(sender, message)
        return self.take_outputs()

    # Requests of the own gateway.

    def local_record(self, key: str, now: float) -> SessionRecord | None:
        """The record of a caller that is served by this gateway."""
        stored = self.local_records.get(key)
        return stored.record if stored is not None and now < stored.expires_at else None

    def acquire(
        self,
        reference: str,
        key: str,
        home_regions: tuple[str, ...],
        ttl_s: float,
        now: float,
        soft: bool = False,
    ) -> list[StoreOutput]:
        """Request a caller's record, to serve the caller from here on. Replies: given, unsure.

        ``soft``: the record is only a hint, so that the owner need neither recover it nor await its replica.
        """
        self.now = now
        request: Message = {
            "w": "take",
            "key": key,
            "homes": list(home_regions),
            "site": self.gateway_instance,
            "lasts": ttl_s,
        }
        self.send_request(reference, request | ({"soft": 1} if soft else {}))
        return self.take_outputs()

    def open_exchange(
        self, reference: str, record: SessionRecord, target: AttemptTarget, now: float
    ) -> tuple[SessionRecord, list[StoreOutput]]:
        """Write that an exchange is about to be sent or, without an exchange, the caller's server.

        Returns the record to be written. Replies: kept, moved, ran, unsettled, unsure.
        """
        self.now = now
        write_number = next(self.write_numbers)
        updated = replace(
            record,
            service=target.service,
            instance_id=target.instance_id,
            address=target.address,
            gateway_instance=self.gateway_instance,
            write_number=write_number,
        )
        updated = replace(updated, exchange_id=target.exchange_id)
        if target.exchange_id:
            opening_id = f"{self.gateway_instance}:{write_number}"
            updated = replace(
                updated,
                attempt_id=target.attempt_id,
                outcome=ExchangeOutcome.OPEN,
                opened_by=self.gateway_instance,
                opening_id=opening_id,
            )
        self.send_request(reference, {"w": "write", "b": updated, "l": record.ttl_s})
        return updated, self.take_outputs()

    def record_outcome(
        self, reference: str, record: SessionRecord, outcome: ExchangeOutcome, now: float
    ) -> list[StoreOutput]:
        """Write the outcome of the record's exchange; it is sent again until the owner confirms it."""
        self.now = now
        local = self.local_records.get(record.key)
        if local is not None and local.record.opening_id == record.opening_id and local.record.unsettled:
            # Safe, as the next opening reaches the owner after this outcome.
            local.record = replace(local.record, outcome=outcome)
        message: Message = {
            "w": "fate", "key": record.key, "homes": list(record.home_regions), "opened": record.opening_id,
            "fate": int(outcome), "site": self.gateway_instance,
        }  # fmt: skip
        number = self.send_request(reference, message)
        if number in self.pending_requests:
            self.unconfirmed_outcomes[number] = message, now + record.ttl_s
            if len(self.unconfirmed_outcomes) > MAX_UNCONFIRMED_OUTCOMES:
                del self.unconfirmed_outcomes[next(iter(self.unconfirmed_outcomes))]
        return self.take_outputs()

    def send_request(self, reference: str, message: Message) -> int:
        """Send a request to the owner of the record; returns its number."""
        number = message["q"] = next(self.request_numbers)
        self.pending_requests[number] = reference
        while len(self.pending_requests) > MAX_LOCAL_RECORDS:
            del self.pending_requests[next(iter(self.pending_requests))]
        record = message.get("b")
        key, home_regions = (
            (record.key, record.home_regions)
            if record is not None
            else (message["key"], tuple(message["homes"]))
        )
        owner, _ = self.views[-1].placement(key, home_regions)
        if owner:
            self.send(owner, message)
        else:
            self.complete_request(number, "unsure", None)
        return number

    def complete_request(self, number: int, status: str, stored: StoredRecord | None) -> None:
        """Pass the owner's reply on, and keep the record if this gateway serves the caller."""
        reference = self.pending_requests.pop(number, None)
        if status != "unsure":
            self.unconfirmed_outcomes.pop(number, None)
        record = stored.record if stored is not None else None
        if stored is not None and record is not None:
            current = self.local_records.get(record.key)
            if current is None or current.record.version < record.version:
                self.local_records.pop(record.key, None)
                if record.gateway_instance == self.gateway_instance and (
                    not record.home_regions or self.region in record.home_regions
                ):
                    self.put(self.local_records, stored, MAX_LOCAL_RECORDS)
        if status == "unsettled" and record is not None:
            # The outcome may be known here without having reached the owner.
            for message, _ in [
                pending
                for pending in self.unconfirmed_outcomes.values()
                if pending[0]["opened"] == record.opening_id
            ]:
                self.send(self.views[-1].placement(*key_and_homes(message))[0], message)
        if reference is not None:
            self.outputs.append(
                StoreReply(
                    reference, status, record, self.now - stored.opened_at if stored is not None else 0.0
                )
            )

    # Messages.

    def dispatch(self, sender: str, message: Message) -> None:
        """Call the handler for a message."""
        match message["w"]:
            case "take" | "write" | "fate":
                self.execute(sender, message)
            case "copy":
                self.on_replicate(sender, message)
            case "kept":
                self.on_replicate_ack(message)
            case "done":
                self.complete_request(
                    int(message["q"]), str(message["word"]), decode_stored(message, self.now)
                )
            case "read":
                self.on_recovery_request(sender, message)
            case "had":
                self.on_recovery_reply(sender, message)
            case "tell":
                self.on_update(sender, message)
            case "have":
                self.on_update_ack(sender, message)
            case "blind" | "bye" | "left":
                self.on_notice(sender, message)
            case other:
                raise ValueError(f"unknown message kind {other!r}")

    def on_notice(self, sender: str, message: Message) -> None:
        """Handle messages that are not answered: ``blind``, ``bye`` and ``left``."""
        if message["w"] == "blind":
            self.cluster_incomplete_until = max(self.cluster_incomplete_until, self.now + float(message["l"]))
            if len(self.views) > 1:  # the membership view has changed recently
                self.incomplete_until = max(self.incomplete_until, self.cluster_incomplete_until)
        elif message["w"] == "bye":
            self.departed[sender] = self.now
        else:
            stored = self.local_records.get(str(message["key"]))
            if stored is not None and stored.record.move < int(message["move"]):
                del self.local_records[str(message["key"])]

    def execute(self, sender: str, message: Message, retried: bool = False) -> None:
        """Carry out a request as the owner: requires ownership, a valid lease, and the recovered record."""
        key, home_regions = key_and_homes(message)
        owner, replica = self.views[-1].placement(key, home_regions)
        if owner != self.name or self.now >= self.lease_until():
            self.reply_unsure(sender, message)
            return
        soft = bool(message.get("soft"))
        if self.recovered_in_view.get(key) != self.views[-1].number and not (soft and key in self.records):
            required = self.required_confirmations(key, home_regions)
            if required is None:
                self.reply_unsure(sender, message)
                return
            if required:
                self.start_recovery(key, home_regions, required, sender, message)
                return
            if self.ownership_changed(key, home_regions):
                self.promise_epoch(key, self.highest_epoch(key) + 1, self.name)
            self.recovered_in_view[key] = self.views[-1].number
        stored = self.get(key)
        status, record = apply_request(
            stored.record if stored else None, message, self.highest_dropped_move, self.highest_epoch(key)
        )
        if record is None:
            self.reply(sender, int(message["q"]), status, stored)
            return
        opened_at = (
            self.now
            if record.opening_id != (stored.record.opening_id if stored else "")
            else stored.opened_at
            if stored
            else self.now
        )
        updated = StoredRecord(record, self.now + record.ttl_s, opened_at)
        if stored is not None and record.gateway_instance != stored.record.gateway_instance:
            self.stats["travel.moves"] += 1
            self.send(
                stored.record.gateway_instance.partition("/")[0],
                {"w": "left", "key": key, "move": record.move},
            )
        if not replica or soft:
            self.store(updated)
            self.reply(sender, int(message["q"]), status, updated)
            if replica:
                self.send(replica, {"w": "copy", "q": 0, "b": record, "l": record.ttl_s})
            return
        number = next(self.request_numbers)
        self.pending_writes[number] = PendingWrite(sender, message, updated, status, self.now, retried)
        self.store(updated)
        self.send(replica, {"w": "copy", "q": number, "b": record, "l": record.ttl_s})

    def required_confirmations(self, key: str, home_regions: tuple[str, ...]) -> list[str] | None:
        """Gateways that must answer a recovery request before this new owner acts (rule 4); None: wait.

        Of each placement within the convergence time it is the replica, as the owner could not write without
        it, or else the owner. Of a placement with a gateway that shut down in order, the other one is enough.
        """
        view = self.views[-1]
        if self.now < self.incomplete_until and key not in self.records:
            return None
        if self.lease_until() < self.placement_changed_at(key, home_regions) + self.lease_s:
            # The lease was not renewed since: this gateway may be partitioned off with the previous replica.
            return None
        required: set[str] = set()
        for previous, following in itertools.pairwise(self.views):
            if following.valid_from <= self.now - self.convergence_s:
                continue
            # For the time before its start, this gateway assumes the current view without itself.
            gateways = previous.gateways or view.gateways
            placement = (
                previous.placement(key, home_regions)
                if previous.gateways
                else view.placement(key, home_regions, excluded=self.name)
            )
            candidates = [
                name
                for name in reversed(placement)
                if name and self.departed.get(name, -1e9) < previous.valid_from
            ]
            witness = next(iter(candidates), "")
            if witness != self.name and (
                witness not in view.gateways or view.gateways[witness] != gateways[witness]
            ):
                return None
            required.add(witness)
        if key in self.superseded:
            required.add(view.placement(key, home_regions)[1])
        return sorted(required - {self.name, ""})

    def ownership_changed(self, key: str, home_regions: tuple[str, ...]) -> bool:
        """Whether others may have owned the record since this gateway did, so that a new epoch must begin."""
        _, promised_to, _ = self.promised_epochs.get(key, (0, self.name, 0.0))
        return (
            self.placement_changed_at(key, home_regions) > -math.inf
            or promised_to != self.name
            or key in self.superseded
        )

    def placement_changed_at(self, key: str, home_regions: tuple[str, ...]) -> float:
        """When owner, replica or an instance of either last changed.

        -inf if they have not changed within the convergence time.
        """
        view, changed_at = self.views[-1], -math.inf
        placement = view.placement(key, home_regions)
        for previous, following in itertools.pairwise(self.views):
            if following.valid_from > self.now - self.convergence_s and (
                previous.placement(key, home_regions) != placement
                or any(previous.gateways.get(name) != view.gateways.get(name) for name in placement)
            ):
                changed_at = following.valid_from
        return changed_at

    def highest_epoch(self, key: str) -> int:
        """The highest epoch of the record that is known here."""
        stored = self.records.get(key)
        return max(
            self.promised_epochs.get(key, (0, "", 0.0))[0], stored.record.epoch if stored is not None else 0
        )

    def promise_epoch(self, key: str, epoch: int, promised_to: str) -> None:
        """Reject writes of lower epochs from now on."""
        self.promised_epochs.pop(key, None)
        self.promised_epochs[key] = epoch, promised_to, self.now
        if len(self.promised_epochs) > self.max_records:
            # A previous owner may come back, which amounts to the loss of the record.
            del self.promised_epochs[next(iter(self.promised_epochs))]
            self.mark_incomplete(self.now + PROMISE_CONVERGENCE_PERIODS * self.convergence_s)

    def mark_incomplete(self, until: float) -> None:
        """Note the loss of a record that is valid until then; notify others, as possible next owners."""
        self.incomplete_until = max(self.incomplete_until, until)
        if self.incomplete_until > self.cluster_incomplete_until:
            self.cluster_incomplete_until = self.incomplete_until + SWEEP_INTERVAL_S
            self.announce_incomplete()

    def announce_incomplete(self) -> None:
        """Notify all gateways that records have been lost."""
        remaining_s = round(self.cluster_incomplete_until - self.now, 3)
        for name in [gateway for gateway in self.views[-1].gateways if gateway != self.name]:
            self.send(name, {"w": "blind", "l": remaining_s})

    def start_recovery(
        self, key: str, home_regions: tuple[str, ...], missing: list[str], sender: str, message: Message
    ) -> None:
        """Request the record from previous owners or replicas; the client's request waits for them."""
        recovery = self.recoveries.get(key)
        if (
            recovery is None
            or recovery.view_number != self.views[-1].number
            or recovery.epoch < self.highest_epoch(key)
        ):
            waiting = recovery.waiting if recovery is not None else []
            epoch = self.highest_epoch(key) + 1
            self.promise_epoch(key, epoch, self.name)
            recovery = self.recoveries[key] = Recovery(
                missing, self.now, self.views[-1].number, epoch, waiting
            )
            for name in missing:
                self.send(name, {"w": "read", "key": key, "homes": list(home_regions), "t": epoch})
        recovery.waiting.append((sender, message))

    def on_recovery_request(self, sender: str, message: Message) -> None:
        """A new owner requests a record. By a positive reply this gateway rejects writes of older epochs."""
        key, home_regions = key_and_homes(message)
        view, cutoff = self.views[-1], self.now - self.convergence_s
        recent = [
            recent_view
            for recent_view, following in itertools.pairwise(self.views)
            if following.valid_from > cutoff
        ]
        was_placed_here = (
            self.name in view.placement(key, home_regions)
            or self.name in view.placement(key, home_regions, excluded=sender)
            or any(
                self.name in recent_view.placement(key, home_regions)
                for recent_view in recent
                if recent_view.gateways
            )
        )
        stored = self.get(key)
        incomplete = stored is None and self.now < self.incomplete_until
        epoch, highest_epoch = int(message["t"]), self.highest_epoch(key)
        ok = (
            was_placed_here
            and view.placement(key, home_regions)[0] == sender
            and not incomplete
            and epoch > highest_epoch
        )
        if ok:
            self.promise_epoch(key, epoch, sender)
        reply: Message = {
            "w": "had",
            "key": key,
            "homes": message["homes"],
            "ok": ok,
            "t": epoch,
            "p": highest_epoch,
        }
        self.send(sender, reply | encode_stored(stored, self.now))

    def on_recovery_reply(self, sender: str, message: Message) -> None:
        """Once all required replies have arrived, carry out the requests that wait for them."""
        key, _ = key_and_homes(message)
        if (stored := decode_stored(message, self.now)) is not None:
            self.merge(stored)
        recovery = self.recoveries.get(key)
        if (
            recovery is None
            or int(message["t"]) != recovery.epoch
            or recovery.view_number != self.views[-1].number
        ):
            return
        if not message["ok"]:
            if int(message["p"]) >= recovery.epoch:
                # A higher epoch exists: start again above it.
                del self.recoveries[key]
                self.promise_epoch(key, int(message["p"]), "")
                for requester, request in recovery.waiting:
                    self.execute(requester, request)
            return
        recovery.missing = [name for name in recovery.missing if name != sender]
        if not recovery.missing:
            del self.recoveries[key]
            self.superseded.discard(key)
            self.recovered_in_view[key] = recovery.view_number
            for requester, request in recovery.waiting:
                self.execute(requester, request)

    def on_replicate(self, owner: str, message: Message) -> None:
        """Accept a write only of a higher version and from the owner in this gateway's view (rule 1)."""
        stored = decode_stored(message, self.now)
        assert stored is not None
        record = stored.record
        placement, current = self.views[-1].placement(record.key, record.home_regions), self.get(record.key)
        highest_epoch = self.highest_epoch(record.key)
        accepted = placement == (owner, self.name) and record.epoch >= highest_epoch
        ok = accepted and (current is None or record.version > current.record.version)
        if ok:
            stored.view_number = self.views[-1].number
            if current is not None and current.record.opening_id == record.opening_id:
                stored.opened_at = current.opened_at
            if self.promised_epochs.get(record.key, (0, "", 0.0))[0] < record.epoch:
                self.promise_epoch(record.key, record.epoch, owner)
            self.store(stored)
        reply: Message = {"w": "kept", "q": message["q"], "ok": ok, "p": highest_epoch}
        self.send(owner, reply if ok else reply | encode_stored(current, self.now))

    def on_replicate_ack(self, message: Message) -> None:
        """Reply to the client, or retry once if the replica rejected the write."""
        pending = self.pending_writes.pop(int(message["q"]), None)
        if pending is None:
            return
        if self.now - pending.sent_at > REPLY_TIMEOUT_S:
            # This process has been stalled, and others may have acted since.
            self.reply_unsure(pending.sender, pending.message)
            return
        if message["ok"]:
            pending.stored.view_number = self.views[-1].number
            self.reply(pending.sender, int(pending.message["q"]), pending.status, pending.stored)
            return
        record, newer = pending.stored.record, decode_stored(message, self.now)
        if int(message["p"]) > record.epoch:
            # Another owner has begun a later epoch: recover the record from the replica.
            self.promise_epoch(record.key, max(int(message["p"]), self.highest_epoch(record.key)), "")
            self.superseded.add(record.key)
            self.recovered_in_view.pop(record.key, None)
        elif newer is None or not self.merge(newer):
            self.reply_unsure(pending.sender, pending.message)
            return
        if pending.retried:
            self.reply_unsure(pending.sender, pending.message)
        else:
            self.execute(pending.sender, pending.message, retried=True)

    def reply(self, sender: str, number: int, status: str, stored: StoredRecord | None) -> None:
        """Answer a request of a gateway to this owner."""
        self.send(sender, {"w": "done", "q": number, "word": status} | encode_stored(stored, self.now))

    def reply_unsure(self, sender: str, message: Message) -> None:
        """Answer that it is not known whether the request was carried out."""
        self.stats["travel.unsure"] += 1
        self.reply(sender, int(message["q"]), "unsure", None)

    def pop_pending(self, number: int) -> tuple[str, Message]:
        """Remove a pending write; returns its client and the client's request."""
        pending = self.pending_writes.pop(number)
        return pending.sender, pending.message

    # Stored records.

    def get(self, key: str) -> StoredRecord | None:
        """The record held as owner or replica, unless it has expired."""
        stored = self.records.get(key)
        if stored is not None and self.now >= stored.expires_at:
            self.drop(key)
            return None
        return stored

    def drop(self, key: str) -> None:
        """Remove a record.

        Its move number and epoch are remembered: a new record under the key gets a higher version, so that
        a copy of the old one, should it still arrive, is not taken for newer.
        """
        record = self.records.pop(key).record
        self.highest_dropped_move = max(self.highest_dropped_move, record.move)
        if record.epoch and len(self.promised_epochs) < self.max_records:
            epoch, promised_to, _ = self.promised_epochs.get(key, (0, self.name, 0.0))
            self.promise_epoch(key, max(epoch, record.epoch), promised_to)

    def store(self, stored: StoredRecord) -> None:
        """Keep a record as owner or replica."""
        self.put(self.records, stored, self.max_records)

    def put(self, table: dict[str, StoredRecord], stored: StoredRecord, limit: int) -> None:
        """Put a record into a table of limited size; the least recently written one is evicted."""
        table.pop(stored.record.key, None)
        table[stored.record.key] = stored
        if len(table) > limit:
            oldest = table.pop(next(iter(table)))
            if table is self.records and oldest.expires_at > self.now:
                self.stats["travel.forgotten"] += 1
                self.mark_incomplete(oldest.expires_at)
                self.highest_dropped_move = max(self.highest_dropped_move, oldest.record.move)
                self.recovered_in_view.clear()

    def merge(self, stored: StoredRecord) -> bool:
        """Keep a record of another gateway if it is newer than the one here; returns whether it was."""
        record, current = stored.record, self.get(stored.record.key)
        if stored.expires_at <= self.now or (record.home_regions and self.region not in record.home_regions):
            return False
        if current is not None and current.record.version >= record.version:
            return False
        if current is not None:
            self.stats["travel.mended"] += 1
        if (
            record.epoch > self.highest_epoch(record.key)
            and self.views[-1].placement(record.key, record.home_regions)[0] == self.name
        ):
            # Another gateway has owned it since: this one must recover before it acts in that epoch.
            self.superseded.add(record.key)
            self.recovered_in_view.pop(record.key, None)
        self.store(stored)
        return True

    def sweep(self) -> None:
        """Drop what has expired, and send what the current owners and replicas have not confirmed."""
        now = self.swept_at = self.now
        while len(self.views) > 1 and self.views[1].valid_from <= now - self.convergence_s:
            del self.views[0]
        for key in [record_key for record_key, stored in self.records.items() if stored.expires_at <= now]:
            self.drop(key)
        for key in [
            record_key for record_key, stored in self.local_records.items() if stored.expires_at <= now
        ]:
            del self.local_records[key]
        self.recovered_in_view = {
            key: view_number for key, view_number in self.recovered_in_view.items() if key in self.records
        }
        self.superseded &= self.records.keys()
        for key, (_, _, at) in list(self.promised_epochs.items()):
            if now - at < PROMISE_CONVERGENCE_PERIODS * self.convergence_s:
                break
            del self.promised_epochs[key]
        self.departed = {name: at for name, at in self.departed.items() if now - at < 2 * self.convergence_s}
        if self.cluster_incomplete_until > now and len(self.views) > 1:
            self.announce_incomplete()  # gateways may have joined
        self.send_updates()
        self.unconfirmed_outcomes = {
            number: pending for number, pending in self.unconfirmed_outcomes.items() if pending[1] > now
        }
        for message, _ in list(self.unconfirmed_outcomes.values()):
            owner, _ = self.views[-1].placement(*key_and_homes(message))
            if owner:
                self.send(owner, message)

    def send_updates(self) -> None:
        """Send records to those of their owners and replicas that are not known to have them."""
        view = self.views[-1]
        updates: dict[str, list[list[Any]]] = {}
        for stored in [*self.records.values(), *self.local_records.values()]:
            if stored.view_number == view.number:
                continue
            targets = [
                gateway
                for gateway in view.placement(stored.record.key, stored.record.home_regions)
                if gateway not in ("", self.name)
            ]
            if not targets:
                stored.view_number = view.number
            for name in targets:
                updates.setdefault(name, []).append(encode_entry(stored, self.now))
        for name, entries in updates.items():
            for first in range(0, len(entries), UPDATE_BATCH_SIZE):
                self.send(name, {"w": "tell", "b": entries[first : first + UPDATE_BATCH_SIZE]})

    def on_update(self, sender: str, message: Message) -> None:
        """Merge records, and acknowledge their versions; where this gateway has a newer one, return it."""
        entries = []
        for entry in message["b"]:
            stored = decode_entry(entry, self.now)
            self.merge(stored)
            current = self.get(stored.record.key)
            if current is not None:
                unchanged = current.record == stored.record
                entries.append(
                    [
                        current.record.version,
                        stored.record.key if unchanged else encode_entry(current, self.now),
                    ]
                )
        self.send(sender, {"w": "have", "b": entries})

    def on_update_ack(self, sender: str, message: Message) -> None:
        """Note confirmed records, and drop those that belong to others and are confirmed by them."""
        view = self.views[-1]
        for version, acknowledged in message["b"]:
            if isinstance(acknowledged, list):
                newer = decode_entry(acknowledged, self.now)
                key = newer.record.key
                if self.name in view.placement(key, newer.record.home_regions):
                    self.merge(newer)
                local = self.local_records.get(key)
                if local is not None and local.record.version < newer.record.version:
                    del self.local_records[key]
            else:
                key = str(acknowledged)
            for table in (self.records, self.local_records):
                stored = table.get(key)
                if stored is None or stored.record.version > tuple(version):
                    continue
                placement = view.placement(key, stored.record.home_regions)
                if set(placement) - {"", self.name} <= set(stored.add_confirmation(sender, view.number)):
                    stored.view_number = view.number
                    if table is self.records and self.name not in placement:
                        self.drop(key)

    # Outputs.

    def send(self, target: str, message: Message) -> None:
        """Queue a message; one to this gateway itself is handled at once."""
        if target == self.name:
            self.dispatch(target, message)
        else:
            self.outputs.append(OutgoingMessage(target, message))

    def take_outputs(self) -> list[StoreOutput]:
        """The outputs since the last call."""
        outputs, self.outputs = self.outputs, []
        return outputs


def apply_request(
    current: SessionRecord | None, request: Message, highest_dropped_move: int, epoch: int
) -> tuple[str, SessionRecord | None]:
    """Apply a request to a record (rules 2 and 3); returns a status and the new record, if any."""
    if request["w"] == "take":
        blank = SessionRecord(
            key=str(request["key"]),
            home_regions=tuple(request["homes"]),
            move=highest_dropped_move,
            ttl_s=float(request["lasts"]),
        )
        previous = current or blank
        acquired = replace(
            previous,
            epoch=epoch,
            move=previous.move + 1,
            step=0,
            gateway_instance=str(request["site"]),
            write_number=0,
        )
        return "given", acquired
    if request["w"] == "fate":
        if current is None or current.opening_id != request["opened"]:
            return "settled", None
        if not current.unsettled and current.outcome is not ExchangeOutcome(request["fate"]):
            return "settled", None
        return "kept", replace(
            current, epoch=epoch, step=current.step + 1, outcome=ExchangeOutcome(request["fate"])
        )
    status, record = apply_write(current, parse_record(request["b"]))
    if record is None:
        return status, None
    return status, replace(record, epoch=epoch)


def apply_write(current: SessionRecord | None, requested: SessionRecord) -> tuple[str, SessionRecord | None]:
    """Apply a write of the serving gateway: a new server, or an exchange that is about to be sent."""
    if (
        current is None
        or (current.gateway_instance, current.move) != (requested.gateway_instance, requested.move)
        or requested.write_number <= current.write_number
    ):
        return "moved", None
    step = current.step + 1
    if not requested.exchange_id:
        relocated = replace(
            current, service=requested.service, instance_id=requested.instance_id, address=requested.address
        )
        return "kept", replace(relocated, step=step, write_number=requested.write_number)
    if current.has_run(requested.exchange_id):
        return "ran", None
    if current.unsettled:
        return "unsettled", None
    past_exchanges = (
        (current.exchange_id, *current.past_exchanges)[:MAX_PAST_EXCHANGES]
        if current.outcome is ExchangeOutcome.ANSWERED
        else current.past_exchanges
    )
    return "kept", replace(
        requested, step=step, past_exchanges=past_exchanges, home_regions=current.home_regions
    )


def key_and_homes(message: Message) -> tuple[str, tuple[str, ...]]:
    """Key and home regions of the record that a request concerns."""
    if "key" in message:
        return str(message["key"]), tuple(message["homes"])
    record = parse_record(message["b"])
    return record.key, record.home_regions


def parse_record(raw: object) -> SessionRecord:
    """Decode a record. Raises ValueError if it is malformed."""
    return raw if isinstance(raw, SessionRecord) else msgspec.convert(raw, SessionRecord, strict=False)


def encode_stored(stored: StoredRecord | None, now: float) -> Message:
    """The keys of a message that carry a record; none without a record."""
    if stored is None:
        return {}
    return {"b": stored.record, "l": round(stored.expires_at - now, 3), "a": round(now - stored.opened_at, 3)}


def decode_stored(message: Message, now: float) -> StoredRecord | None:
    """The record in a message, if any. Raises KeyError, TypeError or ValueError if it is malformed."""
    if "b" not in message:
        return None
    record = parse_record(message["b"])
    return StoredRecord(
        record, now + float(message["l"]) - TRANSIT_MARGIN_S, now - float(message.get("a", 0.0))
    )


def encode_entry(stored: StoredRecord, now: float) -> list[Any]:
    """An entry of a batch: record, seconds until its expiry, age of its exchange (s)."""
    return [stored.record, round(stored.expires_at - now, 3), round(now - stored.opened_at, 3)]


def decode_entry(entry: list[Any], now: float) -> StoredRecord:
    """Inverse of ``encode_entry``. Raises TypeError or ValueError if the entry is malformed."""
    return StoredRecord(
        parse_record(entry[0]), now + float(entry[1]) - TRANSIT_MARGIN_S, now - float(entry[2])
    )
