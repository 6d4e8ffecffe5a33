"""One roll-out as a state machine: what is read and seen goes in, what is to be done comes out. Pure.

Where a roll-out stands is told by the operator's configuration alone: the weights of the route. So it is gone
on with by whoever runs it next, and two who run it find each other out, as each order builds on the version
that it was made from. Turning back is an order like any other: a new version with the route as it was.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast

from latchspoke.configuration.check import number
from latchspoke.configuration.shape import Document
from latchspoke.reach.recorder import RETENTION_S, SPAN_S
from latchspoke.rollouts.evidence import NOBODY, Evidence
from latchspoke.rollouts.judge import Counted, judge
from latchspoke.rollouts.plan import BACK, Plan

SETTLE = 4.0  # s after an order is taken in which requests may still go by the version before
POLL = 2.0  # s between looks
AGAIN = 0.5  # s until it is read again after an order that lost its race or had no clear answer
TRIES = 20  # so often an order is sent anew before it is given up
WINDOW = RETENTION_S - 4 * SPAN_S  # s back that are asked for at most; gateways can tell of KEPT
STEP_LEAST = 0.1  # s back that are asked for at least
NEAR = 0.01  # percent; shares closer than that are the same


class Answer(Enum):
    """What became of an order."""

    TAKEN = "taken"
    CONFLICT = "conflict"  # another version is current
    REFUSED = "refused"
    UNCLEAR = "unclear"  # it may stand or not


class Outcome(Enum):
    DONE = "done"  # the new service has all that the plan gives it
    TURNED_BACK = "turned-back"
    UNJUDGED = "unjudged"  # it stays where it stands
    LEFT = "left"  # somebody else has changed the route: nothing more is done
    REFUSED = "refused"
    UNCLEAR = "unclear"


@dataclass(frozen=True, slots=True)
class Read:
    """The configuration in force is wanted."""


@dataclass(frozen=True, slots=True)
class Order:
    """``patch``: the body of ``configuration.modify``."""

    share: float
    patch: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Look:
    """What gateways tell of the last ``since`` s is wanted, and the configuration in force."""

    since: float


@dataclass(frozen=True, slots=True)
class Wait:
    until: float


@dataclass(frozen=True, slots=True)
class End:
    outcome: Outcome
    text: str


Action = Read | Order | Look | Wait | End


@dataclass(frozen=True, slots=True)
class Event:
    """For people and logs."""

    at: float
    code: str
    fields: dict[str, Any]


class Rollout:
    """``next`` tells what is to be done; the caller does it, and hands in what came. Times: monotonic s."""

    def __init__(self, plan: Plan, now: float, back: bool = False) -> None:
        """``back``: turn back, whatever is seen."""
        self.plan = plan
        self.why = "asked for" if back else ""  # it is turned back, and why
        self.doc: Document | None = None
        self.stand: float | None = None  # percent that the new service has
        self.wanted: float | None = None  # that was ordered last, and is not known to be taken
        self.tries = 0
        self.begun_at = now  # of the step
        self.counted_from = now  # what ran sooner is not asked for
        self.before: dict[str, Counted] = {}  # of this step, by service, sooner than that
        self.wait_until = now
        self.reading = True
        self.baseline: Counted | None = None  # of the old service, the last that was enough
        self.missing = False  # at the last look the new service had no server that may be sent to
        self.end: End | None = None
        self.events: list[Event] = []

    def next(self, now: float) -> Action:
        if self.end is not None:
            return self.end
        if now < self.wait_until:
            return Wait(self.wait_until)
        if self.reading or self.doc is None:
            return Read()
        if self.wanted is not None:
            return Order(self.wanted, patch_of(self.doc, self.plan, self.wanted))
        if self.early(now):
            return Look(now - self.begun_at + SPAN_S)
        return Look(max(now - self.counted_from, STEP_LEAST))

    def early(self, now: float) -> bool:
        """What is told may yet be of the step before: enough to turn back by, not to go on."""
        return now < self.counted_from + SPAN_S and not self.before

    def step_begins(self, now: float) -> None:
        """Gateways tell spans whole: what they tell from ``counted_from`` on ran at this step."""
        self.begun_at, self.counted_from = now, now + SETTLE + SPAN_S
        self.before = {}
        self.wait_until = now + POLL

    # What comes in.

    def read(self, doc: Document, now: float) -> None:
        """The configuration in force."""
        self.reading, self.doc = False, doc
        found = standing(doc, self.plan)
        if isinstance(found, str):
            self.finish(Outcome.LEFT if self.stand is not None else Outcome.REFUSED, found, now)
            return
        if self.wanted is not None:
            if abs(found - self.wanted) < NEAR:
                self.taken(now)
            elif self.stand is None or abs(found - self.stand) >= NEAR:
                self.finish(Outcome.LEFT, f"somebody else has set {self.plan.new} to {found:g}%", now)
            return
        if self.stand is None:
            self.begin(found, now)
        elif abs(found - self.stand) >= NEAR:
            self.finish(Outcome.LEFT, f"somebody else has set {self.plan.new} to {found:g}%", now)

    def unread(self, text: str, now: float) -> None:
        """Nobody answers ``Read``. What was begun is not let go at once."""
        self.tries += 1
        self.wait_until = now + POLL
        if self.stand is None or self.tries >= TRIES:
            self.finish(Outcome.UNCLEAR, text, now)

    def begin(self, found: float, now: float) -> None:
        self.stand = found
        self.step_begins(now)
        self.tell(now, "begins", stands=found)
        if self.why:
            self.turn_back(self.why, now)
        elif found == 0:
            self.wanted, self.wait_until = self.plan.steps[0], now
        elif found >= self.plan.steps[-1] - NEAR:
            self.finish(Outcome.DONE, f"{self.plan.new} has {found:g}% already", now)

    def answered(self, answer: Answer, now: float, text: str = "") -> None:
        """What became of the order that ``next`` asked for."""
        assert self.wanted is not None
        if answer is Answer.TAKEN:
            self.taken(now)
            return
        self.tries += 1
        if answer is Answer.REFUSED or self.tries >= TRIES:
            outcome = Outcome.REFUSED if answer is Answer.REFUSED else Outcome.UNCLEAR
            self.finish(outcome, text or f"no answer to {self.tries} orders", now)
            return
        # Read first: an order with no clear answer may stand, and what won a race may be another route's.
        self.reading, self.wait_until = True, now + AGAIN
        self.tell(now, "again", answer=answer.value, why=text)

    def taken(self, now: float) -> None:
        assert self.wanted is not None
        self.stand, self.wanted, self.tries = self.wanted, None, 0
        self.step_begins(now)
        self.tell(now, "stands", share=self.stand)
        if self.why:
            self.finish(Outcome.TURNED_BACK, self.why, now)
            return

    def seen(self, evidence: Evidence | None, doc: Document | None, now: float) -> None:
        """What a look has brought; None: nobody told. A judgement needs enough gateways."""
        assert self.stand is not None
        self.wait_until = now + POLL
        if doc is not None:
            self.read(doc, now)
            if self.end is not None:
                return
        # A control machine that has just begun knows no servers, or some of them until they have all beaten.
        able = evidence.able if evidence is not None else None
        missing = bool(able) and able is not None and not able.get(self.plan.new)
        if missing and self.missing:
            # Its part of the requests is refused, and reaches nobody who could tell.
            self.turn_back(f"no server of {self.plan.new} may be sent to", now)
            return
        self.missing = missing
        if evidence is not None and evidence.heard >= self.plan.heard * max(evidence.gateways, 1):
            self.judged(evidence, now)
        if self.end is None and self.wanted is None and now - self.begun_at >= self.plan.longest:
            seen = f"{self.plan.new} at {self.stand:g}% can't be judged within {self.plan.longest:g} s"
            if self.plan.unjudged == BACK:
                self.turn_back(seen, now)
            else:
                self.finish(Outcome.UNJUDGED, seen, now)

    def judged(self, evidence: Evidence, now: float) -> None:
        plan = self.plan
        assert self.stand is not None
        new, old = (evidence.of(s) + self.before.get(s, NOBODY) for s in (plan.new, plan.old))
        early = self.early(now)
        if now - self.counted_from >= WINDOW:
            # Gateways forget; what they have told is kept here, and a span that both would tell is left out.
            self.before = {plan.new: new, plan.old: old}
            self.counted_from = now + SPAN_S
            self.wait_until = self.counted_from + SPAN_S
        if old.requests >= plan.requests and not early:
            self.baseline = old
        elif self.baseline is not None:
            old = self.baseline
        part = min((step for step in plan.steps if step > self.stand + NEAR), default=self.stand) / 100
        found = judge(new, old, plan.failed_more, plan.late_more, part)
        self.tell(
            now, "sees", share=self.stand, heard=evidence.heard, gateways=evidence.gateways,
            new=told(new), old=told(old), fails_more=round(found.fails, 3), late_more=round(found.late, 3),
            may_fail=round(found.may_fail, 3), may_be_late=round(found.may_be_late, 3),
        )  # fmt: skip
        if found.worse(plan.sure):
            what = "fails" if found.fails >= plan.sure else "is late"
            chance = max(found.fails, found.late)
            self.turn_back(
                f"{plan.new} {what} more often than {plan.old} by over what is borne, at {chance:.1%}:"
                f" {told(new)} against {told(old)}",
                now,
            )
        elif found.well(plan.sure) and new.requests >= plan.requests and now - self.begun_at >= plan.hold:
            if not early:
                self.go_on(now)

    def go_on(self, now: float) -> None:
        assert self.stand is not None
        stand = self.stand
        further = [step for step in self.plan.steps if step > stand + NEAR]
        if further:
            self.wanted, self.wait_until = further[0], now
        else:
            self.finish(Outcome.DONE, f"{self.plan.new} has {stand:g}%", now)

    def turn_back(self, why: str, now: float) -> None:
        self.why = why
        self.tell(now, "turns-back", why=why)
        if self.stand == 0:
            self.finish(Outcome.TURNED_BACK, why, now)
        else:
            self.wanted, self.tries, self.wait_until = 0.0, 0, now

    def finish(self, outcome: Outcome, text: str, now: float) -> None:
        self.end = End(outcome, text)
        self.tell(now, "ends", outcome=outcome.value, why=text)

    def tell(self, now: float, code: str, **fields: Any) -> None:
        self.events.append(Event(now, code, {"route": self.plan.route, **fields}))

    def take_events(self) -> list[Event]:
        events, self.events = self.events, []
        return events


def told(counted: Counted) -> str:
    return f"{counted.failed:.0f} failed and {counted.late:.0f} late of {counted.requests:.0f}"


# The configuration.


def rule_of(doc: Document, route: str) -> tuple[str, Mapping[str, Any]] | None:
    """The host and the rule of that name."""
    for listener in doc["listenerList"]:
        for rule in listener["ruleSet"]:
            if rule["name"] == route:
                return listener["host"], cast(Mapping[str, Any], rule)
    return None


def aim_of(doc: Document, route: str) -> float | None:
    found = rule_of(doc, route)
    return None if found is None else found[1].get("targetLatencyS")


def standing(doc: Document, plan: Plan) -> float | str:
    """What share (percent) of the route's requests the new service has; or why this plan can't tell."""
    found = rule_of(doc, plan.route)
    if found is None:
        return f"there is no route {plan.route!r:.60}"
    services = {cluster["name"] for cluster in doc["clusterList"]}
    if plan.new not in services:
        return f"there is no service {plan.new!r:.60}"
    action = found[1]["actionSpec"]
    shares: dict[str, float] = {}
    for share in action.get("weightedSplit") or [{"service": action.get("service"), "weight": 1}]:
        shares[share["service"]] = shares.get(share["service"], 0.0) + share["weight"]
    pair = plan.old, plan.new
    others = sorted(str(name) for name, weight in shares.items() if weight and name not in pair)
    total = sum(shares.values())
    if others or total <= 0:
        return f"{plan.route} goes to {', '.join(others) or 'nobody'}, not to {' and '.join(pair)} alone"
    return 100.0 * shares.get(plan.new, 0.0) / total


def patch_of(doc: Document, plan: Plan, share: float) -> dict[str, Any]:
    """The change that gives the new service that share (percent), on top of ``doc``."""
    found = rule_of(doc, plan.route)
    assert found is not None
    host, rule = found
    action = {
        field: value
        for field, value in rule["actionSpec"].items()
        if field not in ("service", "weightedSplit")
    }
    if share <= 0:
        action["service"] = plan.old
    elif share >= 100:
        action["service"] = plan.new
    else:
        action["weightedSplit"] = [
            {"service": plan.old, "weight": round(100 - share, 4)},
            {"service": plan.new, "weight": round(share, 4)},
        ]
    version = doc["version"]
    return {
        "version": f"{number(version) + 1:08x}",
        "baseVersion": version,
        "upsert": {"listenerList": [{"host": host, "ruleSet": [{**rule, "actionSpec": action}]}]},
    }
