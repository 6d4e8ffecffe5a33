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
    Candidate,
    Command,
    DutyState,
    Grant,
    Heartbeat,
    HeartbeatReply,
    HeldDuty,
    Release,
    TenureEnd,
)

FRESH_FRACTION = 0.5  # of a grant: who has not been heard for so long gets no duty
FORGET_AFTER_GRANTS = 20.0  # grants; candidates not heard for so long are forgotten
MAX_AVOIDANCE_S = 600.0  # s; who lost a duty by silence again and again is passed over for so long at most
DEFAULT_LENGTH_S = 10.0  # s; where there is no duty at all


@dataclass(slots=True)
class CandidateStatus:
    """A candidate as last heard."""

    candidate: Candidate
    heard_at: float


@dataclass(slots=True)
class Avoidance:
    """A name that has lost duties by its silence."""

    until: float
    lapses: int


class DutyCoordinator:
    """See the module. ``drift`` bounds how much faster or slower than true time any clock here runs."""

    def __init__(self, machine: DutiesMachine, drift: float) -> None:
        self.machine, self.drift = machine, drift
        self.candidates: dict[str, CandidateStatus] = {}
        self.expiries: dict[str, float] = {}  # by duty: from then on its tenure has surely ended
        self.pending: dict[str, Command] = {}  # proposed, and not yet applied
        self.avoided: dict[str, Avoidance] = {}
        self.elected_at = 0.0

    def become_leader(self, elected_at: float) -> None:
        """This member leads; it was elected then."""
        self.elected_at = elected_at
        self.candidates, self.expiries, self.pending = {}, {}, {}

    def max_local_duration(self, length: float) -> float:
        """How long a grant lasts by this clock, if it is as fast and the holder's as slow as may be."""
        return length * (1 + self.drift) / (1 - self.drift)

    def expiry(self, duty: str, state: DutyState) -> float:
        """From then on its tenure has surely ended."""
        assert state.tenure is not None
        return self.expiries.get(duty, self.elected_at + self.max_local_duration(state.tenure.longest))

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Command]:
        """A candidate lives. What it says it has stopped is to be proposed at once."""
        self.candidates[heartbeat.who.identity] = CandidateStatus(heartbeat.who, now)
        releases: list[Command] = []
        for duty, token in heartbeat.released.items():
            state = self.machine.duties.get(duty)
            if state is None or not state.held or state.token != token or duty in self.pending:
                continue
            if state.tenure is not None and state.tenure.holder == heartbeat.who.identity:
                releases.append(self.propose(Release(duty, token)))
        return releases

    def reply(self, heartbeat: Heartbeat, received: float, now: float) -> HeartbeatReply:
        """By a majority's word, begun after ``received``, this member still leads."""
        candidate, held = heartbeat.who, []
        for duty, state in self.machine.duties.items():
            tenure = state.tenure
            if tenure is None or not state.held or tenure.holder != candidate.identity:
                continue
            if self.has_successor(duty):
                # Named all the same: not to be named says that the end of it is committed.
                held.append(HeldDuty(duty, tenure.token, 0.0, give_up=True))
                continue
            length = state.rule.length if state.rule is not None else 0.0
            if heartbeat.released.get(duty) != state.token:
                expiry = received + self.max_local_duration(tenure.longest)
                self.expiries[duty] = max(expiry, self.expiry(duty, state))
            held.append(HeldDuty(duty, tenure.token, length, self.must_give_up(duty, state, candidate, now)))
        rules = [(duty, state.rule) for duty, state in self.machine.duties.items() if state.rule is not None]
        length = min(
            (rule.length for duty, rule in rules if candidate.is_eligible(duty, rule)),
            default=DEFAULT_LENGTH_S,
        )
        return HeartbeatReply(candidate.identity, heartbeat.number, tuple(held), length)

    def has_successor(self, duty: str) -> bool:
        """Whether a successor has been proposed: from then on the tenure before is not renewed."""
        return isinstance(self.pending.get(duty), Grant | Release)

    def must_give_up(self, duty: str, state: DutyState, candidate: Candidate, now: float) -> bool:
        """Whether its holder is to hand it over."""
        rule = state.rule
        if rule is None or not candidate.is_eligible(duty, rule):
            return True
        if state.wanted is None or state.wanted == candidate.name:
            return False
        return any(
            status.candidate.name == state.wanted
            if state.wanted
            else status.candidate.identity != candidate.identity
            for status in self.live_candidates(duty, state, now)
        )

    def due_commands(self, now: float) -> list[Command]:
        """What is to be proposed now: successors, and ends that nobody follows."""
        commands: list[Command] = []
        self.forget_silent(now)
        for duty, state in sorted(self.machine.duties.items()):
            if duty in self.pending:
                continue
            expired = state.held and now >= self.expiry(duty, state)
            if expired:
                self.record_lapse(state, now)
            if not expired and (state.held or state.rule is None):
                continue
            successor = self.choose_successor(duty, state, now)
            if successor is not None:
                commands.append(self.propose(Grant(duty, successor.identity, state.token, expired)))
            elif expired:
                commands.append(self.propose(Release(duty, state.token, TenureEnd.EXPIRED)))
        return commands

    def propose(self, command: Command) -> Command:
        self.pending[command.duty] = command
        return command

    def command_applied(self, command: Command, now: float) -> None:
        """It has been carried out, or has come to nothing."""
        if self.pending.get(command.duty) == command:
            del self.pending[command.duty]
        state = self.machine.duties.get(command.duty)
        if isinstance(command, Grant) and state is not None and state.held and state.tenure is not None:
            self.expiries[command.duty] = now + self.max_local_duration(state.tenure.longest)

    def live_candidates(self, duty: str, state: DutyState, now: float) -> list[CandidateStatus]:
        """Candidates that live and may hold it."""
        rule = state.rule
        if rule is None:
            return []
        return [
            status for status in self.candidates.values()
            if now - status.heard_at < FRESH_FRACTION * rule.length and status.candidate.is_eligible(duty,
            rule)
        ]  # fmt: skip

    def choose_successor(self, duty: str, state: DutyState, now: float) -> Candidate | None:
        """Whom an operator wants; else who has fewest, those that were lost of late only if need be."""
        candidates = [status.candidate for status in self.live_candidates(duty, state, now)]
        previous_holder = state.tenure.holder if state.tenure is not None else ""
        duty_counts = self.duty_counts()

        def sort_key(candidate: Candidate) -> tuple[bool, bool, bool, int, bytes]:
            avoidance = self.avoided.get(candidate.name)
            lapsed_recently = avoidance is not None and now < avoidance.until
            must_move = state.wanted == "" and candidate.identity == previous_holder
            return (
                candidate.name != state.wanted,
                must_move,
                lapsed_recently,
                duty_counts.get(candidate.identity, 0),
                tie_break_key(duty, candidate),
            )

        return min(candidates, key=sort_key, default=None)

    def duty_counts(self) -> dict[str, int]:
        """How many duties each holds, or is about to."""
        duty_counts: dict[str, int] = {}
        for duty, state in self.machine.duties.items():
            pending = self.pending.get(duty)
            holder = pending.holder if isinstance(pending, Grant) else ""
            if not holder and state.held and state.tenure is not None:
                holder = state.tenure.holder
            duty_counts[holder] = duty_counts.get(holder, 0) + 1
        return duty_counts

    def record_lapse(self, state: DutyState, now: float) -> None:
        assert state.tenure is not None
        name = state.tenure.holder.partition("#")[0]
        avoidance = self.avoided.setdefault(name, Avoidance(now, 0))
        if now >= avoidance.until:
            avoidance.lapses += 1
            avoidance.until = now + min(state.tenure.longest * 2**avoidance.lapses, MAX_AVOIDANCE_S)

    def forget_silent(self, now: float) -> None:
        """Candidates long silent, and lapses that lie far back."""
        for identity in [
            identity
            for identity, status in self.candidates.items()
            if now - status.heard_at > FORGET_AFTER_GRANTS * DEFAULT_LENGTH_S
        ]:
            del self.candidates[identity]
        for name in [
            name for name, avoidance in self.avoided.items() if now > avoidance.until + MAX_AVOIDANCE_S
        ]:
            del self.avoided[name]


def tie_break_key(duty: str, candidate: Candidate) -> bytes:
    """A place in the line for this duty, other for each duty, so that no candidate is first for all."""
    return blake2b(f"{duty}\n{candidate.identity}".encode(), digest_size=8).digest()
