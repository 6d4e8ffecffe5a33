"""Who is alive: a state machine after SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar et al. 2017).

Nothing here reads a clock or a socket: times (s, steady) and messages are handed in, ``take`` hands out.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from random import Random
from typing import Any, ClassVar, Literal
from zlib import crc32

import msgspec

from latchspoke.membership import words
from latchspoke.membership.timing import Timing
from latchspoke.membership.words import Address, Entry, Member, Message

GATHER = 0.05  # s in which changes of others are gathered before they are passed on
SAMPLED = 64  # members from which on some are drawn by name, rather than from a list of all that fit
JOIN_MOST = 24  # members that one who knows of nobody is told of by seeds that don't tell it of all
TOLD_ALL = 0.5  # s after which it is told of all again
TRIES = 32  # draws for each that is wanted; regions may be many

__all__ = ["Member", "Membership", "News", "Output", "Timing"]

Kind = Literal["joined", "changed", "suspected", "cleared", "gone"]


class News(msgspec.Struct, frozen=True):
    """A new life under a known name is told as the old one ``gone`` and the new one ``joined``."""

    kind: Kind
    member: Member


class Output(msgspec.Struct):
    """What is to be sent, and what is news, since the last ``take``."""

    messages: list[tuple[Address, dict[str, Any]]] = msgspec.field(default_factory=list)
    news: list[News] = msgspec.field(default_factory=list)


class Suspicion(msgspec.Struct):
    incarnation: int
    end: float
    deadline: float  # half-way first: the suspect is told, lest its refutation was lost


class Probe(msgspec.Struct):
    name: str
    deadline: float
    helpers: int = -1  # asked; -1: none yet
    nacks: int = 0


class Relay(msgspec.Struct):
    """A probe on another's behalf."""

    name: str
    asker: Address
    number: int
    deadline: float


class Rumour(msgspec.Struct):
    """An update that is still to be carried."""

    said: list[Any]
    size: int
    left: int


class Membership:
    """One process's view of all.

    ``alive`` holds this process and the suspects too; ``gone`` the removed, each with the time of removal.
    Raises ValueError if the own name and meta don't fit on a datagram.
    """

    def __init__(
        self, me: Member, seeds: Sequence[Address], timing: Timing, draw: Random, now: float
    ) -> None:
        self.me = me
        self.timing = timing
        self.draw = draw
        self.alive: dict[str, Member] = {me.name: me}
        self.suspects: dict[str, Suspicion] = {}
        self.gone: dict[str, tuple[Member, float]] = {}
        self.health = 0  # 0 to health_most: how much this process distrusts itself
        self.dropped = 0  # messages that were none of ours
        self.left = False
        self.output = Output()
        self.former: dict[tuple[str, str], float] = {}  # lives that are over: (name, life) -> since
        self.names: list[str] = []  # of others, to draw from; some may be gone
        self.listed: set[str] = set()  # the same
        self.changes: dict[str, list[Any]] = {}  # others', to be passed on together
        self.forwarded_at = -inf
        self.order: list[str] = []  # whom to probe, from the end
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.rumours: dict[str, Rumour] = {}
        self.owed: list[list[Any]] = []  # what the sender of the message at hand must hear
        self.asked: dict[Address, float] = {}
        self.number = 0
        self.view: int | None = None
        self.parts = ""  # of the view, as ``words.parts`` has it; empty when it has changed
        self.view_since = now
        # Until then whole views are asked for repeatedly.
        self.settled = now + timing.settle
        self.next_probe = now
        self.next_seek = now
        self.asks = 0  # of a seed, while not settled
        self.next_compare = now
        self.next_revisit = now + timing.revisit
        self.seeds: list[Address] = []
        self.listed_seeds: list[Address] = []  # with this process, if it is one
        self.told_all: dict[tuple[str, str], float] = {}  # who was told of all members lately, by life
        self.reseed(seeds)
        self._rename(me)

    # What comes in

    def heard(self, message: dict[str, Any], source: Address, now: float) -> None:
        """A message; one that is none of ours is counted and dropped."""
        try:
            said = words.read(message)
        except ValueError:
            self.dropped += 1
            return
        name, life, _ = said.f
        if self.left or name == self.me.name or (name, life) in self.former:
            return
        self._allow(now)
        self.owed = []
        for e in said.u:
            own = e.name == name and e.life == life and (e.host, e.port) == source
            self._learn(e, own, said.k == words.STATE, source, now)
        if said.k not in (words.NEWS, words.STATE, words.NACK):
            self._greet(said, source, now)
        handler = self.HANDLERS.get(said.k)
        if handler:
            handler(self, said, source, now)
        if said.d is not None:
            self._compare(said.d, source, now)

    def tick(self, now: float) -> None:
        """What is due."""
        if self.left:
            return
        self._allow(now)
        for number, relay in list(self.relays.items()):
            if relay.deadline <= now:
                del self.relays[number]
                self._say(relay.asker, words.NACK, relay.number)
        for number, probe in list(self.probes.items()):
            if probe.deadline <= now:
                self._overdue(number, probe, now)
        for name, suspicion in list(self.suspects.items()):
            if suspicion.end <= now:
                self._remove(self.alive[name], now)
            elif suspicion.deadline <= now:
                suspicion.deadline = suspicion.end
                suspect = self.alive[name]
                said = words.entry(words.SUSPECT, suspect, suspicion.incarnation)
                self._say(suspect.address, words.NEWS, forced=[said])
        if self.changes and now >= self.forwarded_at + GATHER:
            self._forward_changes(now)
        if self.next_probe <= now:
            self.next_probe = max(self.next_probe + self.timing.period, now + self.timing.period / 2)
            self._forget(now)
            self._probe(now)
            self._revisit(now)
            self._seek(now)
        elif self.next_seek <= now and self._early(now):
            self._seek(now)

    def due(self) -> float:
        """When ``tick`` is wanted next."""
        if self.left:
            return inf
        soonest = self.next_probe
        if self.changes:
            soonest = min(soonest, self.forwarded_at + GATHER)
        if self._early(self.next_seek):
            soonest = min(soonest, self.next_seek)
        for waiting in (self.probes, self.relays, self.suspects):
            for one in waiting.values():
                soonest = min(soonest, one.deadline)
        return soonest

    def tell(self, meta: dict[str, Any], now: float) -> None:
        """The own meta changed: a few hear of it at once. Raises ValueError if it doesn't fit."""
        if meta != self.me.meta and not self.left:
            self._rename(msgspec.structs.replace(self.me, meta=meta, incarnation=self.me.incarnation + 1))
            self._hurry(words.entry(words.ALIVE, self.me), self.timing.spread)

    def reseed(self, seeds: Sequence[Address]) -> None:
        """Other addresses to ask, from the next period on."""
        self.listed_seeds = list(dict.fromkeys((h, p) for h, p in seeds))
        self.seeds = [s for s in dict.fromkeys((h, p) for h, p in seeds) if s != self.me.address]

    def leave(self, now: float) -> None:
        """The orderly end: a few hear of it, and nothing is said after it."""
        if not self.left:
            self.left = True
            self.rumours.clear()
            self._hurry(words.entry(words.LEFT, self.me), self.timing.farewell)

    def take(self) -> Output:
        """What to send and what is new, since the last call."""
        output, self.output = self.output, Output()
        return output

    # What is said of processes

    def _learn(self, e: Entry, own: bool, whole: bool, source: Address, now: float) -> None:
        """One update. ``own``: by the process itself, from its address; ``whole``: part of a whole view."""
        if e.name == self.me.name:
            self._learn_of_me(e, source)
        elif (e.name, e.life) in self.former:
            return
        elif e.state == words.ALIVE:
            self._learn_alive(e.member(), own, whole, now)
        else:
            known = self.alive.get(e.name)
            if known is None or known.life != e.life:
                return
            if e.state == words.LEFT:
                self._remove(known, now, left=True)
            elif e.incarnation >= known.incarnation:
                # Another's removal is no more than a suspicion: after a cut the two sides hold each other for
                # gone, and must not talk their own into it.
                suspicion = self.suspects.get(e.name)
                if suspicion is None:
                    self._suspect(known, e.incarnation, now)
                else:
                    suspicion.incarnation = max(suspicion.incarnation, e.incarnation)

    def _learn_alive(self, member: Member, own: bool, whole: bool, now: float) -> None:
        name = member.name
        old = self.alive.get(name)
        past = None if old else self.gone.get(name)
        last = old or (past[0] if past else None)
        if last and member.life == last.life:
            if member.incarnation <= last.incarnation:
                if whole and (past or member.incarnation < last.incarnation):
                    self.owed.append(words.entry(words.GONE if past else words.ALIVE, last))
                return
        elif last:
            if member.incarnation <= last.incarnation:
                self.owed.append(words.entry(words.GONE, last))  # it will go above that
                if not own:
                    return
            self.former[name, last.life] = now
            if old:
                self._drop(old)
                old = None
        self.gone.pop(name, None)
        self.alive[name] = member
        self._list(name)
        self._changed(now)
        said = words.entry(words.ALIVE, member)
        if old is None:
            self.order.insert(self.draw.randint(0, len(self.order)), name)
            self._new("joined", member)
            return
        suspicion = self.suspects.get(name)
        if suspicion and member.incarnation > suspicion.incarnation:
            del self.suspects[name]
            self._new("cleared", member)
        changed = (old.address, old.meta) != (member.address, member.meta)
        if changed:
            self._new("changed", member)
        if suspicion:
            self._rumour(said)
            self._forward([said])
        elif changed:
            self._forward_change(said, now)

    def _learn_of_me(self, e: Entry, source: Address) -> None:
        """Refutes what isn't so: with an incarnation above it, at once to the one who said it."""
        mine = e.life == self.me.life
        if mine and e.state in (words.ALIVE, words.LEFT):
            return
        old = e.incarnation < self.me.incarnation
        if not old:
            if mine:
                self._unwell(1)
            self._rename(msgspec.structs.replace(self.me, incarnation=e.incarnation + 1))
        said = words.entry(words.ALIVE, self.me)
        self._say(source, words.NEWS, forced=[said])
        if not old:
            self._hurry(said, self.timing.spread)

    def _suspect(self, member: Member, incarnation: int, now: float) -> None:
        wait = self.timing.suspicion_of(len(self.alive)) * self.timing.patience(self.health)
        self.suspects[member.name] = Suspicion(incarnation, now + wait, now + wait / 2)
        said = words.entry(words.SUSPECT, member, incarnation)
        self._rumour(said)
        self._new("suspected", member)
        if len(self.suspects) <= self.timing.urgent:
            self._forward([said])

    def _remove(self, member: Member, now: float, left: bool = False) -> None:
        suspicion = self.suspects.get(member.name)
        if suspicion:
            member = msgspec.structs.replace(
                member, incarnation=max(member.incarnation, suspicion.incarnation)
            )
        self._drop(member)
        self.gone[member.name] = (member, now)
        self._changed(now)
        said = words.entry(words.LEFT if left else words.GONE, member)
        self._rumour(said)
        if left:
            self.former[member.name, member.life] = now
            self._forward([said])

    def _drop(self, member: Member) -> None:
        self.alive.pop(member.name, None)
        self.suspects.pop(member.name, None)
        if member.name in self.order:
            self.order.remove(member.name)
        self._new("gone", member)

    # Answers

    def _greet(self, said: Message, source: Address, now: float) -> None:
        """What the sender should know about how it is seen here; asks back if it isn't known."""
        name, life, incarnation = said.f
        known = self.alive.get(name)
        past = self.gone.get(name)
        last = known or (past[0] if past else None)
        if last is None or last.life != life or (past and incarnation > last.incarnation):
            self._join(source, now)
        elif past:
            self.owed.append(words.entry(words.GONE, last))
        elif name in self.suspects:
            self.owed.append(words.entry(words.SUSPECT, last, self.suspects[name].incarnation))

    def _on_probe(self, said: Message, source: Address, now: float) -> None:
        if said.t[0] in ("", self.me.name):
            self._say(source, words.ACK, said.n, forced=self.owed, parts=said.d not in (None, self._digest()))

    def _on_ack(self, said: Message, source: Address, now: float) -> None:
        self._pay(source)
        self._even(said, source, back=True)
        name = said.t[0] or said.f[0]
        probe = self.probes.get(said.n)
        relay = self.relays.get(said.n)
        if probe and probe.name == name:
            del self.probes[said.n]
            self.health = max(0, self.health - 1)
        elif relay and relay.name == name:
            del self.relays[said.n]
            self._say(relay.asker, words.ACK, relay.number, about=said.t if said.t[0] else (name, "", 0))

    def _on_ask(self, said: Message, source: Address, now: float) -> None:
        self._pay(source)
        name, host, port = said.t
        if not (name and host and port) or name == self.me.name:
            return
        self.number += 1
        # Shorter than the asker's wait, for the nack to reach it in time.
        self.relays[self.number] = Relay(name, source, said.n, now + 0.6 * self.timing.indirect)
        self._say((host, port), words.PROBE, self.number, about=(name, "", 0))

    def _on_news(self, said: Message, source: Address, now: float) -> None:
        self._even(said, source, back=False)

    def _even(self, said: Message, source: Address, back: bool) -> None:
        """Tells one with another view of the living in parts of it that differ, as many as a datagram takes.

        So what is learned of the living needs no carrying: views that are the same cost their digest only.
        ``back``: it shall answer with its own.
        """
        if not said.v or said.v == self._parts():
            return
        odd = words.odd(said.v, self._parts())
        here = [m for m in self.alive.values() if words.part(m.name) in odd]
        self.draw.shuffle(here)
        told, room = [], self.timing.room
        for entry in (words.entry(words.ALIVE, m) for m in here[: self.timing.updates]):
            room -= words.size(entry)
            if room < 0:
                break
            told.append(entry)
        if told or back:
            self._say(source, words.NEWS, forced=told, parts=back)

    def _on_nack(self, said: Message, source: Address, now: float) -> None:
        probe = self.probes.get(said.n)
        if probe:
            probe.nacks += 1

    def _on_join(self, said: Message, source: Address, now: float) -> None:
        """The parts of the view that differ, in as many datagrams as it takes, and the own entry always."""
        whole = [words.entry(words.ALIVE, self.me)]
        if said.d != self._digest():
            odd = words.odd(said.v, self._parts()) or set(range(words.PARTS))
            here = [m for m in self.alive.values() if m is not self.me and words.part(m.name) in odd]
            past = [m for m, _ in self.gone.values() if words.part(m.name) in odd]
            if not said.v and len(here) > JOIN_MOST and not self._tells_all(said, now):
                here, past = self.draw.sample(here, JOIN_MOST), []
            whole += [words.entry(words.ALIVE, m) for m in here]
            whole += [words.entry(words.GONE, m) for m in past]
        self._say(source, words.STATE, forced=self.owed + whole)

    def _tells_all(self, said: Message, now: float) -> bool:
        """Whether one who knows of nobody, and asks all seeds often, is told of all members by this process.

        Of several seeds one does, by the asker's name, and not again at once: a start of hundreds would else
        keep the seeds busy with whole views for seconds. The others tell of some, who may be asked as well.
        """
        name, life, _ = said.f
        if self.me.address in self.listed_seeds:
            chosen = self.listed_seeds[crc32(name.encode()) % len(self.listed_seeds)]
            if chosen != self.me.address:
                return False
        self.told_all = {key: at for key, at in self.told_all.items() if now - at < TOLD_ALL}
        again = (name, life) in self.told_all
        self.told_all.setdefault((name, life), now)
        return not again

    def _on_state(self, said: Message, source: Address, now: float) -> None:
        self._pay(source)

    def _pay(self, source: Address) -> None:
        if self.owed:
            self._say(source, words.NEWS, forced=self.owed)

    def _compare(self, theirs: int, source: Address, now: float) -> None:
        """Views that still differ a while after the last change of one's own are exchanged whole."""
        if theirs == self._digest() or now < self.next_compare:
            return
        if now - self.view_since > 2 * self.timing.period:
            wait = self.timing.compare * max(1.0, len(self.alive) / 16)
            self.next_compare = now + wait * self.draw.uniform(1, 1.5)
            self._join(source, now)

    # What is due

    def _overdue(self, number: int, probe: Probe, now: float) -> None:
        target = self.alive.get(probe.name)
        if target is None:
            del self.probes[number]
        elif probe.helpers < 0:
            helpers = self._some(self.timing.helpers, but=probe.name)
            for helper in helpers:
                self._say(helper.address, words.ASK, number, about=(target.name, target.host, target.port))
            probe.helpers = len(helpers)
            probe.deadline = now + self.timing.indirect * self.timing.patience(self.health)
        else:
            del self.probes[number]
            if probe.helpers and not probe.nacks:
                self._unwell(1)  # nobody answers: the trouble may be here
            if probe.name not in self.suspects:
                self._suspect(target, target.incarnation, now)
                self._say(target.address, words.NEWS, forced=[words.entry(words.SUSPECT, target)])

    def _probe(self, now: float) -> None:
        """The next in turn; everyone once in a round, in an order drawn anew."""
        if not self.order:
            self.order = [n for n in self.alive if n != self.me.name]
            self.draw.shuffle(self.order)
        if self.order:
            target = self.alive[self.order.pop()]
            suspicion = self.suspects.get(target.name)
            said = [words.entry(words.SUSPECT, target, suspicion.incarnation)] if suspicion else []
            self.number += 1
            wait = self.timing.direct * self.timing.patience(self.health)
            self.probes[self.number] = Probe(target.name, now + wait)
            self._say(target.address, words.PROBE, self.number, forced=said, about=(target.name, "", 0))

    def _revisit(self, now: float) -> None:
        """One of the removed: it may have been behind a cut. It refutes what the probe says."""
        lost = [m for m, _ in self.gone.values() if (m.name, m.life) not in self.former]
        if lost and now >= self.next_revisit:
            self.next_revisit = now + self.timing.revisit * self.draw.uniform(0.75, 1.25)
            target = self.draw.choice(lost)
            said = words.entry(words.GONE, target)
            self._say(target.address, words.PROBE, forced=[said], about=(target.name, "", 0))

    def _early(self, now: float) -> bool:
        """Whether this process has begun and still asks seeds often: while alone, and once after that."""
        return now < self.settled and bool(self.seeds) and (len(self.alive) == 1 or not self.asks)

    def _seek(self, now: float) -> None:
        """Seeds that aren't known alive: all while one is alone or none is known, else one of them."""
        if now < self.next_seek:
            return
        if self._early(now) and len(self.alive) == 1:
            self.next_seek = now + self.timing.early
            for seed in self.seeds:
                self._join(seed, now, self.timing.early / 2)
            return
        here = {m.address for m in self.alive.values()}
        missing = [s for s in self.seeds if s not in here]
        if now < self.settled and self.seeds and len(self.alive) > 1:
            self.next_seek = now + self.timing.period * 2**self.asks
            self.asks += 1
            # What all who began at once have told it since the first answer.
            self._join(self.draw.choice(self.seeds), now, self.timing.early / 2)
            return
        if not missing:
            return
        alone = len(self.alive) < 3
        self.next_seek = now + (self.timing.seek if alone else self.timing.reseek) * self.draw.uniform(
            0.8, 1.2
        )
        for seed in missing if alone or len(missing) == len(self.seeds) else [self.draw.choice(missing)]:
            self._join(seed, now)

    def _forget(self, now: float) -> None:
        edge = now - self.timing.keep
        if self.gone:
            self.gone = {n: (m, since) for n, (m, since) in self.gone.items() if since > edge}
        if self.former:
            self.former = {key: since for key, since in self.former.items() if since > edge}
        if self.asked:
            self.asked = {a: at for a, at in self.asked.items() if at > now - self.timing.seek}

    def _allow(self, now: float) -> None:
        """Time in which this process wasn't running is held against nobody."""
        lost = now - self.due()
        if lost > self.timing.late:
            self._unwell(1)
            self.next_probe += lost
            for waiting in (self.probes, self.relays, self.suspects):
                for one in waiting.values():
                    one.deadline += lost
            for suspicion in self.suspects.values():
                suspicion.end += lost

    # Means

    def _unwell(self, much: int) -> None:
        self.health = min(self.timing.health_most, self.health + much)

    def _rename(self, me: Member) -> None:
        said = words.entry(words.ALIVE, me)
        if words.size(said) > self.timing.room:
            raise ValueError(f"{me.name}: its meta doesn't fit on a datagram")
        self.me = self.alive[me.name] = me
        self.view, self.parts = None, ""
        self._rumour(said)

    def _changed(self, now: float) -> None:
        self.view, self.parts = None, ""
        self.view_since = now

    def _digest(self) -> int:
        if self.view is None:
            self.view = words.digest(self.alive.values())
        return self.view

    def _parts(self) -> str:
        if not self.parts:
            self.parts = words.parts(self.alive.values())
        return self.parts

    def _new(self, kind: Kind, member: Member) -> None:
        self.output.news.append(News(kind, member))

    def _rumour(self, said: list[Any]) -> None:
        self.rumours[said[1]] = Rumour(said, words.size(said), self.timing.times(len(self.alive)))

    def _some(self, count: int, but: str = "", region: object = None) -> list[Member]:
        """Of those that aren't suspected; ``region``: of that one only, if it isn't None."""
        if len(self.names) >= SAMPLED:
            sampled = self._sample(count, but, region)
            if len(sampled) == count:
                return sampled
        others = [m for n, m in self.alive.items() if n not in (self.me.name, but) and n not in self.suspects]
        if region is not None:
            others = [m for m in others if m.meta.get("region") == region]
        return self.draw.sample(others, min(count, len(others)))

    def _list(self, name: str) -> None:
        """Put it among those that are drawn from."""
        if name not in self.listed:
            self.listed.add(name)
            self.names.append(name)

    def _sample(self, count: int, but: str, region: object) -> list[Member]:
        """As ``_some``, by drawing names until enough of them fit: no work that grows with the members.

        Fewer where few fit.
        """
        found: dict[str, Member] = {}
        for _ in range(count * TRIES):
            if len(found) == count or not self.names:
                break
            place = int(self.draw.random() * len(self.names))
            name = self.names[place]
            member = self.alive.get(name)
            if member is None:
                # It is gone: the last name takes its place.
                self.names[place] = self.names[-1]
                self.names.pop()
                self.listed.discard(name)
                continue
            if name in (self.me.name, but) or name in self.suspects:
                continue
            if region is None or member.meta.get("region") == region:
                found[name] = member
        return list(found.values())

    def _hurry(self, said: list[Any], count: int) -> None:
        for member in self._some(count, but=said[1]):
            self._say(member.address, words.NEWS, forced=[said])

    def _forward_change(self, said: list[Any], now: float) -> None:
        """At once after a pause; changes that come fast, as after a start of all, are passed on together."""
        self.changes[said[1]] = said
        if now >= self.forwarded_at + GATHER:
            self._forward_changes(now)

    def _forward_changes(self, now: float) -> None:
        changes, self.changes = list(self.changes.values()), {}
        self.forwarded_at = now
        self._forward(changes)

    def _forward(self, told: list[list[Any]]) -> None:
        """Others' changes, in a hurry: mostly within the region, as bytes between regions are dear."""
        but = told[0][1] if len(told) == 1 else ""
        far = sum(self.draw.random() < self.timing.far for _ in range(self.timing.forward))
        region = self.me.meta.get("region")
        near = self._some(self.timing.forward - far, but=but, region=region)
        for member in [*near, *self._some(far, but=but)]:
            self._say(member.address, words.NEWS, forced=told)

    def _join(self, to: Address, now: float, pause: float = inf) -> None:
        """Asks for a whole view, not too often of the same."""
        if now - self.asked.get(to, -inf) >= min(self.timing.period, pause):
            self.asked[to] = now
            others = len(self.alive) > 1
            self._say(to, words.JOIN, forced=[words.entry(words.ALIVE, self.me)], parts=others)

    def _say(
        self,
        to: Address,
        kind: str,
        number: int = 0,
        forced: Sequence[list[Any]] = (),
        about: tuple[str, str, int] = ("", "", 0),
        parts: bool = False,
    ) -> None:
        """One message with ``forced`` and what room there is for rumours; several if that's too much."""
        part: list[list[Any]] = []
        room = self.timing.room
        for said in forced:
            need = words.size(said)
            if part and need > room:
                self._put(to, kind, number, about, part)
                part, room = [], self.timing.room
            part.append(said)
            room -= need
        there = {said[1] for said in forced}
        for name in sorted(self.rumours, key=lambda n: -self.rumours[n].left):
            rumour = self.rumours[name]
            if len(part) >= self.timing.updates:
                break
            if rumour.size > room or name in there:
                continue
            part.append(rumour.said)
            room -= rumour.size
            rumour.left -= 1
            if rumour.left <= 0:
                del self.rumours[name]
        self._put(to, kind, number, about, part, parts)

    def _put(
        self,
        to: Address,
        kind: str,
        number: int,
        about: tuple[str, str, int],
        part: list[list[Any]],
        parts: bool = False,
    ) -> None:
        message: dict[str, Any] = {"k": kind, "f": [self.me.name, self.me.life, self.me.incarnation]}
        if number:
            message["n"] = number
        if about[0]:
            message["t"] = list(about)
        if kind in (words.PROBE, words.ACK, words.JOIN):
            message["d"] = self._digest()
        if parts:
            message["v"] = self._parts()
        if part:
            message["u"] = part
        self.output.messages.append((to, message))

    HANDLERS: ClassVar[dict[str, Callable[[Membership, Message, Address, float], None]]] = {
        words.PROBE: _on_probe,
        words.ACK: _on_ack,
        words.ASK: _on_ask,
        words.NACK: _on_nack,
        words.JOIN: _on_join,
        words.STATE: _on_state,
        words.NEWS: _on_news,
    }
