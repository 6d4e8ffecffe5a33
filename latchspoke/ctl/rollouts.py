"""The hands of a roll-out: the calls that it needs, by the tool's own means, and its lines for people."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from returns.result import Failure, Result, Success

from latchspoke.configuration import Document, Fault
from latchspoke.ctl import reviews
from latchspoke.ctl.callers import Control, Reply
from latchspoke.rollouts import plan as plans
from latchspoke.rollouts.engine import CommandResult, Event, current_share, target_latency
from latchspoke.rollouts.evidence import Evidence, aggregate, available_servers
from latchspoke.rollouts.plan import Plan

GatewayQuery = Callable[
    [Any, str], Mapping[str, Any]
]  # a control machine's view and a target: what each gateway says


def parse_plan(data: bytes) -> Result[Plan, list[Fault]]:
    """Written in YAML, of which JSON is a part."""
    import yaml

    try:
        document = yaml.load(data, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as e:
        return Failure([Fault("", f"can't be read: {' '.join(str(e).split())}")])
    plan, faults = plans.read_plan(document)
    return Success(plan) if plan is not None else Failure(faults)


def check_plan(plan: Plan, doc: Document) -> list[Fault]:
    """What keeps the plan from being followed under this configuration."""
    share = current_share(doc, plan)
    if isinstance(share, str):
        return [Fault("", share)]
    if plan.old_service not in {cluster["name"] for cluster in doc["clusterList"]}:
        return [Fault("from", f"there is no service {plan.old_service!r:.60}")]
    return []


@dataclass(slots=True)
class LiveEnvironment:
    """``Hands`` of a roll-out, by control machines and gateways."""

    plan: Plan
    control: Control
    query_gateways: GatewayQuery
    clock: Callable[[], float] = lambda: time.monotonic()
    sleep: Callable[[float], None] = lambda s: time.sleep(s)
    target_latency_s: float | None = None

    def now(self) -> float:
        return self.clock()

    def wait(self, until: float) -> None:
        self.sleep(max(until - self.clock(), 0.0))

    def read_configuration(self) -> Document | str:
        match self.control.call("POST", "/rpc?call=configuration.read"):
            case Success(Reply(status=200) as reply):
                match reviews.configuration(reply.raw):
                    case Success(doc):
                        configuration: Document = doc
                        self.target_latency_s = target_latency(configuration, self.plan.route)
                        return configuration
                    case Failure(faults):
                        return f"the configuration in force can't be used: {faults[0]}"
            case Success(Reply() as reply):
                return f"{reply.by}: {reply.reason}"
            case Failure(fault):
                return f"no control machine answers: {fault}"
        raise AssertionError

    def submit_patch(self, patch: dict[str, Any]) -> tuple[CommandResult, str]:
        match self.control.call("POST", "/rpc?call=configuration.modify", json.dumps(patch).encode()):
            case Success(Reply(status=200)):
                return CommandResult.ACCEPTED, ""
            case Success(Reply(status=412) as reply):
                return CommandResult.CONFLICT, reply.reason
            case Success(Reply() as reply):
                return CommandResult.REJECTED, f"{reply.by}: {reply.reason}"
            case Failure(fault):
                return CommandResult.UNKNOWN, str(fault)
        raise AssertionError

    def collect_evidence(self, window_s: float) -> Evidence | None:
        match self.control.call("GET", "/status"):
            case Success(Reply(status=200) as reply):
                status = reply.body
                evidence = aggregate(
                    self.query_gateways(status, f"/reach?since={window_s:g}"),
                    self.plan.route,
                    self.target_latency_s,
                )
                return replace(evidence, available_servers=available_servers(status))
        return None


def format_event(event: Event) -> str:
    """One line an event, key=value."""
    fields = (f"{key}={quote_value(value)}" for key, value in event.fields.items())
    return f"event=rollout-{event.code} {' '.join(fields)}"


def quote_value(value: Any) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return json.dumps(text) if not text or any(c in ' "=' for c in text) else text


def describe_start(plan: Plan, share: float) -> str:
    steps = ", ".join(f"{step:g}%" for step in plan.steps)
    return (
        f"{plan.route}: {plan.new_service} has {share:g}%, {plan.old_service} the rest;"
        f" the plan's steps: {steps}"
    )
