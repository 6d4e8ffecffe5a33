"""One gateway's part in keeping the records: as their owner, as their copy, and as the site of its callers.

Pure: messages of others, requests of its own site, the live gateways and the time (monotonic, s) go in;
letters to others and answers to its own site come out. The rules are numbered as in docs/travel.md.

Messages, ``w`` says which: ``take``, ``write`` and ``fate`` from a site to the owner, ``done`` back; ``copy``
from the owner to the copy, ``kept`` back; ``read`` from a new owner to who had it, ``had`` back; ``tell``
from anybody who has it, ``have`` back; ``left`` to the site that a caller has left; ``blind`` to all from
whoever forgets a record before its end. ``q`` is the sender's
number, ``b`` a bill, ``l`` the seconds that it still has, ``a`` those since its exchange was opened.
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
from latchspoke.transport.questions import first_number

Message = dict[str, Any]

MAX_RECORDS = 100_000  # records of one gateway
MAX_LOCAL_RECORDS = 50_000  # callers whose site this is
REPLY_TIMEOUT_S = 1.0  # s that an owner waits for a copy, or for those who had a record
SWEEP_INTERVAL_S = 2.0  # s between tellings of what isn't confirmed
UPDATE_BATCH_SIZE = 200  # bills of one telling
MAX_UNCONFIRMED_OUTCOMES = 10_000  # fates that no owner has confirmed yet
PROMISE_CONVERGENCE_PERIODS = 10.0  # settling times that a promise is kept, at least
TRANSIT_MARGIN_S = 0.05  # s that a record sent to another is taken to have been under way, at least


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    target: str
    message: Message


@dataclass(frozen=True, slots=True)
class StoreReply:
    """To the own site. ``word``: given, kept, moved (another site has the caller), ran, unsettled, unsure."""

    reference: str
    status: str
    record: SessionRecord | None = None
    exchange_age_s: float = 0.0  # s since its exchange was opened


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """A server's life, and what is to be sent there; no exchange: only where the caller is."""

    service: str
    instance_id: str
    address: str
    exchange_id: str = ""
    attempt_id: str = ""


StoreOutput = OutgoingMessage | StoreReply


@dataclass(slots=True)
class StoredRecord:
    """A bill that is here, until when, and under which era it is known to be with the pair."""

    record: SessionRecord
    expires_at: float
    opened_at: float  # when its exchange was opened
    view_number: int = -1
    confirmed_by: tuple[str, ...] = ()  # who has confirmed it under the era ``by_era``
    confirmed_in_view: int = -1

    def add_confirmation(self, name: str, view_number: int) -> tuple[str, ...]:
        if self.confirmed_in_view != view_number:
            self.confirmed_by, self.confirmed_in_view = (), view_number
        if name not in self.confirmed_by:
            self.confirmed_by = (*self.confirmed_by, name)
        return self.confirmed_by


@dataclass(slots=True)
class PendingWrite:
    """An act that waits for its copy."""

    sender: str
    message: Message
    stored: StoredRecord
    status: str
    sent_at: float
    retried: bool


@dataclass(slots=True)
class Recovery:
    """Acts that wait for those who had the record under former eras."""

    missing: list[str]
    started_at: float
    view_number: int
    epoch: int
    waiting: list[tuple[str, Message]] = field(default_factory=list)


class RecordStore:
    """See the module. ``right``: until when (s) this gateway may act, asked at each act; ``lease``: how long
    (s) one proof of it lasts."""

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
        self.records: dict[str, StoredRecord] = {}  # as owner or copy; what was written longest ago first
        self.local_records: dict[str, StoredRecord] = {}  # of callers whose site this is
        self.incomplete_until = now  # something was forgotten before its end: "none" isn't known till then
        self.cluster_incomplete_until = (
            now  # the same of anybody: it is blindness here once the live gateways change
        )
        self.views: list[MembershipView] = [MembershipView(now, {}, 0)]
        self.recovered_in_view: dict[str, int] = {}  # keys of which all is known, and under which era
        self.highest_dropped_move = 0  # the highest move of any record that was dropped here
        # The tenure below which nothing is written, whose it is, and since when; the oldest first.
        self.promised_epochs: dict[str, tuple[int, str, float]] = {}
        self.superseded: set[str] = set()  # keys whose copy knows of a later tenure
        self.departed: dict[str, float] = {}  # gateways that left in order, and when
        self.pending_writes: dict[int, PendingWrite] = {}
        self.recoveries: dict[str, Recovery] = {}
        self.pending_requests: dict[int, str] = {}  # own questions to owners
        self.unconfirmed_outcomes: dict[
            int, tuple[Message, float]
        ] = {}  # own fates, until confirmed, and until when they matter
        self.request_numbers, self.write_numbers = (
            itertools.count(first_number(instance_id) + 1),
            itertools.count(1),
        )
        self.swept_at = now
        self.outputs: list[StoreOutput] = []
        self.now = now
        self.region = ""

    # What comes in.

    def update_membership(self, gateways: Mapping[str, Peer], now: float) -> list[StoreOutput]:
        """The live gateways have changed, this one among them."""
        self.now = now
        if dict(gateways) != dict(self.views[-1].gateways):
            self.views.append(MembershipView(now, dict(gateways), self.views[-1].number + 1))
            self.recovered_in_view.clear()
            self.incomplete_until = max(self.incomplete_until, self.cluster_incomplete_until)
            if self.name in gateways:
                self.region = gateways[self.name].region
            # What waits for a copy of before: whether it wrote can't count under the new pair.
            for number in list(self.pending_writes):
                self.reply_unsure(*self.pop_pending(number))
            self.sweep()
        return self.take_outputs()

    def leave(self, now: float) -> list[StoreOutput]:
        """This gateway stops: what it has goes to those who come after it, and it acts no more."""
        self.lease_until = lambda: -math.inf
        outputs = self.update_membership(
            {gateway: peer for gateway, peer in self.views[-1].gateways.items() if gateway != self.name}, now
        )
        return outputs + [OutgoingMessage(name, {"w": "bye"}) for name in self.views[-1].gateways]

    def tick(self, now: float) -> list[StoreOutput]:
        """At least each quarter of a second."""
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
        """A message of another gateway's. Raises KeyError, TypeError, ValueError where it can't be read."""
        self.now = now
        self.dispatch(sender, message)
        return self.take_outputs()

    # The own site's questions.

    def local_record(self, key: str, now: float) -> SessionRecord | None:
        """The record of a caller whose site this is."""
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
        """Ask for a caller's record, and for the caller. Answers: given, unsure.

        ``soft``: only the server matters, so that the owner waits neither for the copy nor to be sure.
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
        """Write that an exchange is about to be sent, and what is written; without an exchange, the server.

        Answers: kept, moved, ran, unsettled, unsure.
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
        """Write what became of the bill's exchange; told again until it is confirmed."""
        self.now = now
        local = self.local_records.get(record.key)
        if local is not None and local.record.opening_id == record.opening_id and local.record.unsettled:
            local.record = replace(
                local.record, outcome=outcome
            )  # what it opens next comes to the owner behind this
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
            # Its fate may be known here, and not have come there.
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

    # The owner.

    def dispatch(self, sender: str, message: Message) -> None:
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
                raise ValueError(f"no message {other!r}")

    def on_notice(self, sender: str, message: Message) -> None:
        """What is told without being asked for, and not answered."""
        if message["w"] == "blind":
            self.cluster_incomplete_until = max(self.cluster_incomplete_until, self.now + float(message["l"]))
            if len(self.views) > 1:  # the live gateways have changed lately
                self.incomplete_until = max(self.incomplete_until, self.cluster_incomplete_until)
        elif message["w"] == "bye":
            self.departed[sender] = self.now
        else:
            stored = self.local_records.get(str(message["key"]))
            if stored is not None and stored.record.move < int(message["move"]):
                del self.local_records[str(message["key"])]

    def execute(self, sender: str, message: Message, retried: bool = False) -> None:
        """A move, an opening or a fate, where this gateway owns the record, has the right, and knows all."""
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
        """Rule 4: of each pair that may have acted lately, the one whose word ends that. None: wait.

        It is the copy, for only with it could its owner act; where there was none, the owner. One that has
        left in order acts no more: then the other's word is enough.
        """
        view = self.views[-1]
        if self.now < self.incomplete_until and key not in self.records:
            return None
        if self.lease_until() < self.placement_changed_at(key, home_regions) + self.lease_s:
            # Not proven since: it may be cut off with the copy of before, and nobody would hear of its acts.
            return None
        required: set[str] = set()
        for previous, following in itertools.pairwise(self.views):
            if following.valid_from <= self.now - self.convergence_s:
                continue
            # Before its start, this gateway stands beside those who were there.
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
        """Whether others may have acted since this gateway last did: then a new tenure begins."""
        _, promised_to, _ = self.promised_epochs.get(key, (0, self.name, 0.0))
        return (
            self.placement_changed_at(key, home_regions) > -math.inf
            or promised_to != self.name
            or key in self.superseded
        )

    def placement_changed_at(self, key: str, home_regions: tuple[str, ...]) -> float:
        """When its pair, or the life of one of them, last changed, if that is lately."""
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
        """The highest that is known here."""
        stored = self.records.get(key)
        return max(
            self.promised_epochs.get(key, (0, "", 0.0))[0], stored.record.epoch if stored is not None else 0
        )

    def promise_epoch(self, key: str, epoch: int, promised_to: str) -> None:
        """Nothing of a lower tenure is written here from now on."""
        self.promised_epochs.pop(key, None)
        self.promised_epochs[key] = epoch, promised_to, self.now
        if len(self.promised_epochs) > self.max_records:
            # Whoever it was given against may come back: as if the record had been forgotten.
            del self.promised_epochs[next(iter(self.promised_epochs))]
            self.mark_incomplete(self.now + PROMISE_CONVERGENCE_PERIODS * self.convergence_s)

    def mark_incomplete(self, until: float) -> None:
        """Something that matters till then is lost here. Others hear of it: they may be the next owners."""
        self.incomplete_until = max(self.incomplete_until, until)
        if self.incomplete_until > self.cluster_incomplete_until:
            self.cluster_incomplete_until = self.incomplete_until + SWEEP_INTERVAL_S
            self.announce_incomplete()

    def announce_incomplete(self) -> None:
        remaining_s = round(self.cluster_incomplete_until - self.now, 3)
        for name in [gateway for gateway in self.views[-1].gateways if gateway != self.name]:
            self.send(name, {"w": "blind", "l": remaining_s})

    def start_recovery(
        self, key: str, home_regions: tuple[str, ...], missing: list[str], sender: str, message: Message
    ) -> None:
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
        """A new owner asks. Who answers takes nothing of an older tenure any more."""
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
                # Somebody has gone beyond: those who wait ask again above that.
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
        """Rule 1: only from who owns it by this gateway's own view, and only a higher number."""
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
        pending = self.pending_writes.pop(int(message["q"]), None)
        if pending is None:
            return
        if self.now - pending.sent_at > REPLY_TIMEOUT_S:
            # This process has stood still, and others may have gone on.
            self.reply_unsure(pending.sender, pending.message)
            return
        if message["ok"]:
            pending.stored.view_number = self.views[-1].number
            self.reply(pending.sender, int(pending.message["q"]), pending.status, pending.stored)
            return
        record, newer = pending.stored.record, decode_stored(message, self.now)
        if int(message["p"]) > record.epoch:
            # Another has begun a tenure since: it is asked for anew.
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
        self.send(sender, {"w": "done", "q": number, "word": status} | encode_stored(stored, self.now))

    def reply_unsure(self, sender: str, message: Message) -> None:
        self.stats["travel.unsure"] += 1
        self.reply(sender, int(message["q"]), "unsure", None)

    def pop_pending(self, number: int) -> tuple[str, Message]:
        pending = self.pending_writes.pop(number)
        return pending.sender, pending.message

    # What is here.

    def get(self, key: str) -> StoredRecord | None:
        stored = self.records.get(key)
        if stored is not None and self.now >= stored.expires_at:
            self.drop(key)
            return None
        return stored

    def drop(self, key: str) -> None:
        """Numbers never go back: a record that begins anew begins above, whoever still tells the old one."""
        record = self.records.pop(key).record
        self.highest_dropped_move = max(self.highest_dropped_move, record.move)
        if record.epoch and len(self.promised_epochs) < self.max_records:
            epoch, promised_to, _ = self.promised_epochs.get(key, (0, self.name, 0.0))
            self.promise_epoch(key, max(epoch, record.epoch), promised_to)

    def store(self, stored: StoredRecord) -> None:
        self.put(self.records, stored, self.max_records)

    def put(self, table: dict[str, StoredRecord], stored: StoredRecord, limit: int) -> None:
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
        """Take in a bill of another's, if it is newer than the one here."""
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
            # Another has owned it since, whose tenure is not this one's to count on from.
            self.superseded.add(record.key)
            self.recovered_in_view.pop(record.key, None)
        self.store(stored)
        return True

    def sweep(self) -> None:
        """Drop what has ended, and tell the pair of the day what it hasn't confirmed under this era."""
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
            self.announce_incomplete()  # there may be newcomers
        self.send_updates()
        self.unconfirmed_outcomes = {
            number: pending for number, pending in self.unconfirmed_outcomes.items() if pending[1] > now
        }
        for message, _ in list(self.unconfirmed_outcomes.values()):
            owner, _ = self.views[-1].placement(*key_and_homes(message))
            if owner:
                self.send(owner, message)

    def send_updates(self) -> None:
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
        """Answered with what is here then: of an older one told, the newer."""
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

    # What goes out.

    def send(self, target: str, message: Message) -> None:
        if target == self.name:
            self.dispatch(target, message)
        else:
            self.outputs.append(OutgoingMessage(target, message))

    def take_outputs(self) -> list[StoreOutput]:
        outputs, self.outputs = self.outputs, []
        return outputs


def apply_request(
    current: SessionRecord | None, request: Message, highest_dropped_move: int, epoch: int
) -> tuple[str, SessionRecord | None]:
    """What an act makes of a record: a word, and the new record if there is one. Rules 2 and 3."""
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
    """By the holder: another server, or an exchange that is about to be sent."""
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
    if "key" in message:
        return str(message["key"]), tuple(message["homes"])
    record = parse_record(message["b"])
    return record.key, record.home_regions


def parse_record(raw: object) -> SessionRecord:
    """Raises ValueError."""
    return raw if isinstance(raw, SessionRecord) else msgspec.convert(raw, SessionRecord, strict=False)


def encode_stored(stored: StoredRecord | None, now: float) -> Message:
    if stored is None:
        return {}
    return {"b": stored.record, "l": round(stored.expires_at - now, 3), "a": round(now - stored.opened_at, 3)}


def decode_stored(message: Message, now: float) -> StoredRecord | None:
    if "b" not in message:
        return None
    record = parse_record(message["b"])
    return StoredRecord(
        record, now + float(message["l"]) - TRANSIT_MARGIN_S, now - float(message.get("a", 0.0))
    )


def encode_entry(stored: StoredRecord, now: float) -> list[Any]:
    return [stored.record, round(stored.expires_at - now, 3), round(now - stored.opened_at, 3)]


def decode_entry(entry: list[Any], now: float) -> StoredRecord:
    return StoredRecord(
        parse_record(entry[0]), now + float(entry[1]) - TRANSIT_MARGIN_S, now - float(entry[2])
    )
