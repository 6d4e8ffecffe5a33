"""A gateway's samples of a rollout: what it counts, and what it reports."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec
import pytest

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState
from barleyhub.line.dispatch import Dispatcher, RoutedRequest
from latchspoke.dataplane.rollout_reports import REPORT_INTERVAL_S, TRUST_S, RolloutReports
from latchspoke.version_rollouts.records import RolloutRecord, RolloutState
from latchspoke.version_rollouts.samples import GatewayReport, SampleRow

USUAL_S = 0.2
RECORD = RolloutRecord(7, "v2", 15.0, RolloutState.IN_PROGRESS, 0.5, 7)


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the rolled-out service."""

    name: str = "r"
    repeatable: bool = False
    aim: float = 1.0
    timeout: float = 4.0
    attempts: int = 2
    priority: int = 1
    homes: frozenset[str] = frozenset()


class Gateway:
    """A dispatcher with servers of two versions, and its reports."""

    def __init__(self) -> None:
        self.balancer = Balancer("g1", "a", "a", Random(1), 1.5)
        self.dispatcher = Dispatcher(self.balancer, Random(1), 0.2, 100.0)
        self.dispatcher.set_gateways({"g1": "a"}, 0.0)
        for version in ("v1", "v2"):
            for number in range(4):
                ident = f"{version}-{number}"
                upstream = Upstream(ident, "saldo", "10.0.0.1", 80, "a", "a", 4, UpstreamState.READY,
                                    version=version)  # fmt: skip
                self.balancer.put(upstream, 0.0)
        self.balancer.route_latency["r"] = USUAL_S
        self.reports = RolloutReports("g1", "life", self.dispatcher)
        self.number = 0

    def send(self, now: float, route: Route = Route()) -> tuple[str, str]:  # noqa: B008 - immutable
        """Request and chosen server of a new request."""
        self.number += 1
        request = f"q{self.number}"
        routed = RoutedRequest(request, "t", "saldo", "", units=1.0, left=4.0, spread=1, route=route)
        for action in self.dispatcher.handle(routed, now):
            if isinstance(action, api.Send):
                return request, action.server
        raise AssertionError("not sent")

    def end(self, request: str, server: str, code: Code, took: float, now: float) -> None:
        self.dispatcher.handle(api.Outcome(request, 0, server, code, took, True), now)

    def report(self, now: float) -> GatewayReport:
        [message] = self.reports.due_messages(9, now)
        return msgspec.convert(message["r"], GatewayReport)


@pytest.fixture
def gateway() -> Gateway:
    made = Gateway()
    made.reports.apply({"saldo": RECORD}, 1.0)
    made.reports.proven(1.0)
    return made


def send_until(gateway: Gateway, version: str, now: float, route: Route = Route()) -> tuple[str, str]:  # noqa: B008
    """A request that was sent to this version; the others end well at once."""
    while True:
        request, server = gateway.send(now, route)
        if server.startswith(version):
            return request, server
        gateway.end(request, server, Code.OK, USUAL_S, now)


def test_attempts_are_counted_by_server_of_the_target_version(gateway: Gateway) -> None:
    for code, took in ((Code.OK, USUAL_S), (Code.ERROR, USUAL_S), (Code.OK, 3 * USUAL_S), (Code.FULL, 0.01)):
        gateway.end(*send_until(gateway, "v2", 1.5), code, took, 1.6)
    rows = [row for row in gateway.report(2.0).rows if row.server]
    assert {row.server[:2] for row in rows} == {"v2"}
    counts = [(row.ended, row.failed, row.timed, row.late) for row in rows]
    totals = [sum(column) for column in zip(*counts, strict=True)]
    assert totals == [3, 1, 2, 1]  # one that was turned away has not run


def test_attempt_in_flight_counts_as_late_once(gateway: Gateway) -> None:
    request, server = send_until(gateway, "v2", 1.5)
    late = 1.5 + 2.5 * USUAL_S
    expected = SampleRow(server, "r", 0, 0, 1, 1)
    assert expected in gateway.report(late).rows
    assert expected in gateway.report(late + 2 * REPORT_INTERVAL_S).rows
    gateway.end(request, server, Code.OK, 1.2, late + 1.0)
    assert SampleRow(server, "r", 1, 0, 1, 1) in gateway.report(late + 4 * REPORT_INTERVAL_S).rows


def test_attempt_at_a_cold_server_is_not_timed(gateway: Gateway) -> None:
    request, server = send_until(gateway, "v2", 1.5)
    gateway.balancer.upstreams[server].cold_until = 3.0
    gateway.end(request, server, Code.OK, 1.4, 2.9)
    assert SampleRow(server, "r", 1, 0, 0, 0) in gateway.report(3.0).rows


def test_attempts_at_old_servers_in_flight_are_told_by_what_may_be_repeated(gateway: Gateway) -> None:
    gateway.reports.apply({"saldo": msgspec.structs.replace(RECORD, share=0.01, changed_index=8)}, 1.2)
    send_until(gateway, "v1", 1.5)
    send_until(gateway, "v1", 1.5, Route(repeatable=True))
    send_until(gateway, "v1", 1.5, Route(repeatable=True))
    report = gateway.report(1.6)
    assert (report.unsafe_in_flight, report.safe_in_flight, report.index) == (1, 2, 9)
    assert (report.gateway, report.life, report.rollout_id, report.age_s) == ("g1", "life", 7, 0.6)


def test_reports_end_with_the_rollout_and_begin_anew_with_the_next(gateway: Gateway) -> None:
    gateway.end(*send_until(gateway, "v2", 1.5), Code.OK, USUAL_S, 1.6)
    assert gateway.report(2.0).rows and not gateway.reports.due_messages(9, 2.1)  # at intervals
    ended = msgspec.structs.replace(RECORD, state=RolloutState.REVERTED, share=0.0, changed_index=9)
    assert gateway.reports.apply({"saldo": ended}, 2.5) == ["saldo"]
    assert not gateway.reports.due_messages(9, 3.0)
    again = msgspec.structs.replace(RECORD, rollout_id=12, changed_index=12)
    gateway.reports.apply({"saldo": again}, 4.0)
    report = gateway.report(4.5)
    assert report.rollout_id == 12 and not report.rows


def test_trust_ends_some_time_after_the_last_proof(gateway: Gateway) -> None:
    versions = {gateway.send(1.0 + TRUST_S - 0.01)[1][:2] for _ in range(40)}
    assert versions == {"v1", "v2"}
    assert {gateway.send(1.0 + TRUST_S)[1][:2] for _ in range(40)} == {"v1"}
