"""Simulation of gateways that share evidence on failing servers, and its benefit and cost.

Runs the real dispatchers, examiners and evidence stores in virtual time; servers, network and clients are
models. A seed determines the result. The command ``python -m latchspoke.outliers.simulation --how one_zone``
prints the figures with and without sharing.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from barleyhub import interface as api
from barleyhub.interface import Code
from barleyhub.line.balancer import Balancer, Upstream, UpstreamState
from barleyhub.line.dispatch import Dispatcher, RoutedRequest
from barleyhub.line.outliers import OutlierDetector
from latchspoke.configuration.routes import NO_HOMES, Route
from latchspoke.outliers.evidence import EvidenceStore, decode_entry

URGENT_REPORT_INTERVAL_S, REPORT_INTERVAL_S, GATHER_DELAY_S, RETRY_DELAY_S = (
    0.2,
    0.8,
    0.1,
    0.3,
)
SAME_REGION_DELAY_S = 0.002  # one way
CROSS_REGION_DELAY_S = 0.02  # one way
AVOIDED_FRACTION = 0.25  # a server that gets less than this part of its usual requests counts as avoided
BIN_S = 0.5


@dataclass(slots=True)
class Fault:
    """A fault of part of the servers."""

    server_fraction: float = 0.14
    failure_rate: float = 0.45
    starts_at: float = 6.0
    duration_s: float = 6.5
    kind: str = "errors"  # one_zone: only for callers in the server's zone; flap: unreachable by turns
    flap_interval_s: float = 1.4
    background_failure_rate: float = 0.002  # at all servers and times


@dataclass(slots=True)
class Results:
    """Figures of one run."""

    requests: int = 0
    failed: int = 0
    failed_by_fault: int = 0
    retries: int = 0
    wrongly_avoided_samples: float = 0.0  # samples of a gateway that avoids a healthy server
    healthy_samples: float = 0.0  # samples of a gateway and a healthy server
    messages: int = 0
    bytes: int = 0
    cross_region_bytes: int = 0
    detection_times_s: list[float] = field(default_factory=list)  # until each faulty server was avoided

    def summary(self) -> dict[str, Any]:
        """The figures to print."""
        times = sorted(self.detection_times_s)
        return {
            "requests": self.requests,
            "failed_by_trouble": self.failed_by_fault,
            "failed": self.failed,
            "tries": self.retries,
            "avoided_after_s": [round(times[len(times) // 2], 2), round(times[-1], 2)] if times else None,
            "wrongly_turned": round(self.wrongly_avoided_samples / max(self.healthy_samples, 1e-9), 5),
            "words": self.messages,
            "bytes": self.bytes,
            "far_bytes": self.cross_region_bytes,
        }


class Server:
    """A server with a number of slots, each of which serves one request at a time."""

    def __init__(self, upstream: Upstream, faulty: bool) -> None:
        self.upstream, self.faulty, self.slots_free_at = upstream, faulty, [0.0] * upstream.slots
        self.requests_by_bin: dict[int, int] = {}

    def serve(self, now: float, work_s: float) -> float:
        """Queue a request; returns the time (s) at which its answer is ready."""
        started_at = max(heapq.heappop(self.slots_free_at), now)
        heapq.heappush(self.slots_free_at, started_at + work_s)
        return started_at + work_s


class Simulation:
    """One run."""

    def __init__(
        self, gateways: int, servers: int, seed: int, fault: Fault, sharing: bool = True,
        zones: int = 9, regions: int = 3, requests_per_s: float = 0.0, idempotent: bool = False,
        load: float = 0.4,
    ) -> None:  # fmt: skip
        """``requests_per_s``: total rate; 0: the rate that keeps ``load`` of the servers' slots busy."""
        self.rng, self.fault, self.sharing = Random(seed), fault, sharing
        self.mean_work_s, self.now, self.results = 0.31, 0.0, Results()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.zones = [f"z{i}" for i in range(zones)]
        self.region = {zone: f"r{i % regions}" for i, zone in enumerate(self.zones)}
        self.route = Route("r", "h", "/", idempotent, 1.5, 6.0, 2, 0, False, NO_HOMES, (("pool", 1.0),))
        self.servers = {}
        for i in range(servers):
            zone = self.zones[i % zones]
            upstream = Upstream(f"s{i:03d}", "pool", "h", 1, zone, self.region[zone], 6, UpstreamState.READY)
            self.servers[upstream.ident] = Server(upstream, False)
        for name in self.rng.sample(sorted(self.servers), round(servers * fault.server_fraction)):
            self.servers[name].faulty = True
        names = {f"g{i:03d}": self.zones[i % zones] for i in range(gateways)}
        self.gateways = {}
        for name, zone in names.items():
            stock = Balancer(name, zone, self.region[zone], self.rng, 1.5)
            for server in self.servers.values():
                source = server.upstream
                stock.put(
                    Upstream(
                        source.ident, "pool", "h", 1, source.zone, source.region, 6, UpstreamState.READY
                    ),
                    0.0,
                )
            dispatcher = Dispatcher(stock, self.rng, 0.2, 208.0)
            dispatcher.set_gateways(names, 0.0)
            self.gateways[name] = dispatcher, OutlierDetector(zone)
        # One control-plane node in each zone.
        self.evidence_stores = {zone: EvidenceStore() for zone in self.zones}
        self.gathering_zones: set[str] = set()
        self.reported_at = dict.fromkeys(names, 0.0)
        self.gateway_requests_per_s = (requests_per_s or load * servers * 6 / self.mean_work_s) / gateways
        self.request_numbers = itertools.count()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.event_numbers), action))

    def run(self, until: float) -> Results:
        """Run all events up to that time (s)."""
        for name in self.gateways:
            self.schedule(
                self.rng.expovariate(self.gateway_requests_per_s), partial(self.start_request, name)
            )
            if self.sharing:
                self.schedule(
                    self.rng.random() * URGENT_REPORT_INTERVAL_S, partial(self.report_evidence, name)
                )
        while self.events and self.events[0][0] < until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.measure_detection(until)
        return self.results

    # Requests.

    def start_request(self, gateway_name: str) -> None:
        """Start a request at a gateway, and schedule the next."""
        self.schedule(
            self.rng.expovariate(self.gateway_requests_per_s), partial(self.start_request, gateway_name)
        )
        self.results.requests += 1
        request_id = f"{gateway_name}.{next(self.request_numbers)}"
        call = RoutedRequest(request_id, "", "pool", "r", 1.0, 6.0, 1, route=self.route)
        self.carry_out(gateway_name, self.gateways[gateway_name][0].handle(call, self.now))

    def carry_out(self, gateway_name: str, actions: list[api.Action]) -> None:
        """Carry out the actions of a gateway's dispatcher."""
        for action in actions:
            if isinstance(action, api.Send):
                self.send(gateway_name, action)
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.mark)
                self.schedule(action.after, partial(self.dispatch, gateway_name, fired))
            elif isinstance(action, api.Fail | api.Refuse):
                self.results.failed += 1

    def dispatch(self, gateway_name: str, event: api.Event) -> None:
        """Pass an event to a gateway's dispatcher."""
        self.carry_out(gateway_name, self.gateways[gateway_name][0].handle(event, self.now))

    def failure_kind(self, server: Server, zone: str) -> str:
        """How a request from this zone fails at the server now; empty if it does not."""
        fault, elapsed_s = self.fault, self.now - self.fault.starts_at
        if self.rng.random() < fault.background_failure_rate:
            return "error"
        if not server.faulty or not 0 <= elapsed_s < fault.duration_s:
            return ""
        if fault.kind == "flap":
            return "dead" if int(elapsed_s / fault.flap_interval_s) % 2 == 0 else ""
        if fault.kind == "one_zone" and zone != server.upstream.zone:
            return ""
        return "error" if self.rng.random() < fault.failure_rate else ""

    def send(self, gateway_name: str, action: api.Send) -> None:
        """Send an attempt, and schedule its outcome."""
        dispatcher = self.gateways[gateway_name][0]
        server = self.servers[action.server]
        zone = dispatcher.balancer.zone
        delay_s = (
            SAME_REGION_DELAY_S
            if dispatcher.balancer.region == server.upstream.region
            else CROSS_REGION_DELAY_S
        )
        attempt = dispatcher.active_requests[action.request].sends - 1
        bin_number = int(self.now / BIN_S)
        server.requests_by_bin[bin_number] = server.requests_by_bin.get(bin_number, 0) + 1
        failure = self.failure_kind(server, zone)
        self.results.retries += attempt > 0
        if failure == "dead":
            code, latency_s = Code.UNREACHABLE, 2 * delay_s
        else:
            work_s = self.mean_work_s * math.exp(self.rng.gauss(0, 0.3))
            latency_s = (
                server.serve(self.now, work_s if not failure else 0.2 * work_s) - self.now + 2 * delay_s
            )
            code = Code.ERROR if failure else Code.OK
            self.results.failed_by_fault += bool(failure)
        closed = code is Code.OK
        outcome = api.Outcome(action.request, attempt, action.server, code, latency_s, closed=closed)
        self.schedule(latency_s, partial(self.dispatch, gateway_name, outcome))

    # Evidence.

    def report_evidence(self, gateway_name: str) -> None:
        """Periodic step of a gateway: report new counts to its control-plane node."""
        self.schedule(URGENT_REPORT_INTERVAL_S, partial(self.report_evidence, gateway_name))
        dispatcher, examiner = self.gateways[gateway_name]
        witness = dispatcher.failure_reporter
        if int(self.now / URGENT_REPORT_INTERVAL_S) % 3 == 0:
            witness.expire(self.now, examiner.expire(self.now))
            self.update_avoided_servers(gateway_name)
        interval_s = URGENT_REPORT_INTERVAL_S if witness.urgent else REPORT_INTERVAL_S
        if witness.unreported and self.now - self.reported_at[gateway_name] >= interval_s:
            self.reported_at[gateway_name] = self.now
            counts, zone = witness.take_report(self.now), dispatcher.balancer.zone
            self.count_messages(counts, 1)
            self.schedule(SAME_REGION_DELAY_S, partial(self.receive_report, zone, gateway_name, counts))

    def count_messages(self, content: Any, copies: int, cross_region: bool = False) -> None:
        """Add a message to the traffic figures; the size is that of compact JSON with a header."""
        size = copies * (len(str(content).replace(" ", "")) + 24)
        self.results.messages += copies
        self.results.bytes += size
        self.results.cross_region_bytes += size * cross_region

    def receive_report(self, zone: str, gateway_name: str, counts: Any) -> None:
        """A report of a gateway arrives at its control-plane node."""
        self.evidence_stores[zone].add_reports(gateway_name, zone, counts, self.now)
        self.schedule_update(zone)

    def schedule_update(self, zone: str, delay_s: float = GATHER_DELAY_S) -> None:
        """Schedule the next updates of a control-plane node, unless they are already."""
        if zone not in self.gathering_zones:
            self.gathering_zones.add(zone)
            self.schedule(delay_s, partial(self.send_updates, zone))

    def send_updates(self, zone: str) -> None:
        """Send the updates of a control-plane node to its peers and gateways."""
        self.gathering_zones.discard(zone)
        store = self.evidence_stores[zone]
        store.sweep(self.now)
        if entries := store.updates_for_peers(self.now):
            for other in self.zones:
                if other != zone:
                    same_region = self.region[other] == self.region[zone]
                    self.count_messages(entries, 1, not same_region)
                    self.schedule(
                        SAME_REGION_DELAY_S if same_region else CROSS_REGION_DELAY_S,
                        partial(self.merge_update, other, zone, entries),
                    )
        if updates := store.updates_for_gateways(self.now, [zone]):
            for gateway_name, (dispatcher, _) in self.gateways.items():
                if dispatcher.balancer.zone == zone:
                    self.count_messages(updates[zone], 1)
                    self.schedule(
                        SAME_REGION_DELAY_S, partial(self.apply_update, gateway_name, updates[zone])
                    )
        if store.has_pending():
            self.schedule_update(zone, RETRY_DELAY_S)

    def merge_update(self, zone: str, source: str, entries: Any) -> None:
        """An update of a control-plane node arrives at another."""
        self.evidence_stores[zone].merge(source, entries, self.now)
        self.schedule_update(zone)

    def apply_update(self, gateway_name: str, entries: Any) -> None:
        """An update of a control-plane node arrives at a gateway."""
        dispatcher, examiner = self.gateways[gateway_name]
        for entry in entries:
            examiner.learn(*decode_entry(entry), self.now)
        dispatcher.failure_reporter.suspect(examiner.received)
        self.update_avoided_servers(gateway_name)

    def update_avoided_servers(self, gateway_name: str) -> None:
        """Derive the servers that a gateway avoids, and count healthy ones among them."""
        dispatcher, examiner = self.gateways[gateway_name]
        dispatcher.balancer.outlier_shares = examiner.failure_shares({"pool": self.servers}, self.now)
        healthy = [
            server
            for server in self.servers.values()
            if not self.is_faulty_for(server, dispatcher.balancer.zone)
        ]
        self.results.healthy_samples += len(healthy)
        self.results.wrongly_avoided_samples += sum(
            server.upstream.ident in dispatcher.balancer.outlier_shares for server in healthy
        )

    def is_faulty_for(self, server: Server, zone: str) -> bool:
        """Whether the server fails requests from this zone, or did so until recently."""
        elapsed_s = self.now - self.fault.starts_at
        faulty = server.faulty and 0 <= elapsed_s < self.fault.duration_s + 2.0
        return faulty and (self.fault.kind != "one_zone" or server.upstream.zone == zone)

    def measure_detection(self, until: float) -> None:
        """Note how long each faulty server got at least ``AVOIDED_FRACTION`` of its usual requests."""
        first_bin = int(self.fault.starts_at / BIN_S)
        last_bin = int(min(self.fault.starts_at + self.fault.duration_s, until) / BIN_S)
        for server in self.servers.values():
            if server.faulty:
                usual = sum(
                    server.requests_by_bin.get(bin_number, 0) for bin_number in range(2, first_bin)
                ) / (first_bin - 2)
                avoided_bins = [
                    bin_number
                    for bin_number in range(first_bin, last_bin)
                    if server.requests_by_bin.get(bin_number, 0) < AVOIDED_FRACTION * usual
                ]
                self.results.detection_times_s.append(
                    (avoided_bins[0] - first_bin + 1) * BIN_S if avoided_bins else self.fault.duration_s
                )


def main() -> None:
    """Print the figures with and without sharing."""
    import argparse

    parser = argparse.ArgumentParser(prog="latchspoke.outliers.simulation", description=__doc__)
    parser.add_argument("--gateways", type=int, default=84)
    parser.add_argument("--servers", type=int, default=75)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--how", default="errors", choices=("errors", "one_zone", "flap", "none"))
    parser.add_argument("--load", type=float, default=0.4)
    parser.add_argument("--zones", type=int, default=9)
    args = parser.parse_args()
    for sharing in (False, True):
        fault = Fault(kind=args.how, server_fraction=0.0 if args.how == "none" else 0.14)
        simulation = Simulation(
            args.gateways, args.servers, args.seed, fault, sharing, zones=args.zones, load=args.load
        )
        print("shared" if sharing else "alone ", simulation.run(16.0).summary())


if __name__ == "__main__":
    main()
