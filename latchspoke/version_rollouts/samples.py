"""Samples of a rollout: the gateways' reports, and their pool at a control-plane node. No I/O.

A report carries the gateway's counts since the rollout began, not increments. The pool keeps the newest
report of each gateway process, as in a grow-only counter: lost, repeated and late reports do no harm, and a
restarted gateway counts as a new process beside the old one's last report.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from latchspoke.rollouts.comparison import RequestCounts

OTHER_VERSIONS = ""  # in place of a server's ID: all servers of other versions
WIDESPREAD_FRACTION = 0.6  # of the servers: bad answers of so many are the version's
NO_COUNTS = (0, 0, 0, 0)


class SampleRow(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one gateway's attempts at a server of the target version, or at all others, on a route."""

    server: str
    route: str
    ended: int
    failed: int
    timed: int  # of the ended ones and those still in flight; without those at a cold server
    late: int


class GatewayReport(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway process reports about the rollout of a service."""

    service: str
    rollout_id: int
    gateway: str  # its name
    life: str  # of its process
    age_s: float  # since it learned of the rollout; also orders its reports
    index: int  # of the committed state that it acts on
    unsafe_in_flight: int  # attempts at other versions that can't be repeated
    safe_in_flight: int  # attempts at other versions that can
    rows: list[SampleRow]


class VersionSamples(msgspec.Struct, frozen=True):
    """Counts of one route, or of all routes, for a comparison of the versions."""

    failures: RequestCounts  # ``late`` is unused
    lateness: RequestCounts  # of the timed attempts; ``failed`` is unused


class ReceivedReport(msgspec.Struct, frozen=True):
    """A report and when it arrived (s, by the clock of this process)."""

    report: GatewayReport
    received_at: float


Counts = tuple[int, int, int, int]  # ended, failed, timed, late
Totals = dict[tuple[str, str], Counts]  # by server and route


class SamplePool:
    """The newest reports about one rollout."""

    def __init__(self, rollout_id: int) -> None:
        self.rollout_id = rollout_id
        self.reports: dict[tuple[str, str], ReceivedReport] = {}  # by gateway and process
        self.unsent: set[tuple[str, str]] = set()  # not yet passed on to the leader

    def merge(self, report: GatewayReport, now: float) -> bool:
        """Take a report unless a newer one of the same process is known; whether it was taken."""
        if report.rollout_id != self.rollout_id:
            return False
        key = report.gateway, report.life
        known = self.reports.get(key)
        if known is not None and known.report.age_s >= report.age_s:
            return False
        self.reports[key] = ReceivedReport(report, now)
        self.unsent.add(key)
        return True

    def take_unsent(self) -> list[GatewayReport]:
        """The reports that have not been passed on; they then count as passed on."""
        reports = [self.reports[key].report for key in sorted(self.unsent)]
        self.unsent.clear()
        return reports

    def resend_all(self) -> None:
        """All reports must be passed on again, as they may have been lost or the leader has changed."""
        self.unsent = set(self.reports)

    def age(self, now: float) -> float:
        """The longest time (s) for which any gateway has known of the rollout; 0 without reports."""
        return max(
            (known.report.age_s + now - known.received_at for known in self.reports.values()), default=0.0
        )

    def totals(self) -> Totals:
        """Sums over all gateways."""
        sums: Totals = {}
        for known in self.reports.values():
            for row in known.report.rows:
                ended, failed, timed, late = sums.get((row.server, row.route), NO_COUNTS)
                sums[row.server, row.route] = (
                    ended + row.ended,
                    failed + row.failed,
                    timed + row.timed,
                    late + row.late,
                )
        return sums

    def fresh_reports(self, since: float) -> dict[str, GatewayReport]:
        """The newest report of each gateway that has arrived since then, by gateway."""
        fresh: dict[str, ReceivedReport] = {}
        for known in self.reports.values():
            name = known.report.gateway
            if known.received_at >= since and (
                name not in fresh or fresh[name].received_at < known.received_at
            ):
                fresh[name] = known
        return {name: known.report for name, known in fresh.items()}


def subtract(totals: Totals, earlier: Totals) -> Totals:
    """What was counted between two times."""
    result: Totals = {}
    for key, (ended, failed, timed, late) in totals.items():
        before = earlier.get(key, NO_COUNTS)
        result[key] = ended - before[0], failed - before[1], timed - before[2], late - before[3]
    return result


def samples_of_others(totals: Totals, routes: Collection[str]) -> VersionSamples:
    """The counts of the other versions on these routes."""
    return combine(
        counts for (server, route), counts in totals.items() if server == OTHER_VERSIONS and route in routes
    )


def samples_of_target(totals: Totals, routes: Collection[str]) -> VersionSamples:
    """The counts of the target version on these routes, without a few servers that are bad by themselves."""
    by_server: dict[str, Counts] = {}
    for (server, route), counts in totals.items():
        if server != OTHER_VERSIONS and route in routes:
            ended, failed, timed, late = by_server.get(server, NO_COUNTS)
            by_server[server] = ended + counts[0], failed + counts[1], timed + counts[2], late + counts[3]
    failures = without_outliers([(ended, failed) for ended, failed, _, _ in by_server.values() if ended])
    lateness = without_outliers([(timed, late) for _, _, timed, late in by_server.values() if timed])
    return VersionSamples(
        RequestCounts(failures[0], failures[1]), RequestCounts(lateness[0], late=lateness[1])
    )


def without_outliers(counts: list[tuple[int, int]]) -> tuple[int, int]:
    """Sums of attempts and bad ones by server, without the worst third unless most servers have bad ones.

    A bad version is bad on all of its servers, whereas most other troubles befall a few of them.
    """
    bad_servers = sum(bad > 0 for _, bad in counts)
    if bad_servers < WIDESPREAD_FRACTION * len(counts):
        counts = sorted(counts, key=lambda server: server[1] / server[0])
        counts = counts[: len(counts) - len(counts) // 3]
    return sum(attempts for attempts, _ in counts), sum(bad for _, bad in counts)


def combine(counts: Iterable[Counts]) -> VersionSamples:
    """The sum of the counts."""
    ended = failed = timed = late = 0
    for row in counts:
        ended, failed, timed, late = ended + row[0], failed + row[1], timed + row[2], late + row[3]
    return VersionSamples(RequestCounts(ended, failed), RequestCounts(timed, late=late))
