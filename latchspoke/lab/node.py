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
    queue_limit: int = 64
    cold_speed: float = 0.2
    warm_up_time: float = 15.0
    report_interval: float = 0.5
    handshake_work: float = 0.002  # s of work that a new connection costs
    max_connections: int = 512
    overload_multiple: float = 2.5
    overload_window: float = 3.0
    crowding_penalty: float = 0.002  # part of the pace that each request held beyond the slots costs


@dataclass(slots=True)
class Job:
    """A request at a node: ``left`` is the work still to do, in seconds of one core."""

    key: Hashable
    remaining_work: float
    arrived_at: float


@dataclass(slots=True)
class NodeModel:
    """One node's state. All methods take the time, which must not go back."""

    settings: NodeSettings
    started: float = float("-inf")
    now: float = 0.0
    running: list[Job] = field(default_factory=list)
    queued: deque[Job] = field(default_factory=deque)
    finished: list[Job] = field(default_factory=list)
    busy_core_seconds: float = 0.0  # core seconds used since the last report
    reported_at: float = float("-inf")
    report: tuple[int, float] = (0, 0.0)
    pending_handshake_work: float = 0.0  # work of handshakes not yet done
    served: int = 0
    rejected: int = 0
    peak_connections: int = 0  # connections held at once, at most
    overloaded: bool = False
    recent_cold_work: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # (time, work) sent while it is cold

    def speed(self, now: float, slowdown: float = 1.0) -> float:
        """Part of the whole pace at which it works."""
        excess = max(len(self.running) + len(self.queued) - self.settings.slots, 0)
        return self.warm_up_factor(now) * slowdown / (1 + self.settings.crowding_penalty * excess)

    def warm_up_factor(self, now: float) -> float:
        """Part of the whole pace that its age allows."""
        settings, age = self.settings, now - self.started
        if age >= settings.warm_up_time:
            return 1.0
        return settings.cold_speed + (1 - settings.cold_speed) * max(age, 0.0) / settings.warm_up_time

    def work_rate(self, now: float, slowdown: float) -> float:
        """Core seconds a second that each request in work gets."""
        if not self.running:
            return 0.0
        return min(1.0, self.settings.cores / len(self.running)) * self.speed(now, slowdown)

    def advance(self, now: float, slowdown: float = 1.0) -> list[Job]:
        """Bring it up to now; the requests done meanwhile come back, in order."""
        while self.running and now > self.now:
            work_rate = self.work_rate(self.now, slowdown)
            shortest = min(job.remaining_work for job in self.running)
            step = min(now - self.now, shortest / work_rate if work_rate > EPSILON else now - self.now)
            for job in self.running:
                job.remaining_work -= step * work_rate
            self.busy_core_seconds += step * work_rate * len(self.running)
            self.now += step
            self.collect_finished()
            if step <= 0:
                break
        self.now = max(now, self.now)
        finished, self.finished = self.finished, []
        return finished

    def collect_finished(self) -> None:
        completed = [job for job in self.running if job.remaining_work <= EPSILON]
        if completed:
            self.running = [job for job in self.running if job.remaining_work > EPSILON]
            self.finished += completed
            self.served += len(completed)
            while self.queued and len(self.running) < self.settings.slots:
                self.running.append(self.queued.popleft())

    def arrive(self, key: Hashable, work: float, now: float) -> bool:
        """Take a request in; False if it is turned away. ``advance`` to now comes first."""
        work, self.pending_handshake_work = work + self.pending_handshake_work, 0.0
        if self.check_overload(work, now):
            self.rejected += 1
            return False
        job = Job(key, work, now)
        if len(self.running) < self.settings.slots:
            self.running.append(job)
        elif len(self.queued) < self.settings.queue_limit:
            self.queued.append(job)
        else:
            self.rejected += 1
            return False
        return True

    def check_overload(self, work: float, now: float) -> bool:
        """Whether it is over, or falls with this."""
        settings = self.settings
        if now - self.started < settings.warm_up_time:
            self.recent_cold_work.append((now, work))
            while self.recent_cold_work[0][0] <= now - settings.overload_window:
                self.recent_cold_work.popleft()
            possible_work = settings.cores * self.warm_up_factor(now) * settings.overload_window
            self.overloaded |= (
                sum(work for _, work in self.recent_cold_work) > settings.overload_multiple * possible_work
            )
        return self.overloaded

    def connection_opened(self, connections: int = 0) -> None:
        """A new connection costs work, which the next request on the node pays for."""
        self.pending_handshake_work += self.settings.handshake_work
        self.peak_connections = max(self.peak_connections, connections)

    def cancel(self, key: Hashable) -> None:
        """Waiting work of a client that has left is dropped; running work goes on."""
        self.queued = deque(job for job in self.queued if job.key != key)

    def next_completion(self, slowdown: float = 1.0) -> float | None:
        """When the next request is done if nothing else comes; None while nothing is in work."""
        work_rate = self.work_rate(self.now, slowdown)
        if work_rate <= EPSILON:
            return None
        return self.now + max(min(job.remaining_work for job in self.running) / work_rate, 0.0)

    def load_report(self, now: float) -> tuple[int, float]:
        """The report as it stands: requests waiting, and how busy the cores were; made anew now and then."""
        since_report = now - self.reported_at
        if since_report >= self.settings.report_interval:
            interval = min(since_report, 10 * self.settings.report_interval)
            self.report = (
                len(self.queued),
                min(self.busy_core_seconds / (interval * self.settings.cores), 1.0),
            )
            self.busy_core_seconds, self.reported_at = 0.0, now
        return self.report

    def restart(self, now: float) -> list[Job]:
        """All that it held is lost; it begins cold."""
        dropped = [*self.running, *self.queued]
        self.running, self.queued, self.started, self.now = [], deque(), now, now
        self.pending_handshake_work = self.busy_core_seconds = 0.0
        self.overloaded = False
        self.recent_cold_work.clear()
        return dropped
