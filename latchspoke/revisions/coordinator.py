"""The leader's side of rule versions: grants leases to gateways and decides when a version may be activated.

This state is local to the leader and lost with it. Leases granted by an earlier leader are unknown to a new
one but expire within one lease length of its election; until then it activates no version that contradicts
an earlier one. Times are monotonic seconds of the leader's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from latchspoke.revisions.machine import DocumentState, RulesMachine
from latchspoke.revisions.records import (
    Activate,
    ActivationStatus,
    DocumentGrant,
    DocumentReport,
    GatewayLeases,
    LeaseStatus,
    RulesAnswer,
    RulesQuestion,
)

FORGET_AFTER_S = 60.0  # how long a silent gateway is kept after its last lease has expired
MAX_ACTIVATIONS = 200  # kept for the status report


@dataclass(slots=True)
class DocumentLease:
    """A gateway's lease on one document, with the latest time at which it can expire."""

    version: int = -1
    expires_at: float = 0.0
    held_versions: tuple[int, ...] = ()
    missing_since: float | None = None  # since when the gateway has lacked the newest version


@dataclass(slots=True)
class GatewayState:
    """A gateway's leases and the time of its last question."""

    heard_at: float
    leases: dict[str, DocumentLease] = field(default_factory=dict)


@dataclass(slots=True)
class ObservedActivation:
    """An activation seen by this leader, with the leases under earlier versions that may still be valid."""

    name: str
    version: int
    activated_at: float
    open_leases: dict[str, float]  # expiry by gateway
    last_overlap_at: float  # latest end of the leases that are no longer open

    def overlap_s(self, now: float) -> float:
        """Upper bound of the time in which the new and earlier versions were both applied."""
        return (
            max([self.last_overlap_at, *(min(expires_at, now) for expires_at in self.open_leases.values())])
            - self.activated_at
        )


class RulesCoordinator:
    """Grants rule leases on the leader; ``drift`` bounds the relative rate error of every clock."""

    def __init__(self, machine: RulesMachine, drift: float) -> None:
        self.machine, self.drift = machine, drift
        self.gateways: dict[str, GatewayState] = {}
        self.pending: set[tuple[str, int]] = set()
        self.activations: list[ObservedActivation] = []
        self.active: dict[str, int] = {}
        # By document: the lease length, and since when it applies.
        self.lease_lengths: dict[str, tuple[float, float]] = {}
        self.elected_at = 0.0

    def become_leader(self, elected_at: float) -> None:
        """Discards the state of an earlier term; this member was elected leader at ``elected_at``."""
        self.elected_at = elected_at
        self.gateways, self.pending, self.activations, self.lease_lengths = {}, set(), [], {}
        self.active = {name: state.active for name, state in self.machine.states.items()}

    def max_local_duration(self, length: float) -> float:
        """Longest time a lease can last by this clock, with both clocks at the limits of their drift."""
        return length * (1 + self.drift) / (1 - self.drift)

    def answer(self, question: RulesQuestion, received_at: float, now: float) -> RulesAnswer:
        """Answers a gateway, after a quorum confirmed this leader later than ``received_at``."""
        gateway = self.gateways.setdefault(question.identity, GatewayState(now))
        gateway.heard_at = now
        granted = {
            name: self.grant(question, gateway, name, state, received_at, now)
            for name, state in self.machine.states.items()
        }
        return RulesAnswer(question.session, question.number, granted)

    def grant(
        self,
        question: RulesQuestion,
        gateway: GatewayState,
        name: str,
        state: DocumentState,
        received_at: float,
        now: float,
    ) -> DocumentGrant:
        """Grants the active version if the gateway has it and is not overdue with the newest one."""
        report = question.documents.get(name, DocumentReport())
        lease = gateway.leases.setdefault(name, DocumentLease())
        lease.held_versions = report.have
        self.record_activation(name, state, now)
        lacks_head = state.head > state.active and state.head not in report.have
        lease.missing_since = (
            (lease.missing_since if lease.missing_since is not None else now) if lacks_head else None
        )
        overdue = lease.missing_since is not None and now - lease.missing_since > state.terms.length
        may_hold = state.active in report.have and not overdue
        if may_hold:
            expires_at = received_at + self.max_local_duration(state.terms.length)
            if lease.version != state.active:
                self.record_adoption(name, question.identity, now)
                lease.expires_at = now
            lease.version, lease.expires_at = state.active, max(lease.expires_at, expires_at)
        digests = {version: document.digest for version, document in state.documents.items()}
        return DocumentGrant(
            state.active if may_hold else -1, state.terms.length, state.active, state.terms.lapse,
            state.terms.least, digests,
        )  # fmt: skip

    def due_activations(self, now: float) -> list[Activate]:
        """Returns the activations to propose now."""
        for identity in [
            identity
            for identity, gateway in self.gateways.items()
            if now - gateway.heard_at > self.retention_s(gateway, now)
        ]:
            del self.gateways[identity]
        commands = []
        for name, state in sorted(self.machine.states.items()):
            self.record_activation(name, state, now)
            if self.lease_lengths.get(name, (-1.0, 0.0))[0] != state.terms.length:
                self.lease_lengths[name] = state.terms.length, now
            is_waiting = state.head > state.active and (name, state.head) not in self.pending
            if is_waiting and self.may_activate(name, state, now):
                self.pending.add((name, state.head))
                commands.append(Activate(name, state.head, self.longest_lease(name, state, now)))
        return commands

    def longest_lease(self, name: str, state: DocumentState, now: float) -> float:
        """The longest lease that can be valid, or 0 while leases under earlier terms may remain."""
        since = max(self.elected_at, self.lease_lengths[name][1])
        return state.terms.length if now >= since + self.max_local_duration(state.longest) else 0.0

    @staticmethod
    def retention_s(gateway: GatewayState, now: float) -> float:
        """How long a silent gateway is kept: until its last lease expires, plus ``FORGET_AFTER_S``."""
        return (
            max((lease.expires_at for lease in gateway.leases.values()), default=now) - now + FORGET_AFTER_S
        )

    def may_activate(self, name: str, state: DocumentState, now: float) -> bool:
        """Whether the newest version contradicts no lease that may still be valid on a gateway without it."""
        revision = state.revision(state.head)
        if revision is None or not revision.barrier:
            return True
        if now < self.elected_at + self.max_local_duration(state.longest):
            return False
        leases = (gateway.leases.get(name) for gateway in self.gateways.values())
        return all(
            lease is None or now >= lease.expires_at or state.head in lease.held_versions for lease in leases
        )

    def activation_applied(self, command: Activate, now: float) -> None:
        """Called once a proposed activation has been applied, whether or not it had an effect."""
        self.pending.discard((command.name, command.version))
        if (state := self.machine.states.get(command.name)) is not None:
            self.record_activation(command.name, state, now)

    # Status.

    def record_activation(self, name: str, state: DocumentState, now: float) -> None:
        """Records an activation when it is first seen, with the leases that are still open."""
        if self.active.get(name) == state.active:
            return
        self.active[name] = state.active
        expirations = {
            identity: lease.expires_at for identity, gateway in self.gateways.items()
            if (lease := gateway.leases.get(name)) is not None and lease.expires_at > now
        }  # fmt: skip
        self.activations.append(ObservedActivation(name, state.active, now, expirations, now))
        del self.activations[:-MAX_ACTIVATIONS]

    def record_adoption(self, name: str, identity: str, now: float) -> None:
        """Closes a gateway's earlier lease once it gets one on the active version."""
        for activation in self.activations:
            expires_at = activation.open_leases.pop(identity, None) if activation.name == name else None
            if expires_at is not None:
                activation.last_overlap_at = max(activation.last_overlap_at, min(expires_at, now))

    def status(self, now: float) -> GatewayLeases:
        """Leases of all gateways and recent activations, for operators."""
        gateways = {
            identity: {name: self.lease_status(name, lease, now) for name, lease in gateway.leases.items()}
            for identity, gateway in sorted(self.gateways.items())
        }
        activations = (
            ActivationStatus(
                activation.name, activation.version, now - activation.activated_at, activation.overlap_s(now)
            )
            for activation in self.activations
        )
        return GatewayLeases(gateways, tuple(activations))

    def lease_status(self, name: str, lease: DocumentLease, now: float) -> LeaseStatus:
        """Remaining lease time and the versions that the gateway lacks."""
        missing = tuple(
            sorted(
                version
                for version in self.machine.states[name].documents
                if version not in lease.held_versions
            )
        )
        return LeaseStatus(lease.version, lease.expires_at - now, missing)
