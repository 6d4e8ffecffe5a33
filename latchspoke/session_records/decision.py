"""What a site does with a request of a travelling caller, by the record and by what its server says."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from latchspoke.session_records.record import Bill, Fate


class Act(Enum):
    GO = "go"  # send it
    TELL = "tell"  # answer with what is known of the exchange
    LATER = "later"  # it has not run: come back
    ASK = "ask"  # ask the server's life first


class State(Enum):
    """Of an exchange, as callers are told it and servers say it."""

    RUN = "run"
    NOT_RUN = "not-run"
    OPEN = "open"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Verdict:
    """``fate``: what is to be written of the record's exchange before anything else, if it is news."""

    act: Act
    state: State | None = None
    fate: Fate | None = None


@dataclass(frozen=True, slots=True)
class Seen:
    """What a site knows beside the record."""

    able: bool  # servers of the route can be asked
    lives: bool  # the life in the record is known and may be asked
    opener: bool  # the site that opened the exchange lives
    told: State | None = None  # by the server, once it has been asked


def judge(bill: Bill, exchange: str, seen: Seen) -> Verdict:
    """For a strict route; a guess is never told, and nothing is sent anew before the last fate is known."""
    if bill.ran(exchange):
        return Verdict(Act.TELL, State.RUN)
    if not bill.unsettled:
        return Verdict(Act.GO)
    if seen.lives and seen.able and seen.told is None:
        return Verdict(Act.ASK)
    if seen.told in (State.RUN, State.NOT_RUN):
        ran = seen.told is State.RUN
        act = Act.TELL if ran and bill.exchange == exchange else Act.GO
        return Verdict(act, seen.told, Fate.ANSWERED if ran else Fate.NOT_RUN)
    if seen.told is State.OPEN or (bill.fate is Fate.OPEN and seen.opener):
        return Verdict(Act.LATER, State.OPEN)
    return Verdict(Act.TELL, State.UNKNOWN, Fate.TOLD)


def state_of(text: bytes) -> State:
    """What a server's ``X-Exchange-State`` says; anything else is unknown."""
    try:
        return State(text.strip().lower().decode("latin-1"))
    except ValueError:
        return State.UNKNOWN
