"""The leader's side: who may act under which version until when, and when the next one may be active.

What is here is the leader's own and is lost with it. Rights that an earlier leader has given are unknown to a
new one; they end a whole right after its election at the latest, and until then it makes nothing active that
contradicts what they may be under. Times are monotonic seconds of the leader's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from latchspoke.revisions.machine import RulesMachine, State
from latchspoke.revisions.records import (
    Activate,
    Granted,
    Held,
    Holders,
    RulesAnswer,
    RulesQuestion,
    Switched,
    Told,
)

FORGET = 60.0  # s after its last right; a gateway not heard for so long is no longer told of
HISTORY = 200  # activations with how long what came before went on


@dataclass(slots=True)
class Holder:
    """A gateway's right on one document, as far as it can last."""

    version: int = -1
    until: float = 0.0
    have: tuple[int, ...] = ()
    slow_since: float | None = None  # since when it has lacked the newest version


@dataclass(slots=True)
class Seen:
    """A gateway as last heard."""

    at: float
    documents: dict[str, Holder] = field(default_factory=dict)


@dataclass(slots=True)
class Switch:
    """An activation as this leader saw it, and the rights under what came before that may go on."""

    name: str
    version: int
    at: float
    open: dict[str, float]  # by gateway: until when
    last: float  # until then at the latest somebody acted on what came before

    def lasted(self, now: float) -> float:
        """For how long (s) old and new were acted on side by side, at the most."""
        return max([self.last, *(min(until, now) for until in self.open.values())]) - self.at


class RulesDesk:
    """See the module. ``drift`` bounds how much faster or slower than true time any clock here runs."""

    def __init__(self, machine: RulesMachine, drift: float) -> None:
        self.machine, self.drift = machine, drift
        self.seen: dict[str, Seen] = {}
        self.pending: set[tuple[str, int]] = set()
        self.switches: list[Switch] = []
        self.active: dict[str, int] = {}
        self.terms: dict[
            str, tuple[float, float]
        ] = {}  # the length of a right, and since when it is seen here
        self.since = 0.0

    def lead(self, since: float) -> None:
        """This member leads; it was elected then."""
        self.since = since
        self.seen, self.pending, self.switches, self.terms = {}, set(), [], {}
        self.active = {name: state.active for name, state in self.machine.states.items()}

    def wait(self, length: float) -> float:
        """How long a right lasts by this clock, if it is as fast and the gateway's as slow as may be."""
        return length * (1 + self.drift) / (1 - self.drift)

    def answer(self, question: RulesQuestion, received: float, now: float) -> RulesAnswer:
        """By a majority's word, begun after ``received``, this member still leads."""
        seen = self.seen.setdefault(question.identity, Seen(now))
        seen.at = now
        granted = {
            name: self.grant(question, seen, name, state, received, now)
            for name, state in self.machine.states.items()
        }
        return RulesAnswer(question.session, question.number, granted)

    def grant(
        self, question: RulesQuestion, seen: Seen, name: str, state: State, received: float, now: float
    ) -> Granted:
        """Under the active version, to whoever has it at hand and is not long overdue with the next one."""
        told = question.documents.get(name, Told())
        holder = seen.documents.setdefault(name, Holder())
        holder.have = told.have
        self.note_active(name, state, now)
        lacks = state.head > state.active and state.head not in told.have
        holder.slow_since = (holder.slow_since if holder.slow_since is not None else now) if lacks else None
        slow = holder.slow_since is not None and now - holder.slow_since > state.terms.length
        may = state.active in told.have and not slow
        if may:
            end = received + self.wait(state.terms.length)
            if holder.version != state.active:
                self.note_taken_up(name, question.identity, now)
                holder.until = now
            holder.version, holder.until = state.active, max(holder.until, end)
        digests = {version: document.digest for version, document in state.documents.items()}
        return Granted(
            state.active if may else -1, state.terms.length, state.active, state.terms.lapse,
            state.terms.least, digests,
        )  # fmt: skip

    def due(self, now: float) -> list[Activate]:
        """Versions that may be active now."""
        for identity in [i for i, seen in self.seen.items() if now - seen.at > self.kept(seen, now)]:
            del self.seen[identity]
        found = []
        for name, state in sorted(self.machine.states.items()):
            self.note_active(name, state, now)
            if self.terms.get(name, (-1.0, 0.0))[0] != state.terms.length:
                self.terms[name] = state.terms.length, now
            waits = state.head > state.active and (name, state.head) not in self.pending
            if waits and self.may_follow(name, state, now):
                self.pending.add((name, state.head))
                found.append(Activate(name, state.head, self.longest(name, state, now)))
        return found

    def longest(self, name: str, state: State, now: float) -> float:
        """The longest right that can be out, once those by earlier terms have surely ended; 0 until then."""
        since = max(self.since, self.terms[name][1])
        return state.terms.length if now >= since + self.wait(state.longest) else 0.0

    @staticmethod
    def kept(seen: Seen, now: float) -> float:
        """How long (s) its silence is borne: while any right of it may last, and a while longer."""
        return max((holder.until for holder in seen.documents.values()), default=now) - now + FORGET

    def may_follow(self, name: str, state: State, now: float) -> bool:
        """Whether all who could act on what the head contradicts have it, or their right has surely ended."""
        revision = state.revision(state.head)
        if revision is None or not revision.barrier:
            return True
        if now < self.since + self.wait(state.longest):
            return False
        holders = (seen.documents.get(name) for seen in self.seen.values())
        return all(h is None or now >= h.until or state.head in h.have for h in holders)

    def applied(self, command: Activate, now: float) -> None:
        """It has been carried out, or has come to nothing."""
        self.pending.discard((command.name, command.version))
        if (state := self.machine.states.get(command.name)) is not None:
            self.note_active(command.name, state, now)

    # What is told of it.

    def note_active(self, name: str, state: State, now: float) -> None:
        """An activation, when this leader first sees it; rights under earlier ones may go on for a while."""
        if self.active.get(name) == state.active:
            return
        self.active[name] = state.active
        ends = {
            identity: holder.until for identity, seen in self.seen.items()
            if (holder := seen.documents.get(name)) is not None and holder.until > now
        }  # fmt: skip
        self.switches.append(Switch(name, state.active, now, ends, now))
        del self.switches[:-HISTORY]

    def note_taken_up(self, name: str, identity: str, now: float) -> None:
        """A gateway gets its first right under what is active: what it had before counts no more."""
        for switch in self.switches:
            until = switch.open.pop(identity, None) if switch.name == name else None
            if until is not None:
                switch.last = max(switch.last, min(until, now))

    def status(self, now: float) -> Holders:
        gateways = {
            identity: {name: self.held(name, holder, now) for name, holder in seen.documents.items()}
            for identity, seen in sorted(self.seen.items())
        }
        switches = (Switched(s.name, s.version, now - s.at, s.lasted(now)) for s in self.switches)
        return Holders(gateways, tuple(switches))

    def held(self, name: str, holder: Holder, now: float) -> Held:
        lacks = tuple(sorted(v for v in self.machine.states[name].documents if v not in holder.have))
        return Held(holder.version, holder.until - now, lacks)
