"""The leader's side: who may act under which version until when, and when the next one may be active.

What is here is the leader's own and is lost with it. Rights that an earlier leader has given are unknown to a
new one; they end a whole right after its election at the latest, and until then it makes nothing active that
contradicts what they may be under. Times are monotonic seconds of the leader's own clock.
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

FORGET_AFTER_S = 60.0  # s after its last right; a gateway not heard for so long is no longer told of
MAX_ACTIVATIONS = 200  # activations with how long what came before went on


@dataclass(slots=True)
class DocumentLease:
    """A gateway's right on one document, as far as it can last."""

    version: int = -1
    expires_at: float = 0.0
    held_versions: tuple[int, ...] = ()
    missing_since: float | None = None  # since when it has lacked the newest version


@dataclass(slots=True)
class GatewayState:
    """A gateway as last heard."""

    heard_at: float
    leases: dict[str, DocumentLease] = field(default_factory=dict)


@dataclass(slots=True)
class ObservedActivation:
    """An activation as this leader saw it, and the rights under what came before that may go on."""

    name: str
    version: int
    activated_at: float
    open_leases: dict[str, float]  # by gateway: until when
    last_overlap_at: float  # until then at the latest somebody acted on what came before

    def overlap_s(self, now: float) -> float:
        """For how long (s) old and new were acted on side by side, at the most."""
        return (
            max([self.last_overlap_at, *(min(expires_at, now) for expires_at in self.open_leases.values())])
            - self.activated_at
        )


class RulesCoordinator:
    """See the module. ``drift`` bounds how much faster or slower than true time any clock here runs."""

    def __init__(self, machine: RulesMachine, drift: float) -> None:
        self.machine, self.drift = machine, drift
        self.gateways: dict[str, GatewayState] = {}
        self.pending: set[tuple[str, int]] = set()
        self.activations: list[ObservedActivation] = []
        self.active: dict[str, int] = {}
        self.lease_lengths: dict[
            str, tuple[float, float]
        ] = {}  # the length of a right, and since when it is seen here
        self.elected_at = 0.0

    def become_leader(self, elected_at: float) -> None:
        """This member leads; it was elected then."""
        self.elected_at = elected_at
        self.gateways, self.pending, self.activations, self.lease_lengths = {}, set(), [], {}
        self.active = {name: state.active for name, state in self.machine.states.items()}

    def max_local_duration(self, length: float) -> float:
        """How long a right lasts by this clock, if it is as fast and the gateway's as slow as may be."""
        return length * (1 + self.drift) / (1 - self.drift)

    def answer(self, question: RulesQuestion, received: float, now: float) -> RulesAnswer:
        """By a majority's word, begun after ``received``, this member still leads."""
        gateway = self.gateways.setdefault(question.identity, GatewayState(now))
        gateway.heard_at = now
        granted = {
            name: self.grant(question, gateway, name, state, received, now)
            for name, state in self.machine.states.items()
        }
        return RulesAnswer(question.session, question.number, granted)

    def grant(
        self,
        question: RulesQuestion,
        gateway: GatewayState,
        name: str,
        state: DocumentState,
        received: float,
        now: float,
    ) -> DocumentGrant:
        """Under the active version, to whoever has it at hand and is not long overdue with the next one."""
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
            expires_at = received + self.max_local_duration(state.terms.length)
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
        """Versions that may be active now."""
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
        """The longest right that can be out, once those by earlier terms have surely ended; 0 until then."""
        since = max(self.elected_at, self.lease_lengths[name][1])
        return state.terms.length if now >= since + self.max_local_duration(state.longest) else 0.0

    @staticmethod
    def retention_s(gateway: GatewayState, now: float) -> float:
        """How long (s) its silence is borne: while any right of it may last, and a while longer."""
        return (
            max((lease.expires_at for lease in gateway.leases.values()), default=now) - now + FORGET_AFTER_S
        )

    def may_activate(self, name: str, state: DocumentState, now: float) -> bool:
        """Whether all who could act on what the head contradicts have it, or their right has surely ended."""
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
        """It has been carried out, or has come to nothing."""
        self.pending.discard((command.name, command.version))
        if (state := self.machine.states.get(command.name)) is not None:
            self.record_activation(command.name, state, now)

    # What is told of it.

    def record_activation(self, name: str, state: DocumentState, now: float) -> None:
        """An activation, when this leader first sees it; rights under earlier ones may go on for a while."""
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
        """A gateway gets its first right under what is active: what it had before counts no more."""
        for activation in self.activations:
            expires_at = activation.open_leases.pop(identity, None) if activation.name == name else None
            if expires_at is not None:
                activation.last_overlap_at = max(activation.last_overlap_at, min(expires_at, now))

    def status(self, now: float) -> GatewayLeases:
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
        missing = tuple(
            sorted(
                version
                for version in self.machine.states[name].documents
                if version not in lease.held_versions
            )
        )
        return LeaseStatus(lease.version, lease.expires_at - now, missing)
