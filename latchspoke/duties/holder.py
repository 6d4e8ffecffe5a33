"""The holder's side of duties: its leases by its own clock, and the heartbeats that renew them.

Times are monotonic seconds of a clock that also runs while the machine is suspended (``CLOCK_BOOTTIME``). A
lease starts when the heartbeat was sent, and is checked immediately before each action.
"""

from __future__ import annotations

from dataclasses import dataclass

from latchspoke.duties.records import Candidate, Heartbeat, HeartbeatReply, HeldDuty

STOP_MARGIN_FRACTION = 0.2  # of a lease: the holder stops at least this long before it expires
MAX_STOP_FRACTION = 0.5  # of a lease that may be reserved for stopping
HEARTBEAT_FRACTION = 0.25  # of a lease between two heartbeats
MAX_UNANSWERED = 64  # heartbeats whose reply is still accepted


@dataclass(slots=True)
class DutyLease:
    """The lease on one duty held by this process."""

    token: int
    expires_at: float
    stop_at: float  # when its work must begin to stop
    heartbeat_number: int  # of the heartbeat whose reply granted it
    stopping: bool = False


class DutyHolder:
    """All duties of one process instance."""

    def __init__(self, candidate: Candidate, stop_time_s: float = 0.0) -> None:
        """``stop_time_s``: how long the work needs to stop, up to ``MAX_STOP_FRACTION`` of a lease."""
        self.candidate, self.stop_time_s = candidate, stop_time_s
        self.leases: dict[str, DutyLease] = {}
        self.released_tokens: dict[str, int] = {}  # by duty: the last token whose work has stopped
        self.unacknowledged: dict[str, int] = {}  # releases not yet confirmed by a reply
        self.sent_heartbeats: dict[int, tuple[float, dict[str, int]]] = {}  # send time and reported releases
        self.heartbeat_number = 0
        self.member_index = 0  # which member to ask; advances after an unanswered heartbeat
        self.heartbeat_interval_s = 1.0

    def heartbeat(self, now: float) -> Heartbeat:
        """Returns the next heartbeat, to be sent at once: leases granted by its reply start at ``now``."""
        if self.heartbeat_number in self.sent_heartbeats:
            self.member_index += 1
        self.heartbeat_number += 1
        self.sent_heartbeats[self.heartbeat_number] = now, dict(self.unacknowledged)
        if len(self.sent_heartbeats) > MAX_UNANSWERED:
            del self.sent_heartbeats[min(self.sent_heartbeats)]
        return Heartbeat(self.candidate, self.heartbeat_number, dict(self.unacknowledged))

    def handle_reply(self, reply: HeartbeatReply, now: float) -> list[str]:
        """Applies a reply and returns newly granted duties; see ``duties_to_stop`` for those that end."""
        sent_at, reported = self.sent_heartbeats.pop(reply.number, (None, {}))
        if reply.identity != self.candidate.identity or sent_at is None:
            return []
        self.heartbeat_interval_s = HEARTBEAT_FRACTION * reply.length
        listed_tokens = {held.duty: held.token for held in reply.held}
        for duty, token in reported.items():
            # This heartbeat reported the release and the duty is no longer listed, so it is committed.
            if listed_tokens.get(duty) != token and self.unacknowledged.get(duty) == token:
                del self.unacknowledged[duty]
        for duty, lease in self.leases.items():
            if listed_tokens.get(duty) != lease.token and reply.number > lease.heartbeat_number:
                lease.stopping = True
        return [held.duty for held in reply.held if self.accept(held, sent_at, reply.number, now)]

    def accept(self, held: HeldDuty, sent_at: float, heartbeat_number: int, now: float) -> bool:
        """Applies one granted duty of a reply; returns whether it is new."""
        if held.token <= self.released_tokens.get(held.duty, 0):
            return False
        expires_at = sent_at + held.length
        # Without this limit, work that takes most of a lease to stop would never start.
        stop_at = expires_at - max(
            STOP_MARGIN_FRACTION * held.length, min(self.stop_time_s, MAX_STOP_FRACTION * held.length)
        )
        lease = self.leases.get(held.duty)
        if lease is not None and lease.token < held.token:
            # Lost and granted again between two replies: work under the old token must stop first.
            lease.stopping = True
            return False
        if lease is None:
            if stop_at <= now or held.give_up:
                self.record_release(held.duty, held.token)
                return False
            self.leases[held.duty] = DutyLease(held.token, expires_at, stop_at, heartbeat_number)
            return True
        if lease.token == held.token and expires_at > lease.expires_at and not lease.stopping:
            lease.expires_at, lease.stop_at = expires_at, stop_at
        lease.stopping = lease.stopping or (held.give_up and lease.token == held.token)
        return False

    def token(self, duty: str, now: float) -> int | None:
        """The token of a valid lease, or None. Call this immediately before each action."""
        lease = self.leases.get(duty)
        return lease.token if lease is not None and self.is_valid(lease, now) else None

    def is_valid(self, lease: DutyLease, now: float) -> bool:
        """Whether the lease has not expired."""
        return now < lease.expires_at

    def duties_to_stop(self, now: float) -> list[str]:
        """Duties whose work must stop now; call ``mark_stopped`` once it has."""
        stopping = []
        for duty, lease in self.leases.items():
            lease.stopping = lease.stopping or now >= lease.stop_at
            if lease.stopping:
                stopping.append(duty)
        return stopping

    def mark_stopped(self, duty: str) -> None:
        """The duty's work has stopped; the next heartbeat reports the release."""
        lease = self.leases.pop(duty, None)
        if lease is not None:
            self.record_release(duty, lease.token)

    def record_release(self, duty: str, token: int) -> None:
        """Keeps the token as released, to be reported until a reply acknowledges it."""
        self.released_tokens[duty] = max(self.released_tokens.get(duty, 0), token)
        self.unacknowledged[duty] = self.released_tokens[duty]

    def stop_all(self) -> None:
        """Marks all duties as to be stopped, for a shutdown."""
        for lease in self.leases.values():
            lease.stopping = True
