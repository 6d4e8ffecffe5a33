"""A site's way with the requests of travelling callers: looks up, judges, opens before sending, tells fates.

Pure: it sits between a gateway's decisions and its ``Office``. A request goes ``arrive`` → a step
(go, tell, later, ask) → ``attempt`` before each server's first byte → a pass → ``outcome``; ``end`` once
nothing of it is out.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from latchspoke.session_records.decision import Act, Seen, State, judge
from latchspoke.session_records.record import Bill, Fate
from latchspoke.session_records.store import Answer, Letter, Office, Out, Target

PASS = 1.0  # s after an opening was asked for in which its first byte may go out
SOON = 0.2  # s; when to come back while an exchange is at work
SETTLING = 0.5  # s; when to come back while a record can't be had
STILL = 0.6  # s between two beats of the process: it has stood still
WARY = 0.25  # s that its sockets then may bring what is old
LEAST = 3.0  # settling times that a strict record lives, at least: two losses, each seen and settled
FRESH = 0.5  # of a record's time: then it is written again, where nothing else writes it


@dataclass(frozen=True, slots=True)
class Terms:
    """Of a route, and of one request on it. Times in s."""

    homes: tuple[str, ...]
    lasts: float
    look: float  # the longest that a request waits to know its record
    strict: bool  # refuse rather than guess; only for what may not be repeated
    able: bool  # its servers can be asked what became of an exchange


@dataclass(frozen=True, slots=True)
class Go:
    """Send it: to the life in the record if that may be sent to, else by placement."""

    ref: str
    bill: Bill | None


@dataclass(frozen=True, slots=True)
class Tell:
    """Answer with the truth about an exchange: it ran, or nobody knows."""

    ref: str
    state: State
    exchange: str


@dataclass(frozen=True, slots=True)
class Later:
    """It has not run and won't: come back in ``pause`` s."""

    ref: str
    pause: float
    why: str


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask that life what became of the try; the answer goes to ``asked``."""

    ref: str
    life: str
    attempt: str


@dataclass(frozen=True, slots=True)
class Pass:
    """Whether an attempt may go out, and until when its first byte may (s)."""

    ref: str
    ok: bool
    until: float = 0.0


Step = Go | Tell | Later | Ask | Pass | Letter


@dataclass(slots=True)
class Trip:
    """A request of a travelling caller."""

    key: str
    exchange: str
    terms: Terms
    begun: float
    bill: Bill | None = None
    age: float = 0.0  # s since the record's exchange was opened, when that was learnt
    looking: bool = False
    opened: Bill | None = None  # the record of its last opening
    asked_at: float = 0.0  # when that was asked for
    opening: bool = False
    target: Target | None = None  # of its last attempt
    told: State | None = None


class Desk:
    """``known``: whether a server's life may be asked here; ``lives``: whether a site is among the live."""

    def __init__(self, office: Office, known: Callable[[str], bool]) -> None:
        self.office, self.known = office, known
        self.trips: dict[str, Trip] = {}
        self.openings: dict[str, tuple[Bill, float]] = {}  # what was asked to be written, and when
        self.steps: list[Step] = []
        self.stats = office.stats
        self.beat, self.wary_until = office.now, office.now
        self.numbers = itertools.count(1)

    def stood_still(self, now: float) -> bool:
        """Whether this process has just done so: what it reads now may have been sent long ago."""
        if now - self.beat > STILL:
            self.wary_until = now + WARY
        return now < self.wary_until

    def lives(self, site: str) -> bool:
        name, _, life = site.partition("/")
        peer = self.office.eras[-1].peers.get(name)
        return peer is not None and peer.life in ("", life)

    def lasts(self, asked: float, strict: bool) -> float:
        """How long (s) a record lives: what is open must not be forgotten while nobody may tell of it."""
        return max(asked, LEAST * self.office.settle) if strict else asked

    # Requests.

    def arrive(self, ref: str, key: str, exchange: str, terms: Terms, now: float) -> list[Step]:
        trip = self.trips[ref] = Trip(key, exchange, terms, now)
        if terms.strict and self.stood_still(now):
            self.later(ref, SOON, "stood_still")
            return self.given()
        bill = self.office.hand(key, now)
        if bill is not None and terms.strict and bill.unsettled and not self.at_work(bill):
            bill = None  # others may know more of it by now
        if bill is not None:
            trip.bill, trip.age = bill, now - self.office.hands[key].since
            self.resolve(ref, trip)
        else:
            trip.looking = True
            self.stats["travel.looks"] += 1
            lasts = self.lasts(terms.lasts, terms.strict)
            self.carry(self.office.take(ref, key, terms.homes, lasts, now, not terms.strict), now)
        return self.given()

    def resolve(self, ref: str, trip: Trip) -> None:
        """The record is here: what is done by it."""
        bill, strict = trip.bill, trip.terms.strict
        if not strict or bill is None:
            self.steps.append(Go(ref, bill))
            return
        if bill.unsettled and self.at_work(bill):
            self.later(ref, SOON, "at_work")
            return
        seen = Seen(trip.terms.able, self.known(bill.life), self.lives(bill.opener), trip.told)
        verdict = judge(bill, trip.exchange, seen)
        if verdict.state is State.UNKNOWN and (trip.age < PASS or (seen.lives and seen.able)):
            # Its first byte may be on its way, or its server could not be asked just now.
            self.later(ref, SOON, "unsettled")
            return
        if verdict.fate is not None:
            self.carry(self.office.fate("", bill, verdict.fate, self.office.now), self.office.now)
        match verdict.act:
            case Act.GO:
                self.steps.append(Go(ref, bill))
            case Act.TELL:
                assert verdict.state is not None
                self.stats[f"travel.told_{verdict.state.value}"] += 1
                name = trip.exchange if verdict.state is State.RUN else bill.exchange
                self.steps.append(Tell(ref, verdict.state, name))
            case Act.ASK:
                self.stats["travel.asks"] += 1
                self.steps.append(Ask(ref, bill.life, bill.attempt))
            case Act.LATER:
                self.later(ref, SOON, "at_work")

    def at_work(self, bill: Bill) -> bool:
        """Whether this site itself is sending that exchange."""
        return bill.opener == self.office.site and any(
            t.opened is not None and t.key == bill.key and t.opened.opened == bill.opened
            for t in self.trips.values()
        )

    def later(self, ref: str, pause: float, why: str) -> None:
        self.stats[f"travel.refused_{why}"] += 1
        self.steps.append(Later(ref, pause, why))

    def missed(self, ref: str, trip: Trip) -> None:
        """No record in time, or nobody can say: the route's own choice."""
        trip.looking = False
        self.stats["travel.misses"] += 1
        if trip.terms.strict:
            self.later(ref, SETTLING, "no_record")
        else:
            self.steps.append(Go(ref, None))

    def asked(self, ref: str, state: State, now: float) -> list[Step]:
        """What the server's life said; unknown if it said nothing."""
        self.office.now = now
        trip = self.trips.get(ref)
        if trip is not None:
            trip.told = state
            self.resolve(ref, trip)
        return self.given()

    # Attempts.

    def attempt(
        self, ref: str, service: str, life: str, place: str, now: float, attempt: str = ""
    ) -> list[Step]:
        """Before anything of it goes to that server; ``attempt``: the id by which that one knows the try."""
        trip = self.trips[ref]
        trip.target = Target(service, life, place, trip.exchange, attempt or ref)
        if not trip.terms.strict:
            self.steps.append(Pass(ref, True, float("inf")))
            return self.given()
        bill = trip.bill  # under the move by which it was judged, not under a later one
        if bill is None or trip.opening:
            self.steps.append(Pass(ref, False))
            return self.given()
        trip.opening, trip.asked_at, trip.opened = True, now, None
        ask = f"{ref}\n{next(self.numbers)}"  # an answer to an earlier opening may still come
        new, outs = self.office.open(ask, bill, trip.target, now)
        self.openings[ask] = new, now
        self.carry(outs, now)
        return self.given()

    def outcome(self, ref: str, fate: Fate, now: float) -> list[Step]:
        """An attempt that was passed is over."""
        trip = self.trips.get(ref)
        if trip is None:
            return []
        if trip.terms.strict:
            if trip.opened is not None:
                opened, trip.opened = trip.opened, None
                self.carry(self.office.fate("", opened, fate, now), now)
        elif fate is Fate.ANSWERED:
            self.behind(trip, now)
        return self.given()

    def behind(self, trip: Trip, now: float) -> None:
        """The server is written after the answer: when it is another, or the record gets old."""
        held, to = self.office.hands.get(trip.key), trip.target
        if held is None or to is None or now >= held.until:
            return
        old = held.until - now < FRESH * trip.terms.lasts
        if old or (held.bill.service, held.bill.life) != (to.service, to.life):
            self.carry(self.office.open("", held.bill, replace(to, exchange=""), now)[1], now)

    def end(self, ref: str) -> None:
        self.trips.pop(ref, None)

    # The office's answers.

    def heard(self, sender: str, message: dict[str, object], now: float) -> list[Step]:
        self.carry(self.office.heard(sender, message, now), now)
        return self.given()

    def tick(self, now: float) -> list[Step]:
        """At least each quarter of a second."""
        self.stood_still(now)
        self.beat = now
        self.carry(self.office.tick(now), now)
        for ask in [ask for ask, (_, at) in self.openings.items() if now - at >= PASS]:
            self.answered(Answer(ask, "unsure"), now)
        return self.given()

    def late(self, ref: str, now: float) -> list[Step]:
        """A request has waited for its record for as long as its route lets it."""
        self.office.now = now
        trip = self.trips.get(ref)
        if trip is not None and trip.looking:
            self.missed(ref, trip)
        return self.given()

    def carry(self, outs: list[Out], now: float) -> None:
        for out in outs:
            if isinstance(out, Letter):
                self.steps.append(out)
            elif out.ref:
                self.answered(out, now)

    def answered(self, answer: Answer, now: float) -> None:
        ref, _, what = answer.ref.partition("\n")
        trip = self.trips.get(ref)
        if what:
            self.opened(ref, trip, answer, now)
        elif trip is None or not trip.looking:
            self.stats["travel.late"] += answer.word == "given"
        elif answer.word == "given":
            trip.looking, trip.bill, trip.age = False, answer.bill, answer.age
            if answer.bill is not None and answer.bill.life:
                self.stats["travel.found"] += 1
            self.resolve(ref, trip)
        else:
            self.missed(ref, trip)

    def opened(self, ref: str, trip: Trip | None, answer: Answer, now: float) -> None:
        ok = answer.word == "kept"
        if answer.ref not in self.openings:
            return
        asked, _ = self.openings.pop(answer.ref)
        if answer.word == "unsure" or (ok and trip is None):
            # It may be written; nothing was sent by it, and nothing will be.
            self.carry(self.office.fate("", asked, Fate.NOT_RUN, now), now)
        if trip is None:
            return
        trip.opening = False
        if ok:
            trip.opened = trip.bill = answer.bill
        else:
            self.stats[f"travel.open_{answer.word}"] += 1
        self.steps.append(Pass(ref, ok, trip.asked_at + PASS))

    def given(self) -> list[Step]:
        steps, self.steps = self.steps, []
        return steps
