"""The rules as named checks over what clients, servers and the operator saw in a day."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from latchspoke.controlplane.evacuations import REPEAT_WINDOW_FRACTION
from latchspoke.lab.system.callers import strayed
from latchspoke.lab.system.day import Played
from latchspoke.lab.system.record import Arrival, Doc, Order, Try

PROMISES = frozenset((429, 503, 408, 421))
MOST = 20  # findings that are kept of one rule
OLD = 12.0  # s after which a limit that was replaced says nothing any more


@dataclass(slots=True, frozen=True)
class Finding:
    """One breach: when, what, and of which request, server or order."""

    rule: str
    at: float
    what: str
    who: str = ""

    def __str__(self) -> str:
        return f"{self.at:7.3f} s {self.rule}: {self.what}" + (f" [{self.who}]" if self.who else "")


class Version:
    """One configuration as its operator meant it, read apart from the programs' own reader."""

    def __init__(self, order: Order) -> None:
        assert order.doc is not None
        doc = order.doc
        self.order, self.number = order, order.version
        self.rules: dict[tuple[str, str], Doc] = {}
        for item in doc["listenerList"]:
            for rule in item["ruleSet"]:
                self.rules[item["host"], rule["matchCriteria"]["pathPrefix"]] = rule
        self.holders = {key: tenant for tenant in doc["tenants"] for key in tenant["apiKeys"]}
        self.tenants = {tenant["name"]: tenant for tenant in doc["tenants"]}
        self.services = {item["name"]: item for item in doc["clusterList"]}

    def rule(self, host: str, path: str) -> Doc | None:
        return self.rules.get((host, "/" + path.split("/")[1] + "/"))

    def verdict(self, attempt: Try) -> int:
        """200, 401 or 404, as this version answers."""
        if self.rule(attempt.host, attempt.path) is None:
            return 404
        return 200 if attempt.key in self.holders else 401

    def sends_to(self, attempt: Try) -> frozenset[str]:
        """The services that may run it."""
        rule = self.rule(attempt.host, attempt.path)
        if rule is None or attempt.key not in self.holders:
            return frozenset()
        action = rule["actionSpec"]
        if action.get("weightedSplit"):
            return frozenset(part["service"] for part in action["weightedSplit"] if part["weight"] > 0)
        return frozenset((action["service"],))

    def homes(self, attempt: Try) -> frozenset[str] | None:
        """Regions that may serve it; None: all."""
        rule = self.rule(attempt.host, attempt.path)
        tenant = self.holders.get(attempt.key)
        sets = [frozenset(h) for h in ((rule or {})["actionSpec"]["homeRegions"] if rule else [],
                                       tenant["homeRegions"] if tenant else []) if h]  # fmt: skip
        return frozenset.intersection(*sets) if sets else None


class View:
    """A day, with what the checks look up again and again."""

    def __init__(self, played: Played) -> None:
        self.played, self.record, self.touch = played, played.record, played.touch
        self.bound = played.deployment.bound
        self.kinds = {kind.name: kind for kind in played.deployment.kinds}

    @cached_property
    def configured(self) -> list[Version]:
        """All that were ever sent, by number."""
        orders = [o for o in self.record.orders if o.what in ("replace", "modify") and o.doc is not None]
        return sorted((Version(order) for order in orders), key=lambda v: v.number)

    @cached_property
    def taken(self) -> list[Version]:
        """Those that are or may be in force."""
        return [v for v in self.configured if v.order.valid and math.isinf(v.order.refused)]

    @cached_property
    def acked(self) -> list[Version]:
        return [v for v in self.taken if not math.isinf(v.order.acked)]

    def late(self, ip: str, sent: float, when: float, most: float, within: bool) -> bool:
        """Whether a machine should have known better: in touch, or beyond what an unsettled core may stretch.

        ``within``: what it did is allowed by a version that is no older than ``most``.
        """
        if self.touch.at(ip, when):
            return True
        acked = [v.order.acked for v in self.acked if v.order.acked < sent - most]
        return not within and bool(acked) and self.touch.outer(ip, max(acked), when)

    def possible(self, sent: float, until: float, slack: float) -> list[Version]:
        """Those that may be in force for a request sent then, where changes take up to ``slack``."""
        least = max((v.number for v in self.acked if v.order.acked < sent - slack), default=0)
        return [v for v in self.taken if v.number >= least and v.order.sent <= until]

    @cached_property
    def by_id(self) -> dict[str, list[Arrival]]:
        found: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.record.arrivals:
            found[arrival.ident].append(arrival)
        return found

    def attempt(self, arrival: Arrival) -> Try | None:
        return self.record.tries.get(arrival.ident)

    def runs(self) -> Iterator[tuple[Arrival, Try]]:
        for arrival in self.record.arrivals:
            attempt = self.attempt(arrival)
            if arrival.ran and attempt is not None:
                yield arrival, attempt


Check = Callable[[View], Iterator[Finding]]
CHECKS: dict[str, Check] = {}


def rule(name: str) -> Callable[[Check], Check]:
    def put(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return put


@rule("MIXED")
def mixed(view: View) -> Iterator[Finding]:
    for attempt in view.record.tries.values():
        if attempt.told and attempt.told != attempt.ident:
            what = f"{attempt.status}, the answer to another request: {attempt.told}"
            yield Finding("MIXED", attempt.ended, what, attempt.ident)
            continue
        arrivals = view.by_id.get(attempt.ident, ())
        if not 200 <= attempt.status < 300:
            if attempt.seal and not any(
                a.seal == attempt.seal and a.status == attempt.status for a in arrivals
            ):
                yield Finding("MIXED", attempt.ended, "a failure that no server gave so", attempt.ident)
            continue
        given = [a for a in arrivals if a.status == 200 and a.answer]
        if not attempt.seal:
            yield Finding("MIXED", attempt.ended, "a success without seal", attempt.ident)
        elif not any(a.seal == attempt.seal and a.answer == attempt.answer for a in given):
            yield Finding("MIXED", attempt.ended, "a success that no server gave so", attempt.ident)
    for at, gateway, what in view.record.odd:
        yield Finding("MIXED", at, f"bytes that nobody asked for: {what}", gateway)


@rule("UNASKED")
def unasked(view: View) -> Iterator[Finding]:
    for arrival in view.record.arrivals:
        if not arrival.ran:
            continue
        attempt = view.attempt(arrival)
        if attempt is None:
            yield Finding("UNASKED", arrival.at, "a run that no client asked for", arrival.ident)
            continue
        if (arrival.method, arrival.path, arrival.body) != (attempt.method, attempt.path, attempt.body):
            yield Finding("UNASKED", arrival.at, "a run of something else than was asked", arrival.ident)
        if arrival.key:
            yield Finding("UNASKED", arrival.at, "the key was shown to the server", arrival.ident)
        if arrival.tenant != view.played.keys.get(attempt.key, ""):
            yield Finding("UNASKED", arrival.at, f"the tenant was told as {arrival.tenant!r}", arrival.ident)


@rule("TWICE")
def twice(view: View) -> Iterator[Finding]:
    for ident, arrivals in view.by_id.items():
        attempt = view.record.tries.get(ident)
        runs = [a for a in arrivals if a.ran]
        if attempt is not None and not attempt.repeatable and len(runs) > 1:
            yield Finding("TWICE", runs[1].at, f"run at {runs[0].server} and {runs[1].server}", ident)


@rule("EXCHANGE")
def exchanges(view: View) -> Iterator[Finding]:
    """Where gateways hold callers' records: nothing run again unless its caller was told, nothing lost."""
    callers = view.played.deployment.callers
    if callers is not None and callers.way == "strict":
        for each in (what for those in strayed(view.record) for what in those):
            yield Finding("EXCHANGE", view.played.end, each)


@rule("REFUSED")
def refused(view: View) -> Iterator[Finding]:
    for attempt in view.record.tries.values():
        if attempt.status in PROMISES and not attempt.repeatable:
            runs = [a for a in view.by_id.get(attempt.ident, ()) if a.ran]
            if runs:
                yield Finding(
                    "REFUSED", attempt.ended, f"answered {attempt.status}, and has run", attempt.ident
                )


@rule("DENIED")
def denied(view: View) -> Iterator[Finding]:
    wrong: list[Finding] = []
    for attempt in view.record.tries.values():
        status = attempt.status
        if not 300 <= status < 500 or status in (408, 421, 429) or attempt.ident in view.by_id:
            continue
        if status == 409 and attempt.exchange:
            continue  # the truth about an exchange; ``exchanges`` looks whether it was
        versions = view.possible(attempt.sent, attempt.ended, view.bound("configApplyS"))
        allowed = bool(versions) and all(v.verdict(attempt) == 200 for v in versions)
        if allowed and view.touch.at(attempt.gateway, attempt.ended):
            wrong.append(Finding("DENIED", attempt.ended, f"answered {status}", attempt.ident))
    if len(wrong) > 5 + len(view.record.tries) / 500:
        yield Finding(
            "DENIED",
            wrong[0].at,
            f"{len(wrong)} proper requests; the first was {wrong[0].what}",
            wrong[0].who,
        )


@rule("ROUTE")
def route(view: View) -> Iterator[Finding]:
    known = {key for version in view.configured for key in version.holders}
    for arrival, attempt in view.runs():
        if not any(arrival.service in v.sends_to(attempt) for v in view.configured):
            yield Finding("ROUTE", arrival.at, f"{arrival.service} ran {attempt.path}", arrival.ident)
        elif attempt.key not in known:
            yield Finding("ROUTE", arrival.at, "run under a key that nobody ever held", arrival.ident)


@rule("CONFIG")
def stale(view: View) -> Iterator[Finding]:
    """Handled as only an older version allows, or as one that was refused."""
    slack, most = view.bound("configApplyS"), view.bound("configApplyS") + view.bound("stretchMaxS")
    for arrival, attempt in view.runs():
        versions = view.possible(attempt.sent, arrival.at, slack)
        if any(arrival.service in v.sends_to(attempt) for v in versions):
            continue
        older = [v.number for v in view.taken if arrival.service in v.sends_to(attempt)]
        stretched = view.possible(attempt.sent, arrival.at, most)
        within = any(arrival.service in v.sends_to(attempt) for v in stretched)
        if older and view.late(arrival.source, attempt.sent, arrival.at, most, within):
            yield Finding(
                "CONFIG",
                arrival.at,
                f"run as only {older[-1]:08x} allows, at {arrival.source}",
                arrival.ident,
            )
        elif not older and any(arrival.service in v.sends_to(attempt) for v in view.configured):
            yield Finding("CONFIG", arrival.at, "run as only a refused configuration allows", arrival.ident)
    for attempt in view.record.tries.values():
        if attempt.status not in (401, 403, 404) or attempt.ident in view.by_id:
            continue
        versions = view.possible(attempt.sent, attempt.ended, slack)
        allowed = bool(versions) and all(v.verdict(attempt) == 200 for v in versions)
        before = any(v.verdict(attempt) != 200 for v in view.taken)
        within = any(v.verdict(attempt) != 200 for v in view.possible(attempt.sent, attempt.ended, most))
        if allowed and before and view.late(attempt.gateway, attempt.sent, attempt.ended, most, within):
            yield Finding(
                "CONFIG",
                attempt.ended,
                f"{attempt.status} for what is in force, at {attempt.gateway}",
                attempt.ident,
            )


@rule("CONFIG back")
def back(view: View) -> Iterator[Finding]:
    """Within one life of a process."""
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    starts: dict[str, list[float]] = defaultdict(list)
    for at, ip in view.record.starts:
        starts[ip].append(at)
    slack = view.bound("revertSlackS")
    for arrival, attempt in view.runs():
        allowing = [v.number for v in view.taken if arrival.service in v.sends_to(attempt)]
        if not allowing:
            continue
        life = arrival.source, bisect_right(starts[arrival.source], arrival.at)
        least, at = seen.get(life, (0, 0.0))
        if max(allowing) < least and attempt.sent > at + slack:
            yield Finding(
                "CONFIG back", arrival.at, f"{arrival.source} went back behind {least:08x}", arrival.ident
            )
        if min(allowing) > least:
            seen[life] = min(allowing), arrival.at


@rule("CONFIG orders")
def orders(view: View) -> Iterator[Finding]:
    """Acknowledged: nothing that is invalid, no two changes on one version, nothing that is refused later."""
    on_base: dict[int, Version] = {}
    for version in view.configured:
        order = version.order
        if max(order.unheard, order.refused) < math.inf:
            yield Finding(
                "CONFIG orders",
                order.refused,
                "it was taken, and refused when sent again",
                f"{order.version:08x}",
            )
        if math.isinf(order.acked):
            continue
        if not order.valid:
            yield Finding(
                "CONFIG orders", order.acked, "an invalid one was acknowledged", f"{order.version:08x}"
            )
        elif order.base in on_base:
            other = on_base[order.base].number
            yield Finding(
                "CONFIG orders",
                order.acked,
                f"two on top of {order.base:08x}",
                f"{other:08x} {order.version:08x}",
            )
        on_base[order.base] = version


@rule("CONFIG read")
def read_back(view: View) -> Iterator[Finding]:
    """What is read back at the end of the day; after a closing fault this is LOST as well."""
    if not view.record.asked_back:
        return
    found, end = view.record.read_back, view.played.end
    name = "LOST" if view.record.closing else "CONFIG read"
    asked = view.record.asked_back
    newest = max((v.number for v in view.acked if v.order.acked < asked), default=0)
    if found is None:
        if newest:
            yield Finding(name, end, "the configuration can't be read back")
        return
    number = int(found["version"], 16)
    if number < newest:
        yield Finding(name, end, f"read back {number:08x}, and {newest:08x} was acknowledged")
    sent = [v.order.doc for v in view.configured if v.number == number and v.order.doc is not None]
    if not any(plain(doc) == plain(found) for doc in sent):
        yield Finding("CONFIG read", end, f"{number:08x} comes back as something else")
    if not any(v.number == number for v in view.taken):
        yield Finding("CONFIG read", end, f"{number:08x} is in force, and was refused")


def plain(doc: Doc) -> dict[str, Any]:
    rules = {r["name"]: (item["host"], bare(r)) for item in doc["listenerList"] for r in item["ruleSet"]}
    return {
        "rules": rules, "tenants": {t["name"]: bare(t) for t in doc["tenants"]},
        "services": {s["name"]: bare(s) for s in doc["clusterList"]}, "limits": bare(doc["limits"]),
    }  # fmt: skip


def bare(value: Any) -> Any:
    """Without fields that say nothing."""
    if isinstance(value, dict):
        return {k: bare(v) for k, v in value.items() if v is not None and v != []}
    return [bare(v) for v in value] if isinstance(value, list) else value


@rule("CONFIG keys")
def keys(view: View) -> Iterator[Finding]:
    """Run after its key was taken away, wherever."""
    if not view.bound("revocationEnforced"):
        return
    last: dict[str, float] = {}
    for number, version in enumerate(view.acked):
        for key in version.holders:
            last.pop(key, None)
        if number:
            for key in set(view.acked[number - 1].holders) - set(version.holders):
                last[key] = version.order.acked
    later = {key for v in view.taken if math.isinf(v.order.acked) for key in v.holders}
    for arrival, attempt in view.runs():
        gone = last.get(attempt.key)
        if gone is not None and attempt.key not in later and attempt.sent > gone + view.bound("revokeS"):
            yield Finding(
                "CONFIG keys",
                arrival.at,
                f"run {attempt.sent - gone:.2f} s after its key was taken away",
                arrival.ident,
            )


@rule("CONFIG added")
def added(view: View) -> Iterator[Finding]:
    """Routes that were added later are served like the first ones, of a service and at the same time."""
    served: dict[tuple[frozenset[str], int], list[list[int]]] = defaultdict(lambda: [[0, 0], [0, 0]])
    for attempt in view.record.tries.values():
        versions = view.possible(attempt.sent, attempt.ended, view.bound("configApplyS"))
        if not versions or not all(v.verdict(attempt) == 200 for v in versions):
            continue
        if attempt.status not in (0, 429) and view.touch.at(attempt.gateway, attempt.ended):
            place = served[versions[-1].sends_to(attempt), int(attempt.ended)]
            found = place[attempt.path.startswith("/extra")]
            found[0] += int(200 <= attempt.status < 300)
            found[1] += 1
    both = [(first, later) for first, later in served.values() if first[1] and later[1]]
    others, count = (sum(later[n] for _, later in both) for n in (0, 1))
    due = sum(later[1] * first[0] / first[1] for first, later in both)
    if count >= 20 and others < due / 4:
        yield Finding(
            "CONFIG added",
            0.0,
            f"{others} of {count} on routes added later, where {due:.0f} were due",
        )


@rule("BUDGET")
def budget(view: View) -> Iterator[Finding]:
    window, ratio, slack = (view.bound(n) for n in ("retryWindowS", "retryRatio", "retrySlack"))
    extra: dict[str, list[float]] = defaultdict(list)
    for arrivals in view.by_id.values():
        for arrival in sorted(arrivals, key=lambda a: a.at)[1:]:
            extra[arrival.service].append(arrival.at)
    wanted: dict[str, list[float]] = defaultdict(list)
    for attempt in view.record.tries.values():
        kind = view.kinds.get(attempt.wish.kind) if attempt.wish else None
        for service in {kind.service, kind.also} if kind else set():
            wanted[service].append(attempt.sent)
    for service, times in extra.items():
        times.sort()
        sent = sorted(wanted[service])

        def count(start: float, end: float, sent: list[float] = sent) -> int:
            return bisect_right(sent, end) - bisect_left(sent, start)

        for place, end in enumerate(times):
            start = end - window
            many = place + 1 - bisect_left(times, start)
            wishes = max(count(start - back, end - back) for back in (0.0, window / 2, window))
            if many > ratio * wishes + slack:
                yield Finding("BUDGET", end, f"{many} further arrivals for {wishes} requests", service)
                break


@rule("QUOTA")
def quota(view: View) -> Iterator[Finding]:
    window, excess, slack = (view.bound(n) for n in ("quotaWindowS", "quotaExcess", "quotaSlack"))
    runs: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for arrival, attempt in view.runs():
        runs[view.played.keys.get(attempt.key, "")].append((arrival.at, attempt.sent))
    for tenant, times in runs.items():
        times.sort()
        for place, (end, _) in enumerate(times):
            start = end - window
            first = bisect_left(times, (start, 0.0))
            many = sum(sent >= start for _, sent in times[first : place + 1])
            least = max((v.number for v in view.acked if v.order.acked < start - OLD), default=0)
            limits = [
                (v.tenants[tenant]["ratePerS"], v.tenants[tenant]["burstSize"])
                for v in view.taken
                if v.number >= least and v.order.sent <= end and tenant in v.tenants
            ]
            if not limits or any(not rate for rate, _ in limits):
                continue
            most = max((rate * window + burst) * (1 + excess) + slack for rate, burst in limits)
            if many > most:
                yield Finding("QUOTA", end, f"{many} in {window:g} s, {most:.0f} are allowed", tenant)
                break


@rule("FAILBACK")
def failback(view: View) -> Iterator[Finding]:
    services = {s.name: s for s in view.played.deployment.services}
    cold: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in view.record.arrivals:
        if arrival.cold and not arrival.misrouted:
            cold[arrival.server].append(arrival)
    for server, arrivals in cold.items():
        service = services[arrivals[0].service]
        most = service.cold_per_s * view.bound("coldExcess") + view.bound("coldSlack")
        for arrival in arrivals:
            start = arrival.at - 1.0
            many = sum(start <= a.at <= arrival.at and a.sent >= start for a in arrivals)
            if many > most:
                yield Finding(
                    "FAILBACK", arrival.at, f"{many} in a second while cold, {most:g} are allowed", server
                )
                break


@rule("HOME")
def home(view: View) -> Iterator[Finding]:
    for arrival in view.record.arrivals:
        attempt = view.attempt(arrival)
        if attempt is None:
            continue
        versions = view.possible(attempt.sent, arrival.at, view.bound("configApplyS"))
        homes = [v.homes(attempt) for v in versions]
        if homes and all(h is not None and arrival.region not in h for h in homes):
            yield Finding("HOME", arrival.at, f"sent to {arrival.region}", arrival.ident)


@rule("EVAC")
def evacuated(view: View) -> Iterator[Finding]:
    begun: Counter[str] = Counter()
    last: dict[str, float] = {}
    for order in view.record.orders:
        if order.what != "begin":
            continue
        again = order.sent <= last.get(order.zone, -math.inf) + REPEAT_WINDOW_FRACTION * view.bound("ackS")
        begun[order.zone] += not again
        last[order.zone] = max(order.sent, min(order.acked, order.over))
        if math.isinf(order.acked):
            continue
        # Several may empty one zone at a time: each takes its own back, in their order. One that follows
        # so soon can't be told from the other sent again, and ends with whichever is taken back.
        ends = [o.sent for o in view.record.orders if o.what == "finish" and o.zone == order.zone]
        if again:
            ends = [sent for sent in ends if sent > order.sent][:1] * begun[order.zone]
        end = ends[begun[order.zone] - 1] if begun[order.zone] <= len(ends) else math.inf
        for arrival in view.record.arrivals:
            late = arrival.at - order.acked
            there = arrival.zone == order.zone and not arrival.misrouted
            due = there and late > view.bound("evacuationS") and arrival.at < end
            far = late > view.bound("evacuationS") + view.bound("stretchMaxS")
            if due and (
                view.touch.at(arrival.source, arrival.at)
                or (far and view.touch.outer(arrival.source, order.acked, arrival.at))
            ):
                yield Finding(
                    "EVAC", arrival.at, f"{late:.2f} s after {order.zone} was evacuated", arrival.ident
                )


@rule("DRAIN")
def drain(view: View) -> Iterator[Finding]:
    left = {item.server: item for item in view.record.leavings if item.by}
    for arrival in view.record.arrivals:
        leaving = left.get(arrival.server)
        if leaving is None or arrival.misrouted:
            continue
        late = arrival.at - leaving.acked
        due = late > view.bound("drainS") and view.touch.at(leaving.by, leaving.acked)
        if due and view.touch.at(arrival.source, arrival.at):
            yield Finding(
                "DRAIN",
                arrival.at,
                f"{late:.2f} s after {arrival.server} said that it leaves",
                arrival.ident,
            )


@rule("LOST")
def lost(view: View) -> Iterator[Finding]:
    """Cut off around a planned end of a process."""
    grace, slack, contact = (view.bound(n) for n in ("graceS", "lossSlackS", "contactS"))
    for at, ip, _ in view.record.terms:
        for attempt in view.record.tries.values():
            if attempt.gateway != ip or attempt.status >= 0 or not at <= attempt.ended <= at + grace + 1.0:
                continue
            if not view.touch.calm(ip, attempt.sent - contact, attempt.ended):
                continue
            arrivals = view.by_id.get(attempt.ident, [])
            if any(a.broke or a.ended > at + grace / 2 for a in arrivals):
                continue
            if arrivals or attempt.ended > attempt.sent + slack + 0.1:
                yield Finding("LOST", attempt.ended, f"cut off while {ip} stops", attempt.ident)


@rule("RECOVER")
def recover(view: View) -> Iterator[Finding]:
    if view.record.closing is None:
        return
    at, back_at = view.record.closing
    before = [w for w in view.record.wishes if w.at < at - 2 and w.owed]
    after = [w for w in view.record.wishes if w.at > back_at + view.bound("recoveryS") and w.owed]

    def share(wishes: list[Any]) -> float:
        return sum(w.served >= 0 for w in wishes) / len(wishes) if wishes else 1.0

    if len(after) >= 20 and share(before) >= 0.25 > share(after):
        yield Finding("RECOVER", back_at, f"{share(after):.2f} is served after the closing fault")


@rule("FAULT")
def fault(view: View) -> Iterator[Finding]:
    """Any end of a process by itself, and anything that one raised and did not catch."""
    for at, who, what in [*view.record.ended, *view.played.faults]:
        yield Finding("FAULT", at, what, who)


@rule("ACKS")
def acks(view: View) -> Iterator[Finding]:
    limit = view.bound("ackS")
    for order in view.record.orders:
        if not order.valid or order.sent < 5.0:
            continue
        if not math.isinf(order.refused) and order.status != 412:
            yield Finding(
                "ACKS",
                order.refused,
                f"a valid order got {order.status}",
                f"{order.what} {order.version:08x}",
            )
        elif min(order.acked, order.refused, order.unheard) > order.sent + limit + 0.05:
            end = order.sent + limit
            if (
                end < view.played.end
                and view.touch.settled(order.sent, end)
                and not view.touch.cut_within(order.sent, end)
            ):
                yield Finding(
                    "ACKS", end, "a proper order is not acknowledged", f"{order.what} {order.version:08x}"
                )
    late = [
        item for item in view.record.leavings
        if item.acked > item.said + limit and view.touch.settled(item.said, item.said + limit)
        and not view.touch.cut_within(item.said, item.said + limit)
    ]  # fmt: skip
    if len(late) >= 3 and len(late) * 5 > len(view.record.leavings):
        yield Finding(
            "ACKS", late[0].said, f"{len(late)} servers that leave are not acknowledged", late[0].server
        )


def judge(played: Played) -> list[Finding]:
    """All breaches, by time; of one rule no more than ``MOST``."""
    view = View(played)
    found: list[Finding] = []
    for check in CHECKS.values():
        for number, finding in enumerate(check(view)):
            if number >= MOST:
                break
            found.append(finding)
    return sorted(found, key=lambda f: f.at)
