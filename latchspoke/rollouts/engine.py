"""State machine of one roll-out. It does no I/O: it names the next action and is told the result.

The only persistent state of a roll-out is the weights of the route in the configuration. Whoever runs the
plan next continues from there, and concurrent runs conflict, because each patch names its base version. A
rollback is an ordinary patch that gives all requests of the route to the old service.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast

from latchspoke.configuration.check import parse_version
from latchspoke.configuration.shape import Document
from latchspoke.reach.recorder import RETENTION_S, SPAN_S
from latchspoke.rollouts.comparison import RequestCounts, compare_services
from latchspoke.rollouts.evidence import NO_REQUESTS, Evidence
from latchspoke.rollouts.plan import ROLL_BACK, Plan

SETTLE_S = 4.0  # after a patch is accepted, gateways may use the previous version for this long
POLL_INTERVAL_S = 2.0
RETRY_DELAY_S = 0.5  # before the configuration is read again after a conflict or an unknown outcome
MAX_ATTEMPTS = 20  # of one command, before the rollout is given up
MAX_WINDOW_S = RETENTION_S - 4 * SPAN_S  # gateways keep the counts of the last KEPT seconds
MIN_WINDOW_S = 0.1
SHARE_TOLERANCE = 0.01  # percent; shares that differ by less are equal


class CommandResult(Enum):
    """Result of submitting a patch."""

    ACCEPTED = "taken"
    CONFLICT = "conflict"  # another version is current
    REJECTED = "refused"
    UNKNOWN = "unclear"  # it may have been applied or not


class Outcome(Enum):
    """How a roll-out ended."""

    COMPLETED = "done"  # the new service has the share of the last step
    ROLLED_BACK = "turned-back"
    INCONCLUSIVE = "unjudged"  # too little evidence in time; the route keeps its current split
    SUPERSEDED = "left"  # somebody else changed the route; it is left as it is
    REJECTED = "refused"
    UNKNOWN = "unclear"


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Read the current configuration."""


@dataclass(frozen=True, slots=True)
class ApplyPatch:
    """Submit ``patch`` by ``configuration.modify``; it gives the new service ``share`` percent."""

    share: float
    patch: dict[str, Any]


@dataclass(frozen=True, slots=True)
class CollectEvidence:
    """Collect the gateways' counts of the last ``window_s`` seconds, and read the current configuration."""

    window_s: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until this time."""

    until: float


@dataclass(frozen=True, slots=True)
class Finished:
    """The roll-out has ended; there is nothing more to do."""

    outcome: Outcome
    reason: str


Action = ReadConfiguration | ApplyPatch | CollectEvidence | Wait | Finished


@dataclass(frozen=True, slots=True)
class Event:
    """An event for logs and the operator's output; ``at`` is the monotonic time."""

    at: float
    code: str
    fields: dict[str, Any]


class Rollout:
    """One run of a plan. All times are monotonic seconds.

    The caller performs the action that ``next_action`` returns and reports the result to the matching ``on_``
    method.
    """

    def __init__(self, plan: Plan, now: float, rollback: bool = False) -> None:
        """With ``rollback``, all requests go back to the old service, whatever the evidence."""
        self.plan = plan
        self.rollback_reason = "asked for" if rollback else ""  # set while rolling back
        self.doc: Document | None = None
        self.share: float | None = None  # current percentage of the new service
        self.target_share: float | None = None  # of the patch that is not yet known to be accepted
        self.attempts = 0
        self.step_started_at = now
        self.counting_since = now  # earlier requests are not queried any more
        self.earlier_counts: dict[str, RequestCounts] = {}  # of this step before that time, by service
        self.wait_until = now
        self.needs_configuration = True
        self.baseline: RequestCounts | None = None  # latest sufficient counts of the old service
        self.was_unavailable = False  # the new service had no available server in the last evidence
        self.result: Finished | None = None
        self.events: list[Event] = []

    def next_action(self, now: float) -> Action:
        """What the caller has to do next."""
        if self.result is not None:
            return self.result
        if now < self.wait_until:
            return Wait(self.wait_until)
        if self.needs_configuration or self.doc is None:
            return ReadConfiguration()
        if self.target_share is not None:
            return ApplyPatch(self.target_share, build_patch(self.doc, self.plan, self.target_share))
        if self.is_settling(now):
            return CollectEvidence(now - self.step_started_at + SPAN_S)
        return CollectEvidence(max(now - self.counting_since, MIN_WINDOW_S))

    def is_settling(self, now: float) -> bool:
        """Whether the counts may include the previous step; they can cause a rollback, but no advance."""
        return now < self.counting_since + SPAN_S and not self.earlier_counts

    def start_step(self, now: float) -> None:
        """Reset the counts; gateways report whole spans, so this step's begin at ``counting_since``."""
        self.step_started_at, self.counting_since = now, now + SETTLE_S + SPAN_S
        self.earlier_counts = {}
        self.wait_until = now + POLL_INTERVAL_S

    # Results of actions.

    def on_configuration(self, doc: Document, now: float) -> None:
        """Handle the current configuration; end if somebody else has changed the route."""
        self.needs_configuration, self.doc = False, doc
        observed_share = current_share(doc, self.plan)
        if isinstance(observed_share, str):
            self.finish(
                Outcome.SUPERSEDED if self.share is not None else Outcome.REJECTED, observed_share, now
            )
            return
        if self.target_share is not None:
            if abs(observed_share - self.target_share) < SHARE_TOLERANCE:
                self.on_accepted(now)
            elif self.share is None or abs(observed_share - self.share) >= SHARE_TOLERANCE:
                self.finish(
                    Outcome.SUPERSEDED,
                    f"somebody else has set {self.plan.new_service} to {observed_share:g}%",
                    now,
                )
            return
        if self.share is None:
            self.start(observed_share, now)
        elif abs(observed_share - self.share) >= SHARE_TOLERANCE:
            self.finish(
                Outcome.SUPERSEDED,
                f"somebody else has set {self.plan.new_service} to {observed_share:g}%",
                now,
            )

    def on_read_failed(self, text: str, now: float) -> None:
        """Handle a failed read: retried if the roll-out has started, else the roll-out ends."""
        self.attempts += 1
        self.wait_until = now + POLL_INTERVAL_S
        if self.share is None or self.attempts >= MAX_ATTEMPTS:
            self.finish(Outcome.UNKNOWN, text, now)

    def start(self, share: float, now: float) -> None:
        """Start from the current share of the new service."""
        self.share = share
        self.start_step(now)
        self.record_event(now, "begins", stands=share)
        if self.rollback_reason:
            self.roll_back(self.rollback_reason, now)
        elif share == 0:
            self.target_share, self.wait_until = self.plan.steps[0], now
        elif share >= self.plan.steps[-1] - SHARE_TOLERANCE:
            self.finish(Outcome.COMPLETED, f"{self.plan.new_service} has {share:g}% already", now)

    def on_command_result(self, command_result: CommandResult, now: float, text: str = "") -> None:
        """Handle the result of an ``ApplyPatch``."""
        assert self.target_share is not None
        if command_result is CommandResult.ACCEPTED:
            self.on_accepted(now)
            return
        self.attempts += 1
        if command_result is CommandResult.REJECTED or self.attempts >= MAX_ATTEMPTS:
            outcome = Outcome.REJECTED if command_result is CommandResult.REJECTED else Outcome.UNKNOWN
            self.finish(outcome, text or f"no answer to {self.attempts} orders", now)
            return
        # Read first: a patch with unknown outcome may be applied, and a conflict may concern another route.
        self.needs_configuration, self.wait_until = True, now + RETRY_DELAY_S
        self.record_event(now, "again", answer=command_result.value, why=text)

    def on_accepted(self, now: float) -> None:
        """Start the next step, or end if this was the rollback."""
        assert self.target_share is not None
        self.share, self.target_share, self.attempts = self.target_share, None, 0
        self.start_step(now)
        self.record_event(now, "stands", share=self.share)
        if self.rollback_reason:
            self.finish(Outcome.ROLLED_BACK, self.rollback_reason, now)
            return

    def on_evidence(self, evidence: Evidence | None, doc: Document | None, now: float) -> None:
        """Handle the result of ``CollectEvidence``; each part is None if it could not be obtained."""
        assert self.share is not None
        self.wait_until = now + POLL_INTERVAL_S
        if doc is not None:
            self.on_configuration(doc, now)
            if self.result is not None:
                return
        # A control-plane node that has just started knows only the servers that have sent a heartbeat.
        available = evidence.available_servers if evidence is not None else None
        unavailable = bool(available) and available is not None and not available.get(self.plan.new_service)
        if unavailable and self.was_unavailable:
            # Its share of the requests is refused without an attempt, so no counts would show it.
            self.roll_back(f"no server of {self.plan.new_service} is available", now)
            return
        self.was_unavailable = unavailable
        if evidence is not None and evidence.reporting_gateways >= self.plan.min_reporting_share * max(
            evidence.gateways, 1
        ):
            self.evaluate(evidence, now)
        if (
            self.result is None
            and self.target_share is None
            and now - self.step_started_at >= self.plan.max_step_s
        ):
            reason = (
                f"{self.plan.new_service} at {self.share:g}% can't be judged"
                f" within {self.plan.max_step_s:g} s"
            )
            if self.plan.on_inconclusive == ROLL_BACK:
                self.roll_back(reason, now)
            else:
                self.finish(Outcome.INCONCLUSIVE, reason, now)

    def evaluate(self, evidence: Evidence, now: float) -> None:
        """Compare the two services, then roll back, advance or wait for more requests."""
        plan = self.plan
        assert self.share is not None
        new, old = (
            evidence.counts_for(s) + self.earlier_counts.get(s, NO_REQUESTS)
            for s in (plan.new_service, plan.old_service)
        )
        settling = self.is_settling(now)
        if now - self.counting_since >= MAX_WINDOW_S:
            # Gateways drop old spans, so their counts are kept here. One span is skipped, not counted twice.
            self.earlier_counts = {plan.new_service: new, plan.old_service: old}
            self.counting_since = now + SPAN_S
            self.wait_until = self.counting_since + SPAN_S
        if old.requests >= plan.min_requests and not settling:
            self.baseline = old
        elif self.baseline is not None:
            old = self.baseline
        next_fraction = (
            min((step for step in plan.steps if step > self.share + SHARE_TOLERANCE), default=self.share)
            / 100
        )
        comparison = compare_services(
            new, old, plan.max_failure_increase, plan.max_late_increase, next_fraction
        )
        self.record_event(
            now, "sees", share=self.share, heard=evidence.reporting_gateways, gateways=evidence.gateways,
            new=describe_counts(new), old=describe_counts(old),
            fails_more=round(comparison.failure_probability, 3),
            late_more=round(comparison.late_probability, 3),
            may_fail=round(comparison.uninformed_failure_probability, 3),
            may_be_late=round(comparison.uninformed_late_probability, 3),
        )  # fmt: skip
        if comparison.is_worse(plan.confidence):
            symptom = "fails" if comparison.failure_probability >= plan.confidence else "is late"
            probability = max(comparison.failure_probability, comparison.late_probability)
            self.roll_back(
                f"{plan.new_service} {symptom} more often than {plan.old_service} by more than the plan"
                f" tolerates, with probability {probability:.1%}:"
                f" {describe_counts(new)} against {describe_counts(old)}",
                now,
            )
        elif (
            comparison.is_acceptable(plan.confidence)
            and new.requests >= plan.min_requests
            and now - self.step_started_at >= plan.min_step_s
        ):
            if not settling:
                self.advance(now)

    def advance(self, now: float) -> None:
        """Go to the next step of the plan, or end after the last one."""
        assert self.share is not None
        share = self.share
        remaining = [step for step in self.plan.steps if step > share + SHARE_TOLERANCE]
        if remaining:
            self.target_share, self.wait_until = remaining[0], now
        else:
            self.finish(Outcome.COMPLETED, f"{self.plan.new_service} has {share:g}%", now)

    def roll_back(self, reason: str, now: float) -> None:
        """Give all requests back to the old service."""
        self.rollback_reason = reason
        self.record_event(now, "turns-back", why=reason)
        if self.share == 0:
            self.finish(Outcome.ROLLED_BACK, reason, now)
        else:
            self.target_share, self.attempts, self.wait_until = 0.0, 0, now

    def finish(self, outcome: Outcome, text: str, now: float) -> None:
        """End the roll-out."""
        self.result = Finished(outcome, text)
        self.record_event(now, "ends", outcome=outcome.value, why=text)

    def record_event(self, now: float, code: str, **fields: Any) -> None:
        """Queue an event; the code and the field names appear in the output."""
        self.events.append(Event(now, code, {"route": self.plan.route, **fields}))

    def take_events(self) -> list[Event]:
        """Return the queued events and clear the queue."""
        events, self.events = self.events, []
        return events


def describe_counts(counts: RequestCounts) -> str:
    """Counts in words, for messages."""
    return f"{counts.failed:.0f} failed and {counts.late:.0f} late of {counts.requests:.0f}"


# Reading and changing the configuration.


def find_rule(doc: Document, route: str) -> tuple[str, Mapping[str, Any]] | None:
    """The host and the rule of the route; None if there is no such route."""
    for listener in doc["listenerList"]:
        for rule in listener["ruleSet"]:
            if rule["name"] == route:
                return listener["host"], cast(Mapping[str, Any], rule)
    return None


def target_latency(doc: Document, route: str) -> float | None:
    """Target latency of the route in seconds, if it has one."""
    host_and_rule = find_rule(doc, route)
    return None if host_and_rule is None else host_and_rule[1].get("targetLatencyS")


def current_share(doc: Document, plan: Plan) -> float | str:
    """Percentage of the route's requests that the new service gets, or why the plan does not fit."""
    host_and_rule = find_rule(doc, plan.route)
    if host_and_rule is None:
        return f"there is no route {plan.route!r:.60}"
    services = {cluster["name"] for cluster in doc["clusterList"]}
    if plan.new_service not in services:
        return f"there is no service {plan.new_service!r:.60}"
    action = host_and_rule[1]["actionSpec"]
    shares: dict[str, float] = {}
    for share in action.get("weightedSplit") or [{"service": action.get("service"), "weight": 1}]:
        shares[share["service"]] = shares.get(share["service"], 0.0) + share["weight"]
    pair = plan.old_service, plan.new_service
    others = sorted(str(name) for name, weight in shares.items() if weight and name not in pair)
    total = sum(shares.values())
    if others or total <= 0:
        return f"{plan.route} goes to {', '.join(others) or 'no service'}, not to {' and '.join(pair)} alone"
    return 100.0 * shares.get(plan.new_service, 0.0) / total


def build_patch(doc: Document, plan: Plan, share: float) -> dict[str, Any]:
    """The patch of ``doc`` that gives the new service that percentage of the route's requests."""
    host_and_rule = find_rule(doc, plan.route)
    assert host_and_rule is not None
    host, rule = host_and_rule
    action = {
        field: value
        for field, value in rule["actionSpec"].items()
        if field not in ("service", "weightedSplit")
    }
    if share <= 0:
        action["service"] = plan.old_service
    elif share >= 100:
        action["service"] = plan.new_service
    else:
        action["weightedSplit"] = [
            {"service": plan.old_service, "weight": round(100 - share, 4)},
            {"service": plan.new_service, "weight": round(share, 4)},
        ]
    version = doc["version"]
    return {
        "version": f"{parse_version(version) + 1:08x}",
        "baseVersion": version,
        "upsert": {"listenerList": [{"host": host, "ruleSet": [{**rule, "actionSpec": action}]}]},
    }
