"""Model of an upstream node: cores, request slots, a queue, warm-up and load reports.

The caller passes the time. Up to ``slots`` requests run at once and share the cores evenly (processor
sharing); further ones queue, and are rejected when the queue is full. After a start the speed rises linearly
from ``cold_speed`` to 1 over ``warm_up_time``. Each request held beyond the slots reduces the speed. A node
that receives more than ``overload_multiple`` times the work that it can do within ``overload_window`` during
warm-up becomes overloaded and rejects all requests until it restarts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node model. Times in seconds; ``report_interval`` is the minimum age of a load report."""

    cores: float = 2.0
    slots: int = 8
    queue_limit: int = 64
    cold_speed: float = 0.2
    warm_up_time: float = 15.0
    report_interval: float = 0.5
    handshake_work: float = 0.002  # s of work for each new connection
    max_connections: int = 512
    overload_multiple: float = 2.5
    overload_window: float = 3.0
    crowding_penalty: float = 0.002  # slowdown per request held beyond the slots


@dataclass(slots=True)
class Job:
    """A request at a node; ``remaining_work`` is in seconds of one core."""

    key: Hashable
    remaining_work: float
    arrived_at: float


@dataclass(slots=True)
class NodeModel:
    """State of one node. The time passed to its methods must not decrease."""

    settings: NodeSettings
    started: float = float("-inf")
    now: float = 0.0
    running: list[Job] = field(default_factory=list)
    queued: deque[Job] = field(default_factory=deque)
    finished: list[Job] = field(default_factory=list)
    busy_core_seconds: float = 0.0  # core seconds used since the last report
    reported_at: float = float("-inf")
    report: tuple[int, float] = (0, 0.0)
    pending_handshake_work: float = 0.0  # s
    served: int = 0
    rejected: int = 0
    peak_connections: int = 0  # most connections open at once
    overloaded: bool = False
    # (time, work) of requests received during warm-up, within the overload window
    recent_cold_work: deque[tuple[float, float]] = field(default_factory=deque)

    def speed(self, now: float, slowdown: float = 1.0) -> float:
        """Current speed as a fraction of the full speed."""
        excess = max(len(self.running) + len(self.queued) - self.settings.slots, 0)
        return self.warm_up_factor(now) * slowdown / (1 + self.settings.crowding_penalty * excess)

    def warm_up_factor(self, now: float) -> float:
        """Fraction of the full speed that the time since the start allows."""
        settings, age = self.settings, now - self.started
        if age >= settings.warm_up_time:
            return 1.0
        return settings.cold_speed + (1 - settings.cold_speed) * max(age, 0.0) / settings.warm_up_time

    def work_rate(self, now: float, slowdown: float) -> float:
        """Core seconds a second that each running request gets."""
        if not self.running:
            return 0.0
        return min(1.0, self.settings.cores / len(self.running)) * self.speed(now, slowdown)

    def advance(self, now: float, slowdown: float = 1.0) -> list[Job]:
        """Advance the model to ``now`` and return the requests completed meanwhile, in order."""
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
        """Move completed requests to ``finished`` and start queued ones."""
        completed = [job for job in self.running if job.remaining_work <= EPSILON]
        if completed:
            self.running = [job for job in self.running if job.remaining_work > EPSILON]
            self.finished += completed
            self.served += len(completed)
            while self.queued and len(self.running) < self.settings.slots:
                self.running.append(self.queued.popleft())

    def arrive(self, key: Hashable, work: float, now: float) -> bool:
        """Accept a request, or return False if it is rejected. Call ``advance`` to ``now`` first."""
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
        """Record work received during warm-up and return whether the node is overloaded."""
        settings = self.settings
        if now - self.started < settings.warm_up_time:
            self.recent_cold_work.append((now, work))
            while self.recent_cold_work[0][0] <= now - settings.overload_window:
                self.recent_cold_work.popleft()
            possible_work = settings.cores * self.warm_up_factor(now) * settings.overload_window
            self.overloaded |= (
                sum(sent_work for _, sent_work in self.recent_cold_work)
                > settings.overload_multiple * possible_work
            )
        return self.overloaded

    def connection_opened(self, connections: int = 0) -> None:
        """Account for a new connection: its handshake work is added to the next request."""
        self.pending_handshake_work += self.settings.handshake_work
        self.peak_connections = max(self.peak_connections, connections)

    def cancel(self, key: Hashable) -> None:
        """Drop a queued request whose client has disconnected; a running one continues."""
        self.queued = deque(job for job in self.queued if job.key != key)

    def next_completion(self, slowdown: float = 1.0) -> float | None:
        """Time of the next completion without further arrivals; None if no request makes progress."""
        work_rate = self.work_rate(self.now, slowdown)
        if work_rate <= EPSILON:
            return None
        return self.now + max(min(job.remaining_work for job in self.running) / work_rate, 0.0)

    def load_report(self, now: float) -> tuple[int, float]:
        """Current load report: queue length and core utilization, refreshed once per report interval."""
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
        """Restart the node cold and return the requests that are lost."""
        dropped = [*self.running, *self.queued]
        self.running, self.queued, self.started, self.now = [], deque(), now, now
        self.pending_handshake_work = self.busy_core_seconds = 0.0
        self.overloaded = False
        self.recent_cold_work.clear()
        return dropped
