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

from latchspoke.session_records.record import PAST, Bill, Era, Fate, Peer
from latchspoke.transport.questions import first_number

Message = dict[str, Any]

MOST = 100_000  # records of one gateway
HANDS = 50_000  # callers whose site this is
WAIT = 1.0  # s that an owner waits for a copy, or for those who had a record
SWEEP = 2.0  # s between tellings of what isn't confirmed
BATCH = 200  # bills of one telling
WORDS = 10_000  # fates that no owner has confirmed yet
PROMISE = 10.0  # settling times that a promise is kept, at least
LEFT_OVER = 0.05  # s that a record sent to another is taken to have been under way, at least


@dataclass(frozen=True, slots=True)
class Letter:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Answer:
    """To the own site. ``word``: given, kept, moved (another site has the caller), ran, unsettled, unsure."""

    ref: str
    word: str
    bill: Bill | None = None
    age: float = 0.0  # s since its exchange was opened


@dataclass(frozen=True, slots=True)
class Target:
    """A server's life, and what is to be sent there; no exchange: only where the caller is."""

    service: str
    life: str
    place: str
    exchange: str = ""
    attempt: str = ""


Out = Letter | Answer


@dataclass(slots=True)
class Held:
    """A bill that is here, until when, and under which era it is known to be with the pair."""

    bill: Bill
    until: float
    since: float  # when its exchange was opened
    era: int = -1
    by: tuple[str, ...] = ()  # who has confirmed it under the era ``by_era``
    by_era: int = -1

    def confirmed(self, name: str, era: int) -> tuple[str, ...]:
        if self.by_era != era:
            self.by, self.by_era = (), era
        if name not in self.by:
            self.by = (*self.by, name)
        return self.by


@dataclass(slots=True)
class Pending:
    """An act that waits for its copy."""

    sender: str
    message: Message
    held: Held
    word: str
    at: float
    again: bool


@dataclass(slots=True)
class Reading:
    """Acts that wait for those who had the record under former eras."""

    needs: list[str]
    at: float
    era: int
    tenure: int
    waiting: list[tuple[str, Message]] = field(default_factory=list)


class Office:
    """See the module. ``right``: until when (s) this gateway may act, asked at each act; ``lease``: how long
    (s) one proof of it lasts."""

    def __init__(
        self, me: str, life: str, settle: float, now: float, right: Callable[[], float],
        stats: Counter[str] | None = None, most: int = MOST, lease: float = 0.0,
    ) -> None:  # fmt: skip
        self.lease = lease
        self.me, self.site, self.settle, self.right, self.most = me, f"{me}/{life}", settle, right, most
        self.stats: Counter[str] = Counter() if stats is None else stats
        self.bills: dict[str, Held] = {}  # as owner or copy; what was written longest ago first
        self.hands: dict[str, Held] = {}  # of callers whose site this is
        self.blind_until = now  # something was forgotten before its end: "none" isn't known till then
        self.dim_until = now  # the same of anybody: it is blindness here once the live gateways change
        self.eras: list[Era] = [Era(now, {}, 0)]
        self.sure: dict[str, int] = {}  # keys of which all is known, and under which era
        self.base = 0  # the highest move of any record that was dropped here
        # The tenure below which nothing is written, whose it is, and since when; the oldest first.
        self.promised: dict[str, tuple[int, str, float]] = {}
        self.deposed: set[str] = set()  # keys whose copy knows of a later tenure
        self.left: dict[str, float] = {}  # gateways that left in order, and when
        self.pending: dict[int, Pending] = {}
        self.reading: dict[str, Reading] = {}
        self.asked: dict[int, str] = {}  # own questions to owners
        self.words: dict[
            int, tuple[Message, float]
        ] = {}  # own fates, until confirmed, and until when they matter
        self.numbers, self.turns = itertools.count(first_number(life) + 1), itertools.count(1)
        self.swept = now
        self.out: list[Out] = []
        self.now = now
        self.region = ""

    # What comes in.

    def live(self, peers: Mapping[str, Peer], now: float) -> list[Out]:
        """The live gateways have changed, this one among them."""
        self.now = now
        if dict(peers) != dict(self.eras[-1].peers):
            self.eras.append(Era(now, dict(peers), self.eras[-1].number + 1))
            self.sure.clear()
            self.blind_until = max(self.blind_until, self.dim_until)
            if self.me in peers:
                self.region = peers[self.me].region
            # What waits for a copy of before: whether it wrote can't count under the new pair.
            for q in list(self.pending):
                self.reply_unsure(*self.dropped(q))
            self.sweep()
        return self.given()

    def leave(self, now: float) -> list[Out]:
        """This gateway stops: what it has goes to those who come after it, and it acts no more."""
        self.right = lambda: -math.inf
        out = self.live({n: p for n, p in self.eras[-1].peers.items() if n != self.me}, now)
        return out + [Letter(name, {"w": "bye"}) for name in self.eras[-1].peers]

    def tick(self, now: float) -> list[Out]:
        """At least each quarter of a second."""
        self.now = now
        for q in [q for q, p in self.pending.items() if now - p.at > WAIT]:
            self.reply_unsure(*self.dropped(q))
        for key in [k for k, r in self.reading.items() if now - r.at > WAIT]:
            for sender, message in self.reading.pop(key).waiting:
                self.reply_unsure(sender, message)
        if now - self.swept >= SWEEP:
            self.sweep()
        return self.given()

    def heard(self, sender: str, message: Message, now: float) -> list[Out]:
        """A message of another gateway's. Raises KeyError, TypeError, ValueError where it can't be read."""
        self.now = now
        self.hear(sender, message)
        return self.given()

    # The own site's questions.

    def hand(self, key: str, now: float) -> Bill | None:
        """The record of a caller whose site this is."""
        held = self.hands.get(key)
        return held.bill if held is not None and now < held.until else None

    def take(
        self, ref: str, key: str, homes: tuple[str, ...], lasts: float, now: float, soft: bool = False
    ) -> list[Out]:
        """Ask for a caller's record, and for the caller. Answers: given, unsure.

        ``soft``: only the server matters, so that the owner waits neither for the copy nor to be sure.
        """
        self.now = now
        take: Message = {"w": "take", "key": key, "homes": list(homes), "site": self.site, "lasts": lasts}
        self.ask(ref, take | ({"soft": 1} if soft else {}))
        return self.given()

    def open(self, ref: str, bill: Bill, to: Target, now: float) -> tuple[Bill, list[Out]]:
        """Write that an exchange is about to be sent, and what is written; without an exchange, the server.

        Answers: kept, moved, ran, unsettled, unsure.
        """
        self.now = now
        turn = next(self.turns)
        new = replace(bill, service=to.service, life=to.life, place=to.place, site=self.site, turn=turn)
        new = replace(new, exchange=to.exchange)
        if to.exchange:
            name = f"{self.site}:{turn}"
            new = replace(new, attempt=to.attempt, fate=Fate.OPEN, opener=self.site, opened=name)
        self.ask(ref, {"w": "write", "b": new, "l": bill.lasts})
        return new, self.given()

    def fate(self, ref: str, bill: Bill, fate: Fate, now: float) -> list[Out]:
        """Write what became of the bill's exchange; told again until it is confirmed."""
        self.now = now
        hand = self.hands.get(bill.key)
        if hand is not None and hand.bill.opened == bill.opened and hand.bill.unsettled:
            hand.bill = replace(hand.bill, fate=fate)  # what it opens next comes to the owner behind this
        message: Message = {
            "w": "fate", "key": bill.key, "homes": list(bill.homes), "opened": bill.opened,
            "fate": int(fate), "site": self.site,
        }  # fmt: skip
        q = self.ask(ref, message)
        if q in self.asked:
            self.words[q] = message, now + bill.lasts
            if len(self.words) > WORDS:
                del self.words[next(iter(self.words))]
        return self.given()

    def ask(self, ref: str, message: Message) -> int:
        q = message["q"] = next(self.numbers)
        self.asked[q] = ref
        while len(self.asked) > HANDS:
            del self.asked[next(iter(self.asked))]
        bill = message.get("b")
        key, homes = (bill.key, bill.homes) if bill is not None else (message["key"], tuple(message["homes"]))
        owner, _ = self.eras[-1].pair(key, homes)
        if owner:
            self.post(owner, message)
        else:
            self.answer(q, "unsure", None)
        return q

    def answer(self, q: int, word: str, held: Held | None) -> None:
        ref = self.asked.pop(q, None)
        if word != "unsure":
            self.words.pop(q, None)
        bill = held.bill if held is not None else None
        if held is not None and bill is not None:
            mine = self.hands.get(bill.key)
            if mine is None or mine.bill.number < bill.number:
                self.hands.pop(bill.key, None)
                if bill.site == self.site and (not bill.homes or self.region in bill.homes):
                    self.put(self.hands, held, HANDS)
        if word == "unsettled" and bill is not None:
            # Its fate may be known here, and not have come there.
            for message, _ in [w for w in self.words.values() if w[0]["opened"] == bill.opened]:
                self.post(self.eras[-1].pair(*named(message))[0], message)
        if ref is not None:
            self.out.append(Answer(ref, word, bill, self.now - held.since if held is not None else 0.0))

    # The owner.

    def hear(self, sender: str, m: Message) -> None:
        match m["w"]:
            case "take" | "write" | "fate":
                self.act(sender, m)
            case "copy":
                self.on_copy(sender, m)
            case "kept":
                self.on_kept(m)
            case "done":
                self.answer(int(m["q"]), str(m["word"]), read(m, self.now))
            case "read":
                self.on_read(sender, m)
            case "had":
                self.on_had(sender, m)
            case "tell":
                self.on_tell(sender, m)
            case "have":
                self.on_have(sender, m)
            case "blind" | "bye" | "left":
                self.notice(sender, m)
            case other:
                raise ValueError(f"no message {other!r}")

    def notice(self, sender: str, m: Message) -> None:
        """What is told without being asked for, and not answered."""
        if m["w"] == "blind":
            self.dim_until = max(self.dim_until, self.now + float(m["l"]))
            if len(self.eras) > 1:  # the live gateways have changed lately
                self.blind_until = max(self.blind_until, self.dim_until)
        elif m["w"] == "bye":
            self.left[sender] = self.now
        else:
            held = self.hands.get(str(m["key"]))
            if held is not None and held.bill.move < int(m["move"]):
                del self.hands[str(m["key"])]

    def act(self, sender: str, m: Message, again: bool = False) -> None:
        """A move, an opening or a fate, where this gateway owns the record, has the right, and knows all."""
        key, homes = named(m)
        owner, copy = self.eras[-1].pair(key, homes)
        if owner != self.me or self.now >= self.right():
            self.reply_unsure(sender, m)
            return
        soft = bool(m.get("soft"))
        if self.sure.get(key) != self.eras[-1].number and not (soft and key in self.bills):
            needs = self.needs(key, homes)
            if needs is None:
                self.reply_unsure(sender, m)
                return
            if needs:
                self.read(key, homes, needs, sender, m)
                return
            if self.handed_on(key, homes):
                self.promise(key, self.tenure(key) + 1, self.me)
            self.sure[key] = self.eras[-1].number
        held = self.get(key)
        word, bill = decide(held.bill if held else None, m, self.base, self.tenure(key))
        if bill is None:
            self.done(sender, int(m["q"]), word, held)
            return
        since = (
            self.now
            if bill.opened != (held.bill.opened if held else "")
            else held.since
            if held
            else self.now
        )
        new = Held(bill, self.now + bill.lasts, since)
        if held is not None and bill.site != held.bill.site:
            self.stats["travel.moves"] += 1
            self.post(held.bill.site.partition("/")[0], {"w": "left", "key": key, "move": bill.move})
        if not copy or soft:
            self.store(new)
            self.done(sender, int(m["q"]), word, new)
            if copy:
                self.post(copy, {"w": "copy", "q": 0, "b": bill, "l": bill.lasts})
            return
        q = next(self.numbers)
        self.pending[q] = Pending(sender, m, new, word, self.now, again)
        self.store(new)
        self.post(copy, {"w": "copy", "q": q, "b": bill, "l": bill.lasts})

    def needs(self, key: str, homes: tuple[str, ...]) -> list[str] | None:
        """Rule 4: of each pair that may have acted lately, the one whose word ends that. None: wait.

        It is the copy, for only with it could its owner act; where there was none, the owner. One that has
        left in order acts no more: then the other's word is enough.
        """
        era = self.eras[-1]
        if self.now < self.blind_until and key not in self.bills:
            return None
        if self.right() < self.changed(key, homes) + self.lease:
            # Not proven since: it may be cut off with the copy of before, and nobody would hear of its acts.
            return None
        needs: set[str] = set()
        for former, after in itertools.pairwise(self.eras):
            if after.at <= self.now - self.settle:
                continue
            # Before its start, this gateway stands beside those who were there.
            peers = former.peers or era.peers
            pair = former.pair(key, homes) if former.peers else era.pair(key, homes, without=self.me)
            able = [name for name in reversed(pair) if name and self.left.get(name, -1e9) < former.at]
            judge = next(iter(able), "")
            if judge != self.me and (judge not in era.peers or era.peers[judge] != peers[judge]):
                return None
            needs.add(judge)
        if key in self.deposed:
            needs.add(era.pair(key, homes)[1])
        return sorted(needs - {self.me, ""})

    def handed_on(self, key: str, homes: tuple[str, ...]) -> bool:
        """Whether others may have acted since this gateway last did: then a new tenure begins."""
        _, to, _ = self.promised.get(key, (0, self.me, 0.0))
        return self.changed(key, homes) > -math.inf or to != self.me or key in self.deposed

    def changed(self, key: str, homes: tuple[str, ...]) -> float:
        """When its pair, or the life of one of them, last changed, if that is lately."""
        era, found = self.eras[-1], -math.inf
        pair = era.pair(key, homes)
        for former, after in itertools.pairwise(self.eras):
            if after.at > self.now - self.settle and (
                former.pair(key, homes) != pair or any(former.peers.get(n) != era.peers.get(n) for n in pair)
            ):
                found = after.at
        return found

    def tenure(self, key: str) -> int:
        """The highest that is known here."""
        held = self.bills.get(key)
        return max(self.promised.get(key, (0, "", 0.0))[0], held.bill.tenure if held is not None else 0)

    def promise(self, key: str, tenure: int, to: str) -> None:
        """Nothing of a lower tenure is written here from now on."""
        self.promised.pop(key, None)
        self.promised[key] = tenure, to, self.now
        if len(self.promised) > self.most:
            # Whoever it was given against may come back: as if the record had been forgotten.
            del self.promised[next(iter(self.promised))]
            self.forget(self.now + PROMISE * self.settle)

    def forget(self, until: float) -> None:
        """Something that matters till then is lost here. Others hear of it: they may be the next owners."""
        self.blind_until = max(self.blind_until, until)
        if self.blind_until > self.dim_until:
            self.dim_until = self.blind_until + SWEEP
            self.tell_blind()

    def tell_blind(self) -> None:
        left = round(self.dim_until - self.now, 3)
        for name in [n for n in self.eras[-1].peers if n != self.me]:
            self.post(name, {"w": "blind", "l": left})

    def read(self, key: str, homes: tuple[str, ...], needs: list[str], sender: str, m: Message) -> None:
        reading = self.reading.get(key)
        if reading is None or reading.era != self.eras[-1].number or reading.tenure < self.tenure(key):
            waiting = reading.waiting if reading is not None else []
            tenure = self.tenure(key) + 1
            self.promise(key, tenure, self.me)
            reading = self.reading[key] = Reading(needs, self.now, self.eras[-1].number, tenure, waiting)
            for name in needs:
                self.post(name, {"w": "read", "key": key, "homes": list(homes), "t": tenure})
        reading.waiting.append((sender, m))

    def on_read(self, sender: str, m: Message) -> None:
        """A new owner asks. Who answers takes nothing of an older tenure any more."""
        key, homes = named(m)
        era, since = self.eras[-1], self.now - self.settle
        lately = [e for e, after in itertools.pairwise(self.eras) if after.at > since]
        had = (
            self.me in era.pair(key, homes)
            or self.me in era.pair(key, homes, without=sender)
            or any(self.me in e.pair(key, homes) for e in lately if e.peers)
        )
        held = self.get(key)
        blind = held is None and self.now < self.blind_until
        tenure, known = int(m["t"]), self.tenure(key)
        ok = had and era.pair(key, homes)[0] == sender and not blind and tenure > known
        if ok:
            self.promise(key, tenure, sender)
        told: Message = {"w": "had", "key": key, "homes": m["homes"], "ok": ok, "t": tenure, "p": known}
        self.post(sender, told | written(held, self.now))

    def on_had(self, sender: str, m: Message) -> None:
        key, _ = named(m)
        if (held := read(m, self.now)) is not None:
            self.mend(held)
        reading = self.reading.get(key)
        if reading is None or int(m["t"]) != reading.tenure or reading.era != self.eras[-1].number:
            return
        if not m["ok"]:
            if int(m["p"]) >= reading.tenure:
                # Somebody has gone beyond: those who wait ask again above that.
                del self.reading[key]
                self.promise(key, int(m["p"]), "")
                for waiter, message in reading.waiting:
                    self.act(waiter, message)
            return
        reading.needs = [name for name in reading.needs if name != sender]
        if not reading.needs:
            del self.reading[key]
            self.deposed.discard(key)
            self.sure[key] = reading.era
            for waiter, message in reading.waiting:
                self.act(waiter, message)

    def on_copy(self, owner: str, m: Message) -> None:
        """Rule 1: only from who owns it by this gateway's own view, and only a higher number."""
        held = read(m, self.now)
        assert held is not None
        bill = held.bill
        pair, mine = self.eras[-1].pair(bill.key, bill.homes), self.get(bill.key)
        known = self.tenure(bill.key)
        agreed = pair == (owner, self.me) and bill.tenure >= known
        ok = agreed and (mine is None or bill.number > mine.bill.number)
        if ok:
            held.era = self.eras[-1].number
            if mine is not None and mine.bill.opened == bill.opened:
                held.since = mine.since
            if self.promised.get(bill.key, (0, "", 0.0))[0] < bill.tenure:
                self.promise(bill.key, bill.tenure, owner)
            self.store(held)
        told: Message = {"w": "kept", "q": m["q"], "ok": ok, "p": known}
        self.post(owner, told if ok else told | written(mine, self.now))

    def on_kept(self, m: Message) -> None:
        pending = self.pending.pop(int(m["q"]), None)
        if pending is None:
            return
        if self.now - pending.at > WAIT:
            # This process has stood still, and others may have gone on.
            self.reply_unsure(pending.sender, pending.message)
            return
        if m["ok"]:
            pending.held.era = self.eras[-1].number
            self.done(pending.sender, int(pending.message["q"]), pending.word, pending.held)
            return
        bill, mended = pending.held.bill, read(m, self.now)
        if int(m["p"]) > bill.tenure:
            # Another has begun a tenure since: it is asked for anew.
            self.promise(bill.key, max(int(m["p"]), self.tenure(bill.key)), "")
            self.deposed.add(bill.key)
            self.sure.pop(bill.key, None)
        elif mended is None or not self.mend(mended):
            self.reply_unsure(pending.sender, pending.message)
            return
        if pending.again:
            self.reply_unsure(pending.sender, pending.message)
        else:
            self.act(pending.sender, pending.message, again=True)

    def done(self, sender: str, q: int, word: str, held: Held | None) -> None:
        self.post(sender, {"w": "done", "q": q, "word": word} | written(held, self.now))

    def reply_unsure(self, sender: str, m: Message) -> None:
        self.stats["travel.unsure"] += 1
        self.done(sender, int(m["q"]), "unsure", None)

    def dropped(self, q: int) -> tuple[str, Message]:
        pending = self.pending.pop(q)
        return pending.sender, pending.message

    # What is here.

    def get(self, key: str) -> Held | None:
        held = self.bills.get(key)
        if held is not None and self.now >= held.until:
            self.drop(key)
            return None
        return held

    def drop(self, key: str) -> None:
        """Numbers never go back: a record that begins anew begins above, whoever still tells the old one."""
        bill = self.bills.pop(key).bill
        self.base = max(self.base, bill.move)
        if bill.tenure and len(self.promised) < self.most:
            tenure, to, _ = self.promised.get(key, (0, self.me, 0.0))
            self.promise(key, max(tenure, bill.tenure), to)

    def store(self, held: Held) -> None:
        self.put(self.bills, held, self.most)

    def put(self, where: dict[str, Held], held: Held, most: int) -> None:
        where.pop(held.bill.key, None)
        where[held.bill.key] = held
        if len(where) > most:
            oldest = where.pop(next(iter(where)))
            if where is self.bills and oldest.until > self.now:
                self.stats["travel.forgotten"] += 1
                self.forget(oldest.until)
                self.base = max(self.base, oldest.bill.move)
                self.sure.clear()

    def mend(self, held: Held) -> bool:
        """Take in a bill of another's, if it is newer than the one here."""
        bill, mine = held.bill, self.get(held.bill.key)
        if held.until <= self.now or (bill.homes and self.region not in bill.homes):
            return False
        if mine is not None and mine.bill.number >= bill.number:
            return False
        if mine is not None:
            self.stats["travel.mended"] += 1
        if bill.tenure > self.tenure(bill.key) and self.eras[-1].pair(bill.key, bill.homes)[0] == self.me:
            # Another has owned it since, whose tenure is not this one's to count on from.
            self.deposed.add(bill.key)
            self.sure.pop(bill.key, None)
        self.store(held)
        return True

    def sweep(self) -> None:
        """Drop what has ended, and tell the pair of the day what it hasn't confirmed under this era."""
        now = self.swept = self.now
        while len(self.eras) > 1 and self.eras[1].at <= now - self.settle:
            del self.eras[0]
        for key in [k for k, held in self.bills.items() if held.until <= now]:
            self.drop(key)
        for key in [k for k, held in self.hands.items() if held.until <= now]:
            del self.hands[key]
        self.sure = {key: era for key, era in self.sure.items() if key in self.bills}
        self.deposed &= self.bills.keys()
        for key, (_, _, at) in list(self.promised.items()):
            if now - at < PROMISE * self.settle:
                break
            del self.promised[key]
        self.left = {name: at for name, at in self.left.items() if now - at < 2 * self.settle}
        if self.dim_until > now and len(self.eras) > 1:
            self.tell_blind()  # there may be newcomers
        self.tell_on()
        self.words = {q: word for q, word in self.words.items() if word[1] > now}
        for message, _ in list(self.words.values()):
            owner, _ = self.eras[-1].pair(*named(message))
            if owner:
                self.post(owner, message)

    def tell_on(self) -> None:
        era = self.eras[-1]
        tells: dict[str, list[list[Any]]] = {}
        for held in [*self.bills.values(), *self.hands.values()]:
            if held.era == era.number:
                continue
            others = [n for n in era.pair(held.bill.key, held.bill.homes) if n not in ("", self.me)]
            if not others:
                held.era = era.number
            for name in others:
                tells.setdefault(name, []).append(line(held, self.now))
        for name, bills in tells.items():
            for first in range(0, len(bills), BATCH):
                self.post(name, {"w": "tell", "b": bills[first : first + BATCH]})

    def on_tell(self, sender: str, m: Message) -> None:
        """Answered with what is here then: of an older one told, the newer."""
        told = []
        for each in m["b"]:
            held = unline(each, self.now)
            self.mend(held)
            mine = self.get(held.bill.key)
            if mine is not None:
                same = mine.bill == held.bill
                told.append([mine.bill.number, held.bill.key if same else line(mine, self.now)])
        self.post(sender, {"w": "have", "b": told})

    def on_have(self, sender: str, m: Message) -> None:
        era = self.eras[-1]
        for number, what in m["b"]:
            if isinstance(what, list):
                newer = unline(what, self.now)
                key = newer.bill.key
                if self.me in era.pair(key, newer.bill.homes):
                    self.mend(newer)
                hand = self.hands.get(key)
                if hand is not None and hand.bill.number < newer.bill.number:
                    del self.hands[key]
            else:
                key = str(what)
            for where in (self.bills, self.hands):
                held = where.get(key)
                if held is None or held.bill.number > tuple(number):
                    continue
                pair = era.pair(key, held.bill.homes)
                if set(pair) - {"", self.me} <= set(held.confirmed(sender, era.number)):
                    held.era = era.number
                    if where is self.bills and self.me not in pair:
                        self.drop(key)

    # What goes out.

    def post(self, to: str, message: Message) -> None:
        if to == self.me:
            self.hear(to, message)
        else:
            self.out.append(Letter(to, message))

    def given(self) -> list[Out]:
        out, self.out = self.out, []
        return out


def decide(held: Bill | None, m: Message, base: int, tenure: int) -> tuple[str, Bill | None]:
    """What an act makes of a record: a word, and the new record if there is one. Rules 2 and 3."""
    if m["w"] == "take":
        blank = Bill(key=str(m["key"]), homes=tuple(m["homes"]), move=base, lasts=float(m["lasts"]))
        last = held or blank
        given = replace(last, tenure=tenure, move=last.move + 1, step=0, site=str(m["site"]), turn=0)
        return "given", given
    if m["w"] == "fate":
        if held is None or held.opened != m["opened"]:
            return "settled", None
        if not held.unsettled and held.fate is not Fate(m["fate"]):
            return "settled", None
        return "kept", replace(held, tenure=tenure, step=held.step + 1, fate=Fate(m["fate"]))
    word, bill = write(held, bill_of(m["b"]))
    if bill is None:
        return word, None
    return word, replace(bill, tenure=tenure)


def write(held: Bill | None, new: Bill) -> tuple[str, Bill | None]:
    """By the holder: another server, or an exchange that is about to be sent."""
    if held is None or (held.site, held.move) != (new.site, new.move) or new.turn <= held.turn:
        return "moved", None
    step = held.step + 1
    if not new.exchange:
        server = replace(held, service=new.service, life=new.life, place=new.place)
        return "kept", replace(server, step=step, turn=new.turn)
    if held.ran(new.exchange):
        return "ran", None
    if held.unsettled:
        return "unsettled", None
    past = (held.exchange, *held.past)[:PAST] if held.fate is Fate.ANSWERED else held.past
    return "kept", replace(new, step=step, past=past, homes=held.homes)


def named(m: Message) -> tuple[str, tuple[str, ...]]:
    if "key" in m:
        return str(m["key"]), tuple(m["homes"])
    bill = bill_of(m["b"])
    return bill.key, bill.homes


def bill_of(raw: object) -> Bill:
    """Raises ValueError."""
    return raw if isinstance(raw, Bill) else msgspec.convert(raw, Bill, strict=False)


def written(held: Held | None, now: float) -> Message:
    if held is None:
        return {}
    return {"b": held.bill, "l": round(held.until - now, 3), "a": round(now - held.since, 3)}


def read(m: Message, now: float) -> Held | None:
    if "b" not in m:
        return None
    bill = bill_of(m["b"])
    return Held(bill, now + float(m["l"]) - LEFT_OVER, now - float(m.get("a", 0.0)))


def line(held: Held, now: float) -> list[Any]:
    return [held.bill, round(held.until - now, 3), round(now - held.since, 3)]


def unline(each: list[Any], now: float) -> Held:
    return Held(bill_of(each[0]), now + float(each[1]) - LEFT_OVER, now - float(each[2]))
