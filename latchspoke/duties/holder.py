"""The holder's side: what it may do now, by its own clock, and what it says to the members.

Times are monotonic seconds of this process's own clock, of a kind that goes on while the machine sleeps
(``CLOCK_BOOTTIME``). A right is counted from before the question was sent, and is checked at the act.
"""

from __future__ import annotations

from dataclasses import dataclass

from latchspoke.duties.records import Candidate, Heartbeat, HeartbeatReply, HeldDuty

STOP_MARGIN_FRACTION = 0.2  # of a grant: its holder stops so long before its end
MAX_STOP_FRACTION = 0.5  # of a grant: no more of it is kept for stopping
HEARTBEAT_FRACTION = 0.25  # of a grant between two beats
MAX_UNANSWERED = 64  # beats whose answer may still come


@dataclass(slots=True)
class DutyLease:
    """One duty held here."""

    token: int
    expires_at: float  # nothing is done from then on
    stop_at: float  # what goes on is stopped by then
    heartbeat_number: int  # the beat whose answer brought it
    stopping: bool = False


class DutyHolder:
    """All duties of one run of a process."""

    def __init__(self, candidate: Candidate, stop_time_s: float = 0.0) -> None:
        """``stop``: s that its work may need to stop; that is begun so much earlier, half a grant at most."""
        self.candidate, self.stop_time_s = candidate, stop_time_s
        self.leases: dict[str, DutyLease] = {}
        self.released_tokens: dict[str, int] = {}  # the last token of each duty whose work has stopped here
        self.unacknowledged: dict[
            str, int
        ] = {}  # of these, those that no answer has shown the members to know
        self.sent_heartbeats: dict[
            int, tuple[float, dict[str, int]]
        ] = {}  # when, and what it told as stopped
        self.heartbeat_number = 0
        self.member_index = 0  # whom of the members to ask: another one after a beat without an answer
        self.heartbeat_interval_s = 1.0

    def heartbeat(self, now: float) -> Heartbeat:
        """The next one to send, at once: rights that its answer brings count from ``now``."""
        if self.heartbeat_number in self.sent_heartbeats:
            self.member_index += 1
        self.heartbeat_number += 1
        self.sent_heartbeats[self.heartbeat_number] = now, dict(self.unacknowledged)
        if len(self.sent_heartbeats) > MAX_UNANSWERED:
            del self.sent_heartbeats[min(self.sent_heartbeats)]
        return Heartbeat(self.candidate, self.heartbeat_number, dict(self.unacknowledged))

    def handle_reply(self, reply: HeartbeatReply, now: float) -> list[str]:
        """The duties that are new here; what is to be stopped shows in ``to_stop``."""
        sent_at, reported = self.sent_heartbeats.pop(reply.number, (None, {}))
        if reply.identity != self.candidate.identity or sent_at is None:
            return []
        self.heartbeat_interval_s = HEARTBEAT_FRACTION * reply.length
        listed_tokens = {held.duty: held.token for held in reply.held}
        for duty, token in reported.items():
            # It was told with this very beat, and is no longer held: the members know.
            if listed_tokens.get(duty) != token and self.unacknowledged.get(duty) == token:
                del self.unacknowledged[duty]
        for duty, lease in self.leases.items():
            if listed_tokens.get(duty) != lease.token and reply.number > lease.heartbeat_number:
                lease.stopping = True
        return [held.duty for held in reply.held if self.accept(held, sent_at, reply.number, now)]

    def accept(self, held: HeldDuty, sent_at: float, heartbeat_number: int, now: float) -> bool:
        """One duty of an answer to the beat sent then; whether it is new here."""
        if held.token <= self.released_tokens.get(held.duty, 0):
            return False
        expires_at = sent_at + held.length
        # One that wants nearly all of a grant to stop in would never begin.
        stop_at = expires_at - max(
            STOP_MARGIN_FRACTION * held.length, min(self.stop_time_s, MAX_STOP_FRACTION * held.length)
        )
        lease = self.leases.get(held.duty)
        if lease is not None and lease.token < held.token:
            # It was lost and won again unseen; what goes on under the old token is stopped first.
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
        """The token under which this may be done now, or None. To be asked just before every act."""
        lease = self.leases.get(duty)
        return lease.token if lease is not None and self.is_valid(lease, now) else None

    def is_valid(self, lease: DutyLease, now: float) -> bool:
        return now < lease.expires_at

    def duties_to_stop(self, now: float) -> list[str]:
        """Duties whose work is to be stopped now; ``stopped`` is to follow."""
        stopping = []
        for duty, lease in self.leases.items():
            lease.stopping = lease.stopping or now >= lease.stop_at
            if lease.stopping:
                stopping.append(duty)
        return stopping

    def mark_stopped(self, duty: str) -> None:
        """Nothing of it goes on here; the members are told with the next beat."""
        lease = self.leases.pop(duty, None)
        if lease is not None:
            self.record_release(duty, lease.token)

    def record_release(self, duty: str, token: int) -> None:
        self.released_tokens[duty] = max(self.released_tokens.get(duty, 0), token)
        self.unacknowledged[duty] = self.released_tokens[duty]

    def stop_all(self) -> None:
        """This process is to end: all its work is to be stopped."""
        for lease in self.leases.values():
            lease.stopping = True
