"""A site's way with the requests of travelling callers: looks up, judges, opens before sending, tells fates.

Pure: it sits between a gateway's decisions and its ``Office``. A request goes ``arrive`` → a step
(go, tell, later, ask) → ``attempt`` before each server's first byte → a pass → ``outcome``; ``end`` once
nothing of it is out.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from latchspoke.session_records.decision import Action, ExchangeState, Knowledge, decide
from latchspoke.session_records.record import ExchangeOutcome, SessionRecord
from latchspoke.session_records.store import (
    AttemptTarget,
    OutgoingMessage,
    RecordStore,
    StoreOutput,
    StoreReply,
)

PERMIT_S = 1.0  # s after an opening was asked for in which its first byte may go out
BUSY_RETRY_S = 0.2  # s; when to come back while an exchange is at work
UNAVAILABLE_RETRY_S = 0.5  # s; when to come back while a record can't be had
STALL_THRESHOLD_S = 0.6  # s between two beats of the process: it has stood still
STALL_RECOVERY_S = 0.25  # s that its sockets then may bring what is old
MIN_TTL_CONVERGENCE_PERIODS = (
    3.0  # settling times that a strict record lives, at least: two losses, each seen and settled
)
REFRESH_FRACTION = 0.5  # of a record's time: then it is written again, where nothing else writes it


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Of a route, and of one request on it. Times in s."""

    home_regions: tuple[str, ...]
    ttl_s: float
    lookup_timeout_s: float  # the longest that a request waits to know its record
    strict: bool  # refuse rather than guess; only for what may not be repeated
    can_query: bool  # its servers can be asked what became of an exchange


@dataclass(frozen=True, slots=True)
class Proceed:
    """Send it: to the life in the record if that may be sent to, else by placement."""

    request_id: str
    record: SessionRecord | None


@dataclass(frozen=True, slots=True)
class ReportState:
    """Answer with the truth about an exchange: it ran, or nobody knows."""

    request_id: str
    state: ExchangeState
    exchange_id: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """It has not run and won't: come back in ``pause`` s."""

    request_id: str
    retry_after_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class QueryServer:
    """Ask that life what became of the try; the answer goes to ``asked``."""

    request_id: str
    instance_id: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class AttemptPermit:
    """Whether an attempt may go out, and until when its first byte may (s)."""

    request_id: str
    granted: bool
    valid_until: float = 0.0


Directive = Proceed | ReportState | RetryLater | QueryServer | AttemptPermit | OutgoingMessage


@dataclass(slots=True)
class TrackedRequest:
    """A request of a travelling caller."""

    key: str
    exchange_id: str
    policy: RequestPolicy
    started_at: float
    record: SessionRecord | None = None
    exchange_age_s: float = 0.0  # s since the record's exchange was opened, when that was learnt
    awaiting_record: bool = False
    opened_record: SessionRecord | None = None  # the record of its last opening
    opening_requested_at: float = 0.0  # when that was asked for
    awaiting_opening: bool = False
    target: AttemptTarget | None = None  # of its last attempt
    reported_state: ExchangeState | None = None


class RequestCoordinator:
    """``known``: whether a server's life may be asked here; ``lives``: whether a site is among the live."""

    def __init__(self, store: RecordStore, is_known_instance: Callable[[str], bool]) -> None:
        self.store, self.is_known_instance = store, is_known_instance
        self.requests: dict[str, TrackedRequest] = {}
        self.pending_openings: dict[
            str, tuple[SessionRecord, float]
        ] = {}  # what was asked to be written, and when
        self.directives: list[Directive] = []
        self.stats = store.stats
        self.last_tick, self.stalled_until = store.now, store.now
        self.opening_numbers = itertools.count(1)

    def recently_stalled(self, now: float) -> bool:
        """Whether this process has just done so: what it reads now may have been sent long ago."""
        if now - self.last_tick > STALL_THRESHOLD_S:
            self.stalled_until = now + STALL_RECOVERY_S
        return now < self.stalled_until

    def gateway_alive(self, gateway_instance: str) -> bool:
        name, _, instance_id = gateway_instance.partition("/")
        peer = self.store.views[-1].gateways.get(name)
        return peer is not None and peer.instance_id in ("", instance_id)

    def record_ttl_s(self, requested_s: float, strict: bool) -> float:
        """How long (s) a record lives: what is open must not be forgotten while nobody may tell of it."""
        return (
            max(requested_s, MIN_TTL_CONVERGENCE_PERIODS * self.store.convergence_s)
            if strict
            else requested_s
        )

    # Requests.

    def start_request(
        self, request_id: str, key: str, exchange_id: str, policy: RequestPolicy, now: float
    ) -> list[Directive]:
        request = self.requests[request_id] = TrackedRequest(key, exchange_id, policy, now)
        if policy.strict and self.recently_stalled(now):
            self.defer(request_id, BUSY_RETRY_S, "stood_still")
            return self.take_directives()
        record = self.store.local_record(key, now)
        if record is not None and policy.strict and record.unsettled and not self.is_sending(record):
            record = None  # others may know more of it by now
        if record is not None:
            request.record, request.exchange_age_s = record, now - self.store.local_records[key].opened_at
            self.resolve(request_id, request)
        else:
            request.awaiting_record = True
            self.stats["travel.looks"] += 1
            ttl_s = self.record_ttl_s(policy.ttl_s, policy.strict)
            self.process_outputs(
                self.store.acquire(request_id, key, policy.home_regions, ttl_s, now, not policy.strict), now
            )
        return self.take_directives()

    def resolve(self, request_id: str, request: TrackedRequest) -> None:
        """The record is here: what is done by it."""
        record, strict = request.record, request.policy.strict
        if not strict or record is None:
            self.directives.append(Proceed(request_id, record))
            return
        if record.unsettled and self.is_sending(record):
            self.defer(request_id, BUSY_RETRY_S, "at_work")
            return
        knowledge = Knowledge(
            request.policy.can_query,
            self.is_known_instance(record.instance_id),
            self.gateway_alive(record.opened_by),
            request.reported_state,
        )
        decision = decide(record, request.exchange_id, knowledge)
        if decision.state is ExchangeState.UNKNOWN and (
            request.exchange_age_s < PERMIT_S or (knowledge.instance_known and knowledge.can_query)
        ):
            # Its first byte may be on its way, or its server could not be asked just now.
            self.defer(request_id, BUSY_RETRY_S, "unsettled")
            return
        if decision.outcome is not None:
            self.process_outputs(
                self.store.record_outcome("", record, decision.outcome, self.store.now), self.store.now
            )
        match decision.action:
            case Action.SEND:
                self.directives.append(Proceed(request_id, record))
            case Action.REPORT:
                assert decision.state is not None
                self.stats[f"travel.told_{decision.state.value}"] += 1
                exchange_id = (
                    request.exchange_id if decision.state is ExchangeState.RUN else record.exchange_id
                )
                self.directives.append(ReportState(request_id, decision.state, exchange_id))
            case Action.QUERY_SERVER:
                self.stats["travel.asks"] += 1
                self.directives.append(QueryServer(request_id, record.instance_id, record.attempt_id))
            case Action.RETRY_LATER:
                self.defer(request_id, BUSY_RETRY_S, "at_work")

    def is_sending(self, record: SessionRecord) -> bool:
        """Whether this site itself is sending that exchange."""
        return record.opened_by == self.store.gateway_instance and any(
            request.opened_record is not None
            and request.key == record.key
            and request.opened_record.opening_id == record.opening_id
            for request in self.requests.values()
        )

    def defer(self, request_id: str, retry_after_s: float, reason: str) -> None:
        self.stats[f"travel.refused_{reason}"] += 1
        self.directives.append(RetryLater(request_id, retry_after_s, reason))

    def on_record_unavailable(self, request_id: str, request: TrackedRequest) -> None:
        """No record in time, or nobody can say: the route's own choice."""
        request.awaiting_record = False
        self.stats["travel.misses"] += 1
        if request.policy.strict:
            self.defer(request_id, UNAVAILABLE_RETRY_S, "no_record")
        else:
            self.directives.append(Proceed(request_id, None))

    def on_server_state(self, request_id: str, state: ExchangeState, now: float) -> list[Directive]:
        """What the server's life said; unknown if it said nothing."""
        self.store.now = now
        request = self.requests.get(request_id)
        if request is not None:
            request.reported_state = state
            self.resolve(request_id, request)
        return self.take_directives()

    # Attempts.

    def begin_attempt(
        self, request_id: str, service: str, instance_id: str, address: str, now: float, attempt_id: str = ""
    ) -> list[Directive]:
        """Before anything of it goes to that server; ``attempt``: the id by which that one knows the try."""
        request = self.requests[request_id]
        request.target = AttemptTarget(
            service, instance_id, address, request.exchange_id, attempt_id or request_id
        )
        if not request.policy.strict:
            self.directives.append(AttemptPermit(request_id, True, float("inf")))
            return self.take_directives()
        record = request.record  # under the move by which it was judged, not under a later one
        if record is None or request.awaiting_opening:
            self.directives.append(AttemptPermit(request_id, False))
            return self.take_directives()
        request.awaiting_opening, request.opening_requested_at, request.opened_record = True, now, None
        reference = (
            f"{request_id}\n{next(self.opening_numbers)}"  # an answer to an earlier opening may still come
        )
        opening, outs = self.store.open_exchange(reference, record, request.target, now)
        self.pending_openings[reference] = opening, now
        self.process_outputs(outs, now)
        return self.take_directives()

    def end_attempt(self, request_id: str, outcome: ExchangeOutcome, now: float) -> list[Directive]:
        """An attempt that was passed is over."""
        request = self.requests.get(request_id)
        if request is None:
            return []
        if request.policy.strict:
            if request.opened_record is not None:
                record, request.opened_record = request.opened_record, None
                self.process_outputs(self.store.record_outcome("", record, outcome, now), now)
        elif outcome is ExchangeOutcome.ANSWERED:
            self.refresh_server(request, now)
        return self.take_directives()

    def refresh_server(self, request: TrackedRequest, now: float) -> None:
        """The server is written after the answer: when it is another, or the record gets old."""
        stored, target = self.store.local_records.get(request.key), request.target
        if stored is None or target is None or now >= stored.expires_at:
            return
        near_expiry = stored.expires_at - now < REFRESH_FRACTION * request.policy.ttl_s
        if near_expiry or (stored.record.service, stored.record.instance_id) != (
            target.service,
            target.instance_id,
        ):
            self.process_outputs(
                self.store.open_exchange("", stored.record, replace(target, exchange_id=""), now)[1], now
            )

    def end_request(self, request_id: str) -> None:
        self.requests.pop(request_id, None)

    # The office's answers.

    def receive(self, sender: str, message: dict[str, object], now: float) -> list[Directive]:
        self.process_outputs(self.store.receive(sender, message, now), now)
        return self.take_directives()

    def tick(self, now: float) -> list[Directive]:
        """At least each quarter of a second."""
        self.recently_stalled(now)
        self.last_tick = now
        self.process_outputs(self.store.tick(now), now)
        for reference in [
            reference
            for reference, (_, opened_at) in self.pending_openings.items()
            if now - opened_at >= PERMIT_S
        ]:
            self.on_reply(StoreReply(reference, "unsure"), now)
        return self.take_directives()

    def lookup_expired(self, request_id: str, now: float) -> list[Directive]:
        """A request has waited for its record for as long as its route lets it."""
        self.store.now = now
        request = self.requests.get(request_id)
        if request is not None and request.awaiting_record:
            self.on_record_unavailable(request_id, request)
        return self.take_directives()

    def process_outputs(self, outputs: list[StoreOutput], now: float) -> None:
        for output in outputs:
            if isinstance(output, OutgoingMessage):
                self.directives.append(output)
            elif output.reference:
                self.on_reply(output, now)

    def on_reply(self, reply: StoreReply, now: float) -> None:
        request_id, _, opening_number = reply.reference.partition("\n")
        request = self.requests.get(request_id)
        if opening_number:
            self.on_opening_reply(request_id, request, reply, now)
        elif request is None or not request.awaiting_record:
            self.stats["travel.late"] += reply.status == "given"
        elif reply.status == "given":
            request.awaiting_record, request.record, request.exchange_age_s = (
                False,
                reply.record,
                reply.exchange_age_s,
            )
            if reply.record is not None and reply.record.instance_id:
                self.stats["travel.found"] += 1
            self.resolve(request_id, request)
        else:
            self.on_record_unavailable(request_id, request)

    def on_opening_reply(
        self, request_id: str, request: TrackedRequest | None, reply: StoreReply, now: float
    ) -> None:
        written = reply.status == "kept"
        if reply.reference not in self.pending_openings:
            return
        opening, _ = self.pending_openings.pop(reply.reference)
        if reply.status == "unsure" or (written and request is None):
            # It may be written; nothing was sent by it, and nothing will be.
            self.process_outputs(self.store.record_outcome("", opening, ExchangeOutcome.NOT_RUN, now), now)
        if request is None:
            return
        request.awaiting_opening = False
        if written:
            request.opened_record = request.record = reply.record
        else:
            self.stats[f"travel.open_{reply.status}"] += 1
        self.directives.append(AttemptPermit(request_id, written, request.opening_requested_at + PERMIT_S))

    def take_directives(self) -> list[Directive]:
        directives, self.directives = self.directives, []
        return directives
