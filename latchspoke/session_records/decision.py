"""What a site does with a request of a travelling caller, by the record and by what its server says."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from latchspoke.session_records.record import ExchangeOutcome, SessionRecord


class Action(Enum):
    SEND = "go"  # send it
    REPORT = "tell"  # answer with what is known of the exchange
    RETRY_LATER = "later"  # it has not run: come back
    QUERY_SERVER = "ask"  # ask the server's life first


class ExchangeState(Enum):
    """Of an exchange, as callers are told it and servers say it."""

    RUN = "run"
    NOT_RUN = "not-run"
    OPEN = "open"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Decision:
    """``fate``: what is to be written of the record's exchange before anything else, if it is news."""

    action: Action
    state: ExchangeState | None = None
    outcome: ExchangeOutcome | None = None


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What a site knows beside the record."""

    can_query: bool  # servers of the route can be asked
    instance_known: bool  # the life in the record is known and may be asked
    opener_alive: bool  # the site that opened the exchange lives
    reported_state: ExchangeState | None = None  # by the server, once it has been asked


def decide(record: SessionRecord, exchange_id: str, knowledge: Knowledge) -> Decision:
    """For a strict route; a guess is never told, and nothing is sent anew before the last fate is known."""
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
    """What a server's ``X-Exchange-State`` says; anything else is unknown."""
    try:
        return ExchangeState(value.strip().lower().decode("latin-1"))
    except ValueError:
        return ExchangeState.UNKNOWN
