"""A ledger node as a model: cores, slots, a waiting room, a cold start, load reports. Pure, on a given clock.

Requests in work share the cores evenly (processor sharing). So many are in work at once; beyond that they
wait, and beyond the waiting room they are turned away unseen. A node that has just started is cold: its
pace rises evenly from ``cold`` to the whole over ``warm_time``. Holding many requests costs pace. One
that is pushed while it is cold, with ``fall_multiple`` times the work that it could do in ``fall_time``,
falls over: it turns all away until it starts again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Times in seconds. ``report_every`` is how often its load report is made anew."""

    cores: float = 2.0
    slots: int = 8
    room: int = 64
    cold: float = 0.2
    warm_time: float = 15.0
    report_every: float = 0.5
    handshake: float = 0.002  # s of work that a new connection costs
    connections: int = 512
    fall_multiple: float = 2.5
    fall_time: float = 3.0
    crowding: float = 0.002  # part of the pace that each request held beyond the slots costs


@dataclass(slots=True)
class Job:
    """A request at a node: ``left`` is the work still to do, in seconds of one core."""

    ident: Hashable
    left: float
    arrived: float


@dataclass(slots=True)
class Node:
    """One node's state. All methods take the time, which must not go back."""

    settings: NodeSettings
    started: float = float("-inf")
    now: float = 0.0
    working: list[Job] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    done: list[Job] = field(default_factory=list)
    busy: float = 0.0  # core seconds used since the last report
    reported_at: float = float("-inf")
    report: tuple[int, float] = (0, 0.0)
    debt: float = 0.0  # work of handshakes not yet done
    served: int = 0
    declined: int = 0
    most_links: int = 0  # connections held at once, at most
    fallen: bool = False
    pushed: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work) sent while it is cold

    def pace(self, now: float, slow: float = 1.0) -> float:
        """Part of the whole pace at which it works."""
        held = max(len(self.working) + len(self.waiting) - self.settings.slots, 0)
        return self.warmth(now) * slow / (1 + self.settings.crowding * held)

    def warmth(self, now: float) -> float:
        """Part of the whole pace that its age allows."""
        settings, age = self.settings, now - self.started
        if age >= settings.warm_time:
            return 1.0
        return settings.cold + (1 - settings.cold) * max(age, 0.0) / settings.warm_time

    def share(self, now: float, slow: float) -> float:
        """Core seconds a second that each request in work gets."""
        if not self.working:
            return 0.0
        return min(1.0, self.settings.cores / len(self.working)) * self.pace(now, slow)

    def advance(self, now: float, slow: float = 1.0) -> list[Job]:
        """Bring it up to now; the requests done meanwhile come back, in order."""
        while self.working and now > self.now:
            share = self.share(self.now, slow)
            soonest = min(job.left for job in self.working)
            step = min(now - self.now, soonest / share if share > EPSILON else now - self.now)
            for job in self.working:
                job.left -= step * share
            self.busy += step * share * len(self.working)
            self.now += step
            self.finish()
            if step <= 0:
                break
        self.now = max(now, self.now)
        done, self.done = self.done, []
        return done

    def finish(self) -> None:
        over = [job for job in self.working if job.left <= EPSILON]
        if over:
            self.working = [job for job in self.working if job.left > EPSILON]
            self.done += over
            self.served += len(over)
            while self.waiting and len(self.working) < self.settings.slots:
                self.working.append(self.waiting.popleft())

    def arrive(self, ident: Hashable, work: float, now: float) -> bool:
        """Take a request in; False if it is turned away. ``advance`` to now comes first."""
        work, self.debt = work + self.debt, 0.0
        if self.push(work, now):
            self.declined += 1
            return False
        job = Job(ident, work, now)
        if len(self.working) < self.settings.slots:
            self.working.append(job)
        elif len(self.waiting) < self.settings.room:
            self.waiting.append(job)
        else:
            self.declined += 1
            return False
        return True

    def push(self, work: float, now: float) -> bool:
        """Whether it is over, or falls with this."""
        settings = self.settings
        if now - self.started < settings.warm_time:
            self.pushed.append((now, work))
            while self.pushed[0][0] <= now - settings.fall_time:
                self.pushed.popleft()
            able = settings.cores * self.warmth(now) * settings.fall_time
            self.fallen |= sum(sent for _, sent in self.pushed) > settings.fall_multiple * able
        return self.fallen

    def connected(self, links: int = 0) -> None:
        """A new connection costs work, which the next request on the node pays for."""
        self.debt += self.settings.handshake
        self.most_links = max(self.most_links, links)

    def cancel(self, ident: Hashable) -> None:
        """Waiting work of a client that has left is dropped; running work goes on."""
        self.waiting = deque(job for job in self.waiting if job.ident != ident)

    def next_at(self, slow: float = 1.0) -> float | None:
        """When the next request is done if nothing else comes; None while nothing is in work."""
        share = self.share(self.now, slow)
        if share <= EPSILON:
            return None
        return self.now + max(min(job.left for job in self.working) / share, 0.0)

    def load(self, now: float) -> tuple[int, float]:
        """The report as it stands: requests waiting, and how busy the cores were; made anew now and then."""
        gap = now - self.reported_at
        if gap >= self.settings.report_every:
            span = min(gap, 10 * self.settings.report_every)
            self.report = len(self.waiting), min(self.busy / (span * self.settings.cores), 1.0)
            self.busy, self.reported_at = 0.0, now
        return self.report

    def restart(self, now: float) -> list[Job]:
        """All that it held is lost; it begins cold."""
        lost = [*self.working, *self.waiting]
        self.working, self.waiting, self.started, self.now = [], deque(), now, now
        self.debt = self.busy = 0.0
        self.fallen = False
        self.pushed.clear()
        return lost
