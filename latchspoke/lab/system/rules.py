"""Rules of the service, as invariant checks over the observations of a day."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from latchspoke.controlplane.evacuations import REPEAT_WINDOW_FRACTION
from latchspoke.lab.system.callers import find_exchange_errors
from latchspoke.lab.system.day import DayResult
from latchspoke.lab.system.day_record import Arrival, Attempt, Command, Doc

NOT_EXECUTED_STATUSES = frozenset((429, 503, 408, 421))
MAX_FINDINGS_PER_RULE = 20
REPLACED_LIMIT_S = 12.0  # after this a replaced limit no longer applies


@dataclass(slots=True, frozen=True)
class Finding:
    """A broken rule: when, what, and which request, server or command."""

    rule: str
    at: float
    what: str
    who: str = ""

    def __str__(self) -> str:
        return f"{self.at:7.3f} s {self.rule}: {self.what}" + (f" [{self.who}]" if self.who else "")


class Version:
    """A configuration, parsed independently of the programs' own parser."""

    def __init__(self, command: Command) -> None:
        assert command.doc is not None
        doc = command.doc
        self.command, self.number = command, command.version
        self.rules: dict[tuple[str, str], Doc] = {}
        for item in doc["listenerList"]:
            for rule in item["ruleSet"]:
                self.rules[item["host"], rule["matchCriteria"]["pathPrefix"]] = rule
        self.holders = {key: tenant for tenant in doc["tenants"] for key in tenant["apiKeys"]}
        self.tenants = {tenant["name"]: tenant for tenant in doc["tenants"]}
        self.services = {item["name"]: item for item in doc["clusterList"]}

    def rule(self, host: str, path: str) -> Doc | None:
        """The rule that matches, or None."""
        return self.rules.get((host, "/" + path.split("/")[1] + "/"))

    def verdict(self, attempt: Attempt) -> int:
        """Expected status under this version: 200, 401 or 404."""
        if self.rule(attempt.host, attempt.path) is None:
            return 404
        return 200 if attempt.key in self.holders else 401

    def sends_to(self, attempt: Attempt) -> frozenset[str]:
        """Services that may run the request."""
        rule = self.rule(attempt.host, attempt.path)
        if rule is None or attempt.key not in self.holders:
            return frozenset()
        action = rule["actionSpec"]
        if action.get("weightedSplit"):
            return frozenset(part["service"] for part in action["weightedSplit"] if part["weight"] > 0)
        return frozenset((action["service"],))

    def allowed_regions(self, attempt: Attempt) -> frozenset[str] | None:
        """Regions that may serve the request; None: all."""
        rule = self.rule(attempt.host, attempt.path)
        tenant = self.holders.get(attempt.key)
        sets = [frozenset(h) for h in ((rule or {})["actionSpec"]["homeRegions"] if rule else [],
                                       tenant["homeRegions"] if tenant else []) if h]  # fmt: skip
        return frozenset.intersection(*sets) if sets else None


class DayView:
    """A day with cached look-ups that several checks share."""

    def __init__(self, result: DayResult) -> None:
        self.result, self.record, self.reachability = result, result.record, result.reachability
        self.bound = result.deployment.bound
        self.kinds = {kind.name: kind for kind in result.deployment.kinds}

    @cached_property
    def submitted(self) -> list[Version]:
        """All submitted configurations, by version."""
        commands = [c for c in self.record.commands if c.what in ("replace", "modify") and c.doc is not None]
        return sorted((Version(command) for command in commands), key=lambda v: v.number)

    @cached_property
    def possibly_active(self) -> list[Version]:
        """Valid configurations that were not refused."""
        return [v for v in self.submitted if v.command.valid and math.isinf(v.command.refused_at)]

    @cached_property
    def acknowledged(self) -> list[Version]:
        """Possibly active configurations whose change was acknowledged, by version."""
        return [v for v in self.possibly_active if not math.isinf(v.command.acked_at)]

    def must_comply(
        self, ip: str, sent: float, when: float, max_delay_s: float, allowed_when_stretched: bool
    ) -> bool:
        """Whether a machine had to know: it was in contact, or the extended bound has passed as well.

        ``allowed_when_stretched``: a version within the extended bound ``max_delay_s`` allows what it did.
        """
        if self.reachability.in_contact(ip, when):
            return True
        acknowledged = [
            v.command.acked_at for v in self.acknowledged if v.command.acked_at < sent - max_delay_s
        ]
        return (
            not allowed_when_stretched
            and bool(acknowledged)
            and self.reachability.only_core_disrupted(ip, max(acknowledged), when)
        )

    def possible(self, sent: float, until: float, slack: float) -> list[Version]:
        """Versions that may be in force for a request, if changes take up to ``slack`` seconds."""
        lowest_version = max(
            (v.number for v in self.acknowledged if v.command.acked_at < sent - slack), default=0
        )
        return [v for v in self.possibly_active if v.number >= lowest_version and v.command.sent <= until]

    @cached_property
    def by_id(self) -> dict[str, list[Arrival]]:
        """Arrivals at servers by attempt ID."""
        found: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.record.arrivals:
            found[arrival.ident].append(arrival)
        return found

    def attempt(self, arrival: Arrival) -> Attempt | None:
        """The attempt that caused an arrival, if a client sent it."""
        return self.record.attempts.get(arrival.ident)

    def runs(self) -> Iterator[tuple[Arrival, Attempt]]:
        """Arrivals that ran, with their attempts."""
        for arrival in self.record.arrivals:
            attempt = self.attempt(arrival)
            if arrival.ran and attempt is not None:
                yield arrival, attempt


Check = Callable[[DayView], Iterator[Finding]]
CHECKS: dict[str, Check] = {}


def rule(name: str) -> Callable[[Check], Check]:
    """Registers a check under the name that its findings carry."""

    def put(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return put


@rule("MIXED")
def check_responses(view: DayView) -> Iterator[Finding]:
    """Each response belongs to its request and is what a server sent, and nothing follows it."""
    for attempt in view.record.attempts.values():
        if attempt.echoed_ident and attempt.echoed_ident != attempt.ident:
            what = f"{attempt.status}, response to another request: {attempt.echoed_ident}"
            yield Finding("MIXED", attempt.ended, what, attempt.ident)
            continue
        arrivals = view.by_id.get(attempt.ident, ())
        if not 200 <= attempt.status < 300:
            if attempt.seal and not any(
                a.seal == attempt.seal and a.status == attempt.status for a in arrivals
            ):
                yield Finding("MIXED", attempt.ended, "error response that no server sent", attempt.ident)
            continue
        successes = [a for a in arrivals if a.status == 200 and a.answer]
        if not attempt.seal:
            yield Finding("MIXED", attempt.ended, "successful response without a server seal", attempt.ident)
        elif not any(a.seal == attempt.seal and a.answer == attempt.answer for a in successes):
            yield Finding("MIXED", attempt.ended, "successful response that no server sent", attempt.ident)
    for at, gateway, what in view.record.unexpected_data:
        yield Finding("MIXED", at, f"unexpected bytes: {what}", gateway)


@rule("UNASKED")
def check_unrequested_runs(view: DayView) -> Iterator[Finding]:
    """Servers run only requests that clients sent, unchanged, without API key and for the right tenant."""
    for arrival in view.record.arrivals:
        if not arrival.ran:
            continue
        attempt = view.attempt(arrival)
        if attempt is None:
            yield Finding("UNASKED", arrival.at, "server ran a request that no client sent", arrival.ident)
            continue
        if (arrival.method, arrival.path, arrival.body) != (attempt.method, attempt.path, attempt.body):
            yield Finding(
                "UNASKED", arrival.at, "server ran a different request than was sent", arrival.ident
            )
        if arrival.key:
            yield Finding("UNASKED", arrival.at, "API key forwarded to the server", arrival.ident)
        if arrival.tenant != view.result.keys.get(attempt.key, ""):
            yield Finding("UNASKED", arrival.at, f"wrong tenant forwarded: {arrival.tenant!r}", arrival.ident)


@rule("TWICE")
def check_repeated_runs(view: DayView) -> Iterator[Finding]:
    """A non-repeatable attempt runs at most once."""
    for ident, arrivals in view.by_id.items():
        attempt = view.record.attempts.get(ident)
        runs = [a for a in arrivals if a.ran]
        if attempt is not None and not attempt.repeatable and len(runs) > 1:
            yield Finding("TWICE", runs[1].at, f"ran at {runs[0].server} and {runs[1].server}", ident)


@rule("EXCHANGE")
def check_exchanges(view: DayView) -> Iterator[Finding]:
    """With gateways recording exchanges: none is repeated without notice, none is lost."""
    callers = view.result.deployment.callers
    if callers is not None and callers.way == "strict":
        for problem in (what for errors in find_exchange_errors(view.record) for what in errors):
            yield Finding("EXCHANGE", view.result.traffic_end, problem)


@rule("REFUSED")
def check_refusals(view: DayView) -> Iterator[Finding]:
    """A non-repeatable attempt that was refused as not executed has not run."""
    for attempt in view.record.attempts.values():
        if attempt.status in NOT_EXECUTED_STATUSES and not attempt.repeatable:
            runs = [a for a in view.by_id.get(attempt.ident, ()) if a.ran]
            if runs:
                yield Finding("REFUSED", attempt.ended, f"answered {attempt.status} but ran", attempt.ident)


@rule("DENIED")
def check_denials(view: DayView) -> Iterator[Finding]:
    """Requests that the configuration allows are not rejected by gateways in contact, up to a small share."""
    denied: list[Finding] = []
    for attempt in view.record.attempts.values():
        status = attempt.status
        if not 300 <= status < 500 or status in (408, 421, 429) or attempt.ident in view.by_id:
            continue
        if status == 409 and attempt.exchange:
            continue  # the state of an exchange, see ``check_exchanges``
        versions = view.possible(attempt.sent, attempt.ended, view.bound("configApplyS"))
        allowed = bool(versions) and all(v.verdict(attempt) == 200 for v in versions)
        if allowed and view.reachability.in_contact(attempt.gateway, attempt.ended):
            denied.append(Finding("DENIED", attempt.ended, f"answered {status}", attempt.ident))
    if len(denied) > 5 + len(view.record.attempts) / 500:
        yield Finding(
            "DENIED",
            denied[0].at,
            f"{len(denied)} valid requests denied; the first was {denied[0].what}",
            denied[0].who,
        )


@rule("ROUTE")
def check_routes(view: DayView) -> Iterator[Finding]:
    """Requests run only at services of their route, with an API key that was configured."""
    known = {key for version in view.submitted for key in version.holders}
    for arrival, attempt in view.runs():
        if not any(arrival.service in v.sends_to(attempt) for v in view.submitted):
            yield Finding("ROUTE", arrival.at, f"{arrival.service} ran {attempt.path}", arrival.ident)
        elif attempt.key not in known:
            yield Finding("ROUTE", arrival.at, "ran with an API key that was never configured", arrival.ident)


@rule("CONFIG")
def check_stale_versions(view: DayView) -> Iterator[Finding]:
    """Requests handled as only an outdated or a refused version allows."""
    slack, most = view.bound("configApplyS"), view.bound("configApplyS") + view.bound("stretchMaxS")
    for arrival, attempt in view.runs():
        versions = view.possible(attempt.sent, arrival.at, slack)
        if any(arrival.service in v.sends_to(attempt) for v in versions):
            continue
        older = [v.number for v in view.possibly_active if arrival.service in v.sends_to(attempt)]
        stretched = view.possible(attempt.sent, arrival.at, most)
        allowed_when_stretched = any(arrival.service in v.sends_to(attempt) for v in stretched)
        if older and view.must_comply(arrival.source, attempt.sent, arrival.at, most, allowed_when_stretched):
            yield Finding(
                "CONFIG",
                arrival.at,
                f"handled by outdated version {older[-1]:08x} at {arrival.source}",
                arrival.ident,
            )
        elif not older and any(arrival.service in v.sends_to(attempt) for v in view.submitted):
            yield Finding("CONFIG", arrival.at, "handled by a refused configuration", arrival.ident)
    for attempt in view.record.attempts.values():
        if attempt.status not in (401, 403, 404) or attempt.ident in view.by_id:
            continue
        versions = view.possible(attempt.sent, attempt.ended, slack)
        allowed = bool(versions) and all(v.verdict(attempt) == 200 for v in versions)
        before = any(v.verdict(attempt) != 200 for v in view.possibly_active)
        allowed_when_stretched = any(
            v.verdict(attempt) != 200 for v in view.possible(attempt.sent, attempt.ended, most)
        )
        if (
            allowed
            and before
            and view.must_comply(attempt.gateway, attempt.sent, attempt.ended, most, allowed_when_stretched)
        ):
            yield Finding(
                "CONFIG",
                attempt.ended,
                f"{attempt.status} at {attempt.gateway}, though the version in force allows it",
                attempt.ident,
            )


@rule("CONFIG back")
def check_reverted_versions(view: DayView) -> Iterator[Finding]:
    """A process must not return to an older version."""
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    starts: dict[str, list[float]] = defaultdict(list)
    for at, ip in view.record.starts:
        starts[ip].append(at)
    slack = view.bound("revertSlackS")
    for arrival, attempt in view.runs():
        allowing = [v.number for v in view.possibly_active if arrival.service in v.sends_to(attempt)]
        if not allowing:
            continue
        process = arrival.source, bisect_right(starts[arrival.source], arrival.at)
        newest_seen, at = seen.get(process, (0, 0.0))
        if max(allowing) < newest_seen and attempt.sent > at + slack:
            yield Finding(
                "CONFIG back",
                arrival.at,
                f"{arrival.source} reverted to a version before {newest_seen:08x}",
                arrival.ident,
            )
        if min(allowing) > newest_seen:
            seen[process] = min(allowing), arrival.at


@rule("CONFIG orders")
def orders(view: DayView) -> Iterator[Finding]:
    """Acknowledged changes are valid, the only ones on their base, and not refused when sent again."""
    by_base: dict[int, Version] = {}
    for version in view.submitted:
        command = version.command
        if max(command.lost_ack_at, command.refused_at) < math.inf:
            yield Finding(
                "CONFIG orders",
                command.refused_at,
                "accepted, then refused when sent again",
                f"{command.version:08x}",
            )
        if math.isinf(command.acked_at):
            continue
        if not command.valid:
            yield Finding(
                "CONFIG orders",
                command.acked_at,
                "invalid configuration acknowledged",
                f"{command.version:08x}",
            )
        elif command.base in by_base:
            other = by_base[command.base].number
            yield Finding(
                "CONFIG orders",
                command.acked_at,
                f"two changes acknowledged on base {command.base:08x}",
                f"{other:08x} {command.version:08x}",
            )
        by_base[command.base] = version


@rule("CONFIG read")
def check_read_back(view: DayView) -> Iterator[Finding]:
    """Configuration read back at the end of the day; a loss after a final fault is reported as LOST."""
    if not view.record.read_back_started_at:
        return
    found, end = view.record.read_back, view.result.traffic_end
    name = "LOST" if view.record.final_fault else "CONFIG read"
    asked = view.record.read_back_started_at
    newest = max((v.number for v in view.acknowledged if v.command.acked_at < asked), default=0)
    if found is None:
        if newest:
            yield Finding(name, end, "configuration cannot be read back")
        return
    number = int(found["version"], 16)
    if number < newest:
        yield Finding(name, end, f"read back {number:08x}, but {newest:08x} was acknowledged")
    sent = [v.command.doc for v in view.submitted if v.number == number and v.command.doc is not None]
    if not any(normalized(doc) == normalized(found) for doc in sent):
        yield Finding("CONFIG read", end, f"{number:08x} differs from what was submitted")
    if not any(v.number == number for v in view.possibly_active):
        yield Finding("CONFIG read", end, f"{number:08x} is in force but was refused")


def normalized(doc: Doc) -> dict[str, Any]:
    """A configuration in a form that can be compared, with rules, tenants and services by name."""
    rules = {
        r["name"]: (item["host"], without_empty(r)) for item in doc["listenerList"] for r in item["ruleSet"]
    }
    return {
        "rules": rules,
        "tenants": {t["name"]: without_empty(t) for t in doc["tenants"]},
        "services": {s["name"]: without_empty(s) for s in doc["clusterList"]},
        "limits": without_empty(doc["limits"]),
    }


def without_empty(value: Any) -> Any:
    """Without null and empty fields."""
    if isinstance(value, dict):
        return {k: without_empty(v) for k, v in value.items() if v is not None and v != []}
    return [without_empty(v) for v in value] if isinstance(value, list) else value


@rule("CONFIG keys")
def check_revoked_keys(view: DayView) -> Iterator[Finding]:
    """Requests that ran after their API key was revoked."""
    if not view.bound("revocationEnforced"):
        return
    revocations: dict[str, float] = {}
    for number, version in enumerate(view.acknowledged):
        for key in version.holders:
            revocations.pop(key, None)
        if number:
            for key in set(view.acknowledged[number - 1].holders) - set(version.holders):
                revocations[key] = version.command.acked_at
    possibly_valid = {
        key for v in view.possibly_active if math.isinf(v.command.acked_at) for key in v.holders
    }
    for arrival, attempt in view.runs():
        revoked_at = revocations.get(attempt.key)
        if (
            revoked_at is not None
            and attempt.key not in possibly_valid
            and attempt.sent > revoked_at + view.bound("revokeS")
        ):
            yield Finding(
                "CONFIG keys",
                arrival.at,
                f"run {attempt.sent - revoked_at:.2f} s after its key was revoked",
                arrival.ident,
            )


@rule("CONFIG added")
def check_added_routes(view: DayView) -> Iterator[Finding]:
    """Routes added later are served as well as the first ones of the same service."""
    served: dict[tuple[frozenset[str], int], list[list[int]]] = defaultdict(lambda: [[0, 0], [0, 0]])
    for attempt in view.record.attempts.values():
        versions = view.possible(attempt.sent, attempt.ended, view.bound("configApplyS"))
        if not versions or not all(v.verdict(attempt) == 200 for v in versions):
            continue
        if attempt.status not in (0, 429) and view.reachability.in_contact(attempt.gateway, attempt.ended):
            pair = served[versions[-1].sends_to(attempt), int(attempt.ended)]
            counts = pair[attempt.path.startswith("/extra")]
            counts[0] += int(200 <= attempt.status < 300)
            counts[1] += 1
    pairs = [(first, later) for first, later in served.values() if first[1] and later[1]]
    later_served, count = (sum(later[n] for _, later in pairs) for n in (0, 1))
    expected_served = sum(later[1] * first[0] / first[1] for first, later in pairs)
    if count >= 20 and later_served < expected_served / 4:
        yield Finding(
            "CONFIG added",
            0.0,
            f"{later_served} of {count} served on routes added later, {expected_served:.0f} expected",
        )


@rule("BUDGET")
def check_retry_budget(view: DayView) -> Iterator[Finding]:
    """Retries stay within a ratio of the requests of a service, plus slack."""
    window, ratio, slack = (view.bound(n) for n in ("retryWindowS", "retryRatio", "retrySlack"))
    extra: dict[str, list[float]] = defaultdict(list)
    for arrivals in view.by_id.values():
        for arrival in sorted(arrivals, key=lambda a: a.at)[1:]:
            extra[arrival.service].append(arrival.at)
    requests_sent: dict[str, list[float]] = defaultdict(list)
    for attempt in view.record.attempts.values():
        kind = view.kinds.get(attempt.request.kind) if attempt.request else None
        for service in {kind.service, kind.also} if kind else set():
            requests_sent[service].append(attempt.sent)
    for service, times in extra.items():
        times.sort()
        sent = sorted(requests_sent[service])

        def count(start: float, end: float, sent: list[float] = sent) -> int:
            return bisect_right(sent, end) - bisect_left(sent, start)

        for index, end in enumerate(times):
            start = end - window
            further_count = index + 1 - bisect_left(times, start)
            request_count = max(
                count(start - shift_s, end - shift_s) for shift_s in (0.0, window / 2, window)
            )
            if further_count > ratio * request_count + slack:
                yield Finding("BUDGET", end, f"{further_count} retries for {request_count} requests", service)
                break


@rule("QUOTA")
def check_quota(view: DayView) -> Iterator[Finding]:
    """No tenant exceeds its rate and burst, with the tolerated excess."""
    window, excess, slack = (view.bound(n) for n in ("quotaWindowS", "quotaExcess", "quotaSlack"))
    runs: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for arrival, attempt in view.runs():
        runs[view.result.keys.get(attempt.key, "")].append((arrival.at, attempt.sent))
    for tenant, times in runs.items():
        times.sort()
        for index, (end, _) in enumerate(times):
            start = end - window
            first = bisect_left(times, (start, 0.0))
            count = sum(sent >= start for _, sent in times[first : index + 1])
            lowest_version = max(
                (v.number for v in view.acknowledged if v.command.acked_at < start - REPLACED_LIMIT_S),
                default=0,
            )
            limits = [
                (v.tenants[tenant]["ratePerS"], v.tenants[tenant]["burstSize"])
                for v in view.possibly_active
                if v.number >= lowest_version and v.command.sent <= end and tenant in v.tenants
            ]
            if not limits or any(not rate for rate, _ in limits):
                continue
            most = max((rate * window + burst) * (1 + excess) + slack for rate, burst in limits)
            if count > most:
                yield Finding(
                    "QUOTA", end, f"{count} requests in {window:g} s, at most {most:.0f} allowed", tenant
                )
                break


@rule("FAILBACK")
def check_cold_rate(view: DayView) -> Iterator[Finding]:
    """A cold server gets no more requests in a second than its cold-start limit, with slack."""
    services = {s.name: s for s in view.result.deployment.services}
    cold: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in view.record.arrivals:
        if arrival.cold and not arrival.misrouted:
            cold[arrival.server].append(arrival)
    for server, arrivals in cold.items():
        service = services[arrivals[0].service]
        most = service.cold_per_s * view.bound("coldExcess") + view.bound("coldSlack")
        for arrival in arrivals:
            start = arrival.at - 1.0
            count = sum(start <= a.at <= arrival.at and a.sent >= start for a in arrivals)
            if count > most:
                yield Finding(
                    "FAILBACK",
                    arrival.at,
                    f"{count} requests in a second while cold, at most {most:g} allowed",
                    server,
                )
                break


@rule("HOME")
def check_home_regions(view: DayView) -> Iterator[Finding]:
    """Requests with home regions reach servers in these regions only."""
    for arrival in view.record.arrivals:
        attempt = view.attempt(arrival)
        if attempt is None:
            continue
        versions = view.possible(attempt.sent, arrival.at, view.bound("configApplyS"))
        allowed_regions = [v.allowed_regions(attempt) for v in versions]
        if allowed_regions and all(
            regions is not None and arrival.region not in regions for regions in allowed_regions
        ):
            yield Finding("HOME", arrival.at, f"sent to {arrival.region}", arrival.ident)


@rule("EVAC")
def check_evacuations(view: DayView) -> Iterator[Finding]:
    """An evacuated zone gets no requests once the bound has passed."""
    begun_count: Counter[str] = Counter()
    last_begin: dict[str, float] = {}
    for command in view.record.commands:
        if command.what != "begin":
            continue
        is_repeat = command.sent <= last_begin.get(
            command.zone, -math.inf
        ) + REPEAT_WINDOW_FRACTION * view.bound("ackS")
        begun_count[command.zone] += not is_repeat
        last_begin[command.zone] = max(command.sent, min(command.acked_at, command.abandoned_at))
        if math.isinf(command.acked_at):
            continue
        # Several evacuations of one zone may overlap and finish in order. A begin shortly after another is
        # indistinguishable from a retry, and ends with the next finish.
        ends = [c.sent for c in view.record.commands if c.what == "finish" and c.zone == command.zone]
        if is_repeat:
            ends = [sent for sent in ends if sent > command.sent][:1] * begun_count[command.zone]
        end = ends[begun_count[command.zone] - 1] if begun_count[command.zone] <= len(ends) else math.inf
        for arrival in view.record.arrivals:
            late_s = arrival.at - command.acked_at
            in_zone = arrival.zone == command.zone and not arrival.misrouted
            due = in_zone and late_s > view.bound("evacuationS") and arrival.at < end
            past_stretch = late_s > view.bound("evacuationS") + view.bound("stretchMaxS")
            if due and (
                view.reachability.in_contact(arrival.source, arrival.at)
                or (
                    past_stretch
                    and view.reachability.only_core_disrupted(arrival.source, command.acked_at, arrival.at)
                )
            ):
                yield Finding(
                    "EVAC", arrival.at, f"{late_s:.2f} s after {command.zone} was evacuated", arrival.ident
                )


@rule("DRAIN")
def check_drains(view: DayView) -> Iterator[Finding]:
    """A draining server gets no requests once the bound has passed."""
    drains = {item.server: item for item in view.record.drains if item.answered_by}
    for arrival in view.record.arrivals:
        drain = drains.get(arrival.server)
        if drain is None or arrival.misrouted:
            continue
        late_s = arrival.at - drain.acked_at
        due = late_s > view.bound("drainS") and view.reachability.in_contact(
            drain.answered_by, drain.acked_at
        )
        if due and view.reachability.in_contact(arrival.source, arrival.at):
            yield Finding(
                "DRAIN",
                arrival.at,
                f"{late_s:.2f} s after the drain of {arrival.server} was acknowledged",
                arrival.ident,
            )


EARLY_REQUEST_S = 3.0  # requests sent so soon after SIGTERM may be cut off at the end of ``graceS``


@rule("LOST")
def check_cut_off_requests(view: DayView) -> Iterator[Finding]:
    """Requests cut off by an orderly shutdown of a gateway."""
    grace, slack, contact_s = (view.bound(n) for n in ("graceS", "lossSlackS", "contactS"))
    for at, ip, _ in view.record.terminations:
        for attempt in view.record.attempts.values():
            if attempt.gateway != ip or attempt.status >= 0 or not at <= attempt.ended <= at + grace + 1.0:
                continue
            if not view.reachability.undisturbed(ip, attempt.sent - contact_s, attempt.ended):
                continue
            arrivals = view.by_id.get(attempt.ident, [])
            is_early = attempt.sent <= at + EARLY_REQUEST_S
            if any(a.aborted or (is_early and a.ended > at + grace * 5 / 6) for a in arrivals):
                continue
            if arrivals or attempt.ended > attempt.sent + slack + 0.1:
                yield Finding("LOST", attempt.ended, f"cut off while {ip} shut down", attempt.ident)


@rule("RECOVER")
def check_recovery(view: DayView) -> Iterator[Finding]:
    """Traffic is served again within the recovery bound after a final fault."""
    if view.record.final_fault is None:
        return
    at, back_at = view.record.final_fault
    before = [r for r in view.record.requests if r.at < at - 2 and r.owed]
    after = [r for r in view.record.requests if r.at > back_at + view.bound("recoveryS") and r.owed]

    def served_share(requests: list[Any]) -> float:
        return sum(r.served >= 0 for r in requests) / len(requests) if requests else 1.0

    if len(after) >= 20 and served_share(before) >= 0.25 > served_share(after):
        yield Finding(
            "RECOVER", back_at, f"{served_share(after):.2f} of requests served after the final fault"
        )


@rule("FAULT")
def check_faults(view: DayView) -> Iterator[Finding]:
    """Unexpected process exits and uncaught exceptions."""
    for at, who, what in [*view.record.process_exits, *view.result.uncaught_errors]:
        yield Finding("FAULT", at, what, who)


@rule("ACKS")
def check_acknowledgements(view: DayView) -> Iterator[Finding]:
    """Valid commands and drains are acknowledged in time while the control plane is stable."""
    limit = view.bound("ackS")
    for command in view.record.commands:
        if not command.valid or command.sent < 5.0:
            continue
        if not math.isinf(command.refused_at) and command.status != 412:
            yield Finding(
                "ACKS",
                command.refused_at,
                f"valid command refused with {command.status}",
                f"{command.what} {command.version:08x}",
            )
        elif min(command.acked_at, command.refused_at, command.lost_ack_at) > command.sent + limit + 0.05:
            end = command.sent + limit
            if (
                end < view.result.traffic_end
                and view.reachability.core_stable(command.sent, end)
                and not view.reachability.link_cut_within(command.sent, end)
            ):
                yield Finding(
                    "ACKS", end, "valid command not acknowledged", f"{command.what} {command.version:08x}"
                )
    late = [
        item
        for item in view.record.drains
        if item.acked_at > item.started_at + limit
        and view.reachability.core_stable(item.started_at, item.started_at + limit)
        and not view.reachability.link_cut_within(item.started_at, item.started_at + limit)
    ]
    if len(late) >= 3 and len(late) * 5 > len(view.record.drains):
        yield Finding(
            "ACKS", late[0].started_at, f"{len(late)} draining servers not acknowledged", late[0].server
        )


def judge(result: DayResult) -> list[Finding]:
    """All findings by time, at most MAX_FINDINGS_PER_RULE for each rule."""
    view = DayView(result)
    found: list[Finding] = []
    for check in CHECKS.values():
        for number, finding in enumerate(check(view)):
            if number >= MAX_FINDINGS_PER_RULE:
                break
            found.append(finding)
    return sorted(found, key=lambda f: f.at)


from latchspoke.lab.system import version_rules as version_rules  # noqa: E402 - registers its checks
