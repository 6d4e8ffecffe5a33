"""The holder's side: what it may do now, by its own clock, and what it says to the members.

Times are monotonic seconds of this process's own clock, of a kind that goes on while the machine sleeps
(``CLOCK_BOOTTIME``). A right is counted from before the question was sent, and is checked at the act.
"""

from __future__ import annotations

from dataclasses import dataclass

from latchspoke.duties.records import Answer, Beat, Candidate, Held

PART = 0.2  # of a grant: its holder stops so long before its end
STOP_MOST = 0.5  # of a grant: no more of it is kept for stopping
ASK_PART = 0.25  # of a grant between two beats
SENT_MOST = 64  # beats whose answer may still come


@dataclass(slots=True)
class Right:
    """One duty held here."""

    token: int
    until: float  # nothing is done from then on
    stop_at: float  # what goes on is stopped by then
    since: int  # the beat whose answer brought it
    stopping: bool = False


class Holder:
    """All duties of one run of a process."""

    def __init__(self, who: Candidate, stop: float = 0.0) -> None:
        """``stop``: s that its work may need to stop; that is begun so much earlier, half a grant at most."""
        self.who, self.stop = who, stop
        self.rights: dict[str, Right] = {}
        self.given_up: dict[str, int] = {}  # the last token of each duty whose work has stopped here
        self.untold: dict[str, int] = {}  # of these, those that no answer has shown the members to know
        self.sent: dict[int, tuple[float, dict[str, int]]] = {}  # when, and what it told as stopped
        self.number = 0
        self.place = 0  # whom of the members to ask: another one after a beat without an answer
        self.beat_every = 1.0

    def beat(self, now: float) -> Beat:
        """The next one to send, at once: rights that its answer brings count from ``now``."""
        if self.number in self.sent:
            self.place += 1
        self.number += 1
        self.sent[self.number] = now, dict(self.untold)
        if len(self.sent) > SENT_MOST:
            del self.sent[min(self.sent)]
        return Beat(self.who, self.number, dict(self.untold))

    def answered(self, answer: Answer, now: float) -> list[str]:
        """The duties that are new here; what is to be stopped shows in ``to_stop``."""
        sent, told = self.sent.pop(answer.number, (None, {}))
        if answer.identity != self.who.identity or sent is None:
            return []
        self.beat_every = ASK_PART * answer.length
        listed = {held.duty: held.token for held in answer.held}
        for duty, token in told.items():
            # It was told with this very beat, and is no longer held: the members know.
            if listed.get(duty) != token and self.untold.get(duty) == token:
                del self.untold[duty]
        for duty, right in self.rights.items():
            if listed.get(duty) != right.token and answer.number > right.since:
                right.stopping = True
        return [held.duty for held in answer.held if self.take(held, sent, answer.number, now)]

    def take(self, held: Held, sent: float, number: int, now: float) -> bool:
        """One duty of an answer to the beat sent then; whether it is new here."""
        if held.token <= self.given_up.get(held.duty, 0):
            return False
        until = sent + held.length
        # One that wants nearly all of a grant to stop in would never begin.
        stop_at = until - max(PART * held.length, min(self.stop, STOP_MOST * held.length))
        right = self.rights.get(held.duty)
        if right is not None and right.token < held.token:
            # It was lost and won again unseen; what goes on under the old token is stopped first.
            right.stopping = True
            return False
        if right is None:
            if stop_at <= now or held.give_up:
                self.give_up(held.duty, held.token)
                return False
            self.rights[held.duty] = Right(held.token, until, stop_at, number)
            return True
        if right.token == held.token and until > right.until and not right.stopping:
            right.until, right.stop_at = until, stop_at
        right.stopping = right.stopping or (held.give_up and right.token == held.token)
        return False

    def token(self, duty: str, now: float) -> int | None:
        """The token under which this may be done now, or None. To be asked just before every act."""
        right = self.rights.get(duty)
        return right.token if right is not None and self.holds(right, now) else None

    def holds(self, right: Right, now: float) -> bool:
        return now < right.until

    def to_stop(self, now: float) -> list[str]:
        """Duties whose work is to be stopped now; ``stopped`` is to follow."""
        due = []
        for duty, right in self.rights.items():
            right.stopping = right.stopping or now >= right.stop_at
            if right.stopping:
                due.append(duty)
        return due

    def stopped(self, duty: str) -> None:
        """Nothing of it goes on here; the members are told with the next beat."""
        right = self.rights.pop(duty, None)
        if right is not None:
            self.give_up(duty, right.token)

    def give_up(self, duty: str, token: int) -> None:
        self.given_up[duty] = max(self.given_up.get(duty, 0), token)
        self.untold[duty] = self.given_up[duty]

    def leave(self) -> None:
        """This process is to end: all its work is to be stopped."""
        for right in self.rights.values():
            right.stopping = True
