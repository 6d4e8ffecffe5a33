"""The leader's side: who lives, whose time has surely ended, and who comes next.

What is here is the leader's own and is lost with it. A new leader knows from the log who holds what; it
can't know until when, so it takes every tenure as renewed at the moment of its election, which no answer of
an older leader can have come after. Times are monotonic seconds of the leader's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from latchspoke.duties.machine import DutiesMachine
from latchspoke.duties.records import (
    Answer,
    Beat,
    Candidate,
    Command,
    DutyState,
    Grant,
    Held,
    Release,
    Why,
)

FRESH_PART = 0.5  # of a grant: who has not been heard for so long gets no duty
FORGET = 20.0  # grants; candidates not heard for so long are forgotten
SHY_MOST = 600.0  # s; who lost a duty by silence again and again is passed over for so long at most
LENGTH = 10.0  # s; where there is no duty at all


@dataclass(slots=True)
class Seen:
    """A candidate as last heard."""

    who: Candidate
    at: float


@dataclass(slots=True)
class Shy:
    """A name that has lost duties by its silence."""

    until: float
    times: int


class Desk:
    """See the module. ``drift`` bounds how much faster or slower than true time any clock here runs."""

    def __init__(self, machine: DutiesMachine, drift: float) -> None:
        self.machine, self.drift = machine, drift
        self.seen: dict[str, Seen] = {}
        self.ends: dict[str, float] = {}  # by duty: from then on its tenure has surely ended
        self.pending: dict[str, Command] = {}  # proposed, and not yet applied
        self.shy: dict[str, Shy] = {}
        self.since = 0.0

    def lead(self, since: float) -> None:
        """This member leads; it was elected then."""
        self.since = since
        self.seen, self.ends, self.pending = {}, {}, {}

    def wait(self, length: float) -> float:
        """How long a grant lasts by this clock, if it is as fast and the holder's as slow as may be."""
        return length * (1 + self.drift) / (1 - self.drift)

    def end(self, duty: str, state: DutyState) -> float:
        """From then on its tenure has surely ended."""
        assert state.tenure is not None
        return self.ends.get(duty, self.since + self.wait(state.tenure.longest))

    def heard(self, beat: Beat, now: float) -> list[Command]:
        """A candidate lives. What it says it has stopped is to be proposed at once."""
        self.seen[beat.who.identity] = Seen(beat.who, now)
        releases: list[Command] = []
        for duty, token in beat.released.items():
            state = self.machine.duties.get(duty)
            if state is None or not state.held or state.token != token or duty in self.pending:
                continue
            if state.tenure is not None and state.tenure.holder == beat.who.identity:
                releases.append(self.propose(Release(duty, token)))
        return releases

    def answer(self, beat: Beat, received: float, now: float) -> Answer:
        """By a majority's word, begun after ``received``, this member still leads."""
        who, held = beat.who, []
        for duty, state in self.machine.duties.items():
            tenure = state.tenure
            if tenure is None or not state.held or tenure.holder != who.identity:
                continue
            if self.followed(duty):
                # Named all the same: not to be named says that the end of it is committed.
                held.append(Held(duty, tenure.token, 0.0, give_up=True))
                continue
            length = state.rule.length if state.rule is not None else 0.0
            if beat.released.get(duty) != state.token:
                end = received + self.wait(tenure.longest)
                self.ends[duty] = max(end, self.end(duty, state))
            held.append(Held(duty, tenure.token, length, self.unwanted(duty, state, who, now)))
        rules = [(duty, s.rule) for duty, s in self.machine.duties.items() if s.rule is not None]
        length = min((rule.length for duty, rule in rules if who.fits(duty, rule)), default=LENGTH)
        return Answer(who.identity, beat.number, tuple(held), length)

    def followed(self, duty: str) -> bool:
        """Whether a successor has been proposed: from then on the tenure before is not renewed."""
        return isinstance(self.pending.get(duty), Grant | Release)

    def unwanted(self, duty: str, state: DutyState, who: Candidate, now: float) -> bool:
        """Whether its holder is to hand it over."""
        rule = state.rule
        if rule is None or not who.fits(duty, rule):
            return True
        if state.wanted is None or state.wanted == who.name:
            return False
        return any(
            seen.who.name == state.wanted if state.wanted else seen.who.identity != who.identity
            for seen in self.fresh(duty, state, now)
        )

    def due(self, now: float) -> list[Command]:
        """What is to be proposed now: successors, and ends that nobody follows."""
        commands: list[Command] = []
        self.forget(now)
        for duty, state in sorted(self.machine.duties.items()):
            if duty in self.pending:
                continue
            over = state.held and now >= self.end(duty, state)
            if over:
                self.note_lapse(state, now)
            if not over and (state.held or state.rule is None):
                continue
            to = self.choose(duty, state, now)
            if to is not None:
                commands.append(self.propose(Grant(duty, to.identity, state.token, over)))
            elif over:
                commands.append(self.propose(Release(duty, state.token, Why.ENDED)))
        return commands

    def propose(self, command: Command) -> Command:
        self.pending[command.duty] = command
        return command

    def applied(self, command: Command, now: float) -> None:
        """It has been carried out, or has come to nothing."""
        if self.pending.get(command.duty) == command:
            del self.pending[command.duty]
        state = self.machine.duties.get(command.duty)
        if isinstance(command, Grant) and state is not None and state.held and state.tenure is not None:
            self.ends[command.duty] = now + self.wait(state.tenure.longest)

    def fresh(self, duty: str, state: DutyState, now: float) -> list[Seen]:
        """Candidates that live and may hold it."""
        rule = state.rule
        if rule is None:
            return []
        return [
            seen for seen in self.seen.values()
            if now - seen.at < FRESH_PART * rule.length and seen.who.fits(duty, rule)
        ]  # fmt: skip

    def choose(self, duty: str, state: DutyState, now: float) -> Candidate | None:
        """Whom an operator wants; else who has fewest, those that were lost of late only if need be."""
        candidates = [seen.who for seen in self.fresh(duty, state, now)]
        last = state.tenure.holder if state.tenure is not None else ""
        loads = self.loads()

        def order(who: Candidate) -> tuple[bool, bool, bool, int, bytes]:
            shy = self.shy.get(who.name)
            lost = shy is not None and now < shy.until
            moved = state.wanted == "" and who.identity == last
            return who.name != state.wanted, moved, lost, loads.get(who.identity, 0), place(duty, who)

        return min(candidates, key=order, default=None)

    def loads(self) -> dict[str, int]:
        """How many duties each holds, or is about to."""
        loads: dict[str, int] = {}
        for duty, state in self.machine.duties.items():
            pending = self.pending.get(duty)
            holder = pending.holder if isinstance(pending, Grant) else ""
            if not holder and state.held and state.tenure is not None:
                holder = state.tenure.holder
            loads[holder] = loads.get(holder, 0) + 1
        return loads

    def note_lapse(self, state: DutyState, now: float) -> None:
        assert state.tenure is not None
        name = state.tenure.holder.partition("#")[0]
        shy = self.shy.setdefault(name, Shy(now, 0))
        if now >= shy.until:
            shy.times += 1
            shy.until = now + min(state.tenure.longest * 2**shy.times, SHY_MOST)

    def forget(self, now: float) -> None:
        """Candidates long silent, and lapses that lie far back."""
        for identity in [i for i, seen in self.seen.items() if now - seen.at > FORGET * LENGTH]:
            del self.seen[identity]
        for name in [n for n, shy in self.shy.items() if now > shy.until + SHY_MOST]:
            del self.shy[name]


def place(duty: str, who: Candidate) -> bytes:
    """A place in the line for this duty, other for each duty, so that no candidate is first for all."""
    return blake2b(f"{duty}\n{who.identity}".encode(), digest_size=8).digest()
