"""The leader's side of duties: which candidates are live, which tenures have expired, and who succeeds.

This state is local to the leader and lost with it. A new leader knows the holders from the log, but not when
their leases were last renewed, so it treats every tenure as renewed at its election; no earlier leader can
have renewed one later. Times are monotonic seconds of the leader's own clock.
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

FRESH_FRACTION = 0.5  # of a lease; a candidate silent for longer is granted no duty
FORGET_AFTER_GRANTS = 20.0  # silence after which a candidate is forgotten, in default lease lengths
MAX_AVOIDANCE_S = 600.0  # upper bound of the backoff for holders that let their leases expire repeatedly
DEFAULT_LENGTH_S = 10.0  # lease length that sets the heartbeat interval while no duty applies


@dataclass(slots=True)
class CandidateStatus:
    """A candidate and the time of its last heartbeat."""

    candidate: Candidate
    heard_at: float


@dataclass(slots=True)
class Avoidance:
    """Backoff for a name whose leases expired without a release."""

    until: float
    lapses: int


class DutyCoordinator:
    """Grants and renews duties on the leader; ``drift`` bounds the relative rate error of every clock."""

    def __init__(self, machine: DutiesMachine, drift: float) -> None:
        self.machine, self.drift = machine, drift
        self.candidates: dict[str, CandidateStatus] = {}
        self.expiries: dict[str, float] = {}  # by duty: when its tenure has certainly expired
        self.pending: dict[str, Command] = {}  # by duty: proposed and not yet applied
        self.avoided: dict[str, Avoidance] = {}
        self.elected_at = 0.0

    def become_leader(self, elected_at: float) -> None:
        """Discards the state of an earlier term; this member was elected leader at ``elected_at``."""
        self.elected_at = elected_at
        self.candidates, self.expiries, self.pending = {}, {}, {}

    def max_local_duration(self, length: float) -> float:
        """Longest time a lease can last by this clock, with both clocks at the limits of their drift."""
        return length * (1 + self.drift) / (1 - self.drift)

    def expiry(self, duty: str, state: DutyState) -> float:
        """Time from which the duty's tenure has certainly expired."""
        assert state.tenure is not None
        return self.expiries.get(duty, self.elected_at + self.max_local_duration(state.tenure.longest))

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Command]:
        """Records a live candidate; returns the releases to propose for duties that it has stopped."""
        self.candidates[heartbeat.who.identity] = CandidateStatus(heartbeat.who, now)
        releases: list[Command] = []
        for duty, token in heartbeat.released.items():
            state = self.machine.duties.get(duty)
            if state is None or not state.held or state.token != token or duty in self.pending:
                continue
            if state.tenure is not None and state.tenure.holder == heartbeat.who.identity:
                releases.append(self.propose(Release(duty, token)))
        return releases

    def reply(self, heartbeat: Heartbeat, received_at: float, now: float) -> HeartbeatReply:
        """Renews the candidate's tenures, after a quorum confirmed this leader later than ``received_at``."""
        candidate, held = heartbeat.who, []
        for duty, state in self.machine.duties.items():
            tenure = state.tenure
            if tenure is None or not state.held or tenure.holder != candidate.identity:
                continue
            if self.has_successor(duty):
                # Listed with length 0: leaving it out would mean that the end of the tenure is committed.
                held.append(HeldDuty(duty, tenure.token, 0.0, give_up=True))
                continue
            length = state.rule.length if state.rule is not None else 0.0
            if heartbeat.released.get(duty) != state.token:
                expiry = received_at + self.max_local_duration(tenure.longest)
                self.expiries[duty] = max(expiry, self.expiry(duty, state))
            held.append(HeldDuty(duty, tenure.token, length, self.must_give_up(duty, state, candidate, now)))
        rules = [(duty, state.rule) for duty, state in self.machine.duties.items() if state.rule is not None]
        length = min(
            (rule.length for duty, rule in rules if candidate.is_eligible(duty, rule)),
            default=DEFAULT_LENGTH_S,
        )
        return HeartbeatReply(candidate.identity, heartbeat.number, tuple(held), length)

    def has_successor(self, duty: str) -> bool:
        """Whether the end of the current tenure has been proposed, after which it is not renewed."""
        return isinstance(self.pending.get(duty), Grant | Release)

    def must_give_up(self, duty: str, state: DutyState, candidate: Candidate, now: float) -> bool:
        """Whether the holder must hand the duty over."""
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
        """Returns the commands to propose now: grants to successors, and ends of tenures without one."""
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
        """Marks the command as pending, which defers others for the same duty until it is applied."""
        self.pending[command.duty] = command
        return command

    def command_applied(self, command: Command, now: float) -> None:
        """Called once a proposed command has been applied, whether or not it had an effect."""
        if self.pending.get(command.duty) == command:
            del self.pending[command.duty]
        state = self.machine.duties.get(command.duty)
        if isinstance(command, Grant) and state is not None and state.held and state.tenure is not None:
            self.expiries[command.duty] = now + self.max_local_duration(state.tenure.longest)

    def live_candidates(self, duty: str, state: DutyState, now: float) -> list[CandidateStatus]:
        """Candidates with a recent heartbeat that are eligible for the duty."""
        rule = state.rule
        if rule is None:
            return []
        return [
            status for status in self.candidates.values()
            if now - status.heard_at < FRESH_FRACTION * rule.length and status.candidate.is_eligible(duty,
            rule)
        ]  # fmt: skip

    def choose_successor(self, duty: str, state: DutyState, now: float) -> Candidate | None:
        """The candidate requested by an operator, else the one with the fewest duties.

        Candidates whose leases expired recently are chosen only if there is no other.
        """
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
        """Number of duties that each candidate holds or has been proposed for."""
        duty_counts: dict[str, int] = {}
        for duty, state in self.machine.duties.items():
            pending = self.pending.get(duty)
            holder = pending.holder if isinstance(pending, Grant) else ""
            if not holder and state.held and state.tenure is not None:
                holder = state.tenure.holder
            duty_counts[holder] = duty_counts.get(holder, 0) + 1
        return duty_counts

    def record_lapse(self, state: DutyState, now: float) -> None:
        """Doubles the backoff of a holder whose lease expired without a release."""
        assert state.tenure is not None
        name = state.tenure.holder.partition("#")[0]
        avoidance = self.avoided.setdefault(name, Avoidance(now, 0))
        if now >= avoidance.until:
            avoidance.lapses += 1
            avoidance.until = now + min(state.tenure.longest * 2**avoidance.lapses, MAX_AVOIDANCE_S)

    def forget_silent(self, now: float) -> None:
        """Drops candidates that have been silent for long, and old backoff records."""
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
    """Orders equally loaded candidates differently for each duty, so that none is first for all."""
    return blake2b(f"{duty}\n{candidate.identity}".encode(), digest_size=8).digest()
