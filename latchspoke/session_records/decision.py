"""Decides what to do with a request, from the caller's session record and the state its server reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from latchspoke.session_records.record import ExchangeOutcome, SessionRecord


class Action(Enum):
    """What to do with a request."""

    SEND = "go"
    REPORT = "tell"  # answer with the state of the exchange
    RETRY_LATER = "later"  # refuse with Retry-After; the request has not run
    QUERY_SERVER = "ask"  # query the server instance, then decide again


class ExchangeState(Enum):
    """State of an exchange in the ``X-Exchange-State`` header, to callers and from servers."""

    RUN = "run"
    NOT_RUN = "not-run"
    OPEN = "open"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Decision:
    """What to do; ``outcome``, if set, is recorded for the record's exchange first."""

    action: Action
    state: ExchangeState | None = None
    outcome: ExchangeOutcome | None = None


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What the gateway knows in addition to the record."""

    can_query: bool  # servers of the route answer exchange state queries
    instance_known: bool  # the server instance in the record is known and may be queried
    opener_alive: bool  # the gateway that opened the exchange is alive
    reported_state: ExchangeState | None = None  # by the server, once it has been queried


def decide(record: SessionRecord, exchange_id: str, knowledge: Knowledge) -> Decision:
    """The decision for a request on a strict route.

    No state is reported that is not known, and nothing is sent while the previous exchange is unsettled.
    """
    if record.has_run(exchange_id):
        return Decision(Action.REPORT, ExchangeState.RUN)
    if not record.unsettled:
        return Decision(Action.SEND)
    if knowledge.instance_known and knowledge.can_query and knowledge.reported_state is None:
        return Decision(Action.QUERY_SERVER)
    if knowledge.reported_state in (ExchangeState.RUN, ExchangeState.NOT_RUN):
        has_run = knowledge.reported_state is ExchangeState.RUN
        action = Action.REPORT if has_run and record.exchange_id == exchange_id else Action.SEND
        return Decision(
            action, knowledge.reported_state, ExchangeOutcome.ANSWERED if has_run else ExchangeOutcome.NOT_RUN
        )
    if knowledge.reported_state is ExchangeState.OPEN or (
        record.outcome is ExchangeOutcome.OPEN and knowledge.opener_alive
    ):
        return Decision(Action.RETRY_LATER, ExchangeState.OPEN)
    return Decision(Action.REPORT, ExchangeState.UNKNOWN, ExchangeOutcome.TOLD)


def parse_exchange_state(value: bytes) -> ExchangeState:
    """Parse a server's ``X-Exchange-State`` header; an unrecognised value counts as unknown."""
    try:
        return ExchangeState(value.strip().lower().decode("latin-1"))
    except ValueError:
        return ExchangeState.UNKNOWN
