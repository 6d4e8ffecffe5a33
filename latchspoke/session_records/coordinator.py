"""Takes a gateway's requests through their session records: lookup, decision, opening, outcome.

Sits between the gateway's dispatcher and its ``RecordStore``, without I/O. Each request passes through
``start_request``, which leads to a directive (``Proceed``, ``ReportState``, ``RetryLater`` or
``QueryServer``); ``begin_attempt`` before the first byte to a server, which leads to an ``AttemptPermit``;
``end_attempt``; and ``end_request`` once none of its attempts is in flight.
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

PERMIT_S = 1.0  # from the request for an opening, within which the first byte may be sent
BUSY_RETRY_S = 0.2  # Retry-After while an exchange is in flight
UNAVAILABLE_RETRY_S = 0.5  # Retry-After while the record is unavailable
STALL_THRESHOLD_S = 0.6  # a longer gap between ticks means that the process was stalled
STALL_RECOVERY_S = 0.25  # after a stall, within which sockets may deliver old requests
MIN_TTL_CONVERGENCE_PERIODS = 3.0  # of a strict record, so that it outlives two consecutive gateway failures
REFRESH_FRACTION = 0.5  # of the TTL; a record with less left is written again


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """What the route of a request demands."""

    home_regions: tuple[str, ...]
    ttl_s: float
    lookup_timeout_s: float  # how long a request waits for its record
    strict: bool  # refuse rather than risk running an exchange twice
    can_query: bool  # servers of the route answer exchange state queries


@dataclass(frozen=True, slots=True)
class Proceed:
    """Send the request: to the instance in the record if it accepts requests, else to a newly chosen one."""

    request_id: str
    record: SessionRecord | None


@dataclass(frozen=True, slots=True)
class ReportState:
    """Answer the request with the state of an exchange: it has run, or its outcome is unknown."""

    request_id: str
    state: ExchangeState
    exchange_id: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Refuse the request, which has not run and will not, with Retry-After."""

    request_id: str
    retry_after_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class QueryServer:
    """Query the server instance for the state of the attempt; pass the answer to ``on_server_state``."""

    request_id: str
    instance_id: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class AttemptPermit:
    """Whether an attempt may be sent, and until when (s) its first byte may."""

    request_id: str
    granted: bool
    valid_until: float = 0.0


Directive = Proceed | ReportState | RetryLater | QueryServer | AttemptPermit | OutgoingMessage


@dataclass(slots=True)
class TrackedRequest:
    """A request in progress."""

    key: str
    exchange_id: str
    policy: RequestPolicy
    started_at: float
    record: SessionRecord | None = None
    exchange_age_s: float = 0.0  # age of the record's exchange when the record was received
    awaiting_record: bool = False
    opened_record: SessionRecord | None = None  # as written by the latest opening
    opening_requested_at: float = 0.0
    awaiting_opening: bool = False
    target: AttemptTarget | None = None  # of the latest attempt
    reported_state: ExchangeState | None = None


class RequestCoordinator:
    """Tracks the requests of one gateway.

    ``is_known_instance`` tells whether a server instance is known to this gateway and may be queried.
    """

    def __init__(self, store: RecordStore, is_known_instance: Callable[[str], bool]) -> None:
        self.store, self.is_known_instance = store, is_known_instance
        self.requests: dict[str, TrackedRequest] = {}
        # By reference: the record to be written, and when that was requested.
        self.pending_openings: dict[str, tuple[SessionRecord, float]] = {}
        self.directives: list[Directive] = []
        self.stats = store.stats
        self.last_tick, self.stalled_until = store.now, store.now
        self.opening_numbers = itertools.count(1)

    def recently_stalled(self, now: float) -> bool:
        """Whether this process has just been stalled, so that what it reads may have been sent long ago."""
        if now - self.last_tick > STALL_THRESHOLD_S:
            self.stalled_until = now + STALL_RECOVERY_S
        return now < self.stalled_until

    def gateway_alive(self, gateway_instance: str) -> bool:
        """Whether a gateway instance is in the current membership view."""
        name, _, instance_id = gateway_instance.partition("/")
        peer = self.store.views[-1].gateways.get(name)
        return peer is not None and peer.instance_id in ("", instance_id)

    def record_ttl_s(self, requested_s: float, strict: bool) -> float:
        """The TTL of a record. A strict one must not expire while the outcome of its exchange is in doubt."""
        return (
            max(requested_s, MIN_TTL_CONVERGENCE_PERIODS * self.store.convergence_s)
            if strict
            else requested_s
        )

    # Requests.

    def start_request(
        self, request_id: str, key: str, exchange_id: str, policy: RequestPolicy, now: float
    ) -> list[Directive]:
        """A request has arrived: look up its record, or resolve it by the local one."""
        request = self.requests[request_id] = TrackedRequest(key, exchange_id, policy, now)
        if policy.strict and self.recently_stalled(now):
            self.defer(request_id, BUSY_RETRY_S, "stood_still")
            return self.take_directives()
        record = self.store.local_record(key, now)
        if record is not None and policy.strict and record.unsettled and not self.is_sending(record):
            record = None  # its owner may know the outcome by now
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
        """The record is available: decide what to do with the request."""
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
            # Its first byte may still be sent, or its server could not be queried just now.
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
        """Whether this gateway has an attempt of the record's exchange in flight."""
        return record.opened_by == self.store.gateway_instance and any(
            request.opened_record is not None
            and request.key == record.key
            and request.opened_record.opening_id == record.opening_id
            for request in self.requests.values()
        )

    def defer(self, request_id: str, retry_after_s: float, reason: str) -> None:
        """Refuse a request for now; ``reason`` is the suffix of a counter."""
        self.stats[f"travel.refused_{reason}"] += 1
        self.directives.append(RetryLater(request_id, retry_after_s, reason))

    def on_record_unavailable(self, request_id: str, request: TrackedRequest) -> None:
        """The record was not received in time: a strict route refuses the request, others send it."""
        request.awaiting_record = False
        self.stats["travel.misses"] += 1
        if request.policy.strict:
            self.defer(request_id, UNAVAILABLE_RETRY_S, "no_record")
        else:
            self.directives.append(Proceed(request_id, None))

    def on_server_state(self, request_id: str, state: ExchangeState, now: float) -> list[Directive]:
        """The server's answer to a query; unknown if there was none."""
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
        """Call before anything is sent to the server; ``attempt_id`` is the ID sent to it."""
        request = self.requests[request_id]
        request.target = AttemptTarget(
            service, instance_id, address, request.exchange_id, attempt_id or request_id
        )
        if not request.policy.strict:
            self.directives.append(AttemptPermit(request_id, True, float("inf")))
            return self.take_directives()
        record = request.record  # the version that the decision was made by, not a later one
        if record is None or request.awaiting_opening:
            self.directives.append(AttemptPermit(request_id, False))
            return self.take_directives()
        request.awaiting_opening, request.opening_requested_at, request.opened_record = True, now, None
        # Numbered, as a reply to an earlier opening may still arrive.
        reference = f"{request_id}\n{next(self.opening_numbers)}"
        opening, outputs = self.store.open_exchange(reference, record, request.target, now)
        self.pending_openings[reference] = opening, now
        self.process_outputs(outputs, now)
        return self.take_directives()

    def end_attempt(self, request_id: str, outcome: ExchangeOutcome, now: float) -> list[Directive]:
        """A permitted attempt has ended."""
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
        """After an answer, write the server to the record if it has changed or the record is near expiry."""
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
        """Forget a request; call it once none of its attempts is in flight."""
        self.requests.pop(request_id, None)

    # Messages and replies of the store.

    def receive(self, sender: str, message: dict[str, object], now: float) -> list[Directive]:
        """A message of another gateway. Raises KeyError, TypeError or ValueError if it is malformed."""
        self.process_outputs(self.store.receive(sender, message, now), now)
        return self.take_directives()

    def tick(self, now: float) -> list[Directive]:
        """Call at least every 0.25 s."""
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
        """The lookup timeout of a request has passed."""
        self.store.now = now
        request = self.requests.get(request_id)
        if request is not None and request.awaiting_record:
            self.on_record_unavailable(request_id, request)
        return self.take_directives()

    def process_outputs(self, outputs: list[StoreOutput], now: float) -> None:
        """Handle the store's replies, and add its messages to the directives."""
        for output in outputs:
            if isinstance(output, OutgoingMessage):
                self.directives.append(output)
            elif output.reference:
                self.on_reply(output, now)

    def on_reply(self, reply: StoreReply, now: float) -> None:
        """Route a reply of the store to the lookup or the opening that waits for it."""
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
        """Permit or deny the attempt that waits for its opening."""
        written = reply.status == "kept"
        if reply.reference not in self.pending_openings:
            return
        opening, _ = self.pending_openings.pop(reply.reference)
        if reply.status == "unsure" or (written and request is None):
            # It may have been written, but nothing was sent under it, and nothing will be.
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
        """The directives since the last call."""
        directives, self.directives = self.directives, []
        return directives
